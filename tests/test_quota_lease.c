/* Customers' limits shared by leases, on virtual time; see quota_sim.h. */
#include "test_main.h"

#include "quota_sim.h"

#include <stdio.h>

enum
{
  N_SURGES = 500,
  WARM_UP_MS = 3000,
  AFTER_MS = 2000
};

static uint64_t random_state;

/* Returns a number from min to max, reproducible for the same seed. */
static uint32_t
draw_between (uint32_t min, uint32_t max)
{
  random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
  return min + (uint32_t)((random_state >> 33) % (max - min + 1));
}

/* Returns the number of customers whose fullest window exceeds the bound, and ends the simulation.
 */
static uint32_t
count_over_bound (const char *title)
{
  uint32_t n_over = 0;

  for (uint32_t c = 0; c < QUOTA_SIM_CUSTOMERS; c++)
    n_over += quota_sim_check (c, title) > 1;
  quota_sim_end ();
  return n_over;
}

/* One customer sends two to eight times its usual load, pauses, and sends it again. */
static uint32_t
run_surge (uint64_t seed, bool with_stop)
{
  static const uint32_t sizes[] = { 3, 8, 20, 66 };
  uint32_t n_gateways, customer;

  random_state = seed;
  quota_sim_set_sharing (QUOTA_BY_LEASES);
  n_gateways = sizes[draw_between (0, 3)];
  customer = draw_between (0, QUOTA_SIM_CUSTOMERS - 1);
  quota_sim_start (n_gateways, seed);
  quota_sim_run (WARM_UP_MS);
  for (uint32_t i = 0, n = draw_between (2, 3); i < n; i++)
    {
      quota_sim_set_load (customer, draw_between (20, 80) / 10.0);
      quota_sim_run (draw_between (500, 2500));
      if (with_stop && i == 0)
        {
          quota_sim_kill (0, n_gateways);
          quota_sim_run (draw_between (300, 900));
          quota_sim_restart (0, n_gateways);
          quota_sim_run (draw_between (500, 1500));
        }
      quota_sim_set_load (customer, 0);
      quota_sim_run (draw_between (300, 2000));
    }
  quota_sim_set_load (customer, 1);
  quota_sim_run (AFTER_MS);
  return count_over_bound (with_stop ? "surges, all gateways stopped" : "surges");
}

static void
expect_no_surge_over_bound (bool with_stop)
{
  uint32_t n_over = 0;

  for (uint64_t seed = 1; seed <= N_SURGES / 2; seed++)
    n_over += run_surge (seed, with_stop);
  printf ("%u customers over the bound in %u surges\n", n_over, N_SURGES / 2);
  CU_ASSERT_EQUAL (n_over, 0);
}

/* Guards against requests that are admitted between two exchanges of usage: the sums are too old
 * when a customer sends several times its limit and pauses in between. */
static void
test_surges_with_pauses (void)
{
  expect_no_surge_over_bound (false);
}

/* Guards against a second burst after a stop of all gateways, which loses their state. */
static void
test_surges_with_a_stop_of_all_gateways (void)
{
  expect_no_surge_over_bound (true);
}

const char test_suite_name[] = "quota_lease";

const struct TestCase test_cases[] = {
  { "surges with pauses", test_surges_with_pauses },
  { "surges with a stop of all gateways", test_surges_with_a_stop_of_all_gateways },
  { NULL, NULL },
};
