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

struct CallCounts
{
  uint32_t n_answered;
  uint32_t n_rejected_by_server;
  uint32_t n_runs;
};

/* Sends more calls at once than the only plain server has places, through two gateways with these
 * settings. */
static struct CallCounts
send_calls_at_once (const char *settings)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_new (ctx);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct CallCounts counts = { 0 };
  struct ConcurrentCall calls[N_CALLS];

  fleet->gateway_settings = settings;
  fleet_start_all (fleet, 2, 3, NULL, NULL);
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
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
  return counts;
}

/* Guards against gateways that send a plain server more requests than it has places: with queues
 * the calls wait at its owner, the server rejects none, and each runs once. */
static void
test_calls_wait_for_a_full_plain_server (void)
{
  struct CallCounts counts = send_calls_at_once ("[decisions]\nplain_queues = on\n");

  CU_ASSERT_EQUAL (counts.n_rejected_by_server, 0);
  CU_ASSERT_EQUAL (counts.n_answered, N_CALLS);
  CU_ASSERT_EQUAL (counts.n_runs, N_CALLS);
}

/* Shows that the calls are more than the server has places for: without queues, and when owners are
 * switched off, it rejects some of them. */
static void
test_without_queues_the_server_rejects_calls (void)
{
  CU_ASSERT (send_calls_at_once (NULL).n_rejected_by_server > 0);
  CU_ASSERT (
      send_calls_at_once ("[decisions]\nplain_queues = on\nowners = off\n").n_rejected_by_server
      > 0);
}

const char test_suite_name[] = "sessions: queues of plain servers";
const struct TestCase test_cases[] = {
  { "calls wait for a full plain server", test_calls_wait_for_a_full_plain_server },
  { "without queues the server rejects calls", test_without_queues_the_server_rejects_calls },
  { NULL, NULL },
};
