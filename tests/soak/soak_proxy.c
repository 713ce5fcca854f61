#include "soak_proxy.h"

#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PAIRS_MAX = 256,
  CHUNK_BYTES = 16 * 1024,
  TICK_MS = 5
};

/* Bytes on their way. */
struct Chunk
{
  struct Chunk *next;
  int64_t due_ms;
  size_t n_bytes, n_sent;
  uint8_t bytes[];
};

/* One direction of a connection. */
struct Flow
{
  int from, to;
  bool swallows; /* for good: what was lost in between can not be made up */
  struct Chunk *first, **last;
};

struct Pair
{
  struct Flow there, back;
};

struct Proxy
{
  pthread_t thread;
  pthread_mutex_t lock;
  enum ProxyMode mode;
  uint32_t delay_ms;
  bool ended;
  int listen_fd;
  uint16_t target_port;
  struct Pair pairs[PAIRS_MAX];
  size_t n_pairs;
};

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static void
flow_drop (struct Flow *flow)
{
  while (flow->first != NULL)
    {
      struct Chunk *chunk = flow->first;

      flow->first = chunk->next;
      free (chunk);
    }
  flow->last = &flow->first;
}

static void
pair_close (struct Proxy *proxy, size_t i, bool reset)
{
  struct linger at_once = { 1, 0 };
  struct Pair *pair = &proxy->pairs[i];

  if (reset)
    {
      setsockopt (pair->there.from, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      setsockopt (pair->there.to, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
  close (pair->there.from);
  close (pair->there.to);
  flow_drop (&pair->there);
  flow_drop (&pair->back);
  proxy->n_pairs--;
  if (i == proxy->n_pairs)
    return;
  /* An empty list's end points into the pair itself. */
  *pair = proxy->pairs[proxy->n_pairs];
  if (pair->there.first == NULL)
    pair->there.last = &pair->there.first;
  if (pair->back.first == NULL)
    pair->back.last = &pair->back.first;
}

static void
proxy_accept (struct Proxy *proxy)
{
  struct sockaddr_in target = loopback (proxy->target_port);
  int from = accept4 (proxy->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int to = from >= 0 ? socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) : -1;
  struct Pair *pair;

  if (from < 0)
    return;
  if (to < 0 || proxy->n_pairs == PAIRS_MAX || proxy->mode == PROXY_RESETS
      || connect (to, (struct sockaddr *)&target, sizeof target) != 0)
    {
      close (from);
      if (to >= 0)
        close (to);
      return;
    }
  fcntl (to, F_SETFL, O_NONBLOCK);
  pair = &proxy->pairs[proxy->n_pairs++];
  memset (pair, 0, sizeof *pair);
  pair->there.from = pair->back.to = from;
  pair->there.to = pair->back.from = to;
  pair->there.last = &pair->there.first;
  pair->back.last = &pair->back.first;
}

/* False when the connection has ended. */
static bool
flow_read (const struct Proxy *proxy, struct Flow *flow)
{
  struct Chunk *chunk = malloc (sizeof *chunk + CHUNK_BYTES);
  ssize_t n = recv (flow->from, chunk->bytes, CHUNK_BYTES, 0);

  if (n <= 0 || flow->swallows)
    {
      free (chunk);
      return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
    }
  chunk->next = NULL;
  chunk->n_bytes = (size_t)n;
  chunk->n_sent = 0;
  chunk->due_ms = monotonic_ms () + (proxy->mode == PROXY_DELAYS ? proxy->delay_ms : 0);
  *flow->last = chunk;
  flow->last = &chunk->next;
  return true;
}

static bool
flow_write (struct Flow *flow)
{
  while (flow->first != NULL && flow->first->due_ms <= monotonic_ms ())
    {
      struct Chunk *chunk = flow->first;
      ssize_t n = send (flow->to, chunk->bytes + chunk->n_sent, chunk->n_bytes - chunk->n_sent,
                        MSG_NOSIGNAL);

      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      chunk->n_sent += (size_t)n;
      if (chunk->n_sent < chunk->n_bytes)
        return true;
      flow->first = chunk->next;
      if (flow->first == NULL)
        flow->last = &flow->first;
      free (chunk);
    }
  return true;
}

/* What the mode does to connections that there are. */
static void
proxy_apply (struct Proxy *proxy)
{
  for (size_t i = proxy->n_pairs; i-- > 0;)
    switch (proxy->mode)
      {
      case PROXY_SILENCES:
        proxy->pairs[i].there.swallows = true;
        proxy->pairs[i].back.swallows = true;
        break;
      case PROXY_CUTS_ANSWERS:
        proxy->pairs[i].back.swallows = true;
        break;
      case PROXY_RESETS:
        pair_close (proxy, i, true);
        break;
      case PROXY_PASSES:
      case PROXY_DELAYS:
      case N_PROXY_MODES:
        break;
      }
}

static void
proxy_step (struct Proxy *proxy, const struct pollfd *polled, size_t n_polled)
{
  proxy_apply (proxy);
  for (size_t i = proxy->n_pairs; i-- > 0;)
    {
      struct Pair *pair = &proxy->pairs[i];
      bool known = 2 * i + 2 < n_polled;
      bool sound = true;

      if (known && polled[2 * i + 1].revents != 0)
        sound = flow_read (proxy, &pair->there);
      if (sound && known && polled[2 * i + 2].revents != 0)
        sound = flow_read (proxy, &pair->back);
      if (!sound || !flow_write (&pair->there) || !flow_write (&pair->back))
        pair_close (proxy, i, false);
    }
  if (polled[0].revents != 0)
    proxy_accept (proxy);
}

static void *
proxy_run (void *data)
{
  struct Proxy *proxy = data;
  bool ended = false;

  while (!ended)
    {
      struct pollfd polled[1 + 2 * PAIRS_MAX];
      size_t n = 1;

      polled[0] = (struct pollfd){ .fd = proxy->listen_fd, .events = POLLIN };
      for (size_t i = 0; i < proxy->n_pairs; i++)
        {
          polled[n++] = (struct pollfd){ .fd = proxy->pairs[i].there.from, .events = POLLIN };
          polled[n++] = (struct pollfd){ .fd = proxy->pairs[i].back.from, .events = POLLIN };
        }
      poll (polled, n, TICK_MS);
      pthread_mutex_lock (&proxy->lock);
      proxy_step (proxy, polled, n);
      ended = proxy->ended;
      pthread_mutex_unlock (&proxy->lock);
    }
  while (proxy->n_pairs > 0)
    pair_close (proxy, 0, true);
  close (proxy->listen_fd);
  return NULL;
}

struct Proxy *
proxy_new (TALLOC_CTX *ctx, uint16_t port, uint16_t target_port)
{
  struct Proxy *proxy = talloc_zero (ctx, struct Proxy);
  struct sockaddr_in address = loopback (port);
  int reuse = 1;

  proxy->target_port = target_port;
  pthread_mutex_init (&proxy->lock, NULL);
  proxy->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (proxy->listen_fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  if (bind (proxy->listen_fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (proxy->listen_fd, SOMAXCONN) != 0
      || pthread_create (&proxy->thread, NULL, proxy_run, proxy) != 0)
    {
      close (proxy->listen_fd);
      talloc_free (proxy);
      return NULL;
    }
  return proxy;
}

void
proxy_set (struct Proxy *proxy, enum ProxyMode mode, uint32_t delay_ms)
{
  pthread_mutex_lock (&proxy->lock);
  proxy->mode = mode;
  proxy->delay_ms = delay_ms;
  pthread_mutex_unlock (&proxy->lock);
}

void
proxy_end (struct Proxy *proxy)
{
  pthread_mutex_lock (&proxy->lock);
  proxy->ended = true;
  pthread_mutex_unlock (&proxy->lock);
  pthread_join (proxy->thread, NULL);
  talloc_free (proxy);
}
