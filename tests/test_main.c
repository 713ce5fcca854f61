#include "test_main.h"

#include <CUnit/Basic.h>

int
main (void)
{
  CU_pSuite suite;
  int failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite (test_suite_name, NULL, NULL);
  for (const struct TestCase *c = test_cases; suite != NULL && c->name != NULL; c++)
    if (CU_add_test (suite, c->name, c->run) == NULL)
      suite = NULL;
  if (suite == NULL)
    return 2;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = (int)CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
