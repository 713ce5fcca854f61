/* What an archive has copied from others and not yet got onto its own disk.
 *
 * Guards against an archive that says it lacks nothing while the last records of its copy still
 * wait for a sync: a loss of power at that moment would leave it without them, and answering
 * questions as if it had them. Pure. */
#pragma once

#include <stdint.h>

struct CopyProgress
{
  uint64_t n_writing; /* records on their way to the disk */
  uint64_t n_failed;  /* since the last reset */
};

enum CopyState
{
  COPY_WRITING, /* not all of it is durable yet */
  COPY_DURABLE, /* everything that was copied is on the disk */
  COPY_FAILED   /* some of it never got there: copy again */
};

void
copy_progress_begin (struct CopyProgress *progress);

/* A record that was begun is on the disk, or error says why not. */
void
copy_progress_end (struct CopyProgress *progress, int32_t error);

/* Before copying again. Records still on their way count on. */
void
copy_progress_reset (struct CopyProgress *progress);

enum CopyState
copy_progress_state (const struct CopyProgress *progress);
