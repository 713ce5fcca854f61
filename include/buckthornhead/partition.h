/* Partition map: which incarnation is the home of which programs.
 *
 * Programs hash into a fixed number of partitions. The map lives in the key-value service, one
 * value per group of partitions, changed by compare-and-swap only. */
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
  uint64_t base_epoch;                  /* records of lower epochs count no more */
  char home[INCARNATION_MAX_BYTES + 1]; /* "<instance>.<number>", "" for none */
  /* Journals that still count, oldest first; the home's own is the last. Each but the last is
   * sealed or was left by a hand-off: its writer can write nothing more for the partition. */
  uint32_t n_journals;
  char journals[PARTITION_JOURNALS_MAX][INCARNATION_MAX_BYTES + 1];
};

struct PartitionGroup
{
  uint32_t n_entries;
  int64_t mod_revision; /* of the value in the key-value service, 0: absent */
  struct PartitionEntry *entries;
};

/* The partition of a program. */
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

/* Rendezvous hashing: index of the highest-scoring of names for key; -1 when n is 0. */
int32_t
rendezvous_pick (const char *key, const char *const *names, size_t n);
/* Score of one name for key, for callers that filter or rank themselves. */
uint64_t
rendezvous_score (const char *key, const char *name);
