/* Hash table of nodes embedded in the structures that it indexes; keys belong to the embedding
 * structure. */
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
  struct TableNode **buckets; /* talloc array; its length is a power of two */
  size_t n_buckets, n;
};

#define TABLE_ENTRY(node, type, member) ((type *)((char *)(node)-offsetof (type, member)))

struct TableNode *
policy_table_find (const struct PolicyTable *table, const void *key, size_t key_bytes);

/* Adds node under key, which must be new and must outlive the node. Returns false when out of
 * memory. */
bool
policy_table_add (TALLOC_CTX *ctx,
                  struct PolicyTable *table,
                  struct TableNode *node,
                  const void *key,
                  size_t key_bytes);

void
policy_table_remove (struct PolicyTable *table, struct TableNode *node);
