#include "disk_writer.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/error.h>

#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  /* A file goes when its last record has expired: small files give space back soon. */
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
  /* The thread's own. */
  uint32_t file, offset;
  int fd;
};

void
disk_file_path (const char *folder, uint32_t number, char path[DISK_PATH_BYTES])
{
  snprintf (path, DISK_PATH_BYTES, "%s/log-%u", folder, number);
}

/* The thread. */

static bool
writer_open_next (struct DiskWriter *writer)
{
  char path[DISK_PATH_BYTES];

  if (writer->fd >= 0)
    close (writer->fd);
  writer->file++;
  writer->offset = 0;
  disk_file_path (writer->folder, writer->file, path);
  writer->fd = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  return writer->fd >= 0;
}

/* A renamed name may be the old one after a loss of power until its folder is synced. */
static bool
folder_sync (const struct DiskWriter *writer)
{
  int fd = open (writer->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool synced = fd >= 0 && fsync (fd) == 0;

  if (fd >= 0)
    close (fd);
  return synced;
}

static int32_t
writer_keep (const struct DiskWriter *writer, const struct DiskWrite *w)
{
  char path[DISK_PATH_BYTES], fresh[DISK_PATH_BYTES];
  bool written;
  int fd;

  snprintf (path, sizeof path, "%s/kept-%s", writer->folder, w->kept_name);
  snprintf (fresh, sizeof fresh, "%s/fresh-%s", writer->folder, w->kept_name);
  fd = open (fresh, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0)
    return ERROR_IO;
  written = disk_file_put (fd, w->frame, w->frame_bytes) && fdatasync (fd) == 0;
  close (fd);
  return written && rename (fresh, path) == 0 && folder_sync (writer) ? ERROR_NONE : ERROR_IO;
}

/* Takes the files of their own out of batch, and the rest of it stays: records of the log, for
 * which callers wait, go first. */
static struct DiskWrite *
batch_take_kept (struct DiskWrite **batch)
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

/* Writes all of batch and syncs once. After a failure nobody knows what the file holds, so that
 * the next batch starts another one. */
static void
writer_batch (struct DiskWriter *writer, struct DiskWrite *batch)
{
  bool sound = true;

  if (writer->fd < 0 || writer->offset > FILE_MAX_BYTES)
    sound = writer_open_next (writer);
  for (struct DiskWrite *w = batch; w != NULL && sound; w = w->next)
    {
      w->place.file = writer->file;
      w->place.offset = writer->offset;
      w->place.n_bytes = (uint32_t)(w->frame_bytes - FRAME_HEAD_BYTES);
      sound = disk_file_put (writer->fd, w->frame, w->frame_bytes);
      writer->offset += (uint32_t)w->frame_bytes;
    }
  sound = sound && fdatasync (writer->fd) == 0;
  if (!sound && writer->fd >= 0)
    {
      close (writer->fd);
      writer->fd = -1;
    }
  for (struct DiskWrite *w = batch; w != NULL; w = w->next)
    w->error = sound ? ERROR_NONE : ERROR_IO;
}

static void
writer_tell (struct DiskWriter *writer, struct DiskWrite *settled, int64_t started_ms)
{
  struct DiskMail *mail = talloc_zero (NULL, struct DiskMail);

  if (mail == NULL)
    abort (); /* without it nobody would ever hear of the records */
  mail->mail.kind = MAIL_DISK_DURABLE;
  mail->first = settled;
  mail->took_ms = clock_monotonic_ms () - started_ms;
  mailbox_post (writer->mailbox, &mail->mail);
}

static void
writer_settle (struct DiskWriter *writer, struct DiskWrite *batch)
{
  struct DiskWrite *kept = batch_take_kept (&batch);
  int64_t started_ms = clock_monotonic_ms ();

  if (batch != NULL)
    {
      writer_batch (writer, batch);
      writer_tell (writer, batch, started_ms);
    }
  if (kept == NULL)
    return;
  started_ms = clock_monotonic_ms ();
  for (struct DiskWrite *w = kept; w != NULL; w = w->next)
    w->error = writer_keep (writer, w);
  writer_tell (writer, kept, started_ms);
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
      writer_settle (writer, batch);
    }
}

/* The loop's side. */

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
  write->frame_bytes = FRAME_HEAD_BYTES + n_bytes;
  write->frame = talloc_array (write, uint8_t, write->frame_bytes);
  if (write->frame == NULL)
    {
      talloc_free (write);
      return NULL;
    }
  disk_frame_head (write->frame, record, n_bytes);
  memcpy (write->frame + FRAME_HEAD_BYTES, record, n_bytes);
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
