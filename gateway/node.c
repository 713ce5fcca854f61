#include "node_internal.h"

#include "relay.h"
#include "seeds.h"
#include "store_reader.h"

#include <buckthornhead/log.h>
#include <buckthornhead/process_limits.h>

#include <stdio.h>
#include <string.h>

enum
{
  HEARTBEAT_MS = 500, /* loads may be half a second old */
  /* A peer that has not replied to a request over its link for this long is unresponsive: messages
   * take another path. A reply takes milliseconds, on an overloaded instance a few hundred. */
  PEER_RESPONSE_MS = 650,
  /* A link without a reply for this long is assumed to be broken, and is dialled again. */
  LINK_TIMEOUT_MS = 1600,
  /* A process that has received nothing for a little more than two heartbeats is cut off itself. */
  CUT_OFF_MS = 1150,
  /* During its start phase a process probes archives and reports changes of its status at a shorter
   * period: at the period of the heartbeat, a zone that had lost all power had only 2 of its 34
   * gateways ready for callers after 0.7 s. */
  STARTING_MS = 3000,
  STARTING_PERIOD_MS = 50,
  LINK_PART = 4 /* part of the bound on held memory that the messages for one link may use */
};

uint64_t
node_next_id (struct Node *node)
{
  return ++node->next_id;
}

struct Peer *
node_peer (const struct Node *node, const char *name)
{
  return peer_table_find (node->peers, name);
}

bool
node_peer_is_live (const struct Node *node, const struct Peer *peer)
{
  return peer_table_is_live (node->peers, peer, timer_now_ms (node->timers));
}

bool
node_is_archive (const struct Node *node)
{
  return node->settings->data_folder[0] != '\0';
}

static const char *
stage_suffix (enum ArchiveStage stage)
{
  switch (stage)
    {
    case ARCHIVE_STAGE_STABLE:
      return "";
    case ARCHIVE_STAGE_STARTING:
      return ", change starting";
    case ARCHIVE_STAGE_ENDING:
      return ", change ending";
    }
  return "";
}

void
node_adopt_set (struct Node *node, const struct ArchiveSet *set)
{
  if (set->generation <= node->set.generation)
    return;
  node->set = *set;
  log_event (LOG_LEVEL_NOTICE, "archive_set", NULL, NULL, "generation %llu, %u members%s",
             (unsigned long long)set->generation, set->members.n, stage_suffix (set->stage));
  if (node->handler.set_changed != NULL)
    node->handler.set_changed (node->handler.data);
  node_announce (node);
}

bool
node_peer_is_responsive (const struct Node *node, const struct Peer *peer)
{
  return (peer->unanswered_since_ms == 0
          || timer_now_ms (node->timers) - peer->unanswered_since_ms < PEER_RESPONSE_MS)
         && node_peer_is_live (node, peer);
}

bool
node_reaches_archives (const struct Node *node)
{
  struct ArchiveNames targets = archive_set_targets (&node->set);
  struct ArchiveNames reached = { .n = 0 };

  for (uint32_t i = 0; i < targets.n; i++)
    {
      const struct Peer *peer = node_peer (node, targets.names[i]);

      if (peer != NULL && node_peer_is_responsive (node, peer))
        archive_names_add (&reached, targets.names[i]);
    }
  return archive_set_is_written (&node->set, node->settings->tolerated, &reached)
         && archive_set_is_read (&node->set, node->settings->tolerated, &reached);
}

bool
node_has_relay (const struct Node *node)
{
  const struct PeerTable *table = node->peers;

  if (!peer_table_receives (table, CUT_OFF_MS, timer_now_ms (node->timers)))
    return false;
  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i]->status.reaches_archives && node_peer_is_responsive (node, table->peers[i]))
      return true;
  return false;
}

int32_t
node_send_archive (struct Node *node, const char *archive, const struct GatewayMessage *message)
{
  const struct Peer *peer = node_peer (node, archive);

  if (peer != NULL && node_peer_is_responsive (node, peer))
    return node_send (node, archive, message);
  if (relay_send (node, archive, message) == ERROR_NONE)
    return ERROR_NONE;
  return node_send (node, archive, message);
}

uint32_t
node_send_set (struct Node *node,
               const struct GatewayMessage *message,
               const struct ArchiveNames *skip)
{
  struct ArchiveNames targets = archive_set_targets (&node->set);
  uint32_t n_sent = 0;

  for (uint32_t i = 0; i < targets.n; i++)
    if (!archive_names_have (skip, targets.names[i]))
      n_sent += node_send_archive (node, targets.names[i], message) == ERROR_NONE;
  return n_sent;
}

const char *
node_address (const struct Node *node)
{
  const struct GatewaySettings *settings = node->settings;

  return settings->announce[0] != '\0' ? settings->announce : settings->peer_listen;
}

static void
node_report_lost (struct Node *node, const char *peer)
{
  if (node->handler.peer_lost != NULL)
    node->handler.peer_lost (node->handler.data, peer);
}

static void
node_on_closed (void *data, uint64_t link, const char *peer)
{
  (void)link;
  node_report_lost (data, peer);
}

/* The instance runs and refuses connections, so its process does not: this is detected sooner than
 * by silence. */
static void
node_on_refused (void *data, const char *name, uint32_t n)
{
  struct Node *node = data;
  struct Peer *peer = node_peer (node, name);

  if (peer == NULL || n == 0)
    return;
  peer->refused_ms = timer_now_ms (node->timers);
  node_publish_soon (node);
  node_report_lost (node, name);
}

/* The silence of the previous link does not count for the new one. */
static void
node_on_connected (void *data, const char *name)
{
  struct Node *node = data;
  struct Peer *peer = node_peer (node, name);

  if (peer != NULL)
    peer->link_received_ms = timer_now_ms (node->timers);
}

/* Maintenance of links. */

/* A broken link can stay silent without a reset, so it is closed and dialled again. */
static void
node_check_link (struct Node *node, struct Peer *peer, int64_t now_ms)
{
  const char *name = peer->status.node;

  if (peer->unanswered_since_ms == 0 || now_ms - peer->unanswered_since_ms < LINK_TIMEOUT_MS
      || now_ms - peer->link_received_ms < LINK_TIMEOUT_MS || !peer_net_has_link (node->net, name))
    return;
  log_event (LOG_LEVEL_WARNING, "peer_link_silent", NULL, NULL, "%s: no reply for %lld ms", name,
             (long long)(now_ms - peer->unanswered_since_ms));
  peer->link_received_ms = now_ms;
  peer_net_reset_link (node->net, name);
}

static void
node_check_links (struct Node *node, int64_t now_ms)
{
  const struct GatewayMessage probe = { .kind = GATEWAY_PROBE };
  struct ArchiveNames targets = archive_set_targets (&node->set);
  struct PeerTable *table = node->peers;
  bool aggregates = peer_table_is_aggregator (table, now_ms);

  for (size_t i = 0; i < table->n_peers; i++)
    {
      struct Peer *peer = table->peers[i];

      node_check_link (node, peer, now_ms);
      if (!peer_table_must_probe (table, peer, archive_names_have (&targets, peer->status.node),
                                  aggregates, now_ms))
        continue;
      peer->probed_ms = now_ms;
      node_send (node, peer->status.node, &probe);
    }
}

static void
node_on_forgotten (void *data, const struct Peer *peer)
{
  struct Node *node = data;

  log_event (LOG_LEVEL_INFO, "peer_forgotten", NULL, NULL, "%s: removed after a long silence",
             peer->status.node);
  peer_net_remove (node->net, peer->status.node);
}

static void
node_on_heartbeat (void *data)
{
  struct Node *node = data;
  int64_t now_ms = timer_now_ms (node->timers);

  node_announce (node);
  node_check_links (node, now_ms);
  peer_table_remove_silent (node->peers, now_ms, node_on_forgotten, node);
}

static void
node_on_starting (void *data)
{
  struct Node *node = data;
  int64_t now_ms = timer_now_ms (node->timers);

  node_check_links (node, now_ms);
  node_announce_changes (node);
  if (now_ms - node->started_ms >= STARTING_MS)
    TALLOC_FREE (node->starting_timer);
}

uint64_t
node_held_max_bytes (const struct Node *node)
{
  return process_held_max_bytes (node->settings->held_memory_bytes);
}

int32_t
node_start (struct Node *node, struct Fault *fault)
{
  struct PeerNetOptions options = {
    .listen = node->settings->peer_listen,
    .instance = node->settings->instance,
    .zone = node->settings->zone,
    .dial_on_demand = true,
    .queue_max_bytes = node_held_max_bytes (node) / LINK_PART,
    .received = node_on_received,
    .closed = node_on_closed,
    .connect_refused = node_on_refused,
    .connected = node_on_connected,
    .data = node,
  };
  int32_t error;

  node->net = peer_net_new (node->events, node->events, node->timers, &options);
  node->peers = peer_table_new (node->events, node->settings->instance, node->settings->zone);
  node->start = node->next_id;
  node->started_ms = timer_now_ms (node->timers);
  if (node->net == NULL || node->peers == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the peer links");
  error = peer_net_listen (node->net, fault);
  if (error != ERROR_NONE)
    return error;
  node->reader = store_reader_new (node);
  if (node->reader == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the store's reader");
  timer_subscribe (node->net, node->timers, HEARTBEAT_MS, HEARTBEAT_MS, node_on_heartbeat, node);
  node->starting_timer = timer_subscribe (node->net, node->timers, STARTING_PERIOD_MS,
                                          STARTING_PERIOD_MS, node_on_starting, node);
  if (node->settings->seeds[0] != '\0')
    node->seeds = seeds_new (node);
  node_announce (node);
  return ERROR_NONE;
}
