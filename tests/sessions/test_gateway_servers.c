#include "test_main.h"

#include "gateways.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A substitution alert runs at the kitchen's desk and its answer is lost. The caller is told that
 * it may have run; it is not sent a second time, to that server or another. */
static void
test_a_lost_answer_runs_once (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_mode (fleet->installation, DESK, SERVER_LOSES);
  CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/once/1", "r1")->status, 502);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "r1"), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* The answer to a roster, which may be posted twice, is lost without a sign: the connection stays
 * open and silent. Well before the caller's time is over another server is asked, and answers. An
 * alert that may be sent only once is not asked for again. */
static void
test_a_silent_server_is_passed_by_for_what_may_repeat (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_add (fleet->installation, "desk", false, "a", session_port (fleet->session));
  CU_ASSERT_TRUE (process_wait_output (fleet->gateways[0].process, "1 changes, 4 listed"));
  for (int i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/safe/1", "earned")->status, 200);
  server_set_mode (fleet->installation, DESK, SERVER_MUTE);
  server_set_mode (fleet->installation, DESK + 1, SERVER_ANSWERS);
  for (int i = 0; i < 4; i++)
    {
      char request[16];

      snprintf (request, sizeof request, "s%d", i);
      CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/safe/1", request)->status, 200);
      CU_ASSERT (installation_runs_of (fleet->installation, request) <= 2);
    }
  server_set_mode (fleet->installation, DESK, SERVER_MUTE);
  server_set_mode (fleet->installation, DESK + 1, SERVER_MUTE);
  CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/once/1", "o1")->status, 504);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "o1"), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A full desk refuses, and says that it did not run the alert. So may the gateway, with a time to
 * come back. */
static void
test_a_full_server_is_refused_as_not_run (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_mode (fleet->installation, DESK, SERVER_FULL);
  CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/once/1", "r1")->status, 503);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "r1"), 0);
  server_set_mode (fleet->installation, DESK, SERVER_ANSWERS);
  CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/once/1", "r2")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A success without the server's proof is not its answer: never passed on. */
static void
test_a_spoiled_answer_is_not_passed_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_mode (fleet->installation, DESK, SERVER_SPOILS);
  CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/once/1", "r1")->status, 502);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, "r1"), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* An engine dies in the middle of a turn. The caller's stream must not look complete, and nobody
 * may continue from half a turn. */
static void
test_a_broken_stream_does_not_look_complete (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_mode (fleet->installation, ENGINE, SERVER_BREAKS_OFF);
  server_set_mode (fleet->installation, ENGINE + 1, SERVER_BREAKS_OFF);
  CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", "t1", "", 0, "x")->status, 0);
  server_set_mode (fleet->installation, ENGINE, SERVER_ANSWERS);
  server_set_mode (fleet->installation, ENGINE + 1, SERVER_ANSWERS);
  CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", "t2", "t1", 0, "y")->status, 404);
  CU_ASSERT_EQUAL (turn_send (fleet, ctx, 0, "p", "t3", "", 0, "x")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A desk hangs. The caller hears at the route's time, not later, that it may have run. */
static void
test_a_hanging_server_ends_at_the_routes_time (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  server_set_mode (fleet->installation, DESK, SERVER_HANGS);
  CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/once/1", "r1")->status, 504);
  CU_ASSERT (atoi (installation_header_of (fleet->installation, ctx, "r1", "X-Deadline-Ms"))
             <= 1500);
  server_set_mode (fleet->installation, DESK, SERVER_ANSWERS);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

struct DrainWatch
{
  struct Fleet *fleet;
  TALLOC_CTX *ctx;
  uint32_t n, runs;
};

/* True once three requests in a row have passed the draining engine by. */
static bool
engine_is_passed_by (void *data)
{
  struct DrainWatch *watch = data;
  uint32_t before = server_runs (watch->fleet->installation, ENGINE);

  for (int i = 0; i < 3; i++)
    {
      char turn[32];

      snprintf (turn, sizeof turn, "d%u", watch->n++);
      talloc_free (turn_send (watch->fleet, watch->ctx, 0, turn, turn, "", 0, "x"));
    }
  return server_runs (watch->fleet->installation, ENGINE) == before;
}

/* An engine leaves. Soon nothing new goes to it; when it is gone from the list, neither. */
static void
test_a_leaving_server_gets_nothing_new (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  struct DrainWatch watch = { fleet, ctx, 0, 0 };
  uint32_t n_failed = CU_get_number_of_failures (), before;

  server_set_state (fleet->installation, ENGINE, "draining");
  CU_ASSERT_TRUE (process_wait_output (fleet->gateways[0].process, "1 changes, 3 listed"));
  CU_ASSERT_TRUE (wait_for (engine_is_passed_by, &watch));
  before = server_runs (fleet->installation, ENGINE);
  for (int i = 0; i < 20; i++)
    engine_is_passed_by (&watch);
  CU_ASSERT_EQUAL (server_runs (fleet->installation, ENGINE), before);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static bool
close_was_seen (void *data)
{
  return installation_closes_seen (data) > 0;
}

/* A caller closes in the middle of a stream. The engine sees it, and stops working for nobody. */
static void
test_a_callers_close_reaches_the_engine (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct sockaddr_in address = { .sin_family = AF_INET };
  static const char request[] = "POST /turns/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: t1\r\n"
                                "X-Program-Id: p\r\nX-Deadline-Ms: 6000\r\nX-Token-Count: 1,200\r\n"
                                "Content-Length: 1\r\n\r\nx";
  char some[64];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  server_set_pace (fleet->installation, ENGINE, 200);
  server_set_pace (fleet->installation, ENGINE + 1, 200);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)atoi (strchr (fleet->gateways[0].caller, ':') + 1));
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, request, sizeof request - 1, 0), (ssize_t)sizeof request - 1);
  CU_ASSERT (recv (fd, some, sizeof some, 0) > 0);
  close (fd);
  CU_ASSERT_TRUE (wait_for (close_was_seen, fleet->installation));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Another program writes beside the servers' entries, and an engine crashes and starts again under
 * its id. The entries that can't be read name no server and are told once, however often the list
 * is read; the others hold, and calls go on. The engine's start is seen. */
static void
test_entries_that_can_not_be_read_harm_no_other (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  struct Process *gateway = fleet->gateways[0].process;
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_put (fleet->installation, "servers/torn", "{\"service\":\"desk\",\"addr");
  installation_put (fleet->installation, "servers/odd",
                    "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"slots\":\"many\"}");
  CU_ASSERT_TRUE (fleet_wait_output (fleet, "servers/torn is no JSON object"));
  CU_ASSERT_TRUE (fleet_wait_output (fleet, "servers/odd names no availability zone"));
  for (int i = 0; i < 20; i++)
    CU_ASSERT_EQUAL (desk_send (fleet, ctx, 0, "/safe/1", "beside")->status, 200);
  server_restart (fleet->installation, ENGINE);
  CU_ASSERT_TRUE (process_wait_output (gateway, "\"event\":\"server_restarted\""));
  CU_ASSERT_EQUAL (turn_send_until_taken (fleet, ctx, 0, "p", "t1", "", "x")->status, 200);
  CU_ASSERT (process_count (gateway, "\"event\":\"server_entry_malformed\"") <= 2);
  for (uint32_t i = 0; i < fleet->n_archives; i++)
    CU_ASSERT (process_count (fleet->archives[i].process, "\"event\":\"server_entry_malformed\"")
               <= 2);
  CU_ASSERT_EQUAL (process_count (gateway, "\"event\":\"server_restarted\""), 1);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

enum
{
  N_CROWD = 24 /* turns at once: two engines run eight each, and one more is on its way to each */
};

/* The store forgets its history while a server is added and another one leaves: the call that waits
 * for changes can not tell of them. Without a new list the gateways would never know. */
static void
test_changes_are_known_after_history_is_gone (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_set_store (fleet->installation, STORE_REFUSES);
  CU_ASSERT_TRUE (fleet_wait_output (fleet, "\"event\":\"store_lost\""));
  installation_add (fleet->installation, "desk", false, "a", session_port (fleet->session));
  server_set_state (fleet->installation, ENGINE, "draining");
  installation_forget_history (fleet->installation);
  installation_set_store (fleet->installation, STORE_SERVES);
  CU_ASSERT_TRUE (fleet_wait_output (fleet, "\"event\":\"store_history_gone\""));
  CU_ASSERT_TRUE (process_wait_output (fleet->gateways[0].process, "2 changes, 4 listed"));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

struct CrowdTurn
{
  struct Fleet *fleet;
  uint32_t number;
  uint32_t status;
  char id[32]; /* of the attempt that was taken */
  pthread_t thread;
};

/* Sent until it is not sent back any more, as a caller would: where the disks of all archives stall
 * for a second, as on a machine that does much else, turns are truly refused, and did not run. */
static void *
crowd_turn (void *data)
{
  struct CrowdTurn *turn = data;
  int64_t limit_ms = monotonic_ms () + WAIT_LIMIT_MS;
  char program[16];

  snprintf (program, sizeof program, "p%u", turn->number);
  for (uint32_t n = 0; n == 0 || (turn->status == 503 && monotonic_ms () < limit_ms); n++)
    {
      struct HttpReply *reply;

      snprintf (turn->id, sizeof turn->id, "c%u.%u", turn->number, n);
      reply = turn_send (turn->fleet, NULL, 0, program, turn->id, "", 0, "x");
      turn->status = reply->status;
      if (turn->status == 503)
        CU_ASSERT_EQUAL (installation_runs_of (turn->fleet->installation, turn->id), 0);
      talloc_free (reply);
    }
  return NULL;
}

/* More turns than the engines run at once wait for the engines' owners. One owner dies meanwhile,
 * with all that it knew of who waits. Each turn is still sent, once, and answered. */
static void
test_turns_that_wait_outlive_an_owner (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 3, 3);
  uint32_t n_failed = CU_get_number_of_failures (), n_queued;
  struct CrowdTurn crowd[N_CROWD];

  server_set_pace (fleet->installation, ENGINE, 250);
  server_set_pace (fleet->installation, ENGINE + 1, 250);
  for (uint32_t i = 0; i < N_CROWD; i++)
    {
      crowd[i] = (struct CrowdTurn){ .fleet = fleet, .number = i };
      pthread_create (&crowd[i].thread, NULL, crowd_turn, &crowd[i]);
    }
  CU_ASSERT_TRUE (process_wait_output (fleet->gateways[0].process, "\"event\":\"queued\""));
  process_kill (fleet->gateways[1].process);
  process_kill (fleet->gateways[2].process);
  for (uint32_t i = 0; i < N_CROWD; i++)
    {
      pthread_join (crowd[i].thread, NULL);
      if (crowd[i].status != 200)
        printf ("turn %s got %u\n", crowd[i].id, crowd[i].status);
      CU_ASSERT_EQUAL (crowd[i].status, 200);
      CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, crowd[i].id), 1);
    }
  n_queued = process_count (fleet->gateways[0].process, "\"event\":\"queued\"");
  CU_ASSERT (n_queued >= N_CROWD - 2 * (8 + 1) - 2);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: gateway and servers";
const struct TestCase test_cases[] = {
  { "a lost answer runs once", test_a_lost_answer_runs_once },
  { "a silent server is passed by for what may repeat",
    test_a_silent_server_is_passed_by_for_what_may_repeat },
  { "a full server is refused as not run", test_a_full_server_is_refused_as_not_run },
  { "a spoiled answer is not passed on", test_a_spoiled_answer_is_not_passed_on },
  { "a broken stream does not look complete", test_a_broken_stream_does_not_look_complete },
  { "a hanging server ends at the route's time", test_a_hanging_server_ends_at_the_routes_time },
  { "a leaving server gets nothing new", test_a_leaving_server_gets_nothing_new },
  { "a caller's close reaches the engine", test_a_callers_close_reaches_the_engine },
  { "entries that can not be read harm no other", test_entries_that_can_not_be_read_harm_no_other },
  { "changes are known after history is gone", test_changes_are_known_after_history_is_gone },
  { "turns that wait outlive an owner", test_turns_that_wait_outlive_an_owner },
  { NULL, NULL },
};
