#include <buckthornhead/caller_http.h>

#include <buckthornhead/caller_memory.h>
#include <buckthornhead/clock.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/net_socket.h>
#include <buckthornhead/process_limits.h>
#include <buckthornhead/snapshot.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  ACCEPT_BACKLOG = 1024,
  OPERATOR_CONNECTIONS_MAX = 100,
  DISCARD_MS = 1000,             /* time for the rest of a refused request to arrive */
  ELSEWHERE_RETRY_AFTER_MS = 50, /* short: another instance can serve the request at once */
  CONNECTION_EXTRA_MEMORY_BYTES = 16 * 1024 /* per connection, besides the headers */
};

struct CallerHttp
{
  const struct Settings *settings;
  struct DescriptorShares shares;
  struct Mailbox *core;
  struct CallerMemory *memory; /* NULL: not bounded */
  struct MHD_Daemon *caller_daemon;
  struct MHD_Daemon *operator_daemon;
  _Atomic bool closing;
};

const char *
ran_name (enum RanState ran)
{
  switch (ran)
    {
    case RAN_NO:
      return "not_run";
    case RAN_YES:
      return "ran";
    case RAN_MAYBE:
      return "may_have_run";
    }
  return "may_have_run";
}

uint32_t
error_http_status (int32_t error)
{
  switch (error)
    {
    case ERROR_INVALID:
      return 400;
    case ERROR_UNAUTHORIZED:
      return 401;
    case ERROR_NOT_FOUND:
      return 404;
    case ERROR_TIMEOUT:
      return 504;
    case ERROR_CONFLICT:
    case ERROR_OUT_OF_ORDER:
    case ERROR_UNKNOWN_CALL:
    case ERROR_ENDED:
    case ERROR_MAY_HAVE_RUN:
      return 409;
    case ERROR_BUDGET:
      return 402;
    case ERROR_TOO_LARGE:
      return 413;
    case ERROR_QUARANTINED:
      return 422;
    case ERROR_RATE_LIMITED:
    case ERROR_OVERLOADED:
      return 429;
    case ERROR_BACKEND:
      return 502;
    case ERROR_NO_MEMORY:
    case ERROR_IO:
      return 500;
    default:
      return 503;
    }
}

char *
error_json (TALLOC_CTX *ctx,
            const struct Fault *fault,
            enum RanState ran,
            uint32_t retry_after_ms,
            uint64_t expected_sequence)
{
  json_t *error = json_pack ("{s:s,s:s,s:s,s:s}", "kind", error_name (fault->error), "message",
                             fault->message, "remedy", fault->remedy, "ran", ran_name (ran));
  json_t *response = json_object ();
  char *text, *copy;

  if (retry_after_ms > 0)
    json_object_set_new (error, "retry_after_ms", json_integer (retry_after_ms));
  if (expected_sequence > 0)
    json_object_set_new (error, "expected_sequence", json_integer ((json_int_t)expected_sequence));
  json_object_set_new (response, "error", error);
  text = json_dumps (response, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (response);
  return copy;
}

static enum MHD_Result
queue_json_response (struct MHD_Connection *connection, uint32_t status, const char *json)
{
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (json), (void *)json, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result queued;

  MHD_add_response_header (response, "Content-Type", "application/json");
  queued = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return queued;
}

static enum MHD_Result
queue_error_response (struct MHD_Connection *connection, uint32_t status, const struct Fault *fault)
{
  char *json = error_json (NULL, fault, RAN_NO, 0, 0);
  enum MHD_Result queued = queue_json_response (connection, status, json);

  counter_add (COUNTER_CALLS_REFUSED, 1);
  talloc_free (json);
  return queued;
}

static const char *
connection_header (void *data, const char *name)
{
  return MHD_lookup_connection_value (data, MHD_HEADER_KIND, name);
}

static const char *
connection_query (void *data, const char *name)
{
  return MHD_lookup_connection_value (data, MHD_GET_ARGUMENT_KIND, name);
}

/* Sets the status to reject the request with once the rest of its body has arrived. */
static void
exchange_refuse (struct Exchange *exchange, uint32_t status)
{
  exchange->early_status = status;
  exchange->refused_ms = clock_monotonic_ms ();
  TALLOC_FREE (exchange->body);
  exchange->body_bytes = 0;
  exchange->body_size = 0;
  caller_memory_drop_body (exchange);
}

/* Makes room for a body of n_bytes and its terminating NUL. Returns false without memory. */
static bool
exchange_resize_body (struct CallerHttp *http, struct Exchange *exchange, size_t n_bytes)
{
  size_t size = held_memory_grown_size (n_bytes, http->settings->body_max_bytes);
  uint8_t *resized;

  if (n_bytes + 1 <= exchange->body_size)
    return true;
  if (!caller_memory_reserve (exchange, size + 1 - exchange->body_size, n_bytes))
    return false;
  resized = held_memory_resize (exchange, exchange->body, size + 1);
  if (resized == NULL)
    return false;
  exchange->body = resized;
  exchange->body_size = size + 1;
  return true;
}

/* Appends a piece of the request's body, or refuses the request: when the body is too large, when
 * the request has exceeded its timeout, or without memory. */
static void
exchange_append_body (struct CallerHttp *http,
                      struct Exchange *exchange,
                      const char *bytes,
                      size_t n_bytes)
{
  size_t total_bytes = exchange->body_bytes + n_bytes;

  caller_memory_record (exchange, n_bytes);
  /* The timeout covers the whole request, not the gap between two reads: otherwise a client that
   * sends single bytes slowly would occupy its connection, and a connection slot, forever. */
  if (clock_monotonic_ms () - exchange->started_ms > http->settings->request_timeout_ms)
    exchange_refuse (exchange, MHD_HTTP_REQUEST_TIMEOUT);
  else if (total_bytes > http->settings->body_max_bytes)
    exchange_refuse (exchange, MHD_HTTP_CONTENT_TOO_LARGE);
  else if (!exchange_resize_body (http, exchange, total_bytes))
    exchange_refuse (exchange, MHD_HTTP_TOO_MANY_REQUESTS);
  if (exchange->early_status != 0)
    return;
  memcpy (exchange->body + exchange->body_bytes, bytes, n_bytes);
  exchange->body_bytes = total_bytes;
  exchange->body[total_bytes] = '\0';
}

/* Discards a piece of the body of a refused request. Returns false when the connection is to be
 * closed without a response: the rest would take too long or is too large. */
static bool
exchange_discard (struct CallerHttp *http, struct Exchange *exchange, size_t n_bytes)
{
  exchange->n_discarded += n_bytes;
  return exchange->n_discarded <= http->settings->body_max_bytes
         && clock_monotonic_ms () - exchange->refused_ms <= DISCARD_MS;
}

/* Rejects a request that another instance can serve at once; see caller_request_is_first for
 * is_first. */
static enum MHD_Result
queue_elsewhere_response (struct MHD_Connection *connection,
                          bool is_first,
                          const struct Fault *fault)
{
  char *json = error_json (NULL, fault, is_first ? RAN_NO : RAN_MAYBE, ELSEWHERE_RETRY_AFTER_MS, 0);
  enum MHD_Result queued = queue_json_response (connection, error_http_status (fault->error), json);

  talloc_free (json);
  return queued;
}

/* Rejects a request because the listener is about to close. */
static enum MHD_Result
queue_draining_response (struct Exchange *exchange, struct MHD_Connection *connection)
{
  struct Fault fault;

  fault_set (&fault, ERROR_DRAINING, NULL, "this instance is shutting down");
  return queue_elsewhere_response (connection, exchange->request.first_attempt, &fault);
}

/* Rejects a request because the process is short of memory. */
static enum MHD_Result
queue_short_response (struct MHD_Connection *connection)
{
  struct Fault fault;

  counter_add (COUNTER_CALLS_REFUSED, 1);
  fault_set (&fault, ERROR_OVERLOADED, "try again, here or at another instance",
             "this instance is short of memory for requests");
  return queue_elsewhere_response (connection,
                                   caller_request_is_first (connection_header, connection), &fault);
}

static enum MHD_Result
exchange_queue_early_error (struct Exchange *exchange, struct MHD_Connection *connection)
{
  struct Fault fault;

  if (exchange->early_status == MHD_HTTP_TOO_MANY_REQUESTS)
    return queue_short_response (connection);
  if (exchange->early_status == MHD_HTTP_REQUEST_TIMEOUT)
    fault_set (&fault, ERROR_TIMEOUT, "send the request faster",
               "the request was not received within the request timeout");
  else
    fault_set (&fault, ERROR_TOO_LARGE, NULL,
               "the request body exceeds this instance's size limit");
  return queue_error_response (connection, exchange->early_status, &fault);
}

/* Posts the exchange to the core and suspends the connection until the response begins. */
static enum MHD_Result
exchange_post (struct CallerHttp *http,
               struct Exchange *exchange,
               struct MHD_Connection *connection)
{
  /* Counted before the flag is read: the closing thread sets the flag, then waits until the count
   * is zero. */
  exchange_note_posted ();
  if (atomic_load (&http->closing))
    {
      exchange_note_refused ();
      return queue_draining_response (exchange, connection);
    }
  exchange->connection = connection;
  caller_memory_post (exchange);
  exchange->posted = true;
  exchange->suspended = true;
  exchange->references++;
  MHD_suspend_connection (connection);
  mailbox_post (http->core, &exchange->mail);
  return MHD_YES;
}

static enum MHD_Result
caller_queue_connect_response (struct CallerHttp *http, struct MHD_Connection *connection)
{
  const char *program = connection_query (connection, "program");
  const char *zone = connection_query (connection, "zone");
  char *json = snapshot_rank (NULL, program != NULL ? program : "",
                              zone != NULL ? zone : http->settings->zone);
  enum MHD_Result queued = queue_json_response (connection, MHD_HTTP_OK, json);

  talloc_free (json);
  return queued;
}

static enum MHD_Result
caller_on_complete (struct CallerHttp *http,
                    struct Exchange *exchange,
                    struct MHD_Connection *connection,
                    const char *method,
                    const char *path)
{
  struct Fault fault;
  int32_t error;

  if (exchange->early_status != 0)
    return exchange_queue_early_error (exchange, connection);
  if (strcmp (method, "GET") == 0 && strcmp (path, "/v1/connect") == 0)
    return caller_queue_connect_response (http, connection);
  error = caller_request_parse (exchange, http->settings, method, path, connection_header,
                                connection_query, connection, &fault);
  if (error != ERROR_NONE)
    return queue_error_response (connection, error_http_status (error), &fault);
  return exchange_post (http, exchange, connection);
}

static bool
operator_is_allowed (const struct Settings *settings, struct MHD_Connection *connection)
{
  const char *given = connection_header (connection, "Authorization");
  char expected[160];
  volatile uint8_t differs = 0;

  if (settings->operator_token[0] == '\0')
    return true;
  snprintf (expected, sizeof expected, "Bearer %s", settings->operator_token);
  if (given == NULL || strlen (given) != strlen (expected))
    return false;
  /* Compares in constant time: an early exit would reveal the length of the matching prefix. */
  for (size_t i = 0; expected[i] != '\0'; i++)
    differs |= (uint8_t)(given[i] ^ expected[i]);
  return differs == 0;
}

static enum MHD_Result
operator_queue_metrics (struct MHD_Connection *connection)
{
  char *text = counter_render (NULL);
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result queued;

  MHD_add_response_header (response, "Content-Type", "text/plain; version=0.0.4");
  queued = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  talloc_free (text);
  return queued;
}

static enum MHD_Result
operator_on_complete (struct CallerHttp *http,
                      struct Exchange *exchange,
                      struct MHD_Connection *connection,
                      const char *method,
                      const char *path)
{
  struct Fault fault;
  const char *name = connection_query (connection, "service");

  if (exchange->early_status != 0)
    return exchange_queue_early_error (exchange, connection);
  if (strcmp (path, "/metrics") == 0)
    return operator_queue_metrics (connection);
  if (!operator_is_allowed (http->settings, connection))
    {
      fault_set (&fault, ERROR_UNAUTHORIZED, NULL, "the operators' token is missing or invalid");
      return queue_error_response (connection, MHD_HTTP_UNAUTHORIZED, &fault);
    }
  if (name == NULL)
    name = connection_query (connection, "name");
  snprintf (exchange->method, sizeof exchange->method, "%s", method);
  snprintf (exchange->path, sizeof exchange->path, "%s", path);
  snprintf (exchange->query_name, sizeof exchange->query_name, "%s", name != NULL ? name : "");
  return exchange_post (http, exchange, connection);
}

/* Returns the size of the buffer that libmicrohttpd allocates for a connection. */
static size_t
connection_memory_bytes (const struct Settings *settings)
{
  return (size_t)settings->header_max_bytes + CONNECTION_EXTRA_MEMORY_BYTES;
}

static int
connection_socket (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return info != NULL ? info->connect_fd : -1;
}

/* Returns the value of Content-Length, which libmicrohttpd has checked; 0 if there is none. */
static uint64_t
announced_body_bytes (struct MHD_Connection *connection)
{
  const char *value = connection_header (connection, MHD_HTTP_HEADER_CONTENT_LENGTH);

  return value != NULL ? strtoull (value, NULL, 10) : 0;
}

/* Handles a complete request of a listener. */
typedef enum MHD_Result (*CompleteFn) (struct CallerHttp *http,
                                       struct Exchange *exchange,
                                       struct MHD_Connection *connection,
                                       const char *method,
                                       const char *path);

/* Called by libmicrohttpd for a request's head, for each piece of its body, and again once the core
 * has resumed the connection. */
static enum MHD_Result
listener_handle_request (struct CallerHttp *http,
                         enum ExchangeKind kind,
                         CompleteFn on_complete,
                         struct MHD_Connection *connection,
                         const char *path,
                         const char *method,
                         const char *upload,
                         size_t *upload_bytes,
                         void **state)
{
  struct Exchange *exchange = *state;

  if (exchange == NULL)
    {
      exchange = exchange_new (kind);
      if (exchange == NULL)
        return MHD_NO;
      exchange->started_ms = clock_monotonic_ms ();
      *state = exchange;
      caller_memory_add (http->memory, exchange, connection_socket (connection),
                         connection_memory_bytes (http->settings));
      /* A body that is a little too large is discarded, and its connection stays usable. */
      if (announced_body_bytes (connection) <= 2 * (uint64_t)http->settings->body_max_bytes)
        return MHD_YES;
      exchange_refuse (exchange, MHD_HTTP_CONTENT_TOO_LARGE);
      return exchange_queue_early_error (exchange, connection);
    }
  if (exchange->posted)
    return exchange_queue_response (exchange, connection);
  if (*upload_bytes > 0)
    {
      size_t n_bytes = *upload_bytes;

      *upload_bytes = 0;
      if (exchange->early_status != 0)
        return exchange_discard (http, exchange, n_bytes) ? MHD_YES : MHD_NO;
      exchange_append_body (http, exchange, upload, n_bytes);
      return MHD_YES;
    }
  return on_complete (http, exchange, connection, method, path);
}

static enum MHD_Result
caller_on_request (void *data,
                   struct MHD_Connection *connection,
                   const char *path,
                   const char *method,
                   const char *version,
                   const char *upload,
                   size_t *upload_bytes,
                   void **state)
{
  (void)version;
  return listener_handle_request (data, EXCHANGE_CALLER, caller_on_complete, connection, path,
                                  method, upload, upload_bytes, state);
}

static enum MHD_Result
operator_on_request (void *data,
                     struct MHD_Connection *connection,
                     const char *path,
                     const char *method,
                     const char *version,
                     const char *upload,
                     size_t *upload_bytes,
                     void **state)
{
  (void)version;
  return listener_handle_request (data, EXCHANGE_OPERATOR, operator_on_complete, connection, path,
                                  method, upload, upload_bytes, state);
}

static void
on_request_completed (void *data,
                      struct MHD_Connection *connection,
                      void **state,
                      enum MHD_RequestTerminationCode code)
{
  struct CallerHttp *http = data;
  struct Exchange *exchange = *state;

  (void)connection;
  if (exchange == NULL)
    return;
  *state = NULL;
  atomic_store (&exchange->closed, true);
  caller_memory_remove (exchange);
  if (exchange->posted && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    {
      struct DisconnectMail *mail = talloc_zero (NULL, struct DisconnectMail);

      if (mail != NULL)
        {
          /* Transfers the HTTP thread's reference to the mail. */
          mail->mail.kind = MAIL_CALLER_DISCONNECTED;
          mail->exchange = exchange;
          mailbox_post (http->core, &mail->mail);
          return;
        }
    }
  exchange_release (exchange);
}

static uint32_t
lesser (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static struct MHD_Daemon *
listener_open (struct CallerHttp *http,
               const char *address,
               MHD_AccessHandlerCallback on_request,
               uint32_t threads,
               uint32_t connections,
               struct Fault *fault)
{
  const struct Settings *settings = http->settings;
  struct sockaddr_in bind_to = { .sin_family = AF_INET };
  struct MHD_Daemon *daemon;
  char ip[46];
  uint16_t port;
  uint32_t pool = lesser (threads, connections);

  if (address_parse (address, ip, &port) != ERROR_NONE
      || inet_pton (AF_INET, ip, &bind_to.sin_addr) != 1)
    {
      fault_set (fault, ERROR_INVALID, "set it to IP:port in [listen]", "invalid address %s",
                 address);
      return NULL;
    }
  bind_to.sin_port = htons (port);
  daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL, on_request, http,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&bind_to, MHD_OPTION_NOTIFY_COMPLETED,
      on_request_completed, http, MHD_OPTION_THREAD_POOL_SIZE, pool > 1 ? pool : 0,
      MHD_OPTION_CONNECTION_LIMIT, connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (settings->request_timeout_ms + 999) / 1000, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      connection_memory_bytes (settings), MHD_OPTION_LISTEN_BACKLOG_SIZE,
      (unsigned int)ACCEPT_BACKLOG, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (daemon == NULL)
    fault_set (fault, error_from_errno (errno),
               "stop the process that uses the address, or change [listen]",
               "cannot listen on %s: %s", address, strerror (errno));
  return daemon;
}

static int32_t
caller_http_bound_memory (struct CallerHttp *http, struct Fault *fault)
{
  uint64_t max_bytes = process_held_max_bytes (http->settings->held_memory_bytes);

  if (max_bytes == 0)
    return ERROR_NONE;
  http->memory = caller_memory_new (http, max_bytes);
  if (http->memory == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory");
  process_limits_log_held (max_bytes);
  return ERROR_NONE;
}

int32_t
caller_http_open (TALLOC_CTX *ctx,
                  const struct Settings *settings,
                  struct Mailbox *core,
                  struct CallerHttp **opened,
                  struct Fault *fault)
{
  /* The threads of libmicrohttpd leave connections beyond their limit pending, but spin when they
   * cannot accept for lack of descriptors. */
  const struct DescriptorShares wanted = { .callers = settings->connections_max,
                                           .operators = OPERATOR_CONNECTIONS_MAX };
  struct CallerHttp *http = talloc_zero (ctx, struct CallerHttp);

  if (http == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory");
  http->settings = settings;
  http->core = core;
  if (process_limits_divide (&wanted, &http->shares, fault) != ERROR_NONE
      || caller_http_bound_memory (http, fault) != ERROR_NONE)
    goto fail;
  /* Both addresses are checked before a listener accepts requests: one that waits for the core must
   * not exist when the listener is closed again. */
  if (net_check_listen (settings->caller_listen, "[listen] caller", fault) != ERROR_NONE
      || net_check_listen (settings->operator_listen, "[listen] operator", fault) != ERROR_NONE)
    goto fail;
  http->operator_daemon = listener_open (http, settings->operator_listen, operator_on_request, 1,
                                         http->shares.operators, fault);
  if (http->operator_daemon == NULL)
    goto fail;
  http->caller_daemon = listener_open (http, settings->caller_listen, caller_on_request,
                                       settings->caller_threads, http->shares.callers, fault);
  if (http->caller_daemon == NULL)
    goto fail;
  *opened = http;
  return ERROR_NONE;

fail:
  caller_http_close (http);
  return fault->error;
}

void
caller_http_reject_new (struct CallerHttp *http)
{
  atomic_store (&http->closing, true);
}

void
caller_http_close (struct CallerHttp *http)
{
  if (http->caller_daemon != NULL)
    MHD_stop_daemon (http->caller_daemon);
  if (http->operator_daemon != NULL)
    MHD_stop_daemon (http->operator_daemon);
  talloc_free (http);
}
