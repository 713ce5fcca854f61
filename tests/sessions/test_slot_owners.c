#include "test_main.h"

#include "gateways.h"

#include <pthread.h>
#include <stdio.h>

enum
{
  N_TURNS = 30,
  EVENT_INTERVAL_MS = 250,
  /* A turn has four events. Turns that start within this time run at the same time. */
  TURN_MS = 900,
  ENGINE_SLOTS = 8,
  IN_TRANSIT = 1 /* granted while the previous turn ends */
};

struct ConcurrentTurn
{
  struct Fleet *fleet;
  uint32_t number;
  uint32_t status;
  pthread_t thread;
};

static void *
send_turn (void *data)
{
  struct ConcurrentTurn *turn = data;
  struct HttpReply *reply;
  char name[16];

  snprintf (name, sizeof name, "p%u", turn->number);
  reply = turn_send (turn->fleet, NULL, 0, name, name, "", 0, "x");
  turn->status = reply->status;
  talloc_free (reply);
  return NULL;
}

static void
start_turns (struct Fleet *fleet, struct ConcurrentTurn turns[N_TURNS])
{
  server_set_event_interval (fleet->installation, FIRST_ENGINE, EVENT_INTERVAL_MS);
  server_set_event_interval (fleet->installation, FIRST_ENGINE + 1, EVENT_INTERVAL_MS);
  for (uint32_t i = 0; i < N_TURNS; i++)
    {
      turns[i] = (struct ConcurrentTurn){ .fleet = fleet, .number = i };
      pthread_create (&turns[i].thread, NULL, send_turn, &turns[i]);
    }
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "\"event\":\"queued\""));
}

static void
expect_slots_kept (struct Fleet *fleet, struct ConcurrentTurn turns[N_TURNS])
{
  for (uint32_t i = 0; i < N_TURNS; i++)
    pthread_join (turns[i].thread, NULL);
  for (uint32_t engine = FIRST_ENGINE; engine < TOOL_SERVER; engine++)
    {
      uint32_t n = server_max_runs_in_window (fleet->installation, engine, TURN_MS);

      printf ("engine %u ran %u turns at once\n", engine, n);
      CU_ASSERT (n <= ENGINE_SLOTS + IN_TRANSIT);
    }
}

/* Guards against engines that are sent twice their slots, because the grants of a killed owner are
 * unknown to the next one. */
static void
test_grants_of_a_killed_owner_count (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 3, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct ConcurrentTurn turns[N_TURNS];

  start_turns (fleet, turns);
  process_kill (fleet->gateways[1].process);
  process_kill (fleet->gateways[2].process);
  expect_slots_kept (fleet, turns);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against engines that are sent twice their slots, because a gateway that starts takes them
 * over without the grants of their previous owner. */
static void
test_grants_count_when_a_gateway_starts (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 3, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct ConcurrentTurn turns[N_TURNS];

  process_kill (fleet->gateways[1].process);
  process_kill (fleet->gateways[2].process);
  start_turns (fleet, turns);
  gateway_start (fleet, 1);
  gateway_start (fleet, 2);
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 1));
  CU_ASSERT_TRUE (gateway_wait_ready (fleet, 2));
  expect_slots_kept (fleet, turns);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: owners of slots";
const struct TestCase test_cases[] = {
  { "grants of a killed owner count", test_grants_of_a_killed_owner_count },
  { "grants count when a gateway starts", test_grants_count_when_a_gateway_starts },
  { NULL, NULL },
};
