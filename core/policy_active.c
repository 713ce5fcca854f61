#include "policy_active.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  ACTIVE_EXPECTED_MIN = 256, /* smaller prefixes say nothing about the cache */
  PERMILLE = 1000,
  US_PER_MS = 1000
};

static const double ACTIVE_PAUSE_GAIN = 0.1;
/* Urgency is compared over at least this many times the even time. */
static const double ACTIVE_TAKE_EVENS = 4;
/* Share of the reported capacity that programs are let in for; the rest is slack for growth. */
static const double ACTIVE_REPORT_SHARE = 0.95;
static const double ACTIVE_SMALL_SHARE = 0.025;
/* Small programs are let in beyond the budget: they push out the ends of a few idle prefixes, and
 * most of them end at once. Holding them back behind a large one saves next to nothing. */
static const double ACTIVE_SMALL_EXCESS = 0.3;
static const double ACTIVE_SHRINK = 0.95;
static const double ACTIVE_GROW = 1.001;
/* How much more urgent, in units of the ageing time, a newcomer must be to take a paused program's
 * place; more under a cache weight. */
static const double ACTIVE_HYSTERESIS = 3.0;
static const double ACTIVE_HYSTERESIS_CACHE = 2.0;

void
active_set_init (struct ActiveSet *set)
{
  *set = (struct ActiveSet){ .budget_tokens = INFINITY };
}

struct ActiveProgram *
active_set_find (const struct ActiveSet *set, const char *name)
{
  struct TableNode *node = policy_table_find (&set->programs, name, strlen (name));

  return node != NULL ? TABLE_ENTRY (node, struct ActiveProgram, by_name) : NULL;
}

struct ActiveProgram *
active_set_program (TALLOC_CTX *ctx,
                    struct ActiveSet *set,
                    const char *name,
                    struct FairService *service)
{
  struct ActiveProgram *program = active_set_find (set, name);

  if (program != NULL)
    return program;
  program = talloc_zero (ctx, struct ActiveProgram);
  if (program == NULL)
    return NULL;
  snprintf (program->name, sizeof program->name, "%s", name);
  program->service = service;
  if (policy_table_add (ctx, &set->programs, &program->by_name, program->name,
                        strlen (program->name)))
    return program;
  talloc_free (program);
  return NULL;
}

static void
active_unpause (struct ActiveSet *set, struct ActiveProgram *program)
{
  policy_heap_remove (&set->victims, &program->victim_node);
  policy_heap_remove (&set->keeps, &program->keep_node);
}

static bool
active_is_small (const struct ActiveSet *set, const struct ActiveProgram *program)
{
  return (double)program->footprint_tokens <= set->budget_tokens * ACTIVE_SMALL_SHARE;
}

static void
active_resize (struct ActiveSet *set, struct ActiveProgram *program)
{
  uint64_t tokens = program->held_tokens + program->pending_tokens;

  if (program->active)
    set->active_tokens += tokens - program->footprint_tokens;
  if (program->small)
    set->small_tokens += tokens - program->footprint_tokens;
  program->footprint_tokens = tokens;
  if (program->small && !active_is_small (set, program))
    {
      program->small = false;
      set->small_tokens -= tokens;
    }
}

static void
active_learn_pause (struct FairService *service, double pause_ms)
{
  if (service->pause_ms == 0)
    service->pause_ms = pause_ms;
  service->pause_ms += (pause_ms - service->pause_ms) * ACTIVE_PAUSE_GAIN;
}

void
active_set_called (struct ActiveSet *set,
                   struct ActiveProgram *program,
                   uint32_t cached_tokens,
                   uint32_t new_tokens,
                   int64_t now_ms)
{
  if (program->n_waiting + program->n_running == 0)
    {
      if (program->ended_ms != 0)
        active_learn_pause (program->service, (double)(now_ms - program->ended_ms));
      active_unpause (set, program);
    }
  if (program->held_tokens < cached_tokens)
    program->held_tokens = cached_tokens;
  program->pending_tokens += new_tokens;
  active_resize (set, program);
}

void
active_set_done (struct ActiveSet *set,
                 struct ActiveProgram *program,
                 uint32_t new_tokens,
                 uint32_t grown_tokens)
{
  program->pending_tokens -= new_tokens;
  program->held_tokens += grown_tokens;
  active_resize (set, program);
}

static void
active_leave (struct ActiveSet *set, struct ActiveProgram *program)
{
  active_unpause (set, program);
  if (!program->active)
    return;
  program->active = false;
  if (program->small)
    set->small_tokens -= program->footprint_tokens;
  program->small = false;
  set->active_tokens -= program->footprint_tokens;
  set->n_active--;
}

void
active_set_forget (struct ActiveSet *set, struct ActiveProgram *program)
{
  active_leave (set, program);
  policy_table_remove (&set->programs, &program->by_name);
  talloc_free (program);
}

/* The time in which the whole cache could be computed once; 0 when not known. Keeping a place for
 * that long costs as much as computing its prefix again, whatever its size: both grow with it. */
static double
active_even_ms (const struct ActiveSet *set)
{
  if (isinf (set->budget_tokens))
    return 0;
  return set->budget_tokens * set->prefill_us_per_token / US_PER_MS;
}

/* Whether program is so much more urgent that victim's prefix may be lost for it. A profile with
 * a short ageing time makes urgency change quickly; places must not change hands as quickly. */
static bool
active_may_take (const struct ActiveSet *set,
                 const struct ActiveProgram *program,
                 const struct ActiveProgram *victim)
{
  const struct PolicyWeights *weights = &victim->service->weights;
  double cache = (double)weights->cache_weight_permille / PERMILLE;
  double doublings = ACTIVE_HYSTERESIS + ACTIVE_HYSTERESIS_CACHE * cache;
  double least_ms = active_even_ms (set) * ACTIVE_TAKE_EVENS;
  double ageing_ms = weights->ageing_ms > least_ms ? weights->ageing_ms : least_ms;

  return program->urgency + doublings * ageing_ms < victim->urgency;
}

static bool
active_has_room (const struct ActiveSet *set,
                 const struct ActiveProgram *program,
                 enum ActiveClaim claim)
{
  uint64_t taken = set->active_tokens;

  if (claim == ACTIVE_OVERDUE)
    taken -= set->small_tokens;
  return claim == ACTIVE_FORCED || taken == 0
         || (double)(taken + program->footprint_tokens) <= set->budget_tokens;
}

static void
active_enter (struct ActiveSet *set, struct ActiveProgram *program)
{
  program->active = true;
  set->active_tokens += program->footprint_tokens;
  set->n_active++;
}

bool
active_set_admit_small (struct ActiveSet *set, struct ActiveProgram *program)
{
  double most = set->budget_tokens * (1.0 + ACTIVE_SMALL_EXCESS);

  if (program->active)
    return true;
  if (!active_is_small (set, program)
      || (double)(set->active_tokens + program->footprint_tokens) > most)
    return false;
  active_enter (set, program);
  program->small = true;
  set->small_tokens += program->footprint_tokens;
  return true;
}

bool
active_set_admit (struct ActiveSet *set, struct ActiveProgram *program, enum ActiveClaim claim)
{
  if (program->active)
    return true;
  while (!active_has_room (set, program, claim))
    {
      struct HeapNode *node = policy_heap_first (&set->victims);
      struct ActiveProgram *victim;

      if (node == NULL)
        return false;
      victim = HEAP_ENTRY (node, struct ActiveProgram, victim_node);
      if (claim != ACTIVE_OVERDUE && !active_may_take (set, program, victim))
        return false;
      active_set_forget (set, victim);
      set->n_taken++;
    }
  active_enter (set, program);
  return true;
}

/* How long a place is kept over a pause: until that is no longer cheaper than giving it away. */
static double
active_keep_ms (const struct ActiveSet *set, const struct FairService *service)
{
  double even = active_even_ms (set);

  return even > 0 && even < service->weights.pause_keep_ms ? even : service->weights.pause_keep_ms;
}

void
active_set_paused (TALLOC_CTX *ctx,
                   struct ActiveSet *set,
                   struct ActiveProgram *program,
                   int64_t now_ms)
{
  program->ended_ms = now_ms;
  if (program->n_waiting + program->n_running > 0)
    return;
  if (!program->active)
    {
      active_set_forget (set, program);
      return;
    }
  program->victim_node.minor = -program->urgency;
  program->victim_node.sequence = ++set->sequence;
  program->keep_node.minor = (double)now_ms + active_keep_ms (set, program->service);
  program->keep_node.sequence = set->sequence;
  if (!policy_heap_put (ctx, &set->victims, &program->victim_node)
      || !policy_heap_put (ctx, &set->keeps, &program->keep_node))
    active_set_forget (set, program);
}

void
active_set_expire (struct ActiveSet *set, int64_t now_ms)
{
  struct HeapNode *node;

  while ((node = policy_heap_first (&set->keeps)) != NULL && node->minor <= (double)now_ms)
    {
      struct ActiveProgram *program = HEAP_ENTRY (node, struct ActiveProgram, keep_node);

      /* The pause is at least this long: without this sample only short ones would be seen. */
      active_learn_pause (program->service, (double)(now_ms - program->ended_ms));
      active_set_forget (set, program);
      set->n_lapsed++;
    }
}

void
active_set_learn (struct ActiveSet *set, uint32_t expected_tokens, uint32_t cached_tokens)
{
  double active = (double)set->active_tokens;

  if (expected_tokens < ACTIVE_EXPECTED_MIN)
    return;
  if (cached_tokens < expected_tokens / 2)
    {
      /* In small steps and no lower than what is active: a miss may have another cause. */
      double shrunk = isinf (set->budget_tokens) ? 0 : set->budget_tokens * ACTIVE_SHRINK;
      double least = active * ACTIVE_SHRINK;

      set->budget_tokens = shrunk > least ? shrunk : least;
      return;
    }
  if (active < set->budget_tokens * ACTIVE_REPORT_SHARE)
    return;
  set->budget_tokens *= ACTIVE_GROW;
  active_set_report (set, set->reported_tokens);
}

void
active_set_report (struct ActiveSet *set, uint64_t capacity_tokens)
{
  double share = (double)capacity_tokens * ACTIVE_REPORT_SHARE;

  set->reported_tokens = capacity_tokens;
  if (capacity_tokens > 0 && set->budget_tokens > share)
    set->budget_tokens = share;
}
