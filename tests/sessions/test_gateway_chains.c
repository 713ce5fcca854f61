/* Chains of turns whose programs, gateways and archives change from turn to turn. */
#include "test_main.h"

#include "gateways.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  N_CHAINS = 8,
  /* Times since the first turns of short-lived chains, in ms. */
  CONTINUED_MS = 27000,
  DISK_LOST_MS = 49000 /* after the retention of the first turns and its slack */
};

static const char short_lived_route[] =
    "{\"name\":\"brief\",\"host\":\"x.example\",\"prefix\":\"/brief/\",\"kind\":\"stream\","
    "\"timeout_ms\":8000,\"service\":\"engines\",\"max_attempts\":2,\"retain\":true,"
    "\"retention_s\":30.0,\"sticky\":true}";

struct Chain
{
  struct Fleet *fleet;
  char name[16];
  char last[64]; /* id of the last turn; "" before the first */
  uint32_t n;    /* turns so far */
};

/* Continues the chain with a turn of a program of its own, and returns the status. */
static uint32_t
chain_continue (struct Chain *chain, uint32_t gateway)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char program[32], turn[32], input[32];
  const struct HttpReply *reply;
  uint32_t status;

  snprintf (program, sizeof program, "program%s%u", chain->name, chain->n);
  snprintf (turn, sizeof turn, "turn%s%u", chain->name, chain->n);
  snprintf (input, sizeof input, "<input %u>", chain->n);
  reply = turn_send_until_accepted (chain->fleet, ctx, gateway, program, turn, chain->last, input);
  status = reply->status;
  if (status == 200)
    {
      snprintf (chain->last, sizeof chain->last, "%s", chain->fleet->last_turn_id);
      chain->n++;
    }
  talloc_free (ctx);
  return status;
}

/* Returns whether the body of the last turn has the inputs of all turns of the chain, in order. */
static bool
chain_is_whole (const struct Chain *chain)
{
  char *body = installation_body_of (chain->fleet->installation, NULL, chain->last);
  const char *at = body;

  for (uint32_t i = 0; i < chain->n && at != NULL; i++)
    {
      char input[32];

      snprintf (input, sizeof input, "<input %u>", i);
      at = strstr (at, input);
    }
  talloc_free (body);
  return at != NULL;
}

/* A conversation whose messages are programs of their own ended with 503 for good after some dozens
 * of turns, without any disturbance. */
static void
test_a_long_conversation_goes_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Chain chain = { .fleet = fleet_start (ctx, 3, 3) };
  uint32_t n_failed = CU_get_number_of_failures ();

  for (uint32_t i = 0; i < 120 && CU_get_number_of_failures () == n_failed; i++)
    CU_ASSERT_EQUAL (chain_continue (&chain, i % 3), 200);
  CU_ASSERT_TRUE (chain_is_whole (&chain));
  fleet_end (chain.fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Of the two archives that had the first turn, the one that did not store the second turn let it
 * expire, although the second could still be continued. The loss of the other's disk ended the
 * chain. */
static void
test_a_chain_of_several_programs_survives_a_lost_disk (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 1, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Chain chains[N_CHAINS] = { 0 };
  int64_t started_ms;

  installation_configure (fleet->installation, 2, short_lived_route);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "version 2, 4 routes"));
  fleet->turn_path = "/brief/1";
  started_ms = monotonic_ms ();
  for (uint32_t i = 0; i < N_CHAINS; i++)
    {
      chains[i].fleet = fleet;
      snprintf (chains[i].name, sizeof chains[i].name, "c%u-", i);
      CU_ASSERT_EQUAL (chain_continue (&chains[i], 0), 200);
    }
  sleep_ms (started_ms + CONTINUED_MS - monotonic_ms ());
  for (uint32_t i = 0; i < N_CHAINS; i++)
    CU_ASSERT_EQUAL (chain_continue (&chains[i], 0), 200);
  sleep_ms (started_ms + DISK_LOST_MS - monotonic_ms ());
  process_kill (fleet->archives[0].process);
  archive_delete_data (fleet, 0);
  archive_start (fleet, 0, false);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[0].process, "archive_complete"));
  for (uint32_t i = 0; i < N_CHAINS && CU_get_number_of_failures () == n_failed; i++)
    {
      CU_ASSERT_EQUAL (chain_continue (&chains[i], 0), 200);
      CU_ASSERT_TRUE (chain_is_whole (&chains[i]));
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* One archive after the other is suspended while a chain goes on, then one loses its disk. An
 * archive that stores a turn in place of a suspended one must have the turns before it. */
static void
test_a_chain_moves_to_other_archives_as_a_whole (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start (ctx, 2, 3);
  struct Chain chain = { .fleet = fleet };
  uint32_t n_failed = CU_get_number_of_failures ();

  for (uint32_t i = 0; i < 24 && CU_get_number_of_failures () == n_failed; i++)
    {
      struct Process *suspended = i % 4 != 3 ? fleet->archives[i / 4 % 3].process : NULL;

      if (suspended != NULL)
        process_signal (suspended, SIGSTOP);
      CU_ASSERT_EQUAL (chain_continue (&chain, i % 2), 200);
      if (suspended != NULL)
        process_signal (suspended, SIGCONT);
    }
  CU_ASSERT (process_count_output (fleet->gateways[0].process, "chain_sent")
                 + process_count_output (fleet->gateways[1].process, "chain_sent")
             > 0);
  for (uint32_t i = 0; i < 3 && CU_get_number_of_failures () == n_failed; i++)
    {
      process_kill (fleet->archives[i].process);
      archive_delete_data (fleet, i);
      CU_ASSERT_EQUAL (chain_continue (&chain, 0), 200);
      CU_ASSERT_TRUE (chain_is_whole (&chain));
      archive_start (fleet, i, false);
      CU_ASSERT_TRUE (process_wait_for_output (fleet->archives[i].process, "archive_complete"));
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions_gateway_chains";
const struct TestCase test_cases[] = {
  { "a long conversation goes on", test_a_long_conversation_goes_on },
  { "a chain of several programs survives a lost disk",
    test_a_chain_of_several_programs_survives_a_lost_disk },
  { "a chain moves to other archives as a whole", test_a_chain_moves_to_other_archives_as_a_whole },
  { NULL, NULL },
};
