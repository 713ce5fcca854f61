/* Command table of the buckthornhead binary, and what all commands share: --help, --version and
 * the exit codes. */
#pragma once

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Exit codes; documented in buckthornhead(1). */
enum ExitCode
{
  EXIT_CODE_OK = 0,
  EXIT_CODE_FAILED = 1,
  EXIT_CODE_USAGE = 2,          /* invalid command line or input */
  EXIT_CODE_CONFLICT = 3,       /* another change was applied first */
  EXIT_CODE_UNREACHABLE = 4,    /* no instance could be reached: nothing was applied */
  EXIT_CODE_EFFECT_UNKNOWN = 5, /* the response was lost and the result not determined in time */
};

/* Output streams of a command; tests use memory streams. */
struct CommandIo
{
  FILE *out;
  FILE *err;
};

/* argv[0] is the name of the command. Returns an enum ExitCode. */
typedef int (*CommandFn) (int argc, char **argv, const struct CommandIo *io);

struct Command
{
  const char *name; /* NULL ends a table */
  const char *summary;
  CommandFn run;
};

/* Runs the command named by argv[1], or handles --help and --version. */
int
command_dispatch (const struct Command *commands,
                  int argc,
                  char **argv,
                  const struct CommandIo *io);

/* Name and summary of a command for its usage text. */
struct CommandUsage
{
  const char *name; /* in full: "buckthornhead check-config" */
  const char *summary;
};

/* Options that every command takes; all of them are entries of its argtable. */
struct CommonOptions
{
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_end *end; /* the argtable's last entry */
};

bool
common_options_new (struct CommonOptions *standard);

/* Parses argv into argtable. Returns true if the command should run. Otherwise the help, version or
 * error text has been printed and the command must return *exit_code. */
bool
command_parse (const struct CommandUsage *usage,
               const struct CommonOptions *standard,
               void **argtable,
               int argc,
               char **argv,
               const struct CommandIo *io,
               int *exit_code);

/* Commands of the buckthornhead binary. */
int
command_serve (int argc, char **argv, const struct CommandIo *io);
int
command_gateway (int argc, char **argv, const struct CommandIo *io);
int
command_check_config (int argc, char **argv, const struct CommandIo *io);
int
command_ctl (int argc, char **argv, const struct CommandIo *io);
