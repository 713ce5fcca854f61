/* What the files of limits share: quota.c counts what is asked, quota_reports.c takes and gives
 * what gateways report, quota_part.c says which part of what asks may pass. */
#pragma once

#include <buckthornhead/customers/quota.h>
#include <buckthornhead/customers/use_window.h>

#include <uthash.h>

struct QuotaEntry
{
  char customer[NAME_MAX_BYTES + 1];
  double rate_per_s, burst;
  double old_limit; /* a higher one, until old_until_ms */
  int64_t old_until_ms;
  bool configured;
  struct UseWindow taken, begun, wanted;
  double need_scale; /* of this customer's programs against all customers' */
  uint64_t n_refused;
  int64_t refused_ms;          /* the last one; 0: none */
  double credit;               /* of a request that only a part of passes */
  struct CustomerUse reported; /* what this gateway reported last */
  struct CustomerUse others;   /* as others reported */
  UT_hash_handle hh;
};

struct QuotaLedger
{
  struct QuotaRules rules;
  uint32_t wanted_ms;
  uint64_t seed;
  struct QuotaEntry *entries;
  /* Of all customers: requests of programs, and programs that began. */
  struct UseWindow requests, programs;
  double need;               /* requests of a program */
  double before_starts_part; /* of the fleet's window, what lies before gateways started */
  struct QuotaFleet fleet;
  int64_t started_ms;
  int64_t reported_ms; /* when sums came last; 0: never */
};

struct QuotaEntry *
quota_ledger_find (const struct QuotaLedger *ledger, const char *customer);

double
quota_window_s (const struct QuotaLedger *ledger);

/* Requests a window. */
double
quota_limit (const struct QuotaLedger *ledger, const struct QuotaEntry *entry);

/* Where a gateway's first request of a customer stands between none and one: differs between
 * gateways, so that of a hundred that may each pass a tenth of a request ten pass one. */
double
quota_phase (const struct QuotaLedger *ledger, const char *customer);

/* This gateway's use now. */
struct CustomerUse
quota_own_use (const struct QuotaLedger *ledger, struct QuotaEntry *entry, int64_t now_ms);

/* In windows, at most one: before, a burst may have been spent that this process knows nothing of.
 */
double
quota_age (const struct QuotaLedger *ledger, int64_t now_ms);

/* Requests of the window that lie before starts of gateways, at the full rate. */
double
quota_before_starts (const struct QuotaLedger *ledger, const struct QuotaEntry *entry);

/* What may begin in the span in which demand is measured; more is a surge. */
double
quota_may_want (const struct QuotaLedger *ledger, const struct QuotaEntry *entry);

/* use: the fleet's, of the entry's customer. */
bool
quota_is_surge (const struct QuotaLedger *ledger,
                const struct QuotaEntry *entry,
                const struct CustomerUse *use);

/* The part of a customer's requests of that kind that passes. own: this gateway's use now; the
 * fleet's as known here is written to *fleet. */
double
quota_part (const struct QuotaLedger *ledger,
            const struct QuotaEntry *entry,
            const struct CustomerUse *own,
            enum QuotaAsk ask,
            int64_t now_ms,
            struct CustomerUse *fleet);

/* Decides on one request. */
void
quota_decide (const struct QuotaLedger *ledger,
              struct QuotaEntry *entry,
              enum QuotaAsk ask,
              int64_t now_ms,
              struct QuotaVerdict *verdict);
