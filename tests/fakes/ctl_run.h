/* Runs one command line command against a fake instance. */
#pragma once

#include "fake_operator.h"

#include <command.h>

#include <stdbool.h>

#define CTL_NOT_FOUND                                                                              \
  "{\"error\":{\"kind\":\"not_found\",\"message\":\"no such\",\"remedy\":\"look\"}}"
#define CTL_PLATFORM_DOWN                                                                          \
  "{\"error\":{\"kind\":\"platform_down\",\"message\":\"no answer\",\"remedy\":\"wait\"}}"
#define CTL_UNREACHABLE_ADDRESS "127.0.0.1:1" /* nothing listens on this port */

/* Result of one run; owns everything that its fields point to. */
struct CtlRun
{
  struct FakeOperator *fake;
  int exit_code;
  char *out, *err;
  char *log; /* requests that the fake received, with the change id replaced by "ID" */
};

/* Runs command with the arguments in line, separated by single spaces; "@" is replaced by the
 * fake's address. Sets USER to asha. */
struct CtlRun *
run_command_line (const struct FakeReply *replies, CommandFn command, const char *line);
struct CtlRun *
run_ctl (const struct FakeReply *replies, const char *line);

/* Returns false for a NULL text. */
bool
text_contains (const char *text, const char *part);
