#include <buckthornhead/retry_budget.h>

enum
{
  RETRY_ATTEMPTS_MAX = 4,
  RETRY_BACKOFF_INITIAL_MS = 50,
  RETRY_BACKOFF_MAX_MS = 5000,
  RETRY_PERMILLE = 1000, /* per retry */
  /* At most this many retries are saved up: enough for the calls in flight of a server that
   * crashes, and so few that an hour of low load does not pay for a retry storm. A new instance may
   * retry a few calls at once. */
  RETRY_SAVED_MAX = 100,
  RETRY_SAVED_INITIAL = 20,
  STATUS_SERVER_ERROR = 500,
  STATUS_TOO_MANY_REQUESTS = 429
};

struct RetryBudget
{
  uint64_t saved_permille;
  uint64_t random;
};

struct RetryBudget *
retry_budget_new (TALLOC_CTX *ctx, uint64_t seed)
{
  struct RetryBudget *budget = talloc_zero (ctx, struct RetryBudget);

  if (budget == NULL)
    return NULL;
  budget->saved_permille = RETRY_SAVED_INITIAL * RETRY_PERMILLE;
  budget->random = seed * 2 + 1;
  return budget;
}

void
retry_budget_deposit (struct RetryBudget *budget, uint32_t permille)
{
  budget->saved_permille += permille;
  if (budget->saved_permille > RETRY_SAVED_MAX * RETRY_PERMILLE)
    budget->saved_permille = RETRY_SAVED_MAX * RETRY_PERMILLE;
}

/* xorshift64*: seeded, so that a run can be repeated. */
static uint64_t
retry_random (struct RetryBudget *budget)
{
  budget->random ^= budget->random >> 12;
  budget->random ^= budget->random << 25;
  budget->random ^= budget->random >> 27;
  return (budget->random * 0x2545F4914F6CDD1DULL) >> 16;
}

/* Returns whether the failure may be transient: the server is unreachable, late or at fault, not
 * the request. */
static bool
retry_may_help (const struct Outcome *outcome)
{
  switch (outcome->error)
    {
    case ERROR_UNREACHABLE:
    case ERROR_TIMEOUT:
    case ERROR_UNKNOWN_EFFECT:
    case ERROR_NOT_OWNER:
    case ERROR_DRAINING:
      return true;
    case ERROR_BACKEND:
      return outcome->status == 0 || outcome->status >= STATUS_SERVER_ERROR
             || outcome->status == STATUS_TOO_MANY_REQUESTS;
    default:
      return false;
    }
}

/* Half of the back-off is fixed and half is random: callers that failed together retry at different
 * times. */
static uint32_t
retry_backoff_ms (struct RetryBudget *budget, uint32_t attempt)
{
  uint32_t ms = RETRY_BACKOFF_INITIAL_MS << (attempt < 8 ? attempt : 8);

  if (ms > RETRY_BACKOFF_MAX_MS)
    ms = RETRY_BACKOFF_MAX_MS;
  return ms / 2 + (uint32_t)(retry_random (budget) % (ms / 2));
}

int32_t
retry_budget_withdraw (struct RetryBudget *budget,
                       const struct Call *call,
                       const struct Outcome *outcome,
                       uint32_t attempt,
                       int64_t time_left_ms,
                       uint32_t *delay_ms,
                       struct Fault *fault)
{
  uint32_t delay;

  *delay_ms = 0;
  if (!call->idempotent && outcome->ran != RAN_NO)
    return fault_set (fault, ERROR_MAY_HAVE_RUN, NULL,
                      "the call may not be repeated and may have run");
  if (!retry_may_help (outcome))
    return fault_set (fault, outcome->error, NULL, "a retry would fail again");
  if (attempt >= RETRY_ATTEMPTS_MAX)
    return fault_set (fault, outcome->error, NULL, "the call failed %u times", attempt);
  delay = retry_backoff_ms (budget, attempt);
  if (time_left_ms > 0 && delay >= time_left_ms)
    return fault_set (fault, ERROR_DEADLINE, NULL,
                      "the deadline leaves no time for another attempt");
  if (budget->saved_permille < RETRY_PERMILLE)
    return fault_set (fault, ERROR_OVERLOADED, NULL,
                      "too many calls are failing to retry all of them");
  budget->saved_permille -= RETRY_PERMILLE;
  *delay_ms = delay;
  return ERROR_NONE;
}
