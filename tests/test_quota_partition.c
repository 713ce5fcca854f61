/* Customers' limits while the gateways are split into two sides; see quota_sim.h. */
#include "test_main.h"

#include "quota_sim.h"

enum
{
  N_SEEDS = 6,
  N_GATEWAYS = 66,
  N_LARGE = 2,
  WARM_UP_MS = 6000,
  SPLIT_MS = 10000,
  AFTER_MS = 5000
};

/* Guards against two sides of a partition that together let through more than the limit. */
static void
test_both_sides_keep_the_limit (void)
{
  static const uint32_t sizes[] = { 20, 33 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
      {
        quota_sim_start (N_GATEWAYS, seed);
        quota_sim_run (WARM_UP_MS);
        quota_sim_split (0, sizes[i]);
        for (uint32_t c = 0; c < N_LARGE; c++)
          quota_sim_set_load (c, 4);
        quota_sim_run (SPLIT_MS);
        quota_sim_reconnect ();
        quota_sim_run (AFTER_MS);
        for (uint32_t c = 0; c < N_LARGE; c++)
          CU_ASSERT (quota_sim_check (c, sizes[i] == 20 ? "20 of 66" : "33 of 66") <= 1);
        quota_sim_end ();
      }
}

const char test_suite_name[] = "quota_partition";

const struct TestCase test_cases[] = {
  { "both sides of a partition keep the limit", test_both_sides_keep_the_limit },
  { NULL, NULL },
};
