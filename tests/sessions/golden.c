#include "golden.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

/* Placeholders of the ids found so far. */
struct Placeholders
{
  json_t *by_id;  /* id -> "<kind n>" */
  json_t *counts; /* kind -> n */
};

/* Members whose string value is an id. Other members keep their value. */
static const char *const id_members[] = {
  "program", "home", "backend", "parent", "instance", "id"
};

static bool
is_id_member (const char *name)
{
  for (size_t i = 0; i < sizeof id_members / sizeof id_members[0]; i++)
    if (strcmp (name, id_members[i]) == 0)
      return true;
  return false;
}

static bool
is_time_member (const char *name)
{
  size_t n = strlen (name);

  return n > 3 && strcmp (name + n - 3, "_ms") == 0;
}

static json_t *
golden_placeholder (struct Placeholders *placeholders, const char *kind, const char *id)
{
  json_t *name = json_object_get (placeholders->by_id, id);
  char text[64];
  json_int_t n;

  if (name != NULL || id[0] == '\0')
    return name != NULL ? json_incref (name) : json_string ("");
  n = json_integer_value (json_object_get (placeholders->counts, kind)) + 1;
  json_object_set_new (placeholders->counts, kind, json_integer (n));
  snprintf (text, sizeof text, "<%s %d>", kind, (int)n);
  name = json_string (text);
  json_object_set (placeholders->by_id, id, name);
  return name;
}

static int
compare_turns (const void *a, const void *b)
{
  const json_t *x = *(json_t *const *)a;
  const json_t *y = *(json_t *const *)b;
  int branches = strcmp (json_string_value (json_object_get (x, "branch")),
                         json_string_value (json_object_get (y, "branch")));
  json_int_t left = json_integer_value (json_object_get (x, "sequence"));
  json_int_t right = json_integer_value (json_object_get (y, "sequence"));

  return branches != 0 ? branches : (left > right) - (left < right);
}

/* Sorts turns by branch: sub-agents run concurrently; only the order within a branch is fixed. */
static void
golden_sort_history (json_t *history)
{
  size_t n = json_array_size (history);
  json_t **turns = calloc (n + 1, sizeof (json_t *));

  for (size_t i = 0; i < n; i++)
    turns[i] = json_incref (json_array_get (history, i));
  qsort (turns, n, sizeof (json_t *), compare_turns);
  json_array_clear (history);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (history, turns[i]);
  free (turns);
}

static void
golden_normalise_value (struct Placeholders *placeholders, json_t *json)
{
  const char *member;
  json_t *value;
  void *next;
  size_t i;

  json_array_foreach (json, i, value) { golden_normalise_value (placeholders, value); }
  golden_sort_history (json_object_get (json, "history"));
  /* The number of releases still pending at the time of the query depends on timing. */
  json_object_del (json, "backends_to_release");
  json_object_foreach_safe (json, next, member, value)
  {
    if (strcmp (member, "history_digest") == 0)
      json_object_set_new (json, member, json_string ("<digest>"));
    else if (is_id_member (member) && json_is_string (value))
      json_object_set_new (json, member,
                           golden_placeholder (placeholders, member, json_string_value (value)));
    else if (is_time_member (member) && json_is_number (value))
      json_object_set_new (json, member, json_integer (0));
    else
      golden_normalise_value (placeholders, value);
  }
}

void
golden_normalise (json_t *json)
{
  struct Placeholders placeholders = { json_object (), json_object () };

  golden_normalise_value (&placeholders, json);
  json_decref (placeholders.by_id);
  json_decref (placeholders.counts);
}

static char *
golden_path (const char *name)
{
  const char *folder = getenv ("GOLDEN_FOLDER");

  return talloc_asprintf (NULL, "%s/%s.json", folder != NULL ? folder : "tests/golden", name);
}

static void
golden_print (const char *title, const json_t *json)
{
  fprintf (stderr, "%s:\n", title);
  json_dumpf (json, stderr, JSON_INDENT (2));
  fputc ('\n', stderr);
}

static bool
golden_write (const char *path, const json_t *lines)
{
  FILE *file = fopen (path, "w");
  bool written = file != NULL && json_dumpf (lines, file, JSON_INDENT (2)) == 0;

  if (file != NULL)
    {
      fputc ('\n', file);
      written = fclose (file) == 0 && written;
    }
  return written;
}

bool
golden_matches (const char *name, json_t *lines)
{
  char *path = golden_path (name);
  json_t *expected;
  bool matches;

  golden_normalise (lines);
  if (getenv ("GOLDEN_UPDATE") != NULL)
    {
      matches = golden_write (path, lines);
      talloc_free (path);
      return matches;
    }
  expected = json_load_file (path, 0, NULL);
  matches = expected != NULL && json_equal (expected, lines) == 1;
  if (!matches)
    {
      fprintf (stderr, "%s differs from the output of this session\n", path);
      golden_print ("golden", expected);
      golden_print ("session", lines);
    }
  json_decref (expected);
  talloc_free (path);
  return matches;
}
