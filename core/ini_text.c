#include <buckthornhead/ini_text.h>

#include <ctype.h>
#include <ini.h>
#include <stdio.h>
#include <string.h>

static const char utf8_bom[] = "\xEF\xBB\xBF";

struct IniReader
{
  const char *file;
  const char *next; /* unread text */
  IniLineFn fn;
  void *data;
  struct ConfigFaults *faults;
  uint32_t line;
  bool key_pending;     /* the line was passed to inih, which has not called on_key for it yet */
  bool section_unknown; /* the last section's name was malformed; its keys are skipped */
  char section[INI_SECTION_MAX_BYTES + 1];
};

static void
add_fault (struct IniReader *reader, const char *remedy, const char *message)
{
  config_faults_add (reader->faults, reader->file, reader->line, "", remedy, "%s", message);
}

/* inih skips lines that it cannot parse and reports only the first of them. A line was skipped if
 * inih reads the next one before it has called the handler for it. */
static void
check_key_pending (struct IniReader *reader)
{
  if (reader->key_pending)
    add_fault (reader, "write [section], key = value, or start a comment with ; or #",
               "the line is not a section, a key with a value or a comment");
  reader->key_pending = false;
}

static void
trim (const char **start, size_t *n)
{
  while (*n > 0 && isspace ((unsigned char)**start))
    {
      (*start)++;
      (*n)--;
    }
  while (*n > 0 && isspace ((unsigned char)(*start)[*n - 1]))
    (*n)--;
}

/* Returns the next line, trimmed; false at the end of the text. */
static bool
next_line (struct IniReader *reader, const char **start, size_t *n)
{
  if (*reader->next == '\0')
    return false;
  *start = reader->next;
  *n = strcspn (reader->next, "\n");
  reader->next += *n;
  if (*reader->next == '\n')
    reader->next++;
  reader->line++;
  if (reader->line == 1 && strncmp (*start, utf8_bom, strlen (utf8_bom)) == 0)
    {
      *start += strlen (utf8_bom);
      *n -= strlen (utf8_bom);
    }
  trim (start, n);
  return true;
}

static bool
is_section_line (const char *start, size_t n, size_t *name_bytes)
{
  const char *end = memchr (start, ']', n);
  const char *rest;
  size_t rest_bytes;

  if (end == NULL)
    return false;
  *name_bytes = (size_t)(end - start) - 1;
  rest = end + 1;
  rest_bytes = n - *name_bytes - 2;
  trim (&rest, &rest_bytes);
  return rest_bytes == 0 || *rest == ';' || *rest == '#';
}

static void
start_section (struct IniReader *reader, const char *start, size_t n)
{
  struct IniLine line = { .line = reader->line, .section = reader->section };
  const char *name = start + 1;
  size_t name_bytes = 0;

  reader->section_unknown = !is_section_line (start, n, &name_bytes);
  if (reader->section_unknown)
    {
      add_fault (reader, "write [section] alone on its line", "the section name is not terminated");
      return;
    }
  trim (&name, &name_bytes);
  if (name_bytes > INI_SECTION_MAX_BYTES)
    {
      add_fault (reader, "shorten it", "the section name is too long");
      name_bytes = INI_SECTION_MAX_BYTES;
    }
  snprintf (reader->section, sizeof reader->section, "%.*s", (int)name_bytes, name);
  reader->fn (reader->data, &line);
}

/* An ini_reader. Passes each line to inih trimmed, since inih would read an indented line as a
 * continuation of the previous one. A line that is handled here is passed as a blank one. */
static char *
read_line (char *out, int size, void *data)
{
  struct IniReader *reader = data;
  const char *start;
  size_t n;

  check_key_pending (reader);
  if (size < 2 || !next_line (reader, &start, &n))
    return NULL;
  out[0] = '\n';
  out[1] = '\0';
  if (n == 0 || *start == ';' || *start == '#')
    return out;
  if (n > INI_LINE_MAX_BYTES || n + 2 > (size_t)size)
    add_fault (reader, "shorten it to 190 bytes", "the line is too long");
  else if (*start == '[')
    start_section (reader, start, n);
  else
    {
      snprintf (out, (size_t)size, "%.*s\n", (int)n, start);
      reader->key_pending = true;
    }
  return out;
}

/* An ini_handler. inih truncates section names to 49 bytes, so its section is not used. */
static int
on_key (void *data, const char *section, const char *name, const char *value)
{
  struct IniReader *reader = data;
  struct IniLine line = { reader->line, reader->section, name, value };

  (void)section;
  if (value == NULL || *name == '\0')
    return 1;
  reader->key_pending = false;
  if (!reader->section_unknown)
    reader->fn (reader->data, &line);
  return 1;
}

uint32_t
ini_text_each (
    const char *file, const char *text, IniLineFn fn, void *data, struct ConfigFaults *faults)
{
  struct IniReader reader = {
    .file = file,
    .next = text,
    .fn = fn,
    .data = data,
    .faults = faults,
  };

  ini_parse_stream (read_line, &reader, on_key, &reader);
  return reader.line;
}
