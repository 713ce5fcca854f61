/* What the commands below `buckthornhead ctl` share. */
#pragma once

#include "command.h"
#include "operator_client.h"
#include "views.h"

#define CTL_DEFAULT_OPERATOR "127.0.0.1:8701"

/* The options that every ctl command takes; they stand in its argtable. */
struct CtlOptions
{
  struct arg_str *operators;
  struct arg_file *token_file;
  struct arg_lit *json;
  struct CommandStandard standard;
};

bool
ctl_options_new (struct CtlOptions *options);

/* Client of the instances that the options name. Prints what is wrong and gives NULL. */
struct OperatorClient *
ctl_client_new (TALLOC_CTX *ctx, const struct CtlOptions *options, const struct CommandIo *io);

/* Says what failed, as a line or as JSON, and gives the exit code. answer may be NULL. */
int
ctl_fail (const struct OperatorAnswer *answer, const struct CommandIo *io);

/* Prints an answer's body, as JSON or by view. */
int
ctl_show (const struct OperatorAnswer *answer, bool json, ViewFn view, const struct CommandIo *io);

/* text escaped for a URL; belongs to ctx. */
const char *
ctl_escape (TALLOC_CTX *ctx, const char *text);

/* One command of ctl: one or two words, then its arguments. */
struct CtlCommand
{
  const char *words; /* "profile apply"; NULL ends the table */
  const char *summary;
  int (*run) (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io);
  const char *path;     /* reads: what is read; the escaped argument is put after it */
  const char *argument; /* reads: what the argument is; NULL: none */
  ViewFn view;          /* reads */
  const char *kind;     /* reads of the audit trail: changes of this kind only; NULL: of all */
};

int
ctl_run_read (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io);
int
ctl_run_programs (const struct CtlCommand *command,
                  int argc,
                  char **argv,
                  const struct CommandIo *io);
int
ctl_run_audit (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io);
int
ctl_run_counters (const struct CtlCommand *command,
                  int argc,
                  char **argv,
                  const struct CommandIo *io);
int
ctl_run_watch (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io);
int
ctl_run_profile_apply (const struct CtlCommand *command,
                       int argc,
                       char **argv,
                       const struct CommandIo *io);
int
ctl_run_service_set (const struct CtlCommand *command,
                     int argc,
                     char **argv,
                     const struct CommandIo *io);
int
ctl_run_drain (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io);
