/* Shared by the commands of `buckthornhead ctl`. */
#pragma once

#include "command.h"
#include "operator_client.h"
#include "views.h"

#define CTL_DEFAULT_OPERATOR "127.0.0.1:8701"

/* Options that every ctl command takes; all of them are entries of its argtable. */
struct CtlOptions
{
  struct arg_str *addresses;
  struct arg_file *token_file;
  struct arg_lit *json;
  struct CommonOptions standard;
};

bool
ctl_options_new (struct CtlOptions *options);

/* Creates a client for the addresses in options. Returns NULL if the options are invalid, after
 * printing the reason, or if out of memory. */
struct OperatorClient *
ctl_client_new (TALLOC_CTX *ctx, const struct CtlOptions *options, const struct CommandIo *io);

/* Prints the error of response to io->err and returns its exit code. response is NULL if out of
 * memory. */
int
ctl_print_error (const struct OperatorResponse *response, const struct CommandIo *io);

/* Prints the body of response, as JSON or with view, or its error. Returns an enum ExitCode. */
int
ctl_print_response (const struct OperatorResponse *response,
                    bool json,
                    ViewFn view,
                    const struct CommandIo *io);

/* Returns text escaped for a URL; allocated on ctx. */
const char *
ctl_escape (TALLOC_CTX *ctx, const char *text);

/* A ctl command: a name of one or two words, then its arguments. */
struct CtlCommand
{
  const char *name; /* "profile apply"; NULL ends the table */
  const char *summary;
  int (*run) (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io);
  const char *path;     /* read commands: URL path; the escaped argument is appended */
  const char *argument; /* read commands: name of the argument; NULL: none */
  ViewFn view;          /* read commands */
  const char *kind;     /* audit trail: only changes of this kind; NULL: all */
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
