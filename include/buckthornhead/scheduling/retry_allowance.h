/* How many requests may be sent a second time: a share of all requests, and some at once.
 *
 * Retries help while a few answers are lost; when everything is slow they would double the load. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Zeroed it holds nothing yet. */
struct RetryAllowance
{
  uint32_t permille; /* retries in hand, in thousandths */
};

/* A request came: earns a tenth of a retry. */
void
retry_allowance_earn (struct RetryAllowance *allowance);

/* True, and one less in hand, when there is one. */
bool
retry_allowance_take (struct RetryAllowance *allowance);

/* How long the first server of a repeatable request may stay silent before another one is asked,
 * out of left_ms: a lost answer shows as silence alone. 0: it is not worth asking. */
int64_t
retry_patience_ms (uint32_t objective_ms, int64_t left_ms);
