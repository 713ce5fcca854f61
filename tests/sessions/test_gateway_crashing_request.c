#include "test_main.h"

#include "gateways.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_GATEWAYS = 3,
  N_ARCHIVES = 3,
  DOWN_MS = 300,
  SILENT_MS = 1500, /* how long a server that crashes silently is down */
  ATTEMPT_INTERVAL_MS = 100,
  ATTEMPTS_MS = 15000,
  TRIAL_MS = 10000, /* by when a quarantined request has been tried again once */
  RESTART_ATTEMPTS = 15,
  /* What the users allow: retries later than this after the third crash. */
  CRASHES_KNOWN_MS = 3000,
  LATE_RETRIES_MAX = 3
};

static struct Fleet *
fleet_start_with_desks (TALLOC_CTX *ctx, uint32_t n_desks)
{
  struct Fleet *fleet = fleet_start (ctx, N_GATEWAYS, N_ARCHIVES);

  for (uint32_t i = 1; i < n_desks; i++)
    installation_add (fleet->installation, "desk", false, "a",
                      session_allocate_port (fleet->session));
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[i].process, " 5 listed"));
  return fleet;
}

typedef void (*SendFn) (struct Fleet *fleet,
                        TALLOC_CTX *ctx,
                        uint32_t gateway,
                        const char *request);

static void
send_crashing_tool (struct Fleet *fleet, TALLOC_CTX *ctx, uint32_t gateway, const char *request)
{
  CU_ASSERT_NOT_EQUAL (tool_send (fleet, ctx, gateway, "/safe/crashing", request)->status, 200);
}

static void
send_crashing_turn (struct Fleet *fleet, TALLOC_CTX *ctx, uint32_t gateway, const char *request)
{
  char id[64];
  const char *headers[] = { "Host: x.example",       id,   "X-Program-Id: p",
                            "X-Token-Count: 100,20", NULL, NULL };

  snprintf (id, sizeof id, "X-Request-Id: %s", request);
  headers[4] = "X-Deadline-Ms: 2000";
  CU_ASSERT_NOT_EQUAL (
      http_send (ctx, "POST", fleet->gateways[gateway].caller, "/turns/crashing", headers, "input")
          ->status,
      200);
}

/* Sends the crashing request once through each gateway in turn for ATTEMPTS_MS. Returns how often
 * servers ran it later than CRASHES_KNOWN_MS after the third crash. */
static uint32_t
send_crashing_requests (struct Fleet *fleet, TALLOC_CTX *ctx, SendFn send)
{
  int64_t end_ms = monotonic_ms () + ATTEMPTS_MS, third_crash_ms = INT64_MAX;
  uint32_t n_late = 0;

  for (uint32_t n = 0; monotonic_ms () < end_ms; n++)
    {
      bool late =
          third_crash_ms != INT64_MAX && monotonic_ms () > third_crash_ms + CRASHES_KNOWN_MS;
      char request[24];

      snprintf (request, sizeof request, "crashing-%u", n);
      send (fleet, ctx, n % N_GATEWAYS, request);
      if (late)
        n_late += installation_runs_of (fleet->installation, request);
      if (third_crash_ms == INT64_MAX && installation_crashes (fleet->installation) >= 3)
        third_crash_ms = monotonic_ms ();
      sleep_ms (ATTEMPT_INTERVAL_MS);
    }
  return n_late;
}

/* Guards against a request that crashes each server that runs it, and is sent on by gateways that
 * do not know of each other's attempts. */
static void
test_crashing_request_is_not_sent_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start_with_desks (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_set_crashing_path (fleet->installation, "/safe/crashing", DOWN_MS, false);
  CU_ASSERT (send_crashing_requests (fleet, ctx, send_crashing_tool) <= LATE_RETRIES_MAX);
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    CU_ASSERT_EQUAL (tool_send (fleet, ctx, i, "/safe/harmless", "harmless")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a request under which servers fall silent: no connection breaks, and their entries
 * are removed only later. */
static void
test_silencing_request_is_not_sent_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start_with_desks (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_set_crashing_path (fleet->installation, "/safe/crashing", SILENT_MS, true);
  CU_ASSERT (send_crashing_requests (fleet, ctx, send_crashing_tool) <= LATE_RETRIES_MAX);
  CU_ASSERT (installation_crashes (fleet->installation) >= 2);
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    CU_ASSERT_EQUAL (tool_send (fleet, ctx, i, "/safe/harmless", "harmless")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against a turn that crashes each engine and is sent on, attempt by attempt: it may run
 * once for each attempt of its caller. */
static void
test_crashing_turn_is_not_sent_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start_with_desks (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  installation_set_crashing_path (fleet->installation, "/turns/crashing", DOWN_MS, false);
  CU_ASSERT (send_crashing_requests (fleet, ctx, send_crashing_turn) <= LATE_RETRIES_MAX);
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    {
      char turn[16];

      snprintf (turn, sizeof turn, "sound-%u", i);
      CU_ASSERT_EQUAL (turn_send (fleet, ctx, i, "p", turn, "", 0, "x")->status, 200);
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Sends the crashing request until it has been tried again and crashed a third server. */
static void
quarantine_request (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  int64_t end_ms = monotonic_ms () + TRIAL_MS;

  installation_set_crashing_path (fleet->installation, "/safe/crashing", DOWN_MS, false);
  for (uint32_t n = 0; monotonic_ms () < end_ms; n++)
    {
      char request[24];

      snprintf (request, sizeof request, "before-%u", n);
      send_crashing_tool (fleet, ctx, n % N_GATEWAYS, request);
      sleep_ms (ATTEMPT_INTERVAL_MS);
    }
  CU_ASSERT (installation_crashes (fleet->installation) >= 3);
}

static void
kill_gateways (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    process_kill (fleet->gateways[i].process);
}

static void
start_gateways (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    gateway_start (fleet, i);
}

/* Sends the crashing request to gateways that have started again: no server gets it. */
static void
check_still_quarantined (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  uint32_t n_crashes = installation_crashes (fleet->installation);

  for (uint32_t n = 0; n < RESTART_ATTEMPTS; n++)
    {
      char request[24];

      snprintf (request, sizeof request, "after-%u", n);
      CU_ASSERT_TRUE (gateway_wait_ready (fleet, n % N_GATEWAYS));
      send_crashing_tool (fleet, ctx, n % N_GATEWAYS, request);
    }
  CU_ASSERT_EQUAL (installation_crashes (fleet->installation), n_crashes);
  CU_ASSERT_EQUAL (tool_send (fleet, ctx, 0, "/safe/harmless", "harmless")->status, 200);
}

/* Guards against gateways that forget what crashes servers when all of them are killed: archives
 * still know. */
static void
test_killed_gateways_learn_of_the_crashes (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start_with_desks (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  quarantine_request (fleet, ctx);
  kill_gateways (fleet);
  start_gateways (fleet);
  check_still_quarantined (fleet, ctx);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against crashes that are forgotten when all processes lose power: the disks of the
 * archives still have them. */
static void
test_crashes_outlast_a_loss_of_power (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start_with_desks (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();

  quarantine_request (fleet, ctx);
  kill_gateways (fleet);
  for (uint32_t i = 0; i < N_ARCHIVES; i++)
    process_kill (fleet->archives[i].process);
  for (uint32_t i = 0; i < N_ARCHIVES; i++)
    archive_start (fleet, i, false);
  start_gateways (fleet);
  check_still_quarantined (fleet, ctx);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

static void
check_is_served (struct Fleet *fleet, TALLOC_CTX *ctx, const char *attempt)
{
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    {
      char request[24];

      snprintf (request, sizeof request, "%s-%u", attempt, i);
      CU_ASSERT_TRUE (gateway_wait_ready (fleet, i));
      CU_ASSERT_EQUAL (tool_send (fleet, ctx, i, "/safe/crashing", request)->status, 200);
    }
}

/* Guards against a request that stays quarantined after its servers were mended, or is quarantined
 * again by a restart. */
static void
test_operator_releases_a_request (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_start_with_desks (ctx, 3);
  uint32_t n_failed = CU_get_number_of_failures ();
  const char *metrics = fleet->gateways[0].metrics;
  const char *const no_headers[] = { NULL };
  struct HttpReply *reply;
  json_t *list;

  quarantine_request (fleet, ctx);
  installation_set_crashing_path (fleet->installation, "", 0, false);
  reply = http_get (ctx, metrics, "/quarantine");
  list = json_object_get (reply->json, "quarantined");
  CU_ASSERT_EQUAL_FATAL (json_array_size (list), 1);
  CU_ASSERT_EQUAL (
      http_send (ctx, "POST", metrics, "/quarantine/release/0123", no_headers, "")->status, 404);
  reply = http_send (
      ctx, "POST", metrics,
      talloc_asprintf (ctx, "/quarantine/release/%s",
                       json_string_value (json_object_get (json_array_get (list, 0), "digest"))),
      no_headers, "");
  CU_ASSERT_EQUAL (reply->status, 200);
  sleep_ms (ATTEMPT_INTERVAL_MS);
  check_is_served (fleet, ctx, "released");
  kill_gateways (fleet);
  start_gateways (fleet);
  check_is_served (fleet, ctx, "restarted");
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateways and a request that crashes servers";
const struct TestCase test_cases[] = {
  { "a crashing request is not sent on", test_crashing_request_is_not_sent_on },
  { "a silencing request is not sent on", test_silencing_request_is_not_sent_on },
  { "a crashing turn is not sent on", test_crashing_turn_is_not_sent_on },
  { "killed gateways learn of the crashes", test_killed_gateways_learn_of_the_crashes },
  { "crashes outlast a loss of power", test_crashes_outlast_a_loss_of_power },
  { "an operator releases a request", test_operator_releases_a_request },
  { NULL, NULL },
};
