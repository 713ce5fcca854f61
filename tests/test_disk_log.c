#include "test_main.h"

#include "fakes/raw_socket.h"

#include <buckthornhead/disk_log.h>

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct Bench
{
  struct tevent_context *events;
  struct DiskLog *log;
  char folder[64];
  char *replayed; /* records, a space after each */
  uint32_t n_durable;
  bool durable;
  int32_t error;
  struct DiskPlace place; /* of the last one */
};

static void
bench_on_record (void *data, const struct DiskPlace *place, const uint8_t *record, size_t n_bytes)
{
  struct Bench *b = data;

  (void)place;
  b->replayed = talloc_asprintf_append (b->replayed, "%.*s ", (int)(n_bytes < 20 ? n_bytes : 20),
                                        (const char *)record);
}

static void
bench_open (struct Bench *b)
{
  struct Fault fault;

  b->replayed = talloc_strdup (b, "");
  CU_ASSERT_EQUAL_FATAL (
      disk_log_open (b, b->events, b->folder, bench_on_record, b, &b->log, &fault), ERROR_NONE);
}

static struct Bench *
bench_new (void)
{
  struct Bench *b = talloc_zero (NULL, struct Bench);

  snprintf (b->folder, sizeof b->folder, "disk-log-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (b->folder));
  b->events = tevent_context_init (b);
  bench_open (b);
  return b;
}

static void
bench_free (struct Bench *b)
{
  char command[96];

  TALLOC_FREE (b->log);
  snprintf (command, sizeof command, "rm -rf %s", b->folder);
  CU_ASSERT_EQUAL (system (command), 0);
  talloc_free (b);
}

static void
bench_on_durable (void *data, int32_t error, const struct DiskPlace *place)
{
  struct Bench *b = data;

  b->durable = true;
  b->n_durable++;
  b->error = error;
  b->place = *place;
}

static void
bench_append (struct Bench *b, const char *record, int64_t expires_unix_ms)
{
  b->durable = false;
  CU_ASSERT_EQUAL (disk_log_append (b->log, (const uint8_t *)record, strlen (record),
                                    expires_unix_ms, bench_on_durable, b),
                   ERROR_NONE);
  CU_ASSERT_TRUE (events_until (b->events, &b->durable));
  CU_ASSERT_EQUAL (b->error, ERROR_NONE);
}

static void
test_records_are_read_back_and_replayed (void)
{
  struct Bench *b = bench_new ();
  struct DiskPlace first;
  uint8_t *record;
  size_t n_bytes;

  bench_append (b, "one", 100);
  first = b->place;
  bench_append (b, "two", 100);
  record = disk_log_read (b->log, b, &first, &n_bytes);
  CU_ASSERT_EQUAL (n_bytes, 3);
  CU_ASSERT_EQUAL (memcmp (record, "one", 3), 0);
  TALLOC_FREE (b->log);
  bench_open (b);
  CU_ASSERT_STRING_EQUAL (b->replayed, "one two ");
  bench_append (b, "three", 100);
  TALLOC_FREE (b->log);
  bench_open (b);
  CU_ASSERT_STRING_EQUAL (b->replayed, "one two three ");
  bench_free (b);
}

/* Power goes while a record is written. What was acknowledged before it is whole; the torn end was
 * acknowledged to nobody and must not hide the records of the next start. */
static void
test_a_torn_end_hides_nothing (void)
{
  for (int cut = 1; cut < 15; cut++)
    {
      struct Bench *b = bench_new ();
      char path[96];

      bench_append (b, "one", 100);
      bench_append (b, "two", 100);
      snprintf (path, sizeof path, "%s/log-%u", b->folder, b->place.file);
      TALLOC_FREE (b->log);
      CU_ASSERT_EQUAL (truncate (path, 30 - cut), 0);
      bench_open (b);
      CU_ASSERT_STRING_EQUAL (b->replayed, "one ");
      bench_append (b, "three", 100);
      TALLOC_FREE (b->log);
      bench_open (b);
      CU_ASSERT_STRING_EQUAL (b->replayed, "one three ");
      bench_free (b);
    }
}

/* A disk gives back other bytes than it got: the record is not believed. */
static void
test_a_changed_byte_is_noticed (void)
{
  struct Bench *b = bench_new ();
  char path[96];
  size_t n_bytes;
  int fd;

  bench_append (b, "one", 100);
  snprintf (path, sizeof path, "%s/log-%u", b->folder, b->place.file);
  fd = open (path, O_WRONLY);
  CU_ASSERT_EQUAL (pwrite (fd, "x", 1, 13), 1);
  close (fd);
  CU_ASSERT_PTR_NULL (disk_log_read (b->log, b, &b->place, &n_bytes));
  bench_free (b);
}

/* The mark says that the disk has all that it ever acknowledged: an emptied one does not have it.
 */
static void
test_the_mark_goes_with_the_disk (void)
{
  struct Bench *b = bench_new ();

  CU_ASSERT_FALSE (disk_log_is_complete (b->log));
  CU_ASSERT_EQUAL (disk_log_mark_complete (b->log), ERROR_NONE);
  TALLOC_FREE (b->log);
  bench_open (b);
  CU_ASSERT_TRUE (disk_log_is_complete (b->log));
  bench_free (b);
}

static void
test_many_records_share_a_sync_and_keep_their_order (void)
{
  struct Bench *b = bench_new ();
  char record[8], *expected = talloc_strdup (b, "");
  bool all = false;

  for (int i = 0; i < 100; i++)
    {
      snprintf (record, sizeof record, "r%d", i);
      expected = talloc_asprintf_append (expected, "%s ", record);
      disk_log_append (b->log, (const uint8_t *)record, strlen (record), 100, bench_on_durable, b);
    }
  while (b->n_durable < 100)
    tevent_loop_once (b->events);
  all = b->n_durable == 100;
  CU_ASSERT_TRUE (all);
  TALLOC_FREE (b->log);
  bench_open (b);
  CU_ASSERT_STRING_EQUAL (b->replayed, expected);
  bench_free (b);
}

/* Another archive copies this one's records in parts of whole frames, while it goes on writing. */
static void
test_frames_are_given_in_parts (void)
{
  struct Bench *b = bench_new ();
  uint64_t cursor = 0;
  bool last = false;
  int n_parts = 0;
  char large[3000];

  memset (large, 'x', sizeof large);
  large[sizeof large - 1] = '\0';
  bench_append (b, "one", 100);
  bench_append (b, large, 100);
  bench_append (b, "two", 100);
  TALLOC_FREE (b->log);
  bench_open (b);
  bench_append (b, "three", 100);
  b->replayed = talloc_strdup (b, "");
  while (!last && n_parts < 20)
    {
      size_t n_bytes;
      uint8_t *bytes = disk_log_frames (b->log, b, cursor, 64, &n_bytes, &cursor, &last);

      CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
      disk_log_each_frame (bytes, n_bytes, bench_on_record, b);
      n_parts++;
    }
  CU_ASSERT_TRUE (last);
  CU_ASSERT_STRING_EQUAL (b->replayed, "one xxxxxxxxxxxxxxxxxxxx two three ");
  bench_append (b, "four", 100);
  b->replayed = talloc_strdup (b, "");
  {
    size_t n_bytes;
    uint8_t *bytes = disk_log_frames (b->log, b, cursor, 64, &n_bytes, &cursor, &last);

    disk_log_each_frame (bytes, n_bytes, bench_on_record, b);
  }
  CU_ASSERT_STRING_EQUAL (b->replayed, "four ");
  bench_free (b);
}

static void
bench_keep (struct Bench *b, const char *record)
{
  b->durable = false;
  CU_ASSERT_EQUAL (
      disk_log_keep (b->log, "x", (const uint8_t *)record, strlen (record), bench_on_durable, b),
      ERROR_NONE);
  /* The loop goes on meanwhile: a slow disk must not keep it from its peers. */
  CU_ASSERT_FALSE (b->durable);
  CU_ASSERT_TRUE (events_until (b->events, &b->durable));
  CU_ASSERT_EQUAL (b->error, ERROR_NONE);
}

static void
test_kept_records_are_replaced_as_a_whole (void)
{
  struct Bench *b = bench_new ();
  char path[96];
  size_t n_bytes;
  uint8_t *kept;

  CU_ASSERT_PTR_NULL (disk_log_kept (b->log, b, "x", &n_bytes));
  bench_keep (b, "a long one");
  bench_keep (b, "short");
  TALLOC_FREE (b->log);
  bench_open (b);
  CU_ASSERT_STRING_EQUAL (b->replayed, "");
  kept = disk_log_kept (b->log, b, "x", &n_bytes);
  CU_ASSERT_EQUAL (n_bytes, 5);
  CU_ASSERT (kept != NULL && memcmp (kept, "short", 5) == 0);
  /* A torn one is none. */
  snprintf (path, sizeof path, "%s/kept-x", b->folder);
  CU_ASSERT_EQUAL (truncate (path, 15), 0);
  CU_ASSERT_PTR_NULL (disk_log_kept (b->log, b, "x", &n_bytes));
  bench_free (b);
}

static void
test_expired_files_go_and_extended_ones_stay (void)
{
  struct Bench *b = bench_new ();
  struct DiskPlace first;
  size_t n_bytes;

  bench_append (b, "one", 100);
  first = b->place;
  TALLOC_FREE (b->log);
  bench_open (b);
  disk_log_extend (b->log, first.file, 100);
  bench_append (b, "two", 100);
  disk_log_extend (b->log, first.file, 500);
  disk_log_drop_expired (b->log, 200);
  CU_ASSERT_PTR_NOT_NULL (disk_log_read (b->log, b, &first, &n_bytes));
  disk_log_drop_expired (b->log, 600);
  CU_ASSERT_PTR_NULL (disk_log_read (b->log, b, &first, &n_bytes));
  /* The file that is being written stays, whatever it holds. */
  CU_ASSERT_PTR_NOT_NULL (disk_log_read (b->log, b, &b->place, &n_bytes));
  bench_free (b);
}

const char test_suite_name[] = "disk_log";
const struct TestCase test_cases[] = {
  { "records are read back and replayed", test_records_are_read_back_and_replayed },
  { "a torn end hides nothing", test_a_torn_end_hides_nothing },
  { "a changed byte is noticed", test_a_changed_byte_is_noticed },
  { "the mark goes with the disk", test_the_mark_goes_with_the_disk },
  { "many records share a sync", test_many_records_share_a_sync_and_keep_their_order },
  { "frames are given in parts", test_frames_are_given_in_parts },
  { "kept records are replaced as a whole", test_kept_records_are_replaced_as_a_whole },
  { "expired files go, extended ones stay", test_expired_files_go_and_extended_ones_stay },
  { NULL, NULL },
};
