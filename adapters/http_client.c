#include <buckthornhead/http_client.h>

#include <buckthornhead/byte_queue.h>
#include <buckthornhead/error.h>
#include <buckthornhead/net_socket.h>
#include <buckthornhead/settings.h>

#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_BYTES = 64 * 1024,
  SWEEP_MS = 250,
  /* A server that states how long it keeps an idle connection may count from the moment it sent its
   * answer: stop using it this much earlier. */
  KEEP_ALIVE_MARGIN_MS = 400,
  /* Sent bytes unacknowledged for this long: the machine is gone, or cut off. Longer than a
   * retransmission on a lossy link. */
  USER_TIMEOUT_MS = 2000,
  HEAD_MAX_BYTES = 64 * 1024 /* of an answer */
};

enum LinkState
{
  LINK_CONNECTING,
  LINK_BUSY,
  LINK_IDLE
};

/* One connection to a server. */
struct ServerLink
{
  struct ServerLink *next, **at;
  struct HttpClient *client;
  char address[ADDRESS_MAX_BYTES + 1];
  int fd;
  struct tevent_fd *watch;
  enum LinkState state;
  int64_t due_ms; /* connecting: gives up; idle: not used any more */
  struct ByteQueue output;
  struct HttpCall *call;
  http_parser parser;
  struct HttpHeadText head;
  size_t head_bytes;
  bool sent_any, headers_done, foreign, whole, has_length, keep;
  int64_t idle_ms; /* how long the server keeps it, 0: did not say */
};

struct HttpCall
{
  struct ServerLink *link;
  struct HttpCallHandler handler;
  char *id_header, *id;
};

struct HttpClient
{
  struct tevent_context *events;
  struct TimerService *timers;
  struct HttpClientOptions options;
  struct ServerLink *links;
  uint64_t n_opened;
  uint8_t scratch[READ_BYTES];
};

static int
link_free (struct ServerLink *l)
{
  *l->at = l->next;
  if (l->next != NULL)
    l->next->at = l->at;
  if (l->call != NULL)
    l->call->link = NULL;
  TALLOC_FREE (l->watch);
  close (l->fd);
  return 0;
}

/* A call that is freed before its end takes its connection along: the server sees the close. */
static int
call_free (struct HttpCall *call)
{
  struct ServerLink *l = call->link;

  if (l == NULL)
    return 0;
  call->link = NULL;
  l->call = NULL;
  l->keep = false;
  shutdown (l->fd, SHUT_RDWR);
  l->due_ms = 0;
  return 0;
}

static void
link_watch (struct ServerLink *l)
{
  uint16_t flags = TEVENT_FD_READ;

  if (l->state == LINK_CONNECTING || byte_queue_length (&l->output) > 0)
    flags |= TEVENT_FD_WRITE;
  if (tevent_fd_get_flags (l->watch) != flags)
    tevent_fd_set_flags (l->watch, flags);
}

/* Ends the call, if there still is one, and the connection with it. */
static void
link_break (struct ServerLink *l, enum HttpEnd end)
{
  struct HttpCall *call = l->call;

  l->call = NULL;
  if (call != NULL)
    call->link = NULL;
  talloc_free (l);
  if (call == NULL)
    return;
  call->handler.end (call->handler.data, end);
  talloc_free (call);
}

static void
link_reset_parser (struct ServerLink *l)
{
  http_parser_init (&l->parser, HTTP_RESPONSE);
  l->parser.data = l;
  TALLOC_FREE (l->head.text);
  TALLOC_FREE (l->head.starts);
  memset (&l->head, 0, sizeof l->head);
  l->head_bytes = 0;
  l->headers_done = false;
  l->foreign = false;
  l->whole = false;
  l->has_length = false;
}

/* Parser callbacks; a non-zero return stops the parser. */

static int
parser_on_head (struct ServerLink *l, bool is_value, const char *bytes, size_t n_bytes)
{
  if (l->headers_done)
    return 0;
  l->head_bytes += n_bytes;
  return l->head_bytes > HEAD_MAX_BYTES
         || http_head_text_add (l, &l->head, is_value, bytes, n_bytes) != ERROR_NONE;
}

static int
parser_on_name (http_parser *parser, const char *bytes, size_t n_bytes)
{
  return parser_on_head (parser->data, false, bytes, n_bytes);
}

static int
parser_on_value (http_parser *parser, const char *bytes, size_t n_bytes)
{
  return parser_on_head (parser->data, true, bytes, n_bytes);
}

/* The server's statement "Keep-Alive: timeout=N", in milliseconds; 0 when it makes none. */
static int64_t
keep_alive_ms (const struct HttpHeaders *headers)
{
  const char *value = http_headers_get (headers, "Keep-Alive");
  const char *timeout = value != NULL ? strcasestr (value, "timeout=") : NULL;

  return timeout != NULL ? strtoll (timeout + strlen ("timeout="), NULL, 10) * 1000 : 0;
}

static bool
head_is_foreign (const struct HttpCall *call, const struct HttpHeaders *headers)
{
  const char *id;

  if (call->id_header == NULL)
    return false;
  id = http_headers_get (headers, call->id_header);
  return id != NULL && strcmp (id, call->id) != 0;
}

static int
parser_on_headers_complete (http_parser *parser)
{
  struct ServerLink *l = parser->data;
  struct HttpAnswerHead head = { .status = parser->status_code };
  bool interim = parser->status_code >= 100 && parser->status_code < 200;

  if (http_head_text_finish (l, &l->head, &head.headers) != ERROR_NONE)
    return -1;
  l->headers_done = true;
  l->has_length = (parser->flags & (F_CONTENTLENGTH | F_CHUNKED)) != 0;
  head.has_length = l->has_length;
  l->idle_ms = keep_alive_ms (&head.headers);
  if (l->call != NULL)
    l->foreign = interim || head_is_foreign (l->call, &head.headers);
  if (l->call != NULL && !l->foreign)
    l->call->handler.head (l->call->handler.data, &head);
  talloc_free (head.headers.items);
  return 0;
}

static int
parser_on_body (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct ServerLink *l = parser->data;

  if (l->call != NULL && !l->foreign)
    l->call->handler.body (l->call->handler.data, (const uint8_t *)bytes, n_bytes);
  return 0;
}

static int
parser_on_message_complete (http_parser *parser)
{
  struct ServerLink *l = parser->data;

  l->whole = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_header_field = parser_on_name,
  .on_header_value = parser_on_value,
  .on_headers_complete = parser_on_headers_complete,
  .on_body = parser_on_body,
  .on_message_complete = parser_on_message_complete,
};

/* The answer is whole: the connection goes back to the idle ones if it is certainly in step. */
static void
link_finish (struct ServerLink *l, bool extra_bytes)
{
  struct HttpCall *call = l->call;
  int64_t idle_ms =
      l->idle_ms > 0 ? l->idle_ms - KEEP_ALIVE_MARGIN_MS : (int64_t)l->client->options.idle_max_ms;
  bool keep = l->keep && !extra_bytes && l->has_length && byte_queue_length (&l->output) == 0
              && idle_ms > 0;

  if (!keep)
    {
      link_break (l, HTTP_END_WHOLE);
      return;
    }
  l->call = NULL;
  l->state = LINK_IDLE;
  l->due_ms = timer_now_ms (l->client->timers) + idle_ms;
  link_reset_parser (l);
  if (call == NULL)
    return;
  call->link = NULL;
  call->handler.end (call->handler.data, HTTP_END_WHOLE);
  talloc_free (call);
}

/* Gives bytes to the parser; false when the link is gone. */
static bool
link_parse (struct ServerLink *l, const uint8_t *bytes, size_t n_bytes)
{
  size_t at = 0;

  while (at < n_bytes)
    {
      at += http_parser_execute (&l->parser, &parser_settings, (const char *)bytes + at,
                                 n_bytes - at);
      if (l->whole && l->foreign)
        {
          link_reset_parser (l);
          continue;
        }
      if (l->whole)
        {
          l->keep = http_should_keep_alive (&l->parser) != 0;
          link_finish (l, at < n_bytes);
          return false;
        }
      if (HTTP_PARSER_ERRNO (&l->parser) != HPE_OK)
        {
          link_break (l, HTTP_END_MALFORMED);
          return false;
        }
    }
  return true;
}

/* An answer without a length ends with its connection, if that ends in order. */
static void
link_on_close (struct ServerLink *l, bool in_order)
{
  enum HttpEnd end = l->sent_any ? HTTP_END_BROKEN : HTTP_END_NOT_SENT;

  if (in_order && l->headers_done && !l->has_length && !l->foreign)
    {
      http_parser_execute (&l->parser, &parser_settings, NULL, 0);
      if (l->whole)
        end = HTTP_END_WHOLE;
    }
  link_break (l, end);
}

static void
link_read (struct ServerLink *l)
{
  ssize_t n = recv (l->fd, l->client->scratch, sizeof l->client->scratch, MSG_DONTWAIT);

  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  /* Bytes on an idle connection belong to no request. */
  if (l->state == LINK_IDLE || l->call == NULL)
    link_break (l, HTTP_END_BROKEN);
  else if (n <= 0)
    link_on_close (l, n == 0);
  else if (link_parse (l, l->client->scratch, (size_t)n))
    link_watch (l);
}

/* False when the connection broke. */
static bool
link_write (struct ServerLink *l)
{
  size_t before = byte_queue_length (&l->output);
  bool sound = byte_queue_send (&l->output, l->fd);

  if (byte_queue_length (&l->output) < before)
    l->sent_any = true;
  return sound;
}

static void
link_on_event (struct tevent_context *events, struct tevent_fd *watch, uint16_t flags, void *data)
{
  struct ServerLink *l = data;

  (void)events;
  (void)watch;
  if (l->state == LINK_CONNECTING)
    {
      if (net_dial_error (l->fd) != 0)
        {
          link_break (l, HTTP_END_NOT_SENT);
          return;
        }
      l->state = LINK_BUSY;
    }
  /* What the server said before it closed is read first: it may be a whole answer. */
  if (flags & TEVENT_FD_READ)
    {
      link_read (l);
      return;
    }
  if ((flags & TEVENT_FD_WRITE) && !link_write (l))
    {
      link_break (l, l->sent_any ? HTTP_END_BROKEN : HTTP_END_NOT_SENT);
      return;
    }
  link_watch (l);
}

static void
client_on_sweep (void *data)
{
  struct HttpClient *client = data;
  int64_t now_ms = timer_now_ms (client->timers);
  struct ServerLink *next;

  for (struct ServerLink *l = client->links; l != NULL; l = next)
    {
      next = l->next;
      if (l->state != LINK_BUSY || l->call == NULL)
        {
          if (l->due_ms <= now_ms)
            link_break (l, HTTP_END_NOT_SENT);
        }
    }
}

static int
client_free (struct HttpClient *client)
{
  while (client->links != NULL)
    talloc_free (client->links);
  return 0;
}

struct HttpClient *
http_client_new (TALLOC_CTX *ctx,
                 struct tevent_context *events,
                 struct TimerService *timers,
                 const struct HttpClientOptions *options)
{
  struct HttpClient *client = talloc_zero (ctx, struct HttpClient);

  if (client == NULL)
    return NULL;
  client->events = events;
  client->timers = timers;
  client->options = *options;
  talloc_set_destructor (client, client_free);
  timer_subscribe (client, timers, SWEEP_MS, SWEEP_MS, client_on_sweep, client);
  return client;
}

/* An idle connection is out of step or closed when there is anything to read on it. */
static bool
link_is_quiet (const struct ServerLink *l)
{
  char byte;
  ssize_t n = recv (l->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* The idle connection used last; *n_open counts all to address. */
static struct ServerLink *
client_find_idle (struct HttpClient *client, const char *address, uint32_t *n_open)
{
  int64_t now_ms = timer_now_ms (client->timers);
  struct ServerLink *best = NULL, *next;

  *n_open = 0;
  for (struct ServerLink *l = client->links; l != NULL; l = next)
    {
      next = l->next;
      if (strcmp (l->address, address) != 0)
        continue;
      (*n_open)++;
      if (l->state == LINK_IDLE && l->due_ms > now_ms && (best == NULL || l->due_ms > best->due_ms))
        best = l;
    }
  if (best == NULL || link_is_quiet (best))
    return best;
  talloc_free (best);
  return client_find_idle (client, address, n_open);
}

static struct ServerLink *
link_new (struct HttpClient *client, const char *address, uint32_t connect_timeout_ms)
{
  struct ServerLink *l;
  int fd = net_dial (address, USER_TIMEOUT_MS);

  if (fd < 0)
    return NULL;
  l = talloc_zero (client, struct ServerLink);
  if (l == NULL)
    {
      close (fd);
      return NULL;
    }
  l->client = client;
  l->fd = fd;
  snprintf (l->address, sizeof l->address, "%s", address);
  l->state = LINK_CONNECTING;
  l->due_ms = timer_now_ms (client->timers) + connect_timeout_ms;
  l->next = client->links;
  l->at = &client->links;
  if (l->next != NULL)
    l->next->at = &l->next;
  client->links = l;
  talloc_set_destructor (l, link_free);
  client->n_opened++;
  l->watch = tevent_add_fd (client->events, l, fd, TEVENT_FD_WRITE, link_on_event, l);
  if (l->watch == NULL)
    TALLOC_FREE (l);
  return l;
}

static struct HttpCall *
call_new (struct HttpClient *client,
          const struct HttpCallRequest *request,
          const struct HttpCallHandler *handler)
{
  struct HttpCall *call = talloc_zero (client, struct HttpCall);

  if (call == NULL)
    return NULL;
  call->handler = *handler;
  if (request->id_header != NULL)
    {
      call->id_header = talloc_strdup (call, request->id_header);
      call->id = talloc_strdup (call, request->id);
    }
  if (request->id_header != NULL && (call->id_header == NULL || call->id == NULL))
    TALLOC_FREE (call);
  else
    talloc_set_destructor (call, call_free);
  return call;
}

struct HttpCall *
http_client_submit (struct HttpClient *client,
                    const struct HttpCallRequest *request,
                    const struct HttpCallHandler *handler)
{
  uint32_t n_open;
  struct ServerLink *l = client_find_idle (client, request->address, &n_open);
  struct HttpCall *call;
  uint32_t connections_max =
      request->connections_max > 0 ? request->connections_max : client->options.per_address_max;

  if (l == NULL && n_open >= connections_max)
    return NULL;
  if (l == NULL)
    l = link_new (client, request->address, request->connect_timeout_ms);
  call = l != NULL ? call_new (client, request, handler) : NULL;
  if (call == NULL
      || byte_queue_add (l, &l->output, request->head, strlen (request->head)) != ERROR_NONE
      || byte_queue_add (l, &l->output, request->body, request->body_bytes) != ERROR_NONE)
    {
      talloc_free (call);
      talloc_free (l);
      return NULL;
    }
  call->link = l;
  l->call = call;
  l->sent_any = false;
  link_reset_parser (l);
  if (l->state == LINK_IDLE)
    {
      l->state = LINK_BUSY;
      /* A failure is told from the loop, by the event that it brings. */
      link_write (l);
      l->sent_any = true;
    }
  link_watch (l);
  return call;
}

int64_t
http_client_idle_until_ms (const struct HttpClient *client, const char *address)
{
  int64_t until_ms = 0;

  for (const struct ServerLink *l = client->links; l != NULL; l = l->next)
    if (l->state == LINK_IDLE && l->due_ms > until_ms && strcmp (l->address, address) == 0)
      until_ms = l->due_ms;
  return until_ms;
}

void
http_client_forget (struct HttpClient *client, const char *address)
{
  struct ServerLink *next;

  for (struct ServerLink *l = client->links; l != NULL; l = next)
    {
      next = l->next;
      if (l->state == LINK_IDLE && strcmp (l->address, address) == 0)
        talloc_free (l);
    }
}

uint64_t
http_client_opened (const struct HttpClient *client)
{
  return client->n_opened;
}
