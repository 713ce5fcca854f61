#include "quota_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* A report expires after two missing heartbeats. */
  REPORT_VALID_MS = 2500,
  /* Time for programs that began under a higher limit to end: about the duration of one program. */
  LOWER_LIMIT_GRACE_MS = 1500,
  PROGRAM_SIZE_INITIAL = 11, /* until programs have been observed */
  /* A gateway receives its first report of the fleet within some hundred milliseconds of its start,
   * unless it is the only one. */
  STARTUP_DEFER_MS = 800,
  RETRY_UNDER_WAY_MS = 300,
  RETRY_BEGIN_MS = 1000
};

/* The span over which demand is measured, as a fraction of the window: short, so that a surge is
 * detected long before it has filled the window. */
static const double DEMAND_SPAN_FRACTION = 0.4;
/* The fraction of the burst and the slack that demand may reach before it counts as a surge. */
static const double SURGE_HEADROOM_FRACTION = 0.5;

static int
ledger_free (struct QuotaLedger *ledger)
{
  HASH_CLEAR (hh, ledger->entries);
  return 0;
}

struct QuotaLedger *
quota_ledger_new (TALLOC_CTX *ctx,
                  const struct QuotaRules *rules,
                  const char *instance,
                  int64_t now_ms)
{
  struct QuotaLedger *ledger = talloc_zero (ctx, struct QuotaLedger);

  if (ledger == NULL)
    return NULL;
  ledger->rules = *rules;
  ledger->demand_span_ms = (uint32_t)(rules->window_ms * DEMAND_SPAN_FRACTION);
  ledger->seed = XXH3_64bits (instance, strlen (instance));
  ledger->fleet = (struct QuotaFleet){ .n_known = 1, .n_received = 1 };
  ledger->started_ms = now_ms;
  ledger->program_size = PROGRAM_SIZE_INITIAL;
  talloc_set_destructor (ledger, ledger_free);
  return ledger;
}

struct QuotaEntry *
quota_ledger_find (const struct QuotaLedger *ledger, const char *customer)
{
  struct QuotaEntry *entry = NULL;

  HASH_FIND_STR (ledger->entries, customer, entry);
  return entry;
}

double
quota_phase (const struct QuotaLedger *ledger, const char *customer)
{
  return (double)(XXH3_64bits_withSeed (customer, strlen (customer), ledger->seed) >> 11)
         / (double)(1ULL << 53);
}

double
quota_window_s (const struct QuotaLedger *ledger)
{
  return ledger->rules.window_ms / 1000.0;
}

double
quota_limit (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * quota_window_s (ledger) + entry->burst;
}

static struct QuotaEntry *
ledger_add_entry (struct QuotaLedger *ledger, const char *customer)
{
  struct QuotaEntry *entry = talloc_zero (ledger, struct QuotaEntry);

  if (entry == NULL)
    return NULL;
  snprintf (entry->customer, sizeof entry->customer, "%s", customer);
  entry->credit = quota_phase (ledger, customer);
  entry->program_size_ratio = 1;
  HASH_ADD_STR (ledger->entries, customer, entry);
  return entry;
}

double
quota_uptime_windows (const struct QuotaLedger *ledger, int64_t now_ms)
{
  return fmin ((double)(now_ms - ledger->started_ms) / ledger->rules.window_ms, 1);
}

double
quota_prestart_requests (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * quota_window_s (ledger) * ledger->prestart_fraction;
}

struct CustomerUsage
quota_own_usage (const struct QuotaLedger *ledger, struct QuotaEntry *entry, int64_t now_ms)
{
  uint32_t window_ms = ledger->rules.window_ms;
  struct CustomerUsage usage = {
    .taken = usage_window_total (&entry->taken, window_ms, now_ms),
    .begun = usage_window_total (&entry->begun, window_ms, now_ms),
    .wanted = usage_window_total (&entry->wanted, ledger->demand_span_ms, now_ms),
  };

  memcpy (usage.customer, entry->customer, sizeof usage.customer);
  return usage;
}

double
quota_demand_limit (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * ledger->demand_span_ms / 1000.0
         + SURGE_HEADROOM_FRACTION * (entry->burst + ledger->rules.slack);
}

bool
quota_is_surge (const struct QuotaLedger *ledger,
                const struct QuotaEntry *entry,
                const struct CustomerUsage *usage)
{
  return usage->wanted > quota_demand_limit (ledger, entry);
}

bool
quota_is_uninformed (const struct QuotaLedger *ledger, int64_t now_ms)
{
  return ledger->rules.sharing == QUOTA_BY_REPORTS && ledger->fleet.n_known > 1
         && ledger->last_report_ms > 0 && now_ms - ledger->last_report_ms >= REPORT_VALID_MS;
}

/* Configuration */

static void
entry_configure (struct QuotaLedger *ledger,
                 struct QuotaEntry *entry,
                 const struct Customer *customer,
                 int64_t now_ms)
{
  double before = quota_limit (ledger, entry), now;
  bool was_limited = entry->rate_per_s > 0;

  entry->configured = true;
  entry->rate_per_s = customer->rate_per_s;
  entry->burst = customer->burst;
  now = quota_limit (ledger, entry);
  if (!was_limited || now >= before)
    return;
  entry->previous_limit = before;
  entry->previous_limit_until_ms = now_ms + LOWER_LIMIT_GRACE_MS;
  memset (&entry->taken, 0, sizeof entry->taken);
  memset (&entry->begun, 0, sizeof entry->begun);
}

void
quota_ledger_configure (struct QuotaLedger *ledger,
                        const struct CustomerTable *customers,
                        int64_t now_ms)
{
  size_t n = customers != NULL ? customer_table_count (customers) : 0;
  struct QuotaEntry *entry, *next;

  for (entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    entry->configured = false;
  for (size_t i = 0; i < n; i++)
    {
      const struct Customer *customer = customer_table_at (customers, i);

      entry = quota_ledger_find (ledger, customer->name);
      if (entry == NULL && customer->rate_per_s > 0)
        entry = ledger_add_entry (ledger, customer->name);
      if (entry != NULL)
        entry_configure (ledger, entry, customer, now_ms);
    }
  HASH_ITER (hh, ledger->entries, entry, next)
  {
    if (entry->configured)
      continue;
    HASH_DEL (ledger->entries, entry);
    talloc_free (entry);
  }
}

void
quota_ledger_note_fleet (struct QuotaLedger *ledger, const struct QuotaFleet *fleet)
{
  ledger->fleet = *fleet;
}

struct QuotaStanding *
quota_ledger_standings (struct QuotaLedger *ledger,
                        TALLOC_CTX *ctx,
                        int64_t now_ms,
                        size_t *n_standings)
{
  struct QuotaStanding *standings =
      talloc_zero_array (ctx, struct QuotaStanding, HASH_COUNT (ledger->entries));

  *n_standings = 0;
  for (struct QuotaEntry *entry = ledger->entries; standings != NULL && entry != NULL;
       entry = entry->hh.next)
    {
      struct CustomerUsage own, fleet;
      struct QuotaStanding *standing = &standings[*n_standings];

      if (entry->rate_per_s <= 0)
        continue;
      (*n_standings)++;
      own = quota_own_usage (ledger, entry, now_ms);
      memcpy (standing->customer, entry->customer, sizeof standing->customer);
      standing->rate_per_s = entry->rate_per_s;
      standing->burst = entry->burst;
      standing->taken_here = own.taken;
      standing->refused_here = entry->n_refused;
      standing->begin_permille =
          (uint32_t)(1000
                     * quota_pass_fraction (ledger, entry, &own, QUOTA_REQUEST_BEGIN, now_ms,
                                            &fleet));
      standing->under_way_permille =
          (uint32_t)(1000
                     * quota_pass_fraction (ledger, entry, &own, QUOTA_REQUEST_UNDER_WAY, now_ms,
                                            &fleet));
      standing->taken_by_fleet = fleet.taken;
    }
  return standings;
}

static uint32_t
expected_requests (const struct QuotaLedger *ledger, enum QuotaRequestKind kind)
{
  switch (kind)
    {
    case QUOTA_REQUEST_SINGLE:
      return 1;
    case QUOTA_REQUEST_BEGIN:
      return (uint32_t)lround (quota_ledger_program_size (ledger));
    case QUOTA_REQUEST_UNDER_WAY:
      break;
    }
  return 0;
}

static void
entry_count_taken (struct QuotaLedger *ledger,
                   struct QuotaEntry *entry,
                   enum QuotaRequestKind kind,
                   int64_t now_ms)
{
  usage_window_add (&entry->taken, ledger->rules.window_ms, now_ms, 1);
  usage_window_add (&entry->begun, ledger->rules.window_ms, now_ms,
                    expected_requests (ledger, kind));
  if (kind == QUOTA_REQUEST_SINGLE)
    return;
  usage_window_add (&ledger->program_requests, ledger->rules.window_ms, now_ms, 1);
  if (kind == QUOTA_REQUEST_BEGIN)
    usage_window_add (&ledger->programs_begun, ledger->rules.window_ms, now_ms, 1);
}

static void
entry_count_refused (const struct QuotaLedger *ledger,
                     struct QuotaEntry *entry,
                     enum QuotaRequestKind kind,
                     int64_t now_ms,
                     struct QuotaVerdict *verdict)
{
  verdict->retry_after_ms = kind == QUOTA_REQUEST_UNDER_WAY ? RETRY_UNDER_WAY_MS : RETRY_BEGIN_MS;
  verdict->is_first_rejection =
      entry->last_refused_ms == 0 || now_ms - entry->last_refused_ms > ledger->rules.window_ms;
  entry->last_refused_ms = now_ms;
  entry->n_refused++;
}

/* Treats all requests as single ones if programs under way are not preferred. */
static enum QuotaRequestKind
ledger_request_kind (const struct QuotaLedger *ledger, enum QuotaRequestKind kind)
{
  return ledger->rules.programs_first ? kind : QUOTA_REQUEST_SINGLE;
}

void
quota_count_demand (struct QuotaLedger *ledger,
                    const char *customer,
                    enum QuotaRequestKind kind,
                    int64_t now_ms)
{
  struct QuotaEntry *entry = quota_ledger_find (ledger, customer);

  if (entry != NULL)
    usage_window_add (&entry->wanted, ledger->demand_span_ms, now_ms,
                      expected_requests (ledger, ledger_request_kind (ledger, kind)));
}

bool
quota_must_defer (const struct QuotaLedger *ledger,
                  const char *customer,
                  enum QuotaRequestKind kind,
                  int64_t now_ms)
{
  const struct QuotaEntry *entry = quota_ledger_find (ledger, customer);

  if (ledger->rules.sharing != QUOTA_BY_REPORTS || entry == NULL || entry->rate_per_s <= 0)
    return false;
  if (quota_is_uninformed (ledger, now_ms) && !ledger->fleet.is_cut_off)
    return true;
  return kind != QUOTA_REQUEST_UNDER_WAY && entry->begun.total > 0 && ledger->last_report_ms == 0
         && now_ms - ledger->started_ms < STARTUP_DEFER_MS;
}

struct QuotaVerdict
quota_admit (struct QuotaLedger *ledger,
             const char *customer,
             enum QuotaRequestKind kind,
             int64_t now_ms)
{
  struct QuotaEntry *entry = quota_ledger_find (ledger, customer);
  struct QuotaVerdict verdict = { .admitted = true, .permille = 1000, .report_age_ms = -1 };

  if (entry == NULL || entry->rate_per_s <= 0)
    return verdict;
  kind = ledger_request_kind (ledger, kind);
  if (ledger->last_report_ms > 0)
    verdict.report_age_ms = now_ms - ledger->last_report_ms;
  quota_decide (ledger, entry, kind, now_ms, &verdict);
  if (verdict.admitted)
    entry_count_taken (ledger, entry, kind, now_ms);
  else
    entry_count_refused (ledger, entry, kind, now_ms, &verdict);
  return verdict;
}

void
quota_release (struct QuotaLedger *ledger,
               const char *customer,
               enum QuotaRequestKind kind,
               int64_t taken_ms,
               int64_t now_ms)
{
  struct QuotaEntry *entry = quota_ledger_find (ledger, customer);
  uint32_t expected;

  if (entry == NULL)
    return;
  kind = ledger_request_kind (ledger, kind);
  expected = expected_requests (ledger, kind);
  usage_window_subtract (&entry->taken, ledger->rules.window_ms, taken_ms, now_ms, 1);
  usage_window_subtract (&entry->begun, ledger->rules.window_ms, taken_ms, now_ms, expected);
}
