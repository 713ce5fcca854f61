#include "test_main.h"

#include <buckthornhead/policy.h>

#include <stdio.h>
#include <string.h>

static const struct PolicyWeights fifo_rule = { .rule = POLICY_FIFO, .share = 1 };
static const struct PolicyWeights program_rule = { .rule = POLICY_PROGRAM,
                                                   .cache_weight_permille = 300,
                                                   .ageing_ms = 1000,
                                                   .share = 1,
                                                   .pause_keep_ms = 10000 };

static struct DispatchItem
item_of (uint64_t id, const char *program, const char *service, uint64_t attained)
{
  struct DispatchItem item = {
    .id = id, .prompt_tokens = 1000, .max_tokens = 100, .attained_tokens = attained
  };

  snprintf (item.program, sizeof item.program, "%s", program);
  snprintf (item.service, sizeof item.service, "%s", service);
  return item;
}

static int32_t
push_item (struct DispatchQueue *queue,
           const struct PolicyWeights *weights,
           const struct DispatchItem *item,
           int64_t now_ms)
{
  uint32_t retry_after_ms;
  struct Fault fault;

  return dispatch_queue_push (queue, weights, item, (uint32_t)item->id, now_ms, &retry_after_ms,
                              &fault);
}

static int32_t
push (struct DispatchQueue *queue,
      const struct PolicyWeights *weights,
      uint64_t id,
      const char *program,
      uint64_t attained,
      int64_t now_ms)
{
  struct DispatchItem item = item_of (id, program, "hiring-agents", attained);

  return push_item (queue, weights, &item, now_ms);
}

/* Returns the next item's id, or 0. */
static uint64_t
pop (struct DispatchQueue *queue, int64_t now_ms)
{
  uint64_t id;

  return dispatch_queue_pop (queue, now_ms, &id) ? id : 0;
}

static void
finish (struct DispatchQueue *queue, uint64_t id, uint32_t cached_tokens, int64_t now_ms)
{
  struct Outcome outcome = { .charge_tokens = 1050, .cached_tokens = cached_tokens };

  dispatch_queue_finished (queue, id, &outcome, now_ms);
}

static void
test_fifo_keeps_arrival_order (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 8);

  for (uint64_t id = 1; id <= 5; id++)
    CU_ASSERT_EQUAL (push (queue, &fifo_rule, id, "p", 1000 - id, 0), ERROR_NONE);
  for (uint64_t id = 1; id <= 5; id++)
    CU_ASSERT_EQUAL (pop (queue, 0), id);
  CU_ASSERT_EQUAL (pop (queue, 0), 0);
  talloc_free (queue);
}

static void
test_least_attained_program_goes_first (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 8);

  push (queue, &program_rule, 1, "long", 100000, 0);
  push (queue, &program_rule, 2, "middle", 5000, 0);
  push (queue, &program_rule, 3, "new", 0, 0);
  CU_ASSERT_EQUAL (pop (queue, 0), 3);
  CU_ASSERT_EQUAL (pop (queue, 0), 2);
  CU_ASSERT_EQUAL (pop (queue, 0), 1);
  talloc_free (queue);
}

/* Without ageing a long program starves while new programs keep arriving, because each of them has
 * received fewer tokens. */
static void
test_a_long_program_is_not_starved_by_new_programs (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 4);
  int64_t popped_ms = -1;

  push (queue, &program_rule, 1, "review", 100000, 0);
  for (int64_t now = 0; now < 60000 && popped_ms < 0; now += 100)
    {
      uint64_t id;
      char name[32];

      snprintf (name, sizeof name, "question-%lld", (long long)now);
      push (queue, &program_rule, 2 + (uint64_t)now, name, 0, now);
      id = pop (queue, now);
      if (id == 1)
        popped_ms = now;
      finish (queue, id, 0, now);
      dispatch_queue_program_ended (queue, name);
    }
  /* ageing_ms x log2 (1 + 100000 / 500) is 7.7 s. */
  CU_ASSERT (popped_ms > 0 && popped_ms <= 8000);
  talloc_free (queue);
}

static void
test_calls_in_flight_stay_within_the_limit (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 4);

  for (uint64_t id = 1; id <= 6; id++)
    push (queue, &fifo_rule, id, "p", 0, 0);
  for (int i = 0; i < 4; i++)
    CU_ASSERT_NOT_EQUAL (pop (queue, 0), 0);
  CU_ASSERT_EQUAL (pop (queue, 0), 0);
  finish (queue, 1, 0, 1000);
  CU_ASSERT_NOT_EQUAL (pop (queue, 1000), 0);
  CU_ASSERT_EQUAL (pop (queue, 1000), 0);
  talloc_free (queue);
}

/* Runs calls of a server whose time between tokens is pace_ms, and returns the resulting limit. */
static uint32_t
limit_after (struct DispatchQueue *queue, int64_t *now, int n, int64_t pace_ms)
{
  struct PolicyServer digest;
  static uint64_t id = 1;

  for (int i = 0; i < n; i++)
    {
      uint64_t popped[64];
      int n_popped = 0;

      for (int k = 0; k < 64; k++)
        push (queue, &fifo_rule, ++id, "p", 0, *now);
      while (n_popped < 64 && (popped[n_popped] = pop (queue, *now)) != 0)
        n_popped++;
      for (int k = 0; k < n_popped; k++)
        dispatch_queue_first_token (queue, popped[k], *now + 100);
      *now += 100 + pace_ms * 49;
      for (int k = 0; k < n_popped; k++)
        finish (queue, popped[k], 0, *now);
      for (uint64_t k = id - 63; k <= id; k++)
        dispatch_queue_remove (queue, k);
    }
  dispatch_queue_digest (queue, &digest);
  return digest.limit;
}

/* A server that becomes four times slower must get fewer calls at once. The limit has to follow the
 * pace of its responses. */
static void
test_limit_follows_the_pace_of_responses (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 8);
  int64_t now = 0;
  uint32_t grown = limit_after (queue, &now, 40, 20);
  uint32_t shrunk = limit_after (queue, &now, 40, 80);

  CU_ASSERT (grown > 12);
  CU_ASSERT (shrunk < grown / 2);
  CU_ASSERT (shrunk >= 1);
  talloc_free (queue);
}

/* A tool service that slows down under load returns no tokens, so the limit has to follow the
 * duration of its calls. */
static void
test_limit_follows_the_time_of_a_plain_service (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 8);
  struct Outcome outcome = { .ran = RAN_YES };
  struct PolicyServer digest;
  uint32_t grown = 0;
  int64_t now = 0;
  uint64_t id = 1;

  for (int i = 0; i < 600; i++)
    {
      uint64_t popped[64];
      int n = 0;

      for (int k = 0; k < 64; k++, id++)
        {
          struct DispatchItem item = { .id = id, .program = "p", .service = "field-desk" };

          push_item (queue, &fifo_rule, &item, now);
        }
      while (n < 64 && (popped[n] = pop (queue, now)) != 0)
        n++;
      now += i < 300 ? 100 : 400;
      for (int k = 0; k < n; k++)
        dispatch_queue_finished (queue, popped[k], &outcome, now);
      for (uint64_t k = id - 64; k < id; k++)
        dispatch_queue_remove (queue, k);
      dispatch_queue_digest (queue, &digest);
      if (i == 299)
        grown = digest.limit;
      if (i >= 300 && digest.limit < grown / 2)
        break;
    }
  CU_ASSERT (grown > 12);
  CU_ASSERT (digest.limit < grown / 2);
  talloc_free (queue);
}

static void
test_full_queue_refuses_and_spreads_retries (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 4);
  struct PolicyWeights weights = fifo_rule;
  uint32_t first = 0, differing = 0;

  weights.queue_limit = 3;
  for (uint64_t id = 1; id <= 3; id++)
    CU_ASSERT_EQUAL (push (queue, &weights, id, "p", 0, 0), ERROR_NONE);
  for (uint32_t seed = 0; seed < 20; seed++)
    {
      struct DispatchItem item = item_of (10 + seed, "q", "hiring-agents", 0);
      struct Fault fault;
      uint32_t retry_after_ms;

      CU_ASSERT_EQUAL (
          dispatch_queue_push (queue, &weights, &item, seed, 0, &retry_after_ms, &fault),
          ERROR_OVERLOADED);
      CU_ASSERT (retry_after_ms > 0);
      if (seed == 0)
        first = retry_after_ms;
      differing += retry_after_ms != first;
    }
  CU_ASSERT (differing >= 15);
  talloc_free (queue);
}

/* A call that cannot meet its deadline is refused at once, not when the deadline has passed. */
static void
test_calls_that_cannot_finish_are_refused_at_once (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 4);
  struct DispatchItem item = item_of (9000, "parent", "menu-agents", 0);
  int64_t now = 0;
  uint64_t id = 0;

  limit_after (queue, &now, 5, 20); /* 50 tokens are now estimated to take a second */
  item.deadline_ms = now + 200;
  CU_ASSERT_EQUAL (push_item (queue, &fifo_rule, &item, now), ERROR_DEADLINE);
  item.deadline_ms = now + 5000;
  CU_ASSERT_EQUAL (push_item (queue, &fifo_rule, &item, now), ERROR_NONE);
  CU_ASSERT_FALSE (dispatch_queue_expire (queue, now + 1000, &id));
  CU_ASSERT_TRUE (dispatch_queue_expire (queue, now + 4900, &id));
  CU_ASSERT_EQUAL (id, 9000);
  CU_ASSERT_EQUAL (pop (queue, now + 4900), 0);
  talloc_free (queue);
}

/* A batch job of one service fills the queue with a thousand calls. A call of another service must
 * not wait behind them until it is too late. */
static void
test_a_batch_job_does_not_starve_another_service (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 4);
  struct DispatchItem question = item_of (5000, "parent", "kitchen-api", 0);
  bool popped = false;

  for (uint64_t id = 1; id <= 1000; id++)
    {
      char name[32];

      snprintf (name, sizeof name, "label-%d", (int)id);
      push (queue, &program_rule, id, name, 0, 0);
    }
  for (int i = 0; i < 200; i++)
    finish (queue, pop (queue, i), 0, i);
  push_item (queue, &program_rule, &question, 200);
  for (int i = 0; i < 30 && !popped; i++)
    {
      uint64_t id = pop (queue, 200 + i);

      popped = id == 5000;
      finish (queue, id, 0, 200 + i);
    }
  CU_ASSERT_TRUE (popped);
  talloc_free (queue);
}

/* When more programs share an engine than its cache holds, each finds its prefix evicted by the
 * others and computes it again. */
static void
test_few_programs_share_a_scarce_cache (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);
  struct DispatchActive active;
  uint64_t first, second;

  dispatch_queue_report_cache (queue, 2500);
  push (queue, &program_rule, 1, "a", 0, 0);
  push (queue, &program_rule, 2, "b", 0, 1);
  push (queue, &program_rule, 3, "c", 0, 2);
  first = pop (queue, 10);
  second = pop (queue, 10);
  CU_ASSERT (first == 1 && second == 2);
  CU_ASSERT_EQUAL (pop (queue, 10), 0);
  dispatch_queue_active (queue, &active);
  CU_ASSERT_EQUAL (active.n_programs, 2);
  finish (queue, 1, 0, 1000);
  dispatch_queue_program_ended (queue, "a");
  CU_ASSERT_EQUAL (pop (queue, 1000), 3);
  talloc_free (queue);
}

/* A program that pauses for a tool call must stay admitted for a while: otherwise its next turn
 * computes the whole prefix again. */
static void
test_a_paused_program_stays_admitted_for_a_while (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);

  dispatch_queue_report_cache (queue, 1500);
  push (queue, &program_rule, 1, "paused", 0, 0);
  CU_ASSERT_EQUAL (pop (queue, 0), 1);
  finish (queue, 1, 0, 100);
  push (queue, &program_rule, 2, "other", 0, 110);
  push (queue, &program_rule, 3, "paused", 900, 600);
  CU_ASSERT_EQUAL (pop (queue, 600), 3);
  finish (queue, 3, 1000, 700);
  CU_ASSERT_EQUAL (pop (queue, 700 + 60000), 2);
  talloc_free (queue);
}

/* The server reports a much larger cache than it has. Evicted prefixes must correct the budget. */
static void
test_budget_is_learned_against_a_wrong_report (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);
  struct DispatchActive active;
  uint64_t id = 0;

  dispatch_queue_report_cache (queue, 100000000);
  for (int turn = 0; turn < 50; turn++)
    for (int p = 0; p < 8; p++)
      {
        char name[16];
        struct DispatchItem item;

        snprintf (name, sizeof name, "p%d", p);
        item = item_of (++id, name, "hiring-agents", (uint64_t)turn * 50);
        item.cached_tokens_hint = turn > 0 ? 1000 : 0;
        push_item (queue, &program_rule, &item, turn * 100 + p);
        finish (queue, pop (queue, turn * 100 + p), 0, turn * 100 + p);
      }
  dispatch_queue_active (queue, &active);
  CU_ASSERT_EQUAL (active.n_programs, 8);
  CU_ASSERT (active.budget_tokens < active.active_tokens);
  talloc_free (queue);
}

/* A short call that is sent behind several long prompts waits for seconds in the engine, which
 * computes prompts in order of arrival. */
static void
test_long_prompts_wait_here_and_not_in_the_engine (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);
  struct DispatchItem first = item_of (2, "a", "menu-agents", 0);
  struct DispatchItem second = item_of (3, "b", "menu-agents", 0);

  first.prompt_tokens = second.prompt_tokens = 9000;
  push (queue, &program_rule, 1, "p", 0, 0);
  CU_ASSERT_EQUAL (pop (queue, 0), 1);
  dispatch_queue_first_token (queue, 1, 100); /* sets the estimated time per prompt token */
  finish (queue, 1, 0, 1000);
  push_item (queue, &program_rule, &first, 1000);
  push_item (queue, &program_rule, &second, 1001);
  CU_ASSERT_EQUAL (pop (queue, 1001), 2);
  CU_ASSERT_EQUAL (pop (queue, 1001), 0);
  push (queue, &program_rule, 4, "question", 0, 1100);
  dispatch_queue_first_token (queue, 2, 1900);
  CU_ASSERT_EQUAL (pop (queue, 1900), 4);
  /* A server that never shows a first token must not block the queue forever. */
  CU_ASSERT_EQUAL (pop (queue, 60000), 3);
  talloc_free (queue);
}

/* One request crashes an engine. If the requests that ran at the same time are retried together
 * with it, they crash the next engine together and all are quarantined. */
static void
test_suspects_run_one_at_a_time (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);

  for (uint64_t id = 1; id <= 3; id++)
    {
      struct DispatchItem item = item_of (id, "p", "hiring-agents", 0);

      item.suspect = true;
      push_item (queue, &program_rule, &item, 0);
    }
  push (queue, &program_rule, 9, "q", 0, 0);
  CU_ASSERT_EQUAL (pop (queue, 0), 1);
  CU_ASSERT_EQUAL (pop (queue, 0), 9);
  CU_ASSERT_EQUAL (pop (queue, 0), 0);
  CU_ASSERT_TRUE (dispatch_queue_remove (queue, 2));
  finish (queue, 1, 0, 1000);
  CU_ASSERT_EQUAL (pop (queue, 1000), 3);
  talloc_free (queue);
}

/* With a short ageing time every new program soon becomes much more urgent than a paused one. If it
 * evicted that one, the paused program's next turn would compute 18,000 tokens again. */
static void
test_short_ageing_does_not_evict_paused_programs (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);
  struct DispatchItem review = item_of (2, "review", "hiring-agents", 1000000);
  struct DispatchItem new_program = item_of (4, "newcomer", "hiring-agents", 0);
  struct DispatchItem small = item_of (3, "small", "hiring-agents", 0);
  struct Outcome completed = { .charge_tokens = 18050 };

  dispatch_queue_report_cache (queue, 20000);
  push (queue, &program_rule, 1, "p", 0, 0);
  CU_ASSERT_EQUAL (pop (queue, 0), 1);
  dispatch_queue_first_token (queue, 1,
                              100); /* 0.1 ms per token: computing the whole cache takes 1.9 s */
  finish (queue, 1, 0, 200);
  dispatch_queue_program_ended (queue, "p");
  review.prompt_tokens = 18000;
  push_item (queue, &program_rule, &review, 1000);
  CU_ASSERT_EQUAL (pop (queue, 1000), 2);
  dispatch_queue_first_token (queue, 2, 2800);
  dispatch_queue_finished (queue, 2, &completed, 3000);
  review.id = 5;
  review.cached_tokens_hint = 18000;
  /* A small call keeps the server busy while a large new program waits. */
  small.prompt_tokens = 300;
  push_item (queue, &program_rule, &small, 3000);
  new_program.prompt_tokens = 2000;
  push_item (queue, &program_rule, &new_program, 3000);
  CU_ASSERT_EQUAL (pop (queue, 3000), 3);
  dispatch_queue_first_token (queue, 3, 3050);
  CU_ASSERT_EQUAL (pop (queue, 3100), 0);
  push_item (queue, &program_rule, &review, 4000);
  CU_ASSERT_EQUAL (pop (queue, 4000), 5);
  talloc_free (queue);
}

/* A program whose prefix fills most of the cache waits for minutes, because small and new programs
 * are admitted all the time and there is never enough room for it at once. */
static void
test_a_large_program_is_admitted_in_time (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 16);
  struct DispatchItem review = item_of (1, "review", "hiring-agents", 100000);
  int64_t popped_ms = -1;

  review.prompt_tokens = 9000;
  dispatch_queue_report_cache (queue, 10000);
  for (int64_t now = 0; now < 60000 && popped_ms < 0; now += 100)
    {
      uint64_t new_id = 2 + (uint64_t)now, id;
      char name[32];

      if (now == 500)
        push_item (queue, &program_rule, &review, now);
      snprintf (name, sizeof name, "new-%d", (int)now);
      push (queue, &program_rule, new_id, name, 0, now);
      id = pop (queue, now);
      if (id == 1)
        popped_ms = now;
      finish (queue, id, 0, now); /* and starts a pause */
    }
  /* Overdue after two ageing times, then admitted at the latest as every fourth program. */
  CU_ASSERT (popped_ms > 0 && popped_ms <= 4000);
  talloc_free (queue);
}

static void
test_a_removed_item_is_never_popped (void)
{
  struct DispatchQueue *queue = dispatch_queue_new (NULL, 8);

  push (queue, &program_rule, 1, "a", 0, 0);
  push (queue, &program_rule, 2, "b", 0, 0);
  CU_ASSERT_TRUE (dispatch_queue_remove (queue, 1));
  CU_ASSERT_FALSE (dispatch_queue_remove (queue, 1));
  CU_ASSERT_EQUAL (push (queue, &program_rule, 2, "b", 0, 0), ERROR_CONFLICT);
  CU_ASSERT_EQUAL (pop (queue, 0), 2);
  CU_ASSERT_FALSE (dispatch_queue_remove (queue, 2));
  CU_ASSERT_EQUAL (pop (queue, 0), 0);
  talloc_free (queue);
}

const char test_suite_name[] = "dispatch_queue";
const struct TestCase test_cases[] = {
  { "FIFO keeps arrival order", test_fifo_keeps_arrival_order },
  { "the least attained program goes first", test_least_attained_program_goes_first },
  { "a long program is not starved by new programs",
    test_a_long_program_is_not_starved_by_new_programs },
  { "calls in flight stay within the limit", test_calls_in_flight_stay_within_the_limit },
  { "the limit follows the pace of responses", test_limit_follows_the_pace_of_responses },
  { "the limit follows the time of a plain service",
    test_limit_follows_the_time_of_a_plain_service },
  { "a full queue refuses and spreads retries", test_full_queue_refuses_and_spreads_retries },
  { "calls that cannot finish are refused at once",
    test_calls_that_cannot_finish_are_refused_at_once },
  { "a batch job does not starve another service",
    test_a_batch_job_does_not_starve_another_service },
  { "few programs share a scarce cache", test_few_programs_share_a_scarce_cache },
  { "a paused program stays admitted for a while",
    test_a_paused_program_stays_admitted_for_a_while },
  { "the budget is learned against a wrong report", test_budget_is_learned_against_a_wrong_report },
  { "long prompts wait here and not in the engine",
    test_long_prompts_wait_here_and_not_in_the_engine },
  { "suspects run one at a time", test_suspects_run_one_at_a_time },
  { "short ageing does not evict paused programs",
    test_short_ageing_does_not_evict_paused_programs },
  { "a large program is admitted in time", test_a_large_program_is_admitted_in_time },
  { "a removed item is never popped", test_a_removed_item_is_never_popped },
  { NULL, NULL },
};
