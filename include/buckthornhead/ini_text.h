/* INI text, line by line, with the line numbers and the whole of section names.
 *
 * inih parses; what it would report as the first bad line only, or cut silently (long lines, long
 * section names, indented lines taken as continuations), is found here, so that one run shows
 * every fault. */
#pragma once

#include <buckthornhead/profile.h>

enum
{
  INI_LINE_MAX_BYTES = 190,
  INI_SECTION_MAX_BYTES = 96
};

/* One line that means something. Valid during the callback only. */
struct IniLine
{
  uint32_t line;
  const char *section; /* "" before the first section */
  const char *key;     /* NULL: the section starts here */
  const char *value;
};

typedef void (*IniLineFn) (void *data, const struct IniLine *line);

/* Calls fn for each section start and each key in order; adds a fault for each other line that is
 * neither blank nor a comment. Returns the number of lines. */
uint32_t
ini_text_each (
    const char *file, const char *text, IniLineFn fn, void *data, struct ConfigFaults *faults);
