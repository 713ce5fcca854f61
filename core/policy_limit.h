/* Learned limit on one backend server's calls in flight, and its learned paces.
 *
 * Engines admit every call they are sent, and their reports lag; so the limit is learned from the
 * pace of responses: additive increase while the limit is reached, multiplicative decrease when the
 * time between tokens or to the first token grows well beyond the best seen. A plain service has no
 * tokens: there the duration of a call is compared with its long-term mean. A model's response that
 * is not streamed shows neither, and leaves the limit unchanged. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* One call that has ended, as seen by its owner. */
struct LimitSample
{
  int64_t sent_ms, first_ms, end_ms; /* first_ms 0: not streamed */
  uint32_t uncached_tokens;
  uint32_t generated_tokens;
  uint32_t in_flight; /* when it was sent, including this call */
  bool failed;
};

struct PolicyLimit
{
  double limit;
  double service_ms;       /* learned time of one call, from the learned sizes and paces */
  double generated_tokens; /* learned, of one call */
  double uncached_tokens;
  double prefill_us_per_token; /* learned */
  double pace_ms;              /* learned time between tokens */
  double best_pace_ms;         /* minimum seen, rises slowly */
  double best_prefill_us;
  double baseline_service_ms; /* of a plain service, long-term mean */
  int64_t next_decrease_ms;
};

void
policy_limit_init (struct PolicyLimit *limit, uint32_t initial);

void
policy_limit_learn (struct PolicyLimit *limit, const struct LimitSample *sample);

/* Returns the whole number of calls allowed in flight, at least one. */
uint32_t
policy_limit_now (const struct PolicyLimit *limit);
