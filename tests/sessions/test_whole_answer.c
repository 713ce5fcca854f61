/* Checks that a caller gets the complete answer to its own request. A stream that continues after a
 * failure could mix two runs of an engine or end with "[DONE]" although it is incomplete, and
 * concurrent equal requests could get each other's answers. */
#include "stream.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_TOKENS = 700, /* makes a stream last some seconds */
  N_PARALLEL = 18,
  NAME_BYTES = 32,
  TAIL_BYTES = 400
};

/* A word well after the start of a stream, and its last word. */
static const char early_word[] = "\" w40\"";
static const char last_word[] = "\" w699\"";

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 1 };

static void
engines_control (struct Cluster *cluster, const char *json)
{
  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    CU_ASSERT_TRUE (standin_control (cluster->engines[i].address, json));
}

static struct Cluster *
start_with_stable_partitions (bool vary)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);

  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  if (vary)
    engines_control (cluster, "{\"vary\":true}");
  return cluster;
}

/* Creates a program and returns a streaming call through an instance that is not its home. */
static struct TestCall
stream_call (struct Cluster *cluster, const char *program, int32_t *home)
{
  struct TestCall call = { .program = program, .sequence = 1, .first_attempt = true };

  CU_ASSERT_TRUE (create_program (cluster, 0, program));
  *home = cluster_home (cluster, program);
  CU_ASSERT_TRUE_FATAL (*home >= 0);
  call.address = cluster->instances[(*home + 1) % 3].address;
  call.body = chat_body (cluster, "negotiation", "the whole offer", N_TOKENS, true);
  return call;
}

/* Resends the call until its answer is complete, and asserts that another resend gets the same. */
static const char *
final_answer (struct Cluster *cluster, const struct TestCall *call)
{
  struct HttpReply *reply = call_send_until_final (cluster, call);
  struct HttpReply *again;

  /* A resend may join a stream that fails; the next one gets the complete answer. */
  for (uint32_t i = 0; i < 10 && !sse_text_is_complete (reply->body); i++)
    reply = call_send_until_final (cluster, call);
  again = call_send_until_final (cluster, call);
  CU_ASSERT_TRUE (sse_text_is_complete (reply->body));
  CU_ASSERT_TRUE (sse_text_is_from_one_run (reply->body));
  CU_ASSERT_PTR_NOT_NULL (strstr (reply->body, last_word));
  CU_ASSERT_STRING_EQUAL (again->body, reply->body);
  return reply->body;
}

/* Asserts that a stream is either the complete stored answer or ends with an error event, and is
 * never mixed from two runs. */
static void
assert_complete_or_error_event (const struct Stream *stream, const char *stored)
{
  CU_ASSERT_TRUE (sse_text_is_from_one_run (stream->text));
  if (strstr (stream->text, "[DONE]") != NULL)
    {
      CU_ASSERT_STRING_EQUAL (stream->text, stored);
      return;
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (stream->text, "event: error"));
  if (strstr (stream->text, "event: error") == NULL)
    fprintf (stderr, "interrupted %d, ends with: %s\n", stream->interrupted,
             stream->text + (stream->n_bytes > TAIL_BYTES ? stream->n_bytes - TAIL_BYTES : 0));
}

static void
kill_home_during_stream (bool vary)
{
  struct Cluster *cluster = start_with_stable_partitions (vary);
  int32_t home;
  struct TestCall call = stream_call (cluster, "mid-stream", &home);
  struct Stream *stream = stream_start (cluster, &call);

  CU_ASSERT_TRUE (stream_wait_for (stream, early_word));
  process_kill (cluster->instances[home].process);
  stream_join (stream);
  assert_complete_or_error_event (stream, final_answer (cluster, &call));
  if (vary)
    CU_ASSERT_PTR_NULL (strstr (stream->text, "[DONE]"));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The program's home is killed while a caller reads a stream through another instance. The new home
 * has an engine run the call again with the same result, and the stream continues there. */
static void
test_home_killed_equal_second_answer (void)
{
  kill_home_during_stream (false);
}

/* The same, but the engine's second answer differs. A mix of both would be an answer that no engine
 * gave, so the stream ends with an error event. */
static void
test_home_killed_different_second_answer (void)
{
  kill_home_during_stream (true);
}

/* The same, but the engine's second answer is shorter than the text that the caller has already
 * read. It ends before the position at which the two are compared, so its end must cause the error
 * event. */
static void
test_home_killed_shorter_second_answer (void)
{
  struct Cluster *cluster = start_with_stable_partitions (true);
  int32_t home;
  struct TestCall call = stream_call (cluster, "shorter", &home);
  struct Stream *stream = stream_start (cluster, &call);
  struct HttpReply *reply;

  CU_ASSERT_TRUE (stream_wait_for (stream, early_word));
  engines_control (cluster, "{\"answer_tokens\":10}");
  process_kill (cluster->instances[home].process);
  stream_join (stream);
  CU_ASSERT_PTR_NULL (strstr (stream->text, "[DONE]"));
  CU_ASSERT_PTR_NOT_NULL (strstr (stream->text, "event: error"));
  CU_ASSERT_TRUE (sse_text_is_from_one_run (stream->text));
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_TRUE (sse_text_is_complete (reply->body));
  CU_ASSERT_PTR_NULL (strstr (reply->body, early_word));
  CU_ASSERT_STRING_EQUAL (call_send_until_final (cluster, &call)->body, reply->body);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The last word has arrived, but the platform cannot store the outcome, and the home is killed. The
 * next home does not have the answer and gets a different one from the engine. If the caller had
 * already received "[DONE]", its answer would be in no history. */
static void
test_home_killed_before_the_outcome_is_durable (void)
{
  struct Cluster *cluster = start_with_stable_partitions (true);
  int32_t home;
  struct TestCall call = stream_call (cluster, "undurable", &home);
  struct Stream *stream = stream_start (cluster, &call);

  CU_ASSERT_TRUE (stream_wait_for (stream, early_word));
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":{\"mode\":\"refuse\"}}"));
  CU_ASSERT_TRUE (stream_wait_for (stream, "\"usage\""));
  process_kill (cluster->instances[home].process);
  CU_ASSERT_TRUE (standin_control (cluster->platform.address, "{\"down\":null}"));
  stream_join (stream);
  assert_complete_or_error_event (stream, final_answer (cluster, &call));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The instance that the caller is connected to is killed during a stream. The caller connects to
 * another one and resends the same sequence number: whether the call still runs or has ended, it
 * gets the complete answer. */
static void
test_connected_instance_killed (void)
{
  struct Cluster *cluster = start_with_stable_partitions (true);
  int32_t home;
  struct TestCall call = stream_call (cluster, "reconnect", &home);
  struct Stream *first = stream_start (cluster, &call);
  struct Stream *second;

  CU_ASSERT_TRUE (stream_wait_for (first, early_word));
  process_kill (cluster->instances[(home + 1) % 3].process);
  stream_join (first);
  CU_ASSERT_PTR_NULL (strstr (first->text, "[DONE]"));
  CU_ASSERT_TRUE (sse_text_is_from_one_run (first->text));
  call.address = cluster->instances[(home + 2) % 3].address;
  call.first_attempt = false;
  second = stream_start (cluster, &call);
  stream_join (second);
  assert_complete_or_error_event (second, final_answer (cluster, &call));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The engine is killed during a stream and its answer cannot be repeated. The stream ends with an
 * error event, and the resend gets the complete answer of another engine. */
static void
test_engine_killed_during_stream (void)
{
  struct Cluster *cluster = start_with_stable_partitions (true);
  int32_t home;
  struct TestCall call = stream_call (cluster, "engine-dies", &home);
  struct Stream *stream = stream_start (cluster, &call);
  uint32_t engine;

  CU_ASSERT_TRUE (stream_wait_for (stream, early_word));
  engine = engine_log_size (cluster, 0) > 0 ? 0 : 1;
  process_kill (cluster->engines[engine].process);
  stream_join (stream);
  CU_ASSERT_PTR_NULL (strstr (stream->text, "[DONE]"));
  assert_complete_or_error_event (stream, final_answer (cluster, &call));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* A caller sends one call through two instances, as the first seemed slow. Both return the same
 * complete answer of one run. */
static void
test_duplicated_on_two_instances (void)
{
  struct Cluster *cluster = start_with_stable_partitions (true);
  int32_t home;
  struct TestCall call = stream_call (cluster, "duplicated", &home);
  struct Stream *streams[2];

  call.first_attempt = false;
  for (uint32_t i = 0; i < 2; i++)
    {
      call.address = cluster->instances[(home + 1 + i) % 3].address;
      streams[i] = stream_start (cluster, &call);
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      stream_join (streams[i]);
      CU_ASSERT_TRUE (sse_text_is_complete (streams[i]->text));
      CU_ASSERT_STRING_EQUAL (streams[i]->text, streams[0]->text);
    }
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "duplicated"), 1);
  CU_ASSERT_STRING_EQUAL (final_answer (cluster, &call), streams[0]->text);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

struct ParallelCalls
{
  char names[N_PARALLEL][NAME_BYTES], paths[N_PARALLEL][NAME_BYTES + 8];
  struct CallThread tools[N_PARALLEL];
  struct Stream *streams[N_PARALLEL];
};

static void
parallel_calls_start (struct Cluster *cluster, struct ParallelCalls *calls)
{
  char *body = chat_body (cluster, "negotiation", "same words", 40, true);

  for (uint32_t i = 0; i < N_PARALLEL; i++)
    {
      struct TestCall call = { .address = cluster->instances[i % 3].address,
                               .program = calls->names[i],
                               .sequence = 1,
                               .first_attempt = true };

      call.body = body;
      calls->streams[i] = stream_start (cluster, &call);
      call.branch = "tool";
      call.service = "field-desk";
      call.path = calls->paths[i];
      call.body = "{\"equal\":true}";
      call_thread_start (&calls->tools[i], &call);
    }
}

/* Many programs send equal requests at once, and the instances relay the answers to each other.
 * Each caller must get its own program's answer: a tool's answer contains the program's path, an
 * engine's must equal the program's stored one. */
static void
test_concurrent_equal_requests (void)
{
  struct Cluster *cluster = start_with_stable_partitions (true);
  struct ParallelCalls *calls = talloc_zero (cluster, struct ParallelCalls);

  for (uint32_t i = 0; i < N_PARALLEL; i++)
    {
      snprintf (calls->names[i], NAME_BYTES, "parent-%u", i);
      snprintf (calls->paths[i], NAME_BYTES + 8, "/of/parent-%u", i);
      CU_ASSERT_TRUE (create_program (cluster, i % 3, calls->names[i]));
    }
  CU_ASSERT_TRUE (standin_control (cluster->tools[0].address, "{\"delay_ms\":100}"));
  parallel_calls_start (cluster, calls);
  for (uint32_t i = 0; i < N_PARALLEL; i++)
    {
      struct TestCall again = calls->streams[i]->call;
      struct HttpReply *reply;

      stream_join (calls->streams[i]);
      call_thread_join (&calls->tools[i]);
      reply = calls->tools[i].reply;
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (reply->json, "path")),
                              calls->paths[i]);
      talloc_free (reply);
      CU_ASSERT_TRUE (sse_text_is_complete (calls->streams[i]->text));
      CU_ASSERT_TRUE (sse_text_is_from_one_run (calls->streams[i]->text));
      again.first_attempt = false;
      again.address = cluster->instances[(i + 1) % 3].address;
      CU_ASSERT_STRING_EQUAL (call_send_until_final (cluster, &again)->body,
                              calls->streams[i]->text);
      for (uint32_t j = 0; j < i; j++)
        CU_ASSERT_STRING_NOT_EQUAL (calls->streams[j]->text, calls->streams[i]->text);
    }
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), N_PARALLEL);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "whole answer to the own request";
const struct TestCase test_cases[] = {
  { "home killed, equal second answer", test_home_killed_equal_second_answer },
  { "home killed, different second answer", test_home_killed_different_second_answer },
  { "home killed, shorter second answer", test_home_killed_shorter_second_answer },
  { "home killed before the outcome is durable", test_home_killed_before_the_outcome_is_durable },
  { "connected instance killed, caller reconnects", test_connected_instance_killed },
  { "engine killed during a stream", test_engine_killed_during_stream },
  { "duplicated on two instances", test_duplicated_on_two_instances },
  { "concurrent equal requests", test_concurrent_equal_requests },
  { NULL, NULL },
};
