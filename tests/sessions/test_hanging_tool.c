/* Checks that a hanging tool delays only the programs that call it. Their open calls could use up
 * what the instances or the tool's owner admit at once and so block engine calls, too. */
#include "calls.h"
#include "test_main.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_HANGING = 24,
  N_OTHERS = 12,
  TURN_LIMIT = 5,
  TURNS_MAX = 20,
  NAME_BYTES = 32
};

static const struct ClusterOptions three_instances = { .n_instances = 3,
                                                       .n_engines = 1,
                                                       .n_tools = 1 };

static bool
profile_is_everywhere (void *data)
{
  struct Cluster *cluster = data;

  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    {
      struct HttpReply *reply =
          http_get (NULL, cluster->instances[i].operator_address, "/operator/services");
      bool present = strstr (reply->body, "hiring-agents") != NULL;

      talloc_free (reply);
      if (!present)
        return false;
    }
  return true;
}

static void
apply_change (struct Cluster *cluster, const char *kind, const char *name, const char *text)
{
  char *body = talloc_asprintf (cluster,
                                "{\"kind\":\"%s\",\"name\":\"%s\",\"text\":\"%s\","
                                "\"change_id\":\"%s-%s\",\"who\":\"test\",\"reason\":\"hang\","
                                "\"expected_revision\":0}",
                                kind, name, text, kind, name);
  struct HttpReply *reply = http_send (cluster, "POST", cluster->instances[0].operator_address,
                                       "/operator/changes", NULL, body);

  CU_ASSERT_EQUAL (reply->status, 200);
  if (reply->status != 200)
    fprintf (stderr, "%s %s: %s\n", kind, name, reply->body);
}

/* Sets a call timeout of 1 s and a limit of five turns for programs of service "hiring-agents". */
static struct Cluster *
start_with_short_limits (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);

  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  apply_change (cluster, "profile", "short",
                "[profile]\\nname = short\\ncall_timeout = 1s\\nturn_limit = 5\\n");
  apply_change (cluster, "service", "hiring-agents", "short");
  CU_ASSERT_TRUE (wait_for (profile_is_everywhere, cluster));
  return cluster;
}

static void
tool_set_hanging (struct Cluster *cluster, bool hanging)
{
  CU_ASSERT_TRUE (standin_control (cluster->tools[0].address,
                                   hanging ? "{\"hang\":true}" : "{\"hang\":false}"));
}

static struct TestCall
wage_confirmation (struct Cluster *cluster, const char *program)
{
  struct TestCall call = { .address = cluster->instances[0].address,
                           .program = program,
                           .sequence = 1,
                           .service = "field-desk",
                           .path = "/wages/confirm",
                           .body = "{\"wage\":410}",
                           .first_attempt = true };

  return call;
}

/* The tool hangs during a non-idempotent call. The program gets may_have_run, also for every resend
 * and after the tool has recovered, and continues with its next call. */
static void
test_non_idempotent_call (void)
{
  struct Cluster *cluster = start_with_short_limits ();
  struct TestCall call = wage_confirmation (cluster, "once");
  struct HttpReply *reply;
  uint64_t n_runs;

  CU_ASSERT_TRUE (create_program (cluster, 0, "once"));
  tool_set_hanging (cluster, true);
  reply = call_send (cluster, &call);
  CU_ASSERT_STRING_EQUAL (reply_ran (reply), "may_have_run");
  call.first_attempt = false;
  for (uint32_t i = 0; i < cluster->options.n_instances; i++)
    {
      call.address = cluster->instances[i].address;
      reply = call_send (cluster, &call);
      CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "may_have_run");
      CU_ASSERT_STRING_EQUAL (reply_ran (reply), "may_have_run");
    }
  tool_set_hanging (cluster, false);
  call.sequence = 2;
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_EQUAL (reply->status, 200);
  n_runs = cluster_tool_runs (cluster);
  call.sequence = 1;
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "may_have_run");
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), n_runs);
  CU_ASSERT_TRUE (n_runs <= 2);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

static struct HttpReply *
send_idempotent_call (struct Cluster *cluster, uint32_t i)
{
  static const char *const headers[] = { "X-Target-Service: field-desk",
                                         "X-Target-Path: /rosters/read", "Idempotent: true", NULL };

  return http_send (cluster, "POST", cluster->instances[i % 3].address,
                    "/v1/programs/repeatable/calls?branch=main&sequence=1", headers,
                    "{\"roster\":7}");
}

/* An idempotent call may be retried: while the tool hangs it is rejected with retry_after_ms,
 * afterwards it is answered. */
static void
test_idempotent_call (void)
{
  struct Cluster *cluster = start_with_short_limits ();
  int64_t deadline_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct HttpReply *reply;

  CU_ASSERT_TRUE (create_program (cluster, 0, "repeatable"));
  tool_set_hanging (cluster, true);
  reply = send_idempotent_call (cluster, 0);
  CU_ASSERT_NOT_EQUAL (reply->status, 200);
  CU_ASSERT_PTR_NOT_NULL (
      json_object_get (json_object_get (reply->json, "error"), "retry_after_ms"));
  CU_ASSERT_STRING_NOT_EQUAL (reply_error_kind (reply), "may_have_run");
  tool_set_hanging (cluster, false);
  for (uint32_t i = 0; reply->status != 200 && monotonic_ms () < deadline_ms; i++)
    {
      reply = send_idempotent_call (cluster, i);
      sleep_ms (100);
    }
  CU_ASSERT_EQUAL (reply->status, 200);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* More calls hang than the tool's owner admits at once. Engine calls through the same instances are
 * still served; when the tool recovers, each hanging call runs once. */
static void
test_other_calls_not_blocked (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct CallThread threads[N_HANGING];
  char names[N_HANGING][NAME_BYTES];

  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  tool_set_hanging (cluster, true);
  for (uint32_t i = 0; i < N_HANGING; i++)
    {
      struct TestCall call = wage_confirmation (cluster, names[i]);

      snprintf (names[i], NAME_BYTES, "hanging-%u", i);
      CU_ASSERT_TRUE (create_program (cluster, i % 3, names[i]));
      call.address = cluster->instances[i % 3].address;
      call_thread_start (&threads[i], &call);
    }
  for (uint32_t i = 0; i < N_OTHERS; i++)
    {
      char *name = talloc_asprintf (cluster, "other-%u", i);
      struct TestCall call = { .program = name, .sequence = 1 };

      call.body = chat_body (cluster, "negotiation", name, 8, false);
      CU_ASSERT_TRUE (create_program (cluster, i % 3, name));
      CU_ASSERT_EQUAL (call_send_until_final (cluster, &call)->status, 200);
    }
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 0); /* the tool was still hanging */
  tool_set_hanging (cluster, false);
  for (uint32_t i = 0; i < N_HANGING; i++)
    {
      call_thread_join (&threads[i]);
      CU_ASSERT_EQUAL (threads[i].reply->status, 200);
      talloc_free (threads[i].reply);
    }
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), N_HANGING);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

static bool
memory_is_released (void *data)
{
  return cluster_held_tokens (data, "looping") == 0;
}

/* A program repeats the same call in a loop. Its turn limit ends it: the refused call did not run,
 * and the engine holds no memory for it any more. */
static void
test_turn_limit_ends_looping_program (void)
{
  struct Cluster *cluster = start_with_short_limits ();
  struct TestCall call = { .program = "looping" };
  struct HttpReply *reply = NULL;
  uint32_t n_answers = 0;

  CU_ASSERT_TRUE (create_program (cluster, 0, "looping"));
  call.body = chat_body (cluster, "negotiation", "again", 8, false);
  while (call.sequence < TURNS_MAX)
    {
      call.sequence++;
      reply = call_send_until_final (cluster, &call);
      if (reply->status != 200)
        break;
      n_answers++;
    }
  CU_ASSERT_EQUAL (n_answers, TURN_LIMIT);
  CU_ASSERT_STRING_EQUAL (reply_ran (reply), "not_run");
  CU_ASSERT_EQUAL (cluster_engine_runs (cluster, "looping"), TURN_LIMIT);
  reply = call_send_until_final (cluster, &call);
  CU_ASSERT_STRING_EQUAL (reply_error_kind (reply), "ended");
  CU_ASSERT_TRUE (wait_for (memory_is_released, cluster));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "hanging tool";
const struct TestCase test_cases[] = {
  { "non-idempotent call", test_non_idempotent_call },
  { "idempotent call", test_idempotent_call },
  { "other calls are not blocked", test_other_calls_not_blocked },
  { "turn limit ends a looping program", test_turn_limit_ends_looping_program },
  { NULL, NULL },
};
