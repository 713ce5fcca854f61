/* Who there is: the system's own processes and the set of archives, as entries of the platform's
 * store and as peers pass them on. */
#pragma once

#include "node.h"

enum
{
  NODE_ENTRY_BYTES = ADDRESS_MAX_BYTES + 16 /* an address, a space and a role */
};

/* The entry of a process that others reach at address. */
void
known_nodes_entry (const char *address, bool is_archive, char value[NODE_ENTRY_BYTES]);

/* Dials the processes of snapshot that are new here, and takes its set of archives if it is newer.
 * Entries that can not be read are logged and passed over. */
void
known_nodes_take (struct Node *node, const struct Snapshot *snapshot);

/* All peers and the set, as a snapshot of kind SNAPSHOT_NODES that belongs to ctx; NULL without
 * memory. */
struct Snapshot *
known_nodes_snapshot (const struct Node *node, TALLOC_CTX *ctx);
