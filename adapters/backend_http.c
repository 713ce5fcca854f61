#include <buckthornhead/backend_http.h>

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <string.h>

#include <jansson.h>

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  CHECK_TIMEOUT_MS = 500, /* for a server's response to a new connection */
  HEADERS_MAX = 5,
  STATUS_OK = 200,
  STATUS_OK_END = 300,
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_UNAVAILABLE = 503
};

struct BackendCall
{
  struct BackendCall *next;
  struct BackendHttp *http;
  struct CurlCall *curl;
  struct tevent_immediate *cancelling; /* NULL unless cancelled */
  uint64_t ticket;
  enum BackendOp op;
  bool engine, stream;
  BackendEventFn fn;
  void *data;
  char *address;
  struct HttpResult result; /* of a response whose server is being checked */
  bool rejected;            /* see backend_call_was_rejected */

  size_t response_bytes;
  uint8_t *buffer; /* the whole response, or the incomplete last line of an event stream */
  size_t buffer_bytes;
  bool overflow; /* there was no memory for the buffer, and it was freed */
  bool stream_ended, stream_failed;
  uint32_t prompt_tokens, generated_tokens, cached_tokens;
};

struct BackendHttp
{
  struct BackendPort port;
  struct CurlLoop *loop;
  struct BackendCall *calls;
  uint64_t last_ticket;
};

static uint32_t
json_get_uint32 (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  if (value < 0)
    return 0;
  return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

static uint64_t
json_get_uint64 (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));

  return value < 0 ? 0 : (uint64_t)value;
}

static void
backend_call_read_usage (struct BackendCall *call, const json_t *response)
{
  const json_t *usage = json_object_get (response, "usage");

  if (!json_is_object (usage))
    return;
  call->prompt_tokens = json_get_uint32 (usage, "prompt_tokens");
  call->generated_tokens = json_get_uint32 (usage, "completion_tokens");
  call->cached_tokens =
      json_get_uint32 (json_object_get (usage, "prompt_tokens_details"), "cached_tokens");
}

static void
backend_call_append (struct BackendCall *call, const uint8_t *bytes, size_t n_bytes)
{
  uint8_t *grown;

  if (call->overflow || n_bytes == 0)
    return;
  grown = held_memory_resize (call, call->buffer, call->buffer_bytes + n_bytes);
  if (grown == NULL)
    {
      call->overflow = true;
      TALLOC_FREE (call->buffer);
      call->buffer_bytes = 0;
      return;
    }
  call->buffer = grown;
  memcpy (call->buffer + call->buffer_bytes, bytes, n_bytes);
  call->buffer_bytes += n_bytes;
}

/* Parses one line of an event stream, given without its line feed. */
static void
backend_call_read_line (struct BackendCall *call, const uint8_t *line, size_t n_bytes)
{
  static const char field[] = "data:";
  static const char done[] = "[DONE]";
  json_t *event;

  while (n_bytes > 0 && (line[n_bytes - 1] == '\r' || line[n_bytes - 1] == ' '))
    n_bytes--;
  if (n_bytes < sizeof field - 1 || memcmp (line, field, sizeof field - 1) != 0)
    return;
  line += sizeof field - 1;
  n_bytes -= sizeof field - 1;
  while (n_bytes > 0 && *line == ' ')
    {
      line++;
      n_bytes--;
    }
  if (n_bytes == sizeof done - 1 && memcmp (line, done, n_bytes) == 0)
    {
      call->stream_ended = true;
      return;
    }
  /* Most events carry only tokens; parsing JSON is limited to events with usage or an error. */
  if (memmem (line, n_bytes, "\"usage\"", 7) == NULL
      && memmem (line, n_bytes, "\"error\"", 7) == NULL)
    return;
  event = json_loadb ((const char *)line, n_bytes, 0, NULL);
  backend_call_read_usage (call, event);
  if (json_is_object (json_object_get (event, "error")))
    call->stream_failed = true;
  json_decref (event);
}

/* A line may be split between chunks: its start is buffered until the line feed arrives. */
static void
backend_call_read_stream (struct BackendCall *call, const uint8_t *bytes, size_t n_bytes)
{
  const uint8_t *end = bytes + n_bytes;

  while (bytes < end)
    {
      const uint8_t *line_end = memchr (bytes, '\n', (size_t)(end - bytes));
      size_t n = (size_t)((line_end != NULL ? line_end : end) - bytes);

      if (line_end != NULL && call->buffer_bytes == 0 && !call->overflow)
        backend_call_read_line (call, bytes, n);
      else
        {
          backend_call_append (call, bytes, n);
          if (line_end == NULL)
            return;
          if (!call->overflow)
            backend_call_read_line (call, call->buffer, call->buffer_bytes);
          call->buffer_bytes = 0;
          call->overflow = false;
        }
      bytes += n + 1;
    }
}

static void
backend_call_on_chunk (void *data, uint32_t status, const uint8_t *bytes, size_t n_bytes)
{
  struct BackendCall *call = data;
  struct BackendEvent event = { .kind = BACKEND_EVENT_CHUNK };

  if (call->cancelling != NULL)
    return;
  call->response_bytes += n_bytes;
  if (call->response_bytes > CALL_RESPONSE_MAX_BYTES
      || (call->response_bytes > CALL_SMALL_RESPONSE_BYTES && held_memory_is_exhausted ()))
    {
      curl_call_stop (call->curl);
      return;
    }
  if (call->engine && call->stream)
    backend_call_read_stream (call, bytes, n_bytes);
  else if (call->engine || call->op != BACKEND_OP_CALL)
    backend_call_append (call, bytes, n_bytes);
  if (call->op != BACKEND_OP_CALL)
    return;
  event.chunk.bytes = bytes;
  event.chunk.n_bytes = n_bytes;
  event.chunk.status = status;
  call->fn (call->data, &event);
}

static bool
status_is_ok (uint32_t status)
{
  return status >= STATUS_OK && status < STATUS_OK_END;
}

/* Returns whether the server rejected the request before running any of it. The header is ignored
 * with other statuses, which may report a failure after the server began. */
static bool
backend_call_was_rejected (const struct BackendCall *call, uint32_t status)
{
  const char *ran;

  if (status != STATUS_TOO_MANY_REQUESTS && status != STATUS_UNAVAILABLE)
    return false;
  ran = curl_call_header (call->curl, "X-Ran");
  return ran != NULL && strcmp (ran, "not_run") == 0;
}

static bool
backend_call_read_load (const struct BackendCall *call, struct BackendLoad *load)
{
  json_t *response = json_loadb ((const char *)call->buffer, call->buffer_bytes, 0, NULL);
  const char *incarnation = json_string_value (json_object_get (response, "engine_incarnation"));
  bool valid = json_is_object (response);

  load->running = json_get_uint32 (response, "running");
  load->waiting = json_get_uint32 (response, "waiting");
  load->cache_used_tokens = json_get_uint64 (response, "cache_used_tokens");
  load->cache_capacity_tokens = json_get_uint64 (response, "cache_capacity_tokens");
  load->last_event = json_get_uint64 (response, "last_event");
  if (incarnation != NULL)
    strncpy (load->engine_incarnation, incarnation, NAME_MAX_BYTES);
  json_decref (response);
  return valid;
}

/* Returns false when the body is truncated. A response that is delimited by the end of the
 * connection (no Content-Length, not chunked) looks complete to HTTP when the server fails midway;
 * a missing [DONE] event or incomplete JSON reveals the truncation. */
static bool
backend_call_read_response (struct BackendCall *call)
{
  json_t *response;
  bool valid;

  if (!call->engine)
    return true;
  if (call->stream)
    {
      if (!call->overflow && call->buffer_bytes > 0)
        backend_call_read_line (call, call->buffer, call->buffer_bytes);
      return call->stream_ended;
    }
  if (call->overflow)
    return true;
  response = json_loadb ((const char *)call->buffer, call->buffer_bytes, 0, NULL);
  valid = json_is_object (response);
  backend_call_read_usage (call, response);
  json_decref (response);
  return valid;
}

static void
backend_call_fill_end (struct BackendCall *call,
                       const struct HttpResult *result,
                       struct BackendEvent *event)
{
  event->end.status = result->status;
  event->end.ran = RAN_MAYBE;
  if (!result->sent)
    {
      event->end.error = ERROR_UNREACHABLE;
      event->end.ran = RAN_NO;
    }
  else if (!result->whole)
    event->end.error = result->timed_out ? ERROR_TIMEOUT : ERROR_UNKNOWN_EFFECT;
  else if (!status_is_ok (result->status))
    {
      event->end.error = ERROR_BACKEND;
      event->end.ran = call->rejected ? RAN_NO : RAN_YES;
    }
  else if (call->op == BACKEND_OP_REPORT)
    {
      event->end.has_load = backend_call_read_load (call, &event->end.load);
      event->end.error = event->end.has_load ? ERROR_NONE : ERROR_BACKEND;
      event->end.ran = RAN_YES;
    }
  else if (call->op == BACKEND_OP_CALL && !backend_call_read_response (call))
    event->end.error = ERROR_UNKNOWN_EFFECT;
  else
    {
      event->end.error = call->stream_failed ? ERROR_BACKEND : ERROR_NONE;
      event->end.ran = RAN_YES;
    }
  if (call->cancelling != NULL)
    event->end.error = ERROR_CANCELLED;
  event->end.prompt_tokens = call->prompt_tokens;
  event->end.generated_tokens = call->generated_tokens;
  event->end.cached_tokens = call->cached_tokens;
}

static void
backend_call_finish (struct BackendCall *call, const struct HttpResult *result)
{
  BackendEventFn fn = call->fn;
  void *fn_data = call->data;
  struct BackendEvent event = { .kind = BACKEND_EVENT_END };

  backend_call_fill_end (call, result, &event);
  call->curl = NULL; /* frees itself after this callback */
  talloc_free (call);
  fn (fn_data, &event);
}

static void
backend_call_on_checked (void *data, const struct HttpResult *check)
{
  struct BackendCall *call = data;

  call->result.whole = check->whole;
  backend_call_finish (call, &call->result);
}

/* Opens a connection to the server of a response that ended with its connection: the response is
 * whole if the server is still running. Returns false when out of memory. */
static bool
backend_call_check_server (struct BackendCall *call)
{
  const struct HttpRequest request = {
    .method = "GET",
    .url = talloc_asprintf (call, "http://%s/", call->address),
    .timeout_ms = CHECK_TIMEOUT_MS,
    .connect_timeout_ms = CHECK_TIMEOUT_MS,
    .fresh_connection = true,
    .connect_only = true,
  };

  if (request.url == NULL)
    return false;
  call->curl = curl_loop_submit (call->http->loop, &request, NULL, backend_call_on_checked, call);
  return call->curl != NULL;
}

/* An engine's response shows its own end. */
static bool
backend_call_needs_check (const struct BackendCall *call)
{
  return call->op == BACKEND_OP_CALL && !call->engine && call->cancelling == NULL
         && call->result.whole && !call->result.framed && status_is_ok (call->result.status);
}

static void
backend_call_on_done (void *data, const struct HttpResult *result)
{
  struct BackendCall *call = data;

  call->result = *result;
  call->rejected = backend_call_was_rejected (call, result->status);
  call->curl = NULL; /* frees itself after this callback */
  if (!backend_call_needs_check (call))
    {
      backend_call_finish (call, result);
      return;
    }
  if (!backend_call_check_server (call))
    {
      call->result.whole = false;
      backend_call_finish (call, &call->result);
    }
}

static void
backend_call_on_cancel (struct tevent_context *events,
                        struct tevent_immediate *immediate,
                        void *data)
{
  struct BackendCall *call = data;
  BackendEventFn fn = call->fn;
  void *fn_data = call->data;
  struct BackendEvent event = { .kind = BACKEND_EVENT_END };

  (void)events;
  (void)immediate;
  event.end.error = ERROR_CANCELLED;
  event.end.ran = RAN_MAYBE;
  event.end.prompt_tokens = call->prompt_tokens;
  event.end.generated_tokens = call->generated_tokens;
  event.end.cached_tokens = call->cached_tokens;
  talloc_free (call);
  fn (fn_data, &event);
}

static int
backend_call_free (struct BackendCall *call)
{
  struct BackendCall **at = &call->http->calls;

  while (*at != NULL && *at != call)
    at = &(*at)->next;
  if (*at != NULL)
    *at = call->next;
  talloc_free (call->curl);
  return 0;
}

/* Frees the call later, from the event loop: this function may be called from the chunk callback,
 * where libcurl does not allow a handle to be removed. */
static void
backend_http_cancel (struct BackendPort *port, uint64_t ticket)
{
  struct BackendHttp *http = (struct BackendHttp *)port;
  struct BackendCall *call = http->calls;

  while (call != NULL && call->ticket != ticket)
    call = call->next;
  if (call == NULL || call->cancelling != NULL)
    return;
  call->cancelling = tevent_create_immediate (call);
  if (call->cancelling != NULL)
    tevent_schedule_immediate (call->cancelling, curl_loop_events (http->loop),
                               backend_call_on_cancel, call);
}

/* Rejects control characters: a line break in a value would inject further headers. */
static bool
header_value_is_safe (const char *value)
{
  for (; *value != '\0'; value++)
    if ((uint8_t)*value < ' ' || *value == '\x7f')
      return false;
  return true;
}

static bool
path_is_safe (const char *path)
{
  if (path == NULL || path[0] != '/')
    return false;
  for (; *path != '\0'; path++)
    if (*path <= ' ' || *path >= '\x7f' || *path == '#')
      return false;
  return true;
}

static int32_t
backend_call_prepare (TALLOC_CTX *ctx,
                      const struct BackendRequest *request,
                      const char *headers[HEADERS_MAX],
                      struct HttpRequest *http_request)
{
  bool engine = request->call.target_kind == CALL_TARGET_ENGINE;
  const char *path = engine ? "/v1/chat/completions" : request->call.path;
  const char *program = request->call.program != NULL ? request->call.program : "";
  const char *key = request->call.idempotency_key != NULL ? request->call.idempotency_key : "";

  if (!path_is_safe (path) || !header_value_is_safe (program) || !header_value_is_safe (key))
    return ERROR_INVALID;
  http_request->method = "POST";
  http_request->url = talloc_asprintf (ctx, "http://%s%s", request->address, path);
  headers[1] = talloc_asprintf (ctx, "X-Program: %s", program);
  headers[2] = talloc_asprintf (ctx, "Idempotency-Key: %s", key);
  /* When the server closes a reused idle connection, a call on it fails with unknown effect
   * although it never ran. */
  http_request->fresh_connection = true;
  http_request->body = request->call.body;
  http_request->body_bytes = request->call.body_bytes;
  return ERROR_NONE;
}

static int32_t
backend_release_prepare (TALLOC_CTX *ctx,
                         const struct BackendRequest *request,
                         struct HttpRequest *http_request)
{
  json_t *json = json_pack ("{s:s}", "program", request->release.program);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  if (text == NULL)
    return ERROR_INVALID;
  http_request->method = "POST";
  http_request->url = talloc_asprintf (ctx, "http://%s/release", request->address);
  http_request->body = talloc_memdup (ctx, text, strlen (text));
  http_request->body_bytes = strlen (text);
  free (text);
  return ERROR_NONE;
}

static int32_t
backend_http_prepare (TALLOC_CTX *ctx,
                      const struct BackendRequest *request,
                      const char *headers[HEADERS_MAX],
                      struct HttpRequest *http_request)
{
  headers[0] = "Content-Type: application/json";
  http_request->headers = headers;
  http_request->timeout_ms = request->timeout_ms;
  http_request->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  switch (request->op)
    {
    case BACKEND_OP_CALL:
      return backend_call_prepare (ctx, request, headers, http_request);
    case BACKEND_OP_RELEASE:
      return backend_release_prepare (ctx, request, http_request);
    case BACKEND_OP_REPORT:
      http_request->method = "GET";
      http_request->url = talloc_asprintf (ctx, "http://%s/load", request->address);
      return ERROR_NONE;
    }
  return ERROR_INVALID;
}

static int32_t
backend_http_submit (struct BackendPort *port,
                     const struct BackendRequest *request,
                     BackendEventFn fn,
                     void *data,
                     uint64_t *ticket)
{
  struct BackendHttp *http = (struct BackendHttp *)port;
  struct BackendCall *call = talloc_zero (http, struct BackendCall);
  const char *headers[HEADERS_MAX] = { NULL };
  struct HttpRequest http_request = { 0 };
  TALLOC_CTX *scratch = talloc_new (NULL);
  int32_t error = ERROR_NO_MEMORY;

  if (call == NULL || scratch == NULL)
    goto out;
  error = backend_http_prepare (scratch, request, headers, &http_request);
  if (error != ERROR_NONE)
    goto out;
  call->http = http;
  call->address = talloc_strdup (call, request->address);
  call->op = request->op;
  call->engine = request->op == BACKEND_OP_CALL && request->call.target_kind == CALL_TARGET_ENGINE;
  call->stream = request->op == BACKEND_OP_CALL && request->call.stream;
  call->fn = fn;
  call->data = data;
  call->curl = curl_loop_submit (http->loop, &http_request, backend_call_on_chunk,
                                 backend_call_on_done, call);
  if (call->curl == NULL)
    {
      error = ERROR_NO_MEMORY;
      goto out;
    }
  call->ticket = ++http->last_ticket;
  call->next = http->calls;
  http->calls = call;
  talloc_set_destructor (call, backend_call_free);
  *ticket = call->ticket;

out:
  talloc_free (scratch);
  if (error != ERROR_NONE)
    talloc_free (call);
  return error;
}

struct BackendPort *
backend_http_new (TALLOC_CTX *ctx, struct CurlLoop *loop)
{
  struct BackendHttp *http = talloc_zero (ctx, struct BackendHttp);

  if (http == NULL)
    return NULL;
  http->port.submit = backend_http_submit;
  http->port.cancel = backend_http_cancel;
  http->loop = loop;
  return &http->port;
}
