#include "test_main.h"

#include <buckthornhead/retry_budget.h>

static const struct Outcome unreachable = { .error = ERROR_UNREACHABLE, .ran = RAN_NO };
static const struct Outcome lost = { .error = ERROR_UNKNOWN_EFFECT, .ran = RAN_MAYBE };

/* A call whose response is lost may have run. Retrying it runs it twice unless it is idempotent. */
static void
test_a_non_idempotent_call_is_not_repeated (void)
{
  struct RetryBudget *budget = retry_budget_new (NULL, 1);
  struct Call call = { .idempotent = false };
  struct Fault fault;
  uint32_t delay_ms;

  CU_ASSERT_EQUAL (retry_budget_withdraw (budget, &call, &lost, 1, 0, &delay_ms, &fault),
                   ERROR_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (retry_budget_withdraw (budget, &call, &unreachable, 1, 0, &delay_ms, &fault),
                   ERROR_NONE);
  talloc_free (budget);
}

static void
test_a_fault_of_the_request_is_not_repeated (void)
{
  struct RetryBudget *budget = retry_budget_new (NULL, 1);
  struct Call call = { .idempotent = true };
  struct Outcome bad_request = { .error = ERROR_BACKEND, .status = 400 };
  struct Outcome broken = { .error = ERROR_BACKEND, .status = 503 };
  struct Fault fault;
  uint32_t delay_ms;

  CU_ASSERT_EQUAL (retry_budget_withdraw (budget, &call, &bad_request, 1, 0, &delay_ms, &fault),
                   ERROR_BACKEND);
  CU_ASSERT_EQUAL (retry_budget_withdraw (budget, &call, &broken, 1, 0, &delay_ms, &fault),
                   ERROR_NONE);
  CU_ASSERT_EQUAL (retry_budget_withdraw (budget, &call, &broken, 4, 0, &delay_ms, &fault),
                   ERROR_BACKEND);
  talloc_free (budget);
}

/* If every failed call is retried at once, a short stall becomes a long outage: the servers get
 * several times their load, and more calls fail. */
static void
test_retries_cannot_multiply_an_overload (void)
{
  struct RetryBudget *budget = retry_budget_new (NULL, 1);
  struct Call call = { .idempotent = true };
  struct Fault fault;
  uint32_t delay_ms, granted = 0;

  for (int i = 0; i < 10000; i++)
    {
      retry_budget_deposit (budget, 100);
      granted +=
          retry_budget_withdraw (budget, &call, &lost, 1, 0, &delay_ms, &fault) == ERROR_NONE;
      granted +=
          retry_budget_withdraw (budget, &call, &lost, 2, 0, &delay_ms, &fault) == ERROR_NONE;
    }
  CU_ASSERT (granted >= 1000 && granted <= 1020);
  talloc_free (budget);
}

static void
test_back_off_grows_is_jittered_and_seeded (void)
{
  struct RetryBudget *a = retry_budget_new (NULL, 7), *b = retry_budget_new (NULL, 7);
  struct Call call = { .idempotent = true };
  struct Fault fault;
  uint32_t first, second, differing = 0, last = 0;

  for (int i = 0; i < 5; i++)
    {
      retry_budget_deposit (a, 1000);
      retry_budget_deposit (b, 1000);
      retry_budget_withdraw (a, &call, &lost, 1, 0, &first, &fault);
      retry_budget_withdraw (b, &call, &lost, 1, 0, &second, &fault);
      CU_ASSERT_EQUAL (first, second);
      CU_ASSERT (first >= 50 && first < 100);
      differing += first != last;
      last = first;
    }
  CU_ASSERT (differing >= 4);
  retry_budget_withdraw (a, &call, &lost, 3, 0, &first, &fault);
  CU_ASSERT (first >= 200 && first < 400);
  CU_ASSERT_EQUAL (retry_budget_withdraw (a, &call, &lost, 3, 100, &first, &fault), ERROR_DEADLINE);
  talloc_free (a);
  talloc_free (b);
}

const char test_suite_name[] = "retry_budget";
const struct TestCase test_cases[] = {
  { "a non-idempotent call is not repeated", test_a_non_idempotent_call_is_not_repeated },
  { "a fault of the request is not repeated", test_a_fault_of_the_request_is_not_repeated },
  { "retries cannot multiply an overload", test_retries_cannot_multiply_an_overload },
  { "the back-off grows, is jittered and seeded", test_back_off_grows_is_jittered_and_seeded },
  { NULL, NULL },
};
