/* HTTP/1.1 server on a tevent loop: reads complete requests, and sends complete or streamed
 * responses.
 *
 * A connection serves one request at a time, in order; pipelined requests wait. The connection is
 * watched while a request is being handled, so that a disconnect of the caller is noticed at once;
 * libmicrohttpd, which caller_http uses, does not watch a suspended connection. */
#pragma once

#include <buckthornhead/byte_queue.h>
#include <buckthornhead/http_message.h>
#include <buckthornhead/timer.h>

#include <buckthornhead/error.h>

#include <tevent.h>

struct HttpServer;

/* Limits on a caller's requests and connections. */
struct HttpLimits
{
  uint32_t header_max_bytes;
  uint32_t body_max_bytes;
  uint32_t header_timeout_ms; /* from a request's first byte to the end of its headers */
  uint32_t idle_timeout_ms;   /* between two requests on a persistent connection */
};

enum
{
  HTTP_CALLER_BYTES = 16 /* size of an IPv4 address as text, with its null byte */
};

/* One request and its response. Freed with its connection, or when the response has ended. */
struct HttpExchange
{
  const char *method;
  const char *target; /* path and query */
  struct HttpHeaders headers;
  const uint8_t *body;
  size_t body_bytes;
  int64_t arrived_ms; /* when the request was complete, on the timer service's clock */
  /* Set by the handler. on_disconnect is called once if the caller disconnects before the response
   * has ended; the exchange is freed after it. */
  void *handler_data;
  void (*on_disconnect) (struct HttpExchange *exchange);
  /* Called when the exchange is no longer congested; NULL: not called. May end the exchange. */
  void (*on_uncongested) (struct HttpExchange *exchange);
  /* Returns what the handler holds for the exchange; NULL: nothing. */
  uint64_t (*held_bytes) (const struct HttpExchange *exchange);
  /* Called before the response has begun, when memory is short: ends the exchange. NULL: the caller
   * is disconnected. */
  void (*on_memory_short) (struct HttpExchange *exchange);
};

/* Bound on held_memory_bytes (). When it is reached, clients are rejected or disconnected in the
 * order of reclaim.h. Requests that are being read do not grow beyond it; small ones are accepted
 * while large ones are not. */
struct HttpMemory;

/* One a process: it ends when ctx is freed. Returns NULL without memory. */
struct HttpMemory *
http_memory_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 uint64_t max_bytes);

struct HttpServerOptions
{
  const char *listen;
  const char *setting; /* name of the setting of the address, for error messages */
  struct HttpLimits limits;
  /* Beyond it, a new connection replaces the one that has been idle for longest, or is closed at
   * once: with .rejects_when_full after a response with 503, otherwise without a response. */
  uint32_t connections_max;
  bool rejects_when_full;
  /* Bound on the memory of all servers that share it; NULL: none. If it is set, the data held for
   * each caller is bounded, too:
   * - An exchange is congested while the caller has not read 1 MB of data; its handler should then
   *   write no more, and no further request of the connection is handled.
   * - A caller that reads nothing for the stall timeout is disconnected.
   * - A complete response is delivered whatever its size, also by a server that drains. */
  struct HttpMemory *memory;
  void (*request) (void *data, struct HttpExchange *exchange);
  void *data;
};

/* Opens the listener. On failure returns ERROR_IO, ERROR_INVALID or ERROR_NO_MEMORY, with fault. */
int32_t
http_server_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpServerOptions *options,
                 struct HttpServer **server,
                 struct Fault *fault);

/* Sets the limits for further requests. */
void
http_server_set_limits (struct HttpServer *server, const struct HttpLimits *limits);

/* Starts draining: each further response closes its connection, and idle connections are closed. */
void
http_server_drain (struct HttpServer *server);

/* Closes the listening socket: new connections are refused. */
void
http_server_stop_listening (struct HttpServer *server);

/* Returns the number of exchanges whose response has not ended. With .memory, connections whose
 * last response has not been sent completely are included. */
uint32_t
http_server_in_flight (const struct HttpServer *server);

/* Sends a complete response, adding Content-Length. Frees exchange. */
void
http_exchange_respond (struct HttpExchange *exchange,
                       uint32_t status,
                       const struct HttpHeaders *headers,
                       const void *body,
                       size_t body_bytes);

/* The same with a body that is taken from the queue, without a copy. */
void
http_exchange_respond_queue (struct HttpExchange *exchange,
                             uint32_t status,
                             const struct HttpHeaders *headers,
                             struct ByteQueue *body);

/* Send a response in pieces: begin, any number of writes, then end, which frees exchange. */
void
http_exchange_begin (struct HttpExchange *exchange,
                     uint32_t status,
                     const struct HttpHeaders *headers);
void
http_exchange_write (struct HttpExchange *exchange, const void *bytes, size_t n_bytes);
void
http_exchange_end (struct HttpExchange *exchange);

/* Returns true while the caller has not read so much that no more should be written. */
bool
http_exchange_is_congested (const struct HttpExchange *exchange);

/* Sets the time after which the caller is disconnected if it reads nothing, in milliseconds. It
 * applies to the connection until set again; the default is the idle timeout. Has no effect without
 * .memory. */
void
http_exchange_set_stall_timeout (struct HttpExchange *exchange, uint32_t timeout_ms);

/* Ends a response that has begun so that it is recognized as truncated: closes the connection
 * without the last chunk. Frees exchange. */
void
http_exchange_abort (struct HttpExchange *exchange);

/* Copies the caller's IPv4 address as text; "" when it is unavailable. */
void
http_exchange_caller (const struct HttpExchange *exchange, char address[HTTP_CALLER_BYTES]);

bool
http_exchange_has_begun (const struct HttpExchange *exchange);
