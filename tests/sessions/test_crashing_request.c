/* A single request that crashes each backend server which runs it is stopped after two. */
#include "calls.h"
#include "test_main.h"

#include <string.h>

static const struct ClusterOptions three_engines = { .n_instances = 3,
                                                     .n_engines = 3,
                                                     .n_tools = 0 };

static uint32_t
engines_alive (struct Cluster *cluster)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    n += process_is_alive (cluster->engines[i].process);
  return n;
}

/* A menu brings down the engine that reads it; the call is tried on a second, which dies too. The
 * third must not get it: not by retry, and not when the caller sends the same menu again under new
 * ids, to other instances. Other calls are still served there. */
static void
test_request_that_stops_two_engines (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_engines);
  struct TestCall call = { .program = "poison-0",
                           .sequence = 1,
                           .body = chat_body (cluster, "negotiation", "poison", 8, false) };
  struct TestCall harmless = { .program = "harmless", .sequence = 1 };
  struct HttpReply *reply;

  for (uint32_t i = 0; i < cluster->options.n_engines; i++)
    CU_ASSERT_TRUE (http_control (cluster->engines[i].address, "{\"crash_on\":\"poison\"}"));
  CU_ASSERT_TRUE (create_program (cluster, 0, "poison-0"));
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "quarantined");
  CU_ASSERT_EQUAL (engines_alive (cluster), 1);
  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    {
      call.program = talloc_asprintf (cluster, "poison-%u", i + 1);
      call.address = cluster->instances[i].address;
      CU_ASSERT_TRUE (create_program (cluster, i, call.program));
      reply = call_send_until_final (cluster, &call);
      CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "quarantined");
      CU_ASSERT_STRING_EQUAL (reply_ran (reply), "not_run");
    }
  CU_ASSERT_EQUAL (engines_alive (cluster), 1);
  harmless.body = chat_body (cluster, "negotiation", "soup", 8, false);
  CU_ASSERT_TRUE (create_program (cluster, 1, "harmless"));
  CU_ASSERT_EQUAL (call_send_until_final (cluster, &harmless)->status, 200);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* The only engine dies while it reads a menu. The call is tried again, and that try finds nobody to
 * connect to: it certainly did not run. The first one did, in part, so the cook must not hear "not
 * run" of the request. */
static void
test_last_try_does_not_speak_for_the_first (void)
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
  /* Nor of the same call sent again, which finds no engine at all. */
  call.first_attempt = false;
  call.address = cluster->instances[1].address;
  CU_ASSERT_STRING_NOT_EQUAL (reply_ran (call_send (cluster, &call)), "not_run");
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "crashing request";
const struct TestCase test_cases[] = {
  { "request that stops two engines", test_request_that_stops_two_engines },
  { "last try does not speak for the first", test_last_try_does_not_speak_for_the_first },
  { NULL, NULL },
};
