#include "test_main.h"

#include "gateways.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_CALLERS = 40, /* more than the engines have slots */
  LATE_MS = 1600  /* in a grace period of 3 s */
};

/* Routes whose requests take longer than any grace period here. */
static const char routes[] =
    "{\"name\":\"long-once\",\"host\":\"x.example\",\"prefix\":\"/long-once/\",\"kind\":\"unsafe\","
    "\"timeout_ms\":60000,\"target_latency_ms\":1000,\"service\":\"desk\",\"max_attempts\":2},"
    "{\"name\":\"long-safe\",\"host\":\"x.example\",\"prefix\":\"/long-safe/\",\"kind\":\"safe\","
    "\"timeout_ms\":60000,\"target_latency_ms\":1000,\"service\":\"desk\",\"max_attempts\":1},"
    "{\"name\":\"long-stream\",\"host\":\"x.example\",\"prefix\":\"/long-stream/\","
    "\"kind\":\"stream\",\"timeout_ms\":60000,\"target_latency_ms\":1000,\"service\":\"engines\","
    "\"max_attempts\":2,\"retain\":false}";

struct Caller
{
  pthread_t thread;
  struct Fleet *fleet;
  const char *path;
  char id[32];
  uint32_t status; /* of the response; 0: none */
};

static void *
caller_run (void *data)
{
  struct Caller *caller = data;
  TALLOC_CTX *ctx = talloc_new (NULL);
  char id[64];
  const char *headers[] = { "Host: x.example", id, "X-Token-Count: 100,200", "X-Deadline-Ms: 60000",
                            NULL };

  snprintf (id, sizeof id, "X-Request-Id: %s", caller->id);
  caller->status =
      http_send (ctx, "POST", caller->fleet->gateways[0].caller, caller->path, headers, "x")
          ->status;
  talloc_free (ctx);
  return NULL;
}

static void
caller_start (struct Caller *caller, struct Fleet *fleet, const char *path, uint32_t number)
{
  caller->fleet = fleet;
  caller->path = path;
  snprintf (caller->id, sizeof caller->id, "stop-%u", number);
  if (pthread_create (&caller->thread, NULL, caller_run, caller) != 0)
    abort ();
}

static struct Fleet *
stop_start (TALLOC_CTX *ctx, const char *grace)
{
  struct Fleet *fleet = fleet_new (ctx);

  fleet->grace = grace;
  fleet_start_all (fleet, 1, 3, NULL, NULL);
  installation_configure (fleet->installation, 2, routes);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "version 2, 6 routes"));
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, " 3 listed"));
  return fleet;
}

struct RunsWanted
{
  struct Fleet *fleet;
  uint32_t n;
};

static bool
runs_reached (void *data)
{
  const struct RunsWanted *wanted = data;
  uint32_t n = 0;

  for (uint32_t i = 0; i <= TOOL_SERVER; i++)
    n += server_runs (wanted->fleet->installation, i);
  return n >= wanted->n;
}

/* Guards against requests that are cut off without a response at the end of the grace period, and
 * against a promise of "not run" for those that ran. */
static void
test_requests_in_progress_are_answered_at_the_end (void)
{
  static const char *const paths[] = { "/long-stream/1", "/long-once/1", "/long-safe/1" };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = stop_start (ctx, "3s");
  uint32_t n_failed = CU_get_number_of_failures ();
  struct RunsWanted wanted = { fleet, 12 };
  struct Caller callers[N_CALLERS];

  for (uint32_t i = 0; i <= TOOL_SERVER; i++)
    server_set_mode (fleet->installation, i, SERVER_HANGS);
  for (uint32_t i = 0; i < N_CALLERS; i++)
    caller_start (&callers[i], fleet, paths[i < 32 ? 0 : 1 + i % 2], i);
  CU_ASSERT_TRUE (wait_for (runs_reached, &wanted));
  CU_ASSERT_TRUE (process_signal (fleet->gateways[0].process, SIGTERM));
  for (uint32_t i = 0; i < N_CALLERS; i++)
    {
      bool ran;

      pthread_join (callers[i].thread, NULL);
      ran = installation_runs_of (fleet->installation, callers[i].id) > 0;
      CU_ASSERT_EQUAL (callers[i].status, ran ? 502 : 503);
    }
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

/* Guards against requests that are passed on late in the grace period, and cut off at its end. */
static void
test_late_requests_are_not_passed_on (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = stop_start (ctx, "3s");
  uint32_t n_failed = CU_get_number_of_failures ();
  struct RunsWanted wanted = { fleet, 1 };
  struct Caller early, late[3];

  /* A request in progress keeps the process until the end of the grace period. */
  server_set_mode (fleet->installation, TOOL_SERVER, SERVER_HANGS);
  caller_start (&early, fleet, "/long-once/1", 0);
  CU_ASSERT_TRUE (wait_for (runs_reached, &wanted));
  CU_ASSERT_TRUE (process_signal (fleet->gateways[0].process, SIGTERM));
  sleep_ms (LATE_MS);
  caller_start (&late[0], fleet, "/long-once/1", 1);
  caller_start (&late[1], fleet, "/long-safe/1", 2);
  caller_start (&late[2], fleet, "/long-stream/1", 3);
  for (uint32_t i = 0; i < 3; i++)
    {
      pthread_join (late[i].thread, NULL);
      CU_ASSERT_EQUAL (late[i].status, 503);
      CU_ASSERT_EQUAL (installation_runs_of (fleet->installation, late[i].id), 0);
    }
  pthread_join (early.thread, NULL);
  CU_ASSERT_EQUAL (early.status, 502);
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "sessions: planned stop of a gateway";
const struct TestCase test_cases[] = {
  { "requests in progress are answered at the end",
    test_requests_in_progress_are_answered_at_the_end },
  { "late requests are not passed on", test_late_requests_are_not_passed_on },
  { NULL, NULL },
};
