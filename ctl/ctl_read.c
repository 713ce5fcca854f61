#include "ctl.h"

#include <buckthornhead/units.h>

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  COMMAND_NAME_BYTES = 64,
  PROGRAMS_DEFAULT_LIMIT = 100,
  MS_PER_SECOND = 1000,
  NS_PER_MS = 1000000,
  WATCH_DEFAULT_INTERVAL_MS = 2000
};

/* Usage text of a ctl command, with storage for its full name. */
struct CtlUsage
{
  char name[COMMAND_NAME_BYTES];
  struct CommandUsage text;
};

static const struct CommandUsage *
ctl_usage (struct CtlUsage *usage, const struct CtlCommand *command)
{
  snprintf (usage->name, sizeof usage->name, "buckthornhead ctl %s", command->name);
  usage->text.name = usage->name;
  usage->text.summary = command->summary;
  return &usage->text;
}

/* Filter for the entries of a list. It is applied here as well because instances of an earlier
 * version ignore the query and return the whole list. */
struct ListFilter
{
  const char *kind; /* only changes of this kind; NULL: all */
  size_t limit;     /* maximum number of programs; 0: unlimited */
};

static void
filter_lists (json_t *body, const struct ListFilter *filter)
{
  json_t *changes = json_object_get (body, "changes");
  json_t *programs = json_object_get (body, "programs");

  for (size_t i = json_array_size (changes); i > 0 && filter->kind != NULL; i--)
    {
      const char *kind =
          json_string_value (json_object_get (json_array_get (changes, i - 1), "kind"));

      if (kind == NULL || strcmp (kind, filter->kind) != 0)
        json_array_remove (changes, i - 1);
    }
  while (filter->limit > 0 && json_array_size (programs) > filter->limit)
    json_array_remove (programs, json_array_size (programs) - 1);
}

static int
show_response (const struct CtlOptions *options,
               const char *path,
               const struct ListFilter *filter,
               ViewFn view,
               const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct OperatorClient *client = ctl_client_new (ctx, options, io);
  struct OperatorResponse *response;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL)
    goto out;
  response = operator_get (ctx, client, path);
  if (response != NULL && response->error == ERROR_NONE)
    filter_lists (response->body, filter);
  exit_code = ctl_print_response (response, options->json->count > 0, view, io);
out:
  talloc_free (ctx);
  return exit_code;
}

static int
show_path (const struct CtlCommand *command,
           const struct CtlOptions *options,
           const struct arg_str *argument,
           const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const struct ListFilter filter = { .kind = command->kind };
  const char *path = command->path;
  int exit_code;

  if (argument != NULL)
    path = talloc_asprintf (ctx, "%s%s", path, ctl_escape (ctx, argument->sval[0]));
  exit_code = show_response (options, path, &filter, command->view, io);
  talloc_free (ctx);
  return exit_code;
}

int
ctl_run_read (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io)
{
  struct CtlOptions options = { 0 };
  bool complete = ctl_options_new (&options);
  bool takes_argument = command->argument != NULL;
  struct arg_str *argument =
      takes_argument ? arg_str1 (NULL, NULL, command->argument, "whose") : NULL;
  struct CtlUsage usage;
  void *with_argument[] = { options.addresses,     options.token_file,       options.json,
                            options.standard.help, options.standard.version, argument,
                            options.standard.end };
  void *without_argument[] = {
    options.addresses,     options.token_file,       options.json,
    options.standard.help, options.standard.version, options.standard.end
  };
  void **argtable = takes_argument ? with_argument : without_argument;
  size_t n_entries = takes_argument ? sizeof with_argument / sizeof with_argument[0]
                                    : sizeof without_argument / sizeof without_argument[0];
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (ctl_usage (&usage, command), &options.standard, argtable, argc, argv, io,
                        &exit_code))
    exit_code = show_path (command, &options, argument, io);
  arg_freetable (argtable, n_entries);
  return exit_code;
}

static int
show_programs (const struct CtlOptions *options,
               const struct arg_str *id,
               const struct arg_str *service,
               const struct arg_int *limit,
               const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  int n = limit->count > 0 ? limit->ival[0] : PROGRAMS_DEFAULT_LIMIT;
  const struct ListFilter filter = { .limit = n > 0 ? (size_t)n : 0 };
  const char *path;
  int exit_code;

  if (id->count > 0)
    path = talloc_asprintf (ctx, "/operator/programs/%s", ctl_escape (ctx, id->sval[0]));
  else if (service->count > 0)
    path = talloc_asprintf (ctx, "/operator/programs?limit=%d&service=%s", n,
                            ctl_escape (ctx, service->sval[0]));
  else
    path = talloc_asprintf (ctx, "/operator/programs?limit=%d", n);
  exit_code =
      show_response (options, path, &filter, id->count > 0 ? view_object : view_programs, io);
  talloc_free (ctx);
  return exit_code;
}

int
ctl_run_programs (const struct CtlCommand *command,
                  int argc,
                  char **argv,
                  const struct CommandIo *io)
{
  struct CtlOptions options = { 0 };
  bool complete = ctl_options_new (&options);
  struct arg_str *service = arg_str0 (NULL, "service", "NAME", "programs of this service only");
  struct arg_int *limit =
      arg_int0 (NULL, "limit", "N", "maximum number of programs (default: 100)");
  struct arg_str *id = arg_str0 (NULL, NULL, "ID", "show the details of this program");
  struct CtlUsage usage;
  void *argtable[] = { options.addresses,
                       options.token_file,
                       options.json,
                       options.standard.help,
                       options.standard.version,
                       service,
                       limit,
                       id,
                       options.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (ctl_usage (&usage, command), &options.standard, argtable, argc, argv, io,
                        &exit_code))
    exit_code = show_programs (&options, id, service, limit, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

static int
show_audit (const struct CtlOptions *options,
            const struct arg_str *name,
            const struct arg_str *kind,
            const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const struct ListFilter filter = { .kind = kind->count > 0 ? kind->sval[0] : NULL };
  char *path = talloc_strdup (ctx, "/operator/audit");
  int exit_code;

  if (kind->count > 0)
    path = talloc_asprintf_append (path, "?kind=%s", ctl_escape (ctx, kind->sval[0]));
  if (name->count > 0)
    path = talloc_asprintf_append (path, "%sname=%s", kind->count > 0 ? "&" : "?",
                                   ctl_escape (ctx, name->sval[0]));
  exit_code = show_response (options, path, &filter, view_audit, io);
  talloc_free (ctx);
  return exit_code;
}

int
ctl_run_audit (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io)
{
  struct CtlOptions options = { 0 };
  bool complete = ctl_options_new (&options);
  struct arg_str *name = arg_str0 (NULL, "name", "NAME", "changes of this name only");
  struct arg_str *kind = arg_str0 (NULL, "kind", "KIND", "profile, service or drain only");
  struct CtlUsage usage;
  void *argtable[] = { options.addresses,
                       options.token_file,
                       options.json,
                       options.standard.help,
                       options.standard.version,
                       name,
                       kind,
                       options.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (ctl_usage (&usage, command), &options.standard, argtable, argc, argv, io,
                        &exit_code))
    exit_code = show_audit (&options, name, kind, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

/* Converts the metrics text format to {"name": value}, without comments. */
static json_t *
counters_to_json (const char *text)
{
  json_t *counters = json_object ();

  while (*text != '\0')
    {
      size_t n = strcspn (text, "\n");
      const char *space = memchr (text, ' ', n);

      if (*text != '#' && space != NULL)
        {
          char *name = strndup (text, (size_t)(space - text));

          if (name != NULL)
            json_object_set_new (counters, name, json_integer (strtoll (space + 1, NULL, 10)));
          free (name);
        }
      text += n + (text[n] == '\n' ? 1 : 0);
    }
  return counters;
}

static void
view_counters (FILE *out, const json_t *body)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)body, name, value)
      fprintf (out, "%-48s %" JSON_INTEGER_FORMAT "\n", name, json_integer_value (value));
}

static int
show_counters (const struct CtlOptions *options, const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct OperatorClient *client = ctl_client_new (ctx, options, io);
  struct OperatorResponse *response;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL)
    goto out;
  response = operator_get (ctx, client, "/metrics");
  if (response != NULL && response->error == ERROR_NONE)
    {
      json_decref (response->body);
      response->body = counters_to_json (response->text);
    }
  exit_code = ctl_print_response (response, options->json->count > 0, view_counters, io);
out:
  talloc_free (ctx);
  return exit_code;
}

int
ctl_run_counters (const struct CtlCommand *command,
                  int argc,
                  char **argv,
                  const struct CommandIo *io)
{
  struct CtlOptions options = { 0 };
  bool complete = ctl_options_new (&options);
  struct CtlUsage usage;
  void *argtable[] = { options.addresses,     options.token_file,       options.json,
                       options.standard.help, options.standard.version, options.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (ctl_usage (&usage, command), &options.standard, argtable, argc, argv, io,
                        &exit_code))
    exit_code = show_counters (&options, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

static void
sleep_ms (uint64_t ms)
{
  struct timespec pause = { (time_t)(ms / MS_PER_SECOND), (long)(ms % MS_PER_SECOND) * NS_PER_MS };

  nanosleep (&pause, NULL);
}

/* Prints the status at each interval. A failed request is reported and does not end the watch, so
 * that operators also see the end of an outage. */
static int
watch (const struct CtlOptions *options,
       uint64_t interval_ms,
       int count,
       const struct CommandIo *io)
{
  const struct ListFilter no_filter = { 0 };
  const char *clear = isatty (fileno (io->out)) == 1 ? "\033[H\033[2J" : "";
  int exit_code = EXIT_CODE_OK;

  for (int round = 0; count == 0 || round < count; round++)
    {
      if (round > 0)
        sleep_ms (interval_ms);
      fputs (clear, io->out);
      exit_code = show_response (options, "/operator/status", &no_filter, view_status, io);
      if (exit_code == EXIT_CODE_USAGE)
        break;
      fflush (io->out);
    }
  return exit_code;
}

int
ctl_run_watch (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io)
{
  struct CtlOptions options = { 0 };
  bool complete = ctl_options_new (&options);
  struct arg_str *every = arg_str0 (NULL, "every", "TIME", "refresh interval (default: 2s)");
  struct arg_int *count =
      arg_int0 (NULL, "count", "N", "exit after N refreshes (default: unlimited)");
  struct CtlUsage usage;
  void *argtable[] = { options.addresses,
                       options.token_file,
                       options.json,
                       options.standard.help,
                       options.standard.version,
                       every,
                       count,
                       options.standard.end };
  uint64_t interval_ms = WATCH_DEFAULT_INTERVAL_MS;
  int exit_code = EXIT_CODE_FAILED;

  if (!complete
      || !command_parse (ctl_usage (&usage, command), &options.standard, argtable, argc, argv, io,
                         &exit_code))
    goto out;
  if (every->count > 0 && units_parse (UNIT_TIME, every->sval[0], &interval_ms) != ERROR_NONE)
    {
      fprintf (io->err, "'%s' is not a time; specify %s\n", every->sval[0],
               units_describe (UNIT_TIME));
      exit_code = EXIT_CODE_USAGE;
      goto out;
    }
  exit_code = watch (&options, interval_ms, count->count > 0 ? count->ival[0] : 0, io);
out:
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
