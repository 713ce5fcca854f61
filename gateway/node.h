/* State and messaging that gateways and archives share: the event loop, the links to other
 * processes, the table of peers, and the copy of the platform's store.
 *
 * The table of peers (peer_table.h) decides which processes report to which. Heartbeats and lists
 * travel from a member to its aggregators, between the aggregators of different zones, and from
 * aggregators to their members. Links are dialled when they are needed. Calls to the store are
 * expensive, so one process reads for all, and its copy is distributed along the same path
 * (store_reader.c). */
#pragma once

#include <buckthornhead/dialect.h>
#include <buckthornhead/gateway_message.h>
#include <buckthornhead/gateway_settings.h>
#include <buckthornhead/kv.h>
#include <buckthornhead/peer_net.h>
#include <buckthornhead/peer_table.h>
#include <buckthornhead/timer.h>

/* Store key of the set of archives, after the prefix from the settings. */
#define ARCHIVE_SET_KEY "archives"

struct Node;
struct StoreReader;
struct Seeds;

/* Callbacks of the role, gateway or archive. */
struct NodeHandler
{
  void (*message) (void *data,
                   uint64_t link,
                   const char *sender,
                   const struct GatewayMessage *message);
  /* Called when the set of archives has changed; may be NULL. */
  void (*set_changed) (void *data);
  /* Called when a link to the peer was closed, or its instance refused a connection; may be NULL.
   */
  void (*peer_lost) (void *data, const char *name);
  /* Called with a newer snapshot of the store. after_gap: it is the first one after a time in
   * which, as far as this process knows, no process could read the store. */
  void (*snapshot) (void *data, const struct Snapshot *snapshot, bool after_gap);
  /* Fills in the role's fields of the status and its loads; may be NULL. */
  void (*describe) (void *data, TALLOC_CTX *ctx, struct Heartbeat *heartbeat);
  void *data;
};

struct Node
{
  const struct GatewaySettings *settings;
  const struct Dialect *dialect;
  struct tevent_context *events;
  struct TimerService *timers;
  struct PeerNet *net;
  struct KvPort *store;
  struct StoreReader *reader;
  struct Seeds *seeds; /* NULL: the settings name none */
  struct NodeHandler handler;
  struct PeerTable *peers;
  int64_t started_ms;
  struct Timer *starting_timer; /* NULL once the start phase is over */
  uint64_t start;               /* number of this start, unique among those of the instance */
  struct Timer *publish_timer;  /* pending update of the lists; NULL: none */
  uint64_t next_id;
  size_t next_relay;     /* index in peers->peers */
  struct ArchiveSet set; /* the newest one received */
};

/* Returns the bound on the memory held for callers, servers and peers; 0: unknown. */
uint64_t
node_held_max_bytes (const struct Node *node);

/* Starts the links, the heartbeats and the store's reader. Events and timers must exist. */
int32_t
node_start (struct Node *node, struct Fault *fault);

/* Returns a request id that is unique in this process. */
uint64_t
node_next_id (struct Node *node);

/* Sends over the link to peer, which is dialled if there is none. ERROR_UNREACHABLE guarantees that
 * the message was not sent. */
int32_t
node_send (struct Node *node, const char *peer, const struct GatewayMessage *message);

/* Replies over the link on which a request was received. */
int32_t
node_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message);

/* The peers to which a message is sent. */
enum PeerChoice
{
  PEERS_SERVED,          /* members that this process serves as an aggregator of their zone */
  PEERS_AGGREGATORS,     /* of all zones */
  PEERS_OWN_AGGREGATORS, /* of the own zone */
  PEERS_OTHER_ZONES,     /* aggregators of the other zones */
  PEERS_GATEWAYS,        /* of all zones */
  PEERS_GATEWAYS_OF_ZONE /* of the own zone */
};

/* Sends to all peers of the choice. The message is packed only once: a list of a thousand servers
 * is sent to dozens of peers. */
void
node_send_some (struct Node *node, const struct GatewayMessage *message, enum PeerChoice choice);

/* Sends to all archives that requests go to, except those in skip. Returns the number of archives
 * to which it was sent. */
uint32_t
node_send_set (struct Node *node,
               const struct GatewayMessage *message,
               const struct ArchiveNames *skip);

struct Peer *
node_peer (const struct Node *node, const char *name);

/* Returns whether the peer is live, as peer_table_is_live. */
bool
node_peer_is_live (const struct Node *node, const struct Peer *peer);

/* Adds a process that the store, a seed or a file lists. */
void
node_add_peer (struct Node *node, const struct NodeStatus *status);

/* Adopts a set of archives from the store or a peer if it is newer, and announces it to the peers.
 */
void
node_adopt_set (struct Node *node, const struct ArchiveSet *set);

bool
node_is_archive (const struct Node *node);

/* Returns the address at which other processes reach this one. */
const char *
node_address (const struct Node *node);

/* Returns whether the peer is live and has replied to this process's requests in time. */
bool
node_peer_is_responsive (const struct Node *node, const struct Peer *peer);

/* Returns whether enough archives for a turn reply over direct links. */
bool
node_reaches_archives (const struct Node *node);

/* Returns whether another gateway could relay messages to the archives. */
bool
node_has_relay (const struct Node *node);

/* Sends directly if the archive replies over the link, otherwise through another gateway.
 * ERROR_UNREACHABLE guarantees that the message was not sent. */
int32_t
node_send_archive (struct Node *node, const char *archive, const struct GatewayMessage *message);

/* Sends the heartbeat of this process alone to peer, which need not be in the table of peers. */
void
node_introduce (struct Node *node, const char *peer);

/* Sends the heartbeats now, without waiting for the next period. */
void
node_announce (struct Node *node);

/* Calls node_announce if the status of this process has changed. */
void
node_announce_changes (struct Node *node);
