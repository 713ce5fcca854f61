#include <buckthornhead/daemon.h>

#include <command.h>

static const struct Command commands[] = {
  { "serve", "run one instance", command_serve },
  { "gateway", "run a gateway or an archive before the platform's servers", command_gateway },
  { "check-config", "check settings and profiles", command_check_config },
  { "ctl", "see and change a running system", command_ctl },
  { NULL, NULL, NULL },
};

int
main (int argc, char **argv)
{
  const struct CommandIo io = { stdout, stderr };

  return command_dispatch (commands, argc, argv, &io);
}
