#include "http_client_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/net_socket.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  SWEEP_MS = 250,
  /* Idle connections are no longer used this much before the server's advertised keep-alive
   * timeout: the server may count from the moment it sent its response. */
  KEEP_ALIVE_MARGIN_MS = 400,
  /* TCP_USER_TIMEOUT: if sent data stays unacknowledged for this long, the peer's instance has
   * failed or is unreachable. Longer than a retransmission on a lossy link. */
  USER_TIMEOUT_MS = 2000,
  COPIED_BODY_MAX_BYTES = 16 * 1024 /* such bodies are sent together with the head */
};

struct HttpCall
{
  struct ServerConnection *connection;
  struct HttpCallHandler handler;
  char *id_header, *id;
};

static int
connection_free (struct ServerConnection *c)
{
  *c->previous_next = c->next;
  if (c->next != NULL)
    c->next->previous_next = c->previous_next;
  c->client->n_connections--;
  if (c->call != NULL)
    c->call->connection = NULL;
  if (c->check != NULL)
    c->check->connection = NULL;
  TALLOC_FREE (c->watch);
  close (c->fd);
  return 0;
}

static bool
connection_has_output (const struct ServerConnection *c)
{
  return byte_queue_length (&c->output) > 0 || c->body_bytes > 0;
}

static void
connection_drop_body (struct ServerConnection *c)
{
  c->body = NULL;
  c->body_bytes = 0;
}

/* Closes the connection of a call that is freed before its end, so that the server notices. */
static int
call_free (struct HttpCall *call)
{
  struct ServerConnection *c = call->connection;

  if (c == NULL)
    return 0;
  call->connection = NULL;
  c->call = NULL;
  c->paused = false;
  connection_drop_body (c);
  shutdown (c->fd, SHUT_RDWR);
  c->deadline_ms = 0;
  return 0;
}

void
connection_update_watch (struct ServerConnection *c)
{
  uint16_t flags = c->paused ? 0 : TEVENT_FD_READ;

  if (c->state == CONNECTION_CONNECTING || connection_has_output (c))
    flags |= TEVENT_FD_WRITE;
  if (tevent_fd_get_flags (c->watch) != flags)
    tevent_fd_set_flags (c->watch, flags);
}

void
connection_close (struct ServerConnection *c, enum HttpEnd end)
{
  struct HttpCall *call = c->call;

  c->call = NULL;
  if (call != NULL)
    call->connection = NULL;
  talloc_free (c);
  if (call == NULL)
    return;
  call->handler.end (call->handler.data, end);
  talloc_free (call);
}

/* id: of the response; NULL if it has none, or the call checks none. */
static enum HttpAttribution
response_attribution (const struct ServerConnection *c, const char *id)
{
  if (c->call->id_header == NULL || id != NULL)
    return HTTP_ATTRIBUTED_BY_ID;
  return c->n_requests == 1 ? HTTP_ATTRIBUTED_BY_CONNECTION : HTTP_NOT_ATTRIBUTED;
}

static bool
connection_on_head (void *data, const struct HttpResponseHead *head)
{
  struct ServerConnection *c = data;
  struct HttpResponseHead attributed = *head;
  const char *id = NULL;

  if (c->call == NULL)
    return true;
  if (c->call->id_header != NULL)
    id = http_headers_get (&head->headers, c->call->id_header);
  if (id != NULL && strcmp (id, c->call->id) != 0)
    {
      counter_add (COUNTER_RESPONSES_DISCARDED, 1);
      return false;
    }
  attributed.attribution = response_attribution (c, id);
  /* A server that sends responses without an id may owe more of them. */
  if (attributed.attribution != HTTP_ATTRIBUTED_BY_ID)
    c->single_use = true;
  if (attributed.attribution != HTTP_NOT_ATTRIBUTED)
    {
      c->call->handler.head (c->call->handler.data, &attributed);
      return true;
    }
  counter_add (COUNTER_RESPONSES_NOT_ATTRIBUTED, 1);
  if (c->call->handler.not_attributed != NULL)
    c->call->handler.not_attributed (c->call->handler.data, &attributed);
  return false;
}

static void
connection_on_body (void *data, const uint8_t *bytes, size_t n_bytes)
{
  struct ServerConnection *c = data;

  if (c->call != NULL)
    c->call->handler.body (c->call->handler.data, bytes, n_bytes);
}

/* Ends the call with a complete response. The connection becomes idle for reuse only if no bytes of
 * the request or of another response can be left on it. */
static void
connection_finish_call (struct ServerConnection *c, bool extra_bytes)
{
  struct HttpCall *call = c->call;
  int64_t idle_ms = c->reader.idle_ms > 0 ? c->reader.idle_ms - KEEP_ALIVE_MARGIN_MS
                                          : (int64_t)c->client->options.idle_max_ms;
  bool keep = call != NULL && http_response_reader_keeps_connection (&c->reader) && !extra_bytes
              && !connection_has_output (c) && idle_ms > 0 && !c->single_use;

  if (!keep)
    {
      connection_close (c, HTTP_END_COMPLETE);
      return;
    }
  c->call = NULL;
  c->state = CONNECTION_IDLE;
  c->paused = false;
  c->deadline_ms = timer_now_ms (c->client->timers) + idle_ms;
  http_response_reader_reset (c, &c->reader);
  connection_update_watch (c);
  call->connection = NULL;
  call->handler.end (call->handler.data, HTTP_END_COMPLETE);
  talloc_free (call);
}

/* Passes bytes to the parser; returns false when the connection is closed or idle. */
static bool
connection_parse (struct ServerConnection *c, const uint8_t *bytes, size_t n_bytes)
{
  size_t n_read;

  switch (http_response_reader_parse (&c->reader, bytes, n_bytes, &n_read))
    {
    case HTTP_READ_INCOMPLETE:
      return true;
    case HTTP_READ_COMPLETE:
      connection_finish_call (c, n_read < n_bytes);
      return false;
    case HTTP_READ_MALFORMED:
      connection_close (c, HTTP_END_MALFORMED);
      return false;
    }
  return true;
}

static void
connection_on_close (struct ServerConnection *c, bool in_order)
{
  connection_close (c, c->sent_any ? http_response_reader_close (&c->reader, in_order)
                                   : HTTP_END_NOT_SENT);
}

static void
connection_read (struct ServerConnection *c)
{
  ssize_t n = recv (c->fd, c->client->scratch, sizeof c->client->scratch, MSG_DONTWAIT);

  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  /* Bytes on an idle connection belong to no request. */
  if (c->state == CONNECTION_IDLE || c->call == NULL)
    connection_close (c, HTTP_END_BROKEN);
  else if (n <= 0)
    connection_on_close (c, n == 0);
  else if (connection_parse (c, c->client->scratch, (size_t)n))
    connection_update_watch (c);
}

/* Returns false when the connection has failed. */
static bool
connection_write_body (struct ServerConnection *c)
{
  while (c->body_bytes > 0)
    {
      ssize_t n = send (c->fd, c->body, c->body_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return true;
      if (n < 0)
        return false;
      c->body += n;
      c->body_bytes -= (size_t)n;
      c->sent_any = true;
    }
  return true;
}

/* Returns false when the connection has failed. */
static bool
connection_write (struct ServerConnection *c)
{
  size_t before = byte_queue_length (&c->output);
  bool ok = byte_queue_send (&c->output, c->fd);

  if (byte_queue_length (&c->output) < before)
    c->sent_any = true;
  return ok && (byte_queue_length (&c->output) > 0 || connection_write_body (c));
}

static void
connection_on_event (struct tevent_context *events,
                     struct tevent_fd *watch,
                     uint16_t flags,
                     void *data)
{
  struct ServerConnection *c = data;

  (void)events;
  (void)watch;
  if (c->state == CONNECTION_CONNECTING)
    {
      if (net_connect_error (c->fd) != 0)
        {
          if (c->check != NULL)
            check_on_refused (c);
          else
            connection_close (c, HTTP_END_NOT_SENT);
          return;
        }
      c->connected_ms = timer_now_ms (c->client->timers);
      if (c->check != NULL)
        {
          check_on_accepted (c);
          return;
        }
      c->state = CONNECTION_BUSY;
    }
  /* Reads before writing: the server may have sent a complete response before it closed. */
  if (flags & TEVENT_FD_READ)
    {
      connection_read (c);
      return;
    }
  if ((flags & TEVENT_FD_WRITE) && !connection_write (c))
    {
      connection_close (c, c->sent_any ? HTTP_END_BROKEN : HTTP_END_NOT_SENT);
      return;
    }
  connection_update_watch (c);
}

static void
client_on_sweep (void *data)
{
  struct HttpClient *client = data;
  int64_t now_ms = timer_now_ms (client->timers);
  struct ServerConnection *next;

  for (struct ServerConnection *c = client->connections; c != NULL; c = next)
    {
      next = c->next;
      if (c->state != CONNECTION_BUSY || c->call == NULL)
        {
          if (c->deadline_ms <= now_ms)
            connection_close (c, HTTP_END_NOT_SENT);
        }
    }
}

static int
client_free (struct HttpClient *client)
{
  while (client->connections != NULL)
    talloc_free (client->connections);
  return 0;
}

struct HttpClient *
http_client_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpClientOptions *options)
{
  struct HttpClient *client = talloc_zero (ctx, struct HttpClient);

  if (client == NULL)
    return NULL;
  client->events = events;
  client->timers = timers;
  client->options = *options;
  talloc_set_destructor (client, client_free);
  timer_subscribe (client, timers, SWEEP_MS, SWEEP_MS, client_on_sweep, client);
  return client;
}

/* An idle connection with anything to read is closed or has received unexpected bytes. */
static bool
connection_is_reusable (const struct ServerConnection *c)
{
  char byte;
  ssize_t n = recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

uint32_t
client_count_connections (const struct HttpClient *client, const char *address)
{
  uint32_t n = 0;

  for (const struct ServerConnection *c = client->connections; c != NULL; c = c->next)
    n += strcmp (c->address, address) == 0;
  return n;
}

/* Returns the most recently used idle connection to address. */
static struct ServerConnection *
client_find_idle (struct HttpClient *client, const char *address)
{
  int64_t now_ms = timer_now_ms (client->timers);
  struct ServerConnection *best = NULL, *next;

  for (struct ServerConnection *c = client->connections; c != NULL; c = next)
    {
      next = c->next;
      if (strcmp (c->address, address) != 0)
        continue;
      if (c->state == CONNECTION_IDLE && c->deadline_ms > now_ms
          && (best == NULL || c->deadline_ms > best->deadline_ms))
        best = c;
    }
  if (best == NULL || connection_is_reusable (best))
    return best;
  talloc_free (best);
  return client_find_idle (client, address);
}

struct ServerConnection *
connection_new (struct HttpClient *client, const char *address, uint32_t connect_timeout_ms)
{
  struct ServerConnection *c;
  int fd = net_connect (address, USER_TIMEOUT_MS);

  if (fd < 0)
    return NULL;
  c = talloc_zero (client, struct ServerConnection);
  if (c == NULL)
    {
      close (fd);
      return NULL;
    }
  c->client = client;
  c->fd = fd;
  snprintf (c->address, sizeof c->address, "%s", address);
  c->reader.on_head = connection_on_head;
  c->reader.on_body = connection_on_body;
  c->reader.data = c;
  c->state = CONNECTION_CONNECTING;
  c->deadline_ms = timer_now_ms (client->timers) + connect_timeout_ms;
  c->next = client->connections;
  c->previous_next = &client->connections;
  if (c->next != NULL)
    c->next->previous_next = &c->next;
  client->connections = c;
  talloc_set_destructor (c, connection_free);
  client->n_opened++;
  client->n_connections++;
  c->watch = tevent_add_fd (client->events, c, fd, TEVENT_FD_WRITE, connection_on_event, c);
  if (c->watch == NULL)
    TALLOC_FREE (c);
  return c;
}

static struct HttpCall *
call_new (struct HttpClient *client,
          const struct HttpCallRequest *request,
          const struct HttpCallHandler *handler)
{
  struct HttpCall *call = talloc_zero (client, struct HttpCall);

  if (call == NULL)
    return NULL;
  call->handler = *handler;
  if (request->id_header != NULL)
    {
      call->id_header = talloc_strdup (call, request->id_header);
      call->id = talloc_strdup (call, request->id);
    }
  if (request->id_header != NULL && (call->id_header == NULL || call->id == NULL))
    TALLOC_FREE (call);
  else
    talloc_set_destructor (call, call_free);
  return call;
}

/* Closes the idle connection that would be used for the shortest time. Returns false when there is
 * none. */
static bool
client_close_one_idle (struct HttpClient *client)
{
  struct ServerConnection *first = NULL;

  for (struct ServerConnection *c = client->connections; c != NULL; c = c->next)
    if (c->state == CONNECTION_IDLE && (first == NULL || c->deadline_ms < first->deadline_ms))
      first = c;
  if (first == NULL)
    return false;
  talloc_free (first);
  return true;
}

/* Returns whether the limit on all connections allows another one. */
static bool
client_has_room (struct HttpClient *client)
{
  uint32_t limit = client->options.connections_max;

  return limit == 0 || client->n_connections < limit || client_close_one_idle (client);
}

/* Returns whether the limits allow a new connection for the request. */
static bool
client_has_room_for (struct HttpClient *client, const struct HttpCallRequest *request)
{
  uint32_t connections_max =
      request->connections_max > 0 ? request->connections_max : client->options.per_address_max;

  if (client_count_connections (client, request->address) >= connections_max)
    talloc_free (client_find_idle (client, request->address));
  return client_count_connections (client, request->address) < connections_max
         && client_has_room (client);
}

/* Queues the request. A large body is sent from the request's own memory. */
static int32_t
connection_queue_request (struct ServerConnection *c, const struct HttpCallRequest *request)
{
  bool copies = request->body_bytes <= COPIED_BODY_MAX_BYTES;
  int32_t error = byte_queue_add (c, &c->output, request->head, strlen (request->head));

  if (error == ERROR_NONE && copies)
    error = byte_queue_add (c, &c->output, request->body, request->body_bytes);
  if (!copies)
    {
      c->body = request->body;
      c->body_bytes = request->body_bytes;
    }
  return error;
}

struct HttpCall *
http_client_submit (struct HttpClient *client,
                    const struct HttpCallRequest *request,
                    const struct HttpCallHandler *handler)
{
  struct ServerConnection *c = NULL;
  struct HttpCall *call;

  if (request->connection_use == HTTP_CONNECTION_SHARED)
    c = client_find_idle (client, request->address);
  if (c == NULL && !client_has_room_for (client, request))
    return NULL;
  if (c == NULL)
    c = connection_new (client, request->address, request->connect_timeout_ms);
  call = c != NULL ? call_new (client, request, handler) : NULL;
  if (call == NULL || connection_queue_request (c, request) != ERROR_NONE)
    {
      talloc_free (call);
      talloc_free (c);
      return NULL;
    }
  call->connection = c;
  c->call = call;
  c->n_requests++;
  c->single_use = c->single_use || request->connection_use == HTTP_CONNECTION_EXCLUSIVE;
  c->sent_any = false;
  http_response_reader_reset (c, &c->reader);
  c->reader.expects_no_body = request->expects_no_body;
  if (c->state == CONNECTION_IDLE)
    {
      c->state = CONNECTION_BUSY;
      /* A failure is reported later, by the socket event that it causes. */
      connection_write (c);
      c->sent_any = true;
    }
  connection_update_watch (c);
  return call;
}

void
http_call_set_paused (struct HttpCall *call, bool paused)
{
  struct ServerConnection *c = call->connection;

  if (c == NULL || c->paused == paused)
    return;
  c->paused = paused;
  connection_update_watch (c);
}

int64_t
http_call_connected_ms (const struct HttpCall *call)
{
  return call->connection != NULL ? call->connection->connected_ms : 0;
}

uint32_t
http_call_earlier_requests (const struct HttpCall *call)
{
  return call->connection != NULL ? call->connection->n_requests - 1 : 0;
}

int64_t
http_client_idle_until_ms (const struct HttpClient *client, const char *address)
{
  int64_t until_ms = 0;

  for (const struct ServerConnection *c = client->connections; c != NULL; c = c->next)
    if (c->state == CONNECTION_IDLE && c->deadline_ms > until_ms
        && strcmp (c->address, address) == 0)
      until_ms = c->deadline_ms;
  return until_ms;
}

void
http_client_close_idle (struct HttpClient *client, const char *address)
{
  struct ServerConnection *next;

  for (struct ServerConnection *c = client->connections; c != NULL; c = next)
    {
      next = c->next;
      if (c->state == CONNECTION_IDLE && strcmp (c->address, address) == 0)
        talloc_free (c);
    }
}

uint64_t
http_client_opened (const struct HttpClient *client)
{
  return client->n_opened;
}
