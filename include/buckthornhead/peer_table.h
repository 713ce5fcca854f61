/* The table of a process's peers: which of them are live, and which ones aggregate their zone.
 *
 * Each availability zone has two aggregators, chosen among its gateways, or among its archives when
 * it has no gateway. Members send them heartbeats and receive changes to a list of all live
 * processes. Aggregators of different zones exchange the lists of their own zones. Aggregators are
 * chosen by rendezvous hashing over the live members, so there is no election and no stored state;
 * while processes disagree on the result, some messages are only sent twice. With heartbeats from
 * every process to every other one the load grew with the square of the fleet's size: 195 processes
 * sent 75,700 messages a second, which took a quarter of the processor of a small instance.
 *
 * A zone's list contains the members that report to the aggregator itself. A list of the fleet adds
 * the lists that aggregators of other zones sent, but no second-hand entries of its own zone, so
 * that two aggregators can't keep a failed process alive for each other. Does no I/O. */
#pragma once

#include <buckthornhead/gateway_message.h>

#include <uthash.h>

enum
{
  /* A process is suspected after three missed heartbeats of half a second. */
  PEER_TABLE_LIVE_MS = 1600,
  /* An aggregator's list stays valid for longer than it takes to detect the aggregator's failure
   * and to report to its successor. Otherwise every process would briefly seem to have failed. */
  PEER_TABLE_SOURCE_LIVE_MS = 3500,
  /* A peer that is known from the store or a list and has sent nothing yet may be chosen as an
   * aggregator for this long. */
  PEER_TABLE_NEW_MS = 1200,
  /* A peer counts as down for this long after its instance refused a connection. */
  PEER_TABLE_REFUSED_MS = 1000,
  /* A peer that has not replied to a request for this long is not chosen as an aggregator by
   * this process. Well below PEER_TABLE_SOURCE_LIVE_MS, so that its successor has sent a list
   * before the list of the failed one expires. */
  PEER_TABLE_SILENT_MS = 1100,
  /* An aggregator sends heartbeats and lists to silent members at each heartbeat for this long,
   * and after it to one of them at a time. */
  PEER_TABLE_SERVE_SILENT_MS = 30 * 1000,
  /* A peer that has been silent for this long is removed. Regions can lose contact for an hour, and
   * reconnect through the peers that they have kept. */
  PEER_TABLE_REMOVE_MS = 2 * 60 * 60 * 1000,
  /* Processes of an unreachable zone that were last seen within this time of each other are assumed
   * to have become unreachable together. */
  PEER_TABLE_COMMON_LOSS_MS = 5000,
  /* An archive is probed if its link has received nothing for this long; also the shortest time
   * between two probes of a peer. */
  PEER_TABLE_PROBE_AFTER_MS = 400,
  /* Members whose aggregator lists the archive probe it at an interval of this many milliseconds
   * per process of the fleet, so that an archive receives about 300 probes per second at any size
   * of the fleet. */
  PEER_TABLE_PROBE_PER_PROCESS_MS = 3,
  PEER_TABLE_AGGREGATORS = 2, /* per zone, so that one can fail without an interruption */
  PEER_TABLE_ZONES_MAX = 64,
  /* Processes per zone that a seed returns to a starting process: the aggregators, and the same
   * number of their next successors. */
  PEER_TABLE_CONTACTS = 2 * PEER_TABLE_AGGREGATORS,
  PEER_TABLE_CONTACTS_MAX = PEER_TABLE_CONTACTS * PEER_TABLE_ZONES_MAX,
  PEER_TABLE_SOURCES_MAX = 64 /* bits of Peer.listed_by */
};

/* More ids than a process uses. It counts them from its start number. */
#define PEER_TABLE_IDS_MAX (1ULL << 40)

/* Another process. */
struct Peer
{
  struct NodeStatus status; /* the latest one, from its own heartbeat or from a list */
  uint64_t previous_start;  /* start number of the process before that one; 0: unknown */
  int64_t added_ms;         /* when it was added to the table */
  int64_t received_ms;      /* last message from the peer itself; 0: none */
  int64_t status_ms;        /* last heartbeat from the peer itself; 0: none */
  int64_t reported_ms;      /* last heartbeat that it sent to this process as its aggregator */
  int64_t refused_ms;       /* last refused connection; 0: none since its last message */
  int64_t listed_ms;        /* when it was last dropped from an aggregator's list */
  int64_t link_received_ms; /* last message over the link that this process dialled */
  /* When the oldest request was sent after which nothing was received over that link; 0: none. */
  int64_t unanswered_since_ms;
  int64_t probed_ms;         /* last probe that it was sent */
  int64_t list_requested_ms; /* last request for a full list that it was sent */
  uint64_t listed_by;        /* one bit for each of PeerTable.sources that lists it */
  uint64_t rank;             /* hash of its name */
  uint32_t server_level;     /* level of the server subset in its last heartbeat */
  struct ReplicaLoad *loads;
  size_t n_loads;
  uint8_t *packed; /* encoded status; NULL: not encoded since it last changed */
  size_t packed_bytes;
  UT_hash_handle hh;
};

/* Returns whether a request with this id was sent by the process that the peer's present one has
 * superseded. Start numbers have no order, and the requests of a new process may arrive before its
 * first heartbeat. */
bool
peer_process_has_ended (const struct Peer *peer, uint64_t id);

/* The list that an aggregator sent. */
struct PeerListSource
{
  char node[NAME_MAX_BYTES + 1]; /* name of the aggregator; "": unused entry */
  enum SnapshotKind kind;
  int64_t received_ms;
  uint64_t content; /* hash of the list; its items are marked in Peer.listed_by */
  bool has_list;    /* false: incomplete, or none received yet */
  struct ReplicaLoad *loads;
  size_t n_loads;
};

struct PeerTable
{
  struct NodeStatus own;
  uint32_t own_server_level; /* level of the server subset that this process needs */
  uint64_t own_rank;
  struct Peer **peers; /* talloc children */
  size_t n_peers;
  struct Peer *by_name;
  struct PeerListSource sources[PEER_TABLE_SOURCES_MAX];
  uint64_t n_changes; /* of statuses and lists; expiry with time is not counted */
  struct Snapshot *published[SNAPSHOT_KIND_MAX + 1]; /* of kinds ZONE and FLEET */
  int64_t next_revision;
  size_t next_silent; /* index in peers at which the search for a silent member continues */
};

struct PeerTable *
peer_table_new (TALLOC_CTX *ctx, const char *node, const char *zone);

struct Peer *
peer_table_find (const struct PeerTable *table, const char *name);

/* Sets the status of this process. Returns true and increments its version if it has changed. */
bool
peer_table_describe (struct PeerTable *table, const struct NodeStatus *own);

/* Adds a process that the store or a peer's list names; status has at least a name and an address.
 * Returns the peer if it is new, else NULL. */
struct Peer *
peer_table_add_known (struct PeerTable *table, const struct NodeStatus *status, int64_t now_ms);

/* Handles a heartbeat that describes another process. Returns its peer; NULL without memory, or if
 * the heartbeat describes this process. Sets *changed if the status differs or the peer was not
 * live before. */
struct Peer *
peer_table_handle_heartbeat (struct PeerTable *table,
                             const struct Heartbeat *heartbeat,
                             int64_t now_ms,
                             bool *changed);

/* Applies a list from an aggregator, full or as changes. Returns false if the changes are based on
 * a list other than the stored one, or if an item is malformed: the full list is needed. */
bool
peer_table_apply_list (struct PeerTable *table,
                       const char *aggregator,
                       const struct Snapshot *snapshot,
                       int64_t now_ms);

/* Confirms that the stored list is the aggregator's current one. Returns false if it differs. */
bool
peer_table_confirm_list (struct PeerTable *table,
                         const char *aggregator,
                         const struct StateMark *mark,
                         int64_t now_ms);

/* Records that a message of any kind was received from the peer itself. */
void
peer_note_received (struct Peer *peer, int64_t now_ms);

/* Records that the peer was sent a request to which it replies at once. */
void
peer_record_request (struct Peer *peer, int64_t now_ms);

/* Returns whether the peer has recently sent a message to this process or is on a valid list. */
bool
peer_table_is_live (const struct PeerTable *table, const struct Peer *peer, int64_t now_ms);

/* Returns whether to probe peer. is_asked: it is an archive of the current set, which requests go
 * to. aggregates: result of peer_table_is_aggregator.
 *
 * Every process probes the archives, so that callers are sent elsewhere before a turn runs into an
 * archive that does not reply, and so that no archive replaces a healthy one: liveness in a zone is
 * reported by its gateways, and while these are cut off from the archives, all archives of the zone
 * look failed to other processes. In a fleet of hundreds of processes, members probe less often
 * while their aggregators list the archive. A peer that has not replied to a request is also
 * probed, so that it is used again as soon as it replies. */
bool
peer_table_must_probe (const struct PeerTable *table,
                       const struct Peer *peer,
                       bool is_asked,
                       bool aggregates,
                       int64_t now_ms);

/* Returns whether any peer has sent something within that time, i.e. this process is not cut off
 * from the network. */
bool
peer_table_receives (const struct PeerTable *table, int64_t within_ms, int64_t now_ms);

/* Returns the number of processes that aggregate the zone, and their names; this process can be
 * among them. If no process of the zone is known to be live: the likely aggregators in case the
 * zone is only cut off, alternating with other members, so that the two sides of a partition find
 * each other when it ends. */
size_t
peer_table_aggregators (const struct PeerTable *table,
                        const char *zone,
                        int64_t now_ms,
                        const char *names[PEER_TABLE_AGGREGATORS]);

/* Returns the number of contacts: for each zone the peers of lowest rank, i.e. its aggregators and
 * their successors. */
size_t
peer_table_contacts (const struct PeerTable *table,
                     int64_t now_ms,
                     const struct Peer *contacts[PEER_TABLE_CONTACTS_MAX]);

/* Returns whether an aggregator of this process's zone sends it the list of the fleet. */
bool
peer_table_is_served (const struct PeerTable *table, int64_t now_ms);

/* Returns the highest level of the server subset that this process or a live member of its zone
 * needs. */
uint32_t
peer_table_server_level (const struct PeerTable *table, int64_t now_ms);

/* Returns whether this process is an aggregator of its zone. */
bool
peer_table_is_aggregator (const struct PeerTable *table, int64_t now_ms);

/* Returns whether this process is the aggregator of its zone with the lowest rank. */
bool
peer_table_is_first_aggregator (const struct PeerTable *table, int64_t now_ms);

/* Returns whether to send peer, a member of this process's zone, heartbeats and lists of the fleet.
 * aggregates: result of peer_table_is_aggregator. */
bool
peer_table_serves (const struct PeerTable *table,
                   const struct Peer *peer,
                   bool aggregates,
                   int64_t now_ms);

/* Returns the next member, in rotation, that has been silent for PEER_TABLE_SERVE_SILENT_MS: it is
 * sent a heartbeat, in case the zone was partitioned. NULL if there is none. */
struct Peer *
peer_table_next_silent (struct PeerTable *table, int64_t now_ms);

/* Returns the number of zones, other than the own one, that peers belong to. The names are owned by
 * the peers. */
size_t
peer_table_other_zones (const struct PeerTable *table, const char *zones[PEER_TABLE_ZONES_MAX]);

/* Rebuilds the list of kind. Returns what is to be sent if it has changed: the full list or the
 * changes, owned by ctx. NULL: nothing has changed, or no memory. */
struct Snapshot *
peer_table_publish (struct PeerTable *table,
                    TALLOC_CTX *ctx,
                    enum SnapshotKind kind,
                    int64_t now_ms);

/* Returns the list as it was last built; NULL before that. */
struct Snapshot *
peer_table_published (const struct PeerTable *table, enum SnapshotKind kind);

/* Sums requests in flight by server. For LOADS_OF_ZONE: those of this process and of the members
 * that report to it. For LOADS_OF_FLEET: with those of other zones, or as received from an
 * aggregator. Owned by ctx; NULL without memory. */
struct ReplicaLoad *
peer_table_loads (const struct PeerTable *table,
                  TALLOC_CTX *ctx,
                  const struct Heartbeat *own,
                  enum LoadScope scope,
                  int64_t now_ms,
                  size_t *n_loads);

/* Removes the peers that have been silent for PEER_TABLE_REMOVE_MS, after passing each one to
 * forgotten. */
void
peer_table_remove_silent (struct PeerTable *table,
                          int64_t now_ms,
                          void (*forgotten) (void *data, const struct Peer *peer),
                          void *data);
