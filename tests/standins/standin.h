/* The commands of buckthornhead-standin: one outside system each, in a file of its own. */
#pragma once

#include <stdint.h>

/* argv[0] is the command's name. Returns the process's exit status. */
int32_t
platform_run (int argc, char **argv);
int
standin_engine_run (int argc, char **argv);
int
standin_tool_run (int argc, char **argv);
int
standin_caller_run (int argc, char **argv);
