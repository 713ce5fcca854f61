#include "ctl.h"

#include <buckthornhead/settings.h>

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TOKEN_MAX_BYTES = 128,
  WORDS_BYTES = 64
};

static const struct CtlCommand commands[] = {
  { .words = "status",
    .summary = "outcomes, configuration, draining, platform, what needs a person",
    .run = ctl_run_read,
    .path = "/operator/status",
    .view = view_status },
  { .words = "watch", .summary = "status, kept fresh", .run = ctl_run_watch },
  { .words = "instances",
    .summary = "instances and what they hold",
    .run = ctl_run_read,
    .path = "/operator/instances",
    .view = view_instances },
  { .words = "backends",
    .summary = "backend servers, their owners and queues",
    .run = ctl_run_read,
    .path = "/operator/backends",
    .view = view_backends },
  { .words = "programs", .summary = "programs, or all about one", .run = ctl_run_programs },
  { .words = "profile list",
    .summary = "profiles",
    .run = ctl_run_read,
    .path = "/operator/profiles",
    .view = view_profiles },
  { .words = "profile show",
    .summary = "a profile's text",
    .run = ctl_run_read,
    .path = "/operator/profiles/",
    .argument = "NAME",
    .view = view_profile },
  { .words = "profile apply",
    .summary = "check a profile and put it in force",
    .run = ctl_run_profile_apply },
  { .words = "profile history",
    .summary = "all changes of a profile",
    .run = ctl_run_read,
    .path = "/operator/audit?kind=profile&name=",
    .argument = "NAME",
    .view = view_audit,
    .kind = "profile" },
  { .words = "service list",
    .summary = "services and the profiles they run under",
    .run = ctl_run_read,
    .path = "/operator/services",
    .view = view_services },
  { .words = "service set",
    .summary = "set the profile that a service runs under",
    .run = ctl_run_service_set },
  { .words = "drain",
    .summary = "take an instance out of service as planned, or back",
    .run = ctl_run_drain },
  { .words = "audit", .summary = "every change of the configuration", .run = ctl_run_audit },
  { .words = "change",
    .summary = "what became of the change with this id",
    .run = ctl_run_read,
    .path = "/operator/changes/",
    .argument = "ID",
    .view = view_object },
  { .words = "counters", .summary = "counters of one instance", .run = ctl_run_counters },
  { .words = NULL },
};

bool
ctl_options_new (struct CtlOptions *options)
{
  options->operators = arg_strn (NULL, "operator", "IP:PORT", 0, OPERATOR_ADDRESSES_MAX,
                                 "operators' address of an instance; several are tried in order "
                                 "(else $BUCKTHORNHEAD_OPERATOR, else " CTL_DEFAULT_OPERATOR ")");
  options->token_file = arg_file0 (NULL, "token-file", "FILE", "file with the operators' token");
  options->json = arg_lit0 (NULL, "json", "print JSON");
  return command_standard_new (&options->standard);
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
      fprintf (io->err, "'%s' is no IP number with a port; write it as " CTL_DEFAULT_OPERATOR "\n",
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
  for (int i = 0; i < options->operators->count; i++)
    if (!add_address (client, options->operators->sval[i], io))
      return NULL;
  if (client->n_addresses == 0
      && !add_address (client, environment != NULL ? environment : CTL_DEFAULT_OPERATOR, io))
    return NULL;
  if (options->token_file->count == 0)
    return client;
  client->token = read_token (client, options->token_file->filename[0]);
  if (client->token == NULL)
    {
      fprintf (io->err, "'%s' holds no token that can be read; name another file\n",
               options->token_file->filename[0]);
      return NULL;
    }
  return client;
}

static int
exit_code_of (int32_t error)
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

/* How the present state differs from the one that a refused change was made for. */
static void
print_differs (const json_t *body, const struct CommandIo *io)
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
ctl_fail (const struct OperatorAnswer *answer, const struct CommandIo *io)
{
  if (answer == NULL)
    {
      fputs ("out of memory\n", io->err);
      return EXIT_CODE_FAILED;
    }
  fprintf (io->err, "%s: %s; %s\n", error_name (answer->error), answer->fault.message,
           answer->fault.remedy);
  print_differs (answer->body, io);
  return exit_code_of (answer->error);
}

static void
print_json (const json_t *body, FILE *out)
{
  json_dumpf (body, out, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
  fputc ('\n', out);
}

int
ctl_show (const struct OperatorAnswer *answer, bool json, ViewFn view, const struct CommandIo *io)
{
  if (answer == NULL || answer->error != ERROR_NONE)
    {
      if (json && answer != NULL && answer->body != NULL)
        print_json (answer->body, io->out);
      return ctl_fail (answer, io);
    }
  if (answer->body == NULL)
    {
      fputs ("the answer is no JSON; is this the operators' address of an instance?\n", io->err);
      return EXIT_CODE_FAILED;
    }
  if (json)
    print_json (answer->body, io->out);
  else
    view (io->out, answer->body);
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
  for (const struct CtlCommand *c = commands; c->words != NULL; c++)
    fprintf (out, "  %-16s %s\n", c->words, c->summary);
  fputs ("\n'buckthornhead ctl COMMAND --help' says more; so does 'man buckthornhead-ctl'.\n", out);
}

static bool
takes_value (const char *option)
{
  return strcmp (option, "--operator") == 0 || strcmp (option, "--token-file") == 0;
}

/* Index of the next word that is neither an option nor an option's value; argc when none. */
static int
next_word (int argc, char **argv, int from)
{
  for (int i = from; i < argc; i++)
    {
      if (argv[i][0] != '-')
        return i;
      if (takes_value (argv[i]))
        i++;
    }
  return argc;
}

static const struct CtlCommand *
find_command (const char *first, const char *second)
{
  char both[WORDS_BYTES];

  snprintf (both, sizeof both, "%s %s", first, second);
  for (const struct CtlCommand *c = commands; c->words != NULL; c++)
    if (strcmp (c->words, first) == 0 || strcmp (c->words, both) == 0)
      return c;
  return NULL;
}

/* Runs command with argv freed of its words, so that options may stand on either side. */
static int
run_command (const struct CtlCommand *command,
             int argc,
             char **argv,
             int first,
             int second,
             const struct CommandIo *io)
{
  char **rest = talloc_array (NULL, char *, (size_t)argc + 1);
  bool two_words = strchr (command->words, ' ') != NULL;
  int n_rest = 0;
  int exit_code;

  if (rest == NULL)
    return ctl_fail (NULL, io);
  for (int i = 0; i < argc; i++)
    if (i != first && !(two_words && i == second))
      rest[n_rest++] = argv[i];
  rest[n_rest] = NULL;
  exit_code = command->run (command, n_rest, rest, io);
  talloc_free (rest);
  return exit_code;
}

int
command_ctl (int argc, char **argv, const struct CommandIo *io)
{
  int first = next_word (argc, argv, 1);
  int second = next_word (argc, argv, first + 1);
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
