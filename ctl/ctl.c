#include "ctl.h"

#include <buckthornhead/settings.h>

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TOKEN_MAX_BYTES = 128,
  COMMAND_NAME_BYTES = 64
};

static const struct CtlCommand commands[] = {
  { .name = "status",
    .summary = "outcomes, configuration, draining, platform, what needs a person",
    .run = ctl_run_read,
    .path = "/operator/status",
    .view = view_status },
  { .name = "watch", .summary = "status, refreshed periodically", .run = ctl_run_watch },
  { .name = "instances",
    .summary = "instances, their state and load",
    .run = ctl_run_read,
    .path = "/operator/instances",
    .view = view_instances },
  { .name = "backends",
    .summary = "backend servers, their owners and queues",
    .run = ctl_run_read,
    .path = "/operator/backends",
    .view = view_backends },
  { .name = "programs", .summary = "programs, or the details of one", .run = ctl_run_programs },
  { .name = "profile list",
    .summary = "profiles",
    .run = ctl_run_read,
    .path = "/operator/profiles",
    .view = view_profiles },
  { .name = "profile show",
    .summary = "a profile's text",
    .run = ctl_run_read,
    .path = "/operator/profiles/",
    .argument = "NAME",
    .view = view_profile },
  { .name = "profile apply",
    .summary = "check a profile and put it in force",
    .run = ctl_run_profile_apply },
  { .name = "profile history",
    .summary = "all changes of a profile",
    .run = ctl_run_read,
    .path = "/operator/audit?kind=profile&name=",
    .argument = "NAME",
    .view = view_audit,
    .kind = "profile" },
  { .name = "service list",
    .summary = "services and the profiles they run under",
    .run = ctl_run_read,
    .path = "/operator/services",
    .view = view_services },
  { .name = "service set",
    .summary = "set the profile that a service runs under",
    .run = ctl_run_service_set },
  { .name = "drain",
    .summary = "drain an instance, or return it to service",
    .run = ctl_run_drain },
  { .name = "audit", .summary = "every change of the configuration", .run = ctl_run_audit },
  { .name = "change",
    .summary = "result of the change with this id",
    .run = ctl_run_read,
    .path = "/operator/changes/",
    .argument = "ID",
    .view = view_object },
  { .name = "counters", .summary = "counters of one instance", .run = ctl_run_counters },
  { .name = NULL },
};

bool
ctl_options_new (struct CtlOptions *options)
{
  options->addresses =
      arg_strn (NULL, "operator", "IP:PORT", 0, OPERATOR_ADDRESSES_MAX,
                "operators' address of an instance; several are tried in order "
                "(default: $BUCKTHORNHEAD_OPERATOR, then " CTL_DEFAULT_OPERATOR ")");
  options->token_file = arg_file0 (NULL, "token-file", "FILE", "file with the operators' token");
  options->json = arg_lit0 (NULL, "json", "print JSON");
  return common_options_new (&options->standard);
}

static char *
read_token (TALLOC_CTX *ctx, const char *file)
{
  char token[TOKEN_MAX_BYTES] = "";
  FILE *stream = fopen (file, "re");

  if (stream == NULL)
    return NULL;
  if (fgets (token, sizeof token, stream) == NULL)
    token[0] = '\0';
  fclose (stream);
  token[strcspn (token, "\r\n")] = '\0';
  return token[0] != '\0' ? talloc_strdup (ctx, token) : NULL;
}

static bool
add_address (struct OperatorClient *client, const char *address, const struct CommandIo *io)
{
  char ip[46];
  uint16_t port;

  if (address_parse (address, ip, &port) != ERROR_NONE)
    {
      fprintf (io->err, "'%s' is not an IP address with a port, such as " CTL_DEFAULT_OPERATOR "\n",
               address);
      return false;
    }
  client->addresses[client->n_addresses++] = address;
  return true;
}

struct OperatorClient *
ctl_client_new (TALLOC_CTX *ctx, const struct CtlOptions *options, const struct CommandIo *io)
{
  struct OperatorClient *client = talloc_zero (ctx, struct OperatorClient);
  const char *environment = getenv ("BUCKTHORNHEAD_OPERATOR");

  if (client == NULL)
    return NULL;
  for (int i = 0; i < options->addresses->count; i++)
    if (!add_address (client, options->addresses->sval[i], io))
      return NULL;
  if (client->n_addresses == 0
      && !add_address (client, environment != NULL ? environment : CTL_DEFAULT_OPERATOR, io))
    return NULL;
  if (options->token_file->count == 0)
    return client;
  client->token = read_token (client, options->token_file->filename[0]);
  if (client->token == NULL)
    {
      fprintf (io->err, "cannot read a token from the first line of '%s'; specify another file\n",
               options->token_file->filename[0]);
      return NULL;
    }
  return client;
}

static int
exit_code_from_error (int32_t error)
{
  switch (error)
    {
    case ERROR_NONE:
      return EXIT_CODE_OK;
    case ERROR_INVALID:
      return EXIT_CODE_USAGE;
    case ERROR_CONFLICT:
      return EXIT_CODE_CONFLICT;
    case ERROR_UNREACHABLE:
      return EXIT_CODE_UNREACHABLE;
    case ERROR_UNKNOWN_EFFECT:
      return EXIT_CODE_EFFECT_UNKNOWN;
    default:
      return EXIT_CODE_FAILED;
    }
}

/* Prints how the current state differs from the one that a conflicting change expected. */
static void
print_differences (const json_t *body, const struct CommandIo *io)
{
  const json_t *differs = json_object_get (json_object_get (body, "error"), "differs");
  char *text;

  if (differs == NULL)
    return;
  text = json_is_string (differs) ? strdup (json_string_value (differs))
                                  : json_dumps (differs, JSON_ENCODE_ANY | JSON_INDENT (2));
  fprintf (io->err, "what differs:\n%s\n", text != NULL ? text : "");
  free (text);
}

int
ctl_print_error (const struct OperatorResponse *response, const struct CommandIo *io)
{
  if (response == NULL)
    {
      fputs ("out of memory\n", io->err);
      return EXIT_CODE_FAILED;
    }
  fprintf (io->err, "%s: %s; %s\n", error_name (response->error), response->fault.message,
           response->fault.remedy);
  print_differences (response->body, io);
  return exit_code_from_error (response->error);
}

static void
print_json (const json_t *body, FILE *out)
{
  json_dumpf (body, out, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
  fputc ('\n', out);
}

int
ctl_print_response (const struct OperatorResponse *response,
                    bool json,
                    ViewFn view,
                    const struct CommandIo *io)
{
  if (response == NULL || response->error != ERROR_NONE)
    {
      if (json && response != NULL && response->body != NULL)
        print_json (response->body, io->out);
      return ctl_print_error (response, io);
    }
  if (response->body == NULL)
    {
      fputs ("the response is not JSON; check that the address is the operators' address of an "
             "instance\n",
             io->err);
      return EXIT_CODE_FAILED;
    }
  if (json)
    print_json (response->body, io->out);
  else
    view (io->out, response->body);
  return EXIT_CODE_OK;
}

const char *
ctl_escape (TALLOC_CTX *ctx, const char *text)
{
  char *escaped = curl_easy_escape (NULL, text, 0);
  const char *copy = talloc_strdup (ctx, escaped != NULL ? escaped : "");

  curl_free (escaped);
  return copy;
}

static void
print_commands (FILE *out)
{
  fputs ("Usage: buckthornhead ctl [--operator IP:PORT] [--token-file FILE] [--json] COMMAND "
         "[ARGUMENTS]\n\nCommands:\n",
         out);
  for (const struct CtlCommand *c = commands; c->name != NULL; c++)
    fprintf (out, "  %-16s %s\n", c->name, c->summary);
  fputs ("\nSee 'buckthornhead ctl COMMAND --help' or 'man buckthornhead-ctl' for details.\n", out);
}

static bool
option_takes_value (const char *option)
{
  return strcmp (option, "--operator") == 0 || strcmp (option, "--token-file") == 0;
}

/* Returns the index of the next argument that is neither an option nor the value of an option, or
 * argc if there is none. */
static int
next_positional (int argc, char **argv, int from)
{
  for (int i = from; i < argc; i++)
    {
      if (argv[i][0] != '-')
        return i;
      if (option_takes_value (argv[i]))
        i++;
    }
  return argc;
}

static const struct CtlCommand *
find_command (const char *first, const char *second)
{
  char two_words_name[COMMAND_NAME_BYTES];

  snprintf (two_words_name, sizeof two_words_name, "%s %s", first, second);
  for (const struct CtlCommand *c = commands; c->name != NULL; c++)
    if (strcmp (c->name, first) == 0 || strcmp (c->name, two_words_name) == 0)
      return c;
  return NULL;
}

/* Runs command with the words of its name removed from argv, so that options may precede or follow
 * them. */
static int
run_command (const struct CtlCommand *command,
             int argc,
             char **argv,
             int first,
             int second,
             const struct CommandIo *io)
{
  char **rest = talloc_array (NULL, char *, (size_t)argc + 1);
  bool has_two_words = strchr (command->name, ' ') != NULL;
  int n_rest = 0;
  int exit_code;

  if (rest == NULL)
    return ctl_print_error (NULL, io);
  for (int i = 0; i < argc; i++)
    if (i != first && !(has_two_words && i == second))
      rest[n_rest++] = argv[i];
  rest[n_rest] = NULL;
  exit_code = command->run (command, n_rest, rest, io);
  talloc_free (rest);
  return exit_code;
}

int
command_ctl (int argc, char **argv, const struct CommandIo *io)
{
  int first = next_positional (argc, argv, 1);
  int second = next_positional (argc, argv, first + 1);
  const struct CtlCommand *command;

  if (first == argc)
    {
      for (int i = 1; i < argc; i++)
        {
          if (strcmp (argv[i], "--version") == 0)
            {
              fputs ("buckthornhead " PRODUCT_VERSION "\n", io->out);
              return EXIT_CODE_OK;
            }
          if (strcmp (argv[i], "--help") == 0 || strcmp (argv[i], "-h") == 0)
            {
              print_commands (io->out);
              return EXIT_CODE_OK;
            }
        }
      print_commands (io->err);
      return EXIT_CODE_USAGE;
    }
  command = find_command (argv[first], second < argc ? argv[second] : "");
  if (command != NULL)
    return run_command (command, argc, argv, first, second, io);
  fprintf (io->err, "buckthornhead ctl: no command '%s%s%s'\n\n", argv[first],
           second < argc ? " " : "", second < argc ? argv[second] : "");
  print_commands (io->err);
  return EXIT_CODE_USAGE;
}
