#include <buckthornhead/units.h>

#include <buckthornhead/error.h>

#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

struct UnitSuffix
{
  const char *suffix;
  uint64_t factor;
};

enum
{
  SUFFIXES_MAX = 5
};

/* Suffixes are ordered from the largest; a NULL suffix ends the list. */
struct UnitFormat
{
  const char *description;
  struct UnitSuffix suffixes[SUFFIXES_MAX];
};

static const struct UnitFormat unit_formats[] = {
  [UNIT_NONE] = { "a whole number without a unit", { { "", 1 } } },
  [UNIT_TIME] = { "a whole number with a unit ms, s, m or h",
                  { { "h", 3600000 }, { "m", 60000 }, { "s", 1000 }, { "ms", 1 } } },
  [UNIT_BYTES] = { "a whole number of bytes, with or without a suffix K or M",
                   { { "M", 1048576 }, { "K", 1024 }, { "", 1 } } },
  [UNIT_TOKENS] = { "a whole number of tokens, with or without a suffix K or M",
                    { { "M", 1000000 }, { "K", 1000 }, { "", 1 } } },
};

/* Parses leading digits. Returns the text after them, or NULL without digits or on overflow. */
static const char *
parse_digits (const char *text, uint64_t *value)
{
  const char *c = text;

  *value = 0;
  for (; *c >= '0' && *c <= '9'; c++)
    if (__builtin_mul_overflow (*value, UINT64_C (10), value)
        || __builtin_add_overflow (*value, (uint64_t)(*c - '0'), value))
      return NULL;
  return c != text ? c : NULL;
}

int32_t
units_parse (enum Unit unit, const char *text, uint64_t *value)
{
  uint64_t number;
  const char *suffix = parse_digits (text, &number);

  if (suffix == NULL)
    return ERROR_INVALID;
  for (const struct UnitSuffix *s = unit_formats[unit].suffixes; s->suffix != NULL; s++)
    {
      if (strcmp (s->suffix, suffix) != 0)
        continue;
      return __builtin_mul_overflow (number, s->factor, value) ? ERROR_INVALID : ERROR_NONE;
    }
  return ERROR_INVALID;
}

void
units_render (enum Unit unit, uint64_t value, char out[UNITS_TEXT_BYTES])
{
  const struct UnitSuffix *s = unit_formats[unit].suffixes;

  while (s->factor > 1 && (value % s->factor != 0 || value == 0))
    s++;
  snprintf (out, UNITS_TEXT_BYTES, "%" PRIu64 "%s", value / s->factor, s->suffix);
}

const char *
units_describe (enum Unit unit)
{
  return unit_formats[unit].description;
}
