#include "test_main.h"

#include <buckthornhead/customers/quota_owner.h>

#include <stdio.h>
#include <string.h>

enum
{
  WINDOW_MS = 5000,
  SLACK = 20,
  START_MS = 1000000,
  RATE = 40,
  BURST = 40,
  /* Longer than it takes to fill a bucket. */
  FILL_MS = 5000,
  PROGRAM_SIZE_INITIAL = 11
};

static const struct QuotaRules rules = {
  .sharing = QUOTA_BY_LEASES, .window_ms = WINDOW_MS, .slack = SLACK, .programs_first = true
};

static void
configure (struct QuotaOwner *owner, double rate_per_s, double burst, int64_t now_ms)
{
  struct CustomerTable *table = customer_table_new (owner, 1);
  struct Customer customer = { .name = "alma", .rate_per_s = rate_per_s, .burst = burst };
  struct Fault fault;

  CU_ASSERT_EQUAL (customer_table_add (table, &customer, &fault), ERROR_NONE);
  quota_owner_configure (owner, table, now_ms);
  talloc_free (table);
}

static struct QuotaOwner *
owner_new (void)
{
  struct QuotaOwner *owner = quota_owner_new (NULL, &rules, START_MS);

  configure (owner, RATE, BURST, START_MS);
  return owner;
}

static struct QuotaGrant
ask (struct QuotaOwner *owner, enum QuotaRequestKind kind, uint32_t n_wanted, int64_t now_ms)
{
  struct QuotaAsk message = { .id = 1, .customer = "alma", .kind = kind, .n_wanted = n_wanted };

  return quota_owner_decide (owner, &message, now_ms);
}

/* Returns the number of requests of programs under way that are granted at once. */
static uint32_t
take_all (struct QuotaOwner *owner, int64_t now_ms)
{
  uint32_t n = 0;

  for (;;)
    {
      struct QuotaGrant grant = ask (owner, QUOTA_REQUEST_UNDER_WAY, 1, now_ms);

      if (grant.n_granted == 0 || grant.wait_ms > 0)
        return n;
      n += grant.n_granted;
    }
}

/* Guards against a second burst after a start. */
static void
test_buckets_begin_empty (void)
{
  struct QuotaOwner *owner = owner_new ();

  CU_ASSERT_EQUAL (take_all (owner, START_MS), 0);
  talloc_free (owner);
  owner = owner_new ();
  CU_ASSERT_EQUAL (take_all (owner, START_MS + 500), RATE / 2);
  talloc_free (owner);
  owner = owner_new ();
  CU_ASSERT_EQUAL (take_all (owner, START_MS + 100 * FILL_MS), BURST + SLACK * 3 / 4);
  talloc_free (owner);
}

/* Guards against any window with more than rate x window + capacity, the tokens that requests wait
 * for included. */
static void
test_window_is_bounded (void)
{
  struct QuotaOwner *owner = owner_new ();
  uint32_t n = 0;

  for (int64_t ms = 0; ms < WINDOW_MS; ms += 10)
    for (uint32_t i = 0; i < 4; i++)
      n += ask (owner, QUOTA_REQUEST_UNDER_WAY, QUOTA_LEASE_TOKENS_MAX, START_MS + FILL_MS + ms)
               .n_granted;
  CU_ASSERT (n <= RATE * (WINDOW_MS + QUOTA_HOLD_MAX_MS) / 1000 + BURST + SLACK * 3 / 4);
  CU_ASSERT (n >= RATE * WINDOW_MS / 1000 + BURST);
  talloc_free (owner);
}

/* Guards against waiting requests that are served in another order than that of their arrival, or
 * that wait longer than allowed. */
static void
test_requests_under_way_wait_in_order (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  uint32_t before_ms = 0, n = 0;
  struct QuotaGrant grant;

  take_all (owner, now_ms);
  while ((grant = ask (owner, QUOTA_REQUEST_UNDER_WAY, 1, now_ms)).n_granted > 0)
    {
      CU_ASSERT_EQUAL (grant.n_granted, 1);
      CU_ASSERT (grant.wait_ms > before_ms && grant.wait_ms <= QUOTA_HOLD_MAX_MS);
      before_ms = grant.wait_ms;
      n++;
    }
  /* take_all has taken one that waits. */
  CU_ASSERT_EQUAL (n + 1, RATE * QUOTA_HOLD_MAX_MS / 1000);
  CU_ASSERT (grant.wait_ms > QUOTA_HOLD_MAX_MS);
  CU_ASSERT_EQUAL (ask (owner, QUOTA_REQUEST_SINGLE, 1, now_ms).n_granted, 0);
  talloc_free (owner);
}

/* Guards against more programs than the limit covers, and against a program bucket below zero that
 * stops programs under way. */
static void
test_programs_take_their_size (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  uint32_t n_begun = 0;

  while (ask (owner, QUOTA_REQUEST_BEGIN, 1, now_ms).n_granted > 0)
    n_begun++;
  /* 45 tokens: four programs of 11, and not a fifth, which needs half of 11. */
  CU_ASSERT_EQUAL (n_begun, (BURST + SLACK / 4) / PROGRAM_SIZE_INITIAL);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), BURST + SLACK * 3 / 4 - n_begun);
  talloc_free (owner);
}

/* Plays programs of the given size one after another. Returns the size that the owner learned. */
static uint32_t
learned_size (uint32_t size, uint32_t n_programs)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  struct QuotaGrant grant = { 0 };

  for (uint32_t i = 0; i < n_programs; i++, now_ms += 10 * FILL_MS)
    {
      CU_ASSERT_EQUAL (ask (owner, QUOTA_REQUEST_BEGIN, 1, now_ms).n_granted, 1);
      for (uint32_t n = 1; n < size; n++)
        grant = ask (owner, QUOTA_REQUEST_UNDER_WAY, 1, now_ms + n * 50);
    }
  talloc_free (owner);
  return grant.program_size;
}

static void
test_program_size_is_learned (void)
{
  CU_ASSERT_EQUAL (learned_size (5, 7), PROGRAM_SIZE_INITIAL);
  CU_ASSERT_EQUAL (learned_size (5, 8), 5);
  /* Requests of programs under way follow their begin: the average is a little late. */
  CU_ASSERT (learned_size (30, 300) >= 29 && learned_size (30, 300) <= 31);
}

/* Guards against a customer whose programs need more than its bucket can hold, and of which none
 * would ever begin. */
static void
test_large_programs_of_a_small_customer (void)
{
  struct QuotaOwner *owner = quota_owner_new (NULL, &rules, START_MS);

  configure (owner, 2, 0, START_MS);
  CU_ASSERT_EQUAL (ask (owner, QUOTA_REQUEST_BEGIN, 1, START_MS + 10 * FILL_MS).n_granted, 1);
  talloc_free (owner);
}

/* Guards against rejected callers that return together. */
static void
test_retries_are_spread (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  uint32_t before_ms = 0;

  while (ask (owner, QUOTA_REQUEST_SINGLE, 1, now_ms).n_granted > 0)
    continue;
  for (uint32_t i = 0; i < 50; i++)
    {
      struct QuotaGrant grant = ask (owner, QUOTA_REQUEST_SINGLE, 1, now_ms);

      CU_ASSERT (grant.wait_ms > before_ms);
      before_ms = grant.wait_ms;
    }
  for (uint32_t i = 0; i < 500; i++)
    CU_ASSERT (ask (owner, QUOTA_REQUEST_BEGIN, 1, now_ms).wait_ms <= QUOTA_RETRY_MAX_MS);
  talloc_free (owner);
}

/* Guards against leases near the limit, whose unused tokens would be lost. */
static void
test_leases_are_small_near_the_limit (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  uint32_t n_taken = 0;

  CU_ASSERT_EQUAL (ask (owner, QUOTA_REQUEST_BEGIN, 8, now_ms).n_granted, 1);
  while (n_taken < (BURST + SLACK * 3 / 4) / 2)
    n_taken += ask (owner, QUOTA_REQUEST_UNDER_WAY, 8, now_ms).n_granted;
  CU_ASSERT_EQUAL (ask (owner, QUOTA_REQUEST_UNDER_WAY, 8, now_ms).n_granted, 1);
  talloc_free (owner);
}

/* Guards against tokens of a suspended owner, or of one that was replaced for a time. */
static void
test_buckets_are_emptied (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;

  quota_owner_empty (owner, now_ms);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), 0);
  now_ms += FILL_MS;
  CU_ASSERT_FALSE (quota_owner_take_over (owner, "alma", START_MS));
  CU_ASSERT_TRUE (quota_owner_take_over (owner, "alma", now_ms - 500));
  CU_ASSERT_FALSE (quota_owner_take_over (owner, "alma", now_ms - 500));
  CU_ASSERT_EQUAL (take_all (owner, now_ms), RATE / 2);
  talloc_free (owner);
}

/* Guards against a side of a partition that grants more than its share, also out of a bucket that
 * was filled before or that was not used during the partition. */
static void
test_share (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;

  quota_owner_set_share (owner, 0.5, now_ms);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), (BURST + SLACK * 3 / 4) / 2);
  now_ms += FILL_MS;
  quota_owner_set_share (owner, 1, now_ms);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), (BURST + SLACK * 3 / 4) / 2);
  now_ms += FILL_MS;
  quota_owner_set_share (owner, 0.2, now_ms);
  quota_owner_set_share (owner, 1, now_ms + 1000);
  CU_ASSERT_EQUAL (take_all (owner, now_ms + 1000), (BURST + SLACK * 3 / 4) / 5);
  for (uint32_t i = 0; i < 100; i++)
    quota_owner_set_share (owner, 0.3 + i / 1000.0, now_ms + 1001 + i);
  CU_ASSERT_EQUAL (take_all (owner, now_ms + 1101), 0);
  talloc_free (owner);
}

/* Guards against tokens of a higher limit that remain after it was lowered. */
static void
test_changed_limit (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  struct QuotaOwnerView view;

  configure (owner, 4, 1, now_ms);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), 1 + SLACK * 3 / 4);
  now_ms += FILL_MS;
  configure (owner, RATE, BURST, now_ms);
  CU_ASSERT_TRUE (quota_owner_view (owner, "alma", now_ms, &view));
  CU_ASSERT_DOUBLE_EQUAL (view.request_tokens, 1 + SLACK * 0.75, 0.01);
  CU_ASSERT_DOUBLE_EQUAL (view.request_capacity, BURST + SLACK * 0.75, 0.01);
  CU_ASSERT_FALSE (quota_owner_view (owner, "bela", now_ms, &view));
  quota_owner_configure (owner, NULL, now_ms);
  CU_ASSERT_FALSE (quota_owner_view (owner, "alma", now_ms, &view));
  CU_ASSERT_EQUAL (ask (owner, QUOTA_REQUEST_UNDER_WAY, 1, now_ms).n_granted, 0);
  talloc_free (owner);
}

/* Guards against returned tokens that fill a bucket over its capacity, and against many returns, by
 * which tokens that were refilled meanwhile would exceed the limit. */
static void
test_returned_tokens (void)
{
  struct QuotaOwner *owner = owner_new ();
  int64_t now_ms = START_MS + FILL_MS;
  struct QuotaReturn returned = { .customer = "alma", .n_tokens = 3 };

  quota_owner_return (owner, &returned, now_ms);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), BURST + SLACK * 3 / 4);
  now_ms += 2 * FILL_MS;
  CU_ASSERT (take_all (owner, now_ms) > 0);
  returned.n_tokens = 4;
  quota_owner_return (owner, &returned, now_ms);
  CU_ASSERT_EQUAL (take_all (owner, now_ms), 3); /* one waits already */
  for (uint32_t i = 0; i < 100; i++)
    quota_owner_return (owner, &returned, now_ms);
  CU_ASSERT (take_all (owner, now_ms) <= 1);
  snprintf (returned.customer, sizeof returned.customer, "bela");
  quota_owner_return (owner, &returned, now_ms);
  talloc_free (owner);
}

const char test_suite_name[] = "quota_owner";

const struct TestCase test_cases[] = {
  { "buckets begin empty", test_buckets_begin_empty },
  { "a window is bounded", test_window_is_bounded },
  { "requests under way wait in order", test_requests_under_way_wait_in_order },
  { "programs take their size", test_programs_take_their_size },
  { "the size of programs is learned", test_program_size_is_learned },
  { "large programs of a small customer", test_large_programs_of_a_small_customer },
  { "retries are spread", test_retries_are_spread },
  { "leases are small near the limit", test_leases_are_small_near_the_limit },
  { "buckets are emptied", test_buckets_are_emptied },
  { "the share of a side", test_share },
  { "a changed limit", test_changed_limit },
  { "returned tokens", test_returned_tokens },
  { NULL, NULL },
};
