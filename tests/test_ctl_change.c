#include "test_main.h"

#include "fakes/ctl_run.h"

#include <stdlib.h>
#include <string.h>

#define INSTANCES "{\"instances\":[{\"instance\":\"entry-1\"},{\"instance\":\"entry-4\"}]}"
#define APPLY "ctl profile apply " SOURCE_FOLDER "/examples/hiring.ini --operator @"

static void
test_apply_sends_what_was_seen (void)
{
  static const struct FakeReply replies[] = { { 200, "{\"revision\":42}" }, { 0, NULL } };
  struct CtlRun *r = run_ctl (replies, APPLY " --reason dawn --expect 41 --json");

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
  struct CtlRun *r = run_ctl (replies, APPLY " --expect 8");

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

/* As before, but the instance died before it wrote the change: nobody knows the id, and the same
 * change goes out again under the same id. */
static void
test_lost_change_is_sent_again_under_its_id (void)
{
  static const struct FakeReply replies[] = {
    { 0, "" }, { 404, CTL_NOT_FOUND }, { 200, "{\"revision\":43}" }, { 0, NULL }
  };
  struct CtlRun *r = run_ctl (replies, "ctl drain entry-4 --off --operator @");
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
    { 200, INSTANCES }, { 0, "" }, { 404, CTL_NOT_FOUND }, { 503, CTL_PLATFORM_DOWN }, { 0, NULL }
  };
  static const struct FakeReply silent[] = {
    { 200, INSTANCES }, { 0, "" }, { 0, "" }, { 0, NULL }
  };
  static const struct FakeReply said[] = {
    { 200, INSTANCES },
    { 503, "{\"error\":{\"kind\":\"unknown_effect\",\"message\":\"m\",\"remedy\":\"r\"}}" },
    { 503, CTL_PLATFORM_DOWN },
    { 0, NULL }
  };
  const struct FakeReply *const scripts[] = { down, silent, said };

  for (size_t i = 0; i < sizeof scripts / sizeof scripts[0]; i++)
    {
      struct CtlRun *r = run_ctl (scripts[i], "ctl drain entry-4 --settle 0ms --operator @");

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
  struct CtlRun *r = run_ctl (replies, "ctl drain entry-5 --operator @");

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
  struct CtlRun *r = run_ctl (replies, "ctl drain entry-4 --off --operator " CTL_NOWHERE);

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
  struct CtlRun *r = run_ctl (known, "ctl service set menu-agents --profile hiring --operator @");

  CU_ASSERT_EQUAL (r->exit_code, EXIT_CODE_OK);
  CU_ASSERT (contains (r->log, "GET /operator/services\nPOST /operator/changes {\"kind\":"
                               "\"service\",\"name\":\"menu-agents\",\"text\":\"hiring\""));
  CU_ASSERT (contains (r->log, "\"expected_revision\":5}\n"));
  talloc_free (r);
  r = run_ctl (known, "ctl service set kitchen-api --profile menu --operator @");
  CU_ASSERT (contains (r->log, "\"expected_revision\":0}\n"));
  talloc_free (r);
}

const char test_suite_name[] = "ctl change";
const struct TestCase test_cases[] = {
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
  { NULL, NULL },
};
