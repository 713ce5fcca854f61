/* Simulates customers' limits in virtual time: gateways of several zones exchange usage as
 * heartbeats do, and customers send programs through any of them. Checks each sliding window of the
 * requests that ran. Prints a table of the usage of each limit, for each way of sharing it. */
#include "test_main.h"

#include <buckthornhead/customers/quota.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  STEP_MS = 10,
  HEARTBEAT_MS = 500,
  POLL_MS = 100,        /* between two polls for reports */
  NEAR_REPORT_MS = 300, /* between two reports on customers near their limit */
  LINKED_MS = 400,      /* from an aggregator's start until its members report to it */
  STARTING_MS = 3000,   /* a gateway reports at each poll */
  WINDOW_MS = 5000,
  SLACK = 20,
  BEGIN_MS = 1000000,
  GATEWAYS_MAX = 1220,
  ZONES = 3,
  CUSTOMERS = 4,
  ROWS = CUSTOMERS + 1, /* rows of a report; the last is the total over all customers */
  RUNS_MAX = 400000,
  PROGRAMS_MAX = 60000,
  TURN_MS = 180, /* between two requests of a program */
  /* A failed turn is retried twice, each time with one more attempt. */
  TRIES = 6
};

/* The bound that operators require: a tenth over the limit, plus the slack. */
static const double BOUND_FACTOR = 1.1;

/* A customer's usual load, as a fraction of its limit's rate. */
static const double USUAL_LOAD = 0.625;

struct SimGateway
{
  struct QuotaLedger *ledger;
  bool is_up, is_cut;
  struct CustomerUsage reported[ROWS]; /* to its zone's aggregator */
  int64_t started_ms, beat_ms, poll_ms, down_until_ms;
};

struct SimProgram
{
  uint32_t customer;
  uint32_t n_left; /* requests, the next one included */
  uint32_t n_tries;
  bool has_begun, is_over;
  bool is_deferred; /* by .gateway, which has just started */
  uint32_t gateway;
  int64_t next_ms, began_ms;
};

struct SimRun
{
  int64_t ms;
  uint32_t customer;
};

struct SimResult
{
  uint32_t n_runs, n_refused, n_started, n_completed, n_failed, n_refused_begins;
  double fullest; /* fullest window, as a fraction of the bound */
};

struct Sim
{
  struct SimGateway gateways[GATEWAYS_MAX];
  uint32_t n_gateways;
  struct CustomerTable *customers;
  double rates[CUSTOMERS];       /* limits, per second */
  double bound_rates[CUSTOMERS]; /* used by the check */
  int64_t bound_from_ms[CUSTOMERS];
  struct CustomerUsage zone_reports[ZONES][ROWS]; /* to other zones */
  int64_t zone_beat_ms[ZONES];
  struct CustomerUsage fleet_reports[ZONES][ROWS]; /* to members */
  size_t n_fleet_reports[ZONES];
  bool zone_has_reported[ZONES];
  enum QuotaUrgency zone_urgency[ZONES];
  int64_t zone_poll_ms[ZONES], zone_reported_ms[ZONES];
  struct SimProgram *programs;
  uint32_t n_programs;
  struct SimRun *runs;
  uint32_t n_runs;
  struct SimResult results[CUSTOMERS];
  double load[CUSTOMERS];         /* current multiple of the usual load */
  double n_due[CUSTOMERS];        /* programs that should have begun already, in fractions */
  uint32_t n_requests[CUSTOMERS]; /* per program */
  uint32_t n_at_once;             /* requests that a program sends together */
  int64_t now_ms;
  uint64_t random;
  struct QuotaRules rules;
};

static uint32_t
draw (struct Sim *sim, uint32_t n)
{
  sim->random = sim->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)((sim->random >> 33) % n);
}

static void
customer_name (uint32_t i, char name[NAME_MAX_BYTES + 1])
{
  snprintf (name, NAME_MAX_BYTES + 1, "customer-%u", i);
}

static void
sim_configure (struct Sim *sim)
{
  struct Fault fault;

  talloc_free (sim->customers);
  sim->customers = customer_table_new (sim, CUSTOMERS);
  for (uint32_t i = 0; i < CUSTOMERS; i++)
    {
      struct Customer customer = { .rate_per_s = sim->rates[i], .burst = sim->rates[i] };

      customer_name (i, customer.name);
      customer_table_add (sim->customers, &customer, &fault);
    }
  for (uint32_t g = 0; g < sim->n_gateways; g++)
    if (sim->gateways[g].is_up)
      quota_ledger_configure (sim->gateways[g].ledger, sim->customers, sim->now_ms);
}

static void
gateway_start (struct Sim *sim, uint32_t g)
{
  struct SimGateway *gateway = &sim->gateways[g];
  char name[32];

  snprintf (name, sizeof name, "front-%u", g);
  talloc_free (gateway->ledger);
  gateway->ledger = quota_ledger_new (sim, &sim->rules, name, sim->now_ms);
  gateway->is_up = true;
  gateway->started_ms = sim->now_ms;
  gateway->beat_ms = sim->now_ms + draw (sim, POLL_MS);
  gateway->poll_ms = sim->now_ms + draw (sim, POLL_MS);
  memset (gateway->reported, 0, sizeof gateway->reported);
  quota_ledger_configure (gateway->ledger, sim->customers, sim->now_ms);
}

static struct Sim *
sim_new (uint32_t n_gateways, enum QuotaSharing sharing, bool programs_first, uint64_t seed)
{
  static const double rates[CUSTOMERS] = { 250, 60, 12, 3 };
  struct Sim *sim = talloc_zero (NULL, struct Sim);

  sim->n_gateways = n_gateways;
  sim->random = seed * 2654435761U + 1;
  sim->now_ms = BEGIN_MS;
  sim->rules = (struct QuotaRules){
    .sharing = sharing, .window_ms = WINDOW_MS, .slack = SLACK, .programs_first = programs_first
  };
  sim->runs = talloc_zero_array (sim, struct SimRun, RUNS_MAX);
  sim->programs = talloc_zero_array (sim, struct SimProgram, PROGRAMS_MAX);
  for (uint32_t i = 0; i < CUSTOMERS; i++)
    {
      sim->rates[i] = sim->bound_rates[i] = rates[i];
      sim->load[i] = 1;
      sim->n_requests[i] = 12;
    }
  sim->n_at_once = 1;
  sim_configure (sim);
  for (uint32_t g = 0; g < n_gateways; g++)
    gateway_start (sim, g);
  sim->now_ms += WINDOW_MS; /* traffic starts later than gateways */
  for (uint32_t z = 0; z < ZONES; z++)
    sim->zone_beat_ms[z] = sim->now_ms + draw (sim, HEARTBEAT_MS);
  return sim;
}

/* Control */

static void
usage_add (struct CustomerUsage *sum, const struct CustomerUsage *usage)
{
  memcpy (sum->customer, usage->customer, sizeof sum->customer);
  sum->taken += usage->taken;
  sum->begun += usage->begun;
  sum->wanted += usage->wanted;
}

static void
sim_gateway_report (struct Sim *sim, struct SimGateway *gateway)
{
  size_t n;
  struct CustomerUsage *usages = quota_ledger_report (gateway->ledger, sim, sim->now_ms, &n);

  memset (gateway->reported, 0, sizeof gateway->reported);
  for (size_t i = 0; i < n; i++)
    if (usages[i].customer[0] == '\0')
      gateway->reported[CUSTOMERS] = usages[i];
    else
      gateway->reported[atoi (usages[i].customer + strlen ("customer-"))] = usages[i];
  talloc_free (usages);
}

static bool
sim_is_starting (const struct Sim *sim, uint32_t g)
{
  return sim->now_ms - sim->gateways[g].started_ms < STARTING_MS;
}

static int64_t
sim_report_interval_ms (const struct Sim *sim, uint32_t g)
{
  if (sim_is_starting (sim, g))
    return POLL_MS;
  switch (sim->zone_urgency[g % ZONES])
    {
    case QUOTA_CALM:
      return HEARTBEAT_MS;
    case QUOTA_NEAR:
      return NEAR_REPORT_MS;
    case QUOTA_SURGE:
      return POLL_MS;
    }
  return HEARTBEAT_MS;
}

/* The aggregator of zone z sums its members' usage and the other zones' last reports. */
static void
sim_zone_poll (struct Sim *sim, uint32_t z, bool heartbeat)
{
  struct CustomerUsage sum[ROWS] = { 0 }, own[ROWS], near[ROWS];
  size_t n = 0;

  for (uint32_t g = z; g < sim->n_gateways; g += ZONES)
    if (sim->gateways[g].is_up && !sim->gateways[g].is_cut)
      for (uint32_t c = 0; c < ROWS; c++)
        usage_add (&sum[c], &sim->gateways[g].reported[c]);
  for (uint32_t c = 0; c < ROWS; c++)
    own[c] = sum[c];
  for (uint32_t other = 0; other < ZONES; other++)
    for (uint32_t c = 0; other != z && c < ROWS; c++)
      usage_add (&sum[c], &sim->zone_reports[other][c]);
  for (uint32_t c = 0; c < ROWS; c++)
    {
      if (c < CUSTOMERS)
        customer_name (c, sum[c].customer);
      near[n++] = sum[c];
    }
  n = quota_ledger_near_limit (sim->gateways[z].ledger, near, n);
  sim->zone_urgency[z] = quota_ledger_urgency (sim->gateways[z].ledger, near, n);
  if (!heartbeat && sim->now_ms < sim->zone_reported_ms[z] + sim_report_interval_ms (sim, z))
    return;
  sim->zone_reported_ms[z] = sim->now_ms;
  memcpy (sim->zone_reports[z], own, sizeof own);
  memset (sim->fleet_reports[z], 0, sizeof sim->fleet_reports[z]);
  memcpy (sim->fleet_reports[z], near, n * sizeof near[0]);
  sim->n_fleet_reports[z] = n;
  sim->zone_has_reported[z] = true;
}

static uint32_t
sim_count_received (const struct Sim *sim, uint32_t by)
{
  uint32_t n = 0;

  for (uint32_t g = 0; g < sim->n_gateways; g++)
    n += g == by
         || (sim->gateways[g].is_up && !sim->gateways[g].is_cut && !sim->gateways[by].is_cut);
  return n;
}

static void
sim_gateway_receive (struct Sim *sim, uint32_t g)
{
  struct SimGateway *gateway = &sim->gateways[g];
  const struct QuotaFleet fleet = { .n_known = sim->n_gateways,
                                    .n_received = sim_count_received (sim, g),
                                    .is_cut_off = gateway->is_cut };

  quota_ledger_note_fleet (gateway->ledger, &fleet);
  if (!gateway->is_cut && sim->zone_has_reported[g % ZONES])
    quota_ledger_take_report (gateway->ledger, sim->fleet_reports[g % ZONES],
                              sim->n_fleet_reports[g % ZONES], sim->now_ms);
}

static void
sim_exchange_reports (struct Sim *sim)
{
  for (uint32_t g = 0; g < sim->n_gateways; g++)
    {
      struct SimGateway *gateway = &sim->gateways[g];

      if (!gateway->is_up && sim->now_ms >= gateway->down_until_ms)
        gateway_start (sim, g);
      if (gateway->is_up && sim->now_ms >= gateway->beat_ms)
        {
          gateway->beat_ms += sim_report_interval_ms (sim, g);
          sim_gateway_report (sim, gateway);
        }
      if (gateway->is_up && sim->now_ms >= gateway->poll_ms)
        {
          gateway->poll_ms +=
              sim_is_starting (sim, g) || sim->zone_urgency[g % ZONES] == QUOTA_SURGE ? POLL_MS
                                                                                      : 2 * POLL_MS;
          sim_gateway_receive (sim, g);
        }
    }
  for (uint32_t z = 0; z < ZONES; z++)
    {
      bool heartbeat = sim->now_ms >= sim->zone_beat_ms[z] || sim_is_starting (sim, z);

      if (!sim->gateways[z].is_up)
        continue;
      if (sim->now_ms < sim->zone_poll_ms[z]
          || sim->now_ms - sim->gateways[z].started_ms < LINKED_MS)
        continue;
      if (sim->now_ms >= sim->zone_beat_ms[z])
        sim->zone_beat_ms[z] += HEARTBEAT_MS;
      sim->zone_poll_ms[z] =
          sim->now_ms + (sim->zone_urgency[z] == QUOTA_SURGE ? POLL_MS : 2 * POLL_MS);
      sim_zone_poll (sim, z, heartbeat);
    }
}

/* Load */

static void
program_send (struct Sim *sim, struct SimProgram *program)
{
  uint32_t number = program->is_deferred ? program->gateway : draw (sim, sim->n_gateways);
  struct SimGateway *gateway = &sim->gateways[number];
  enum QuotaRequestKind kind = program->has_begun ? QUOTA_REQUEST_UNDER_WAY : QUOTA_REQUEST_BEGIN;
  char name[NAME_MAX_BYTES + 1];
  struct QuotaVerdict verdict;

  if (!gateway->is_up)
    {
      program->next_ms = sim->now_ms + 50 + draw (sim, 100);
      return;
    }
  customer_name (program->customer, name);
  if (!program->is_deferred)
    quota_count_demand (gateway->ledger, name, kind, sim->now_ms);
  program->is_deferred = quota_must_defer (gateway->ledger, name, kind, sim->now_ms);
  if (program->is_deferred)
    {
      program->gateway = number;
      program->next_ms = sim->now_ms + 2 * STEP_MS;
      return;
    }
  verdict = quota_admit (gateway->ledger, name, kind, sim->now_ms);
  if (verdict.admitted)
    {
      if (sim->n_runs < RUNS_MAX)
        sim->runs[sim->n_runs++] = (struct SimRun){ sim->now_ms, program->customer };
      program->has_begun = true;
      program->n_tries = 0;
      program->n_left--;
      program->next_ms = sim->now_ms + TURN_MS / 2 + draw (sim, TURN_MS);
    }
  else
    {
      sim->results[program->customer].n_refused++;
      program->n_tries++;
      program->next_ms = sim->now_ms + verdict.retry_after_ms + draw (sim, 100);
    }
  program->is_over = program->n_left == 0 || program->n_tries == TRIES;
  sim->results[program->customer].n_completed += program->n_left == 0;
  sim->results[program->customer].n_failed += program->n_tries == TRIES && program->has_begun;
  sim->results[program->customer].n_refused_begins +=
      program->n_tries == TRIES && !program->has_begun;
}

static void
sim_load (struct Sim *sim)
{
  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      sim->n_due[c] += sim->load[c] * USUAL_LOAD * sim->rates[c] / sim->n_requests[c] * STEP_MS
                       / 1000.0 * (draw (sim, 2000) / 1000.0);
      for (; sim->n_due[c] >= 1 && sim->n_programs < PROGRAMS_MAX; sim->n_due[c]--)
        {
          sim->programs[sim->n_programs++] = (struct SimProgram){ .customer = c,
                                                                  .n_left = sim->n_requests[c],
                                                                  .next_ms = sim->now_ms };
          sim->results[c].n_started++;
        }
    }
  for (uint32_t i = 0; i < sim->n_programs; i++)
    if (!sim->programs[i].is_over && sim->now_ms >= sim->programs[i].next_ms)
      for (uint32_t n = 0; n < sim->n_at_once && !sim->programs[i].is_over; n++)
        program_send (sim, &sim->programs[i]);
}

static void
sim_run (struct Sim *sim, int64_t for_ms)
{
  for (int64_t end_ms = sim->now_ms + for_ms; sim->now_ms < end_ms; sim->now_ms += STEP_MS)
    {
      sim_exchange_reports (sim);
      sim_load (sim);
    }
}

/* Finds each customer's fullest sliding window, as a fraction of its bound. */
static void
sim_check (struct Sim *sim)
{
  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      double limit = sim->bound_rates[c] * WINDOW_MS / 1000 + sim->bound_rates[c];
      uint32_t first = 0, n = 0, most = 0;

      for (uint32_t i = 0; i < sim->n_runs; i++)
        {
          if (sim->runs[i].customer != c || sim->runs[i].ms < sim->bound_from_ms[c])
            continue;
          n++;
          for (; sim->runs[first].ms <= sim->runs[i].ms - WINDOW_MS; first++)
            n -= sim->runs[first].customer == c && sim->runs[first].ms >= sim->bound_from_ms[c];
          most = n > most ? n : most;
          sim->results[c].n_runs++;
        }
      sim->results[c].fullest = most / (limit * BOUND_FACTOR + SLACK);
    }
}

static void
sim_print (const struct Sim *sim, const char *title)
{
  for (uint32_t c = 0; c < CUSTOMERS; c++)
    {
      const struct SimResult *r = &sim->results[c];

      printf ("%-34s rate %4.0f: fullest window %.2f of the bound; %u programs, %u whole, %u "
              "failed under way, %u not begun, %u requests refused\n",
              title, sim->rates[c], r->fullest, r->n_started, r->n_completed, r->n_failed,
              r->n_refused_begins, r->n_refused);
    }
}

static void
sim_expect_bound (struct Sim *sim, const char *title)
{
  sim_check (sim);
  sim_print (sim, title);
  for (uint32_t c = 0; c < CUSTOMERS; c++)
    CU_ASSERT (sim->results[c].fullest <= 1);
}

static void
test_usual_load_is_not_refused (void)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);

      sim_run (sim, 30000);
      sim_expect_bound (sim, "usual load");
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        {
          CU_ASSERT_EQUAL (sim->results[c].n_failed, 0);
          CU_ASSERT_EQUAL (sim->results[c].n_refused_begins, 0);
        }
      talloc_free (sim);
    }
}

/* A customer suddenly sends 7.5 times its usual load. Its limit must hold in each window, the
 * programs that are admitted must run to their end, and other customers must not be affected. */
static void
test_a_hot_customer_gets_its_limit_in_whole_programs (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    for (uint32_t hot = 0; hot < CUSTOMERS; hot++)
      {
        struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);
        struct SimResult *r = &sim->results[hot];
        double n_covered;

        sim_run (sim, 8000);
        sim->load[hot] = 7.5;
        sim_run (sim, 12000);
        sim->load[hot] = 1;
        sim_run (sim, 8000);
        sim_expect_bound (sim, "one customer 7.5 times its usual");
        n_covered = sim->rates[hot] * 28 / sim->n_requests[hot];
        CU_ASSERT (r->n_completed >= 0.75 * (n_covered < r->n_started ? n_covered : r->n_started));
        /* One in twenty, or two where a window covers no more. */
        CU_ASSERT (r->n_failed * 20 <= r->n_completed + 40);
        for (uint32_t c = 0; c < CUSTOMERS; c++)
          if (c != hot)
            CU_ASSERT_EQUAL (sim->results[c].n_failed + sim->results[c].n_refused_begins, 0);
        talloc_free (sim);
      }
}

/* Programs send several requests together, and operators lower limits to what customers use or
 * less. About twenty requests of a small customer arrive between two reports of its usage. */
static void
test_concurrent_requests_stay_within_a_lower_limit (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      struct Sim *sim = sim_new (74, QUOTA_BY_REPORTS, true, seed);

      sim->n_at_once = 4;
      sim_run (sim, 4000);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        {
          sim->rates[c] *= 0.6;
          sim->bound_rates[c] = sim->rates[c];
          sim->bound_from_ms[c] = sim->now_ms + WINDOW_MS;
          sim->load[c] = 2.5;
        }
      sim_configure (sim);
      sim_run (sim, 26000);
      sim_expect_bound (sim, "tools together, lower limits");
      talloc_free (sim);
    }
}

static void
sim_stop_all (struct Sim *sim)
{
  for (uint32_t g = 0; g < sim->n_gateways; g++)
    {
      sim->gateways[g].is_up = false;
      sim->gateways[g].down_until_ms = sim->now_ms + 600 + draw (sim, 300);
    }
  for (uint32_t z = 0; z < ZONES; z++)
    {
      sim->zone_has_reported[z] = false;
      sim->zone_urgency[z] = QUOTA_CALM;
    }
}

/* Programs of some customers need more or fewer requests than the mean of all, and one customer
 * after the other is hot. Unless each customer's own program size is learned, a limit is exceeded
 * or partly unused. */
static void
test_a_hot_customers_program_size_is_learned (void)
{
  static const uint32_t requests[CUSTOMERS] = { 12, 15, 8, 12 };

  for (uint64_t seed = 1; seed <= 8; seed++)
    for (uint32_t hot = 0; hot < 3; hot++)
      {
        struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);
        struct SimResult *r = &sim->results[hot];

        memcpy (sim->n_requests, requests, sizeof requests);
        sim_run (sim, 8000);
        sim->load[hot] = 4.3;
        sim_run (sim, 16000);
        sim_expect_bound (sim, "hot, with its own program size");
        /* 1.1 times the rate is what a window allows in the long run. */
        CU_ASSERT (r->n_completed * sim->n_requests[hot] >= 0.75 * sim->rates[hot] * 22);
        CU_ASSERT (r->n_failed * 10 <= r->n_completed + 40);
        talloc_free (sim);
      }
}

/* All gateways stop at once and restart within a second, without state, while two customers send
 * several times their limits. The restart must not grant a second burst. */
static void
test_a_restart_of_all_gateways_gives_no_second_burst (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);

      sim_run (sim, 6000);
      sim->load[0] = sim->load[1] = 5;
      sim_run (sim, 5000);
      sim_stop_all (sim);
      sim_run (sim, 8000);
      sim_expect_bound (sim, "all stop while two customers are hot");
      talloc_free (sim);
    }
}

/* All gateways restart while no customer is over its limit. All programs send their requests again
 * at once, and none may be refused for usage that its customer may have had before. */
static void
test_a_restart_of_all_gateways_refuses_no_request (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);

      sim_run (sim, 8000);
      sim_stop_all (sim);
      sim_run (sim, 8000);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        CU_ASSERT_EQUAL (sim->results[c].n_failed + sim->results[c].n_refused_begins, 0);
      sim_print (sim, "all stop, usual load");
      talloc_free (sim);
    }
}

/* A quarter of the gateways is cut off from the others but still reached by callers and servers.
 * Both sides together must keep the limit. */
static void
test_cut_off_gateways_keep_the_limit (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);

      sim_run (sim, 6000);
      for (uint32_t g = 10; g < 26; g++)
        sim->gateways[g].is_cut = true;
      sim_run (sim, 3000);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        sim->load[c] = 6;
      sim_run (sim, 10000);
      for (uint32_t g = 10; g < 26; g++)
        sim->gateways[g].is_cut = false;
      sim_run (sim, 5000);
      sim_expect_bound (sim, "a quarter of the gateways cut off");
      talloc_free (sim);
    }
}

/* A limit is lowered far below its customer's load, then raised again. The lower limit must hold
 * from the moment it is in force; with the higher one all requests pass again at once. */
static void
test_a_lower_limit_holds_and_a_higher_one_at_once (void)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);
      uint32_t first_after, n_refused = 0;

      sim_run (sim, 8000);
      sim->rates[0] = sim->rates[1] = 20;
      sim_configure (sim);
      for (uint32_t c = 0; c < 2; c++)
        {
          sim->bound_rates[c] = 20;
          sim->bound_from_ms[c] = sim->now_ms + 3000;
        }
      sim->load[0] = 250.0 / 20;
      sim->load[1] = 60.0 / 20;
      sim_run (sim, 12000);
      sim_expect_bound (sim, "two limits lowered");
      sim->rates[0] = 250;
      sim->rates[1] = 60;
      sim->load[0] = sim->load[1] = 1;
      sim_configure (sim);
      first_after = sim->n_programs;
      sim_run (sim, 9000);
      for (uint32_t i = first_after; i < sim->n_programs; i++)
        n_refused += sim->programs[i].is_over && sim->programs[i].n_left > 0;
      CU_ASSERT_EQUAL (n_refused, 0);
      talloc_free (sim);
    }
}

/* All customers rise to loads somewhat over their limits and stay there. */
static void
test_a_little_over_the_limit (void)
{
  static const double loads[] = { 1.3, 1.6, 2, 2.3, 3 };

  for (uint64_t seed = 1; seed <= 8; seed++)
    for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
      {
        struct Sim *sim = sim_new (66, QUOTA_BY_REPORTS, true, seed);

        sim_run (sim, 6000);
        for (uint32_t c = 0; c < CUSTOMERS; c++)
          sim->load[c] = loads[i];
        sim_run (sim, 20000);
        sim_expect_bound (sim, "a little over the limit");
        talloc_free (sim);
      }
}

/* Three customers are hot together in fleets of hundreds of gateways, where each gateway sees only
 * a tiny share of any customer. */
static void
test_three_hot_customers_in_large_fleets (void)
{
  static const uint32_t sizes[] = { 300, 1220 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct Sim *sim = sim_new (sizes[i], QUOTA_BY_REPORTS, true, 1);

      sim_run (sim, 8000);
      sim->load[0] = sim->load[1] = sim->load[2] = 4.3;
      sim_run (sim, 10000);
      sim_expect_bound (sim,
                        sizes[i] == 300 ? "three hot, 300 gateways" : "three hot, 1,220 gateways");
      CU_ASSERT_EQUAL (sim->results[3].n_failed + sim->results[3].n_refused_begins, 0);
      talloc_free (sim);
    }
}

/* Three gateways, and customers that send twelve times their usual load. Between two reports each
 * gateway admits a third of the surge without knowing of the rest. */
static void
test_a_surge_at_three_gateways (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      struct Sim *sim = sim_new (3, QUOTA_BY_REPORTS, true, seed);

      sim_run (sim, 6000);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        sim->load[c] = 12;
      sim_run (sim, 10000);
      sim_expect_bound (sim, "three gateways, 12 times the usual");
      talloc_free (sim);
    }
}

/* Checks nothing: prints how the other ways of sharing handle the same load. */
static void
test_sharing_table (void)
{
  static const struct
  {
    const char *name;
    enum QuotaSharing sharing;
    bool programs_first;
  } ways[] = {
    { "counts, under way first", QUOTA_BY_REPORTS, true },
    { "counts, in order of arrival", QUOTA_BY_REPORTS, false },
    { "equal parts", QUOTA_BY_EQUAL_SHARES, true },
  };

  for (size_t i = 0; i < sizeof ways / sizeof ways[0]; i++)
    {
      struct Sim *sim = sim_new (66, ways[i].sharing, ways[i].programs_first, 1);

      sim_run (sim, 8000);
      for (uint32_t c = 0; c < CUSTOMERS; c++)
        sim->load[c] = 4.3;
      sim_run (sim, 12000);
      sim_check (sim);
      sim_print (sim, ways[i].name);
      talloc_free (sim);
    }
  CU_PASS ("printed");
}

const char test_suite_name[] = "quota_fleet";
const struct TestCase test_cases[] = {
  { "usual load is not refused", test_usual_load_is_not_refused },
  { "a hot customer gets its limit in whole programs",
    test_a_hot_customer_gets_its_limit_in_whole_programs },
  { "a hot customer's program size is learned", test_a_hot_customers_program_size_is_learned },
  { "a restart of all gateways gives no second burst",
    test_a_restart_of_all_gateways_gives_no_second_burst },
  { "a restart of all gateways refuses no request",
    test_a_restart_of_all_gateways_refuses_no_request },
  { "cut-off gateways keep the limit", test_cut_off_gateways_keep_the_limit },
  { "a lower limit holds, a higher one at once",
    test_a_lower_limit_holds_and_a_higher_one_at_once },
  { "a little over the limit", test_a_little_over_the_limit },
  { "three hot customers in large fleets", test_three_hot_customers_in_large_fleets },
  { "a surge at three gateways", test_a_surge_at_three_gateways },
  { "table of ways of sharing", test_sharing_table },
  { "programs that call tools together stay within a lower limit",
    test_concurrent_requests_stay_within_a_lower_limit },
  { NULL, NULL },
};
