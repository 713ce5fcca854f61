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
take (struct UseBoard *board,
      const char *sender,
      const char *zone,
      enum UseScope scope,
      uint32_t taken,
      int64_t now_ms)
{
  struct CustomerUse use = { .customer = "alma", .taken = taken, .wanted = 2 * taken };
  struct UseReport report = { .scope = scope, .uses = &use, .n_uses = 1 };

  snprintf (report.zone, sizeof report.zone, "%s", zone);
  use_board_take (board, sender, &report, now_ms);
}

static uint32_t
sum (struct UseBoard *board, enum UseScope scope, uint32_t own_taken, int64_t now_ms)
{
  const struct CustomerUse own = { .customer = "alma", .taken = own_taken };
  size_t n;
  struct CustomerUse *uses = use_board_sum (board, board, scope, &own, 1, now_ms, &n);
  uint32_t taken = n > 0 ? uses[0].taken : 0;

  CU_ASSERT (n <= 1);
  talloc_free (uses);
  return taken;
}

static void
test_members_and_zones_are_summed (void)
{
  struct UseBoard *board = use_board_new (NULL);

  take (board, "b", "z1", USE_OF_GATEWAY, 3, START_MS);
  take (board, "c", "z1", USE_OF_GATEWAY, 4, START_MS);
  take (board, "x", "z2", USE_OF_ZONE, 10, START_MS);
  CU_ASSERT_EQUAL (sum (board, USE_OF_ZONE, 1, START_MS), 8);
  CU_ASSERT_EQUAL (sum (board, USE_OF_FLEET, 1, START_MS), 18);
  /* A newer word takes the place of the older one. */
  take (board, "b", "z1", USE_OF_GATEWAY, 5, START_MS + 1);
  CU_ASSERT_EQUAL (sum (board, USE_OF_ZONE, 1, START_MS + 1), 10);
  CU_ASSERT_EQUAL (use_board_received_ms (board), START_MS + 1);
  talloc_free (board);
}

/* Both aggregators of a zone tell its sum. Counted twice, customers were held to half of their
 * limits; the word heard last counts. */
static void
test_a_zone_counts_once (void)
{
  struct UseBoard *board = use_board_new (NULL);

  take (board, "x", "z2", USE_OF_ZONE, 10, START_MS);
  take (board, "y", "z2", USE_OF_ZONE, 12, START_MS + 5);
  CU_ASSERT_EQUAL (sum (board, USE_OF_FLEET, 0, START_MS + 5), 12);
  take (board, "x", "z2", USE_OF_ZONE, 11, START_MS + 9);
  CU_ASSERT_EQUAL (sum (board, USE_OF_FLEET, 0, START_MS + 9), 11);
  /* Heard in the same moment: one of them. */
  take (board, "y", "z2", USE_OF_ZONE, 11, START_MS + 9);
  CU_ASSERT_EQUAL (sum (board, USE_OF_FLEET, 0, START_MS + 9), 11);
  talloc_free (board);
}

static void
test_who_is_silent_counts_no_more (void)
{
  struct UseBoard *board = use_board_new (NULL);

  take (board, "b", "z1", USE_OF_GATEWAY, 3, START_MS);
  take (board, "a", "z1", USE_OF_FLEET, 30, START_MS);
  CU_ASSERT_PTR_NOT_NULL (use_board_fleet (board, START_MS));
  take (board, "d", "z1", USE_OF_FLEET, 31, START_MS + 10);
  CU_ASSERT_EQUAL (use_board_fleet (board, START_MS + 10)->uses[0].taken, 31);
  CU_ASSERT_EQUAL (sum (board, USE_OF_ZONE, 0, START_MS + SILENT_MS), 0);
  CU_ASSERT_PTR_NULL (use_board_fleet (board, START_MS + SILENT_MS));
  talloc_free (board);
}

static void
test_a_window_slides (void)
{
  struct UseWindow window = { 0 };

  use_window_add (&window, SPAN_MS, START_MS, 7);
  use_window_add (&window, SPAN_MS, START_MS + 3000, 2);
  CU_ASSERT_EQUAL (use_window_total (&window, SPAN_MS, START_MS + SPAN_MS - 1), 9);
  /* Never less than the true number of the span, a slice longer at the most. */
  CU_ASSERT_EQUAL (use_window_total (&window, SPAN_MS, START_MS + SPAN_MS), 9);
  CU_ASSERT_EQUAL (use_window_total (&window, SPAN_MS, START_MS + SPAN_MS + SPAN_MS / USE_SLICES),
                   2);
  use_window_take_back (&window, SPAN_MS, START_MS + 3000, START_MS + 6000, 2);
  CU_ASSERT_EQUAL (use_window_total (&window, SPAN_MS, START_MS + 6000), 0);
  /* What has left the span is not taken back from what came after it. */
  use_window_add (&window, SPAN_MS, START_MS + 20000, 1);
  use_window_take_back (&window, SPAN_MS, START_MS + 3000, START_MS + 20000, 1);
  CU_ASSERT_EQUAL (use_window_total (&window, SPAN_MS, START_MS + 20000), 1);
  CU_ASSERT_EQUAL (use_window_total (&window, SPAN_MS, START_MS + 100000), 0);
}

const char test_suite_name[] = "use_board";
const struct TestCase test_cases[] = {
  { "members and zones are summed", test_members_and_zones_are_summed },
  { "a zone counts once", test_a_zone_counts_once },
  { "who is silent counts no more", test_who_is_silent_counts_no_more },
  { "a window slides", test_a_window_slides },
  { NULL, NULL },
};
