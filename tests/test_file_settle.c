#include "test_main.h"

#include <buckthornhead/file_settle.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static char path[] = "file-settle-XXXXXX";

/* Returns a descriptor that is open for writing. */
static int
write_file (const char *text)
{
  int fd;

  snprintf (path, sizeof path, "file-settle-XXXXXX");
  fd = mkstemp (path);
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  signal (SIGIO, SIG_IGN);
  return fd;
}

static bool
is_whole (void)
{
  struct FileSettle settle = { 0 };

  file_settle_begin (&settle, path);
  return file_settle_is_whole (&settle, path);
}

static void
test_closed_file_with_a_last_line_is_whole (void)
{
  close (write_file ("[a]\nb = c\n"));
  CU_ASSERT_TRUE (is_whole ());
  unlink (path);
}

static void
test_cut_file_is_not_whole (void)
{
  close (write_file ("[a]\nb = "));
  CU_ASSERT_FALSE (is_whole ());
  unlink (path);
  close (write_file (""));
  CU_ASSERT_FALSE (is_whole ());
  unlink (path);
}

/* Guards against settings that are cut at the end of a line: the keys that follow would have their
 * defaults. */
static void
test_file_that_is_open_for_writing_is_not_whole (void)
{
  int fd = write_file ("[a]\nb = c\n");

  CU_ASSERT_FALSE (is_whole ());
  close (fd);
  CU_ASSERT_TRUE (is_whole ());
  unlink (path);
}

static void
test_file_that_changes_while_it_is_read_is_not_whole (void)
{
  struct FileSettle settle = { 0 };
  int fd = write_file ("[a]\n");

  file_settle_begin (&settle, path);
  CU_ASSERT_EQUAL (write (fd, "b = c\n", 6), 6);
  close (fd);
  CU_ASSERT_FALSE (file_settle_is_whole (&settle, path));
  CU_ASSERT_TRUE (file_settle_is_whole (&settle, path));
  unlink (path);
}

static void
test_only_a_modification_of_the_last_seconds_is_recent (void)
{
  static const struct timespec long_ago[2] = { { 1000, 0 }, { 1000, 0 } };
  struct FileSettle settle = { 0 };

  close (write_file ("[a]\n"));
  file_settle_begin (&settle, path);
  CU_ASSERT_TRUE (file_settle_is_recent (&settle));
  utimensat (AT_FDCWD, path, long_ago, 0);
  file_settle_begin (&settle, path);
  CU_ASSERT_FALSE (file_settle_is_recent (&settle));
  unlink (path);
  file_settle_begin (&settle, path);
  CU_ASSERT_FALSE (file_settle_is_recent (&settle));
}

const char test_suite_name[] = "file settle";
const struct TestCase test_cases[] = {
  { "closed file with a last line is whole", test_closed_file_with_a_last_line_is_whole },
  { "cut file is not whole", test_cut_file_is_not_whole },
  { "file that is open for writing is not whole", test_file_that_is_open_for_writing_is_not_whole },
  { "file that changes while it is read is not whole",
    test_file_that_changes_while_it_is_read_is_not_whole },
  { "only a modification of the last seconds is recent",
    test_only_a_modification_of_the_last_seconds_is_recent },
  { NULL, NULL },
};
