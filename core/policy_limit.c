#include "policy_limit.h"

enum
{
  LIMIT_MAX = 4096,
  /* Fewer tokens than this are too noisy to derive a pace from. */
  LIMIT_PACE_TOKENS_MIN = 8,
  LIMIT_PREFILL_TOKENS_MIN = 256,
  US_PER_MS = 1000
};

static const double LIMIT_MIN = 4;
static const double LIMIT_GAIN = 0.05;
/* Sizes are heavy-tailed and the same at all servers: averaged slowly, so that chance does not make
 * one server look faster than another. */
static const double LIMIT_SIZE_GAIN = 0.005;
static const double LIMIT_PACE_TOLERANCE = 2.5;
static const double LIMIT_PREFILL_TOLERANCE = 20.0;
static const double LIMIT_SERVICE_TOLERANCE = 2.0;
static const double LIMIT_BASELINE_GAIN = 0.002;
static const double LIMIT_BACKOFF = 0.9;
static const double LIMIT_FAILURE_BACKOFF = 0.7;
static const double LIMIT_BEST_RISE = 1.0002;

void
policy_limit_init (struct PolicyLimit *limit, uint32_t initial)
{
  *limit = (struct PolicyLimit){ .limit = initial > LIMIT_MIN ? initial : LIMIT_MIN };
}

uint32_t
policy_limit_now (const struct PolicyLimit *limit)
{
  return (uint32_t)limit->limit;
}

static void
limit_update_average (double *average, double sample, double gain)
{
  *average = *average == 0 ? sample : *average + (sample - *average) * gain;
}

static void
limit_update_best (double *best, double sample)
{
  *best *= LIMIT_BEST_RISE;
  if (*best == 0 || sample < *best)
    *best = sample;
}

static void
limit_learn_paces (struct PolicyLimit *limit, const struct LimitSample *sample)
{
  if (sample->first_ms == 0)
    {
      double ms = (double)(sample->end_ms - sample->sent_ms);

      limit_update_average (&limit->service_ms, ms, LIMIT_GAIN);
      limit_update_average (&limit->baseline_service_ms, ms, LIMIT_BASELINE_GAIN);
      return;
    }
  limit_update_average (&limit->generated_tokens, sample->generated_tokens, LIMIT_SIZE_GAIN);
  limit_update_average (&limit->uncached_tokens, sample->uncached_tokens, LIMIT_SIZE_GAIN);
  if (sample->generated_tokens >= LIMIT_PACE_TOKENS_MIN)
    {
      double pace = (double)(sample->end_ms - sample->first_ms) / (sample->generated_tokens - 1);

      limit_update_average (&limit->pace_ms, pace, LIMIT_GAIN);
      limit_update_best (&limit->best_pace_ms, pace);
    }
  if (sample->uncached_tokens >= LIMIT_PREFILL_TOKENS_MIN)
    {
      double us =
          (double)(sample->first_ms - sample->sent_ms) * US_PER_MS / sample->uncached_tokens;

      limit_update_average (&limit->prefill_us_per_token, us, LIMIT_GAIN);
      limit_update_best (&limit->best_prefill_us, us);
    }
  limit->service_ms = limit->generated_tokens * limit->pace_ms
                      + limit->uncached_tokens * limit->prefill_us_per_token / US_PER_MS;
}

static bool
limit_is_congested (const struct PolicyLimit *limit)
{
  if (limit->pace_ms == 0)
    return limit->service_ms > limit->baseline_service_ms * LIMIT_SERVICE_TOLERANCE;
  return limit->pace_ms > limit->best_pace_ms * LIMIT_PACE_TOLERANCE
         || limit->prefill_us_per_token > limit->best_prefill_us * LIMIT_PREFILL_TOLERANCE;
}

/* At most one decrease per duration of a call: the calls already in flight cannot reflect it
 * yet. */
static void
limit_decrease (struct PolicyLimit *limit, double factor, int64_t now_ms)
{
  if (now_ms < limit->next_decrease_ms)
    return;
  limit->limit = limit->limit * factor > LIMIT_MIN ? limit->limit * factor : LIMIT_MIN;
  limit->next_decrease_ms = now_ms + (int64_t)limit->service_ms;
}

void
policy_limit_learn (struct PolicyLimit *limit, const struct LimitSample *sample)
{
  if (sample->failed)
    {
      limit_decrease (limit, LIMIT_FAILURE_BACKOFF, sample->end_ms);
      return;
    }
  limit_learn_paces (limit, sample);
  if (sample->first_ms == 0 && sample->generated_tokens > 0)
    return;
  if (limit_is_congested (limit))
    limit_decrease (limit, LIMIT_BACKOFF, sample->end_ms);
  else if (sample->in_flight + 1 >= policy_limit_now (limit) && limit->limit < LIMIT_MAX)
    limit->limit += 1.0 / limit->limit;
}
