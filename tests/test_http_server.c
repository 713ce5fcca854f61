#include "test_main.h"

#include "fakes/raw_socket.h"

#include <buckthornhead/http_server.h>
#include <buckthornhead/timer_tevent.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  HEADER_MAX_BYTES = 400,
  BODY_MAX_BYTES = 2000,
  HEADER_TIMEOUT_MS = 600,
  IDLE_TIMEOUT_MS = 60000
};

struct Bench
{
  struct tevent_context *events;
  struct HttpServer *server;
  uint16_t port;
  int fd;
  struct HttpExchange *exchange; /* the exchange in progress */
  uint32_t n_requests;
  bool requested, disconnected;
  bool respond_at_once;
  char target[64], body[BODY_MAX_BYTES + 1];
  char text[16384]; /* data that the caller has read */
};

static void
bench_on_disconnect (struct HttpExchange *exchange)
{
  struct Bench *b = exchange->handler_data;

  b->disconnected = true;
  b->exchange = NULL;
}

static void
bench_on_request (void *data, struct HttpExchange *exchange)
{
  struct Bench *b = data;

  b->n_requests++;
  b->requested = true;
  b->exchange = exchange;
  exchange->handler_data = b;
  exchange->on_disconnect = bench_on_disconnect;
  snprintf (b->target, sizeof b->target, "%s", exchange->target);
  memcpy (b->body, exchange->body != NULL ? (const char *)exchange->body : "",
          exchange->body_bytes);
  b->body[exchange->body_bytes] = '\0';
  if (b->respond_at_once)
    http_exchange_respond (exchange, 200, NULL, b->target, strlen (b->target));
}

static struct Bench *
bench_new (void)
{
  struct Bench *b = talloc_zero (NULL, struct Bench);
  struct HttpServerOptions options = {
    .setting = "[listen] caller",
    .limits = { HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS },
    .connections_max = 16,
    .request = bench_on_request,
    .data = b,
  };
  struct Fault fault;
  char listen[32];
  int probe = raw_listen (&b->port);

  close (probe);
  snprintf (listen, sizeof listen, "127.0.0.1:%u", b->port);
  options.listen = listen;
  b->events = tevent_context_init (b);
  CU_ASSERT_EQUAL_FATAL (
      http_server_new (b, b->events, timer_tevent_new (b, b->events), &options, &b->server, &fault),
      ERROR_NONE);
  b->fd = raw_connect (b->port);
  return b;
}

static void
bench_free (struct Bench *b)
{
  if (b->fd >= 0)
    close (b->fd);
  TALLOC_FREE (b->server);
  talloc_free (b);
}

static bool
bench_read_until (struct Bench *b, const char *expected)
{
  return raw_read_until (b->fd, b->events, expected, b->text, sizeof b->text);
}

static void
test_requests_follow_each_other_on_one_connection (void)
{
  struct Bench *b = bench_new ();

  b->respond_at_once = true;
  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (bench_read_until (b, "/1"));
  raw_send (b->fd, "POST /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CU_ASSERT_TRUE (bench_read_until (b, "/2"));
  CU_ASSERT_STRING_EQUAL (b->body, "abcde");
  CU_ASSERT_EQUAL (b->n_requests, 2);
  bench_free (b);
}

/* A caller pipelines three requests. Each gets its own response, in order. */
static void
test_pipelined_requests_are_handled_in_order (void)
{
  struct Bench *b = bench_new ();

  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
                   "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (events_until (b->events, &b->requested));
  events_for (b->events, 30);
  CU_ASSERT_EQUAL (b->n_requests, 1);
  b->respond_at_once = true;
  http_exchange_respond (b->exchange, 200, NULL, "/1", 2);
  CU_ASSERT_TRUE (bench_read_until (b, "/3"));
  CU_ASSERT_EQUAL (b->n_requests, 3);
  CU_ASSERT (strstr (b->text, "/1") < strstr (b->text, "/2"));
  bench_free (b);
}

/* A caller disconnects while its request is being handled. Unless the server notices at once, the
 * request keeps an engine busy that other callers wait for. */
static void
test_a_disconnect_is_noticed_while_a_request_is_handled (void)
{
  struct Bench *b = bench_new ();

  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (events_until (b->events, &b->requested));
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), 1);
  close (b->fd);
  b->fd = -1;
  CU_ASSERT_TRUE (events_until (b->events, &b->disconnected));
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), 0);
  bench_free (b);
}

/* A stream is truncated because its backend server failed. The caller must not treat it as
 * complete: the connection closes without the last chunk. */
static void
test_an_aborted_response_does_not_look_complete (void)
{
  struct Bench *b = bench_new ();

  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (events_until (b->events, &b->requested));
  b->exchange->on_disconnect = NULL;
  http_exchange_begin (b->exchange, 200, NULL);
  http_exchange_write (b->exchange, "data: a\n\n", 9);
  http_exchange_abort (b->exchange);
  CU_ASSERT_FALSE (bench_read_until (b, "\r\n0\r\n\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (b->text, "9\r\ndata: a\n\n\r\n"));
  bench_free (b);
}

static void
test_a_stream_ends_with_its_last_chunk (void)
{
  struct Bench *b = bench_new ();

  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (events_until (b->events, &b->requested));
  http_exchange_begin (b->exchange, 200, NULL);
  http_exchange_write (b->exchange, "data: a\n\n", 9);
  CU_ASSERT_TRUE (bench_read_until (b, "data: a"));
  http_exchange_end (b->exchange);
  CU_ASSERT_TRUE (bench_read_until (b, "\r\n0\r\n\r\n"));
  bench_free (b);
}

struct Rejection
{
  const char *request;
  const char *status;
};

/* Guards against request smuggling: with two lengths, or a length and chunked encoding, the next
 * server may find another end of the request, and a second request inside it. Like other malformed
 * requests, none of these reaches the handler. */
static void
test_ambiguous_and_malformed_requests_are_rejected (void)
{
  static const struct Rejection rejections[] = {
    { "GET /1 HTTP/1.1\r\n\r\n", " 400 " },
    { "GET /1 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", " 400 " },
    { "GET /1 HTTP/1.1\r\nHost: x\r\nX-A: a\001b\r\n\r\n", " 400 " },
    { "nonsense\r\n\r\n", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2001\r\n\r\n", " 413 " },
  };

  for (size_t i = 0; i < sizeof rejections / sizeof rejections[0]; i++)
    {
      struct Bench *b = bench_new ();

      raw_send (b->fd, rejections[i].request);
      CU_ASSERT_TRUE (bench_read_until (b, rejections[i].status));
      CU_ASSERT_TRUE (raw_wait_closed (b->fd, b->events));
      CU_ASSERT_EQUAL (b->n_requests, 0);
      bench_free (b);
    }
}

static void
test_headers_and_bodies_are_bounded (void)
{
  struct Bench *b = bench_new ();
  char header[HEADER_MAX_BYTES + 100];

  memset (header, 'a', sizeof header);
  header[sizeof header - 1] = '\0';
  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\nX-A: ");
  raw_send (b->fd, header);
  CU_ASSERT_TRUE (bench_read_until (b, " 431 "));
  bench_free (b);

  b = bench_new ();
  raw_send (b->fd, "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 6; i++)
    {
      raw_send (b->fd, "190\r\n");
      raw_send (b->fd, header + sizeof header - 1 - 400);
      raw_send (b->fd, "\r\n");
    }
  CU_ASSERT_TRUE (bench_read_until (b, " 413 "));
  CU_ASSERT_EQUAL (b->n_requests, 0);
  bench_free (b);
}

/* Otherwise a caller that sends its headers very slowly would occupy a connection forever. */
static void
test_a_slow_caller_is_rejected (void)
{
  struct Bench *b = bench_new ();

  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHo");
  CU_ASSERT_TRUE (bench_read_until (b, " 408 "));
  CU_ASSERT_EQUAL (b->n_requests, 0);
  bench_free (b);
}

/* During a planned stop a persistent connection gets its response with "Connection: close". */
static void
test_a_draining_server_closes_after_the_response (void)
{
  struct Bench *b = bench_new ();

  b->respond_at_once = true;
  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (bench_read_until (b, "/1"));
  CU_ASSERT_PTR_NULL (strstr (b->text, "Connection: close"));
  raw_send (b->fd, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  http_server_drain (b->server);
  CU_ASSERT_TRUE (bench_read_until (b, "/2"));
  CU_ASSERT_PTR_NOT_NULL (strstr (b->text, "Connection: close"));
  CU_ASSERT_TRUE (raw_wait_closed (b->fd, b->events));
  bench_free (b);
}

const char test_suite_name[] = "http_server";
const struct TestCase test_cases[] = {
  { "requests follow each other", test_requests_follow_each_other_on_one_connection },
  { "pipelined requests are handled in order", test_pipelined_requests_are_handled_in_order },
  { "a disconnect is noticed while a request is handled",
    test_a_disconnect_is_noticed_while_a_request_is_handled },
  { "an aborted response does not look complete", test_an_aborted_response_does_not_look_complete },
  { "a stream ends with its last chunk", test_a_stream_ends_with_its_last_chunk },
  { "ambiguous and malformed requests are rejected",
    test_ambiguous_and_malformed_requests_are_rejected },
  { "headers and bodies are bounded", test_headers_and_bodies_are_bounded },
  { "a slow caller is rejected", test_a_slow_caller_is_rejected },
  { "a draining server closes after the response",
    test_a_draining_server_closes_after_the_response },
  { NULL, NULL },
};
