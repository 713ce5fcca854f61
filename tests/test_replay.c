#include "test_main.h"

#include "fakes/fake_kv.h"
#include "fakes/fake_timer.h"

#include <buckthornhead/journal.h>

#include <stdio.h>

enum
{
  LONG_MS = 10000
};

struct Fixture
{
  TALLOC_CTX *ctx;
  struct TimerService *timers;
  struct FakeKv *kv;
  struct KvPort *port;
};

/* Result of a replay. */
struct Reading
{
  int n_calls;
  int32_t error;
  size_t n_slots;
  uint64_t first, last, seal;
};

static struct Fixture *
fixture_new (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fixture *f = talloc_zero (ctx, struct Fixture);

  f->ctx = ctx;
  f->timers = fake_timer_new (ctx);
  f->kv = fake_kv_new (ctx, f->timers);
  f->port = fake_kv_port_new (ctx, f->kv);
  return f;
}

static void
put_slot (struct Fixture *f, uint64_t number, enum SlotKind kind, uint64_t replay_from)
{
  struct Record record = { .kind = RECORD_HANDOFF };
  struct Slot slot = { .kind = kind,
                       .writer = "old.1",
                       .batch_id = number,
                       .replay_from = replay_from,
                       .records = &record,
                       .n_records = kind == SLOT_SEAL ? 0 : 1 };
  uint8_t *packed;
  size_t bytes;

  slot_pack (f->ctx, &slot, &packed, &bytes);
  fake_kv_set (f->kv, journal_slot_key (f->ctx, "b/", "old.1", number), packed, bytes);
}

static void
on_read (void *data, const struct JournalReplay *replay)
{
  struct Reading *reading = data;

  reading->n_calls++;
  reading->error = replay->error;
  reading->n_slots = replay->n_slots;
  reading->seal = replay->seal_slot;
  if (replay->n_slots > 0)
    {
      reading->first = replay->slot_numbers[0];
      reading->last = replay->slot_numbers[replay->n_slots - 1];
    }
}

static void
seal (struct Fixture *f, const char *sealer, struct Reading *reading)
{
  CU_ASSERT_EQUAL (
      journal_seal_and_read (f->ctx, f->port, f->timers, "b/", "old.1", sealer, on_read, reading),
      ERROR_NONE);
}

static void
test_seals_then_reads_from_the_checkpoint (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading reading = { 0 };

  for (uint64_t n = 3; n <= 30; n++)
    put_slot (f, n, SLOT_RECORDS, n < 20 ? 3 : 5);
  seal (f, "new.1", &reading);
  CU_ASSERT_EQUAL (reading.n_calls, 0);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.n_calls, 1);
  CU_ASSERT_EQUAL (reading.error, ERROR_NONE);
  CU_ASSERT_EQUAL (reading.first, 5);
  CU_ASSERT_EQUAL (reading.last, 30);
  CU_ASSERT_EQUAL (reading.seal, 31);
  talloc_free (f->ctx);
}

/* An instance stops before it wrote anything. Its journal must still be sealed, since the instance
 * may be paused just before its first write. */
static void
test_empty_journal_is_sealed (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading reading = { 0 };

  seal (f, "new.1", &reading);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.error, ERROR_NONE);
  CU_ASSERT_EQUAL (reading.n_slots, 0);
  CU_ASSERT_EQUAL (reading.seal, 1);
  CU_ASSERT_EQUAL (fake_kv_count (f->kv, "b/journal/old.1/"), 1);
  talloc_free (f->ctx);
}

struct Racer
{
  struct Fixture *f;
  enum KvOp op;
  uint64_t next, until;
};

/* Writes a slot just before a request of op is applied. */
static enum FakeKvFault
on_request (void *data, const struct KvRequest *request)
{
  struct Racer *racer = data;

  if (request->op == racer->op && racer->next <= racer->until)
    put_slot (racer->f, racer->next++, SLOT_RECORDS, 1);
  return FAKE_KV_OK;
}

/* The former home is slow rather than failed: it appends and acknowledges slots after the last slot
 * was read and before the seal is written. Each of them has to be read. */
static void
test_writer_races_ahead (void)
{
  struct Fixture *f = fixture_new ();
  struct Racer racer = { .f = f, .op = KV_OP_PUT, .next = 2, .until = 4 };
  struct Reading reading = { 0 };

  put_slot (f, 1, SLOT_RECORDS, 1);
  fake_kv_set_hook (f->kv, "b/journal/old.1/", on_request, &racer);
  seal (f, "new.1", &reading);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.error, ERROR_NONE);
  CU_ASSERT_EQUAL (reading.n_slots, 4);
  CU_ASSERT_EQUAL (reading.seal, 5);
  talloc_free (f->ctx);
}

/* Two instances seal a journal at the same time. Both must read the same slots, and only one seal
 * may be written. */
static void
test_two_concurrent_seals (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading first = { 0 }, second = { 0 };

  put_slot (f, 1, SLOT_RECORDS, 1);
  seal (f, "new.1", &first);
  seal (f, "other.1", &second);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (first.seal, 2);
  CU_ASSERT_EQUAL (second.seal, 2);
  CU_ASSERT_EQUAL (first.n_slots, 1);
  CU_ASSERT_EQUAL (second.n_slots, 1);
  CU_ASSERT_EQUAL (fake_kv_count (f->kv, "b/journal/old.1/"), 2);
  talloc_free (f->ctx);
}

/* The seal is written but the response is lost, and some reads fail. The replay must find its own
 * seal, and a second replay must find the journal sealed. */
static void
test_lost_response_to_the_seal (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading reading = { 0 }, again = { 0 };

  put_slot (f, 1, SLOT_RECORDS, 1);
  fake_kv_fault_next (f->kv, KV_OP_RANGE, NULL, FAKE_KV_RATE_LIMIT, 2);
  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_LOSE_RESPONSE, 1);
  seal (f, "new.1", &reading);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.error, ERROR_NONE);
  CU_ASSERT_EQUAL (reading.seal, 2);
  seal (f, "new.1", &again);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (again.seal, 2);
  CU_ASSERT_EQUAL (again.n_slots, 1);
  talloc_free (f->ctx);
}

/* A replay must report that the platform stays down. It must also report a missing slot: a replay
 * that ignored the gap would lose acknowledged records. */
static void
test_failures_are_reported (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading down = { 0 }, gap = { 0 }, lost = { 0 };

  put_slot (f, 1, SLOT_RECORDS, 1);
  put_slot (f, 3, SLOT_RECORDS, 1);
  fake_kv_set_fault (f->kv, FAKE_KV_REFUSE);
  seal (f, "new.1", &down);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (down.error, ERROR_PLATFORM_DOWN);
  fake_kv_set_fault (f->kv, FAKE_KV_OK);
  seal (f, "new.1", &gap);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (gap.error, ERROR_INVALID);
  fake_kv_remove (f->kv, journal_slot_key (f->ctx, "b/", "old.1", 3));
  seal (f, "new.1", &lost);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (lost.error, ERROR_INVALID);
  talloc_free (f->ctx);
}

/* A late write of the former owner restores a slot in a journal that was cleaned. The seal marks
 * the journal as cleaned, so the slot must not be read, nor be reported as damage. */
static void
test_cleaned_journal_reads_empty (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading reading = { 0 };

  put_slot (f, 4, SLOT_RECORDS, 2);
  put_slot (f, 5, SLOT_SEAL, 5);
  seal (f, "new.1", &reading);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.error, ERROR_NONE);
  CU_ASSERT_EQUAL (reading.n_slots, 0);
  CU_ASSERT_EQUAL (reading.seal, 5);
  talloc_free (f->ctx);
}

/* A partition was handed off by an instance that continues to run. Reading its journal must not
 * seal it. */
static void
test_reading_does_not_seal (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading reading = { 0 };

  put_slot (f, 1, SLOT_RECORDS, 1);
  CU_ASSERT_EQUAL (journal_read (f->ctx, f->port, f->timers, "b/", "old.1", on_read, &reading),
                   ERROR_NONE);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.n_slots, 1);
  CU_ASSERT_EQUAL (reading.seal, 0);
  CU_ASSERT_EQUAL (fake_kv_n_writes (f->kv), 0);
  talloc_free (f->ctx);
}

/* A slot is missing while the writer continues. A slot appended meanwhile must not hide the gap by
 * making up the expected number of slots. */
static void
test_later_slot_does_not_hide_a_gap (void)
{
  struct Fixture *f = fixture_new ();
  struct Racer racer = { .f = f, .op = KV_OP_GET, .next = 4, .until = 4 };
  struct Reading reading = { 0 };

  put_slot (f, 1, SLOT_RECORDS, 1);
  put_slot (f, 3, SLOT_RECORDS, 1);
  fake_kv_set_hook (f->kv, "b/journal/old.1/", on_request, &racer);
  journal_read (f->ctx, f->port, f->timers, "b/", "old.1", on_read, &reading);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.error, ERROR_INVALID);
  talloc_free (f->ctx);
}

/* The owner of a replay is freed while it runs: done must not be called. */
static void
test_owner_freed_during_replay (void)
{
  struct Fixture *f = fixture_new ();
  struct Reading reading = { 0 };
  TALLOC_CTX *sealer = talloc_new (f->ctx);

  put_slot (f, 1, SLOT_RECORDS, 1);
  fake_kv_fault_next (f->kv, KV_OP_PUT, NULL, FAKE_KV_HOLD_RESPONSE, 1);
  journal_seal_and_read (sealer, f->port, f->timers, "b/", "old.1", "new.1", on_read, &reading);
  fake_timer_advance (f->timers, 5);
  talloc_free (sealer);
  fake_kv_release (f->kv);
  fake_timer_advance (f->timers, LONG_MS);
  CU_ASSERT_EQUAL (reading.n_calls, 0);
  talloc_free (f->ctx);
}

const char test_suite_name[] = "replay";
const struct TestCase test_cases[] = {
  { "seals, then reads from the checkpoint", test_seals_then_reads_from_the_checkpoint },
  { "empty journal is sealed", test_empty_journal_is_sealed },
  { "writer races ahead", test_writer_races_ahead },
  { "two concurrent seals", test_two_concurrent_seals },
  { "lost response to the seal", test_lost_response_to_the_seal },
  { "failures are reported", test_failures_are_reported },
  { "cleaned journal reads empty", test_cleaned_journal_reads_empty },
  { "reading does not seal", test_reading_does_not_seal },
  { "later slot does not hide a gap", test_later_slot_does_not_hide_a_gap },
  { "owner freed during replay", test_owner_freed_during_replay },
  { NULL, NULL },
};
