#include "test_main.h"

#include <buckthornhead/copy_progress.h>
#include <buckthornhead/error.h>

/* Guards against marking an archive complete while records of its copy are still waiting for a
 * sync. After a power failure it would respond to queries without those records. */
static void
test_copy_is_durable_after_last_write (void)
{
  struct CopyProgress progress = { 0 };

  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_DURABLE);
  copy_progress_begin (&progress, 100);
  copy_progress_begin (&progress, 100);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_WRITING);
  copy_progress_end (&progress, 100, ERROR_NONE);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_WRITING);
  copy_progress_end (&progress, 100, ERROR_NONE);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_DURABLE);
}

/* One record of a copy cannot be written, for instance because the disk is full for a moment. The
 * copy is incomplete, although all later writes succeed, and must be repeated. */
static void
test_failed_write_requires_new_copy (void)
{
  struct CopyProgress progress = { 0 };

  copy_progress_begin (&progress, 100);
  copy_progress_begin (&progress, 100);
  copy_progress_end (&progress, 100, ERROR_IO);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_WRITING);
  copy_progress_end (&progress, 100, ERROR_NONE);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_FAILED);
  copy_progress_reset (&progress);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_DURABLE);
}

/* A disk slower than the network lets copied records fill the memory of the archive. */
static void
test_no_more_is_requested_than_the_disk_writes (void)
{
  const size_t part_bytes = 512 * 1024, memory_bytes = 64 * 1024 * 1024;
  struct CopyProgress progress = { 0 };
  size_t n = 0;

  while (!copy_progress_is_behind (&progress) && n * part_bytes < memory_bytes)
    {
      copy_progress_begin (&progress, part_bytes);
      n++;
    }
  CU_ASSERT (n * part_bytes < memory_bytes);
  for (; n > 0; n--)
    copy_progress_end (&progress, part_bytes, ERROR_NONE);
  CU_ASSERT_FALSE (copy_progress_is_behind (&progress));
  CU_ASSERT_EQUAL (progress.writing_bytes, 0);
}

const char test_suite_name[] = "copy_progress";
const struct TestCase test_cases[] = {
  { "copy is durable after its last write", test_copy_is_durable_after_last_write },
  { "a failed write requires a new copy", test_failed_write_requires_new_copy },
  { "no more is requested than the disk writes", test_no_more_is_requested_than_the_disk_writes },
  { NULL, NULL },
};
