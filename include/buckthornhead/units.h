/* Numbers with units, as settings and profiles write them. */
#pragma once

#include <stdint.h>

enum
{
  UNITS_TEXT_BYTES = 32
};

enum Unit
{
  UNIT_NONE,   /* digits only */
  UNIT_TIME,   /* ms, s, m or h, never bare; in milliseconds */
  UNIT_BYTES,  /* bare, K (1024) or M */
  UNIT_TOKENS, /* bare, K (1000) or M */
};

/* Parses all of text. ERROR_INVALID for anything but digits with one of the unit's suffixes, and
 * for what does not fit into *value. */
int32_t
units_parse (enum Unit unit, const char *text, uint64_t *value);

/* Writes value with the largest suffix that keeps it whole; units_parse reads it back. */
void
units_render (enum Unit unit, uint64_t value, char out[UNITS_TEXT_BYTES]);

/* What a value of this unit looks like, for remedies: "a number with its unit ms, s, m or h". */
const char *
units_describe (enum Unit unit);
