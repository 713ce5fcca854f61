#include "homes_state.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  CHECKPOINT_SLOTS = 64
};

struct PartitionEntry *
homes_entry (const struct Homes *homes, uint32_t partition)
{
  uint32_t size = homes->options.group_size;

  return &homes->groups[partition / size].map->entries[partition % size];
}

bool
homes_is_self (const struct Homes *homes, const char *incarnation)
{
  return strcmp (incarnation, homes->options.incarnation) == 0;
}

bool
homes_is_live (const struct Homes *homes, const char *incarnation)
{
  for (size_t i = 0; i < homes->n_members; i++)
    if (strcmp (homes->members[i].incarnation, incarnation) == 0)
      return true;
  return false;
}

const char *
homes_preferred_home (const struct Homes *homes, uint32_t partition)
{
  char key[32];
  int32_t pick;

  /* Hashes instances, not incarnations, so that a restarted instance gets the same partitions. */
  snprintf (key, sizeof key, "partition/%" PRIu32, partition);
  pick = rendezvous_pick (key, homes->candidates, homes->n_candidates);
  return pick >= 0 ? homes->candidate_incarnations[pick] : NULL;
}

static bool
homes_is_preferred (const struct Homes *homes, uint32_t partition)
{
  const char *home = homes_preferred_home (homes, partition);

  return home != NULL && homes_is_self (homes, home);
}

void
homes_update_owned_gauge (const struct Homes *homes)
{
  gauge_set (GAUGE_PARTITIONS_OWNED, homes_n_owned (homes));
}

void
homes_stop_serving (struct Homes *homes, uint32_t partition)
{
  struct HomesPartition *p = &homes->partitions[partition];
  bool served = p->state == HOMES_OWNED || p->state == HOMES_LEAVING;

  p->state = p->state == HOMES_LEAVING && p->handoff_queued ? HOMES_HANDED_OFF : HOMES_NOT_SERVED;
  p->handoff_queued = false;
  p->leave_since_ms = 0;
  if (!served)
    return;
  ledger_drop_partition (homes->ledger, partition);
  homes_update_owned_gauge (homes);
  if (homes->options.lost != NULL)
    homes->options.lost (homes->options.data, partition);
}

/* Handles a partition that is not served here: the map assigns it to another incarnation, to none,
 * or to this one under an epoch whose journals it has not read. Returns true when entry was
 * changed. */
static bool
plan_not_served (struct Homes *homes, uint32_t partition, struct PartitionEntry *entry)
{
  if (homes_is_self (homes, entry->home) || !homes_is_preferred (homes, partition))
    return false;
  if (entry->home[0] != '\0')
    {
      if (homes_is_live (homes, entry->home))
        return false;
      /* The former home may be slow rather than failed. Its journal is sealed before the map
       * changes, so that all records that it still acknowledges precede the seal and are read. */
      if (!homes_is_sealed (homes, entry->home))
        {
          homes_seal (homes, entry->home);
          return false;
        }
    }
  return entry_claim (entry, homes->options.incarnation);
}

bool
homes_is_candidate (const struct Homes *homes)
{
  for (size_t i = 0; i < homes->n_candidates; i++)
    if (homes_is_self (homes, homes->candidate_incarnations[i]))
      return true;
  return false;
}

static bool
plan_owned (struct Homes *homes, uint32_t partition, struct PartitionEntry *entry)
{
  struct HomesPartition *p = &homes->partitions[partition];

  if (!homes_is_preferred (homes, partition)
      && (homes->stopping || homes_preferred_home (homes, partition) != NULL))
    {
      homes_start_leaving (homes, partition);
      return false;
    }
  p->leave_since_ms = 0;
  if (!p->snapshots_durable || (entry->n_journals == 1 && entry->base_epoch == entry->epoch))
    return false;
  /* All adopted state is in the own journal, so the former journals are no longer needed. */
  homes_note_dropped (homes, entry);
  entry->n_journals = 1;
  snprintf (entry->journals[0], sizeof entry->journals[0], "%s", homes->options.incarnation);
  entry->base_epoch = entry->epoch;
  return true;
}

static bool
plan_handed_off (struct Homes *homes, uint32_t partition, struct PartitionEntry *entry)
{
  const char *home = homes_preferred_home (homes, partition);

  return entry_claim (entry, home != NULL ? home : "");
}

static bool
plan_entry (struct Homes *homes, uint32_t partition, struct PartitionEntry *entry)
{
  struct HomesPartition *p = &homes->partitions[partition];

  /* Every change of home increments the epoch: another home or epoch in the map means that this
   * incarnation has lost the partition. */
  if (p->state != HOMES_NOT_SERVED
      && (!homes_is_self (homes, entry->home) || entry->epoch != p->epoch))
    {
      p->handoff_queued = false;
      homes_stop_serving (homes, partition);
      p->state = HOMES_NOT_SERVED;
    }
  switch (p->state)
    {
    case HOMES_NOT_SERVED:
      return plan_not_served (homes, partition, entry);
    case HOMES_OWNED:
      return plan_owned (homes, partition, entry);
    case HOMES_HANDED_OFF:
      return plan_handed_off (homes, partition, entry);
    case HOMES_READING:
    case HOMES_LEAVING:
      break;
    }
  return false;
}

static void
homes_step_group (struct Homes *homes, uint32_t index)
{
  struct HomesGroup *group = &homes->groups[index];
  struct PartitionEntry *entries;
  bool changed = false;

  if (group->changing)
    return;
  entries = talloc_memdup (homes, group->map->entries,
                           group->map->n_entries * sizeof group->map->entries[0]);
  if (entries == NULL)
    return;
  for (uint32_t i = 0; i < group->map->n_entries; i++)
    changed |= plan_entry (homes, index * homes->options.group_size + i, &entries[i]);
  if (changed)
    homes_map_change (homes, index, entries);
  talloc_free (entries);
  homes_adopt_group (homes, index);
}

void
homes_step (struct Homes *homes)
{
  if (journal_is_fenced (homes->journal))
    return;
  for (uint32_t i = 0; i < homes->n_groups; i++)
    homes_step_group (homes, i);
  homes_checkpoint_step (homes);
  homes_check_stopped (homes);
}

static int32_t
homes_init_groups (struct Homes *homes)
{
  uint32_t size = homes->options.group_size;
  uint32_t n_partitions = homes->options.n_partitions;

  homes->n_groups = (n_partitions + size - 1) / size;
  homes->groups = talloc_zero_array (homes, struct HomesGroup, homes->n_groups);
  homes->partitions = talloc_zero_array (homes, struct HomesPartition, n_partitions);
  if (homes->groups == NULL || homes->partitions == NULL)
    return ERROR_NO_MEMORY;
  for (uint32_t i = 0; i < homes->n_groups; i++)
    {
      struct PartitionGroup *map = talloc_zero (homes, struct PartitionGroup);
      uint32_t left = n_partitions - i * size;

      homes->groups[i].map = map;
      if (map == NULL)
        return ERROR_NO_MEMORY;
      map->n_entries = left < size ? left : size;
      map->entries = talloc_zero_array (map, struct PartitionEntry, map->n_entries);
      if (map->entries == NULL)
        return ERROR_NO_MEMORY;
    }
  return ERROR_NONE;
}

struct Homes *
homes_new (TALLOC_CTX *ctx,
           struct KvPort *kv,
           struct TimerService *timers,
           struct Journal *journal,
           struct Ledger *ledger,
           const struct HomesOptions *options)
{
  struct Homes *homes = talloc_zero (ctx, struct Homes);

  if (homes == NULL)
    return NULL;
  homes->kv = kv;
  homes->timers = timers;
  homes->journal = journal;
  homes->ledger = ledger;
  homes->options = *options;
  if (homes->options.checkpoint_slots == 0)
    homes->options.checkpoint_slots = CHECKPOINT_SLOTS;
  homes->options.prefix = talloc_strdup (homes, options->prefix);
  homes->options.incarnation = talloc_strdup (homes, options->incarnation);
  homes->map_prefix = talloc_asprintf (homes, "%smap/", options->prefix);
  homes->checkpoint.done_slot = JOURNAL_FIRST_SLOT;
  if (homes->options.prefix == NULL || homes->options.incarnation == NULL
      || homes->map_prefix == NULL || homes_init_groups (homes) != ERROR_NONE)
    {
      talloc_free (homes);
      return NULL;
    }
  homes_map_read (homes);
  return homes;
}

static int32_t
homes_copy_members (struct Homes *homes, const struct HomesMember *members, size_t n_members)
{
  homes->members = talloc_zero_array (homes, struct HomesMember, n_members + 1);
  homes->candidates = talloc_zero_array (homes->members, const char *, n_members + 1);
  homes->candidate_incarnations = talloc_zero_array (homes->members, const char *, n_members + 1);
  if (homes->members == NULL || homes->candidates == NULL || homes->candidate_incarnations == NULL)
    return ERROR_NO_MEMORY;
  for (size_t i = 0; i < n_members; i++)
    {
      struct HomesMember *m = &homes->members[i];

      m->incarnation = talloc_strdup (homes->members, members[i].incarnation);
      m->instance = talloc_strdup (homes->members, members[i].instance);
      m->draining = members[i].draining;
      if (m->incarnation == NULL || m->instance == NULL)
        return ERROR_NO_MEMORY;
      homes->n_members++;
      if (m->draining || (homes->stopping && homes_is_self (homes, m->incarnation)))
        continue;
      homes->candidates[homes->n_candidates] = m->instance;
      homes->candidate_incarnations[homes->n_candidates++] = m->incarnation;
    }
  return ERROR_NONE;
}

void
homes_set_members (struct Homes *homes, const struct HomesMember *members, size_t n_members)
{
  struct HomesMember *former = homes->members;

  homes->n_members = 0;
  homes->n_candidates = 0;
  if (homes_copy_members (homes, members, n_members) != ERROR_NONE)
    homes->n_candidates = 0; /* without candidates nothing is taken over or handed off */
  talloc_free (former);
  homes_step (homes);
}

const char *
homes_lookup (const struct Homes *homes, uint32_t partition)
{
  const struct PartitionEntry *entry = homes_entry (homes, partition);

  return entry->home[0] != '\0' ? entry->home : NULL;
}

bool
homes_owns (const struct Homes *homes, uint32_t partition, uint64_t *epoch)
{
  const struct HomesPartition *p = &homes->partitions[partition];

  *epoch = p->epoch;
  return p->state == HOMES_OWNED && !journal_is_fenced (homes->journal);
}

bool
homes_may_write (const struct Homes *homes, uint32_t partition, uint64_t *epoch)
{
  const struct HomesPartition *p = &homes->partitions[partition];

  *epoch = p->epoch;
  /* The next home could miss a record that is acknowledged here after the hand-off record. */
  return (p->state == HOMES_OWNED || (p->state == HOMES_LEAVING && !p->handoff_queued))
         && !journal_is_fenced (homes->journal);
}

bool
homes_is_handing_off (const struct Homes *homes, uint32_t partition)
{
  enum HomesPartitionState state = homes->partitions[partition].state;

  return state == HOMES_LEAVING || state == HOMES_HANDED_OFF;
}

void
homes_refresh (struct Homes *homes)
{
  homes_map_read (homes);
}

uint32_t
homes_n_owned (const struct Homes *homes)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < homes->options.n_partitions; i++)
    if (homes->partitions[i].state == HOMES_OWNED || homes->partitions[i].state == HOMES_LEAVING)
      n++;
  return n;
}
