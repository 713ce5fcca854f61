/* What differs between two snapshots of the platform's store.
 *
 * A list of thousands of servers changes by a few each time it is read. Sent as a whole to hundreds
 * of peers it took more memory than a gateway of 110 MB has: 3,000 servers are 300 KB, times 300
 * peers. Snapshots that are told in changes have their items in ascending order of their keys.
 * Pure. */
#pragma once

#include <buckthornhead/gateway_message.h>

/* A copy of snapshot and its items; belongs to ctx. NULL without memory. */
struct Snapshot *
snapshot_copy (TALLOC_CTX *ctx, const struct Snapshot *snapshot);

/* Equal for equal items. */
uint64_t
snapshot_content (const struct SnapshotItem *items, size_t n_items);

/* Ascending by key. */
void
snapshot_sort_items (struct SnapshotItem *items, size_t n_items);

/* The same key and value. */
bool
snapshot_item_is_equal (const struct SnapshotItem *a, const struct SnapshotItem *b);

/* What after has and before has not, and what is gone, with .base; belongs to ctx. Values are
 * after's. NULL without memory, or when all of after is no longer. */
struct Snapshot *
snapshot_changes (TALLOC_CTX *ctx, const struct Snapshot *before, const struct Snapshot *after);

/* The items of before with changes made to them, which are in ascending order of their keys too;
 * belongs to ctx, values are those of both. NULL without memory. */
struct Snapshot *
snapshot_merge (TALLOC_CTX *ctx, const struct Snapshot *before, const struct Snapshot *changes);

/* The same where changes come from snapshot_changes. NULL also when they are not from before. */
struct Snapshot *
snapshot_with_changes (TALLOC_CTX *ctx,
                       const struct Snapshot *before,
                       const struct Snapshot *changes);
