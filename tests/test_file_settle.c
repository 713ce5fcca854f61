#include "test_main.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/file_settle.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

enum
{
  WAIT_LIMIT_MS = 20 * 1000,
  POLL_US = 20 * 1000
};

static char path[] = "file-settle-missing";

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

/* Returns whether the file counts as recent, as it does for a while, and then no longer. */
static bool
is_recent_for_a_while (struct FileSettle *settle)
{
  int64_t end_ms = clock_monotonic_ms () + WAIT_LIMIT_MS;
  bool was_recent;

  file_settle_begin (settle, path);
  was_recent = file_settle_is_recent (settle);
  while (file_settle_is_recent (settle) && clock_monotonic_ms () < end_ms)
    {
      usleep (POLL_US);
      file_settle_is_whole (settle, path);
      file_settle_begin (settle, path);
    }
  return was_recent && !file_settle_is_recent (settle);
}

/* Guards against a start that fails while the settings are replaced. */
static void
test_missing_file_is_recent_for_a_while (void)
{
  struct FileSettle settle = { 0 };

  snprintf (path, sizeof path, "file-settle-missing");
  CU_ASSERT_TRUE (is_recent_for_a_while (&settle));
  close (write_file ("[a]\nb = c\n"));
  unlink (path);
  CU_ASSERT_FALSE (file_settle_is_whole (&settle, path));
}

static void
set_modification_time (time_t unix_s)
{
  const struct timespec times[2] = { { unix_s, 0 }, { unix_s, 0 } };

  CU_ASSERT_EQUAL (utimensat (AT_FDCWD, path, times, 0), 0);
}

/* Guards against a start that fails while its settings are written, after a step of the wall clock.
 */
static void
test_file_is_recent_for_a_while_whatever_its_time (void)
{
  static const time_t unix_s[] = { 1000, 2000 * 1000 * 1000 };

  for (size_t i = 0; i < 2; i++)
    {
      struct FileSettle settle = { 0 };

      close (write_file ("[a]\n"));
      set_modification_time (unix_s[i]);
      CU_ASSERT_TRUE (is_recent_for_a_while (&settle));
      set_modification_time (unix_s[i] + 1);
      file_settle_begin (&settle, path);
      CU_ASSERT_TRUE (file_settle_is_recent (&settle));
      unlink (path);
    }
}

/* Guards against a start that is delayed for settings that never had a newline at their end. */
static void
test_old_file_needs_no_newline_at_its_end (void)
{
  close (write_file ("[a]\nb = c"));
  CU_ASSERT_FALSE (is_whole ());
  set_modification_time (1000);
  CU_ASSERT_TRUE (is_whole ());
  set_modification_time (2000 * 1000 * 1000);
  CU_ASSERT_FALSE (is_whole ());
  unlink (path);
}

static void
test_file_that_goes_missing_while_it_is_read_is_recent (void)
{
  struct FileSettle settle = { 0 };

  close (write_file ("[a]\nb = c\n"));
  set_modification_time (1000);
  file_settle_begin (&settle, path);
  unlink (path);
  CU_ASSERT_FALSE (file_settle_is_whole (&settle, path));
  CU_ASSERT_TRUE (file_settle_is_recent (&settle));
}

static void
test_file_without_descriptors_is_recent (void)
{
  struct FileSettle settle = { 0 };
  struct rlimit limit, none;

  close (write_file ("[a]\nb = c\n"));
  getrlimit (RLIMIT_NOFILE, &limit);
  none = limit;
  none.rlim_cur = 0;
  setrlimit (RLIMIT_NOFILE, &none);
  file_settle_begin (&settle, path);
  setrlimit (RLIMIT_NOFILE, &limit);
  CU_ASSERT_TRUE (file_settle_is_recent (&settle));
  unlink (path);
}

static void
test_path_that_can_be_no_file_is_not_recent (void)
{
  struct FileSettle settle = { 0 };

  file_settle_begin (&settle, "/dev/null/settings.ini");
  CU_ASSERT_FALSE (file_settle_is_recent (&settle));
}

const char test_suite_name[] = "file settle";
const struct TestCase test_cases[] = {
  { "closed file with a last line is whole", test_closed_file_with_a_last_line_is_whole },
  { "cut file is not whole", test_cut_file_is_not_whole },
  { "file that is open for writing is not whole", test_file_that_is_open_for_writing_is_not_whole },
  { "file that changes while it is read is not whole",
    test_file_that_changes_while_it_is_read_is_not_whole },
  { "file is recent for a while whatever its time",
    test_file_is_recent_for_a_while_whatever_its_time },
  { "old file needs no newline at its end", test_old_file_needs_no_newline_at_its_end },
  { "missing file is recent for a while", test_missing_file_is_recent_for_a_while },
  { "file that goes missing while it is read is recent",
    test_file_that_goes_missing_while_it_is_read_is_recent },
  { "file without descriptors is recent", test_file_without_descriptors_is_recent },
  { "path that can be no file is not recent", test_path_that_can_be_no_file_is_not_recent },
  { NULL, NULL },
};
