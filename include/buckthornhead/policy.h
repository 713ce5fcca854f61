/* Policy core: decides which call is sent next, to which server, how many run at once and when to
 * refuse.
 *
 * Does no I/O, reads no clock and uses no threads: its functions map a state, an event and the
 * current time to actions. It has two halves. Placement runs at a program's home and picks a
 * backend server from digests that the owners send. The queue runs at the owner of one backend
 * server and orders the calls waiting for it. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>

#include <talloc.h>

enum PolicyRule
{
  POLICY_ROUND_ROBIN = 0, /* baselines: */
  POLICY_LEAST_REPORTED,  /* least load in the server's last report */
  POLICY_STICKY,          /* the program's last server */
  POLICY_FIFO,            /* least expected wait, first in first out */
  POLICY_ATTAINED,        /* least attained service of the program first */
  POLICY_PROGRAM          /* attained + ageing + cache weight + pause retention: the default */
};

/* A profile's weights, one set per service. */
struct PolicyWeights
{
  enum PolicyRule rule;
  uint32_t cache_weight_permille; /* 0: latency only .. 1000: cached prefix only */
  uint32_t ageing_ms;             /* waiting this long doubles a call's urgency */
  uint32_t share;                 /* fair share between services, 1..1000 */
  uint32_t queue_limit;           /* maximum number of calls of the service waiting at one owner */
  uint32_t retry_budget_permille; /* retries allowed per thousand calls */
  uint32_t pause_keep_ms;         /* longest tool pause over which a prefix is kept */
};

/* A home's view of one backend server. */
struct PolicyServer
{
  char name[NAME_MAX_BYTES + 1];
  bool usable;                        /* listed, not leaving, not suspected */
  uint32_t in_flight, waiting, limit; /* counted by its owner */
  uint32_t reported_running;          /* from the server's last report, possibly old */
  uint32_t service_ms_per_call;       /* learned */
  uint32_t prefill_us_per_token;      /* learned */
  bool same_zone;
  uint32_t wait_new_ms;  /* expected wait at the owner of a program that is not admitted there */
  uint32_t wait_kept_ms; /* and of one whose prefix is kept there */
  uint32_t pace_us_per_token; /* learned time between tokens; 0: unknown */
  uint32_t programs;          /* admitted there, including paused ones */
};

struct Placement; /* state of one home: the location of each program's prefix, learned paces */

struct Placement *
placement_new (TALLOC_CTX *ctx);

/* Returns an index into servers, or -1 with fault if none is usable. */
int32_t
placement_choose (struct Placement *placement,
                  const struct PolicyWeights *weights,
                  const struct PolicyServer *servers,
                  size_t n_servers,
                  const struct Call *call,
                  int64_t now_ms,
                  struct Fault *fault);

/* Records where the prefix of a call's program is and how the call ended on server. */
void
placement_record_outcome (struct Placement *placement,
                          const struct Call *call,
                          const char *server,
                          const struct Outcome *outcome,
                          int64_t now_ms);
void
placement_forget (struct Placement *placement, const char *program);

/* Returns the number of prompt tokens of call that server probably has cached, for
 * DispatchItem.cached_tokens_hint. */
uint32_t
placement_cached_hint (const struct Placement *placement,
                       const struct Call *call,
                       const char *server);

/* Queue of one backend server, run by its owner. */
struct DispatchQueue;

struct DispatchItem
{
  uint64_t id; /* chosen by the caller, unique in the queue */
  char program[PROGRAM_ID_MAX_BYTES + 1];
  char service[NAME_MAX_BYTES + 1];
  uint32_t prompt_tokens, cached_tokens_hint, max_tokens;
  uint64_t attained_tokens; /* received by the program so far, as counted by its home */
  int64_t deadline_ms;      /* absolute on the queue's clock; 0: none */
  bool suspect; /* set from quarantine_is_suspect; never runs at the same time as another suspect */
};

struct DispatchQueue *
dispatch_queue_new (TALLOC_CTX *ctx, uint32_t initial_limit);

/* Queues the item or refuses it at once. On refusal fault has the reason and *retry_after_ms the
 * delay before a retry, spread by spread_seed. */
int32_t
dispatch_queue_push (struct DispatchQueue *queue,
                     const struct PolicyWeights *weights,
                     const struct DispatchItem *item,
                     uint32_t spread_seed,
                     int64_t now_ms,
                     uint32_t *retry_after_ms,
                     struct Fault *fault);

/* Takes the next item to send, if one is waiting and the server can take another call. */
bool
dispatch_queue_pop (struct DispatchQueue *queue, int64_t now_ms, uint64_t *id);

/* Removes a waiting item whose caller has disconnected. Returns false if it is not waiting. */
bool
dispatch_queue_remove (struct DispatchQueue *queue, uint64_t id);

/* Removes one waiting item that can no longer meet its deadline and returns its id, so that it is
 * refused at once. */
bool
dispatch_queue_expire (struct DispatchQueue *queue, int64_t now_ms, uint64_t *id);

/* Report the first token and the end of an item that was popped; the limit on calls in flight is
 * learned from these. Either may allow another item to be sent: call dispatch_queue_pop after
 * each. */
void
dispatch_queue_first_token (struct DispatchQueue *queue, uint64_t id, int64_t now_ms);
void
dispatch_queue_finished (struct DispatchQueue *queue,
                         uint64_t id,
                         const struct Outcome *outcome,
                         int64_t now_ms);

/* Sets the size of the prefix cache that the server reported. Optional: without a report the size
 * is learned from responses, which also correct a wrong report. */
void
dispatch_queue_report_cache (struct DispatchQueue *queue, uint64_t capacity_tokens);

/* Releases the program's share of the cache, because the program has ended or its home moved it to
 * another server. Without this call the program stays admitted for one learned pause. */
void
dispatch_queue_program_ended (struct DispatchQueue *queue, const char *program);

/* Programs admitted to the server's cache, and the tokens they are expected to hold. */
struct DispatchActive
{
  size_t n_programs;
  uint64_t active_tokens;
  uint64_t budget_tokens; /* learned; UINT64_MAX: no shortage seen so far */
  uint64_t n_evicted;     /* paused programs evicted for more urgent ones */
  uint64_t n_expired;     /* programs evicted because their pause lasted too long */
};
void
dispatch_queue_active (const struct DispatchQueue *queue, struct DispatchActive *active);

/* Fills in the queue's state for the digest that is sent to the homes. */
void
dispatch_queue_digest (const struct DispatchQueue *queue, struct PolicyServer *digest);
