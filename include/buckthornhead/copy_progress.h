/* Tracks records that an archive has copied from others but not yet written durably to its disk.
 *
 * Keeps an archive from reporting itself complete while the last records of its copy still wait for
 * a sync. A power failure at that moment would lose them, and the archive would then respond to
 * queries as if it had them. Does no I/O. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct CopyProgress
{
  uint64_t n_writing; /* records being written */
  uint64_t writing_bytes;
  uint64_t n_failed; /* records whose write failed since the last reset */
};

enum CopyState
{
  COPY_WRITING, /* some records are not durable yet */
  COPY_DURABLE, /* all copied records are durable */
  COPY_FAILED   /* some records could not be written; the copy must be repeated */
};

/* Begins the write of one record. */
void
copy_progress_begin (struct CopyProgress *progress, size_t n_bytes);

/* Ends the write of one record: error is ERROR_NONE once it is durable. */
void
copy_progress_end (struct CopyProgress *progress, size_t n_bytes, int32_t error);

/* Records that one record could not be queued for writing. */
void
copy_progress_fail (struct CopyProgress *progress);

/* Returns whether the disk is so far behind that no more records should be requested: they would
 * fill the memory. */
bool
copy_progress_is_behind (const struct CopyProgress *progress);

/* Clears the failures before the copy is repeated. Writes in progress remain counted. */
void
copy_progress_reset (struct CopyProgress *progress);

enum CopyState
copy_progress_state (const struct CopyProgress *progress);
