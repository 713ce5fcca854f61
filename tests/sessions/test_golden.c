/* Compares all replies to a caller in two whole sessions with golden files. Guards against
 * unintended changes of the protocol. */
#include "cluster.h"
#include "golden.h"
#include "test_main.h"

/* Starts one engine and one tool, so that the backend servers' names do not depend on timing. */
static struct Cluster *
start_cluster (const char *model, const char *tool)
{
  struct ClusterOptions options = {
    .n_instances = 3, .n_engines = 1, .n_tools = 1, .model = model, .tool = tool
  };

  return cluster_start (NULL, &options);
}

static void
run_golden (struct Cluster *cluster, const char *name, const char *script, uint64_t expected_runs)
{
  struct Process *caller = cluster_run_caller (cluster, name, script);
  json_t *lines;
  bool matches;

  CU_ASSERT_TRUE (process_wait (caller));
  CU_ASSERT_EQUAL (caller->exit_status, 0);
  lines = caller_lines (caller);
  matches = golden_matches (name, lines);
  CU_ASSERT_TRUE (matches);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), expected_runs);
  json_decref (lines);
  cluster_stop (cluster, !matches);
}

/* A program calls a tool, runs two sub-agents concurrently, streams an answer, and sends a
 * non-idempotent confirmation twice; it runs once. A call after the end does not run. */
static void
test_hiring_negotiation (void)
{
  static const char script[] =
      "{\"steps\":["
      "{\"create\":{\"service\":\"hiring-agents\",\"program\":\"negotiation-1\","
      "\"budget_tokens\":20000,\"turn_limit\":20}},"
      "{\"call\":{\"model\":\"negotiation\",\"system\":\"You haggle wages for an estate.\","
      "\"user\":\"Contractor offers twelve pickers.\",\"max_tokens\":40}},"
      "{\"call\":{\"service\":\"field-desk\",\"path\":\"/estates/7/terms\",\"idempotent\":true,"
      "\"body\":{\"estate\":7}}},"
      "{\"call\":{\"model\":\"negotiation\",\"tool_result\":true,\"max_tokens\":40,"
      "\"stream\":true}},"
      "{\"sub_agents\":["
      "{\"branch\":\"lodging\",\"steps\":["
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"Find beds for twelve.\","
      "\"max_tokens\":30}},"
      "{\"call\":{\"service\":\"field-desk\",\"path\":\"/lodgings\",\"idempotent\":true,"
      "\"body\":{\"beds\":12}}},"
      "{\"call\":{\"model\":\"negotiation\",\"tool_result\":true,\"max_tokens\":30}}]},"
      "{\"branch\":\"papers\",\"steps\":["
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"Check the gang's papers.\","
      "\"max_tokens\":30,\"stream\":true}}]}]},"
      "{\"pause_ms\":200},"
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"He asks 410 a day and beds.\","
      "\"max_tokens\":40,\"stream\":true}},"
      "{\"call\":{\"service\":\"field-desk\",\"path\":\"/wages/confirm\","
      "\"body\":{\"estate\":7,\"wage\":410}},\"expect\":{\"ran\":\"ran\"}},"
      "{\"call\":{\"service\":\"field-desk\",\"path\":\"/wages/confirm\",\"again\":true},"
      "\"expect\":{\"ran\":\"ran\"}},"
      "{\"call\":{\"model\":\"negotiation\",\"tool_result\":true,\"max_tokens\":40}},"
      "{\"history\":true},"
      "{\"end\":\"done\"},"
      "{\"state\":true},"
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"One more thing.\",\"max_tokens\":40},"
      "\"expect\":{\"ran\":\"not_run\"}}]}";

  run_golden (start_cluster ("negotiation", "field-desk"), "hiring_negotiation", script, 3);
}

/* A program makes several turns with a sub-agent. A request outside any program is sent twice with
 * the same idempotency key and runs once. */
static void
test_menu_review (void)
{
  static const char script[] =
      "{\"steps\":["
      "{\"create\":{\"service\":\"menu-agents\",\"program\":\"review-1\","
      "\"budget_tokens\":20000}},"
      "{\"call\":{\"model\":\"menu-review\",\"system\":\"You check school menus.\","
      "\"user\":\"Week 23, school 4: lentil soup, fish, kiwi.\",\"max_tokens\":40}},"
      "{\"call\":{\"service\":\"kitchen-api\",\"path\":\"/children?school=4\","
      "\"idempotent\":true,\"body\":{}}},"
      "{\"call\":{\"model\":\"menu-review\",\"tool_result\":true,\"max_tokens\":40,"
      "\"stream\":true}},"
      "{\"call\":{\"service\":\"kitchen-api\",\"path\":\"/flags\","
      "\"body\":{\"child\":31,\"allergen\":\"kiwi\"}},\"expect\":{\"ran\":\"ran\"}},"
      "{\"sub_agents\":[{\"branch\":\"parent-question\",\"steps\":["
      "{\"call\":{\"model\":\"menu-review\",\"user\":\"May child 31 eat the fruit?\","
      "\"max_tokens\":20,\"stream\":true}}]}]},"
      "{\"call\":{\"model\":\"menu-review\",\"user\":\"Replace kiwi by pear.\","
      "\"max_tokens\":40,\"stream\":true}},"
      "{\"lone\":{\"service\":\"kitchen-api\",\"path\":\"/alerts/substitution\","
      "\"key\":\"school-4-week-23-kiwi\",\"body\":{\"out\":\"kiwi\",\"in\":\"pear\"}},"
      "\"expect\":{\"ran\":\"ran\"}},"
      "{\"lone\":{\"service\":\"kitchen-api\",\"path\":\"/alerts/substitution\","
      "\"key\":\"school-4-week-23-kiwi\",\"again\":true,"
      "\"body\":{\"out\":\"kiwi\",\"in\":\"pear\"}},\"expect\":{\"ran\":\"ran\"}},"
      "{\"history\":true},"
      "{\"end\":\"done\"}]}";

  run_golden (start_cluster ("menu-review", "kitchen-api"), "menu_review", script, 3);
}

const char test_suite_name[] = "golden sessions";
const struct TestCase test_cases[] = {
  { "hiring negotiation", test_hiring_negotiation },
  { "menu review", test_menu_review },
  { NULL, NULL },
};
