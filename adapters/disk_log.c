#include "disk_frame.h"
#include "disk_writer.h"

#include <buckthornhead/disk_log.h>

#include <buckthornhead/counter.h>
#include <buckthornhead/disk_folder.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/log.h>
#include <buckthornhead/mailbox.h>

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  /* Syncs slower than this are logged. A sync on the slowest disks of the deployments takes 5 ms;
   * one this slow delays callers, and after the gateway's timeout the turn counts as not stored. */
  SLOW_SYNC_MS = 300,
  /* Files that are kept open for reading. A history is mostly in few files. */
  READERS_MAX = 16
};

/* What an opening has found wrong with a log file. */
enum DiskDamage
{
  DISK_DAMAGE_NONE,
  DISK_DAMAGE_UNREAD, /* nothing of it was read */
  DISK_DAMAGE_TORN    /* it ends with bytes that can have been acknowledged records */
};

/* A log file, as seen by the event loop. */
struct DiskFile
{
  uint32_t number;
  enum DiskDamage damage;
  int64_t expires_unix_ms;
  uint32_t durable_bytes;
  int fd;             /* open for reading; -1 while not open */
  uint64_t last_read; /* greater than those of the files read before */
};

struct DiskLog
{
  char folder[256];
  bool complete;
  bool damaged;           /* a file has damage that no copy has made up for */
  size_t n_replayed;      /* records found by disk_log_open */
  struct DiskFile *files; /* ascending by number */
  size_t n_files;
  size_t n_readers; /* files open for reading */
  uint64_t n_reads;
  struct Mailbox *mailbox;
  struct DiskWriter *writer;
};

/* Content of the mark. A log that has it holds no torn ends except in its last file; with any other
 * content, files before it can end with records that were never acknowledged. */
static const char mark_text[] = "2\n";

static struct DiskFile *
file_find (const struct DiskLog *log, uint32_t number)
{
  for (size_t i = 0; i < log->n_files; i++)
    if (log->files[i].number == number)
      return &log->files[i];
  return NULL;
}

/* Returns the file's entry, inserted in order if it is missing; NULL when out of memory. */
static struct DiskFile *
file_get_or_add (struct DiskLog *log, uint32_t number)
{
  struct DiskFile *file = file_find (log, number);
  struct DiskFile *grown;
  size_t at = log->n_files;

  if (file != NULL)
    return file;
  grown = talloc_realloc (log, log->files, struct DiskFile, log->n_files + 1);
  if (grown == NULL)
    return NULL;
  log->files = grown;
  while (at > 0 && grown[at - 1].number > number)
    {
      grown[at] = grown[at - 1];
      at--;
    }
  memset (&grown[at], 0, sizeof grown[at]);
  grown[at].number = number;
  grown[at].fd = -1;
  log->n_files++;
  return &grown[at];
}

void
disk_log_each_frame (const uint8_t *bytes, size_t n_bytes, DiskLogFn fn, void *data)
{
  disk_frames_foreach (bytes, n_bytes, 0, fn, data);
}

int32_t
disk_frames_add (struct DiskFrames *frames, const uint8_t *record, size_t n_bytes)
{
  size_t frame_bytes = FRAME_HEADER_BYTES + n_bytes;

  if (frames->size - frames->n_bytes < frame_bytes)
    {
      size_t size = 2 * frames->size + frame_bytes;
      uint8_t *grown = talloc_realloc (frames->ctx, frames->bytes, uint8_t, size);

      if (grown == NULL)
        return ERROR_NO_MEMORY;
      frames->bytes = grown;
      frames->size = size;
    }
  disk_frame_write_header (frames->bytes + frames->n_bytes, record, n_bytes);
  memcpy (frames->bytes + frames->n_bytes + FRAME_HEADER_BYTES, record, n_bytes);
  frames->n_bytes += frame_bytes;
  return ERROR_NONE;
}

/* Opening. */

/* Counts the replayed records and passes them on. */
struct Replay
{
  struct DiskLog *log;
  DiskLogFn fn;
  void *data;
};

static void
replay_on_record (void *data, const struct DiskPlace *place, const uint8_t *record, size_t n_bytes)
{
  const struct Replay *replay = data;

  replay->log->n_replayed++;
  replay->fn (replay->data, place, record, n_bytes);
}

/* Returns whether the failure is one of the process, not of the file. */
static bool
errno_is_shortage (int number)
{
  return number == ENOMEM || number == EMFILE || number == ENFILE;
}

/* Cuts the file to its whole records and makes that durable. */
static bool
file_cut (const struct DiskLog *log, const struct DiskFile *file)
{
  char path[DISK_PATH_BYTES];
  int fd, error;
  bool cut;

  disk_file_path (log->folder, file->number, path);
  fd = open (path, O_WRONLY | O_CLOEXEC);
  if (fd < 0)
    return false;
  cut = disk_folder_cut (fd, file->durable_bytes) == ERROR_NONE
        && disk_folder_sync_file (fd) == ERROR_NONE;
  error = errno;
  close (fd);
  errno = error;
  return cut;
}

/* Handles a file that ends with something else than a whole record. A process that ended while it
 * wrote can have left that only in the last file. Returns false with errno set when it cannot be
 * cut. */
static bool
file_settle_torn (struct DiskLog *log, struct DiskFile *file, size_t n_bytes, bool may_be_torn)
{
  if (may_be_torn)
    {
      log_event (LOG_LEVEL_WARNING, "disk_file_torn", NULL, NULL,
                 "log-%u of %s: %u bytes of %zu are whole", file->number, log->folder,
                 file->durable_bytes, n_bytes);
      return file_cut (log, file);
    }
  log_event (LOG_LEVEL_ERROR, "disk_file_damaged", NULL, "check the disk",
             "log-%u of %s: %u bytes of %zu are whole; the disk counts as incomplete", file->number,
             log->folder, file->durable_bytes, n_bytes);
  file->damage = DISK_DAMAGE_TORN;
  log->damaged = true;
  return true;
}

/* Returns false with errno set when the opening must fail. */
static bool
file_replay (struct DiskLog *log, uint32_t number, bool may_be_torn, DiskLogFn fn, void *data)
{
  struct Replay replay = { log, fn, data };
  struct DiskFile *file = file_get_or_add (log, number);
  char path[DISK_PATH_BYTES];
  size_t n_bytes, whole_bytes;
  uint8_t *bytes;

  errno = ENOMEM;
  if (file == NULL)
    return false;
  disk_file_path (log->folder, number, path);
  bytes = disk_file_read (log, path, &n_bytes);
  if (bytes == NULL && errno_is_shortage (errno))
    return false;
  if (bytes == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "disk_file_unreadable", NULL, "check the disk",
                 "%s: %s; the disk counts as incomplete", path, strerror (errno));
      file->damage = DISK_DAMAGE_UNREAD;
      log->damaged = true;
      return true;
    }
  whole_bytes = disk_frames_foreach (bytes, n_bytes, number, replay_on_record, &replay);
  file->durable_bytes = (uint32_t)whole_bytes;
  talloc_free (bytes);
  return whole_bytes == n_bytes || file_settle_torn (log, file, n_bytes, may_be_torn);
}

static int
number_compare (const void *a, const void *b)
{
  const uint32_t *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* Returns the numbers of the log files in the folder, ascending; NULL when it cannot be listed. */
static uint32_t *
folder_list_numbers (struct DiskLog *log, size_t *n)
{
  DIR *dir = opendir (log->folder);
  uint32_t *numbers = talloc_array (log, uint32_t, 0);
  struct dirent *entry;
  int error;

  *n = 0;
  if (dir == NULL)
    return NULL;
  while (numbers != NULL && (errno = 0, entry = readdir (dir)) != NULL)
    {
      char *end;
      unsigned long number;

      if (strncmp (entry->d_name, "log-", 4) != 0)
        continue;
      number = strtoul (entry->d_name + 4, &end, 10);
      if (*end != '\0' || number == 0 || number >= UINT32_MAX)
        continue;
      numbers = talloc_realloc (log, numbers, uint32_t, *n + 1);
      if (numbers != NULL)
        numbers[(*n)++] = (uint32_t)number;
    }
  error = numbers != NULL ? errno : ENOMEM;
  closedir (dir);
  if (error != 0)
    TALLOC_FREE (numbers);
  errno = error;
  if (numbers != NULL)
    qsort (numbers, *n, sizeof *numbers, number_compare);
  return numbers;
}

/* Returns how many numbers are missing between the first file and the last. Files are deleted by
 * age, so a missing number can be a file that a power failure has removed. */
static uint32_t
count_missing (const uint32_t *numbers, size_t n)
{
  return n > 0 ? numbers[n - 1] - numbers[0] + 1 - (uint32_t)n : 0;
}

static void
mark_path (const struct DiskLog *log, char path[DISK_PATH_BYTES])
{
  snprintf (path, DISK_PATH_BYTES, "%s/complete", log->folder);
}

bool
disk_log_is_complete (const struct DiskLog *log)
{
  return log->complete;
}

bool
disk_log_is_empty (const struct DiskLog *log)
{
  return log->n_files == 0;
}

/* Takes a file's damage out of the log, once the lost records are in other files or have expired. A
 * file that was not read is renamed, not deleted: it may become readable again. */
static bool
file_end_damage (const struct DiskLog *log, const struct DiskFile *file)
{
  char path[DISK_PATH_BYTES], unread_path[DISK_PATH_BYTES];

  switch (file->damage)
    {
    case DISK_DAMAGE_NONE:
      return true;
    case DISK_DAMAGE_TORN:
      return file_cut (log, file);
    case DISK_DAMAGE_UNREAD:
      break;
    }
  disk_file_path (log->folder, file->number, path);
  snprintf (unread_path, sizeof unread_path, "%s/unread-%u", log->folder, file->number);
  return disk_folder_rename (path, unread_path) == ERROR_NONE || errno == ENOENT;
}

static bool
log_end_damage (struct DiskLog *log)
{
  for (size_t i = 0; i < log->n_files; i++)
    {
      if (!file_end_damage (log, &log->files[i]))
        return false;
      log->files[i].damage = DISK_DAMAGE_NONE;
    }
  return true;
}

int32_t
disk_log_mark_complete (struct DiskLog *log)
{
  char path[DISK_PATH_BYTES];
  int fd;
  bool durable;

  if (!log_end_damage (log))
    return ERROR_IO;
  mark_path (log, path);
  fd = disk_folder_create (path, O_WRONLY);
  if (fd < 0)
    return ERROR_IO;
  durable = disk_file_write (fd, (const uint8_t *)mark_text, sizeof mark_text - 1)
            && disk_folder_sync_file (fd) == ERROR_NONE;
  close (fd);
  log->complete = durable && disk_folder_sync (log->folder) == ERROR_NONE;
  if (!log->complete)
    return ERROR_IO;
  log->damaged = false;
  return ERROR_NONE;
}

/* Reads whether the folder has a mark, and whether only its last file may be torn. Returns false
 * with errno set when the mark cannot be read. */
static bool
log_read_mark (struct DiskLog *log, bool *marked, bool *cut_before)
{
  char path[DISK_PATH_BYTES];
  size_t n_bytes;
  uint8_t *mark;

  mark_path (log, path);
  mark = disk_file_read (log, path, &n_bytes);
  *marked = mark != NULL;
  *cut_before = mark != NULL && n_bytes == sizeof mark_text - 1
                && memcmp (mark, mark_text, sizeof mark_text - 1) == 0;
  talloc_free (mark);
  return *marked || errno == ENOENT;
}

/* A process that was killed leaves names and records that a power failure can still undo. Makes
 * them durable before they are replayed. Only the last file can end with unsynced records. */
static bool
log_sync_found (const struct DiskLog *log, const uint32_t *numbers, size_t n)
{
  char path[DISK_PATH_BYTES];
  bool synced = true;
  int fd;

  if (n > 0)
    {
      disk_file_path (log->folder, numbers[n - 1], path);
      fd = open (path, O_RDONLY | O_CLOEXEC);
      synced = fd >= 0 && disk_folder_sync_file (fd) == ERROR_NONE;
      if (fd >= 0)
        close (fd);
    }
  return synced && disk_folder_sync (log->folder) == ERROR_NONE;
}

/* Event loop side. */

static void
log_on_mail (void *data, struct Mail *received)
{
  struct DiskLog *log = data;
  struct DiskWrite *first = caa_container_of (received, struct DiskWrite, mail), *next;

  histogram_add (HISTOGRAM_DISK_SYNC, first->duration_ms);
  counter_add (COUNTER_ARCHIVE_SYNCS, 1);
  if (first->duration_ms > SLOW_SYNC_MS)
    log_event (LOG_LEVEL_WARNING, "disk_slow", NULL, "look at the archive's disk",
               "writing and syncing took %lld ms", (long long)first->duration_ms);
  for (struct DiskWrite *w = first; w != NULL; w = next)
    {
      bool in_log = w->error == ERROR_NONE && w->kept_name == NULL;
      struct DiskFile *file = in_log ? file_get_or_add (log, w->place.file) : NULL;

      next = w->next;
      if (file != NULL)
        {
          file->durable_bytes = w->place.offset + (uint32_t)w->frame_bytes;
          if (file->expires_unix_ms < w->expires_unix_ms)
            file->expires_unix_ms = w->expires_unix_ms;
        }
      w->done (w->data, w->error, &w->place);
      talloc_free (w);
    }
}

static int
log_free (struct DiskLog *log)
{
  /* The writer thread posts to the mailbox until it is joined, so free it first. */
  TALLOC_FREE (log->writer);
  for (size_t i = 0; i < log->n_files; i++)
    if (log->files[i].fd >= 0)
      close (log->files[i].fd);
  return 0;
}

static int32_t
log_start_writer (struct DiskLog *log,
                  struct tevent_context *events,
                  uint32_t last_file,
                  struct Fault *fault)
{
  log->mailbox = mailbox_new (log, events, log_on_mail, log);
  if (log->mailbox != NULL)
    log->writer = disk_writer_new (log, log->folder, last_file, log->mailbox);
  if (log->writer == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the disk writer thread");
  return ERROR_NONE;
}

int32_t
disk_log_open (TALLOC_CTX *ctx,
               struct tevent_context *events,
               const char *folder,
               DiskLogFn fn,
               void *data,
               struct DiskLog **log,
               struct Fault *fault)
{
  struct DiskLog *l = talloc_zero (ctx, struct DiskLog);
  uint32_t *numbers, last_file = 0;
  bool marked, cut_before;
  size_t n;

  *log = NULL;
  if (l == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the disk log");
  talloc_set_destructor (l, log_free);
  snprintf (l->folder, sizeof l->folder, "%s", folder);
  if (disk_folder_make (folder) != ERROR_NONE)
    goto fail;
  numbers = folder_list_numbers (l, &n);
  if (numbers == NULL || !log_sync_found (l, numbers, n)
      || !log_read_mark (l, &marked, &cut_before))
    goto fail;
  /* fn may read from the log, which has the files up to the one being replayed. */
  *log = l;
  for (size_t i = 0; i < n; i++)
    {
      if (!file_replay (l, numbers[i], !cut_before || i + 1 == n, fn, data))
        goto fail;
      last_file = numbers[i];
    }
  l->complete = marked && !l->damaged;
  if (l->complete && !cut_before && disk_log_mark_complete (l) != ERROR_NONE)
    goto fail;
  log_event (LOG_LEVEL_NOTICE, "disk_opened", NULL, NULL,
             "%s: %s, %zu records in %zu files, %u numbers missing between them", folder,
             l->complete ? "marked as complete"
             : marked    ? "marked as complete, but damaged"
                         : "no mark of completeness",
             l->n_replayed, n, count_missing (numbers, n));
  if (log_start_writer (l, events, last_file, fault) != ERROR_NONE)
    {
      *log = NULL;
      talloc_free (l);
      return ERROR_NO_MEMORY;
    }
  return ERROR_NONE;

fail:
  fault_set (fault, error_from_errno (errno), "check [instance] data_folder and its permissions",
             "%s: %s", folder, strerror (errno));
  *log = NULL;
  talloc_free (l);
  return fault->error;
}

int32_t
disk_log_append (struct DiskLog *log,
                 const uint8_t *record,
                 size_t n_bytes,
                 int64_t expires_unix_ms,
                 DiskLogDone done,
                 void *data)
{
  struct DiskWrite *write = disk_write_new (record, n_bytes, done, data);

  if (write == NULL)
    return ERROR_NO_MEMORY;
  write->expires_unix_ms = expires_unix_ms;
  disk_writer_submit (log->writer, write);
  return ERROR_NONE;
}

static void
file_close_reader (struct DiskLog *log, struct DiskFile *file)
{
  if (file->fd < 0)
    return;
  close (file->fd);
  file->fd = -1;
  log->n_readers--;
}

/* Closes the file that was not read for the longest time. */
static void
log_close_oldest_reader (struct DiskLog *log)
{
  struct DiskFile *oldest = NULL;

  for (size_t i = 0; i < log->n_files; i++)
    {
      struct DiskFile *file = &log->files[i];

      if (file->fd >= 0 && (oldest == NULL || file->last_read < oldest->last_read))
        oldest = file;
    }
  if (oldest != NULL)
    file_close_reader (log, oldest);
}

static int
file_open_reader (struct DiskLog *log, struct DiskFile *file)
{
  char path[DISK_PATH_BYTES];

  file->last_read = ++log->n_reads;
  if (file->fd >= 0)
    return file->fd;
  if (log->n_readers == READERS_MAX)
    log_close_oldest_reader (log);
  disk_file_path (log->folder, file->number, path);
  file->fd = open (path, O_RDONLY | O_CLOEXEC);
  if (file->fd < 0 && errno == EMFILE && log->n_readers > 0)
    {
      log_close_oldest_reader (log);
      file->fd = open (path, O_RDONLY | O_CLOEXEC);
    }
  if (file->fd >= 0)
    log->n_readers++;
  return file->fd;
}

/* Reads n_bytes of the file from offset on; NULL when the file ends before them. */
static uint8_t *
file_pread (
    struct DiskLog *log, TALLOC_CTX *ctx, struct DiskFile *file, size_t offset, size_t n_bytes)
{
  int fd = file_open_reader (log, file);
  uint8_t *bytes = fd >= 0 ? talloc_array (ctx, uint8_t, n_bytes + 1) : NULL;
  size_t at = 0;

  while (bytes != NULL && at < n_bytes)
    {
      ssize_t n = pread (fd, bytes + at, n_bytes - at, (off_t)(offset + at));

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        TALLOC_FREE (bytes);
      else
        at += (size_t)n;
    }
  return bytes;
}

uint8_t *
disk_log_read (struct DiskLog *log, TALLOC_CTX *ctx, const struct DiskPlace *place, size_t *n_bytes)
{
  struct DiskFile *file = file_find (log, place->file);
  size_t frame_bytes = FRAME_HEADER_BYTES + place->n_bytes;
  uint8_t *bytes = file != NULL ? file_pread (log, ctx, file, place->offset, frame_bytes) : NULL;

  if (bytes == NULL || disk_frame_check (bytes, frame_bytes) != (int64_t)place->n_bytes)
    {
      log_event (LOG_LEVEL_ERROR, "disk_record_unreadable", NULL, "check the disk",
                 "log-%u at offset %u", place->file, place->offset);
      TALLOC_FREE (bytes);
      return NULL;
    }
  memmove (bytes, bytes + FRAME_HEADER_BYTES, place->n_bytes);
  *n_bytes = place->n_bytes;
  return bytes;
}

void
disk_log_extend (struct DiskLog *log, uint32_t file_number, int64_t expires_unix_ms)
{
  struct DiskFile *file = file_find (log, file_number);

  if (file != NULL && file->expires_unix_ms < expires_unix_ms)
    file->expires_unix_ms = expires_unix_ms;
}

void
disk_log_drop_expired (struct DiskLog *log, int64_t unix_ms)
{
  size_t n_kept = 0;

  /* A record that was not read can extend the expiry of others. */
  if (log->damaged)
    return;
  for (size_t i = 0; i < log->n_files; i++)
    {
      struct DiskFile *file = &log->files[i];
      char path[DISK_PATH_BYTES];

      /* The last file is still being written. */
      if (i + 1 == log->n_files || file->expires_unix_ms > unix_ms)
        {
          log->files[n_kept++] = *file;
          continue;
        }
      file_close_reader (log, file);
      disk_file_path (log->folder, file->number, path);
      disk_folder_remove (path); /* if it stays, the next start finds it again */
    }
  log->n_files = n_kept;
}

/* Returns the file that has records from cursor on: cursor's own, or else the next one; NULL when
 * there are none. Sets *offset to where they begin. */
static struct DiskFile *
file_at_cursor (struct DiskLog *log, uint64_t cursor, uint32_t *offset)
{
  uint32_t number = (uint32_t)(cursor >> 32);

  for (size_t i = 0; i < log->n_files; i++)
    {
      struct DiskFile *file = &log->files[i];

      *offset = file->number == number ? (uint32_t)cursor : 0;
      if (file->number >= number && file->durable_bytes > *offset)
        return file;
    }
  return NULL;
}

/* Reads whole frames of file from offset on, at most max_bytes unless the first record alone is
 * longer. A frame cut off at the end is left for the next call. */
static uint8_t *
file_read_frames (struct DiskLog *log,
                  TALLOC_CTX *ctx,
                  struct DiskFile *file,
                  uint32_t offset,
                  size_t max_bytes,
                  size_t *n_bytes)
{
  size_t rest_bytes = file->durable_bytes - offset;
  size_t length = rest_bytes < max_bytes ? rest_bytes : max_bytes;
  uint8_t *bytes = file_pread (log, ctx, file, offset, length);

  if (bytes != NULL && length < rest_bytes && disk_frame_check (bytes, length) < 0)
    {
      talloc_free (bytes);
      length = max_bytes + RECORD_MAX_BYTES;
      if (length > rest_bytes)
        length = rest_bytes;
      bytes = file_pread (log, ctx, file, offset, length);
    }
  *n_bytes = bytes != NULL ? disk_frames_foreach (bytes, length, file->number, NULL, NULL) : 0;
  return bytes;
}

uint8_t *
disk_log_frames (struct DiskLog *log,
                 TALLOC_CTX *ctx,
                 uint64_t cursor,
                 size_t max_bytes,
                 size_t *n_bytes,
                 uint64_t *next,
                 bool *last)
{
  uint32_t offset;
  struct DiskFile *file = file_at_cursor (log, cursor, &offset);
  uint8_t *bytes;

  *n_bytes = 0;
  *next = cursor;
  *last = file == NULL;
  if (file == NULL)
    return talloc_array (ctx, uint8_t, 1);
  bytes = file_read_frames (log, ctx, file, offset, max_bytes, n_bytes);
  *next = (uint64_t)file->number << 32 | (offset + (uint32_t)*n_bytes);
  return bytes;
}

uint8_t *
disk_log_file_frames (struct DiskLog *log,
                      TALLOC_CTX *ctx,
                      uint64_t cursor,
                      size_t max_bytes,
                      size_t *n_bytes,
                      uint64_t *next,
                      bool *last)
{
  uint32_t number = (uint32_t)(cursor >> 32), offset;
  const struct DiskFile *file = file_at_cursor (log, cursor, &offset);
  uint8_t *bytes;

  if (file != NULL && file->number != number && (uint32_t)cursor != 0)
    {
      *n_bytes = 0;
      *next = (uint64_t)(number + 1) << 32;
      *last = false;
      return talloc_array (ctx, uint8_t, 1);
    }
  bytes = disk_log_frames (log, ctx, cursor, max_bytes, n_bytes, next, last);
  if (file != NULL && file != &log->files[log->n_files - 1]
      && (uint32_t)*next == file->durable_bytes)
    *next = (uint64_t)(file->number + 1) << 32;
  return bytes;
}

int32_t
disk_log_store_named (struct DiskLog *log,
                      const char *name,
                      const uint8_t *record,
                      size_t n_bytes,
                      DiskLogDone done,
                      void *data)
{
  struct DiskWrite *write = disk_write_new (record, n_bytes, done, data);

  if (write == NULL)
    return ERROR_NO_MEMORY;
  write->kept_name = talloc_strdup (write, name);
  if (write->kept_name == NULL)
    {
      talloc_free (write);
      return ERROR_NO_MEMORY;
    }
  disk_writer_submit (log->writer, write);
  return ERROR_NONE;
}

uint8_t *
disk_log_load_named (struct DiskLog *log, TALLOC_CTX *ctx, const char *name, size_t *n_bytes)
{
  char path[DISK_PATH_BYTES];
  uint8_t *bytes;
  size_t n;

  snprintf (path, sizeof path, "%s/kept-%s", log->folder, name);
  bytes = disk_file_read (ctx, path, &n);
  if (bytes == NULL)
    return NULL;
  if (disk_frame_check (bytes, n) < 0)
    {
      talloc_free (bytes);
      return NULL;
    }
  *n_bytes = (size_t)disk_frame_check (bytes, n);
  memmove (bytes, bytes + FRAME_HEADER_BYTES, *n_bytes);
  return bytes;
}
