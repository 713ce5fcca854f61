/* Tests which requests are rejected instead of waiting. */
#include "test_main.h"

#include <buckthornhead/scheduling/admission.h>

static struct AdmissionQuery
begins (uint32_t wait_ms)
{
  return (struct AdmissionQuery){
    .begins_program = true, .wait_ms = wait_ms, .objective_ms = 400, .left_ms = 2000
  };
}

/* Guards against programs that begin under shortage and are late at their second turn. */
static void
test_a_program_begins_only_with_a_short_wait (void)
{
  struct AdmissionQuery query = begins (0);

  CU_ASSERT_FALSE (admission_rejects (&query));
  query = begins (100);
  CU_ASSERT_FALSE (admission_rejects (&query));
  query = begins (101);
  CU_ASSERT_TRUE (admission_rejects (&query));
  query.has_top_rank = true;
  CU_ASSERT_FALSE (admission_rejects (&query));
  query.wait_ms = 401;
  CU_ASSERT_TRUE (admission_rejects (&query));
}

/* Guards against a program under way that fails, and wastes its finished turns, because of a wait
 * that its caller accepts. */
static void
test_a_program_under_way_waits_as_long_as_its_caller (void)
{
  struct AdmissionQuery query = begins (1500);

  query.begins_program = false;
  CU_ASSERT_FALSE (admission_rejects (&query));
  query.wait_ms = 1950;
  CU_ASSERT_TRUE (admission_rejects (&query));
}

/* Guards against a request that is held until its caller has left. */
static void
test_a_request_that_cannot_be_served_is_rejected (void)
{
  struct AdmissionQuery query = begins (0);

  query.begins_program = false;
  query.left_ms = 50;
  CU_ASSERT_TRUE (admission_rejects (&query));
  query.left_ms = -10;
  CU_ASSERT_TRUE (admission_rejects (&query));
}

static void
test_without_an_objective_only_the_time_left_counts (void)
{
  struct AdmissionQuery query = begins (1500);

  query.objective_ms = 0;
  CU_ASSERT_FALSE (admission_rejects (&query));
}

const char test_suite_name[] = "admission";

const struct TestCase test_cases[] = {
  { "a program begins only with a short wait", test_a_program_begins_only_with_a_short_wait },
  { "a program under way waits as long as its caller",
    test_a_program_under_way_waits_as_long_as_its_caller },
  { "a request that cannot be served is rejected",
    test_a_request_that_cannot_be_served_is_rejected },
  { "without an objective only the time left counts",
    test_without_an_objective_only_the_time_left_counts },
  { NULL, NULL },
};
