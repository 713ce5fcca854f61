#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/turn_quorum.h>

#include <stdio.h>

static struct TurnCharge
charge (const char *turn, uint32_t tokens, bool settled)
{
  struct TurnCharge c = { .tokens = tokens, .settled = settled };

  snprintf (c.turn, sizeof c.turn, "%s", turn);
  return c;
}

/* Any write quorum and any read quorum share an archive, and a write quorum is larger than the
 * number of archives that may lose their disks. */
static void
test_write_and_read_quorums_intersect (void)
{
  for (uint32_t tolerated = 0; tolerated <= 2; tolerated++)
    for (uint32_t n = tolerated + 1; n <= 9; n++)
      {
        struct ArchiveQuorum quorum = archive_quorum (n, tolerated);

        CU_ASSERT (quorum.write + quorum.read > n);
        CU_ASSERT (quorum.write > tolerated);
        CU_ASSERT (quorum.read >= 1 && quorum.read <= n);
      }
}

/* Two archives each missed one close of the program. Only their merged charges are complete. */
static void
test_settled_charge_replaces_reservation (void)
{
  const struct TurnCharge first[] = { charge ("t1", 500, false), charge ("t2", 40, true) };
  const struct TurnCharge second[] = { charge ("t1", 19, true), charge ("t2", 500, false),
                                       charge ("t3", 500, false) };
  struct TurnCharge *all = NULL;
  size_t n = 0;

  CU_ASSERT_EQUAL (turn_charges_merge (NULL, &all, &n, first, 2), ERROR_NONE);
  CU_ASSERT_EQUAL (turn_charges_merge (NULL, &all, &n, second, 3), ERROR_NONE);
  CU_ASSERT_EQUAL (n, 3);
  CU_ASSERT_TRUE (turn_budget_allows (all, n, 19 + 40 + 500 + 100, 100));
  CU_ASSERT_FALSE (turn_budget_allows (all, n, 19 + 40 + 500 + 99, 100));
  talloc_free (all);
}

/* Sub-agents start at the same time through different gateways. Each sees the other's reservation,
 * so that together they cannot exceed the budget. */
static void
test_reservations_count_in_full (void)
{
  const struct TurnCharge others[] = { charge ("t1", 600, false) };

  CU_ASSERT_FALSE (turn_budget_allows (others, 1, 1000, 600));
  CU_ASSERT_TRUE (turn_budget_allows (others, 1, 1200, 600));
  CU_ASSERT_TRUE (turn_budget_allows (NULL, 0, 600, 600));
}

/* A program's first turn was rejected without being run and is retried. Treated as a running
 * program it would take precedence over programs that have run. */
static void
test_rejected_attempts_are_not_charged (void)
{
  struct TurnCharge charges[2] = { { .turn = "a", .settled = true }, { .turn = "b" } };

  CU_ASSERT_FALSE (turn_charges_any (charges, 0));
  CU_ASSERT_FALSE (turn_charges_any (charges, 1));
  CU_ASSERT_TRUE (turn_charges_any (charges, 2));
  charges[1].settled = true;
  CU_ASSERT_FALSE (turn_charges_any (charges, 2));
  charges[0].tokens = 16;
  CU_ASSERT_TRUE (turn_charges_any (charges, 2));
}

const char test_suite_name[] = "turn_quorum";
const struct TestCase test_cases[] = {
  { "write and read quorums intersect", test_write_and_read_quorums_intersect },
  { "a settled charge replaces a reservation", test_settled_charge_replaces_reservation },
  { "reservations count in full", test_reservations_count_in_full },
  { "rejected attempts are not charged", test_rejected_attempts_are_not_charged },
  { NULL, NULL },
};
