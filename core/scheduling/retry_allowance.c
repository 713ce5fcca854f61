#include <buckthornhead/scheduling/retry_allowance.h>

enum
{
  EARNED_PERMILLE = 100, /* of one retry a request */
  /* A server that loses all answers for a moment may be made up for at once. */
  HELD_MAX_PERMILLE = 20 * 1000,
  RETRY_PERMILLE = 1000,
  /* Three times what an answer should take: on the sheets' plain services, whose longest work is
   * half their objective, no sound server is that late unless it is six times slower than usual. */
  PATIENCE_OBJECTIVES = 3,
  /* What must be left for the second server, in objectives. */
  REMAINDER_OBJECTIVES = 1
};

void
retry_allowance_earn (struct RetryAllowance *allowance)
{
  allowance->permille += EARNED_PERMILLE;
  if (allowance->permille > HELD_MAX_PERMILLE)
    allowance->permille = HELD_MAX_PERMILLE;
}

bool
retry_allowance_take (struct RetryAllowance *allowance)
{
  if (allowance->permille < RETRY_PERMILLE)
    return false;
  allowance->permille -= RETRY_PERMILLE;
  return true;
}

int64_t
retry_patience_ms (uint32_t objective_ms, int64_t left_ms)
{
  int64_t patience_ms = (int64_t)objective_ms * PATIENCE_OBJECTIVES;

  if (patience_ms + (int64_t)objective_ms * REMAINDER_OBJECTIVES > left_ms)
    return 0;
  return patience_ms;
}
