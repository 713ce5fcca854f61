#include "crowd.h"

#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  HEAD_MAX_BYTES = 1024,
  BLOCK_BYTES = 64 * 1024, /* pieces are sent in blocks of at least this size */
  ROUND_MS = 100,
  RECEIVE_BUFFER_BYTES = 4096, /* of clients that do not read everything at once */
  PLAY_MAX_MS = 60 * 1000,
  RETURNING_MS = 3000 /* clients that return have always something to send */
};

struct Client
{
  int fd; /* -1: disconnected */
  char head[HEAD_MAX_BYTES];
  size_t head_bytes;
  uint64_t n_sent; /* of head, pieces and tail */
};

struct Crowd
{
  const struct CrowdPlan *plan;
  uint16_t port;
  struct Client *clients;
  uint8_t *block; /* a whole number of pieces, twice */
  size_t block_bytes, piece_bytes;
  size_t tail_bytes;
  pthread_t thread;
  atomic_bool stopping;
};

static int
client_connect (const struct Crowd *crowd)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (crowd->port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int n_bytes = RECEIVE_BUFFER_BYTES;

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &n_bytes, sizeof n_bytes);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0 || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

static void
client_close (struct Client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
  client->n_sent = 0;
}

/* Returns the bytes from .n_sent on, NULL when everything is sent. */
static const void *
client_next_bytes (const struct Crowd *crowd, const struct Client *client, size_t *n_bytes)
{
  uint64_t pieces_bytes = (uint64_t)crowd->piece_bytes * crowd->plan->n_pieces;
  uint64_t at = client->n_sent;

  if (at < client->head_bytes)
    {
      *n_bytes = client->head_bytes - (size_t)at;
      return client->head + at;
    }
  at -= client->head_bytes;
  if (at < pieces_bytes)
    {
      size_t start = (size_t)(at % crowd->block_bytes);

      *n_bytes = crowd->block_bytes;
      if (*n_bytes > pieces_bytes - at)
        *n_bytes = (size_t)(pieces_bytes - at);
      return crowd->block + start;
    }
  at -= pieces_bytes;
  *n_bytes = crowd->tail_bytes - (size_t)at;
  return *n_bytes > 0 ? crowd->plan->tail + at : NULL;
}

/* Sends as much as the socket accepts. Returns whether more is left to be sent. */
static bool
client_send (struct Crowd *crowd, struct Client *client)
{
  const void *bytes;
  size_t n_bytes;

  while (client->fd >= 0 && (bytes = client_next_bytes (crowd, client, &n_bytes)) != NULL)
    {
      ssize_t n = send (client->fd, bytes, n_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return true;
      if (n < 0)
        client_close (client);
      else
        client->n_sent += (uint64_t)n;
    }
  return false;
}

/* Reads up to .read_bytes, and notices the end of the connection. Clients that return read what
 * they are sent. */
static void
client_read (struct Crowd *crowd, struct Client *client)
{
  char bytes[4096];
  uint32_t n_left = crowd->plan->read_bytes;
  ssize_t n;

  if (client->fd < 0)
    return;
  if (n_left == 0 && crowd->plan->returns)
    n_left = sizeof bytes;
  if (n_left == 0)
    {
      n = recv (client->fd, bytes, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN))
        client_close (client);
      return;
    }
  while (n_left > 0)
    {
      n = recv (client->fd, bytes, n_left < sizeof bytes ? n_left : sizeof bytes, MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return;
      if (n <= 0)
        {
          client_close (client);
          return;
        }
      n_left -= (uint32_t)n;
    }
}

/* Returns whether a client still has something to send. */
static bool
crowd_round (struct Crowd *crowd)
{
  bool sending = false;

  for (uint32_t i = 0; i < crowd->plan->n_clients; i++)
    {
      struct Client *client = &crowd->clients[i];

      if (client->fd < 0 && crowd->plan->returns)
        client->fd = client_connect (crowd);
      sending |= client_send (crowd, client);
    }
  return sending;
}

static void
crowd_read (struct Crowd *crowd)
{
  for (uint32_t i = 0; i < crowd->plan->n_clients; i++)
    client_read (crowd, &crowd->clients[i]);
}

static int
crowd_free (struct Crowd *crowd)
{
  for (uint32_t i = 0; i < crowd->plan->n_clients; i++)
    client_close (&crowd->clients[i]);
  return 0;
}

static void
crowd_fill_block (struct Crowd *crowd)
{
  const struct CrowdPlan *plan = crowd->plan;
  char size[16];
  size_t n_size = 0, n;
  uint8_t *at;

  if (plan->chunk_bytes > 0)
    n_size = (size_t)snprintf (size, sizeof size, "%x\r\n", plan->chunk_bytes);
  crowd->piece_bytes = plan->chunk_bytes > 0 ? n_size + plan->chunk_bytes + 2 : plan->piece_bytes;
  if (crowd->piece_bytes == 0)
    return;
  n = (BLOCK_BYTES + crowd->piece_bytes - 1) / crowd->piece_bytes;
  crowd->block_bytes = n * crowd->piece_bytes;
  crowd->block = talloc_array (crowd, uint8_t, 2 * crowd->block_bytes);
  for (at = crowd->block; n-- > 0; at += crowd->piece_bytes)
    if (plan->chunk_bytes > 0)
      {
        memcpy (at, size, n_size);
        memset (at + n_size, 'x', plan->chunk_bytes);
        at[n_size + plan->chunk_bytes] = '\r';
        at[n_size + plan->chunk_bytes + 1] = '\n';
      }
    else
      memcpy (at, plan->piece, plan->piece_bytes);
  memcpy (crowd->block + crowd->block_bytes, crowd->block, crowd->block_bytes);
}

struct Crowd *
crowd_new (TALLOC_CTX *ctx, const struct CrowdPlan *plan, uint16_t port)
{
  struct Crowd *crowd = talloc_zero (ctx, struct Crowd);

  crowd->plan = plan;
  crowd->port = port;
  crowd->tail_bytes = plan->tail != NULL ? strlen (plan->tail) : 0;
  crowd->clients = talloc_zero_array (crowd, struct Client, plan->n_clients);
  crowd_fill_block (crowd);
  for (uint32_t i = 0; i < plan->n_clients; i++)
    {
      struct Client *client = &crowd->clients[i];

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
      client->head_bytes =
          (size_t)snprintf (client->head, sizeof client->head, plan->head, i, i, i, i);
#pragma GCC diagnostic pop
      client->fd = client_connect (crowd);
    }
  talloc_set_destructor (crowd, crowd_free);
  return crowd;
}

void
crowd_play (struct Crowd *crowd, uint32_t hold_ms)
{
  int64_t stop_ms = monotonic_ms () + PLAY_MAX_MS, read_ms = 0;
  bool held = hold_ms > 0 && crowd->plan->returns;

  if (held)
    stop_ms = monotonic_ms () + RETURNING_MS + hold_ms;

  while (monotonic_ms () < stop_ms && !atomic_load (&crowd->stopping))
    {
      if (!crowd_round (crowd) && !held && hold_ms > 0)
        {
          held = true;
          stop_ms = monotonic_ms () + hold_ms;
        }
      if (monotonic_ms () >= read_ms)
        {
          crowd_read (crowd);
          read_ms = monotonic_ms () + ROUND_MS;
        }
      sleep_ms (1);
    }
}

static void *
crowd_run (void *data)
{
  crowd_play (data, 0);
  return NULL;
}

void
crowd_start (struct Crowd *crowd)
{
  atomic_store (&crowd->stopping, false);
  if (pthread_create (&crowd->thread, NULL, crowd_run, crowd) != 0)
    abort ();
}

void
crowd_stop (struct Crowd *crowd)
{
  atomic_store (&crowd->stopping, true);
  pthread_join (crowd->thread, NULL);
}
