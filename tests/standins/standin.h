/* Commands of buckthornhead-standin, one per outside system. */
#pragma once

#include <stdint.h>

/* argv[0] is the name of the command. Returns the exit status of the process. */
int32_t
platform_run (int argc, char **argv);
int
standin_engine_run (int argc, char **argv);
int
standin_tool_run (int argc, char **argv);
int
standin_caller_run (int argc, char **argv);
