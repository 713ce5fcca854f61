#include "test_main.h"

#include "standins/raw_server.h"

#include <buckthornhead/backend_http.h>
#include <buckthornhead/error.h>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  GUARD_S = 30, /* a wait that takes longer fails the test */
  SLICE_BYTES = 3,
  POLL_US = 1000
};

enum FakeMode
{
  FAKE_RESPOND,         /* sends the text at once */
  FAKE_STREAM,          /* sends the text in slices */
  FAKE_STREAM_ENDLESS,  /* sends the text, then waits for the disconnect */
  FAKE_STREAM_BROKEN,   /* sends the text, then closes the connection midway */
  FAKE_CLOSE_AFTER_RUN, /* closes the connection without a response */
  FAKE_UNFRAMED,        /* sends the text without a length or chunks, then closes the connection */
  FAKE_UNFRAMED_CRASH,  /* the same, and stops listening before it closes */
  FAKE_HANG             /* no response until the test ends */
};

/* A backend server inside the test; libmicrohttpd serves each connection on its own thread. */
struct Fake
{
  struct MHD_Daemon *daemon;
  char address[64];
  _Atomic enum FakeMode mode;
  _Atomic uint32_t status, n_runs;
  _Atomic bool refuse_not_run, stop;
  const char *_Atomic text;
  char program[64], key[64], path[64], body[512]; /* of the last request */
  size_t body_bytes;
};

struct FakeStream
{
  struct Fake *fake;
  size_t sent;
};

static void
fake_stop_listening (struct Fake *fake)
{
  MHD_socket listener = MHD_quiesce_daemon (fake->daemon);

  CU_ASSERT_NOT_EQUAL (listener, MHD_INVALID_SOCKET);
  /* The daemon's thread still polls the socket, which would keep it open. */
  shutdown (listener, SHUT_RDWR);
  close (listener);
}

static ssize_t
fake_read_stream (void *data, uint64_t position, char *buffer, size_t max_bytes)
{
  struct FakeStream *stream = data;
  const char *rest = stream->fake->text + stream->sent;
  size_t n = strnlen (rest, SLICE_BYTES);

  (void)position;
  if (n > max_bytes)
    n = max_bytes;
  if (n > 0)
    {
      memcpy (buffer, rest, n);
      stream->sent += n;
      return (ssize_t)n;
    }
  if (stream->fake->mode == FAKE_UNFRAMED_CRASH)
    fake_stop_listening (stream->fake);
  if (stream->fake->mode != FAKE_STREAM_ENDLESS && stream->fake->mode != FAKE_STREAM_BROKEN)
    return MHD_CONTENT_READER_END_OF_STREAM;
  while (stream->fake->mode == FAKE_STREAM_ENDLESS && !stream->fake->stop)
    usleep (POLL_US);
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

static enum MHD_Result
fake_respond (struct Fake *fake, struct MHD_Connection *connection)
{
  const char *text = fake->text;
  struct FakeStream *stream;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (fake->mode == FAKE_RESPOND)
    response = MHD_create_response_from_buffer (strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  else
    {
      stream = calloc (1, sizeof *stream);
      stream->fake = fake;
      response =
          MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 64, fake_read_stream, stream, free);
    }
  if (fake->mode == FAKE_UNFRAMED || fake->mode == FAKE_UNFRAMED_CRASH)
    MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
  if (fake->refuse_not_run)
    MHD_add_response_header (response, "X-Ran", "not_run");
  result = MHD_queue_response (connection, fake->status, response);
  MHD_destroy_response (response);
  return result;
}

static void
fake_copy_header (struct MHD_Connection *connection, const char *name, char copy[64])
{
  const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);

  snprintf (copy, 64, "%s", value != NULL ? value : "");
}

static enum MHD_Result
fake_on_request (void *data,
                 struct MHD_Connection *connection,
                 const char *url,
                 const char *method,
                 const char *version,
                 const char *upload,
                 size_t *upload_bytes,
                 void **per_request)
{
  struct Fake *fake = data;

  (void)method;
  (void)version;
  if (*per_request == NULL)
    {
      *per_request = fake;
      fake->body_bytes = 0;
      return MHD_YES;
    }
  if (*upload_bytes > 0)
    {
      size_t n = *upload_bytes;

      if (n > sizeof fake->body - 1 - fake->body_bytes)
        n = sizeof fake->body - 1 - fake->body_bytes;
      memcpy (fake->body + fake->body_bytes, upload, n);
      fake->body_bytes += n;
      *upload_bytes = 0;
      return MHD_YES;
    }
  fake->body[fake->body_bytes] = '\0';
  snprintf (fake->path, sizeof fake->path, "%s", url);
  fake_copy_header (connection, "X-Program", fake->program);
  fake_copy_header (connection, "Idempotency-Key", fake->key);
  fake->n_runs++;
  while (fake->mode == FAKE_HANG && !fake->stop)
    usleep (POLL_US);
  if (fake->mode == FAKE_CLOSE_AFTER_RUN || fake->mode == FAKE_HANG)
    return MHD_NO;
  return fake_respond (fake, connection);
}

/* Starts the server. The test may read the fields that its threads write only after a response or
 * after fake_stop, which joins the threads. */
static void
fake_start (struct Fake *fake, enum FakeMode mode, const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  memset (fake, 0, sizeof *fake);
  fake->mode = mode;
  fake->status = MHD_HTTP_OK;
  fake->text = text;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fake->daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, fake_on_request, fake, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fake->daemon);
  snprintf (fake->address, sizeof fake->address, "127.0.0.1:%u",
            (unsigned)MHD_get_daemon_info (fake->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static void
fake_stop (struct Fake *fake)
{
  fake->stop = true;
  MHD_stop_daemon (fake->daemon);
}

/* A client of the port and the events that it received. */
struct Client
{
  struct tevent_context *events;
  struct BackendPort *port;
  uint64_t ticket;
  bool cancel_on_chunk;
  char body[2048];
  size_t body_bytes, n_chunk_bytes;
  uint32_t n_ends, chunk_status;
  struct BackendEvent end;
};

static void
client_on_event (void *data, const struct BackendEvent *event)
{
  struct Client *client = data;
  size_t n;

  if (event->kind == BACKEND_EVENT_END)
    {
      client->end = *event;
      client->n_ends++;
      return;
    }
  CU_ASSERT_EQUAL (client->n_ends, 0);
  client->chunk_status = event->chunk.status;
  client->n_chunk_bytes += event->chunk.n_bytes;
  n = event->chunk.n_bytes;
  if (n > sizeof client->body - 1 - client->body_bytes)
    n = sizeof client->body - 1 - client->body_bytes;
  memcpy (client->body + client->body_bytes, event->chunk.bytes, n);
  client->body_bytes += n;
  if (client->cancel_on_chunk)
    client->port->cancel (client->port, client->ticket);
}

static void
client_on_guard (struct tevent_context *events,
                 struct tevent_timer *timer,
                 struct timeval now,
                 void *data)
{
  bool *expired = data;

  (void)events;
  (void)timer;
  (void)now;
  *expired = true;
}

static void
client_wait (struct Client *client)
{
  bool expired = false;
  struct tevent_timer *guard =
      tevent_add_timer (client->events, client->events, tevent_timeval_current_ofs (GUARD_S, 0),
                        client_on_guard, &expired);

  while (client->n_ends == 0 && !expired)
    tevent_loop_once (client->events);
  CU_ASSERT_FALSE (expired);
  talloc_free (guard);
}

/* Runs the event loop for 10 ms, so that pending events are handled. */
static void
client_run_loop (struct Client *client)
{
  bool expired = false;

  tevent_add_timer (client->events, client->events, tevent_timeval_current_ofs (0, 10000),
                    client_on_guard, &expired);
  while (!expired)
    tevent_loop_once (client->events);
}

static struct Client *
client_new (void)
{
  struct Client *client = talloc_zero (NULL, struct Client);

  client->events = tevent_context_init (client);
  client->port = backend_http_new (client, curl_loop_new (client, client->events));
  return client;
}

static const char chat_body[] = "{\"model\":\"m\",\"messages\":[]}";

static struct BackendRequest
chat_request (const char *address, bool stream)
{
  struct BackendRequest request = { .op = BACKEND_OP_CALL, .address = address };

  request.call.target_kind = CALL_TARGET_ENGINE;
  request.call.program = "p-1";
  request.call.idempotency_key = "p-1/main/1";
  request.call.idempotent = true;
  request.call.stream = stream;
  request.call.body = (const uint8_t *)chat_body;
  request.call.body_bytes = sizeof chat_body - 1;
  return request;
}

static struct BackendRequest
service_request (const char *address)
{
  struct BackendRequest request = chat_request (address, false);

  request.call.target_kind = CALL_TARGET_SERVICE;
  request.call.path = "/wages/confirm?estate=7";
  request.call.idempotent = false;
  return request;
}

static void
client_submit (struct Client *client, const struct BackendRequest *request)
{
  client->n_ends = 0;
  client->body_bytes = 0;
  CU_ASSERT_EQUAL_FATAL (
      client->port->submit (client->port, request, client_on_event, client, &client->ticket),
      ERROR_NONE);
}

static void
client_call (struct Client *client, const struct BackendRequest *request)
{
  client_submit (client, request);
  client_wait (client);
  client->body[client->body_bytes] = '\0';
}

#define USAGE                                                                                      \
  "\"usage\":{\"prompt_tokens\":31,\"completion_tokens\":9,"                                       \
  "\"prompt_tokens_details\":{\"cached_tokens\":16}}"

static void
assert_usage (const struct Client *client)
{
  CU_ASSERT_EQUAL (client->end.end.prompt_tokens, 31);
  CU_ASSERT_EQUAL (client->end.end.generated_tokens, 9);
  CU_ASSERT_EQUAL (client->end.end.cached_tokens, 16);
}

static void
assert_end (const struct Client *client, int32_t error, enum RanState ran)
{
  CU_ASSERT_EQUAL (client->n_ends, 1);
  CU_ASSERT_EQUAL (client->end.end.error, error);
  CU_ASSERT_EQUAL (client->end.end.ran, ran);
}

static void
test_complete_response (void)
{
  static const char text[] = "{\"choices\":[]," USAGE "}";
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_RESPOND, text);
  request = chat_request (fake.address, false);
  client_call (client, &request);
  assert_end (client, ERROR_NONE, RAN_YES);
  assert_usage (client);
  CU_ASSERT_STRING_EQUAL (client->body, text);
  CU_ASSERT_EQUAL (client->end.end.status, 200);
  fake_stop (&fake);
  CU_ASSERT_STRING_EQUAL (fake.path, "/v1/chat/completions");
  CU_ASSERT_STRING_EQUAL (fake.program, "p-1");
  CU_ASSERT_STRING_EQUAL (fake.key, "p-1/main/1");
  CU_ASSERT_STRING_EQUAL (fake.body, chat_body);
  talloc_free (client);
}

/* Chunks of three bytes split every line and every number of the stream. */
static void
test_stream_in_slices (void)
{
  static const char text[] = "data: {\"choices\":[{\"delta\":{\"content\":\"ja\"}}]}\r\n\r\n"
                             ": comment\n\n"
                             "data: {\"choices\":[]," USAGE "}\n\n"
                             "data: [DONE]\n\n";
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_STREAM, text);
  request = chat_request (fake.address, true);
  client_call (client, &request);
  assert_end (client, ERROR_NONE, RAN_YES);
  assert_usage (client);
  CU_ASSERT_STRING_EQUAL (client->body, text);
  fake_stop (&fake);
  CU_ASSERT_STRING_EQUAL (fake.body, chat_body);
  talloc_free (client);
}

static void
test_stream_that_reports_an_error (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_STREAM,
              "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]");
  request = chat_request (fake.address, true);
  client_call (client, &request);
  assert_end (client, ERROR_BACKEND, RAN_YES);
  fake_stop (&fake);
  talloc_free (client);
}

/* Guards against treating a truncated response as complete: the server fails midway through a
 * stream, the connection closes in an orderly way, and HTTP reports no error. */
static void
test_stream_without_its_end_is_not_complete (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_STREAM, "data: {\"choices\":[]," USAGE "}\n\n");
  request = chat_request (fake.address, true);
  client_call (client, &request);
  assert_end (client, ERROR_UNKNOWN_EFFECT, RAN_MAYBE);
  fake.mode = FAKE_STREAM_BROKEN;
  client_call (client, &request);
  assert_end (client, ERROR_UNKNOWN_EFFECT, RAN_MAYBE);
  fake.mode = FAKE_RESPOND;
  fake.text = "{\"choices\":[{\"mess";
  request = chat_request (fake.address, false);
  client_call (client, &request);
  assert_end (client, ERROR_UNKNOWN_EFFECT, RAN_MAYBE);
  fake_stop (&fake);
  talloc_free (client);
}

/* Guards against half a tool's response that counts as whole because its server's connection
 * closed. */
static void
test_unframed_response_of_a_crashed_tool_is_not_complete (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_UNFRAMED, "{\"wages\":100}");
  request = service_request (fake.address);
  client_call (client, &request);
  assert_end (client, ERROR_NONE, RAN_YES);
  CU_ASSERT_STRING_EQUAL (client->body, fake.text);
  fake.mode = FAKE_UNFRAMED_CRASH;
  fake.text = "{\"wages\":10";
  client_call (client, &request);
  assert_end (client, ERROR_UNKNOWN_EFFECT, RAN_MAYBE);
  fake_stop (&fake);
  talloc_free (client);
}

/* Guards against a response without an end that is passed on until the call's timeout. */
static void
test_response_over_the_limit_is_not_complete (void)
{
  static const struct RawResponse floods[] = {
    { "HTTP/1.1 200 OK\r\n\r\n", "x", RAW_KEEPS_OPEN },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "9\r\ndata: x\n\n\r\n",
      RAW_KEEPS_OPEN },
  };
  struct Client *client = client_new ();
  struct RawServer *server = raw_server_start (client);
  char address[32];

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  snprintf (address, sizeof address, "127.0.0.1:%u", raw_server_port (server));
  for (size_t i = 0; i < 2; i++)
    for (int j = 0; j < 3; j++)
      {
        struct BackendRequest request =
            j == 0 ? service_request (address) : chat_request (address, j == 1);

        request.timeout_ms = GUARD_S * 1000;
        raw_server_set_response (server, &floods[i]);
        client->n_chunk_bytes = 0;
        client_call (client, &request);
        assert_end (client, ERROR_UNKNOWN_EFFECT, RAN_MAYBE);
        CU_ASSERT (client->n_chunk_bytes <= CALL_RESPONSE_MAX_BYTES);
      }
  talloc_free (client);
}

static void
test_refused_connection_did_not_run (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_RESPOND, "");
  fake_stop (&fake); /* no process listens at its address now */
  request = service_request (fake.address);
  client_call (client, &request);
  assert_end (client, ERROR_UNREACHABLE, RAN_NO);
  talloc_free (client);
}

/* The server's accept queue is full: the request times out before the connection is established,
 * and no byte of it is sent. */
static void
test_timeout_before_connecting_did_not_run (void)
{
  struct Client *client = client_new ();
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;
  struct BackendRequest request;
  char text[64];
  int waiting[4];
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listener, 0), 0);
  getsockname (listener, (struct sockaddr *)&address, &address_bytes);
  for (size_t i = 0; i < 4; i++)
    {
      waiting[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (waiting[i], (struct sockaddr *)&address, sizeof address);
    }
  snprintf (text, sizeof text, "127.0.0.1:%u", (unsigned)ntohs (address.sin_port));
  request = service_request (text);
  request.timeout_ms = 200;
  client_call (client, &request);
  assert_end (client, ERROR_UNREACHABLE, RAN_NO);
  for (size_t i = 0; i < 4; i++)
    close (waiting[i]);
  close (listener);
  talloc_free (client);
}

/* Guards against a non-idempotent call that runs twice: the service runs a call, then closes a
 * reused connection without a response. libcurl would treat the connection as stale and resend the
 * POST. */
static void
test_close_after_run_on_a_used_connection_runs_once (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_RESPOND, "{}");
  request = service_request (fake.address);
  client_call (client, &request);
  assert_end (client, ERROR_NONE, RAN_YES);
  fake.mode = FAKE_CLOSE_AFTER_RUN;
  fake.n_runs = 0;
  client_call (client, &request);
  assert_end (client, ERROR_UNKNOWN_EFFECT, RAN_MAYBE);
  CU_ASSERT_EQUAL (fake.n_runs, 1);
  fake_stop (&fake);
  CU_ASSERT_STRING_EQUAL (fake.path, "/wages/confirm");
  talloc_free (client);
}

static void
test_timeout_after_sending_may_have_run (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_HANG, "");
  request = service_request (fake.address);
  request.timeout_ms = 200;
  client_call (client, &request);
  assert_end (client, ERROR_TIMEOUT, RAN_MAYBE);
  fake_stop (&fake);
  talloc_free (client);
}

static void
test_failure_status (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_RESPOND, "{\"error\":{}}");
  request = service_request (fake.address);
  fake.status = 503;
  client_call (client, &request);
  assert_end (client, ERROR_BACKEND, RAN_YES);
  CU_ASSERT_EQUAL (client->end.end.status, 503);
  fake.refuse_not_run = true;
  client_call (client, &request);
  assert_end (client, ERROR_BACKEND, RAN_NO);
  fake.status = 500; /* may have failed after it began: the header is ignored */
  client_call (client, &request);
  assert_end (client, ERROR_BACKEND, RAN_YES);
  fake_stop (&fake);
  talloc_free (client);
}

/* The client cancels in the chunk callback, where libcurl does not allow handles to be removed. */
static void
test_cancel_in_mid_stream (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_STREAM_ENDLESS, "data: {\"choices\":[]}\n\n");
  request = chat_request (fake.address, true);
  client->cancel_on_chunk = true;
  client_call (client, &request);
  assert_end (client, ERROR_CANCELLED, RAN_MAYBE);
  client->port->cancel (client->port, client->ticket); /* already ended: no effect */
  client_run_loop (client);
  CU_ASSERT_EQUAL (client->n_ends, 1);
  fake_stop (&fake);
  talloc_free (client);
}

static void
test_freeing_the_port_in_mid_call_is_silent (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request;
  struct Fake fake;

  fake_start (&fake, FAKE_STREAM_ENDLESS, "data: {}\n\n");
  request = chat_request (fake.address, true);
  client_submit (client, &request);
  while (client->body_bytes == 0)
    tevent_loop_once (client->events);
  TALLOC_FREE (client->port);
  CU_ASSERT_EQUAL (client->n_ends, 0);
  fake_stop (&fake);
  talloc_free (client);
}

static void
test_release_and_report (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request = { .op = BACKEND_OP_RELEASE };
  struct Fake fake;

  fake_start (&fake, FAKE_RESPOND,
              "{\"running\":3,\"waiting\":2,\"cache_used_tokens\":50,"
              "\"cache_capacity_tokens\":900,\"last_event\":77,\"engine_incarnation\":\"i-1\"}");
  request.address = fake.address;
  request.release.program = "p-\"1\"";
  client_call (client, &request);
  assert_end (client, ERROR_NONE, RAN_YES);
  CU_ASSERT_EQUAL (client->body_bytes, 0);
  request.op = BACKEND_OP_REPORT;
  request.report.after_event = 0;
  client_call (client, &request);
  assert_end (client, ERROR_NONE, RAN_YES);
  CU_ASSERT_TRUE (client->end.end.has_load);
  CU_ASSERT_EQUAL (client->end.end.load.running, 3);
  CU_ASSERT_EQUAL (client->end.end.load.cache_capacity_tokens, 900);
  CU_ASSERT_EQUAL (client->end.end.load.last_event, 77);
  CU_ASSERT_STRING_EQUAL (client->end.end.load.engine_incarnation, "i-1");
  fake_stop (&fake);
  CU_ASSERT_STRING_EQUAL (fake.path, "/load");
  CU_ASSERT_STRING_EQUAL (fake.body, "");
  talloc_free (client);
}

/* Otherwise a caller could inject headers or select another host through its program id or path. */
static void
test_unsafe_paths_and_header_values_are_rejected (void)
{
  struct Client *client = client_new ();
  struct BackendRequest request = service_request ("127.0.0.1:1");

  request.call.path = "@other.example/";
  CU_ASSERT_EQUAL (
      client->port->submit (client->port, &request, client_on_event, client, &client->ticket),
      ERROR_INVALID);
  request.call.path = "/a\r\nX-Ran: not_run";
  CU_ASSERT_EQUAL (
      client->port->submit (client->port, &request, client_on_event, client, &client->ticket),
      ERROR_INVALID);
  request.call.path = "/a";
  request.call.program = "p\r\nIdempotency-Key: other";
  CU_ASSERT_EQUAL (
      client->port->submit (client->port, &request, client_on_event, client, &client->ticket),
      ERROR_INVALID);
  talloc_free (client);
}

const char test_suite_name[] = "backend_http";
const struct TestCase test_cases[] = {
  { "complete response", test_complete_response },
  { "stream in slices", test_stream_in_slices },
  { "stream that reports an error", test_stream_that_reports_an_error },
  { "stream without its end is not complete", test_stream_without_its_end_is_not_complete },
  { "unframed response of a crashed tool is not complete",
    test_unframed_response_of_a_crashed_tool_is_not_complete },
  { "a response over the limit is not complete", test_response_over_the_limit_is_not_complete },
  { "refused connection did not run", test_refused_connection_did_not_run },
  { "timeout before connecting did not run", test_timeout_before_connecting_did_not_run },
  { "close after run on a used connection runs once",
    test_close_after_run_on_a_used_connection_runs_once },
  { "timeout after sending may have run", test_timeout_after_sending_may_have_run },
  { "failure status", test_failure_status },
  { "cancel in mid-stream", test_cancel_in_mid_stream },
  { "freeing the port in mid-call is silent", test_freeing_the_port_in_mid_call_is_silent },
  { "release and report", test_release_and_report },
  { "unsafe paths and header values are rejected",
    test_unsafe_paths_and_header_values_are_rejected },
  { NULL, NULL },
};
