#include <buckthornhead/curl_loop.h>

#include <buckthornhead/held_memory.h>
#include <buckthornhead/http_head.h>
#include <buckthornhead/http_message.h>
#include <buckthornhead/net_socket.h>

#include <buckthornhead/timer_tevent.h>

#include <string.h>

#include <curl/curl.h>

enum
{
  CONNECTION_CACHE_MAX = 256,
  /* Limit on the heads and trailers of a response and of the interim ones before it. libcurl keeps
   * them all. */
  HEADS_MAX_BYTES = 256 * 1024,
  PENDING_MAX_BYTES = 64 * 1024, /* of a body, collected for one chunk callback */
  STATUS_FINAL_MIN = 200
};

struct CurlLoop
{
  struct tevent_context *events;
  struct TimerService *timers;
  struct Timer *timer;
  CURLM *multi;
  TALLOC_CTX *calls;        /* parent of every CurlCall */
  struct CurlCall *pending; /* calls with pending bytes */
  bool in_chunk; /* inside a chunk callback: libcurl may be running, and does not allow handles to
                    be added or removed then */
};

struct CurlCall
{
  struct CurlLoop *loop;
  CURL *easy;
  struct curl_slist *headers;
  struct tevent_immediate *deferred;
  uint8_t *body;
  size_t body_bytes, body_offset;
  bool added;     /* easy was added to the multi handle */
  bool stopped;   /* by curl_call_stop */
  bool in_done;   /* inside the done callback, after which the call is freed */
  bool cancelled; /* freed by its owner inside a callback; no further callbacks */
  struct HttpHeadCheck check;
  /* The head of the final response, if one is due, has ended: libcurl reports success without. */
  bool head_ended;
  size_t head_bytes;
  uint8_t *response;
  size_t response_bytes;
  /* Bytes of the body that were not passed to .chunk yet. */
  uint8_t *pending;
  size_t pending_bytes;
  struct CurlCall *next_pending;
  bool is_pending;
  HttpChunkFn chunk;
  HttpDone done;
  void *data;
};

/* A watched socket; libcurl stores the pointer (curl_multi_assign). */
struct CurlSocket
{
  struct CurlLoop *loop;
  struct tevent_fd *watch;
  curl_socket_t fd;
};

static void
curl_call_defer (struct CurlCall *call);

static bool
curl_call_is_framed (struct CurlCall *call)
{
  const char *coding = curl_call_header (call, "Transfer-Encoding");

  return curl_call_header (call, "Content-Length") != NULL
         || (coding != NULL && http_list_has (coding, "chunked"));
}

static const char *
curl_call_error (const struct CurlCall *call, CURLcode code)
{
  if (code != CURLE_OK)
    return curl_easy_strerror (code);
  return call->head_ended ? "" : "the response stops in its head";
}

static void
curl_call_finish (struct CurlCall *call, CURLcode code)
{
  long status = 0;
  long request_bytes = 0;
  struct HttpResult result = { 0 };

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  result.sent = request_bytes > 0;
  result.whole = code == CURLE_OK && !call->stopped && call->head_ended;
  result.framed = curl_call_is_framed (call);
  result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
  result.status = (uint32_t)status;
  result.body = call->response;
  result.body_bytes = call->response_bytes;
  result.error = curl_call_error (call, code);
  call->in_done = true;
  if (!call->cancelled)
    call->done (call->data, &result);
  call->in_done = false;
  talloc_free (call);
}

static void
curl_call_flush (struct CurlCall *call)
{
  size_t n_bytes = call->pending_bytes;
  long status = 0;

  call->pending_bytes = 0;
  if (n_bytes == 0 || call->stopped || call->cancelled)
    return;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  call->loop->in_chunk = true;
  call->chunk (call->data, (uint32_t)status, call->pending, n_bytes);
  call->loop->in_chunk = false;
}

/* Passes on what libcurl has read. */
static void
curl_loop_flush (struct CurlLoop *loop)
{
  while (loop->pending != NULL)
    {
      struct CurlCall *call = loop->pending;

      loop->pending = call->next_pending;
      call->is_pending = false;
      curl_call_flush (call);
      TALLOC_FREE (call->pending);
      if (call->stopped && !call->cancelled)
        curl_call_defer (call);
    }
}

static void
curl_loop_finish_calls (struct CurlLoop *loop)
{
  CURLMsg *message;
  int left;

  curl_loop_flush (loop);
  while ((message = curl_multi_info_read (loop->multi, &left)) != NULL)
    {
      struct CurlCall *call = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
      curl_call_finish (call, code);
    }
}

static void
curl_loop_on_timer (void *data)
{
  struct CurlLoop *loop = data;
  int running;

  TALLOC_FREE (loop->timer);
  curl_multi_socket_action (loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  curl_loop_finish_calls (loop);
}

static int
curl_loop_set_timer (CURLM *multi, long timeout_ms, void *data)
{
  struct CurlLoop *loop = data;

  (void)multi;
  TALLOC_FREE (loop->timer);
  if (timeout_ms < 0)
    return 0;
  loop->timer = timer_subscribe (loop, loop->timers, timeout_ms, 0, curl_loop_on_timer, loop);
  return loop->timer != NULL ? 0 : -1;
}

static void
curl_loop_on_socket (struct tevent_context *events,
                     struct tevent_fd *watch,
                     uint16_t flags,
                     void *data)
{
  struct CurlSocket *socket = data;
  struct CurlLoop *loop = socket->loop;
  int mask = 0;
  int running;

  (void)events;
  (void)watch;
  if (flags & TEVENT_FD_READ)
    mask |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    mask |= CURL_CSELECT_OUT;
  /* May free socket, through curl_loop_set_socket. */
  curl_multi_socket_action (loop->multi, socket->fd, mask, &running);
  curl_loop_finish_calls (loop);
}

static int
curl_loop_set_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  struct CurlLoop *loop = data;
  struct CurlSocket *socket = socket_data;
  uint16_t flags = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      talloc_free (socket);
      curl_multi_assign (loop->multi, fd, NULL);
      return 0;
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_WRITE;
  if (socket != NULL)
    {
      tevent_fd_set_flags (socket->watch, flags);
      return 0;
    }
  socket = talloc_zero (loop, struct CurlSocket);
  if (socket == NULL)
    return -1;
  socket->loop = loop;
  socket->fd = fd;
  socket->watch = tevent_add_fd (loop->events, socket, fd, flags, curl_loop_on_socket, socket);
  curl_multi_assign (loop->multi, fd, socket);
  return socket->watch != NULL ? 0 : -1;
}

/* libcurl reports a lack of descriptors as a failure to connect; here it is logged as what it is.
 */
static curl_socket_t
curl_call_on_open (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  int fd = net_socket (address->family, "HTTP connection");

  (void)data;
  (void)purpose;
  return fd >= 0 ? fd : CURL_SOCKET_BAD;
}

/* Called by libcurl for each line of a head or trailer, with its end. A return value other than the
 * line's length fails the call. */
static size_t
curl_call_on_head (char *bytes, size_t size, size_t n, void *data)
{
  static const char start[] = "HTTP/";
  struct CurlCall *call = data;
  size_t n_bytes = size * n;

  call->head_bytes += n_bytes;
  if (call->head_bytes > HEADS_MAX_BYTES)
    return 0;
  if (call->check.state == HTTP_HEAD_DONE)
    {
      if (n_bytes >= strlen (start) && memcmp (bytes, start, strlen (start)) == 0)
        http_head_check_begin (&call->check, HTTP_HEAD_RESPONSE);
      else
        http_head_check_begin_trailers (&call->check);
    }
  if (!http_head_check (&call->check, bytes, n_bytes))
    return 0;
  if (call->check.state == HTTP_HEAD_DONE && call->check.status >= STATUS_FINAL_MIN)
    call->head_ended = true;
  return n_bytes;
}

/* Adds bytes of the body to the pending ones. A body in tiny chunks would otherwise cost its
 * receiver a callback for each of them. Returns false when no more are wanted. */
static bool
curl_call_collect (struct CurlCall *call, const char *bytes, size_t n_bytes)
{
  struct CurlLoop *loop = call->loop;
  uint8_t *grown;

  if (call->pending_bytes + n_bytes > PENDING_MAX_BYTES)
    curl_call_flush (call);
  if (call->stopped || call->cancelled)
    return false;
  if (call->pending_bytes + n_bytes > talloc_get_size (call->pending))
    {
      grown = held_memory_resize (call, call->pending, 2 * (call->pending_bytes + n_bytes));
      if (grown == NULL)
        return false;
      call->pending = grown;
    }
  memcpy (call->pending + call->pending_bytes, bytes, n_bytes);
  call->pending_bytes += n_bytes;
  if (!call->is_pending)
    {
      call->is_pending = true;
      call->next_pending = loop->pending;
      loop->pending = call;
    }
  return true;
}

static size_t
curl_call_on_body (char *bytes, size_t size, size_t n, void *data)
{
  struct CurlCall *call = data;
  size_t n_bytes = size * n;

  if (call->chunk != NULL)
    return curl_call_collect (call, bytes, n_bytes) ? n_bytes : 0;
  call->response =
      talloc_realloc (call, call->response, uint8_t, call->response_bytes + n_bytes + 1);
  if (call->response == NULL)
    return 0;
  memcpy (call->response + call->response_bytes, bytes, n_bytes);
  call->response_bytes += n_bytes;
  call->response[call->response_bytes] = '\0';
  return n_bytes;
}

static int
curl_loop_free (struct CurlLoop *loop)
{
  /* Frees the calls first: their destructor removes their handles from multi. */
  TALLOC_FREE (loop->calls);
  TALLOC_FREE (loop->timer);
  curl_multi_cleanup (loop->multi);
  return 0;
}

struct CurlLoop *
curl_loop_new (TALLOC_CTX *ctx, struct tevent_context *events)
{
  struct CurlLoop *loop = talloc_zero (ctx, struct CurlLoop);

  if (loop == NULL)
    return NULL;
  loop->events = events;
  loop->timers = timer_tevent_new (loop, events);
  loop->calls = talloc_new (loop);
  loop->multi = curl_multi_init ();
  if (loop->timers == NULL || loop->calls == NULL || loop->multi == NULL)
    {
      curl_multi_cleanup (loop->multi);
      talloc_free (loop);
      return NULL;
    }
  talloc_set_destructor (loop, curl_loop_free);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETFUNCTION, curl_loop_set_socket);
  curl_multi_setopt (loop->multi, CURLMOPT_SOCKETDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERFUNCTION, curl_loop_set_timer);
  curl_multi_setopt (loop->multi, CURLMOPT_TIMERDATA, loop);
  curl_multi_setopt (loop->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTION_CACHE_MAX);
  return loop;
}

static void
curl_call_on_deferred (struct tevent_context *events, struct tevent_immediate *deferred, void *data)
{
  struct CurlCall *call = data;

  (void)events;
  (void)deferred;
  if (call->cancelled)
    {
      talloc_free (call);
      return;
    }
  if (call->added)
    {
      curl_call_finish (call, CURLE_WRITE_ERROR);
      return;
    }
  call->added = curl_multi_add_handle (call->loop->multi, call->easy) == CURLM_OK;
  if (!call->added)
    curl_call_finish (call, CURLE_FAILED_INIT);
}

static void
curl_call_defer (struct CurlCall *call)
{
  tevent_schedule_immediate (call->deferred, call->loop->events, curl_call_on_deferred, call);
}

static void
curl_call_remove_pending (struct CurlCall *call)
{
  struct CurlCall **at = &call->loop->pending;

  while (*at != call)
    at = &(*at)->next_pending;
  *at = call->next_pending;
  call->is_pending = false;
}

static int
curl_call_free (struct CurlCall *call)
{
  if (call->in_done || call->loop->in_chunk)
    {
      call->cancelled = true;
      if (!call->in_done)
        curl_call_defer (call);
      return -1;
    }
  if (call->is_pending)
    curl_call_remove_pending (call);
  if (call->added)
    curl_multi_remove_handle (call->loop->multi, call->easy);
  if (call->easy != NULL)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  return 0;
}

static void
curl_call_set_headers (struct CurlCall *call, const struct HttpRequest *request)
{
  /* Disables "Expect: 100-continue": libcurl would wait up to a second before sending a larger
   * body. */
  call->headers = curl_slist_append (NULL, "Expect:");
  for (size_t i = 0; request->headers != NULL && request->headers[i] != NULL; i++)
    call->headers = curl_slist_append (call->headers, request->headers[i]);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static size_t
curl_call_on_upload (char *buffer, size_t size, size_t n, void *data)
{
  struct CurlCall *call = data;
  size_t n_bytes = call->body_bytes - call->body_offset;

  if (n_bytes > size * n)
    n_bytes = size * n;
  memcpy (buffer, call->body + call->body_offset, n_bytes);
  call->body_offset += n_bytes;
  return n_bytes;
}

/* Sets the body through a read callback without a seek callback, so that libcurl never sends the
 * request twice. When a reused connection closes without a response, libcurl resends the request,
 * although the first one may have taken effect: a write to the store would then conflict with
 * itself, and a non-idempotent call would run twice. libcurl fails the request instead when it
 * cannot rewind the body, and never resends on a new connection. */
static void
curl_call_set_body (struct CurlCall *call, const struct HttpRequest *request)
{
  if (request->body == NULL || request->body_bytes == 0)
    {
      if (request->body != NULL)
        curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, "");
      return;
    }
  call->body = talloc_memdup (call, request->body, request->body_bytes);
  call->body_bytes = request->body_bytes;
  curl_easy_setopt (call->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (call->easy, CURLOPT_READFUNCTION, curl_call_on_upload);
  curl_easy_setopt (call->easy, CURLOPT_READDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_bytes);
}

void
curl_call_stop (struct CurlCall *call)
{
  call->stopped = true;
}

struct CurlCall *
curl_loop_submit (struct CurlLoop *loop,
                  const struct HttpRequest *request,
                  HttpChunkFn chunk,
                  HttpDone done,
                  void *data)
{
  struct CurlCall *call = talloc_zero (loop->calls, struct CurlCall);

  if (call == NULL)
    return NULL;
  call->loop = loop;
  call->chunk = chunk;
  call->done = done;
  call->data = data;
  call->deferred = tevent_create_immediate (call);
  call->easy = curl_easy_init ();
  talloc_set_destructor (call, curl_call_free);
  if (call->easy == NULL || call->deferred == NULL)
    goto fail;
  curl_easy_setopt (call->easy, CURLOPT_URL, request->url);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (call->easy, CURLOPT_OPENSOCKETFUNCTION, curl_call_on_open);
  http_head_check_begin (&call->check, HTTP_HEAD_RESPONSE);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, curl_call_on_head);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, curl_call_on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_call_set_body (call, request);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_call_set_headers (call, request);
  if (request->timeout_ms > 0)
    curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  if (request->connect_timeout_ms > 0)
    curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)request->connect_timeout_ms);
  call->head_ended = request->connect_only;
  if (request->connect_only)
    curl_easy_setopt (call->easy, CURLOPT_CONNECT_ONLY, 1L);
  if (request->fresh_connection || (call->body == NULL && strcmp (request->method, "GET") != 0))
    curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, request->fresh_connection ? 1L : 0L);
  curl_call_defer (call);
  return call;

fail:
  talloc_free (call);
  return NULL;
}

const char *
curl_call_header (struct CurlCall *call, const char *name)
{
  struct curl_header *header = NULL;

  if (curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

struct tevent_context *
curl_loop_events (const struct CurlLoop *loop)
{
  return loop->events;
}
