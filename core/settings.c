#include <buckthornhead/settings.h>

#include <buckthornhead/config_key.h>

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTINGS_FILE_MAX_BYTES = 1024 * 1024,
  MINUTE_MS = 60 * 1000,
  HOUR_MS = 60 * MINUTE_MS,
  KIB = 1024,
  MIB = 1024 * KIB
};

/* Settings being read, with values that are only needed to complete and check them. */
struct SettingsDraft
{
  struct Settings *settings;
  char token_file[256];
  uint32_t *backend_lines; /* line of each backend's section */
};

#define TEXT(name, kind, field, fallback)                                                          \
  {                                                                                                \
    name, kind, CONFIG_FIELD (struct Settings, field), fallback, UNIT_NONE, 0, 0, NULL             \
  }
#define HELD_MAX_BYTES (UINT64_C (1) << 40)
#define NUMBER(name, field, fallback, unit, min, max)                                              \
  {                                                                                                \
    name, CONFIG_VALUE_NUMBER, CONFIG_FIELD (struct Settings, field), fallback, unit, min, max,    \
        NULL                                                                                       \
  }
#define BACKEND(name, kind, field, choices)                                                        \
  {                                                                                                \
    name, kind, CONFIG_FIELD (struct BackendSetting, field), NULL, UNIT_NONE, 0, 0, choices        \
  }

static const struct ConfigKey instance_keys[] = {
  TEXT ("name", CONFIG_VALUE_NAME, instance, NULL),
  TEXT ("zone", CONFIG_VALUE_NAME, zone, NULL),
  TEXT ("data_folder", CONFIG_VALUE_TEXT, data_folder, ""),
};

static const struct ConfigKey listen_keys[] = {
  TEXT ("caller", CONFIG_VALUE_ADDRESS, caller_listen, NULL),
  TEXT ("operator", CONFIG_VALUE_ADDRESS, operator_listen, NULL),
  TEXT ("peer", CONFIG_VALUE_ADDRESS, peer_listen, NULL),
};

static const struct ConfigKey platform_keys[] = {
  TEXT ("kv", CONFIG_VALUE_URL, kv_url, NULL),
  TEXT ("instances", CONFIG_VALUE_URL, instances_url, ""),
  TEXT ("prefix", CONFIG_VALUE_TEXT, prefix, "buckthornhead/"),
};

static const struct ConfigKey thread_keys[] = {
  NUMBER ("caller", caller_threads, "4", UNIT_NONE, 1, 64),
  NUMBER ("backend", backend_threads, "1", UNIT_NONE, 1, 64),
};

static const struct ConfigKey limit_keys[] = {
  NUMBER ("body_bytes", body_max_bytes, "4M", UNIT_BYTES, KIB, 64 * MIB),
  NUMBER ("header_bytes", header_max_bytes, "16K", UNIT_BYTES, KIB, MIB),
  NUMBER ("connections", connections_max, "4096", UNIT_NONE, 8, 100000),
  NUMBER ("held_memory", held_memory_bytes, "0", UNIT_BYTES, 0, HELD_MAX_BYTES),
  NUMBER ("json_depth", json_depth_max, "32", UNIT_NONE, 4, 512),
  NUMBER ("request_timeout", request_timeout_ms, "30s", UNIT_TIME, 100, HOUR_MS),
};

static const struct ConfigKey journal_keys[] = {
  NUMBER ("writes_per_s", journal_writes_per_s, "200", UNIT_NONE, 1, 100000),
  NUMBER ("retry", journal_retry_ms, "200ms", UNIT_TIME, 10, MINUTE_MS),
};

static const struct ConfigKey home_keys[] = {
  NUMBER ("partitions", n_partitions, "64", UNIT_NONE, 1, 65536),
  NUMBER ("group_size", partition_group_size, "16", UNIT_NONE, 1, 1024),
  { "lease", CONFIG_VALUE_SECONDS, CONFIG_FIELD (struct Settings, lease_ttl_s), "5s", UNIT_TIME, 1,
    300, NULL },
};

static const struct ConfigKey secret_keys[] = {
  { "operator_token_file", CONFIG_VALUE_TEXT, CONFIG_FIELD (struct SettingsDraft, token_file), "",
    UNIT_NONE, 0, 0, NULL },
};

static const struct ConfigChoice backend_kinds[] = {
  { "engine", CALL_TARGET_ENGINE },
  { "service", CALL_TARGET_SERVICE },
  { NULL, 0 },
};

static const struct ConfigKey backend_keys[] = {
  BACKEND ("kind", CONFIG_VALUE_CHOICE, kind, backend_kinds),
  BACKEND ("target", CONFIG_VALUE_NAME, target, NULL),
  BACKEND ("address", CONFIG_VALUE_ADDRESS, address, NULL),
  BACKEND ("zone", CONFIG_VALUE_NAME, zone, NULL),
};

#define SECTION(name, named, keys)                                                                 \
  {                                                                                                \
    name, named, keys, sizeof (keys) / sizeof (keys)[0]                                            \
  }

enum
{
  SECTION_SECRETS = 7,
  SECTION_BACKEND = 8
};

static const struct ConfigSection sections[] = {
  SECTION ("instance", false, instance_keys),
  SECTION ("listen", false, listen_keys),
  SECTION ("platform", false, platform_keys),
  SECTION ("threads", false, thread_keys),
  SECTION ("limits", false, limit_keys),
  SECTION ("journal", false, journal_keys),
  SECTION ("homes", false, home_keys),
  [SECTION_SECRETS] = SECTION ("secrets", false, secret_keys),
  [SECTION_BACKEND] = SECTION ("backend", true, backend_keys),
};

int32_t
address_parse (const char *address, char ip[46], uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  const char *start = address;
  struct in6_addr parsed;
  uint64_t number;
  size_t n;
  int family = AF_INET;

  if (colon == NULL || units_parse (UNIT_NONE, colon + 1, &number) != ERROR_NONE)
    return ERROR_INVALID;
  n = (size_t)(colon - address);
  if (n >= 2 && address[0] == '[' && address[n - 1] == ']')
    {
      family = AF_INET6;
      start++;
      n -= 2;
    }
  if (number == 0 || number > UINT16_MAX || n >= INET6_ADDRSTRLEN)
    return ERROR_INVALID;
  memcpy (ip, start, n);
  ip[n] = '\0';
  if (inet_pton (family, ip, &parsed) != 1)
    return ERROR_INVALID;
  inet_ntop (family, &parsed, ip, INET6_ADDRSTRLEN);
  *port = (uint16_t)number;
  return ERROR_NONE;
}

static bool
has_backend (const struct Settings *settings, const char *name, size_t *index)
{
  for (*index = 0; *index < settings->n_backends; (*index)++)
    if (strcmp (settings->backends[*index].name, name) == 0)
      return true;
  return false;
}

/* Returns the structure for the keys of [backend NAME]; NULL if there are too many. */
static struct BackendSetting *
add_backend (struct SettingsDraft *draft,
             struct ConfigReader *reader,
             const char *name,
             uint32_t line)
{
  struct Settings *settings = draft->settings;
  struct BackendSetting *backend;
  size_t duplicate;

  if (!config_name_is_valid (name))
    config_faults_add (reader->faults, reader->file, line, "[backend]",
                       "write [backend NAME], of 1 to 64 letters, digits, '-', '_' and '.'",
                       "'%s' is not a valid name", name);
  else if (has_backend (settings, name, &duplicate))
    config_faults_add (
        reader->faults, reader->file, line, "[backend]", "give each backend server a unique name",
        "the name '%s' is already used on line %u", name, draft->backend_lines[duplicate]);
  if (settings->n_backends == SETTINGS_BACKENDS_MAX)
    {
      config_faults_add (reader->faults, reader->file, line, "[backend]",
                         "list the others in the platform's server list",
                         "more than %d backend servers", SETTINGS_BACKENDS_MAX);
      return NULL;
    }
  backend = &settings->backends[settings->n_backends];
  memset (backend, 0, sizeof *backend);
  snprintf (backend->name, sizeof backend->name, "%.*s", NAME_MAX_BYTES, name);
  draft->backend_lines[settings->n_backends++] = line;
  return backend;
}

static void *
open_section (void *data,
              struct ConfigReader *reader,
              const struct ConfigSection *section,
              const char *name,
              uint32_t line)
{
  struct SettingsDraft *draft = data;

  if (section == &sections[SECTION_BACKEND])
    return add_backend (draft, reader, name, line);
  if (section == &sections[SECTION_SECRETS])
    return draft;
  return draft->settings;
}

/* Adds a fault for a second listener on the same address, whose bind would fail at start. */
static void
check_listener (struct ConfigReader *reader, const char *const listens[], size_t i)
{
  char key[32];

  for (size_t j = 0; j < i; j++)
    {
      if (listens[i][0] == '\0' || strcmp (listens[i], listens[j]) != 0)
        continue;
      snprintf (key, sizeof key, "[listen] %s", listen_keys[i].name);
      config_faults_add (reader->faults, reader->file,
                         config_reader_line (reader, "listen", listen_keys[i].name), key,
                         "give each listener its own port", "%s is also the address of '%s'",
                         listens[i], listen_keys[j].name);
      return;
    }
}

static void
check_listeners (struct ConfigReader *reader, const struct Settings *settings)
{
  const char *const listens[] = { settings->caller_listen, settings->operator_listen,
                                  settings->peer_listen };

  for (size_t i = 1; i < sizeof listens / sizeof listens[0]; i++)
    check_listener (reader, listens, i);
}

static void
check_partitions (struct ConfigReader *reader, const struct Settings *settings)
{
  if (settings->partition_group_size <= settings->n_partitions)
    return;
  config_faults_add (reader->faults, reader->file,
                     config_reader_line (reader, "homes", "group_size"), "[homes] group_size",
                     "lower it, or raise partitions",
                     "the group size exceeds the number of partitions");
}

static void
check_prefix (struct ConfigReader *reader, struct Settings *settings)
{
  size_t n = strlen (settings->prefix);

  if (n > 1 && settings->prefix[n - 1] == '/' && settings->prefix[0] != '/')
    return;
  config_faults_add (reader->faults, reader->file,
                     config_reader_line (reader, "platform", "prefix"), "[platform] prefix",
                     "write it as buckthornhead/", "'%s' does not end with '/', or starts with it",
                     settings->prefix);
}

static void
add_token_fault (struct ConfigReader *reader, const char *remedy, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
add_token_fault (struct ConfigReader *reader, const char *remedy, const char *format, ...)
{
  char message[FAULT_MESSAGE_BYTES];
  va_list args;

  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  config_faults_add (reader->faults, reader->file,
                     config_reader_line (reader, "secrets", "operator_token_file"),
                     "[secrets] operator_token_file", remedy, "%s", message);
}

static void
read_token (struct ConfigReader *reader, const char *file, struct Settings *settings)
{
  char token[sizeof settings->operator_token + 1] = "";
  FILE *stream = fopen (file, "re");
  size_t n;

  if (stream == NULL)
    {
      add_token_fault (reader, "write the token to this file and let this user read it", "'%s': %s",
                       file, strerror (errno));
      return;
    }
  n = fread (token, 1, sizeof token - 1, stream);
  fclose (stream);
  token[n] = '\0';
  token[strcspn (token, "\r\n")] = '\0';
  if (token[0] == '\0')
    add_token_fault (reader, "write the token on its first line", "'%s' contains no token", file);
  else if (strlen (token) >= sizeof settings->operator_token)
    add_token_fault (reader, "use a token of at most 127 bytes", "the token in '%s' is too long",
                     file);
  else
    memcpy (settings->operator_token, token, sizeof settings->operator_token);
}

char *
config_file_read (TALLOC_CTX *ctx, const char *file, struct ConfigFaults *faults)
{
  FILE *stream = fopen (file, "re");
  char *text = NULL;
  size_t n;

  if (stream == NULL)
    {
      config_faults_add (faults, file, 1, "", "check the path and its permissions", "%s",
                         strerror (errno));
      return NULL;
    }
  text = talloc_array (ctx, char, SETTINGS_FILE_MAX_BYTES + 1);
  if (text == NULL)
    goto out;
  n = fread (text, 1, SETTINGS_FILE_MAX_BYTES, stream);
  text[n] = '\0';
  if (ferror (stream) || !feof (stream) || strlen (text) != n)
    {
      config_faults_add (faults, file, 1, "", "use an INI file of at most 1 MB",
                         "the file is not text, is too large or cannot be read");
      TALLOC_FREE (text);
    }
out:
  fclose (stream);
  return text;
}

int32_t
settings_parse (TALLOC_CTX *ctx,
                const char *file,
                const char *text,
                struct Settings **settings,
                struct ConfigFaults *faults)
{
  struct SettingsDraft draft = { .settings = talloc_zero (ctx, struct Settings) };
  struct ConfigReader reader = {
    .file = file,
    .sections = sections,
    .n_sections = sizeof sections / sizeof sections[0],
    .open = open_section,
    .data = &draft,
    .faults = faults,
  };
  size_t n_before = faults->n_items;

  *settings = NULL;
  if (draft.settings == NULL)
    return ERROR_NO_MEMORY;
  draft.settings->backends =
      talloc_array (draft.settings, struct BackendSetting, SETTINGS_BACKENDS_MAX);
  draft.backend_lines = talloc_zero_array (draft.settings, uint32_t, SETTINGS_BACKENDS_MAX);
  if (draft.settings->backends == NULL || draft.backend_lines == NULL)
    {
      talloc_free (draft.settings);
      return ERROR_NO_MEMORY;
    }
  config_read (&reader, text);
  check_listeners (&reader, draft.settings);
  check_partitions (&reader, draft.settings);
  check_prefix (&reader, draft.settings);
  if (draft.token_file[0] != '\0')
    read_token (&reader, draft.token_file, draft.settings);
  config_faults_sort (faults);
  talloc_free (draft.backend_lines);
  if (faults->n_items > n_before)
    {
      talloc_free (draft.settings);
      return ERROR_INVALID;
    }
  *settings = draft.settings;
  return ERROR_NONE;
}

int32_t
settings_load (TALLOC_CTX *ctx,
               const char *file,
               struct Settings **settings,
               struct ConfigFaults *faults)
{
  char *text = config_file_read (ctx, file, faults);
  int32_t error;

  *settings = NULL;
  if (text == NULL)
    return ERROR_INVALID;
  error = settings_parse (ctx, file, text, settings, faults);
  talloc_free (text);
  return error;
}
