#include "test_main.h"

#include <buckthornhead/spool.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

/* The records that spool_each passed, as text. */
struct Seen
{
  char text[256];
};

static char folder[64];

static void
record_seen (void *data, uint64_t number, const uint8_t *record, size_t n_bytes)
{
  struct Seen *seen = data;
  size_t used = strlen (seen->text);

  snprintf (seen->text + used, sizeof seen->text - used, "%llu=%.*s ", (unsigned long long)number,
            (int)n_bytes, (const char *)record);
}

static struct Spool *
open_spool (void)
{
  struct Spool *spool;
  struct Fault fault;

  CU_ASSERT_EQUAL_FATAL (spool_open (NULL, folder, &spool, &fault), ERROR_NONE);
  return spool;
}

static void
new_folder (void)
{
  snprintf (folder, sizeof folder, "/tmp/buckthornhead-spool-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (folder));
}

static void
remove_folder (void)
{
  char path[128];

  snprintf (path, sizeof path, "%s/spool-malda-1.7", folder);
  unlink (path);
  snprintf (path, sizeof path, "%s/disk-id", folder);
  unlink (path);
  rmdir (folder);
}

static void
put_record (struct Spool *spool, uint64_t number, const char *text)
{
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", number, (const uint8_t *)text, strlen (text)),
                   ERROR_NONE);
}

static void
expect_records (struct Spool *spool, const char *text)
{
  struct Seen seen = { "" };

  spool_each (spool, "malda-1.7", record_seen, &seen);
  CU_ASSERT_STRING_EQUAL (seen.text, text);
}

static void
test_records_survive_a_restart (void)
{
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put_record (spool, 1, "one");
  put_record (spool, 2, "two");
  expect_records (spool, ""); /* not durable yet: must not be passed on */
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  put_record (spool, 2, "two"); /* a resend */
  talloc_free (spool);
  spool = open_spool ();
  expect_records (spool, "1=one 2=two ");
  talloc_free (spool);
  remove_folder ();
}

/* An instance loses power while it writes a third record, so the file ends in the middle of it.
 * After a restart the two acknowledged records must be readable and the third must be absent, and
 * records written later must be readable too. */
static void
test_torn_tail_is_cut_off (void)
{
  char path[128];
  struct stat status;

  new_folder ();
  snprintf (path, sizeof path, "%s/spool-malda-1.7", folder);
  for (off_t torn = 1; torn < 12; torn++)
    {
      struct Spool *spool = open_spool ();

      put_record (spool, 1, "one");
      put_record (spool, 2, "two");
      CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
      CU_ASSERT_EQUAL (stat (path, &status), 0);
      put_record (spool, 3, "three");
      talloc_free (spool);
      CU_ASSERT_EQUAL (truncate (path, status.st_size + torn), 0);
      spool = open_spool ();
      expect_records (spool, "1=one 2=two ");
      put_record (spool, 4, "four");
      CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
      talloc_free (spool);
      spool = open_spool ();
      expect_records (spool, "1=one 2=two 4=four ");
      talloc_free (spool);
      unlink (path);
    }
  remove_folder ();
}

/* Guards against an acknowledged record that is lost at the next start, since it was written behind
 * the bytes of one that the disk had refused. */
static void
test_record_after_a_refused_write_survives (void)
{
  const struct rlimit full = { .rlim_cur = 20, .rlim_max = RLIM_INFINITY };
  static const uint8_t large[4096];
  struct rlimit before;
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put_record (spool, 1, "one");
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  getrlimit (RLIMIT_FSIZE, &before);
  signal (SIGXFSZ, SIG_IGN);
  /* The disk takes a part of the record. */
  setrlimit (RLIMIT_FSIZE, &full);
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", 2, large, sizeof large), ERROR_IO);
  setrlimit (RLIMIT_FSIZE, &before);
  put_record (spool, 3, "three");
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  expect_records (spool, "1=one 3=three ");
  talloc_free (spool);
  spool = open_spool ();
  expect_records (spool, "1=one 3=three ");
  talloc_free (spool);
  remove_folder ();
}

/* The disk returns other bytes than were written: the changed record and all after it must be
 * rejected. */
static void
test_changed_byte_is_detected (void)
{
  char path[128];
  struct Spool *spool;
  int fd;

  new_folder ();
  snprintf (path, sizeof path, "%s/spool-malda-1.7", folder);
  spool = open_spool ();
  put_record (spool, 1, "one");
  put_record (spool, 2, "two");
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  talloc_free (spool);
  fd = open (path, O_WRONLY);
  CU_ASSERT_EQUAL (pwrite (fd, "x", 1, 4), 1);
  close (fd);
  spool = open_spool ();
  expect_records (spool, "");
  talloc_free (spool);
  remove_folder ();
}

static void
test_dropped_records_are_removed (void)
{
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put_record (spool, 1, "one");
  put_record (spool, 2, "two");
  spool_sync (spool);
  spool_drop (spool, "malda-1.7", 1);
  expect_records (spool, "2=two ");
  spool_drop (spool, "malda-1.7", 2);
  CU_ASSERT_EQUAL (spool_count (spool), 0);
  talloc_free (spool);
  spool = open_spool ();
  expect_records (spool, "");
  talloc_free (spool);
  remove_folder ();
}

/* A home is paused during an outage of the platform. After the outage another instance takes over,
 * seals the spool and reads it. Then the former home resumes and sends another outcome, not yet
 * aware that the outage is over. The spool must refuse it, also after a restart of the instance
 * that holds the spool; else a caller would receive an outcome that the new home does not have. */
static void
test_sealed_writer_is_refused (void)
{
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put_record (spool, 1, "one");
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  CU_ASSERT_EQUAL (spool_seal (spool, "malda-1.7"), ERROR_NONE);
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", 2, (const uint8_t *)"two", 3), ERROR_FENCED);
  talloc_free (spool);
  spool = open_spool ();
  expect_records (spool, "1=one ");
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", 2, (const uint8_t *)"two", 3), ERROR_FENCED);
  CU_ASSERT_EQUAL (spool_seal (spool, "malda-1.7"), ERROR_NONE);
  talloc_free (spool);
  remove_folder ();
}

/* An instance is replaced under its old name with an empty disk. A new home that accepted its empty
 * spool would miss records that only the lost disk held, so the new disk must have another id. */
static void
test_emptied_disk_has_another_id (void)
{
  char first[64];
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  snprintf (first, sizeof first, "%s", spool_id (spool));
  talloc_free (spool);
  spool = open_spool ();
  CU_ASSERT_STRING_EQUAL (spool_id (spool), first);
  talloc_free (spool);
  remove_folder ();
  CU_ASSERT_EQUAL (mkdir (folder, 0700), 0);
  spool = open_spool ();
  CU_ASSERT_STRING_NOT_EQUAL (spool_id (spool), first);
  talloc_free (spool);
  remove_folder ();
}

const char test_suite_name[] = "spool";
const struct TestCase test_cases[] = {
  { "records survive a restart", test_records_survive_a_restart },
  { "a record after a refused write survives", test_record_after_a_refused_write_survives },
  { "torn tail is cut off", test_torn_tail_is_cut_off },
  { "changed byte is detected", test_changed_byte_is_detected },
  { "dropped records are removed", test_dropped_records_are_removed },
  { "emptied disk has another id", test_emptied_disk_has_another_id },
  { "sealed writer is refused", test_sealed_writer_is_refused },
  { NULL, NULL },
};
