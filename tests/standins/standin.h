/* Stand-ins for outside systems, gathered in one test-only binary. */
#pragma once

struct Standin
{
  const char *name;
  int (*run) (int argc, char **argv); /* argv[0] is the stand-in's name */
  const char *help;
};

int
standin_engine_run (int argc, char **argv);
int
standin_tool_run (int argc, char **argv);
