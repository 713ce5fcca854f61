/* What the platform's store said, kept on an archive's disk.
 *
 * Processes that start learn it from peers. When all of them start at once while the store is away,
 * only the archives' disks still know the configuration, the servers and each other. */
#pragma once

#include "node.h"

#include <buckthornhead/disk_log.h>

struct ArchiveState;

/* Keeps what the node's reader holds, from now on. */
struct ArchiveState *
archive_state_new (TALLOC_CTX *ctx, struct Node *node, struct DiskLog *log);
