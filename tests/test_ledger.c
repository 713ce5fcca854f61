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
  struct Record created = { .kind = RECORD_PROGRAM, .partition = PARTITION, .epoch = 1 };
  struct Fault fault;
  bool exists;

  snprintf (created.program.program, sizeof created.program.program, "%s", program);
  created.program.budget_tokens = BUDGET;
  created.program.grant_tokens = GRANT;
  created.program.turn_limit = turn_limit;
  CU_ASSERT_EQUAL (ledger_create_program (ledger, &created, &exists, &fault), ERROR_NONE);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &created), ERROR_NONE);
  return ledger;
}

/* Returns a call that reserves 20 + max_tokens. digest_byte stands for its body. */
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
                             .response = (const uint8_t *)answer,
                             .response_bytes = strlen (answer) };
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

/* A caller resends after a broken connection, and its calls arrive out of order. Each must get the
 * response to its own request, or an error with the expected sequence number. */
static void
test_resent_and_out_of_order_calls (void)
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

    /* Journaled but not durable: no caller may receive it. */
    CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_JOIN);
    ledger_apply (ledger, &record);
    ledger_apply (ledger, &record); /* a replay may apply it twice */
    CU_ASSERT_EQUAL (view_of (ledger).turns, 1);
  }
  run (ledger, call_of (MAIN_BRANCH, 2, 2, 10), "two", 7);
  d = accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (memcmp (d.stored->response, "one", 3), 0);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 2, 9, 10)).fault.error,
                   ERROR_UNKNOWN_CALL);
  talloc_free (ctx);
}

/* Two programs send equal bodies concurrently. Their responses and histories must stay separate: a
 * call is found by program, branch and sequence, never by its digest. */
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
  CU_ASSERT_EQUAL (memcmp (d.stored->response, "for q", 5), 0);
  CU_ASSERT_NOT_EQUAL (memcmp (view_of (ledger).history_digest, (uint8_t[DIGEST_BYTES]){ 0 }, 32),
                       0);
  talloc_free (ctx);
}

/* Sub-agents use one budget concurrently, and an engine generates more than max_tokens. The sum of
 * charged and reserved tokens must never exceed the budget. */
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

/* A home fails while sub-agents have calls in flight, then further homes fail. The tokens used by
 * those calls were not journaled. Charging each branch the maximum that it can have reserved keeps
 * the program within its budget. */
static void
test_budget_after_take_overs (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct LedgerDecision d;

  /* The first call on a new branch is journaled; otherwise a take-over would not charge it. */
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

/* A home is replaced while the creation of a program is queued, and the caller resends the creation
 * and the call to another home. Without a journaled intent, a call that the first home ran in the
 * meantime would not be charged. */
static void
test_call_before_its_program_is_durable (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_new (ctx);
  struct Record created = { .kind = RECORD_PROGRAM, .partition = PARTITION, .epoch = 1 };
  struct Fault fault;
  bool exists;

  snprintf (created.program.program, sizeof created.program.program, "p");
  created.program.budget_tokens = BUDGET;
  created.program.grant_tokens = GRANT;
  ledger_create_program (ledger, &created, &exists, &fault);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10)).verdict, LEDGER_JOURNAL_FIRST);
  talloc_free (ctx);
}

/* A home fails after sending a non-idempotent call and before journaling its outcome. A resend must
 * get "may have run" after the take-over, and the program must be able to continue. */
static void
test_intent_without_outcome (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Call call = call_of (MAIN_BRANCH, 1, 1, 10);
  struct LedgerDecision d;

  call.idempotent = false;
  d = accept (ledger, call);
  CU_ASSERT_EQUAL (d.verdict, LEDGER_JOURNAL_FIRST);
  ledger_apply (ledger, &d.record);
  CU_ASSERT_EQUAL (adopt (ledger, 2, false), 1);
  d = accept (ledger, call);
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (d.stored->error, ERROR_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (d.stored->ran, RAN_MAYBE);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 2, 2, 10)).verdict, LEDGER_RUN);
  talloc_free (ctx);
}

/* A call is cancelled while its dispatch is prepared. "Not run" may be reported for a journaled
 * intent only after RECORD_NOT_SENT is durable; otherwise a home that takes over would report "may
 * have run". */
static void
test_sequence_of_abandoned_intent_is_reusable (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Call call = call_of (MAIN_BRANCH, 1, 1, 10);
  struct LedgerDecision d;
  struct Record record;
  bool must_journal;

  call.idempotent = false;
  accept (ledger, call);
  CU_ASSERT_EQUAL (ledger_abandon_call (ledger, &call.key, &record, &must_journal), ERROR_NONE);
  CU_ASSERT_FALSE (must_journal);
  d = accept (ledger, call);
  ledger_apply (ledger, &d.record);
  CU_ASSERT_EQUAL (ledger_abandon_call (ledger, &call.key, &record, &must_journal), ERROR_NONE);
  CU_ASSERT (must_journal);
  CU_ASSERT_EQUAL (accept (ledger, call).verdict, LEDGER_JOIN);
  ledger_apply (ledger, &record);
  CU_ASSERT_EQUAL (view_of (ledger).reserved_tokens, 0);
  adopt (ledger, 2, false);
  CU_ASSERT_EQUAL (accept (ledger, call).verdict, LEDGER_JOURNAL_FIRST);
  talloc_free (ctx);
}

/* A home that was paused during a take-over resumes, and its old records are replayed after those
 * of the new home. The history that was reported to callers must not change. */
static void
test_lower_epoch_is_ignored (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Record late_outcome;
  struct LedgerDecision d;

  accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  late_outcome = end_record (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "old", 7);
  adopt (ledger, 2, false);
  run (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "new", 7);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &late_outcome), ERROR_NONE);
  late_outcome.outcome.key.sequence = 2;
  CU_ASSERT_EQUAL (ledger_apply (ledger, &late_outcome), ERROR_NONE);
  d = accept (ledger, call_of (MAIN_BRANCH, 1, 1, 10));
  CU_ASSERT_EQUAL_FATAL (d.verdict, LEDGER_STORED);
  CU_ASSERT_EQUAL (memcmp (d.stored->response, "new", 3), 0);
  CU_ASSERT_EQUAL (view_of (ledger).turns, 1);
  talloc_free (ctx);
}

/* A program ends while a call is in flight. Later calls must be refused, the outcome of the call
 * must still be recorded, and the backend server must stay listed until it has released its memory.
 */
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
  CU_ASSERT_EQUAL (view_of (ledger).n_unreleased_servers, 1);
  CU_ASSERT_FALSE (ledger_remove_program (ledger, "p"));
  snprintf (released.released.program, sizeof released.released.program, "p");
  snprintf (released.released.backend, sizeof released.released.backend, "engine-1");
  ledger_apply (ledger, &released);
  CU_ASSERT_EQUAL (view_of (ledger).n_unreleased_servers, 0);
  CU_ASSERT (ledger_remove_program (ledger, "p"));
  talloc_free (ctx);
}

/* A call fails on engine-2 and runs on engine-1; the program is then handed off to another home and
 * ends there. engine-2 has processed the prompt too, but no outcome names it. Without RECORD_HELD
 * its memory would never be released. */
static void
test_failed_dispatch_is_released_after_a_hand_off (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0);
  struct Record held = { .kind = RECORD_HELD, .partition = PARTITION, .epoch = 1 };
  struct Record end, released = { .kind = RECORD_RELEASED, .partition = PARTITION, .epoch = 2 };

  snprintf (held.released.program, sizeof held.released.program, "p");
  snprintf (held.released.backend, sizeof held.released.backend, "engine-2");
  CU_ASSERT_EQUAL (ledger_apply (ledger, &held), ERROR_NONE);
  run (ledger, call_of (MAIN_BRANCH, 1, 1, 10), "one", 7);
  CU_ASSERT_EQUAL (ledger_apply (ledger, &held), ERROR_NONE); /* applied twice */
  adopt (ledger, 2, true);
  CU_ASSERT_EQUAL (ledger_end_program (ledger, "p", END_DONE, &end), ERROR_NONE);
  end.epoch = 2;
  CU_ASSERT_EQUAL (ledger_apply (ledger, &end), ERROR_NONE);
  CU_ASSERT_EQUAL (view_of (ledger).n_unreleased_servers, 2);
  snprintf (released.released.program, sizeof released.released.program, "p");
  snprintf (released.released.backend, sizeof released.released.backend, "engine-2");
  CU_ASSERT_EQUAL (ledger_apply (ledger, &released), ERROR_NONE);
  CU_ASSERT_EQUAL (view_of (ledger).n_unreleased_servers, 1);
  talloc_free (ctx);
}

static void
test_program_at_its_turn_limit_is_ended (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 2);

  for (uint64_t n = 1; n <= 2; n++)
    run (ledger, call_of (MAIN_BRANCH, n, (uint8_t)n, 10), "again", 1);
  CU_ASSERT_EQUAL (accept (ledger, call_of (MAIN_BRANCH, 3, 3, 10)).end_reason, END_TURN_LIMIT);
  talloc_free (ctx);
}

/* The state of a long program is larger than a slot. A replay of its parts must give the same
 * program: history digest, charges, reservation and intent. */
static void
test_snapshot_in_parts (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Ledger *ledger = ledger_with (ctx, "p", 0), *other = ledger_new (ctx);
  char *answer = talloc_zero_array (ctx, char, 300001);
  struct Record *records;
  struct Call call = call_of (MAIN_BRANCH, 4, 4, 10);
  struct LedgerDecision d;
  struct LedgerProgramView original, restored;
  size_t n_records;

  memset (answer, 'x', 300000);
  for (uint64_t n = 1; n <= 3; n++)
    run (ledger, call_of (MAIN_BRANCH, n, (uint8_t)n, 10), answer, 1);
  call.idempotent = false;
  d = accept (ledger, call);
  ledger_apply (ledger, &d.record);
  CU_ASSERT_EQUAL (ledger_snapshot_partition (ledger, ctx, PARTITION, &records, &n_records),
                   ERROR_NONE);
  CU_ASSERT_EQUAL (n_records, 4);
  for (size_t i = 0; i < n_records; i++)
    CU_ASSERT_EQUAL (ledger_apply (other, &records[i]), ERROR_NONE);
  original = view_of (ledger);
  restored = view_of (other);
  CU_ASSERT_EQUAL (memcmp (original.history_digest, restored.history_digest, DIGEST_BYTES), 0);
  CU_ASSERT_EQUAL (restored.charged_tokens, original.charged_tokens);
  CU_ASSERT_EQUAL (restored.reserved_tokens, 30);
  CU_ASSERT_EQUAL (accept (other, call).verdict, LEDGER_JOIN);
  records[1].snapshot.part = 2;
  ledger_apply (other, &records[0]);
  CU_ASSERT_EQUAL (ledger_apply (other, &records[1]), ERROR_INVALID);
  talloc_free (ctx);
}

const char test_suite_name[] = "ledger";
const struct TestCase test_cases[] = {
  { "resent and out-of-order calls", test_resent_and_out_of_order_calls },
  { "two programs with equal bodies", test_two_programs_with_equal_bodies },
  { "budget is shared and capped", test_budget_is_shared_and_capped },
  { "budget after take-overs", test_budget_after_take_overs },
  { "call before its program is durable", test_call_before_its_program_is_durable },
  { "intent without outcome", test_intent_without_outcome },
  { "sequence of an abandoned intent is reusable", test_sequence_of_abandoned_intent_is_reusable },
  { "lower epoch is ignored", test_lower_epoch_is_ignored },
  { "end and release", test_end_and_release },
  { "failed dispatch is released after a hand-off",
    test_failed_dispatch_is_released_after_a_hand_off },
  { "program at its turn limit is ended", test_program_at_its_turn_limit_is_ended },
  { "snapshot in parts", test_snapshot_in_parts },
  { NULL, NULL },
};
