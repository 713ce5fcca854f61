#include "test_main.h"

#include "gateways.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_EVENTS = 4, /* of a whole stream */
  DOWN_MS = 300,
  ATTEMPT_INTERVAL_MS = 150,
  ATTEMPTS_MAX = 60
};

/* A stream route that keeps no turns and is resumable. */
static const char routes[] =
    "{\"name\":\"asks\",\"host\":\"x.example\",\"prefix\":\"/asks/\",\"kind\":\"stream\","
    "\"timeout_ms\":6000,\"service\":\"engines\",\"max_attempts\":2,\"retain\":false,"
    "\"resumable\":true}";

/* Starts a deployment with two desks, whose first retries are earned. */
static struct Fleet *
answers_start (TALLOC_CTX *ctx, uint32_t n_gateways)
{
  struct Fleet *fleet = fleet_start (ctx, n_gateways, 3);

  installation_add (fleet->installation, "desk", false, "a",
                    session_allocate_port (fleet->session));
  installation_configure (fleet->installation, 2, routes);
  for (uint32_t i = 0; i < n_gateways; i++)
    {
      CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, "version 2, 4 routes"));
      CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, " 4 listed"));
    }
  for (int i = 0; i < 30; i++)
    CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/1", "earned")->status, 200);
  return fleet;
}

static void
engines_set_mode (struct Fleet *fleet, enum ServerMode mode)
{
  server_set_mode (fleet->installation, FIRST_ENGINE, mode);
  server_set_mode (fleet->installation, FIRST_ENGINE + 1, mode);
}

static void
desks_set_mode (struct Fleet *fleet, enum ServerMode mode)
{
  server_set_mode (fleet->installation, TOOL_SERVER, mode);
  server_set_mode (fleet->installation, TOOL_SERVER + 1, mode);
}

/* Sends a turn to engines in this mode. Checks that its caller gets no complete response, that both
 * log lines of the failure name the cause, and that no other turn can continue from it. */
static void
check_turn_is_broken (enum ServerMode mode, const char *cause)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;

  installation_set_crashing_path (fleet->installation, "", DOWN_MS, false);
  engines_set_mode (fleet, mode);
  reply = turn_send (fleet, ctx, 0, "p", "t1", "", 0, "one");
  CU_ASSERT_EQUAL (reply->status, 0);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "t1"), 1);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "turn_stored"), 0);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "attempt_broken"), 1);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, cause), 2);
  engines_set_mode (fleet, SERVER_RESPONDS);
  reply = turn_send_until_accepted (fleet, ctx, 0, "p", "t2", "t1", "two");
  CU_ASSERT_EQUAL (reply->status, 404);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, fleet->last_turn_id), 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a turn stored and framed as complete although its connection ended in an event. */
static void
test_stream_that_closes_within_an_event_is_broken (void)
{
  check_turn_is_broken (SERVER_CLOSES_WITHIN_EVENT, "the stream ended inside an event");
}

/* Guards against trusting a last chunk that a server sends within an event. */
static void
test_chunked_stream_that_ends_within_an_event_is_broken (void)
{
  check_turn_is_broken (SERVER_ENDS_WITHIN_EVENT, "the stream ended inside an event");
}

/* Guards against a crash between two events that looks like the end of the stream. */
static void
test_stream_whose_server_crashes_between_events_is_broken (void)
{
  check_turn_is_broken (SERVER_CRASHES_IN_RESPONSE, "the server's process has ended");
}

/* Guards against turns that break off and spend nothing of their program's budget, or all of it. */
static void
test_broken_turns_spend_what_they_sent (void)
{
  const uint32_t budget = 500, sent_tokens = N_EVENTS / 2 * TOKENS_PER_EVENT;
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures (), n_rejected = 0, n_runs;

  engines_set_mode (fleet, SERVER_CLOSES_WITHIN_EVENT);
  for (uint32_t i = 0; n_rejected < 3 && i < ATTEMPTS_MAX; i++)
    {
      char id[16];
      struct HttpReply *reply;

      snprintf (id, sizeof id, "b%u", i);
      reply = turn_send (fleet, ctx, 0, "loop", id, "", budget, id);
      n_rejected += reply->status == 402;
      CU_ASSERT_NOT_EQUAL (reply->status, 200);
    }
  n_runs = server_runs (fleet->installation, FIRST_ENGINE)
           + server_runs (fleet->installation, FIRST_ENGINE + 1);
  CU_ASSERT_EQUAL (n_rejected, 3);
  CU_ASSERT (n_runs * sent_tokens <= budget);
  CU_ASSERT (n_runs > 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against rejecting sound streams, whose servers end them with their connection. */
static void
test_whole_stream_without_length_is_complete (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();

  engines_set_mode (fleet, SERVER_CLOSES_AT_END);
  for (uint32_t i = 0; i < 5; i++)
    {
      char id[16], previous[16], last[32];
      struct HttpReply *reply;

      snprintf (id, sizeof id, "t%u", i);
      snprintf (previous, sizeof previous, "t%u", i - 1);
      snprintf (last, sizeof last, "data: %s-%u\n\n", id, N_EVENTS);
      reply = turn_send (fleet, ctx, 0, "p", id, i > 0 ? previous : "", 0, "input ");
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (reply->body, last));
    }
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "turn_stored"), 5);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "ended by its connection"), 5);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a resumable stream that is not resumed, since its cut looked like its end. */
static void
test_stream_that_closes_within_an_event_is_resumed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures (), n_resumed = 0;

  for (uint32_t i = 0; i < 8; i++)
    {
      char id[32], last[32];
      const char *headers[] = { "Host: x.example", id, "X-Token-Count: 100,200",
                                "X-Deadline-Ms: 6000", NULL };
      struct HttpReply *reply;

      snprintf (id, sizeof id, "X-Request-Id: r%u", i);
      snprintf (last, sizeof last, "data: r%u-%u\n\n", i, N_EVENTS);
      reply = http_send (ctx, "POST", fleet->gateways[0].caller, "/asks/1", headers, "all");
      CU_ASSERT_EQUAL (reply->status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (reply->body, last));
      n_resumed += installation_runs_of (fleet->installation, id + strlen ("X-Request-Id: ")) == 2;
      /* The next stream is sent to the engine with an idle connection. */
      if (i == 0)
        server_set_mode (fleet->installation,
                         FIRST_ENGINE + (server_runs (fleet->installation, FIRST_ENGINE) == 0),
                         SERVER_CLOSES_WITHIN_EVENT);
    }
  CU_ASSERT (n_resumed > 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against half a body of a plain server that crashes, passed on with a length of its own. */
static void
test_plain_response_of_a_crashed_server_is_broken (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct HttpReply *reply;

  desks_set_mode (fleet, SERVER_CLOSES_AT_END);
  reply = tool_send (fleet, ctx, 0, "/once/1", "whole");
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_STRING_EQUAL (reply->body, "done whole");
  installation_set_crashing_path (fleet->installation, "", DOWN_MS, false);
  desks_set_mode (fleet, SERVER_CRASHES_IN_RESPONSE);
  reply = tool_send (fleet, ctx, 0, "/once/1", "cut");
  CU_ASSERT_EQUAL (reply->status, 502);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "cut"), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a turn that crashes servers while they send, and clears itself each time. */
static void
test_turn_that_crashes_servers_in_their_response_is_quarantined (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  uint32_t status = 0;

  installation_set_crashing_path (fleet->installation, "", DOWN_MS, false);
  engines_set_mode (fleet, SERVER_CRASHES_IN_RESPONSE);
  for (uint32_t i = 0; i < ATTEMPTS_MAX && status != 503; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "q%u", i);
      status = turn_send (fleet, ctx, i % 3, "p", id, "", 0, "crashing")->status;
      CU_ASSERT_NOT_EQUAL (status, 200);
      sleep_ms (ATTEMPT_INTERVAL_MS);
    }
  CU_ASSERT_EQUAL (status, 503);
  CU_ASSERT (installation_crashes (fleet->installation) <= 3);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against an event that grows in a gateway with the default settings. */
static void
test_event_without_an_end_is_bounded_by_default (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();

  engines_set_mode (fleet, SERVER_ENDLESS_EVENT);
  CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", "t1", "", 0, "one")->status, 0);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "too large to hold"), 1);
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "turn_stored"), 0);
  engines_set_mode (fleet, SERVER_RESPONDS);
  CU_ASSERT_EQUAL (turn_send_until_accepted (fleet, ctx, 0, "p", "t2", "", "one")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A caller got a broken connection for a repeatable request that another server can answer. */
static void
test_body_without_an_end_is_retried_elsewhere (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = answers_start (ctx, 1);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_mode (fleet->installation, TOOL_SERVER, SERVER_ENDLESS_BODY);
  for (uint32_t i = 0; i < 6; i++)
    {
      char request[16];

      snprintf (request, sizeof request, "e%u", i);
      CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/1", request)->status, 200);
    }
  CU_ASSERT (process_count_output (fleet->gateways[0].process, "too large to buffer") > 0);
  /* A request that may run once is not sent again. */
  desks_set_mode (fleet, SERVER_ENDLESS_BODY);
  CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/once/1", "once")->status, 502);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "once"), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: gateway and answers that broke off";
const struct TestCase test_cases[] = {
  { "a stream that closes within an event is broken",
    test_stream_that_closes_within_an_event_is_broken },
  { "a chunked stream that ends within an event is broken",
    test_chunked_stream_that_ends_within_an_event_is_broken },
  { "a stream whose server crashes between events is broken",
    test_stream_whose_server_crashes_between_events_is_broken },
  { "broken turns spend what they sent", test_broken_turns_spend_what_they_sent },
  { "a whole stream without a length is complete", test_whole_stream_without_length_is_complete },
  { "a stream that closes within an event is resumed",
    test_stream_that_closes_within_an_event_is_resumed },
  { "a plain response of a crashed server is broken",
    test_plain_response_of_a_crashed_server_is_broken },
  { "a turn that crashes servers in their response is quarantined",
    test_turn_that_crashes_servers_in_their_response_is_quarantined },
  { "an event without an end is bounded by default",
    test_event_without_an_end_is_bounded_by_default },
  { "a body without an end is retried elsewhere", test_body_without_an_end_is_retried_elsewhere },
  { NULL, NULL },
};
