/* Differences between two snapshots of the platform's store.
 *
 * Between two reads only a few entries change in a list of thousands of servers. Sending the full
 * list to all peers exceeded the memory of a gateway with 110 MB: 3,000 servers are 300 KB for each
 * of 300 peers. The items of snapshots that are sent as changes are in ascending order of their
 * keys. Does no I/O. */
#pragma once

#include <buckthornhead/gateway_message.h>

/* Returns a copy of snapshot and its items, which belongs to ctx. NULL without memory. */
struct Snapshot *
snapshot_copy (TALLOC_CTX *ctx, const struct Snapshot *snapshot);

/* Returns a hash of the items. */
uint64_t
snapshot_content (const struct SnapshotItem *items, size_t n_items);

/* Sorts the items in ascending order of their keys. */
void
snapshot_sort_items (struct SnapshotItem *items, size_t n_items);

/* Returns true if key and value are equal. */
bool
snapshot_item_is_equal (const struct SnapshotItem *a, const struct SnapshotItem *b);

/* Returns the items that are new, changed or removed in after, with .base set to the content of
 * before; belongs to ctx. Values point into after. NULL without memory, when before has content 0,
 * or when there are no fewer changes than items in after. */
struct Snapshot *
snapshot_changes (TALLOC_CTX *ctx, const struct Snapshot *before, const struct Snapshot *after);

/* Returns the items of before with changes applied, whose items are also in ascending order of
 * their keys; belongs to ctx. Values point into both. NULL without memory. */
struct Snapshot *
snapshot_merge (TALLOC_CTX *ctx, const struct Snapshot *before, const struct Snapshot *changes);

/* Like snapshot_merge, for the result of snapshot_changes. Returns NULL also when the changes do
 * not lead from before to the content that they announce. */
struct Snapshot *
snapshot_apply_changes (TALLOC_CTX *ctx,
                        const struct Snapshot *before,
                        const struct Snapshot *changes);
