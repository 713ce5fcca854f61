/* Whether a request that would have to wait for a slot is admitted.
 *
 * If all programs were admitted under overload, all would be late, and work would be spent on
 * programs that fail. A program is admitted or rejected at its first turn, before any work was
 * spent on it; those under way wait as long as their callers do. A rejected request has not run.
 * Does no I/O. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct AdmissionQuery
{
  bool begins_program;   /* the first turn of a program */
  bool has_top_rank;     /* its route has the highest priority */
  uint32_t wait_ms;      /* expected wait at the server */
  uint32_t objective_ms; /* target latency of the request's route; 0: none */
  int64_t left_ms;       /* until its caller stops waiting for the response to begin */
};

bool
admission_rejects (const struct AdmissionQuery *query);
