/* Checks that a gateway with fewer descriptors than its callers want keeps serving. */
#include "test_main.h"

#include "fakes/raw_socket.h"
#include "gateways.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  DESCRIPTORS = 256,
  N_CALLERS = 400,
  ROUNDS = 3,
  RESPONSE_TIMEOUT_MS = 3000,
  FULL_MS = 3000,
  RECONNECT_MS = 100,
  /* Of the time that all connections are in use; a loop that spins takes nearly all of it. */
  CPU_PERCENT_MAX = 33
};

struct Callers
{
  uint16_t port;
  int fds[N_CALLERS]; /* -1: closed */
  uint32_t n_served;
};

/* Returns whether an idle connection is closed, or rejected and about to be. */
static bool
is_closed (int fd)
{
  char byte;
  ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n >= 0 || errno != EAGAIN;
}

/* Opens a connection for each caller that has none. */
static void
callers_connect (struct Callers *callers)
{
  const struct timeval timeout = { .tv_sec = RESPONSE_TIMEOUT_MS / 1000 };

  for (uint32_t i = 0; i < N_CALLERS; i++)
    {
      int *fd = &callers->fds[i];

      if (*fd >= 0 && !is_closed (*fd))
        continue;
      if (*fd >= 0)
        close (*fd);
      *fd = raw_connect (callers->port);
      if (*fd >= 0)
        setsockopt (*fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    }
}

/* Sends a request of the caller and waits for its response. Returns false when the connection has
 * closed. */
static bool
caller_send (struct Callers *callers, uint32_t i, uint32_t round)
{
  char text[1024];
  size_t n = 0;
  ssize_t n_read;

  snprintf (text, sizeof text,
            "POST /safe/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: c%u-%u\r\n"
            "X-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody",
            i, round);
  raw_send (callers->fds[i], text);
  do
    {
      n_read = recv (callers->fds[i], text + n, sizeof text - 1 - n, 0);
      if (n_read <= 0)
        return false;
      n += (size_t)n_read;
      text[n] = '\0';
    }
  while (strstr (text, "\r\n\r\n") == NULL);
  callers->n_served += strncmp (text, "HTTP/1.1 200", 12) == 0;
  return true;
}

static void
callers_use (struct Callers *callers, uint32_t round)
{
  for (uint32_t i = 0; i < N_CALLERS; i++)
    if (callers->fds[i] >= 0 && !is_closed (callers->fds[i]))
      caller_send (callers, i, round);
}

/* Keeps all connections that the gateway accepts, and tries to open the others again and again. */
static void
callers_hold (struct Callers *callers, int64_t hold_ms)
{
  int64_t until_ms = monotonic_ms () + hold_ms;

  while (monotonic_ms () < until_ms)
    {
      callers_connect (callers);
      sleep_ms (RECONNECT_MS);
    }
}

static void
callers_leave (struct Callers *callers)
{
  for (uint32_t i = 0; i < N_CALLERS; i++)
    if (callers->fds[i] >= 0)
      close (callers->fds[i]);
}

/* Guards against a gateway that spins, reports not ready, or loses its archives when callers want
 * more connections than it has descriptors. */
static void
test_a_gateway_full_of_callers_keeps_serving (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Fleet *fleet = fleet_new (ctx);
  struct Callers *callers = talloc_zero (ctx, struct Callers);
  uint32_t n_failed = CU_get_number_of_failures (), n_closed;
  struct Process *gateway;
  int64_t cpu_ms, start_ms;
  struct HttpReply *reply;

  fleet->gateway_descriptors = DESCRIPTORS;
  fleet_start_all (fleet, 2, 3, NULL, NULL);
  gateway = fleet->gateways[0].process;
  callers->port = address_port (fleet->gateways[0].caller);
  memset (callers->fds, -1, sizeof callers->fds);
  n_closed = process_count_output (gateway, "peer_link_closed");

  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      callers_connect (callers);
      sleep_ms (RECONNECT_MS);
      callers_use (callers, round);
    }
  CU_ASSERT (callers->n_served >= ROUNDS * DESCRIPTORS / 4);

  start_ms = monotonic_ms ();
  cpu_ms = process_cpu_ms (gateway);
  callers_hold (callers, FULL_MS);
  cpu_ms = process_cpu_ms (gateway) - cpu_ms;
  CU_ASSERT (cpu_ms * 100 < (monotonic_ms () - start_ms) * CPU_PERCENT_MAX);
  CU_ASSERT (gateway_wait_ready (fleet, 0));
  reply = turn_send_until_accepted (fleet, ctx, 0, "p", "t", "", "input");
  CU_ASSERT_EQUAL (reply->status, 200);
  CU_ASSERT_EQUAL (process_count_output (gateway, "peer_link_closed"), n_closed);
  CU_ASSERT_EQUAL (process_count_output (gateway, "\"store_lost\""), 0);
  CU_ASSERT_EQUAL (process_count_output (gateway, "accept_failed"), 0);

  callers_leave (callers);
  CU_ASSERT (wait_for (tool_is_served, fleet));
  fleet_end (fleet, CU_get_number_of_failures () > n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateway_descriptors";
const struct TestCase test_cases[] = {
  { "a gateway full of callers keeps serving", test_a_gateway_full_of_callers_keeps_serving },
  { NULL, NULL },
};
