#include <buckthornhead/acceptor.h>

#include <buckthornhead/net_socket.h>

enum
{
  ACCEPTS_PER_EVENT = 64,
  PAUSE_MS = 100 /* until accepting is tried again after it failed for lack of resources */
};

struct Acceptor
{
  struct TimerService *timers;
  int listen_fd;
  struct tevent_fd *watch;
  struct Timer *pause; /* NULL: accepting */
  AcceptedFn accepted;
  void *data;
};

static void
acceptor_on_pause_end (void *data)
{
  struct Acceptor *acceptor = data;

  acceptor->pause = NULL;
  tevent_fd_set_flags (acceptor->watch, TEVENT_FD_READ);
}

static void
acceptor_pause (struct Acceptor *acceptor)
{
  acceptor->pause =
      timer_subscribe (acceptor, acceptor->timers, PAUSE_MS, 0, acceptor_on_pause_end, acceptor);
  /* Without a timer nothing would watch the socket again. */
  if (acceptor->pause != NULL)
    tevent_fd_set_flags (acceptor->watch, 0);
}

static void
acceptor_on_event (struct tevent_context *events,
                   struct tevent_fd *watch,
                   uint16_t flags,
                   void *data)
{
  struct Acceptor *acceptor = data;

  (void)events;
  (void)watch;
  (void)flags;
  for (int i = 0; i < ACCEPTS_PER_EVENT; i++)
    {
      int fd;

      switch (net_accept (acceptor->listen_fd, &fd))
        {
        case NET_ACCEPTED:
          acceptor->accepted (acceptor->data, fd);
          break;
        case NET_ACCEPT_ABORTED:
          break;
        case NET_ACCEPT_NONE:
          return;
        case NET_ACCEPT_FAILED:
          acceptor_pause (acceptor);
          return;
        }
    }
}

struct Acceptor *
acceptor_new (TALLOC_CTX *ctx,
              struct tevent_context *events,
              struct TimerService *timers,
              int listen_fd,
              AcceptedFn accepted,
              void *data)
{
  struct Acceptor *a = talloc_zero (ctx, struct Acceptor);

  if (a == NULL)
    return NULL;
  a->timers = timers;
  a->listen_fd = listen_fd;
  a->accepted = accepted;
  a->data = data;
  a->watch = tevent_add_fd (events, a, listen_fd, TEVENT_FD_READ, acceptor_on_event, a);
  if (a->watch == NULL)
    TALLOC_FREE (a);
  return a;
}
