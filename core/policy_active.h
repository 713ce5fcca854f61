/* Which programs share one engine's prefix cache.
 *
 * An engine whose cache is smaller than what its programs hold recomputes prefixes all the time:
 * each program's next turn finds its prefix evicted by the others'. So only a set of programs that
 * fits is let in at once (the active set); the others wait outside with all their calls. A program
 * keeps its place over a tool pause for a learned time, and loses it to a more urgent one only when
 * the gain is worth the prefix that must be computed again. */
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
  bool small;                /* let in as a small program, and still small */
  uint64_t footprint_tokens; /* counted in the set's sum while active */
  uint64_t held_tokens;      /* prefixes of all its branches */
  uint64_t pending_tokens;   /* more that its calls under way will bring */
  uint32_t n_waiting, n_running;
  int64_t ended_ms;            /* of the last call; 0: none */
  double urgency;              /* key of its last call */
  struct HeapNode victim_node; /* while active and paused: least worth keeping first */
  struct HeapNode keep_node;   /* and until when it is kept at all */
  struct QueuedCall *calls;    /* waiting here; the queue's own */
};

struct ActiveSet
{
  struct PolicyTable programs;
  struct PolicyHeap victims, keeps;
  uint64_t active_tokens;
  uint64_t small_tokens; /* of these, of small programs */
  size_t n_active;
  double budget_tokens;        /* INFINITY: not scarce as far as seen */
  uint64_t reported_tokens;    /* capacity by the server's own report; 0: none */
  double prefill_us_per_token; /* as the owner last learned it */
  uint64_t sequence;
  uint64_t n_taken, n_lapsed;
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

/* A call is about to wait, of whose prompt that many tokens are cached; it will bring new_tokens
 * more. Learns the pause since the last one. */
void
active_set_called (struct ActiveSet *set,
                   struct ActiveProgram *program,
                   uint32_t cached_tokens,
                   uint32_t new_tokens,
                   int64_t now_ms);
/* The call is over, and has added grown_tokens to what the program holds. */
void
active_set_done (struct ActiveSet *set,
                 struct ActiveProgram *program,
                 uint32_t new_tokens,
                 uint32_t grown_tokens);

enum ActiveClaim
{
  ACTIVE_USUAL,
  ACTIVE_OVERDUE, /* has waited too long: takes the place of any paused program, and the room that
                     small programs take up counts as free */
  ACTIVE_FORCED   /* whatever room there is: the server would stand idle */
};

/* Gives program its place if there is room, making some by taking it from paused programs that
 * are less urgent. */
bool
active_set_admit (struct ActiveSet *set, struct ActiveProgram *program, enum ActiveClaim claim);

/* Gives a small program its place at once, a little beyond the budget if need be. */
bool
active_set_admit_small (struct ActiveSet *set, struct ActiveProgram *program);

/* A call of program is gone: when nothing else of it is here, it is paused from now on. */
void
active_set_paused (TALLOC_CTX *ctx,
                   struct ActiveSet *set,
                   struct ActiveProgram *program,
                   int64_t now_ms);

/* Forgets programs whose pause outlasted what is kept. */
void
active_set_expire (struct ActiveSet *set, int64_t now_ms);
/* Forgets program, which has nothing waiting or running here. */
void
active_set_forget (struct ActiveSet *set, struct ActiveProgram *program);

/* An active program expected that many tokens cached and found this many. */
void
active_set_learn (struct ActiveSet *set, uint32_t expected_tokens, uint32_t cached_tokens);
void
active_set_report (struct ActiveSet *set, uint64_t capacity_tokens);
