/* Gateway: takes callers' requests and sends them on to backend servers.
 *
 * Plain requests are forwarded by the gateway that took them and leave no trace elsewhere. Turns
 * of programs reserve their tokens and get their history from the archives first (turn.c). */
#pragma once

#include "node.h"

#include <buckthornhead/event_stream.h>
#include <buckthornhead/scheduling/retry_allowance.h>
#include <buckthornhead/scheduling/server_subset.h>
#include <buckthornhead/scheduling/slot_queue.h>

enum
{
  TRIED_MAX = 8 /* servers that one request is offered to, those that refuse it included */
};

struct Front;
struct LoopEcho;
struct Quotas;
struct Settlement;
struct SlotWait;
struct Slots;
struct Turn;

/* Why a request was not answered by a server; each has one status for the caller. */
enum RequestFailure
{
  FAILURE_NO_CONFIG,   /* this gateway knows no configuration yet */
  FAILURE_NO_KEY,      /* no customer's key, or none any more */
  FAILURE_OVER_LIMIT,  /* more than its customer's limit holds; it did not run */
  FAILURE_NO_ROUTE,    /* the configuration has no such route */
  FAILURE_MALFORMED,   /* the request lacks what it must say */
  FAILURE_NO_SERVER,   /* no server could take it; it did not run */
  FAILURE_OUT_OF_TIME, /* its time was over before it was sent */
  FAILURE_BUSY,        /* more requests than the servers can run in its time; it did not run */
  FAILURE_STOPPING,    /* planned stop; it did not run */
  FAILURE_UNCERTAIN,   /* too few archives answered to be sure; it did not run */
  FAILURE_NO_TURN,     /* the turn that it continues does not exist */
  FAILURE_BUDGET,      /* the program's budget is spent */
  FAILURE_BROKEN,      /* it was sent and no whole answer came: may have run */
  FAILURE_TIMEOUT      /* it was sent and its time is over: may have run */
};

struct Request
{
  struct Request *next, **pprev;
  struct Front *front;
  struct HttpExchange *exchange; /* NULL once the caller has its answer or has left */
  struct CallerRequest caller;
  struct Route route;       /* a copy: the table may change meanwhile */
  struct Customer customer; /* a copy, too; no name: nobody's */
  bool demand_counted;      /* it counts as its customer's demand */
  int64_t admitted_ms; /* when its customer's limit let it through; 0: not yet, or taken back */
  bool key_checked, key_valid;
  uint64_t key_version; /* of the configuration in which its key was looked up */
  char service[NAME_MAX_BYTES + 1];
  uint32_t tokens_per_event;
  uint64_t capacity_tokens;    /* of one server's memory for prompts; 0: not known */
  bool continues_program;      /* its program has had turns before */
  bool needs_slot;             /* its server's owner says when it may be sent */
  int64_t program_deadline_ms; /* when its program should be finished; INT64_MAX: not known */
  uint32_t connections_max;    /* of this gateway to one server of the service */
  int64_t arrived_ms;          /* when it was whole */
  int64_t deadline_ms;         /* the end of its time, the caller's or the route's */
  struct Timer *timeout;
  struct Timer *defer_timer; /* while the gateway starts; NULL: not held */
  struct Turn *turn; /* NULL for anything but a turn: it has a budget, or is kept, or both */
  const uint8_t *body;
  size_t body_bytes;
  const char *object;    /* what it concerns, where servers warm up for it; NULL: nothing */
  const char *cached_at; /* server that ran the turn before; "" for none */

  /* The attempt at a server. */
  struct SlotWait *slot_wait; /* with the server's owner; NULL: none was asked */
  struct HttpCall *call;
  struct Replica *replica;
  char *tried[TRIED_MAX];
  size_t n_tried;
  uint32_t n_sent; /* attempts that a server may have run */
  bool may_have_run;
  struct Timer *silence_timer; /* until another server is asked; NULL when none will be */
  enum SlotOutcome outcome;    /* of this attempt */
  bool refused;                /* this attempt's answer says that it did not run */
  bool streaming;              /* the answer goes to the caller as it comes */
  bool wrote_any;              /* of a streaming answer */
  int64_t sent_ms;             /* when this attempt was */
  struct ReplicaAnswer answer;
  struct HttpHeaders answer_headers;
  struct ByteQueue answer_body;
  struct EventStream events;
  struct ByteQueue
      partial_event; /* of a resumable stream: what came of an event that has not ended */
};

struct Front
{
  struct Node *node;
  struct RouteTable *table; /* NULL: no configuration yet */
  struct ReplicaSet *replicas;
  struct HttpClient *client;
  struct Slots *slots;
  struct Quotas *quotas;
  struct HttpServer *callers, *ready, *directory;
  struct Request *requests;
  int64_t started_ms;
  int64_t stop_ms; /* when the planned stop was asked for; 0: none */
  uint64_t n_draws;
  struct SubsetDemand demand;
  uint32_t server_level; /* of the servers that are known */
  bool has_server_list;  /* a list of them came, be it empty */
  struct LoopEcho *echo;
  uint32_t n_digest_ticks;
  uint32_t n_gateways; /* live ones, this one included */
  struct RetryAllowance retries;
  struct Settlement *settlements; /* of turns that are not stored */
  uint32_t n_settlements;
};

/* Opens the listeners and registers with node, which is started afterwards. */
int32_t
front_new (TALLOC_CTX *ctx, struct Node *node, struct Front **front, struct Fault *fault);

/* Planned stop: not ready at once, new requests are taken for a while, none is cut. */
void
front_stop (struct Front *front);

/* True once the planned stop may end the process. */
bool
front_is_done (const struct Front *front);

/* The request's own answer to its caller, and its end. */
void
request_fail (struct Request *request, enum RequestFailure failure, const char *detail);

/* Offers the request to a server: the first one, or the next after a refusal. */
void
request_send (struct Request *request);

/* The server that the request should go to now; NULL when none may take it. */
struct Replica *
request_choose (struct Request *request);

/* The owner of .replica lets it be sent, or there is none to ask. */
void
request_granted (struct Request *request);

/* All servers that could take it are busy for longer than its caller waits: it may come back in
 * wait_ms. */
void
request_busy (struct Request *request, uint32_t wait_ms);

/* Its customer's limit holds no more now; it may come back in wait_ms. */
void
request_over_limit (struct Request *request, uint32_t wait_ms, const char *detail);

/* The stream was whole: the caller's answer ends, and the request with it. */
void
request_end_stream (struct Request *request);

/* Frees the request; the caller has its answer, or has left. */
void
request_end (struct Request *request);

/* Turns. */

/* Enough archives can be asked, directly or through another gateway. */
bool
turn_may_start (const struct Front *front);

/* Reserves the turn's tokens and fetches its history; then sends it, or refuses it. */
void
turn_start (struct Request *request);

/* The server's stream is whole: the turn is stored, then the caller's answer ends. */
void
turn_finish (struct Request *request);

/* The turn is over and no text of it is kept; what it handed out is settled. */
void
turn_abandon (struct Request *request);

/* The set of archives has changed under the turn's open question. */
void
turn_on_set (struct Request *request);

/* An archive answered. */
void
turn_on_opened (struct Front *front, const char *archive, const struct TurnOpened *opened);
void
turn_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed);

/* Takes callers: it has a configuration and a list of servers, reaches the archives and is not
 * about to stop. */
bool
front_is_ready (const struct Front *front);

/* Guards against callers whose few attempts are used up by a gateway that has just started: after a
 * loss of power it knows the configuration, the servers and the archives within some hundred
 * milliseconds, sooner than a caller that is sent back would come again. */
bool
front_is_starting (const struct Front *front);
