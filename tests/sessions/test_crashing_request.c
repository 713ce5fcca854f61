/* Checks that a request that crashes every engine that runs it is quarantined after two crashes,
 * and that an interrupted call is never reported as not run. Unlimited retries would crash all
 * engines in turn. */
#include "calls.h"
#include "test_main.h"

#include <string.h>

static const struct ClusterOptions three_engines = { .n_instances = 3,
                                                     .n_engines = 3,
                                                     .n_tools = 0 };

static uint32_t
running_engines (struct Cluster *cluster)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    n += process_is_running (cluster->engines[i].process);
  return n;
}

/* A request crashes the engine that runs it, and the retry crashes a second engine. The third must
 * not get it, neither by a retry nor when the caller sends the same body from new programs to other
 * instances. Other calls are still served there. */
static void
test_request_that_crashes_two_engines (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_engines);
  struct TestCall call = { .program = "poison-0",
                           .sequence = 1,
                           .body = chat_body (cluster, "negotiation", "poison", 8, false) };
  struct TestCall harmless = { .program = "harmless", .sequence = 1 };
  struct HttpReply *reply;

  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    CU_ASSERT_TRUE (standin_control (cluster->engines[i].address, "{\"crash_on\":\"poison\"}"));
  CU_ASSERT_TRUE (create_program (cluster, 0, "poison-0"));
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "quarantined");
  CU_ASSERT_EQUAL (running_engines (cluster), 1);
  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    {
      call.program = talloc_asprintf (cluster, "poison-%u", i + 1);
      call.address = cluster->instances[i].address;
      CU_ASSERT_TRUE (create_program (cluster, i, call.program));
      reply = call_send_until_final (cluster, &call);
      CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "quarantined");
      CU_ASSERT_STRING_EQUAL (reply_ran (reply), "not_run");
    }
  CU_ASSERT_EQUAL (running_engines (cluster), 1);
  harmless.body = chat_body (cluster, "negotiation", "soup", 8, false);
  CU_ASSERT_TRUE (create_program (cluster, 1, "harmless"));
  CU_ASSERT_EQUAL (call_send_until_final (cluster, &harmless)->status, 200);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The only engine is killed while it runs a call, and the retry finds no engine to connect to. The
 * retry did not run but the first attempt did in part, so the caller must not get not_run. */
static void
test_retry_does_not_hide_first_attempt (void)
{
  static const struct ClusterOptions one_engine = { .n_instances = 3, .n_engines = 1 };
  struct Cluster *cluster = cluster_start (NULL, &one_engine);
  struct TestCall call = { .address = cluster->instances[0].address,
                           .program = "broken",
                           .sequence = 1,
                           .body = chat_body (cluster, "negotiation", "long", 20000, false),
                           .first_attempt = true };
  struct CallThread thread;

  CU_ASSERT_TRUE (create_program (cluster, 0, "broken"));
  call_thread_start (&thread, &call);
  CU_ASSERT_TRUE (wait_for_engine_runs (cluster, "broken", 1));
  process_kill (cluster->engines[0].process);
  call_thread_join (&thread);
  CU_ASSERT_NOT_EQUAL (thread.reply->status, 200);
  CU_ASSERT_STRING_NOT_EQUAL (reply_ran (thread.reply), "not_run");
  talloc_free (thread.reply);
  /* A resend of the call, which finds no engine at all, must not get it either. */
  call.first_attempt = false;
  call.address = cluster->instances[1].address;
  CU_ASSERT_STRING_NOT_EQUAL (reply_ran (call_send (cluster, &call)), "not_run");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "crashing request";
const struct TestCase test_cases[] = {
  { "request that crashes two engines", test_request_that_crashes_two_engines },
  { "retry does not hide the first attempt", test_retry_does_not_hide_first_attempt },
  { NULL, NULL },
};
