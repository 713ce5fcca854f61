#include "homes_state.h"
#include "name_list.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
entry_has_journal (const struct PartitionEntry *entry, const char *journal)
{
  for (uint32_t i = 0; i < entry->n_journals; i++)
    if (strcmp (entry->journals[i], journal) == 0)
      return true;
  return false;
}

/* Keeps the first occurrence of each journal. */
static void
entry_remove_duplicates (struct PartitionEntry *entry)
{
  uint32_t n = entry->n_journals;

  entry->n_journals = 0;
  for (uint32_t i = 0; i < n; i++)
    if (!entry_has_journal (entry, entry->journals[i]))
      {
        uint32_t to = entry->n_journals++;

        if (to != i)
          memcpy (entry->journals[to], entry->journals[i], sizeof entry->journals[to]);
      }
}

bool
entry_claim (struct PartitionEntry *entry, const char *home)
{
  entry_remove_duplicates (entry);
  /* PARTITION_JOURNALS_MAX homes in a row failed or handed off before their snapshots were durable.
   * The entry has no room for another journal, and all of the listed ones are still needed. */
  if (entry->n_journals == PARTITION_JOURNALS_MAX)
    {
      log_event (LOG_LEVEL_ERROR, "map_entry_full", NULL,
                 "check why instances fail before their takeovers finish",
                 "%d journals are still needed", PARTITION_JOURNALS_MAX);
      return false;
    }
  entry->epoch++;
  if (entry->n_journals == 0)
    entry->base_epoch = entry->epoch;
  snprintf (entry->home, sizeof entry->home, "%s", home);
  if (home[0] != '\0')
    snprintf (entry->journals[entry->n_journals++], sizeof entry->journals[0], "%s", home);
  return true;
}

bool
homes_is_sealed (const struct Homes *homes, const char *incarnation)
{
  return name_list_has (homes->sealed, homes->n_sealed, incarnation);
}

struct HomesSeal
{
  struct Homes *homes;
  char *incarnation;
};

static void
homes_on_sealed (void *data, const struct JournalReplay *replay)
{
  struct HomesSeal *seal = data;
  struct Homes *homes = seal->homes;
  int32_t error = replay->error;

  name_list_remove (homes->sealing, &homes->n_sealing, seal->incarnation);
  if (error == ERROR_NONE
      && !name_list_add (homes, &homes->sealed, &homes->n_sealed, seal->incarnation))
    error = ERROR_NO_MEMORY;
  log_event (error == ERROR_NONE ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING, "journal_sealed", NULL,
             NULL, "%s: %s", seal->incarnation, error_name (error));
  talloc_free (seal);
  /* After a failure the next poll of the map tries again. */
  if (error == ERROR_NONE)
    homes_step (homes);
}

void
homes_seal (struct Homes *homes, const char *incarnation)
{
  struct HomesSeal *seal;

  if (name_list_has (homes->sealing, homes->n_sealing, incarnation))
    return;
  seal = talloc_zero (homes, struct HomesSeal);
  if (seal == NULL)
    return;
  seal->homes = homes;
  seal->incarnation = talloc_strdup (seal, incarnation);
  if (seal->incarnation == NULL
      || !name_list_add (homes, &homes->sealing, &homes->n_sealing, incarnation)
      || journal_seal (homes, homes->kv, homes->timers, homes->options.prefix, incarnation,
                       homes->options.incarnation, homes_on_sealed, seal)
             != ERROR_NONE)
    talloc_free (seal);
}

/* Sorts spooled records after every slot of their journal. */
#define SPOOLED_SLOT_BASE (1ULL << 62)

/* Reads the needed journals for partitions of one group. */
struct HomesAdoption
{
  struct Homes *homes;
  uint32_t index;
  uint32_t *partitions;
  size_t n_partitions;
  char **journals;
  size_t n_journals, n_read;
  struct JournalReplay *replays; /* one per journal */
};

/* A record with its position in the replay order. */
struct HomesRecord
{
  uint64_t epoch, slot;
  size_t index;
  const struct Record *record;
};

static int
compare_records (const void *a, const void *b)
{
  const struct HomesRecord *x = a, *y = b;

  if (x->epoch != y->epoch)
    return x->epoch < y->epoch ? -1 : 1;
  if (x->slot != y->slot)
    return x->slot < y->slot ? -1 : 1;
  return x->index < y->index ? -1 : x->index > y->index;
}

/* Collects the needed records of partition in replay order. Records of epochs before that of the
 * last home whose snapshots all became durable are skipped: they could restore a program that has
 * since been forgotten. */
static int32_t
collect_records (struct HomesAdoption *adoption,
                 uint32_t partition,
                 const struct PartitionEntry *entry,
                 struct HomesRecord **records,
                 size_t *n_records)
{
  size_t n_max = 0, n = 0;

  for (size_t j = 0; j < adoption->n_journals; j++)
    for (size_t s = 0; s < adoption->replays[j].n_slots; s++)
      n_max += adoption->replays[j].slots[s]->n_records;
  *records = talloc_array (adoption, struct HomesRecord, n_max + 1);
  if (*records == NULL)
    return ERROR_NO_MEMORY;
  for (size_t j = 0; j < adoption->n_journals; j++)
    for (size_t s = 0; s < adoption->replays[j].n_slots; s++)
      {
        const struct Slot *slot = adoption->replays[j].slots[s];

        for (size_t i = 0; i < slot->n_records; i++)
          {
            const struct Record *record = &slot->records[i];

            if (record->partition != partition || record->epoch < entry->base_epoch)
              continue;
            (*records)[n++] = (struct HomesRecord){ .epoch = record->epoch,
                                                    .slot = adoption->replays[j].slot_numbers[s],
                                                    .index = i,
                                                    .record = record };
          }
      }
  qsort (*records, n, sizeof **records, compare_records);
  *n_records = n;
  return ERROR_NONE;
}

/* Snapshots of an adopted partition that are being appended to the journal. */
struct HomesSnapshotWrite
{
  struct Homes *homes;
  uint32_t partition;
  uint64_t epoch;
};

static void
homes_on_snapshots (void *data, int32_t error)
{
  struct HomesSnapshotWrite *write = data;
  struct Homes *homes = write->homes;
  struct HomesPartition *p = &homes->partitions[write->partition];
  bool own = p->epoch == write->epoch;

  talloc_free (write);
  if (error != ERROR_NONE || !own)
    return;
  p->snapshots_durable = true;
  homes_step (homes);
}

/* Queues the snapshots, before any other record of the partition's programs can be queued. */
static int32_t
journal_snapshots (struct Homes *homes,
                   uint32_t partition,
                   const struct Record *records,
                   size_t n_records)
{
  struct HomesPartition *p = &homes->partitions[partition];
  struct HomesSnapshotWrite *write;
  int32_t error = ERROR_NONE;

  p->snapshots_durable = n_records == 0;
  if (n_records == 0)
    return ERROR_NONE;
  write = talloc_zero (homes, struct HomesSnapshotWrite);
  if (write == NULL)
    return ERROR_NO_MEMORY;
  write->homes = homes;
  write->partition = partition;
  write->epoch = p->epoch;
  for (size_t i = 0; i + 1 < n_records && error == ERROR_NONE; i++)
    error = journal_append (homes->journal, &records[i], NULL, NULL);
  if (error == ERROR_NONE)
    error = journal_append (homes->journal, &records[n_records - 1], homes_on_snapshots, write);
  if (error != ERROR_NONE)
    talloc_free (write);
  return error;
}

static int32_t
adopt_partition (struct HomesAdoption *adoption, uint32_t partition)
{
  struct Homes *homes = adoption->homes;
  struct HomesPartition *p = &homes->partitions[partition];
  const struct PartitionEntry *entry = homes_entry (homes, partition);
  struct HomesRecord *records;
  struct Record *snapshots = NULL;
  size_t n_records, n_snapshots = 0;
  bool planned = false;
  int32_t error = collect_records (adoption, partition, entry, &records, &n_records);

  if (error != ERROR_NONE)
    return error;
  ledger_drop_partition (homes->ledger, partition);
  for (size_t i = 0; i < n_records && error == ERROR_NONE; i++)
    {
      planned = records[i].record->kind == RECORD_HANDOFF && records[i].epoch + 1 == entry->epoch;
      error = ledger_apply (homes->ledger, records[i].record);
      /* The program is in a later checkpoint or was forgotten. */
      if (error == ERROR_NOT_FOUND)
        error = ERROR_NONE;
    }
  if (error == ERROR_NONE)
    error = ledger_adopt_partition (homes->ledger, adoption, partition, entry->epoch, planned,
                                    &snapshots, &n_snapshots);
  if (error == ERROR_NONE)
    error = journal_snapshots (homes, partition, snapshots, n_snapshots);
  if (error != ERROR_NONE)
    {
      ledger_drop_partition (homes->ledger, partition);
      return error;
    }
  /* The first claim of a partition is no takeover: there was no earlier home. */
  if (entry->n_journals > 1)
    counter_add (planned ? COUNTER_HANDOFFS : COUNTER_TAKEOVERS, 1);
  p->state = HOMES_OWNED;
  homes_update_owned_gauge (homes);
  if (homes->options.gained != NULL)
    homes->options.gained (homes->options.data, partition);
  return ERROR_NONE;
}

static void
adoption_end (struct HomesAdoption *adoption, int32_t error)
{
  struct Homes *homes = adoption->homes;

  for (size_t i = 0; i < adoption->n_partitions; i++)
    {
      struct HomesPartition *p = &homes->partitions[adoption->partitions[i]];
      int32_t failed = error;

      /* The partition was lost while its journals were read. */
      if (p->state != HOMES_READING)
        continue;
      if (failed == ERROR_NONE)
        failed = adopt_partition (adoption, adoption->partitions[i]);
      if (failed == ERROR_NONE)
        continue;
      p->state = HOMES_NOT_SERVED; /* until the next poll of the map */
      log_event (LOG_LEVEL_ERROR, "adoption_failed", NULL, error_remedy (failed),
                 "partition %u: %s", adoption->partitions[i], error_name (failed));
    }
  homes->groups[adoption->index].adoption = NULL;
  talloc_free (adoption);
  if (error == ERROR_NONE)
    homes_step (homes);
}

static void
adoption_read_next (struct HomesAdoption *adoption);

/* Appends the spooled records to the slots: the writer spooled in journal order, and only records
 * that it did not know to be in the journal. Applying a record twice has no effect. */
static void
adoption_on_spool (void *data, const struct HomesSpoolSlot *spooled, size_t n_spooled)
{
  struct HomesAdoption *adoption = data;
  struct JournalReplay *replay = &adoption->replays[adoption->n_read];
  size_t n = replay->n_slots + n_spooled;

  replay->slots = talloc_realloc (adoption, replay->slots, struct Slot *, n);
  replay->slot_numbers = talloc_realloc (adoption, replay->slot_numbers, uint64_t, n);
  if (n > 0 && (replay->slots == NULL || replay->slot_numbers == NULL))
    {
      adoption_end (adoption, ERROR_NO_MEMORY);
      return;
    }
  for (size_t i = 0; i < n_spooled; i++)
    {
      struct Slot *slot;

      if (slot_unpack (adoption, spooled[i].slot, spooled[i].n_bytes, &slot) != ERROR_NONE)
        continue;
      replay->slots[replay->n_slots] = slot;
      replay->slot_numbers[replay->n_slots++] = SPOOLED_SLOT_BASE + spooled[i].number;
    }
  adoption->n_read++;
  adoption_read_next (adoption);
}

static void
adoption_on_read (void *data, const struct JournalReplay *replay)
{
  struct HomesAdoption *adoption = data;
  const struct HomesOptions *options = &adoption->homes->options;
  struct JournalReplay *kept = &adoption->replays[adoption->n_read];

  if (replay->error != ERROR_NONE)
    {
      adoption_end (adoption, replay->error);
      return;
    }
  *kept = *replay;
  talloc_steal (adoption, kept->slots);
  talloc_steal (adoption, kept->slot_numbers);
  /* The journal of a home that handed off has no seal, and every record that the home acknowledged
   * precedes the hand-off record, so no spool has to be read. */
  if (kept->seal_slot == 0 || options->collect_spool == NULL)
    {
      adoption->n_read++;
      adoption_read_next (adoption);
      return;
    }
  if (options->collect_spool (options->data, adoption, adoption->journals[adoption->n_read],
                              adoption_on_spool, adoption)
      != ERROR_NONE)
    adoption_end (adoption, ERROR_NO_MEMORY);
}

static void
adoption_read_next (struct HomesAdoption *adoption)
{
  struct Homes *homes = adoption->homes;

  if (adoption->n_read == adoption->n_journals)
    adoption_end (adoption, ERROR_NONE);
  else if (journal_read (adoption, homes->kv, homes->timers, homes->options.prefix,
                         adoption->journals[adoption->n_read], adoption_on_read, adoption)
           != ERROR_NONE)
    adoption_end (adoption, ERROR_NO_MEMORY);
}

/* Adds partition and those of its journals that are not listed yet. */
static bool
adoption_add (struct HomesAdoption *adoption, uint32_t partition)
{
  const struct PartitionEntry *entry = homes_entry (adoption->homes, partition);

  /* The last journal is the own one, which has no records of the new epoch yet. */
  for (uint32_t j = 0; j + 1 < entry->n_journals; j++)
    if (!name_list_has (adoption->journals, adoption->n_journals, entry->journals[j])
        && !name_list_add (adoption, &adoption->journals, &adoption->n_journals,
                           entry->journals[j]))
      return false;
  adoption->partitions[adoption->n_partitions++] = partition;
  return true;
}

void
homes_adopt_group (struct Homes *homes, uint32_t index)
{
  struct HomesGroup *group = &homes->groups[index];
  struct HomesAdoption *adoption;

  if (group->adoption != NULL)
    return;
  adoption = talloc_zero (homes, struct HomesAdoption);
  if (adoption == NULL)
    return;
  adoption->homes = homes;
  adoption->index = index;
  adoption->partitions = talloc_array (adoption, uint32_t, group->map->n_entries);
  for (uint32_t i = 0; adoption->partitions != NULL && i < group->map->n_entries; i++)
    {
      uint32_t partition = index * homes->options.group_size + i;
      struct HomesPartition *p = &homes->partitions[partition];

      if (p->state != HOMES_NOT_SERVED || !homes_is_self (homes, group->map->entries[i].home))
        continue;
      if (!adoption_add (adoption, partition))
        break;
      p->state = HOMES_READING;
      p->epoch = group->map->entries[i].epoch;
    }
  adoption->replays = talloc_zero_array (adoption, struct JournalReplay, adoption->n_journals + 1);
  if (adoption->n_partitions == 0 || adoption->replays == NULL)
    {
      talloc_free (adoption);
      return;
    }
  group->adoption = adoption;
  adoption_read_next (adoption);
}
