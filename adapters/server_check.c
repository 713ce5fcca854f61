#include "http_client_internal.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  CHECK_TIMEOUT_MS = 100, /* for a server's response to a new connection */
  /* A process that ends closes its connections within this. */
  CHECK_SETTLE_MS = 20,
  /* The server has not advertised yet for how long it keeps the new connection. */
  UNUSED_IDLE_MAX_MS = 500
};

/* Returns whether the server has not closed the connection, as far as was received. */
static bool
connection_is_open (const struct ServerConnection *c)
{
  char byte;
  ssize_t n = recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

static int
check_free (struct HttpServerCheck *check)
{
  if (check->connection != NULL)
    talloc_free (check->connection);
  return 0;
}

static void
check_finish (struct HttpServerCheck *check, enum HttpServerState state)
{
  check->done (check->data, state);
  talloc_free (check);
}

/* Returns whether an established connection to the server is open. */
static bool
check_finds_connection (const struct HttpServerCheck *check)
{
  for (const struct ServerConnection *c = check->client->connections; c != NULL; c = c->next)
    if (c != check->connection && strcmp (c->address, check->address) == 0
        && (c->state == CONNECTION_IDLE || (c->state == CONNECTION_BUSY && c->call != NULL))
        && connection_is_open (c))
      return true;
  return false;
}

static void
check_on_timeout (void *data)
{
  struct HttpServerCheck *check = data;

  check_finish (check, check_finds_connection (check) ? HTTP_SERVER_RUNNING : check->state);
}

static void
check_wait (struct HttpServerCheck *check, enum HttpServerState state, uint32_t wait_ms)
{
  TALLOC_FREE (check->timer);
  check->state = state;
  check->timer =
      timer_subscribe (check, check->client->timers, wait_ms, 0, check_on_timeout, check);
}

/* The server may refuse new connections while it is full. */
static void
check_wait_for_ends (struct HttpServerCheck *check)
{
  check->connection = NULL;
  check_wait (check, HTTP_SERVER_ENDED, CHECK_SETTLE_MS);
}

void
check_on_accepted (struct ServerConnection *c)
{
  struct HttpServerCheck *check = c->check;
  uint32_t idle_ms = c->client->options.idle_max_ms;

  c->check = NULL;
  check->connection = NULL;
  c->state = CONNECTION_IDLE;
  c->deadline_ms = c->connected_ms + (idle_ms < UNUSED_IDLE_MAX_MS ? idle_ms : UNUSED_IDLE_MAX_MS);
  connection_update_watch (c);
  check_finish (check, HTTP_SERVER_RUNNING);
}

void
check_on_refused (struct ServerConnection *c)
{
  struct HttpServerCheck *check = c->check;

  c->check = NULL;
  connection_close (c, HTTP_END_NOT_SENT);
  check_wait_for_ends (check);
}

struct HttpServerCheck *
http_client_check_server (struct HttpClient *client,
                          const char *address,
                          uint32_t connections_max,
                          HttpServerCheckFn done,
                          void *data)
{
  struct HttpServerCheck *check = talloc_zero (client, struct HttpServerCheck);
  uint32_t limit = connections_max > 0 ? connections_max : client->options.per_address_max;

  if (check == NULL)
    return NULL;
  check->client = client;
  snprintf (check->address, sizeof check->address, "%s", address);
  check->done = done;
  check->data = data;
  talloc_set_destructor (check, check_free);
  if (client_count_connections (client, address) < limit)
    check->connection = connection_new (client, address, CHECK_TIMEOUT_MS);
  if (check->connection == NULL)
    {
      check_wait_for_ends (check);
      return check;
    }
  check->connection->check = check;
  /* Also for reading: tevent does not report errors of a socket that waits for writing alone. */
  connection_update_watch (check->connection);
  check_wait (check, HTTP_SERVER_UNKNOWN, CHECK_TIMEOUT_MS);
  return check;
}
