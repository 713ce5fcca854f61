#include <buckthornhead/scheduling/address_choice.h>

#include <buckthornhead/partition.h>

enum
{
  STRAINED_MS = 50,
  RELIEVED_MS = 15,
  /* One pause, as after a freeze, counts no more than this. */
  LAG_MAX_MS = 400
};

static bool
candidate_is_chosen (const struct AddressCandidate *candidate, bool near_only, bool spare_strained)
{
  return (candidate->near || !near_only) && !(candidate->strained && spare_strained);
}

/* The addresses with the highest scores for one caller. */
struct AddressChoice
{
  const char **addresses;
  uint64_t scores[ADDRESSES_MAX];
  size_t n;
};

static void
choice_offer (struct AddressChoice *choice, const char *address, uint64_t score)
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
address_choose (const struct AddressCandidate *candidates,
                size_t n,
                const char *caller,
                const char *addresses[ADDRESSES_MAX])
{
  struct AddressChoice choice = { .addresses = addresses };
  size_t n_near = 0, n_pool, n_strained = 0;
  bool near_only, spare_strained;

  for (size_t i = 0; i < n; i++)
    n_near += candidates[i].near;
  near_only = n_near >= ZONE_ADDRESSES_MIN;
  n_pool = near_only ? n_near : n;
  for (size_t i = 0; i < n; i++)
    n_strained += candidates[i].strained && (candidates[i].near || !near_only);
  spare_strained = 2 * n_strained <= n_pool && n_pool - n_strained >= ZONE_ADDRESSES_MIN;
  for (size_t i = 0; i < n; i++)
    if (candidate_is_chosen (&candidates[i], near_only, spare_strained))
      choice_offer (&choice, candidates[i].address,
                    rendezvous_score (caller, candidates[i].address));
  return choice.n;
}

bool
address_list_is_thin (size_t n_ready, size_t n_known)
{
  return n_ready * 100 < n_known * THIN_PERCENT;
}

void
loop_lag_note (struct LoopLag *lag, int64_t lag_ms)
{
  if (lag_ms > LAG_MAX_MS)
    lag_ms = LAG_MAX_MS;
  lag->lag_ms = (uint32_t)((3 * (int64_t)lag->lag_ms + lag_ms) / 4);
  lag->strained = lag->lag_ms >= (lag->strained ? RELIEVED_MS : STRAINED_MS);
}
