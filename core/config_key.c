#include <buckthornhead/config_key.h>

#include <buckthornhead/ini_text.h>
#include <buckthornhead/settings.h>

#include <stdio.h>
#include <string.h>

enum
{
  MS_PER_SECOND = 1000
};

/* The text of a value, with its key and line. */
struct ConfigValue
{
  struct ConfigReader *reader;
  const struct ConfigKey *key;
  const char *text;
  uint32_t line;
};

static void __attribute__ ((format (printf, 5, 6))) add_fault (struct ConfigReader *reader,
                                                               uint32_t line,
                                                               const char *key,
                                                               const char *remedy,
                                                               const char *format,
                                                               ...)
{
  char key_path[sizeof ((struct ConfigFault *)NULL)->key];
  char message[FAULT_MESSAGE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  snprintf (key_path, sizeof key_path, "[%.40s]%s%s", reader->section_name,
            key[0] != '\0' ? " " : "", key);
  config_faults_add (reader->faults, reader->file, line, key_path, remedy, "%s", message);
}

static void
add_value_fault (const struct ConfigValue *value, const char *remedy, const char *message)
{
  add_fault (value->reader, value->line, value->key->name, remedy, "'%s' %s", value->text, message);
}

static void
store_number (const struct ConfigValue *value, uint64_t number)
{
  char *field = (char *)value->reader->target + value->key->offset;
  uint32_t small = (uint32_t)number;

  if (value->key->size == sizeof number)
    memcpy (field, &number, sizeof number);
  else
    memcpy (field, &small, sizeof small);
}

static void
store_text (const struct ConfigValue *value)
{
  char remedy[64];

  if (strlen (value->text) >= value->key->size)
    {
      snprintf (remedy, sizeof remedy, "shorten it to %zu bytes", value->key->size - 1);
      add_value_fault (value, remedy, "is too long");
      return;
    }
  snprintf ((char *)value->reader->target + value->key->offset, value->key->size, "%s",
            value->text);
}

static void
store_in_range (const struct ConfigValue *value, uint64_t number, uint64_t factor)
{
  const struct ConfigKey *key = value->key;
  char min[UNITS_TEXT_BYTES];
  char max[UNITS_TEXT_BYTES];
  char remedy[FAULT_REMEDY_BYTES];

  if (number >= key->min && number <= key->max)
    {
      store_number (value, number);
      return;
    }
  units_render (key->unit, key->min * factor, min);
  units_render (key->unit, key->max * factor, max);
  snprintf (remedy, sizeof remedy, "use a value from %s to %s", min, max);
  add_value_fault (value, remedy, "is out of range");
}

static void
read_number (const struct ConfigValue *value, uint64_t factor)
{
  char remedy[FAULT_REMEDY_BYTES];
  uint64_t number;

  if (units_parse (value->key->unit, value->text, &number) != ERROR_NONE)
    {
      snprintf (remedy, sizeof remedy, "write %s", units_describe (value->key->unit));
      add_value_fault (value, remedy, "is not a number or has an invalid unit");
      return;
    }
  if (number % factor != 0)
    {
      add_value_fault (value, "write whole seconds", "is not a whole number of seconds");
      return;
    }
  store_in_range (value, number / factor, factor);
}

static void
read_choice (const struct ConfigValue *value)
{
  char remedy[FAULT_REMEDY_BYTES] = "write one of:";
  size_t n = strlen (remedy);

  for (const struct ConfigChoice *c = value->key->choices; c->text != NULL; c++)
    {
      if (strcmp (c->text, value->text) == 0)
        {
          memcpy ((char *)value->reader->target + value->key->offset, &c->value, sizeof c->value);
          return;
        }
      if (n < sizeof remedy)
        n += (size_t)snprintf (remedy + n, sizeof remedy - n, " %s", c->text);
    }
  add_value_fault (value, remedy, "is not a valid choice");
}

static bool
is_wildcard (const char *ip)
{
  return strcmp (ip, "0.0.0.0") == 0 || strcmp (ip, "::") == 0;
}

static void
read_address (const struct ConfigValue *value)
{
  char ip[46];
  uint16_t port;

  if (address_parse (value->text, ip, &port) != ERROR_NONE)
    add_value_fault (value, "write IP:port, such as 10.1.0.7:8700; host names are not resolved",
                     "is not an IP address with a port");
  else if (is_wildcard (ip))
    add_value_fault (value, "write the IP address that other processes connect to",
                     "is a wildcard address");
  else
    store_text (value);
}

static bool
is_url (const char *text)
{
  const char *host = NULL;

  if (strncmp (text, "http://", strlen ("http://")) == 0)
    host = text + strlen ("http://");
  else if (strncmp (text, "https://", strlen ("https://")) == 0)
    host = text + strlen ("https://");
  return host != NULL && strspn (host, "/:") == 0 && *host != '\0'
         && strpbrk (host, " \t\"<>") == NULL;
}

static void
read_value (const struct ConfigValue *value)
{
  if (value->text[0] == '\0' && value->key->default_text != NULL
      && value->key->default_text[0] == '\0')
    return;
  switch (value->key->kind)
    {
    case CONFIG_VALUE_NUMBER:
      read_number (value, 1);
      break;
    case CONFIG_VALUE_SECONDS:
      read_number (value, MS_PER_SECOND);
      break;
    case CONFIG_VALUE_CHOICE:
      read_choice (value);
      break;
    case CONFIG_VALUE_NAME:
      if (config_name_is_valid (value->text))
        store_text (value);
      else
        add_value_fault (value, "use 1 to 64 letters, digits, '-', '_' and '.'",
                         "is not a valid name");
      break;
    case CONFIG_VALUE_TEXT:
      if (value->text[0] == '\0')
        add_value_fault (value, "set a value or remove the key", "is empty");
      else
        store_text (value);
      break;
    case CONFIG_VALUE_ADDRESS:
      read_address (value);
      break;
    case CONFIG_VALUE_URL:
      if (is_url (value->text))
        store_text (value);
      else
        add_value_fault (value, "write it as http://IP:port", "is not a URL");
      break;
    }
}

static uint32_t *
key_line (struct ConfigReader *reader, size_t key)
{
  return &reader->key_lines[reader->section - reader->sections][key];
}

static void
set_defaults (struct ConfigReader *reader)
{
  for (size_t i = 0; i < reader->section->n_keys; i++)
    {
      const struct ConfigKey *key = &reader->section->keys[i];
      struct ConfigValue value = { reader, key, key->default_text, 0 };

      if (key->default_text != NULL)
        read_value (&value);
    }
}

/* Adds a fault for each required key that the current section lacks. */
static void
check_missing (struct ConfigReader *reader)
{
  uint32_t line = reader->section_lines[reader->section - reader->sections];

  for (size_t i = 0; i < reader->section->n_keys; i++)
    if (reader->section->keys[i].default_text == NULL && *key_line (reader, i) == 0)
      add_fault (reader, line != 0 ? line : 1, reader->section->keys[i].name, "add it",
                 "the key is missing");
}

/* A named section is complete when the next section starts. The others are checked at the end of
 * the text, since a duplicate of the section may contain the missing keys. */
static void
close_section (struct ConfigReader *reader)
{
  if (reader->section != NULL && reader->section->named && reader->target != NULL)
    check_missing (reader);
}

static const struct ConfigSection *
find_section (const struct ConfigReader *reader, const char *text, const char **name)
{
  for (size_t i = 0; i < reader->n_sections; i++)
    {
      const struct ConfigSection *s = &reader->sections[i];
      size_t n = strlen (s->name);

      *name = "";
      if (!s->named && strcmp (s->name, text) == 0)
        return s;
      if (!s->named || strncmp (s->name, text, n) != 0 || (text[n] != ' ' && text[n] != '\0'))
        continue;
      *name = text + n + strspn (text + n, " \t");
      return s;
    }
  return NULL;
}

static void
add_unknown_section (struct ConfigReader *reader, uint32_t line)
{
  char remedy[FAULT_REMEDY_BYTES] = "use one of:";
  size_t n = strlen (remedy);

  for (size_t i = 0; i < reader->n_sections && n < sizeof remedy; i++)
    n += (size_t)snprintf (remedy + n, sizeof remedy - n, " [%s%s]", reader->sections[i].name,
                           reader->sections[i].named ? " NAME" : "");
  add_fault (reader, line, "", remedy, "the section is not known");
}

static void
set_section_name (struct ConfigReader *reader, const char *text)
{
  snprintf (reader->section_name, sizeof reader->section_name, "%.*s",
            (int)sizeof reader->section_name - 1, text);
}

static void
open_section (struct ConfigReader *reader, const char *text, uint32_t line)
{
  const char *name;
  size_t i;

  close_section (reader);
  set_section_name (reader, text);
  reader->target = NULL;
  reader->section = find_section (reader, text, &name);
  if (reader->section == NULL)
    {
      add_unknown_section (reader, line);
      return;
    }
  i = (size_t)(reader->section - reader->sections);
  if (reader->section_lines[i] != 0 && !reader->section->named)
    {
      add_fault (reader, line, "", "keep only one of them",
                 "the section already appears on line %u", reader->section_lines[i]);
      reader->target = reader->open (reader->data, reader, reader->section, name, line);
      return;
    }
  memset (reader->key_lines[i], 0, sizeof reader->key_lines[i]);
  reader->section_lines[i] = line;
  reader->target = reader->open (reader->data, reader, reader->section, name, line);
  if (reader->target != NULL)
    set_defaults (reader);
}

/* Called at the end of the text: sets the defaults of an absent section and checks that no required
 * key is missing. */
static void
finish_section (struct ConfigReader *reader, const struct ConfigSection *section)
{
  bool absent = reader->section_lines[section - reader->sections] == 0;

  if (section->named)
    return;
  set_section_name (reader, section->name);
  reader->section = section;
  if (absent)
    reader->target = reader->open (reader->data, reader, section, "", 0);
  if (absent && reader->target != NULL)
    set_defaults (reader);
  check_missing (reader);
}

static void
add_unknown_key (struct ConfigReader *reader, const struct IniLine *line)
{
  char remedy[FAULT_REMEDY_BYTES] = "use one of:";
  size_t n = strlen (remedy);

  for (size_t i = 0; i < reader->section->n_keys && n < sizeof remedy; i++)
    n += (size_t)snprintf (remedy + n, sizeof remedy - n, " %s", reader->section->keys[i].name);
  add_fault (reader, line->line, line->key, remedy, "the key is not known");
}

static void
read_key (struct ConfigReader *reader, const struct IniLine *line)
{
  const struct ConfigSection *s = reader->section;

  for (size_t i = 0; i < s->n_keys; i++)
    {
      struct ConfigValue value = { reader, &s->keys[i], line->value, line->line };

      if (strcmp (s->keys[i].name, line->key) != 0)
        continue;
      if (*key_line (reader, i) != 0)
        add_fault (reader, line->line, line->key, "keep only one of them",
                   "the key is already set on line %u", *key_line (reader, i));
      else
        read_value (&value);
      *key_line (reader, i) = line->line;
      return;
    }
  add_unknown_key (reader, line);
}

static void
on_line (void *data, const struct IniLine *line)
{
  struct ConfigReader *reader = data;

  if (line->key == NULL)
    open_section (reader, line->section, line->line);
  else if (line->section[0] == '\0')
    config_faults_add (reader->faults, reader->file, line->line, line->key,
                       "move it below its [section]", "the key is outside any section");
  else if (reader->section != NULL && reader->target != NULL)
    read_key (reader, line);
}

void
config_read (struct ConfigReader *reader, const char *text)
{
  ini_text_each (reader->file, text, on_line, reader, reader->faults);
  close_section (reader);
  for (size_t i = 0; i < reader->n_sections; i++)
    finish_section (reader, &reader->sections[i]);
  config_faults_sort (reader->faults);
}

uint32_t
config_reader_line (const struct ConfigReader *reader, const char *section, const char *key)
{
  for (size_t i = 0; i < reader->n_sections; i++)
    {
      const struct ConfigSection *s = &reader->sections[i];

      if (strcmp (s->name, section) != 0)
        continue;
      for (size_t j = 0; j < s->n_keys; j++)
        if (strcmp (s->keys[j].name, key) == 0 && reader->key_lines[i][j] != 0)
          return reader->key_lines[i][j];
      return reader->section_lines[i] != 0 ? reader->section_lines[i] : 1;
    }
  return 1;
}

bool
config_name_is_valid (const char *name)
{
  size_t n = strlen (name);

  return n > 0 && n <= NAME_MAX_BYTES && name[0] != '.'
         && strspn (name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == n;
}
