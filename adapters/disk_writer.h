/* The thread that writes an archive's records and waits for the disk.
 *
 * All records that wait when it is free become one batch with one sync. What is settled goes back
 * to the event loop as mail. */
#pragma once

#include "disk_frame.h"

#include <buckthornhead/mailbox.h>

enum
{
  DISK_PATH_BYTES = 320
};

struct DiskWriter;

/* A record on its way to the disk. */
struct DiskWrite
{
  struct DiskWrite *next;
  uint8_t *frame; /* talloc, without a parent */
  size_t frame_bytes;
  int64_t expires_unix_ms;
  DiskLogDone done;
  void *data;
  int32_t error;
  struct DiskPlace place;
  char *kept_name; /* a file of its own; NULL: a record of the log */
};

/* To the loop: these are settled. */
struct DiskMail
{
  struct Mail mail;
  int64_t took_ms;
  struct DiskWrite *first;
};

/* Writes to files after last_file in folder, from a thread that ends with the writer; what was
 * submitted before is written first. Posts struct DiskMail of kind MAIL_DISK_DURABLE. NULL without
 * memory. */
struct DiskWriter *
disk_writer_new (TALLOC_CTX *ctx, const char *folder, uint32_t last_file, struct Mailbox *mailbox);

/* A record for the writer, with its frame; the caller sets what else it needs. NULL without
 * memory. */
struct DiskWrite *
disk_write_new (const uint8_t *record, size_t n_bytes, DiskLogDone done, void *data);

/* Hands write over. */
void
disk_writer_submit (struct DiskWriter *writer, struct DiskWrite *write);

/* Path of a file of records. */
void
disk_file_path (const char *folder, uint32_t number, char path[DISK_PATH_BYTES]);
