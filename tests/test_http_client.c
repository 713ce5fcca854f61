#include "test_main.h"

#include "fakes/raw_socket.h"

#include <buckthornhead/http_client.h>
#include <buckthornhead/timer_tevent.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct Bench
{
  struct tevent_context *events;
  struct HttpClient *client;
  struct HttpCall *call;
  uint16_t port;
  int listen_fd, fd;
  char address[32];
  bool ended, headed;
  enum HttpEnd end;
  uint32_t status, n_ends;
  char body[256];
  char request[4096]; /* what the server has read */
};

static void
bench_on_head (void *data, const struct HttpAnswerHead *head)
{
  struct Bench *b = data;

  b->headed = true;
  b->status = head->status;
}

static void
bench_on_body (void *data, const uint8_t *bytes, size_t n_bytes)
{
  struct Bench *b = data;
  size_t length = strlen (b->body);

  memcpy (b->body + length, bytes, n_bytes);
  b->body[length + n_bytes] = '\0';
}

static void
bench_on_end (void *data, enum HttpEnd end)
{
  struct Bench *b = data;

  b->ended = true;
  b->n_ends++;
  b->end = end;
  b->call = NULL;
}

static struct Bench *
bench_new (void)
{
  const struct HttpClientOptions options = { 2, 1000 };
  struct Bench *b = talloc_zero (NULL, struct Bench);

  b->events = tevent_context_init (b);
  b->client = http_client_new (b, b->events, timer_tevent_new (b, b->events), &options);
  b->listen_fd = raw_listen (&b->port);
  b->fd = -1;
  snprintf (b->address, sizeof b->address, "127.0.0.1:%u", b->port);
  return b;
}

static void
bench_free (struct Bench *b)
{
  TALLOC_FREE (b->client);
  if (b->fd >= 0)
    close (b->fd);
  if (b->listen_fd >= 0)
    close (b->listen_fd);
  talloc_free (b);
}

static void
bench_submit (struct Bench *b, const char *id)
{
  const struct HttpCallHandler handler = { bench_on_head, bench_on_body, bench_on_end, b };
  char head[128];
  const struct HttpCallRequest request = {
    .address = b->address, .head = head, .id_header = "X-Id", .id = id, .connect_timeout_ms = 500
  };

  snprintf (head, sizeof head, "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n", id);
  b->ended = false;
  b->headed = false;
  b->body[0] = '\0';
  b->request[0] = '\0';
  b->call = http_client_submit (b->client, &request, &handler);
}

/* Sends a request, and waits until the server has read it. */
static void
bench_request (struct Bench *b, const char *id)
{
  char wanted[64];

  bench_submit (b, id);
  CU_ASSERT_PTR_NOT_NULL (b->call);
  if (b->fd < 0)
    b->fd = raw_accept (b->listen_fd, b->events);
  snprintf (wanted, sizeof wanted, "GET /%s ", id);
  CU_ASSERT_TRUE (raw_read_until (b->fd, b->events, wanted, b->request, sizeof b->request));
}

static void
bench_answer (struct Bench *b, const char *text)
{
  raw_send (b->fd, text);
  CU_ASSERT_TRUE (events_until (b->events, &b->ended));
}

static void
test_a_kept_connection_is_used_again (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok");
  CU_ASSERT_EQUAL (b->end, HTTP_END_WHOLE);
  CU_ASSERT_STRING_EQUAL (b->body, "ok");
  bench_request (b, "2");
  bench_answer (
      b, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
  CU_ASSERT_STRING_EQUAL (b->body, "a");
  CU_ASSERT_EQUAL (http_client_opened (b->client), 1);
  bench_free (b);
}

/* A wage confirmation goes out on a kept connection; the desk confirms it, and its answer is lost
 * with the connection. Sent once more, the advance would be owed twice: the caller is told that it
 * may have run, and nothing else leaves. */
static void
test_a_reset_on_a_kept_connection_sends_nothing_again (void)
{
  struct Bench *b = bench_new ();
  int again;

  bench_request (b, "1");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");
  bench_request (b, "2");
  raw_reset (b->fd);
  b->fd = -1;
  CU_ASSERT_TRUE (events_until (b->events, &b->ended));
  CU_ASSERT_EQUAL (b->end, HTTP_END_BROKEN);
  CU_ASSERT_EQUAL (b->n_ends, 2);
  events_for (b->events, 100);
  again = raw_connect (b->port);
  CU_ASSERT_EQUAL (http_client_opened (b->client), 1);
  close (again);
  bench_free (b);
}

/* The server closed the connection while it was idle: the next request takes another one. */
static void
test_a_closed_idle_connection_is_not_used (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n");
  close (b->fd);
  b->fd = -1;
  bench_request (b, "2");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n");
  CU_ASSERT_EQUAL (b->end, HTTP_END_WHOLE);
  CU_ASSERT_EQUAL (http_client_opened (b->client), 2);
  bench_free (b);
}

static void
test_no_listener_means_not_sent (void)
{
  struct Bench *b = bench_new ();

  close (b->listen_fd);
  b->listen_fd = -1;
  bench_submit (b, "1");
  if (b->call != NULL)
    CU_ASSERT_TRUE (events_until (b->events, &b->ended));
  CU_ASSERT (b->n_ends == 0 || b->end == HTTP_END_NOT_SENT);
  bench_free (b);
}

/* A server answers twice, and the second answer comes where the next one's is due. It bears the
 * earlier request's id: it is dropped, and the right one is waited for. */
static void
test_a_late_answer_to_another_request_is_dropped (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none");
  bench_request (b, "2");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none"
                   "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");
  CU_ASSERT_EQUAL (b->end, HTTP_END_WHOLE);
  CU_ASSERT_STRING_EQUAL (b->body, "two");
  bench_free (b);
}

/* Bytes after a whole answer belong to no request: the connection is out of step, and is closed. */
static void
test_extra_bytes_end_the_connection (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  bench_answer (b, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nokextra");
  CU_ASSERT_EQUAL (b->end, HTTP_END_WHOLE);
  CU_ASSERT_STRING_EQUAL (b->body, "ok");
  CU_ASSERT_TRUE (raw_wait_closed (b->fd, b->events));
  bench_free (b);
}

/* An answer without a length ends with its connection: whole when that closes in order, cut when it
 * is reset. */
static void
test_an_answer_without_a_length_must_close_in_order (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  raw_send (b->fd, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it");
  CU_ASSERT_TRUE (events_until (b->events, &b->headed));
  close (b->fd);
  b->fd = -1;
  CU_ASSERT_TRUE (events_until (b->events, &b->ended));
  CU_ASSERT_EQUAL (b->end, HTTP_END_WHOLE);
  CU_ASSERT_STRING_EQUAL (b->body, "all of it");
  bench_request (b, "2");
  raw_send (b->fd, "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\nhalf of it");
  CU_ASSERT_TRUE (events_until (b->events, &b->headed));
  raw_reset (b->fd);
  b->fd = -1;
  CU_ASSERT_TRUE (events_until (b->events, &b->ended));
  CU_ASSERT_EQUAL (b->end, HTTP_END_BROKEN);
  bench_free (b);
}

static void
test_a_cut_answer_is_broken_and_garbage_malformed (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  raw_send (b->fd, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 20\r\n\r\nhalf");
  close (b->fd);
  b->fd = -1;
  CU_ASSERT_TRUE (events_until (b->events, &b->ended));
  CU_ASSERT_EQUAL (b->end, HTTP_END_BROKEN);
  bench_request (b, "2");
  bench_answer (b, "\x01\x02garbage\r\n\r\n");
  CU_ASSERT_EQUAL (b->end, HTTP_END_MALFORMED);
  bench_free (b);
}

/* The caller has left: the server must see it, or it works on for nobody. */
static void
test_freeing_a_call_closes_its_connection (void)
{
  struct Bench *b = bench_new ();

  bench_request (b, "1");
  TALLOC_FREE (b->call);
  CU_ASSERT_TRUE (raw_wait_closed (b->fd, b->events));
  events_for (b->events, 50);
  CU_ASSERT_EQUAL (b->n_ends, 0);
  bench_free (b);
}

static void
test_connections_to_one_server_are_bounded (void)
{
  struct Bench *b = bench_new ();

  bench_submit (b, "1");
  CU_ASSERT_PTR_NOT_NULL (b->call);
  bench_submit (b, "2");
  CU_ASSERT_PTR_NOT_NULL (b->call);
  bench_submit (b, "3");
  CU_ASSERT_PTR_NULL (b->call);
  bench_free (b);
}

const char test_suite_name[] = "http_client";
const struct TestCase test_cases[] = {
  { "a kept connection is used again", test_a_kept_connection_is_used_again },
  { "a reset on a kept connection sends nothing again",
    test_a_reset_on_a_kept_connection_sends_nothing_again },
  { "a closed idle connection is not used", test_a_closed_idle_connection_is_not_used },
  { "no listener means not sent", test_no_listener_means_not_sent },
  { "a late answer to another request is dropped",
    test_a_late_answer_to_another_request_is_dropped },
  { "extra bytes end the connection", test_extra_bytes_end_the_connection },
  { "an answer without a length must close in order",
    test_an_answer_without_a_length_must_close_in_order },
  { "a cut answer is broken, garbage malformed",
    test_a_cut_answer_is_broken_and_garbage_malformed },
  { "freeing a call closes its connection", test_freeing_a_call_closes_its_connection },
  { "connections to one server are bounded", test_connections_to_one_server_are_bounded },
  { NULL, NULL },
};
