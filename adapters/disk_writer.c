#include "disk_writer.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/disk_folder.h>
#include <buckthornhead/error.h>
#include <buckthornhead/log.h>

#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  /* A file that has grown past this size is followed by a new one. A file is deleted only when its
   * last record has expired, so small files free space sooner. */
  FILE_MAX_BYTES = 8 * 1024 * 1024
};

struct DiskWriter
{
  char folder[256];
  struct Mailbox *mailbox;
  pthread_t thread;
  /* Shared with the thread, under lock. */
  pthread_mutex_t lock;
  pthread_cond_t wake;
  struct DiskWrite *first, **last;
  bool stop;
  /* Used by the thread alone. */
  uint32_t file, offset;
  int fd;
  uint32_t durable_bytes; /* of the file */
  bool named;             /* the file's name is durable */
  bool cut_due;           /* the file must be cut before another one follows */
};

void
disk_file_path (const char *folder, uint32_t number, char path[DISK_PATH_BYTES])
{
  snprintf (path, DISK_PATH_BYTES, "%s/log-%u", folder, number);
}

/* Writer thread. */

static bool
writer_open_next (struct DiskWriter *writer)
{
  char path[DISK_PATH_BYTES];

  if (writer->fd >= 0)
    close (writer->fd);
  writer->file++;
  writer->offset = 0;
  writer->durable_bytes = 0;
  writer->named = false;
  disk_file_path (writer->folder, writer->file, path);
  writer->fd = disk_folder_create (path, O_WRONLY | O_EXCL);
  return writer->fd >= 0;
}

/* Makes the written records durable, and the file's name once per file. */
static bool
writer_sync (struct DiskWriter *writer)
{
  if (disk_folder_sync_file (writer->fd) != ERROR_NONE)
    return false;
  writer->named = writer->named || disk_folder_sync (writer->folder) == ERROR_NONE;
  if (writer->named)
    writer->durable_bytes = writer->offset;
  return writer->named;
}

/* Gives up the file after a failure. An opening would take the records behind the last sync for
 * durable ones, and a torn end for damage, so they are cut off. Returns false when the disk refuses
 * that; the file stays the last one until it is cut. */
static bool
writer_abandon_file (struct DiskWriter *writer)
{
  if (writer->fd < 0)
    return true;
  if (disk_folder_cut (writer->fd, writer->durable_bytes) != ERROR_NONE
      || disk_folder_sync_file (writer->fd) != ERROR_NONE)
    {
      if (!writer->cut_due)
        log_event (LOG_LEVEL_ERROR, "archive_write_failed", NULL, "check the disk",
                   "log-%u cannot be cut to %u bytes; nothing is written until it can",
                   writer->file, writer->durable_bytes);
      writer->cut_due = true;
      return false;
    }
  close (writer->fd);
  writer->fd = -1;
  writer->cut_due = false;
  return true;
}

static int32_t
writer_write_kept (const struct DiskWriter *writer, const struct DiskWrite *w)
{
  char path[DISK_PATH_BYTES], temp_path[DISK_PATH_BYTES];
  bool written;
  int fd;

  snprintf (path, sizeof path, "%s/kept-%s", writer->folder, w->kept_name);
  snprintf (temp_path, sizeof temp_path, "%s/fresh-%s", writer->folder, w->kept_name);
  fd = disk_folder_create (temp_path, O_WRONLY | O_TRUNC);
  if (fd < 0)
    return ERROR_IO;
  written =
      disk_file_write (fd, w->frame, w->frame_bytes) && disk_folder_sync_file (fd) == ERROR_NONE;
  close (fd);
  if (!written || disk_folder_rename (temp_path, path) != ERROR_NONE)
    return ERROR_IO;
  return disk_folder_sync (writer->folder);
}

/* Removes the records with their own file from batch and returns them. The log's records stay and
 * are written first, because callers wait for them. */
static struct DiskWrite *
batch_split_kept (struct DiskWrite **batch)
{
  struct DiskWrite *kept = NULL, **last = &kept, **at = batch;

  while (*at != NULL)
    {
      struct DiskWrite *w = *at;

      if (w->kept_name == NULL)
        {
          at = &w->next;
          continue;
        }
      *at = w->next;
      w->next = NULL;
      *last = w;
      last = &w->next;
    }
  return kept;
}

/* Writes the whole batch and syncs once. After a failure the file's content is unknown, so the next
 * batch starts a new file. */
static void
writer_write_batch (struct DiskWriter *writer, struct DiskWrite *batch)
{
  bool ok = !writer->cut_due || writer_abandon_file (writer);

  if (ok && (writer->fd < 0 || writer->offset > FILE_MAX_BYTES))
    ok = writer_open_next (writer);
  for (struct DiskWrite *w = batch; w != NULL && ok; w = w->next)
    {
      w->place.file = writer->file;
      w->place.offset = writer->offset;
      w->place.n_bytes = (uint32_t)(w->frame_bytes - FRAME_HEADER_BYTES);
      ok = disk_file_write (writer->fd, w->frame, w->frame_bytes);
      writer->offset += (uint32_t)w->frame_bytes;
    }
  ok = ok && writer_sync (writer);
  if (!ok && !writer->cut_due)
    writer_abandon_file (writer);
  for (struct DiskWrite *w = batch; w != NULL; w = w->next)
    w->error = ok ? ERROR_NONE : ERROR_IO;
}

/* Passes the list finished to the loop. */
static void
writer_post_done (struct DiskWriter *writer, struct DiskWrite *finished, int64_t started_ms)
{
  finished->mail.kind = MAIL_DISK_DONE;
  finished->duration_ms = clock_monotonic_ms () - started_ms;
  mailbox_post (writer->mailbox, &finished->mail);
}

static void
writer_process_batch (struct DiskWriter *writer, struct DiskWrite *batch)
{
  struct DiskWrite *kept = batch_split_kept (&batch);
  int64_t started_ms = clock_monotonic_ms ();

  if (batch != NULL)
    {
      writer_write_batch (writer, batch);
      writer_post_done (writer, batch, started_ms);
    }
  if (kept == NULL)
    return;
  started_ms = clock_monotonic_ms ();
  for (struct DiskWrite *w = kept; w != NULL; w = w->next)
    w->error = writer_write_kept (writer, w);
  writer_post_done (writer, kept, started_ms);
}

static void *
writer_run (void *data)
{
  struct DiskWriter *writer = data;

  for (;;)
    {
      struct DiskWrite *batch;

      pthread_mutex_lock (&writer->lock);
      while (writer->first == NULL && !writer->stop)
        pthread_cond_wait (&writer->wake, &writer->lock);
      batch = writer->first;
      writer->first = NULL;
      writer->last = &writer->first;
      pthread_mutex_unlock (&writer->lock);
      if (batch == NULL)
        return NULL;
      writer_process_batch (writer, batch);
    }
}

/* Event loop side. */

static int
writer_free (struct DiskWriter *writer)
{
  pthread_mutex_lock (&writer->lock);
  writer->stop = true;
  pthread_cond_signal (&writer->wake);
  pthread_mutex_unlock (&writer->lock);
  pthread_join (writer->thread, NULL);
  if (writer->fd >= 0)
    close (writer->fd);
  return 0;
}

struct DiskWriter *
disk_writer_new (TALLOC_CTX *ctx, const char *folder, uint32_t last_file, struct Mailbox *mailbox)
{
  struct DiskWriter *writer = talloc_zero (ctx, struct DiskWriter);

  if (writer == NULL)
    return NULL;
  snprintf (writer->folder, sizeof writer->folder, "%s", folder);
  writer->mailbox = mailbox;
  writer->file = last_file;
  writer->fd = -1;
  writer->last = &writer->first;
  pthread_mutex_init (&writer->lock, NULL);
  pthread_cond_init (&writer->wake, NULL);
  if (pthread_create (&writer->thread, NULL, writer_run, writer) != 0)
    TALLOC_FREE (writer);
  else
    talloc_set_destructor (writer, writer_free);
  return writer;
}

struct DiskWrite *
disk_write_new (const uint8_t *record, size_t n_bytes, DiskLogDone done, void *data)
{
  struct DiskWrite *write = talloc_zero (NULL, struct DiskWrite);

  if (write == NULL)
    return NULL;
  write->frame_bytes = FRAME_HEADER_BYTES + n_bytes;
  write->frame = talloc_array (write, uint8_t, write->frame_bytes);
  if (write->frame == NULL)
    {
      talloc_free (write);
      return NULL;
    }
  disk_frame_write_header (write->frame, record, n_bytes);
  memcpy (write->frame + FRAME_HEADER_BYTES, record, n_bytes);
  write->done = done;
  write->data = data;
  return write;
}

void
disk_writer_submit (struct DiskWriter *writer, struct DiskWrite *write)
{
  pthread_mutex_lock (&writer->lock);
  *writer->last = write;
  writer->last = &write->next;
  pthread_cond_signal (&writer->wake);
  pthread_mutex_unlock (&writer->lock);
}
