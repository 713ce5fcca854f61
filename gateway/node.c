#include "node.h"

#include "relay.h"
#include "store_reader.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  HEARTBEAT_MS = 500, /* half a second of age is fine for loads */
  /* Changes of lists are gathered for this long: when a fleet starts, or many processes stop, each
   * aggregator would else draw up and send a list for each of them. */
  PUBLISH_MS = 100,
  /* A question over a link that nothing has followed for so long: messages take another way. An
   * answer takes milliseconds, on a starved machine some hundred. */
  PEER_ANSWERS_MS = 650,
  /* Then the link is taken for dead and dialled anew. */
  LINK_SILENT_MS = 1600,
  /* Archives are asked for a sign of life unless they gave one this lately. */
  PROBE_AFTER_MS = 400,
  /* A gateway that has heard nobody for two heartbeats and some is cut off itself. */
  CUT_OFF_MS = 1150,
  /* While a process starts it looks for archives and tells what it is ready for this often: with
   * the heartbeat alone, a zone that had lost all power had 2 of its 34 gateways ready for callers
   * after 0.7 s. */
  STARTING_MS = 3000,
  STARTING_PERIOD_MS = 50,
  WANT_AGAIN_MS = 300 /* between two requests for a list to one aggregator */
};

uint64_t
node_next_id (struct Node *node)
{
  return ++node->next_id;
}

struct Peer *
node_peer (const struct Node *node, const char *name)
{
  return roster_find (node->roster, name);
}

bool
node_peer_is_live (const struct Node *node, const struct Peer *peer)
{
  return roster_is_live (node->roster, peer, timer_now_ms (node->timers));
}

int32_t
node_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message)
{
  struct PeerMessage envelope = { .kind = PEER_GATEWAY };
  uint8_t *bytes;
  int32_t error;

  if (relay_is_link (link))
    return relay_answer (node, link, message);
  error = gateway_message_pack (node->net, message, &bytes, &envelope.gateway.n_bytes);
  if (error != ERROR_NONE)
    return error;
  envelope.gateway.bytes = bytes;
  error = peer_net_send (node->net, link, &envelope);
  talloc_free (bytes);
  return error;
}

/* Whether the receiver answers over the same link, at once. */
static bool
message_is_question (enum GatewayKind kind)
{
  switch (kind)
    {
    case GATEWAY_HEARTBEAT:
    case GATEWAY_PROBE:
    case GATEWAY_TURN_OPEN:
    case GATEWAY_TURN_READ:
    case GATEWAY_TURN_CLOSE:
    case GATEWAY_SLOT_ASK:
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
      return false;
    }
  return false;
}

static void
node_note_asked (struct Node *node, const char *name, enum GatewayKind kind)
{
  struct Peer *peer = node_peer (node, name);

  if (peer != NULL && message_is_question (kind))
    roster_note_asked (peer, timer_now_ms (node->timers));
}

int32_t
node_send (struct Node *node, const char *peer, const struct GatewayMessage *message)
{
  uint64_t link = peer_net_link_to (node->net, peer);

  node_note_asked (node, peer, message->kind);
  return link != PEER_LINK_NONE ? node_answer (node, link, message) : ERROR_UNREACHABLE;
}

bool
node_is_archive (const struct Node *node)
{
  return node->settings->data_folder[0] != '\0';
}

static const char *
stage_words (enum ArchiveStage stage)
{
  switch (stage)
    {
    case ARCHIVE_STAGE_STABLE:
      return "";
    case ARCHIVE_STAGE_STARTING:
      return ", a change starts";
    case ARCHIVE_STAGE_ENDING:
      return ", a change ends";
    }
  return "";
}

void
node_take_set (struct Node *node, const struct ArchiveSet *set)
{
  if (set->generation <= node->set.generation)
    return;
  node->set = *set;
  log_event (LOG_LEVEL_NOTICE, "archive_set", NULL, NULL, "generation %llu, %u members%s",
             (unsigned long long)set->generation, set->members.n, stage_words (set->stage));
  if (node->handler.set_changed != NULL)
    node->handler.set_changed (node->handler.data);
  node_announce (node);
}

bool
node_peer_answers (const struct Node *node, const struct Peer *peer)
{
  return (peer->asked_ms == 0 || timer_now_ms (node->timers) - peer->asked_ms < PEER_ANSWERS_MS)
         && node_peer_is_live (node, peer);
}

bool
node_reaches_archives (const struct Node *node)
{
  struct ArchiveNames asked = archive_set_asked (&node->set);
  struct ArchiveNames reached = { .n = 0 };

  for (uint32_t i = 0; i < asked.n; i++)
    {
      const struct Peer *peer = node_peer (node, asked.names[i]);

      if (peer != NULL && node_peer_answers (node, peer))
        archive_names_add (&reached, asked.names[i]);
    }
  return archive_set_is_written (&node->set, node->settings->tolerated, &reached)
         && archive_set_is_read (&node->set, node->settings->tolerated, &reached);
}

bool
node_has_relay (const struct Node *node)
{
  const struct Roster *roster = node->roster;

  if (!roster_hears_others (roster, CUT_OFF_MS, timer_now_ms (node->timers)))
    return false;
  for (size_t i = 0; i < roster->n_peers; i++)
    if (roster->peers[i]->status.reaches_archives && node_peer_answers (node, roster->peers[i]))
      return true;
  return false;
}

int32_t
node_send_archive (struct Node *node, const char *archive, const struct GatewayMessage *message)
{
  const struct Peer *peer = node_peer (node, archive);

  if (peer != NULL && node_peer_answers (node, peer))
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
  struct ArchiveNames asked = archive_set_asked (&node->set);
  uint32_t n_sent = 0;

  for (uint32_t i = 0; i < asked.n; i++)
    if (!archive_names_have (skip, asked.names[i]))
      n_sent += node_send_archive (node, asked.names[i], message) == ERROR_NONE;
  return n_sent;
}

const char *
node_address (const struct Node *node)
{
  const struct GatewaySettings *settings = node->settings;

  return settings->announce[0] != '\0' ? settings->announce : settings->peer_listen;
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
      return roster_serves (node->roster, peer, aggregates, timer_now_ms (node->timers));
    case PEERS_GATEWAYS:
      return !status->is_archive && node_peer_is_live (node, peer);
    case PEERS_GATEWAYS_OF_ZONE:
      return !status->is_archive && strcmp (status->zone, node->settings->zone) == 0
             && node_peer_is_live (node, peer);
    case PEERS_AGGREGATORS:
      return false;
    }
  return false;
}

static void
node_send_packed (struct Node *node,
                  const char *name,
                  enum GatewayKind kind,
                  const struct PeerMessage *envelope)
{
  uint64_t link = peer_net_link_to (node->net, name);

  node_note_asked (node, name, kind);
  if (link != PEER_LINK_NONE)
    peer_net_send (node->net, link, envelope);
}

/* To those who aggregate the zone, this process left out. */
static void
node_send_aggregators (struct Node *node,
                       const char *zone,
                       enum GatewayKind kind,
                       const struct PeerMessage *envelope)
{
  const char *names[ROSTER_AGGREGATORS];
  size_t n = roster_aggregators (node->roster, zone, timer_now_ms (node->timers), names);

  for (size_t i = 0; i < n; i++)
    if (strcmp (names[i], node->settings->instance) != 0)
      node_send_packed (node, names[i], kind, envelope);
}

static void
node_send_other_zones (struct Node *node, enum GatewayKind kind, const struct PeerMessage *envelope)
{
  const char *zones[ROSTER_ZONES_MAX];
  size_t n_zones = roster_other_zones (node->roster, zones);

  for (size_t i = 0; i < n_zones; i++)
    node_send_aggregators (node, zones[i], kind, envelope);
}

static void
node_send_chosen (struct Node *node,
                  enum GatewayKind kind,
                  const struct PeerMessage *envelope,
                  enum PeerChoice choice)
{
  struct Roster *roster = node->roster;
  bool aggregates = roster_is_aggregator (roster, timer_now_ms (node->timers));

  for (size_t i = 0; i < roster->n_peers; i++)
    if (peer_is_chosen (node, roster->peers[i], choice, aggregates))
      node_send_packed (node, roster->peers[i]->status.node, kind, envelope);
}

/* Packs message for many receivers; the bytes belong to the node's links until they are freed. */
static uint8_t *
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
  if (choice == PEERS_AGGREGATORS)
    {
      node_send_aggregators (node, node->settings->zone, message->kind, &envelope);
      node_send_other_zones (node, message->kind, &envelope);
    }
  else
    node_send_chosen (node, message->kind, &envelope, choice);
  talloc_free (bytes);
}

/* Heartbeats. */

/* What the role says of itself now, with its own loads; belongs to ctx. NULL without memory. */
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
  roster_describe (node->roster, status);
  *status = node->roster->own;
  return message;
}

/* The set of archives is long: it is told while somebody who gets it may not know it. */
static bool
node_must_tell_set (const struct Node *node)
{
  const struct Roster *roster = node->roster;

  for (size_t i = 0; i < roster->n_peers; i++)
    if (roster->peers[i]->status.set_generation < node->set.generation)
      return true;
  return false;
}

static void
heartbeat_add_list (struct Node *node, struct Heartbeat *heartbeat, enum SnapshotKind kind)
{
  const struct Snapshot *list = roster_published (node->roster, kind);
  struct StateMark *mark = &heartbeat->marks[heartbeat->n_marks];

  if (list == NULL)
    return;
  mark->kind = kind;
  mark->revision = list->revision;
  mark->content = list->content;
  heartbeat->n_marks++;
}

/* What receivers of that scope get: own is what the role says of itself. */
static struct GatewayMessage *
node_heartbeat (struct Node *node, const struct GatewayMessage *own, enum LoadScope scope)
{
  struct GatewayMessage *message = talloc_memdup (own, own, sizeof *own);
  struct Heartbeat *heartbeat;

  if (message == NULL)
    return NULL;
  heartbeat = &message->heartbeat;
  heartbeat->scope = scope;
  if (node_must_tell_set (node))
    heartbeat->set = node->set;
  heartbeat->n_marks = store_reader_marks (node->reader, heartbeat->marks);
  switch (scope)
    {
    case LOADS_OF_PROCESS:
      return message;
    case LOADS_OF_ZONE:
      heartbeat_add_list (node, heartbeat, SNAPSHOT_ZONE);
      break;
    case LOADS_OF_FLEET:
      heartbeat_add_list (node, heartbeat, SNAPSHOT_FLEET);
      break;
    }
  heartbeat->loads = roster_loads (node->roster, message, &own->heartbeat, scope,
                                   timer_now_ms (node->timers), &heartbeat->n_loads);
  return message;
}

/* Its own aggregators hear of this process; those of other zones and the members of this one hear
 * of the zone if it aggregates. */
static void
node_send_heartbeats (struct Node *node, const struct GatewayMessage *own)
{
  static const enum LoadScope scopes[] = { LOADS_OF_PROCESS, LOADS_OF_ZONE, LOADS_OF_FLEET };
  int64_t now_ms = timer_now_ms (node->timers);
  bool aggregates = roster_is_aggregator (node->roster, now_ms);

  for (size_t i = 0; i < sizeof scopes / sizeof scopes[0]; i++)
    {
      const struct Peer *silent;
      struct GatewayMessage *message;
      struct PeerMessage envelope;
      uint8_t *bytes;

      if (scopes[i] == LOADS_OF_ZONE && !aggregates)
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
          silent = aggregates ? roster_next_silent (node->roster, now_ms) : NULL;
          if (silent != NULL)
            node_send_packed (node, silent->status.node, GATEWAY_HEARTBEAT, &envelope);
          break;
        }
      talloc_free (bytes);
    }
}

/* Draws up the lists and sends what has changed in them. */
static void
node_publish (struct Node *node)
{
  static const enum SnapshotKind kinds[] = { SNAPSHOT_ZONE, SNAPSHOT_FLEET };
  int64_t now_ms = timer_now_ms (node->timers);

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
      struct Snapshot *changes = roster_publish (node->roster, node->net, kinds[i], now_ms);
      struct PeerMessage envelope;
      uint8_t *bytes;

      if (changes == NULL)
        continue;
      message.snapshot = *changes;
      bytes = node_pack (node, &message, &envelope);
      if (bytes != NULL && kinds[i] == SNAPSHOT_FLEET)
        node_send_chosen (node, GATEWAY_SNAPSHOT, &envelope, PEERS_SERVED);
      else if (bytes != NULL && roster_is_aggregator (node->roster, now_ms))
        node_send_other_zones (node, GATEWAY_SNAPSHOT, &envelope);
      talloc_free (bytes);
      talloc_free (changes);
    }
}

static bool
node_aggregates (const struct Node *node)
{
  const struct Roster *roster = node->roster;
  int64_t now_ms = timer_now_ms (node->timers);

  if (roster_is_aggregator (roster, now_ms))
    return true;
  for (size_t i = 0; i < roster->n_peers; i++)
    if (roster_serves (roster, roster->peers[i], false, now_ms))
      return true;
  return false;
}

static void
node_on_publish (void *data)
{
  struct Node *node = data;

  node->publishing = NULL;
  if (node_aggregates (node))
    node_publish (node);
}

static void
node_publish_soon (struct Node *node)
{
  if (node->publishing == NULL)
    node->publishing =
        timer_subscribe (node->net, node->timers, PUBLISH_MS, 0, node_on_publish, node);
}

void
node_announce (struct Node *node)
{
  struct GatewayMessage *own = node->net != NULL ? node_describe (node, node->net) : NULL;

  if (own == NULL)
    return;
  if (node_aggregates (node))
    node_publish (node);
  node_send_heartbeats (node, own);
  talloc_free (own);
}

void
node_announce_changes (struct Node *node)
{
  uint64_t version = node->roster->own.version;

  talloc_free (node_describe (node, node->net));
  if (node->roster->own.version != version)
    node_announce (node);
}

void
node_learn_peer (struct Node *node, const struct NodeStatus *status)
{
  struct Peer *peer = roster_learn (node->roster, status, timer_now_ms (node->timers));

  if (peer != NULL)
    peer_net_know (node->net, status->node, status->peer_address);
}

/* Addresses of processes that lists told of. */
static void
node_know_addresses (struct Node *node, const struct Snapshot *list)
{
  for (size_t i = 0; i < list->n_items; i++)
    {
      const struct Peer *peer = node_peer (node, list->items[i].key);

      if (peer != NULL && !list->items[i].gone)
        peer_net_know (node->net, peer->status.node, peer->status.peer_address);
    }
}

/* Messages. */

static void
node_want (struct Node *node, uint64_t link, const char *sender, enum SnapshotKind kind)
{
  const struct GatewayMessage want = { .kind = GATEWAY_SNAPSHOT_WANT, .snapshot_want = kind };
  struct Peer *peer = node_peer (node, sender);
  int64_t now_ms = timer_now_ms (node->timers);

  if (peer == NULL || now_ms - peer->wanted_ms < WANT_AGAIN_MS)
    return;
  peer->wanted_ms = now_ms;
  node_answer (node, link, &want);
}

static void
node_take_marks (struct Node *node,
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
          if (!roster_confirm_list (node->roster, sender, mark, now_ms))
            node_want (node, link, sender, mark->kind);
          break;
        case SNAPSHOT_ROUTES:
        case SNAPSHOT_SERVERS:
        case SNAPSHOT_NODES:
        case SNAPSHOT_RETIRE:
          store_reader_take_mark (node->reader, link, mark);
          break;
        }
    }
}

/* A member that is new to its aggregator need not wait for the next heartbeat to learn what there
 * is: after a stop its callers wait with it. */
static void
node_greet (struct Node *node, const char *name)
{
  struct GatewayMessage *own = node_describe (node, node->net);
  struct GatewayMessage *message = own != NULL ? node_heartbeat (node, own, LOADS_OF_FLEET) : NULL;

  if (message != NULL)
    node_send (node, name, message);
  talloc_free (own);
}

static void
node_take_heartbeat (struct Node *node,
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
  peer = roster_hear (node->roster, heartbeat, timer_now_ms (node->timers), &changed);
  if (peer == NULL || strcmp (sender, name) != 0)
    return;
  if (!was_live)
    log_event (LOG_LEVEL_INFO, "peer_live", NULL, NULL, "%s at %s", name,
               heartbeat->status.peer_address);
  peer_net_know (node->net, name, heartbeat->status.peer_address);
  node_take_set (node, &heartbeat->set);
  node_take_marks (node, link, sender, heartbeat);
  if (changed)
    node_publish_soon (node);
  if (heartbeat->scope == LOADS_OF_PROCESS && (!reported || !was_live))
    node_greet (node, name);
}

static void
node_take_list (struct Node *node, uint64_t link, const char *sender, const struct Snapshot *list)
{
  if (!roster_take_list (node->roster, sender, list, timer_now_ms (node->timers)))
    {
      node_want (node, link, sender, list->kind);
      return;
    }
  node_know_addresses (node, list);
  if (list->kind == SNAPSHOT_ZONE)
    node_publish_soon (node);
}

static void
node_answer_want (struct Node *node, uint64_t link, enum SnapshotKind kind)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  const struct Snapshot *list = roster_published (node->roster, kind);

  if (kind != SNAPSHOT_ZONE && kind != SNAPSHOT_FLEET)
    {
      store_reader_answer_whole (node->reader, link, kind);
      return;
    }
  if (list == NULL)
    return;
  message.snapshot = *list;
  node_answer (node, link, &message);
}

static void
node_take_snapshot (struct Node *node,
                    uint64_t link,
                    const char *sender,
                    const struct Snapshot *snapshot)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT, .snapshot = *snapshot };

  if (snapshot->kind == SNAPSHOT_ZONE || snapshot->kind == SNAPSHOT_FLEET)
    node_take_list (node, link, sender, snapshot);
  else if (store_reader_take_from_peer (node->reader, link, snapshot))
    node_send_some (node, &message, PEERS_SERVED);
}

static void
node_deliver (struct Node *node,
              uint64_t link,
              const char *sender,
              const struct GatewayMessage *message)
{
  const struct GatewayMessage alive = { .kind = GATEWAY_ALIVE };

  switch (message->kind)
    {
    case GATEWAY_HEARTBEAT:
      node_take_heartbeat (node, link, sender, &message->heartbeat);
      break;
    case GATEWAY_PROBE:
      node_answer (node, link, &alive);
      break;
    case GATEWAY_ALIVE:
      break;
    case GATEWAY_SNAPSHOT:
      node_take_snapshot (node, link, sender, &message->snapshot);
      break;
    case GATEWAY_SNAPSHOT_WANT:
      node_answer_want (node, link, message->snapshot_want);
      break;
    case GATEWAY_TURN_OPEN:
    case GATEWAY_TURN_READ:
    case GATEWAY_TURN_OPENED:
    case GATEWAY_TURN_CLOSE:
    case GATEWAY_TURN_CLOSED:
    case GATEWAY_COPY_WANT:
    case GATEWAY_COPY_PART:
    case GATEWAY_SLOT_ASK:
    case GATEWAY_SLOT_STATE:
    case GATEWAY_SLOT_DONE:
    case GATEWAY_DIGESTS:
      node->handler.message (node->handler.data, link, sender, message);
      break;
    case GATEWAY_RELAY:
      relay_take (node, link, &message->relay);
      break;
    }
}

static void
node_note_heard (struct Node *node, uint64_t link, const char *sender)
{
  struct Peer *peer = node_peer (node, sender);
  int64_t now_ms = timer_now_ms (node->timers);

  if (peer == NULL)
    return;
  roster_note_heard (peer, now_ms);
  if (!peer_net_is_dialled (node->net, link))
    return;
  peer->link_heard_ms = now_ms;
  peer->asked_ms = 0;
}

static void
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
                 "bring the processes to one version", "from %s", sender);
      return;
    }
  node_deliver (node, link, sender, message);
  node_note_heard (node, link, sender);
  talloc_free (message);
}

/* Questions that were open on the link are asked again by their own timers. */
static void
node_on_closed (void *data, uint64_t link, const char *peer)
{
  (void)data;
  (void)link;
  (void)peer;
}

/* Its machine answers and its process does not: sooner known than by silence. */
static void
node_on_refused (void *data, const char *name, uint32_t n)
{
  struct Node *node = data;
  struct Peer *peer = node_peer (node, name);

  if (peer == NULL || n == 0)
    return;
  peer->refused_ms = timer_now_ms (node->timers);
  node_publish_soon (node);
}

/* A new link has not been silent yet, whatever the one before was. */
static void
node_on_connected (void *data, const char *name)
{
  struct Node *node = data;
  struct Peer *peer = node_peer (node, name);

  if (peer != NULL)
    peer->link_heard_ms = timer_now_ms (node->timers);
}

/* Care of links. */

/* A link can fall silent for good without a reset: it is closed and dialled anew. */
static void
node_check_link (struct Node *node, struct Peer *peer, int64_t now_ms)
{
  const char *name = peer->status.node;

  if (peer->asked_ms == 0 || now_ms - peer->asked_ms < LINK_SILENT_MS
      || now_ms - peer->link_heard_ms < LINK_SILENT_MS || !peer_net_has_link (node->net, name))
    return;
  log_event (LOG_LEVEL_WARNING, "peer_link_silent", NULL, NULL, "%s: nothing for %lld ms", name,
             (long long)(now_ms - peer->asked_ms));
  peer->link_heard_ms = now_ms;
  peer_net_drop (node->net, name);
}

/* Archives, so that callers are sent elsewhere before a turn finds out that they do not answer; and
 * whoever has left a question open, so that it is used again once it answers. */
static bool
node_must_probe (const struct Node *node, const struct Peer *peer, int64_t now_ms)
{
  struct ArchiveNames asked = archive_set_asked (&node->set);

  if (now_ms - peer->probed_ms < PROBE_AFTER_MS)
    return false;
  if (peer->asked_ms > 0)
    return node_peer_is_live (node, peer) || archive_names_have (&asked, peer->status.node);
  return !node_is_archive (node) && peer->status.is_archive
         && now_ms - peer->link_heard_ms >= PROBE_AFTER_MS
         && archive_names_have (&asked, peer->status.node);
}

static void
node_check_links (struct Node *node, int64_t now_ms)
{
  const struct GatewayMessage probe = { .kind = GATEWAY_PROBE };
  struct Roster *roster = node->roster;

  for (size_t i = 0; i < roster->n_peers; i++)
    {
      struct Peer *peer = roster->peers[i];

      node_check_link (node, peer, now_ms);
      if (!node_must_probe (node, peer, now_ms))
        continue;
      peer->probed_ms = now_ms;
      node_send (node, peer->status.node, &probe);
    }
}

static void
node_on_forgotten (void *data, const struct Peer *peer)
{
  struct Node *node = data;

  log_event (LOG_LEVEL_INFO, "peer_forgotten", NULL, NULL, "%s: silent for long",
             peer->status.node);
  peer_net_forget (node->net, peer->status.node);
}

static void
node_on_heartbeat (void *data)
{
  struct Node *node = data;
  int64_t now_ms = timer_now_ms (node->timers);

  node_announce (node);
  node_check_links (node, now_ms);
  roster_forget_silent (node->roster, now_ms, node_on_forgotten, node);
}

static void
node_on_starting (void *data)
{
  struct Node *node = data;
  int64_t now_ms = timer_now_ms (node->timers);

  node_check_links (node, now_ms);
  node_announce_changes (node);
  if (now_ms - node->started_ms >= STARTING_MS)
    TALLOC_FREE (node->starting);
}

int32_t
node_start (struct Node *node, struct Fault *fault)
{
  struct PeerNetOptions options = {
    .listen = node->settings->peer_listen,
    .instance = node->settings->instance,
    .zone = node->settings->zone,
    .dial_on_need = true,
    .received = node_on_received,
    .closed = node_on_closed,
    .refused = node_on_refused,
    .connected = node_on_connected,
    .data = node,
  };
  int32_t error;

  node->net = peer_net_new (node->events, node->events, node->timers, &options);
  node->roster = roster_new (node->events, node->settings->instance, node->settings->zone);
  node->start = node->next_id;
  node->started_ms = timer_now_ms (node->timers);
  if (node->net == NULL || node->roster == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the peer links");
  error = peer_net_listen (node->net, fault);
  if (error != ERROR_NONE)
    return error;
  node->reader = store_reader_new (node);
  if (node->reader == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the store's reader");
  timer_subscribe (node->net, node->timers, HEARTBEAT_MS, HEARTBEAT_MS, node_on_heartbeat, node);
  node->starting = timer_subscribe (node->net, node->timers, STARTING_PERIOD_MS, STARTING_PERIOD_MS,
                                    node_on_starting, node);
  node_announce (node);
  return ERROR_NONE;
}
