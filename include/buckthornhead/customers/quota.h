/* Enforces customers' limits at one of many gateways.
 *
 * A customer's limit holds over all gateways together, in each sliding window: the rate times the
 * window, plus the burst once. Each gateway sees only its own share of the requests. It reports
 * with its heartbeats what it let through and what was requested; it receives the sums for
 * customers near their limit. From these all gateways compute the same fraction of requests to let
 * through, so that no request waits for another process and a failed gateway takes no state along.
 *
 * A program fails with its first refused turn, whatever it received before. So a program that
 * begins is counted with all the requests that it is expected to need, and programs are admitted
 * only as far as the limit covers these; requests of programs under way pass until the limit itself
 * is reached. This handles a customer that sends several times its limit: as many of its programs
 * as the limit covers run to their end, whereas refusing requests evenly would fail nearly all of
 * them.
 *
 * A gateway that receives no reports spends less than half of an equal share, and the others
 * reserve as much for each gateway that they do not receive from, so that gateways which are cut
 * off one by one and the others keep the limit together; two sides of a partition that both have
 * several gateways may exceed it. A gateway that has just started reports this, and all
 * gateways count its share as spent at the full rate before its start: otherwise a restart of all
 * gateways would grant a second burst. Does no I/O; times are in milliseconds of any monotonic
 * clock. */
#pragma once

#include <buckthornhead/customers/customer_table.h>

/* How a limit is divided among gateways. */
enum QuotaSharing
{
  QUOTA_BY_REPORTS,      /* by the usage that all gateways report */
  QUOTA_BY_EQUAL_SHARES, /* one equal share each, without communication */
  QUOTA_BY_LEASES        /* by tokens of the customer's owner, see quota_owner.h */
};

struct QuotaRules
{
  enum QuotaSharing sharing;
  uint32_t window_ms;
  uint32_t slack;      /* requests over a limit that are tolerated in each window */
  bool programs_first; /* prefer programs under way to new ones; false: treat all requests alike */
};

/* How a request counts against its customer's limit. */
enum QuotaRequestKind
{
  QUOTA_REQUEST_SINGLE,   /* belongs to no program */
  QUOTA_REQUEST_BEGIN,    /* first of a program, which will need more */
  QUOTA_REQUEST_UNDER_WAY /* of a program that has begun */
};

/* One customer's usage, at one gateway or summed over several. An entry with an empty name is the
 * total over all customers: taken is the number of requests of programs that were let through,
 * begun the number of programs that began, and wanted the part of the window, in thousandths, that
 * lies before the gateway's start. */
struct CustomerUsage
{
  char customer[NAME_MAX_BYTES + 1];
  uint32_t taken;  /* requests let through in the last window */
  uint32_t begun;  /* requests that programs admitted in the last window need in total */
  uint32_t wanted; /* the same for all programs that requested to begin, also refused ones, in a
                      shorter span */
};

struct QuotaVerdict
{
  bool admitted;
  uint32_t retry_after_ms; /* if not admitted */
  uint32_t permille;       /* fraction of requests that passes now */
  uint32_t limit;          /* requests per window */
  uint32_t fleet_taken;    /* in the last window, as far as reported */
  uint32_t own_taken;      /* the part of it that this gateway let through */
  bool is_first_rejection; /* first refusal of this customer for at least one window */
  int64_t report_age_ms;   /* age of the last report of others' usage; -1: none received */
};

struct QuotaLedger;

/* instance: the gateway's name; now_ms: its start. Returns NULL when out of memory. */
struct QuotaLedger *
quota_ledger_new (TALLOC_CTX *ctx,
                  const struct QuotaRules *rules,
                  const char *instance,
                  int64_t now_ms);

/* Applies the customers of a new configuration; NULL: none. Lowering a limit resets the customer's
 * counts, so that usage under the higher limit does not count against the lower one. */
void
quota_ledger_configure (struct QuotaLedger *ledger,
                        const struct CustomerTable *customers,
                        int64_t now_ms);

/* The known gateways, and how many of them this gateway receives from. */
struct QuotaFleet
{
  uint32_t n_known, n_received; /* including this gateway */
  bool is_cut_off; /* no messages arrive from other gateways although some are expected */
};

void
quota_ledger_note_fleet (struct QuotaLedger *ledger, const struct QuotaFleet *fleet);

/* Takes the sums over the fleet of the customers near their limit, which contain this gateway's
 * usage as last reported; all other customers are not near theirs. */
void
quota_ledger_take_report (struct QuotaLedger *ledger,
                          const struct CustomerUsage *usages,
                          size_t n_usages,
                          int64_t now_ms);

/* Counts a request of the customer as demand; called once per request. */
void
quota_count_demand (struct QuotaLedger *ledger,
                    const char *customer,
                    enum QuotaRequestKind kind,
                    int64_t now_ms);

/* Returns whether the request has to be deferred for a moment, because this gateway was suspended
 * and has not received a report since, or because it has just started and received no report yet,
 * and the request begins a program that is not the customer's first here.
 * Guards against a restart of all gateways while a customer sends several times its limit: all
 * requests that were refused before are sent again at once, and each gateway would admit its
 * share. */
bool
quota_must_defer (const struct QuotaLedger *ledger,
                  const char *customer,
                  enum QuotaRequestKind kind,
                  int64_t now_ms);

/* Decides whether a request of the customer may pass now, and counts it if so. */
struct QuotaVerdict
quota_admit (struct QuotaLedger *ledger,
             const char *customer,
             enum QuotaRequestKind kind,
             int64_t now_ms);

/* Removes a request that ran on no server from the customer's counts; taken_ms: when it was taken.
 */
void
quota_release (struct QuotaLedger *ledger,
               const char *customer,
               enum QuotaRequestKind kind,
               int64_t taken_ms,
               int64_t now_ms);

/* Returns the usage that this gateway reports, allocated on ctx; NULL when out of memory, if no
 * customer has a limit, or if the limits are shared in equal parts. */
struct CustomerUsage *
quota_ledger_report (struct QuotaLedger *ledger, TALLOC_CTX *ctx, int64_t now_ms, size_t *n_usages);

/* How soon other gateways need the usage. */
enum QuotaUrgency
{
  QUOTA_CALM, /* no customer is near its limit */
  QUOTA_NEAR, /* a customer is near its limit */
  QUOTA_SURGE /* a customer's demand or usage reaches its limit */
};

/* Derives the urgency from the sums of the customers near their limit. */
enum QuotaUrgency
quota_ledger_urgency (const struct QuotaLedger *ledger,
                      const struct CustomerUsage *usages,
                      size_t n_usages);

/* Moves the sums of the customers near their limit to the front. Returns their number. */
size_t
quota_ledger_near_limit (const struct QuotaLedger *ledger,
                         struct CustomerUsage *usages,
                         size_t n_usages);

/* A customer's usage and limit as seen by this gateway. */
struct QuotaStanding
{
  char customer[NAME_MAX_BYTES + 1];
  double rate_per_s, burst;
  uint32_t taken_here, taken_by_fleet; /* in the last window */
  uint64_t refused_here;               /* since the customer was configured here */
  uint32_t begin_permille;             /* fraction of new programs that may begin now */
  uint32_t under_way_permille;         /* fraction of requests of programs under way that passes */
};

/* Returns the customers with a limit, unordered, allocated on ctx. NULL when out of memory. */
struct QuotaStanding *
quota_ledger_standings (struct QuotaLedger *ledger,
                        TALLOC_CTX *ctx,
                        int64_t now_ms,
                        size_t *n_standings);

/* Returns the number of requests that a program needs, as observed over the fleet; at least 1. */
double
quota_ledger_program_size (const struct QuotaLedger *ledger);
