#include "test_main.h"

#include "fakes/ctl_run.h"

#include <stdlib.h>
#include <string.h>

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
test_status_prints_one_screen (void)
{
  static const struct FakeReply replies[] = { { 200, status_json }, { 0, NULL } };
  struct CtlRun *r = run_ctl (replies, "ctl --operator @ status");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, status_screen);
  CU_ASSERT_STRING_EQUAL (r->err, "");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/status\n");
  talloc_free (r);
}

static void
test_server_text_cannot_control_the_terminal (void)
{
  static const struct FakeReply replies[] = {
    { 200, "{\"name\":\"a\",\"revision\":3,\"text\":\"[profile]\\u001b[2J\\nname = a\\n\"}" },
    { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl profile show a/b --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, "; revision 3\n[profile]?[2J\nname = a\n");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/profiles/a%2Fb\n");
  talloc_free (r);
}

static void
test_json_is_printed_unchanged (void)
{
  static const struct FakeReply replies[] = {
    { 200, "{\"services\":[{\"name\":\"hiring-agents\",\"profile\":\"hiring\"}]}" }, { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl --json service list --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, "{\n  \"services\": [\n    {\n      \"name\": \"hiring-agents\","
                                  "\n      \"profile\": \"hiring\"\n    }\n  ]\n}\n");
  talloc_free (r);
}

static void
test_lists_are_printed_as_tables (void)
{
  static const struct FakeReply replies[] = {
    { 200, "{\"changes\":[{\"revision\":7,\"kind\":\"service\",\"name\":\"menu-agents\","
           "\"who\":\"asha\",\"when_unix_ms\":1796200000000,\"reason\":\"dawn\","
           "\"change_id\":\"c-1\",\"before\":\"menu\",\"after\":\"hiring\"},"
           "{\"revision\":8,\"kind\":\"profile\",\"name\":\"menu-agents\"}]}" },
    { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl audit --kind service --name menu-agents --operator @");

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
  struct CtlRun *r = run_ctl (list, "ctl programs --service menu-agents --limit 1 --operator @");

  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/programs?limit=1&service=menu-agents\n");
  CU_ASSERT (text_contains (r->out, "\np-1      -        running")
             && !text_contains (r->out, "p-2"));
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
test_unreachable_exits_with_4_and_the_next_instance_is_tried (void)
{
  static const struct FakeReply replies[] = { { 200, "{\"backends\":[]}" }, { 0, NULL } };
  struct CtlRun *r = run_ctl (replies, "ctl --operator " CTL_UNREACHABLE_ADDRESS " backends");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_UNREACHABLE);
  CU_ASSERT (text_contains (r->err, "unreachable: " CTL_UNREACHABLE_ADDRESS));
  CU_ASSERT_STRING_EQUAL (r->log, "");
  talloc_free (r);
  r = run_ctl (replies, "ctl --operator " CTL_UNREACHABLE_ADDRESS " --operator @ backends");
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/backends\n");
  talloc_free (r);
}

static void
test_errors_have_their_exit_codes (void)
{
  static const struct
  {
    struct FakeReply replies[2];
    int exit_code;
  } cases[] = {
    { { { 400, "{\"error\":{\"kind\":\"invalid\",\"message\":\"m\",\"remedy\":\"r\"}}" } }, 2 },
    { { { 400, "" } }, 2 },
    { { { 401, "" } }, 1 },
    { { { 404, CTL_NOT_FOUND } }, 1 },
    { { { 409, "{}" } }, 3 },
    { { { 503, CTL_PLATFORM_DOWN } }, 1 },
    { { { 500, "<html>" } }, 1 },
    { { { 200, "<html>" } }, 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct CtlRun *r = run_ctl (cases[i].replies, "ctl profile list --operator @");

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
  struct CtlRun *r;

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

/* A failed request must not end the watch, so that operators see the end of an outage. */
static void
test_watch_continues_after_a_failure (void)
{
  static const struct FakeReply replies[] = {
    { 503, CTL_PLATFORM_DOWN }, { 200, status_json }, { 200, "{}" }, { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl watch --every 1ms --count 3 --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (text_contains (r->err, "platform_down: no answer; wait"));
  CU_ASSERT_STRING_EQUAL (r->log,
                          "GET /operator/status\nGET /operator/status\nGET /operator/status\n");
  talloc_free (r);
}

static void
test_invalid_command_lines_exit_with_2_and_send_nothing (void)
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
      struct CtlRun *r = run_ctl (replies, lines[i]);

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
      struct CtlRun *r;

      snprintf (line, sizeof line, "%s --help", commands[i]);
      r = run_ctl (replies, line);
      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
      CU_ASSERT (text_contains (r->out, "Usage: buckthornhead ctl"));
      talloc_free (r);
      snprintf (line, sizeof line, "%s --version", commands[i]);
      r = run_ctl (replies, line);
      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
      CU_ASSERT_STRING_EQUAL (r->out, "buckthornhead " PRODUCT_VERSION "\n");
      talloc_free (r);
    }
}

const char test_suite_name[] = "ctl";
const struct TestCase test_cases[] = {
  { "status prints one screen", test_status_prints_one_screen },
  { "server text cannot control the terminal", test_server_text_cannot_control_the_terminal },
  { "JSON is printed unchanged", test_json_is_printed_unchanged },
  { "lists are printed as tables", test_lists_are_printed_as_tables },
  { "programs and counters", test_programs_and_counters },
  { "unreachable exits with 4 and the next instance is tried",
    test_unreachable_exits_with_4_and_the_next_instance_is_tried },
  { "errors have their exit codes", test_errors_have_their_exit_codes },
  { "token is sent", test_token_is_sent },
  { "watch continues after a failure", test_watch_continues_after_a_failure },
  { "invalid command lines exit with 2 and send nothing",
    test_invalid_command_lines_exit_with_2_and_send_nothing },
  { "every command has help and version", test_every_command_has_help_and_version },
  { NULL, NULL },
};
