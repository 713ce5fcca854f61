#include "test_main.h"

#include <policy_sim.h>

/* Runs the policy core against the small engine model of bench/, in simulated time with fixed
 * seeds. The margins are wide: the tests check the order of the rules; docs/POLICY.md has the
 * figures. */

enum
{
  SEED = 3
};

static struct SimResult
run (const char *scenario, enum PolicyRule rule, double load, double minutes)
{
  struct SimOptions options;
  struct SimResult result = { 0 };

  CU_ASSERT_TRUE_FATAL (sim_scenario (&options, scenario));
  options.weights.rule = rule;
  options.load = load;
  options.seed = SEED;
  options.duration_ms = minutes * 60000;
  sim_run (&options, &result);
  return result;
}

static void
test_same_seed_same_run (void)
{
  struct SimResult a = run ("scarce", POLICY_PROGRAM, 0.8, 2);
  struct SimResult b = run ("scarce", POLICY_PROGRAM, 0.8, 2);

  CU_ASSERT_EQUAL (a.n_programs, b.n_programs);
  CU_ASSERT_EQUAL (a.latency_ms.mean, b.latency_ms.mean);
  CU_ASSERT_EQUAL (a.latency_ms.most, b.latency_ms.most);
  CU_ASSERT_EQUAL (a.wasted, b.wasted);
  CU_ASSERT_EQUAL (a.wait_mean_ms, b.wait_mean_ms);
}

/* More programs share the cache than fit. All are slow although the engines are always busy,
 * because they compute the same prefixes again and again. */
static void
test_scarce_cache_does_not_thrash (void)
{
  struct SimResult sticky = run ("scarce", POLICY_STICKY, 0.95, 10);
  struct SimResult fifo = run ("scarce", POLICY_FIFO, 0.95, 10);
  struct SimResult program = run ("scarce", POLICY_PROGRAM, 0.95, 10);

  CU_ASSERT_EQUAL (program.n_done, program.n_programs);
  CU_ASSERT (program.latency_ms.mean < sticky.latency_ms.mean * 0.75);
  CU_ASSERT (program.latency_ms.mean < fifo.latency_ms.mean * 0.75);
  CU_ASSERT (program.latency_ms.p95 < sticky.latency_ms.p95 * 0.85);
  CU_ASSERT (program.latency_ms.p50 <= sticky.latency_ms.p50);
  CU_ASSERT (program.wasted < sticky.wasted * 0.4);
  CU_ASSERT (program.wasted < fifo.wasted * 0.4);
}

static void
test_ample_cache_is_no_worse (void)
{
  struct SimResult sticky = run ("ample", POLICY_STICKY, 0.95, 5);
  struct SimResult program = run ("ample", POLICY_PROGRAM, 0.95, 5);

  CU_ASSERT (program.latency_ms.mean < sticky.latency_ms.mean * 1.05);
  CU_ASSERT (program.latency_ms.p95 < sticky.latency_ms.p95 * 1.1);
}

/* A third more programs arrive than can be served. Goodput drops if work is spent on programs that
 * miss their deadlines anyway. */
static void
test_overload_does_not_collapse (void)
{
  struct SimResult full = run ("scarce-deadlines", POLICY_PROGRAM, 1.0, 10);
  struct SimResult over = run ("scarce-deadlines", POLICY_PROGRAM, 1.3, 10);

  CU_ASSERT (over.goodput_per_s > full.goodput_per_s * 0.95);
  CU_ASSERT (over.short_ms.p95 < full.short_ms.p95 * 1.5);
}

/* An engine crashes during the run and does not restart. An engine that refuses at once appears to
 * have the shortest queue, and its programs would fail one after the other. */
static void
test_a_crashed_server_fails_no_program (void)
{
  struct SimResult crashed = run ("dead", POLICY_PROGRAM, 0.6, 5);

  CU_ASSERT_EQUAL (crashed.n_done, crashed.n_programs);
}

/* One request crashes each engine that runs it. Requests that ran at the same time must
 * complete. */
static void
test_only_the_crashing_request_is_quarantined (void)
{
  struct SimResult poison = run ("poison", POLICY_PROGRAM, 0.6, 5);

  CU_ASSERT_EQUAL ((int)poison.quarantined, 1);
  CU_ASSERT_EQUAL (poison.n_failed, 1);
  CU_ASSERT_EQUAL (poison.n_done, poison.n_programs - 1);
}

/* Reports stay unchanged for half a minute: the owners' own counts replace them. */
static void
test_frozen_reports_change_little (void)
{
  struct SimResult well = run ("scarce", POLICY_PROGRAM, 0.8, 5);
  struct SimResult frozen = run ("frozen", POLICY_PROGRAM, 0.8, 5);

  CU_ASSERT (frozen.latency_ms.mean < well.latency_ms.mean * 1.2);
}

const char test_suite_name[] = "policy_model";
const struct TestCase test_cases[] = {
  { "same seed, same run", test_same_seed_same_run },
  { "a scarce cache does not thrash", test_scarce_cache_does_not_thrash },
  { "an ample cache is no worse", test_ample_cache_is_no_worse },
  { "overload does not collapse", test_overload_does_not_collapse },
  { "a crashed server fails no program", test_a_crashed_server_fails_no_program },
  { "only the crashing request is quarantined", test_only_the_crashing_request_is_quarantined },
  { "frozen reports change little", test_frozen_reports_change_little },
  { NULL, NULL },
};
