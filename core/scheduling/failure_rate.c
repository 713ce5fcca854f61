#include <buckthornhead/scheduling/failure_rate.h>

enum
{
  /* The moving average gives the latest request a weight of 1/8: three failures in a row yield a
   * rate of a third, while two in a hundred requests don't add up. */
  AVERAGE_DIVISOR = 8,
  /* A server that fails all requests is tried again after about 10 s, when the remaining rate costs
   * less than queueing elsewhere. Server failures in the deployments last 5 to 7 s. */
  HALF_LIFE_MS = 2000,
  HALVINGS_MAX = 20
};

uint32_t
failure_rate_permille (const struct FailureRate *rate, int64_t now_ms)
{
  int64_t age_ms = now_ms - rate->updated_ms;
  uint32_t permille = rate->permille;

  for (int i = 0; i < HALVINGS_MAX && age_ms >= HALF_LIFE_MS; i++)
    {
      permille /= 2;
      age_ms -= HALF_LIFE_MS;
    }
  if (age_ms >= HALF_LIFE_MS)
    return 0;
  /* Interpolates linearly within a half-life. */
  return permille - (uint32_t)(permille * (age_ms > 0 ? age_ms : 0) / (2 * HALF_LIFE_MS));
}

void
failure_rate_note (struct FailureRate *rate, bool failed, int64_t now_ms)
{
  uint32_t permille = failure_rate_permille (rate, now_ms);

  rate->permille = (permille * (AVERAGE_DIVISOR - 1) + (failed ? 1000 : 0)) / AVERAGE_DIVISOR;
  rate->updated_ms = now_ms;
}
