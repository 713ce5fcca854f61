/* Decides which programs share one engine's prefix cache.
 *
 * An engine whose cache is smaller than the prefixes of its programs recomputes them all the time:
 * each program's next turn finds its prefix evicted by the others'. So only a set of programs that
 * fits is admitted at once (the active set); the others wait with all their calls. A program stays
 * admitted over a tool pause for a learned time, and is evicted for a more urgent one only if the
 * gain is worth recomputing its prefix. */
#pragma once

#include <buckthornhead/policy.h>

#include "fair_share.h"
#include "policy_heap.h"
#include "policy_table.h"

struct QueuedCall;

struct ActiveProgram
{
  struct TableNode by_name;
  char name[PROGRAM_ID_MAX_BYTES + 1];
  struct FairService *service;
  bool active;
  bool small;                /* admitted as a small program, and still small */
  uint64_t footprint_tokens; /* included in the set's sum while active */
  uint64_t held_tokens;      /* prefixes of all its branches */
  uint64_t pending_tokens;   /* tokens that its calls under way will add */
  uint32_t n_waiting, n_running;
  int64_t ended_ms;            /* of the last call; 0: none */
  double urgency;              /* ordering key of its last call */
  struct HeapNode victim_node; /* while active and paused; least worth keeping first */
  struct HeapNode retain_node; /* ordered by the end of the time for which it is retained */
  struct QueuedCall *calls;    /* waiting; linked by the queue */
};

struct ActiveSet
{
  struct PolicyTable programs;
  struct PolicyHeap victims, retained;
  uint64_t active_tokens;
  uint64_t small_tokens; /* the part held by small programs */
  size_t n_active;
  double budget_tokens;        /* INFINITY: no shortage seen so far */
  uint64_t reported_tokens;    /* capacity in the server's last report; 0: none */
  double prefill_us_per_token; /* as last learned by the owner */
  uint64_t sequence;
  uint64_t n_evicted, n_expired;
};

void
active_set_init (struct ActiveSet *set);

struct ActiveProgram *
active_set_program (TALLOC_CTX *ctx,
                    struct ActiveSet *set,
                    const char *name,
                    struct FairService *service);
struct ActiveProgram *
active_set_find (const struct ActiveSet *set, const char *name);

/* Adds a call that is about to wait. cached_tokens of its prompt are cached and it will add
 * new_tokens. Updates the service's average pause between calls. */
void
active_set_add_call (struct ActiveSet *set,
                     struct ActiveProgram *program,
                     uint32_t cached_tokens,
                     uint32_t new_tokens,
                     int64_t now_ms);
/* Ends a call, which has added grown_tokens to what the program holds. */
void
active_set_end_call (struct ActiveSet *set,
                     struct ActiveProgram *program,
                     uint32_t new_tokens,
                     uint32_t grown_tokens);

enum ActiveClaim
{
  ACTIVE_USUAL,
  ACTIVE_OVERDUE, /* has waited too long: may evict any paused program, and tokens of small programs
                     count as free */
  ACTIVE_FORCED   /* admitted without regard to the budget: the server would be idle */
};

/* Admits program if it fits the budget, evicting less urgent paused programs if necessary. */
bool
active_set_admit (struct ActiveSet *set, struct ActiveProgram *program, enum ActiveClaim claim);

/* Admits a small program at once, slightly beyond the budget if necessary. */
bool
active_set_admit_small (struct ActiveSet *set, struct ActiveProgram *program);

/* Starts program's pause if it has no other call here; called when a call of it has ended. */
void
active_set_pause_if_idle (TALLOC_CTX *ctx,
                          struct ActiveSet *set,
                          struct ActiveProgram *program,
                          int64_t now_ms);

/* Removes programs whose pause outlasted the time for which they are retained. */
void
active_set_expire (struct ActiveSet *set, int64_t now_ms);
/* Removes program, which must have no call waiting or running here. */
void
active_set_remove (struct ActiveSet *set, struct ActiveProgram *program);

/* Updates the budget estimate after a call of an active program, from the tokens expected to be
 * cached and those that were. */
void
active_set_learn_budget (struct ActiveSet *set, uint32_t expected_tokens, uint32_t cached_tokens);
void
active_set_set_capacity (struct ActiveSet *set, uint64_t capacity_tokens);
