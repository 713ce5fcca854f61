/* Policy core: which call goes next, where, how many at once, and when to refuse.
 *
 * Pure: no I/O, no clock, no threads; (state, event, now) -> actions. Two halves. Placement runs
 * at a program's home and picks a backend server from digests that owners send. The queue runs at
 * the owner of one backend server and orders what waits there. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>

#include <talloc.h>

enum PolicyRule
{
  POLICY_ROUND_ROBIN = 0, /* baselines: */
  POLICY_LEAST_REPORTED,  /* least load in the last report */
  POLICY_STICKY,          /* the program's last server */
  POLICY_FIFO,            /* least expected wait, first in first out */
  POLICY_ATTAINED,        /* least attained service of the program first */
  POLICY_PROGRAM          /* attained + ageing + cache weight + pause retention: the default */
};

/* A profile's weights, one set a service. */
struct PolicyWeights
{
  enum PolicyRule rule;
  uint32_t cache_weight_permille; /* 0: latency only .. 1000: cached prefix only */
  uint32_t ageing_ms;             /* waiting this long doubles a call's urgency */
  uint32_t share;                 /* fair share between services, 1..1000 */
  uint32_t queue_limit;           /* most calls of the service waiting at one owner */
  uint32_t retry_budget_permille; /* retries allowed per thousand calls */
  uint32_t pause_keep_ms;         /* longest tool pause over which a prefix is kept */
};

/* What a home knows of one backend server. */
struct PolicyServer
{
  char name[NAME_MAX_BYTES + 1];
  bool usable;                        /* listed, not leaving, not suspected */
  uint32_t in_flight, waiting, limit; /* by its owner's own counts */
  uint32_t reported_running;          /* the server's last report, may be old */
  uint32_t service_ms_per_call;       /* learned */
  uint32_t prefill_us_per_token;      /* learned */
  bool same_zone;
  uint32_t wait_new_ms;       /* expected wait at the owner of a program that has no place there */
  uint32_t wait_kept_ms;      /* and of one whose prefix is kept there */
  uint32_t pace_us_per_token; /* learned time between tokens; 0: not known */
  uint32_t programs;          /* that have a place there, paused ones included */
};

struct Placement; /* per-home state: where each program's prefix is, learned paces */

struct Placement *
placement_new (TALLOC_CTX *ctx);

/* Index into servers, or -1 with fault when none is usable. prefix_tokens is how much of the
 * prompt the program's last server would still hold. */
int32_t
placement_choose (struct Placement *placement,
                  const struct PolicyWeights *weights,
                  const struct PolicyServer *servers,
                  size_t n_servers,
                  const struct Call *call,
                  int64_t now_ms,
                  struct Fault *fault);

/* A call of program ended on server: remembers where its prefix is and how it went. */
void
placement_learn (struct Placement *placement,
                 const struct Call *call,
                 const char *server,
                 const struct Outcome *outcome,
                 int64_t now_ms);
void
placement_forget (struct Placement *placement, const char *program);

/* Prompt tokens of call that server probably has cached: DispatchItem.cached_tokens_hint. */
uint32_t
placement_cached_hint (const struct Placement *placement,
                       const struct Call *call,
                       const char *server);

/* Queue of one backend server at its owner. */
struct DispatchQueue;

struct DispatchItem
{
  uint64_t id; /* chosen by the caller of these functions, unique in the queue */
  char program[PROGRAM_ID_MAX_BYTES + 1];
  char service[NAME_MAX_BYTES + 1];
  uint32_t prompt_tokens, cached_tokens_hint, max_tokens;
  uint64_t attained_tokens; /* what the program has received so far, by its home's count */
  int64_t deadline_ms;      /* absolute on the queue's clock; 0: none */
  bool suspect;             /* quarantine_suspects: runs with no other suspect beside it */
};

struct DispatchQueue *
dispatch_queue_new (TALLOC_CTX *ctx, uint32_t initial_limit);

/* Admits or refuses at once. On refusal fault tells why and *retry_after_ms when to come back,
 * spread by spread_seed. */
int32_t
dispatch_queue_push (struct DispatchQueue *queue,
                     const struct PolicyWeights *weights,
                     const struct DispatchItem *item,
                     uint32_t spread_seed,
                     int64_t now_ms,
                     uint32_t *retry_after_ms,
                     struct Fault *fault);

/* Takes the next item to send, if one waits and the server has room. */
bool
dispatch_queue_pop (struct DispatchQueue *queue, int64_t now_ms, uint64_t *id);

/* A waiting item is given up (caller gone). False when it is not waiting. */
bool
dispatch_queue_remove (struct DispatchQueue *queue, uint64_t id);

/* Gives one waiting item that can no longer meet its deadline, to be refused at once. */
bool
dispatch_queue_expire (struct DispatchQueue *queue, int64_t now_ms, uint64_t *id);

/* First token seen, and the end, of an item that was popped: the limit is learned from these. Both
 * may let another item go: pop again after each. */
void
dispatch_queue_first_token (struct DispatchQueue *queue, uint64_t id, int64_t now_ms);
void
dispatch_queue_finished (struct DispatchQueue *queue,
                         uint64_t id,
                         const struct Outcome *outcome,
                         int64_t now_ms);

/* What the server reported of its prefix cache. Optional: without it the size is learned from the
 * answers, and a wrong report is corrected by them. */
void
dispatch_queue_report_cache (struct DispatchQueue *queue, uint64_t capacity_tokens);

/* The program has ended, or its home moved it elsewhere: its place in the cache is free. Without
 * this call the place is kept over one learned pause. */
void
dispatch_queue_program_ended (struct DispatchQueue *queue, const char *program);

/* Programs let in to the server's cache, and the tokens they are expected to hold. */
struct DispatchActive
{
  size_t n_programs;
  uint64_t active_tokens;
  uint64_t budget_tokens; /* learned; UINT64_MAX: not scarce as far as seen */
  uint64_t n_taken;       /* places taken from paused programs by more urgent ones, so far */
  uint64_t n_lapsed;      /* places lost because a pause outlasted what is kept */
};
void
dispatch_queue_active (const struct DispatchQueue *queue, struct DispatchActive *active);

/* The queue's own picture, for the digest that goes to the homes. */
void
dispatch_queue_digest (const struct DispatchQueue *queue, struct PolicyServer *digest);

/* Quarantine by digest: a request that was running on two backend servers when they died. */
struct Quarantine;

struct Quarantine *
quarantine_new (TALLOC_CTX *ctx);
/* The server died while running digest. True when this makes it quarantined (second server). */
bool
quarantine_record_death (struct Quarantine *quarantine,
                         const uint8_t digest[DIGEST_BYTES],
                         const char *server,
                         int64_t now_ms);
bool
quarantine_holds (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);
/* The request was running on one server when that died. So were all that ran beside it: they are
 * sent again one at a time (DispatchItem.suspect), so that the second death names one of them. */
bool
quarantine_suspects (const struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);
/* It has run to its end: no suspect any more. */
void
quarantine_clear (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);
/* As told by another instance. */
void
quarantine_add (struct Quarantine *quarantine, const uint8_t digest[DIGEST_BYTES]);
