#include <buckthornhead/daemon.h>

#include <buckthornhead/process_limits.h>
#include <buckthornhead/process_signals.h>

#include <command.h>
#include <string.h>

static const struct Command commands[] = {
  { "serve", "run one instance", command_serve },
  { "gateway", "run a gateway or an archive before the platform's servers", command_gateway },
  { "check-config", "check settings and profiles", command_check_config },
  { "ctl", "see and change a running system", command_ctl },
  { NULL, NULL, NULL },
};

/* The other commands end at a signal, as an operator expects of Ctrl-C. */
static bool
is_long_running (int argc, char **argv)
{
  return argc > 1 && (strcmp (argv[1], "serve") == 0 || strcmp (argv[1], "gateway") == 0);
}

int
main (int argc, char **argv)
{
  const struct CommandIo io = { stdout, stderr };

  if (is_long_running (argc, argv))
    {
      process_signals_block ();
      process_limit_kept_memory ();
    }
  return command_dispatch (commands, argc, argv, &io);
}
