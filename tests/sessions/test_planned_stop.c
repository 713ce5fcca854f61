/* Checks that a planned stop (SIGTERM) is a graceful shutdown that interrupts no request in flight,
 * neither of connected callers nor of programs whose home or engine queue the instance has. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_STREAMS = 8,
  STREAM_TOKENS = 600,
  TAIL_BYTES = 500
};

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 2,
                                                       .n_tools = 1 };

struct Streams
{
  struct Cluster *cluster;
  char programs[N_STREAMS][32];
  struct CallThread threads[N_STREAMS];
};

/* Starts all streams through one instance, whichever instances are the programs' homes. */
static void
streams_start (struct Streams *streams, struct Cluster *cluster, uint32_t entry)
{
  streams->cluster = cluster;
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      struct TestCall call = { .address = cluster->instances[entry].address,
                               .program = streams->programs[i],
                               .sequence = 1,
                               .first_attempt = true };

      snprintf (streams->programs[i], sizeof streams->programs[i], "stream-%u", i);
      call.body = chat_body (cluster, "negotiation", streams->programs[i], STREAM_TOKENS, true);
      CU_ASSERT_TRUE (create_program (cluster, entry, streams->programs[i]));
      call_thread_start (&streams->threads[i], &call);
    }
  for (uint32_t i = 0; i < N_STREAMS; i++)
    CU_ASSERT_TRUE (wait_for_engine_runs (cluster, streams->programs[i], 1));
}

/* Asserts that each stream is complete after one attempt. */
static void
streams_assert_complete (struct Streams *streams)
{
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      struct HttpReply *reply;

      call_thread_join (&streams->threads[i]);
      reply = streams->threads[i].reply;
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (reply->body, "data: [DONE]"));
      if (strstr (reply->body, "data: [DONE]") == NULL)
        fprintf (stderr, "%s ends with: %s\n", streams->programs[i],
                 reply->body + (reply->n_bytes > TAIL_BYTES ? reply->n_bytes - TAIL_BYTES : 0));
      CU_ASSERT_PTR_NOT_NULL (strstr (reply->body, " w599\""));
      CU_ASSERT_EQUAL (cluster_engine_runs (streams->cluster, streams->programs[i]), 1);
      talloc_free (reply);
    }
}

/* Callers read streams while the instance that they are connected to is stopped. */
static void
test_sigterm_under_load_interrupts_no_stream (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Streams *streams = talloc_zero (cluster, struct Streams);
  struct Process *stopped = cluster->instances[0].process;

  streams_start (streams, cluster, 0);
  CU_ASSERT_TRUE (process_signal (stopped, SIGTERM));
  streams_assert_complete (streams);
  CU_ASSERT_TRUE (process_wait (stopped));
  CU_ASSERT_EQUAL (stopped->exit_status, 0);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Two of three instances are stopped at the same time: the one that the callers are connected to,
 * and another that is home of some of their programs or sends their calls to engines. */
static void
test_two_instances_stopped_at_once (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Streams *streams = talloc_zero (cluster, struct Streams);

  streams_start (streams, cluster, 0);
  CU_ASSERT_TRUE (process_signal (cluster->instances[0].process, SIGTERM));
  CU_ASSERT_TRUE (process_signal (cluster->instances[1].process, SIGTERM));
  streams_assert_complete (streams);
  for (uint32_t i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (process_wait (cluster->instances[i].process));
      CU_ASSERT_EQUAL (cluster->instances[i].process->exit_status, 0);
    }
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* A caller continues its program during the stop with addresses that it requested before. */
static void
test_programs_continue_after_stop (void)
{
  static const char script[] =
      "{\"steps\":["
      "{\"create\":{\"service\":\"hiring-agents\",\"program\":\"goes-on\"}},"
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"One.\",\"min_tokens\":300,"
      "\"max_tokens\":300,\"stream\":true}},"
      "{\"call\":{\"service\":\"field-desk\",\"path\":\"/wages/confirm\",\"body\":{}},"
      "\"expect\":{\"ran\":\"ran\"}},"
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"Two.\",\"max_tokens\":30},"
      "\"expect\":{\"status\":200}},"
      "{\"pause_ms\":1000},"
      "{\"call\":{\"model\":\"negotiation\",\"user\":\"Three.\",\"max_tokens\":30},"
      "\"expect\":{\"status\":200}},"
      "{\"end\":\"done\",\"expect\":{\"status\":200}}]}";
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct Process *caller = cluster_run_caller (cluster, "goes-on", script);
  int32_t home;

  CU_ASSERT_TRUE (wait_for_engine_runs (cluster, "goes-on", 1));
  home = cluster_home (cluster, "goes-on");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  CU_ASSERT_TRUE (process_signal (cluster->instances[home].process, SIGTERM));
  CU_ASSERT_TRUE (process_wait (caller));
  CU_ASSERT_EQUAL (caller->exit_status, 0);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 1);
  CU_ASSERT_TRUE (process_wait (cluster->instances[home].process));
  CU_ASSERT_EQUAL (cluster->instances[home].process->exit_status, 0);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* Guards against a planned stop that waits for a key-value service that is gone. */
static void
test_a_stop_ends_without_the_platform (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);

  CU_ASSERT_TRUE (create_program (cluster, 0, "p"));
  process_kill (cluster->platform.process);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (process_signal (cluster->instances[i].process, SIGTERM));
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_TRUE (process_wait (cluster->instances[i].process));
      CU_ASSERT_EQUAL (cluster->instances[i].process->exit_status, 0);
    }
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "planned stop";
const struct TestCase test_cases[] = {
  { "SIGTERM under load interrupts no stream", test_sigterm_under_load_interrupts_no_stream },
  { "two instances stopped at once", test_two_instances_stopped_at_once },
  { "programs continue after a stop", test_programs_continue_after_stop },
  { "a stop ends without the platform", test_a_stop_ends_without_the_platform },
  { NULL, NULL },
};
