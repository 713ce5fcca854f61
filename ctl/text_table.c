#include "text_table.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  CELL_BYTES = 96,
  COLUMNS_MAX = 16,
  MS_PER_SECOND = 1000
};

static void
replace_control_characters (char *text)
{
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < 0x20 || *c == 0x7f)
      *c = '?';
}

static void
format_time (const json_t *value, char out[CELL_BYTES])
{
  time_t seconds = (time_t)(json_integer_value (value) / MS_PER_SECOND);
  struct tm utc;

  if (gmtime_r (&seconds, &utc) == NULL
      || strftime (out, CELL_BYTES, "%Y-%m-%dT%H:%M:%SZ", &utc) == 0)
    snprintf (out, CELL_BYTES, "-");
}

static void
format_cell (const struct TextColumn *column, const json_t *row, char out[CELL_BYTES])
{
  const json_t *value = json_object_get (row, column->key);
  char *text;

  if (value == NULL || json_is_null (value))
    snprintf (out, CELL_BYTES, "-");
  else if (column->kind == TEXT_COLUMN_BOOLEAN && json_is_boolean (value))
    snprintf (out, CELL_BYTES, "%s", json_is_true (value) ? "yes" : "no");
  else if (column->kind == TEXT_COLUMN_TIME && json_is_integer (value))
    format_time (value, out);
  else if (json_is_string (value))
    snprintf (out, CELL_BYTES, "%s", json_string_value (value));
  else
    {
      text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT | JSON_REAL_PRECISION (6));
      snprintf (out, CELL_BYTES, "%s", text != NULL ? text : "-");
      free (text);
    }
  replace_control_characters (out);
}

static void
measure_columns (const struct TextColumn *columns, const json_t *rows, int widths[COLUMNS_MAX])
{
  char cell[CELL_BYTES];

  for (int i = 0; i < COLUMNS_MAX && columns[i].title != NULL; i++)
    {
      widths[i] = (int)strlen (columns[i].title);
      for (size_t row = 0; row < json_array_size (rows); row++)
        {
          format_cell (&columns[i], json_array_get (rows, row), cell);
          if ((int)strlen (cell) > widths[i])
            widths[i] = (int)strlen (cell);
        }
    }
}

static void
print_cell (FILE *out, const struct TextColumn *columns, int i, int width, const char *text)
{
  const char *gap = i == 0 ? "" : "  ";

  if (columns[i].kind == TEXT_COLUMN_NUMBER)
    fprintf (out, "%s%*s", gap, width, text);
  else if (i + 1 < COLUMNS_MAX && columns[i + 1].title != NULL)
    fprintf (out, "%s%-*s", gap, width, text);
  else
    fprintf (out, "%s%s", gap, text);
}

void
text_table_print (FILE *out, const struct TextColumn *columns, const json_t *rows)
{
  int widths[COLUMNS_MAX] = { 0 };
  char cell[CELL_BYTES];

  measure_columns (columns, rows, widths);
  for (int i = 0; i < COLUMNS_MAX && columns[i].title != NULL; i++)
    print_cell (out, columns, i, widths[i], columns[i].title);
  fputc ('\n', out);
  for (size_t row = 0; row < json_array_size (rows); row++)
    {
      for (int i = 0; i < COLUMNS_MAX && columns[i].title != NULL; i++)
        {
          format_cell (&columns[i], json_array_get (rows, row), cell);
          print_cell (out, columns, i, widths[i], cell);
        }
      fputc ('\n', out);
    }
}

void
text_print_safe (FILE *out, const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    fputc (((unsigned char)*c < 0x20 && *c != '\n' && *c != '\t') || *c == 0x7f ? '?' : *c, out);
}

void
text_object_print (FILE *out, const json_t *object)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
  {
    char *text = json_is_string (value) ? strdup (json_string_value (value))
                                        : json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);

    fprintf (out, "%s: ", key);
    text_print_safe (out, text != NULL ? text : "");
    fputc ('\n', out);
    free (text);
  }
}
