#include "test_main.h"

#include "gateways.h"

#include "standins/raw_server.h"

#include <stdio.h>
#include <string.h>

enum
{
  BODY_BYTES = 3 * 1024 * 1024,
  N_SLOTS = 8
};

/* Routes to the service "odd": the raw server, and for repeatable requests a sound one, too. */
static const char routes[] =
    "{\"name\":\"odd-once\",\"host\":\"x.example\",\"prefix\":\"/odd-once/\",\"kind\":\"unsafe\","
    "\"timeout_ms\":4000,\"service\":\"odd\",\"max_attempts\":2},"
    "{\"name\":\"odd-safe\",\"host\":\"x.example\",\"prefix\":\"/odd-safe/\",\"kind\":\"safe\","
    "\"timeout_ms\":4000,\"service\":\"odd\",\"max_attempts\":2},"
    "{\"name\":\"odd-stream\",\"host\":\"x.example\",\"prefix\":\"/odd-stream/\","
    "\"kind\":\"stream\",\"timeout_ms\":4000,\"service\":\"odd\",\"max_attempts\":2,"
    "\"retain\":false}";

#define SEAL "X-Request-Id: @\r\nX-Response-Seal: 3e1b.07\r\n"

static const char *const malformed_heads[] = {
  "HTTP/1.1 000 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok",
  "HTTP/1.1 20 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok",
  "HTTP/1.1 0200 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok",
  "HTTP/1.1 999 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\n" SEAL "X Odd: 1\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\n" SEAL "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\n" SEAL "Content-Length : 2\r\n\r\nok and more",
  "HTTP/1.1 200 OK\r\n" SEAL "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\n" SEAL "X-A: 1\r\n Content-Length: 9\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\n" SEAL "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
};

struct Odd
{
  struct Fleet *fleet;
  struct RawServer *server;
  uint32_t n_failed, n_sent;
};

static struct Odd *
odd_start (void)
{
  struct Odd *odd = talloc_zero (NULL, struct Odd);
  struct Fleet *fleet = odd->fleet = fleet_new (odd);

  odd->n_failed = CU_get_number_of_failures ();
  fleet_start_all (fleet, 1, 3, NULL, NULL);
  odd->server = raw_server_start (odd);
  CU_ASSERT_PTR_NOT_NULL_FATAL (odd->server);
  fleet_list_server (fleet, "odd", raw_server_port (odd->server), N_SLOTS);
  installation_set_body_max (fleet->installation, 2 * BODY_BYTES);
  installation_configure (fleet->installation, 2, routes);
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, "version 2, 6 routes"));
  CU_ASSERT_TRUE (process_wait_for_output (fleet->gateways[0].process, " 4 listed"));
  return odd;
}

static void
odd_end (struct Odd *odd)
{
  fleet_end (odd->fleet, CU_get_number_of_failures () > odd->n_failed);
  talloc_free (odd);
}

static struct HttpReply *
odd_send (struct Odd *odd, const char *path, const char *body)
{
  char id[48];
  const char *headers[] = { "Host: x.example", id, "X-Token-Count: 100,200", "X-Deadline-Ms: 4000",
                            NULL };

  snprintf (id, sizeof id, "X-Request-Id: odd-%u", odd->n_sent++);
  return http_send (odd, "POST", odd->fleet->gateways[0].caller, path, headers, body);
}

/* Guards against bytes that are no HTTP response, passed on as one. */
static void
test_malformed_head_is_never_passed_on (void)
{
  static const char *const paths[] = { "/odd-once/1", "/odd-stream/1", "/odd-safe/1" };
  struct Odd *odd = odd_start ();

  for (size_t i = 0; i < sizeof malformed_heads / sizeof malformed_heads[0]; i++)
    for (size_t j = 0; j < sizeof paths / sizeof paths[0]; j++)
      {
        const struct RawResponse response = { malformed_heads[i], NULL, RAW_CLOSES };
        uint32_t n_before = raw_server_requests (odd->server);

        raw_server_set_response (odd->server, &response);
        CU_ASSERT_EQUAL (odd_send (odd, paths[j], "x")->status, 502);
        /* A request that may run once is not sent again. */
        if (j < 2)
          CU_ASSERT_EQUAL (raw_server_requests (odd->server), n_before + 1);
      }
  odd_end (odd);
}

/* Guards against a repeatable request that fails although another server is sound. */
static void
test_malformed_head_is_retried_elsewhere (void)
{
  const struct RawResponse sound = { "HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok", NULL,
                                     RAW_KEEPS_OPEN };
  struct Odd *odd = odd_start ();

  /* The requests earn retries, and leave an idle connection, which the next one uses. */
  raw_server_set_response (odd->server, &sound);
  for (int i = 0; i < 30; i++)
    CU_ASSERT_EQUAL (odd_send (odd, "/odd-safe/1", "x")->status, 200);
  installation_add (odd->fleet->installation, "odd", false, "a",
                    session_allocate_port (odd->fleet->session));
  CU_ASSERT_TRUE (process_wait_for_output (odd->fleet->gateways[0].process, " 5 listed"));
  for (size_t i = 0; i < sizeof malformed_heads / sizeof malformed_heads[0]; i++)
    {
      const struct RawResponse response = { malformed_heads[i], NULL, RAW_CLOSES };

      raw_server_set_response (odd->server, &response);
      CU_ASSERT_EQUAL (odd_send (odd, "/odd-safe/1", "x")->status, 200);
    }
  CU_ASSERT (raw_server_requests (odd->server) > 30);
  odd_end (odd);
}

/* Guards against half of a response that counts as whole, since its connection was reset while the
 * request's body was being sent. */
static void
test_early_response_that_is_reset_is_broken (void)
{
  const struct RawResponse response = { "HTTP/1.1 200 OK\r\n" SEAL "\r\nhalf of it", NULL,
                                        RAW_RESETS };
  struct Odd *odd = odd_start ();
  char *body = talloc_array (odd, char, BODY_BYTES + 1);

  memset (body, 'x', BODY_BYTES);
  body[BODY_BYTES] = '\0';
  raw_server_set_response (odd->server, &response);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_EQUAL (odd_send (odd, "/odd-once/1", body)->status, 502);
      CU_ASSERT_NOT_EQUAL (odd_send (odd, "/odd-stream/1", body)->status, 200);
    }
  CU_ASSERT_EQUAL (raw_server_requests (odd->server), 40);
  odd_end (odd);
}

const char test_suite_name[] = "sessions: gateway and answers that are no HTTP";
const struct TestCase test_cases[] = {
  { "a malformed head is never passed on", test_malformed_head_is_never_passed_on },
  { "a malformed head is retried elsewhere", test_malformed_head_is_retried_elsewhere },
  { "an early response that is reset is broken", test_early_response_that_is_reset_is_broken },
  { NULL, NULL },
};
