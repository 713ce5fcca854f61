#include "run_process.h"

#include <buckthornhead/file_settle.h>
#include <buckthornhead/process_start.h>

enum
{
  SETTLE_POLL_MS = 50
};

enum LoadResult
{
  LOAD_DONE,
  LOAD_FAILED, /* the faults are printed */
  LOAD_STOPPED /* by a signal */
};

/* Reads the settings until no other program is writing them, or until they have not changed for a
 * while: what was written up to the end of a line would be used with defaults for the rest.
 */
static enum LoadResult
load_settings (const struct ProcessRole *role,
               TALLOC_CTX *ctx,
               const char *file,
               const struct CommandIo *io,
               void **settings)
{
  struct FileSettle settle = { 0 };

  for (;;)
    {
      struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
      bool loaded, whole;

      if (faults == NULL)
        return LOAD_FAILED;
      file_settle_begin (&settle, file);
      loaded = role->load (ctx, file, settings, faults) == ERROR_NONE;
      whole = file_settle_is_whole (&settle, file);
      if (loaded && whole)
        return LOAD_DONE;
      if (!file_settle_is_recent (&settle))
        {
          if (loaded)
            return LOAD_DONE;
          fputs (config_faults_render (ctx, faults), io->err);
          return LOAD_FAILED;
        }
      talloc_free (faults);
      TALLOC_FREE (*settings);
      if (!process_start_pause (SETTLE_POLL_MS))
        return LOAD_STOPPED;
    }
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
  void *settings = NULL;

  switch (load_settings (role, ctx, file, io, &settings))
    {
    case LOAD_DONE:
      break;
    case LOAD_FAILED:
      *exit_code = EXIT_CODE_USAGE;
      goto out;
    case LOAD_STOPPED:
      *exit_code = EXIT_CODE_OK;
      goto out;
    }
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
