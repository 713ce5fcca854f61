#include <buckthornhead/copy_progress.h>

#include <buckthornhead/error.h>

void
copy_progress_begin (struct CopyProgress *progress)
{
  progress->n_writing++;
}

void
copy_progress_end (struct CopyProgress *progress, int32_t error)
{
  progress->n_writing--;
  if (error != ERROR_NONE)
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
