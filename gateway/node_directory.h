/* The system's processes and the set of archives, as entries of the platform's store and as the
 * snapshot that peers exchange. */
#pragma once

#include "node.h"

enum
{
  /* An address, a role and a zone, separated by spaces. */
  NODE_ENTRY_BYTES = ADDRESS_MAX_BYTES + 16 + NAME_MAX_BYTES
};

/* Formats the store entry of a process with this status. */
void
node_directory_entry (const struct NodeStatus *status, char value[NODE_ENTRY_BYTES]);

/* Adds the processes of snapshot that are new, and adopts its set of archives if it is newer. A
 * malformed set is logged; a malformed entry of a process is skipped. */
void
node_directory_take (struct Node *node, const struct Snapshot *snapshot);

/* Returns all peers and the set of archives as a snapshot of kind SNAPSHOT_NODES, owned by ctx;
 * NULL without memory. */
struct Snapshot *
node_directory_snapshot (const struct Node *node, TALLOC_CTX *ctx);
