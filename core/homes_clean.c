#include "homes_state.h"
#include "name_list.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>

#include <string.h>

enum
{
  CLEAN_PACE_MS = 250 /* between two deletions: they share the platform with the journals */
};

/* Deleting the slots of one dead journal. */
struct HomesCleaning
{
  struct Homes *homes;
  char *incarnation;
  char *folder;
  char **keys; /* all but the seal's */
  size_t n_keys;
};

void
homes_note_dropped (struct Homes *homes, const struct PartitionEntry *entry)
{
  for (uint32_t i = 0; i < entry->n_journals; i++)
    if (!homes_is_self (homes, entry->journals[i])
        && !name_list_has (homes->dropped, homes->n_dropped, entry->journals[i]))
      name_list_add (homes, &homes->dropped, &homes->n_dropped, entry->journals[i]);
}

static bool
map_names (const struct Homes *homes, const char *incarnation)
{
  for (uint32_t partition = 0; partition < homes->options.n_partitions; partition++)
    {
      const struct PartitionEntry *entry = homes_entry (homes, partition);

      if (strcmp (entry->home, incarnation) == 0)
        return true;
      for (uint32_t i = 0; i < entry->n_journals; i++)
        if (strcmp (entry->journals[i], incarnation) == 0)
          return true;
    }
  return false;
}

static void
clean_end (struct HomesCleaning *cleaning, bool whole)
{
  struct Homes *homes = cleaning->homes;

  if (whole)
    name_list_remove (homes->dropped, &homes->n_dropped, cleaning->incarnation);
  homes->cleaning = NULL;
  talloc_free (cleaning);
}

static void
clean_next (void *data);

static void
clean_on_deleted (void *data, const struct KvResult *result)
{
  struct HomesCleaning *cleaning = data;

  bool gone = result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND;

  if (!gone
      || timer_subscribe (cleaning, cleaning->homes->timers, CLEAN_PACE_MS, 0, clean_next, cleaning)
             == NULL)
    clean_end (cleaning, false);
}

static void
clean_next (void *data)
{
  struct HomesCleaning *cleaning = data;
  struct KvRequest request = { .op = KV_OP_DELETE };

  if (cleaning->n_keys == 0)
    {
      clean_end (cleaning, true);
      return;
    }
  request.delete_key.key = cleaning->keys[--cleaning->n_keys];
  request.delete_key.condition = KV_IF_ALWAYS;
  if (kv_submit_guarded (cleaning, cleaning->homes->kv, &request, clean_on_deleted, cleaning)
      != ERROR_NONE)
    clean_end (cleaning, false);
}

static void
clean_on_keys (void *data, const struct KvResult *result)
{
  struct HomesCleaning *cleaning = data;

  if (result->error != ERROR_NONE || result->more)
    {
      clean_end (cleaning, false);
      return;
    }
  /* The last slot is the seal, and stays for good: a writer that was paused before it could else
   * create that slot again and take its records for durable. */
  for (size_t i = result->n_entries; i > 1; i--)
    if (!name_list_add (cleaning, &cleaning->keys, &cleaning->n_keys, result->entries[i - 2].key))
      {
        clean_end (cleaning, false);
        return;
      }
  clean_next (cleaning);
}

static void
clean_start (struct Homes *homes, const char *incarnation)
{
  struct HomesCleaning *cleaning = talloc_zero (homes, struct HomesCleaning);
  struct KvRequest request = { .op = KV_OP_RANGE, .range.keys_only = true };

  if (cleaning == NULL)
    return;
  cleaning->homes = homes;
  cleaning->incarnation = talloc_strdup (cleaning, incarnation);
  cleaning->folder =
      talloc_asprintf (cleaning, "%sjournal/%s/", homes->options.prefix, incarnation);
  request.range.prefix = cleaning->folder;
  if (cleaning->incarnation == NULL || cleaning->folder == NULL
      || kv_submit_guarded (cleaning, homes->kv, &request, clean_on_keys, cleaning) != ERROR_NONE)
    talloc_free (cleaning);
  else
    homes->cleaning = cleaning;
}

void
homes_clean_step (struct Homes *homes)
{
  for (size_t i = 0; i < homes->n_dropped && homes->cleaning == NULL; i++)
    {
      const char *incarnation = homes->dropped[i];

      /* One that lives deletes its own slots. One that left by a hand-off was never sealed: without
       * the seal nothing would mark the end of what it may still write. */
      if (homes_is_live (homes, incarnation) || map_names (homes, incarnation))
        continue;
      if (homes_is_sealed (homes, incarnation))
        clean_start (homes, incarnation);
      else
        homes_seal (homes, incarnation);
    }
}
