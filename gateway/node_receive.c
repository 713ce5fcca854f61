/* Handles messages from peers. */
#include "node_internal.h"

#include "relay.h"
#include "seeds.h"
#include "store_reader.h"
#include "zone_servers.h"

#include <buckthornhead/log.h>
#include <buckthornhead/message_count.h>

#include <string.h>

enum
{
  REQUEST_INTERVAL_MS = 300 /* between two requests for a full list to one aggregator */
};

void
node_add_peer (struct Node *node, const struct NodeStatus *status)
{
  struct Peer *peer = peer_table_add_known (node->peers, status, timer_now_ms (node->timers));

  if (peer != NULL)
    peer_net_set_address (node->net, status->node, status->peer_address);
}

/* Stores the addresses of the processes in list for dialling. */
static void
node_store_addresses (struct Node *node, const struct Snapshot *list)
{
  for (size_t i = 0; i < list->n_items; i++)
    {
      const struct Peer *peer = node_peer (node, list->items[i].key);

      if (peer != NULL && !list->items[i].removed)
        peer_net_set_address (node->net, peer->status.node, peer->status.peer_address);
    }
}

static void
node_request_list (struct Node *node, uint64_t link, const char *sender, enum SnapshotKind kind)
{
  const struct GatewayMessage want = { .kind = GATEWAY_SNAPSHOT_WANT, .snapshot_want = kind };
  struct Peer *peer = node_peer (node, sender);
  int64_t now_ms = timer_now_ms (node->timers);

  if (peer == NULL || now_ms - peer->list_requested_ms < REQUEST_INTERVAL_MS)
    return;
  peer->list_requested_ms = now_ms;
  node_answer (node, link, &want);
}

static void
node_handle_marks (struct Node *node,
                   uint64_t link,
                   const char *sender,
                   const struct Heartbeat *heartbeat)
{
  int64_t now_ms = timer_now_ms (node->timers);

  for (size_t i = 0; i < heartbeat->n_marks; i++)
    {
      const struct StateMark *mark = &heartbeat->marks[i];

      switch (mark->kind)
        {
        case SNAPSHOT_ZONE:
        case SNAPSHOT_FLEET:
          if (!peer_table_confirm_list (node->peers, sender, mark, now_ms))
            node_request_list (node, link, sender, mark->kind);
          break;
        case SNAPSHOT_ROUTES:
        case SNAPSHOT_SERVERS:
        case SNAPSHOT_NODES:
        case SNAPSHOT_RETIRE:
          store_reader_receive_mark (node->reader, link, mark);
          break;
        case SNAPSHOT_SUBSET:
          if (zone_servers_are_from (node, sender))
            store_reader_receive_mark (node->reader, link, mark);
          break;
        case SNAPSHOT_CONTACTS:
          break;
        }
    }
}

static void
node_handle_heartbeat (struct Node *node,
                       uint64_t link,
                       const char *sender,
                       const struct Heartbeat *heartbeat)
{
  const struct GatewayMessage alive = { .kind = GATEWAY_ALIVE };
  const char *name = heartbeat->status.node;
  struct Peer *peer = node_peer (node, name);
  bool was_live = peer != NULL && node_peer_is_live (node, peer);
  bool reported = peer != NULL && peer->reported_ms > 0;
  bool changed;

  node_answer (node, link, &alive);
  peer =
      peer_table_handle_heartbeat (node->peers, heartbeat, timer_now_ms (node->timers), &changed);
  if (peer == NULL || strcmp (sender, name) != 0)
    return;
  if (!was_live)
    log_event (LOG_LEVEL_INFO, "peer_live", NULL, NULL, "%s at %s", name,
               heartbeat->status.peer_address);
  peer_net_set_address (node->net, name, heartbeat->status.peer_address);
  node_adopt_set (node, &heartbeat->set);
  node_handle_marks (node, link, sender, heartbeat);
  if (changed)
    node_publish_soon (node);
  if (heartbeat->scope == LOADS_OF_PROCESS && (!reported || !was_live)
      && strcmp (heartbeat->status.zone, node->settings->zone) == 0)
    node_send_fleet_heartbeat (node, name);
}

static void
node_handle_list (struct Node *node, uint64_t link, const char *sender, const struct Snapshot *list)
{
  if (!peer_table_apply_list (node->peers, sender, list, timer_now_ms (node->timers)))
    {
      node_request_list (node, link, sender, list->kind);
      return;
    }
  node_store_addresses (node, list);
  if (list->kind == SNAPSHOT_ZONE)
    node_publish_soon (node);
}

static void
node_send_contacts (struct Node *node, uint64_t link)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *contacts = seeds_contacts (node, node->net);

  if (contacts == NULL)
    return;
  message.snapshot = *contacts;
  node_answer (node, link, &message);
  talloc_free (contacts);
}

static void
node_handle_snapshot_want (struct Node *node, uint64_t link, enum SnapshotKind kind)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *list = peer_table_published (node->peers, kind);

  /* While earlier data is still queued, another full list would only delay everything behind it; a
   * peer that still needs it requests it again. When lists were queued faster than a link of 30
   * Mbit/s sends them, some of 300 instances that started together received their configuration
   * 6 s late. */
  if (peer_net_queued_bytes (node->net, link) > 0)
    return;
  if (kind == SNAPSHOT_CONTACTS)
    {
      node_send_contacts (node, link);
      return;
    }
  if (kind != SNAPSHOT_ZONE && kind != SNAPSHOT_FLEET)
    {
      store_reader_send_whole (node->reader, link, kind);
      return;
    }
  if (list == NULL || snapshot_pack_items (list) != ERROR_NONE)
    return;
  message.snapshot = *list;
  node_answer (node, link, &message);
}

static void
node_handle_snapshot (struct Node *node,
                      uint64_t link,
                      const char *sender,
                      const struct Snapshot *snapshot)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT, .snapshot = *snapshot };

  switch (snapshot->kind)
    {
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
      node_handle_list (node, link, sender, snapshot);
      break;
    case SNAPSHOT_CONTACTS:
      if (node->seeds != NULL)
        seeds_take_contacts (node->seeds, snapshot);
      break;
    case SNAPSHOT_SERVERS:
      store_reader_receive_snapshot (node->reader, link, snapshot);
      break;
    case SNAPSHOT_SUBSET:
      if (zone_servers_are_from (node, sender)
          && store_reader_receive_snapshot (node->reader, link, snapshot))
        node_send_some (node, &message, PEERS_SERVED);
      break;
    case SNAPSHOT_ROUTES:
    case SNAPSHOT_NODES:
    case SNAPSHOT_RETIRE:
      if (store_reader_receive_snapshot (node->reader, link, snapshot))
        node_send_some (node, &message, PEERS_SERVED);
      break;
    }
}

static void
node_dispatch (struct Node *node,
               uint64_t link,
               const char *sender,
               const struct GatewayMessage *message)
{
  const struct GatewayMessage alive = { .kind = GATEWAY_ALIVE };

  switch (message->kind)
    {
    case GATEWAY_HEARTBEAT:
      node_handle_heartbeat (node, link, sender, &message->heartbeat);
      break;
    case GATEWAY_PROBE:
      node_answer (node, link, &alive);
      break;
    case GATEWAY_ALIVE:
      break;
    case GATEWAY_SNAPSHOT:
      node_handle_snapshot (node, link, sender, &message->snapshot);
      break;
    case GATEWAY_SNAPSHOT_WANT:
      node_handle_snapshot_want (node, link, message->snapshot_want);
      break;
    case GATEWAY_TURN_OPEN:
    case GATEWAY_TURN_READ:
    case GATEWAY_TURN_OPENED:
    case GATEWAY_TURN_CLOSE:
    case GATEWAY_TURN_CLOSED:
    case GATEWAY_COPY_WANT:
    case GATEWAY_COPY_PART:
    case GATEWAY_SLOT_REQUEST:
    case GATEWAY_SLOT_STATE:
    case GATEWAY_SLOT_DONE:
    case GATEWAY_DIGESTS:
    case GATEWAY_USAGES:
    case GATEWAY_PACES:
    case GATEWAY_SUSPECTS:
    case GATEWAY_QUOTA_REQUEST:
    case GATEWAY_QUOTA_GRANT:
    case GATEWAY_QUOTA_RETURN:
      node->handler.message (node->handler.data, link, sender, message);
      break;
    case GATEWAY_RELAY:
      relay_on_message (node, link, &message->relay);
      break;
    }
}

static void
node_note_received (struct Node *node, uint64_t link, const char *sender)
{
  struct Peer *peer = node_peer (node, sender);
  int64_t now_ms = timer_now_ms (node->timers);

  if (peer == NULL)
    return;
  peer_note_received (peer, now_ms);
  if (!peer_net_is_dialled (node->net, link))
    return;
  peer->link_received_ms = now_ms;
  peer->unanswered_since_ms = 0;
}

void
node_on_received (void *data, uint64_t link, const char *sender, const struct PeerMessage *envelope)
{
  struct Node *node = data;
  struct GatewayMessage *message;

  if (envelope->kind != PEER_GATEWAY)
    return;
  if (gateway_message_unpack (node->net, envelope->gateway.bytes, envelope->gateway.n_bytes,
                              &message)
      != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "peer_message_malformed", NULL,
                 "run the same version on all instances", "from %s", sender);
      return;
    }
  message_count_add (MESSAGE_RECEIVED, message->kind, envelope->gateway.n_bytes);
  node_dispatch (node, link, sender, message);
  node_note_received (node, link, sender);
  talloc_free (message);
}
