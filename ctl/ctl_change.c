#include "change.h"

#include <buckthornhead/config_key.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/units.h>

#include <stdlib.h>
#include <string.h>

enum
{
  SETTLE_DEFAULT_MS = 15000,
  COMMAND_NAME_BYTES = 64
};

/* Options of every command that changes the configuration. */
struct ChangeOptions
{
  struct CtlOptions ctl;
  struct arg_str *reason;
  struct arg_str *who;
  struct arg_str *expect;
  struct arg_str *change_id;
  struct arg_str *settle;
};

/* Change specified by the arguments of a command. */
struct ChangeTarget
{
  const char *kind;
  const char *name;
  const char *text;
  bool has_expected_revision; /* without --expect */
  uint64_t expected_revision;
};

static bool
change_options_new (struct ChangeOptions *options)
{
  options->reason = arg_str0 (NULL, "reason", "TEXT", "reason, for the audit trail");
  options->who = arg_str0 (NULL, "who", "NAME", "author, for the audit trail (default: $USER)");
  options->expect = arg_str0 (NULL, "expect", "REVISION",
                              "revision to replace: 0 if it must not exist yet, or 'any'");
  options->change_id = arg_str0 (NULL, "change-id", "ID", "id of an earlier change to send again");
  options->settle = arg_str0 (NULL, "settle", "TIME",
                              "how long to query the result after a lost response (default: 15s)");
  return ctl_options_new (&options->ctl);
}

static bool
read_expected_revision (const struct ChangeOptions *options,
                        struct ChangeRequest *change,
                        const struct CommandIo *io)
{
  const char *text = options->expect->sval[0];

  if (options->expect->count == 0)
    return true;
  change->has_expected_revision = strcmp (text, "any") != 0;
  change->expected_revision = 0;
  if (!change->has_expected_revision
      || units_parse (UNIT_NONE, text, &change->expected_revision) == ERROR_NONE)
    return true;
  fprintf (io->err, "'%s' is not a revision; specify a revision number or 'any'\n", text);
  return false;
}

static bool
read_change_id (const struct ChangeOptions *options,
                struct ChangeRequest *change,
                const struct CommandIo *io)
{
  if (options->change_id->count == 0)
    return change_id_new (change->change_id) == ERROR_NONE;
  if (!config_name_is_valid (options->change_id->sval[0]))
    {
      fputs ("a change id has 1 to 64 letters, digits, '-', '_' and '.'\n", io->err);
      return false;
    }
  snprintf (change->change_id, sizeof change->change_id, "%s", options->change_id->sval[0]);
  return true;
}

static bool
read_settle_time (const struct ChangeOptions *options,
                  struct ChangeRequest *change,
                  const struct CommandIo *io)
{
  change->settle_ms = SETTLE_DEFAULT_MS;
  if (options->settle->count == 0
      || units_parse (UNIT_TIME, options->settle->sval[0], &change->settle_ms) == ERROR_NONE)
    return true;
  fprintf (io->err, "'%s' is not a time; specify %s\n", options->settle->sval[0],
           units_describe (UNIT_TIME));
  return false;
}

static bool
read_author_and_reason (const struct ChangeOptions *options,
                        struct ChangeRequest *change,
                        const struct CommandIo *io)
{
  const char *user = getenv ("USER");

  change->reason = options->reason->count > 0 ? options->reason->sval[0] : "";
  change->who = options->who->count > 0 ? options->who->sval[0] : user;
  if (change->who == NULL || change->who[0] == '\0')
    change->who = "unknown";
  if (strlen (change->reason) <= CHANGE_REASON_MAX_BYTES && strlen (change->who) <= NAME_MAX_BYTES)
    return true;
  fputs ("--reason is limited to 255 bytes, --who to 64 bytes\n", io->err);
  return false;
}

/* Fills in change from the options and target. Returns false if an option or the name is invalid.
 * Without --expect, the caller may still set the expected revision from the current state. */
static bool
change_request_init (const struct ChangeOptions *options,
                     const struct ChangeTarget *target,
                     struct ChangeRequest *change,
                     const struct CommandIo *io)
{
  memset (change, 0, sizeof *change);
  change->kind = target->kind;
  change->name = target->name;
  change->text = target->text;
  change->has_expected_revision = target->has_expected_revision;
  change->expected_revision = target->expected_revision;
  if (!config_name_is_valid (target->name))
    {
      fprintf (io->err, "'%s' is not a valid name; use 1 to 64 letters, digits, '-', '_' and '.'\n",
               target->name);
      return false;
    }
  return read_expected_revision (options, change, io) && read_change_id (options, change, io)
         && read_settle_time (options, change, io) && read_author_and_reason (options, change, io);
}

static int
send_change (const struct ChangeOptions *options,
             const struct OperatorClient *client,
             const struct ChangeRequest *change,
             const struct CommandIo *io)
{
  return change_send (client, change, options->ctl.json->count > 0, io);
}

/* Reads the state that a change is checked against. On failure, prints the error, sets *exit_code
 * and returns NULL. */
static const json_t *
read_current_state (TALLOC_CTX *ctx,
                    const struct ChangeOptions *options,
                    const struct OperatorClient *client,
                    const char *path,
                    const struct CommandIo *io,
                    int *exit_code)
{
  struct OperatorResponse *response = operator_get (ctx, client, path);

  if (response != NULL && response->error == ERROR_NONE && response->body != NULL)
    return response->body;
  *exit_code = ctl_print_response (response, options->ctl.json->count > 0, NULL, io);
  return NULL;
}

/* Parses and removes the comment with the revision that `profile show` prints on the first line:
 * an edited text is applied against the revision that its editor saw. */
static void
take_revision_comment (struct ChangeTarget *target)
{
  static const char prefix[] = "; revision ";
  char number[UNITS_TEXT_BYTES];
  size_t n;

  if (strncmp (target->text, prefix, strlen (prefix)) != 0)
    return;
  n = strcspn (target->text, "\n");
  snprintf (number, sizeof number, "%.*s", (int)(n - strlen (prefix)),
            target->text + strlen (prefix));
  if (units_parse (UNIT_NONE, number, &target->expected_revision) != ERROR_NONE)
    return;
  target->text += n + (target->text[n] == '\n' ? 1 : 0);
}

/* Without --expect and without a revision comment, a profile can only be created. Replacing one
 * requires the revision that the operator saw, so that two operators do not silently overwrite each
 * other's changes. */
static int
apply_profile (const struct ChangeOptions *options, const char *file, const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct OperatorClient *client = ctl_client_new (ctx, &options->ctl, io);
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
  struct ChangeTarget target = { .kind = "profile", .has_expected_revision = true };
  struct ChangeRequest change;
  struct Profile profile;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL || faults == NULL)
    goto out;
  target.text = config_file_read (ctx, file, faults);
  if (target.text == NULL || profile_parse (file, target.text, &profile, faults) != ERROR_NONE)
    {
      fputs (config_faults_render (ctx, faults), io->err);
      goto out;
    }
  target.name = profile.name;
  take_revision_comment (&target);
  if (change_request_init (options, &target, &change, io))
    exit_code = send_change (options, client, &change, io);
out:
  talloc_free (ctx);
  return exit_code;
}

static uint64_t
service_revision (const json_t *body, const char *name)
{
  const json_t *services = json_object_get (body, "services");

  for (size_t i = 0; i < json_array_size (services); i++)
    {
      const json_t *service = json_array_get (services, i);
      const char *listed = json_string_value (json_object_get (service, "name"));

      if (listed != NULL && strcmp (listed, name) == 0)
        return (uint64_t)json_integer_value (json_object_get (service, "revision"));
    }
  return 0;
}

/* Without --expect the current revision is read first, so that one of two concurrent changes fails
 * with a conflict. */
static int
set_service (const struct ChangeOptions *options,
             const char *name,
             const char *profile,
             const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct OperatorClient *client = ctl_client_new (ctx, &options->ctl, io);
  const struct ChangeTarget target = {
    .kind = "service", .name = name, .text = profile, .has_expected_revision = true
  };
  struct ChangeRequest change;
  const json_t *services;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL || !change_request_init (options, &target, &change, io))
    goto out;
  if (options->expect->count == 0)
    {
      services = read_current_state (ctx, options, client, "/operator/services", io, &exit_code);
      if (services == NULL)
        goto out;
      change.expected_revision = service_revision (services, name);
    }
  exit_code = send_change (options, client, &change, io);
out:
  talloc_free (ctx);
  return exit_code;
}

/* Draining a mistyped name would be accepted but drain no instance, and the operator might stop an
 * instance that is still serving. --off accepts any name, since its instance may no longer run. */
static bool
is_listed_instance (const json_t *body, const char *name, const struct CommandIo *io)
{
  const json_t *instances = json_object_get (body, "instances");

  for (size_t i = 0; i < json_array_size (instances); i++)
    {
      const json_t *instance = json_array_get (instances, i);
      const char *listed = json_string_value (json_object_get (instance, "instance"));

      if (listed != NULL && strcmp (listed, name) == 0)
        return true;
    }
  fprintf (io->err, "no instance '%s'; see 'buckthornhead ctl instances'\n", name);
  return false;
}

static int
set_drain (const struct ChangeOptions *options,
           const char *instance,
           bool off,
           const struct CommandIo *io)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct OperatorClient *client = ctl_client_new (ctx, &options->ctl, io);
  const struct ChangeTarget target = {
    .kind = "drain", .name = instance, .text = off ? "off" : "on", .has_expected_revision = false
  };
  struct ChangeRequest change;
  const json_t *instances;
  int exit_code = EXIT_CODE_USAGE;

  if (client == NULL || !change_request_init (options, &target, &change, io))
    goto out;
  if (!off)
    {
      instances = read_current_state (ctx, options, client, "/operator/instances", io, &exit_code);
      if (instances == NULL || !is_listed_instance (instances, instance, io))
        goto out;
    }
  exit_code = send_change (options, client, &change, io);
out:
  talloc_free (ctx);
  return exit_code;
}

static bool
parse_change (const struct CtlCommand *command,
              const struct ChangeOptions *options,
              void **argtable,
              int argc,
              char **argv,
              const struct CommandIo *io,
              int *exit_code)
{
  char name[COMMAND_NAME_BYTES];
  struct CommandUsage usage = { name, command->summary };

  snprintf (name, sizeof name, "buckthornhead ctl %s", command->name);
  return command_parse (&usage, &options->ctl.standard, argtable, argc, argv, io, exit_code);
}

#define CHANGE_ARGUMENTS(options)                                                                  \
  (options).ctl.addresses, (options).ctl.token_file, (options).ctl.json, (options).reason,         \
      (options).who, (options).expect, (options).change_id, (options).settle,                      \
      (options).ctl.standard.help, (options).ctl.standard.version

int
ctl_run_profile_apply (const struct CtlCommand *command,
                       int argc,
                       char **argv,
                       const struct CommandIo *io)
{
  struct ChangeOptions options = { 0 };
  bool complete = change_options_new (&options);
  struct arg_file *file = arg_file1 (NULL, NULL, "FILE", "the profile's INI file");
  void *argtable[] = { CHANGE_ARGUMENTS (options), file, options.ctl.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && parse_change (command, &options, argtable, argc, argv, io, &exit_code))
    exit_code = apply_profile (&options, file->filename[0], io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

int
ctl_run_service_set (const struct CtlCommand *command,
                     int argc,
                     char **argv,
                     const struct CommandIo *io)
{
  struct ChangeOptions options = { 0 };
  bool complete = change_options_new (&options);
  struct arg_str *profile =
      arg_str1 (NULL, "profile", "PROFILE", "profile to run the service under");
  struct arg_str *name = arg_str1 (NULL, NULL, "SERVICE", "agent or application service");
  void *argtable[] = { CHANGE_ARGUMENTS (options), profile, name, options.ctl.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && parse_change (command, &options, argtable, argc, argv, io, &exit_code))
    exit_code = set_service (&options, name->sval[0], profile->sval[0], io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}

int
ctl_run_drain (const struct CtlCommand *command, int argc, char **argv, const struct CommandIo *io)
{
  struct ChangeOptions options = { 0 };
  bool complete = change_options_new (&options);
  struct arg_lit *off = arg_lit0 (NULL, "off", "return the instance to service");
  struct arg_str *instance = arg_str1 (NULL, NULL, "INSTANCE", "name of the instance");
  void *argtable[] = { CHANGE_ARGUMENTS (options), off, instance, options.ctl.standard.end };
  int exit_code = EXIT_CODE_FAILED;

  if (complete && parse_change (command, &options, argtable, argc, argv, io, &exit_code))
    exit_code = set_drain (&options, instance->sval[0], off->count > 0, io);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return exit_code;
}
