#include "test_main.h"

#include "fakes/fake_operator.h"

#include <command.h>

#include <stdlib.h>
#include <string.h>

enum
{
  ARGUMENTS_MAX = 32,
  ID_BYTES = 36
};

#define NOT_FOUND "{\"error\":{\"kind\":\"not_found\",\"message\":\"no such\",\"remedy\":\"look\"}}"
#define PLATFORM_DOWN                                                                              \
  "{\"error\":{\"kind\":\"platform_down\",\"message\":\"no answer\",\"remedy\":\"wait\"}}"
#define INSTANCES "{\"instances\":[{\"instance\":\"entry-1\"},{\"instance\":\"entry-4\"}]}"
#define NOWHERE "127.0.0.1:1" /* nobody listens there */

/* One run of ctl before a fake. */
struct Run
{
  struct FakeOperator *fake;
  int exit_code;
  char *out, *err;
  char *log; /* with each change id written as ID */
};

/* The words of line as argv, "@" standing for the fake's address; words are parted by one space. */
static int
split (TALLOC_CTX *ctx, const char *line, const char *address, char *argv[ARGUMENTS_MAX])
{
  char *copy = talloc_strdup (ctx, line);
  char *rest = NULL;
  int n = 0;

  for (char *word = strtok_r (copy, " ", &rest); word != NULL && n < ARGUMENTS_MAX - 1;
       word = strtok_r (NULL, " ", &rest))
    argv[n++] = strcmp (word, "@") == 0 ? talloc_strdup (ctx, address) : word;
  argv[n] = NULL;
  return n;
}

static void
hide_ids (char *log, const char *err)
{
  const char *id = err != NULL ? strstr (err, "change id ") : NULL;
  char text[ID_BYTES + 1];

  if (id == NULL)
    return;
  snprintf (text, sizeof text, "%s", id + strlen ("change id "));
  for (char *c = strstr (log, text); c != NULL; c = strstr (log, text))
    {
      memmove (c + 2, c + ID_BYTES, strlen (c + ID_BYTES) + 1);
      memcpy (c, "ID", 2);
    }
}

static void
take_output (TALLOC_CTX *ctx, char **text)
{
  char *copy = talloc_strdup (ctx, *text != NULL ? *text : "");

  free (*text);
  *text = copy;
}

static struct Run *
run (const struct FakeReply *replies, CommandFn command, const char *line)
{
  struct Run *r = talloc_zero (NULL, struct Run);
  char *argv[ARGUMENTS_MAX];
  struct CommandIo io;
  size_t out_bytes;
  size_t err_bytes;
  int argc;

  setenv ("USER", "asha", 1);
  r->fake = fake_operator_new (r, replies);
  CU_ASSERT_PTR_NOT_NULL_FATAL (r->fake);
  argc = split (r, line, fake_operator_address (r->fake), argv);
  io.out = open_memstream (&r->out, &out_bytes);
  io.err = open_memstream (&r->err, &err_bytes);
  r->exit_code = command (argc, argv, &io);
  fclose (io.out);
  fclose (io.err);
  take_output (r, &r->out);
  take_output (r, &r->err);
  r->log = fake_operator_log (r->fake, r);
  hide_ids (r->log, r->err);
  return r;
}

static struct Run *
run_ctl (const struct FakeReply *replies, const char *line)
{
  return run (replies, command_ctl, line);
}

static bool
contains (const char *text, const char *part)
{
  return text != NULL && strstr (text, part) != NULL;
}

static const char status_json[] =
    "{\"instances\":[{\"instance\":\"entry-1\",\"incarnation\":\"entry-1.4\",\"zone\":\"malda\","
    "\"state\":\"serving\",\"config_revision\":41,\"partitions\":8,\"programs\":120,"
    "\"in_flight\":7,\"waiting\":0,\"platform_up\":true,\"suspected\":false},"
    "{\"instance\":\"entry-4\",\"incarnation\":\"entry-4.2\",\"zone\":\"muzaffar-hall\","
    "\"state\":\"draining\",\"config_revision\":40,\"partitions\":0,\"programs\":3,"
    "\"in_flight\":1,\"waiting\":2,\"platform_up\":false,\"suspected\":true}],"
    "\"outcomes\":{\"created\":500,\"done\":360,\"cancelled\":9,\"over_budget\":2,\"late\":6,"
    "\"refused\":14,\"may_have_run\":1,\"program_ms_mean\":34250,\"prefix_tokens\":200000,"
    "\"cached_tokens\":150000},\"config_revision\":41,\"oldest_revision\":40,"
    "\"attention\":[{\"what\":\"1 call may have run\",\"remedy\":\"ask the service\"}]}";

static const char status_screen[] =
    "Programs       created 500, finished 360, late 6, over budget 2, cancelled 9\n"
    "Calls          refused 14 (not run), may have run 1\n"
    "Latency        34.2 s a program, mean\n"
    "Wasted cache   25.0% of the prompt tokens were not found cached\n"
    "Configuration  revision 41 in force on 1 of 2 instances, the oldest is 40\n"
    "Platform       up for 1 of 2 instances\n"
    "Draining       entry-4\n"
    "\n"
    "INSTANCE  ZONE           STATE     REVISION  PARTITIONS  PROGRAMS  IN FLIGHT  WAITING  "
    "PLATFORM  SUSPECTED\n"
    "entry-1   malda          serving         41           8       120          7        0  "
    "yes       no\n"
    "entry-4   muzaffar-hall  draining        40           0         3          1        2  "
    "no        yes\n"
    "\n"
    "Needs a person:\n"
    "  - 1 call may have run; ask the service\n";

static void
test_status_is_one_screen (void)
{
  static const struct FakeReply replies[] = { { 200, status_json }, { 0, NULL } };
  struct Run *r = run_ctl (replies, "ctl --operator @ status");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, status_screen);
  CU_ASSERT_STRING_EQUAL (r->err, "");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/status\n");
  talloc_free (r);
}

static void
test_text_of_a_server_can_not_steer_the_terminal (void)
{
  static const struct FakeReply replies[] = {
    { 200, "{\"name\":\"a\",\"revision\":3,\"text\":\"[profile]\\u001b[2J\\nname = a\\n\"}" },
    { 0, NULL }
  };
  struct Run *r = run_ctl (replies, "ctl profile show a/b --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, "; revision 3\n[profile]?[2J\nname = a\n");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/profiles/a%2Fb\n");
  talloc_free (r);
}

static void
test_json_is_printed_as_it_came (void)
{
  static const struct FakeReply replies[] = {
    { 200, "{\"services\":[{\"name\":\"hiring-agents\",\"profile\":\"hiring\"}]}" }, { 0, NULL }
  };
  struct Run *r = run_ctl (replies, "ctl --json service list --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, "{\n  \"services\": [\n    {\n      \"name\": \"hiring-agents\","
                                  "\n      \"profile\": \"hiring\"\n    }\n  ]\n}\n");
  talloc_free (r);
}

static void
test_lists_are_tables (void)
{
  static const struct FakeReply replies[] = {
    { 200, "{\"changes\":[{\"revision\":7,\"kind\":\"service\",\"name\":\"menu-agents\","
           "\"who\":\"asha\",\"when_unix_ms\":1796200000000,\"reason\":\"dawn\","
           "\"change_id\":\"c-1\",\"before\":\"menu\",\"after\":\"hiring\"},"
           "{\"revision\":8,\"kind\":\"profile\",\"name\":\"menu-agents\"}]}" },
    { 0, NULL }
  };
  struct Run *r = run_ctl (replies, "ctl audit --kind service --name menu-agents --operator @");

  CU_ASSERT_STRING_EQUAL (
      r->out, "REVISION  WHEN                  WHO   KIND     NAME         CHANGE  REASON\n"
              "       7  2026-12-02T08:26:40Z  asha  service  menu-agents  c-1     dawn\n"
              "\nrevision 7\n  before:\n    menu\n  after:\n    hiring\n");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/audit?kind=service&name=menu-agents\n");
  talloc_free (r);
}

static void
test_programs_and_counters (void)
{
  static const struct FakeReply list[] = {
    { 200, "{\"programs\":[{\"program\":\"p-1\",\"state\":\"running\"},"
           "{\"program\":\"p-2\"}]}" },
    { 0, NULL }
  };
  static const struct FakeReply one[] = {
    { 200, "{\"program\":\"p-1\",\"branches\":[{\"branch\":\"main\"}]}" }, { 0, NULL }
  };
  static const struct FakeReply metrics[] = {
    { 200, "# HELP a_total A.\n# TYPE a_total counter\na_total 3\nb 0\n" }, { 0, NULL }
  };
  struct Run *r = run_ctl (list, "ctl programs --service menu-agents --limit 1 --operator @");

  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/programs?limit=1&service=menu-agents\n");
  CU_ASSERT (contains (r->out, "\np-1      -        running") && !contains (r->out, "p-2"));
  talloc_free (r);
  r = run_ctl (one, "ctl programs p-1 --operator @");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/programs/p-1\n");
  CU_ASSERT_STRING_EQUAL (r->out, "program: p-1\nbranches: [{\"branch\":\"main\"}]\n");
  talloc_free (r);
  r = run_ctl (metrics, "ctl counters --json --operator @");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /metrics\n");
  CU_ASSERT_STRING_EQUAL (r->out, "{\n  \"a_total\": 3,\n  \"b\": 0\n}\n");
  talloc_free (r);
}

static void
test_unreachable_is_4_and_the_next_instance_is_tried (void)
{
  static const struct FakeReply replies[] = { { 200, "{\"backends\":[]}" }, { 0, NULL } };
  struct Run *r = run_ctl (replies, "ctl --operator " NOWHERE " backends");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_UNREACHABLE);
  CU_ASSERT (contains (r->err, "unreachable: " NOWHERE));
  CU_ASSERT_STRING_EQUAL (r->log, "");
  talloc_free (r);
  r = run_ctl (replies, "ctl --operator " NOWHERE " --operator @ backends");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/backends\n");
  talloc_free (r);
}

#define APPLY "ctl profile apply " SOURCE_FOLDER "/examples/hiring.ini --operator @"

static void
test_apply_sends_what_was_seen (void)
{
  static const struct FakeReply replies[] = { { 200, "{\"revision\":42}" }, { 0, NULL } };
  struct Run *r = run_ctl (replies, APPLY " --reason dawn --expect 41 --json");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->out, "{\"revision\":42,\"change_id\":\""));
  CU_ASSERT (contains (r->log, "POST /operator/changes {\"kind\":\"profile\",\"name\":\"hiring\","
                               "\"text\":\"; Hiring agents"));
  CU_ASSERT (contains (r->log, "\"change_id\":\"ID\",\"who\":\"asha\",\"reason\":\"dawn\","
                               "\"expected_revision\":41}\n"));
  talloc_free (r);
  r = run_ctl (replies, APPLY);
  CU_ASSERT (contains (r->log, "\"expected_revision\":0}\n"));
  CU_ASSERT_STRING_EQUAL (r->out, "profile hiring: revision 42\n");
  talloc_free (r);
  r = run_ctl (replies, APPLY " --expect any --change-id again-7");
  CU_ASSERT (contains (r->log, "\"change_id\":\"again-7\",\"who\":\"asha\",\"reason\":\"\"}\n"));
  talloc_free (r);
}

/* What `profile show` prints is edited and applied: the revision that was shown goes with it, so
 * that a change which came in between is not overwritten unseen, and the mark is not kept. */
static void
test_shown_profile_carries_its_revision (void)
{
  static const struct FakeReply shown[] = {
    { 200, "{\"name\":\"a\",\"revision\":41,\"text\":\"[profile]\\nname = a\\n\"}" }, { 0, NULL }
  };
  static const struct FakeReply applied[] = { { 200, "{\"revision\":42}" }, { 0, NULL } };
  char file[] = "/tmp/buckthornhead-profile-XXXXXX";
  FILE *stream = fdopen (mkstemp (file), "w");
  struct Run *r = run_ctl (shown, "ctl profile show a --operator @");
  char line[128];

  CU_ASSERT_PTR_NOT_NULL_FATAL (stream);
  fputs (r->out, stream);
  fclose (stream);
  talloc_free (r);
  snprintf (line, sizeof line, "ctl profile apply %s --operator @", file);
  r = run_ctl (applied, line);
  remove (file);
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->log, "\"text\":\"[profile]\\nname = a\\n\""));
  CU_ASSERT (contains (r->log, "\"expected_revision\":41}\n"));
  talloc_free (r);
}

/* Two shifts edit one profile. The second one's change was made from a text that is no longer in
 * force; applied, it would undo the first one's unseen. The operator is told what differs. */
static void
test_conflict_is_3_and_says_what_differs (void)
{
  static const struct FakeReply replies[] = {
    { 409, "{\"error\":{\"kind\":\"conflict\",\"message\":\"revision 9 came first\","
           "\"remedy\":\"look at it\",\"differs\":\"- share = 10\\n+ share = 20\"}}" },
    { 0, NULL }
  };
  struct Run *r = run_ctl (replies, APPLY " --expect 8");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_CONFLICT);
  CU_ASSERT (contains (r->err, "conflict: revision 9 came first; look at it\n"
                               "what differs:\n- share = 10\n+ share = 20\n"));
  talloc_free (r);
}

/* An operator applies a profile. The instance writes it and dies before it answers. The operator
 * must neither hear "failed" nor apply it twice: ctl asks by the change id and hears the revision.
 */
static void
test_lost_answer_is_settled_by_change_id (void)
{
  static const struct FakeReply replies[] = {
    { 200, INSTANCES }, { 0, "" }, { 200, "{\"revision\":43}" }, { 0, NULL }
  };
  struct Run *r = run_ctl (replies, "ctl drain entry-4 --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, "drain entry-4: revision 43\n");
  CU_ASSERT_STRING_EQUAL (r->log,
                          "GET /operator/instances\n"
                          "POST /operator/changes {\"kind\":\"drain\",\"name\":\"entry-4\","
                          "\"text\":\"on\",\"change_id\":\"ID\",\"who\":\"asha\",\"reason\":\"\"}\n"
                          "GET /operator/changes/ID\n");
  talloc_free (r);
}

/* As before, but the instance died before it wrote the change: nobody knows the id, and the same
 * change goes out again under the same id. */
static void
test_lost_change_is_sent_again_under_its_id (void)
{
  static const struct FakeReply replies[] = {
    { 0, "" }, { 404, NOT_FOUND }, { 200, "{\"revision\":43}" }, { 0, NULL }
  };
  struct Run *r = run_ctl (replies, "ctl drain entry-4 --off --operator @");
  const char *second;

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->log, "GET /operator/changes/ID\nPOST /operator/changes {"));
  second = strstr (r->log, "GET ");
  CU_ASSERT (contains (second, "\"text\":\"off\",\"change_id\":\"ID\""));
  talloc_free (r);
}

/* The answer is lost and the platform is down for longer than the operator waits. A later try that
 * says "refused, not applied" speaks of that try alone: the first may still have taken effect, so
 * the exit code is 5, and the operator gets the id to ask with. */
static void
test_unsettled_change_is_5_whatever_later_tries_say (void)
{
  static const struct FakeReply down[] = {
    { 200, INSTANCES }, { 0, "" }, { 404, NOT_FOUND }, { 503, PLATFORM_DOWN }, { 0, NULL }
  };
  static const struct FakeReply silent[] = {
    { 200, INSTANCES }, { 0, "" }, { 0, "" }, { 0, NULL }
  };
  static const struct FakeReply said[] = {
    { 200, INSTANCES },
    { 503, "{\"error\":{\"kind\":\"unknown_effect\",\"message\":\"m\",\"remedy\":\"r\"}}" },
    { 503, PLATFORM_DOWN },
    { 0, NULL }
  };
  const struct FakeReply *const scripts[] = { down, silent, said };

  for (size_t i = 0; i < sizeof scripts / sizeof scripts[0]; i++)
    {
      struct Run *r = run_ctl (scripts[i], "ctl drain entry-4 --settle 0ms --operator @");

      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_EFFECT_UNKNOWN);
      CU_ASSERT (contains (r->err, "ask again with: buckthornhead ctl change "));
      talloc_free (r);
    }
}

/* An operator means entry-4, types entry-5 and stops entry-4 as soon as the drain is "done": its
 * programs move only then, and slower. An unknown name is refused and nothing is sent. */
static void
test_drain_of_an_unknown_instance_is_2 (void)
{
  static const struct FakeReply replies[] = { { 200, INSTANCES }, { 0, NULL } };
  struct Run *r = run_ctl (replies, "ctl drain entry-5 --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  CU_ASSERT_STRING_EQUAL (r->err, "no instance 'entry-5'; see 'buckthornhead ctl instances'\n");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/instances\n");
  talloc_free (r);
}

/* A change that reached nobody is not "unknown": exit code 4, and nobody is asked about it. */
static void
test_change_that_never_left_is_4 (void)
{
  static const struct FakeReply replies[] = { { 0, NULL } };
  struct Run *r = run_ctl (replies, "ctl drain entry-4 --off --operator " NOWHERE);

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_UNREACHABLE);
  talloc_free (r);
}

static void
test_service_set_names_the_revision_it_read (void)
{
  static const struct FakeReply known[] = {
    { 200, "{\"services\":[{\"name\":\"menu-agents\",\"profile\":\"menu\",\"revision\":5}]}" },
    { 200, "{\"revision\":6}" },
    { 0, NULL }
  };
  struct Run *r = run_ctl (known, "ctl service set menu-agents --profile hiring --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->log, "GET /operator/services\nPOST /operator/changes {\"kind\":"
                               "\"service\",\"name\":\"menu-agents\",\"text\":\"hiring\""));
  CU_ASSERT (contains (r->log, "\"expected_revision\":5}\n"));
  talloc_free (r);
  r = run_ctl (known, "ctl service set kitchen-api --profile menu --operator @");
  CU_ASSERT (contains (r->log, "\"expected_revision\":0}\n"));
  talloc_free (r);
}

static void
test_refusals_have_their_exit_codes (void)
{
  static const struct
  {
    struct FakeReply replies[2];
    int exit_code;
  } cases[] = {
    { { { 400, "{\"error\":{\"kind\":\"invalid\",\"message\":\"m\",\"remedy\":\"r\"}}" } }, 2 },
    { { { 400, "" } }, 2 },
    { { { 401, "" } }, 1 },
    { { { 404, NOT_FOUND } }, 1 },
    { { { 409, "{}" } }, 3 },
    { { { 503, PLATFORM_DOWN } }, 1 },
    { { { 500, "<html>" } }, 1 },
    { { { 200, "<html>" } }, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct Run *r = run_ctl (cases[i].replies, "ctl profile list --operator @");

      CU_ASSERT_EQUAL (r->exit_code, cases[i].exit_code);
      CU_ASSERT_NOT_EQUAL (strlen (r->err), 0);
      talloc_free (r);
    }
}

static void
test_token_is_sent (void)
{
  static const struct FakeReply replies[] = { { 200, "{\"profiles\":[]}" }, { 0, NULL } };
  char file[] = "/tmp/buckthornhead-token-XXXXXX";
  int fd = mkstemp (file);
  FILE *stream = fdopen (fd, "w");
  char line[128];
  struct Run *r;

  CU_ASSERT_PTR_NOT_NULL_FATAL (stream);
  fputs ("s3cret\n", stream);
  fclose (stream);
  snprintf (line, sizeof line, "ctl --token-file %s profile list --operator @", file);
  r = run_ctl (replies, line);
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/profiles (Bearer s3cret)\n");
  talloc_free (r);
  remove (file);
  r = run_ctl (replies, line);
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  CU_ASSERT_STRING_EQUAL (r->log, "");
  talloc_free (r);
}

/* Whoever watches through an outage wants to see its end: a failed look does not end the watch. */
static void
test_watch_goes_on_after_a_failure (void)
{
  static const struct FakeReply replies[] = {
    { 503, PLATFORM_DOWN }, { 200, status_json }, { 200, "{}" }, { 0, NULL }
  };
  struct Run *r = run_ctl (replies, "ctl watch --every 1ms --count 3 --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->err, "platform_down: no answer; wait"));
  CU_ASSERT_STRING_EQUAL (r->log,
                          "GET /operator/status\nGET /operator/status\nGET /operator/status\n");
  talloc_free (r);
}

static void
test_wrong_command_lines_are_2_and_send_nothing (void)
{
  static const char apply_settings[] =
      "ctl profile apply " SOURCE_FOLDER "/examples/alergomeni.ini --operator @";
  static const char *const lines[] = {
    "ctl",
    "ctl bogus",
    "ctl profile",
    "ctl profile show",
    "ctl status extra --operator @",
    "ctl status --operator localhost:8701",
    "ctl drain --operator @",
    "ctl drain ../x --operator @",
    "ctl drain entry-1 --expect soon --operator @",
    "ctl drain entry-1 --settle 5 --operator @",
    "ctl drain entry-1 --change-id a/b --operator @",
    "ctl service set menu-agents --operator @",
    "ctl watch --every 2 --operator @",
    "ctl profile apply /nonexistent.ini --operator @",
    apply_settings,
  };
  static const struct FakeReply replies[] = { { 0, NULL } };

  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    {
      struct Run *r = run_ctl (replies, lines[i]);

      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
      CU_ASSERT_NOT_EQUAL (strlen (r->err), 0);
      CU_ASSERT_STRING_EQUAL (r->log, "");
      talloc_free (r);
    }
}

static void
test_every_command_has_help_and_version (void)
{
  static const char *const commands[] = {
    "ctl",
    "ctl status",
    "ctl watch",
    "ctl instances",
    "ctl backends",
    "ctl programs",
    "ctl profile list",
    "ctl profile show",
    "ctl profile apply",
    "ctl profile history",
    "ctl service list",
    "ctl service set",
    "ctl drain",
    "ctl audit",
    "ctl change",
    "ctl counters",
  };
  static const struct FakeReply replies[] = { { 0, NULL } };

  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      char line[64];
      struct Run *r;

      snprintf (line, sizeof line, "%s --help", commands[i]);
      r = run_ctl (replies, line);
      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
      CU_ASSERT (contains (r->out, "Usage: buckthornhead ctl"));
      talloc_free (r);
      snprintf (line, sizeof line, "%s --version", commands[i]);
      r = run_ctl (replies, line);
      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
      CU_ASSERT_STRING_EQUAL (r->out, "buckthornhead " PRODUCT_VERSION "\n");
      talloc_free (r);
    }
}

static void
test_check_config_tells_settings_from_profiles (void)
{
  static const struct FakeReply replies[] = { { 0, NULL } };
  struct Run *r = run (replies, command_check_config,
                       "check-config " SOURCE_FOLDER "/examples/hiring.ini " SOURCE_FOLDER
                       "/examples/alergomeni.ini");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->out, "alergomeni.ini: sound\n"));
  talloc_free (r);
  r = run (replies, command_check_config, "check-config /dev/null /nonexistent.ini");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  CU_ASSERT (contains (r->err, "/dev/null:1: [platform] kv: the key is missing; add it\n"
                               "/nonexistent.ini:1: No such file"));
  talloc_free (r);
  r = run (replies, command_check_config, "check-config");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  talloc_free (r);
  r = run (replies, command_check_config, "check-config --help");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  talloc_free (r);
}

static int
run_named (int argc, char **argv, const struct CommandIo *io)
{
  fprintf (io->out, "%s of %d\n", argv[0], argc);
  return EXIT_CODE_CONFLICT;
}

static int
run_table (int argc, char **argv, const struct CommandIo *io)
{
  static const struct Command table[] = { { "named", "is run", run_named }, { NULL, NULL, NULL } };

  return command_dispatch (table, argc, argv, io);
}

static void
test_table_dispatches (void)
{
  static const struct
  {
    const char *line;
    int exit_code;
    const char *out;
  } cases[] = {
    { "buckthornhead named a b", EXIT_CODE_CONFLICT, "named of 3\n" },
    { "buckthornhead --version", EXIT_CODE_OK, "buckthornhead " PRODUCT_VERSION "\n" },
    { "buckthornhead --help", EXIT_CODE_OK, "Usage: buckthornhead COMMAND" },
    { "buckthornhead", EXIT_CODE_USAGE, "" },
    { "buckthornhead other", EXIT_CODE_USAGE, "" },
  };
  static const struct FakeReply replies[] = { { 0, NULL } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct Run *r = run (replies, run_table, cases[i].line);

      CU_ASSERT_EQUAL (r->exit_code, cases[i].exit_code);
      CU_ASSERT (contains (r->out, cases[i].out));
      talloc_free (r);
    }
}

const char test_suite_name[] = "ctl";
const struct TestCase test_cases[] = {
  { "status is one screen", test_status_is_one_screen },
  { "text of a server can not steer the terminal",
    test_text_of_a_server_can_not_steer_the_terminal },
  { "JSON is printed as it came", test_json_is_printed_as_it_came },
  { "lists are tables", test_lists_are_tables },
  { "programs and counters", test_programs_and_counters },
  { "unreachable is 4 and the next instance is tried",
    test_unreachable_is_4_and_the_next_instance_is_tried },
  { "apply sends what was seen", test_apply_sends_what_was_seen },
  { "shown profile carries its revision", test_shown_profile_carries_its_revision },
  { "conflict is 3 and says what differs", test_conflict_is_3_and_says_what_differs },
  { "lost answer is settled by change id", test_lost_answer_is_settled_by_change_id },
  { "lost change is sent again under its id", test_lost_change_is_sent_again_under_its_id },
  { "unsettled change is 5 whatever later tries say",
    test_unsettled_change_is_5_whatever_later_tries_say },
  { "drain of an unknown instance is 2", test_drain_of_an_unknown_instance_is_2 },
  { "change that never left is 4", test_change_that_never_left_is_4 },
  { "service set names the revision it read", test_service_set_names_the_revision_it_read },
  { "refusals have their exit codes", test_refusals_have_their_exit_codes },
  { "token is sent", test_token_is_sent },
  { "watch goes on after a failure", test_watch_goes_on_after_a_failure },
  { "wrong command lines are 2 and send nothing", test_wrong_command_lines_are_2_and_send_nothing },
  { "every command has help and version", test_every_command_has_help_and_version },
  { "check-config tells settings from profiles", test_check_config_tells_settings_from_profiles },
  { "table dispatches", test_table_dispatches },
  { NULL, NULL },
};
