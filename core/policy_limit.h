/* Learned number of calls that one backend server may have in flight, and its learned paces.
 *
 * Engines admit all they get, and their reports lag; so the limit is learned from the answers'
 * own pace: additive increase while it binds, multiplicative decrease when the time between tokens
 * or to the first token grows well beyond the best seen. A plain service has no tokens: there the
 * time of a call is compared with what has been usual. A model's answer that is not streamed shows
 * neither, and leaves the limit as it is. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* One call that has ended, as its owner saw it. */
struct LimitSample
{
  int64_t sent_ms, first_ms, end_ms; /* first_ms 0: not streamed */
  uint32_t uncached_tokens;
  uint32_t generated_tokens;
  uint32_t in_flight; /* when it was sent, itself included */
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
  double best_pace_ms;         /* least seen, forgotten slowly */
  double best_prefill_us;
  double usual_service_ms; /* of a plain service, over a long time */
  int64_t next_decrease_ms;
};

void
policy_limit_init (struct PolicyLimit *limit, uint32_t initial);

void
policy_limit_learn (struct PolicyLimit *limit, const struct LimitSample *sample);

/* Whole calls allowed in flight, at least one. */
uint32_t
policy_limit_now (const struct PolicyLimit *limit);
