/* Heartbeats and lists: status of this process and, from an aggregator, of other processes. */
#include "node_internal.h"

#include "zone_servers.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Changes of lists are collected for this long. Otherwise each aggregator would build and send a
   * list for every single process when a fleet starts or many processes stop. */
  PUBLISH_MS = 100
};

/* Returns a heartbeat with the current status and loads of this process, owned by ctx; NULL without
 * memory. */
static struct GatewayMessage *
node_describe (struct Node *node, TALLOC_CTX *ctx)
{
  const struct GatewaySettings *settings = node->settings;
  struct GatewayMessage *message = talloc_zero (ctx, struct GatewayMessage);
  struct NodeStatus *status;

  if (message == NULL)
    return NULL;
  message->kind = GATEWAY_HEARTBEAT;
  status = &message->heartbeat.status;
  snprintf (status->node, NAME_MAX_BYTES + 1, "%s", settings->instance);
  snprintf (status->zone, NAME_MAX_BYTES + 1, "%s", settings->zone);
  snprintf (status->peer_address, ADDRESS_MAX_BYTES + 1, "%s", node_address (node));
  snprintf (status->caller_address, ADDRESS_MAX_BYTES + 1, "%s", settings->caller_listen);
  status->start = node->start;
  status->set_generation = node->set.generation;
  status->is_archive = node_is_archive (node);
  if (node->handler.describe != NULL)
    node->handler.describe (node->handler.data, message, &message->heartbeat);
  node->peers->own_server_level = message->heartbeat.server_level;
  peer_table_describe (node->peers, status);
  *status = node->peers->own;
  return message;
}

/* Returns whether some peer may lack the current set of archives, which is too long to be sent in
 * every heartbeat. */
static bool
node_must_send_set (const struct Node *node)
{
  const struct PeerTable *table = node->peers;

  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i]->status.set_generation < node->set.generation)
      return true;
  return false;
}

static void
heartbeat_add_mark (struct Node *node, struct Heartbeat *heartbeat, enum SnapshotKind kind)
{
  const struct Snapshot *list = peer_table_published (node->peers, kind);
  struct StateMark *mark = &heartbeat->marks[heartbeat->n_marks];

  if (list == NULL)
    return;
  mark->kind = kind;
  mark->revision = list->revision;
  mark->content = list->content;
  heartbeat->n_marks++;
}

/* Returns the heartbeat for receivers of that scope, a child of own. */
static struct GatewayMessage *
node_heartbeat (struct Node *node, const struct GatewayMessage *own, enum LoadScope scope)
{
  struct GatewayMessage *message = talloc_memdup (own, own, sizeof *own);
  struct Heartbeat *heartbeat;

  if (message == NULL)
    return NULL;
  heartbeat = &message->heartbeat;
  heartbeat->scope = scope;
  if (node_must_send_set (node))
    heartbeat->set = node->set;
  heartbeat->n_marks = store_reader_marks (node->reader, heartbeat->marks);
  switch (scope)
    {
    case LOADS_OF_PROCESS:
      return message;
    case LOADS_OF_ZONE:
      heartbeat_add_mark (node, heartbeat, SNAPSHOT_ZONE);
      break;
    case LOADS_OF_FLEET:
      heartbeat_add_mark (node, heartbeat, SNAPSHOT_FLEET);
      break;
    }
  heartbeat->loads = peer_table_loads (node->peers, message, &own->heartbeat, scope,
                                       timer_now_ms (node->timers), &heartbeat->n_loads);
  return message;
}

/* Sends the heartbeat of this process to the aggregators of its zone. An aggregator also sends the
 * zone's heartbeat to the aggregators of other zones, and the fleet's heartbeat to its members; the
 * latter and its sums are only built while there are members to serve. */
static void
node_send_heartbeats (struct Node *node, const struct GatewayMessage *own, bool serves)
{
  static const enum LoadScope scopes[] = { LOADS_OF_PROCESS, LOADS_OF_ZONE, LOADS_OF_FLEET };
  int64_t now_ms = timer_now_ms (node->timers);
  bool aggregates = peer_table_is_aggregator (node->peers, now_ms);

  for (size_t i = 0; i < sizeof scopes / sizeof scopes[0]; i++)
    {
      const struct Peer *silent;
      struct GatewayMessage *message;
      struct PeerMessage envelope;
      uint8_t *bytes;

      if ((scopes[i] == LOADS_OF_ZONE && !aggregates) || (scopes[i] == LOADS_OF_FLEET && !serves))
        continue;
      message = node_heartbeat (node, own, scopes[i]);
      bytes = message != NULL ? node_pack (node, message, &envelope) : NULL;
      if (bytes == NULL)
        return;
      switch (scopes[i])
        {
        case LOADS_OF_PROCESS:
          node_send_aggregators (node, node->settings->zone, GATEWAY_HEARTBEAT, &envelope);
          break;
        case LOADS_OF_ZONE:
          node_send_other_zones (node, GATEWAY_HEARTBEAT, &envelope);
          break;
        case LOADS_OF_FLEET:
          node_send_chosen (node, GATEWAY_HEARTBEAT, &envelope, PEERS_SERVED);
          silent = aggregates ? peer_table_next_silent (node->peers, now_ms) : NULL;
          if (silent != NULL)
            node_send_packed (node, silent->status.node, GATEWAY_HEARTBEAT, &envelope);
          break;
        }
      talloc_free (bytes);
    }
}

/* Rebuilds the lists and sends their changes. */
static void
node_publish (struct Node *node)
{
  static const enum SnapshotKind kinds[] = { SNAPSHOT_ZONE, SNAPSHOT_FLEET };
  int64_t now_ms = timer_now_ms (node->timers);

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
      struct Snapshot *changes = peer_table_publish (node->peers, node->net, kinds[i], now_ms);
      struct PeerMessage envelope;
      uint8_t *bytes;

      if (changes == NULL)
        continue;
      message.snapshot = *changes;
      bytes = node_pack (node, &message, &envelope);
      if (bytes != NULL && kinds[i] == SNAPSHOT_FLEET)
        node_send_chosen (node, GATEWAY_SNAPSHOT, &envelope, PEERS_SERVED);
      else if (bytes != NULL && peer_table_is_aggregator (node->peers, now_ms))
        node_send_other_zones (node, GATEWAY_SNAPSHOT, &envelope);
      talloc_free (bytes);
      talloc_free (changes);
    }
}

static bool
node_acts_as_aggregator (const struct Node *node)
{
  const struct PeerTable *table = node->peers;
  int64_t now_ms = timer_now_ms (node->timers);

  if (peer_table_is_aggregator (table, now_ms))
    return true;
  for (size_t i = 0; i < table->n_peers; i++)
    if (peer_table_serves (table, table->peers[i], false, now_ms))
      return true;
  return false;
}

static void
node_on_publish (void *data)
{
  struct Node *node = data;

  node->publish_timer = NULL;
  if (node_acts_as_aggregator (node))
    node_publish (node);
}

void
node_publish_soon (struct Node *node)
{
  if (node->publish_timer == NULL)
    node->publish_timer =
        timer_subscribe (node->net, node->timers, PUBLISH_MS, 0, node_on_publish, node);
}

static void
node_send_heartbeat (struct Node *node, const char *name, enum LoadScope scope)
{
  struct GatewayMessage *own = node_describe (node, node->net);
  struct GatewayMessage *message = own != NULL ? node_heartbeat (node, own, scope) : NULL;

  if (message != NULL)
    node_send (node, name, message);
  talloc_free (own);
}

void
node_send_fleet_heartbeat (struct Node *node, const char *name)
{
  node_send_heartbeat (node, name, LOADS_OF_FLEET);
}

void
node_introduce (struct Node *node, const char *peer)
{
  node_send_heartbeat (node, peer, LOADS_OF_PROCESS);
}

void
node_announce (struct Node *node)
{
  struct GatewayMessage *own = node->net != NULL ? node_describe (node, node->net) : NULL;

  bool serves;

  if (own == NULL)
    return;
  serves = node_acts_as_aggregator (node);
  if (serves)
    node_publish (node);
  zone_servers_refresh (node->reader);
  node_send_heartbeats (node, own, serves);
  talloc_free (own);
}

void
node_announce_changes (struct Node *node)
{
  uint64_t version = node->peers->own.version;

  talloc_free (node_describe (node, node->net));
  if (node->peers->own.version != version)
    node_announce (node);
}
