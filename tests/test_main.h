/* Shared main of the unit tests. Each program defines its suite's name and its tests. */
#pragma once

#include <CUnit/CUnit.h>

struct TestCase
{
  const char *name;
  void (*run) (void);
};

extern const char test_suite_name[];
extern const struct TestCase test_cases[]; /* ends with a NULL name */
