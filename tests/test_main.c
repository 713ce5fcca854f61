#include "test_main.h"

#include <CUnit/Basic.h>

#include <string.h>

/* Runs all tests of the program, or only the one that the argument names. */
int
main (int argc, char *argv[])
{
  CU_pSuite suite;
  int failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  suite = CU_add_suite (test_suite_name, NULL, NULL);
  for (const struct TestCase *c = test_cases; suite != NULL && c->name != NULL; c++)
    if ((argc < 2 || strcmp (c->name, argv[1]) == 0)
        && CU_add_test (suite, c->name, c->run) == NULL)
      suite = NULL;
  if (suite == NULL || suite->uiNumberOfTests == 0)
    return 2;
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = (int)CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
