#include "test_main.h"

#include "fakes/raw_socket.h"

#include <buckthornhead/disk_log.h>

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

struct Fixture
{
  struct tevent_context *events;
  struct DiskLog *log;
  char folder[64];
  char *replayed; /* the records passed to the replay callback, each followed by a space */
  uint32_t n_durable;
  bool durable;
  int32_t error;
  struct DiskPlace place; /* of the last record */
};

static void
fixture_on_record (void *data, const struct DiskPlace *place, const uint8_t *record, size_t n_bytes)
{
  struct Fixture *f = data;

  (void)place;
  f->replayed = talloc_asprintf_append (f->replayed, "%.*s ", (int)(n_bytes < 20 ? n_bytes : 20),
                                        (const char *)record);
}

static void
fixture_open (struct Fixture *f)
{
  struct Fault fault;

  f->replayed = talloc_strdup (f, "");
  CU_ASSERT_EQUAL_FATAL (
      disk_log_open (f, f->events, f->folder, fixture_on_record, f, &f->log, &fault), ERROR_NONE);
}

static struct Fixture *
fixture_new (void)
{
  struct Fixture *f = talloc_zero (NULL, struct Fixture);

  snprintf (f->folder, sizeof f->folder, "disk-log-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (f->folder));
  f->events = tevent_context_init (f);
  fixture_open (f);
  return f;
}

static void
fixture_free (struct Fixture *f)
{
  char command[96];

  TALLOC_FREE (f->log);
  snprintf (command, sizeof command, "rm -rf %s", f->folder);
  CU_ASSERT_EQUAL (system (command), 0);
  talloc_free (f);
}

static void
fixture_on_durable (void *data, int32_t error, const struct DiskPlace *place)
{
  struct Fixture *f = data;

  f->durable = true;
  f->n_durable++;
  f->error = error;
  f->place = *place;
}

static void
fixture_append (struct Fixture *f, const char *record, int64_t expires_unix_ms)
{
  f->durable = false;
  CU_ASSERT_EQUAL (disk_log_append (f->log, (const uint8_t *)record, strlen (record),
                                    expires_unix_ms, fixture_on_durable, f),
                   ERROR_NONE);
  CU_ASSERT_TRUE (events_until (f->events, &f->durable));
  CU_ASSERT_EQUAL (f->error, ERROR_NONE);
}

static void
test_records_are_read_back_and_replayed (void)
{
  struct Fixture *f = fixture_new ();
  struct DiskPlace first;
  uint8_t *record;
  size_t n_bytes;

  fixture_append (f, "one", 100);
  first = f->place;
  fixture_append (f, "two", 100);
  record = disk_log_read (f->log, f, &first, &n_bytes);
  CU_ASSERT_EQUAL (n_bytes, 3);
  CU_ASSERT_EQUAL (memcmp (record, "one", 3), 0);
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "one two ");
  fixture_append (f, "three", 100);
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "one two three ");
  fixture_free (f);
}

/* Power fails while a record is being written. Records acknowledged before must be replayed; the
 * torn end was never acknowledged, and must not hide records that are appended after a restart. */
static void
test_torn_end_hides_no_records (void)
{
  for (int cut = 1; cut < 15; cut++)
    {
      struct Fixture *f = fixture_new ();
      char path[96];

      fixture_append (f, "one", 100);
      fixture_append (f, "two", 100);
      snprintf (path, sizeof path, "%s/log-%u", f->folder, f->place.file);
      TALLOC_FREE (f->log);
      CU_ASSERT_EQUAL (truncate (path, 30 - cut), 0);
      fixture_open (f);
      CU_ASSERT_STRING_EQUAL (f->replayed, "one ");
      fixture_append (f, "three", 100);
      TALLOC_FREE (f->log);
      fixture_open (f);
      CU_ASSERT_STRING_EQUAL (f->replayed, "one three ");
      fixture_free (f);
    }
}

/* The disk returns other bytes than were written: the checksum must reject the record. */
static void
test_changed_byte_is_detected (void)
{
  struct Fixture *f = fixture_new ();
  char path[96];
  size_t n_bytes;
  int fd;

  fixture_append (f, "one", 100);
  snprintf (path, sizeof path, "%s/log-%u", f->folder, f->place.file);
  fd = open (path, O_WRONLY);
  CU_ASSERT_EQUAL (pwrite (fd, "x", 1, 13), 1);
  close (fd);
  CU_ASSERT_PTR_NULL (disk_log_read (f->log, f, &f->place, &n_bytes));
  fixture_free (f);
}

/* The mark means that the disk holds all records that it ever acknowledged: a new folder must not
 * have it, and it must survive a restart. */
static void
test_completeness_mark_is_stored (void)
{
  struct Fixture *f = fixture_new ();

  CU_ASSERT_FALSE (disk_log_is_complete (f->log));
  CU_ASSERT_TRUE (disk_log_is_empty (f->log));
  CU_ASSERT_EQUAL (disk_log_mark_complete (f->log), ERROR_NONE);
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_TRUE (disk_log_is_complete (f->log));
  fixture_free (f);
}

static void
test_many_records_keep_their_order (void)
{
  struct Fixture *f = fixture_new ();
  char record[8], *expected = talloc_strdup (f, "");
  bool all = false;

  for (int i = 0; i < 100; i++)
    {
      snprintf (record, sizeof record, "r%d", i);
      expected = talloc_asprintf_append (expected, "%s ", record);
      disk_log_append (f->log, (const uint8_t *)record, strlen (record), 100, fixture_on_durable,
                       f);
    }
  while (f->n_durable < 100)
    tevent_loop_once (f->events);
  all = f->n_durable == 100;
  CU_ASSERT_TRUE (all);
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, expected);
  fixture_free (f);
}

/* Another archive copies the records in parts of whole frames while records are still appended. */
static void
test_frames_are_copied_in_parts (void)
{
  struct Fixture *f = fixture_new ();
  uint64_t cursor = 0;
  bool last = false;
  int n_parts = 0;
  char large[3000];

  memset (large, 'x', sizeof large);
  large[sizeof large - 1] = '\0';
  fixture_append (f, "one", 100);
  fixture_append (f, large, 100);
  fixture_append (f, "two", 100);
  TALLOC_FREE (f->log);
  fixture_open (f);
  fixture_append (f, "three", 100);
  f->replayed = talloc_strdup (f, "");
  while (!last && n_parts < 20)
    {
      size_t n_bytes;
      uint8_t *bytes = disk_log_frames (f->log, f, cursor, 64, &n_bytes, &cursor, &last);

      CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
      disk_log_each_frame (bytes, n_bytes, fixture_on_record, f);
      n_parts++;
    }
  CU_ASSERT_TRUE (last);
  CU_ASSERT_STRING_EQUAL (f->replayed, "one xxxxxxxxxxxxxxxxxxxx two three ");
  fixture_append (f, "four", 100);
  f->replayed = talloc_strdup (f, "");
  {
    size_t n_bytes;
    uint8_t *bytes = disk_log_frames (f->log, f, cursor, 64, &n_bytes, &cursor, &last);

    disk_log_each_frame (bytes, n_bytes, fixture_on_record, f);
  }
  CU_ASSERT_STRING_EQUAL (f->replayed, "four ");
  fixture_free (f);
}

static void
fixture_keep (struct Fixture *f, const char *record)
{
  f->durable = false;
  CU_ASSERT_EQUAL (disk_log_store_named (f->log, "x", (const uint8_t *)record, strlen (record),
                                         fixture_on_durable, f),
                   ERROR_NONE);
  /* The call must not wait for the disk: the loop keeps serving peers while a slow disk syncs. */
  CU_ASSERT_FALSE (f->durable);
  CU_ASSERT_TRUE (events_until (f->events, &f->durable));
  CU_ASSERT_EQUAL (f->error, ERROR_NONE);
}

static void
test_kept_records_are_replaced_as_a_whole (void)
{
  struct Fixture *f = fixture_new ();
  char path[96];
  size_t n_bytes;
  uint8_t *kept;

  CU_ASSERT_PTR_NULL (disk_log_load_named (f->log, f, "x", &n_bytes));
  fixture_keep (f, "a long one");
  fixture_keep (f, "short");
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "");
  kept = disk_log_load_named (f->log, f, "x", &n_bytes);
  CU_ASSERT_EQUAL (n_bytes, 5);
  CU_ASSERT (kept != NULL && memcmp (kept, "short", 5) == 0);
  /* A torn record must be treated as missing. */
  snprintf (path, sizeof path, "%s/kept-x", f->folder);
  CU_ASSERT_EQUAL (truncate (path, 15), 0);
  CU_ASSERT_PTR_NULL (disk_log_load_named (f->log, f, "x", &n_bytes));
  fixture_free (f);
}

static void
test_expired_files_are_deleted_and_extended_ones_stay (void)
{
  struct Fixture *f = fixture_new ();
  struct DiskPlace first;
  size_t n_bytes;

  fixture_append (f, "one", 100);
  first = f->place;
  TALLOC_FREE (f->log);
  fixture_open (f);
  disk_log_extend (f->log, first.file, 100);
  fixture_append (f, "two", 100);
  disk_log_extend (f->log, first.file, 500);
  disk_log_drop_expired (f->log, 200);
  CU_ASSERT_PTR_NOT_NULL (disk_log_read (f->log, f, &first, &n_bytes));
  disk_log_drop_expired (f->log, 600);
  CU_ASSERT_PTR_NULL (disk_log_read (f->log, f, &first, &n_bytes));
  /* The file that is being written must stay, even if its records have expired. */
  CU_ASSERT_PTR_NOT_NULL (disk_log_read (f->log, f, &f->place, &n_bytes));
  fixture_free (f);
}

static void
fixture_write_file (const struct Fixture *f, const char *name, const char *content)
{
  char path[96];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s", f->folder, name);
  file = fopen (path, "we");
  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  fputs (content, file);
  fclose (file);
}

/* Power fails before a named record takes its place: what is left must not be loaded. */
static void
test_unfinished_named_record_is_ignored (void)
{
  struct Fixture *f = fixture_new ();
  size_t n_bytes;
  uint8_t *kept;

  TALLOC_FREE (f->log);
  fixture_write_file (f, "fresh-x", "left by a process that has ended, and longer than the next");
  fixture_open (f);
  CU_ASSERT_PTR_NULL (disk_log_load_named (f->log, f, "x", &n_bytes));
  fixture_keep (f, "short");
  kept = disk_log_load_named (f->log, f, "x", &n_bytes);
  CU_ASSERT (kept != NULL && n_bytes == 5 && memcmp (kept, "short", 5) == 0);
  fixture_free (f);
}

/* Power fails after a file was created: its number must not be used again, and copies must go on
 * with the files after it. */
static void
test_empty_file_keeps_its_number (void)
{
  struct Fixture *f = fixture_new ();
  uint64_t cursor = 0;
  bool last = false;

  fixture_append (f, "one", 100);
  TALLOC_FREE (f->log);
  fixture_write_file (f, "log-7", "");
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "one ");
  fixture_append (f, "two", 100);
  CU_ASSERT_EQUAL (f->place.file, 8);
  f->replayed = talloc_strdup (f, "");
  for (int i = 0; i < 10 && !last; i++)
    {
      size_t n_bytes;
      uint8_t *bytes = disk_log_frames (f->log, f, cursor, 64, &n_bytes, &cursor, &last);

      disk_log_each_frame (bytes, n_bytes, fixture_on_record, f);
    }
  CU_ASSERT_TRUE (last);
  CU_ASSERT_STRING_EQUAL (f->replayed, "one two ");
  fixture_free (f);
}

/* Writes one file per record, from log-1 on, and closes the marked log. */
static void
fixture_write_files (struct Fixture *f, uint32_t n)
{
  CU_ASSERT_EQUAL (disk_log_mark_complete (f->log), ERROR_NONE);
  for (uint32_t i = 1; i <= n; i++)
    {
      char record[16];

      snprintf (record, sizeof record, "r%u", i);
      fixture_append (f, record, 100);
      TALLOC_FREE (f->log);
      if (i < n)
        fixture_open (f);
    }
}

static void
fixture_rename (const struct Fixture *f, const char *from, const char *to)
{
  char from_path[96], to_path[96];

  snprintf (from_path, sizeof from_path, "%s/%s", f->folder, from);
  snprintf (to_path, sizeof to_path, "%s/%s", f->folder, to);
  CU_ASSERT_EQUAL (rename (from_path, to_path), 0);
}

/* Guards against acknowledged records that are taken for ones that never were. */
static void
test_unreadable_file_makes_the_log_incomplete (void)
{
  struct Fixture *f = fixture_new ();
  char path[96];

  fixture_write_files (f, 3);
  fixture_rename (f, "log-1", "away");
  snprintf (path, sizeof path, "%s/log-1", f->folder);
  CU_ASSERT_EQUAL (mkdir (path, 0700), 0);
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "r2 r3 ");
  CU_ASSERT_FALSE (disk_log_is_complete (f->log));
  CU_ASSERT_FALSE (disk_log_is_empty (f->log));
  /* Nothing is deleted, so the log is complete again once the file can be read. */
  disk_log_drop_expired (f->log, 200);
  TALLOC_FREE (f->log);
  CU_ASSERT_EQUAL (rmdir (path), 0);
  fixture_rename (f, "away", "log-1");
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "r1 r2 r3 ");
  CU_ASSERT_TRUE (disk_log_is_complete (f->log));
  fixture_free (f);
}

/* Guards against a disk that is restored again at each start. */
static void
test_restored_log_stays_complete (void)
{
  struct Fixture *f = fixture_new ();
  char path[96];

  fixture_write_files (f, 3);
  snprintf (path, sizeof path, "%s/log-1", f->folder);
  CU_ASSERT_EQUAL (unlink (path), 0);
  CU_ASSERT_EQUAL (mkdir (path, 0700), 0);
  snprintf (path, sizeof path, "%s/log-2", f->folder);
  CU_ASSERT_EQUAL (truncate (path, 5), 0);
  fixture_open (f);
  CU_ASSERT_FALSE (disk_log_is_complete (f->log));
  fixture_append (f, "copy", 100);
  CU_ASSERT_EQUAL (disk_log_mark_complete (f->log), ERROR_NONE);
  CU_ASSERT_TRUE (disk_log_is_complete (f->log));
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, "r3 copy ");
  CU_ASSERT_TRUE (disk_log_is_complete (f->log));
  snprintf (path, sizeof path, "%s/unread-1", f->folder);
  CU_ASSERT_EQUAL (access (path, F_OK), 0);
  fixture_free (f);
}

/* Cuts log-number short and returns whether the log is then complete. */
static bool
fixture_is_complete_after_cut (struct Fixture *f, uint32_t number)
{
  char path[96];

  snprintf (path, sizeof path, "%s/log-%u", f->folder, number);
  CU_ASSERT_EQUAL (truncate (path, 13), 0);
  fixture_open (f);
  return disk_log_is_complete (f->log);
}

/* Guards against lost acknowledged records in a file that was whole when the next one began. */
static void
test_torn_file_before_the_last_makes_the_log_incomplete (void)
{
  struct Fixture *f = fixture_new ();

  fixture_write_files (f, 3);
  CU_ASSERT_TRUE (fixture_is_complete_after_cut (f, 3));
  fixture_append (f, "r4", 100);
  TALLOC_FREE (f->log);
  fixture_open (f);
  CU_ASSERT_TRUE (disk_log_is_complete (f->log));
  TALLOC_FREE (f->log);
  CU_ASSERT_FALSE (fixture_is_complete_after_cut (f, 2));
  CU_ASSERT_STRING_EQUAL (f->replayed, "r1 r4 ");
  fixture_free (f);
}

/* Guards against an upgrade after which all archives restore their disks at once. */
static void
test_torn_files_below_an_older_mark_are_no_damage (void)
{
  struct Fixture *f = fixture_new ();

  fixture_write_files (f, 3);
  fixture_write_file (f, "complete", "1\n");
  CU_ASSERT_TRUE (fixture_is_complete_after_cut (f, 1));
  TALLOC_FREE (f->log);
  CU_ASSERT_FALSE (fixture_is_complete_after_cut (f, 2));
  fixture_free (f);
}

/* Takes all descriptors from the process while the first file is replayed. */
static void
limit_on_record (void *data, const struct DiskPlace *place, const uint8_t *record, size_t n_bytes)
{
  const struct rlimit *limit = data;
  struct rlimit none = { 0, limit->rlim_max };

  (void)place;
  (void)record;
  (void)n_bytes;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &none), 0);
}

/* Guards against a process without free descriptors that takes its disk for damaged. */
static void
test_opening_without_descriptors_fails (void)
{
  struct Fixture *f = fixture_new ();
  struct Fault fault = { 0 };
  struct rlimit limit;
  int32_t error;

  fixture_write_files (f, 2);
  CU_ASSERT_EQUAL (getrlimit (RLIMIT_NOFILE, &limit), 0);
  error = disk_log_open (f, f->events, f->folder, limit_on_record, &limit, &f->log, &fault);
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  CU_ASSERT_NOT_EQUAL (error, ERROR_NONE);
  CU_ASSERT_TRUE (error_may_pass (fault.error));
  CU_ASSERT_PTR_NOT_NULL (strstr (fault.message, strerror (EMFILE)));
  CU_ASSERT_PTR_NULL (f->log);
  fixture_open (f);
  CU_ASSERT_TRUE (disk_log_is_complete (f->log));
  fixture_free (f);
}

static uint32_t
count_descriptors (void)
{
  uint32_t n = 0;

  for (int fd = 0; fd < 1024; fd++)
    n += fcntl (fd, F_GETFD) >= 0;
  return n;
}

/* Copies all records, as another archive does, and passes them to the fixture. */
static void
fixture_copy_all (struct Fixture *f)
{
  uint64_t cursor = 0;
  bool last = false;

  f->replayed = talloc_strdup (f, "");
  while (!last)
    {
      size_t n_bytes;
      uint8_t *bytes = disk_log_frames (f->log, f, cursor, 64, &n_bytes, &cursor, &last);

      CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
      disk_log_each_frame (bytes, n_bytes, fixture_on_record, f);
    }
}

/* Several connections copy one file each; a part must not go on into another's file. */
static void
test_parts_end_with_their_file (void)
{
  struct Fixture *f = fixture_new ();
  uint64_t cursor = 0;
  uint32_t n_parts = 0;
  bool last = false;

  fixture_write_files (f, 3);
  fixture_open (f);
  f->replayed = talloc_strdup (f, "");
  while (!last && n_parts++ < 10)
    {
      uint32_t file = (uint32_t)(cursor >> 32);
      size_t n_bytes;
      uint8_t *bytes = disk_log_file_frames (f->log, f, cursor, 64, &n_bytes, &cursor, &last);

      CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
      disk_log_each_frame (bytes, n_bytes, fixture_on_record, f);
      CU_ASSERT (last || (uint32_t)(cursor >> 32) <= (file == 0 ? 2 : file + 1));
    }
  CU_ASSERT_STRING_EQUAL (f->replayed, "r1 r2 r3 ");
  /* A file that was deleted since is skipped. */
  cursor = (uint64_t)1 << 32 | 1;
  disk_log_drop_expired (f->log, 200);
  TALLOC_FREE (f->replayed);
  {
    size_t n_bytes;

    disk_log_file_frames (f->log, f, cursor, 64, &n_bytes, &cursor, &last);
    CU_ASSERT_EQUAL (n_bytes, 0);
    CU_ASSERT_FALSE (last);
    CU_ASSERT_EQUAL (cursor, (uint64_t)2 << 32);
  }
  fixture_free (f);
}

/* Guards against a log whose files take all descriptors of the process. */
static void
test_few_files_are_kept_open (void)
{
  const uint32_t n_files = 60, kept_max = 16;
  struct Fixture *f = fixture_new ();
  uint32_t before;
  char *replayed;

  fixture_write_files (f, n_files);
  fixture_open (f);
  before = count_descriptors ();
  replayed = f->replayed;
  fixture_copy_all (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, replayed);
  CU_ASSERT (count_descriptors () <= before + kept_max);
  /* Files that were closed are read again. */
  fixture_copy_all (f);
  CU_ASSERT_STRING_EQUAL (f->replayed, replayed);
  disk_log_drop_expired (f->log, 200);
  CU_ASSERT (count_descriptors () <= before + 1);
  fixture_free (f);
}

/* Guards against records that cannot be read while connections take all other descriptors. */
static void
test_records_are_read_with_one_descriptor (void)
{
  struct Fixture *f = fixture_new ();
  struct rlimit limit, low;
  char *replayed;
  int fd;

  fixture_write_files (f, 3);
  fixture_open (f);
  replayed = f->replayed;
  fd = dup (STDOUT_FILENO);
  CU_ASSERT_EQUAL (close (fd), 0);
  CU_ASSERT_EQUAL (getrlimit (RLIMIT_NOFILE, &limit), 0);
  low = limit;
  low.rlim_cur = (rlim_t)fd + 1;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &low), 0);
  fixture_copy_all (f);
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  CU_ASSERT_STRING_EQUAL (f->replayed, replayed);
  fixture_free (f);
}

const char test_suite_name[] = "disk_log";
const struct TestCase test_cases[] = {
  { "records are read back and replayed", test_records_are_read_back_and_replayed },
  { "a torn end hides no records", test_torn_end_hides_no_records },
  { "a changed byte is detected", test_changed_byte_is_detected },
  { "the completeness mark is stored", test_completeness_mark_is_stored },
  { "many records keep their order", test_many_records_keep_their_order },
  { "frames are copied in parts", test_frames_are_copied_in_parts },
  { "kept records are replaced as a whole", test_kept_records_are_replaced_as_a_whole },
  { "expired files are deleted, extended ones stay",
    test_expired_files_are_deleted_and_extended_ones_stay },
  { "an unfinished named record is ignored", test_unfinished_named_record_is_ignored },
  { "an empty file keeps its number", test_empty_file_keeps_its_number },
  { "an unreadable file makes the log incomplete", test_unreadable_file_makes_the_log_incomplete },
  { "a restored log stays complete", test_restored_log_stays_complete },
  { "a torn file before the last makes the log incomplete",
    test_torn_file_before_the_last_makes_the_log_incomplete },
  { "torn files below an older mark are no damage",
    test_torn_files_below_an_older_mark_are_no_damage },
  { "opening without descriptors fails", test_opening_without_descriptors_fails },
  { "few files are kept open", test_few_files_are_kept_open },
  { "records are read with one descriptor", test_records_are_read_with_one_descriptor },
  { "parts end with their file", test_parts_end_with_their_file },
  { NULL, NULL },
};
