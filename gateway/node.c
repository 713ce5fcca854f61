#include "node.h"

#include "relay.h"
#include "store_reader.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Between two descriptions of this process to each peer. Half a second of age is fine for loads;
   * twelve processes exchange some 300 small messages a second. */
  HEARTBEAT_MS = 500,
  /* A peer that was not heard for three heartbeats is left out until it is heard again. */
  PEER_LIVE_MS = 1600,
  /* Its link answered nothing for two heartbeats and some: messages to it take another way. */
  PEER_ANSWERS_MS = 1150,
  DIGESTS_TO_ALL_MAX = 120, /* peers */
  /* Silent for this long: not dialled any more. It dials us when it is back. */
  PEER_FORGET_MS = 30 * 1000
};

uint64_t
node_next_id (struct Node *node)
{
  return ++node->next_id;
}

struct Peer *
node_peer (const struct Node *node, const char *name)
{
  for (size_t i = 0; i < node->n_peers; i++)
    if (strcmp (node->peers[i]->status.node, name) == 0)
      return node->peers[i];
  return NULL;
}

bool
node_peer_is_live (const struct Node *node, const struct Peer *peer)
{
  return peer->heard_ms > 0 && timer_now_ms (node->timers) - peer->heard_ms < PEER_LIVE_MS;
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

int32_t
node_send (struct Node *node, const char *peer, const struct GatewayMessage *message)
{
  uint64_t link = peer_net_link_to (node->net, peer);

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
  return peer_net_link_to (node->net, peer->status.node) != PEER_LINK_NONE
         && timer_now_ms (node->timers) - peer->link_heard_ms < PEER_ANSWERS_MS;
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
  for (size_t i = 0; i < node->n_peers; i++)
    if (node->peers[i]->status.reaches_archives && node_peer_answers (node, node->peers[i]))
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

/* Whether the peer is told what engines hold. Archives send nothing to engines; and where there are
 * hundreds of gateways only those of the engines' zone are told, who send there before others: at
 * 300 gateways with 9 engines each, all to all would be 1.4 MB a second at each of them. */
static bool
node_wants_digests (const struct Node *node, const struct NodeStatus *status)
{
  return !status->is_archive
         && (node->n_peers <= DIGESTS_TO_ALL_MAX
             || strcmp (status->zone, node->settings->zone) == 0);
}

const char *
node_address (const struct Node *node)
{
  const struct GatewaySettings *settings = node->settings;

  return settings->announce[0] != '\0' ? settings->announce : settings->peer_listen;
}

/* Status. */

static struct GatewayMessage *
node_status (struct Node *node, TALLOC_CTX *ctx)
{
  const struct GatewaySettings *settings = node->settings;
  struct GatewayMessage *message = talloc_zero (ctx, struct GatewayMessage);

  if (message == NULL)
    return NULL;
  message->kind = GATEWAY_STATUS;
  snprintf (message->status.node, NAME_MAX_BYTES + 1, "%s", settings->instance);
  snprintf (message->status.zone, NAME_MAX_BYTES + 1, "%s", settings->zone);
  snprintf (message->status.peer_address, ADDRESS_MAX_BYTES + 1, "%s", node_address (node));
  message->status.set = node->set;
  message->status.is_archive = node_is_archive (node);
  snprintf (message->status.caller_address, ADDRESS_MAX_BYTES + 1, "%s", settings->caller_listen);
  if (node->handler.describe != NULL)
    node->handler.describe (node->handler.data, message, &message->status);
  return message;
}

/* Which peers a message is for. */
enum PeerChoice
{
  PEERS_ALL,
  PEERS_WITH_DIGESTS,
  PEERS_WITHOUT_DIGESTS,
  PEERS_GATEWAYS_OF_ZONE
};

static bool
peer_is_chosen (const struct Node *node, const struct NodeStatus *status, enum PeerChoice choice)
{
  switch (choice)
    {
    case PEERS_ALL:
      return true;
    case PEERS_WITH_DIGESTS:
      return node_wants_digests (node, status);
    case PEERS_WITHOUT_DIGESTS:
      return !node_wants_digests (node, status);
    case PEERS_GATEWAYS_OF_ZONE:
      return !status->is_archive && strcmp (status->zone, node->settings->zone) == 0;
    }
  return false;
}

/* Packed once for all that are chosen: a list of a thousand servers goes to hundreds of peers. */
static void
node_send_some (struct Node *node, const struct GatewayMessage *message, enum PeerChoice choice)
{
  struct PeerMessage envelope = { .kind = PEER_GATEWAY };
  uint8_t *bytes;

  if (gateway_message_pack (node->net, message, &bytes, &envelope.gateway.n_bytes) != ERROR_NONE)
    return;
  envelope.gateway.bytes = bytes;
  for (size_t i = 0; i < node->n_peers; i++)
    {
      const struct NodeStatus *status = &node->peers[i]->status;
      uint64_t link = peer_net_link_to (node->net, status->node);

      if (link != PEER_LINK_NONE && peer_is_chosen (node, status, choice))
        peer_net_send (node->net, link, &envelope);
    }
  talloc_free (bytes);
}

void
node_send_all (struct Node *node, const struct GatewayMessage *message)
{
  node_send_some (node, message, PEERS_ALL);
}

void
node_send_zone (struct Node *node, const struct GatewayMessage *message)
{
  node_send_some (node, message, PEERS_GATEWAYS_OF_ZONE);
}

void
node_announce (struct Node *node)
{
  struct GatewayMessage *message = node_status (node, node->net);

  if (message == NULL)
    return;
  node_send_some (node, message, PEERS_WITH_DIGESTS);
  message->status.n_owned = 0;
  node_send_some (node, message, PEERS_WITHOUT_DIGESTS);
  talloc_free (message);
}

static void
node_send_status (struct Node *node, const char *peer)
{
  struct GatewayMessage *message = node_status (node, node->net);

  if (message != NULL)
    node_send (node, peer, message);
  talloc_free (message);
}

static struct Peer *
node_need_peer (struct Node *node, const char *name)
{
  struct Peer *peer = node_peer (node, name);
  struct Peer **grown;

  if (peer != NULL)
    return peer;
  grown = talloc_realloc (node->net, node->peers, struct Peer *, node->n_peers + 1);
  if (grown == NULL)
    return NULL;
  node->peers = grown;
  peer = talloc_zero (grown, struct Peer);
  if (peer == NULL)
    return NULL;
  snprintf (peer->status.node, sizeof peer->status.node, "%s", name);
  /* Counts from here until it is first heard: a process that is gone is forgotten, too. */
  peer->link_heard_ms = timer_now_ms (node->timers);
  node->peers[node->n_peers++] = peer;
  return peer;
}

void
node_know_peer (struct Node *node, const char *name, const char *address, bool is_archive)
{
  struct Peer *peer;

  if (strcmp (name, node->settings->instance) == 0 || node_peer (node, name) != NULL)
    return;
  peer = node_need_peer (node, name);
  if (peer == NULL)
    return;
  snprintf (peer->status.peer_address, sizeof peer->status.peer_address, "%s", address);
  peer->status.is_archive = is_archive;
  peer_net_know (node->net, name, address);
}

static void
node_take_status (struct Node *node, const char *sender, const struct NodeStatus *status)
{
  struct Peer *peer = node_need_peer (node, sender);
  bool was_live;

  if (peer == NULL)
    return;
  was_live = node_peer_is_live (node, peer);
  if (strcmp (peer->status.peer_address, status->peer_address) != 0 || !was_live)
    peer_net_know (node->net, sender, status->peer_address);
  if (!was_live)
    log_event (LOG_LEVEL_INFO, "peer_live", NULL, NULL, "%s at %s", sender, status->peer_address);
  talloc_free (peer->status.loads);
  talloc_free (peer->status.owned);
  peer->status = *status;
  peer->status.loads = talloc_memdup (peer, status->loads, status->n_loads * sizeof *status->loads);
  if (peer->status.loads == NULL)
    peer->status.n_loads = 0;
  peer->status.owned = talloc_memdup (peer, status->owned, status->n_owned * sizeof *status->owned);
  if (peer->status.owned == NULL)
    peer->status.n_owned = 0;
  node_take_set (node, &status->set);
  peer->heard_ms = timer_now_ms (node->timers);
  peer->refused = false;
  /* It has just started, and perhaps the store is away. */
  if (status->caller_address[0] != '\0' && status->config_version == 0
      && store_reader_is_near (node->reader, sender))
    store_reader_push (node->reader, sender);
  if (node->handler.peer_changed != NULL)
    node->handler.peer_changed (node->handler.data, peer);
}

/* Messages. */

/* Answers over the same link, so that its dialler sees it alive in both directions. A peer that is
 * new here learns at once who this is; the others hear it from the next announcement: where there
 * are 80 processes each would else pack and read 160 descriptions more a second. */
static void
node_answer_status (struct Node *node, uint64_t link, bool is_new)
{
  const struct GatewayMessage alive = { .kind = GATEWAY_ALIVE };
  struct GatewayMessage *status = is_new ? node_status (node, node->net) : NULL;

  node_answer (node, link, status != NULL ? status : &alive);
  talloc_free (status);
}

static void
node_deliver (struct Node *node,
              uint64_t link,
              const char *sender,
              const struct GatewayMessage *message)
{
  bool is_ours = peer_net_link_to (node->net, sender) == link;
  bool is_new;
  struct Peer *peer;

  switch (message->kind)
    {
    case GATEWAY_STATUS:
      is_new = node_peer (node, message->status.node) == NULL
               || !node_peer_is_live (node, node_peer (node, message->status.node));
      node_take_status (node, message->status.node, &message->status);
      if (!is_ours)
        node_answer_status (node, link, is_new);
      break;
    case GATEWAY_ALIVE:
      break;
    case GATEWAY_SNAPSHOT:
      store_reader_take_from_peer (node->reader, link, &message->snapshot);
      break;
    case GATEWAY_SNAPSHOT_WANT:
      store_reader_answer_whole (node->reader, link, message->snapshot_want);
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
  peer = is_ours ? node_peer (node, sender) : NULL;
  if (peer != NULL)
    peer->link_heard_ms = timer_now_ms (node->timers);
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

static void
node_on_refused (void *data, const char *name, uint32_t n)
{
  struct Node *node = data;
  struct Peer *peer = node_peer (node, name);

  if (peer != NULL)
    peer->refused = n > 0;
}

/* A new link has not been silent yet, whatever the one before was. If the peer has started again it
 * knows nothing: waiting for the next heartbeat would cost its callers half a second. */
static void
node_on_connected (void *data, const char *name)
{
  struct Node *node = data;
  struct Peer *peer = node_peer (node, name);

  if (peer != NULL)
    peer->link_heard_ms = timer_now_ms (node->timers);
  node_send_status (node, name);
}

/* A link can fall silent for good without a reset: it is closed and dialled anew. */
static void
node_check_link (struct Node *node, struct Peer *peer, int64_t now_ms)
{
  const char *name = peer->status.node;

  if (now_ms - peer->link_heard_ms < PEER_LIVE_MS)
    return;
  if (peer_net_link_to (node->net, name) != PEER_LINK_NONE)
    {
      log_event (LOG_LEVEL_WARNING, "peer_link_silent", NULL, NULL, "%s: nothing for %lld ms", name,
                 (long long)(now_ms - peer->link_heard_ms));
      peer->link_heard_ms = now_ms;
      peer_net_drop (node->net, name);
    }
}

static void
node_forget_silent (struct Node *node, int64_t now_ms)
{
  size_t n_kept = 0;

  for (size_t i = 0; i < node->n_peers; i++)
    {
      struct Peer *peer = node->peers[i];
      int64_t heard_ms =
          peer->heard_ms > peer->link_heard_ms ? peer->heard_ms : peer->link_heard_ms;

      if (now_ms - heard_ms < PEER_FORGET_MS)
        {
          node->peers[n_kept++] = peer;
          continue;
        }
      log_event (LOG_LEVEL_INFO, "peer_forgotten", NULL, NULL, "%s: silent for %lld ms",
                 peer->status.node, (long long)(now_ms - heard_ms));
      peer_net_forget (node->net, peer->status.node);
      talloc_free (peer);
    }
  node->n_peers = n_kept;
}

static void
node_on_heartbeat (void *data)
{
  struct Node *node = data;
  int64_t now_ms = timer_now_ms (node->timers);

  node_announce (node);
  for (size_t i = 0; i < node->n_peers; i++)
    node_check_link (node, node->peers[i], now_ms);
  node_forget_silent (node, now_ms);
}

int32_t
node_start (struct Node *node, struct Fault *fault)
{
  struct PeerNetOptions options = {
    .listen = node->settings->peer_listen,
    .instance = node->settings->instance,
    .zone = node->settings->zone,
    .received = node_on_received,
    .closed = node_on_closed,
    .refused = node_on_refused,
    .connected = node_on_connected,
    .data = node,
  };
  int32_t error;

  node->net = peer_net_new (node->events, node->events, node->timers, &options);
  if (node->net == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the peer links");
  error = peer_net_listen (node->net, fault);
  if (error != ERROR_NONE)
    return error;
  timer_subscribe (node->net, node->timers, HEARTBEAT_MS, HEARTBEAT_MS, node_on_heartbeat, node);
  node->reader = store_reader_new (node);
  if (node->reader == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the store's reader");
  return ERROR_NONE;
}
