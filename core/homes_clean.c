#include "homes_state.h"
#include "name_list.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CLEAN_INTERVAL_MS = 250 /* between two deletions, which share the platform with journal writes */
};

/* Deletion of the slots of one journal that is no longer needed. */
struct HomesCleaning
{
  struct Homes *homes;
  char *incarnation;
  char *folder;
  char **keys; /* of all slots but the seal */
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
map_has_journal (const struct Homes *homes, const char *incarnation)
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
clean_end (struct HomesCleaning *cleaning, bool complete)
{
  struct Homes *homes = cleaning->homes;

  if (complete)
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

  bool deleted = result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND;

  if (!deleted
      || timer_subscribe (cleaning, cleaning->homes->timers, CLEAN_INTERVAL_MS, 0, clean_next,
                          cleaning)
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
clean_on_marked (void *data, const struct KvResult *result)
{
  if (result->error == ERROR_NONE)
    clean_next (data);
  else
    clean_end (data, false);
}

/* Replaces the seal, before any deletion, by one that marks the journal as cleaned. It is replaced
 * and never deleted: a writer that was paused before its write of this slot could otherwise create
 * the slot and treat its records as durable. The mark lets a reader ignore gaps, and slots that a
 * late write restores, if the map names this journal again: a hand-off to an instance that had
 * already failed, and has written nothing for the partition, can cause that. */
static int32_t
clean_mark_seal (struct HomesCleaning *cleaning, const struct KvEntry *last)
{
  struct Slot seal = { .kind = SLOT_SEAL };
  struct KvRequest request = { .op = KV_OP_PUT };
  uint8_t *packed;
  size_t packed_bytes;
  int32_t error;

  seal.replay_from = strtoull (last->key + strlen (cleaning->folder), NULL, 10);
  snprintf (seal.writer, sizeof seal.writer, "%s", cleaning->homes->options.incarnation);
  error = slot_pack (cleaning, &seal, &packed, &packed_bytes);
  if (error != ERROR_NONE)
    return error;
  request.put.key = last->key;
  request.put.value = packed;
  request.put.value_bytes = packed_bytes;
  request.put.condition = KV_IF_MOD_REVISION;
  request.put.mod_revision = last->mod_revision;
  return kv_submit_guarded (cleaning, cleaning->homes->kv, &request, clean_on_marked, cleaning);
}

static void
clean_on_keys (void *data, const struct KvResult *result)
{
  struct HomesCleaning *cleaning = data;
  bool complete = result->error == ERROR_NONE && !result->more && result->n_entries > 0;

  for (size_t i = 0; complete && i + 1 < result->n_entries; i++)
    complete = name_list_add (cleaning, &cleaning->keys, &cleaning->n_keys, result->entries[i].key);
  if (!complete
      || clean_mark_seal (cleaning, &result->entries[result->n_entries - 1]) != ERROR_NONE)
    clean_end (cleaning, false);
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

/* Returns the journal that may be cleaned next, or NULL. */
static const char *
clean_choose (struct Homes *homes)
{
  for (size_t i = 0; i < homes->n_dropped; i++)
    {
      const char *incarnation = homes->dropped[i];

      /* A live writer deletes its own slots. A writer that only handed its partitions off was never
       * sealed, and without a seal it could still append slots. */
      if (homes_is_live (homes, incarnation) || map_has_journal (homes, incarnation))
        continue;
      if (homes_is_sealed (homes, incarnation))
        return incarnation;
      homes_seal (homes, incarnation);
    }
  return NULL;
}

/* An outdated copy of the map may lack a journal that was written to since, by a home that started
 * and ended while this one was paused. A journal is therefore chosen once it is known to be sealed,
 * and cleaned only when a map read that started after that does not name it: a journal is named in
 * the map before records that are still needed are written to it. */
void
homes_clean_step (struct Homes *homes)
{
  const char *incarnation;

  if (homes->cleaning != NULL || journal_is_fenced (homes->journal))
    return;
  incarnation = clean_choose (homes);
  if (incarnation == NULL)
    {
      homes->clean_next[0] = '\0';
      return;
    }
  if (strcmp (incarnation, homes->clean_next) != 0)
    {
      snprintf (homes->clean_next, sizeof homes->clean_next, "%s", incarnation);
      homes->clean_after_read = homes->n_map_reads;
    }
  else if (homes->n_map_reads > homes->clean_after_read)
    clean_start (homes, incarnation);
}
