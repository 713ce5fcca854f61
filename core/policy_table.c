#include "policy_table.h"

#include <string.h>

#include <xxhash.h>

enum
{
  TABLE_INITIAL_BUCKETS = 64
};

struct TableNode *
policy_table_find (const struct PolicyTable *table, const void *key, size_t key_bytes)
{
  uint64_t hash;

  if (table->n == 0)
    return NULL;
  hash = XXH64 (key, key_bytes, 0);
  for (struct TableNode *n = table->buckets[hash & (table->n_buckets - 1)]; n != NULL; n = n->next)
    if (n->hash == hash && n->key_bytes == key_bytes && memcmp (n->key, key, key_bytes) == 0)
      return n;
  return NULL;
}

static bool
table_grow (TALLOC_CTX *ctx, struct PolicyTable *table)
{
  size_t n_buckets = table->n_buckets == 0 ? TABLE_INITIAL_BUCKETS : table->n_buckets * 2;
  struct TableNode **buckets = talloc_zero_array (ctx, struct TableNode *, n_buckets);

  if (buckets == NULL)
    return false;
  for (size_t i = 0; i < table->n_buckets; i++)
    for (struct TableNode *node = table->buckets[i], *next; node != NULL; node = next)
      {
        struct TableNode **bucket = &buckets[node->hash & (n_buckets - 1)];

        next = node->next;
        node->next = *bucket;
        *bucket = node;
      }
  talloc_free (table->buckets);
  table->buckets = buckets;
  table->n_buckets = n_buckets;
  return true;
}

bool
policy_table_add (TALLOC_CTX *ctx,
                  struct PolicyTable *table,
                  struct TableNode *node,
                  const void *key,
                  size_t key_bytes)
{
  struct TableNode **bucket;

  if (table->n >= table->n_buckets && !table_grow (ctx, table))
    return false;
  node->key = key;
  node->key_bytes = key_bytes;
  node->hash = XXH64 (key, key_bytes, 0);
  bucket = &table->buckets[node->hash & (table->n_buckets - 1)];
  node->next = *bucket;
  *bucket = node;
  table->n++;
  return true;
}

void
policy_table_remove (struct PolicyTable *table, struct TableNode *node)
{
  struct TableNode **link = &table->buckets[node->hash & (table->n_buckets - 1)];

  while (*link != node)
    link = &(*link)->next;
  *link = node->next;
  table->n--;
}
