#include "test_main.h"

#include "fakes/fake_kv.h"
#include "fakes/fake_timer.h"

#include <buckthornhead/journal.h>

#include <stdio.h>
#include <string.h>

enum
{
  INTERVAL_MS = 20,
  RETRY_MS = 50,
  LONG_MS = 10000
};

struct Fixture
{
  TALLOC_CTX *ctx;
  struct TimerService *timers;
  struct FakeKv *kv;
  struct KvPort *port;
  struct Journal *journal;
  int n_fenced;
};

/* Results of the appended records, in order. */
struct Results
{
  int32_t errors[64];
  size_t n;
};

static void
on_fenced (void *data)
{
  ((struct Fixture *)data)->n_fenced++;
}

static void
on_done (void *data, int32_t error)
{
  struct Results *results = data;

  results->errors[results->n++ % 64] = error;
}

static struct Fixture *
fixture_with_burst (uint32_t burst_slots)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fixture *f = talloc_zero (ctx, struct Fixture);
  struct JournalOptions options = { .prefix = "b/",
                                    .incarnation = "malda-1.1",
                                    .flush_interval_ms = INTERVAL_MS,
                                    .burst_slots = burst_slots,
                                    .retry_ms = RETRY_MS,
                                    .fenced = on_fenced,
                                    .data = f };

  f->ctx = ctx;
  f->timers = fake_timer_new (ctx);
  f->kv = fake_kv_new (ctx, f->timers);
  f->port = fake_kv_port_new (ctx, f->kv);
  f->journal = journal_new (ctx, f->port, f->timers, &options);
  return f;
}

static struct Fixture *
fixture_new (void)
{
  return fixture_with_burst (1);
}

static struct Record
record_of (const char *program)
{
  struct Record record = { .kind = RECORD_END, .partition = 1, .epoch = 1 };

  snprintf (record.end.program, sizeof record.end.program, "%s", program);
  record.end.reason = END_DONE;
  return record;
}

static void
append (struct Fixture *f, const char *program, struct Results *results)
{
  struct Record record = record_of (program);

  CU_ASSERT_EQUAL (journal_append (f->journal, &record, on_done, results), ERROR_NONE);
}

static struct Slot *
slot_at (struct Fixture *f, uint64_t number)
{
  char *key = journal_slot_key (f->ctx, "b/", "malda-1.1", number);
  struct KvEntry entry;
  struct Slot *slot = NULL;

  if (fake_kv_get (f->kv, key, &entry))
    slot_unpack (f->ctx, entry.value, entry.value_bytes, &slot);
  return slot;
}

static size_t
n_records_at (struct Fixture *f, uint64_t number)
{
  struct Slot *slot = slot_at (f, number);

  return slot != NULL ? slot->n_records : 0;
}

static void
seal_at (struct Fixture *f, uint64_t number)
{
  struct Slot seal = { .kind = SLOT_SEAL, .writer = "zg-1.4" };
  uint8_t *packed;
  size_t bytes;

  slot_pack (f->ctx, &seal, &packed, &bytes);
  fake_kv_set (f->kv, journal_slot_key (f->ctx, "b/", "malda-1.1", number), packed, bytes);
}

static void
test_waiting_records_share_a_slot (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };

  append (f, "a", &results);
  append (f, "b", &results);
  CU_ASSERT_EQUAL (results.n, 0);
  fake_timer_advance (f->timers, 2);
  CU_ASSERT_EQUAL (results.n, 2);
  CU_ASSERT_EQUAL (n_records_at (f, 1), 2);
  append (f, "c", &results);
  fake_timer_advance (f->timers, INTERVAL_MS / 2);
  CU_ASSERT_EQUAL (results.n, 2);
  fake_timer_advance (f->timers, INTERVAL_MS);
  CU_ASSERT_EQUAL (results.n, 3);
  CU_ASSERT_EQUAL (fake_kv_n_writes (f->kv), 2);
  talloc_free (f->ctx);
}

/* A program calls one tool after another on an idle instance. Each of its records must be written
 * without delay up to the burst size, and the average write rate must still be kept. */
static void
test_idle_time_allows_a_burst (void)
{
  struct Fixture *f = fixture_with_burst (3);
  struct Results results = { 0 };

  for (uint32_t i = 1; i <= 3; i++)
    {
      append (f, "a", &results);
      fake_timer_advance (f->timers, 2);
      CU_ASSERT_EQUAL (results.n, i);
    }
  append (f, "a", &results);
  fake_timer_advance (f->timers, 2);
  CU_ASSERT_EQUAL (results.n, 3);
  fake_timer_advance (f->timers, INTERVAL_MS);
  CU_ASSERT_EQUAL (results.n, 4);
  /* At most the burst plus one slot per interval. */
  for (uint32_t ms = 0; ms < 10 * INTERVAL_MS; ms++)
    {
      append (f, "a", &results);
      fake_timer_advance (f->timers, 1);
    }
  CU_ASSERT_TRUE (fake_kv_n_writes (f->kv) <= 4 + 10 + 1);
  CU_ASSERT_TRUE (fake_kv_n_writes (f->kv) >= 4 + 10 - 1);
  talloc_free (f->ctx);
}

/* The key-value service applies the append, but its response is lost. Guards against a writer that
 * treats this as a failure and writes the records twice, or treats its own slot as a seal. */
static void
test_lost_response_is_resolved (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };

  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_LOSE_RESPONSE, 1);
  append (f, "a", &results);
  fake_timer_advance (f->timers, 5);
  CU_ASSERT_EQUAL (results.n, 0);
  CU_ASSERT_FALSE (journal_is_writable (f->journal));
  append (f, "b", &results);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (results.n, 2);
  CU_ASSERT_EQUAL (results.errors[0], ERROR_NONE);
  CU_ASSERT_EQUAL (f->n_fenced, 0);
  CU_ASSERT_EQUAL (n_records_at (f, 1), 1);
  CU_ASSERT_EQUAL (n_records_at (f, 2), 1);
  CU_ASSERT_PTR_NULL (slot_at (f, 3));
  talloc_free (f->ctx);
}

/* An append gets no response while the platform is down and takes effect much later. Every retry
 * must contain the same records; otherwise a caller could receive "not run" for a call whose intent
 * is then in the journal. */
static void
test_late_write_contains_the_same_batch (void)
{
  struct Fixture *f = fixture_new ();
  struct Results intent = { 0 }, outcome = { 0 };
  struct Record record = record_of ("a");

  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_LATE, 1);
  CU_ASSERT_EQUAL (journal_append_unless_down (f->journal, &record, on_done, &intent), ERROR_NONE);
  fake_timer_advance (f->timers, 5);
  fake_kv_set_fault (f->kv, FAKE_KV_REFUSE);
  append (f, "b", &outcome);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (intent.n, 0);
  fake_kv_set_fault (f->kv, FAKE_KV_OK);
  fake_kv_release (f->kv);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (intent.n, 1);
  CU_ASSERT_EQUAL (intent.errors[0], ERROR_NONE);
  CU_ASSERT_EQUAL (outcome.n, 1);
  CU_ASSERT_EQUAL (n_records_at (f, 1), 1);
  CU_ASSERT_EQUAL (f->n_fenced, 0);
  talloc_free (f->ctx);
}

/* The platform refuses connections for a long time. Outcomes must be kept in memory and written
 * when it recovers. Intents must fail immediately without an attempt, and may be retried later. */
static void
test_outage_keeps_outcomes_and_fails_intents (void)
{
  struct Fixture *f = fixture_new ();
  struct Results intent = { 0 }, outcome = { 0 };
  struct Record record = record_of ("a");

  fake_kv_set_fault (f->kv, FAKE_KV_REFUSE);
  CU_ASSERT_EQUAL (journal_append_unless_down (f->journal, &record, on_done, &intent), ERROR_NONE);
  fake_timer_advance (f->timers, 5);
  CU_ASSERT_EQUAL (intent.errors[0], ERROR_PLATFORM_DOWN);
  CU_ASSERT_EQUAL (journal_append_unless_down (f->journal, &record, on_done, &intent),
                   ERROR_PLATFORM_DOWN);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT (journal_is_writable (f->journal));
  append (f, "b", &outcome);
  append (f, "c", &outcome);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (journal_n_waiting (f->journal), 2);
  CU_ASSERT_FALSE (journal_is_writable (f->journal));
  fake_kv_set_fault (f->kv, FAKE_KV_OK);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (outcome.n, 2);
  CU_ASSERT_EQUAL (intent.n, 1);
  CU_ASSERT_EQUAL (n_records_at (f, 1), 2);
  talloc_free (f->ctx);
}

/* A home is paused, its journal is sealed and its programs are taken over, then it resumes writing.
 * It must find the seal in its next slot, and must not acknowledge any further record. */
static void
test_paused_writer_finds_the_seal (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };
  struct Record record = record_of ("x");

  append (f, "a", &results);
  fake_timer_advance (f->timers, 5);
  seal_at (f, 2);
  append (f, "b", &results);
  append (f, "c", &results);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (results.n, 3);
  CU_ASSERT_EQUAL (results.errors[1], ERROR_FENCED);
  CU_ASSERT_EQUAL (results.errors[2], ERROR_FENCED);
  CU_ASSERT_EQUAL (f->n_fenced, 1);
  CU_ASSERT (journal_is_fenced (f->journal));
  CU_ASSERT_EQUAL (slot_at (f, 2)->kind, SLOT_SEAL);
  CU_ASSERT_EQUAL (journal_append (f->journal, &record, on_done, &results), ERROR_FENCED);
  talloc_free (f->ctx);
}

/* An append is lost before it takes effect, and another incarnation seals the slot before the
 * retry. The records must be reported as fenced, not as durable. */
static void
test_seal_resolves_a_lost_request (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };

  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_LOSE_REQUEST, 1);
  append (f, "a", &results);
  fake_timer_advance (f->timers, 5);
  seal_at (f, 1);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (results.n, 1);
  CU_ASSERT_EQUAL (results.errors[0], ERROR_FENCED);
  CU_ASSERT_EQUAL (f->n_fenced, 1);
  talloc_free (f->ctx);
}

static void
test_records_beyond_a_slot_go_to_the_next (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };
  uint8_t *body = talloc_zero_array (f->ctx, uint8_t, KV_VALUE_MAX_BYTES);
  struct Record record = { .kind = RECORD_SNAPSHOT, .snapshot.n_parts = 1 };

  record.snapshot.state = body;
  record.snapshot.state_bytes = KV_VALUE_MAX_BYTES;
  CU_ASSERT_EQUAL (journal_append (f->journal, &record, on_done, &results), ERROR_TOO_LARGE);
  record.snapshot.state_bytes = KV_VALUE_MAX_BYTES * 2 / 3;
  CU_ASSERT_EQUAL (journal_append (f->journal, &record, on_done, &results), ERROR_NONE);
  CU_ASSERT_EQUAL (journal_append (f->journal, &record, on_done, &results), ERROR_NONE);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (results.n, 2);
  CU_ASSERT_EQUAL (n_records_at (f, 1), 1);
  CU_ASSERT_EQUAL (n_records_at (f, 2), 1);
  talloc_free (f->ctx);
}

struct IdleWaiter
{
  struct Fixture *f;
  struct Results *results;
  size_t n_completed; /* when the callback ran */
  int32_t error;
  struct Record record;
};

static void
on_idle (void *data)
{
  struct IdleWaiter *waiter = data;

  waiter->n_completed = waiter->results->n;
  waiter->error =
      journal_prepend (waiter->f->journal, &waiter->record, 1, on_done, waiter->results);
}

/* Like on_done, and calls journal_when_idle from within the first record's callback. */
static void
on_done_wait_idle (void *data, int32_t error)
{
  struct IdleWaiter *waiter = data;

  on_done (waiter->results, error);
  journal_when_idle (waiter->f->journal, on_idle, waiter);
}

/* The idle callback must run only after done was called for all records of the slot; otherwise the
 * snapshot would miss records that are durable but not applied yet. */
static void
test_idle_callback_follows_all_completions (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };
  struct IdleWaiter waiter = { .f = f, .results = &results, .record = record_of ("snapshot") };
  struct Record record = record_of ("a");

  journal_append (f->journal, &record, on_done_wait_idle, &waiter);
  append (f, "b", &results);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (waiter.n_completed, 2);
  talloc_free (f->ctx);
}

/* A checkpoint is taken while outcomes are queued. Its snapshots contain only applied records, so
 * they must precede the queued ones; otherwise a replay would replace a newer outcome with older
 * state. */
static void
test_snapshot_precedes_queued_records (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };
  struct IdleWaiter waiter = { .f = f, .results = &results, .record = record_of ("snapshot") };

  append (f, "a", &results);
  append (f, "b", &results);
  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_HOLD_REQUEST, 1);
  fake_timer_advance (f->timers, 5);
  append (f, "c", &results);
  CU_ASSERT_EQUAL (journal_prepend (f->journal, &waiter.record, 1, NULL, NULL), ERROR_CONFLICT);
  journal_when_idle (f->journal, on_idle, &waiter);
  CU_ASSERT_EQUAL (waiter.n_completed, 0);
  fake_kv_release (f->kv);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (waiter.n_completed, 2);
  CU_ASSERT_EQUAL (waiter.error, ERROR_NONE);
  CU_ASSERT_EQUAL_FATAL (n_records_at (f, 2), 2);
  CU_ASSERT_STRING_EQUAL (slot_at (f, 2)->records[0].end.program, "snapshot");
  CU_ASSERT_STRING_EQUAL (slot_at (f, 2)->records[1].end.program, "c");
  talloc_free (f->ctx);
}

/* Old slots must be deleted only after a durable slot records that no replay needs them; otherwise
 * a home that fails in between would leave a journal with a gap. */
static void
test_old_slots_are_deleted_after_a_checkpoint (void)
{
  struct Fixture *f = fixture_new ();
  struct Results results = { 0 };

  for (int i = 0; i < 4; i++)
    {
      append (f, "a", &results);
      fake_timer_advance (f->timers, 2 * INTERVAL_MS);
    }
  /* The slot in flight still records that the older ones are needed. */
  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_HOLD_REQUEST, 1);
  append (f, "a", &results);
  fake_timer_advance (f->timers, 5);
  journal_checkpointed (f->journal, 5);
  fake_kv_release (f->kv);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (fake_kv_count (f->kv, "b/journal/"), 5);
  fake_kv_fault_next (f->kv, KV_OP_DELETE, NULL, FAKE_KV_LOSE_RESPONSE, 1);
  for (int i = 0; i < 6; i++)
    {
      append (f, "a", &results);
      fake_timer_advance (f->timers, 2 * INTERVAL_MS);
    }
  CU_ASSERT_EQUAL (slot_at (f, 11)->replay_from, 5);
  CU_ASSERT_PTR_NULL (slot_at (f, 4));
  CU_ASSERT_PTR_NOT_NULL (slot_at (f, 5));
  CU_ASSERT_EQUAL (fake_kv_count (f->kv, "b/journal/"), 7);
  talloc_free (f->ctx);
}

static void
test_write_budget_is_shared (void)
{
  CU_ASSERT_EQUAL (journal_flush_interval_ms (150, 9), 120);
  CU_ASSERT_EQUAL (journal_flush_interval_ms (300, 9), 60);
  CU_ASSERT_EQUAL (journal_flush_interval_ms (300, 1200), 8000);
  CU_ASSERT_EQUAL (journal_flush_interval_ms (0, 1), 2000);
}

const char test_suite_name[] = "journal";
const struct TestCase test_cases[] = {
  { "waiting records share a slot", test_waiting_records_share_a_slot },
  { "idle time allows a burst", test_idle_time_allows_a_burst },
  { "lost response is resolved", test_lost_response_is_resolved },
  { "late write contains the same batch", test_late_write_contains_the_same_batch },
  { "outage keeps outcomes and fails intents", test_outage_keeps_outcomes_and_fails_intents },
  { "paused writer finds the seal", test_paused_writer_finds_the_seal },
  { "seal resolves a lost request", test_seal_resolves_a_lost_request },
  { "records beyond a slot go to the next", test_records_beyond_a_slot_go_to_the_next },
  { "snapshot precedes queued records", test_snapshot_precedes_queued_records },
  { "idle callback follows all completions", test_idle_callback_follows_all_completions },
  { "old slots are deleted after a checkpoint", test_old_slots_are_deleted_after_a_checkpoint },
  { "write budget is shared", test_write_budget_is_shared },
  { NULL, NULL },
};
