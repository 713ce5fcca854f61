/* Processes that the settings name, which name to one that starts those to report to.
 *
 * A process that starts asks its zone's seed for a few processes of each zone. It reports to those
 * that aggregate its zone, whose lists then name all others: no call to the platform's store is
 * needed. All processes of a zone ask the same seed first, so that they meet there when the whole
 * fleet starts. */
#pragma once

#include "node.h"

struct Seeds;

/* Begins to ask. NULL when the settings name no seeds, or without memory. */
struct Seeds *
seeds_new (struct Node *node);

/* The settings name this process. False for NULL. */
bool
seeds_have_own (const struct Seeds *seeds);

/* Nobody has answered yet, and it is too early to do without. False for NULL. */
bool
seeds_are_awaited (const struct Seeds *seeds);

/* The processes that one which starts should know, as a list that belongs to ctx; NULL without
 * memory. */
struct Snapshot *
seeds_contacts (const struct Node *node, TALLOC_CTX *ctx);

/* The answer. */
void
seeds_take_contacts (struct Seeds *seeds, const struct Snapshot *contacts);
