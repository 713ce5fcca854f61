/* Shared by the files of a node: node.c starts it and maintains its links, node_send.c selects the
 * receivers of a message, node_report.c builds heartbeats and lists, and node_receive.c handles
 * messages from peers. */
#pragma once

#include "node.h"

/* Packs message for several receivers. The caller frees the bytes after sending. NULL without
 * memory. */
uint8_t *
node_pack (struct Node *node, const struct GatewayMessage *message, struct PeerMessage *envelope);

/* These send a packed message of that kind: to one peer, to the aggregators of a zone other than
 * this process, to the aggregators of all other zones, or to the peers of a choice. */
void
node_send_packed (struct Node *node,
                  const char *name,
                  enum GatewayKind kind,
                  const struct PeerMessage *envelope);
void
node_send_aggregators (struct Node *node,
                       const char *zone,
                       enum GatewayKind kind,
                       const struct PeerMessage *envelope);
void
node_send_other_zones (struct Node *node,
                       enum GatewayKind kind,
                       const struct PeerMessage *envelope);
void
node_send_chosen (struct Node *node,
                  enum GatewayKind kind,
                  const struct PeerMessage *envelope,
                  enum PeerChoice choice);

/* Schedules an update of the lists, which sends their changes. */
void
node_publish_soon (struct Node *node);

/* Sends a new member the fleet's heartbeat at once: after a restart its callers wait until it has
 * received the state. */
void
node_send_fleet_heartbeat (struct Node *node, const char *name);

void
node_on_received (void *data,
                  uint64_t link,
                  const char *sender,
                  const struct PeerMessage *envelope);
