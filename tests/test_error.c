#include "test_main.h"

#include <buckthornhead/error.h>

#include <string.h>

/* Every kind except ERROR_NONE must have a name and a remedy in the table. */
static void
test_every_kind_is_named (void)
{
  for (int32_t error = ERROR_UNKNOWN_CALL; error < ERROR_NONE; error++)
    {
      CU_ASSERT_STRING_NOT_EQUAL (error_name (error), "unnamed");
      CU_ASSERT_NOT_EQUAL (strlen (error_remedy (error)), 0);
    }
}

static void
test_fault_has_the_kinds_default_remedy (void)
{
  struct Fault fault;

  CU_ASSERT_EQUAL (fault_set (&fault, ERROR_BUDGET, NULL, "needs %d tokens", 7), ERROR_BUDGET);
  CU_ASSERT_STRING_EQUAL (fault.message, "needs 7 tokens");
  CU_ASSERT_STRING_EQUAL (fault.remedy, error_remedy (ERROR_BUDGET));
}

const char test_suite_name[] = "error";
const struct TestCase test_cases[] = {
  { "every kind is named", test_every_kind_is_named },
  { "fault has the kind's default remedy", test_fault_has_the_kinds_default_remedy },
  { NULL, NULL },
};
