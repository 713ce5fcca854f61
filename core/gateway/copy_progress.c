#include <buckthornhead/copy_progress.h>

#include <buckthornhead/error.h>

enum
{
  /* Some tenths of a second of a slow disk, a small part of an archive's memory. */
  WRITING_MAX_BYTES = 16 * 1024 * 1024
};

void
copy_progress_begin (struct CopyProgress *progress, size_t n_bytes)
{
  progress->n_writing++;
  progress->writing_bytes += n_bytes;
}

void
copy_progress_end (struct CopyProgress *progress, size_t n_bytes, int32_t error)
{
  progress->n_writing--;
  progress->writing_bytes -= n_bytes;
  if (error != ERROR_NONE)
    progress->n_failed++;
}

void
copy_progress_fail (struct CopyProgress *progress)
{
  progress->n_failed++;
}

void
copy_progress_reset (struct CopyProgress *progress)
{
  progress->n_failed = 0;
}

enum CopyState
copy_progress_state (const struct CopyProgress *progress)
{
  if (progress->n_writing > 0)
    return COPY_WRITING;
  return progress->n_failed > 0 ? COPY_FAILED : COPY_DURABLE;
}

bool
copy_progress_is_behind (const struct CopyProgress *progress)
{
  return progress->writing_bytes > WRITING_MAX_BYTES;
}
