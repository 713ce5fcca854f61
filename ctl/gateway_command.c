#include "command.h"

#include <buckthornhead/gateway.h>

static int
run_gateway (const char *file, const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
  struct GatewaySettings *settings = NULL;
  int exit_code = EXIT_CODE_FAILED;

  if (faults == NULL)
    goto out;
  if (gateway_settings_load (ctx, file, &settings, faults) != ERROR_NONE)
    {
      fputs (config_faults_render (ctx, faults), io->err);
      exit_code = EXIT_CODE_USAGE;
      goto out;
    }
  if (gateway_run (settings) == ERROR_NONE)
    exit_code = EXIT_CODE_OK;
out:
  talloc_free (ctx);
  return exit_code;
}

int
command_gateway (int argc, char **argv, const struct CommandIo *io)
{
  static const struct CommandUsage usage = {
    "buckthornhead gateway",
    "Runs a gateway or, with a data folder, an archive, until SIGTERM, which is a planned stop."
  };
  struct CommonOptions standard = { 0 };
  bool complete = common_options_new (&standard);
  struct arg_file *config = arg_file1 ("c", "config", "FILE", "settings of the process");
  void *argtable[] = { config, standard.help, standard.version, standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && command_parse (&usage, &standard, argtable, argc, argv, io, &exit_code))
    exit_code = run_gateway (config->filename[0], io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
