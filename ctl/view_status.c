#include "views.h"

#include "text_table.h"

#include <string.h>

enum
{
  MS_PER_SECOND = 1000
};

static const struct TextColumn instance_columns[] = {
  { "INSTANCE", "instance", TEXT_COLUMN_TEXT },
  { "ZONE", "zone", TEXT_COLUMN_TEXT },
  { "STATE", "state", TEXT_COLUMN_TEXT },
  { "REVISION", "config_revision", TEXT_COLUMN_NUMBER },
  { "PARTITIONS", "partitions", TEXT_COLUMN_NUMBER },
  { "PROGRAMS", "programs", TEXT_COLUMN_NUMBER },
  { "IN FLIGHT", "in_flight", TEXT_COLUMN_NUMBER },
  { "WAITING", "waiting", TEXT_COLUMN_NUMBER },
  { "PLATFORM", "platform_up", TEXT_COLUMN_BOOLEAN },
  { "SUSPECTED", "suspected", TEXT_COLUMN_BOOLEAN },
  { NULL, NULL, TEXT_COLUMN_TEXT },
};

static json_int_t
get_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static void
print_outcomes (FILE *out, const json_t *outcomes)
{
  double prefix = (double)get_integer (outcomes, "prefix_tokens");
  double cached = (double)get_integer (outcomes, "cached_tokens");
  double mean_ms = json_number_value (json_object_get (outcomes, "program_ms_mean"));

  fprintf (out,
           "Programs       created %" JSON_INTEGER_FORMAT ", finished %" JSON_INTEGER_FORMAT
           ", late %" JSON_INTEGER_FORMAT ", over budget %" JSON_INTEGER_FORMAT
           ", cancelled %" JSON_INTEGER_FORMAT "\n",
           get_integer (outcomes, "created"), get_integer (outcomes, "done"),
           get_integer (outcomes, "late"), get_integer (outcomes, "over_budget"),
           get_integer (outcomes, "cancelled"));
  fprintf (out,
           "Calls          refused %" JSON_INTEGER_FORMAT
           " (not run), may have run %" JSON_INTEGER_FORMAT "\n",
           get_integer (outcomes, "refused"), get_integer (outcomes, "may_have_run"));
  fprintf (out, "Latency        %.1f s a program, mean\n", mean_ms / MS_PER_SECOND);
  if (prefix > 0)
    fprintf (out, "Wasted cache   %.1f%% of the prompt tokens were not found cached\n",
             100.0 * (prefix - cached) / prefix);
  else
    fputs ("Wasted cache   nothing measured yet\n", out);
}

static void
print_configuration (FILE *out, const json_t *body)
{
  const json_t *instances = json_object_get (body, "instances");
  json_int_t revision = get_integer (body, "config_revision");
  size_t n_current = 0;

  for (size_t i = 0; i < json_array_size (instances); i++)
    if (get_integer (json_array_get (instances, i), "config_revision") >= revision)
      n_current++;
  fprintf (out,
           "Configuration  revision %" JSON_INTEGER_FORMAT
           " in force on %zu of %zu instances, the oldest is %" JSON_INTEGER_FORMAT "\n",
           revision, n_current, json_array_size (instances), get_integer (body, "oldest_revision"));
}

static void
print_platform (FILE *out, const json_t *instances)
{
  size_t n_up = 0;

  for (size_t i = 0; i < json_array_size (instances); i++)
    if (json_is_true (json_object_get (json_array_get (instances, i), "platform_up")))
      n_up++;
  fprintf (out, "Platform       up for %zu of %zu instances\n", n_up, json_array_size (instances));
}

static void
print_draining (FILE *out, const json_t *instances)
{
  const char *separator = "";

  fputs ("Draining       ", out);
  for (size_t i = 0; i < json_array_size (instances); i++)
    {
      const json_t *instance = json_array_get (instances, i);
      const char *state = json_string_value (json_object_get (instance, "state"));
      const char *name = json_string_value (json_object_get (instance, "instance"));

      if (state == NULL || name == NULL || strcmp (state, "draining") != 0)
        continue;
      fputs (separator, out);
      text_print_safe (out, name);
      separator = ", ";
    }
  fputs (*separator == '\0' ? "nobody\n" : "\n", out);
}

static void
print_attention (FILE *out, const json_t *attention)
{
  if (json_array_size (attention) == 0)
    {
      fputs ("\nNothing needs a person.\n", out);
      return;
    }
  fputs ("\nNeeds a person:\n", out);
  for (size_t i = 0; i < json_array_size (attention); i++)
    {
      const json_t *item = json_array_get (attention, i);
      const char *what = json_string_value (json_object_get (item, "what"));
      const char *remedy = json_string_value (json_object_get (item, "remedy"));

      fputs ("  - ", out);
      text_print_safe (out, what != NULL ? what : "?");
      fputs ("; ", out);
      text_print_safe (out, remedy != NULL ? remedy : "check the log of the instance");
      fputc ('\n', out);
    }
}

void
view_status (FILE *out, const json_t *body)
{
  const json_t *instances = json_object_get (body, "instances");

  print_outcomes (out, json_object_get (body, "outcomes"));
  print_configuration (out, body);
  print_platform (out, instances);
  print_draining (out, instances);
  fputc ('\n', out);
  text_table_print (out, instance_columns, instances);
  print_attention (out, json_object_get (body, "attention"));
}

void
view_instances (FILE *out, const json_t *body)
{
  text_table_print (out, instance_columns, json_object_get (body, "instances"));
}
