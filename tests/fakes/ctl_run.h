/* Runs one command of the command line before a fake instance, for the tests of it. */
#pragma once

#include "fake_operator.h"

#include <command.h>

#include <stdbool.h>

#define CTL_NOT_FOUND                                                                              \
  "{\"error\":{\"kind\":\"not_found\",\"message\":\"no such\",\"remedy\":\"look\"}}"
#define CTL_PLATFORM_DOWN                                                                          \
  "{\"error\":{\"kind\":\"platform_down\",\"message\":\"no answer\",\"remedy\":\"wait\"}}"
#define CTL_NOWHERE "127.0.0.1:1" /* nobody listens there */

/* What one run gave; all of it belongs to it. */
struct CtlRun
{
  struct FakeOperator *fake;
  int exit_code;
  char *out, *err;
  char *log; /* of the fake, with each change id written as ID */
};

/* The words of line, parted by one space, are the arguments; "@" stands for the fake's address.
 * $USER is asha. */
struct CtlRun *
run_command (const struct FakeReply *replies, CommandFn command, const char *line);
struct CtlRun *
run_ctl (const struct FakeReply *replies, const char *line);

/* False for a NULL text, too. */
bool
contains (const char *text, const char *part);
