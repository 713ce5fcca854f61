/* Checks outages of the platform's key-value service that last longer than the instances' leases.
 * An instance could then treat itself or others as failed and move programs. No history may be
 * lost, a program's calls continue in order, a call that got not_run has not run, and a
 * non-idempotent request runs at most once. */
#include "calls.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

enum
{
  LEASE_MS = 2000
};

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 1,
                                                       .n_tools = 1 };

/* Returns "INCARNATION INCARNATION ..." of the members in the first instance's table. */
static char *
member_incarnations (struct Cluster *cluster)
{
  struct HttpReply *reply =
      http_get (cluster, cluster->instances[0].operator_address, "/operator/instances");
  char *list = talloc_strdup (cluster, "");
  json_t *instance;
  size_t i;

  json_array_foreach (json_object_get (reply->json, "instances"), i, instance)
  {
    list = talloc_asprintf_append (list, "%s ",
                                   json_string_value (json_object_get (instance, "incarnation")));
  }
  talloc_free (reply);
  return list;
}

/* Returns whether each instance lists all its members with platform_up. */
static bool
platform_is_up_everywhere (void *data)
{
  struct Cluster *cluster = data;
  bool up = true;

  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    {
      struct HttpReply *reply =
          http_get (cluster, cluster->instances[i].operator_address, "/operator/instances");
      json_t *instance;
      size_t j;

      up = up && json_array_size (json_object_get (reply->json, "instances")) > 0;
      json_array_foreach (json_object_get (reply->json, "instances"), j, instance)
      {
        up = up && json_is_true (json_object_get (instance, "platform_up"));
      }
      talloc_free (reply);
    }
  return up;
}

static struct TestCall
engine_call (struct Cluster *cluster, const char *program, uint64_t sequence)
{
  struct TestCall call = { .address = cluster->instances[0].address,
                           .program = program,
                           .sequence = sequence,
                           .first_attempt = true };

  call.body = chat_body (cluster, "negotiation", "Offer 380.", 20, false);
  return call;
}

static void
platform_set_down (struct Cluster *cluster, const char *mode)
{
  char *json = mode != NULL ? talloc_asprintf (cluster, "{\"down\":{\"mode\":\"%s\"}}", mode)
                            : talloc_strdup (cluster, "{\"down\":null}");

  CU_ASSERT_TRUE (standin_control (cluster->platform.address, json));
}

/* All leases expire while the service is down or hangs. When it is back, no instance may treat
 * itself or another as failed: the programs keep their homes and continue. */
static void
test_long_outage_moves_no_program (void)
{
  static const char *const modes[] = { "refuse", "hang" };

  for (size_t i = 0; i < 2; i++)
    {
      struct Cluster *cluster = cluster_start (NULL, &three_instances);
      struct TestCall call = engine_call (cluster, "stays", 1);
      char *before = NULL;
      int32_t home = -1;

      CU_ASSERT_TRUE (create_program (cluster, 0, "stays"));
      CU_ASSERT_EQUAL (call_send_until_final (cluster, &call)->status, 200);
      CU_ASSERT_TRUE (wait_for (platform_is_up_everywhere, cluster));
      before = member_incarnations (cluster);
      home = cluster_home (cluster, "stays");
      platform_set_down (cluster, modes[i]);
      sleep_ms (3 * LEASE_MS);
      CU_ASSERT_STRING_EQUAL (member_incarnations (cluster), before);
      platform_set_down (cluster, NULL);
      CU_ASSERT_TRUE (wait_for (platform_is_up_everywhere, cluster));
      sleep_ms (3 * LEASE_MS); /* long enough for any effect of an expired lease */
      CU_ASSERT_STRING_EQUAL (member_incarnations (cluster), before);
      CU_ASSERT_EQUAL (cluster_home (cluster, "stays"), home);
      call = engine_call (cluster, "stays", 2);
      CU_ASSERT_EQUAL (call_send_until_final (cluster, &call)->status, 200);
      cluster_stop (cluster, CU_get_number_of_failures () > 0);
    }
}

/* During an outage a non-idempotent call cannot be journaled before it is sent, so it is refused at
 * once with not_run. An engine call, which may run twice, is answered eventually. After the outage
 * the resent non-idempotent call runs once. */
static void
test_calls_during_outage (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct TestCall wage = { .address = cluster->instances[1].address,
                           .program = "wage",
                           .sequence = 1,
                           .service = "field-desk",
                           .path = "/wages/confirm",
                           .body = "{\"wage\":410}",
                           .first_attempt = true };
  struct TestCall call = engine_call (cluster, "model", 1);
  struct CallThread thread;
  struct HttpReply *reply = NULL;

  CU_ASSERT_TRUE (create_program (cluster, 0, "wage"));
  CU_ASSERT_TRUE (create_program (cluster, 0, "model"));
  platform_set_down (cluster, "hang");
  sleep_ms (2 * LEASE_MS); /* long enough for the instances to detect the outage */
  reply = call_send (cluster, &wage);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "platform_down");
  CU_ASSERT_STRING_EQUAL (reply_ran (reply), "not_run");
  call_thread_start (&thread, &call);
  sleep_ms (LEASE_MS);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 0);
  platform_set_down (cluster, NULL);
  call_thread_join (&thread);
  talloc_free (thread.reply);
  CU_ASSERT_EQUAL (call_send_until_final (cluster, &call)->status, 200);
  reply = call_send_until_final (cluster, &wage);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 1);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "outage of the platform";
const struct TestCase test_cases[] = {
  { "long outage moves no program", test_long_outage_moves_no_program },
  { "calls during an outage", test_calls_during_outage },
  { NULL, NULL },
};
