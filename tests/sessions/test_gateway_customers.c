#include "test_main.h"

#include "gateways.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two customers, the second one limited to 4 requests per second. */
static const char customers[] = "[{\"name\":\"alma\",\"api_keys\":[\"alma-key-1\",\"alma-key-2\"]},"
                                "{\"name\":\"bela\",\"api_keys\":[\"bela-key-1\"],\"rate_per_s\":4,"
                                "\"burst\":4}]";
/* The same after the first customer's second key was revoked. */
static const char customers_key_revoked[] =
    "[{\"name\":\"alma\",\"api_keys\":[\"alma-key-1\"]},"
    "{\"name\":\"bela\",\"api_keys\":[\"bela-key-1\"],\"rate_per_s\":4,"
    "\"burst\":4}]";
static const char public_route[] =
    "{\"name\":\"open\",\"host\":\"x.example\",\"prefix\":\"/open/\","
    "\"kind\":\"safe\",\"timeout_ms\":4000,\"service\":\"desk\","
    "\"public\":true}";

enum
{
  LIMIT_WINDOW_S = 5,
  LIMIT_PER_S = 4,
  LIMIT_SLACK = 20
};

static void
configure (struct Fleet *fleet, uint64_t version, const char *customers_json)
{
  char log_text[32];

  installation_set_customers (fleet->installation, customers_json);
  installation_configure (fleet->installation, version, public_route);
  snprintf (log_text, sizeof log_text, "version %llu, 4 routes", (unsigned long long)version);
  for (uint32_t i = 0; i < fleet->n_gateways; i++)
    CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, log_text));
}

static struct Fleet *
customers_start (TALLOC_CTX *ctx, uint32_t n_gateways)
{
  struct Fleet *fleet = fleet_start (ctx, n_gateways, 3);

  configure (fleet, 2, customers);
  return fleet;
}

struct TestRequest
{
  uint32_t gateway;
  const char *path, *id, *previous;
  const char *credentials[3]; /* complete headers; NULL at the end */
};

static struct HttpReply *
send_request (struct Fleet *fleet, TALLOC_CTX *ctx, const struct TestRequest *request)
{
  char id[96], after[96];
  const char *headers[10] = { "Host: x.example", id, "X-Program-Id: p", "X-Token-Count: 100,200",
                              "X-Deadline-Ms: 6000" };
  size_t n = 5;

  snprintf (id, sizeof id, "X-Request-Id: %s", request->id);
  if (request->previous != NULL)
    {
      snprintf (after, sizeof after, "X-Previous-Turn: %s", request->previous);
      headers[n++] = after;
    }
  for (size_t i = 0; i < 3 && request->credentials[i] != NULL; i++)
    headers[n++] = request->credentials[i];
  return http_send (ctx, "POST", fleet->gateways[request->gateway].caller, request->path, headers,
                    "body");
}

/* Sends the request, with a new id each time, until its status is neither 503 nor 0 (no response).
 * Stores the last id in id and returns the last status. */
static uint32_t
send_until_accepted (struct Fleet *fleet, TALLOC_CTX *ctx, struct TestRequest request, char id[64])
{
  int64_t limit_ms = monotonic_ms () + WAIT_LIMIT_MS;
  const char *name = request.id;
  uint32_t status = 503;

  for (uint32_t n = 0; (status == 503 || status == 0) && monotonic_ms () < limit_ms; n++)
    {
      snprintf (id, 64, "%s.%u", name, n);
      request.id = id;
      status = send_request (fleet, ctx, &request)->status;
    }
  return status;
}

/* Guards against a wrong mapping of keys to customers and against leaked keys: requests with valid,
 * wrong, malformed, duplicate and missing keys, and with forged customer headers. The server
 * receives the customer's name but never a key, and no log or metric contains one. */
static void
test_key_is_checked_and_not_forwarded (void)
{
  static const struct
  {
    const char *path;
    const char *credentials[3];
    uint32_t status;
    const char *customer; /* as the server receives it */
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
      struct TestRequest request = { .path = cases[i].path, .id = id };

      snprintf (id, sizeof id, "r%zu", i);
      memcpy (request.credentials, cases[i].credentials, sizeof request.credentials);
      CU_ASSERT_EQUAL (send_request (fleet, ctx, &request)->status, cases[i].status);
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
  CU_ASSERT_EQUAL (process_count_output (fleet->gateways[0].process, "-key-"), 0);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (process_count_output (fleet->archives[i].process, "-key-"), 0);
  CU_ASSERT_PTR_NULL (
      strstr (http_get (ctx, fleet->gateways[0].metrics, "/metrics")->body, "-key-"));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a customer that continues another customer's turn by its id. It gets the same 404
 * as for a turn that does not exist, also after all archives have restarted, while the turn's own
 * customer can continue it. */
static void
test_turn_belongs_to_its_customer (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 2);
  struct TestRequest own = { .path = "/turns/1",
                             .id = "t1",
                             .credentials = { "Authorization: Bearer alma-key-1" } };
  struct TestRequest other = { .path = "/turns/1",
                               .id = "x1",
                               .credentials = { "Authorization: Bearer bela-key-1" } };
  char turn[64], id[64];

  CU_ASSERT_EQUAL (send_until_accepted (fleet, ctx, own, turn), 200);
  other.previous = turn;
  other.gateway = 1;
  CU_ASSERT_EQUAL (send_until_accepted (fleet, ctx, other, id), 404);
  CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 0);
  for (uint32_t i = 0; i < 3; i++)
    process_kill (fleet->archives[i].process);
  for (uint32_t i = 0; i < 3; i++)
    archive_start (fleet, i, false);
  other.id = "x2";
  CU_ASSERT_EQUAL (send_until_accepted (fleet, ctx, other, id), 404);
  own.id = "t2";
  own.previous = turn;
  own.gateway = 1;
  CU_ASSERT_EQUAL (send_until_accepted (fleet, ctx, own, id), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (installation_body_of (fleet->installation, ctx, id), turn));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a revoked key that is still accepted, also at a gateway that restarts while the
 * store does not respond and receives the configuration from the others. */
static void
test_revoked_key_is_rejected (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 2);
  struct TestRequest request = { .path = "/once/1",
                                 .id = "r1",
                                 .credentials = { "Authorization: Bearer alma-key-2" } };
  char id[64];

  CU_ASSERT_EQUAL (send_request (fleet, ctx, &request)->status, 200);
  configure (fleet, 5, customers_key_revoked);
  for (request.gateway = 0; request.gateway < 2; request.gateway++)
    {
      request.id = request.gateway == 0 ? "r2" : "r3";
      CU_ASSERT_EQUAL (send_request (fleet, ctx, &request)->status, 401);
    }
  installation_set_store (fleet->installation, STORE_HANGS);
  process_kill (fleet->gateways[1].process);
  gateway_start (fleet, 1);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[1].process, "version 5, 4 routes"));
  request.gateway = 1;
  request.id = "r4";
  CU_ASSERT_EQUAL (send_until_accepted (fleet, ctx, request, id), 401);
  request.id = "r5";
  request.credentials[0] = "Authorization: Bearer alma-key-1";
  CU_ASSERT_EQUAL (send_until_accepted (fleet, ctx, request, id), 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* A customer sends through two gateways as fast as they respond. The requests that run within five
 * seconds stay within its limit; the others get 429 and do not run; the other customer's requests
 * all succeed. */
static void
test_limit_holds_across_two_gateways (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = customers_start (ctx, 2);
  const uint32_t bound = (LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_PER_S) * 11 / 10 + LIMIT_SLACK;
  uint32_t n_admitted = 0, n_rejected = 0, n_other_failed = 0, n_sent = 0;
  int64_t end_ms = monotonic_ms () + LIMIT_WINDOW_S * 1000;

  while (monotonic_ms () < end_ms)
    {
      char id[32];
      struct TestRequest request = { .gateway = n_sent % 2, .path = "/once/1", .id = id };
      bool other = n_sent % 20 == 0;
      uint32_t status;

      snprintf (id, sizeof id, "r%u", n_sent++);
      request.credentials[0] =
          other ? "Authorization: Bearer alma-key-1" : "Authorization: Bearer bela-key-1";
      status = send_request (fleet, ctx, &request)->status;
      n_other_failed += other && status != 200;
      n_admitted += !other && status == 200;
      n_rejected += status == 429;
      if (status == 429)
        CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 0);
      sleep_ms (10);
    }
  CU_ASSERT (n_admitted <= bound);
  CU_ASSERT (n_admitted >= LIMIT_PER_S * LIMIT_WINDOW_S);
  CU_ASSERT (n_rejected > 0);
  CU_ASSERT_EQUAL (n_other_failed, 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (http_get (ctx, fleet->gateways[0].metrics, "/customers")->body, "\"bela\""));
  CU_ASSERT (process_count_output (fleet->gateways[0].process, "customer_over_limit") > 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Returns the number of the gateway that owns the only customer with a limit. */
static uint32_t
owner_of_limit (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  const char *body = http_get (ctx, fleet->gateways[0].metrics, "/customers")->body;
  const char *owner = strstr (body, "\"owner\":\"front-");

  CU_ASSERT_PTR_NOT_NULL (owner);
  if (owner == NULL)
    return 0;
  return (uint32_t)strtoul (owner + strlen ("\"owner\":\"front-"), NULL, 10) - 1;
}

/* The same with limits by leases, while the owner of the customer is killed and started again:
 * guards against a second burst from a new owner, and against requests without a response when
 * the owner is gone. A request of a program under way waits up to 300 ms for its token, so that a
 * caller that sends one after another is slowed down rather than rejected. */
static void
test_limit_holds_by_leases (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fleet *fleet = fleet_new (ctx);
  const uint32_t bound = (LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_PER_S) * 11 / 10 + LIMIT_SLACK;
  uint32_t n_admitted = 0, n_uncertain = 0, n_other = 0, n_sent = 0, owner;
  int64_t end_ms, kill_ms;
  bool killed = false;

  fleet->quota_sharing = "leases";
  fleet_start_all (fleet, 3, 3, NULL, NULL);
  configure (fleet, 2, customers);
  sleep_ms (1000);
  owner = owner_of_limit (fleet, ctx);
  kill_ms = monotonic_ms () + LIMIT_WINDOW_S * 400;
  end_ms = monotonic_ms () + LIMIT_WINDOW_S * 1000;
  while (monotonic_ms () < end_ms)
    {
      char id[32];
      struct TestRequest request = { .gateway = (owner + 1 + n_sent % 2) % 3,
                                     .path = "/once/1",
                                     .id = id };
      uint32_t status;

      snprintf (id, sizeof id, "r%u", n_sent++);
      request.credentials[0] = "Authorization: Bearer bela-key-1";
      status = send_request (fleet, ctx, &request)->status;
      n_admitted += status == 200;
      n_uncertain += status == 503;
      n_other += status != 200 && status != 429 && status != 503;
      if (status != 200)
        CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, id), 0);
      if (!killed && monotonic_ms () > kill_ms)
        {
          process_kill (fleet->gateways[owner].process);
          gateway_start (fleet, owner);
          killed = true;
        }
      sleep_ms (10);
    }
  printf ("%u sent, %u admitted, %u uncertain ", n_sent, n_admitted, n_uncertain);
  CU_ASSERT (n_admitted <= bound);
  CU_ASSERT (n_admitted >= LIMIT_PER_S * LIMIT_WINDOW_S / 2);
  CU_ASSERT_EQUAL (n_other, 0);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateway_customers";
const struct TestCase test_cases[] = {
  { "a key is checked and not forwarded", test_key_is_checked_and_not_forwarded },
  { "a turn belongs to its customer", test_turn_belongs_to_its_customer },
  { "a revoked key is rejected", test_revoked_key_is_rejected },
  { "a limit holds across two gateways", test_limit_holds_across_two_gateways },
  { "a limit holds by leases", test_limit_holds_by_leases },
  { NULL, NULL },
};
