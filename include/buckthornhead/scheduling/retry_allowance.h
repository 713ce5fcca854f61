/* Retry budget: limits retries to a share of all requests, plus a small burst.
 *
 * Retries help when a few responses are lost; when everything is slow they would double the load.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Zero-initialised, it is empty. */
struct RetryAllowance
{
  uint32_t balance_permille; /* retries available, in thousandths */
};

/* Credits a tenth of a retry for a request that arrived. */
void
retry_allowance_earn (struct RetryAllowance *allowance);

/* Spends one retry; false if none is available. */
bool
retry_allowance_take (struct RetryAllowance *allowance);

/* Returns how long to wait for the first server's response to a repeatable request before sending
 * it to another server, as a lost response shows only as silence. left_ms is the time until the
 * request's deadline; 0 means that too little is left for a second server. */
int64_t
retry_response_timeout_ms (uint32_t objective_ms, int64_t left_ms);
