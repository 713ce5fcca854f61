/* HTTP/1.1 listener on a tevent loop: whole requests in, answers or streams out.
 *
 * A connection serves one request at a time, in order; what a caller sends ahead waits. While a
 * request is worked on the connection stays watched, so that a caller who leaves is seen at once:
 * libmicrohttpd, which the product's own listener uses, does not watch a suspended connection. */
#pragma once

#include <buckthornhead/http_message.h>
#include <buckthornhead/timer.h>

#include <buckthornhead/error.h>

#include <tevent.h>

struct HttpServer;

/* Bounds on what a caller may send. */
struct HttpLimits
{
  uint32_t header_max_bytes;
  uint32_t body_max_bytes;
  uint32_t header_timeout_ms; /* from a request's first byte to the end of its headers */
  uint32_t idle_timeout_ms;   /* of a kept connection between two requests */
};

enum
{
  HTTP_CALLER_BYTES = 16 /* of an IP address as text */
};

/* One request and its answer. It is freed with its connection, or when its answer has ended. */
struct HttpExchange
{
  const char *method;
  const char *target; /* path and query */
  struct HttpHeaders headers;
  const uint8_t *body;
  size_t body_bytes;
  int64_t arrived_ms; /* when it was read whole, on the timer service's clock */
  /* The handler's own; gone is called once when the caller has left before the end of the answer,
   * and the exchange is freed after it. */
  void *handler_data;
  void (*gone) (struct HttpExchange *exchange);
};

struct HttpServerOptions
{
  const char *listen;
  const char *setting; /* that holds the address */
  struct HttpLimits limits;
  uint32_t connections_max;
  void (*request) (void *data, struct HttpExchange *exchange);
  void *data;
};

/* Opens the listener. ERROR_IO or ERROR_INVALID with fault. */
int32_t
http_server_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpServerOptions *options,
                 struct HttpServer **server,
                 struct Fault *fault);

/* From the next request on. */
void
http_server_set_limits (struct HttpServer *server, const struct HttpLimits *limits);

/* From now on each answer closes its connection, and idle connections close. */
void
http_server_drain (struct HttpServer *server);

/* Closes the listener: what connects now is refused. */
void
http_server_stop_listening (struct HttpServer *server);

/* Exchanges whose answer has not ended. */
uint32_t
http_server_in_flight (const struct HttpServer *server);

/* A whole answer; Content-Length is added. Frees exchange. */
void
http_exchange_answer (struct HttpExchange *exchange,
                      uint32_t status,
                      const struct HttpHeaders *headers,
                      const void *body,
                      size_t body_bytes);

/* An answer in pieces: begin, any number of writes, then end, which frees exchange. */
void
http_exchange_begin (struct HttpExchange *exchange,
                     uint32_t status,
                     const struct HttpHeaders *headers);
void
http_exchange_write (struct HttpExchange *exchange, const void *bytes, size_t n_bytes);
void
http_exchange_end (struct HttpExchange *exchange);

/* Ends a begun answer so that it can not look complete: closes the connection without the last
 * chunk. Frees exchange. */
void
http_exchange_abort (struct HttpExchange *exchange);

/* The caller's IP address; "" when the system does not say. */
void
http_exchange_caller (const struct HttpExchange *exchange, char address[HTTP_CALLER_BYTES]);

bool
http_exchange_has_begun (const struct HttpExchange *exchange);
