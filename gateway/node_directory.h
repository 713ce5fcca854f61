/* Who there is: the system's own processes and the set of archives, as entries of the platform's
 * store and as peers pass them on. */
#pragma once

#include "node.h"

enum
{
  /* An address, a role and a zone, with spaces between them. */
  NODE_ENTRY_BYTES = ADDRESS_MAX_BYTES + 16 + NAME_MAX_BYTES
};

/* The entry of a process that says this of itself. */
void
node_directory_entry (const struct NodeStatus *status, char value[NODE_ENTRY_BYTES]);

/* Learns of the processes of snapshot that are new here, and takes its set of archives if it is
 * newer. Entries that can not be read are logged and passed over. */
void
node_directory_take (struct Node *node, const struct Snapshot *snapshot);

/* All peers and the set, as a snapshot of kind SNAPSHOT_NODES that belongs to ctx; NULL without
 * memory. */
struct Snapshot *
node_directory_snapshot (const struct Node *node, TALLOC_CTX *ctx);
