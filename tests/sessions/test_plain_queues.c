#include "test_main.h"

#include "gateways.h"

#include <pthread.h>
#include <stdio.h>

enum
{
  N_CALLS = 48,
  SLOTS = 8,          /* in the stand-in server's entry */
  PLACES = SLOTS + 3, /* with those of its own queue */
  WORK_MS = 40,
  SLOW_WORK_MS = 300, /* the timeout of /safe/ is 1200 ms */
  N_MEASURED_CALLS = 3 * SLOTS,
  /* A round is repeated when the owner was silent for 60 ms, as on a busy machine: requests are
   * then sent without it, and the server may reject them. */
  ROUNDS_MAX = 5
};

/* A route with more time than /safe/, so that no call is rejected on a busy machine. */
static const char long_route[] =
    "{\"name\":\"long\",\"host\":\"x.example\",\"prefix\":\"/long/\",\"kind\":\"safe\","
    "\"target_latency_ms\":80,\"timeout_ms\":4000,\"service\":\"desk\"}";

/* Patience is off, since there is no other server to try when a busy machine delays a response. */
static const char with_queues[] = "[decisions]\nplain_queues = on\npatience = off\n";

struct ConcurrentCall
{
  struct Fleet *fleet;
  const char *path;
  uint32_t number;
  uint32_t status;
  int64_t took_ms;
  pthread_t thread;
};

static void *
send_call (void *data)
{
  struct ConcurrentCall *call = data;
  TALLOC_CTX *ctx = talloc_new (NULL);
  int64_t began_ms = monotonic_ms ();
  char request[16];

  snprintf (request, sizeof request, "c%u", call->number);
  call->status = tool_send (call->fleet, ctx, call->number % 2, call->path, request)->status;
  call->took_ms = monotonic_ms () - began_ms;
  talloc_free (ctx);
  return NULL;
}

/* Sends n calls at once, with numbers from first, and waits for the responses. */
static void
send_calls (
    struct Fleet *fleet, const char *path, uint32_t first, uint32_t n, struct ConcurrentCall *calls)
{
  for (uint32_t i = 0; i < n; i++)
    {
      calls[i] = (struct ConcurrentCall){ .fleet = fleet, .path = path, .number = first + i };
      pthread_create (&calls[i].thread, NULL, send_call, &calls[i]);
    }
  for (uint32_t i = 0; i < n; i++)
    pthread_join (calls[i].thread, NULL);
}

struct DirectoryWatch
{
  struct Fleet *fleet;
  uint32_t gateway;
};

static bool
gateway_lists_two_gateways (void *data)
{
  const struct DirectoryWatch *watch = data;
  struct HttpReply *reply = http_get (NULL, watch->fleet->gateways[watch->gateway].directory,
                                      "/-/resolve?name=x&region=r&zone=a");
  bool both = json_array_size (json_object_get (reply->json, "addresses")) == 2;

  talloc_free (reply);
  return both;
}

/* Waits until the gateways know each other as ready. Before, each one is the owner of the server,
 * and together they grant twice its slots. */
static void
wait_for_one_owner (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      struct DirectoryWatch watch = { fleet, i };

      CU_ASSERT_TRUE (wait_for (gateway_lists_two_gateways, &watch));
    }
}

static struct Fleet *
plain_fleet_start (TALLOC_CTX *ctx, const char *settings)
{
  struct Fleet *fleet = fleet_new (ctx);

  fleet->gateway_settings = settings;
  fleet_start_all (fleet, 2, 3, NULL, NULL);
  installation_configure (fleet->installation, 2, long_route);
  for (uint32_t i = 0; i < 2; i++)
    CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, "version 2, 4 routes"));
  wait_for_one_owner (fleet);
  return fleet;
}

static uint32_t
fleet_count_event (struct Fleet *fleet, const char *event)
{
  char text[64];
  uint32_t n = 0;

  snprintf (text, sizeof text, "\"event\":\"%s\"", event);
  for (uint32_t i = 0; i < 2; i++)
    n += process_count_output (fleet->gateways[i].process, text);
  return n;
}

struct CallCounts
{
  uint32_t n_answered;
  uint32_t n_rejected_by_server;
  uint32_t n_runs;
  uint32_t n_owner_silent;
};

/* Sends more calls at once than the only plain server has places, through two gateways with these
 * settings. The gateways' logs are kept if all calls should be answered and are not. */
static struct CallCounts
send_calls_at_once (const char *settings, bool all_answered)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = plain_fleet_start (ctx, settings);
  struct CallCounts counts = { 0 };
  struct ConcurrentCall calls[N_CALLS];

  server_set_capacity (fleet->installation, TOOL_SERVER, WORK_MS, PLACES);
  send_calls (fleet, "/long/1", 0, N_CALLS, calls);
  for (uint32_t i = 0; i < N_CALLS; i++)
    counts.n_answered += calls[i].status == 200;
  counts.n_rejected_by_server = server_rejections (fleet->installation, TOOL_SERVER);
  counts.n_runs = server_runs (fleet->installation, TOOL_SERVER);
  counts.n_owner_silent = fleet_count_event (fleet, "owner_silent");
  printf ("%u of %u answered, %u rejected by the server, %u runs, %u without owner\n",
          counts.n_answered, N_CALLS, counts.n_rejected_by_server, counts.n_runs,
          counts.n_owner_silent);
  fleet_end (fleet, all_answered && counts.n_owner_silent == 0 && counts.n_answered < N_CALLS);
  talloc_free (ctx);
  return counts;
}

/* Guards against gateways that send a plain server more requests than it has places: with queues
 * the calls wait at its owner, the server rejects none, and each runs once. */
static void
test_calls_wait_for_a_full_plain_server (void)
{
  struct CallCounts counts = { .n_owner_silent = 1 };

  for (int i = 0; i < ROUNDS_MAX && counts.n_owner_silent > 0; i++)
    counts = send_calls_at_once (with_queues, true);
  CU_ASSERT_EQUAL (counts.n_rejected_by_server, 0);
  CU_ASSERT_EQUAL (counts.n_answered, N_CALLS);
  CU_ASSERT_EQUAL (counts.n_runs, N_CALLS);
}

/* Shows that the calls are more than the server has places for: without queues, and when owners are
 * switched off, it rejects some of them. */
static void
test_without_queues_the_server_rejects_calls (void)
{
  CU_ASSERT (send_calls_at_once (NULL, false).n_rejected_by_server > 0);
  CU_ASSERT (send_calls_at_once ("[decisions]\nplain_queues = on\nowners = off\n", false)
                 .n_rejected_by_server
             > 0);
}

/* Lets the owner measure the slow server, then sends more calls than it can run before their
 * deadline. Returns how many were sent without the owner. */
static uint32_t
send_calls_to_slow_server (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = plain_fleet_start (ctx, with_queues);
  uint32_t n_failed = CU_get_number_of_failures (), n_quick = 0, n_busy, n_silent;
  struct ConcurrentCall calls[N_CALLS];

  server_set_capacity (fleet->installation, TOOL_SERVER, SLOW_WORK_MS, PLACES);
  for (uint32_t n = 0; n < N_MEASURED_CALLS; n += SLOTS)
    send_calls (fleet, "/long/1", n, SLOTS, calls);
  send_calls (fleet, "/safe/1", N_MEASURED_CALLS, N_CALLS, calls);
  n_busy = fleet_count_event (fleet, "servers_busy");
  n_silent = fleet_count_event (fleet, "owner_silent");
  for (uint32_t i = 0; i < N_CALLS; i++)
    {
      char request[16];

      n_quick += calls[i].status == 503 && calls[i].took_ms < SLOW_WORK_MS;
      snprintf (request, sizeof request, "c%u", calls[i].number);
      if (calls[i].status == 503)
        CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, request), 0);
    }
  printf ("%u rejected as busy, %u calls rejected within %d ms, %u without owner\n", n_busy,
          n_quick, SLOW_WORK_MS, n_silent);
  if (n_silent == 0)
    {
      CU_ASSERT (n_quick > 0);
      CU_ASSERT (n_busy >= n_quick);
      CU_ASSERT_EQUAL (server_rejections (fleet->installation, TOOL_SERVER), 0);
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
  return n_silent;
}

/* Guards against calls that wait until their deadline at a server that cannot run them before: they
 * are rejected with 503 before any could have been answered, and do not run. */
static void
test_calls_without_enough_time_are_rejected_at_once (void)
{
  uint32_t n_silent = 1;

  for (int i = 0; i < ROUNDS_MAX && n_silent > 0; i++)
    n_silent = send_calls_to_slow_server ();
  CU_ASSERT_EQUAL (n_silent, 0);
}

const char test_suite_name[] = "sessions: queues of plain servers";
const struct TestCase test_cases[] = {
  { "calls wait for a full plain server", test_calls_wait_for_a_full_plain_server },
  { "calls without enough time are rejected at once",
    test_calls_without_enough_time_are_rejected_at_once },
  { "without queues the server rejects calls", test_without_queues_the_server_rejects_calls },
  { NULL, NULL },
};
