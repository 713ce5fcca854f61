/* HTTP client on a tevent loop, based on libcurl's multi interface. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

struct CurlLoop;
struct CurlCall;

struct HttpRequest
{
  const char *method; /* "GET", "POST", "DELETE" */
  const char *url;
  const char *const *headers; /* "Name: value", NULL-terminated; may be NULL */
  const uint8_t *body;
  size_t body_bytes;
  int64_t timeout_ms; /* for the whole request; 0: none */
  int64_t connect_timeout_ms;
  /* Uses a new connection. If the server closes an idle connection just as the request is sent on
   * it, the request fails with unknown effect although it never ran. */
  bool fresh_connection;
  bool connect_only; /* opens a connection and sends nothing; .whole of the result: it is
                        established */
};

struct HttpResult
{
  bool sent;   /* part of the request may have reached the server */
  bool whole;  /* a complete response was received */
  bool framed; /* it had a length or chunks; otherwise the server's process may have ended in it */
  bool timed_out;
  uint32_t status;
  const uint8_t *body; /* NULL when a chunk callback was given */
  size_t body_bytes;
  const char *error; /* error message of libcurl, "" when whole */
};

typedef void (*HttpChunkFn) (void *data, uint32_t status, const uint8_t *bytes, size_t n_bytes);
typedef void (*HttpDone) (void *data, const struct HttpResult *result);

struct CurlLoop *
curl_loop_new (TALLOC_CTX *ctx, struct tevent_context *events);

/* Starts a request, which is copied. If chunk is NULL, the body is collected for done. done is
 * called once, from the event loop, unless the call is freed first (talloc_free cancels without a
 * callback). Both callbacks may submit and free calls, but must not free the loop. A request is
 * sent at most once. */
struct CurlCall *
curl_loop_submit (struct CurlLoop *loop,
                  const struct HttpRequest *request,
                  HttpChunkFn chunk,
                  HttpDone done,
                  void *data);

/* Aborts the response; for the chunk callback only. done follows, with whole unset. */
void
curl_call_stop (struct CurlCall *call);

/* Returns the value of a response header, NULL when absent; valid during chunk and done only. */
const char *
curl_call_header (struct CurlCall *call, const char *name);

struct tevent_context *
curl_loop_events (const struct CurlLoop *loop);
