#include <buckthornhead/address_choice.h>

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

size_t
address_choose (const struct AddressCandidate *candidates,
                size_t n,
                const char *addresses[ADDRESSES_MAX])
{
  size_t n_near = 0, n_pool, n_strained = 0, n_chosen = 0;
  bool near_only, spare_strained;

  for (size_t i = 0; i < n; i++)
    n_near += candidates[i].near;
  near_only = n_near >= ZONE_ADDRESSES_MIN;
  n_pool = near_only ? n_near : n;
  for (size_t i = 0; i < n; i++)
    n_strained += candidates[i].strained && (candidates[i].near || !near_only);
  spare_strained = 2 * n_strained <= n_pool && n_pool - n_strained >= ZONE_ADDRESSES_MIN;
  for (size_t i = 0; i < n && n_chosen < ADDRESSES_MAX; i++)
    if (candidate_is_chosen (&candidates[i], near_only, spare_strained))
      addresses[n_chosen++] = candidates[i].address;
  return n_chosen;
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
