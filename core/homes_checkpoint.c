#include "homes_state.h"

#include <buckthornhead/error.h>

#include <string.h>

static bool
is_pinned (const struct Homes *homes, uint32_t partition)
{
  const struct HomesPartition *p = &homes->partitions[partition];
  const struct PartitionEntry *entry = homes_entry (homes, partition);

  if (p->pin_slot == 0)
    return false;
  if (p->state == HOMES_LEAVING || p->state == HOMES_HANDED_OFF)
    return true;
  for (uint32_t i = 0; i < entry->n_journals; i++)
    if (homes_is_self (homes, entry->journals[i])
        && (i + 1 < entry->n_journals || !homes_is_self (homes, entry->home)))
      return true;
  return false;
}

/* Releases old slots for deletion, except those that the next home of a partition that was handed
 * off still has to read. */
static void
homes_release_slots (struct Homes *homes)
{
  uint64_t first_slot = homes->checkpoint.done_slot;

  for (uint32_t i = 0; i < homes->options.n_partitions; i++)
    {
      struct HomesPartition *p = &homes->partitions[i];

      if (!is_pinned (homes, i))
        p->pin_slot = 0;
      else if (p->pin_slot < first_slot)
        first_slot = p->pin_slot;
    }
  journal_checkpointed (homes->journal, first_slot);
}

static void
homes_on_idle (void *data);

static void
homes_on_checkpoint_part (void *data, int32_t error)
{
  struct Homes *homes = data;

  if (error != ERROR_NONE)
    homes->checkpoint.running = false;
  else
    journal_when_idle (homes->journal, homes_on_idle, homes);
}

/* Prepends the snapshots of the next served partition. Returns false when none is left. */
static bool
snapshot_next (struct Homes *homes)
{
  struct HomesCheckpoint *checkpoint = &homes->checkpoint;
  TALLOC_CTX *scratch = talloc_new (homes);
  struct Record *records;
  size_t n_records = 0;
  int32_t error = ERROR_NONE;

  while (checkpoint->next_partition < homes->options.n_partitions && n_records == 0
         && error == ERROR_NONE)
    {
      uint32_t partition = checkpoint->next_partition++;
      enum HomesPartitionState state = homes->partitions[partition].state;

      if (state == HOMES_OWNED || state == HOMES_LEAVING)
        error = ledger_snapshot_partition (homes->ledger, scratch, partition, &records, &n_records);
    }
  if (error == ERROR_NONE && n_records > 0)
    error = journal_prepend (homes->journal, records, n_records, homes_on_checkpoint_part, homes);
  talloc_free (scratch);
  if (error != ERROR_NONE)
    checkpoint->running = false;
  return error == ERROR_NONE && n_records > 0;
}

/* Writes one partition at a time, so that at most one is in memory twice. A record that follows the
 * first snapshot and belongs to a partition written later is contained in that snapshot too. */
static void
homes_on_idle (void *data)
{
  struct Homes *homes = data;
  struct HomesCheckpoint *checkpoint = &homes->checkpoint;

  if (!checkpoint->running)
    return;
  if (checkpoint->next_partition == 0)
    checkpoint->first_slot = journal_next_slot (homes->journal);
  if (snapshot_next (homes) || !checkpoint->running)
    return;
  checkpoint->running = false;
  checkpoint->done_slot = checkpoint->first_slot;
  homes_release_slots (homes);
}

void
homes_checkpoint_step (struct Homes *homes)
{
  struct HomesCheckpoint *checkpoint = &homes->checkpoint;

  homes_release_slots (homes);
  if (checkpoint->running
      || journal_next_slot (homes->journal)
             < checkpoint->done_slot + homes->options.checkpoint_slots)
    return;
  checkpoint->running = true;
  checkpoint->next_partition = 0;
  journal_when_idle (homes->journal, homes_on_idle, homes);
}
