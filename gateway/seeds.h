/* Seeds: processes named in the settings, from which a starting process gets its first peers.
 *
 * A starting process queries the seed of its zone for a few processes of each zone. It reports to
 * the aggregators of its zone among them, whose lists contain all other processes, so no call to
 * the platform's store is needed. All processes of a zone query the same seed first, so that they
 * find each other there when the whole fleet starts. */
#pragma once

#include "node.h"

struct Seeds;

/* Starts the queries. NULL when the settings name no other process as a seed, or without memory. */
struct Seeds *
seeds_new (struct Node *node);

/* Returns whether the settings name this process as a seed. False for NULL. */
bool
seeds_have_own (const struct Seeds *seeds);

/* Returns whether no seed has responded yet and it is too early to read the store instead. False
 * for NULL. */
bool
seeds_are_awaited (const struct Seeds *seeds);

/* Returns the processes that a starting process should report to or query, as a list owned by ctx;
 * NULL without memory. */
struct Snapshot *
seeds_contacts (const struct Node *node, TALLOC_CTX *ctx);

/* Handles a seed's response. */
void
seeds_take_contacts (struct Seeds *seeds, const struct Snapshot *contacts);
