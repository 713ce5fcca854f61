#include "standin.h"

#include <stdio.h>
#include <string.h>

static const struct Standin standins[] = {
  { "engine", standin_engine_run,
    "--listen IP:PORT --name N --model M [--tokens-per-second R]\n"
    "         [--prefill-tokens-per-second R] [--max-batch N] [--cache-tokens N]\n"
    "         [--report-lag-ms N] [--fencing honour|ignore] [--incarnation X]" },
  { "tool", standin_tool_run, "--listen IP:PORT --name N" },
};

int
main (int argc, char **argv)
{
  const size_t n = sizeof standins / sizeof standins[0];

  for (size_t i = 0; argc > 1 && i < n; i++)
    if (strcmp (argv[1], standins[i].name) == 0)
      return standins[i].run (argc - 1, argv + 1);
  fprintf (stderr, "usage: buckthornhead-standin NAME OPTIONS\n");
  for (size_t i = 0; i < n; i++)
    fprintf (stderr, "  %s %s\n", standins[i].name, standins[i].help);
  return 2;
}
