#include "installation_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  HANG_POLL_MS = 10
};

/* An event stream that is being sent. */
struct Stream
{
  struct Server *server;
  char request[65];
  uint32_t n_sent, n_events, data_bytes;
  enum ServerMode mode;
  bool partial_event_sent;
};

/* Returns whether the response ends in the middle. */
static bool
mode_cuts_response (enum ServerMode mode)
{
  return mode == SERVER_TRUNCATES || mode == SERVER_CLOSES_WITHIN_EVENT
         || mode == SERVER_CRASHES_IN_RESPONSE || mode == SERVER_ENDS_WITHIN_EVENT;
}

static bool
mode_omits_framing (enum ServerMode mode)
{
  return mode == SERVER_CLOSES_AT_END || mode == SERVER_CLOSES_WITHIN_EVENT
         || mode == SERVER_CRASHES_IN_RESPONSE;
}

bool
request_collect (void **state, const char *bytes, size_t *n_bytes, enum MHD_Result *result)
{
  struct RequestBody *body = *state;

  *result = MHD_YES;
  if (body == NULL)
    {
      body = calloc (1, sizeof *body);
      body->bytes = calloc (1, 1);
      *state = body;
      return false;
    }
  if (*n_bytes == 0)
    return true;
  body->bytes = realloc (body->bytes, body->n_bytes + *n_bytes + 1);
  memcpy (body->bytes + body->n_bytes, bytes, *n_bytes);
  body->n_bytes += *n_bytes;
  body->bytes[body->n_bytes] = '\0';
  *n_bytes = 0;
  return false;
}

void
request_completed (void *data,
                   struct MHD_Connection *connection,
                   void **state,
                   enum MHD_RequestTerminationCode code)
{
  struct RequestBody *body = *state;

  (void)data;
  (void)connection;
  (void)code;
  if (body == NULL)
    return;
  free (body->bytes);
  free (body);
  *state = NULL;
}

static const char *
request_header (struct MHD_Connection *connection, const char *name)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);

  return value != NULL ? value : "";
}

static enum MHD_Result
append_header (void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
  char **headers = data;
  char *grown = NULL;

  (void)kind;
  if (asprintf (&grown, "%s%s: %s\n", *headers, name, value != NULL ? value : "") < 0)
    abort ();
  free (*headers);
  *headers = grown;
  return MHD_YES;
}

static void
run_record (struct Server *server,
            struct MHD_Connection *connection,
            const char *request,
            const char *body)
{
  struct Installation *in = server->installation;
  struct Run *run = &in->runs[in->n_runs];
  struct timespec now;

  if (in->n_runs == RUNS_MAX)
    abort ();
  in->n_runs++;
  snprintf (run->request, sizeof run->request, "%s", request);
  run->server = server->number;
  clock_gettime (CLOCK_MONOTONIC, &now);
  run->started_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  run->body = strdup (body);
  run->headers = strdup ("");
  MHD_get_connection_values (connection, MHD_HEADER_KIND, append_header, &run->headers);
}

/* Ends the process of a server that is sending a response. Its port is closed before the connection
 * is, as when a process is killed. */
static void
server_crash_in_response (struct Server *server)
{
  MHD_socket listener;

  pthread_mutex_lock (&server->installation->lock);
  if (!server->crashing)
    {
      listener = MHD_quiesce_daemon (server->daemon);
      if (listener == MHD_INVALID_SOCKET)
        abort ();
      /* The daemon's thread still polls the socket, which would keep it open. */
      shutdown (listener, SHUT_RDWR);
      close (listener);
    }
  server_crash (server);
  pthread_mutex_unlock (&server->installation->lock);
}

/* Ends the stream in the middle. */
static ssize_t
stream_cut (struct Stream *stream, char *buffer, size_t buffer_bytes)
{
  if (stream->mode == SERVER_CRASHES_IN_RESPONSE)
    {
      server_crash_in_response (stream->server);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  if (!stream->partial_event_sent)
    {
      stream->partial_event_sent = true;
      return snprintf (buffer, buffer_bytes, "id: %u\nda", stream->n_sent + 1);
    }
  return stream->mode == SERVER_TRUNCATES ? MHD_CONTENT_READER_END_WITH_ERROR
                                          : MHD_CONTENT_READER_END_OF_STREAM;
}

static ssize_t
stream_next (void *data, uint64_t at, char *buffer, size_t buffer_bytes)
{
  static const char start[] = { 'd', 'a', 't', 'a', ':', ' ' };
  struct Stream *stream = data;
  uint32_t event_ms;
  int n;

  if (stream->mode == SERVER_ENDLESS_EVENT)
    {
      memset (buffer, 'x', buffer_bytes);
      if (at == 0)
        memcpy (buffer, start, sizeof start);
      return (ssize_t)buffer_bytes;
    }
  if (stream->n_sent >= stream->n_events)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (mode_cuts_response (stream->mode) && stream->n_sent >= stream->n_events / 2)
    return stream_cut (stream, buffer, buffer_bytes);
  pthread_mutex_lock (&stream->server->installation->lock);
  event_ms = stream->server->event_ms;
  pthread_mutex_unlock (&stream->server->installation->lock);
  usleep (event_ms * 1000);
  stream->n_sent++;
  n = snprintf (buffer, buffer_bytes, "id: %u\ndata: %s-%u%.*d\n\n", stream->n_sent,
                stream->request, stream->n_sent, (int)stream->data_bytes, 0);
  return n;
}

static void
stream_on_free (void *data)
{
  struct Stream *stream = data;
  struct Installation *in = stream->server->installation;

  pthread_mutex_lock (&in->lock);
  if (stream->n_sent < stream->n_events && !mode_cuts_response (stream->mode))
    in->n_client_closes++;
  pthread_mutex_unlock (&in->lock);
  free (stream);
}

static struct MHD_Response *
stream_response (struct Server *server, const char *request, uint32_t after, enum ServerMode mode)
{
  struct Stream *stream = calloc (1, sizeof *stream);
  struct MHD_Response *response;

  stream->server = server;
  stream->n_sent = after;
  stream->n_events = server->n_events;
  stream->data_bytes = server->data_bytes;
  stream->mode = mode;
  snprintf (stream->request, sizeof stream->request, "%s", request);
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 4096, stream_next, stream,
                                                stream_on_free);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  return response;
}

struct PlainBody
{
  struct Server *server;
  char text[128];
  size_t n_bytes; /* to be sent */
  bool crashes;   /* after them */
};

static ssize_t
plain_next (void *data, uint64_t at, char *buffer, size_t buffer_bytes)
{
  struct PlainBody *body = data;
  size_t n = body->n_bytes - (size_t)at;

  if (n == 0 && body->crashes)
    server_crash_in_response (body->server);
  if (n == 0)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n > buffer_bytes)
    n = buffer_bytes;
  memcpy (buffer, body->text + at, n);
  return (ssize_t)n;
}

static ssize_t
endless_next (void *data, uint64_t at, char *buffer, size_t buffer_bytes)
{
  (void)data;
  (void)at;
  memset (buffer, 'x', buffer_bytes);
  return (ssize_t)buffer_bytes;
}

static struct MHD_Response *
plain_response (struct Server *server, const char *request, enum ServerMode mode)
{
  struct PlainBody *body;

  if (mode == SERVER_ENDLESS_BODY)
    return MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, 64 * 1024, endless_next, NULL,
                                              NULL);
  if (server->body_bytes > 0)
    return MHD_create_response_from_buffer (server->body_bytes, calloc (1, server->body_bytes),
                                            MHD_RESPMEM_MUST_FREE);
  body = calloc (1, sizeof *body);
  body->server = server;
  body->n_bytes = (size_t)snprintf (body->text, sizeof body->text, "done %s", request);
  body->crashes = mode == SERVER_CRASHES_IN_RESPONSE;
  if (body->crashes)
    body->n_bytes /= 2;
  return MHD_create_response_from_callback (
      mode_omits_framing (mode) ? MHD_SIZE_UNKNOWN : body->n_bytes, 256, plain_next, body, free);
}

static enum MHD_Result
reply_not_executed (struct MHD_Connection *connection, unsigned status)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (0, "", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  MHD_add_response_header (response, "X-Not-Executed", "1");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
server_wait_while_hanging (struct Server *server)
{
  struct Installation *in = server->installation;

  pthread_mutex_lock (&in->lock);
  while (server->mode == SERVER_HANGS && !in->ended)
    {
      pthread_mutex_unlock (&in->lock);
      usleep (HANG_POLL_MS * 1000);
      pthread_mutex_lock (&in->lock);
    }
  pthread_mutex_unlock (&in->lock);
}

static void
installation_wait_end (struct Installation *in)
{
  pthread_mutex_lock (&in->lock);
  while (!in->ended)
    pthread_cond_wait (&in->changed, &in->lock);
  pthread_mutex_unlock (&in->lock);
}

/* Takes a place; false if the server is full. Called with the lock held. */
static bool
server_take_place (struct Server *server)
{
  if (server->places > 0 && server->n_in_progress >= server->places)
    {
      server->n_rejected++;
      return false;
    }
  server->n_in_progress++;
  return true;
}

static void
server_work (struct Server *server)
{
  struct Installation *in = server->installation;
  uint32_t work_ms;

  pthread_mutex_lock (&in->lock);
  work_ms = server->work_ms;
  pthread_mutex_unlock (&in->lock);
  usleep (work_ms * 1000);
  pthread_mutex_lock (&in->lock);
  server->n_in_progress--;
  pthread_mutex_unlock (&in->lock);
}

static enum MHD_Result
server_on_request (void *data,
                   struct MHD_Connection *connection,
                   const char *url,
                   const char *method,
                   const char *version,
                   const char *upload,
                   size_t *upload_bytes,
                   void **state)
{
  struct Server *server = data;
  struct Installation *in = server->installation;
  const char *request = request_header (connection, "X-Request-Id");
  struct MHD_Response *response;
  enum MHD_Result result;
  enum ServerMode mode;
  char load[sizeof server->load];
  uint32_t after;
  bool has_place, crashes;

  (void)method;
  (void)version;
  if (!request_collect (state, upload, upload_bytes, &result))
    return result;
  if (server_wait_while_silent (server))
    return MHD_NO;
  if (request_header (connection, "X-Expect-Instance")[0] != '\0'
      && strcmp (request_header (connection, "X-Expect-Instance"), server->id) != 0)
    return reply_not_executed (connection, 421);
  pthread_mutex_lock (&in->lock);
  mode = server->mode;
  memcpy (load, server->load, sizeof load);
  has_place = server_take_place (server);
  if (mode != SERVER_REJECTS && has_place)
    run_record (server, connection, request, ((struct RequestBody *)*state)->bytes);
  if (mode == SERVER_HANGS_ONCE)
    server->mode = SERVER_RESPONDS;
  crashes = has_place && installation_path_crashes (in, url);
  if (crashes)
    server_crash (server);
  pthread_mutex_unlock (&in->lock);
  if (crashes)
    {
      server_wait_while_silent (server);
      return MHD_NO;
    }
  if (!has_place)
    return reply_not_executed (connection, 503);
  server_work (server);
  if (mode == SERVER_HANGS_ONCE)
    installation_wait_end (in);
  if (mode == SERVER_REJECTS)
    return reply_not_executed (connection, 503);
  if (mode == SERVER_DROPS_RESPONSE || (mode == SERVER_TRUNCATES && !server->engine))
    return MHD_NO;
  server_wait_while_hanging (server);
  after = (uint32_t)strtoul (request_header (connection, "Last-Event-Id"), NULL, 10);
  response = server->engine ? stream_response (server, request, after, mode)
                            : plain_response (server, request, mode);
  if (mode_omits_framing (mode))
    MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
  MHD_add_response_header (response, "X-Request-Id", request);
  if (load[0] != '\0')
    MHD_add_response_header (response, "X-Server-Load", load);
  if (mode != SERVER_OMITS_SEAL)
    MHD_add_response_header (response, "X-Response-Seal", "3e1b.07");
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

int
installation_server_start (struct Server *server)
{
  server->daemon =
      MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC,
                        server->port, NULL, NULL, server_on_request, server,
                        MHD_OPTION_NOTIFY_COMPLETED, request_completed, server, MHD_OPTION_END);
  return server->daemon != NULL ? 0 : -1;
}
