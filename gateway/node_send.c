/* Selects the receivers of a message and the links to them. */
#include "node_internal.h"

#include "relay.h"

#include <buckthornhead/message_count.h>

#include <string.h>

int32_t
node_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message)
{
  struct PeerMessage envelope;
  uint8_t *bytes;
  int32_t error;

  if (relay_is_link (link))
    return relay_respond (node, link, message);
  bytes = node_pack (node, message, &envelope);
  if (bytes == NULL)
    return ERROR_NO_MEMORY;
  error = peer_net_send (node->net, link, &envelope);
  if (error == ERROR_NONE)
    message_count_add (MESSAGE_SENT, message->kind, envelope.gateway.n_bytes);
  talloc_free (bytes);
  return error;
}

/* Returns whether the receiver replies over the same link, at once. */
static bool
message_expects_reply (enum GatewayKind kind)
{
  switch (kind)
    {
    case GATEWAY_HEARTBEAT:
    case GATEWAY_PROBE:
    case GATEWAY_TURN_OPEN:
    case GATEWAY_TURN_READ:
    case GATEWAY_TURN_CLOSE:
    case GATEWAY_SLOT_REQUEST:
    case GATEWAY_COPY_WANT:
      return true;
    case GATEWAY_TURN_OPENED:
    case GATEWAY_TURN_CLOSED:
    case GATEWAY_SNAPSHOT:
    case GATEWAY_SNAPSHOT_WANT:
    case GATEWAY_COPY_PART:
    case GATEWAY_RELAY:
    case GATEWAY_SLOT_STATE:
    case GATEWAY_SLOT_DONE:
    case GATEWAY_ALIVE:
    case GATEWAY_DIGESTS:
    case GATEWAY_USAGES:
    case GATEWAY_PACES:
    case GATEWAY_SUSPECTS:
    /* A gateway that does not own the customer forwards the request instead of replying. */
    case GATEWAY_QUOTA_REQUEST:
    case GATEWAY_QUOTA_GRANT:
    case GATEWAY_QUOTA_RETURN:
      return false;
    }
  return false;
}

static void
node_note_request (struct Node *node, const char *name, enum GatewayKind kind)
{
  struct Peer *peer = node_peer (node, name);

  if (peer != NULL && message_expects_reply (kind))
    peer_record_request (peer, timer_now_ms (node->timers));
}

int32_t
node_send (struct Node *node, const char *peer, const struct GatewayMessage *message)
{
  uint64_t link = peer_net_link_to (node->net, peer);

  node_note_request (node, peer, message->kind);
  return link != PEER_LINK_NONE ? node_answer (node, link, message) : ERROR_UNREACHABLE;
}

/* Receivers. */

static bool
peer_is_chosen (const struct Node *node,
                const struct Peer *peer,
                enum PeerChoice choice,
                bool aggregates)
{
  const struct NodeStatus *status = &peer->status;

  switch (choice)
    {
    case PEERS_SERVED:
      return peer_table_serves (node->peers, peer, aggregates, timer_now_ms (node->timers));
    case PEERS_GATEWAYS:
      return !status->is_archive && node_peer_is_live (node, peer);
    case PEERS_GATEWAYS_OF_ZONE:
      return !status->is_archive && strcmp (status->zone, node->settings->zone) == 0
             && node_peer_is_live (node, peer);
    case PEERS_AGGREGATORS:
    case PEERS_OWN_AGGREGATORS:
    case PEERS_OTHER_ZONES:
      return false;
    }
  return false;
}

void
node_send_packed (struct Node *node,
                  const char *name,
                  enum GatewayKind kind,
                  const struct PeerMessage *envelope)
{
  uint64_t link = peer_net_link_to (node->net, name);

  node_note_request (node, name, kind);
  if (link != PEER_LINK_NONE && peer_net_send (node->net, link, envelope) == ERROR_NONE)
    message_count_add (MESSAGE_SENT, kind, envelope->gateway.n_bytes);
}

void
node_send_aggregators (struct Node *node,
                       const char *zone,
                       enum GatewayKind kind,
                       const struct PeerMessage *envelope)
{
  const char *names[PEER_TABLE_AGGREGATORS];
  size_t n = peer_table_aggregators (node->peers, zone, timer_now_ms (node->timers), names);

  for (size_t i = 0; i < n; i++)
    if (strcmp (names[i], node->settings->instance) != 0)
      node_send_packed (node, names[i], kind, envelope);
}

void
node_send_other_zones (struct Node *node, enum GatewayKind kind, const struct PeerMessage *envelope)
{
  const char *zones[PEER_TABLE_ZONES_MAX];
  size_t n_zones = peer_table_other_zones (node->peers, zones);

  for (size_t i = 0; i < n_zones; i++)
    node_send_aggregators (node, zones[i], kind, envelope);
}

void
node_send_chosen (struct Node *node,
                  enum GatewayKind kind,
                  const struct PeerMessage *envelope,
                  enum PeerChoice choice)
{
  struct PeerTable *table = node->peers;
  bool aggregates = peer_table_is_aggregator (table, timer_now_ms (node->timers));

  for (size_t i = 0; i < table->n_peers; i++)
    if (peer_is_chosen (node, table->peers[i], choice, aggregates))
      node_send_packed (node, table->peers[i]->status.node, kind, envelope);
}

uint8_t *
node_pack (struct Node *node, const struct GatewayMessage *message, struct PeerMessage *envelope)
{
  uint8_t *bytes;

  memset (envelope, 0, sizeof *envelope);
  envelope->kind = PEER_GATEWAY;
  if (gateway_message_pack (node->net, message, &bytes, &envelope->gateway.n_bytes) != ERROR_NONE)
    return NULL;
  envelope->gateway.bytes = bytes;
  return bytes;
}

void
node_send_some (struct Node *node, const struct GatewayMessage *message, enum PeerChoice choice)
{
  struct PeerMessage envelope;
  uint8_t *bytes = node_pack (node, message, &envelope);

  if (bytes == NULL)
    return;
  switch (choice)
    {
    case PEERS_AGGREGATORS:
      node_send_aggregators (node, node->settings->zone, message->kind, &envelope);
      node_send_other_zones (node, message->kind, &envelope);
      break;
    case PEERS_OWN_AGGREGATORS:
      node_send_aggregators (node, node->settings->zone, message->kind, &envelope);
      break;
    case PEERS_OTHER_ZONES:
      node_send_other_zones (node, message->kind, &envelope);
      break;
    case PEERS_SERVED:
    case PEERS_GATEWAYS:
    case PEERS_GATEWAYS_OF_ZONE:
      node_send_chosen (node, message->kind, &envelope, choice);
      break;
    }
  talloc_free (bytes);
}
