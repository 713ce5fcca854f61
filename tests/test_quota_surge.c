/* Customers' limits while demand rises suddenly; see quota_sim.h. */
#include "test_main.h"

#include "quota_sim.h"

enum
{
  N_SEEDS = 20,
  N_GATEWAYS = 66,
  WARM_UP_MS = 6000,
  HOT_MS = 14000
};

/* Guards against requests that all gateways let through between two reports and that together
 * exceed the limit. */
static void
test_surge (uint32_t customer, double load)
{
  for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
    {
      quota_sim_start (N_GATEWAYS, seed);
      quota_sim_run (WARM_UP_MS);
      quota_sim_set_load (customer, load);
      quota_sim_run (HOT_MS);
      CU_ASSERT (quota_sim_check (customer, "surge") <= 1);
      quota_sim_end ();
    }
}

static void
test_surge_of_a_large_customer (void)
{
  test_surge (0, 5);
}

static void
test_surge_of_a_middle_customer (void)
{
  test_surge (1, 5);
}

static void
test_surge_of_a_small_customer (void)
{
  test_surge (2, 5);
}

static void
test_surge_of_the_smallest_customer (void)
{
  test_surge (3, 5);
}

const char test_suite_name[] = "quota_surge";

const struct TestCase test_cases[] = {
  { "a surge of a large customer", test_surge_of_a_large_customer },
  { "a surge of a middle customer", test_surge_of_a_middle_customer },
  { "a surge of a small customer", test_surge_of_a_small_customer },
  { "a surge of the smallest customer", test_surge_of_the_smallest_customer },
  { NULL, NULL },
};
