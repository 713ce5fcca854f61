#include "quota_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* What others told is of no use after two heartbeats are missing. */
  TOLD_LIVE_MS = 2500,
  /* Programs that began under a higher limit may end: about as long as one takes. */
  LOWER_LIMIT_GRACE_MS = 1500,
  NEED_FIRST = 11, /* until programs were observed */
  /* After its start a gateway hears of the fleet within some hundred milliseconds, or is alone. */
  LEARNING_MS = 800,
  RETRY_UNDER_WAY_MS = 300,
  RETRY_BEGIN_MS = 1000
};

/* The span in which demand is measured: a part of the window, so that a surge shows long before it
 * has filled the window. */
static const double WANTED_SPAN = 0.4;
/* Of the burst and the slack, what demand may come to before it counts as a surge. */
static const double SURGE_SPARE = 0.5;

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
  ledger->wanted_ms = (uint32_t)(rules->window_ms * WANTED_SPAN);
  ledger->seed = XXH3_64bits (instance, strlen (instance));
  ledger->fleet = (struct QuotaFleet){ .n_known = 1, .n_received = 1 };
  ledger->started_ms = now_ms;
  ledger->need = NEED_FIRST;
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
  entry->need_scale = 1;
  HASH_ADD_STR (ledger->entries, customer, entry);
  return entry;
}

double
quota_age (const struct QuotaLedger *ledger, int64_t now_ms)
{
  return fmin ((double)(now_ms - ledger->started_ms) / ledger->rules.window_ms, 1);
}

double
quota_before_starts (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * quota_window_s (ledger) * ledger->before_starts_part;
}

struct CustomerUse
quota_own_use (const struct QuotaLedger *ledger, struct QuotaEntry *entry, int64_t now_ms)
{
  uint32_t window_ms = ledger->rules.window_ms;
  struct CustomerUse use = {
    .taken = use_window_total (&entry->taken, window_ms, now_ms),
    .begun = use_window_total (&entry->begun, window_ms, now_ms),
    .wanted = use_window_total (&entry->wanted, ledger->wanted_ms, now_ms),
  };

  memcpy (use.customer, entry->customer, sizeof use.customer);
  return use;
}

double
quota_may_want (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * ledger->wanted_ms / 1000.0
         + SURGE_SPARE * (entry->burst + ledger->rules.slack);
}

bool
quota_is_surge (const struct QuotaLedger *ledger,
                const struct QuotaEntry *entry,
                const struct CustomerUse *use)
{
  return use->wanted > quota_may_want (ledger, entry);
}

/* Configuration. */

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
  entry->old_limit = before;
  entry->old_until_ms = now_ms + LOWER_LIMIT_GRACE_MS;
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
      struct CustomerUse own, fleet;
      struct QuotaStanding *standing = &standings[*n_standings];

      if (entry->rate_per_s <= 0)
        continue;
      (*n_standings)++;
      own = quota_own_use (ledger, entry, now_ms);
      memcpy (standing->customer, entry->customer, sizeof standing->customer);
      standing->rate_per_s = entry->rate_per_s;
      standing->burst = entry->burst;
      standing->taken_here = own.taken;
      standing->refused_here = entry->n_refused;
      standing->begin_permille =
          (uint32_t)(1000 * quota_part (ledger, entry, &own, QUOTA_ASK_BEGIN, now_ms, &fleet));
      standing->under_way_permille =
          (uint32_t)(1000 * quota_part (ledger, entry, &own, QUOTA_ASK_UNDER_WAY, now_ms, &fleet));
      standing->taken_by_fleet = fleet.taken;
    }
  return standings;
}

static uint32_t
ask_need (const struct QuotaLedger *ledger, enum QuotaAsk ask)
{
  switch (ask)
    {
    case QUOTA_ASK_SINGLE:
      return 1;
    case QUOTA_ASK_BEGIN:
      return (uint32_t)lround (quota_ledger_need (ledger));
    case QUOTA_ASK_UNDER_WAY:
      break;
    }
  return 0;
}

static bool
ledger_knows_fleet (const struct QuotaLedger *ledger, int64_t now_ms)
{
  return ledger->reported_ms > 0 && now_ms - ledger->reported_ms < TOLD_LIVE_MS;
}

static void
entry_take (struct QuotaLedger *ledger, struct QuotaEntry *entry, enum QuotaAsk ask, int64_t now_ms)
{
  use_window_add (&entry->taken, ledger->rules.window_ms, now_ms, 1);
  use_window_add (&entry->begun, ledger->rules.window_ms, now_ms, ask_need (ledger, ask));
  if (ask == QUOTA_ASK_SINGLE)
    return;
  use_window_add (&ledger->requests, ledger->rules.window_ms, now_ms, 1);
  if (ask == QUOTA_ASK_BEGIN)
    use_window_add (&ledger->programs, ledger->rules.window_ms, now_ms, 1);
}

static void
entry_refuse (const struct QuotaLedger *ledger,
              struct QuotaEntry *entry,
              enum QuotaAsk ask,
              int64_t now_ms,
              struct QuotaVerdict *verdict)
{
  verdict->retry_after_ms = ask == QUOTA_ASK_UNDER_WAY ? RETRY_UNDER_WAY_MS : RETRY_BEGIN_MS;
  verdict->first = entry->refused_ms == 0 || now_ms - entry->refused_ms > ledger->rules.window_ms;
  entry->refused_ms = now_ms;
  entry->n_refused++;
}

/* Everything is one kind where programs do not go first. */
static enum QuotaAsk
ledger_ask (const struct QuotaLedger *ledger, enum QuotaAsk ask)
{
  return ledger->rules.programs_first ? ask : QUOTA_ASK_SINGLE;
}

void
quota_want (struct QuotaLedger *ledger, const char *customer, enum QuotaAsk ask, int64_t now_ms)
{
  struct QuotaEntry *entry = quota_ledger_find (ledger, customer);

  if (entry != NULL)
    use_window_add (&entry->wanted, ledger->wanted_ms, now_ms,
                    ask_need (ledger, ledger_ask (ledger, ask)));
}

bool
quota_must_wait (const struct QuotaLedger *ledger,
                 const char *customer,
                 enum QuotaAsk ask,
                 int64_t now_ms)
{
  const struct QuotaEntry *entry = quota_ledger_find (ledger, customer);

  return ledger->rules.sharing == QUOTA_BY_COUNTS && ask != QUOTA_ASK_UNDER_WAY && entry != NULL
         && entry->rate_per_s > 0 && entry->begun.total > 0 && ledger->reported_ms == 0
         && now_ms - ledger->started_ms < LEARNING_MS;
}

struct QuotaVerdict
quota_ask (struct QuotaLedger *ledger, const char *customer, enum QuotaAsk ask, int64_t now_ms)
{
  struct QuotaEntry *entry = quota_ledger_find (ledger, customer);
  struct QuotaVerdict verdict = { .taken = true, .permille = 1000, .report_age_ms = -1 };

  if (entry == NULL || entry->rate_per_s <= 0)
    return verdict;
  ask = ledger_ask (ledger, ask);
  if (ledger->reported_ms > 0)
    verdict.report_age_ms = now_ms - ledger->reported_ms;
  if (ledger->rules.sharing == QUOTA_BY_COUNTS && !ledger_knows_fleet (ledger, now_ms)
      && !ledger->fleet.is_cut_off)
    memset (&entry->others, 0, sizeof entry->others);
  quota_decide (ledger, entry, ask, now_ms, &verdict);
  if (verdict.taken)
    entry_take (ledger, entry, ask, now_ms);
  else
    entry_refuse (ledger, entry, ask, now_ms, &verdict);
  return verdict;
}

void
quota_give_back (struct QuotaLedger *ledger,
                 const char *customer,
                 enum QuotaAsk ask,
                 int64_t taken_ms,
                 int64_t now_ms)
{
  struct QuotaEntry *entry = quota_ledger_find (ledger, customer);
  uint32_t need;

  if (entry == NULL)
    return;
  ask = ledger_ask (ledger, ask);
  need = ask_need (ledger, ask);
  use_window_take_back (&entry->taken, ledger->rules.window_ms, taken_ms, now_ms, 1);
  use_window_take_back (&entry->begun, ledger->rules.window_ms, taken_ms, now_ms, need);
}
