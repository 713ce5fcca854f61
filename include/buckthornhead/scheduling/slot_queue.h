/* Request queues of the backend servers that this gateway owns: which requests may be sent now, and
 * in which order the others wait.
 *
 * Engines run a fixed number of requests concurrently and admit the rest in order of arrival, since
 * they have no notion of programs or priorities. Requests therefore wait at the one gateway that
 * owns the server. This matters when turns exceed the engines' capacity for some seconds: in order
 * of arrival all programs are late, even those that were nearly done; in this order as many as the
 * engines have capacity for end in time.
 *
 * When the owner changes, the holders report to the new one what the previous one granted them; see
 * slot_hold.h. Until their reports have arrived, the requests that are known from load reports
 * count as running. While gateways disagree on the owner, the server may be sent more requests than
 * it has slots, by those that end meanwhile. Does no I/O. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/scheduling/failure_rate.h>

#include <talloc.h>

struct SlotQueues;

/* A request to send to a server, which requests a slot there. */
struct SlotRequest
{
  char requester[NAME_MAX_BYTES + 1]; /* gateway that sends the request */
  uint64_t id;                        /* unique per gateway */
  uint32_t customer_priority;         /* 0: highest, and for customers without one */
  uint32_t priority;                  /* of the route; 0: highest */
  bool under_way;                     /* the program is under way */
  int64_t program_deadline_ms;        /* deadline of the program; INT64_MAX: none known */
  int64_t deadline_ms;                /* deadline of the request's caller */
  uint64_t part;                      /* id of the prompt's largest shared part; 0: none */
  uint32_t part_tokens;
  uint64_t program;        /* hash of its program's id; 0: none */
  uint64_t customer;       /* hash of its customer's name; 0: none */
  int64_t since_ms;        /* since when its program waits, over its retries; set by the queue */
  uint32_t waited_ms;      /* how long it has waited with previous owners */
  bool is_granted;         /* it already has a slot, from another owner or without one */
  uint32_t granted_for_ms; /* since when; valid with is_granted */
};

/* In which order requests wait. */
enum SlotOrder
{
  SLOT_ORDER_BY_PROGRAM, /* programs under way, then by program deadline */
  SLOT_ORDER_BY_RANK     /* by the ranks of customer and route; for lasting shortage */
};

enum
{
  SLOT_PARTS_MAX = 24 /* shared parts tracked per server */
};

/* The state of a server, as its owner reports it to the other gateways. */
struct SlotDigest
{
  char server[NAME_MAX_BYTES + 1];
  uint32_t total;                 /* requests running or waiting */
  uint32_t failed_permille;       /* recent failure rate */
  uint64_t parts[SLOT_PARTS_MAX]; /* shared parts assumed to be in the server's cache */
  uint32_t n_parts;
};

/* The response to a SlotRequest. */
struct SlotState
{
  bool granted;
  uint32_t total;      /* requests running or waiting at the server, including this one */
  uint32_t ahead;      /* waiting requests that precede this one */
  uint32_t wait_ms;    /* estimated wait */
  uint32_t service_ms; /* mean time from grant to end at a plain server; 0: not reported */
};

enum
{
  /* Initial service time of a turn, until measured ones replace it: 250 tokens of 1.2 ms each, and
   * reading the new part of the prompt. */
  SLOT_FIRST_SERVICE_MS = 350,
  /* Bound of a plain server's initial service time, against invalid values in messages. */
  SLOT_SERVICE_MAX_MS = 10 * 60 * 1000
};

struct SlotQueues *
slot_queues_new (TALLOC_CTX *ctx);

/* The configuration of a server. */
struct SlotServer
{
  const char *id;
  uint32_t slots;
  uint64_t capacity_tokens; /* size of its prompt cache; 0: unknown */
  /* Initial service time of a plain server's queue, at most SLOT_SERVICE_MAX_MS; 0: the server is
   * an engine. */
  uint32_t first_service_ms;
  enum SlotOrder order;
  /* Another gateway owns the server, as far as this one knows. */
  bool is_foreign;
  /* Requests that run there, as far as it is known from digests and this gateway's own requests.
   * Only read while the server is foreign, and when its queue takes it over. */
  uint32_t n_expected;
};

/* Grants a new request if there is room, or else queues it. A repeated SlotRequest returns the
 * current state of its request and takes no second slot. Slots of a plain server that counted as
 * taken become free with time: call slot_queue_next before. Returns ERROR_NO_MEMORY on failure. */
int32_t
slot_queue_request (struct SlotQueues *queues,
                    const struct SlotServer *server,
                    const struct SlotRequest *request,
                    int64_t now_ms,
                    struct SlotState *state);

enum SlotOutcome
{
  SLOT_NOT_USED, /* it was not sent, or its caller disconnected */
  SLOT_SERVED,
  SLOT_FAILED, /* the server responded with a failure or not at all */
  SLOT_FULL    /* the server rejected it because it is full; only for plain servers */
};

/* Returns whether this gateway has a queue that owns the server. */
bool
slot_queue_is_owned (const struct SlotQueues *queues, const char *server);

/* Marks the queues of servers for which is_owner returns false as foreign: they pause, so that the
 * slots are granted by one gateway while others do not know of the new owner. */
void
slot_queues_disown (struct SlotQueues *queues,
                    bool (*is_owner) (void *data, const char *server),
                    int64_t now_ms,
                    void *data);

/* Removes a request that has ended or was cancelled. */
void
slot_queue_done (struct SlotQueues *queues,
                 const char *server,
                 const char *requester,
                 uint64_t id,
                 enum SlotOutcome outcome,
                 int64_t now_ms);

/* Resets the server's tracked cache contents, service time and failure rate after a restart. The
 * requests sent to the previous process stay until they end with their connections. */
void
slot_queue_restarted (struct SlotQueues *queues, const char *server);

/* Grants the next waiting request if there is room; false if there is none. *request receives the
 * request, *state the response for its gateway. */
bool
slot_queue_next (struct SlotQueues *queues,
                 const char *server,
                 int64_t now_ms,
                 struct SlotRequest *request,
                 struct SlotState *state);

/* Returns how many entries all queues have read to find, order or grant requests, a measure of
 * work that does not depend on the machine. */
uint64_t
slot_queues_n_examined (const struct SlotQueues *queues);

/* Drops requests whose deadline has passed, and those for which is_live returns false, since the
 * process of their gateway has ended: their ends are never reported. Removes servers without recent
 * requests. Calls each for every server with remaining requests, as it may have room again. */
void
slot_queues_expire (struct SlotQueues *queues,
                    int64_t now_ms,
                    bool (*is_live) (void *data, const char *requester, uint64_t id),
                    void (*each) (void *data, const char *server),
                    void *data);

/* Returns the digests of all servers whose slots this gateway grants and that have recent requests,
 * or with busy_only just of those with at least half as many requests as slots. The array is
 * allocated on ctx; NULL without memory. */
struct SlotDigest *
slot_queues_digest (
    struct SlotQueues *queues, TALLOC_CTX *ctx, bool busy_only, int64_t now_ms, size_t *n_digests);

/* Returns the server's mean time from grant to end in milliseconds; 0 without a queue for it. */
uint32_t
slot_queue_service_ms (const struct SlotQueues *queues, const char *server);

/* Returns whether a is granted before b. service_ms: mean service time of the server. */
bool
slot_request_before (const struct SlotRequest *a,
                     const struct SlotRequest *b,
                     enum SlotOrder order,
                     int64_t now_ms,
                     uint32_t service_ms);
