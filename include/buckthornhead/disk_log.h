/* Log on this machine's disk: records that are durable when their callback says so.
 *
 * Files of some megabytes, <folder>/log-<number>, each a row of frames: four bytes of length, eight
 * of checksum, the record. A thread of its own writes and syncs, one sync for all records that
 * wait, so that the event loop never waits for the disk. Records are read back by place; their
 * content is not kept in memory. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>
#include <tevent.h>

struct DiskLog;

/* Where a record lies. */
struct DiskPlace
{
  uint32_t file;
  uint32_t offset; /* of its frame */
  uint32_t n_bytes;
};

typedef void (*DiskLogFn) (void *data,
                           const struct DiskPlace *place,
                           const uint8_t *record,
                           size_t n_bytes);

/* place is valid when error is ERROR_NONE; ERROR_IO: it is not certain that the record is kept. */
typedef void (*DiskLogDone) (void *data, int32_t error, const struct DiskPlace *place);

/* Opens folder, made if it is missing, and calls fn for each whole record in it, oldest first;
 * *log is set before that. A torn end was never reported durable, and is passed over. ERROR_IO with
 * fault. */
int32_t
disk_log_open (TALLOC_CTX *ctx,
               struct tevent_context *events,
               const char *folder,
               DiskLogFn fn,
               void *data,
               struct DiskLog **log,
               struct Fault *fault);

/* True when folder holds the mark that disk_log_mark_complete sets. */
bool
disk_log_is_complete (const struct DiskLog *log);

/* Durably. ERROR_IO. */
int32_t
disk_log_mark_complete (struct DiskLog *log);

/* Appends; done is called later, from the loop. expires_unix_ms: the record's file may go once all
 * its records have expired. ERROR_NO_MEMORY. */
int32_t
disk_log_append (struct DiskLog *log,
                 const uint8_t *record,
                 size_t n_bytes,
                 int64_t expires_unix_ms,
                 DiskLogDone done,
                 void *data);

/* The record at place, which belongs to ctx; NULL when it can not be read whole. */
uint8_t *
disk_log_read (struct DiskLog *log,
               TALLOC_CTX *ctx,
               const struct DiskPlace *place,
               size_t *n_bytes);

/* The file's records expire later than they said when they were appended. */
void
disk_log_extend (struct DiskLog *log, uint32_t file, int64_t expires_unix_ms);

/* Deletes files in which everything has expired. */
void
disk_log_drop_expired (struct DiskLog *log, int64_t unix_ms);

/* Whole frames from cursor (0: the first) on, at most about max_bytes, for another archive. *next
 * is the cursor after them; *last: there are no more for now. NULL when a file can not be read. */
uint8_t *
disk_log_frames (struct DiskLog *log,
                 TALLOC_CTX *ctx,
                 uint64_t cursor,
                 size_t max_bytes,
                 size_t *n_bytes,
                 uint64_t *next,
                 bool *last);

/* Calls fn for each whole frame in bytes; place is that within bytes. */
void
disk_log_each_frame (const uint8_t *bytes, size_t n_bytes, DiskLogFn fn, void *data);

/* One record in a file of its own beside the log, replaced as a whole. done is called later, from
 * the loop, with a place that says nothing; the loop never waits for the disk. ERROR_NO_MEMORY. */
int32_t
disk_log_keep (struct DiskLog *log,
               const char *name,
               const uint8_t *record,
               size_t n_bytes,
               DiskLogDone done,
               void *data);

/* What was kept under name, belonging to ctx; NULL when there is none that is whole. */
uint8_t *
disk_log_kept (struct DiskLog *log, TALLOC_CTX *ctx, const char *name, size_t *n_bytes);
