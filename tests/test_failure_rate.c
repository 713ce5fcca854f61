#include "test_main.h"

#include <buckthornhead/scheduling/failure_rate.h>

static void
test_the_rate_follows_the_results (void)
{
  struct FailureRate rate = { 0 };

  CU_ASSERT_EQUAL (failure_rate_permille (&rate, 0), 0);
  for (int i = 0; i < 40; i++)
    failure_rate_note (&rate, true, 10);
  CU_ASSERT (failure_rate_permille (&rate, 10) > 950);
  for (int i = 0; i < 40; i++)
    failure_rate_note (&rate, i % 2 == 0, 10);
  CU_ASSERT (failure_rate_permille (&rate, 10) > 400);
  CU_ASSERT (failure_rate_permille (&rate, 10) < 600);
  for (int i = 0; i < 40; i++)
    failure_rate_note (&rate, false, 10);
  CU_ASSERT (failure_rate_permille (&rate, 10) < 20);
}

/* A server that failed all requests receives none, so that nothing shows its recovery: its rate
 * must decay by itself. */
static void
test_the_rate_decays_without_requests (void)
{
  struct FailureRate rate = { 0 };
  uint32_t before = 1001;

  for (int i = 0; i < 40; i++)
    failure_rate_note (&rate, true, 1000);
  for (int64_t now_ms = 1000; now_ms <= 61000; now_ms += 250)
    {
      uint32_t permille = failure_rate_permille (&rate, now_ms);

      CU_ASSERT (permille <= before);
      before = permille;
    }
  CU_ASSERT_EQUAL (before, 0);
  CU_ASSERT (failure_rate_permille (&rate, 3000) > 400);
  CU_ASSERT (failure_rate_permille (&rate, 11000) < 60);
}

/* A service that always fails one request in a hundred must not have its servers avoided for that.
 */
static void
test_rare_failures_do_not_add_up (void)
{
  struct FailureRate rate = { 0 };

  for (int i = 0; i < 1000; i++)
    failure_rate_note (&rate, i % 100 == 0, i * 10);
  CU_ASSERT (failure_rate_permille (&rate, 10000) < 10);
}

const char test_suite_name[] = "failure_rate";
const struct TestCase test_cases[] = {
  { "the rate follows the results", test_the_rate_follows_the_results },
  { "the rate decays without requests", test_the_rate_decays_without_requests },
  { "rare failures do not add up", test_rare_failures_do_not_add_up },
  { NULL, NULL },
};
