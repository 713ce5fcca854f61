/* Recent failure rate of a backend server.
 *
 * Guards against a server that fails requests quickly while its health check passes: it appears
 * idle, and attracts the requests that busy servers can't take. Does no I/O. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct FailureRate
{
  uint32_t permille;
  int64_t updated_ms;
};

/* Records the result of a request. */
void
failure_rate_note (struct FailureRate *rate, bool failed, int64_t now_ms);

/* Returns the rate as of now. It decays without requests, so that a server that is avoided for its
 * failures is tried again. */
uint32_t
failure_rate_permille (const struct FailureRate *rate, int64_t now_ms);
