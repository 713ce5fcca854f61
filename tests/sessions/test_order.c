/* Promises: the calls of one negotiation happen in the order the program made them; its history is
 * never lost or mixed; the caller gets the whole answer to its own request. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 1 };

/* Four turns; %s is the program, %u the length of the third answer, %u the pause before the last.
 */
static const char negotiation[] =
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
      talloc_asprintf (cluster, negotiation, program, n_tokens, n_tokens, pause_ms);

  return cluster_run_caller (cluster, program, script);
}

/* The answers and the history's order, free of names: what must not depend on any failure. */
static char *
view_of (TALLOC_CTX *ctx, const struct Process *caller)
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
assert_same_view (struct Cluster *cluster, struct Process *caller, struct Process *undisturbed)
{
  char *seen = view_of (cluster, caller);
  char *wanted = view_of (cluster, undisturbed);

  CU_ASSERT_STRING_EQUAL (seen, wanted);
  CU_ASSERT_PTR_NOT_NULL (strstr (seen, "main 1\nmain 2\nmain 3\nmain 4\n"));
  if (strstr (seen, "main 1\nmain 2\nmain 3\nmain 4\n") == NULL)
    fprintf (stderr, "seen:\n%s\nundisturbed:\n%s\n", seen, wanted);
}

struct LinesWanted
{
  const struct Process *caller;
  size_t n;
};

static bool
lines_reached (void *data)
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

/* A manager's negotiation stands half done: its home dies during a tool pause, after the third
 * answer. The next call goes to another instance, which takes the program over with its history. */
static void
test_home_killed_between_turns (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Process *undisturbed = run_undisturbed (cluster, 20);
  struct Process *caller = run_negotiation (cluster, "between", 20, 1500);
  struct LinesWanted three_turns = { caller, 4 };
  int32_t home;

  CU_ASSERT_TRUE (wait_for (lines_reached, &three_turns));
  home = cluster_home (cluster, "between");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  process_kill (cluster->instances[home].process);
  CU_ASSERT_TRUE (process_wait (caller));
  CU_ASSERT_EQUAL (caller->exit_status, 0);
  assert_same_view (cluster, caller, undisturbed);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The home dies while the third answer is half streamed. The caller sends the same sequence number
 * to another instance and gets one whole answer; the turn is in the history once. */
static void
test_home_killed_in_mid_stream (void)
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
  assert_same_view (cluster, caller, undisturbed);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Two calls of one program overtake each other on the way: the second arrives first, elsewhere. It
 * is refused, not run, with the number expected, and takes its place once the first is done. */
static void
test_calls_arriving_crossed (void)
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
  CU_ASSERT_STRING_EQUAL (reply->text, other->text);
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "crossed"), 2);
  /* The same number with another body is not the same call. */
  second.body = chat_body (cluster, "negotiation", "third", 8, false);
  reply = call_send_until_final (cluster, &second);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "unknown_call");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "order and history";
const struct TestCase test_cases[] = {
  { "home killed between turns", test_home_killed_between_turns },
  { "home killed in mid-stream", test_home_killed_in_mid_stream },
  { "calls arriving crossed", test_calls_arriving_crossed },
  { NULL, NULL },
};
