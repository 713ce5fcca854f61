/* Customers' limits while gateways fail, shared by usage reports and by leases; see quota_sim.h. */
#include "test_main.h"

#include "quota_sim.h"

enum
{
  N_SEEDS = 6,
  N_GATEWAYS = 66,
  N_LARGE = 2, /* customers whose limit is large compared with the requests between two reports */
  WARM_UP_MS = 6000,
  HOT_MS = 3000,
  AFTER_MS = 6000
};

/* Rises in steps: the start of a surge is another test's matter. */
static const double hot_loads[] = { 2, 5 };

static const enum QuotaSharing sharings[] = { QUOTA_BY_REPORTS, QUOTA_BY_LEASES };

/* Runs the scenario with each way of sharing and seed. */
static void
run_scenario (void (*scenario) (uint64_t seed))
{
  for (size_t i = 0; i < sizeof sharings / sizeof sharings[0]; i++)
    for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
      {
        quota_sim_set_sharing (sharings[i]);
        scenario (seed);
      }
}

static void
start_with_hot_customers (uint64_t seed)
{
  quota_sim_start (N_GATEWAYS, seed);
  quota_sim_run (WARM_UP_MS);
  for (size_t i = 0; i < sizeof hot_loads / sizeof hot_loads[0]; i++)
    {
      for (uint32_t c = 0; c < N_LARGE; c++)
        quota_sim_set_load (c, hot_loads[i]);
      quota_sim_run (HOT_MS);
    }
}

static void
expect_bound (const char *title)
{
  for (uint32_t c = 0; c < QUOTA_SIM_CUSTOMERS; c++)
    CU_ASSERT (quota_sim_check (c, title) <= 1);
  quota_sim_end ();
}

static void
play_usual_load_is_not_refused (uint64_t seed)
{
  quota_sim_start (N_GATEWAYS, seed);
  quota_sim_run (20000);
  for (uint32_t c = 0; c < QUOTA_SIM_CUSTOMERS; c++)
    CU_ASSERT_EQUAL (quota_sim_failed (c), 0);
  expect_bound ("usual load");
}

static void
test_usual_load_is_not_refused (void)
{
  run_scenario (play_usual_load_is_not_refused);
}

static void
play_usage_of_cut_off_gateways_is_not_spent_again (uint64_t seed)
{
  start_with_hot_customers (seed);
  quota_sim_isolate (0, 20);
  quota_sim_run (5000);
  quota_sim_reconnect ();
  quota_sim_run (AFTER_MS);
  expect_bound ("three tenths cut off");
}

/* Guards against usage of gateways that are cut off, which the others spend again while it is
 * still in the window. */
static void
test_usage_of_cut_off_gateways_is_not_spent_again (void)
{
  run_scenario (play_usage_of_cut_off_gateways_is_not_spent_again);
}

static void
play_usage_of_killed_gateways_is_not_spent_again (uint64_t seed)
{
  start_with_hot_customers (seed);
  quota_sim_kill (0, 33);
  quota_sim_run (1500);
  quota_sim_restart (0, 33);
  quota_sim_run (AFTER_MS);
  expect_bound ("half killed and started again");
}

static void
test_usage_of_killed_gateways_is_not_spent_again (void)
{
  run_scenario (play_usage_of_killed_gateways_is_not_spent_again);
}

static void
play_lost_messages (uint64_t seed)
{
  start_with_hot_customers (seed);
  quota_sim_set_lossy (0, 40, true);
  quota_sim_run (5000);
  quota_sim_set_lossy (0, 40, false);
  quota_sim_run (AFTER_MS);
  expect_bound ("messages of three fifths lost");
}

static void
test_lost_messages (void)
{
  run_scenario (play_lost_messages);
}

static void
play_resumed_gateways_wait_for_a_report (uint64_t seed)
{
  start_with_hot_customers (seed);
  quota_sim_suspend (0, 26);
  quota_sim_run (3000);
  quota_sim_resume (0, 26);
  quota_sim_run (AFTER_MS);
  expect_bound ("two fifths suspended");
}

/* Guards against a gateway that is resumed and admits the requests that waited for it as if no
 * other gateway had let any through: its last report is too old to decide on. */
static void
test_resumed_gateways_wait_for_a_report (void)
{
  run_scenario (play_resumed_gateways_wait_for_a_report);
}

const char test_suite_name[] = "quota_faults";

const struct TestCase test_cases[] = {
  { "usual load is not refused", test_usual_load_is_not_refused },
  { "usage of cut-off gateways is not spent again",
    test_usage_of_cut_off_gateways_is_not_spent_again },
  { "usage of killed gateways is not spent again",
    test_usage_of_killed_gateways_is_not_spent_again },
  { "lost messages", test_lost_messages },
  { "resumed gateways wait for a report", test_resumed_gateways_wait_for_a_report },
  { NULL, NULL },
};
