#include "test_main.h"

#include <buckthornhead/copy_progress.h>
#include <buckthornhead/error.h>

/* An archive with a new disk gets the last record of the last source. All sources have given all
 * that they hold, but the record still waits for its sync when the power goes. Had the archive been
 * marked whole by then, it would answer without that record. */
static void
test_a_copy_is_whole_once_its_last_record_is_durable (void)
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

/* One record of many does not get to the disk, which is full for a moment. The others do. The copy
 * is not whole, and is made again. */
static void
test_a_copy_with_a_failed_record_is_made_again (void)
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
  { "a copy is whole once its last record is durable",
    test_a_copy_is_whole_once_its_last_record_is_durable },
  { "a copy with a failed record is made again", test_a_copy_with_a_failed_record_is_made_again },
  { NULL, NULL },
};
