/* Checks that a program's calls run in the order in which it made them, that its history is neither
 * lost nor mixed with another, and that the caller gets the complete answers to its own requests,
 * also when the home is killed or calls arrive out of order. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 1 };

/* Script with four turns. Arguments: program, the third answer's minimum and maximum of tokens,
 * pause before the last turn in ms. */
static const char negotiation_script[] =
    "{\"steps\":["
    "{\"create\":{\"service\":\"hiring-agents\",\"program\":\"%s\"}},"
    "{\"call\":{\"model\":\"negotiation\",\"user\":\"Offer 380.\",\"max_tokens\":30}},"
    "{\"call\":{\"model\":\"negotiation\",\"user\":\"He asks 410.\",\"max_tokens\":30,"
    "\"stream\":true}},"
    "{\"call\":{\"model\":\"negotiation\",\"user\":\"Offer 395 and beds.\",\"min_tokens\":%u,"
    "\"max_tokens\":%u,\"stream\":true}},"
    "{\"pause_ms\":%u},"
    "{\"call\":{\"model\":\"negotiation\",\"user\":\"Agreed?\",\"max_tokens\":30}},"
    "{\"history\":true}]}";

static struct Process *
run_negotiation (struct Cluster *cluster, const char *program, uint32_t n_tokens, uint32_t pause_ms)
{
  const char *script =
      talloc_asprintf (cluster, negotiation_script, program, n_tokens, n_tokens, pause_ms);

  return cluster_run_caller (cluster, program, script);
}

/* Returns the answers and the order of the history without names. A failure must not change it. */
static char *
caller_view (TALLOC_CTX *ctx, const struct Process *caller)
{
  json_t *lines = caller_lines (caller);
  char *view = talloc_strdup (ctx, "");
  json_t *line, *turn;
  size_t i, j;

  json_array_foreach (lines, i, line)
  {
    const char *answer = json_string_value (json_object_get (line, "answer"));
    json_t *history = json_object_get (json_object_get (line, "answer"), "history");

    if (answer != NULL)
      view = talloc_asprintf_append (view, "%s\n", answer);
    json_array_foreach (history, j, turn)
    {
      view = talloc_asprintf_append (view, "%s %d\n",
                                     json_string_value (json_object_get (turn, "branch")),
                                     (int)json_integer_value (json_object_get (turn, "sequence")));
    }
  }
  json_decref (lines);
  return view;
}

static void
assert_equal_views (struct Cluster *cluster, struct Process *caller, struct Process *undisturbed)
{
  char *actual = caller_view (cluster, caller);
  char *wanted = caller_view (cluster, undisturbed);

  CU_ASSERT_STRING_EQUAL (actual, wanted);
  CU_ASSERT_PTR_NOT_NULL (strstr (actual, "main 1\nmain 2\nmain 3\nmain 4\n"));
  if (strstr (actual, "main 1\nmain 2\nmain 3\nmain 4\n") == NULL)
    fprintf (stderr, "actual:\n%s\nwithout failure:\n%s\n", actual, wanted);
}

struct LinesWanted
{
  const struct Process *caller;
  size_t n;
};

static bool
caller_has_lines (void *data)
{
  const struct LinesWanted *wanted = data;
  json_t *lines = caller_lines (wanted->caller);
  bool reached = json_array_size (lines) >= wanted->n;

  json_decref (lines);
  return reached;
}

static struct Process *
run_undisturbed (struct Cluster *cluster, uint32_t n_tokens)
{
  struct Process *caller = run_negotiation (cluster, "undisturbed", n_tokens, 1);

  CU_ASSERT_TRUE (process_wait (caller));
  CU_ASSERT_EQUAL (caller->exit_status, 0);
  return caller;
}

/* The home is killed during a pause after the third answer. The next call is sent to another
 * instance, which takes over the program with its history. */
static void
test_home_killed_between_turns (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Process *undisturbed = run_undisturbed (cluster, 20);
  struct Process *caller = run_negotiation (cluster, "between", 20, 1500);
  struct LinesWanted three_turns = { caller, 4 };
  int32_t home;

  CU_ASSERT_TRUE (wait_for (caller_has_lines, &three_turns));
  home = cluster_home (cluster, "between");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  process_kill (cluster->instances[home].process);
  CU_ASSERT_TRUE (process_wait (caller));
  CU_ASSERT_EQUAL (caller->exit_status, 0);
  assert_equal_views (cluster, caller, undisturbed);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The home is killed while it streams the third answer. The caller resends the same sequence number
 * to another instance and gets one complete answer; the turn is in the history once. */
static void
test_home_killed_during_stream (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Process *undisturbed = run_undisturbed (cluster, 400);
  struct Process *caller = run_negotiation (cluster, "mid-stream", 400, 1);
  int32_t home;

  CU_ASSERT_TRUE (wait_for_engine_runs (cluster, "mid-stream", 3));
  home = cluster_home (cluster, "mid-stream");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  process_kill (cluster->instances[home].process);
  CU_ASSERT_TRUE (process_wait (caller));
  CU_ASSERT_EQUAL (caller->exit_status, 0);
  assert_equal_views (cluster, caller, undisturbed);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The second call of a program arrives before the first, at another instance. It is refused with
 * not_run and the expected sequence number, and accepted when the first call is done. */
static void
test_calls_arriving_out_of_order (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall first = { .address = cluster->instances[0].address,
                            .program = "crossed",
                            .sequence = 1,
                            .body = chat_body (cluster, "negotiation", "first", 8, false) };
  struct TestCall second = first;
  struct HttpReply *reply, *other;

  second.address = cluster->instances[1].address;
  second.sequence = 2;
  second.body = chat_body (cluster, "negotiation", "second", 8, false);
  CU_ASSERT_TRUE (create_program (cluster, 2, "crossed"));
  reply = call_send (cluster, &second);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "out_of_order");
  CU_ASSERT_STRING_EQUAL (reply_ran (reply), "not_run");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (json_object_get (reply->json, "error"),
                                                        "expected_sequence")),
                   1);
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "crossed"), 0);
  reply = call_send_until_final (cluster, &first);
  CU_ASSERT_EQUAL (reply->status, 200);
  reply = call_send_until_final (cluster, &second);
  CU_ASSERT_EQUAL (reply->status, 200);
  other = call_send_until_final (cluster, &second);
  CU_ASSERT_STRING_EQUAL (reply->body, other->body);
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "crossed"), 2);
  /* The same sequence number with a different body is a different call. */
  second.body = chat_body (cluster, "negotiation", "third", 8, false);
  reply = call_send_until_final (cluster, &second);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "unknown_call");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "order and history";
const struct TestCase test_cases[] = {
  { "home killed between turns", test_home_killed_between_turns },
  { "home killed during a stream", test_home_killed_during_stream },
  { "calls arriving out of order", test_calls_arriving_out_of_order },
  { NULL, NULL },
};
