/* Decides when to retry a failed call: only if it is idempotent or certainly did not run, after a
 * jittered back-off, and within a budget that grows with the number of calls, so that retries
 * cannot multiply an overload. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>

#include <talloc.h>

struct RetryBudget;

struct RetryBudget *
retry_budget_new (TALLOC_CTX *ctx, uint64_t seed);

/* Credits the budget for a call's first attempt: permille thousandths of a retry. */
void
retry_budget_deposit (struct RetryBudget *budget, uint32_t permille);

/* Decides whether call, which failed with outcome after attempt attempts (counted from 1), may be
 * retried. Returns ERROR_NONE and the delay, or the error kind to return to the caller, with fault.
 * time_left_ms: until its deadline; 0: none. */
int32_t
retry_budget_withdraw (struct RetryBudget *budget,
                       const struct Call *call,
                       const struct Outcome *outcome,
                       uint32_t attempt,
                       int64_t time_left_ms,
                       uint32_t *delay_ms,
                       struct Fault *fault);
