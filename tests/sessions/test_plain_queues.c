#include "test_main.h"

#include "gateways.h"

#include <pthread.h>
#include <stdio.h>

enum
{
  N_CALLS = 48,
  WORK_MS = 40,
  PLACES = 8 + 3 /* slots of the stand-in server's entry, and places in its own queue */
};

struct ConcurrentCall
{
  struct Fleet *fleet;
  uint32_t number;
  uint32_t status;
  pthread_t thread;
};

static void *
send_call (void *data)
{
  struct ConcurrentCall *call = data;
  TALLOC_CTX *ctx = talloc_new (NULL);
  char request[16];

  snprintf (request, sizeof request, "c%u", call->number);
  call->status = tool_send (call->fleet, ctx, call->number % 2, "/safe/1", request)->status;
  talloc_free (ctx);
  return NULL;
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

struct CallCounts
{
  uint32_t n_answered;
  uint32_t n_rejected_by_server;
  uint32_t n_runs;
};

/* Sends more calls at once than the only plain server has places, through two gateways with these
 * settings. The gateways' logs are kept if all calls should be answered and are not. */
static struct CallCounts
send_calls_at_once (const char *settings, bool all_answered)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_new (ctx);
  struct CallCounts counts = { 0 };
  struct ConcurrentCall calls[N_CALLS];

  fleet->gateway_settings = settings;
  fleet_start_all (fleet, 2, 3, NULL, NULL);
  wait_for_one_owner (fleet);
  server_set_capacity (fleet->installation, TOOL_SERVER, WORK_MS, PLACES);
  for (uint32_t i = 0; i < N_CALLS; i++)
    {
      calls[i] = (struct ConcurrentCall){ .fleet = fleet, .number = i };
      pthread_create (&calls[i].thread, NULL, send_call, &calls[i]);
    }
  for (uint32_t i = 0; i < N_CALLS; i++)
    {
      pthread_join (calls[i].thread, NULL);
      counts.n_answered += calls[i].status == 200;
    }
  counts.n_rejected_by_server = server_rejections (fleet->installation, TOOL_SERVER);
  counts.n_runs = server_runs (fleet->installation, TOOL_SERVER);
  printf ("%s%u of %u answered, %u rejected by the server, %u runs\n",
          settings != NULL ? settings : "default settings\n", counts.n_answered, N_CALLS,
          counts.n_rejected_by_server, counts.n_runs);
  fleet_end (fleet, all_answered && counts.n_answered < N_CALLS);
  talloc_free (ctx);
  return counts;
}

/* Patience is off, since there is no other server to try when a busy machine delays a response.
 *
 * Guards against gateways that send a plain server more requests than it has places: with queues
 * the calls wait at its owner, the server rejects none, and each runs once. */
static void
test_calls_wait_for_a_full_plain_server (void)
{
  struct CallCounts counts =
      send_calls_at_once ("[decisions]\nplain_queues = on\npatience = off\n", true);

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
  CU_ASSERT (
      send_calls_at_once ("[decisions]\nplain_queues = on\npatience = off\nowners = off\n", false)
          .n_rejected_by_server
      > 0);
}

const char test_suite_name[] = "sessions: queues of plain servers";
const struct TestCase test_cases[] = {
  { "calls wait for a full plain server", test_calls_wait_for_a_full_plain_server },
  { "without queues the server rejects calls", test_without_queues_the_server_rejects_calls },
  { NULL, NULL },
};
