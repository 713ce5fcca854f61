#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/server_health.h>

static const struct Outcome good = { .error = ERROR_NONE, .ran = RAN_YES };
static const struct Outcome failed = { .error = ERROR_UNREACHABLE, .ran = RAN_NO };
static const struct Outcome refused = { .error = ERROR_BACKEND, .status = 400 };

static void
test_failures_in_a_row_are_suspicious (void)
{
  struct ServerHealth *health = server_health_new (NULL);

  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_FALSE (server_health_suspected (health, i));
      server_health_sent (health, i);
      server_health_ended (health, &failed, i);
    }
  CU_ASSERT_TRUE (server_health_suspected (health, 3));
  server_health_ended (health, &good, 4);
  CU_ASSERT_FALSE (server_health_suspected (health, 4));
  talloc_free (health);
}

/* Malformed requests of one caller must not take a server away from all others. */
static void
test_refused_requests_are_not_the_servers_fault (void)
{
  struct ServerHealth *health = server_health_new (NULL);

  for (int i = 0; i < 10; i++)
    {
      server_health_sent (health, i);
      server_health_ended (health, &refused, i);
    }
  CU_ASSERT_FALSE (server_health_suspected (health, 10));
  talloc_free (health);
}

/* A server hangs with its connections open: no call fails, no response arrives, and its last
 * report, which is not updated, looks healthy. An idle server is equally silent, but healthy. */
static void
test_silence_with_calls_in_flight_is_suspicious (void)
{
  struct ServerHealth *health = server_health_new (NULL);

  CU_ASSERT_FALSE (server_health_suspected (health, 1000000));
  server_health_sent (health, 1000000);
  CU_ASSERT_FALSE (server_health_suspected (health, 1001000));
  server_health_progress (health, 1001000);
  CU_ASSERT_TRUE (server_health_suspected (health, 1060000));
  CU_ASSERT_TRUE (server_health_needs_probe (health, 1060000));
  CU_ASSERT_FALSE (server_health_needs_probe (health, 1060001));
  CU_ASSERT_TRUE (server_health_needs_probe (health, 1063000));
  talloc_free (health);
}

const char test_suite_name[] = "server_health";
const struct TestCase test_cases[] = {
  { "failures in a row are suspicious", test_failures_in_a_row_are_suspicious },
  { "refused requests are not the server's fault",
    test_refused_requests_are_not_the_servers_fault },
  { "silence with calls in flight is suspicious", test_silence_with_calls_in_flight_is_suspicious },
  { NULL, NULL },
};
