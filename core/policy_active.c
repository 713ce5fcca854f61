#include "policy_active.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  ACTIVE_PREFIX_TOKENS_MIN = 256, /* smaller prefixes are no evidence about the cache */
  PERMILLE = 1000,
  US_PER_MS = 1000
};

static const double ACTIVE_PAUSE_GAIN = 0.1;
/* Urgency is compared over at least this multiple of the break-even time. */
static const double ACTIVE_EVICT_BREAK_EVENS = 4;
/* Fraction of the reported capacity for which programs are admitted; the rest is slack for
 * growth. */
static const double ACTIVE_REPORT_SHARE = 0.95;
static const double ACTIVE_SMALL_SHARE = 0.025;
/* Small programs are admitted beyond the budget: they evict the ends of a few idle prefixes, and
 * most of them end at once. Holding them back behind a large program saves next to nothing. */
static const double ACTIVE_SMALL_EXCESS = 0.3;
static const double ACTIVE_SHRINK_FACTOR = 0.95;
static const double ACTIVE_GROW_FACTOR = 1.001;
/* How much more urgent, in multiples of the ageing time, a new program must be to evict a paused
 * one; more with a higher cache weight. */
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
  policy_heap_remove (&set->retained, &program->retain_node);
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
active_set_add_call (struct ActiveSet *set,
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
active_set_end_call (struct ActiveSet *set,
                     struct ActiveProgram *program,
                     uint32_t new_tokens,
                     uint32_t grown_tokens)
{
  program->pending_tokens -= new_tokens;
  program->held_tokens += grown_tokens;
  active_resize (set, program);
}

static void
active_drop (struct ActiveSet *set, struct ActiveProgram *program)
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
active_set_remove (struct ActiveSet *set, struct ActiveProgram *program)
{
  active_drop (set, program);
  policy_table_remove (&set->programs, &program->by_name);
  talloc_free (program);
}

/* Returns the time in which the whole cache could be computed once; 0 if unknown. Keeping a program
 * admitted for that long costs as much as computing its prefix again, whatever its size: both costs
 * grow with it. */
static double
active_break_even_ms (const struct ActiveSet *set)
{
  if (isinf (set->budget_tokens))
    return 0;
  return set->budget_tokens * set->prefill_us_per_token / US_PER_MS;
}

/* Returns whether program is so much more urgent that it may evict victim's prefix. A profile with
 * a short ageing time makes urgency change quickly; admissions must not change as quickly. */
static bool
active_may_evict (const struct ActiveSet *set,
                  const struct ActiveProgram *program,
                  const struct ActiveProgram *victim)
{
  const struct PolicyWeights *weights = &victim->service->weights;
  double cache = (double)weights->cache_weight_permille / PERMILLE;
  double doublings = ACTIVE_HYSTERESIS + ACTIVE_HYSTERESIS_CACHE * cache;
  double least_ms = active_break_even_ms (set) * ACTIVE_EVICT_BREAK_EVENS;
  double ageing_ms = weights->ageing_ms > least_ms ? weights->ageing_ms : least_ms;

  return program->urgency + doublings * ageing_ms < victim->urgency;
}

static bool
active_has_room (const struct ActiveSet *set,
                 const struct ActiveProgram *program,
                 enum ActiveClaim claim)
{
  uint64_t occupied = set->active_tokens;

  if (claim == ACTIVE_OVERDUE)
    occupied -= set->small_tokens;
  return claim == ACTIVE_FORCED || occupied == 0
         || (double)(occupied + program->footprint_tokens) <= set->budget_tokens;
}

static void
active_add (struct ActiveSet *set, struct ActiveProgram *program)
{
  program->active = true;
  set->active_tokens += program->footprint_tokens;
  set->n_active++;
}

bool
active_set_admit_small (struct ActiveSet *set, struct ActiveProgram *program)
{
  double budget = set->budget_tokens * (1.0 + ACTIVE_SMALL_EXCESS);

  if (program->active)
    return true;
  if (!active_is_small (set, program)
      || (double)(set->active_tokens + program->footprint_tokens) > budget)
    return false;
  active_add (set, program);
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
      if (claim != ACTIVE_OVERDUE && !active_may_evict (set, program, victim))
        return false;
      active_set_remove (set, victim);
      set->n_evicted++;
    }
  active_add (set, program);
  return true;
}

/* Returns how long a paused program stays admitted: until evicting it would be cheaper. */
static double
active_retain_ms (const struct ActiveSet *set, const struct FairService *service)
{
  double break_even = active_break_even_ms (set);

  return break_even > 0 && break_even < service->weights.pause_keep_ms
             ? break_even
             : service->weights.pause_keep_ms;
}

void
active_set_pause_if_idle (TALLOC_CTX *ctx,
                          struct ActiveSet *set,
                          struct ActiveProgram *program,
                          int64_t now_ms)
{
  program->ended_ms = now_ms;
  if (program->n_waiting + program->n_running > 0)
    return;
  if (!program->active)
    {
      active_set_remove (set, program);
      return;
    }
  program->victim_node.minor = -program->urgency;
  program->victim_node.sequence = ++set->sequence;
  program->retain_node.minor = (double)now_ms + active_retain_ms (set, program->service);
  program->retain_node.sequence = set->sequence;
  if (!policy_heap_put (ctx, &set->victims, &program->victim_node)
      || !policy_heap_put (ctx, &set->retained, &program->retain_node))
    active_set_remove (set, program);
}

void
active_set_expire (struct ActiveSet *set, int64_t now_ms)
{
  struct HeapNode *node;

  while ((node = policy_heap_first (&set->retained)) != NULL && node->minor <= (double)now_ms)
    {
      struct ActiveProgram *program = HEAP_ENTRY (node, struct ActiveProgram, retain_node);

      /* The pause is at least this long: without this sample only short pauses would be learned. */
      active_learn_pause (program->service, (double)(now_ms - program->ended_ms));
      active_set_remove (set, program);
      set->n_expired++;
    }
}

void
active_set_learn_budget (struct ActiveSet *set, uint32_t expected_tokens, uint32_t cached_tokens)
{
  double active = (double)set->active_tokens;

  if (expected_tokens < ACTIVE_PREFIX_TOKENS_MIN)
    return;
  if (cached_tokens < expected_tokens / 2)
    {
      /* Shrinks in small steps and not below the active tokens: a miss may have another cause. */
      double shrunk = isinf (set->budget_tokens) ? 0 : set->budget_tokens * ACTIVE_SHRINK_FACTOR;
      double least = active * ACTIVE_SHRINK_FACTOR;

      set->budget_tokens = shrunk > least ? shrunk : least;
      return;
    }
  if (active < set->budget_tokens * ACTIVE_REPORT_SHARE)
    return;
  set->budget_tokens *= ACTIVE_GROW_FACTOR;
  active_set_set_capacity (set, set->reported_tokens);
}

void
active_set_set_capacity (struct ActiveSet *set, uint64_t capacity_tokens)
{
  double share = (double)capacity_tokens * ACTIVE_REPORT_SHARE;

  set->reported_tokens = capacity_tokens;
  if (capacity_tokens > 0 && set->budget_tokens > share)
    set->budget_tokens = share;
}
