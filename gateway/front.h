/* Gateway: accepts callers' requests and forwards them to backend servers.
 *
 * Plain requests are forwarded by the gateway that accepted them and keep no state elsewhere. Turns
 * of programs first reserve their tokens and fetch their history from the archives (turn.c). */
#pragma once

#include "node.h"

#include <buckthornhead/event_stream.h>
#include <buckthornhead/process_limits.h>
#include <buckthornhead/scheduling/retry_allowance.h>
#include <buckthornhead/scheduling/server_pace.h>
#include <buckthornhead/scheduling/server_subset.h>
#include <buckthornhead/scheduling/slot_queue.h>

enum
{
  TRIED_MAX = 8 /* servers tried per request, including those that refuse it */
};

struct Contention;
struct Front;
struct LoopEcho;
struct PaceTable;
struct Quotas;
struct Attribution;
struct QuotaWait;
struct Settlement;
struct SilentAttempts;
struct SlotWait;
struct Slots;
struct Suspects;
struct Turn;

/* Why a request ended without a server's response; each reason maps to one HTTP status. */
enum RequestFailure
{
  FAILURE_NO_CONFIG,   /* this gateway has not received a configuration yet */
  FAILURE_NO_KEY,      /* the key is missing, unknown or revoked */
  FAILURE_OVER_LIMIT,  /* its customer's limit is exceeded; it did not run */
  FAILURE_NO_ROUTE,    /* the configuration has no such route */
  FAILURE_MALFORMED,   /* a required header is missing or invalid */
  FAILURE_NO_SERVER,   /* no server could accept it; it did not run */
  FAILURE_OUT_OF_TIME, /* its deadline passed before it was sent */
  FAILURE_BUSY,        /* the servers cannot run it before its deadline; it did not run */
  FAILURE_NO_MEMORY,   /* the process is short of memory; it did not run */
  FAILURE_QUARANTINED, /* it was running on servers that crashed; this attempt did not run */
  FAILURE_STOPPING,    /* planned stop; it did not run */
  FAILURE_UNCERTAIN,   /* too few archives responded to decide; it did not run */
  FAILURE_NO_TURN,     /* the turn that it continues does not exist */
  FAILURE_BUDGET,      /* the program's budget is spent */
  FAILURE_BROKEN,      /* sent, but no complete response arrived: may have run */
  FAILURE_TIMEOUT      /* sent, but the deadline passed before the response: may have run */
};

struct Request
{
  struct Request *next, **pprev;
  struct Front *front;
  struct HttpExchange *exchange; /* NULL after the response was sent or the caller disconnected */
  struct CallerRequest caller;
  struct Route route;       /* a copy: the table may be replaced while the request is in flight */
  struct Customer customer; /* a copy, too; an empty name: no customer */
  bool demand_counted;      /* already counted in its customer's demand */
  int64_t admitted_ms; /* when its customer's limit admitted it; 0: not admitted, or refunded */
  struct QuotaWait *quota_wait; /* for a token of its customer; NULL: none */
  bool key_checked, key_valid;
  uint64_t key_version; /* configuration version in which the key was last checked */
  char service[NAME_MAX_BYTES + 1];
  uint32_t tokens_per_event;
  uint64_t capacity_tokens;    /* prompt cache of one server of the service; 0: unknown */
  bool continues_program;      /* its program has had turns before */
  bool needs_slot;             /* the server's owner must grant it a slot before it is sent */
  uint32_t plain_service_ms;   /* initial service time of its plain server's queue; 0: no queue */
  int64_t program_deadline_ms; /* of its program; INT64_MAX: unknown */
  uint32_t connections_max;    /* from this gateway to one server of the service */
  int64_t arrived_ms;          /* when it was received completely */
  int64_t deadline_ms;         /* the earlier of the caller's and the route's */
  struct Timer *timeout;
  struct Timer *defer_timer; /* while the gateway starts; NULL: not deferred */
  struct Turn *turn;         /* the turn has a budget, is stored, or both; NULL: not a turn */
  const uint8_t *body;
  size_t body_bytes;
  bool has_digest;
  uint8_t digest[DIGEST_BYTES]; /* see request_digest; valid with has_digest */
  const char *object;           /* affinity key, on routes whose servers warm up; NULL: none */
  const char *previous_server;  /* server that ran the previous turn; "" for none */

  /* The current attempt at a server. */
  struct SlotWait *slot_wait; /* slot request at the server's owner; NULL: none */
  struct HttpCall *call;
  struct HttpServerCheck *check; /* whether the server that ended the call is running; NULL: none */
  int64_t ended_ms;              /* when the call ended */
  struct Replica *replica;
  char *tried[TRIED_MAX];
  size_t n_tried;
  uint32_t n_sent; /* attempts that a server may have run */
  bool may_have_run;
  bool is_trial;                    /* it is quarantined and sent to find out whether it is sound */
  struct Timer *silence_timer;      /* until another server is tried; NULL: none will be */
  enum SlotOutcome outcome;         /* of this attempt */
  bool rejected;                    /* the server replied that it did not run this attempt */
  bool streaming;                   /* the response is forwarded as it arrives */
  bool wrote_any;                   /* part of a streaming response was forwarded */
  int64_t sent_ms;                  /* when this attempt was sent */
  uint32_t earlier_requests;        /* that its connection had carried before */
  enum HttpAttribution attribution; /* of the response's head */
  bool has_stray_response; /* one without an id was discarded, and no other response came since */
  bool has_pace_draw;
  uint64_t pace_draw; /* see struct ReplicaQuery; valid with has_pace_draw */
  struct StreamPace stream_pace;
  uint32_t sample_us; /* duration measured of this attempt, see server_pace.h; 0: none */
  struct ServerResponse response;
  enum HttpFraming framing; /* of the response */
  struct HttpHeaders response_headers;
  struct ByteQueue response_body;
  struct EventStream events;
  struct ByteQueue partial_event; /* of a resumable stream: bytes of the incomplete last event */
};

struct Front
{
  struct Node *node;
  struct Contention *contention;
  struct RouteTable *table; /* NULL: no configuration yet */
  struct ReplicaSet *replicas;
  struct HttpClient *client;
  struct Slots *slots;
  struct PaceTable *paces;
  struct Quotas *quotas;
  struct Attribution *attribution;
  struct Suspects *suspects;
  struct SilentAttempts *silent;
  struct DescriptorShares shares;
  struct HttpMemory *memory; /* of all HTTP servers; NULL: not bounded */
  struct HttpServer *callers, *ready, *directory;
  struct Request *requests;
  int64_t started_ms;
  int64_t stop_ms;  /* when the planned stop was requested; 0: none */
  uint64_t n_draws; /* selections so far: seeds the choice among equal services and servers */
  struct SubsetDemand demand;
  uint32_t server_level; /* level of the received subset of servers */
  bool has_server_list;  /* a list of servers was received, even an empty one */
  struct LoopEcho *echo;
  uint32_t n_digest_ticks;
  uint32_t n_gateways; /* live ones, including this one */
  struct RetryAllowance retries;
  struct Settlement *settlements; /* pending closes of turns that are not stored */
  uint32_t n_settlements;
};

/* Opens the listeners and registers its handlers with node, which is started afterwards. */
int32_t
front_new (TALLOC_CTX *ctx, struct Node *node, struct Front **front, struct Fault *fault);

/* Starts a planned stop: reports not ready at once, accepts new requests for a while, and lets
 * requests in flight finish. */
void
front_stop (struct Front *front);

/* Returns whether a planned stop has come so far that no request is sent to its first server. */
bool
front_is_ending (const struct Front *front);

/* Late in a planned stop, rejects the requests that still wait for a server, as not run, and at the
 * end of the grace period answers those that are left. Called every 100 ms. */
void
front_end_requests (struct Front *front);

/* Returns true once the process may exit after a planned stop. */
bool
front_is_done (const struct Front *front);

/* Checks the request against the configuration and its customer's limit, and starts it. Called
 * again when a request that waited for its customer's limit was admitted. */
void
front_dispatch (struct Request *request);

/* Sends the caller the response for failure and ends the request. detail is for the log only. */
void
request_fail (struct Request *request, enum RequestFailure failure, const char *detail);

/* Sends the request to a server: the first one, or the next after a refusal. */
void
request_send (struct Request *request);

/* Selects the server for the next attempt; NULL when none is eligible. */
struct Replica *
request_choose_server (struct Request *request);

/* Returns the expected wait in ms of the request at a plain server, as far as its load is known. */
uint32_t
request_plain_wait_ms (struct Request *request, const struct Replica *replica);

/* Called when the owner of .replica has granted a slot, or no owner could be queried. */
void
request_on_slot_granted (struct Request *request);

/* Rejects the request because the servers stay busy for longer than its caller waits; Retry-After
 * is wait_ms. */
void
request_reject_busy (struct Request *request, uint32_t wait_ms);

/* Rejects the request because it is quarantined. Retry-After is wait_ms; 0: none. */
void
request_reject_quarantined (struct Request *request, uint32_t wait_ms, const char *detail);

/* Rejects the request because its customer's limit is reached; Retry-After is wait_ms. */
void
request_reject_over_limit (struct Request *request, uint32_t wait_ms, const char *detail);

/* Completes the caller's response after the whole stream, and ends the request. */
void
request_end_stream (struct Request *request);

/* Frees the request after the caller has its response or has disconnected. */
void
request_end (struct Request *request);

/* Turns. */

/* Returns true when enough archives are reachable, directly or through another gateway. */
bool
turn_archives_reachable (const struct Front *front);

/* Reserves the turn's tokens and fetches its history, then sends or rejects it. */
void
turn_start (struct Request *request);

/* Stores the turn after the server's whole stream, then completes the caller's response. */
void
turn_finish (struct Request *request);

/* Returns the size of the history that the request's turn has received, and has not made a body of;
 * 0 if the request is not a turn. */
size_t
turn_held_bytes (const struct Request *request);

/* Ends the turn without storing its text and reports the tokens it used to the archives. */
void
turn_abandon (struct Request *request);

/* Called when the set of archives changes while the turn has a query open. */
void
turn_on_set_changed (struct Request *request);

/* Handlers for an archive's response. */
void
turn_on_opened (struct Front *front, const char *archive, const struct TurnOpened *opened);
void
turn_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed);

/* Returns true when the gateway can serve callers: it has a configuration and a list of servers,
 * reaches the archives and is not stopping. */
bool
front_is_ready (const struct Front *front);

/* Returns true shortly after the start, while requests are deferred instead of rejected. Callers
 * make only a few attempts, and after a power loss the gateway receives its configuration, servers
 * and archives within a few hundred milliseconds, sooner than a rejected caller would retry. */
bool
front_is_starting (const struct Front *front);
