/* libcurl's multi interface on a tevent loop: HTTP requests to outside systems. */
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
  int64_t timeout_ms; /* whole request; 0: none */
  int64_t connect_timeout_ms;
  /* Uses a connection of its own. A kept one that the server closes for idleness, just as the
   * request goes out, fails it with an unknown effect though it never ran. */
  bool fresh_connection;
};

struct HttpResult
{
  bool sent;  /* some byte of the request may have reached the other side */
  bool whole; /* a complete answer came */
  bool timed_out;
  uint32_t status;
  const uint8_t *body; /* NULL when chunks were asked for */
  size_t body_bytes;
  const char *error; /* words of libcurl, "" when whole */
};

typedef void (*HttpChunkFn) (void *data, uint32_t status, const uint8_t *bytes, size_t n_bytes);
typedef void (*HttpDone) (void *data, const struct HttpResult *result);

struct CurlLoop *
curl_loop_new (TALLOC_CTX *ctx, struct tevent_context *events);

/* Starts a request; everything in it is copied. chunk may be NULL: the body is then collected.
 * done is called once, later, unless the call is freed first (talloc_free cancels silently). Both
 * callbacks may submit and free calls, but not free the loop. A request is sent at most once. */
struct CurlCall *
curl_loop_submit (struct CurlLoop *loop,
                  const struct HttpRequest *request,
                  HttpChunkFn chunk,
                  HttpDone done,
                  void *data);

/* From inside its chunk callback: takes no more of the answer; done follows, not whole. */
void
curl_call_stop (struct CurlCall *call);

/* Value of a header of the answer, NULL when absent; valid during chunk and done only. */
const char *
curl_call_header (struct CurlCall *call, const char *name);

struct tevent_context *
curl_loop_events (const struct CurlLoop *loop);
