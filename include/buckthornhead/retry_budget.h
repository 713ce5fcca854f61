/* When and how to send a failed call again: idempotent or certainly not run, after a jittered
 * back-off, within a budget that grows with the calls, so that retries can not multiply an
 * overload. */
#pragma once

#include <buckthornhead/call.h>
#include <buckthornhead/error.h>

#include <talloc.h>

struct RetryBudget;

struct RetryBudget *
retry_budget_new (TALLOC_CTX *ctx, uint64_t seed);

/* A call goes out for the first time: earns permille thousandths of a retry. */
void
retry_budget_earn (struct RetryBudget *budget, uint32_t permille);

/* May call, which failed with outcome after attempt tries (from 1), be sent again? ERROR_NONE and
 * when; else the kind for its caller, with fault. time_left_ms: to its deadline, 0 for none. */
int32_t
retry_budget_take (struct RetryBudget *budget,
                   const struct Call *call,
                   const struct Outcome *outcome,
                   uint32_t attempt,
                   int64_t time_left_ms,
                   uint32_t *delay_ms,
                   struct Fault *fault);
