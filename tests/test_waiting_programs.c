/* Tests that a program keeps its place in a queue over its retries. */
#include "test_main.h"

#include <buckthornhead/scheduling/waiting_programs.h>

/* Guards against a rejected request that comes back behind all that arrived meanwhile. */
static void
test_a_retry_keeps_its_time (void)
{
  struct WaitingPrograms *programs = waiting_programs_new (NULL);

  CU_ASSERT_EQUAL (waiting_programs_since (programs, 7, 1000), 1000);
  CU_ASSERT_EQUAL (waiting_programs_since (programs, 8, 1500), 1500);
  CU_ASSERT_EQUAL (waiting_programs_since (programs, 7, 3000), 1000);
  talloc_free (programs);
}

/* Guards against memory that grows with each program that ever waited. */
static void
test_programs_that_do_not_return_are_forgotten (void)
{
  struct WaitingPrograms *programs = waiting_programs_new (NULL);

  waiting_programs_since (programs, 7, 1000);
  waiting_programs_since (programs, 8, 1000);
  waiting_programs_since (programs, 8, 9000);
  waiting_programs_expire (programs, 11000);
  CU_ASSERT_EQUAL (waiting_programs_since (programs, 8, 11000), 1000);
  CU_ASSERT_EQUAL (waiting_programs_since (programs, 7, 11000), 11000);
  talloc_free (programs);
}

static void
test_requests_without_a_program_have_no_memory (void)
{
  struct WaitingPrograms *programs = waiting_programs_new (NULL);

  CU_ASSERT_EQUAL (waiting_programs_since (programs, 0, 1000), 1000);
  CU_ASSERT_EQUAL (waiting_programs_since (programs, 0, 2000), 2000);
  talloc_free (programs);
}

const char test_suite_name[] = "waiting_programs";

const struct TestCase test_cases[] = {
  { "a retry keeps its time", test_a_retry_keeps_its_time },
  { "programs that do not return are forgotten", test_programs_that_do_not_return_are_forgotten },
  { "requests without a program have no memory", test_requests_without_a_program_have_no_memory },
  { NULL, NULL },
};
