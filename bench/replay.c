/* Measures the time to replay a journal by its length.
 *
 * Usage: replay KV_URL. For each of four sizes, writes a journal with that number of slots to a
 * key-value service over HTTP, seals and reads it, applies its records, and packs the snapshots.
 * Prints one JSON object per size with the time of each step. */
#include <buckthornhead/curl_loop.h>
#include <buckthornhead/error.h>
#include <buckthornhead/journal.h>
#include <buckthornhead/kv_http.h>
#include <buckthornhead/ledger.h>
#include <buckthornhead/timer_tevent.h>

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  TURNS_PER_SLOT = 40,
  TURNS_PER_PROGRAM = 20,
  BODY_BYTES = 2048, /* of each request, and of each response */
  KV_TIMEOUT_MS = 10000
};

struct Bench
{
  struct tevent_context *events;
  struct KvPort *kv;
  struct TimerService *timers;
  struct Ledger *ledger;
  uint32_t n_appending;
  bool read_done;
  int32_t error;
  size_t n_records;
  double read_ms, apply_ms;
  double start_ms;
};

static double
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
on_written (void *data, int32_t error)
{
  struct Bench *bench = data;

  bench->n_appending--;
  if (error != ERROR_NONE)
    bench->error = error;
}

static void
append (struct Bench *bench, struct Journal *journal, const struct Record *record)
{
  if (journal_append (journal, record, on_written, bench) == ERROR_NONE)
    bench->n_appending++;
}

static void
append_turn (struct Bench *bench, struct Journal *journal, uint32_t turn)
{
  static uint8_t body[BODY_BYTES];
  struct Record record = { .kind = RECORD_PROGRAM, .epoch = 1 };
  char program[PROGRAM_ID_MAX_BYTES + 1];

  snprintf (program, sizeof program, "program-%" PRIu32, turn / TURNS_PER_PROGRAM);
  if (turn % TURNS_PER_PROGRAM == 0)
    {
      memcpy (record.program.program, program, sizeof program);
      record.program.budget_tokens = 1000000;
      append (bench, journal, &record);
    }
  memset (body, (int)turn, sizeof body);
  record = (struct Record){ .kind = RECORD_OUTCOME, .epoch = 1 };
  memcpy (record.outcome.key.program, program, sizeof program);
  snprintf (record.outcome.key.branch, sizeof record.outcome.key.branch, MAIN_BRANCH);
  record.outcome.key.sequence = turn % TURNS_PER_PROGRAM + 1;
  record.outcome.outcome.charge_tokens = 900;
  record.outcome.outcome.response = body;
  record.outcome.outcome.response_bytes = sizeof body;
  record.outcome.request = body;
  record.outcome.request_bytes = sizeof body;
  append (bench, journal, &record);
}

static void
write_journal (struct Bench *bench, const char *incarnation, uint32_t n_slots)
{
  struct JournalOptions options = { .prefix = "bench/",
                                    .incarnation = incarnation,
                                    .retry_ms = 20 };
  struct Journal *journal = journal_new (bench, bench->kv, bench->timers, &options);

  for (uint32_t slot = 0; slot < n_slots; slot++)
    {
      for (uint32_t i = 0; i < TURNS_PER_SLOT; i++)
        append_turn (bench, journal, slot * TURNS_PER_SLOT + i);
      while (bench->n_appending > 0 && tevent_loop_once (bench->events) == 0)
        ;
    }
  talloc_free (journal);
}

static void
on_read (void *data, const struct JournalReplay *replay)
{
  struct Bench *bench = data;
  double start_ms = now_ms ();

  bench->read_done = true;
  bench->read_ms = start_ms - bench->start_ms;
  if (replay->error != ERROR_NONE)
    bench->error = replay->error;
  for (size_t s = 0; s < replay->n_slots; s++)
    for (size_t i = 0; i < replay->slots[s]->n_records; i++, bench->n_records++)
      if (ledger_apply (bench->ledger, &replay->slots[s]->records[i]) != ERROR_NONE)
        bench->error = ERROR_INVALID;
  bench->apply_ms = now_ms () - start_ms;
}

static int32_t
bench_replay (struct Bench *bench, uint32_t n_slots)
{
  char incarnation[32];
  struct Record *snapshots;
  size_t n_snapshots, n_bytes = 0;
  double snapshot_ms;

  snprintf (incarnation, sizeof incarnation, "bench.%" PRIu32, n_slots);
  bench->read_done = false;
  bench->n_records = 0;
  bench->ledger = ledger_new (bench);
  write_journal (bench, incarnation, n_slots);
  bench->start_ms = now_ms ();
  journal_seal_and_read (bench, bench->kv, bench->timers, "bench/", incarnation, "taker.1", on_read,
                         bench);
  while (!bench->read_done && tevent_loop_once (bench->events) == 0)
    ;
  snapshot_ms = now_ms ();
  ledger_adopt_partition (bench->ledger, bench->ledger, 0, 2, false, &snapshots, &n_snapshots);
  snapshot_ms = now_ms () - snapshot_ms;
  for (size_t i = 0; i < n_snapshots; i++)
    n_bytes += record_packed_bytes (&snapshots[i]);
  printf ("{\"slots\":%" PRIu32 ",\"records\":%zu,\"state_bytes\":%zu,\"read_ms\":%.1f,"
          "\"apply_ms\":%.1f,\"snapshot_ms\":%.1f,\"error\":\"%s\"}\n",
          n_slots, bench->n_records, n_bytes, bench->read_ms, bench->apply_ms, snapshot_ms,
          error_name (bench->error));
  fflush (stdout);
  TALLOC_FREE (bench->ledger);
  return bench->error;
}

int
main (int argc, char **argv)
{
  static const uint32_t sizes[] = { 8, 32, 128, 512 };
  struct Bench *bench = talloc_zero (NULL, struct Bench);
  int32_t error = ERROR_NONE;

  if (argc != 2)
    {
      fprintf (stderr, "usage: replay KV_URL\n");
      return 2;
    }
  bench->events = tevent_context_init (bench);
  bench->timers = timer_tevent_new (bench, bench->events);
  bench->kv = kv_http_new (bench, curl_loop_new (bench, bench->events), argv[1], KV_TIMEOUT_MS);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0] && error == ERROR_NONE; i++)
    error = bench_replay (bench, sizes[i]);
  talloc_free (bench);
  return error == ERROR_NONE ? 0 : 1;
}
