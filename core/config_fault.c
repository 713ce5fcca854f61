#include <buckthornhead/profile.h>

#include <stdarg.h>
#include <stdio.h>
#include <talloc.h>

enum
{
  FAULTS_MAX = 1000 /* a profile of many malformed lines must not exhaust the instance's memory */
};

void
config_faults_add (struct ConfigFaults *faults,
                   const char *file,
                   uint32_t line,
                   const char *key,
                   const char *remedy,
                   const char *format,
                   ...)
{
  struct ConfigFault *items;
  struct ConfigFault *fault;
  va_list args;

  if (faults->n_items == FAULTS_MAX)
    return;
  items = talloc_realloc (faults, faults->items, struct ConfigFault, faults->n_items + 1);
  if (items == NULL)
    return;
  faults->items = items;
  fault = &items[faults->n_items++];
  snprintf (fault->file, sizeof fault->file, "%s", file);
  fault->line = line;
  snprintf (fault->key, sizeof fault->key, "%s", key);
  snprintf (fault->remedy, sizeof fault->remedy, "%s", remedy);
  va_start (args, format);
  vsnprintf (fault->message, sizeof fault->message, format, args);
  va_end (args);
}

void
config_faults_sort (struct ConfigFaults *faults)
{
  for (size_t i = 1; i < faults->n_items; i++)
    for (size_t j = i; j > 0 && faults->items[j - 1].line > faults->items[j].line; j--)
      {
        struct ConfigFault swapped = faults->items[j];

        faults->items[j] = faults->items[j - 1];
        faults->items[j - 1] = swapped;
      }
}

char *
config_faults_render (TALLOC_CTX *ctx, const struct ConfigFaults *faults)
{
  char *text = talloc_strdup (ctx, "");

  for (size_t i = 0; i < faults->n_items && text != NULL; i++)
    {
      const struct ConfigFault *f = &faults->items[i];

      text = talloc_asprintf_append_buffer (text, "%s:%u: %s%s%s; %s\n", f->file, f->line, f->key,
                                            f->key[0] != '\0' ? ": " : "", f->message, f->remedy);
    }
  return text;
}
