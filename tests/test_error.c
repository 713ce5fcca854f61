#include "test_main.h"

#include <buckthornhead/error.h>

#include <errno.h>
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

static void
test_only_conditions_of_the_machine_may_pass (void)
{
  static const int passing[] = { EADDRINUSE, EADDRNOTAVAIL, EAGAIN, EIO,      EMFILE, ENETDOWN,
                                 ENFILE,     ENOBUFS,       ENOENT, ENOMEM,   ENOSPC, ENOTDIR,
                                 EROFS,      ENODEV,        ESTALE, ETIMEDOUT };
  static const int lasting[] = { EACCES, EAFNOSUPPORT, EINVAL, ENAMETOOLONG, EPERM };

  for (size_t i = 0; i < sizeof passing / sizeof passing[0]; i++)
    CU_ASSERT_TRUE (error_may_pass (error_from_errno (passing[i])));
  for (size_t i = 0; i < sizeof lasting / sizeof lasting[0]; i++)
    CU_ASSERT_FALSE (error_may_pass (error_from_errno (lasting[i])));
  CU_ASSERT_FALSE (error_may_pass (ERROR_NONE));
}

const char test_suite_name[] = "error";
const struct TestCase test_cases[] = {
  { "every kind is named", test_every_kind_is_named },
  { "fault has the kind's default remedy", test_fault_has_the_kinds_default_remedy },
  { "only conditions of the machine may pass", test_only_conditions_of_the_machine_may_pass },
  { NULL, NULL },
};
