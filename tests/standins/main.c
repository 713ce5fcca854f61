/* buckthornhead-standin: test-only stand-ins for the systems that buckthornhead uses. */
#include "standin.h"

#include <stdio.h>
#include <string.h>

struct StandinCommand
{
  const char *name;
  int32_t (*run) (int argc, char **argv);
  const char *help;
};

static const struct StandinCommand commands[] = {
  { "platform", platform_run, "key-value service and list of backend servers" },
  { "engine", standin_engine_run, "model engine" },
  { "tool", standin_tool_run, "plain or tool service" },
  { "caller", standin_caller_run, "service that runs a scripted program" },
};

enum
{
  N_COMMANDS = sizeof commands / sizeof commands[0]
};

static void
standin_print_help (void)
{
  puts ("usage: buckthornhead-standin COMMAND [OPTION...]");
  for (size_t i = 0; i < N_COMMANDS; i++)
    printf ("  %-10s %s\n", commands[i].name, commands[i].help);
}

int
main (int argc, char **argv)
{
  if (argc < 2 || strcmp (argv[1], "--help") == 0)
    {
      standin_print_help ();
      return argc < 2 ? 2 : 0;
    }
  for (size_t i = 0; i < N_COMMANDS; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "unknown command %s: see --help\n", argv[1]);
  return 2;
}
