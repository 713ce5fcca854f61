#include <buckthornhead/scheduling/retry_allowance.h>

enum
{
  EARNED_PERMILLE = 100, /* credited per request */
  /* Burst of 20 retries: enough when a server loses all its responses for a moment. */
  BALANCE_MAX_PERMILLE = 20 * 1000,
  RETRY_PERMILLE = 1000,
  /* Time to wait for the first server, in latency objectives. The plain services of the deployments
   * take at most half their objective, so a healthy server is that late only when it is six times
   * slower than usual. */
  PATIENCE_OBJECTIVES = 3,
  /* Time that must remain for the second server, in latency objectives. */
  REMAINDER_OBJECTIVES = 1
};

void
retry_allowance_earn (struct RetryAllowance *allowance)
{
  allowance->balance_permille += EARNED_PERMILLE;
  if (allowance->balance_permille > BALANCE_MAX_PERMILLE)
    allowance->balance_permille = BALANCE_MAX_PERMILLE;
}

bool
retry_allowance_take (struct RetryAllowance *allowance)
{
  if (allowance->balance_permille < RETRY_PERMILLE)
    return false;
  allowance->balance_permille -= RETRY_PERMILLE;
  return true;
}

int64_t
retry_response_timeout_ms (uint32_t objective_ms, int64_t left_ms)
{
  int64_t patience_ms = (int64_t)objective_ms * PATIENCE_OBJECTIVES;

  if (patience_ms + (int64_t)objective_ms * REMAINDER_OBJECTIVES > left_ms)
    return 0;
  return patience_ms;
}
