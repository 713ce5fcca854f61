#include "run_process.h"

#include <buckthornhead/gateway.h>
#include <buckthornhead/log.h>

#include <unistd.h>

static int32_t
gateway_role_load (TALLOC_CTX *ctx, const char *file, void **settings, struct ConfigFaults *faults)
{
  struct GatewaySettings *loaded = NULL;
  int32_t error = gateway_settings_load (ctx, file, &loaded, faults);

  *settings = loaded;
  return error;
}

static int32_t
gateway_role_run (const void *settings, struct Fault *fault)
{
  return gateway_run (settings, fault);
}

static const struct ProcessRole gateway_role = { gateway_role_load, gateway_role_run };

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
    {
      log_set_fd (STDOUT_FILENO);
      exit_code = run_process (&gateway_role, config->filename[0], io);
    }
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
