/* On whom a customer's limit is spent, at one gateway of many.
 *
 * A customer's limit holds over all gateways together, in each sliding window: rate times the
 * window, and its burst once. No gateway sees more than its own part of the requests. Each tells
 * with its heartbeats what it let through and what is wanted of it; the sums come back for
 * customers near their limit. From them each gateway works out alike which part of what comes may
 * pass, so that nobody has to be asked and a gateway that dies takes nothing along.
 *
 * A program fails with a turn that is refused, whatever it had before. So programs that begin are
 * counted with all the requests that they will need, as observed, and are let in only so far that
 * the limit holds these; what is under way passes until the limit itself is reached. Answers the
 * load of a customer that sends several times its limit: as many of its programs as the limit holds
 * run whole, where refusing evenly would fail nearly all of them.
 *
 * A gateway that hears nobody spends less than half of an equal part, and the others leave as much
 * for each that they do not hear, so that the two sides of a partition keep the limit together. One
 * that has just started tells so, and all count its part as spent at the full rate before: else a
 * stop of everything would give a second burst. Pure: times in milliseconds of any steady clock. */
#pragma once

#include <buckthornhead/customers/customer_table.h>

/* How a limit is shared among gateways. */
enum QuotaSharing
{
  QUOTA_BY_COUNTS,     /* by what all gateways tell of their use */
  QUOTA_BY_EQUAL_PARTS /* one part each, without a word */
};

struct QuotaRules
{
  enum QuotaSharing sharing;
  uint32_t window_ms;
  uint32_t slack;      /* requests over a limit that operators do not mind, in each window */
  bool programs_first; /* what is under way goes before what begins; off: as they come */
};

/* What a request is to its customer's limit. */
enum QuotaAsk
{
  QUOTA_ASK_SINGLE,   /* it belongs to no program */
  QUOTA_ASK_BEGIN,    /* the first of a program, which will need more */
  QUOTA_ASK_UNDER_WAY /* of a program that has begun */
};

/* One customer's use, of one gateway or summed over several. Without a name: of all customers, the
 * requests of programs that were let through as taken, the number of programs as begun, and as
 * wanted the part of the window, in thousandths, that lies before the gateway's start. */
struct CustomerUse
{
  char customer[NAME_MAX_BYTES + 1];
  uint32_t taken;  /* requests let through in the last window */
  uint32_t begun;  /* requests that the programs let in during the last window need in all */
  uint32_t wanted; /* the same of all that asked to begin in a shorter span, refused ones too */
};

struct QuotaVerdict
{
  bool taken;
  uint32_t retry_after_ms; /* when it was not taken */
  uint32_t permille;       /* of what comes that passes now */
  uint32_t limit;          /* requests a window */
  uint32_t fleet_taken;    /* in the last window, as far as is known */
  bool first;              /* of those that were sent back, for a window at least */
  int64_t report_age_ms;   /* of what others used; -1: nobody has reported */
};

struct QuotaLedger;

/* instance: the gateway's name; now_ms: it starts. NULL without memory. */
struct QuotaLedger *
quota_ledger_new (TALLOC_CTX *ctx,
                  const struct QuotaRules *rules,
                  const char *instance,
                  int64_t now_ms);

/* The customers of a new configuration; NULL: there are none. What was spent under a higher limit
 * is not held against a lower one. */
void
quota_ledger_configure (struct QuotaLedger *ledger,
                        const struct CustomerTable *customers,
                        int64_t now_ms);

/* The gateways that are known, of which this one hears some. */
struct QuotaFleet
{
  uint32_t n_known, n_received; /* this one included */
  bool is_cut_off;              /* nothing comes from the others, and it should */
};

void
quota_ledger_note_fleet (struct QuotaLedger *ledger, const struct QuotaFleet *fleet);

/* Sums over the fleet of the customers near their limit, in which this gateway's part is as it told
 * it last; all others are not near theirs. */
void
quota_ledger_take_report (struct QuotaLedger *ledger,
                          const struct CustomerUse *uses,
                          size_t n_uses,
                          int64_t now_ms);

/* A request of the customer has come: counts as demand, once. */
void
quota_want (struct QuotaLedger *ledger, const char *customer, enum QuotaAsk ask, int64_t now_ms);

/* The gateway has just started and heard nothing of what others know: a program that begins waits
 * for a moment, unless it is the first of its customer here. Guards against a stop of everything
 * while a customer sends several times its limit: all that it was refused before comes again at
 * once, and each gateway would let its part in. */
bool
quota_must_wait (const struct QuotaLedger *ledger,
                 const char *customer,
                 enum QuotaAsk ask,
                 int64_t now_ms);

/* May a request of the customer pass now? If so it is counted. */
struct QuotaVerdict
quota_ask (struct QuotaLedger *ledger, const char *customer, enum QuotaAsk ask, int64_t now_ms);

/* A request that was taken at taken_ms ran on no server after all. */
void
quota_give_back (struct QuotaLedger *ledger,
                 const char *customer,
                 enum QuotaAsk ask,
                 int64_t taken_ms,
                 int64_t now_ms);

/* What this gateway tells of itself; belongs to ctx. NULL without memory, or without limits. */
struct CustomerUse *
quota_ledger_uses (struct QuotaLedger *ledger, TALLOC_CTX *ctx, int64_t now_ms, size_t *n_uses);

/* How soon others should hear of it. */
enum QuotaUrgency
{
  QUOTA_CALM, /* nobody is near a limit */
  QUOTA_NEAR, /* somebody is */
  QUOTA_SURGE /* somebody's demand or use comes up to a limit */
};

/* By the sums of the customers near their limit. */
enum QuotaUrgency
quota_ledger_urgency (const struct QuotaLedger *ledger,
                      const struct CustomerUse *uses,
                      size_t n_uses);

/* Keeps of sums over the fleet those near their limit, at the front. Returns how many. */
size_t
quota_ledger_near_limit (const struct QuotaLedger *ledger, struct CustomerUse *uses, size_t n_uses);

/* How a customer stands with its limit, as seen here. */
struct QuotaStanding
{
  char customer[NAME_MAX_BYTES + 1];
  double rate_per_s, burst;
  uint32_t taken_here, taken_by_fleet; /* in the last window */
  uint64_t refused_here;               /* since this gateway knows the customer */
  uint32_t begin_permille;             /* of programs that begin now, that may */
  uint32_t under_way_permille;         /* of what is under way, that passes */
};

/* Customers with a limit, in no order; belongs to ctx. NULL without memory. */
struct QuotaStanding *
quota_ledger_standings (struct QuotaLedger *ledger,
                        TALLOC_CTX *ctx,
                        int64_t now_ms,
                        size_t *n_standings);

/* Requests that a program needs, as observed over the fleet; at least 1. */
double
quota_ledger_need (const struct QuotaLedger *ledger);
