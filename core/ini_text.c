#include <buckthornhead/ini_text.h>

#include <ctype.h>
#include <ini.h>
#include <stdio.h>
#include <string.h>

static const char utf8_mark[] = "\xEF\xBB\xBF";

struct IniReader
{
  const char *file;
  const char *next; /* text not read yet */
  IniLineFn fn;
  void *data;
  struct ConfigFaults *faults;
  uint32_t line;
  bool unanswered; /* the line was given to inih as "key = value", which has not answered yet */
  bool lost;       /* the last section's name was unreadable, so nobody knows whose its keys are */
  char section[INI_SECTION_MAX_BYTES + 1];
};

static void
add_fault (struct IniReader *reader, const char *remedy, const char *message)
{
  config_faults_add (reader->faults, reader->file, reader->line, "", remedy, "%s", message);
}

/* inih skips what it cannot read and names only the first such line: when the next line is asked
 * for and the handler has not seen this one, this one was skipped. */
static void
check_answered (struct IniReader *reader)
{
  if (reader->unanswered)
    add_fault (reader, "write [section], key = value, or start a comment with ; or #",
               "the line is neither a section, a key with its value, nor a comment");
  reader->unanswered = false;
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

/* The next line, trimmed; false at the end. */
static bool
take_line (struct IniReader *reader, const char **start, size_t *n)
{
  if (*reader->next == '\0')
    return false;
  *start = reader->next;
  *n = strcspn (reader->next, "\n");
  reader->next += *n;
  if (*reader->next == '\n')
    reader->next++;
  reader->line++;
  if (reader->line == 1 && strncmp (*start, utf8_mark, strlen (utf8_mark)) == 0)
    {
      *start += strlen (utf8_mark);
      *n -= strlen (utf8_mark);
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

  reader->lost = !is_section_line (start, n, &name_bytes);
  if (reader->lost)
    {
      add_fault (reader, "write [section] alone on its line", "the section's name has no end");
      return;
    }
  trim (&name, &name_bytes);
  if (name_bytes > INI_SECTION_MAX_BYTES)
    {
      add_fault (reader, "shorten it", "the section's name is too long");
      name_bytes = INI_SECTION_MAX_BYTES;
    }
  snprintf (reader->section, sizeof reader->section, "%.*s", (int)name_bytes, name);
  reader->fn (reader->data, &line);
}

/* ini_reader: gives inih each line trimmed (an indented line would count as a continuation of the
 * one before) and blank where it is dealt with here. */
static char *
read_line (char *out, int size, void *data)
{
  struct IniReader *reader = data;
  const char *start;
  size_t n;

  check_answered (reader);
  if (size < 2 || !take_line (reader, &start, &n))
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
      reader->unanswered = true;
    }
  return out;
}

/* ini_handler. inih's own section is cut at 49 bytes, so it is not used. */
static int
take_key (void *data, const char *section, const char *name, const char *value)
{
  struct IniReader *reader = data;
  struct IniLine line = { reader->line, reader->section, name, value };

  (void)section;
  if (value == NULL || *name == '\0')
    return 1;
  reader->unanswered = false;
  if (!reader->lost)
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

  ini_parse_stream (read_line, &reader, take_key, &reader);
  return reader.line;
}
