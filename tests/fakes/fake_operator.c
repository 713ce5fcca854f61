#include "fake_operator.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LOG_BYTES = 16384,
  BODY_BYTES = 8192,
  STATUS_AFTER_LAST_REPLY = 500
};

struct FakeOperator
{
  struct MHD_Daemon *daemon;
  char address[32];
  const struct FakeReply *next;
  pthread_mutex_t mutex; /* guards next and log, which the HTTP server thread uses */
  char log[LOG_BYTES];
};

/* A request whose body is being received. */
struct FakeRequest
{
  char body[BODY_BYTES];
  char url[1024];
};

static void *
begin_request (void *data, const char *url, struct MHD_Connection *connection)
{
  struct FakeRequest *request = calloc (1, sizeof *request);

  (void)data;
  (void)connection;
  if (request != NULL)
    snprintf (request->url, sizeof request->url, "%s", url);
  return request;
}

static void
end_request (void *data,
             struct MHD_Connection *connection,
             void **request,
             enum MHD_RequestTerminationCode code)
{
  (void)data;
  (void)connection;
  (void)code;
  free (*request);
}

static struct FakeReply
log_and_take_reply (struct FakeOperator *fake,
                    const char *method,
                    const struct FakeRequest *request,
                    const char *authorization)
{
  struct FakeReply reply;
  size_t n;

  pthread_mutex_lock (&fake->mutex);
  n = strlen (fake->log);
  snprintf (fake->log + n, sizeof fake->log - n, "%s %s%s%s%s%s%s\n", method, request->url,
            request->body[0] != '\0' ? " " : "", request->body, authorization != NULL ? " (" : "",
            authorization != NULL ? authorization : "", authorization != NULL ? ")" : "");
  reply = *fake->next;
  if (reply.body != NULL)
    fake->next++;
  else
    reply.status = STATUS_AFTER_LAST_REPLY;
  pthread_mutex_unlock (&fake->mutex);
  return reply;
}

static enum MHD_Result
send_reply (struct MHD_Connection *connection, const struct FakeReply *reply)
{
  const char *body = reply->body != NULL ? reply->body : "";
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (body), (void *)body, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (connection, reply->status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle_request (void *data,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *upload,
                size_t *upload_bytes,
                void **context)
{
  struct FakeOperator *fake = data;
  struct FakeRequest *request = *context;
  struct FakeReply reply;
  size_t n;

  (void)url;
  (void)version;
  if (request == NULL)
    return MHD_NO;
  if (*upload_bytes > 0)
    {
      n = strlen (request->body);
      snprintf (request->body + n, sizeof request->body - n, "%.*s", (int)*upload_bytes, upload);
      *upload_bytes = 0;
      return MHD_YES;
    }
  /* libmicrohttpd calls the handler once before the body. */
  if (strcmp (method, "POST") == 0 && request->body[0] == '\0')
    return MHD_YES;
  reply = log_and_take_reply (
      fake, method, request,
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION));
  return reply.status == 0 ? MHD_NO : send_reply (connection, &reply);
}

static int
fake_operator_free (struct FakeOperator *fake)
{
  if (fake->daemon != NULL)
    MHD_stop_daemon (fake->daemon);
  pthread_mutex_destroy (&fake->mutex);
  return 0;
}

struct FakeOperator *
fake_operator_new (TALLOC_CTX *ctx, const struct FakeReply *replies)
{
  struct FakeOperator *fake = talloc_zero (ctx, struct FakeOperator);
  const union MHD_DaemonInfo *info;
  struct sockaddr_in loopback = { .sin_family = AF_INET };

  if (fake == NULL)
    return NULL;
  loopback.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fake->next = replies;
  pthread_mutex_init (&fake->mutex, NULL);
  talloc_set_destructor (fake, fake_operator_free);
  fake->daemon =
      MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle_request, fake,
                        MHD_OPTION_SOCK_ADDR, &loopback, MHD_OPTION_URI_LOG_CALLBACK, begin_request,
                        fake, MHD_OPTION_NOTIFY_COMPLETED, end_request, fake, MHD_OPTION_END);
  info =
      fake->daemon != NULL ? MHD_get_daemon_info (fake->daemon, MHD_DAEMON_INFO_BIND_PORT) : NULL;
  if (info == NULL)
    {
      talloc_free (fake);
      return NULL;
    }
  snprintf (fake->address, sizeof fake->address, "127.0.0.1:%u", info->port);
  return fake;
}

const char *
fake_operator_address (const struct FakeOperator *fake)
{
  return fake->address;
}

char *
fake_operator_log (struct FakeOperator *fake, TALLOC_CTX *ctx)
{
  char *log;

  pthread_mutex_lock (&fake->mutex);
  log = talloc_strdup (ctx, fake->log);
  pthread_mutex_unlock (&fake->mutex);
  return log;
}
