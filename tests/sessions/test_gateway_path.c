#include "test_main.h"

#include "gateways.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Returns the stream of a turn as its caller receives it. */
static char *
stream_of (TALLOC_CTX *ctx, const char *turn)
{
  char *text = talloc_strdup (ctx, "");

  for (int i = 1; i <= 4; i++)
    text = talloc_asprintf_append (text, "id: %d\ndata: %s-%d\n\n", i, turn, i);
  return text;
}

/* Returns the data of a turn's stream as the next turn's prompt contains it. */
static char *
data_of (TALLOC_CTX *ctx, const char *turn)
{
  return talloc_asprintf (ctx, "%s-1\n%s-2\n%s-3\n%s-4\n", turn, turn, turn, turn);
}

/* A program sends its turns through alternating gateways, each with only the new input. The engine
 * receives the whole conversation, in order. */
static void
test_program_continues_through_any_gateway (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  char *body = talloc_strdup (ctx, "");
  char turn[16];
  uint32_t n_failed = CU_get_number_of_failures ();

  for (uint32_t i = 0; i < 5; i++)
    {
      struct HttpReply *reply;
      char input[16];

      snprintf (turn, sizeof turn, "t%u", i);
      snprintf (input, sizeof input, "<in%u>", i);
      reply = turn_send_until_accepted (fleet, ctx, i % 2, "p", turn, fleet->last_turn_id, input);
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_STRING_EQUAL (reply->body, stream_of (ctx, fleet->last_turn_id));
      body = talloc_asprintf_append (body, "%s", input);
      CU_ASSERT_STRING_EQUAL (installation_body_of (fleet->installation, ctx, fleet->last_turn_id),
                              body);
      body = talloc_asprintf_append (body, "%s", data_of (ctx, fleet->last_turn_id));
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static void
test_directory_lists_ready_gateways (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;
  json_t *addresses;

  do
    {
      reply = http_get (ctx, fleet->gateways[1].directory, "/-/resolve?name=x&region=r&zone=a");
      addresses = json_object_get (reply->json, "addresses");
    }
  while (json_array_size (addresses) < 2);
  CU_ASSERT_EQUAL (json_array_size (addresses), 2);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (reply->json, "ttl_s")), 2);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a budget that is enforced per gateway: a looping program sends turns through both
 * gateways. Together they return no more tokens than its budget; further turns get 402, not run. */
static void
test_budget_holds_across_gateways (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures (), n_complete = 0, n_broken = 0, n_rejected = 0;
  const uint32_t budget = 500, tokens_per_turn = 4 * TOKENS_PER_EVENT;
  uint32_t n_runs;

  for (uint32_t i = 0; n_rejected < 4 && i < 200; i++)
    {
      struct HttpReply *reply;
      char turn[16];

      snprintf (turn, sizeof turn, "t%u", i);
      reply = turn_send (fleet, ctx, i % 2, "loop", turn, "", budget, "x");
      n_complete += reply->status == 200;
      n_broken += reply->status == 0;
      n_rejected += reply->status == 402;
      if (reply->status != 200 && reply->status != 0)
        CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, turn), 0);
    }
  n_runs = server_runs (fleet->installation, FIRST_ENGINE)
           + server_runs (fleet->installation, FIRST_ENGINE + 1);
  CU_ASSERT_EQUAL (n_runs, n_complete + n_broken);
  CU_ASSERT (n_runs * tokens_per_turn <= budget);
  CU_ASSERT_EQUAL (n_rejected, 4);
  /* A turn's reservation of 200 tokens must fit: after four turns of 76 tokens none does. A turn
   * that was not stored in time, since a disk stalled for seconds, may still count in full. */
  CU_ASSERT (n_runs == 4 || (n_broken > 0 && n_runs >= 2 && n_runs < 4));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static void
test_unknown_turns_and_routes_get_404 (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply = turn_send (fleet, ctx, 0, "p", "t1", "never", 0, "x");

  CU_ASSERT_EQUAL (reply->status, 404);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "t1"), 0);
  reply = tool_send (fleet, ctx, 0, "/nowhere/1", "r1");
  CU_ASSERT_EQUAL (reply->status, 404);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Returns the value of the metric name at address; 0 when it is missing. */
static uint64_t
metric (const char *address, const char *name)
{
  struct HttpReply *reply = http_get (NULL, address, "/metrics");
  char *line = talloc_asprintf (reply, "\n%s ", name);
  const char *at = strstr (reply->body, line);
  uint64_t value = at != NULL ? strtoull (at + strlen (line), NULL, 10) : 0;

  CU_ASSERT_EQUAL (reply->status, 200);
  talloc_free (reply);
  return value;
}

/* A turn appears in the metrics of each process that handled it: its response and duration at the
 * gateway, its disk sync at an archive. Repeated scrapes are not rejected. */
static void
test_metrics_count_a_turn (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *gateway = fleet->gateways[0].metrics;

  CU_ASSERT_EQUAL (turn_send_until_accepted (fleet, ctx, 0, "p", "t1", "", "x")->status, 200);
  tool_send (fleet, ctx, 0, "/nowhere/1", "r1");
  CU_ASSERT_EQUAL (metric (gateway, "buckthornhead_turns_stored_total"), 1);
  CU_ASSERT_EQUAL (metric (gateway, "buckthornhead_answer_stream_milliseconds_count"), 1);
  CU_ASSERT_EQUAL (metric (gateway, "buckthornhead_first_event_milliseconds_count"), 1);
  CU_ASSERT_EQUAL (metric (gateway, "buckthornhead_turn_store_milliseconds_count"), 1);
  CU_ASSERT_EQUAL (metric (gateway, "buckthornhead_requests_rejected_total"), 1);
  for (uint32_t i = 0; i < 40; i++)
    CU_ASSERT (metric (gateway, "buckthornhead_store_call_milliseconds_count") > 0);
  CU_ASSERT (metric (fleet->archives[0].metrics, "buckthornhead_archive_records_total")
                 + metric (fleet->archives[1].metrics, "buckthornhead_archive_records_total")
             > 1);
  CU_ASSERT (metric (fleet->archives[2].metrics, "buckthornhead_disk_sync_milliseconds_count") > 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a gateway that misses a configuration: the operators change it twice in quick
 * succession while one gateway restarts. All gateways end with the newest version. */
static void
test_configuration_reaches_all_gateways (void)
{
  static const char extra[] = "{\"name\":\"new\",\"host\":\"x.example\",\"prefix\":\"/new/\","
                              "\"kind\":\"safe\",\"timeout_ms\":4000,\"service\":\"desk\"}";
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 3, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_configure (fleet->installation, 4, "");
  process_kill (fleet->gateways[2].process);
  gateway_start (fleet, 2);
  installation_configure (fleet->installation, 9, extra);
  for (uint32_t i = 0; i < 3; i++)
    {
      CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, "version 9, 4 routes"));
      CU_ASSERT_EQUAL (tool_send (fleet, ctx, i, "/new/1", "r1")->status, 200);
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against callers that run out of attempts while a gateway starts: after a power loss they
 * retry as soon as its port is open, before it has a configuration and links to the archives. The
 * gateway must defer their requests instead of rejecting them. */
static void
test_starting_gateway_defers_requests (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  int64_t limit_ms = monotonic_ms () + WAIT_LIMIT_MS;
  struct HttpReply *reply;

  process_kill (fleet->gateways[0].process);
  gateway_start (fleet, 0);
  do
    reply = turn_send (fleet, ctx, 0, "p", "t1", "", 0, "x");
  while (reply->status == 0 && monotonic_ms () < limit_ms);
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_STRING_EQUAL (reply->body, stream_of (ctx, "t1"));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

struct ReadyWatch
{
  struct Fleet *fleet;
  uint32_t gateway;
};

static bool
gateway_is_not_ready (void *data)
{
  const struct ReadyWatch *watch = data;
  struct HttpReply *reply =
      http_get (NULL, watch->fleet->gateways[watch->gateway].ready, "/-/ready");
  bool not_ready = reply->status != 200;

  talloc_free (reply);
  return not_ready;
}

/* A planned stop of a gateway during a long stream: the caller receives the complete stream, the
 * gateway reports not ready at once, and the program continues through the other gateway. */
static void
test_planned_stop_interrupts_no_stream (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  struct ReadyWatch watch = { fleet, 0 };
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;
  pid_t pid = fleet->gateways[0].process->pid;

  server_set_event_interval (fleet->installation, FIRST_ENGINE, 300);
  server_set_event_interval (fleet->installation, FIRST_ENGINE + 1, 300);
  /* Sends the signal while the stream is being forwarded. */
  if (fork () == 0)
    {
      sleep_ms (400);
      kill (pid, SIGTERM);
      _exit (0);
    }
  reply = turn_send (fleet, ctx, 0, "p", "t1", "", 0, "x");
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_STRING_EQUAL (reply->body, stream_of (ctx, "t1"));
  CU_ASSERT_TRUE (wait_for (gateway_is_not_ready, &watch));
  CU_ASSERT_EQUAL (turn_send_until_accepted (fleet, ctx, 1, "p", "t2", "t1", "y")->status, 200);
  CU_ASSERT_TRUE (process_wait (fleet->gateways[0].process));
  CU_ASSERT_EQUAL (fleet->gateways[0].process->exit_status, 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static uint32_t
count_registered (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < fleet->n_gateways + fleet->n_archives; i++)
    {
      const char *name = i < fleet->n_gateways ? fleet->gateways[i].name
                                               : fleet->archives[i - fleet->n_gateways].name;

      n += installation_get (fleet->installation, ctx,
                             talloc_asprintf (ctx, "buckthornhead/nodes/%s", name))
           != NULL;
    }
  return n;
}

/* Guards against load on the store at the start of a fleet: without a seed, each process registers
 * there and lists the others, so that a thousand starts cost thousands of calls. With a seed the
 * processes find each other without the store. */
static void
test_seed_replaces_the_store_at_start (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_new (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  fleet->seed_port = session_allocate_port (fleet->session);
  fleet_start_all (fleet, 3, 3, NULL, NULL);
  CU_ASSERT (count_registered (fleet, ctx) <= 2); /* the seed and the zone's aggregator */
  CU_ASSERT_EQUAL (turn_send_until_accepted (fleet, ctx, 2, "p", "t1", "", "x")->status, 200);
  process_kill (fleet->gateways[1].process);
  gateway_start (fleet, 1);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 1));
  CU_ASSERT (count_registered (fleet, ctx) <= 2);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a gateway that waits forever for its seed: the seed's instance has failed for good
 * when a gateway starts, which must fall back to the store. */
static void
test_gateway_starts_without_its_seed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_new (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();

  fleet->seed_port = session_allocate_port (fleet->session);
  fleet_start_all (fleet, 3, 3, NULL, NULL);
  process_kill (fleet->gateways[0].process);
  process_kill (fleet->gateways[2].process);
  gateway_start (fleet, 2);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 2));
  CU_ASSERT_EQUAL (turn_send_until_accepted (fleet, ctx, 2, "p", "t1", "", "x")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: gateway path";
const struct TestCase test_cases[] = {
  { "a program continues through any gateway", test_program_continues_through_any_gateway },
  { "the directory lists the ready gateways", test_directory_lists_ready_gateways },
  { "a budget holds across gateways", test_budget_holds_across_gateways },
  { "unknown turns and routes get 404", test_unknown_turns_and_routes_get_404 },
  { "a configuration reaches all gateways", test_configuration_reaches_all_gateways },
  { "metrics count a turn at each process", test_metrics_count_a_turn },
  { "a starting gateway defers requests", test_starting_gateway_defers_requests },
  { "a planned stop interrupts no stream", test_planned_stop_interrupts_no_stream },
  { "a seed replaces the store at the start", test_seed_replaces_the_store_at_start },
  { "a gateway starts without its seed", test_gateway_starts_without_its_seed },
  { NULL, NULL },
};
