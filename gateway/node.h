/* What gateways and archives share: the event loop, links to each other, who is there, and what
 * the platform's store says.
 *
 * Who reports to whom follows from the table of peers (peer_table.h): heartbeats and lists go
 * member - aggregator
 * - aggregator - member, and links are dialled when they are needed. Calls to the store are dear,
 * so one process reads for all and its copy takes the same way (store_reader.c). */
#pragma once

#include <buckthornhead/dialect.h>
#include <buckthornhead/gateway_message.h>
#include <buckthornhead/gateway_settings.h>
#include <buckthornhead/kv.h>
#include <buckthornhead/peer_net.h>
#include <buckthornhead/peer_table.h>
#include <buckthornhead/timer.h>

/* Key of the set of archives, after the settings' prefix. */
#define ARCHIVE_SET_KEY "archives"

struct Node;
struct StoreReader;
struct Seeds;

/* What the role does with what the node receives. */
struct NodeHandler
{
  void (*message) (void *data,
                   uint64_t link,
                   const char *sender,
                   const struct GatewayMessage *message);
  /* The set of archives has changed; may be NULL. */
  void (*set_changed) (void *data);
  /* A newer state of the store. after_gap: nobody had read it for a while before. */
  void (*snapshot) (void *data, const struct Snapshot *snapshot, bool after_gap);
  /* Fills in the role's own fields of the status, and its loads; may be NULL. */
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
  struct Seeds *seeds; /* NULL: none are named */
  struct NodeHandler handler;
  struct PeerTable *peers;
  int64_t started_ms;
  struct Timer *starting;   /* NULL once it has started */
  uint64_t start;           /* of this process, unique among its starts */
  struct Timer *publishing; /* lists are drawn up when it fires; NULL: nothing has changed */
  uint64_t next_id;
  size_t next_relay;     /* place in the list of peers */
  struct ArchiveSet set; /* the newest that is known */
};

/* Starts links, heartbeats and reading; events and timers exist already. */
int32_t
node_start (struct Node *node, struct Fault *fault);

/* A question's id, unique in this process. */
uint64_t
node_next_id (struct Node *node);

/* Sends over the link to peer, which is dialled if there is none. ERROR_UNREACHABLE: it certainly
 * never left. */
int32_t
node_send (struct Node *node, const char *peer, const struct GatewayMessage *message);

/* Answers over the link on which a question came. */
int32_t
node_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message);

/* Which live peers a message is for. */
enum PeerChoice
{
  PEERS_SERVED,          /* members of the zone whose aggregator this process is */
  PEERS_AGGREGATORS,     /* of all zones */
  PEERS_OWN_AGGREGATORS, /* of the own zone */
  PEERS_OTHER_ZONES,     /* aggregators of the other zones */
  PEERS_GATEWAYS,        /* all */
  PEERS_GATEWAYS_OF_ZONE /* of the own zone */
};

/* To all peers that choice means, packed once: a list of a thousand servers goes to dozens. */
void
node_send_some (struct Node *node, const struct GatewayMessage *message, enum PeerChoice choice);

/* To all archives that the set asks, except those in skip. Returns to how many it left. */
uint32_t
node_send_set (struct Node *node,
               const struct GatewayMessage *message,
               const struct ArchiveNames *skip);

struct Peer *
node_peer (const struct Node *node, const char *name);

/* Heard lately, here or by those who report on it. */
bool
node_peer_is_live (const struct Node *node, const struct Peer *peer);

/* Processes that the store or a file lists. */
void
node_learn_peer (struct Node *node, const struct NodeStatus *status);

/* A set of archives, from the store or a peer: taken if it is newer, and announced to all peers. */
void
node_take_set (struct Node *node, const struct ArchiveSet *set);

bool
node_is_archive (const struct Node *node);

/* Where other processes reach this one. */
const char *
node_address (const struct Node *node);

/* It lives, and has not left a question of this process open for long. */
bool
node_peer_answers (const struct Node *node, const struct Peer *peer);

/* Enough archives for a turn answer directly. */
bool
node_reaches_archives (const struct Node *node);

/* Another gateway could relay to the archives. */
bool
node_has_relay (const struct Node *node);

/* Directly if the link answers, else through another gateway. ERROR_UNREACHABLE: never left. */
int32_t
node_send_archive (struct Node *node, const char *archive, const struct GatewayMessage *message);

/* Sends this process's heartbeat to peer, whoever that is. */
void
node_introduce (struct Node *node, const char *peer);

/* Tells about this process now, not at the next heartbeat. */
void
node_announce (struct Node *node);

/* The same if what it says of itself has changed. */
void
node_announce_changes (struct Node *node);
