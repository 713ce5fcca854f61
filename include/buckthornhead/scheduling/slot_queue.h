/* The owner's side of a backend server: who may be sent to it now, and who waits in which order.
 *
 * Engines run a fixed number of requests at once and admit the rest in order of arrival, knowing
 * neither programs nor priorities. So waiting happens here, at the one gateway that owns the
 * server. Answers the load of more turns than the engines can run, for some seconds: in order of
 * arrival all programs are late, those that were nearly done, too; in this order as many as there
 * is room for end in time. A wrong view of who owns a server only admits too many for a moment.
 * Pure. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/scheduling/failure_rate.h>

#include <talloc.h>

struct SlotQueues;

/* A request that wants to be sent to a server. */
struct SlotAsk
{
  char asker[NAME_MAX_BYTES + 1]; /* gateway that will send it */
  uint64_t id;                    /* of the request, unique at its gateway */
  uint32_t customer_priority;     /* 0: the most urgent, and where customers have none */
  uint32_t priority;              /* of its route, 0: the most urgent */
  bool continues;                 /* its program has had something already */
  int64_t program_due_ms;         /* when its program should be finished; INT64_MAX: not known */
  int64_t due_ms;                 /* when its caller has left at the latest */
  uint64_t part;                  /* largest part of its prompt that others share; 0: none */
  uint32_t part_tokens;
};

enum
{
  SLOT_PARTS_MAX = 24 /* shared parts that are remembered of one server */
};

/* What the owner reports of a server to all gateways. */
struct SlotDigest
{
  char server[NAME_MAX_BYTES + 1];
  uint32_t total;                 /* requests that run or wait there */
  uint32_t failed_permille;       /* of what it was sent lately */
  uint64_t parts[SLOT_PARTS_MAX]; /* shared parts that its cache holds, as far as the owner knows */
  uint32_t n_parts;
};

/* What the asker gets. */
struct SlotState
{
  bool granted;
  uint32_t total;   /* requests that run or wait at the server, this one included */
  uint32_t ahead;   /* of them, those that wait and go before */
  uint32_t wait_ms; /* that it will probably wait */
};

/* How long a turn takes that finds a free slot, until the owner has seen some. */
enum
{
  SLOT_FIRST_SERVICE_MS = 350 /* 250 tokens of 1.2 ms each, and reading what is new of the prompt */
};

struct SlotQueues *
slot_queues_new (TALLOC_CTX *ctx);

/* A server as it is configured. */
struct SlotServer
{
  const char *id;
  uint32_t slots;
  uint64_t capacity_tokens; /* of its memory for prompts; 0: not known */
};

/* A request that is not known yet is queued, or granted if there is room among slots; one that is
 * known is told its state. ERROR_NO_MEMORY. */
int32_t
slot_queue_ask (struct SlotQueues *queues,
                const struct SlotServer *server,
                const struct SlotAsk *ask,
                int64_t now_ms,
                struct SlotState *state);

enum SlotOutcome
{
  SLOT_NOT_USED, /* it was not sent, or its caller left */
  SLOT_SERVED,
  SLOT_FAILED /* the server answered with a failure, or not at all */
};

/* The request has ended, or does not want to be sent any more. */
void
slot_queue_done (struct SlotQueues *queues,
                 const char *server,
                 const char *asker,
                 uint64_t id,
                 enum SlotOutcome outcome,
                 int64_t now_ms);

/* The server has started again: what was known of its cache, its pace and its failures is void.
 * Requests that it was sent end as their connections do. */
void
slot_queue_restarted (struct SlotQueues *queues, const char *server);

/* Grants the next request that there is room for; false when there is none. *state is what its
 * asker is told. */
bool
slot_queue_next (struct SlotQueues *queues,
                 const char *server,
                 int64_t now_ms,
                 struct SlotAsk *ask,
                 struct SlotState *state);

/* Drops what is over, and all requests of gateways that is_live does not know: their end was never
 * told. Servers that nobody asked for lately are forgotten. each is called for every server that
 * may have room again. */
void
slot_queues_expire (struct SlotQueues *queues,
                    int64_t now_ms,
                    bool (*is_live) (void *data, const char *asker),
                    void (*each) (void *data, const char *server),
                    void *data);

/* All servers that were asked for lately, or those of them of whose slots half or more are taken;
 * the array belongs to ctx, NULL without memory. */
struct SlotDigest *
slot_queues_digest (
    struct SlotQueues *queues, TALLOC_CTX *ctx, bool busy_only, int64_t now_ms, size_t *n_digests);

/* Whether a goes before b. */
bool
slot_ask_before (const struct SlotAsk *a,
                 const struct SlotAsk *b,
                 int64_t now_ms,
                 uint32_t service_ms);
