#include "platform.h"
#include "platform_gateway.h"
#include "standin.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include <argtable2.h>
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>

enum
{
  BODY_MAX_BYTES = 4 * 1024 * 1024,
  SWEEP_MS = 50,
  CONNECTIONS_MAX = 4096,
  THREAD_STACK_BYTES = 256 * 1024,
  WATCH_BLOCK_BYTES = 64 * 1024,
  CODE_RESOURCE_EXHAUSTED = 8
};

enum DownMode
{
  DOWN_NOT,
  DOWN_REFUSE, /* closes connections without a response */
  DOWN_HANG    /* closes connections without a response once it is up again */
};

/* Token bucket that holds the tokens of one second. */
struct RateLimit
{
  uint32_t per_s; /* 0: no limit */
  double tokens;
  int64_t refilled_ms;
};

struct Platform
{
  struct MHD_Daemon *daemon;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  pthread_t sweeper;
  bool stopping;
  struct Store *store;
  json_t *instances;
  enum DownMode down;
  int64_t down_until_ms; /* INT64_MAX: until POST /control changes it */
  bool instances_down;
  uint32_t slow_ms;
  uint32_t lose_answers; /* number of next writes that are applied without a response */
  uint32_t lose_writes;  /* number of next writes that are dropped without a response */
  struct RateLimit writes_limit, reads_limit;
  uint64_t reads, writes, watches, keepalives, conflicts, limited;
};

/* A request whose body is being received. */
struct Upload
{
  char *body;
  size_t n_bytes;
  bool too_large;
};

struct Watch
{
  struct Platform *platform;
  struct GatewayWatch position;
  TALLOC_CTX *ctx;
  char *pending;
  size_t pending_bytes, pending_at;
  int fd;
};

static int64_t
clock_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
clock_sleep_ms (uint32_t ms)
{
  struct timespec pause = { ms / 1000, (long)(ms % 1000) * 1000000 };

  nanosleep (&pause, NULL);
}

/* Waits for a change, for at most SWEEP_MS. The caller holds the lock. */
static void
platform_wait (struct Platform *platform)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += (long)SWEEP_MS * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (&platform->changed, &platform->lock, &until);
}

static bool
platform_is_down (struct Platform *platform)
{
  if (platform->down != DOWN_NOT && clock_now_ms () >= platform->down_until_ms)
    platform->down = DOWN_NOT;
  return platform->down != DOWN_NOT;
}

static bool
limit_take_token (struct RateLimit *limit)
{
  int64_t now_ms = clock_now_ms ();

  if (limit->per_s == 0)
    return true;
  limit->tokens += (double)(now_ms - limit->refilled_ms) * limit->per_s / 1000;
  if (limit->tokens > limit->per_s)
    limit->tokens = limit->per_s;
  limit->refilled_ms = now_ms;
  if (limit->tokens < 1)
    return false;
  limit->tokens -= 1;
  return true;
}

static void *
platform_sweep (void *data)
{
  struct Platform *platform = data;

  pthread_mutex_lock (&platform->lock);
  while (!platform->stopping)
    {
      if (store_expire (platform->store, clock_now_ms ()) > 0)
        pthread_cond_broadcast (&platform->changed);
      platform_wait (platform);
    }
  pthread_mutex_unlock (&platform->lock);
  return NULL;
}

static enum MHD_Result
reply_json (struct MHD_Connection *connection, uint32_t status, json_t *reply)
{
  char *text = json_dumps (reply, JSON_COMPACT);
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result = MHD_NO;

  json_decref (reply);
  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
watch_set_pending (struct Watch *watch, json_t *message)
{
  char *text = json_dumps (message, JSON_COMPACT);

  watch->pending = talloc_asprintf (watch->ctx, "%s\n", text);
  watch->pending_bytes = strlen (watch->pending);
  watch->pending_at = 0;
  json_decref (message);
  free (text);
}

static bool
watch_is_closed (const struct Watch *watch)
{
  char byte;
  ssize_t n = recv (watch->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static ssize_t
watch_read (void *data, uint64_t position, char *buffer, size_t max)
{
  struct Watch *watch = data;
  struct Platform *platform = watch->platform;
  size_t n = 0;
  bool ended = false;

  (void)position;
  pthread_mutex_lock (&platform->lock);
  while (watch->pending == NULL && !ended)
    {
      json_t *message = gateway_watch_next (platform->store, &watch->position);

      if (message != NULL)
        watch_set_pending (watch, message);
      else
        platform_wait (platform);
      ended = platform->stopping || platform_is_down (platform) || watch_is_closed (watch);
    }
  pthread_mutex_unlock (&platform->lock);
  if (ended)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  n = watch->pending_bytes - watch->pending_at;
  if (n > max)
    n = max;
  memcpy (buffer, watch->pending + watch->pending_at, n);
  watch->pending_at += n;
  if (watch->pending_at == watch->pending_bytes)
    TALLOC_FREE (watch->pending);
  return (ssize_t)n;
}

static void
watch_free (void *data)
{
  struct Watch *watch = data;

  talloc_free (watch->ctx);
}

static enum MHD_Result
platform_watch (struct Platform *platform, struct MHD_Connection *connection, json_t *request)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Watch *watch = talloc_zero (ctx, struct Watch);
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct MHD_Response *response = NULL;
  enum MHD_Result result = MHD_NO;
  bool valid = false;

  watch->platform = platform;
  watch->ctx = ctx;
  watch->fd = info->connect_fd;
  pthread_mutex_lock (&platform->lock);
  platform->watches++;
  valid = gateway_watch_parse (ctx, platform->store, request, &watch->position);
  watch_set_pending (watch, gateway_watch_created (platform->store));
  pthread_mutex_unlock (&platform->lock);
  if (!valid)
    {
      talloc_free (ctx);
      return reply_json (connection, 400, gateway_error (3, "create_request is missing"));
    }
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, WATCH_BLOCK_BYTES, watch_read,
                                                watch, watch_free);
  result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

/* Applies the faults "down" and "slow_ms". Returns false when the call gets no response. */
static bool
platform_admit (struct Platform *platform)
{
  uint32_t slow_ms = 0;
  bool down = false;

  pthread_mutex_lock (&platform->lock);
  down = platform_is_down (platform);
  while (platform_is_down (platform) && platform->down == DOWN_HANG && !platform->stopping)
    platform_wait (platform);
  slow_ms = platform->slow_ms;
  pthread_mutex_unlock (&platform->lock);
  if (down)
    return false;
  if (slow_ms > 0)
    clock_sleep_ms (slow_ms);
  return true;
}

/* Counts the call. Returns false when it exceeds its rate limit. */
static bool
platform_within_limit (struct Platform *platform, enum GatewayKind kind)
{
  bool write = kind == GATEWAY_WRITE;
  bool within = limit_take_token (write ? &platform->writes_limit : &platform->reads_limit);

  if (!within)
    platform->limited++;
  else if (write)
    platform->writes++;
  else if (kind == GATEWAY_KEEPALIVE)
    platform->keepalives++;
  else
    platform->reads++;
  return within;
}

static bool
decrement_if_positive (uint32_t *left)
{
  if (*left == 0)
    return false;
  (*left)--;
  return true;
}

static enum MHD_Result
platform_kv_call (struct Platform *platform,
                  struct MHD_Connection *connection,
                  const char *path,
                  json_t *request)
{
  enum GatewayKind kind = gateway_kind (path);
  json_t *reply = NULL;
  uint32_t status = 429;
  bool lose = false;
  bool conflict = false;

  if (!platform_admit (platform))
    return MHD_NO;
  pthread_mutex_lock (&platform->lock);
  if (!platform_within_limit (platform, kind))
    reply = gateway_error (CODE_RESOURCE_EXHAUSTED, "etcdserver: too many requests");
  else if (kind == GATEWAY_WRITE && decrement_if_positive (&platform->lose_writes))
    lose = true;
  else if (kind != GATEWAY_WATCH)
    {
      store_expire (platform->store, clock_now_ms ());
      status = gateway_call (platform->store, path, request, clock_now_ms (), &reply, &conflict);
      lose = kind == GATEWAY_WRITE && decrement_if_positive (&platform->lose_answers);
      platform->conflicts += conflict;
      pthread_cond_broadcast (&platform->changed);
    }
  pthread_mutex_unlock (&platform->lock);
  if (lose)
    {
      json_decref (reply);
      return MHD_NO;
    }
  if (reply == NULL)
    return platform_watch (platform, connection, request);
  return reply_json (connection, status, reply);
}

static void
platform_set_down (struct Platform *platform, const json_t *down)
{
  const char *mode = json_string_value (json_object_get (down, "mode"));
  int64_t ms = json_integer_value (json_object_get (down, "ms"));

  platform->down = DOWN_NOT;
  if (!json_is_object (down))
    return;
  platform->down = mode != NULL && strcmp (mode, "hang") == 0 ? DOWN_HANG : DOWN_REFUSE;
  platform->down_until_ms = ms > 0 ? clock_now_ms () + ms : INT64_MAX;
}

static void
set_count (const json_t *request, const char *name, uint32_t *count)
{
  const json_t *value = json_object_get (request, name);

  if (json_is_integer (value))
    *count = (uint32_t)json_integer_value (value);
}

/* Sets the members that request contains: {"down": {"mode": "refuse" | "hang", "ms": N} | null,
 * "slow_ms", "lose_answers", "lose_writes", "writes_per_s", "reads_per_s", "instances_down"}. "ms"
 * 0 lasts until "down" is set again. */
static void
platform_control (struct Platform *platform, const json_t *request)
{
  const json_t *down = json_object_get (request, "down");
  const json_t *instances_down = json_object_get (request, "instances_down");

  pthread_mutex_lock (&platform->lock);
  if (down != NULL)
    platform_set_down (platform, down);
  if (instances_down != NULL)
    platform->instances_down = json_is_true (instances_down);
  set_count (request, "slow_ms", &platform->slow_ms);
  set_count (request, "lose_answers", &platform->lose_answers);
  set_count (request, "lose_writes", &platform->lose_writes);
  set_count (request, "writes_per_s", &platform->writes_limit.per_s);
  set_count (request, "reads_per_s", &platform->reads_limit.per_s);
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
}

static enum MHD_Result
platform_reply_stats (struct Platform *platform, struct MHD_Connection *connection)
{
  json_t *reply = NULL;

  pthread_mutex_lock (&platform->lock);
  reply = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads", (json_int_t)platform->reads, "writes",
      (json_int_t)platform->writes, "watches", (json_int_t)platform->watches, "keepalives",
      (json_int_t)platform->keepalives, "conflicts", (json_int_t)platform->conflicts, "limited",
      (json_int_t)platform->limited, "revision", (json_int_t)store_revision (platform->store));
  pthread_mutex_unlock (&platform->lock);
  return reply_json (connection, 200, reply);
}

static enum MHD_Result
platform_reply_instances (struct Platform *platform, struct MHD_Connection *connection)
{
  json_t *instances = NULL;
  bool down = false;

  pthread_mutex_lock (&platform->lock);
  down = platform->instances_down;
  instances = json_deep_copy (platform->instances);
  pthread_mutex_unlock (&platform->lock);
  if (!down)
    return reply_json (connection, 200, instances);
  json_decref (instances);
  return MHD_NO;
}

static enum MHD_Result
platform_set_instances (struct Platform *platform,
                        struct MHD_Connection *connection,
                        json_t *instances)
{
  if (!json_is_array (instances))
    return reply_json (connection, 400, gateway_error (3, "the body is not a JSON array"));
  pthread_mutex_lock (&platform->lock);
  json_decref (platform->instances);
  platform->instances = json_incref (instances);
  pthread_mutex_unlock (&platform->lock);
  return reply_json (connection, 200, json_object ());
}

static enum MHD_Result
platform_route (struct Platform *platform,
                struct MHD_Connection *connection,
                const char *method,
                const char *path,
                json_t *request)
{
  bool post = strcmp (method, "POST") == 0;

  if (!post && strcmp (path, "/instances") == 0)
    return platform_reply_instances (platform, connection);
  if (!post && strcmp (path, "/control/stats") == 0)
    return platform_reply_stats (platform, connection);
  if (post && request == NULL)
    return reply_json (connection, 400, gateway_error (3, "the body is not JSON"));
  if (post && strcmp (path, "/control/instances") == 0)
    return platform_set_instances (platform, connection, request);
  if (post && strcmp (path, "/control") == 0)
    {
      platform_control (platform, request);
      return reply_json (connection, 200, json_object ());
    }
  if (post && gateway_kind (path) != GATEWAY_NONE)
    return platform_kv_call (platform, connection, path, request);
  return reply_json (connection, 404, gateway_error (5, "no such path"));
}

static void
upload_add (struct Upload *upload, const char *data, size_t n)
{
  if (upload->n_bytes + n > BODY_MAX_BYTES)
    {
      upload->too_large = true;
      return;
    }
  upload->body = talloc_realloc (upload, upload->body, char, upload->n_bytes + n + 1);
  memcpy (upload->body + upload->n_bytes, data, n);
  upload->n_bytes += n;
}

static enum MHD_Result
platform_on_request (void *data,
                     struct MHD_Connection *connection,
                     const char *path,
                     const char *method,
                     const char *version,
                     const char *upload_data,
                     size_t *upload_bytes,
                     void **state)
{
  struct Upload *upload = *state;
  enum MHD_Result result = MHD_NO;
  json_t *request = NULL;

  (void)version;
  if (upload == NULL)
    {
      *state = talloc_zero (NULL, struct Upload);
      return MHD_YES;
    }
  if (*upload_bytes > 0)
    {
      upload_add (upload, upload_data, *upload_bytes);
      *upload_bytes = 0;
      return MHD_YES;
    }
  if (upload->too_large)
    return reply_json (connection, 413, gateway_error (3, "the body is too large"));
  if (upload->n_bytes > 0)
    request = json_loadb (upload->body, upload->n_bytes, 0, NULL);
  result = platform_route (data, connection, method, path, request);
  json_decref (request);
  return result;
}

static void
platform_on_completed (void *data,
                       struct MHD_Connection *connection,
                       void **state,
                       enum MHD_RequestTerminationCode code)
{
  (void)data;
  (void)connection;
  (void)code;
  talloc_free (*state);
  *state = NULL;
}

static bool
address_parse (const char *text, struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN] = "";
  const char *colon = strrchr (text, ':');
  size_t n = colon != NULL ? (size_t)(colon - text) : 0;

  if (n == 0 || n >= sizeof ip)
    return false;
  memcpy (ip, text, n);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

static void
platform_init_locks (struct Platform *platform)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&platform->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  pthread_mutex_init (&platform->lock, NULL);
}

struct Platform *
platform_start (const struct PlatformOptions *options)
{
  struct Platform *platform = talloc_zero (NULL, struct Platform);
  struct sockaddr_in address = { 0 };

  platform->store = store_new (platform);
  platform->writes_limit.per_s = options->writes_per_s;
  platform->reads_limit.per_s = options->reads_per_s;
  platform->instances = options->instances_file != NULL
                            ? json_load_file (options->instances_file, 0, NULL)
                            : json_array ();
  platform_init_locks (platform);
  if (!json_is_array (platform->instances) || !address_parse (options->listen, &address))
    goto fail;
  platform->daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
      platform_on_request, platform, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, platform_on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (platform->daemon == NULL)
    goto fail;
  pthread_create (&platform->sweeper, NULL, platform_sweep, platform);
  return platform;

fail:
  json_decref (platform->instances);
  talloc_free (platform);
  return NULL;
}

uint16_t
platform_port (const struct Platform *platform)
{
  return MHD_get_daemon_info (platform->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
platform_stop (struct Platform *platform)
{
  pthread_mutex_lock (&platform->lock);
  platform->stopping = true;
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
  pthread_join (platform->sweeper, NULL);
  MHD_stop_daemon (platform->daemon);
  json_decref (platform->instances);
  pthread_cond_destroy (&platform->changed);
  pthread_mutex_destroy (&platform->lock);
  talloc_free (platform);
}

static int32_t
platform_serve (const struct PlatformOptions *options)
{
  struct Platform *platform = NULL;
  sigset_t stop;
  int signal_number = 0;

  sigemptyset (&stop);
  sigaddset (&stop, SIGINT);
  sigaddset (&stop, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &stop, NULL);
  platform = platform_start (options);
  if (platform == NULL)
    {
      fprintf (stderr, "platform: cannot listen on %s, or the instances file is not a JSON array\n",
               options->listen);
      return 1;
    }
  printf ("platform: listening on port %u\n", (unsigned)platform_port (platform));
  fflush (stdout);
  sigwait (&stop, &signal_number);
  platform_stop (platform);
  return 0;
}

int32_t
platform_run (int argc, char **argv)
{
  struct arg_str *listen_on = arg_str1 (NULL, "listen", "IP:PORT", "where to listen");
  struct arg_int *writes = arg_int0 (NULL, "writes-per-second", "N", "429 above this rate");
  struct arg_int *reads = arg_int0 (NULL, "reads-per-second", "N", "429 above this rate");
  struct arg_str *instances = arg_str0 (NULL, "instances", "FILE", "list of backend servers");
  struct arg_end *end = arg_end (8);
  void *table[] = { listen_on, writes, reads, instances, end };
  struct PlatformOptions options = { 0 };
  int32_t status = 2;

  writes->ival[0] = 0;
  reads->ival[0] = 0;
  instances->sval[0] = NULL;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      goto out;
    }
  options.listen = listen_on->sval[0];
  options.writes_per_s = (uint32_t)writes->ival[0];
  options.reads_per_s = (uint32_t)reads->ival[0];
  options.instances_file = instances->sval[0];
  status = platform_serve (&options);

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
