#include <buckthornhead/snapshot_changes.h>

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct Snapshot *
snapshot_copy (TALLOC_CTX *ctx, const struct Snapshot *snapshot)
{
  struct Snapshot *copy = talloc_memdup (ctx, snapshot, sizeof *snapshot);

  if (copy == NULL)
    return NULL;
  copy->packed_items = NULL;
  copy->items = talloc_zero_array (copy, struct SnapshotItem, snapshot->n_items);
  for (size_t i = 0; copy->items != NULL && i < snapshot->n_items; i++)
    {
      copy->items[i] = snapshot->items[i];
      copy->items[i].value =
          talloc_memdup (copy->items, snapshot->items[i].value, snapshot->items[i].value_bytes);
    }
  if (copy->items == NULL)
    TALLOC_FREE (copy);
  return copy;
}

uint64_t
snapshot_content (const struct SnapshotItem *items, size_t n_items)
{
  uint64_t content = n_items;

  for (size_t i = 0; items != NULL && i < n_items; i++)
    {
      content = XXH64 (items[i].key, strlen (items[i].key), content);
      content = XXH64 (items[i].value, items[i].value_bytes, content);
    }
  return content;
}

static bool
value_is_equal (const struct SnapshotItem *a, const struct SnapshotItem *b)
{
  return a->value_bytes == b->value_bytes
         && (a->value_bytes == 0 || memcmp (a->value, b->value, a->value_bytes) == 0);
}

static int
item_compare (const void *a, const void *b)
{
  const struct SnapshotItem *x = a, *y = b;

  return strcmp (x->key, y->key);
}

void
snapshot_sort_items (struct SnapshotItem *items, size_t n_items)
{
  if (n_items > 1)
    qsort (items, n_items, sizeof items[0], item_compare);
}

bool
snapshot_item_is_equal (const struct SnapshotItem *a, const struct SnapshotItem *b)
{
  return strcmp (a->key, b->key) == 0 && value_is_equal (a, b);
}

/* Compares the next items of two sorted lists by key: negative if that of a comes first. A list at
 * its end comes last. */
static int
items_order (const struct Snapshot *a, size_t at_a, const struct Snapshot *b, size_t at_b)
{
  if (at_a == a->n_items)
    return 1;
  if (at_b == b->n_items)
    return -1;
  return strcmp (a->items[at_a].key, b->items[at_b].key);
}

/* Returns an empty snapshot with the fields of like and space for all items of a and b. */
static struct Snapshot *
snapshot_new_empty (TALLOC_CTX *ctx,
                    const struct Snapshot *like,
                    const struct Snapshot *a,
                    const struct Snapshot *b)
{
  struct Snapshot *snapshot = talloc_memdup (ctx, like, sizeof *like);

  if (snapshot == NULL)
    return NULL;
  snapshot->n_items = 0;
  snapshot->packed_items = NULL;
  snapshot->items = talloc_array (snapshot, struct SnapshotItem, a->n_items + b->n_items);
  if (snapshot->items == NULL)
    TALLOC_FREE (snapshot);
  return snapshot;
}

struct Snapshot *
snapshot_changes (TALLOC_CTX *ctx, const struct Snapshot *before, const struct Snapshot *after)
{
  struct Snapshot *changes = snapshot_new_empty (ctx, after, before, after);
  size_t at_before = 0, at_after = 0;

  if (changes == NULL)
    return NULL;
  /* A base of 0 denotes a full list. */
  if (before->content == 0)
    {
      talloc_free (changes);
      return NULL;
    }
  changes->base = before->content;
  while (at_before < before->n_items || at_after < after->n_items)
    {
      int order = items_order (before, at_before, after, at_after);
      struct SnapshotItem *change = &changes->items[changes->n_items];

      if (order < 0)
        {
          *change = before->items[at_before++];
          change->value_bytes = 0;
          change->removed = true;
          changes->n_items++;
          continue;
        }
      if (order > 0 || !value_is_equal (&before->items[at_before], &after->items[at_after]))
        {
          *change = after->items[at_after];
          changes->n_items++;
        }
      at_before += order == 0;
      at_after++;
    }
  if (changes->n_items >= after->n_items)
    TALLOC_FREE (changes);
  return changes;
}

struct Snapshot *
snapshot_merge (TALLOC_CTX *ctx, const struct Snapshot *before, const struct Snapshot *changes)
{
  struct Snapshot *merged = snapshot_new_empty (ctx, changes, before, changes);
  size_t at_before = 0, at_changes = 0;

  if (merged == NULL)
    return NULL;
  merged->base = 0;
  while (at_before < before->n_items || at_changes < changes->n_items)
    {
      int order = items_order (before, at_before, changes, at_changes);

      if (order < 0)
        {
          merged->items[merged->n_items++] = before->items[at_before++];
          continue;
        }
      if (!changes->items[at_changes].removed)
        merged->items[merged->n_items++] = changes->items[at_changes];
      at_before += order == 0;
      at_changes++;
    }
  return merged;
}

struct Snapshot *
snapshot_apply_changes (TALLOC_CTX *ctx,
                        const struct Snapshot *before,
                        const struct Snapshot *changes)
{
  struct Snapshot *merged = snapshot_merge (ctx, before, changes);

  if (merged != NULL && snapshot_content (merged->items, merged->n_items) != changes->content)
    TALLOC_FREE (merged);
  return merged;
}
