#include "run_process.h"

#include <buckthornhead/process_start.h>

/* Returns false and sets *exit_code if the settings cannot be used. */
static bool
load_settings (const struct ProcessRole *role,
               TALLOC_CTX *ctx,
               const char *file,
               const struct CommandIo *io,
               void **settings,
               int *exit_code)
{
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);

  *exit_code = EXIT_CODE_FAILED;
  if (faults == NULL)
    return false;
  if (role->load (ctx, file, settings, faults) == ERROR_NONE)
    return true;
  fputs (config_faults_render (ctx, faults), io->err);
  *exit_code = EXIT_CODE_USAGE;
  return false;
}

/* Returns true if the process is to be started again. */
static bool
run_attempt (const struct ProcessRole *role,
             const char *file,
             const struct CommandIo *io,
             struct ProcessStart *start,
             int *exit_code)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fault fault = { 0 };
  bool again = false;
  void *settings;

  if (!load_settings (role, ctx, file, io, &settings, exit_code))
    goto out;
  *exit_code = role->run (settings, &fault) == ERROR_NONE ? EXIT_CODE_OK : EXIT_CODE_FAILED;
  if (!error_may_pass (fault.error))
    goto out;
  again = process_start_wait (start, &fault);
  *exit_code = EXIT_CODE_OK;

out:
  talloc_free (ctx);
  return again;
}

int
run_process (const struct ProcessRole *role, const char *file, const struct CommandIo *io)
{
  struct ProcessStart start = { 0 };
  int exit_code;

  while (run_attempt (role, file, io, &start, &exit_code))
    ;
  return exit_code;
}
