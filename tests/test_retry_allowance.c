#include "test_main.h"

#include <buckthornhead/scheduling/retry_allowance.h>

/* While a service is down and loses every request, retries stay at a tenth of the requests. */
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

/* The budget accumulated without failures allows a burst of 20 retries, and no more. */
static void
test_the_budget_allows_a_limited_burst (void)
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
test_no_retry_without_time_for_a_second_server (void)
{
  CU_ASSERT_EQUAL (retry_response_timeout_ms (80, 1200), 240);
  CU_ASSERT_EQUAL (retry_response_timeout_ms (80, 320), 240);
  CU_ASSERT_EQUAL (retry_response_timeout_ms (80, 319), 0);
  CU_ASSERT_EQUAL (retry_response_timeout_ms (1000, 1200), 0);
}

const char test_suite_name[] = "retry_allowance";
const struct TestCase test_cases[] = {
  { "retries are a share of the requests", test_retries_are_a_share_of_the_requests },
  { "the budget allows a limited burst", test_the_budget_allows_a_limited_burst },
  { "no retry without time for a second server", test_no_retry_without_time_for_a_second_server },
  { NULL, NULL },
};
