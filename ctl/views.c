#include "views.h"

#include "text_table.h"

#include <inttypes.h>

static const struct TextColumn backend_columns[] = {
  { "BACKEND", "name", TEXT_COLUMN_TEXT },
  { "ZONE", "zone", TEXT_COLUMN_TEXT },
  { "KIND", "kind", TEXT_COLUMN_TEXT },
  { "TARGET", "target", TEXT_COLUMN_TEXT },
  { "ADDRESS", "address", TEXT_COLUMN_TEXT },
  { "OWNER", "owner", TEXT_COLUMN_TEXT },
  { "STATE", "state", TEXT_COLUMN_TEXT },
  { "IN FLIGHT", "in_flight", TEXT_COLUMN_NUMBER },
  { "LIMIT", "limit", TEXT_COLUMN_NUMBER },
  { "WAITING", "waiting", TEXT_COLUMN_NUMBER },
  { "MS/CALL", "service_ms_per_call", TEXT_COLUMN_NUMBER },
  { NULL, NULL, TEXT_COLUMN_TEXT },
};

static const struct TextColumn program_columns[] = {
  { "PROGRAM", "program", TEXT_COLUMN_TEXT },
  { "SERVICE", "service", TEXT_COLUMN_TEXT },
  { "STATE", "state", TEXT_COLUMN_TEXT },
  { "TURNS", "turns", TEXT_COLUMN_NUMBER },
  { "CHARGED", "charged_tokens", TEXT_COLUMN_NUMBER },
  { "RESERVED", "reserved_tokens", TEXT_COLUMN_NUMBER },
  { "BUDGET", "budget_tokens", TEXT_COLUMN_NUMBER },
  { "CREATED", "created_unix_ms", TEXT_COLUMN_TIME },
  { NULL, NULL, TEXT_COLUMN_TEXT },
};

static const struct TextColumn profile_columns[] = {
  { "PROFILE", "name", TEXT_COLUMN_TEXT },
  { "REVISION", "revision", TEXT_COLUMN_NUMBER },
  { NULL, NULL, TEXT_COLUMN_TEXT },
};

static const struct TextColumn service_columns[] = {
  { "SERVICE", "name", TEXT_COLUMN_TEXT },
  { "PROFILE", "profile", TEXT_COLUMN_TEXT },
  { "REVISION", "revision", TEXT_COLUMN_NUMBER },
  { NULL, NULL, TEXT_COLUMN_TEXT },
};

static const struct TextColumn audit_columns[] = {
  { "REVISION", "revision", TEXT_COLUMN_NUMBER },
  { "WHEN", "when_unix_ms", TEXT_COLUMN_TIME },
  { "WHO", "who", TEXT_COLUMN_TEXT },
  { "KIND", "kind", TEXT_COLUMN_TEXT },
  { "NAME", "name", TEXT_COLUMN_TEXT },
  { "CHANGE", "change_id", TEXT_COLUMN_TEXT },
  { "REASON", "reason", TEXT_COLUMN_TEXT },
  { NULL, NULL, TEXT_COLUMN_TEXT },
};

void
view_backends (FILE *out, const json_t *body)
{
  text_table_print (out, backend_columns, json_object_get (body, "backends"));
}

void
view_programs (FILE *out, const json_t *body)
{
  text_table_print (out, program_columns, json_object_get (body, "programs"));
}

void
view_profiles (FILE *out, const json_t *body)
{
  text_table_print (out, profile_columns, json_object_get (body, "profiles"));
}

void
view_profile (FILE *out, const json_t *body)
{
  const char *text = json_string_value (json_object_get (body, "text"));

  fprintf (out, "; revision %" JSON_INTEGER_FORMAT "\n",
           json_integer_value (json_object_get (body, "revision")));
  text_print_safe (out, text != NULL ? text : "");
}

void
view_services (FILE *out, const json_t *body)
{
  text_table_print (out, service_columns, json_object_get (body, "services"));
}

/* Prints title, then text with each line indented. */
static void
print_block (FILE *out, const char *title, const char *text)
{
  fprintf (out, "  %s:\n", title);
  while (*text != '\0')
    {
      const char *end = text;

      while (*end != '\0' && *end != '\n')
        end++;
      fputs ("    ", out);
      for (; text < end; text++)
        fputc ((unsigned char)*text < 0x20 || *text == 0x7f ? '?' : *text, out);
      fputc ('\n', out);
      if (*text == '\n')
        text++;
    }
}

static void
print_change (FILE *out, const json_t *change)
{
  const char *before = json_string_value (json_object_get (change, "before"));
  const char *after = json_string_value (json_object_get (change, "after"));

  fprintf (out, "\nrevision %" JSON_INTEGER_FORMAT "\n",
           json_integer_value (json_object_get (change, "revision")));
  print_block (out, "before", before != NULL && before[0] != '\0' ? before : "(nothing)");
  print_block (out, "after", after != NULL && after[0] != '\0' ? after : "(nothing)");
}

void
view_audit (FILE *out, const json_t *body)
{
  const json_t *changes = json_object_get (body, "changes");

  text_table_print (out, audit_columns, changes);
  for (size_t i = 0; i < json_array_size (changes); i++)
    print_change (out, json_array_get (changes, i));
}

void
view_object (FILE *out, const json_t *body)
{
  text_object_print (out, body);
}
