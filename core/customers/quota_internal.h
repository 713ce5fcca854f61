/* Shared by the files that enforce limits: quota.c counts requests, quota_reports.c exchanges usage
 * with other gateways, quota_part.c computes the fraction of requests that may pass. */
#pragma once

#include <buckthornhead/customers/quota.h>
#include <buckthornhead/customers/use_window.h>

#include <uthash.h>

struct QuotaEntry
{
  char customer[NAME_MAX_BYTES + 1];
  double rate_per_s, burst;
  double previous_limit; /* a higher limit, in force until previous_limit_until_ms */
  int64_t previous_limit_until_ms;
  bool configured;
  struct UsageWindow taken, begun, wanted;
  double program_size_ratio; /* mean number of requests, relative to all customers */
  uint64_t n_refused;
  int64_t last_refused_ms;       /* time of the last refusal; 0: none */
  double credit;                 /* accumulated fractions of requests that may pass */
  struct CustomerUsage reported; /* last reported by this gateway */
  struct CustomerUsage others;   /* reported by other gateways */
  UT_hash_handle hh;
};

struct QuotaLedger
{
  struct QuotaRules rules;
  uint32_t demand_span_ms;
  uint64_t seed;
  struct QuotaEntry *entries;
  /* Totals over all customers: requests of programs, and programs that began. */
  struct UsageWindow program_requests, programs_begun;
  double program_size;      /* mean number of requests of a program */
  double prestart_fraction; /* of the fleet's window, before its gateways started */
  struct QuotaFleet fleet;
  int64_t started_ms;
  int64_t last_report_ms; /* arrival of the last sums; 0: never */
};

struct QuotaEntry *
quota_ledger_find (const struct QuotaLedger *ledger, const char *customer);

double
quota_window_s (const struct QuotaLedger *ledger);

/* Returns the limit in requests per window. */
double
quota_limit (const struct QuotaLedger *ledger, const struct QuotaEntry *entry);

/* Returns the initial credit of a customer at this gateway, in [0, 1). It differs between gateways,
 * so that of a hundred gateways that may each pass a tenth of a request ten pass one. */
double
quota_phase (const struct QuotaLedger *ledger, const char *customer);

/* Returns this gateway's current usage. */
struct CustomerUsage
quota_own_usage (const struct QuotaLedger *ledger, struct QuotaEntry *entry, int64_t now_ms);

/* Returns whether reports were received, but the last one is too old to decide on: this gateway is
 * cut off, or was suspended. */
bool
quota_is_uninformed (const struct QuotaLedger *ledger, int64_t now_ms);

/* Returns the time since this gateway's start in windows, at most 1. Below 1, a burst may have been
 * spent before the start, of which this process has no record. */
double
quota_uptime_windows (const struct QuotaLedger *ledger, int64_t now_ms);

/* Returns the requests of the window that lie before the start of gateways, at the full rate. */
double
quota_prestart_requests (const struct QuotaLedger *ledger, const struct QuotaEntry *entry);

/* Returns the number of requests that may be wanted within the span in which demand is measured;
 * more is a surge. */
double
quota_demand_limit (const struct QuotaLedger *ledger, const struct QuotaEntry *entry);

/* usage: the fleet's, of the entry's customer. */
bool
quota_is_surge (const struct QuotaLedger *ledger,
                const struct QuotaEntry *entry,
                const struct CustomerUsage *usage);

/* Returns the fraction of a customer's requests of the given kind that passes. own: this gateway's
 * current usage; the fleet's estimated usage is written to *fleet. */
double
quota_pass_fraction (const struct QuotaLedger *ledger,
                     const struct QuotaEntry *entry,
                     const struct CustomerUsage *own,
                     enum QuotaRequestKind kind,
                     int64_t now_ms,
                     struct CustomerUsage *fleet);

void
quota_decide (const struct QuotaLedger *ledger,
              struct QuotaEntry *entry,
              enum QuotaRequestKind kind,
              int64_t now_ms,
              struct QuotaVerdict *verdict);
