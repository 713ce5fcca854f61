/* The explicit command table of the one binary, and what all commands share: --help, --version
 * and the exit codes. */
#pragma once

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Exit codes; also in buckthornhead(1). */
enum ExitCode
{
  EXIT_CODE_OK = 0,
  EXIT_CODE_FAILED = 1,
  EXIT_CODE_USAGE = 2,          /* wrong command line or bad input */
  EXIT_CODE_CONFLICT = 3,       /* another change came first */
  EXIT_CODE_UNREACHABLE = 4,    /* no instance answered: nothing was applied */
  EXIT_CODE_EFFECT_UNKNOWN = 5, /* the answer was lost and could not be settled */
};

/* Where a command writes: tests take it from memory. */
struct CommandIo
{
  FILE *out;
  FILE *err;
};

/* argv[0] is the command's own name. Returns an enum ExitCode. */
typedef int (*CommandFn) (int argc, char **argv, const struct CommandIo *io);

struct Command
{
  const char *name; /* NULL ends a table */
  const char *summary;
  CommandFn run;
};

/* Runs the command that argv[1] names, or answers --help and --version. */
int
command_dispatch (const struct Command *commands,
                  int argc,
                  char **argv,
                  const struct CommandIo *io);

/* Words of a command for its usage text. */
struct CommandWords
{
  const char *name; /* whole: "buckthornhead check-config" */
  const char *summary;
};

/* The arguments that every command takes; both stand in its argtable. */
struct CommandStandard
{
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_end *end; /* the argtable's last entry */
};

bool
command_standard_new (struct CommandStandard *standard);

/* Parses into argtable. True: go on. False: *exit_code is to be returned, all is printed. */
bool
command_parse (const struct CommandWords *words,
               const struct CommandStandard *standard,
               void **argtable,
               int argc,
               char **argv,
               const struct CommandIo *io,
               int *exit_code);

/* The commands of the product's table. */
int
command_serve (int argc, char **argv, const struct CommandIo *io);
int
command_gateway (int argc, char **argv, const struct CommandIo *io);
int
command_check_config (int argc, char **argv, const struct CommandIo *io);
int
command_ctl (int argc, char **argv, const struct CommandIo *io);
