#include "ctl.h"

#include <buckthornhead/units.h>

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  NAME_BYTES = 64,
  PROGRAMS_LIMIT = 100,
  MS_PER_SECOND = 1000,
  NS_PER_MS = 1000000,
  WATCH_EVERY_MS = 2000
};

/* Usage words of one command of ctl. */
struct CtlWords
{
  char name[NAME_BYTES];
  struct CommandWords words;
};

static const struct CommandWords *
command_words (struct CtlWords *words, const struct CtlCommand *command)
{
  snprintf (words->name, sizeof words->name, "buckthornhead ctl %s", command->words);
  words->words.name = words->name;
  words->words.summary = command->summary;
  return &words->words;
}

/* What of a list is wanted; instances of an earlier version send all of it. */
struct ListFilter
{
  const char *kind; /* of changes; NULL: all */
  size_t limit;     /* of programs; 0: none */
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

/* Reads path and shows it. */
static int
read_and_show (const struct CtlOptions *options,
               const char *path,
               const struct ListFilter *filter,
               ViewFn view,
               const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct OperatorClient *client = ctl_client_new (ctx, options, io);
  struct OperatorAnswer *answer;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL)
    goto out;
  answer = operator_get (ctx, client, path);
  if (answer != NULL && answer->error == ERROR_NONE)
    filter_lists (answer->body, filter);
  exit_code = ctl_show (answer, options->json->count > 0, view, io);
out:
  talloc_free (ctx);
  return exit_code;
}

static int
read_argument (const struct CtlCommand *command,
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
  exit_code = read_and_show (options, path, &filter, command->view, io);
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
  struct CtlWords words;
  void *with[] = { options.operators,     options.token_file,       options.json,
                   options.standard.help, options.standard.version, argument,
                   options.standard.end };
  void *without[] = { options.operators,     options.token_file,       options.json,
                      options.standard.help, options.standard.version, options.standard.end };
  void **argtable = takes_argument ? with : without;
  size_t n_entries =
      takes_argument ? sizeof with / sizeof with[0] : sizeof without / sizeof without[0];
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (command_words (&words, command), &options.standard, argtable, argc, argv,
                        io, &exit_code))
    exit_code = read_argument (command, &options, argument, io);
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
  int n = limit->count > 0 ? limit->ival[0] : PROGRAMS_LIMIT;
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
      read_and_show (options, path, &filter, id->count > 0 ? view_object : view_programs, io);
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
  struct arg_int *limit = arg_int0 (NULL, "limit", "N", "at most this many (100)");
  struct arg_str *id = arg_str0 (NULL, NULL, "ID", "all about this program");
  struct CtlWords words;
  void *argtable[] = { options.operators,
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
      && command_parse (command_words (&words, command), &options.standard, argtable, argc, argv,
                        io, &exit_code))
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
  exit_code = read_and_show (options, path, &filter, view_audit, io);
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
  struct CtlWords words;
  void *argtable[] = { options.operators,
                       options.token_file,
                       options.json,
                       options.standard.help,
                       options.standard.version,
                       name,
                       kind,
                       options.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (command_words (&words, command), &options.standard, argtable, argc, argv,
                        io, &exit_code))
    exit_code = show_audit (&options, name, kind, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

/* Text exposition as {"name": value}; comments are left out. */
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
  struct OperatorAnswer *answer;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL)
    goto out;
  answer = operator_get (ctx, client, "/metrics");
  if (answer != NULL && answer->error == ERROR_NONE)
    {
      json_decref (answer->body);
      answer->body = counters_to_json (answer->text);
    }
  exit_code = ctl_show (answer, options->json->count > 0, view_counters, io);
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
  struct CtlWords words;
  void *argtable[] = { options.operators,     options.token_file,       options.json,
                       options.standard.help, options.standard.version, options.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete
      && command_parse (command_words (&words, command), &options.standard, argtable, argc, argv,
                        io, &exit_code))
    exit_code = show_counters (&options, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

static void
pause_ms (uint64_t ms)
{
  struct timespec pause = { (time_t)(ms / MS_PER_SECOND), (long)(ms % MS_PER_SECOND) * NS_PER_MS };

  nanosleep (&pause, NULL);
}

/* A screen a round. A failure is shown and the next round tries again: whoever watches wants to
 * see the end of an outage, too. */
static int
watch (const struct CtlOptions *options, uint64_t every_ms, int count, const struct CommandIo *io)
{
  const struct ListFilter everything = { 0 };
  const char *clear = isatty (fileno (io->out)) == 1 ? "\033[H\033[2J" : "";
  int exit_code = EXIT_CODE_OK;

  for (int round = 0; count == 0 || round < count; round++)
    {
      if (round > 0)
        pause_ms (every_ms);
      fputs (clear, io->out);
      exit_code = read_and_show (options, "/operator/status", &everything, view_status, io);
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
  struct arg_str *every = arg_str0 (NULL, "every", "TIME", "pause between two looks (2s)");
  struct arg_int *count = arg_int0 (NULL, "count", "N", "end after N looks (never)");
  struct CtlWords words;
  void *argtable[] = { options.operators,
                       options.token_file,
                       options.json,
                       options.standard.help,
                       options.standard.version,
                       every,
                       count,
                       options.standard.end };
  uint64_t every_ms = WATCH_EVERY_MS;
  int exit_code = EXIT_CODE_FAILED;

  if (!complete
      || !command_parse (command_words (&words, command), &options.standard, argtable, argc, argv,
                         io, &exit_code))
    goto out;
  if (every->count > 0 && units_parse (UNIT_TIME, every->sval[0], &every_ms) != ERROR_NONE)
    {
      fprintf (io->err, "'%s' is no time; write %s\n", every->sval[0], units_describe (UNIT_TIME));
      exit_code = EXIT_CODE_USAGE;
      goto out;
    }
  exit_code = watch (&options, every_ms, count->count > 0 ? count->ival[0] : 0, io);
out:
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
