#include "test_main.h"

#include <buckthornhead/ledger.h>

#include <stdio.h>
#include <string.h>

enum
{
  GRANT = 50,
  BUDGET = 1000,
  PARTITION = 3
};

static struct Ledger *
ledger_with (TALLOC_CTX *ctx, const char *program, uint32_t turn_limit)
{
  struct Ledger *ledger = ledger_new (ctx);
  struct Record want = { .kind = RECORD_PROGRAM, .partition = PARTITION, .epoch = 1 };
  struct Fault fault;
  bool exists;

  snprintf (want.program.program, sizeof want.program.program, "%s", program);
  want.program.budget_tokens = BUDGET;
  want.program.grant_tokens = GRANT;
  want.program.turn_limit = turn_limit;
  CU_ASSERT_EQUAL (ledger_create_program (ledger, &want, &exists, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &want), ERROR_NONE);
  return ledger;
}

/* A call whose body is told by digest_byte and which reserves 20 + max_tokens. */
static struct Call
call_of (const char *branch, uint64_t sequence, uint8_t digest_byte, uint32_t max_tokens)
{
  struct Call call = { .idempotent = true, .prompt_tokens = 20, .max_tokens = max_tokens };

  snprintf (call.key.program, sizeof call.key.program, "p");
  snprintf (call.key.branch, sizeof call.key.branch, "%s", branch);
  call.key.sequence = sequence;
  memset (call.digest, digest_byte, DIGEST_BYTES);
  return call;
}

static struct LedgerDecision
accept (struct Ledger *ledger, struct Call call)
{
  struct LedgerDecision decision;

  ledger_accept_call (ledger, &call, 1000, &decision);
  return decision;
}

static struct Record
end_record (struct Ledger *ledger, struct Call call, const char *answer, uint64_t charge_tokens)
{
  struct Outcome outcome = { .ran = RAN_YES,
                             .charge_tokens = charge_tokens,
                             .backend = "engine-1",
                             .answer = (const uint8_t *)answer,
                             .answer_bytes = strlen (answer) };
  struct Record record = { 0 };

  CU_ASSERT_EQUAL (ledger_end_call (ledger, &call.key, &outcome, NULL, 0, &record), ERROR_NONE);
  return record;
}

static void
run (struct Ledger *ledger, struct Call call, const char *answer, uint64_t charge_tokens)
{
  struct LedgerDecision decision = accept (ledger, call);
  struct Record record;

  if (decision.verdict == LEDGER_JOURNAL_FIRST)
    CU_ASSERT_EQUAL (ledger_apply (ledger, &decision.record), ERROR_NONE);
  record = end_record (ledger, call, answer, charge_tokens);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &record), ERROR_NONE);
}

static struct LedgerProgramView
view_of (struct Ledger *ledger)
{
  struct LedgerProgramView view = { 0 };

  CU_ASSERT (ledger_view_program (ledger, "p", &view));
  return view;
}

static uint32_t
adopt (struct Ledger *ledger, uint64_t epoch, bool planned)
{
  struct Record *records;
  size_t n_records;

  CU_ASSERT_EQUAL (
      ledger_adopt_partition (ledger, ledger, PARTITION, epoch, planned, &records, &n_records),
      ERROR_NONE);
  return (uint32_t)n_records;
}

/* A picker's agent resends after a broken connection, and its calls arrive crossed: each gets the
 * answer to its own request, or is told the number that is expected. */
static void
test_resent_and_crossed_calls (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct LedgerDecision d = accept (ledger, call_of (MAIN_BRANCH, 2, 2, 10));

  CU_ASSERT_EQUAL (d.verdict, LEDGER_REFUSE);
  CU_ASSERT_EQUAL (d.fault.error, ERROR_OUT_OF_ORDER);
  CU_ASSERT_EQUAL (d.expected_sequence, 1);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_RUN);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_JOIN);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 9, 10)).fault.error,
                   ERROR_UNKNOWN_CALL);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 2, 2, 10)).fault.error,
                   ERROR_OUT_OF_ORDER);
  {
    struct Record record = end_record (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "one", 7);

    /* Written but not durable: nobody may hear of it. */
    CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_JOIN);
    ledger_apply (ledger, &record);
    ledger_apply (ledger, &record); /* a replay may meet it twice */
    CU_ASSERT_EQUAL (view_of (ledger).turns, 1);
  }
  run (ledger, call_of (MAIN_BRANCH, 2, 2, 10), "two", 7);
  d = accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (memcmp (d.stored->answer, "one", 3), 0);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 2, 9, 10)).fault.error,
                   ERROR_UNKNOWN_CALL);
  talloc_free (ctx);
}

/* Two programs send equal bodies at once. Their answers and histories must not meet: the call is
 * found by program, branch and sequence, never by its digest. */
static void
test_two_programs_with_equal_bodies (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Record other = { .kind = RECORD_PROGRAM, .partition = PARTITION, .epoch = 1 };
  struct Call second = call_of (MAIN_BRANCH, 1, 1, 10);
  struct LedgerDecision d;

  snprintf (other.program.program, sizeof other.program.program, "q");
  other.program.budget_tokens = BUDGET;
  other.program.grant_tokens = GRANT;
  ledger_apply (ledger, &other);
  snprintf (second.key.program, sizeof second.key.program, "q");
  run (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "for p", 7);
  CU_ASSERT_EQUAL (accept (ledger, second).verdict, LEDGER_RUN);
  {
    struct Record record = end_record (ledger, second, "for q", 7);

    ledger_apply (ledger, &record);
  }
  d = accept (ledger, second);
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (memcmp (d.stored->answer, "for q", 5), 0);
  CU_ASSERT_NOT_EQUAL (memcmp (view_of (ledger).history_digest, (uint8_t[DIGEST_BYTES]){ 0 }, 32),
                       0);
  talloc_free (ctx);
}

/* Sub-agents draw on one budget at once, and an engine answers longer than it was told to. What
 * is charged and reserved together never passes the budget. */
static void
test_budget_is_shared_and_capped (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct LedgerDecision d;

  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 480)).verdict, LEDGER_JOURNAL_FIRST);
  CU_ASSERT_EQUAL (accept (ledger, call_of ("a", 1, 1, 480)).fault.error, ERROR_NONE);
  d = accept (ledger, call_of ("b", 1, 1, 0));
  CU_ASSERT_EQUAL (d.fault.error, ERROR_BUDGET);
  CU_ASSERT_EQUAL (d.end_reason, 0);
  CU_ASSERT_EQUAL (view_of (ledger).reserved_tokens, BUDGET);
  {
    struct Record intent = { .kind = RECORD_INTENT, .partition = PARTITION, .epoch = 1 };
    struct Record record;

    intent.intent.key = call_of ("a", 1, 1, 480).key;
    ledger_apply (ledger, &intent);
    record = end_record (ledger, call_of ("a", 1, 1, 480), "long", 100000);
    CU_ASSERT_EQUAL (record.outcome.outcome.charge_tokens, 500);
    ledger_apply (ledger, &record);
  }
  CU_ASSERT_EQUAL (view_of (ledger).charged_tokens, 500);
  CU_ASSERT_EQUAL (view_of (ledger).reserved_tokens, 500);
  CU_ASSERT_EQUAL (accept (ledger, call_of ("a", 2, 2, UINT32_MAX)).end_reason, END_OVER_BUDGET);
  talloc_free (ctx);
}

/* A home dies while sub-agents have calls in flight, and then a second one does. The tokens that
 * those calls used were never written down; charging each branch what it can have reserved keeps
 * the program within its budget, whatever the engines did. */
static void
test_budget_under_take_over (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct LedgerDecision d;

  /* A first call on a new branch is journaled, else a take-over would not know to charge it. */
  d = accept (ledger, call_of ("a", 1, 1, 10));
  CU_ASSERT_EQUAL (d.verdict, LEDGER_JOURNAL_FIRST);
  ledger_apply (ledger, &d.record);
  d = accept (ledger, call_of (MAIN_BRANCH, 1, 1, GRANT - 20));
  CU_ASSERT_EQUAL (d.verdict, LEDGER_RUN);
  adopt (ledger, 2, false);
  CU_ASSERT_EQUAL (view_of (ledger).charged_tokens, 30 + GRANT);
  CU_ASSERT_EQUAL (view_of (ledger).reserved_tokens, 0);
  for (uint64_t epoch = 3; epoch < 30; epoch++)
    adopt (ledger, epoch, false);
  CU_ASSERT_EQUAL (view_of (ledger).charged_tokens, BUDGET);
  CU_ASSERT_EQUAL (accept (ledger, call_of ("a", 1, 1, 10)).fault.error, ERROR_BUDGET);
  talloc_free (ctx);
}

/* A home is replaced while the creation of a program waits to be written, and its caller sends
 * both again elsewhere. What the first home ran meanwhile would be charged to nobody. */
static void
test_call_before_its_program_is_durable (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_new (ctx);
  struct Record want = { .kind = RECORD_PROGRAM, .partition = PARTITION, .epoch = 1 };
  struct Fault fault;
  bool exists;

  snprintf (want.program.program, sizeof want.program.program, "p");
  want.program.budget_tokens = BUDGET;
  want.program.grant_tokens = GRANT;
  ledger_create_program (ledger, &want, &exists, &fault);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_JOURNAL_FIRST);
  talloc_free (ctx);
}

/* A wage confirmation was sent and its home died before the answer was written. The resend must
 * hear "may have run", at this home and at the next, and the program goes on with the next call. */
static void
test_intent_without_outcome (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Call wage = call_of (MAIN_BRANCH, 1, 1, 10);
  struct LedgerDecision d;

  wage.idempotent = false;
  d = accept (ledger, wage);
  CU_ASSERT_EQUAL (d.verdict, LEDGER_JOURNAL_FIRST);
  ledger_apply (ledger, &d.record);
  CU_ASSERT_EQUAL (adopt (ledger, 2, false), 1);
  d = accept (ledger, wage);
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (d.stored->error, ERROR_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (d.stored->ran, RAN_MAYBE);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 2, 2, 10)).verdict, LEDGER_RUN);
  talloc_free (ctx);
}

/* A refusal races with the dispatch. "Not run" is said of a journaled intent only after a record
 * says so too, else the home that takes over would call it "may have run". */
static void
test_abandoned_intent_may_be_used_again (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Call wage = call_of (MAIN_BRANCH, 1, 1, 10);
  struct LedgerDecision d;
  struct Record record;
  bool must_journal;

  wage.idempotent = false;
  accept (ledger, wage);
  CU_ASSERT_EQUAL (ledger_abandon_call (ledger, &wage.key, &record, &must_journal), ERROR_NONE);
  CU_ASSERT_FALSE (must_journal);
  d = accept (ledger, wage);
  ledger_apply (ledger, &d.record);
  CU_ASSERT_EQUAL (ledger_abandon_call (ledger, &wage.key, &record, &must_journal), ERROR_NONE);
  CU_ASSERT (must_journal);
  CU_ASSERT_EQUAL (accept (ledger, wage).verdict, LEDGER_JOIN);
  ledger_apply (ledger, &record);
  CU_ASSERT_EQUAL (view_of (ledger).reserved_tokens, 0);
  adopt (ledger, 2, false);
  CU_ASSERT_EQUAL (accept (ledger, wage).verdict, LEDGER_JOURNAL_FIRST);
  talloc_free (ctx);
}

/* A home paused over a take-over wakes and its old records are read after the new home's: the
 * history that callers were told of must stand. */
static void
test_lower_epoch_is_ignored (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Record late;
  struct LedgerDecision d;

  accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  late = end_record (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "old", 7);
  adopt (ledger, 2, false);
  run (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "new", 7);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &late), ERROR_NONE);
  late.outcome.key.sequence = 2;
  CU_ASSERT_EQUAL (ledger_apply (ledger, &late), ERROR_NONE);
  d = accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (memcmp (d.stored->answer, "new", 3), 0);
  CU_ASSERT_EQUAL (view_of (ledger).turns, 1);
  talloc_free (ctx);
}

/* A program ends while a call is in flight: later calls are refused, what was in flight is still
 * recorded, and the memory at its backend server counts as held until it is released. */
static void
test_end_and_release (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Record end, outcome;
  struct Record released = { .kind = RECORD_RELEASED, .partition = PARTITION, .epoch = 1 };

  accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  CU_ASSERT_EQUAL (ledger_end_program (ledger, "p", END_CANCELLED, &end), ERROR_NONE);
  CU_ASSERT_EQUAL (ledger_end_program (ledger, "p", END_DONE, &end), ERROR_ENDED);
  CU_ASSERT_EQUAL (accept (ledger, call_of ("a", 1, 2, 10)).fault.error, ERROR_ENDED);
  ledger_apply (ledger, &end);
  outcome = end_record (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "one", 7);
  ledger_apply (ledger, &outcome);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (view_of (ledger).n_held_backends, 1);
  CU_ASSERT_FALSE (ledger_forget_program (ledger, "p"));
  snprintf (released.released.program, sizeof released.released.program, "p");
  snprintf (released.released.backend, sizeof released.released.backend, "engine-1");
  ledger_apply (ledger, &released);
  CU_ASSERT_EQUAL (view_of (ledger).n_held_backends, 0);
  CU_ASSERT (ledger_forget_program (ledger, "p"));
  talloc_free (ctx);
}

/* A call breaks on engine-2 and runs on engine-1; the program is handed to another home and ends
 * there. engine-2 has read the prompt too, and no outcome says so: without the record its memory
 * would stay held for ever. */
static void
test_broken_dispatch_is_released_after_a_hand_off (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Record held = { .kind = RECORD_HELD, .partition = PARTITION, .epoch = 1 };
  struct Record end, released = { .kind = RECORD_RELEASED, .partition = PARTITION, .epoch = 2 };

  snprintf (held.released.program, sizeof held.released.program, "p");
  snprintf (held.released.backend, sizeof held.released.backend, "engine-2");
  CU_ASSERT_EQUAL (ledger_apply (ledger, &held), ERROR_NONE);
  run (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "one", 7);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &held), ERROR_NONE); /* told twice */
  adopt (ledger, 2, true);
  CU_ASSERT_EQUAL (ledger_end_program (ledger, "p", END_DONE, &end), ERROR_NONE);
  end.epoch = 2;
  CU_ASSERT_EQUAL (ledger_apply (ledger, &end), ERROR_NONE);
  CU_ASSERT_EQUAL (view_of (ledger).n_held_backends, 2);
  snprintf (released.released.program, sizeof released.released.program, "p");
  snprintf (released.released.backend, sizeof released.released.backend, "engine-2");
  CU_ASSERT_EQUAL (ledger_apply (ledger, &released), ERROR_NONE);
  CU_ASSERT_EQUAL (view_of (ledger).n_held_backends, 1);
  talloc_free (ctx);
}

static void
test_looping_and_late_programs_are_stopped (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 2);

  for (uint64_t n = 1; n <= 2; n++)
    run (ledger, call_of (MAIN_BRANCH, n, (uint8_t)n, 10), "again", 1);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 3, 3, 10)).end_reason, END_LOOPING);
  talloc_free (ctx);
}

/* A long program's state is larger than a slot. Its parts, replayed elsewhere, give the same
 * program: history, digests, intent and what is held. */
static void
test_snapshot_in_parts (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0), *other = ledger_new (ctx);
  char *answer = talloc_zero_array (ctx, char, 300001);
  struct Record *records;
  struct Call wage = call_of (MAIN_BRANCH, 4, 4, 10);
  struct LedgerDecision d;
  struct LedgerProgramView was, is;
  size_t n_records;

  memset (answer, 'x', 300000);
  for (uint64_t n = 1; n <= 3; n++)
    run (ledger, call_of (MAIN_BRANCH, n, (uint8_t)n, 10), answer, 1);
  wage.idempotent = false;
  d = accept (ledger, wage);
  ledger_apply (ledger, &d.record);
  CU_ASSERT_EQUAL (ledger_snapshot_partition (ledger, ctx, PARTITION, &records, &n_records),
                   ERROR_NONE);
  CU_ASSERT_EQUAL (n_records, 4);
  for (size_t i = 0; i < n_records; i++)
    CU_ASSERT_EQUAL (ledger_apply (other, &records[i]), ERROR_NONE);
  was = view_of (ledger);
  is = view_of (other);
  CU_ASSERT_EQUAL (memcmp (was.history_digest, is.history_digest, DIGEST_BYTES), 0);
  CU_ASSERT_EQUAL (is.charged_tokens, was.charged_tokens);
  CU_ASSERT_EQUAL (is.reserved_tokens, 30);
  CU_ASSERT_EQUAL (accept (other, wage).verdict, LEDGER_JOIN);
  records[1].snapshot.part = 2;
  ledger_apply (other, &records[0]);
  CU_ASSERT_EQUAL (ledger_apply (other, &records[1]), ERROR_INVALID);
  talloc_free (ctx);
}

const char test_suite_name[] = "ledger";
const struct TestCase test_cases[] = {
  { "resent and crossed calls", test_resent_and_crossed_calls },
  { "two programs with equal bodies", test_two_programs_with_equal_bodies },
  { "budget is shared and capped", test_budget_is_shared_and_capped },
  { "budget under take-over", test_budget_under_take_over },
  { "call before its program is durable", test_call_before_its_program_is_durable },
  { "intent without outcome", test_intent_without_outcome },
  { "abandoned intent may be used again", test_abandoned_intent_may_be_used_again },
  { "lower epoch is ignored", test_lower_epoch_is_ignored },
  { "end and release", test_end_and_release },
  { "broken dispatch is released after a hand-off",
    test_broken_dispatch_is_released_after_a_hand_off },
  { "looping and late programs are stopped", test_looping_and_late_programs_are_stopped },
  { "snapshot in parts", test_snapshot_in_parts },
  { NULL, NULL },
};
