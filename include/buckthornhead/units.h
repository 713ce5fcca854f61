/* Numbers with units, as written in settings and profiles. */
#pragma once

#include <stdint.h>

enum
{
  UNITS_TEXT_BYTES = 32
};

enum Unit
{
  UNIT_NONE,   /* digits only */
  UNIT_TIME,   /* suffix ms, s, m or h required; value in milliseconds */
  UNIT_BYTES,  /* no suffix, K (1024) or M */
  UNIT_TOKENS, /* no suffix, K (1000) or M */
};

/* Parses the whole text. Returns ERROR_INVALID for anything but digits with one of the unit's
 * suffixes, and on overflow of *value. */
int32_t
units_parse (enum Unit unit, const char *text, uint64_t *value);

/* Formats value with the largest suffix that leaves a whole number; units_parse reads it back. */
void
units_render (enum Unit unit, uint64_t value, char out[UNITS_TEXT_BYTES]);

/* Describes the form of a value, for remedies: "a whole number with a unit ms, s, m or h". */
const char *
units_describe (enum Unit unit);
