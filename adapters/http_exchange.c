#include "http_server_internal.h"

#include <buckthornhead/error.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

static struct ServerExchange *
server_exchange (struct HttpExchange *exchange)
{
  return (struct ServerExchange *)exchange;
}

void
server_connection_send_head (struct Connection *c,
                             uint32_t status,
                             const struct HttpHeaders *headers,
                             const char *framing)
{
  char *head = talloc_asprintf (c, "HTTP/1.1 %u %s\r\n", status, http_reason (status));

  for (size_t i = 0; headers != NULL && i < headers->n_items; i++)
    head = talloc_asprintf_append_buffer (head, "%s: %s\r\n", headers->items[i].name,
                                          headers->items[i].value);
  head = talloc_asprintf_append_buffer (head, "%s%s\r\n", framing,
                                        c->close_after ? "Connection: close\r\n" : "");
  if (head == NULL)
    {
      server_connection_break (c);
      return;
    }
  server_connection_send (c, head, strlen (head));
  talloc_free (head);
}

/* Ends an exchange whose response is complete or aborted. Pipelined input is parsed later, from the
 * event loop. */
static void
exchange_finish (struct ServerExchange *x)
{
  struct Connection *c = x->connection;

  if (c == NULL)
    return;
  c->exchange = NULL;
  c->server->n_in_flight--;
  talloc_free (x);
  if (c->close_after)
    {
      server_connection_set_state (c, CONNECTION_LINGERING);
      server_connection_end_output (c);
      server_connection_update_watch (c);
      return;
    }
  http_request_reader_reset (c, &c->reader, &c->server->options.limits);
  server_connection_set_state (c, CONNECTION_IDLE);
  server_connection_update_watch (c);
  if (byte_queue_length (&c->input) > 0)
    tevent_schedule_immediate (c->resume, c->server->events, server_connection_on_resume, c);
}

void
http_exchange_respond (struct HttpExchange *exchange,
                       uint32_t status,
                       const struct HttpHeaders *headers,
                       const void *body,
                       size_t body_bytes)
{
  struct ServerExchange *x = server_exchange (exchange);
  char framing[48];

  if (x->connection == NULL)
    return;
  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", body_bytes);
  server_connection_send_head (x->connection, status, headers, framing);
  if (body_bytes > 0 && strcmp (exchange->method, "HEAD") != 0)
    server_connection_send_bounded (
        x->connection, body, body_bytes,
        server_connection_is_bounded (x->connection) ? SIZE_MAX : SERVER_OUTPUT_MAX_BYTES);
  exchange_finish (x);
}

void
http_exchange_respond_queue (struct HttpExchange *exchange,
                             uint32_t status,
                             const struct HttpHeaders *headers,
                             struct ByteQueue *body)
{
  struct ServerExchange *x = server_exchange (exchange);
  char framing[48];

  if (x->connection == NULL || !server_connection_is_bounded (x->connection))
    {
      http_exchange_respond (exchange, status, headers, byte_queue_head (body),
                             byte_queue_length (body));
      return;
    }
  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", byte_queue_length (body));
  server_connection_send_head (x->connection, status, headers, framing);
  if (byte_queue_length (body) > 0 && strcmp (exchange->method, "HEAD") != 0)
    server_connection_send_queue (x->connection, body);
  exchange_finish (x);
}

void
http_exchange_begin (struct HttpExchange *exchange,
                     uint32_t status,
                     const struct HttpHeaders *headers)
{
  struct ServerExchange *x = server_exchange (exchange);

  if (x->connection == NULL)
    return;
  x->begun = true;
  if (!x->chunked)
    {
      x->connection->close_after = true;
      x->connection->closes_response = true;
    }
  server_connection_send_head (x->connection, status, headers,
                               x->chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void
http_exchange_write (struct HttpExchange *exchange, const void *bytes, size_t n_bytes)
{
  struct ServerExchange *x = server_exchange (exchange);
  struct Connection *c = x->connection;
  char size[24];
  int n;

  if (c == NULL || n_bytes == 0)
    return;
  if (!x->chunked)
    {
      server_connection_send (c, bytes, n_bytes);
      return;
    }
  n = snprintf (size, sizeof size, "%zx\r\n", n_bytes);
  if (server_connection_queue (c, size, (size_t)n) != ERROR_NONE
      || server_connection_queue (c, bytes, n_bytes) != ERROR_NONE)
    server_connection_break (c);
  server_connection_send (c, "\r\n", 2);
}

void
http_exchange_end (struct HttpExchange *exchange)
{
  struct ServerExchange *x = server_exchange (exchange);

  if (x->connection == NULL)
    return;
  if (x->chunked)
    server_connection_send (x->connection, "0\r\n\r\n", 5);
  exchange_finish (x);
}

void
http_exchange_abort (struct HttpExchange *exchange)
{
  struct ServerExchange *x = server_exchange (exchange);
  struct Connection *c = x->connection;

  if (c == NULL)
    return;
  c->close_after = true;
  if (c->closes_response)
    server_connection_break (c);
  exchange_finish (x);
}

void
http_exchange_caller (const struct HttpExchange *exchange, char address[HTTP_CALLER_BYTES])
{
  const struct ServerExchange *x = (const struct ServerExchange *)exchange;
  struct sockaddr_in peer = { 0 };
  socklen_t n_bytes = sizeof peer;

  address[0] = '\0';
  if (getpeername (x->connection->fd, (struct sockaddr *)&peer, &n_bytes) == 0
      && peer.sin_family == AF_INET)
    inet_ntop (AF_INET, &peer.sin_addr, address, HTTP_CALLER_BYTES);
}

bool
http_exchange_is_congested (const struct HttpExchange *exchange)
{
  const struct Connection *c = ((const struct ServerExchange *)exchange)->connection;

  return c != NULL && c->congested;
}

void
http_exchange_set_stall_timeout (struct HttpExchange *exchange, uint32_t timeout_ms)
{
  struct Connection *c = server_exchange (exchange)->connection;

  if (c != NULL)
    c->stall_timeout_ms = timeout_ms;
}

bool
http_exchange_has_begun (const struct HttpExchange *exchange)
{
  return ((const struct ServerExchange *)exchange)->begun;
}
