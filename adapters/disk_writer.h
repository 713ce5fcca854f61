/* Writer thread: writes an archive's records and waits for the disk.
 *
 * All records that are queued when the thread is idle form one batch with one sync. The first batch
 * of a file also syncs the folder. The results are posted to the event loop's mailbox. */
#pragma once

#include "disk_frame.h"

#include <buckthornhead/mailbox.h>

enum
{
  DISK_PATH_BYTES = 320
};

struct DiskWriter;

/* A record that is queued for writing, and its result. The first one of the finished writes is the
 * message to the loop, so that reporting them needs no memory. */
struct DiskWrite
{
  struct Mail mail;
  int64_t duration_ms; /* of the finished writes; set in the first */
  struct DiskWrite *next;
  uint8_t *frame; /* talloc, without a parent */
  size_t frame_bytes;
  int64_t expires_unix_ms;
  DiskLogDone done;
  void *data;
  int32_t error;
  struct DiskPlace place;
  char *kept_name; /* name of the record's own file; NULL: a record of the log */
};

/* Starts a thread that writes to files numbered from last_file + 1 in folder. Freeing the writer
 * writes what was submitted and joins the thread. Results are posted to mailbox as the first
 * struct DiskWrite of a list, of kind MAIL_DISK_DONE. NULL when out of memory or threads. */
struct DiskWriter *
disk_writer_new (TALLOC_CTX *ctx, const char *folder, uint32_t last_file, struct Mailbox *mailbox);

/* Allocates a write with record's frame; the caller sets the other fields. NULL when out of memory.
 */
struct DiskWrite *
disk_write_new (const uint8_t *record, size_t n_bytes, DiskLogDone done, void *data);

/* Queues write; the writer takes ownership of it. */
void
disk_writer_submit (struct DiskWriter *writer, struct DiskWrite *write);

/* Writes the path of log file number to path. */
void
disk_file_path (const char *folder, uint32_t number, char path[DISK_PATH_BYTES]);
