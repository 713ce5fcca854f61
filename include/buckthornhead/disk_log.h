/* Append-only log on the local disk; the callback of an append reports whether its record is
 * durable.
 *
 * Files of some megabytes, <folder>/log-<number>, each a sequence of frames: length (4 bytes),
 * checksum (8 bytes), record. A separate thread writes and syncs, with one sync for all waiting
 * records, so that the event loop never blocks on the disk. Records are read back by place; their
 * content is not cached in memory. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>
#include <tevent.h>

struct DiskLog;

/* Location of a record. */
struct DiskPlace
{
  uint32_t file;
  uint32_t offset; /* of the record's frame in the file */
  uint32_t n_bytes;
};

typedef void (*DiskLogFn) (void *data,
                           const struct DiskPlace *place,
                           const uint8_t *record,
                           size_t n_bytes);

/* place is valid when error is ERROR_NONE; after ERROR_IO the record may or may not be stored. */
typedef void (*DiskLogDone) (void *data, int32_t error, const struct DiskPlace *place);

/* Opens folder, created if missing, makes what it holds durable, and calls fn for each whole record
 * in it, oldest first; *log is set before the first call. A torn end of the last file was never
 * reported durable and is cut off. A file that cannot be read, or one before the last that is torn,
 * makes the log incomplete. ERROR_IO or ERROR_NO_MEMORY, with fault set, also when the process
 * lacks descriptors or memory to read a file. */
int32_t
disk_log_open (TALLOC_CTX *ctx,
               struct tevent_context *events,
               const char *folder,
               DiskLogFn fn,
               void *data,
               struct DiskLog **log,
               struct Fault *fault);

/* Returns whether folder holds the mark that disk_log_mark_complete writes, and nothing in the log
 * was found to be damaged since. */
bool
disk_log_is_complete (const struct DiskLog *log);

/* Returns whether the folder held no log file when it was opened, and none was written since. */
bool
disk_log_is_empty (const struct DiskLog *log);

/* Writes the completeness mark and makes it and its name durable. Files that could not be read are
 * renamed to unread-<number>, and damaged ones cut. ERROR_IO. */
int32_t
disk_log_mark_complete (struct DiskLog *log);

/* Appends record; done is called later, from the loop. A file may be deleted once all its records
 * are past their expires_unix_ms. ERROR_NO_MEMORY. */
int32_t
disk_log_append (struct DiskLog *log,
                 const uint8_t *record,
                 size_t n_bytes,
                 int64_t expires_unix_ms,
                 DiskLogDone done,
                 void *data);

/* Returns the record at place, belonging to ctx; NULL when it cannot be read whole. */
uint8_t *
disk_log_read (struct DiskLog *log,
               TALLOC_CTX *ctx,
               const struct DiskPlace *place,
               size_t *n_bytes);

/* Keeps file at least until expires_unix_ms, beyond the expiry given for its records. */
void
disk_log_extend (struct DiskLog *log, uint32_t file, int64_t expires_unix_ms);

/* Deletes files in which all records have expired, except the one that is being written: its number
 * keeps the numbers ascending over restarts. Deletes nothing while a file is damaged. The names are
 * not synced: after a power failure expired records may be replayed again, which their expiry makes
 * harmless. */
void
disk_log_drop_expired (struct DiskLog *log, int64_t unix_ms);

/* Returns whole frames from cursor (0: the first) on, for copying to another archive: at most
 * max_bytes, more only when the first record alone is longer. *next is the cursor after them; *last
 * is set when there are no more at present. NULL when a file cannot be read. */
uint8_t *
disk_log_frames (struct DiskLog *log,
                 TALLOC_CTX *ctx,
                 uint64_t cursor,
                 size_t max_bytes,
                 size_t *n_bytes,
                 uint64_t *next,
                 bool *last);

/* As disk_log_frames, but stops at the end of cursor's file, or of the next one if cursor is at the
 * start of a file that has no records: *next is then the start of the file after it. */
uint8_t *
disk_log_file_frames (struct DiskLog *log,
                      TALLOC_CTX *ctx,
                      uint64_t cursor,
                      size_t max_bytes,
                      size_t *n_bytes,
                      uint64_t *next,
                      bool *last);

/* Calls fn for each whole frame in bytes; place is relative to bytes, with file 0. */
void
disk_log_each_frame (const uint8_t *bytes, size_t n_bytes, DiskLogFn fn, void *data);

/* A sequence of frames in memory; bytes belongs to ctx, NULL while it is empty. */
struct DiskFrames
{
  TALLOC_CTX *ctx;
  uint8_t *bytes;
  size_t n_bytes, size;
};

/* Appends a frame with record. ERROR_NO_MEMORY. */
int32_t
disk_frames_add (struct DiskFrames *frames, const uint8_t *record, size_t n_bytes);

/* Stores one record in its own file beside the log, replacing the previous one atomically. done is
 * called later, from the loop, with an unset place; the loop never blocks on the disk.
 * ERROR_NO_MEMORY. */
int32_t
disk_log_store_named (struct DiskLog *log,
                      const char *name,
                      const uint8_t *record,
                      size_t n_bytes,
                      DiskLogDone done,
                      void *data);

/* Returns the record that disk_log_store_named stored under name, belonging to ctx; NULL when it is
 * missing or torn. */
uint8_t *
disk_log_load_named (struct DiskLog *log, TALLOC_CTX *ctx, const char *name, size_t *n_bytes);
