#include "run_process.h"

#include <buckthornhead/daemon.h>

static int32_t
serve_role_load (TALLOC_CTX *ctx, const char *file, void **settings, struct ConfigFaults *faults)
{
  struct Settings *loaded = NULL;
  int32_t error = settings_load (ctx, file, &loaded, faults);

  *settings = loaded;
  return error;
}

static int32_t
serve_role_run (const void *settings, struct Fault *fault)
{
  return daemon_run (settings, fault);
}

static const struct ProcessRole serve_role = { serve_role_load, serve_role_run };

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
    exit_code = run_process (&serve_role, config->filename[0], io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
