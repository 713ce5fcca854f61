/* Chains of turns whose programs, gateways and archives change from turn to turn. */
#include "test_main.h"

#include "gateways.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct Chain
{
  struct Fleet *fleet;
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

  snprintf (program, sizeof program, "program%u", chain->n);
  snprintf (turn, sizeof turn, "turn%u", chain->n);
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

const char test_suite_name[] = "sessions_gateway_chains";
const struct TestCase test_cases[] = {
  { "a long conversation goes on", test_a_long_conversation_goes_on },
  { NULL, NULL },
};
