#include "command.h"

#include <buckthornhead/daemon.h>

static int
run_instance (const char *file, const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
  struct Settings *settings = NULL;
  int exit_code = EXIT_CODE_FAILED;

  if (faults == NULL)
    goto out;
  if (settings_load (ctx, file, &settings, faults) != ERROR_NONE)
    {
      fputs (config_faults_render (ctx, faults), io->err);
      exit_code = EXIT_CODE_USAGE;
      goto out;
    }
  if (daemon_run (settings) == ERROR_NONE)
    exit_code = EXIT_CODE_OK;
out:
  talloc_free (ctx);
  return exit_code;
}

int
command_serve (int argc, char **argv, const struct CommandIo *io)
{
  static const struct CommandUsage usage = {
    "buckthornhead serve", "Runs one instance until SIGTERM, which is a planned stop."
  };
  struct CommonOptions standard = { 0 };
  bool complete = common_options_new (&standard);
  struct arg_file *config = arg_file1 ("c", "config", "FILE", "settings of the instance");
  void *argtable[] = { config, standard.help, standard.version, standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && command_parse (&usage, &standard, argtable, argc, argv, io, &exit_code))
    exit_code = run_instance (config->filename[0], io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
