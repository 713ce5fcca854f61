/* Hash table whose nodes are embedded in what they name; keys belong to the embedding structure. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct TableNode
{
  struct TableNode *next;
  const void *key;
  size_t key_bytes;
  uint64_t hash;
};

struct PolicyTable
{
  struct TableNode **buckets; /* talloc array, a power of two long */
  size_t n_buckets, n;
};

#define TABLE_ENTRY(node, type, member) ((type *)((char *)(node)-offsetof (type, member)))

struct TableNode *
policy_table_find (const struct PolicyTable *table, const void *key, size_t key_bytes);

/* Adds node under key, which must not be there yet and must outlive the node. False when memory is
 * short. */
bool
policy_table_add (TALLOC_CTX *ctx,
                  struct PolicyTable *table,
                  struct TableNode *node,
                  const void *key,
                  size_t key_bytes);

void
policy_table_remove (struct PolicyTable *table, struct TableNode *node);
