#include "quota_internal.h"

#include <math.h>

enum
{
  NEED_PROGRAMS_MIN = 8, /* fewer say nothing of what a program needs */
  NEED_MAX = 200
};

/* From this part of the limit on, use is told to all; below it nobody has to hold back. */
static const double NEAR_LIMIT = 0.7;
/* From this part on each word counts: what others let through until it comes is over the limit. */
static const double AT_LIMIT = 0.95;
/* Of new observations, in what a program is believed to need, each second. */
static const double NEED_NEW_PER_S = 0.5;
/* The same for one customer's programs against all, and how far they may differ. */
static const double NEED_SCALE_NEW_PER_S = 0.2, NEED_SCALE_MIN = 0.6, NEED_SCALE_MAX = 1.4;
/* Of all requests, what customers in a surge may want while that is observed. */
static const double NEED_SURGE_PART = 0.1;

static uint32_t
without (uint32_t sum, uint32_t own)
{
  return sum > own ? sum - own : 0;
}

/* What customers in a surge want, of those that others tell of. */
static uint32_t
ledger_surge (const struct QuotaLedger *ledger, const struct CustomerUse *uses, size_t n_uses)
{
  uint32_t wanted = 0;

  for (size_t i = 0; i < n_uses; i++)
    {
      const struct QuotaEntry *entry = quota_ledger_find (ledger, uses[i].customer);

      if (entry != NULL && quota_is_surge (ledger, entry, &uses[i]))
        wanted += uses[i].wanted;
    }
  return wanted;
}

/* What is told of all customers together. What a program needs is not learned in a surge: many have
 * begun and not yet asked for more, and those that are refused never will. */
static void
ledger_take_all (struct QuotaLedger *ledger,
                 const struct CustomerUse *uses,
                 size_t n_uses,
                 double passed_s)
{
  const struct CustomerUse *all = NULL;
  double need;

  for (size_t i = 0; i < n_uses; i++)
    if (uses[i].customer[0] == '\0')
      all = &uses[i];
  ledger->before_starts_part =
      all != NULL ? fmin (all->wanted / (1000.0 * ledger->fleet.n_received), 1) : 0;
  if (all == NULL || all->begun < NEED_PROGRAMS_MIN
      || ledger_surge (ledger, uses, n_uses) > NEED_SURGE_PART * all->taken)
    return;
  need = fmin (fmax ((double)all->taken / all->begun, 1), NEED_MAX);
  ledger->need += fmin (NEED_NEW_PER_S * passed_s, 1) * (need - ledger->need);
}

/* What a customer near its limit took, against what the programs let in were expected to take.
 * Slowly: when a surge begins it has taken little of what it will. */
static void
entry_learn_need (struct QuotaEntry *entry, const struct CustomerUse *fleet, double passed_s)
{
  double scale;

  if (fleet->begun == 0 || fleet->taken == 0)
    return;
  scale = fmin (fmax ((double)fleet->taken / fleet->begun, NEED_SCALE_MIN), NEED_SCALE_MAX);
  entry->need_scale += fmin (NEED_SCALE_NEW_PER_S * passed_s, 1) * (scale - entry->need_scale);
}

void
quota_ledger_take_report (struct QuotaLedger *ledger,
                          const struct CustomerUse *uses,
                          size_t n_uses,
                          int64_t now_ms)
{
  static const struct CustomerUse none;
  double passed_s = ledger->reported_ms > 0 ? (double)(now_ms - ledger->reported_ms) / 1000 : 0;

  ledger->reported_ms = now_ms;
  ledger_take_all (ledger, uses, n_uses, passed_s);
  for (struct QuotaEntry *entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    entry->others = none;
  for (size_t i = 0; i < n_uses; i++)
    {
      struct QuotaEntry *entry = quota_ledger_find (ledger, uses[i].customer);

      if (entry == NULL)
        continue;
      entry->others.taken = without (uses[i].taken, entry->reported.taken);
      entry->others.begun = without (uses[i].begun, entry->reported.begun);
      entry->others.wanted = without (uses[i].wanted, entry->reported.wanted);
      entry_learn_need (entry, &uses[i], passed_s);
    }
}

struct CustomerUse *
quota_ledger_uses (struct QuotaLedger *ledger, TALLOC_CTX *ctx, int64_t now_ms, size_t *n_uses)
{
  struct CustomerUse *uses;

  *n_uses = 0;
  if (ledger->rules.sharing != QUOTA_BY_COUNTS || ledger->entries == NULL)
    return NULL;
  uses = talloc_zero_array (ctx, struct CustomerUse, HASH_COUNT (ledger->entries) + 1);
  if (uses == NULL)
    return NULL;
  uses[0].taken = use_window_total (&ledger->requests, ledger->rules.window_ms, now_ms);
  uses[0].begun = use_window_total (&ledger->programs, ledger->rules.window_ms, now_ms);
  uses[0].wanted = (uint32_t)(1000 * (1 - quota_age (ledger, now_ms)));
  *n_uses = 1;
  for (struct QuotaEntry *entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    {
      entry->reported = quota_own_use (ledger, entry, now_ms);
      if (entry->rate_per_s > 0 && (entry->reported.taken > 0 || entry->reported.wanted > 0))
        uses[(*n_uses)++] = entry->reported;
    }
  return uses;
}

static bool
is_near_limit (const struct QuotaLedger *ledger,
               const struct QuotaEntry *entry,
               const struct CustomerUse *fleet)
{
  double limit = NEAR_LIMIT * quota_limit (ledger, entry) - quota_before_starts (ledger, entry);

  return entry->rate_per_s > 0
         && (fleet->taken > limit || fleet->begun > limit
             || fleet->wanted > NEAR_LIMIT * quota_may_want (ledger, entry));
}

enum QuotaUrgency
quota_ledger_urgency (const struct QuotaLedger *ledger,
                      const struct CustomerUse *uses,
                      size_t n_uses)
{
  enum QuotaUrgency urgency = QUOTA_CALM;

  for (size_t i = 0; i < n_uses; i++)
    {
      const struct QuotaEntry *entry = quota_ledger_find (ledger, uses[i].customer);

      if (entry == NULL)
        continue;
      urgency = QUOTA_NEAR;
      if (quota_is_surge (ledger, entry, &uses[i])
          || uses[i].taken > AT_LIMIT * quota_limit (ledger, entry))
        return QUOTA_SURGE;
    }
  return urgency;
}

size_t
quota_ledger_near_limit (const struct QuotaLedger *ledger, struct CustomerUse *uses, size_t n_uses)
{
  size_t n = 0;

  for (size_t i = 0; i < n_uses; i++)
    {
      const struct QuotaEntry *entry = quota_ledger_find (ledger, uses[i].customer);

      if (uses[i].customer[0] == '\0' || (entry != NULL && is_near_limit (ledger, entry, &uses[i])))
        uses[n++] = uses[i];
    }
  return n;
}

/* What a program needs. */

double
quota_ledger_need (const struct QuotaLedger *ledger)
{
  return ledger->need;
}
