#include "test_main.h"

#include "fakes/raw_socket.h"

#include <buckthornhead/http_client.h>
#include <buckthornhead/timer_tevent.h>

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNECTIONS_MAX = 2,
  N_FILLERS = 8 /* more connections than a full listener accepts */
};

struct Bench
{
  struct tevent_context *events;
  struct HttpClient *client;
  struct HttpServerCheck *check;
  uint16_t port;
  int listen_fd;
  char address[32];
  bool checked, call_ended;
  uint32_t n_checks;
  enum HttpServerState state;
};

static void
bench_on_checked (void *data, enum HttpServerState state)
{
  struct Bench *b = data;

  b->checked = true;
  b->n_checks++;
  b->state = state;
}

static void
bench_on_head (void *data, const struct HttpResponseHead *head)
{
  (void)data;
  (void)head;
}

static void
bench_on_body (void *data, const uint8_t *bytes, size_t n_bytes)
{
  (void)data;
  (void)bytes;
  (void)n_bytes;
}

static void
bench_on_end (void *data, enum HttpEnd end)
{
  struct Bench *b = data;

  (void)end;
  b->call_ended = true;
}

static struct Bench *
bench_new (void)
{
  const struct HttpClientOptions options = { CONNECTIONS_MAX, 1000 };
  struct Bench *b = talloc_zero (NULL, struct Bench);

  b->events = tevent_context_init (b);
  b->client = http_client_new (b, b->events, timer_tevent_new (b, b->events), &options);
  b->listen_fd = raw_listen (&b->port);
  snprintf (b->address, sizeof b->address, "127.0.0.1:%u", b->port);
  return b;
}

static void
bench_stop_listening (struct Bench *b)
{
  close (b->listen_fd);
  b->listen_fd = -1;
}

static void
bench_free (struct Bench *b)
{
  TALLOC_FREE (b->client);
  if (b->listen_fd >= 0)
    close (b->listen_fd);
  talloc_free (b);
}

/* Opens a connection with a request on it. Returns the server's end. */
static int
bench_open (struct Bench *b)
{
  const struct HttpCallHandler handler = { bench_on_head, bench_on_body, bench_on_end, b };
  const struct HttpCallRequest request = { .address = b->address,
                                           .head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                                           .connect_timeout_ms = 500 };
  char text[256] = "";
  int fd;

  CU_ASSERT_PTR_NOT_NULL (http_client_submit (b->client, &request, &handler));
  fd = raw_accept (b->listen_fd, b->events);
  CU_ASSERT_TRUE (raw_read_until (fd, b->events, "Host: x", text, sizeof text));
  return fd;
}

static enum HttpServerState
bench_check (struct Bench *b)
{
  b->check = http_client_check_server (b->client, b->address, 0, bench_on_checked, b);
  CU_ASSERT_PTR_NOT_NULL (b->check);
  CU_ASSERT_TRUE (events_until (b->events, &b->checked));
  CU_ASSERT_EQUAL (b->n_checks, 1);
  return b->state;
}

/* The connection that the check opens serves the next request. */
static void
test_server_that_accepts_is_running (void)
{
  struct Bench *b = bench_new ();

  CU_ASSERT_EQUAL (bench_check (b), HTTP_SERVER_RUNNING);
  CU_ASSERT_EQUAL (http_client_opened (b->client), 1);
  close (bench_open (b));
  CU_ASSERT_EQUAL (http_client_opened (b->client), 1);
  bench_free (b);
}

static void
test_server_that_refuses_has_ended (void)
{
  struct Bench *b = bench_new ();

  bench_stop_listening (b);
  CU_ASSERT_EQUAL (bench_check (b), HTTP_SERVER_ENDED);
  bench_free (b);
}

/* Guards against taking a full server, which refuses new connections, for one that has crashed. */
static void
test_server_with_another_connection_is_running (void)
{
  struct Bench *b = bench_new ();
  int fd = bench_open (b);

  bench_stop_listening (b);
  CU_ASSERT_EQUAL (bench_check (b), HTTP_SERVER_RUNNING);
  close (fd);
  bench_free (b);
}

/* Guards against a crashed server whose other connections end a little after the first. */
static void
test_connections_that_end_with_the_process_do_not_count (void)
{
  struct Bench *b = bench_new ();
  int fds[CONNECTIONS_MAX];

  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    fds[i] = bench_open (b);
  bench_stop_listening (b);
  b->check = http_client_check_server (b->client, b->address, 0, bench_on_checked, b);
  events_for (b->events, 5);
  CU_ASSERT_FALSE (b->checked);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  CU_ASSERT_TRUE (events_until (b->events, &b->checked));
  CU_ASSERT_EQUAL (b->state, HTTP_SERVER_ENDED);
  bench_free (b);
}

/* At the limit for the address no connection is opened. */
static void
test_check_keeps_the_limit_of_connections (void)
{
  struct Bench *b = bench_new ();
  int fds[CONNECTIONS_MAX];

  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    fds[i] = bench_open (b);
  CU_ASSERT_EQUAL (bench_check (b), HTTP_SERVER_RUNNING);
  CU_ASSERT_EQUAL (http_client_opened (b->client), CONNECTIONS_MAX);
  for (uint32_t i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  bench_free (b);
}

/* The queue of the listener is full, so that the server answers no further connection. */
static void
test_server_that_does_not_respond_is_unknown (void)
{
  struct Bench *b = bench_new ();
  int fillers[N_FILLERS];

  listen (b->listen_fd, 0);
  for (uint32_t i = 0; i < N_FILLERS; i++)
    {
      struct sockaddr_storage address;
      socklen_t n_bytes = sizeof address;

      getsockname (b->listen_fd, (struct sockaddr *)&address, &n_bytes);
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      CU_ASSERT (connect (fillers[i], (struct sockaddr *)&address, n_bytes) != 1);
    }
  CU_ASSERT_EQUAL (bench_check (b), HTTP_SERVER_UNKNOWN);
  for (uint32_t i = 0; i < N_FILLERS; i++)
    close (fillers[i]);
  bench_free (b);
}

/* A caller that leaves during the check cancels it. */
static void
test_freed_check_calls_nobody (void)
{
  struct Bench *b = bench_new ();

  bench_stop_listening (b);
  b->check = http_client_check_server (b->client, b->address, 0, bench_on_checked, b);
  TALLOC_FREE (b->check);
  events_for (b->events, 150);
  CU_ASSERT_FALSE (b->checked);
  bench_free (b);
}

const char test_suite_name[] = "server_check";
const struct TestCase test_cases[] = {
  { "a server that accepts is running", test_server_that_accepts_is_running },
  { "a server that refuses has ended", test_server_that_refuses_has_ended },
  { "a server with another connection is running", test_server_with_another_connection_is_running },
  { "connections that end with the process do not count",
    test_connections_that_end_with_the_process_do_not_count },
  { "a check keeps the limit of connections", test_check_keeps_the_limit_of_connections },
  { "a server that does not respond is unknown", test_server_that_does_not_respond_is_unknown },
  { "a freed check calls nobody", test_freed_check_calls_nobody },
  { NULL, NULL },
};
