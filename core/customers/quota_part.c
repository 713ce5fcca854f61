#include "quota_internal.h"

#include <math.h>

enum
{
  GROWING_OTHERS_MAX = 3 /* in larger fleets each gateway sees too little of a customer */
};

/* How near to a limit requests may come. What others let through meanwhile is known only later: in
 * a surge that is much. */
struct QuotaMargins
{
  double begin_spare;                  /* of burst and slack, for programs that begin */
  double under_way_spare;              /* of the slack, for what is under way */
  double under_way_from, under_way_to; /* parts of the limit between which that is held back */
};

static const struct QuotaMargins calm_margins = {
  .begin_spare = 0.8,
  .under_way_spare = 0.7,
  .under_way_from = 0.98,
  .under_way_to = 1.04,
};

static const struct QuotaMargins surge_margins = {
  .begin_spare = 0.5,
  .under_way_spare = 0.85,
  .under_way_from = 0.92,
  .under_way_to = 1.0,
};

/* Of what may begin, where programs that begin are held back by degrees. */
static const double BEGUN_FROM = 0.9;
/* Of an equal part, what a gateway that is cut off spends. Others leave half of one for each that
 * they do not hear, and no more than this of all. */
static const double CUT_OFF_PART = 0.4, CUT_OFF_PARTS_MAX = 0.25;
/* Of what may have passed before a start, what is held against programs that begin: a customer with
 * its usual load is not to notice that everything has started anew. */
static const double BEGUN_BEFORE_START = 0.8;

/* 1 up to full, 0 from none on, by degrees between. */
static double
falling (double value, double full, double none)
{
  if (value <= full)
    return 1;
  return value >= none ? 0 : (none - value) / (none - full);
}

/* The part of limits that gateways which hear each other may spend. */
static double
received_part (const struct QuotaLedger *ledger)
{
  const struct QuotaFleet *fleet = &ledger->fleet;
  double unheard = 1 - (double)fleet->n_received / fleet->n_known;

  return 1 - fmin (fmax (unheard, 0) / 2, CUT_OFF_PARTS_MAX);
}

static const struct QuotaMargins *
entry_margins (const struct QuotaLedger *ledger,
               const struct QuotaEntry *entry,
               const struct CustomerUse *fleet,
               int64_t now_ms)
{
  return quota_is_surge (ledger, entry, fleet) || quota_age (ledger, now_ms) < 1 ? &surge_margins
                                                                                 : &calm_margins;
}

/* The part of what is under way that passes. */
static double
under_way_part (const struct QuotaLedger *ledger,
                const struct QuotaEntry *entry,
                const struct CustomerUse *fleet,
                int64_t now_ms)
{
  const struct QuotaMargins *margins = entry_margins (ledger, entry, fleet, now_ms);
  double spare = margins->under_way_spare * ledger->rules.slack;
  double limit = quota_limit (ledger, entry), received = received_part (ledger);

  if (quota_is_surge (ledger, entry, fleet))
    limit -= entry->burst * (1 - quota_age (ledger, now_ms));
  if (now_ms < entry->old_until_ms && entry->old_limit > limit)
    limit = entry->old_limit;
  limit *= received;
  spare *= received;
  return falling (fleet->taken, margins->under_way_from * limit + spare,
                  margins->under_way_to * limit + spare);
}

/* The part of what begins that passes: by demand, which tells of a surge first; and by what has
 * begun, which pays back what passed before the surge was known. */
static double
begin_part (const struct QuotaLedger *ledger,
            const struct QuotaEntry *entry,
            const struct CustomerUse *fleet,
            int64_t now_ms)
{
  double burst = entry->burst * quota_age (ledger, now_ms), received = received_part (ledger);
  const struct QuotaMargins *margins = entry_margins (ledger, entry, fleet, now_ms);
  double spare = margins->begin_spare * (burst + ledger->rules.slack);
  double limit = (entry->rate_per_s * quota_window_s (ledger) + spare) * received;
  /* Half of the next one as well: of a small limit one program is a large part. */
  double begun = (fleet->begun + quota_ledger_need (ledger) / 2) * entry->need_scale;
  double part = falling (begun, BEGUN_FROM * limit, limit);
  double may_want = quota_may_want (ledger, entry) * received;

  if (fleet->wanted > may_want)
    part = fmin (part, may_want / fleet->wanted);
  return part;
}

/* As many more for each of the others as this gateway counted since it told its own. */
static uint32_t
grown (uint32_t others, uint32_t own, uint32_t own_then, uint32_t n_others)
{
  return others + (own > own_then ? (own - own_then) * n_others : 0);
}

/* Guards against the age of the word in small fleets, where each gateway sees a large part of a
 * surge: the others are taken to go on as this one does. */
static struct CustomerUse
entry_fleet (const struct QuotaLedger *ledger,
             const struct QuotaEntry *entry,
             const struct CustomerUse *own)
{
  const struct CustomerUse *others = &entry->others, *then = &entry->reported;
  uint32_t n_others = ledger->fleet.n_received - 1;
  double before = quota_before_starts (ledger, entry);

  if (n_others > GROWING_OTHERS_MAX)
    n_others = 0;
  return (struct CustomerUse){
    .taken =
        own->taken + grown (others->taken, own->taken, then->taken, n_others) + (uint32_t)before,
    .begun = own->begun + grown (others->begun, own->begun, then->begun, n_others)
             + (uint32_t)(BEGUN_BEFORE_START * before),
    .wanted = own->wanted + grown (others->wanted, own->wanted, then->wanted, n_others),
  };
}

/* Part of an equal share that this gateway has left, as a part of the next request. */
static bool
equal_part_allows (const struct QuotaLedger *ledger,
                   const struct QuotaEntry *entry,
                   const struct CustomerUse *own,
                   double part)
{
  double share = part * quota_limit (ledger, entry) / ledger->fleet.n_known;

  return own->taken < floor (share + quota_phase (ledger, entry->customer));
}

/* True for part of the requests that it is asked for, evenly. */
static bool
entry_draw (struct QuotaEntry *entry, double part)
{
  if (part >= 1)
    return true;
  entry->credit += part;
  if (entry->credit < 1)
    return false;
  entry->credit -= 1;
  return true;
}

double
quota_part (const struct QuotaLedger *ledger,
            const struct QuotaEntry *entry,
            const struct CustomerUse *own,
            enum QuotaAsk ask,
            int64_t now_ms,
            struct CustomerUse *fleet)
{
  double part;

  *fleet = entry_fleet (ledger, entry, own);
  part = under_way_part (ledger, entry, fleet, now_ms);
  return ask == QUOTA_ASK_UNDER_WAY ? part : fmin (part, begin_part (ledger, entry, fleet, now_ms));
}

void
quota_decide (const struct QuotaLedger *ledger,
              struct QuotaEntry *entry,
              enum QuotaAsk ask,
              int64_t now_ms,
              struct QuotaVerdict *verdict)
{
  struct CustomerUse own = quota_own_use (ledger, entry, now_ms), fleet;
  double part = quota_part (ledger, entry, &own, ask, now_ms, &fleet);

  verdict->limit = (uint32_t)quota_limit (ledger, entry);
  verdict->fleet_taken = fleet.taken;
  if (ledger->rules.sharing == QUOTA_BY_EQUAL_PARTS || ledger->fleet.is_cut_off)
    {
      part = ledger->fleet.is_cut_off ? CUT_OFF_PART : 1;
      verdict->taken = equal_part_allows (ledger, entry, &own, part);
      verdict->permille = verdict->taken ? 1000 : 0;
      return;
    }
  verdict->permille = (uint32_t)(1000 * part);
  verdict->taken = entry_draw (entry, part);
}
