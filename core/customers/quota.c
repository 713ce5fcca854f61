#include <buckthornhead/customers/quota.h>

#include <buckthornhead/customers/use_window.h>

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum
{
  /* What others told is of no use after two heartbeats are missing. */
  TOLD_LIVE_MS = 2500,
  /* Programs that began under a higher limit may end: about as long as one takes. */
  LOWER_LIMIT_GRACE_MS = 1500,
  NEED_PROGRAMS_MIN = 8, /* fewer say nothing of what a program needs */
  NEED_MAX = 200,
  NEED_FIRST = 11, /* until programs were observed */
  /* After its start a gateway hears of the fleet within some hundred milliseconds, or is alone. */
  LEARNING_MS = 800,
  GROWING_OTHERS_MAX = 3, /* in larger fleets each gateway sees too little of a customer */
  RETRY_UNDER_WAY_MS = 300,
  RETRY_BEGIN_MS = 1000
};

/* The span in which demand is measured: a part of the window, so that a surge shows long before it
 * has filled the window. */
static const double WANTED_SPAN = 0.4;
/* From this part of the limit on, use is told to all; below it nobody has to hold back. */
static const double NEAR_LIMIT = 0.7;
/* From this part on each word counts: what others let through until it comes is over the limit. */
static const double AT_LIMIT = 0.95;
/* Of the burst and the slack, what demand may come to before it counts as a surge. */
static const double SURGE_SPARE = 0.5;

/* How near to a limit requests may come. What others let through meanwhile is known only later: in
 * a surge that is much. */
struct QuotaMargins
{
  double begin_spare;                  /* of burst and slack, for programs that begin */
  double begun_from;                   /* part of that where they are held back by degrees */
  double under_way_spare;              /* of the slack, for what is under way */
  double under_way_from, under_way_to; /* parts of the limit between which that is held back */
};

static const struct QuotaMargins calm_margins = { 0.8, 0.9, 0.7, 0.98, 1.04 };
static const struct QuotaMargins surge_margins = { 0.5, 0.9, 0.85, 0.92, 1.0 };

/* Of new observations, in what a program is believed to need, each second. */
static const double NEED_NEW_PER_S = 0.5;
/* The same for one customer's programs against all, and how far they may differ. */
static const double NEED_SCALE_NEW_PER_S = 0.2, NEED_SCALE_MIN = 0.6, NEED_SCALE_MAX = 1.4;
/* Of all requests, what customers in a surge may want while that is observed. */
static const double NEED_SURGE_PART = 0.1;
/* Of an equal part, what a gateway that is cut off spends. Others leave half of one for each that
 * they do not hear, and no more than this of all. */
static const double CUT_OFF_PART = 0.4, CUT_OFF_PARTS_MAX = 0.25;
/* Of what may have passed before a start, what is held against programs that begin: a customer with
 * its usual load is not to notice that everything has started anew. */
static const double BEGUN_BEFORE_START = 0.8;

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
  int64_t refused_ms;        /* the last one; 0: none */
  double credit;             /* of a request that only a part of passes */
  struct CustomerUse told;   /* what this gateway told last */
  struct CustomerUse others; /* as others told */
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
  double need;       /* requests of a program */
  double young_part; /* of the fleet's window, what lies before gateways started */
  struct QuotaFleet fleet;
  int64_t started_ms;
  int64_t told_ms; /* when sums came last; 0: never */
};

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
  ledger->fleet = (struct QuotaFleet){ .n_known = 1, .n_heard = 1 };
  ledger->started_ms = now_ms;
  ledger->need = NEED_FIRST;
  talloc_set_destructor (ledger, ledger_free);
  return ledger;
}

static struct QuotaEntry *
ledger_find (const struct QuotaLedger *ledger, const char *customer)
{
  struct QuotaEntry *entry = NULL;

  HASH_FIND_STR (ledger->entries, customer, entry);
  return entry;
}

/* Where a gateway's first request of a customer stands between none and one: differs between
 * gateways, so that of a hundred that may each pass a tenth of a request ten pass one. */
static double
ledger_phase (const struct QuotaLedger *ledger, const char *customer)
{
  return (double)(XXH3_64bits_withSeed (customer, strlen (customer), ledger->seed) >> 11)
         / (double)(1ULL << 53);
}

static struct QuotaEntry *
ledger_need_entry (struct QuotaLedger *ledger, const char *customer)
{
  struct QuotaEntry *entry = ledger_find (ledger, customer);

  if (entry != NULL)
    return entry;
  entry = talloc_zero (ledger, struct QuotaEntry);
  if (entry == NULL)
    return NULL;
  snprintf (entry->customer, sizeof entry->customer, "%s", customer);
  entry->credit = ledger_phase (ledger, customer);
  entry->need_scale = 1;
  HASH_ADD_STR (ledger->entries, customer, entry);
  return entry;
}

static double
window_s (const struct QuotaLedger *ledger)
{
  return ledger->rules.window_ms / 1000.0;
}

static double
entry_limit (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * window_s (ledger) + entry->burst;
}

/* Configuration. */

static void
entry_configure (struct QuotaLedger *ledger,
                 struct QuotaEntry *entry,
                 const struct Customer *customer,
                 int64_t now_ms)
{
  double before = entry_limit (ledger, entry), now;
  bool was_limited = entry->rate_per_s > 0;

  entry->configured = true;
  entry->rate_per_s = customer->rate_per_s;
  entry->burst = customer->burst;
  now = entry_limit (ledger, entry);
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

      entry = ledger_find (ledger, customer->name);
      if (entry == NULL && customer->rate_per_s > 0)
        entry = ledger_need_entry (ledger, customer->name);
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

/* What the fleet tells. */

void
quota_ledger_note_fleet (struct QuotaLedger *ledger, const struct QuotaFleet *fleet)
{
  ledger->fleet = *fleet;
}

static uint32_t
without (uint32_t sum, uint32_t own)
{
  return sum > own ? sum - own : 0;
}

/* In windows, at most one: before, a burst may have been spent that this process knows nothing of.
 */
static double
ledger_age (const struct QuotaLedger *ledger, int64_t now_ms)
{
  return fmin ((double)(now_ms - ledger->started_ms) / ledger->rules.window_ms, 1);
}

/* Requests of the window that lie before starts of gateways, at the full rate. */
static double
entry_before_starts (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * window_s (ledger) * ledger->young_part;
}

static struct CustomerUse
entry_own (const struct QuotaLedger *ledger, struct QuotaEntry *entry, int64_t now_ms)
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

/* What may begin in the span in which demand is measured. */
static double
entry_may_want (const struct QuotaLedger *ledger, const struct QuotaEntry *entry)
{
  return entry->rate_per_s * ledger->wanted_ms / 1000.0
         + SURGE_SPARE * (entry->burst + ledger->rules.slack);
}

/* What customers in a surge want, of those that others tell of. */
static uint32_t
ledger_surge (const struct QuotaLedger *ledger, const struct CustomerUse *uses, size_t n_uses)
{
  uint32_t wanted = 0;

  for (size_t i = 0; i < n_uses; i++)
    {
      const struct QuotaEntry *entry = ledger_find (ledger, uses[i].customer);

      if (entry != NULL && uses[i].wanted > entry_may_want (ledger, entry))
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
  ledger->young_part = all != NULL ? fmin (all->wanted / (1000.0 * ledger->fleet.n_heard), 1) : 0;
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
quota_ledger_hear (struct QuotaLedger *ledger,
                   const struct CustomerUse *uses,
                   size_t n_uses,
                   int64_t now_ms)
{
  static const struct CustomerUse none;
  double passed_s = ledger->told_ms > 0 ? (double)(now_ms - ledger->told_ms) / 1000 : 0;

  ledger->told_ms = now_ms;
  ledger_take_all (ledger, uses, n_uses, passed_s);
  for (struct QuotaEntry *entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    entry->others = none;
  for (size_t i = 0; i < n_uses; i++)
    {
      struct QuotaEntry *entry = ledger_find (ledger, uses[i].customer);

      if (entry == NULL)
        continue;
      entry->others.taken = without (uses[i].taken, entry->told.taken);
      entry->others.begun = without (uses[i].begun, entry->told.begun);
      entry->others.wanted = without (uses[i].wanted, entry->told.wanted);
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
  uses[0].wanted = (uint32_t)(1000 * (1 - ledger_age (ledger, now_ms)));
  *n_uses = 1;
  for (struct QuotaEntry *entry = ledger->entries; entry != NULL; entry = entry->hh.next)
    {
      entry->told = entry_own (ledger, entry, now_ms);
      if (entry->rate_per_s > 0 && (entry->told.taken > 0 || entry->told.wanted > 0))
        uses[(*n_uses)++] = entry->told;
    }
  return uses;
}

static bool
is_near_limit (const struct QuotaLedger *ledger,
               const struct QuotaEntry *entry,
               const struct CustomerUse *fleet)
{
  double limit = NEAR_LIMIT * entry_limit (ledger, entry) - entry_before_starts (ledger, entry);

  return entry->rate_per_s > 0
         && (fleet->taken > limit || fleet->begun > limit
             || fleet->wanted > NEAR_LIMIT * entry_may_want (ledger, entry));
}

enum QuotaUrgency
quota_ledger_urgency (const struct QuotaLedger *ledger,
                      const struct CustomerUse *uses,
                      size_t n_uses)
{
  enum QuotaUrgency urgency = QUOTA_CALM;

  for (size_t i = 0; i < n_uses; i++)
    {
      const struct QuotaEntry *entry = ledger_find (ledger, uses[i].customer);

      if (entry == NULL)
        continue;
      urgency = QUOTA_NEAR;
      if (uses[i].wanted > entry_may_want (ledger, entry)
          || uses[i].taken > AT_LIMIT * entry_limit (ledger, entry))
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
      const struct QuotaEntry *entry = ledger_find (ledger, uses[i].customer);

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

/* Deciding. */

/* 1 up to full, 0 from none on, by degrees between. */
static double
falling (double value, double full, double none)
{
  if (value <= full)
    return 1;
  return value >= none ? 0 : (none - value) / (none - full);
}

static bool
ledger_knows_fleet (const struct QuotaLedger *ledger, int64_t now_ms)
{
  return ledger->told_ms > 0 && now_ms - ledger->told_ms < TOLD_LIVE_MS;
}

/* The part of limits that gateways which hear each other may spend. */
static double
heard_part (const struct QuotaLedger *ledger)
{
  const struct QuotaFleet *fleet = &ledger->fleet;
  double unheard = 1 - (double)fleet->n_heard / fleet->n_known;

  return 1 - fmin (fmax (unheard, 0) / 2, CUT_OFF_PARTS_MAX);
}

static const struct QuotaMargins *
entry_margins (const struct QuotaLedger *ledger,
               const struct QuotaEntry *entry,
               const struct CustomerUse *fleet,
               int64_t now_ms)
{
  return fleet->wanted > entry_may_want (ledger, entry) || ledger_age (ledger, now_ms) < 1
             ? &surge_margins
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
  double limit = entry_limit (ledger, entry);

  if (fleet->wanted > entry_may_want (ledger, entry))
    limit -= entry->burst * (1 - ledger_age (ledger, now_ms));
  if (now_ms < entry->old_until_ms && entry->old_limit > limit)
    limit = entry->old_limit;
  limit *= heard_part (ledger);
  spare *= heard_part (ledger);
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
  double burst = entry->burst * ledger_age (ledger, now_ms);
  const struct QuotaMargins *margins = entry_margins (ledger, entry, fleet, now_ms);
  double spare = margins->begin_spare * (burst + ledger->rules.slack);
  double limit = (entry->rate_per_s * window_s (ledger) + spare) * heard_part (ledger);
  /* Half of the next one as well: of a small limit one program is a large part. */
  double begun = (fleet->begun + quota_ledger_need (ledger) / 2) * entry->need_scale;
  double part = falling (begun, margins->begun_from * limit, limit);
  double may_want = entry_may_want (ledger, entry) * heard_part (ledger);

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
  const struct CustomerUse *others = &entry->others, *then = &entry->told;
  uint32_t n_others = ledger->fleet.n_heard - 1;
  double before = entry_before_starts (ledger, entry);

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
  double share = part * entry_limit (ledger, entry) / ledger->fleet.n_known;

  return own->taken < floor (share + ledger_phase (ledger, entry->customer));
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

/* The part of what asks that passes, among gateways that hear each other. */
static double
entry_part (const struct QuotaLedger *ledger,
            const struct QuotaEntry *entry,
            const struct CustomerUse *fleet,
            enum QuotaAsk ask,
            int64_t now_ms)
{
  double part = under_way_part (ledger, entry, fleet, now_ms);

  return ask == QUOTA_ASK_UNDER_WAY ? part : fmin (part, begin_part (ledger, entry, fleet, now_ms));
}

static void
entry_decide (const struct QuotaLedger *ledger,
              struct QuotaEntry *entry,
              enum QuotaAsk ask,
              int64_t now_ms,
              struct QuotaVerdict *verdict)
{
  struct CustomerUse own = entry_own (ledger, entry, now_ms);
  struct CustomerUse fleet = entry_fleet (ledger, entry, &own);
  double part;

  verdict->limit = (uint32_t)entry_limit (ledger, entry);
  verdict->fleet_taken = fleet.taken;
  if (ledger->rules.sharing == QUOTA_BY_EQUAL_PARTS || ledger->fleet.is_cut_off)
    {
      part = ledger->fleet.is_cut_off ? CUT_OFF_PART : 1;
      verdict->taken = equal_part_allows (ledger, entry, &own, part);
      verdict->permille = verdict->taken ? 1000 : 0;
      return;
    }
  part = entry_part (ledger, entry, &fleet, ask, now_ms);
  verdict->permille = (uint32_t)(1000 * part);
  verdict->taken = entry_draw (entry, part);
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
      struct CustomerUse own = entry_own (ledger, entry, now_ms);
      struct CustomerUse fleet = entry_fleet (ledger, entry, &own);
      struct QuotaStanding *standing = &standings[*n_standings];

      if (entry->rate_per_s <= 0)
        continue;
      (*n_standings)++;
      memcpy (standing->customer, entry->customer, sizeof standing->customer);
      standing->rate_per_s = entry->rate_per_s;
      standing->burst = entry->burst;
      standing->taken_here = own.taken;
      standing->taken_by_fleet = fleet.taken;
      standing->refused_here = entry->n_refused;
      standing->begin_permille =
          (uint32_t)(1000 * entry_part (ledger, entry, &fleet, QUOTA_ASK_BEGIN, now_ms));
      standing->under_way_permille =
          (uint32_t)(1000 * entry_part (ledger, entry, &fleet, QUOTA_ASK_UNDER_WAY, now_ms));
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
  struct QuotaEntry *entry = ledger_find (ledger, customer);

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
  const struct QuotaEntry *entry = ledger_find (ledger, customer);

  return ledger->rules.sharing == QUOTA_BY_COUNTS && ask != QUOTA_ASK_UNDER_WAY && entry != NULL
         && entry->rate_per_s > 0 && entry->begun.total > 0 && ledger->told_ms == 0
         && now_ms - ledger->started_ms < LEARNING_MS;
}

struct QuotaVerdict
quota_ask (struct QuotaLedger *ledger, const char *customer, enum QuotaAsk ask, int64_t now_ms)
{
  struct QuotaEntry *entry = ledger_find (ledger, customer);
  struct QuotaVerdict verdict = { .taken = true, .permille = 1000, .told_age_ms = -1 };

  if (entry == NULL || entry->rate_per_s <= 0)
    return verdict;
  ask = ledger_ask (ledger, ask);
  if (ledger->told_ms > 0)
    verdict.told_age_ms = now_ms - ledger->told_ms;
  if (ledger->rules.sharing == QUOTA_BY_COUNTS && !ledger_knows_fleet (ledger, now_ms)
      && !ledger->fleet.is_cut_off)
    memset (&entry->others, 0, sizeof entry->others);
  entry_decide (ledger, entry, ask, now_ms, &verdict);
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
  struct QuotaEntry *entry = ledger_find (ledger, customer);
  uint32_t need;

  if (entry == NULL)
    return;
  ask = ledger_ask (ledger, ask);
  need = ask_need (ledger, ask);
  use_window_take_back (&entry->taken, ledger->rules.window_ms, taken_ms, now_ms, 1);
  use_window_take_back (&entry->begun, ledger->rules.window_ms, taken_ms, now_ms, need);
}
