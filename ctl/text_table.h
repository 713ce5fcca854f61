/* Prints arrays of JSON objects as text tables. */
#pragma once

#include <jansson.h>
#include <stdio.h>

enum TextColumnKind
{
  TEXT_COLUMN_TEXT,    /* any value, unchanged and left-aligned */
  TEXT_COLUMN_NUMBER,  /* right-aligned */
  TEXT_COLUMN_BOOLEAN, /* "yes" or "no" */
  TEXT_COLUMN_TIME     /* milliseconds since 1970, printed in RFC 3339 format */
};

struct TextColumn
{
  const char *title; /* NULL ends the list of columns */
  const char *key;
  enum TextColumnKind kind;
};

/* Prints the titles, then a line for each row in array order; "-" if a row lacks the key. */
void
text_table_print (FILE *out, const struct TextColumn *columns, const json_t *rows);

/* Prints text received from a server, with control characters except newline and tab replaced by
 * '?', so that it cannot control the terminal. */
void
text_print_safe (FILE *out, const char *text);

/* Prints a line "KEY: VALUE" for each member; nested values as JSON. */
void
text_object_print (FILE *out, const json_t *object);
