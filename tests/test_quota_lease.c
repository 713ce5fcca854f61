/* Customers' limits shared by leases, on virtual time; see quota_sim.h. */
#include "test_main.h"

#include "quota_sim.h"

#include <buckthornhead/customers/quota_lease.h>

#include <stdio.h>

enum
{
  N_SURGES = 500,
  WARM_UP_MS = 3000,
  AFTER_MS = 2000,
  N_GATEWAYS = 66,
  N_FAULT_GATEWAYS = 20,
  N_SEEDS = 5,
  N_REPLACED = 12,
  TWO_OWNERS_MS = 500 /* longer than heartbeats and lists take to reach all gateways */
};

static uint64_t random_state;

/* Returns a number from min to max, reproducible for the same seed. */
static uint32_t
draw_between (uint32_t min, uint32_t max)
{
  random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
  return min + (uint32_t)((random_state >> 33) % (max - min + 1));
}

/* Returns the number of customers whose fullest window exceeds the bound, and ends the simulation.
 */
static uint32_t
count_over_bound (const char *title)
{
  uint32_t n_over = 0;

  for (uint32_t c = 0; c < QUOTA_SIM_CUSTOMERS; c++)
    n_over += quota_sim_check (c, title) > 1;
  quota_sim_end ();
  return n_over;
}

/* One customer sends two to eight times its usual load, pauses, and sends it again. */
static uint32_t
run_surge (uint64_t seed, bool with_stop)
{
  static const uint32_t sizes[] = { 3, 8, 20, 66 };
  uint32_t n_gateways, customer;

  random_state = seed;
  quota_sim_set_sharing (QUOTA_BY_LEASES);
  n_gateways = sizes[draw_between (0, 3)];
  customer = draw_between (0, QUOTA_SIM_CUSTOMERS - 1);
  quota_sim_start (n_gateways, seed);
  quota_sim_run (WARM_UP_MS);
  for (uint32_t i = 0, n = draw_between (2, 3); i < n; i++)
    {
      quota_sim_set_load (customer, draw_between (20, 80) / 10.0);
      quota_sim_run (draw_between (500, 2500));
      if (with_stop && i == 0)
        {
          quota_sim_kill (0, n_gateways);
          quota_sim_run (draw_between (300, 900));
          quota_sim_restart (0, n_gateways);
          quota_sim_run (draw_between (500, 1500));
        }
      quota_sim_set_load (customer, 0);
      quota_sim_run (draw_between (300, 2000));
    }
  quota_sim_set_load (customer, 1);
  quota_sim_run (AFTER_MS);
  return count_over_bound (with_stop ? "surges, all gateways stopped" : "surges");
}

static void
expect_no_surge_over_bound (bool with_stop)
{
  uint32_t n_over = 0;

  for (uint64_t seed = 1; seed <= N_SURGES / 2; seed++)
    n_over += run_surge (seed, with_stop);
  printf ("%u customers over the bound in %u surges\n", n_over, N_SURGES / 2);
  CU_ASSERT_EQUAL (n_over, 0);
}

/* Guards against requests that are admitted between two exchanges of usage: the sums are too old
 * when a customer sends several times its limit and pauses in between. */
static void
test_surges_with_pauses (void)
{
  expect_no_surge_over_bound (false);
}

/* Guards against a second burst after a stop of all gateways, which loses their state. */
static void
test_surges_with_a_stop_of_all_gateways (void)
{
  expect_no_surge_over_bound (true);
}

/* Guards against a token that is used after its lease, or twice. */
static void
test_tokens_of_a_lease (void)
{
  struct QuotaLeases *leases = quota_leases_new (NULL);
  const enum QuotaRequestKind kind = QUOTA_REQUEST_UNDER_WAY;

  CU_ASSERT_FALSE (quota_leases_take (leases, "alma", kind, 1000));
  quota_leases_add (leases, "alma", kind, 2, 1250);
  CU_ASSERT_FALSE (quota_leases_take (leases, "bela", kind, 1001));
  CU_ASSERT_FALSE (quota_leases_take (leases, "alma", QUOTA_REQUEST_SINGLE, 1001));
  CU_ASSERT_TRUE (quota_leases_take (leases, "alma", kind, 1249));
  CU_ASSERT_FALSE (quota_leases_take (leases, "alma", kind, 1250));
  quota_leases_add (leases, "alma", kind, 1, 1500);
  CU_ASSERT_TRUE (quota_leases_take (leases, "alma", kind, 1300));
  CU_ASSERT_FALSE (quota_leases_take (leases, "alma", kind, 1300));
  quota_leases_add (leases, "alma", kind, 1, 1600);
  quota_leases_clear (leases);
  CU_ASSERT_FALSE (quota_leases_take (leases, "alma", kind, 1301));
  talloc_free (leases);
}

/* Guards against leases that are larger than what the gateway uses: unused tokens are lost. */
static void
test_size_of_a_lease (void)
{
  struct QuotaLeases *leases = quota_leases_new (NULL);
  const enum QuotaRequestKind kind = QUOTA_REQUEST_UNDER_WAY;

  CU_ASSERT_EQUAL (quota_leases_wanted (leases, "alma", kind, 1000), 1);
  for (uint32_t n = 1; n <= 2 * QUOTA_LEASE_TOKENS_MAX; n++)
    {
      quota_leases_take (leases, "alma", kind, 1000);
      CU_ASSERT_EQUAL (quota_leases_wanted (leases, "alma", kind, 1000),
                       n < QUOTA_LEASE_TOKENS_MAX ? n : QUOTA_LEASE_TOKENS_MAX);
    }
  CU_ASSERT_EQUAL (quota_leases_wanted (leases, "alma", QUOTA_REQUEST_BEGIN, 1000), 1);
  CU_ASSERT_EQUAL (quota_leases_wanted (leases, "alma", kind, 1000 + QUOTA_LEASE_VALID_MS), 1);
  talloc_free (leases);
}

/* A fault that begins during a surge of the customer, at its owner. */
struct FaultCase
{
  const char *title;
  void (*begin) (uint32_t owner);
  void (*end) (uint32_t owner);
  int64_t lasts_ms;
};

static void
kill_owner (uint32_t owner)
{
  quota_sim_kill (owner, 1);
}

static void
lose_owner (uint32_t owner)
{
  quota_sim_lose (owner, 1);
}

static void
restart_owner (uint32_t owner)
{
  quota_sim_restart (owner, 1);
}

static void
suspend_owner (uint32_t owner)
{
  quota_sim_suspend (owner, 1);
}

static void
resume_owner (uint32_t owner)
{
  quota_sim_resume (owner, 1);
}

static void
silence_owner (uint32_t owner)
{
  quota_sim_set_silent (owner, 1, true);
}

static void
unsilence_owner (uint32_t owner)
{
  quota_sim_set_silent (owner, 1, false);
}

static void
isolate_owner (uint32_t owner)
{
  quota_sim_isolate (owner, 1);
}

static void
mute_owner (uint32_t owner)
{
  quota_sim_mute (owner, 1);
}

static void
reconnect (uint32_t owner)
{
  (void)owner;
  quota_sim_reconnect ();
}

/* Every second gateway asks the owner before this one: two gateways grant the same limit. */
static void
start_hidden_owner (uint32_t owner)
{
  quota_sim_hide (owner, 1);
  quota_sim_restart (owner, 1);
}

static void
stop_owner (uint32_t owner)
{
  quota_sim_stop (owner, 1);
}

static const struct FaultCase fault_cases[] = {
  { "owner killed", kill_owner, restart_owner, 2500 },
  { "owner's machine lost", lose_owner, restart_owner, 4000 },
  { "owner suspended", suspend_owner, resume_owner, 3000 },
  { "owner's loop blocked", suspend_owner, resume_owner, 700 },
  { "owner's loop blocked for a moment", suspend_owner, resume_owner, 300 },
  { "owner silent", silence_owner, unsilence_owner, 2000 },
  { "owner isolated", isolate_owner, reconnect, 4000 },
  { "owner cut in one direction", mute_owner, reconnect, 4000 },
  { "owner leaves", stop_owner, restart_owner, 5000 },
};

/* to_owner: callers send half of the requests to the owner, so that what it admits during the fault
 * is not a small part of all. */
static double
play_fault (const struct FaultCase *fault, uint32_t customer, uint64_t seed, bool to_owner)
{
  uint32_t owner;
  double fullest;

  quota_sim_set_sharing (QUOTA_BY_LEASES);
  quota_sim_start (N_FAULT_GATEWAYS, seed);
  quota_sim_run (WARM_UP_MS + 2000);
  owner = quota_sim_owner (customer);
  if (to_owner)
    quota_sim_prefer (owner);
  quota_sim_set_load (customer, 5);
  quota_sim_run ((int64_t)(seed * 400 % 2000));
  fault->begin (owner);
  quota_sim_run (fault->lasts_ms);
  fault->end (owner);
  quota_sim_run (6000);
  fullest = quota_sim_check (customer, fault->title);
  quota_sim_end ();
  return fullest;
}

/* Guards against a limit that is granted twice, by an owner and its successor, when the owner fails
 * in a surge and when it returns. */
static void
test_faults_of_the_owner (void)
{
  for (size_t i = 0; i < sizeof fault_cases / sizeof fault_cases[0]; i++)
    for (uint32_t customer = 0; customer < QUOTA_SIM_CUSTOMERS; customer++)
      for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
        {
          CU_ASSERT (play_fault (&fault_cases[i], customer, seed, false) <= 1);
          CU_ASSERT (play_fault (&fault_cases[i], customer, seed, true) <= 1);
        }
}

/* Guards against two gateways that grant the same limit for a moment: one has just started and half
 * of the others do not receive its heartbeats yet. */
static void
test_two_owners_for_a_moment (void)
{
  for (uint32_t customer = 0; customer < QUOTA_SIM_CUSTOMERS; customer++)
    for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
      {
        uint32_t owner;

        quota_sim_set_sharing (QUOTA_BY_LEASES);
        quota_sim_start (N_FAULT_GATEWAYS, seed);
        owner = quota_sim_owner (customer);
        quota_sim_kill (owner, 1);
        quota_sim_run (8000);
        quota_sim_set_load (customer, 5);
        start_hidden_owner (owner);
        quota_sim_run (TWO_OWNERS_MS);
        quota_sim_reconnect ();
        quota_sim_run (6000);
        CU_ASSERT (quota_sim_check (customer, "two owners") <= 1);
        quota_sim_end ();
      }
}

/* Guards against two sides of a partition that together grant more than the limit. */
static void
test_two_sides_keep_the_limit (void)
{
  static const uint32_t sizes[] = { 20, 33 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
      {
        quota_sim_set_sharing (QUOTA_BY_LEASES);
        quota_sim_start (N_GATEWAYS, seed);
        quota_sim_run (6000);
        quota_sim_split (0, sizes[i]);
        quota_sim_set_load (0, 4);
        quota_sim_set_load (1, 4);
        quota_sim_run (10000);
        quota_sim_reconnect ();
        quota_sim_run (5000);
        CU_ASSERT_EQUAL (count_over_bound ("two sides"), 0);
      }
}

/* Guards against tokens of a higher limit that are spent after the limit was lowered, and against a
 * full bucket of a new limit. */
static void
test_changed_limits (void)
{
  static const double factors[] = { 0.2, 0.6, 3 };

  for (size_t i = 0; i < sizeof factors / sizeof factors[0]; i++)
    for (uint32_t customer = 0; customer < QUOTA_SIM_CUSTOMERS; customer++)
      for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
        {
          quota_sim_set_sharing (QUOTA_BY_LEASES);
          quota_sim_start (N_FAULT_GATEWAYS, seed);
          quota_sim_run (6000);
          quota_sim_set_load (customer, 5);
          quota_sim_run (1500);
          quota_sim_set_limit (customer, quota_sim_rates[customer] * factors[i]);
          quota_sim_run (8000);
          CU_ASSERT (quota_sim_check (customer, "limit changed") <= 1);
          quota_sim_end ();
        }
}

/* Guards against tokens that are returned twice or too late, and against messages and timers of
 * requests that have ended: callers disconnect while their requests wait, and servers refuse
 * requests up to three seconds after they were admitted. */
static void
test_requests_that_end (void)
{
  for (uint32_t customer = 0; customer < QUOTA_SIM_CUSTOMERS; customer++)
    for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
      {
        quota_sim_set_sharing (QUOTA_BY_LEASES);
        quota_sim_start (N_FAULT_GATEWAYS, seed);
        quota_sim_set_ending (true);
        quota_sim_run (6000);
        quota_sim_set_load (customer, 5);
        quota_sim_run (4000);
        quota_sim_kill (quota_sim_owner (customer), 1);
        quota_sim_run (8000);
        CU_ASSERT (quota_sim_check (customer, "requests that end") <= 1);
        quota_sim_end ();
      }
}

/* Plays the usual load while each of some gateways is replaced. Prints and returns the fraction of
 * rejected requests. */
static double
play_replacements (const char *title,
                   void (*stop) (uint32_t first, uint32_t n),
                   int64_t stop_ms,
                   void (*end) (uint32_t first, uint32_t n))
{
  struct QuotaSimCounts total = { 0 };

  for (uint64_t seed = 1; seed <= N_REPLACED; seed++)
    {
      uint32_t gateway = (uint32_t)(seed * 11 % N_GATEWAYS);
      struct QuotaSimCounts counts;

      quota_sim_set_sharing (QUOTA_BY_LEASES);
      quota_sim_start (N_GATEWAYS, seed);
      quota_sim_run (8000);
      quota_sim_reset_counts ();
      if (stop != NULL)
        {
          stop (gateway, 1);
          quota_sim_run (stop_ms);
          end (gateway, 1);
          quota_sim_run (1500);
          quota_sim_restart (gateway, 1);
        }
      quota_sim_run (10000);
      counts = quota_sim_counts ();
      total.n_admitted += counts.n_admitted;
      total.n_rejected += counts.n_rejected;
      total.n_uncertain += counts.n_uncertain;
      quota_sim_end ();
    }
  printf ("%s: %u requests admitted, %u rejected, %u of them uncertain\n", title, total.n_admitted,
          total.n_rejected, total.n_uncertain);
  return (double)total.n_rejected / (total.n_admitted + total.n_rejected);
}

/* Guards against rejections of customers that stay below their limits. */
static void
test_usual_load_is_not_rejected (void)
{
  CU_ASSERT (play_replacements ("usual load", NULL, 0, NULL) < 0.01);
  CU_ASSERT (play_replacements ("usual load, a gateway killed and replaced", quota_sim_kill, 1000,
                                quota_sim_kill)
             < 0.01);
  CU_ASSERT (play_replacements ("usual load, a gateway stopped and replaced", quota_sim_stop, 5000,
                                quota_sim_kill)
             < 0.01);
}

/* Guards against requests that are lost with the owner that they were sent to: while the owner is
 * replaced, each request is admitted or rejected, and few are rejected. */
static void
test_requests_are_sent_to_the_next_owner (void)
{
  for (uint32_t customer = 0; customer < QUOTA_SIM_CUSTOMERS; customer++)
    {
      struct QuotaSimCounts counts;

      quota_sim_set_sharing (QUOTA_BY_LEASES);
      quota_sim_start (N_GATEWAYS, 1);
      quota_sim_run (8000);
      quota_sim_reset_counts ();
      quota_sim_kill (quota_sim_owner (customer), 1);
      quota_sim_run (6000);
      counts = quota_sim_counts ();
      printf ("owner of customer %u killed: %u admitted, %u rejected, %u of them uncertain\n",
              customer, counts.n_admitted, counts.n_rejected, counts.n_uncertain);
      CU_ASSERT (counts.n_rejected * 10 < counts.n_admitted);
      quota_sim_end ();
    }
}

const char test_suite_name[] = "quota_lease";

const struct TestCase test_cases[] = {
  { "tokens of a lease", test_tokens_of_a_lease },
  { "size of a lease", test_size_of_a_lease },
  { "surges with pauses", test_surges_with_pauses },
  { "surges with a stop of all gateways", test_surges_with_a_stop_of_all_gateways },
  { "faults of the owner", test_faults_of_the_owner },
  { "two owners for a moment", test_two_owners_for_a_moment },
  { "two sides keep the limit", test_two_sides_keep_the_limit },
  { "changed limits", test_changed_limits },
  { "requests that end", test_requests_that_end },
  { "the usual load is not rejected", test_usual_load_is_not_rejected },
  { "requests are sent to the next owner", test_requests_are_sent_to_the_next_owner },
  { NULL, NULL },
};
