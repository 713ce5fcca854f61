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
  copy_progress_begin (&progress);
  copy_progress_begin (&progress);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_WRITING);
  copy_progress_end (&progress, ERROR_NONE);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_WRITING);
  copy_progress_end (&progress, ERROR_NONE);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_DURABLE);
}

/* One record of a copy cannot be written, for instance because the disk is full for a moment. The
 * copy is incomplete, although all later writes succeed, and must be repeated. */
static void
test_failed_write_requires_new_copy (void)
{
  struct CopyProgress progress = { 0 };

  copy_progress_begin (&progress);
  copy_progress_begin (&progress);
  copy_progress_end (&progress, ERROR_IO);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_WRITING);
  copy_progress_end (&progress, ERROR_NONE);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_FAILED);
  copy_progress_reset (&progress);
  CU_ASSERT_EQUAL (copy_progress_state (&progress), COPY_DURABLE);
}

const char test_suite_name[] = "copy_progress";
const struct TestCase test_cases[] = {
  { "copy is durable after its last write", test_copy_is_durable_after_last_write },
  { "a failed write requires a new copy", test_failed_write_requires_new_copy },
  { NULL, NULL },
};
