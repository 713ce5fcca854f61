#include "quota_internal.h"

#include <math.h>

enum
{
  /* In larger fleets each gateway sees too small a share of a customer. */
  EXTRAPOLATED_GATEWAYS_MAX = 3
};

/* How close to a limit usage may get. Others' requests are known only after a delay, during which
 * many pass in a surge. */
struct QuotaMargins
{
  double begin_headroom; /* fraction of burst and slack granted to new programs */
  /* Fractions of the limit between which programs under way are throttled. */
  double under_way_from, under_way_to;
};

static const struct QuotaMargins calm_margins = {
  .begin_headroom = 0.8,
  .under_way_from = 0.98,
  .under_way_to = 1.04,
};

static const struct QuotaMargins surge_margins = {
  .begin_headroom = 0.5,
  .under_way_from = 0.92,
  .under_way_to = 1.0,
};

/* The fraction of the slack granted to programs under way. The rest is for what all gateways let
 * through between two reports, many times a small limit's rate. */
static const double UNDER_WAY_HEADROOM = 0.5;
/* The fraction of the allowed begun requests from which on new programs are throttled gradually. */
static const double BEGUN_THROTTLE_FROM = 0.9;
/* CUT_OFF_SHARE: the fraction of its equal share that a gateway spends while cut off. The others
 * reserve half of an equal share for each gateway that they do not receive from, but at most
 * UNREACHED_RESERVE_MAX of the limit. */
static const double CUT_OFF_SHARE = 0.4, UNREACHED_RESERVE_MAX = 0.25;
/* The fraction of the requests that may have passed before a start that counts against new
 * programs: a customer with its usual load must not notice a restart of all gateways. */
static const double PRESTART_BEGUN_FRACTION = 0.8;

/* Returns 1 up to full, 0 from none on, and interpolates linearly between. */
static double
linear_falloff (double value, double full, double none)
{
  if (value <= full)
    return 1;
  return value >= none ? 0 : (none - value) / (none - full);
}

/* Returns the fraction of limits that gateways which receive each other's reports may spend. */
static double
connected_fraction (const struct QuotaLedger *ledger)
{
  const struct QuotaFleet *fleet = &ledger->fleet;
  double unreached = 1 - (double)fleet->n_received / fleet->n_known;

  return 1 - fmin (fmax (unreached, 0) / 2, UNREACHED_RESERVE_MAX);
}

static const struct QuotaMargins *
entry_margins (const struct QuotaLedger *ledger,
               const struct QuotaEntry *entry,
               const struct CustomerUsage *fleet,
               int64_t now_ms)
{
  return quota_is_surge (ledger, entry, fleet) || quota_uptime_windows (ledger, now_ms) < 1
             ? &surge_margins
             : &calm_margins;
}

/* Returns the fraction of requests of programs under way that passes. */
static double
under_way_fraction (const struct QuotaLedger *ledger,
                    const struct QuotaEntry *entry,
                    const struct CustomerUsage *fleet,
                    int64_t now_ms)
{
  const struct QuotaMargins *margins = entry_margins (ledger, entry, fleet, now_ms);
  double headroom = UNDER_WAY_HEADROOM * ledger->rules.slack;
  double limit = quota_limit (ledger, entry), connected = connected_fraction (ledger);

  if (quota_is_surge (ledger, entry, fleet))
    limit -= entry->burst * (1 - quota_uptime_windows (ledger, now_ms));
  if (now_ms < entry->previous_limit_until_ms && entry->previous_limit > limit)
    limit = entry->previous_limit;
  limit *= connected;
  headroom *= connected;
  return linear_falloff (fleet->taken, margins->under_way_from * limit + headroom,
                         margins->under_way_to * limit + headroom);
}

/* Returns the fraction of new programs that may begin: limited by demand, which shows a surge
 * first, and by the begun requests, which compensates for what passed before the surge was
 * known. */
static double
begin_fraction (const struct QuotaLedger *ledger,
                const struct QuotaEntry *entry,
                const struct CustomerUsage *fleet,
                int64_t now_ms)
{
  double burst = entry->burst * quota_uptime_windows (ledger, now_ms),
         connected = connected_fraction (ledger);
  const struct QuotaMargins *margins = entry_margins (ledger, entry, fleet, now_ms);
  double headroom = margins->begin_headroom * (burst + ledger->rules.slack);
  double limit = (entry->rate_per_s * quota_window_s (ledger) + headroom) * connected;
  /* Half of the next program counts too: one program is a large part of a small limit. */
  double begun =
      (fleet->begun + quota_ledger_program_size (ledger) / 2) * entry->program_size_ratio;
  double fraction = linear_falloff (begun, BEGUN_THROTTLE_FROM * limit, limit);
  double demand_limit = quota_demand_limit (ledger, entry) * connected;

  if (fleet->wanted > demand_limit)
    fraction = fmin (fraction, demand_limit / fleet->wanted);
  return fraction;
}

/* Extrapolates others' usage: each of them is assumed to have grown as much as this gateway's own
 * since its last report. */
static uint32_t
extrapolate (uint32_t others, uint32_t own, uint32_t own_reported, uint32_t n_others)
{
  return others + (own > own_reported ? (own - own_reported) * n_others : 0);
}

/* Estimates the fleet's current usage. Reports are old compared with a surge in small fleets, where
 * each gateway sees a large share of it: the others are assumed to grow as this one does. */
static struct CustomerUsage
estimate_fleet_usage (const struct QuotaLedger *ledger,
                      const struct QuotaEntry *entry,
                      const struct CustomerUsage *own)
{
  const struct CustomerUsage *others = &entry->others, *reported = &entry->reported;
  uint32_t n_others = ledger->fleet.n_received - 1;
  double prestart = quota_prestart_requests (ledger, entry);

  if (n_others > EXTRAPOLATED_GATEWAYS_MAX)
    n_others = 0;
  return (struct CustomerUsage){
    .taken = own->taken + extrapolate (others->taken, own->taken, reported->taken, n_others)
             + (uint32_t)prestart,
    .begun = own->begun + extrapolate (others->begun, own->begun, reported->begun, n_others)
             + (uint32_t)(PRESTART_BEGUN_FRACTION * prestart),
    .wanted = own->wanted + extrapolate (others->wanted, own->wanted, reported->wanted, n_others),
  };
}

/* Returns whether the gateway may take a request within the given fraction of its equal share. The
 * remainder of a request is rounded up at some gateways only, by quota_phase. */
static bool
equal_share_allows (const struct QuotaLedger *ledger,
                    const struct QuotaEntry *entry,
                    const struct CustomerUsage *own,
                    double fraction)
{
  double share = fraction * quota_limit (ledger, entry) / ledger->fleet.n_known;

  return own->taken < floor (share + quota_phase (ledger, entry->customer));
}

/* Returns true for the given fraction of calls, evenly spaced. */
static bool
entry_spend_credit (struct QuotaEntry *entry, double fraction)
{
  if (fraction >= 1)
    return true;
  entry->credit += fraction;
  if (entry->credit < 1)
    return false;
  entry->credit -= 1;
  return true;
}

double
quota_pass_fraction (const struct QuotaLedger *ledger,
                     const struct QuotaEntry *entry,
                     const struct CustomerUsage *own,
                     enum QuotaRequestKind kind,
                     int64_t now_ms,
                     struct CustomerUsage *fleet)
{
  double fraction;

  *fleet = estimate_fleet_usage (ledger, entry, own);
  fraction = under_way_fraction (ledger, entry, fleet, now_ms);
  return kind == QUOTA_REQUEST_UNDER_WAY
             ? fraction
             : fmin (fraction, begin_fraction (ledger, entry, fleet, now_ms));
}

void
quota_decide (const struct QuotaLedger *ledger,
              struct QuotaEntry *entry,
              enum QuotaRequestKind kind,
              int64_t now_ms,
              struct QuotaVerdict *verdict)
{
  struct CustomerUsage own = quota_own_usage (ledger, entry, now_ms), fleet;
  double fraction = quota_pass_fraction (ledger, entry, &own, kind, now_ms, &fleet);
  bool is_alone = ledger->fleet.is_cut_off || quota_is_uninformed (ledger, now_ms);

  verdict->limit = (uint32_t)quota_limit (ledger, entry);
  verdict->fleet_taken = fleet.taken;
  verdict->own_taken = own.taken;
  if (ledger->rules.sharing == QUOTA_BY_EQUAL_SHARES || is_alone)
    {
      fraction = is_alone ? CUT_OFF_SHARE : 1;
      verdict->admitted = equal_share_allows (ledger, entry, &own, fraction);
      verdict->permille = verdict->admitted ? 1000 : 0;
      return;
    }
  verdict->permille = (uint32_t)(1000 * fraction);
  verdict->admitted = entry_spend_credit (entry, fraction);
}
