/* Measures the processor time of a copy between two archives, without their disks and network.
 *
 * copy_bench [--programs N] [--text BYTES]
 *
 * Each program has TURNS turns, each with a reservation and a close whose texts have that length.
 * Prints a JSON line for each share of texts that have expired: records and bytes in the source's
 * log and on the wire, and nanoseconds per record of the log at the source, which selects what is
 * needed, and per record sent at the receiver, which unpacks, indexes and packs it. */
#include "../gateway/archive_record.h"

#include <buckthornhead/error.h>
#include <buckthornhead/turn_index.h>

#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  PROGRAMS = 5000,
  TEXT_BYTES = 1700,
  TURNS = 5,
  RETENTION_MS = 60 * 1000
};

struct Bench
{
  struct TurnIndex *source, *receiver;
  struct DiskFrames log;
  uint8_t *text;
  int32_t text_bytes;
  size_t n_records, n_sent, sent_bytes;
  int64_t source_ns, receiver_ns;
};

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
bench_write (struct Bench *b, const struct ArchiveRecord *record)
{
  const struct DiskPlace place = { 1, 0, 100 };
  uint8_t *bytes;
  size_t n_bytes;

  if (record->kind == ARCHIVE_RECORD_OPEN)
    turn_index_reserve (b->source, &record->open, record->unix_ms);
  else
    turn_index_close (b->source, &record->close, &place, record->unix_ms);
  if (archive_record_pack (b, record, &bytes, &n_bytes) == ERROR_NONE)
    disk_frames_add (&b->log, bytes, n_bytes);
  talloc_free (bytes);
  b->n_records++;
}

/* Writes the program's turns: a reservation and a close each. */
static void
bench_write_program (struct Bench *b, int32_t n, int64_t unix_ms)
{
  struct ArchiveRecord open = { .kind = ARCHIVE_RECORD_OPEN, .unix_ms = unix_ms };
  struct ArchiveRecord close = { .kind = ARCHIVE_RECORD_CLOSE, .unix_ms = unix_ms };

  open.open.reserve_tokens = 200;
  close.close = (struct TurnClose){ .kept = true, .retention_ms = RETENTION_MS };
  close.close.text.input = close.close.text.output = b->text;
  close.close.text.input_bytes = close.close.text.output_bytes = (size_t)b->text_bytes;
  snprintf (open.open.program, sizeof open.open.program, "program-%d", n);
  snprintf (close.close.program, sizeof close.close.program, "program-%d", n);
  for (int turn = 0; turn < TURNS; turn++)
    {
      snprintf (open.open.turn, sizeof open.open.turn, "%d-%d", n, turn);
      snprintf (close.close.text.turn, sizeof close.close.text.turn, "%d-%d", n, turn);
      bench_write (b, &open);
      bench_write (b, &close);
    }
}

static void
bench_on_sent (void *data, const struct DiskPlace *place, const uint8_t *bytes, size_t n_bytes)
{
  struct Bench *b = data;
  TALLOC_CTX *ctx = talloc_new (b);
  const struct DiskPlace stored = { 1, place->offset, place->n_bytes };
  struct ArchiveRecord record;
  uint8_t *packed;
  size_t n_packed;

  b->n_sent++;
  b->sent_bytes += n_bytes;
  if (archive_record_unpack (ctx, bytes, n_bytes, &record) == ERROR_NONE)
    {
      if (record.kind == ARCHIVE_RECORD_OPEN)
        turn_index_reserve (b->receiver, &record.open, record.unix_ms);
      else if (!turn_index_has_close (b->receiver, &record.close))
        turn_index_close (b->receiver, &record.close, &stored, record.unix_ms);
      archive_record_pack (ctx, &record, &packed, &n_packed);
    }
  talloc_free (ctx);
}

static void
bench_copy (struct Bench *b)
{
  size_t n_bytes = b->log.n_bytes;
  uint8_t *frames = talloc_memdup (b, b->log.bytes, n_bytes);
  int64_t begin_ns = now_ns ();

  archive_records_select (b, b->source, &frames, &n_bytes);
  b->source_ns = now_ns () - begin_ns;
  begin_ns = now_ns ();
  disk_log_each_frame (frames, n_bytes, bench_on_sent, b);
  b->receiver_ns = now_ns () - begin_ns;
}

static void
bench_run (int32_t n_programs, int32_t text_bytes, int32_t expired_percent)
{
  struct Bench *b = talloc_zero (NULL, struct Bench);

  b->text_bytes = text_bytes;
  b->text = talloc_zero_array (b, uint8_t, (size_t)text_bytes);
  b->source = turn_index_new (b);
  b->receiver = turn_index_new (b);
  b->log.ctx = b;
  for (int32_t i = 0; i < n_programs; i++)
    bench_write_program (b, i, i < n_programs / 100 * expired_percent ? 1 : 2 * RETENTION_MS);
  turn_index_expire (b->source, 2 * RETENTION_MS);
  bench_copy (b);
  printf ("{\"expired_percent\":%d,\"log_records\":%zu,\"log_bytes\":%zu,\"sent_records\":%zu,"
          "\"sent_bytes\":%zu,\"source_ns_a_record\":%.0f,\"receiver_ns_a_record\":%.0f}\n",
          expired_percent, b->n_records, b->log.n_bytes, b->n_sent, b->sent_bytes,
          (double)b->source_ns / (double)b->n_records,
          b->n_sent > 0 ? (double)b->receiver_ns / (double)b->n_sent : 0);
  talloc_free (b);
}

int
main (int argc, char **argv)
{
  static const int32_t expired_percents[] = { 0, 50, 90 };
  struct arg_int *programs = arg_int0 (NULL, "programs", "N", "programs in the log");
  struct arg_int *text = arg_int0 (NULL, "text", "BYTES", "length of an input, and of an output");
  struct arg_end *end = arg_end (4);
  void *table[] = { programs, text, end };
  int status = 0;

  programs->ival[0] = PROGRAMS;
  text->ival[0] = TEXT_BYTES;
  if (arg_parse (argc, argv, table) > 0 || programs->ival[0] < 100 || text->ival[0] < 1)
    {
      arg_print_errors (stderr, end, argv[0]);
      fputs ("give at least 100 programs and one byte of text\n", stderr);
      status = 2;
      goto done;
    }
  for (size_t i = 0; i < sizeof expired_percents / sizeof expired_percents[0]; i++)
    bench_run (programs->ival[0], text->ival[0], expired_percents[i]);

done:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
