#include <buckthornhead/scheduling/address_choice.h>

#include <buckthornhead/partition.h>

enum
{
  OVERLOADED_MS = 50,
  RECOVERED_MS = 15,
  /* Upper bound of one measurement, so that a single pause, such as a suspended process, doesn't
   * dominate the average. */
  SAMPLE_MAX_MS = 400
};

static bool
candidate_is_eligible (const struct AddressCandidate *candidate,
                       bool own_zone_only,
                       bool skip_overloaded)
{
  return (candidate->in_zone || !own_zone_only) && !(candidate->overloaded && skip_overloaded);
}

/* The addresses with the highest scores for a caller, best first. */
struct AddressChoice
{
  const char **addresses;
  uint64_t scores[ADDRESSES_MAX];
  size_t n;
};

static void
choice_insert (struct AddressChoice *choice, const char *address, uint64_t score)
{
  size_t at = choice->n;

  while (at > 0 && score > choice->scores[at - 1])
    at--;
  if (at == ADDRESSES_MAX)
    return;
  if (choice->n < ADDRESSES_MAX)
    choice->n++;
  for (size_t i = choice->n - 1; i > at; i--)
    {
      choice->addresses[i] = choice->addresses[i - 1];
      choice->scores[i] = choice->scores[i - 1];
    }
  choice->addresses[at] = address;
  choice->scores[at] = score;
}

size_t
address_list_select (const struct AddressCandidate *candidates,
                     size_t n,
                     const char *caller,
                     const char *addresses[ADDRESSES_MAX])
{
  struct AddressChoice choice = { .addresses = addresses };
  size_t n_near = 0, n_pool, n_overloaded = 0;
  bool own_zone_only, skip_overloaded;

  for (size_t i = 0; i < n; i++)
    n_near += candidates[i].in_zone;
  own_zone_only = n_near >= ZONE_ADDRESSES_MIN;
  n_pool = own_zone_only ? n_near : n;
  for (size_t i = 0; i < n; i++)
    n_overloaded += candidates[i].overloaded && (candidates[i].in_zone || !own_zone_only);
  skip_overloaded = 2 * n_overloaded <= n_pool && n_pool - n_overloaded >= ZONE_ADDRESSES_MIN;
  for (size_t i = 0; i < n; i++)
    if (candidate_is_eligible (&candidates[i], own_zone_only, skip_overloaded))
      choice_insert (&choice, candidates[i].address,
                     rendezvous_score (caller, candidates[i].address));
  return choice.n;
}

bool
address_list_is_too_short (size_t n_ready, size_t n_known)
{
  return n_ready * 100 < n_known * LIST_MIN_PERCENT;
}

void
loop_lag_record (struct LoopLag *lag, int64_t lag_ms)
{
  if (lag_ms > SAMPLE_MAX_MS)
    lag_ms = SAMPLE_MAX_MS;
  lag->lag_ms = (uint32_t)((3 * (int64_t)lag->lag_ms + lag_ms) / 4);
  lag->overloaded = lag->lag_ms >= (lag->overloaded ? RECOVERED_MS : OVERLOADED_MS);
}
