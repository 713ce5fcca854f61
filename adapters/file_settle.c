#include <buckthornhead/file_settle.h>

#include <buckthornhead/clock.h>

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

enum
{
  RECENT_MS = 2000
};

static int64_t
modified_unix_ms (const struct stat *status)
{
  return (int64_t)status->st_mtim.tv_sec * 1000 + status->st_mtim.tv_nsec / 1000000;
}

static bool
is_same (const struct stat *a, const struct stat *b)
{
  return a->st_dev == b->st_dev && a->st_ino == b->st_ino && a->st_size == b->st_size
         && a->st_mtim.tv_sec == b->st_mtim.tv_sec && a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

/* Notes the file's state. Returns false if it has changed. */
static bool
note_state (struct FileSettle *settle, const struct stat *status)
{
  if (settle->seen_ms != 0 && is_same (&settle->seen, status))
    return true;
  settle->seen = *status;
  settle->seen_ms = clock_monotonic_ms ();
  return false;
}

/* Returns whether a file that cannot be opened may be opened a moment later: its writer replaces
 * it, or the system lacks descriptors or memory. */
static bool
open_error_may_pass (int error)
{
  return error == ENOENT || error == ESTALE || error == EMFILE || error == ENFILE
         || error == ENOMEM;
}

/* Opens the file for reading; returns -1 and notes the failure if it cannot be opened. */
static int
file_open (struct FileSettle *settle, const char *file)
{
  static const struct stat missing;
  int fd = open (file, O_RDONLY | O_CLOEXEC);

  if (fd >= 0)
    return fd;
  if (open_error_may_pass (errno))
    note_state (settle, &missing);
  else
    memset (settle, 0, sizeof *settle);
  return -1;
}

void
file_settle_begin (struct FileSettle *settle, const char *file)
{
  struct stat status;
  int fd = file_open (settle, file);

  if (fd < 0)
    return;
  if (fstat (fd, &status) == 0)
    note_state (settle, &status);
  close (fd);
}

static bool
ends_with_newline (int fd, off_t size)
{
  char last;

  return size > 0 && pread (fd, &last, 1, size - 1) == 1 && last == '\n';
}

/* Returns true unless the wall clock says that the file has been as it is for a while. */
static bool
was_modified_recently (const struct stat *status)
{
  return clock_unix_ms () - modified_unix_ms (status) < RECENT_MS;
}

/* A read lease is refused while a file is open for writing. Without the right to a lease, or on a
 * file system without leases, no writer is found. */
static bool
has_writer (int fd)
{
  if (fcntl (fd, F_SETLEASE, F_RDLCK) != 0)
    return errno == EAGAIN;
  fcntl (fd, F_SETLEASE, F_UNLCK);
  return false;
}

bool
file_settle_is_whole (struct FileSettle *settle, const char *file)
{
  struct stat status;
  bool whole = false;
  int fd = file_open (settle, file);

  if (fd < 0)
    return false;
  /* The lease comes first: a writer that has closed the file by then has changed its state. */
  if (!has_writer (fd) && fstat (fd, &status) == 0 && note_state (settle, &status))
    whole = ends_with_newline (fd, status.st_size) || !was_modified_recently (&status);
  close (fd);
  return whole;
}

bool
file_settle_is_recent (const struct FileSettle *settle)
{
  return settle->seen_ms != 0 && clock_monotonic_ms () - settle->seen_ms < RECENT_MS;
}
