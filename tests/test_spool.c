#include "test_main.h"

#include <buckthornhead/spool.h>

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* What spool_each gave, as text. */
struct Seen
{
  char text[256];
};

static char folder[64];

static void
note (void *data, uint64_t number, const uint8_t *record, size_t n_bytes)
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
put (struct Spool *spool, uint64_t number, const char *text)
{
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", number, (const uint8_t *)text, strlen (text)),
                   ERROR_NONE);
}

static void
expect (struct Spool *spool, const char *text)
{
  struct Seen seen = { "" };

  spool_each (spool, "malda-1.7", note, &seen);
  CU_ASSERT_STRING_EQUAL (seen.text, text);
}

static void
test_records_survive_a_restart (void)
{
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put (spool, 1, "one");
  put (spool, 2, "two");
  expect (spool, ""); /* not durable yet: must not be given to anyone */
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  put (spool, 2, "two"); /* a resend */
  talloc_free (spool);
  spool = open_spool ();
  expect (spool, "1=one 2=two ");
  talloc_free (spool);
  remove_folder ();
}

/* A disk-bearing instance loses power while it writes a third record: the file ends in the middle
 * of it. After the restart a taker reads the spool: it must get the two acknowledged records and
 * nothing of the third, and a record that comes later must be readable too. */
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

      put (spool, 1, "one");
      put (spool, 2, "two");
      CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
      CU_ASSERT_EQUAL (stat (path, &status), 0);
      put (spool, 3, "three");
      talloc_free (spool);
      CU_ASSERT_EQUAL (truncate (path, status.st_size + torn), 0);
      spool = open_spool ();
      expect (spool, "1=one 2=two ");
      put (spool, 4, "four");
      CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
      talloc_free (spool);
      spool = open_spool ();
      expect (spool, "1=one 2=two 4=four ");
      talloc_free (spool);
      unlink (path);
    }
  remove_folder ();
}

/* A disk returns other bytes than were written: nothing behind the changed record may be trusted.
 */
static void
test_changed_byte_is_noticed (void)
{
  char path[128];
  struct Spool *spool;
  int fd;

  new_folder ();
  snprintf (path, sizeof path, "%s/spool-malda-1.7", folder);
  spool = open_spool ();
  put (spool, 1, "one");
  put (spool, 2, "two");
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  talloc_free (spool);
  fd = open (path, O_WRONLY);
  CU_ASSERT_EQUAL (pwrite (fd, "x", 1, 4), 1);
  close (fd);
  spool = open_spool ();
  expect (spool, "");
  talloc_free (spool);
  remove_folder ();
}

static void
test_drained_records_are_forgotten (void)
{
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put (spool, 1, "one");
  put (spool, 2, "two");
  spool_sync (spool);
  spool_drop (spool, "malda-1.7", 1);
  expect (spool, "2=two ");
  spool_drop (spool, "malda-1.7", 2);
  CU_ASSERT_EQUAL (spool_count (spool), 0);
  talloc_free (spool);
  spool = open_spool ();
  expect (spool, "");
  talloc_free (spool);
  remove_folder ();
}

/* A home is paused in an outage; the platform comes back and another instance takes over: it seals
 * and reads the spool. The former home wakes, still believes in the outage and sends another
 * outcome. It must be refused, also after a restart of the holder, or its caller would be told of
 * an outcome that the new home does not know. */
static void
test_sealed_writer_is_refused (void)
{
  struct Spool *spool;

  new_folder ();
  spool = open_spool ();
  put (spool, 1, "one");
  CU_ASSERT_EQUAL (spool_sync (spool), ERROR_NONE);
  CU_ASSERT_EQUAL (spool_seal (spool, "malda-1.7"), ERROR_NONE);
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", 2, (const uint8_t *)"two", 3), ERROR_FENCED);
  talloc_free (spool);
  spool = open_spool ();
  expect (spool, "1=one ");
  CU_ASSERT_EQUAL (spool_put (spool, "malda-1.7", 2, (const uint8_t *)"two", 3), ERROR_FENCED);
  CU_ASSERT_EQUAL (spool_seal (spool, "malda-1.7"), ERROR_NONE);
  talloc_free (spool);
  remove_folder ();
}

/* A disk-bearing instance is replaced with an empty disk under its old name. A taker that counted
 * it as having answered would miss what only the lost disk held: the new disk must have another id.
 */
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
  { "torn tail is cut off", test_torn_tail_is_cut_off },
  { "changed byte is noticed", test_changed_byte_is_noticed },
  { "drained records are forgotten", test_drained_records_are_forgotten },
  { "emptied disk has another id", test_emptied_disk_has_another_id },
  { "sealed writer is refused", test_sealed_writer_is_refused },
  { NULL, NULL },
};
