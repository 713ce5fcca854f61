/* Tables for people, from arrays of JSON objects. */
#pragma once

#include <jansson.h>
#include <stdio.h>

enum TextColumnKind
{
  TEXT_COLUMN_TEXT,   /* any value as it is */
  TEXT_COLUMN_NUMBER, /* to the right */
  TEXT_COLUMN_YES,    /* true: "yes", false: "no" */
  TEXT_COLUMN_TIME    /* milliseconds since 1970 as RFC 3339 */
};

struct TextColumn
{
  const char *title; /* NULL ends a table's columns */
  const char *key;
  enum TextColumnKind kind;
};

/* Rows in the order of array, a line each below the titles; "-" where a row has no such key. */
void
text_table_print (FILE *out, const struct TextColumn *columns, const json_t *rows);

/* Text of a server as it may be shown on a terminal: control characters become '?'. */
void
text_print_safe (FILE *out, const char *text);

/* "KEY: VALUE", a line each; nested values as JSON. */
void
text_object_print (FILE *out, const json_t *object);
