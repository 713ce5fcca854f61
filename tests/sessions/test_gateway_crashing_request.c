#include "test_main.h"

#include "gateways.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_GATEWAYS = 3,
  N_ARCHIVES = 3,
  DOWN_MS = 300,
  ATTEMPT_INTERVAL_MS = 100,
  ATTEMPTS_MS = 15000,
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

/* Sends the crashing request once through each gateway in turn for ATTEMPTS_MS. Returns how often
 * servers ran it later than CRASHES_KNOWN_MS after the third crash. */
static uint32_t
send_crashing_requests (struct Fleet *fleet, TALLOC_CTX *ctx)
{
  int64_t end_ms = monotonic_ms () + ATTEMPTS_MS, third_crash_ms = INT64_MAX;
  uint32_t n_late = 0;

  for (uint32_t n = 0; monotonic_ms () < end_ms; n++)
    {
      bool late =
          third_crash_ms != INT64_MAX && monotonic_ms () > third_crash_ms + CRASHES_KNOWN_MS;
      char request[24];

      snprintf (request, sizeof request, "crashing-%u", n);
      CU_ASSERT_NOT_EQUAL (
          tool_send (fleet, ctx, n % N_GATEWAYS, "/safe/crashing", request)->status, 200);
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

  installation_set_crashing_path (fleet->installation, "/safe/crashing", DOWN_MS);
  CU_ASSERT (send_crashing_requests (fleet, ctx) <= LATE_RETRIES_MAX);
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    CU_ASSERT_EQUAL (tool_send (fleet, ctx, i, "/safe/harmless", "harmless")->status, 200);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateways and a request that crashes servers";
const struct TestCase test_cases[] = {
  { "a crashing request is not sent on", test_crashing_request_is_not_sent_on },
  { NULL, NULL },
};
