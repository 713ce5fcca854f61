/* HTTP/1.1 client for backend servers on a tevent loop, with persistent connections.
 *
 * Each call is sent once, on one connection, and is never retried here. (libcurl resends a request
 * when a reused connection turns out to be closed, although the first one may have run.) Bytes
 * after a complete response close the connection. A response that has another request's id is
 * discarded, and so is one without an id on a connection that has carried other requests: the call
 * goes on waiting for its own. */
#pragma once

#include <buckthornhead/http_message.h>
#include <buckthornhead/timer.h>

#include <tevent.h>

struct HttpClient;
struct HttpCall;

/* Which connections a call may use, and leave to later calls. */
enum HttpConnectionUse
{
  HTTP_CONNECTION_SHARED,   /* an idle one, or a new one; left to others */
  HTTP_CONNECTION_NEW,      /* a new one; left to others */
  HTTP_CONNECTION_EXCLUSIVE /* a new one, closed after the call */
};

struct HttpCallRequest
{
  const char *address; /* IP:port */
  /* Request line and headers, including the final empty line; must contain the body's length. */
  const char *head;
  const uint8_t *body; /* must not change before the call has ended or is freed */
  size_t body_bytes;
  bool expects_no_body; /* the request's method is HEAD: no body follows the response's headers */
  /* Responses with another value in this header belong to another request; NULL: not checked. */
  const char *id_header;
  const char *id;
  enum HttpConnectionUse connection_use;
  uint32_t connect_timeout_ms;
  uint32_t connections_max; /* limit for this address; 0: the limit of the client's options */
};

struct HttpResponseHead
{
  uint32_t status;
  struct HttpHeaders headers;
  enum HttpFraming framing;
  enum HttpAttribution attribution;
};

/* Callbacks, called from the event loop and never after the call is freed with talloc_free. end is
 * called once, after which the call is freed. head and body may free the call. */
struct HttpCallHandler
{
  void (*head) (void *data, const struct HttpResponseHead *head);
  void (*body) (void *data, const uint8_t *bytes, size_t n_bytes);
  void (*end) (void *data, enum HttpEnd end);
  void *data;
  /* A response without an id was discarded. May be NULL; must not free the call. */
  void (*not_attributed) (void *data, const struct HttpResponseHead *head);
};

struct HttpClientOptions
{
  /* Limit on open connections to one address, busy and idle, shared by all calls. */
  uint32_t per_address_max;
  /* Idle time after which a connection is no longer reused, when the server advertises none: if the
   * server closes it just as a request is sent, it is unknown whether the request ran. */
  uint32_t idle_max_ms;
  /* Limit on open connections to all addresses; 0: none. At it, a connection that is idle is closed
   * for a new one. */
  uint32_t connections_max;
};

struct HttpClient *
http_client_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpClientOptions *options);

/* Starts a call; the request is copied. Returns NULL, with nothing sent, when no connection can be
 * started (limit for the address reached, connect failed, or out of memory). At the limit, a call
 * that needs a new connection closes an idle one to the address. Freeing the call closes its
 * connection, which cancels its work at the server. */
struct HttpCall *
http_client_submit (struct HttpClient *client,
                    const struct HttpCallRequest *request,
                    const struct HttpCallHandler *handler);

/* What a check says of the process behind a server's address. */
enum HttpServerState
{
  HTTP_SERVER_RUNNING,
  HTTP_SERVER_ENDED,
  HTTP_SERVER_UNKNOWN /* it did not respond in time */
};

struct HttpServerCheck;

/* Called once, from the event loop, after which the check is freed. */
typedef void (*HttpServerCheckFn) (void *data, enum HttpServerState state);

/* Checks whether the server that has just closed a connection is running: it accepts a new one,
 * which is then idle for reuse, or another connection to it stays open. Takes a round trip, at most
 * CHECK_TIMEOUT_MS. Returns NULL when out of memory. Freeing the check cancels it. */
struct HttpServerCheck *
http_client_check_server (struct HttpClient *client,
                          const char *address,
                          uint32_t connections_max,
                          HttpServerCheckFn done,
                          void *data);

/* Stops or resumes reading the response, so that a caller which reads slowly slows down the server.
 * Up to 64 KB that were already read are still passed on. While paused, the end of the connection
 * is not noticed. */
void
http_call_set_paused (struct HttpCall *call, bool paused);

/* Returns when the call's connection was established, on the timer service's clock: the server's
 * process has been running since. 0 while it is connecting. */
int64_t
http_call_connected_ms (const struct HttpCall *call);

/* Returns the number of requests that the call's connection had carried before it. */
uint32_t
http_call_earlier_requests (const struct HttpCall *call);

/* Closes the idle connections to an address, which another server may have taken over. */
void
http_client_close_idle (struct HttpClient *client, const char *address);

/* Returns the time until which an idle connection to address may be reused, on the timer service's
 * clock; 0 when there is none. */
int64_t
http_client_idle_until_ms (const struct HttpClient *client, const char *address);

/* Returns the number of connections opened since the client was created. */
uint64_t
http_client_opened (const struct HttpClient *client);
