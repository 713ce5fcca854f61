#include "quota_internal.h"

#include <math.h>

enum
{
  SIZE_PROGRAMS_MIN = 8, /* fewer programs give no reliable mean */
  PROGRAM_SIZE_MAX = 200
};

/* The fraction of the limit from which on usage is reported to all gateways; below it no gateway
 * has to throttle. */
static const double NEAR_LIMIT_FRACTION = 0.7;
/* The fraction of the limit from which on reports are urgent: what others let through until a
 * report arrives exceeds the limit. */
static const double AT_LIMIT_FRACTION = 0.95;
/* Weight of new observations in the number of requests of a program, per second. */
static const double PROGRAM_SIZE_GAIN_PER_S = 0.5;
/* The same for one customer's programs relative to all, and the bounds of that ratio. */
static const double SIZE_RATIO_GAIN_PER_S = 0.2, SIZE_RATIO_MIN = 0.6, SIZE_RATIO_MAX = 1.4;
/* The largest part of all requests that customers in a surge may demand while program sizes are
 * learned. */
static const double SURGE_DEMAND_FRACTION_MAX = 0.1;

static uint32_t
subtract_own (uint32_t sum, uint32_t own)
{
  return sum > own ? sum - own : 0;
}

/* Returns the demand of the reported customers that are in a surge. */
static uint32_t
ledger_surge_demand (const struct QuotaLedger *ledger,
                     const struct CustomerUsage *usages,
                     size_t n_usages)
{
  uint32_t wanted = 0;

  for (size_t i = 0; i < n_usages; i++)
    {
      const struct QuotaEntry *entry = quota_ledger_find (ledger, usages[i].customer);

      if (entry != NULL && quota_is_surge (ledger, entry, &usages[i]))
        wanted += usages[i].wanted;
    }
  return wanted;
}

/* Applies the totals over all customers. The number of requests of a program is not learned during
 * a surge: many programs have begun and not yet sent their later requests, and refused ones never
 * will. */
static void
ledger_apply_totals (struct QuotaLedger *ledger,
                     const struct CustomerUsage *usages,
                     size_t n_usages,
                     double elapsed_s)
{
  const struct CustomerUsage *all = NULL;
  double size;

  for (size_t i = 0; i < n_usages; i++)
    if (usages[i].customer[0] == '\0')
      all = &usages[i];
  ledger->prestart_fraction =
      all != NULL ? fmin (all->wanted / (1000.0 * ledger->fleet.n_received), 1) : 0;
  if (all == NULL || all->begun < SIZE_PROGRAMS_MIN
      || ledger_surge_demand (ledger, usages, n_usages) > SURGE_DEMAND_FRACTION_MAX * all->taken)
    return;
  size = fmin (fmax ((double)all->taken / all->begun, 1), PROGRAM_SIZE_MAX);
  ledger->program_size +=
      fmin (PROGRAM_SIZE_GAIN_PER_S * elapsed_s, 1) * (size - ledger->program_size);
}

/* Compares what a customer near its limit took with what its admitted programs were expected to
 * take. Slow on purpose: when a surge begins the customer has taken only a small part of what it
 * will. */
static void
entry_learn_program_size (struct QuotaEntry *entry,
                          const struct CustomerUsage *fleet,
                          double elapsed_s)
{
  double ratio;

  if (fleet->begun == 0 || fleet->taken == 0)
    return;
  ratio = fmin (fmax ((double)fleet->taken / fleet->begun, SIZE_RATIO_MIN), SIZE_RATIO_MAX);
  entry->program_size_ratio +=
      fmin (SIZE_RATIO_GAIN_PER_S * elapsed_s, 1) * (ratio - entry->program_size_ratio);
}

void
quota_ledger_take_report (struct QuotaLedger *ledger,
                          const struct CustomerUsage *usages,
                          size_t n_usages,
                          int64_t now_ms)
{
  static const struct CustomerUsage none;
  double elapsed_s =
      ledger->last_report_ms > 0 ? (double)(now_ms - ledger->last_report_ms) / 1000 : 0;

  ledger->last_report_ms = now_ms;
  ledger_apply_totals (ledger, usages, n_usages, elapsed_s);
  for (struct QuotaEntry *entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    entry->others = none;
  for (size_t i = 0; i < n_usages; i++)
    {
      struct QuotaEntry *entry = quota_ledger_find (ledger, usages[i].customer);

      if (entry == NULL)
        continue;
      entry->others.taken = subtract_own (usages[i].taken, entry->reported.taken);
      entry->others.begun = subtract_own (usages[i].begun, entry->reported.begun);
      entry->others.wanted = subtract_own (usages[i].wanted, entry->reported.wanted);
      entry_learn_program_size (entry, &usages[i], elapsed_s);
    }
}

struct CustomerUsage *
quota_ledger_report (struct QuotaLedger *ledger, TALLOC_CTX *ctx, int64_t now_ms, size_t *n_usages)
{
  struct CustomerUsage *usages;

  *n_usages = 0;
  if (ledger->rules.sharing != QUOTA_BY_REPORTS || ledger->entries == NULL)
    return NULL;
  usages = talloc_zero_array (ctx, struct CustomerUsage, HASH_COUNT (ledger->entries) + 1);
  if (usages == NULL)
    return NULL;
  usages[0].taken = usage_window_total (&ledger->program_requests, ledger->rules.window_ms, now_ms);
  usages[0].begun = usage_window_total (&ledger->programs_begun, ledger->rules.window_ms, now_ms);
  usages[0].wanted = (uint32_t)(1000 * (1 - quota_uptime_windows (ledger, now_ms)));
  *n_usages = 1;
  for (struct QuotaEntry *entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    {
      entry->reported = quota_own_usage (ledger, entry, now_ms);
      if (entry->rate_per_s > 0 && (entry->reported.taken > 0 || entry->reported.wanted > 0))
        usages[(*n_usages)++] = entry->reported;
    }
  return usages;
}

static bool
is_near_limit (const struct QuotaLedger *ledger,
               const struct QuotaEntry *entry,
               const struct CustomerUsage *fleet)
{
  double limit =
      NEAR_LIMIT_FRACTION * quota_limit (ledger, entry) - quota_prestart_requests (ledger, entry);

  return entry->rate_per_s > 0
         && (fleet->taken > limit || fleet->begun > limit
             || fleet->wanted > NEAR_LIMIT_FRACTION * quota_demand_limit (ledger, entry));
}

enum QuotaUrgency
quota_ledger_urgency (const struct QuotaLedger *ledger,
                      const struct CustomerUsage *usages,
                      size_t n_usages)
{
  enum QuotaUrgency urgency = QUOTA_CALM;

  for (size_t i = 0; i < n_usages; i++)
    {
      const struct QuotaEntry *entry = quota_ledger_find (ledger, usages[i].customer);

      if (entry == NULL)
        continue;
      urgency = QUOTA_NEAR;
      if (quota_is_surge (ledger, entry, &usages[i])
          || usages[i].taken > AT_LIMIT_FRACTION * quota_limit (ledger, entry))
        return QUOTA_SURGE;
    }
  return urgency;
}

size_t
quota_ledger_near_limit (const struct QuotaLedger *ledger,
                         struct CustomerUsage *usages,
                         size_t n_usages)
{
  size_t n = 0;

  for (size_t i = 0; i < n_usages; i++)
    {
      const struct QuotaEntry *entry = quota_ledger_find (ledger, usages[i].customer);

      if (usages[i].customer[0] == '\0'
          || (entry != NULL && is_near_limit (ledger, entry, &usages[i])))
        usages[n++] = usages[i];
    }
  return n;
}

double
quota_ledger_program_size (const struct QuotaLedger *ledger)
{
  return ledger->program_size;
}
