/* Promise: a hanging tool holds up only the program that called it. */
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
      bool there = strstr (reply->text, "hiring-agents") != NULL;

      talloc_free (reply);
      if (!there)
        return false;
    }
  return true;
}

static void
change (struct Cluster *cluster, const char *kind, const char *name, const char *text)
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
    fprintf (stderr, "%s %s: %s\n", kind, name, reply->text);
}

/* Calls of service "hiring-agents" end after a second, its programs after five turns. */
static struct Cluster *
start_with_short_timeout (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);

  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  change (cluster, "profile", "short",
          "[profile]\\nname = short\\ncall_timeout = 1s\\nturn_limit = 5\\n");
  change (cluster, "service", "hiring-agents", "short");
  CU_ASSERT_TRUE (wait_for (profile_is_everywhere, cluster));
  return cluster;
}

static void
tool_hang (struct Cluster *cluster, bool hang)
{
  CU_ASSERT_TRUE (
      http_control (cluster->tools[0].address, hang ? "{\"hang\":true}" : "{\"hang\":false}"));
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

/* A wage is to be confirmed and the field desk hangs. The program is told that it may have run, the
 * same at every resend and for good, and goes on with its next call once the desk is back. */
static void
test_call_that_may_run_once (void)
{
  struct Cluster *cluster = start_with_short_timeout ();
  struct TestCall call = wage_confirmation (cluster, "once");
  struct HttpReply *reply;
  uint64_t n_runs;

  CU_ASSERT_TRUE (create_program (cluster, 0, "once"));
  tool_hang (cluster, true);
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
  tool_hang (cluster, false);
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
send_roster (struct Cluster *cluster, uint32_t i)
{
  static const char *const headers[] = { "X-Target-Service: field-desk",
                                         "X-Target-Path: /rosters/read", "Idempotent: true", NULL };

  return http_send (cluster, "POST", cluster->instances[i % 3].address,
                    "/v1/programs/repeatable/calls?branch=main&sequence=1", headers,
                    "{\"roster\":7}");
}

/* A roster is only read, so the call may be sent again: while the desk hangs it is refused with the
 * time to come back, afterwards it is answered. */
static void
test_repeatable_call (void)
{
  struct Cluster *cluster = start_with_short_timeout ();
  int64_t limit_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct HttpReply *reply;

  CU_ASSERT_TRUE (create_program (cluster, 0, "repeatable"));
  tool_hang (cluster, true);
  reply = send_roster (cluster, 0);
  CU_ASSERT_NOT_EQUAL (reply->status, 200);
  CU_ASSERT_PTR_NOT_NULL (
      json_object_get (json_object_get (reply->json, "error"), "retry_after_ms"));
  CU_ASSERT_STRING_NOT_EQUAL (reply_error_kind (reply), "may_have_run");
  tool_hang (cluster, false);
  for (uint32_t i = 0; reply->status != 200 && monotonic_ms () < limit_ms; i++)
    {
      reply = send_roster (cluster, i);
      sleep_ms (100);
    }
  CU_ASSERT_EQUAL (reply->status, 200);
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

/* More confirmations hang than the desk's owner admits at once. Reviews by the engines, through the
 * same instances, go on; when the desk is back, each confirmation runs once. */
static void
test_nothing_else_is_blocked (void)
{
  struct Cluster *cluster = cluster_start (NULL, &three_instances);
  struct CallThread threads[N_HANGING];
  char names[N_HANGING][NAME_BYTES];

  CU_ASSERT_TRUE (cluster_wait_partitions_stable (cluster));
  tool_hang (cluster, true);
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
  CU_ASSERT_EQUAL (cluster_tool_runs (cluster), 0); /* all of it while the desk hung */
  tool_hang (cluster, false);
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
nothing_is_held (void *data)
{
  return cluster_held_tokens (data, "looping") == 0;
}

/* A program asks the same again and again. Its turn limit ends it: the refused call did not run,
 * and the engine holds nothing for it any more. */
static void
test_looping_program_meets_its_turn_limit (void)
{
  struct Cluster *cluster = start_with_short_timeout ();
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
  CU_ASSERT_TRUE (wait_for (nothing_is_held, cluster));
  cluster_stop (cluster, CU_get_number_of_failures () > 0);
}

const char test_suite_name[] = "hanging tool";
const struct TestCase test_cases[] = {
  { "call that may run once", test_call_that_may_run_once },
  { "repeatable call", test_repeatable_call },
  { "nothing else is blocked", test_nothing_else_is_blocked },
  { "looping program meets its turn limit", test_looping_program_meets_its_turn_limit },
  { NULL, NULL },
};
