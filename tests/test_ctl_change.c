#include "test_main.h"

#include "fakes/ctl_run.h"

#include <stdlib.h>
#include <string.h>

#define INSTANCES "{\"instances\":[{\"instance\":\"entry-1\"},{\"instance\":\"entry-4\"}]}"
#define APPLY "ctl profile apply " SOURCE_FOLDER "/examples/hiring.ini --operator @"

static void
test_apply_sends_the_expected_revision (void)
{
  static const struct FakeReply replies[] = { { 200, "{\"revision\":42}" }, { 0, NULL } };
  struct CtlRun *r = run_ctl (replies, APPLY " --reason dawn --expect 41 --json");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (text_contains (r->out, "{\"revision\":42,\"change_id\":\""));
  CU_ASSERT (text_contains (r->log,
                            "POST /operator/changes {\"kind\":\"profile\",\"name\":\"hiring\","
                            "\"text\":\"; Hiring agents"));
  CU_ASSERT (text_contains (r->log, "\"change_id\":\"ID\",\"who\":\"asha\",\"reason\":\"dawn\","
                                    "\"expected_revision\":41}\n"));
  talloc_free (r);
  r = run_ctl (replies, APPLY);
  CU_ASSERT (text_contains (r->log, "\"expected_revision\":0}\n"));
  CU_ASSERT_STRING_EQUAL (r->out, "profile hiring: revision 42\n");
  talloc_free (r);
  r = run_ctl (replies, APPLY " --expect any --change-id again-7");
  CU_ASSERT (
      text_contains (r->log, "\"change_id\":\"again-7\",\"who\":\"asha\",\"reason\":\"\"}\n"));
  talloc_free (r);
}

/* The output of `profile show` is edited and applied. The change must expect the revision that was
 * shown, so that it does not silently overwrite a change made in between, and the comment with the
 * revision must not become part of the profile. */
static void
test_shown_profile_is_applied_against_its_revision (void)
{
  static const struct FakeReply shown[] = {
    { 200, "{\"name\":\"a\",\"revision\":41,\"text\":\"[profile]\\nname = a\\n\"}" }, { 0, NULL }
  };
  static const struct FakeReply applied[] = { { 200, "{\"revision\":42}" }, { 0, NULL } };
  char file[] = "/tmp/buckthornhead-profile-XXXXXX";
  FILE *stream = fdopen (mkstemp (file), "w");
  struct CtlRun *r = run_ctl (shown, "ctl profile show a --operator @");
  char line[128];

  CU_ASSERT_PTR_NOT_NULL_FATAL (stream);
  fputs (r->out, stream);
  fclose (stream);
  talloc_free (r);
  snprintf (line, sizeof line, "ctl profile apply %s --operator @", file);
  r = run_ctl (applied, line);
  remove (file);
  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (text_contains (r->log, "\"text\":\"[profile]\\nname = a\\n\""));
  CU_ASSERT (text_contains (r->log, "\"expected_revision\":41}\n"));
  talloc_free (r);
}

/* Two operators edit the same profile. The second change is based on a text that is no longer in
 * force and would silently undo the first one. It must fail and show the differences. */
static void
test_conflict_exits_with_3_and_shows_the_differences (void)
{
  static const struct FakeReply replies[] = {
    { 409, "{\"error\":{\"kind\":\"conflict\",\"message\":\"revision 9 came first\","
           "\"remedy\":\"check it\",\"differs\":\"- share = 10\\n+ share = 20\"}}" },
    { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, APPLY " --expect 8");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_CONFLICT);
  CU_ASSERT (text_contains (r->err, "conflict: revision 9 came first; check it\n"
                                    "what differs:\n- share = 10\n+ share = 20\n"));
  talloc_free (r);
}

/* The instance applies a change and fails before it responds. ctl must neither report a failure nor
 * apply the change twice: it queries the change id and gets the revision. */
static void
test_lost_response_is_resolved_by_change_id (void)
{
  static const struct FakeReply replies[] = {
    { 200, INSTANCES }, { 0, "" }, { 200, "{\"revision\":43}" }, { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl drain entry-4 --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT_STRING_EQUAL (r->out, "drain entry-4: revision 43\n");
  CU_ASSERT_STRING_EQUAL (r->log,
                          "GET /operator/instances\n"
                          "POST /operator/changes {\"kind\":\"drain\",\"name\":\"entry-4\","
                          "\"text\":\"on\",\"change_id\":\"ID\",\"who\":\"asha\",\"reason\":\"\"}\n"
                          "GET /operator/changes/ID\n");
  talloc_free (r);
}

/* The instance fails before it writes the change, so the change id is not found. The same change
 * must be sent again under the same id. */
static void
test_lost_change_is_sent_again_with_its_id (void)
{
  static const struct FakeReply replies[] = {
    { 0, "" }, { 404, CTL_NOT_FOUND }, { 200, "{\"revision\":43}" }, { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl drain entry-4 --off --operator @");
  const char *second;

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (text_contains (r->log, "GET /operator/changes/ID\nPOST /operator/changes {"));
  second = strstr (r->log, "GET ");
  CU_ASSERT (text_contains (second, "\"text\":\"off\",\"change_id\":\"ID\""));
  talloc_free (r);
}

/* The response is lost and the platform stays down for longer than --settle. A retry that is
 * refused does not show whether the first attempt took effect, so the exit code must be 5, with the
 * command that queries the change id. */
static void
test_unresolved_change_exits_with_5_whatever_retries_return (void)
{
  static const struct FakeReply down[] = {
    { 200, INSTANCES }, { 0, "" }, { 404, CTL_NOT_FOUND }, { 503, CTL_PLATFORM_DOWN }, { 0, NULL }
  };
  static const struct FakeReply no_response[] = {
    { 200, INSTANCES }, { 0, "" }, { 0, "" }, { 0, NULL }
  };
  static const struct FakeReply reported[] = {
    { 200, INSTANCES },
    { 503, "{\"error\":{\"kind\":\"unknown_effect\",\"message\":\"m\",\"remedy\":\"r\"}}" },
    { 503, CTL_PLATFORM_DOWN },
    { 0, NULL }
  };
  const struct FakeReply *const scripts[] = { down, no_response, reported };

  for (size_t i = 0; i < sizeof scripts / sizeof scripts[0]; i++)
    {
      struct CtlRun *r = run_ctl (scripts[i], "ctl drain entry-4 --settle 0ms --operator @");

      CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_EFFECT_UNKNOWN);
      CU_ASSERT (text_contains (r->err, "query the result with: buckthornhead ctl change "));
      talloc_free (r);
    }
}

/* If a mistyped name were accepted, the operator would stop an instance that was never drained; its
 * programs would move only then, and more slowly. An unknown name is refused and no change is sent.
 */
static void
test_drain_of_an_unknown_instance_exits_with_2 (void)
{
  static const struct FakeReply replies[] = { { 200, INSTANCES }, { 0, NULL } };
  struct CtlRun *r = run_ctl (replies, "ctl drain entry-5 --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_USAGE);
  CU_ASSERT_STRING_EQUAL (r->err, "no instance 'entry-5'; see 'buckthornhead ctl instances'\n");
  CU_ASSERT_STRING_EQUAL (r->log, "GET /operator/instances\n");
  talloc_free (r);
}

/* The effect of a change that was never sent is not unknown: the exit code is 4 and the result is
 * not queried. */
static void
test_unsent_change_exits_with_4 (void)
{
  static const struct FakeReply replies[] = { { 0, NULL } };
  struct CtlRun *r =
      run_ctl (replies, "ctl drain entry-4 --off --operator " CTL_UNREACHABLE_ADDRESS);

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_UNREACHABLE);
  talloc_free (r);
}

static void
test_service_set_expects_the_revision_it_read (void)
{
  static const struct FakeReply known[] = {
    { 200, "{\"services\":[{\"name\":\"menu-agents\",\"profile\":\"menu\",\"revision\":5}]}" },
    { 200, "{\"revision\":6}" },
    { 0, NULL }
  };
  struct CtlRun *r = run_ctl (known, "ctl service set menu-agents --profile hiring --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (text_contains (r->log, "GET /operator/services\nPOST /operator/changes {\"kind\":"
                                    "\"service\",\"name\":\"menu-agents\",\"text\":\"hiring\""));
  CU_ASSERT (text_contains (r->log, "\"expected_revision\":5}\n"));
  talloc_free (r);
  r = run_ctl (known, "ctl service set kitchen-api --profile menu --operator @");
  CU_ASSERT (text_contains (r->log, "\"expected_revision\":0}\n"));
  talloc_free (r);
}

const char test_suite_name[] = "ctl change";
const struct TestCase test_cases[] = {
  { "apply sends the expected revision", test_apply_sends_the_expected_revision },
  { "shown profile is applied against its revision",
    test_shown_profile_is_applied_against_its_revision },
  { "conflict exits with 3 and shows the differences",
    test_conflict_exits_with_3_and_shows_the_differences },
  { "lost response is resolved by change id", test_lost_response_is_resolved_by_change_id },
  { "lost change is sent again with its id", test_lost_change_is_sent_again_with_its_id },
  { "unresolved change exits with 5 whatever retries return",
    test_unresolved_change_exits_with_5_whatever_retries_return },
  { "drain of an unknown instance exits with 2", test_drain_of_an_unknown_instance_exits_with_2 },
  { "unsent change exits with 4", test_unsent_change_exits_with_4 },
  { "service set expects the revision it read", test_service_set_expects_the_revision_it_read },
  { NULL, NULL },
};
