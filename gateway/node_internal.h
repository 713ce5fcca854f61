/* What the files of a node share: node.c starts it and looks after its links, node_send.c finds the
 * receivers, node_report.c says what they are sent, node_receive.c takes what they send. */
#pragma once

#include "node.h"

/* Packs message for many receivers; the bytes are to be freed once it is sent. NULL without memory.
 */
uint8_t *
node_pack (struct Node *node, const struct GatewayMessage *message, struct PeerMessage *envelope);

/* Sends a packed message of that kind: to one peer, to those who aggregate the zone (this process
 * left out), to those of all other zones, or to those that choice means. */
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

/* Draws up the lists a moment later and sends what has changed in them. */
void
node_publish_soon (struct Node *node);

/* A member that is new to its aggregator need not wait for the next heartbeat to learn what there
 * is: after a stop its callers wait with it. */
void
node_greet (struct Node *node, const char *name);

void
node_on_received (void *data,
                  uint64_t link,
                  const char *sender,
                  const struct PeerMessage *envelope);
