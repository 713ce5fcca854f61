/* How often a backend server fails what it is sent, lately.
 *
 * Guards against a server that answers quickly with failures while its health check is good: it
 * looks idle, and draws the requests that the others are too busy for. Pure. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct FailureRate
{
  uint32_t permille;
  int64_t noted_ms; /* last */
};

/* A request has ended there. */
void
failure_rate_note (struct FailureRate *rate, bool failed, int64_t now_ms);

/* What is believed now: it fades, so that a server that nobody uses is tried again. */
uint32_t
failure_rate_permille (const struct FailureRate *rate, int64_t now_ms);
