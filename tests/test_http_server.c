#include "test_main.h"

#include "fakes/descriptors.h"
#include "fakes/raw_socket.h"

#include <buckthornhead/held_memory.h>
#include <buckthornhead/http_server.h>
#include <buckthornhead/timer_tevent.h>

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNECTIONS_MAX = 16,
  HEADER_MAX_BYTES = 400,
  BODY_MAX_BYTES = 2000,
  HEADER_TIMEOUT_MS = 600,
  IDLE_TIMEOUT_MS = 60000,
  /* For callers that read slowly. */
  CALLER_MAX_BYTES = 1024 * 1024, /* unread data at which an exchange is congested */
  PIECE_BYTES = 16 * 1024,
  STREAM_MAX_BYTES = 64 * 1024 * 1024, /* more than the kernel's buffers of many connections hold */
  ANSWER_BYTES = 7 * 1024 * 1024,
  HELD_MAX_BYTES = 4 * 1024 * 1024,
  HELD_AMPLE_BYTES = 64 * 1024 * 1024, /* never reached */
  LARGE_BODY_BYTES = 64 * 1024 + 1,
  HEAD_HELD_MAX_BYTES = 2048, /* buffers of the headers of one of the requests here */
  STALL_MS = 400,
  N_CALLERS = 12,
  /* Without descriptors: far more than the loop's timers cause, and far fewer than it runs when a
   * descriptor stays readable. */
  STARVED_MS = 500,
  STARVED_ROUNDS_MAX = 400
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
  size_t answer_bytes; /* of zeros, if responding at once; 0: the target */
  uint32_t n_uncongested;
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
bench_on_uncongested (struct HttpExchange *exchange)
{
  struct Bench *b = exchange->handler_data;

  b->n_uncongested++;
}

static void
bench_respond_zeros (struct Bench *b)
{
  uint8_t *answer = talloc_zero_array (b, uint8_t, b->answer_bytes);

  http_exchange_respond (b->exchange, 200, NULL, answer, b->answer_bytes);
  b->exchange = NULL;
  talloc_free (answer);
}

static void
bench_on_request (void *data, struct HttpExchange *exchange)
{
  struct Bench *b = data;
  size_t n_body = exchange->body_bytes < BODY_MAX_BYTES ? exchange->body_bytes : BODY_MAX_BYTES;

  b->n_requests++;
  b->requested = true;
  b->exchange = exchange;
  exchange->handler_data = b;
  exchange->on_disconnect = bench_on_disconnect;
  snprintf (b->target, sizeof b->target, "%s", exchange->target);
  exchange->on_uncongested = bench_on_uncongested;
  memcpy (b->body, exchange->body != NULL ? (const char *)exchange->body : "", n_body);
  b->body[n_body] = '\0';
  if (b->answer_bytes > 0)
    bench_respond_zeros (b);
  else if (b->respond_at_once)
    http_exchange_respond (exchange, 200, NULL, b->target, strlen (b->target));
}

/* held_max_bytes 0: without the bounds on the data held for callers. */
static struct Bench *
bench_new_bounded (uint64_t held_max_bytes, uint32_t idle_timeout_ms)
{
  struct Bench *b = talloc_zero (NULL, struct Bench);
  struct HttpServerOptions options = {
    .setting = "[listen] caller",
    .limits = { HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS, idle_timeout_ms },
    .connections_max = CONNECTIONS_MAX,
    .rejects_when_full = true,
    .request = bench_on_request,
    .data = b,
  };
  struct TimerService *timers;
  struct Fault fault;
  char listen[32];
  int probe = raw_listen (&b->port);

  close (probe);
  snprintf (listen, sizeof listen, "127.0.0.1:%u", b->port);
  options.listen = listen;
  b->events = tevent_context_init (b);
  timers = timer_tevent_new (b, b->events);
  if (held_max_bytes > 0)
    options.memory = http_memory_new (b, b->events, timers, held_max_bytes);
  CU_ASSERT_EQUAL_FATAL (http_server_new (b, b->events, timers, &options, &b->server, &fault),
                         ERROR_NONE);
  b->fd = raw_connect (b->port);
  return b;
}

static struct Bench *
bench_new (void)
{
  return bench_new_bounded (0, IDLE_TIMEOUT_MS);
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
    { "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nX-A: 1\r\n Content-Length: 3\r\n\r\n", " 400 " },
    { "GET /1 HTTP/1.1\r\n X-A: 1\r\nHost: x\r\n\r\n", " 400 " },
    { "GET /1 HTTP/1.1\r\nHost: x\r\nX A: 1\r\n\r\n", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", " 400 " },
    { "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: 1\r\n\r\n",
      " 400 " },
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

/* Callers that read slowly or not at all. */

static const char get[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

/* Starts an exchange whose caller has not read anything. */
static struct HttpExchange *
bench_begin_unread (struct Bench *b, int fd, const char *request)
{
  b->requested = false;
  raw_send (fd, request);
  CU_ASSERT_TRUE_FATAL (events_until (b->events, &b->requested));
  http_exchange_begin (b->exchange, 200, NULL);
  return b->exchange;
}

/* Writes until the exchange is congested or the caller disconnected; returns the bytes written. */
static size_t
bench_write_until_congested (struct Bench *b)
{
  static const char piece[PIECE_BYTES];
  size_t n_written = 0;

  while (b->exchange != NULL && n_written < STREAM_MAX_BYTES
         && !http_exchange_is_congested (b->exchange))
    {
      http_exchange_write (b->exchange, piece, sizeof piece);
      n_written += sizeof piece;
      if (n_written % CALLER_MAX_BYTES == 0)
        events_for (b->events, 1);
    }
  return n_written;
}

/* Reads until the connection is closed or n_polls polls in a row found nothing. Returns the number
 * of bytes; *error is 0 after an orderly end, EAGAIN when the connection is still open, else why it
 * failed. */
static size_t
read_all (struct Bench *b, uint32_t n_polls, int *error)
{
  static char text[256 * 1024];
  size_t n_read = 0;
  uint32_t n_quiet = 0;

  *error = EAGAIN;
  while (n_quiet < n_polls)
    {
      ssize_t n = recv (b->fd, text, sizeof text, MSG_DONTWAIT);

      if (n == 0 || (n < 0 && errno != EAGAIN))
        {
          *error = n == 0 ? 0 : errno;
          break;
        }
      n_quiet = n > 0 ? 0 : n_quiet + 1;
      n_read += n > 0 ? (size_t)n : 0;
      if (n > 0)
        memcpy (b->text, n >= 16 ? text + n - 16 : text, 16); /* its end */
      events_for (b->events, n > 0 ? 0 : 1);
    }
  return n_read;
}

/* A caller does not read while its server sends on. Unless the handler learns of it, it reads the
 * server at full speed and the data piles up. After the caller has read, the handler learns that,
 * too, and the whole response arrives. */
static void
test_a_caller_that_does_not_read_congests_its_exchange (void)
{
  struct Bench *b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
  size_t n_written, n_read;
  int error;

  bench_begin_unread (b, b->fd, get);
  n_written = bench_write_until_congested (b);
  CU_ASSERT (n_written < STREAM_MAX_BYTES);
  CU_ASSERT_FALSE (b->disconnected);
  CU_ASSERT (held_memory_bytes () >= CALLER_MAX_BYTES);
  /* The capacity of a queue is up to twice its length. */
  CU_ASSERT (held_memory_bytes () <= 2 * (CALLER_MAX_BYTES + PIECE_BYTES));
  CU_ASSERT_EQUAL (b->n_uncongested, 0);
  n_read = read_all (b, 100, &error);
  CU_ASSERT_EQUAL (error, EAGAIN);
  CU_ASSERT_EQUAL (b->n_uncongested, 1);
  CU_ASSERT (held_memory_bytes () < HEAD_HELD_MAX_BYTES);
  n_written += bench_write_until_congested (b);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b->exchange);
  http_exchange_end (b->exchange);
  n_read += read_all (b, 100, &error);
  CU_ASSERT (n_read > n_written);
  CU_ASSERT_EQUAL (memcmp (b->text + 9, "\r\n0\r\n\r\n", 7), 0);
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), 0);
  bench_free (b);
}

/* Without a setting, nothing is congested: the exchange goes on until 4 MB are held, as before. */
static void
test_no_exchange_is_congested_without_the_setting (void)
{
  struct Bench *b = bench_new ();

  bench_begin_unread (b, b->fd, get);
  bench_write_until_congested (b);
  CU_ASSERT_TRUE (b->disconnected);
  bench_free (b);
}

/* Many callers that do not read hold a bounded amount each, and all of it is released. */
static void
test_many_callers_that_do_not_read_are_bounded (void)
{
  struct Bench *b = bench_new_bounded (HELD_AMPLE_BYTES, IDLE_TIMEOUT_MS);
  int fds[N_CALLERS];

  for (int i = 0; i < N_CALLERS; i++)
    {
      fds[i] = raw_connect (b->port);
      bench_begin_unread (b, fds[i], get);
      bench_write_until_congested (b);
    }
  CU_ASSERT (held_memory_bytes () <= N_CALLERS * 2 * (CALLER_MAX_BYTES + PIECE_BYTES));
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), N_CALLERS);
  for (int i = 0; i < N_CALLERS; i++)
    close (fds[i]);
  events_for (b->events, 50);
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), 0);
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
  bench_free (b);
}

static const char small_post[] = "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";

/* Guards against callers that do not read and together hold more than the process may. */
static void
test_callers_that_do_not_read_are_bounded_together (void)
{
  struct Bench *b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
  int fds[N_CALLERS];

  for (int i = 0; i < N_CALLERS; i++)
    {
      fds[i] = raw_connect (b->port);
      bench_begin_unread (b, fds[i], get);
      bench_write_until_congested (b);
      events_for (b->events, 10);
      CU_ASSERT (held_memory_bytes () <= HELD_MAX_BYTES);
    }
  CU_ASSERT (http_server_in_flight (b->server) >= 1);
  b->respond_at_once = true;
  raw_send (b->fd, small_post);
  CU_ASSERT_TRUE (bench_read_until (b, " 200 "));
  for (int i = 0; i < N_CALLERS; i++)
    close (fds[i]);
  events_for (b->events, 50);
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
  bench_free (b);
}

/* A caller reads nothing for the stall timeout: unless it is disconnected, it occupies memory and
 * its server's slot until its request's deadline, and then memory for good. */
static void
test_a_caller_that_reads_nothing_is_disconnected (void)
{
  struct Bench *b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
  int error;

  http_exchange_set_stall_timeout (bench_begin_unread (b, b->fd, get), STALL_MS);
  bench_write_until_congested (b);
  events_for (b->events, STALL_MS / 2);
  CU_ASSERT_FALSE (b->disconnected);
  CU_ASSERT_TRUE (events_until (b->events, &b->disconnected));
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
  read_all (b, 300, &error);
  CU_ASSERT_NOT_EQUAL (error, EAGAIN);
  CU_ASSERT_NOT_EQUAL (memcmp (b->text + 9, "\r\n0\r\n\r\n", 7), 0);
  bench_free (b);
}

/* A caller that reads slowly, but reads, is not disconnected: its response arrives late, but whole,
 * also after the stall timeout and the idle timeout and while the server drains. */
static void
test_a_complete_response_is_delivered_late (void)
{
  struct Bench *b = bench_new_bounded (HELD_AMPLE_BYTES, STALL_MS);
  size_t n_read = 0;
  int error, receive_bytes = 64 * 1024;

  setsockopt (b->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  b->answer_bytes = ANSWER_BYTES;
  raw_send (b->fd, get);
  CU_ASSERT_TRUE (events_until (b->events, &b->requested));
  http_server_drain (b->server);
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), 1);
  for (int i = 0; i < 6; i++)
    {
      char piece[PIECE_BYTES * 8];

      events_for (b->events, STALL_MS / 2);
      n_read += (size_t)recv (b->fd, piece, sizeof piece, MSG_WAITALL);
    }
  n_read += read_all (b, 300, &error);
  CU_ASSERT (n_read > ANSWER_BYTES);
  CU_ASSERT (n_read < ANSWER_BYTES + 200);
  CU_ASSERT_EQUAL (error, 0);
  CU_ASSERT_EQUAL (http_server_in_flight (b->server), 0);
  bench_free (b);
}

/* A caller pipelines requests and reads no response: further requests wait until it reads. */
static void
test_pipelined_requests_wait_while_the_caller_does_not_read (void)
{
  struct Bench *b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
  size_t n_read;
  int error;

  b->answer_bytes = CALLER_MAX_BYTES;
  for (int i = 0; i < 32; i++)
    raw_send (b->fd, get);
  events_for (b->events, 200);
  CU_ASSERT (b->n_requests < 32);
  CU_ASSERT (held_memory_bytes () <= 4 * CALLER_MAX_BYTES);
  n_read = read_all (b, 200, &error);
  CU_ASSERT_EQUAL (b->n_requests, 32);
  CU_ASSERT (n_read > 32 * CALLER_MAX_BYTES);
  bench_free (b);
}

/* The end of the connection ends a response to an HTTP/1.0 caller. If the response is truncated,
 * the caller must see a reset: an orderly end would make it look complete. */
static void
test_a_truncated_response_without_a_length_is_reset (void)
{
  static const char old[] = "GET /1 HTTP/1.0\r\nHost: x\r\n\r\n";
  struct Bench *b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
  int error;

  bench_begin_unread (b, b->fd, old);
  http_exchange_write (b->exchange, "data: a\n\n", 9);
  b->exchange->on_disconnect = NULL;
  http_exchange_abort (b->exchange);
  read_all (b, 300, &error);
  CU_ASSERT_EQUAL (error, ECONNRESET);
  bench_free (b);

  b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
  http_exchange_set_stall_timeout (bench_begin_unread (b, b->fd, old), STALL_MS);
  bench_write_until_congested (b);
  CU_ASSERT_TRUE (events_until (b->events, &b->disconnected));
  read_all (b, 300, &error);
  CU_ASSERT_EQUAL (error, ECONNRESET);
  bench_free (b);

  b = bench_new ();
  bench_begin_unread (b, b->fd, old);
  bench_write_until_congested (b);
  CU_ASSERT_TRUE (b->disconnected);
  read_all (b, 300, &error);
  CU_ASSERT_EQUAL (error, ECONNRESET);
  bench_free (b);
}

static const char large_post[] = "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n";
static const char chunked_post[] =
    "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n";

static void
bench_raise_body_limit (struct Bench *b)
{
  const struct HttpLimits limits = { HEADER_MAX_BYTES, 2 * LARGE_BODY_BYTES, HEADER_TIMEOUT_MS,
                                     IDLE_TIMEOUT_MS };

  http_server_set_limits (b->server, &limits);
}

/* Above the bound for the process, requests with large bodies are sent back before their bodies are
 * read, whether or not they announce a length; others are handled. */
static void
test_large_bodies_are_rejected_above_the_bound (void)
{
  static const char *const larges[] = { large_post, chunked_post };
  char text[LARGE_BODY_BYTES + 1];

  memset (text, 'x', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  for (int i = 0; i < 2; i++)
    {
      struct Bench *b = bench_new_bounded (HELD_MAX_BYTES, IDLE_TIMEOUT_MS);
      uint8_t *ballast = held_memory_resize (b, NULL, HELD_MAX_BYTES + 1);

      bench_raise_body_limit (b);
      b->respond_at_once = true;
      raw_send (b->fd, small_post);
      CU_ASSERT_TRUE (bench_read_until (b, " 200 "));
      raw_send (b->fd, larges[i]);
      raw_send (b->fd, text);
      CU_ASSERT_TRUE (bench_read_until (b, " 503 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (b->text, "Retry-After: 0.1\r\n"));
      CU_ASSERT_EQUAL (b->n_requests, 1);
      CU_ASSERT (held_memory_bytes () < HELD_MAX_BYTES + 1024);
      talloc_free (ballast);
      bench_free (b);
    }
}

/* Many callers announce large bodies and send nothing: what they announce counts before it arrives,
 * within the part of the bound that large bodies may use. */
static void
test_announced_bodies_count_for_the_bound (void)
{
  struct Bench *b = bench_new_bounded ((uint64_t)2 * LARGE_BODY_BYTES, IDLE_TIMEOUT_MS);
  int fds[N_CALLERS];

  bench_raise_body_limit (b);
  for (int i = 0; i < N_CALLERS; i++)
    {
      fds[i] = raw_connect (b->port);
      raw_send (fds[i], large_post);
    }
  events_for (b->events, 50);
  CU_ASSERT (held_memory_bytes () >= LARGE_BODY_BYTES);
  CU_ASSERT (held_memory_bytes () < LARGE_BODY_BYTES + N_CALLERS * HEAD_HELD_MAX_BYTES);
  for (int i = 0; i < N_CALLERS; i++)
    close (fds[i]);
  events_for (b->events, 50);
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
  bench_free (b);
}

/* Guards against callers that stop in the middle of their requests and keep out all others. */
static void
test_stopped_requests_make_room_for_connections (void)
{
  struct Bench *b = bench_new ();
  const struct HttpLimits patient = { HEADER_MAX_BYTES, BODY_MAX_BYTES, IDLE_TIMEOUT_MS,
                                      IDLE_TIMEOUT_MS };
  int fds[CONNECTIONS_MAX];

  http_server_set_limits (b->server, &patient);
  b->respond_at_once = true;
  fds[0] = b->fd;
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      if (i > 0)
        fds[i] = raw_connect (b->port);
      raw_send (fds[i], "GET /1 HTTP/1.1\r\nHost: ");
    }
  events_for (b->events, 700);
  b->fd = raw_connect (b->port);
  raw_send (b->fd, get);
  CU_ASSERT_TRUE (bench_read_until (b, " 200 "));
  CU_ASSERT_EQUAL (b->n_requests, 1);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  bench_free (b);
}

/* Guards against headers whose names and values are short, and whose bookkeeping is not. */
static void
test_short_header_fields_count_in_full (void)
{
  struct Bench *b = bench_new ();

  raw_send (b->fd, "GET /1 HTTP/1.1\r\nHost: x\r\n");
  for (int i = 0; i < HEADER_MAX_BYTES / 4; i++)
    raw_send (b->fd, "a:\r\n");
  CU_ASSERT_TRUE (bench_read_until (b, " 431 "));
  bench_free (b);
}

/* Guards against callers that stop in the middle of their bodies and keep out those that send. */
static void
test_stopped_bodies_make_room (void)
{
  struct Bench *b = bench_new_bounded ((uint64_t)4 * LARGE_BODY_BYTES, IDLE_TIMEOUT_MS);
  const struct HttpLimits limits = { HEADER_MAX_BYTES, 2 * LARGE_BODY_BYTES, IDLE_TIMEOUT_MS,
                                     IDLE_TIMEOUT_MS };
  char text[LARGE_BODY_BYTES + 1];
  int fds[N_CALLERS];

  memset (text, 'x', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  http_server_set_limits (b->server, &limits);
  b->respond_at_once = true;
  for (int i = 0; i < N_CALLERS; i++)
    {
      fds[i] = raw_connect (b->port);
      raw_send (fds[i], chunked_post);
      raw_send (fds[i], text + 1000);
    }
  events_for (b->events, 800);
  CU_ASSERT (held_memory_bytes () <= (uint64_t)4 * LARGE_BODY_BYTES);
  raw_send (b->fd, large_post);
  raw_send (b->fd, text);
  CU_ASSERT_TRUE (bench_read_until (b, " 200 "));
  for (int i = 0; i < N_CALLERS; i++)
    close (fds[i]);
  bench_free (b);
}

/* Guards against a loop that spins on a listening socket while accepting fails. */
static void
test_accepting_waits_for_descriptors (void)
{
  struct Bench *b = bench_new ();
  struct Descriptors *used;
  int fds[N_CALLERS];

  b->respond_at_once = true;
  raw_send (b->fd, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (bench_read_until (b, "/first"));
  for (int i = 0; i < N_CALLERS; i++)
    fds[i] = raw_connect (b->port);
  used = descriptors_use_up (0);
  CU_ASSERT (events_count_rounds (b->events, STARVED_MS) < STARVED_ROUNDS_MAX);
  b->text[0] = '\0';
  raw_send (b->fd, "GET /served HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (bench_read_until (b, "/served"));
  descriptors_release (used);
  for (int i = 0; i < N_CALLERS; i++)
    {
      b->text[0] = '\0';
      raw_send (fds[i], "GET /later HTTP/1.1\r\nHost: x\r\n\r\n");
      CU_ASSERT (raw_read_until (fds[i], b->events, "/later", b->text, sizeof b->text));
      close (fds[i]);
    }
  bench_free (b);
}

static bool
bench_is_served (struct Bench *b, int fd, const char *target)
{
  char request[64];

  b->text[0] = '\0';
  snprintf (request, sizeof request, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target);
  raw_send (fd, request);
  return raw_read_until (fd, b->events, target, b->text, sizeof b->text);
}

/* Guards against callers that are shut out by others with idle connections. */
static void
test_a_full_server_closes_the_oldest_idle_connection (void)
{
  struct Bench *b = bench_new ();
  int fds[CONNECTIONS_MAX], late;

  b->respond_at_once = true;
  fds[0] = b->fd;
  for (int i = 1; i < CONNECTIONS_MAX; i++)
    fds[i] = raw_connect (b->port);
  events_for (b->events, 50);
  late = raw_connect (b->port);
  raw_send (late, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
  b->text[0] = '\0';
  CU_ASSERT (raw_read_until (late, b->events, "\r\n\r\n", b->text, sizeof b->text));
  CU_ASSERT_PTR_NOT_NULL (strstr (b->text, "503 Service Unavailable\r\nRetry-After: 0.5"));
  CU_ASSERT (raw_wait_closed (late, b->events));
  CU_ASSERT_EQUAL (b->n_requests, 0);
  close (late);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      CU_ASSERT (bench_is_served (b, fds[(i + 3) % CONNECTIONS_MAX], "/used"));
      events_for (b->events, 5);
    }
  events_for (b->events, 1100);
  late = raw_connect (b->port);
  CU_ASSERT (bench_is_served (b, late, "/late"));
  CU_ASSERT (raw_wait_closed (fds[3], b->events));
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      CU_ASSERT (i == 3 || bench_is_served (b, fds[i], "/kept"));
      close (fds[i]);
    }
  b->fd = late;
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
  { "a caller that does not read congests its exchange",
    test_a_caller_that_does_not_read_congests_its_exchange },
  { "no exchange is congested without the setting",
    test_no_exchange_is_congested_without_the_setting },
  { "many callers that do not read are bounded", test_many_callers_that_do_not_read_are_bounded },
  { "callers that do not read are bounded together",
    test_callers_that_do_not_read_are_bounded_together },
  { "a caller that reads nothing is disconnected",
    test_a_caller_that_reads_nothing_is_disconnected },
  { "a complete response is delivered late", test_a_complete_response_is_delivered_late },
  { "pipelined requests wait while the caller does not read",
    test_pipelined_requests_wait_while_the_caller_does_not_read },
  { "a truncated response without a length is reset",
    test_a_truncated_response_without_a_length_is_reset },
  { "large bodies are rejected above the bound", test_large_bodies_are_rejected_above_the_bound },
  { "announced bodies count for the bound", test_announced_bodies_count_for_the_bound },
  { "stopped requests make room for connections", test_stopped_requests_make_room_for_connections },
  { "short header fields count in full", test_short_header_fields_count_in_full },
  { "stopped bodies make room", test_stopped_bodies_make_room },
  { "accepting waits for descriptors", test_accepting_waits_for_descriptors },
  { "a full server closes the oldest idle connection",
    test_a_full_server_closes_the_oldest_idle_connection },
  { NULL, NULL },
};
