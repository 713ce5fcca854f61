#include "test_main.h"

#include <buckthornhead/turn_index.h>

#include <stdio.h>
#include <string.h>

enum
{
  RETENTION_MS = 60000
};

static struct TurnOpen
turn_open (const char *turn, uint32_t tokens)
{
  struct TurnOpen open = { .reserve_tokens = tokens };

  snprintf (open.turn, sizeof open.turn, "%s", turn);
  snprintf (open.program, sizeof open.program, "p");
  return open;
}

static struct TurnClose
turn_close (const char *turn, const char *previous, uint32_t tokens, bool kept)
{
  struct TurnClose close = { .charge_tokens = tokens, .kept = kept, .retention_ms = RETENTION_MS };

  snprintf (close.program, sizeof close.program, "p");
  snprintf (close.text.turn, sizeof close.text.turn, "%s", turn);
  snprintf (close.text.previous, sizeof close.text.previous, "%s", previous);
  return close;
}

static void
close_turn (struct TurnIndex *index, const char *turn, const char *previous, int64_t unix_ms)
{
  const struct TurnClose close = turn_close (turn, previous, 19, true);
  const struct DiskPlace place = { 1, 100, 10 };

  CU_ASSERT_EQUAL (turn_index_close (index, &close, &place, unix_ms), ERROR_NONE);
}

static uint32_t
charged_tokens (struct TurnIndex *index, const char *except, bool *settled)
{
  struct TurnCharge *charges;
  uint32_t tokens = 0;
  const struct TurnOpen open = turn_open (except, 0);
  size_t n;

  *settled = true;
  turn_index_charges (index, index, &open, &charges, &n);
  for (size_t i = 0; i < n; i++)
    {
      tokens += charges[i].tokens;
      *settled = *settled && charges[i].settled;
    }
  talloc_free (charges);
  return tokens;
}

static void
test_reservation_becomes_charge (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const struct TurnOpen open = turn_open ("t1", 500);
  const struct TurnClose close = turn_close ("t1", "", 38, false);
  bool settled;

  turn_index_reserve (index, &open, 0);
  CU_ASSERT_EQUAL (charged_tokens (index, "t2", &settled), 500);
  CU_ASSERT_FALSE (settled);
  CU_ASSERT_EQUAL (charged_tokens (index, "t1", &settled), 0);
  turn_index_close (index, &close, NULL, 10);
  CU_ASSERT_EQUAL (charged_tokens (index, "t2", &settled), 38);
  CU_ASSERT_TRUE (settled);
  talloc_free (index);
}

/* A request resent over another path arrives after the turn has closed. Treated as a new
 * reservation it would occupy the program's budget forever. */
static void
test_late_resend_does_not_reopen_turn (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const struct TurnOpen open = turn_open ("t1", 500);
  bool settled;

  turn_index_reserve (index, &open, 0);
  close_turn (index, "t1", "", 10);
  turn_index_reserve (index, &open, 20);
  CU_ASSERT_EQUAL (charged_tokens (index, "", &settled), 19);
  CU_ASSERT_TRUE (settled);
  CU_ASSERT_TRUE (turn_index_is_closed (index, "", "p", "t1"));
  talloc_free (index);
}

/* The copied reservation of an earlier turn ended the retention of the program's charges early. */
static void
test_an_older_reservation_forgets_no_charge (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const struct TurnOpen open = turn_open ("t1", 500);
  bool settled;

  close_turn (index, "t2", "", 170000);
  turn_index_reserve (index, &open, 0);
  turn_index_expire (index, 200000);
  CU_ASSERT_EQUAL (charged_tokens (index, "", &settled), 519);
  turn_index_expire (index, 170000 + 180000);
  CU_ASSERT_EQUAL (charged_tokens (index, "", &settled), 0);
  talloc_free (index);
}

/* A conversation lasts longer than the retention of a turn. Its first turn must be kept as long as
 * its last, since continuing it needs the whole chain. */
static void
test_turn_keeps_its_whole_chain (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  struct TurnPlace place;

  close_turn (index, "t1", "", 0);
  close_turn (index, "t2", "t1", 50000);
  close_turn (index, "t3", "t2", 100000);
  turn_index_expire (index, 140000);
  CU_ASSERT_TRUE (turn_index_find (index, "", "t1", &place));
  CU_ASSERT_STRING_EQUAL (place.previous, "");
  CU_ASSERT_TRUE (turn_index_find (index, "", "t3", &place));
  CU_ASSERT_STRING_EQUAL (place.previous, "t2");
  turn_index_expire (index, 100000 + RETENTION_MS + 60000);
  CU_ASSERT_EQUAL (turn_index_count (index), 0);
  talloc_free (index);
}

/* Clocks of instances may differ by some seconds. No turn may expire before its retention. */
static void
test_turn_is_kept_past_its_retention (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  struct TurnPlace place;

  close_turn (index, "t1", "", 0);
  turn_index_expire (index, RETENTION_MS + 5000);
  CU_ASSERT_TRUE (turn_index_find (index, "", "t1", &place));
  talloc_free (index);
}

static void
test_interrupted_turn_is_charged_not_kept (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const struct TurnClose close = turn_close ("t1", "", 57, false);
  struct TurnPlace place;
  bool settled;

  turn_index_close (index, &close, NULL, 0);
  CU_ASSERT_FALSE (turn_index_find (index, "", "t1", &place));
  CU_ASSERT_EQUAL (charged_tokens (index, "", &settled), 57);
  talloc_free (index);
}

/* Turns of one session arrive through several gateways, none of which keeps the conversation. The
 * archives return the server that ran the previous turn, so that no other server processes the same
 * prompt again: that of the session itself or, for a sub-agent's first turn, of the session that
 * started it. */
static void
test_places_of_sessions_are_found (void)
{
  const struct TurnOpen own = { .program = "p", .sessions = { 5, 0 } };
  const struct TurnOpen child = { .program = "p", .sessions = { 6, 5 } };
  const struct TurnOpen other = { .program = "p", .sessions = { 9, 8 } };
  const struct TurnOpen elsewhere = { .program = "q", .sessions = { 5, 0 } };
  struct TurnIndex *index = turn_index_new (NULL);
  struct TurnClose close = turn_close ("t1", "", 19, false);
  const struct DiskPlace place = { 1, 100, 10 };

  CU_ASSERT_EQUAL (turn_index_place (index, &own).session, 0);
  close.session = 5;
  close.session_tokens = 1000;
  snprintf (close.text.server, sizeof close.text.server, "e1");
  turn_index_close (index, &close, &place, 0);
  CU_ASSERT_STRING_EQUAL (turn_index_place (index, &own).server, "e1");
  CU_ASSERT_STRING_EQUAL (turn_index_place (index, &child).server, "e1");
  CU_ASSERT_EQUAL (turn_index_place (index, &other).session, 0);
  CU_ASSERT_EQUAL (turn_index_place (index, &elsewhere).session, 0);
  close = turn_close ("t2", "", 19, false);
  close.session = 6;
  close.session_tokens = 200;
  snprintf (close.text.server, sizeof close.text.server, "e2");
  turn_index_close (index, &close, &place, 0);
  CU_ASSERT_STRING_EQUAL (turn_index_place (index, &child).server, "e2");
  CU_ASSERT_EQUAL (turn_index_place (index, &child).tokens, 200);
  talloc_free (index);
}

/* A customer continues a turn of another customer's program, or uses that program's id for its own.
 * It must not read the other's data, detect that it exists, or spend its budget. */
static void
test_other_customers_data_is_hidden (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  struct TurnClose close = turn_close ("t1", "", 19, true);
  struct TurnOpen open = turn_open ("t2", 500);
  const struct DiskPlace first = { 1, 100, 10 }, second = { 2, 200, 10 };
  struct TurnPlace place;
  struct TurnCharge *charges;
  size_t n;

  snprintf (close.customer, sizeof close.customer, "alma");
  turn_index_close (index, &close, &first, 0);
  CU_ASSERT_TRUE (turn_index_find (index, "alma", "t1", &place));
  CU_ASSERT_FALSE (turn_index_find (index, "bela", "t1", &place));
  CU_ASSERT_FALSE (turn_index_find (index, "", "t1", &place));
  CU_ASSERT_FALSE (turn_index_find (index, "", "alma/t1", &place));
  CU_ASSERT_FALSE (turn_index_is_closed (index, "bela", "p", "t1"));
  CU_ASSERT_EQUAL (turn_index_expiry (index, "bela", "t1"), 0);
  snprintf (open.customer, sizeof open.customer, "bela");
  turn_index_charges (index, index, &open, &charges, &n);
  CU_ASSERT_EQUAL (n, 0);
  turn_index_reserve (index, &open, 0);
  snprintf (open.customer, sizeof open.customer, "alma");
  snprintf (open.turn, sizeof open.turn, "t9");
  turn_index_charges (index, index, &open, &charges, &n);
  CU_ASSERT_EQUAL (n, 1);
  /* The same id of another customer is another turn. */
  snprintf (close.customer, sizeof close.customer, "bela");
  turn_index_close (index, &close, &second, 0);
  CU_ASSERT_TRUE (turn_index_find (index, "alma", "t1", &place));
  CU_ASSERT_EQUAL (place.place.file, 1);
  CU_ASSERT_TRUE (turn_index_find (index, "bela", "t1", &place));
  CU_ASSERT_EQUAL (place.place.file, 2);
  talloc_free (index);
}

/* An archive that copied a turn, and copies again after its texts have expired here, skipped the
 * texts, though other archives have kept them for later turns of the chain. */
static void
test_expired_texts_are_taken_again (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const struct TurnClose close = turn_close ("t1", "", 19, true);
  const struct TurnClose charge = turn_close ("t1", "", 19, false);

  CU_ASSERT_FALSE (turn_index_has_close (index, &close));
  close_turn (index, "t1", "", 1000);
  CU_ASSERT_TRUE (turn_index_has_close (index, &close));
  turn_index_expire (index, 1000 + 2 * RETENTION_MS);
  CU_ASSERT_TRUE (turn_index_is_closed (index, "", "p", "t1"));
  CU_ASSERT_FALSE (turn_index_has_close (index, &close));
  CU_ASSERT_TRUE (turn_index_has_close (index, &charge));
  talloc_free (index);
}

static void
count_extended (void *data, const struct DiskPlace *place, int64_t expires_unix_ms)
{
  uint32_t *n = data;

  CU_ASSERT_EQUAL (place->file, 1);
  CU_ASSERT (expires_unix_ms > 0);
  ++*n;
}

/* The texts of a program's first turns expired at an archive that did not store its later ones,
 * while their chain was still continued: the loss of another archive broke the chain. */
static void
test_reservations_keep_the_turns_of_their_program (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const char *const later[] = { "t2", "t3", "t4" };
  struct TurnOpen other = turn_open ("o1", 10);
  struct TurnPlace place;
  uint32_t n = 0;

  close_turn (index, "t1", "", 0);
  turn_index_on_extended (index, count_extended, &n);
  for (uint32_t i = 0; i < 3; i++)
    {
      const struct TurnOpen open = turn_open (later[i], 10);

      turn_index_reserve (index, &open, 30000 * (i + 1));
      turn_index_extend_program (index, &open, 30000 * (i + 1));
    }
  CU_ASSERT_EQUAL (n, 3);
  turn_index_expire (index, 90000 + RETENTION_MS);
  CU_ASSERT_TRUE (turn_index_find (index, "", "t1", &place));
  snprintf (other.program, sizeof other.program, "another");
  turn_index_reserve (index, &other, 140000);
  turn_index_extend_program (index, &other, 140000);
  CU_ASSERT_EQUAL (n, 3);
  turn_index_expire (index, 90000 + 2 * RETENTION_MS);
  CU_ASSERT_FALSE (turn_index_find (index, "", "t1", &place));
  talloc_free (index);
}

static struct TurnClose
turn_close_of (const char *program, const char *turn, const char *previous)
{
  struct TurnClose close = turn_close (turn, previous, 19, true);

  snprintf (close.program, sizeof close.program, "%s", program);
  return close;
}

/* A reservation extended the turns of its own program, but not the turns of other programs that
 * these continue. */
static void
test_reservations_keep_the_chain_of_their_program (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  const struct TurnClose first = turn_close_of ("a", "t1", "");
  const struct TurnOpen open = turn_open ("t3", 10);
  const struct DiskPlace place = { 1, 100, 10 };
  struct TurnPlace found;

  turn_index_close (index, &first, &place, 0);
  close_turn (index, "t2", "t1", 30000);
  CU_ASSERT_EQUAL (turn_index_extend_program (index, &open, 80000), ERROR_NONE);
  turn_index_expire (index, 80000 + RETENTION_MS);
  CU_ASSERT_TRUE (turn_index_find (index, "", "t2", &found));
  CU_ASSERT_TRUE (turn_index_find (index, "", "t1", &found));
  talloc_free (index);
}

/* A copy and a replay bring records in any order. A turn that was added after one that continues it
 * expired before that one. */
static void
test_a_chain_is_kept_in_whichever_order_it_is_added (void)
{
  static const char *const orders[] = { "123", "132", "213", "231", "312", "321" };
  const char *const turns[] = { "", "t1", "t2", "t3" };
  const int64_t closed_ms[] = { 0, 0, 55000, 110000 };

  for (size_t i = 0; i < sizeof orders / sizeof orders[0]; i++)
    {
      struct TurnIndex *index = turn_index_new (NULL);

      for (const char *at = orders[i]; *at != '\0'; at++)
        {
          CU_ASSERT_FALSE (turn_index_has_chain (index, "", "t3"));
          close_turn (index, turns[*at - '0'], turns[*at - '1'], closed_ms[*at - '0']);
        }
      CU_ASSERT_TRUE (turn_index_has_chain (index, "", "t3"));
      turn_index_expire (index, 110000 + RETENTION_MS);
      CU_ASSERT_TRUE (turn_index_has_chain (index, "", "t3"));
      CU_ASSERT_EQUAL (turn_index_expiry (index, "", "t1"), turn_index_expiry (index, "", "t3"));
      talloc_free (index);
    }
}

static void
test_a_chain_with_a_hole_is_not_whole (void)
{
  struct TurnIndex *index = turn_index_new (NULL);
  struct TurnPlace place;

  CU_ASSERT_TRUE (turn_index_has_chain (index, "", ""));
  CU_ASSERT_FALSE (turn_index_has_chain (index, "", "t1"));
  close_turn (index, "t3", "t2", 0);
  close_turn (index, "t1", "", 0);
  CU_ASSERT_FALSE (turn_index_has_chain (index, "", "t3"));
  CU_ASSERT_FALSE (turn_index_find (index, "", "t2", &place));
  CU_ASSERT_EQUAL (turn_index_expiry (index, "", "t2"), 0);
  CU_ASSERT_TRUE (turn_index_has_chain (index, "", "t1"));
  /* Only corrupt records name a later turn as the previous one. */
  close_turn (index, "t2", "t3", 0);
  CU_ASSERT_FALSE (turn_index_has_chain (index, "", "t3"));
  talloc_free (index);
}

const char test_suite_name[] = "turn_index";
const struct TestCase test_cases[] = {
  { "a reservation becomes a charge", test_reservation_becomes_charge },
  { "a late resend does not reopen a turn", test_late_resend_does_not_reopen_turn },
  { "an older reservation forgets no charge", test_an_older_reservation_forgets_no_charge },
  { "a turn keeps its whole chain", test_turn_keeps_its_whole_chain },
  { "a turn is kept past its retention", test_turn_is_kept_past_its_retention },
  { "an interrupted turn is charged, not kept", test_interrupted_turn_is_charged_not_kept },
  { "places of a program's sessions are found", test_places_of_sessions_are_found },
  { "another customer's data is hidden", test_other_customers_data_is_hidden },
  { "expired texts are taken again", test_expired_texts_are_taken_again },
  { "reservations keep the turns of their program",
    test_reservations_keep_the_turns_of_their_program },
  { "reservations keep the chain of their program",
    test_reservations_keep_the_chain_of_their_program },
  { "a chain is kept in whichever order it is added",
    test_a_chain_is_kept_in_whichever_order_it_is_added },
  { "a chain with a hole is not whole", test_a_chain_with_a_hole_is_not_whole },
  { NULL, NULL },
};
