#include "test_main.h"

#include "gateways.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two customers; the second one's limit is 4 requests a second. */
static const char both[] = "[{\"name\":\"alma\",\"api_keys\":[\"alma-key-1\",\"alma-key-2\"]},"
                           "{\"name\":\"bela\",\"api_keys\":[\"bela-key-1\"],\"rate_per_s\":4,"
                           "\"burst\":4}]";
/* The first one's second key was taken away. */
static const char fewer[] = "[{\"name\":\"alma\",\"api_keys\":[\"alma-key-1\"]},"
                            "{\"name\":\"bela\",\"api_keys\":[\"bela-key-1\"],\"rate_per_s\":4,"
                            "\"burst\":4}]";
static const char open_route[] = "{\"name\":\"open\",\"host\":\"x.example\",\"prefix\":\"/open/\","
                                 "\"kind\":\"safe\",\"timeout_ms\":4000,\"service\":\"desk\","
                                 "\"public\":true}";

enum
{
  LIMIT_WINDOW_S = 5,
  LIMIT_PER_S = 4,
  LIMIT_SLACK = 20
};

static void
configure (struct Fleet *fleet, uint64_t version, const char *customers)
{
  char taken[32];

  installation_set_customers (fleet->installation, customers);
  installation_configure (fleet->installation, version, open_route);
  snprintf (taken, sizeof taken, "version %llu, 4 routes", (unsigned long long)version);
  for (uint32_t i = 0; i < fleet->n_gateways; i++)
    CU_ASSERT_TRUE (process_wait_output (fleet->gateways[i].process, taken));
}

static struct Fleet *
customers_start (TALLOC_CTX *ctx, uint32_t n_gateways)
{
  struct Fleet *fleet = fleet_start (ctx, n_gateways, 3);

  configure (fleet, 2, both);
  return fleet;
}

struct Ask
{
  uint32_t gateway;
  const char *path, *id, *previous;
  const char *credentials[3]; /* whole headers; NULL at the end */
};

static struct HttpReply *
ask_send (struct Fleet *fleet, TALLOC_CTX *ctx, const struct Ask *ask)
{
  char id[96], after[96];
  const char *headers[10] = { "Host: x.example", id, "X-Program-Id: p", "X-Token-Count: 100,200",
                              "X-Deadline-Ms: 6000" };
  size_t n = 5;

  snprintf (id, sizeof id, "X-Request-Id: %s", ask->id);
  if (ask->previous != NULL)
    {
      snprintf (after, sizeof after, "X-Previous-Turn: %s", ask->previous);
      headers[n++] = after;
    }
  for (size_t i = 0; i < 3 && ask->credentials[i] != NULL; i++)
    headers[n++] = ask->credentials[i];
  return http_send (ctx, "POST", fleet->gateways[ask->gateway].caller, ask->path, headers, "body");
}

/* Sent again, under ids of its own, while the fleet is not sure. */
static uint32_t
ask_until_taken (struct Fleet *fleet, TALLOC_CTX *ctx, struct Ask ask, char id[64])
{
  int64_t limit_ms = monotonic_ms () + WAIT_LIMIT_MS;
  const char *name = ask.id;
  uint32_t status = 503;

  for (uint32_t n = 0; (status == 503 || status == 0) && monotonic_ms () < limit_ms; n++)
    {
      snprintf (id, 64, "%s.%u", name, n);
      ask.id = id;
      status = ask_send (fleet, ctx, &ask)->status;
    }
  return status;
}

/* Callers with keys of every kind, one of whom says that it is somebody else. Each is told one
 * thing; the server hears the customer's name and never a key; and no output of any process holds
 * one. */
static void
test_a_key_is_checked_and_never_passed_on (void)
{
  static const struct
  {
    const char *path;
    const char *credentials[3];
    uint32_t status;
    const char *customer; /* as the server hears it */
  } cases[] = {
    { "/once/1", { "Authorization: Bearer alma-key-1" }, 200, "alma" },
    { "/once/1", { "authorization: bearer alma-key-2", "X-Tenant: bela" }, 200, "alma" },
    { "/once/1", { "Authorization: Bearer bela-key-1", "X_Tenant: alma" }, 200, "bela" },
    { "/once/1", { "Authorization: Bearer alma-key" }, 401, NULL },
    { "/once/1", { "Authorization: Bearer alma-key-1x" }, 401, NULL },
    { "/once/1", { "Authorization: Basic alma-key-1" }, 401, NULL },
    { "/once/1", { "X-Tenant: alma" }, 401, NULL },
    { "/once/1",
      { "Authorization: Bearer alma-key-1", "Authorization: Bearer bela-key-1" },
      401,
      NULL },
    { "/nowhere/1", { "Authorization: Bearer wrong" }, 401, NULL },
    { "/nowhere/1", { "Authorization: Bearer alma-key-1" }, 404, NULL },
    { "/open/1", { NULL }, 200, "" },
    { "/open/1", { "Authorization: Bearer alma-key-1", "X-Tenant: alma" }, 200, "" },
    { "/open/1", { "Authorization: Bearer wrong" }, 200, "" },
  };
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 1);

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char id[16];
      struct Ask ask = { .path = cases[i].path, .id = id };

      snprintf (id, sizeof id, "r%zu", i);
      memcpy (ask.credentials, cases[i].credentials, sizeof ask.credentials);
      CU_ASSERT_EQUAL (ask_send (fleet, ctx, &ask)->status, cases[i].status);
      CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), cases[i].customer != NULL);
      if (cases[i].customer == NULL)
        continue;
      CU_ASSERT_STRING_EQUAL (installation_header_of (fleet->installation, ctx, id, "X-Tenant"),
                              cases[i].customer);
      CU_ASSERT_STRING_EQUAL (
          installation_header_of (fleet->installation, ctx, id, "Authorization"), "");
      CU_ASSERT_STRING_EQUAL (installation_header_of (fleet->installation, ctx, id, "X_Tenant"),
                              "");
    }
  CU_ASSERT_EQUAL (process_count (fleet->gateways[0].process, "-key-"), 0);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (process_count (fleet->archives[i].process, "-key-"), 0);
  CU_ASSERT_PTR_NULL (
      strstr (http_get (ctx, fleet->gateways[0].metrics, "/metrics")->text, "-key-"));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A customer continues another one's turn, by an id that it has seen somewhere. It is told what it
 * would be told of a turn that never was, through each gateway and after all archives have started
 * again; the turn's own customer goes on from it. */
static void
test_a_turn_is_its_customers (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 2);
  struct Ask own = { .path = "/turns/1",
                     .id = "t1",
                     .credentials = { "Authorization: Bearer alma-key-1" } };
  struct Ask other = { .path = "/turns/1",
                       .id = "x1",
                       .credentials = { "Authorization: Bearer bela-key-1" } };
  char turn[64], id[64];

  CU_ASSERT_EQUAL (ask_until_taken (fleet, ctx, own, turn), 200);
  other.previous = turn;
  other.gateway = 1;
  CU_ASSERT_EQUAL (ask_until_taken (fleet, ctx, other, id), 404);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 0);
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  for (uint32_t i = 0; i < 3; i++)
    archive_start (fleet, i, false);
  other.id = "x2";
  CU_ASSERT_EQUAL (ask_until_taken (fleet, ctx, other, id), 404);
  own.id = "t2";
  own.previous = turn;
  own.gateway = 1;
  CU_ASSERT_EQUAL (ask_until_taken (fleet, ctx, own, id), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (installation_body_of (fleet->installation, ctx, id), turn));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A key is taken away: from then on it opens nothing, at a gateway that has just started neither,
 * which hears of the configuration from the others while the store is silent. */
static void
test_a_key_that_was_taken_away_opens_nothing (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 2);
  struct Ask ask = { .path = "/once/1",
                     .id = "r1",
                     .credentials = { "Authorization: Bearer alma-key-2" } };
  char id[64];

  CU_ASSERT_EQUAL (ask_send (fleet, ctx, &ask)->status, 200);
  configure (fleet, 5, fewer);
  for (ask.gateway = 0; ask.gateway < 2; ask.gateway++)
    {
      ask.id = ask.gateway == 0 ? "r2" : "r3";
      CU_ASSERT_EQUAL (ask_send (fleet, ctx, &ask)->status, 401);
    }
  installation_set_store (fleet->installation, STORE_SILENT);
  process_kill (fleet->gateways[1].process);
  gateway_start (fleet, 1);
  CU_ASSERT_TRUE (process_wait_output (fleet->gateways[1].process, "version 5, 4 routes"));
  ask.gateway = 1;
  ask.id = "r4";
  CU_ASSERT_EQUAL (ask_until_taken (fleet, ctx, ask, id), 401);
  ask.id = "r5";
  ask.credentials[0] = "Authorization: Bearer alma-key-1";
  CU_ASSERT_EQUAL (ask_until_taken (fleet, ctx, ask, id), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A customer sends through two gateways as fast as they answer. What runs in any five seconds stays
 * within its limit; the rest is sent back at once as not run; the other customer notices nothing.
 */
static void
test_a_limit_holds_over_two_gateways (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 2);
  const uint32_t bound = (LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_PER_S) * 11 / 10 + LIMIT_SLACK;
  uint32_t n_taken = 0, n_refused = 0, n_others = 0, n_asked = 0;
  int64_t end_ms = monotonic_ms () + LIMIT_WINDOW_S * 1000;

  while (monotonic_ms () < end_ms)
    {
      char id[32];
      struct Ask ask = { .gateway = n_asked % 2, .path = "/once/1", .id = id };
      bool other = n_asked % 20 == 0;
      uint32_t status;

      snprintf (id, sizeof id, "r%u", n_asked++);
      ask.credentials[0] =
          other ? "Authorization: Bearer alma-key-1" : "Authorization: Bearer bela-key-1";
      status = ask_send (fleet, ctx, &ask)->status;
      n_others += other && status != 200;
      n_taken += !other && status == 200;
      n_refused += status == 429;
      if (status == 429)
        CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 0);
      sleep_ms (10);
    }
  CU_ASSERT (n_taken <= bound);
  CU_ASSERT (n_taken >= LIMIT_PER_S * LIMIT_WINDOW_S);
  CU_ASSERT (n_refused > 0);
  CU_ASSERT_EQUAL (n_others, 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (http_get (ctx, fleet->gateways[0].metrics, "/customers")->text, "\"bela\""));
  CU_ASSERT (process_count (fleet->gateways[0].process, "customer_over_limit") > 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateway_customers";
const struct TestCase test_cases[] = {
  { "a key is checked and never passed on", test_a_key_is_checked_and_never_passed_on },
  { "a turn is its customer's", test_a_turn_is_its_customers },
  { "a key that was taken away opens nothing", test_a_key_that_was_taken_away_opens_nothing },
  { "a limit holds over two gateways", test_a_limit_holds_over_two_gateways },
  { NULL, NULL },
};
