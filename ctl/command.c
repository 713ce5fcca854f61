#include "command.h"

#include <string.h>

enum
{
  PARSE_ERRORS_MAX = 8
};

static void
print_version (FILE *out)
{
  fputs ("buckthornhead " PRODUCT_VERSION "\n", out);
}

static void
print_commands (const struct Command *commands, FILE *out)
{
  fputs ("Usage: buckthornhead COMMAND [ARGUMENTS]\n\nCommands:\n", out);
  for (const struct Command *c = commands; c->name != NULL; c++)
    fprintf (out, "  %-14s %s\n", c->name, c->summary);
  fputs ("\nSee 'buckthornhead COMMAND --help' or 'man buckthornhead' for details.\n", out);
}

int
command_dispatch (const struct Command *commands, int argc, char **argv, const struct CommandIo *io)
{
  if (argc < 2)
    {
      print_commands (commands, io->err);
      return EXIT_CODE_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_commands (commands, io->out);
      return EXIT_CODE_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      print_version (io->out);
      return EXIT_CODE_OK;
    }
  for (const struct Command *c = commands; c->name != NULL; c++)
    if (strcmp (c->name, argv[1]) == 0)
      return c->run (argc - 1, argv + 1, io);
  fprintf (io->err, "buckthornhead: no command '%s'\n\n", argv[1]);
  print_commands (commands, io->err);
  return EXIT_CODE_USAGE;
}

bool
common_options_new (struct CommonOptions *standard)
{
  standard->help = arg_lit0 ("h", "help", "show this help and exit");
  standard->version = arg_lit0 (NULL, "version", "show the version and exit");
  standard->end = arg_end (PARSE_ERRORS_MAX);
  return standard->help != NULL && standard->version != NULL && standard->end != NULL;
}

static void
print_usage (const struct CommandUsage *usage, void **argtable, FILE *out)
{
  fprintf (out, "Usage: %s", usage->name);
  arg_print_syntax (out, argtable, "\n");
  fprintf (out, "\n%s\n\n", usage->summary);
  arg_print_glossary (out, argtable, "  %-28s %s\n");
}

bool
command_parse (const struct CommandUsage *usage,
               const struct CommonOptions *standard,
               void **argtable,
               int argc,
               char **argv,
               const struct CommandIo *io,
               int *exit_code)
{
  int n_errors;

  if (arg_nullcheck (argtable) != 0)
    {
      fputs ("buckthornhead: out of memory\n", io->err);
      *exit_code = EXIT_CODE_FAILED;
      return false;
    }
  n_errors = arg_parse (argc, argv, argtable);
  if (standard->help->count > 0)
    {
      print_usage (usage, argtable, io->out);
      *exit_code = EXIT_CODE_OK;
      return false;
    }
  if (standard->version->count > 0)
    {
      print_version (io->out);
      *exit_code = EXIT_CODE_OK;
      return false;
    }
  if (n_errors == 0)
    return true;
  arg_print_errors (io->err, standard->end, usage->name);
  fprintf (io->err, "see '%s --help' for details\n", usage->name);
  *exit_code = EXIT_CODE_USAGE;
  return false;
}
