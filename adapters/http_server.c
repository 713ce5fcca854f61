#include "http_server_internal.h"

#include <buckthornhead/acceptor.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/net_socket.h>

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Limit on data read ahead while a request is handled; the rest stays in the socket buffer. */
  INPUT_MAX_BYTES = 64 * 1024,
  /* Unread data at which a caller becomes congested, and at which it no longer is. The distance
   * keeps a caller that reads small pieces from switching its server on and off for each of them.
   */
  CONGESTED_BYTES = 1024 * 1024,
  UNCONGESTED_BYTES = 512 * 1024,
  SWEEP_MS = 200, /* resolution of the header, idle and linger timeouts */
  /* Time to keep reading after the last response: closing with unread data resets the connection,
   * and the reset can overtake the response. */
  LINGER_MS = 1000,
  /* Connections that are idle, stop in the middle of a request or have got their last response for
   * less than this are not closed to make room for others. */
  IDLE_KEPT_MS = 1000,
  STALLED_KEPT_MS = 500,
  LINGERING_KEPT_MS = 250,
  FULL_LOG_PERIOD_MS = 10 * 1000
};

static void
connection_advance (struct Connection *c);

static int
connection_free (struct Connection *c)
{
  struct ServerExchange *x = c->exchange;

  *c->previous_next = c->next;
  if (c->next != NULL)
    c->next->previous_next = c->previous_next;
  c->server->n_connections--;
  if (x != NULL)
    {
      c->exchange = NULL;
      x->connection = NULL;
      c->server->n_in_flight--;
      if (x->public.on_disconnect != NULL)
        x->public.on_disconnect (&x->public);
    }
  TALLOC_FREE (c->watch);
  /* Without a length, only a reset reveals that a response is truncated. */
  if (c->closes_response && (x != NULL || c->broken || byte_queue_length (&c->output) > 0))
    setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &(struct linger){ .l_onoff = 1, .l_linger = 0 },
                sizeof (struct linger));
  close (c->fd);
  return 0;
}

bool
server_connection_is_bounded (const struct Connection *c)
{
  return c->server->options.memory != NULL;
}

static bool
connection_accepts_request (const struct Connection *c)
{
  return (c->state == CONNECTION_IDLE || c->state == CONNECTION_READING) && !c->congested;
}

void
server_connection_update_watch (struct Connection *c)
{
  uint16_t flags = 0;

  if (connection_accepts_request (c) || c->state == CONNECTION_LINGERING || c->broken
      || byte_queue_length (&c->input) < INPUT_MAX_BYTES)
    flags |= TEVENT_FD_READ;
  /* The end of congestion is noticed on a write event, also if the handler has written the rest. */
  if (byte_queue_length (&c->output) > 0 || c->congested)
    flags |= TEVENT_FD_WRITE;
  if (tevent_fd_get_flags (c->watch) != flags)
    tevent_fd_set_flags (c->watch, flags);
}

void
server_connection_set_state (struct Connection *c, enum ConnectionState state)
{
  c->state = state;
  c->state_since_ms = timer_now_ms (c->server->timers);
}

/* Closes a connection that has lost part of a response: shuts it down here, and frees it later from
 * the event loop, never while the handler is writing. If the end of the connection ends the
 * response, nothing is sent that looks like it. */
void
server_connection_break (struct Connection *c)
{
  shutdown (c->fd, c->closes_response ? SHUT_RD : SHUT_RDWR);
  c->broken = true;
  c->close_after = true;
}

void
server_connection_end_output (struct Connection *c)
{
  if (byte_queue_length (&c->output) == 0 && !c->broken)
    shutdown (c->fd, SHUT_WR);
}

/* What a caller sends is no progress while it has a response to read. */
static void
connection_begin_input (struct Connection *c)
{
  if (byte_queue_length (&c->output) == 0)
    progress_start (&c->progress, timer_now_ms (c->server->timers));
}

static void
connection_begin_output (struct Connection *c)
{
  c->progress_ms = timer_now_ms (c->server->timers);
  progress_start (&c->progress, c->progress_ms);
}

int32_t
server_connection_queue (struct Connection *c, const void *bytes, size_t n_bytes)
{
  if (c->broken)
    return ERROR_NONE;
  if (byte_queue_length (&c->output) == 0)
    connection_begin_output (c);
  return byte_queue_add (c, &c->output, bytes, n_bytes);
}

/* Sends as much as the socket accepts. Returns false if the connection failed. */
static bool
connection_flush (struct Connection *c)
{
  size_t n_before = byte_queue_length (&c->output);
  size_t n_sent;

  if (!byte_queue_send (&c->output, c->fd))
    return false;
  n_sent = n_before - byte_queue_length (&c->output);
  if (n_sent == 0)
    return true;
  c->progress_ms = timer_now_ms (c->server->timers);
  progress_record (&c->progress, n_sent, c->progress_ms);
  /* The idle timeout counts from when the caller has read the last response. */
  if (server_connection_is_bounded (c) && c->state == CONNECTION_IDLE)
    c->state_since_ms = c->progress_ms;
  return true;
}

void
server_connection_send_bounded (struct Connection *c,
                                const void *bytes,
                                size_t n_bytes,
                                size_t max_bytes)
{
  if (server_connection_queue (c, bytes, n_bytes) != ERROR_NONE
      || byte_queue_length (&c->output) > max_bytes || !connection_flush (c))
    server_connection_break (c);
  if (server_connection_is_bounded (c) && byte_queue_length (&c->output) >= CONGESTED_BYTES)
    c->congested = true;
  server_connection_update_watch (c);
}

void
server_connection_send_queue (struct Connection *c, struct ByteQueue *queue)
{
  size_t n_bytes = byte_queue_length (queue);

  if (c->broken || byte_queue_length (&c->output) > 0 || queue->bytes == NULL)
    {
      server_connection_send_bounded (c, byte_queue_head (queue), n_bytes, SIZE_MAX);
      return;
    }
  connection_begin_output (c);
  c->output = *queue;
  talloc_steal (c, c->output.bytes);
  memset (queue, 0, sizeof *queue);
  server_connection_send_bounded (c, NULL, 0, SIZE_MAX);
}

void
server_connection_send (struct Connection *c, const void *bytes, size_t n_bytes)
{
  server_connection_send_bounded (c, bytes, n_bytes, SERVER_OUTPUT_MAX_BYTES);
}

/* Rejects a request; retry_after is in seconds and sent with status 503. The rest of it is read and
 * discarded for LINGER_MS: closing with unread data resets the connection, and the reset can
 * overtake the response. */
static void
connection_reject_with (struct Connection *c, uint32_t status, const char *retry_after)
{
  char framing[64] = "Content-Length: 0\r\n";

  if (status == 503)
    snprintf (framing, sizeof framing, "Retry-After: %s\r\nContent-Length: 0\r\n", retry_after);
  c->close_after = true;
  server_connection_send_head (c, status, NULL, framing);
  server_connection_set_state (c, CONNECTION_LINGERING);
  http_request_reader_reset (c, &c->reader, &c->server->options.limits);
  server_connection_end_output (c);
  server_connection_update_watch (c);
}

static void
connection_reject (struct Connection *c, uint32_t status)
{
  connection_reject_with (c, status, "0.5");
}

void
server_connection_reject_short (struct Connection *c)
{
  counter_add (COUNTER_REQUESTS_REFUSED, 1);
  TALLOC_FREE (c->input.bytes);
  memset (&c->input, 0, sizeof c->input);
  connection_reject_with (c, 503, "0.1");
}

static bool
connection_reserve (void *data, size_t n_bytes, size_t body_bytes)
{
  struct Connection *c = data;

  return http_memory_reserve (c->server->options.memory, c, n_bytes, body_bytes);
}

static bool
request_headers_are_valid (const struct HttpHeaders *headers)
{
  return http_headers_count (headers, "Host") == 1
         && http_headers_count (headers, "Content-Length") <= 1 && http_headers_decodable (headers)
         && (http_headers_get (headers, "Content-Length") == NULL
             || http_headers_get (headers, "Transfer-Encoding") == NULL);
}

/* Passes a complete request to the handler. */
static void
connection_dispatch (struct Connection *c)
{
  struct HttpServer *server = c->server;
  struct ServerExchange *x = talloc_zero (c, struct ServerExchange);

  if (x == NULL || http_head_text_finish (x, &c->reader.head, &x->public.headers) != ERROR_NONE)
    {
      connection_reject (c, 503);
      return;
    }
  talloc_steal (x, c->reader.head.text);
  x->head_bytes = c->reader.head.capacity;
  TALLOC_FREE (c->reader.head.starts);
  talloc_steal (x, c->reader.target);
  talloc_steal (x, c->reader.body);
  x->connection = c;
  x->public.method = http_method_str ((enum http_method)c->reader.parser.method);
  x->public.target = c->reader.target;
  x->public.body = c->reader.body;
  x->public.body_bytes = c->reader.body_bytes;
  x->public.arrived_ms = timer_now_ms (server->timers);
  c->close_after =
      c->close_after || server->draining || http_should_keep_alive (&c->reader.parser) == 0;
  x->chunked = c->reader.parser.http_major == 1 && c->reader.parser.http_minor >= 1;
  memset (&c->reader.head, 0, sizeof c->reader.head);
  c->reader.target = NULL;
  c->reader.body = NULL;
  if (!request_headers_are_valid (&x->public.headers))
    {
      talloc_free (x);
      connection_reject (c, 400);
      return;
    }
  c->exchange = x;
  server->n_in_flight++;
  server_connection_set_state (c, CONNECTION_BUSY);
  server->options.request (server->options.data, &x->public);
}

/* Passes bytes to the parser; returns the number of bytes consumed. */
static size_t
connection_parse (struct Connection *c, const uint8_t *bytes, size_t n_bytes)
{
  size_t n;

  if (c->state == CONNECTION_IDLE)
    {
      c->reader.limits = c->server->options.limits;
      if (c->server->options.memory != NULL)
        {
          c->reader.reserve = connection_reserve;
          c->reader.data = c;
        }
      connection_begin_input (c);
      server_connection_set_state (c, CONNECTION_READING);
    }
  n = http_request_reader_parse (&c->reader, bytes, n_bytes);
  if (c->reader.complete)
    {
      connection_dispatch (c);
      return n;
    }
  if (c->reader.memory_exceeded)
    {
      server_connection_reject_short (c);
      return n_bytes;
    }
  if (HTTP_PARSER_ERRNO (&c->reader.parser) != HPE_OK)
    {
      connection_reject (c, http_request_reader_error_status (&c->reader));
      return n_bytes;
    }
  return n;
}

/* Parses buffered input until a request is being handled. Loops instead of recursing, because the
 * handler may respond immediately. */
static void
connection_advance (struct Connection *c)
{
  while (connection_accepts_request (c) && byte_queue_length (&c->input) > 0)
    {
      struct ByteQueue taken = c->input;
      size_t n;

      memset (&c->input, 0, sizeof c->input);
      n = connection_parse (c, byte_queue_head (&taken), byte_queue_length (&taken));
      if (n < byte_queue_length (&taken))
        byte_queue_add (c, &c->input, byte_queue_head (&taken) + n, byte_queue_length (&taken) - n);
      talloc_free (taken.bytes);
    }
  server_connection_update_watch (c);
}

void
server_connection_on_resume (struct tevent_context *events,
                             struct tevent_immediate *resume,
                             void *data)
{
  (void)events;
  (void)resume;
  connection_advance (data);
}

/* Events. */

/* Reads once; returns false when the connection has closed or failed. */
static bool
connection_read (struct Connection *c)
{
  struct HttpServer *server = c->server;
  ssize_t n = recv (c->fd, server->scratch, sizeof server->scratch, MSG_DONTWAIT);
  size_t taken = 0;

  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return true;
  if (n <= 0)
    return false;
  if (c->state == CONNECTION_LINGERING)
    return true;
  if (c->state == CONNECTION_READING && byte_queue_length (&c->output) == 0)
    progress_record (&c->progress, (size_t)n, timer_now_ms (server->timers));
  if (connection_accepts_request (c) && byte_queue_length (&c->input) == 0)
    taken = connection_parse (c, server->scratch, (size_t)n);
  if (byte_queue_add (c, &c->input, server->scratch + taken, (size_t)n - taken) != ERROR_NONE)
    return false;
  connection_advance (c);
  return true;
}

static void
connection_update_congestion (struct Connection *c)
{
  struct ServerExchange *x = c->exchange;

  if (!c->congested || byte_queue_length (&c->output) > UNCONGESTED_BYTES)
    return;
  c->congested = false;
  /* Part of the next request may have waited meanwhile; its timeouts begin now. */
  if (c->state == CONNECTION_READING)
    server_connection_set_state (c, CONNECTION_READING);
  if (x != NULL && x->public.on_uncongested != NULL)
    x->public.on_uncongested (&x->public);
}

static void
connection_on_event (struct tevent_context *events,
                     struct tevent_fd *watch,
                     uint16_t flags,
                     void *data)
{
  struct Connection *c = data;

  (void)events;
  (void)watch;
  if ((flags & TEVENT_FD_WRITE) && !connection_flush (c))
    {
      talloc_free (c);
      return;
    }
  connection_update_congestion (c);
  if ((flags & TEVENT_FD_READ) && !connection_read (c))
    {
      talloc_free (c);
      return;
    }
  if (c->state == CONNECTION_LINGERING && (flags & TEVENT_FD_WRITE))
    server_connection_end_output (c);
  connection_advance (c);
}

/* Returns whether the caller has read nothing for the stall timeout. Write events alone do not show
 * this: the kernel reports a socket as writable only when a third of its send buffer, which can
 * grow to megabytes, is free. */
static bool
connection_is_stalled (struct Connection *c, int64_t now_ms)
{
  int unacked_bytes = 0;

  if (!server_connection_is_bounded (c) || byte_queue_length (&c->output) == 0)
    return false;
  if (ioctl (c->fd, SIOCOUTQ, &unacked_bytes) == 0 && unacked_bytes < c->unacked_bytes)
    c->progress_ms = now_ms;
  c->unacked_bytes = unacked_bytes;
  return now_ms - c->progress_ms > c->stall_timeout_ms;
}

static bool
connection_has_timed_out (const struct Connection *c, int64_t now_ms)
{
  const struct HttpLimits *limits = &c->server->options.limits;
  int64_t age_ms = now_ms - c->state_since_ms;

  /* While the caller reads a response, only the stall timeout applies. */
  if (c->congested
      || (server_connection_is_bounded (c) && c->state == CONNECTION_IDLE
          && byte_queue_length (&c->output) > 0))
    return false;
  switch (c->state)
    {
    case CONNECTION_IDLE:
      return age_ms > (c->server->draining ? 0 : (int64_t)limits->idle_timeout_ms);
    case CONNECTION_READING:
      return !c->reader.headers_done ? age_ms > limits->header_timeout_ms
                                     : age_ms > limits->header_timeout_ms + limits->idle_timeout_ms;
    case CONNECTION_LINGERING:
      return age_ms > LINGER_MS && byte_queue_length (&c->output) == 0;
    case CONNECTION_BUSY:
      return false;
    }
  return false;
}

static void
connection_end_stalled (struct Connection *c)
{
  log_event (LOG_LEVEL_INFO, "caller_stalled", NULL, NULL, "nothing read for %u ms, %zu bytes held",
             c->stall_timeout_ms, byte_queue_length (&c->output));
  talloc_free (c);
}

static void
server_on_sweep (void *data)
{
  struct HttpServer *server = data;
  int64_t now_ms = timer_now_ms (server->timers);
  struct Connection *next;

  for (struct Connection *c = server->connections; c != NULL; c = next)
    {
      next = c->next;
      if (connection_is_stalled (c, now_ms))
        {
          connection_end_stalled (c);
          continue;
        }
      if (!connection_has_timed_out (c, now_ms))
        continue;
      if (c->state == CONNECTION_READING)
        connection_reject (c, 408);
      else
        talloc_free (c);
    }
}

static void
connection_new (struct HttpServer *server, int fd)
{
  struct Connection *c = talloc_zero (server, struct Connection);

  if (c == NULL)
    {
      close (fd);
      return;
    }
  c->server = server;
  c->fd = fd;
  c->next = server->connections;
  c->previous_next = &server->connections;
  if (c->next != NULL)
    c->next->previous_next = &c->next;
  server->connections = c;
  server->n_connections++;
  talloc_set_destructor (c, connection_free);
  http_request_reader_reset (c, &c->reader, &c->server->options.limits);
  c->stall_timeout_ms = server->options.limits.idle_timeout_ms;
  server_connection_set_state (c, CONNECTION_IDLE);
  c->watch = tevent_add_fd (server->events, c, fd, TEVENT_FD_READ, connection_on_event, c);
  c->resume = tevent_create_immediate (c);
  if (c->watch == NULL || c->resume == NULL)
    talloc_free (c);
}

/* Returns whether nothing has arrived that was not read: a caller that has just sent a request
 * would not know whether it ran. */
static bool
connection_is_silent (const struct Connection *c)
{
  char byte;

  return byte_queue_length (&c->input) == 0 && byte_queue_length (&c->output) == 0
         && recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/* Returns for how long the connection has served no purpose, if that is long enough for it to be
 * closed to make room for another one; otherwise 0. */
static int64_t
connection_expendable_ms (const struct Connection *c, int64_t now_ms)
{
  int64_t age_ms = now_ms - c->state_since_ms, kept_ms = 0;

  switch (c->state)
    {
    case CONNECTION_IDLE:
      kept_ms = IDLE_KEPT_MS;
      break;
    case CONNECTION_READING:
      kept_ms = STALLED_KEPT_MS;
      age_ms = progress_stalled_ms (&c->progress, now_ms);
      break;
    case CONNECTION_LINGERING:
      kept_ms = LINGERING_KEPT_MS;
      break;
    case CONNECTION_BUSY:
      return 0;
    }
  return byte_queue_length (&c->output) == 0 && age_ms >= kept_ms ? age_ms : 0;
}

/* Closes the connection that has served no purpose for longest. Returns false when there is none
 * that may be closed. Only one socket is looked at: callers that connect in numbers while the
 * server is full must not cost a system call per connection each. */
static bool
server_make_room (struct HttpServer *server)
{
  int64_t now_ms = timer_now_ms (server->timers), longest_ms = 0;
  struct Connection *chosen = NULL;

  for (struct Connection *c = server->connections; c != NULL; c = c->next)
    {
      int64_t expendable_ms = connection_expendable_ms (c, now_ms);

      if (expendable_ms <= longest_ms)
        continue;
      chosen = c;
      longest_ms = expendable_ms;
    }
  if (chosen == NULL || (chosen->state != CONNECTION_LINGERING && !connection_is_silent (chosen)))
    return false;
  if (chosen->state == CONNECTION_READING)
    {
      counter_add (COUNTER_CLIENTS_GIVEN_UP, 1);
      connection_reject (chosen, 408);
    }
  talloc_free (chosen);
  return true;
}

/* Counts a connection that is closed at once, and logs it, at most once in FULL_LOG_PERIOD_MS. */
static void
log_full (struct HttpServer *server)
{
  int64_t now_ms = timer_now_ms (server->timers);

  counter_add (COUNTER_CONNECTIONS_REJECTED, 1);
  if (server->full_logged_ms != 0 && now_ms - server->full_logged_ms < FULL_LOG_PERIOD_MS)
    return;
  server->full_logged_ms = now_ms;
  log_event (LOG_LEVEL_WARNING, "connections_full", NULL,
             "start more gateways, or raise [limits] connections and the limit of descriptors",
             "%s: all %u connections are in use", server->options.setting,
             server->options.connections_max);
}

/* Closes a connection of which no request is handled. */
static void
server_reject_connection (struct HttpServer *server, int fd)
{
  static const char response[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
                                 "Content-Length: 0\r\nConnection: close\r\n\r\n";

  if (server->options.rejects_when_full
      && send (fd, response, sizeof response - 1, MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
    {
      shutdown (fd, SHUT_WR);
      /* Unread data would reset the connection, and the reset can overtake the response. */
      recv (fd, server->scratch, sizeof server->scratch, MSG_DONTWAIT);
    }
  close (fd);
}

static void
server_on_accept (void *data, int fd)
{
  struct HttpServer *server = data;

  if (server->n_connections < server->options.connections_max || server_make_room (server))
    connection_new (server, fd);
  else
    {
      log_full (server);
      server_reject_connection (server, fd);
    }
}

static int
server_free (struct HttpServer *server)
{
  while (server->connections != NULL)
    talloc_free (server->connections);
  http_memory_remove_server (server);
  http_server_stop_listening (server);
  return 0;
}

int32_t
http_server_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpServerOptions *options,
                 struct HttpServer **server,
                 struct Fault *fault)
{
  struct HttpServer *s = talloc_zero (ctx, struct HttpServer);
  int32_t error;

  *server = NULL;
  if (s == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for a listener");
  s->events = events;
  s->timers = timers;
  s->options = *options;
  error = net_listen (options->listen, options->setting, &s->listen_fd, fault);
  if (error != ERROR_NONE)
    {
      talloc_free (s);
      return error;
    }
  talloc_set_destructor (s, server_free);
  s->acceptor = acceptor_new (s, events, timers, s->listen_fd, server_on_accept, s);
  if (s->acceptor == NULL)
    {
      talloc_free (s);
      return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for a listener");
    }
  if (options->memory != NULL)
    http_memory_add_server (options->memory, s);
  timer_subscribe (s, timers, SWEEP_MS, SWEEP_MS, server_on_sweep, s);
  *server = s;
  return ERROR_NONE;
}

void
http_server_set_limits (struct HttpServer *server, const struct HttpLimits *limits)
{
  server->options.limits = *limits;
}

void
http_server_drain (struct HttpServer *server)
{
  server->draining = true;
}

void
http_server_stop_listening (struct HttpServer *server)
{
  TALLOC_FREE (server->acceptor);
  if (server->listen_fd >= 0)
    close (server->listen_fd);
  server->listen_fd = -1;
}

uint32_t
http_server_in_flight (const struct HttpServer *server)
{
  uint32_t n = server->n_in_flight;

  for (const struct Connection *c = server->connections; c != NULL; c = c->next)
    if (server_connection_is_bounded (c) && c->exchange == NULL
        && byte_queue_length (&c->output) > 0)
      n++;
  return n;
}
