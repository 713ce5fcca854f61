#include "test_main.h"

#include <buckthornhead/policy.h>

#include <stdio.h>
#include <string.h>

enum
{
  N_SERVERS = 3,
  MANY_SERVERS = 200
};

static const struct PolicyWeights program_rule = {
  .rule = POLICY_PROGRAM, .cache_weight_permille = 300, .ageing_ms = 1000, .share = 1
};

static void
servers_fill (struct PolicyServer *servers, size_t n)
{
  memset (servers, 0, n * sizeof *servers);
  for (size_t i = 0; i < n; i++)
    {
      snprintf (servers[i].name, sizeof servers[i].name, "engine-%zu", i);
      servers[i].usable = true;
      servers[i].limit = 8;
      servers[i].service_ms_per_call = 1000;
      servers[i].prefill_us_per_token = 100;
    }
}

static struct Call
call_of (const char *program, uint32_t prompt_tokens)
{
  struct Call call = { .target_kind = CALL_TARGET_ENGINE, .prompt_tokens = prompt_tokens };

  snprintf (call.key.program, sizeof call.key.program, "%s", program);
  snprintf (call.key.branch, sizeof call.key.branch, "%s", MAIN_BRANCH);
  snprintf (call.target, sizeof call.target, "model");
  return call;
}

static void
learn (struct Placement *placement, const struct Call *call, const char *server, uint32_t context)
{
  struct Outcome outcome = { .charge_tokens = context, .cached_tokens = call->prompt_tokens };

  placement_record_outcome (placement, call, server, &outcome, 0);
}

static int32_t
choose (struct Placement *placement,
        const struct PolicyWeights *weights,
        const struct PolicyServer *servers,
        const struct Call *call,
        int64_t now_ms)
{
  struct Fault fault;

  return placement_choose (placement, weights, servers, N_SERVERS, call, now_ms, &fault);
}

/* A server crashes and is removed from the list. Calls of its programs must not be sent to it for
 * the sake of their cached prefixes: they would hang. */
static void
test_no_rule_chooses_an_unusable_server (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 20000);
  struct Fault fault;

  servers_fill (servers, N_SERVERS);
  learn (placement, &call, "engine-1", 20000);
  servers[0].usable = servers[1].usable = false;
  for (int rule = POLICY_ROUND_ROBIN; rule <= POLICY_PROGRAM; rule++)
    for (int i = 0; i < 10; i++)
      {
        struct PolicyWeights weights = program_rule;

        weights.rule = (enum PolicyRule)rule;
        CU_ASSERT_EQUAL (choose (placement, &weights, servers, &call, i), 2);
      }
  servers[2].usable = false;
  CU_ASSERT_EQUAL (choose (placement, &program_rule, servers, &call, 0), -1);
  CU_ASSERT_EQUAL (placement_choose (placement, &program_rule, servers, 0, &call, 0, &fault), -1);
  CU_ASSERT_EQUAL (fault.error, ERROR_OVERLOADED);
  talloc_free (placement);
}

static void
test_round_robin_takes_turns (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct PolicyWeights weights = { .rule = POLICY_ROUND_ROBIN };
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 100);

  servers_fill (servers, N_SERVERS);
  for (int i = 0; i < 6; i++)
    CU_ASSERT_EQUAL (choose (placement, &weights, servers, &call, 0), i % N_SERVERS);
  talloc_free (placement);
}

static void
test_least_reported_uses_the_report (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct PolicyWeights weights = { .rule = POLICY_LEAST_REPORTED };
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 100);

  servers_fill (servers, N_SERVERS);
  servers[0].reported_running = servers[2].reported_running = 5;
  servers[1].in_flight = 50;
  CU_ASSERT_EQUAL (choose (placement, &weights, servers, &call, 0), 1);
  talloc_free (placement);
}

static void
test_prefix_is_followed_until_the_wait_outweighs_it (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 20000);

  servers_fill (servers, N_SERVERS);
  learn (placement, &call, "engine-2", 20000);
  servers[2].in_flight = 4;
  CU_ASSERT_EQUAL (choose (placement, &program_rule, servers, &call, 0), 2);
  CU_ASSERT_EQUAL (placement_cached_hint (placement, &call, "engine-2"), 20000);
  CU_ASSERT_EQUAL (placement_cached_hint (placement, &call, "engine-0"), 0);
  servers[2].in_flight = 8;
  servers[2].waiting = 200;
  CU_ASSERT_NOT_EQUAL (choose (placement, &program_rule, servers, &call, 0), 2);
  talloc_free (placement);
}

/* Two profiles choose differently in the same situation: a long prefix on a busy server. */
static void
test_cache_weight_decides_how_long_to_follow (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct Placement *placement = placement_new (NULL);
  struct PolicyWeights latency = program_rule, cache = program_rule;
  struct Call call = call_of ("p", 20000);

  latency.cache_weight_permille = 0;
  cache.cache_weight_permille = 1000;
  servers_fill (servers, N_SERVERS);
  learn (placement, &call, "engine-0", 20000);
  servers[0].in_flight = 64; /* 9 s of work; recomputing the prefix takes 2 s */
  CU_ASSERT_NOT_EQUAL (choose (placement, &latency, servers, &call, 0), 0);
  CU_ASSERT_EQUAL (choose (placement, &cache, servers, &call, 0), 0);
  talloc_free (placement);
}

/* After a burst all programs run on one server and are slow: if a home ignores its own choices,
 * every call of one digest period is sent to the server that looked best in that digest. */
static void
test_stale_digests_do_not_herd (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct Placement *placement = placement_new (NULL);
  int counts[N_SERVERS] = { 0 };

  servers_fill (servers, N_SERVERS);
  servers[0].in_flight = servers[2].in_flight = 2; /* these never change */
  for (int i = 0; i < 60; i++)
    {
      char name[16];
      struct Call call;

      snprintf (name, sizeof name, "p%d", i);
      call = call_of (name, 500);
      counts[choose (placement, &program_rule, servers, &call, 1)]++;
    }
  for (int i = 0; i < N_SERVERS; i++)
    CU_ASSERT (counts[i] >= 15 && counts[i] <= 25);
  talloc_free (placement);
}

/* A frozen report shows an idle server for half a minute while its queue grows. */
static void
test_own_counts_take_precedence_over_a_frozen_report (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 500);

  servers_fill (servers, N_SERVERS);
  for (int i = 0; i < N_SERVERS; i++)
    servers[i].reported_running = 8;
  servers[1].reported_running = 0;
  servers[1].in_flight = 8;
  servers[1].waiting = 30;
  for (int i = 0; i < 5; i++)
    CU_ASSERT_NOT_EQUAL (choose (placement, &program_rule, servers, &call, 0), 1);
  talloc_free (placement);
}

static void
test_same_zone_breaks_ties (void)
{
  struct PolicyServer servers[N_SERVERS];
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 500);

  servers_fill (servers, N_SERVERS);
  servers[2].same_zone = true;
  CU_ASSERT_EQUAL (choose (placement, &program_rule, servers, &call, 0), 2);
  servers[2].waiting = 40;
  CU_ASSERT_NOT_EQUAL (choose (placement, &program_rule, servers, &call, 0), 2);
  talloc_free (placement);
}

/* With many servers only a sample is compared; the only usable server must still be found. */
static void
test_the_only_usable_of_many_is_found (void)
{
  static struct PolicyServer servers[MANY_SERVERS];
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 500);
  struct Fault fault;

  servers_fill (servers, MANY_SERVERS);
  for (int i = 0; i < MANY_SERVERS; i++)
    servers[i].usable = i == 137;
  for (int i = 0; i < 50; i++)
    CU_ASSERT_EQUAL (
        placement_choose (placement, &program_rule, servers, MANY_SERVERS, &call, i, &fault), 137);
  talloc_free (placement);
}

static void
test_forgotten_program_has_no_hint (void)
{
  struct Placement *placement = placement_new (NULL);
  struct Call call = call_of ("p", 1000), sub = call_of ("p", 1000);

  snprintf (sub.key.branch, sizeof sub.key.branch, "search");
  learn (placement, &call, "engine-1", 1000);
  learn (placement, &sub, "engine-2", 1000);
  CU_ASSERT_EQUAL (placement_cached_hint (placement, &sub, "engine-2"), 1000);
  placement_forget (placement, "p");
  CU_ASSERT_EQUAL (placement_cached_hint (placement, &call, "engine-1"), 0);
  CU_ASSERT_EQUAL (placement_cached_hint (placement, &sub, "engine-2"), 0);
  talloc_free (placement);
}

const char test_suite_name[] = "placement";
const struct TestCase test_cases[] = {
  { "no rule chooses an unusable server", test_no_rule_chooses_an_unusable_server },
  { "round robin takes turns", test_round_robin_takes_turns },
  { "least reported uses the report", test_least_reported_uses_the_report },
  { "a prefix is followed until the wait outweighs it",
    test_prefix_is_followed_until_the_wait_outweighs_it },
  { "the cache weight decides how long to follow", test_cache_weight_decides_how_long_to_follow },
  { "stale digests do not herd", test_stale_digests_do_not_herd },
  { "own counts take precedence over a frozen report",
    test_own_counts_take_precedence_over_a_frozen_report },
  { "same zone breaks ties", test_same_zone_breaks_ties },
  { "the only usable of many is found", test_the_only_usable_of_many_is_found },
  { "a forgotten program has no hint", test_forgotten_program_has_no_hint },
  { NULL, NULL },
};
