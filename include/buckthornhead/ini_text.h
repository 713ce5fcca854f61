/* Reads INI text line by line, with line numbers and complete section names.
 *
 * inih does the parsing. It reports only the first bad line, silently truncates long lines and long
 * section names, and reads an indented line as a continuation. These cases are handled here, so
 * that one run reports every fault. */
#pragma once

#include <buckthornhead/profile.h>

enum
{
  INI_LINE_MAX_BYTES = 190,
  INI_SECTION_MAX_BYTES = 96
};

/* A section or key line. Valid only during the callback. */
struct IniLine
{
  uint32_t line;
  const char *section; /* "" before the first section */
  const char *key;     /* NULL: the line starts the section */
  const char *value;
};

typedef void (*IniLineFn) (void *data, const struct IniLine *line);

/* Calls fn for each section start and each key, in order. Adds a fault for each malformed line.
 * Returns the number of lines. */
uint32_t
ini_text_each (
    const char *file, const char *text, IniLineFn fn, void *data, struct ConfigFaults *faults);
