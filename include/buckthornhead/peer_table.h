/* Which processes there are, which of them live, and who reports to whom.
 *
 * Two processes of each availability zone, its gateways where it has any, aggregate it: the members
 * send them their heartbeats, and get back a list of all live processes in changes. Aggregators of
 * different zones exchange lists of their own zones. Who aggregates follows from rendezvous hashing
 * over the members that live, so that nobody is elected and nothing is written down; two views of
 * it for a moment only send some things twice. Answers the load of heartbeats of all to all, which
 * grows with the square of the fleet: 195 processes sent 75,700 messages a second and spent a
 * quarter of a small machine's processor on them.
 *
 * A list of a zone holds what members reported to the aggregator itself; a list of the fleet
 * adds what aggregators of other zones said of theirs, and nothing from hearsay about the own zone:
 * two aggregators can not keep a dead process alive for each other. Pure. */
#pragma once

#include <buckthornhead/gateway_message.h>

#include <uthash.h>

enum
{
  /* A process that has sent nothing for three heartbeats of half a second is suspected. */
  PEER_TABLE_LIVE_MS = 1600,
  /* What an aggregator said counts for longer than it takes to notice that it died and to have
   * reported to its successor: else everyone would seem dead for a moment. */
  PEER_TABLE_SOURCE_LIVE_MS = 3500,
  /* A process that is known from elsewhere and has sent nothing yet may aggregate for this long. */
  PEER_TABLE_NEW_MS = 1200,
  /* A refused connection says that the process was not there just now. */
  PEER_TABLE_REFUSED_MS = 1000,
  /* It was sent or asked something and nothing came back for this long: it aggregates no longer in
   * this process's eyes. Well below PEER_TABLE_SOURCE_LIVE_MS, so that its successor has reported
   * who lives before what it said itself is too old. */
  PEER_TABLE_SILENT_MS = 1100,
  /* Silent members still get heartbeats and lists for this long, at each heartbeat; after it in
   * turn.
   */
  PEER_TABLE_CALL_MS = 30 * 1000,
  /* Silent for this long: forgotten. Regions lose each other for an hour now and then, and find
   * each other by what they remember. */
  PEER_TABLE_FORGET_MS = 2 * 60 * 60 * 1000,
  /* Processes that last sent something within this time of each other fell silent together. */
  PEER_TABLE_TOGETHER_MS = 5000,
  /* An archive is probed unless something came over its link this lately. */
  PEER_TABLE_PROBE_AFTER_MS = 400,
  /* And by members whose aggregator lists it, for each process of the fleet: an archive
   * answers some 300 probes a second, however many ask. */
  PEER_TABLE_PROBE_SHARE_MS = 3,
  PEER_TABLE_AGGREGATORS = 2, /* a zone: one may die without a pause */
  PEER_TABLE_ZONES_MAX = 64,
  /* Of a zone, those that a process which starts gets to know: its aggregators, and as many that
   * would follow them. */
  PEER_TABLE_CONTACTS = 2 * PEER_TABLE_AGGREGATORS,
  PEER_TABLE_CONTACTS_MAX = PEER_TABLE_CONTACTS * PEER_TABLE_ZONES_MAX,
  PEER_TABLE_SOURCES_MAX = 64 /* bits of Peer.listed */
};

/* Another process. */
struct Peer
{
  struct NodeStatus status; /* as it last described itself, to whomever */
  int64_t known_ms;         /* since when it is known */
  int64_t received_ms;      /* last message from itself; 0: never */
  int64_t status_ms;        /* last heartbeat from itself; 0: never */
  int64_t reported_ms;      /* last one that it sent to this process as to an aggregator */
  int64_t
      refused_ms; /* last time its machine refused a connection; 0: never since it sent something */
  int64_t listed_ms;        /* last time an aggregator's list had it */
  int64_t link_received_ms; /* last message over the link that we dialled */
  int64_t asked_ms;         /* the oldest question over it that nothing has followed; 0: none */
  int64_t probed_ms;        /* when it was last probed */
  int64_t wanted_ms;        /* when it was last asked for a list */
  uint64_t listed;          /* a bit for each of the table's sources that lists it */
  uint64_t rank;            /* hash of its name */
  uint32_t server_level;    /* that it reported last */
  struct ReplicaLoad *loads;
  size_t n_loads;
  uint8_t *packed; /* its status, packed; NULL once that has changed */
  size_t packed_bytes;
  UT_hash_handle hh;
};

/* An aggregator's list. */
struct PeerListSource
{
  char node[NAME_MAX_BYTES + 1]; /* "": a free place */
  enum SnapshotKind kind;
  int64_t received_ms;
  uint64_t content; /* of the list; the peers' bits say what is in it */
  bool has_list;
  struct ReplicaLoad *loads;
  size_t n_loads;
};

struct PeerTable
{
  struct NodeStatus own;
  uint32_t own_server_level; /* that this process wants */
  uint64_t own_rank;
  struct Peer **peers; /* talloc children */
  size_t n_peers;
  struct Peer *by_name;
  struct PeerListSource sources[PEER_TABLE_SOURCES_MAX];
  struct Snapshot *published[SNAPSHOT_KIND_MAX + 1]; /* of kinds ZONE and FLEET */
  int64_t next_revision;
  size_t next_silent; /* place in peers of the silent member that gets a heartbeat next */
};

struct PeerTable *
peer_table_new (TALLOC_CTX *ctx, const char *node, const char *zone);

struct Peer *
peer_table_find (const struct PeerTable *table, const char *name);

/* Takes what this process says of itself; a change gives it a new version. True when it changed. */
bool
peer_table_describe (struct PeerTable *table, const struct NodeStatus *own);

/* A process that the store or an older list names; status has at least a name and an address.
 * Returns it if it is new here, else NULL. */
struct Peer *
peer_table_learn (struct PeerTable *table, const struct NodeStatus *status, int64_t now_ms);

/* A heartbeat from the process itself. NULL without memory, and for an own one. *changed: it says
 * something new, or was not live before. */
struct Peer *
peer_table_take_heartbeat (struct PeerTable *table,
                           const struct Heartbeat *heartbeat,
                           int64_t now_ms,
                           bool *changed);

/* A list from an aggregator, whole or in changes. False: the changes are not from the list that is
 * held, and the whole is needed. */
bool
peer_table_take_list (struct PeerTable *table,
                      const char *aggregator,
                      const struct Snapshot *snapshot,
                      int64_t now_ms);

/* The aggregator says which list it holds. False: another one is held here. */
bool
peer_table_confirm_list (struct PeerTable *table,
                         const char *aggregator,
                         const struct StateMark *mark,
                         int64_t now_ms);

/* A message from the process itself came, of whatever kind. */
void
peer_note_received (struct Peer *peer, int64_t now_ms);

/* It was sent something that it answers at once. */
void
peer_note_asked (struct Peer *peer, int64_t now_ms);

/* Heard lately, by this process or by those who report on it. */
bool
peer_table_is_live (const struct PeerTable *table, const struct Peer *peer, int64_t now_ms);

/* Whether to probe peer. is_asked: it is an archive that the set asks.
 *
 * Archives, by everyone: so that callers are sent elsewhere before a turn finds out that they do
 * not answer; and so that no archive takes the place of a sound one. The gateways of a zone report
 * who lives in it: while they are cut off from the archives, all archives there look dead to the
 * others. Where there are hundreds of processes, members do so less often while their aggregators
 * list the archive. Besides, whoever has left a question open, so that it is used again once it
 * answers. aggregates: what peer_table_is_aggregator says. */
bool
peer_table_must_probe (const struct PeerTable *table,
                       const struct Peer *peer,
                       bool is_asked,
                       bool aggregates,
                       int64_t now_ms);

/* Something came from another process lately over the network: this one is not cut off. */
bool
peer_table_receives (const struct PeerTable *table, int64_t within_ms, int64_t now_ms);

/* The processes that aggregate the zone, this one perhaps among them. Of a zone of which nobody
 * lives as far as is known, those that probably do if it is only cut off, others by turns: so two
 * sides of a partition find each other when it ends. Returns how many. */
size_t
peer_table_aggregators (const struct PeerTable *table,
                        const char *zone,
                        int64_t now_ms,
                        const char *names[PEER_TABLE_AGGREGATORS]);

/* The peers of each zone that come first in the order in which they aggregate. Returns how many. */
size_t
peer_table_contacts (const struct PeerTable *table,
                     int64_t now_ms,
                     const struct Peer *contacts[PEER_TABLE_CONTACTS_MAX]);

/* An aggregator of this process's zone reports on the fleet. */
bool
peer_table_is_served (const struct PeerTable *table, int64_t now_ms);

/* The highest level of the subset of servers that this process or a member that reports here wants.
 */
uint32_t
peer_table_server_level (const struct PeerTable *table, int64_t now_ms);

/* Whether this process is one of them for its own zone. */
bool
peer_table_is_aggregator (const struct PeerTable *table, int64_t now_ms);

/* Whether it comes first of them. */
bool
peer_table_is_first_aggregator (const struct PeerTable *table, int64_t now_ms);

/* Whether peer, a member of this process's zone, is to get heartbeats and lists of the fleet.
 * aggregates: what peer_table_is_aggregator says. */
bool
peer_table_serves (const struct PeerTable *table,
                   const struct Peer *peer,
                   bool aggregates,
                   int64_t now_ms);

/* A member of the zone that has been silent for long, each in its turn, to get the membership:
 * the zone may have been in two parts. NULL when there is none. */
struct Peer *
peer_table_next_silent (struct PeerTable *table, int64_t now_ms);

/* The zones other than the own one of which a process is known; the texts are peers'. */
size_t
peer_table_other_zones (const struct PeerTable *table, const char *zones[PEER_TABLE_ZONES_MAX]);

/* Draws up the list of kind anew. Returns what is to be sent when it has changed, the whole or the
 * changes; it belongs to ctx. NULL: nothing changed, or no memory. */
struct Snapshot *
peer_table_publish (struct PeerTable *table,
                    TALLOC_CTX *ctx,
                    enum SnapshotKind kind,
                    int64_t now_ms);

/* The list as it was last drawn up; NULL before. */
struct Snapshot *
peer_table_published (const struct PeerTable *table, enum SnapshotKind kind);

/* Requests in flight, summed by server: own ones and those of the members who report here for
 * LOADS_OF_ZONE; with other zones', or as an aggregator says, for LOADS_OF_FLEET. Belongs to ctx;
 * NULL without memory. */
struct ReplicaLoad *
peer_table_loads (const struct PeerTable *table,
                  TALLOC_CTX *ctx,
                  const struct Heartbeat *own,
                  enum LoadScope scope,
                  int64_t now_ms,
                  size_t *n_loads);

/* Removes the processes that were silent for long. The name of each is handed to forgotten. */
void
peer_table_forget_silent (struct PeerTable *table,
                          int64_t now_ms,
                          void (*forgotten) (void *data, const struct Peer *peer),
                          void *data);
