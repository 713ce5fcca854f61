#include "homes_state.h"

#include <buckthornhead/error.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A compare-and-swap in flight. */
struct HomesChange
{
  struct Homes *homes;
  uint32_t index;
  struct PartitionGroup *next;
};

static char *
group_key (struct Homes *homes, TALLOC_CTX *ctx, uint32_t index)
{
  return talloc_asprintf (ctx, "%s%06" PRIu32, homes->map_prefix, index);
}

/* Updates a group from entry and returns true, unless entry is not newer than the current revision,
 * as in a late response to an earlier read, or malformed. */
static bool
update_group (struct Homes *homes, uint32_t index, const struct KvEntry *entry)
{
  struct HomesGroup *group = &homes->groups[index];
  struct PartitionGroup *map;
  int32_t error;

  if (entry->mod_revision <= group->map->mod_revision)
    return false;
  error = partition_group_unpack (homes, entry->value, entry->value_bytes, &map);
  if (error == ERROR_NONE && map->n_entries != group->map->n_entries)
    {
      talloc_free (map);
      error = ERROR_CONFLICT;
    }
  if (error != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "map_unreadable", NULL,
                 "use the same number of partitions and group size on all instances",
                 "group %" PRIu32 " of the partition map: %s", index, error_name (error));
      return false;
    }
  map->mod_revision = entry->mod_revision;
  talloc_free (group->map);
  group->map = map;
  return true;
}

static void
homes_on_poll (void *data)
{
  struct Homes *homes = data;

  TALLOC_FREE (homes->poll_timer);
  homes_map_read (homes);
}

/* Adds jitter, so that the polls of many instances do not coincide after an outage. */
static void
homes_schedule_poll (struct Homes *homes)
{
  uint64_t poll_ms = homes->options.poll_ms > 0 ? homes->options.poll_ms : 1;
  char key[24];

  snprintf (key, sizeof key, "%" PRIu32, homes->n_polls++);
  poll_ms += rendezvous_score (key, homes->options.incarnation) % (poll_ms / 4 + 1);
  TALLOC_FREE (homes->poll_timer);
  homes->poll_timer =
      timer_subscribe (homes, homes->timers, (int64_t)poll_ms, 0, homes_on_poll, homes);
}

static void
homes_on_map (void *data, const struct KvResult *result)
{
  struct Homes *homes = data;
  size_t n_prefix = strlen (homes->map_prefix);
  bool changed = false;

  homes->reading_map = false;
  homes_schedule_poll (homes);
  if (result->error != ERROR_NONE)
    return;
  for (size_t i = 0; i < result->n_entries; i++)
    {
      unsigned long index = strtoul (result->entries[i].key + n_prefix, NULL, 10);

      if (index < homes->n_groups)
        changed |= update_group (homes, (uint32_t)index, &result->entries[i]);
    }
  if (changed && homes->options.map_changed != NULL)
    homes->options.map_changed (homes->options.data);
  homes_step (homes);
  homes_clean_step (homes);
}

void
homes_map_read (struct Homes *homes)
{
  struct KvRequest request = { .op = KV_OP_RANGE, .range.prefix = homes->map_prefix };

  if (homes->reading_map)
    return;
  homes->reading_map =
      kv_submit_guarded (homes, homes->kv, &request, homes_on_map, homes) == ERROR_NONE;
  if (homes->reading_map)
    homes->n_map_reads++;
  else
    homes_schedule_poll (homes);
}

static void
homes_on_change (void *data, const struct KvResult *result)
{
  struct HomesChange *change = data;
  struct Homes *homes = change->homes;
  struct HomesGroup *group = &homes->groups[change->index];
  bool done = result->error == ERROR_NONE && result->revision > group->map->mod_revision;

  group->changing = false;
  if (done)
    {
      change->next->mod_revision = result->revision;
      talloc_free (group->map);
      group->map = talloc_steal (homes, change->next);
    }
  talloc_free (change);
  if (done && homes->options.map_changed != NULL)
    homes->options.map_changed (homes->options.data);
  /* After a conflict or a lost response the content of the map decides, whichever instance wrote
   * it. It is read now after a conflict, and by the next poll while the platform is down. */
  if (done)
    homes_step (homes);
  else if (result->error == ERROR_CONFLICT)
    homes_map_read (homes);
}

static struct HomesChange *
change_new (struct Homes *homes, uint32_t index, const struct PartitionEntry *entries)
{
  struct HomesChange *change = talloc_zero (homes, struct HomesChange);
  uint32_t n = homes->groups[index].map->n_entries;

  if (change == NULL)
    return NULL;
  change->homes = homes;
  change->index = index;
  change->next = talloc_zero (change, struct PartitionGroup);
  if (change->next != NULL)
    {
      change->next->n_entries = n;
      change->next->entries = talloc_memdup (change->next, entries, n * sizeof entries[0]);
    }
  if (change->next == NULL || change->next->entries == NULL)
    TALLOC_FREE (change);
  return change;
}

void
homes_map_change (struct Homes *homes, uint32_t index, const struct PartitionEntry *entries)
{
  struct HomesGroup *group = &homes->groups[index];
  struct HomesChange *change = change_new (homes, index, entries);
  struct KvRequest request = { .op = KV_OP_PUT };
  char *key;
  uint8_t *packed;
  size_t bytes;

  if (change == NULL)
    return;
  key = group_key (homes, change, index);
  if (key == NULL || partition_group_pack (change, change->next, &packed, &bytes) != ERROR_NONE)
    {
      talloc_free (change);
      return;
    }
  request.put.key = key;
  request.put.value = packed;
  request.put.value_bytes = bytes;
  request.put.condition = group->map->mod_revision == 0 ? KV_IF_ABSENT : KV_IF_MOD_REVISION;
  request.put.mod_revision = group->map->mod_revision;
  group->changing =
      kv_submit_guarded (homes, homes->kv, &request, homes_on_change, change) == ERROR_NONE;
  if (!group->changing)
    talloc_free (change);
}
