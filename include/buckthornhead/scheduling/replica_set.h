/* Backend servers before a gateway: what is known of each, and which one takes the next request.
 *
 * Pure: no I/O, the time is given. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/decisions.h>
#include <buckthornhead/scheduling/slot_queue.h>
#include <buckthornhead/settings.h>

#include <talloc.h>
#include <uthash.h>

enum
{
  PREFIX_PARTS_MAX = 8 /* of one prompt that are looked at */
};

/* One backend server as the platform lists it. */
struct ReplicaEntry
{
  char id[NAME_MAX_BYTES + 1]; /* of this incarnation */
  char service[NAME_MAX_BYTES + 1];
  char address[ADDRESS_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  uint32_t slots; /* requests that it runs at once */
  bool draining;
  /* Unix time of its start, by its own clock; another one under the same id is a new process, which
   * holds and knows nothing of the one before. 0: it does not say. */
  uint64_t started_unix_ms;
};

struct Replica
{
  struct ReplicaEntry entry;
  uint32_t in_flight;          /* ours */
  uint32_t reported_in_flight; /* of them, what the last heartbeat said of a server without owner */
  uint32_t peers_in_flight;    /* of the other gateways, as they last said */
  uint32_t failures;           /* in a row, without an answer of any kind */
  struct FailureRate rate;     /* of all requests of this gateway there */
  struct FailureRate reported; /* of all gateways' requests there, by its owner */
  int64_t connected_until_ms; /* an idle connection to it may be used till then; 0: there is none */
  int64_t avoid_until_ms;     /* suspected: takes requests only when nothing else is there */
  bool restarted;             /* since replica_take_restarted looked */
  bool listed;                /* stood in the last list */
  bool owned;                 /* its owner reports what it holds and how many it has */
  struct CachedPart *cached;  /* prompt parts that it was sent, newest first */
  uint32_t n_cached;
  UT_hash_handle hh;
};

struct ReplicaSet
{
  struct Replica **replicas; /* talloc children of the set */
  size_t n_replicas;
  struct Replica *by_id;         /* hash */
  int64_t keep_missing_until_ms; /* servers absent from the list are still believed */
};

/* One part of a prompt; requests share parts. */
struct PrefixPart
{
  uint64_t id;
  uint32_t tokens;
};

/* What a request asks of the server that takes it. */
struct ReplicaQuery
{
  const struct Decisions *decisions; /* NULL: all are on */
  const char *service;
  const char *zone;               /* of the gateway */
  const char *cached_at;          /* id of the server that ran the turn before; "" for none */
  const struct PrefixPart *parts; /* of the prompt, in order */
  size_t n_parts;
  const char *object;       /* what the request concerns, where that matters; NULL: nothing */
  const char *const *tried; /* ids that are not asked again */
  size_t n_tried;
  uint64_t draw; /* any number: which one of several equal servers is taken */
  int64_t now_ms;
};

struct ReplicaSet *
replica_set_new (TALLOC_CTX *ctx);

/* Takes a whole list. after_gap: the platform's store could not be read for a while before, so a
 * server that is missing may only have lost its entry, and is kept for REPLICA_REAPPEAR_MS. Returns
 * how many servers came, left or changed state. */
size_t
replica_set_apply (struct ReplicaSet *set,
                   const struct ReplicaEntry *entries,
                   size_t n_entries,
                   bool after_gap,
                   int64_t now_ms);

/* Lets servers go that were kept though they are missing, once their time is over. */
void
replica_set_expire (struct ReplicaSet *set, int64_t now_ms);

/* Of the slots of a service's servers in zone, how many in a thousand are in use: of the service
 * that uses most. */
uint32_t
replica_set_used_permille (const struct ReplicaSet *set, const char *zone);

/* The server that should take the request; NULL when none may. */
struct Replica *
replica_set_choose (struct ReplicaSet *set, const struct ReplicaQuery *query);

/* The next server that has started again under its id since it was asked last; NULL: none. What was
 * believed of the process before, its load and its cache, is void already. */
struct Replica *
replica_set_take_restarted (struct ReplicaSet *set);

struct Replica *
replica_set_find (const struct ReplicaSet *set, const char *id);

/* The request went to replica: its prompt parts will lie in its cache. */
void
replica_note_sent (struct Replica *replica, const struct PrefixPart *parts, size_t n_parts);

/* The largest part that others share: the last one is the request's own. NULL: there is none. */
const struct PrefixPart *
prefix_shared_part (const struct PrefixPart *parts, size_t n_parts);

/* What the server's owner knows of it. */
void
replica_take_digest (struct Replica *replica, const struct SlotDigest *digest, int64_t now_ms);

/* An answer came, of whatever status: the server lives. */
void
replica_note_answer (struct Replica *replica);

/* A request that it ran has ended: whole, or with a failure of the server's. */
void
replica_note_result (struct Replica *replica, bool failed, int64_t now_ms);

/* It refused because it is full, or nothing came back at all. */
void
replica_note_full (struct Replica *replica, int64_t now_ms);
void
replica_note_failure (struct Replica *replica, int64_t now_ms);

/* The peers' counts start anew; then one call a peer and server. */
void
replica_set_clear_peers (struct ReplicaSet *set);

/* An entry as processes pass it on, without what changes with each of the server's heartbeats: a
 * msgpack array that belongs to ctx. NULL without memory. */
uint8_t *
replica_entry_pack (TALLOC_CTX *ctx, const struct ReplicaEntry *entry, size_t *n_bytes);

/* ERROR_INVALID for anything malformed. */
int32_t
replica_entry_unpack (const uint8_t *bytes, size_t n_bytes, struct ReplicaEntry *entry);
