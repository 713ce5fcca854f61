/* HTTP/1.1 requests to backend servers over kept connections, on a tevent loop.
 *
 * Each call is sent once, on one connection, and never again by itself: libcurl sends a request
 * anew when a kept connection turns out closed, and the first one may have run. Bytes after a whole
 * answer end the connection; an answer that bears another request's id is dropped. */
#pragma once

#include <buckthornhead/http_message.h>
#include <buckthornhead/timer.h>

#include <tevent.h>

struct HttpClient;
struct HttpCall;

struct HttpCallRequest
{
  const char *address; /* IP:port */
  /* Request line and headers with their last empty line; lengths are the caller's matter. */
  const char *head;
  const uint8_t *body;
  size_t body_bytes;
  /* Answers with another value in this header belong to another request; NULL: not checked. */
  const char *id_header;
  const char *id;
  uint32_t connect_timeout_ms;
  uint32_t connections_max; /* to this address; 0: as in the client's options */
};

struct HttpAnswerHead
{
  uint32_t status;
  struct HttpHeaders headers;
  bool has_length; /* false: the answer ends with its connection, so it may be cut unseen */
};

enum HttpEnd
{
  HTTP_END_WHOLE,     /* the answer is complete */
  HTTP_END_NOT_SENT,  /* no byte of the request left: it certainly did not run */
  HTTP_END_BROKEN,    /* the connection ended after some of it left: may have run */
  HTTP_END_MALFORMED, /* what came is no answer: may have run */
};

/* All are called from the loop, and not after talloc_free of the call; end is called once and the
 * call is freed after it. Inside head and body the call may be freed. */
struct HttpCallHandler
{
  void (*head) (void *data, const struct HttpAnswerHead *head);
  void (*body) (void *data, const uint8_t *bytes, size_t n_bytes);
  void (*end) (void *data, enum HttpEnd end);
  void *data;
};

struct HttpClientOptions
{
  /* Open connections to one address, busy and idle: its limit is for all callers together. */
  uint32_t per_address_max;
  /* Idle time after which a connection is not used any more, when its server states none: a server
   * that closes it just then would leave open whether the request ran. */
  uint32_t idle_max_ms;
};

struct HttpClient *
http_client_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpClientOptions *options);

/* Starts a call; all of request is copied. NULL when there is no connection to be had at once (too
 * many to this address, or no memory): nothing was sent. Freeing the call closes its connection,
 * which cancels its work at the server. */
struct HttpCall *
http_client_submit (struct HttpClient *client,
                    const struct HttpCallRequest *request,
                    const struct HttpCallHandler *handler);

/* Closes the idle connections to address: another server may have it now. */
void
http_client_forget (struct HttpClient *client, const char *address);

/* Until when an idle connection to address may be used, on the timer service's clock; 0: there is
 * none. */
int64_t
http_client_idle_until_ms (const struct HttpClient *client, const char *address);

/* Connections opened since the start. */
uint64_t
http_client_opened (const struct HttpClient *client);
