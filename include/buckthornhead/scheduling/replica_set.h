/* The backend servers that a gateway uses: their tracked state, and the choice of a server for each
 * request.
 *
 * Does no I/O; callers pass in the time. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/decisions.h>
#include <buckthornhead/scheduling/server_pace.h>
#include <buckthornhead/scheduling/slot_queue.h>
#include <buckthornhead/settings.h>

#include <talloc.h>
#include <uthash.h>

enum
{
  PREFIX_PARTS_MAX = 8 /* parts of a prompt that are considered */
};

/* The platform's list entry of a backend server. */
struct ReplicaEntry
{
  char id[NAME_MAX_BYTES + 1];
  char service[NAME_MAX_BYTES + 1];
  char address[ADDRESS_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  uint32_t slots; /* requests that it runs concurrently */
  bool draining;
  /* Unix time of its start, by its own clock. A different time under the same id is a new process,
   * which has none of the previous one's state. 0: not reported. */
  uint64_t started_unix_ms;
};

struct Replica
{
  struct ReplicaEntry entry;
  uint32_t in_flight;            /* requests of this gateway */
  uint32_t reported_in_flight;   /* the part of in_flight in the last heartbeat; 0 with an owner */
  uint32_t peers_in_flight;      /* requests of the other gateways, as last reported */
  uint32_t consecutive_failures; /* failed requests in a row; reset by any response */
  struct FailureRate failure_rate;          /* of this gateway's requests */
  struct FailureRate reported_failure_rate; /* of all gateways' requests, from the owner */
  int64_t connected_until_ms; /* until when an idle connection is usable; 0: there is none */
  int64_t avoid_until_ms;     /* until then it is chosen only if no other server is eligible */
  bool restarted;             /* since the last replica_set_next_restarted */
  bool listed;                /* is in the last list */
  bool was_listed;            /* was in the list before the last one */
  bool kept;                  /* is missing, but may only have lost its entry in an outage */
  int64_t missing_since_ms;   /* when it was first missing from a list, unless listed */
  bool owned;                 /* its owner reports its load and cache contents */
  struct ServerPace pace;     /* its speed, which is separate from its load */
  struct CachedPart *cached;  /* parts assumed to be in its cache, newest first */
  uint32_t n_cached;
  uint32_t service_ms;         /* of a plain server's requests, as last reported by the owner */
  int64_t service_received_ms; /* when .service_ms was received */
  int64_t owner_unresponsive_until_ms; /* until then the plain server is avoided */
  int64_t load_received_ms;            /* when its owner last reported its load */
  int64_t running_checked_ms;          /* when data from it was last compared with its crashes */
  UT_hash_handle hh;
};

struct ReplicaSet
{
  struct Replica **replicas; /* talloc children of the set */
  size_t n_replicas;
  struct Replica *by_id; /* uthash head */
};

/* A part of a prompt; several requests may share it. */
struct PrefixPart
{
  uint64_t id;
  uint32_t tokens;
};

/* The properties of a request that determine its server. */
struct ReplicaQuery
{
  const struct Decisions *decisions; /* NULL: all enabled */
  const char *service;
  const char *zone;               /* of the gateway */
  const char *previous_server;    /* id of the server that ran the previous turn; "": none */
  const struct PrefixPart *parts; /* of the prompt, in order */
  size_t n_parts;
  const char *object;       /* object that the request concerns; NULL: no affinity to a server */
  const char *const *tried; /* ids of servers to exclude */
  size_t n_tried;
  uint32_t service_ms; /* expected time of the request at a plain server of the service; 0: the
                          service's servers are engines, or plain servers without queues */
  uint64_t draw;       /* any number; selects one of several equal servers */
  int64_t now_ms;
  bool uses_pace;     /* the servers' speed affects the choice */
  uint64_t pace_draw; /* any number, different at each gateway and for each decision */
};

struct ReplicaSet *
replica_set_new (TALLOC_CTX *ctx);

/* Applies a complete list. after_gap: this is the first list after a time in which no process read
 * the platform's store. If most servers of a service are missing from it, their entries expired
 * while the store was unavailable, and they are kept for REPLICA_REAPPEAR_MS. Returns the number of
 * servers that were added, removed or restarted, or that started or stopped draining. */
size_t
replica_set_apply (struct ReplicaSet *set,
                   const struct ReplicaEntry *entries,
                   size_t n_entries,
                   bool after_gap,
                   int64_t now_ms);

/* Removes missing servers once REPLICA_REAPPEAR_MS has passed. */
void
replica_set_expire (struct ReplicaSet *set, int64_t now_ms);

/* Returns the permille of slots in use of the service in zone that uses most of its slots. */
uint32_t
replica_set_used_permille (const struct ReplicaSet *set, const char *zone);

/* Computes the ratio of each server's pace to the median of its service; see server_pace.h. Returns
 * the number of values that were sorted. */
size_t
replica_set_update_paces (struct ReplicaSet *set, int64_t now_ms);

/* Returns the server for the request; NULL if none is eligible. */
struct Replica *
replica_set_choose (struct ReplicaSet *set, const struct ReplicaQuery *query);

/* Returns the next server that has restarted under its id since it was last returned; NULL if there
 * is none. The tracked load and cache contents of its previous process are already reset. */
struct Replica *
replica_set_next_restarted (struct ReplicaSet *set);

struct Replica *
replica_set_find (const struct ReplicaSet *set, const char *id);

/* Records that the prompt's shared parts will be in the server's cache. */
void
replica_note_sent (struct Replica *replica, const struct PrefixPart *parts, size_t n_parts);

/* Returns the largest shared part; NULL if there is none. The last part is the request's own. */
const struct PrefixPart *
prefix_shared_part (const struct PrefixPart *parts, size_t n_parts);

/* Applies the owner's report on the server. */
void
replica_apply_digest (struct Replica *replica, const struct SlotDigest *digest, int64_t now_ms);

/* Records what the owner of a plain server reports with a slot: requests running or waiting, and
 * their mean service time. */
void
replica_apply_slot_state (struct Replica *replica, const struct SlotState *state, int64_t now_ms);

/* Records that the owner of a plain server did not respond. */
void
replica_record_owner_unresponsive (struct Replica *replica, int64_t now_ms);

/* Returns the expected wait in ms of a further request at a plain server; 0 while a slot is free.
 */
uint32_t
replica_plain_wait_ms (const struct Replica *replica, const struct ReplicaQuery *query);

/* Records a response of any status, which shows that the server is running. */
void
replica_record_response (struct Replica *replica);

/* Records the result of a request that the server ran. */
void
replica_note_result (struct Replica *replica, bool failed, int64_t now_ms);

/* Records that the server rejected a request because it is full. */
void
replica_record_full (struct Replica *replica, int64_t now_ms);

/* Records that the server could not be reached, or that its response was missing or incomplete. */
void
replica_record_failure (struct Replica *replica, int64_t now_ms);

/* Resets the peers' request counts of servers without an owner, before they are summed again. */
void
replica_set_clear_peers (struct ReplicaSet *set);

/* Serializes an entry for other processes as a msgpack array, without the fields that change with
 * each heartbeat of the server. Allocated on ctx; NULL without memory. */
uint8_t *
replica_entry_pack (TALLOC_CTX *ctx, const struct ReplicaEntry *entry, size_t *n_bytes);

/* Returns ERROR_INVALID if malformed. */
int32_t
replica_entry_unpack (const uint8_t *bytes, size_t n_bytes, struct ReplicaEntry *entry);
