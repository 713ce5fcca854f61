/* A copy of the platform's store's state, and of what is quarantined, on an archive's disk.
 *
 * Processes that start normally receive this state from peers. When all of them start at once while
 * the store is unavailable, the archives' disks have the only copy of the configuration and of the
 * lists of backend servers and processes. */
#pragma once

#include "node.h"

#include <buckthornhead/disk_log.h>
#include <buckthornhead/retention_clock.h>

struct ArchiveState;
struct Suspects;

/* Loads the saved state into the node's reader and suspects once the event loop runs, and saves
 * changes of it from then on. Only the time for which archives ran counts as age of what is
 * quarantined. NULL without memory. */
struct ArchiveState *
archive_state_new (TALLOC_CTX *ctx,
                   struct Node *node,
                   struct DiskLog *log,
                   const struct RetentionClock *clock,
                   struct Suspects *suspects);
