/* Checks that a non-idempotent request, such as a wage confirmation, runs at most once. It would
 * run twice if an instance sent it to a backend server again after a lost response, a resend by the
 * caller or a takeover. */
#include "calls.h"
#include "test_main.h"

#include <signal.h>
#include <string.h>

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 1,
                                                       .n_tools = 1 };

static struct TestCall
wage_confirmation (struct Cluster *cluster, const char *program)
{
  struct TestCall call = { .address = cluster->instances[0].address,
                           .program = program,
                           .sequence = 1,
                           .service = "field-desk",
                           .path = "/wages/confirm",
                           .body = "{\"estate\":7,\"wage\":410}" };

  return call;
}

static bool
tool_has_run (void *data)
{
  return cluster_tool_runs (data) > 0;
}

/* The service confirms a wage and closes the connection without a response. The caller gets
 * may_have_run, also for every resend, and the call is not sent to the service again. */
static void
test_backend_closes_after_run (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall call = wage_confirmation (cluster, "closes");
  struct HttpReply *reply;

  CU_ASSERT_TRUE (create_program (cluster, 0, "closes"));
  CU_ASSERT_TRUE (standin_control (cluster->tools[0].address, "{\"close_after_run\":1}"));
  reply = call_send (cluster, &call);
  CU_ASSERT_STRING_EQUAL (reply_ran (reply), "may_have_run");
  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    {
      call.address = cluster->instances[i].address;
      reply = call_send (cluster, &call);
      CU_ASSERT_STRING_EQUAL (reply_ran (reply), "may_have_run");
      CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "may_have_run");
    }
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 1);
  call.sequence = 2; /* the branch continues */
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 2);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* A client sends the same confirmation to every instance at once, twice. */
static void
test_sent_to_all_instances_at_once (void)
{
  enum
  {
    N_SENDS = 6
  };
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall call = wage_confirmation (cluster, "at-once");
  struct CallThread threads[N_SENDS];

  CU_ASSERT_TRUE (create_program (cluster, 0, "at-once"));
  CU_ASSERT_TRUE (standin_control (cluster->tools[0].address, "{\"delay_ms\":300}"));
  for (uint32_t i = 0; i < N_SENDS; i++)
    {
      call.address = cluster->instances[i % cluster->options.n_instances].address;
      call_thread_start (&threads[i], &call);
    }
  for (uint32_t i = 0; i < N_SENDS; i++)
    {
      call_thread_join (&threads[i]);
      CU_ASSERT_EQUAL (threads[i].reply->status, 200);
      CU_ASSERT_STRING_EQUAL (threads[i].reply->body, threads[0].reply->body);
    }
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 1);
  for (uint32_t i = 0; i < N_SENDS; i++)
    talloc_free (threads[i].reply);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The home is killed while the service runs the call. The new home finds the journaled intent
 * without an outcome, replies may_have_run and does not send the call again. If another instance
 * owns the service's queue, it may still deliver the outcome; the reply is then the service's
 * response. */
static void
test_home_killed_while_the_service_runs (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall call = wage_confirmation (cluster, "killed");
  struct CallThread thread;
  struct HttpReply *reply;
  int32_t home;

  CU_ASSERT_TRUE (create_program (cluster, 0, "killed"));
  CU_ASSERT_TRUE (standin_control (cluster->tools[0].address, "{\"delay_ms\":1000}"));
  home = cluster_home (cluster, "killed");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  call.address = cluster->instances[home].address;
  call_thread_start (&thread, &call);
  /* The tool counts a run when it ends, so the test cannot wait for its start; the sleep makes a
   * kill during the run likely. */
  sleep_ms (400);
  process_kill (cluster->instances[home].process);
  call_thread_join (&thread);
  talloc_free (thread.reply);
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_TRUE (strcmp (reply_ran (reply), "may_have_run") == 0
                  || strcmp (reply_ran (reply), "ran") == 0);
  CU_ASSERT_TRUE (wait_for (tool_has_run, cluster) || strcmp (reply_ran (reply), "ran") != 0);
  CU_ASSERT_TRUE (cluster_tool_runs (cluster) <= 1);
  call_send_until_final (cluster, &call);
  CU_ASSERT_TRUE (cluster_tool_runs (cluster) <= 1);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The home is paused while another instance takes over its programs, resumes with a stale ledger
 * and receives the same confirmation. It must neither run it again nor reply not_run. */
static void
test_paused_home_resumed_after_takeover (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall call = wage_confirmation (cluster, "paused");
  struct HttpReply *reply;
  int32_t home;

  CU_ASSERT_TRUE (create_program (cluster, 0, "paused"));
  home = cluster_home (cluster, "paused");
  CU_ASSERT_TRUE_FATAL (home >= 0);
  CU_ASSERT_TRUE (process_signal (cluster->instances[home].process, SIGSTOP));
  call.address = cluster->instances[(home + 1) % 3].address;
  for (uint32_t i = 0; i < 50; i++)
    {
      reply = call_send (cluster, &call);
      if (reply->status == 200)
        break;
      sleep_ms (500);
    }
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_TRUE (process_signal (cluster->instances[home].process, SIGCONT));
  call.address = cluster->instances[home].address;
  for (uint32_t i = 0; i < 10; i++)
    {
      reply = call_send (cluster, &call);
      CU_ASSERT_STRING_NOT_EQUAL (reply_ran (reply), "not_run");
    }
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 1);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "at most once";
const struct TestCase test_cases[] = {
  { "backend server closes after the run", test_backend_closes_after_run },
  { "sent to all instances at once", test_sent_to_all_instances_at_once },
  { "home killed while the service runs", test_home_killed_while_the_service_runs },
  { "paused home resumed after takeover", test_paused_home_resumed_after_takeover },
  { NULL, NULL },
};
