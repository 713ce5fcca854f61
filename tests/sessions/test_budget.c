/* Checks that a program never exceeds its budget: not in a loop, not by concurrent calls of its
 * branches, and not when the tokens of a call are unknown after a takeover. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  BUDGET_TOKENS = 300,
  N_BRANCHES = 6,
  TOKENS_PER_CALL = 40,
  TURNS_MAX = 40
};

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 0 };

static void
create_with_budget (struct Cluster *cluster, const char *program)
{
  char *body = talloc_asprintf (
      cluster, "{\"service\":\"hiring-agents\",\"program\":\"%s\",\"budget_tokens\":%d}", program,
      BUDGET_TOKENS);
  struct HttpReply *reply =
      http_send (cluster, "POST", cluster->instances[0].address, "/v1/programs", NULL, body);

  CU_ASSERT_EQUAL (reply->status, 201);
}

/* Asserts that the tokens that the program's home has charged do not exceed the budget. */
static void
assert_within_budget (struct Cluster *cluster, const char *program)
{
  char *path = talloc_asprintf (cluster, "/v1/programs/%s", program);
  uint32_t running = 0;
  struct HttpReply *reply;

  while (!process_is_running (cluster->instances[running].process))
    running++;
  reply = http_get (cluster, cluster->instances[running].address, path);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_TRUE (json_integer_value (json_object_get (reply->json, "charged_tokens"))
                  <= BUDGET_TOKENS);
}

static json_int_t
reply_tokens (const struct HttpReply *reply)
{
  return json_integer_value (
      json_object_get (json_object_get (reply->json, "usage"), "total_tokens"));
}

/* A program repeats the same call in a loop. Its budget stops it; the refused call did not run. */
static void
test_looping_program (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall call = { .program = "loop" };
  struct HttpReply *reply = NULL;
  json_int_t used = 0;
  uint64_t n_answers = 0;

  create_with_budget (cluster, "loop");
  call.body = chat_body (cluster, "negotiation", "again", TOKENS_PER_CALL, false);
  while (call.sequence < TURNS_MAX)
    {
      call.sequence++;
      reply = call_send_until_final (cluster, &call);
      if (reply->status != 200)
        break;
      used += reply_tokens (reply);
      n_answers++;
    }
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "budget");
  CU_ASSERT_STRING_EQUAL (reply_ran (reply), "not_run");
  CU_ASSERT_TRUE (n_answers > 0);
  CU_ASSERT_TRUE (used <= BUDGET_TOKENS);
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "loop"), n_answers);
  assert_within_budget (cluster, "loop");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Sub-agents send calls concurrently through different instances: their sum stays within the
 * budget. */
static void
test_concurrent_sub_agents (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct CallThread threads[N_BRANCHES];
  char branches[N_BRANCHES][16];
  json_int_t used = 0;
  uint32_t n_refused = 0;

  create_with_budget (cluster, "together");
  for (uint32_t i = 0; i < N_BRANCHES; i++)
    {
      struct TestCall call = { .address = cluster->instances[i % 3].address,
                               .program = "together",
                               .branch = branches[i],
                               .sequence = 1,
                               .first_attempt = true };

      snprintf (branches[i], sizeof branches[i], "agent-%u", i);
      call.body = chat_body (cluster, "negotiation", branches[i], 2 * TOKENS_PER_CALL, false);
      call_thread_start (&threads[i], &call);
    }
  for (uint32_t i = 0; i < N_BRANCHES; i++)
    {
      call_thread_join (&threads[i]);
      used += reply_tokens (threads[i].reply);
      n_refused += strcmp (reply_error_kind (threads[i].reply), "budget") == 0;
      talloc_free (threads[i].reply);
    }
  CU_ASSERT_TRUE (used <= BUDGET_TOKENS);
  CU_ASSERT_TRUE (n_refused > 0);
  assert_within_budget (cluster, "together");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The home is killed during a call. The new home has no token count for the interrupted call and
 * charges its whole reservation; the program still ends within its budget. */
static void
test_takeover_during_call (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall call = { .program = "taken", .sequence = 1 };
  struct CallThread thread;
  struct HttpReply *reply = NULL;
  int32_t home;

  create_with_budget (cluster, "taken");
  home = cluster_home (cluster, "taken");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  call.address = cluster->instances[(home + 1) % 3].address;
  call.body = chat_body (cluster, "negotiation", "long", 100, false);
  call_thread_start (&thread, &call);
  CU_ASSERT_TRUE (wait_for_engine_runs (cluster, "taken", 1));
  process_kill (cluster->instances[home].process);
  call_thread_join (&thread);
  talloc_free (thread.reply);
  for (call.sequence = 1; call.sequence < TURNS_MAX; call.sequence++)
    {
      reply = call_send_until_final (cluster, &call);
      if (reply->status != 200)
        break;
    }
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "budget");
  assert_within_budget (cluster, "taken");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "budget";
const struct TestCase test_cases[] = {
  { "looping program", test_looping_program },
  { "concurrent sub-agents", test_concurrent_sub_agents },
  { "takeover during a call", test_takeover_during_call },
  { NULL, NULL },
};
