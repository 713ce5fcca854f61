#include "test_main.h"

#include <buckthornhead/customers/use_board.h>
#include <buckthornhead/customers/use_window.h>

#include <stdio.h>
#include <string.h>

enum
{
  START_MS = 100000,
  SILENT_MS = 2000,
  SPAN_MS = 5000
};

static void
take (struct UsageTable *table,
      const char *sender,
      const char *zone,
      enum UsageScope scope,
      uint32_t taken,
      int64_t now_ms)
{
  struct CustomerUsage usage = { .customer = "alma", .taken = taken, .wanted = 2 * taken };
  struct UsageReport report = { .scope = scope, .usages = &usage, .n_usages = 1 };

  snprintf (report.zone, sizeof report.zone, "%s", zone);
  usage_table_take (table, sender, &report, now_ms);
}

static uint32_t
sum (struct UsageTable *table, enum UsageScope scope, uint32_t own_taken, int64_t now_ms)
{
  const struct CustomerUsage own = { .customer = "alma", .taken = own_taken };
  size_t n;
  struct CustomerUsage *usages = usage_table_sum (table, table, scope, &own, 1, now_ms, &n);
  uint32_t taken = n > 0 ? usages[0].taken : 0;

  CU_ASSERT (n <= 1);
  talloc_free (usages);
  return taken;
}

static void
test_members_and_zones_are_summed (void)
{
  struct UsageTable *table = usage_table_new (NULL, SPAN_MS);

  take (table, "b", "z1", USAGE_OF_GATEWAY, 3, START_MS);
  take (table, "c", "z1", USAGE_OF_GATEWAY, 4, START_MS);
  take (table, "x", "z2", USAGE_OF_ZONE, 10, START_MS);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_ZONE, 1, START_MS), 8);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_FLEET, 1, START_MS), 18);
  /* A newer report replaces the older one. */
  take (table, "b", "z1", USAGE_OF_GATEWAY, 5, START_MS + 1);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_ZONE, 1, START_MS + 1), 10);
  CU_ASSERT_EQUAL (usage_table_received_ms (table), START_MS + 1);
  talloc_free (table);
}

/* Both aggregators of a zone report its sum. When both were counted, customers were held to half of
 * their limits; only the later report counts. */
static void
test_a_zone_counts_once (void)
{
  struct UsageTable *table = usage_table_new (NULL, SPAN_MS);

  take (table, "x", "z2", USAGE_OF_ZONE, 10, START_MS);
  take (table, "y", "z2", USAGE_OF_ZONE, 12, START_MS + 5);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_FLEET, 0, START_MS + 5), 12);
  take (table, "x", "z2", USAGE_OF_ZONE, 11, START_MS + 9);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_FLEET, 0, START_MS + 9), 11);
  /* Received at the same time: only one of them counts. */
  take (table, "y", "z2", USAGE_OF_ZONE, 11, START_MS + 9);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_FLEET, 0, START_MS + 9), 11);
  talloc_free (table);
}

/* Guards against usage that others spend again while it is in the window: a sender that is silent
 * does not take back what it let through. Its demand is over. */
static void
test_usage_of_silent_senders_counts_until_it_leaves_the_window (void)
{
  struct UsageTable *table = usage_table_new (NULL, SPAN_MS);
  struct CustomerUsage *usages;
  size_t n;

  take (table, "b", "z1", USAGE_OF_GATEWAY, 3, START_MS);
  take (table, "c", "z2", USAGE_OF_ZONE, 4, START_MS);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_ZONE, 0, START_MS + SPAN_MS - 1), 3);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_FLEET, 0, START_MS + SPAN_MS - 1), 7);
  usages = usage_table_sum (table, table, USAGE_OF_FLEET, NULL, 0, START_MS + SILENT_MS, &n);
  CU_ASSERT_EQUAL (n, 1);
  CU_ASSERT_EQUAL (usages[0].wanted, 0);
  CU_ASSERT_EQUAL (sum (table, USAGE_OF_FLEET, 0, START_MS + SPAN_MS), 0);
  talloc_free (table);
}

static void
test_sums_of_silent_senders_expire (void)
{
  struct UsageTable *table = usage_table_new (NULL, SPAN_MS);

  take (table, "a", "z1", USAGE_OF_FLEET, 30, START_MS);
  CU_ASSERT_PTR_NOT_NULL (usage_table_fleet (table, START_MS));
  take (table, "d", "z1", USAGE_OF_FLEET, 31, START_MS + 10);
  CU_ASSERT_EQUAL (usage_table_fleet (table, START_MS + 10)->usages[0].taken, 31);
  CU_ASSERT_PTR_NULL (usage_table_fleet (table, START_MS + SILENT_MS));
  talloc_free (table);
}

static void
test_window_slides (void)
{
  struct UsageWindow window = { 0 };

  usage_window_add (&window, SPAN_MS, START_MS, 7);
  usage_window_add (&window, SPAN_MS, START_MS + 3000, 2);
  CU_ASSERT_EQUAL (usage_window_total (&window, SPAN_MS, START_MS + SPAN_MS - 1), 9);
  /* Never below the true count of the span; at most one slice too long. */
  CU_ASSERT_EQUAL (usage_window_total (&window, SPAN_MS, START_MS + SPAN_MS), 9);
  CU_ASSERT_EQUAL (
      usage_window_total (&window, SPAN_MS, START_MS + SPAN_MS + SPAN_MS / USAGE_WINDOW_SLICES), 2);
  usage_window_subtract (&window, SPAN_MS, START_MS + 3000, START_MS + 6000, 2);
  CU_ASSERT_EQUAL (usage_window_total (&window, SPAN_MS, START_MS + 6000), 0);
  /* What has left the span is not subtracted from later counts. */
  usage_window_add (&window, SPAN_MS, START_MS + 20000, 1);
  usage_window_subtract (&window, SPAN_MS, START_MS + 3000, START_MS + 20000, 1);
  CU_ASSERT_EQUAL (usage_window_total (&window, SPAN_MS, START_MS + 20000), 1);
  CU_ASSERT_EQUAL (usage_window_total (&window, SPAN_MS, START_MS + 100000), 0);
}

const char test_suite_name[] = "use_board";
const struct TestCase test_cases[] = {
  { "members and zones are summed", test_members_and_zones_are_summed },
  { "a zone counts once", test_a_zone_counts_once },
  { "usage of silent senders counts until it leaves the window",
    test_usage_of_silent_senders_counts_until_it_leaves_the_window },
  { "sums of silent senders expire", test_sums_of_silent_senders_expire },
  { "a window slides", test_window_slides },
  { NULL, NULL },
};
