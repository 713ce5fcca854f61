#include "http_server.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BACKLOG = 1024,
  CONNECTIONS_MAX = 4096,
  STACK_BYTES = 256 * 1024
};

void
standin_block_signals (void)
{
  sigset_t signals;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
}

static int
standin_wait_for_signal (void)
{
  sigset_t signals;
  int received;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  return sigwait (&signals, &received);
}

static bool
standin_append_body (struct StandinRequest *request, const char *bytes, size_t n_bytes)
{
  char *body = realloc (request->body, request->body_bytes + n_bytes + 1);

  if (body == NULL)
    return false;
  memcpy (body + request->body_bytes, bytes, n_bytes);
  request->body = body;
  request->body_bytes += n_bytes;
  body[request->body_bytes] = '\0';
  return true;
}

static enum MHD_Result
standin_on_request (void *data,
                    struct MHD_Connection *connection,
                    const char *url,
                    const char *method,
                    const char *version,
                    const char *upload,
                    size_t *upload_bytes,
                    void **per_request)
{
  const struct StandinService *service = data;
  struct StandinRequest *request = *per_request;

  (void)version;
  if (request == NULL)
    {
      request = calloc (1, sizeof *request);
      if (request == NULL || !standin_append_body (request, "", 0))
        {
          free (request);
          return MHD_NO;
        }
      request->connection = connection;
      *per_request = request;
      return MHD_YES;
    }
  request->method = method;
  request->path = url;
  if (*upload_bytes > 0)
    {
      bool appended = standin_append_body (request, upload, *upload_bytes);

      *upload_bytes = 0;
      return appended ? MHD_YES : MHD_NO;
    }
  return service->handle (service->data, request);
}

static void
standin_on_finished (void *data,
                     struct MHD_Connection *connection,
                     void **per_request,
                     enum MHD_RequestTerminationCode code)
{
  const struct StandinService *service = data;
  struct StandinRequest *request = *per_request;

  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  if (service->finished != NULL)
    service->finished (service->data, request);
  free (request->body);
  free (request);
  *per_request = NULL;
}

static bool
standin_parse_address (const char *listen, struct sockaddr_in *address)
{
  char ip[INET_ADDRSTRLEN] = "";
  unsigned port = 0;

  memset (address, 0, sizeof *address);
  /* NOLINTNEXTLINE(cert-err34-c) */
  if (sscanf (listen, "%15[0-9.]:%u", ip, &port) != 2 || port > UINT16_MAX)
    return false;
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

static void
standin_print_address (struct MHD_Daemon *daemon, const struct sockaddr_in *address)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT);
  char ip[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &address->sin_addr, ip, sizeof ip);
  printf ("{\"listen\":\"%s:%u\"}\n", ip, info != NULL ? (unsigned)info->port : 0);
  fflush (stdout);
}

int
standin_serve (const char *listen, const struct StandinService *service)
{
  struct MHD_Daemon *daemon;
  struct sockaddr_in address;

  if (!standin_parse_address (listen, &address))
    {
      fprintf (stderr, "--listen %s: expected IP:PORT\n", listen);
      return 2;
    }
  daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL, NULL,
      standin_on_request, (void *)service, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)BACKLOG, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED, standin_on_finished,
      (void *)service, MHD_OPTION_END);
  if (daemon == NULL)
    {
      fprintf (stderr, "--listen %s: cannot listen; is the port in use?\n", listen);
      return 1;
    }
  standin_print_address (daemon, &address);
  standin_wait_for_signal ();
  /* Not MHD_stop_daemon: it would wait for requests that hang because of a fault. */
  _exit (0);
}

enum MHD_Result
standin_reply_json (struct StandinRequest *request, uint32_t status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_PRESERVE_ORDER);
  struct MHD_Response *response;
  enum MHD_Result result;

  json_decref (json);
  if (text == NULL)
    return MHD_NO;
  response = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static const char *
standin_value (const struct StandinRequest *request, enum MHD_ValueKind kind, const char *name)
{
  const char *value = MHD_lookup_connection_value (request->connection, kind, name);

  return value != NULL ? value : "";
}

const char *
standin_header (const struct StandinRequest *request, const char *name)
{
  return standin_value (request, MHD_HEADER_KIND, name);
}

const char *
standin_argument (const struct StandinRequest *request, const char *name)
{
  return standin_value (request, MHD_GET_ARGUMENT_KIND, name);
}

bool
standin_is (const struct StandinRequest *request, const char *method, const char *path)
{
  return strcmp (request->method, method) == 0 && strcmp (request->path, path) == 0;
}

bool
standin_client_closed (const struct StandinRequest *request)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;

  return info != NULL && recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

uint64_t
standin_hash (uint64_t hash, const void *bytes, size_t n_bytes)
{
  const uint8_t *b = bytes;

  for (size_t i = 0; i < n_bytes; i++)
    hash = (hash ^ b[i]) * UINT64_C (0x100000001b3);
  return hash;
}
