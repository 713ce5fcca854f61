/* Partition map: maps programs to the incarnation that is their home.
 *
 * Programs are hashed into a fixed number of partitions. The map is stored in the key-value
 * service, one value per group of partitions, and changed by compare-and-swap only. */
#pragma once

#include <buckthornhead/kv.h>

enum
{
  INCARNATION_MAX_BYTES = 88,
  PARTITION_JOURNALS_MAX = 8
};

struct PartitionEntry
{
  uint64_t epoch;                       /* 0: never owned */
  uint64_t base_epoch;                  /* records of lower epochs are ignored */
  char home[INCARNATION_MAX_BYTES + 1]; /* "<instance>.<number>", "" for none */
  /* Journals whose records are still needed, oldest first; the last is the home's own. All others
   * are sealed or end, for this partition, with a hand-off record, so their writers can write
   * nothing more for it. */
  uint32_t n_journals;
  char journals[PARTITION_JOURNALS_MAX][INCARNATION_MAX_BYTES + 1];
};

struct PartitionGroup
{
  uint32_t n_entries;
  int64_t mod_revision; /* of the value in the key-value service; 0: absent */
  struct PartitionEntry *entries;
};

/* Returns the partition of program. */
uint32_t
partition_of (const char *program, uint32_t n_partitions);

int32_t
partition_group_pack (TALLOC_CTX *ctx,
                      const struct PartitionGroup *group,
                      uint8_t **packed,
                      size_t *bytes);
int32_t
partition_group_unpack (TALLOC_CTX *ctx,
                        const uint8_t *packed,
                        size_t bytes,
                        struct PartitionGroup **group);

/* Returns the index of the name with the highest rendezvous score for key; -1 when n is 0. */
int32_t
rendezvous_pick (const char *key, const char *const *names, size_t n);
/* Returns the score of name for key, for callers that filter or rank names themselves. */
uint64_t
rendezvous_score (const char *key, const char *name);
