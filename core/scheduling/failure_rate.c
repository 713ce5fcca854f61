#include <buckthornhead/scheduling/failure_rate.h>

enum
{
  /* Weight of the last request: 1 of 8. Three failures in a row are a third, two of a hundred are
   * forgotten between each other. */
  WEIGHT = 8,
  /* A server that fails everything is tried again after some ten seconds, when what is left of
   * its rate costs less than a queue; the failures of the sheets last five to seven. */
  HALF_LIFE_MS = 2000,
  HALVINGS_MAX = 20
};

uint32_t
failure_rate_permille (const struct FailureRate *rate, int64_t now_ms)
{
  int64_t age_ms = now_ms - rate->noted_ms;
  uint32_t permille = rate->permille;

  for (int i = 0; i < HALVINGS_MAX && age_ms >= HALF_LIFE_MS; i++)
    {
      permille /= 2;
      age_ms -= HALF_LIFE_MS;
    }
  if (age_ms >= HALF_LIFE_MS)
    return 0;
  /* Straight between two halvings. */
  return permille - (uint32_t)(permille * (age_ms > 0 ? age_ms : 0) / (2 * HALF_LIFE_MS));
}

void
failure_rate_note (struct FailureRate *rate, bool failed, int64_t now_ms)
{
  uint32_t permille = failure_rate_permille (rate, now_ms);

  rate->permille = (permille * (WEIGHT - 1) + (failed ? 1000 : 0)) / WEIGHT;
  rate->noted_ms = now_ms;
}
