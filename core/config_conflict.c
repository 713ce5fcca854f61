/* Detects conflicting edits; the fault names both revisions, the author and the differing keys. */
#include "config_fold.h"

#include <buckthornhead/error.h>
#include <buckthornhead/ini_text.h>

#include <stdio.h>
#include <string.h>

enum
{
  KEYS_MAX = 64 /* per text; further keys are not compared */
};

struct KeyValue
{
  char key[64];
  char value[INI_LINE_MAX_BYTES + 1];
};

struct KeyList
{
  struct KeyValue items[KEYS_MAX];
  size_t n_items;
};

static void
key_list_add (void *data, const struct IniLine *line)
{
  struct KeyList *list = data;
  struct KeyValue *item = NULL;

  if (line->key == NULL || list->n_items == KEYS_MAX)
    return;
  item = &list->items[list->n_items++];
  snprintf (item->key, sizeof item->key, "%s", line->key);
  snprintf (item->value, sizeof item->value, "%s", line->value);
}

static struct KeyList *
key_list_new (TALLOC_CTX *ctx, const char *text)
{
  struct KeyList *list = talloc_zero (ctx, struct KeyList);
  struct ConfigFaults *faults = talloc_zero (list, struct ConfigFaults);

  ini_text_each ("", text, key_list_add, list, faults);
  return list;
}

static const char *
key_list_value (const struct KeyList *list, const char *key)
{
  for (size_t i = 0; i < list->n_items; i++)
    if (strcmp (list->items[i].key, key) == 0)
      return list->items[i].value;
  return NULL;
}

/* Appends the keys of a that b lacks and, unless only_missing, those with another value in b. */
static char *
add_differing (char *keys, const struct KeyList *a, const struct KeyList *b, bool only_missing)
{
  for (size_t i = 0; i < a->n_items; i++)
    {
      const char *other = key_list_value (b, a->items[i].key);

      if (other != NULL && (only_missing || strcmp (other, a->items[i].value) == 0))
        continue;
      keys = talloc_asprintf_append (keys, "%s%s", keys[0] != '\0' ? ", " : "", a->items[i].key);
    }
  return keys;
}

static char *
differing_keys (TALLOC_CTX *ctx, const char *edited, const char *present)
{
  struct KeyList *a = key_list_new (ctx, edited);
  struct KeyList *b = key_list_new (ctx, present);
  char *keys = talloc_strdup (ctx, "");

  keys = add_differing (keys, a, b, false);
  keys = add_differing (keys, b, a, true);
  return keys[0] != '\0' ? keys : talloc_strdup (ctx, "none");
}

static const char *
kind_text (enum ConfigChangeKind kind)
{
  switch (kind)
    {
    case CONFIG_CHANGE_PROFILE:
      return "profile";
    case CONFIG_CHANGE_SERVICE:
      return "service";
    case CONFIG_CHANGE_DRAIN:
      return "drain of";
    }
  return "";
}

static int32_t
conflict_fault (const struct ConfigObject *present,
                const struct ConfigChange *change,
                struct Fault *fault)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *remedy = talloc_asprintf (ctx, "read revision %llu, decide again and send that",
                                  (unsigned long long)present->revision);
  char *differs = present->kind == CONFIG_CHANGE_PROFILE
                      ? talloc_asprintf (ctx, "keys that differ: %s",
                                         differing_keys (ctx, change->text, present->text))
                      : talloc_asprintf (ctx, "its value is %s, this edit sets %s", present->text,
                                         change->text);

  fault_set (fault, ERROR_CONFLICT, remedy,
             "%s %s is at revision %llu, changed by %s; this edit began from revision %llu; %s",
             kind_text (change->kind), change->name, (unsigned long long)present->revision,
             present->changed_by, (unsigned long long)change->expected_revision, differs);
  talloc_free (ctx);
  return ERROR_CONFLICT;
}

int32_t
config_fold_conflict (const struct ConfigFold *fold,
                      const struct ConfigChange *change,
                      struct Fault *fault)
{
  const struct ConfigObject *present = config_fold_find (fold, change->kind, change->name);
  uint64_t revision = present != NULL ? present->revision : 0;

  if (change->expected_revision == UINT64_MAX || change->expected_revision == revision)
    return ERROR_NONE;
  if (present != NULL)
    return conflict_fault (present, change, fault);
  return fault_set (fault, ERROR_CONFLICT, "send it as a new object with expected revision 0",
                    "%s %s does not exist; this edit began from revision %llu",
                    kind_text (change->kind), change->name,
                    (unsigned long long)change->expected_revision);
}
