#include "test_main.h"

#include <buckthornhead/scheduling/retry_allowance.h>

/* A service is down and every request to it is lost: second attempts stay a tenth of the load. */
static void
test_retries_are_a_share_of_the_requests (void)
{
  struct RetryAllowance allowance = { 0 };
  uint32_t n_taken = 0;

  for (int i = 0; i < 1000; i++)
    {
      retry_allowance_earn (&allowance);
      n_taken += retry_allowance_take (&allowance);
    }
  CU_ASSERT_EQUAL (n_taken, 100);
}

/* After a calm time a few losses at once are all made up for, and no more than a few. */
static void
test_a_calm_time_saves_up_some (void)
{
  struct RetryAllowance allowance = { 0 };
  uint32_t n_taken = 0;

  for (int i = 0; i < 100000; i++)
    retry_allowance_earn (&allowance);
  while (retry_allowance_take (&allowance))
    n_taken++;
  CU_ASSERT_EQUAL (n_taken, 20);
}

static void
test_a_second_server_needs_time_too (void)
{
  CU_ASSERT_EQUAL (retry_patience_ms (80, 1200), 240);
  CU_ASSERT_EQUAL (retry_patience_ms (80, 320), 240);
  CU_ASSERT_EQUAL (retry_patience_ms (80, 319), 0);
  CU_ASSERT_EQUAL (retry_patience_ms (1000, 1200), 0);
}

const char test_suite_name[] = "retry_allowance";
const struct TestCase test_cases[] = {
  { "retries are a share of the requests", test_retries_are_a_share_of_the_requests },
  { "a calm time saves up some", test_a_calm_time_saves_up_some },
  { "a second server needs time, too", test_a_second_server_needs_time_too },
  { NULL, NULL },
};
