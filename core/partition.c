#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>
#include <buckthornhead/partition.h>

#include <string.h>
#include <xxhash.h>

enum
{
  PARTITION_GROUP_VERSION = 1
};

uint32_t
partition_of (const char *program, uint32_t n_partitions)
{
  return (uint32_t)(XXH3_64bits (program, strlen (program)) % n_partitions);
}

uint64_t
rendezvous_score (const char *key, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), XXH3_64bits (key, strlen (key)));
}

int32_t
rendezvous_pick (const char *key, const char *const *names, size_t n)
{
  int32_t best = -1;
  uint64_t best_score = 0;

  for (size_t i = 0; i < n; i++)
    {
      uint64_t score = rendezvous_score (key, names[i]);

      /* Ties are resolved by name, so that the result does not depend on the order of names. */
      if (best < 0 || score > best_score
          || (score == best_score && strcmp (names[i], names[best]) < 0))
        {
          best = (int32_t)i;
          best_score = score;
        }
    }
  return best;
}

static void
partition_entry_pack (struct PackWriter *writer, const struct PartitionEntry *entry)
{
  pack_array (writer, 4);
  pack_u64 (writer, entry->epoch);
  pack_u64 (writer, entry->base_epoch);
  pack_string (writer, entry->home);
  pack_array (writer, entry->n_journals);
  for (uint32_t i = 0; i < entry->n_journals; i++)
    pack_string (writer, entry->journals[i]);
}

int32_t
partition_group_pack (TALLOC_CTX *ctx,
                      const struct PartitionGroup *group,
                      uint8_t **packed,
                      size_t *bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, 2);
  pack_u64 (writer, PARTITION_GROUP_VERSION);
  pack_array (writer, group->n_entries);
  for (uint32_t i = 0; i < group->n_entries; i++)
    partition_entry_pack (writer, &group->entries[i]);
  return pack_finish (writer, ctx, packed, bytes);
}

static void
partition_entry_unpack (struct PackReader *reader, struct PartitionEntry *entry)
{
  struct PackReader fields, journals;

  read_array (reader, &fields);
  entry->epoch = read_u64 (&fields, UINT64_MAX);
  entry->base_epoch = read_u64 (&fields, entry->epoch);
  read_string (&fields, entry->home, sizeof entry->home);
  read_array (&fields, &journals);
  if (journals.n_items > PARTITION_JOURNALS_MAX)
    journals.failed = true;
  for (size_t i = 0; i < journals.n_items && !journals.failed; i++)
    read_string (&journals, entry->journals[i], sizeof entry->journals[i]);
  entry->n_journals = (uint32_t)journals.n_items;
  if (read_end (&fields) != ERROR_NONE || read_end (&journals) != ERROR_NONE)
    reader->failed = true;
}

int32_t
partition_group_unpack (TALLOC_CTX *ctx,
                        const uint8_t *packed,
                        size_t bytes,
                        struct PartitionGroup **group)
{
  struct PackReader reader, entries;
  struct PartitionGroup *g = talloc_zero (ctx, struct PartitionGroup);
  void *document = NULL;
  int32_t error = ERROR_NO_MEMORY;

  if (g == NULL)
    return ERROR_NO_MEMORY;
  document = pack_open (ctx, packed, bytes, &reader);
  if (read_u64 (&reader, PARTITION_GROUP_VERSION) != PARTITION_GROUP_VERSION)
    reader.failed = true;
  read_array (&reader, &entries);
  g->n_entries = (uint32_t)entries.n_items;
  g->entries = talloc_zero_array (g, struct PartitionEntry, entries.n_items);
  if (g->entries == NULL)
    goto out;
  while (!entries.failed && entries.at < entries.n_items)
    partition_entry_unpack (&entries, &g->entries[entries.at]);
  error = read_end (&reader) == ERROR_NONE ? read_end (&entries) : ERROR_INVALID;
out:
  talloc_free (document);
  if (error == ERROR_NONE)
    *group = g;
  else
    talloc_free (g);
  return error;
}
