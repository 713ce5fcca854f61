#include "fakes/raw_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  TIMEOUT_MS = 5000,
  POLL_MS = 5
};

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
on_poll_timeout (struct tevent_context *events,
                 struct tevent_timer *timer,
                 struct timeval now,
                 void *data)
{
  (void)events;
  (void)timer;
  (void)now;
  *(bool *)data = true;
}

/* Runs the event loop once, for at most POLL_MS. */
static void
run_loop_once (struct tevent_context *events)
{
  bool timed_out = false;
  struct tevent_timer *timer = tevent_add_timer (
      events, events, tevent_timeval_current_ofs (0, POLL_MS * 1000), on_poll_timeout, &timed_out);

  tevent_loop_once (events);
  if (!timed_out)
    talloc_free (timer);
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

int
raw_listen (uint16_t *port)
{
  struct sockaddr_in address = loopback (0);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 16) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    return -1;
  *port = ntohs (address.sin_port);
  return fd;
}

int
raw_connect (uint16_t port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd >= 0 && connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

int
raw_accept (int listen_fd, struct tevent_context *events)
{
  int64_t deadline_ms = now_ms () + TIMEOUT_MS;
  int fd = -1;

  while (fd < 0 && now_ms () < deadline_ms)
    {
      fd = accept4 (listen_fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        run_loop_once (events);
    }
  return fd;
}

void
raw_send (int fd, const char *text)
{
  size_t n_bytes = strlen (text);

  while (n_bytes > 0)
    {
      ssize_t n = send (fd, text, n_bytes, MSG_NOSIGNAL);

      if (n <= 0)
        return;
      text += n;
      n_bytes -= (size_t)n;
    }
}

void
raw_reset (int fd)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
}

/* Appends the available bytes. Returns 0 when the peer has closed, -1 when there is no data. */
static ssize_t
read_some (int fd, char *text, size_t text_bytes)
{
  size_t length = strlen (text);
  ssize_t n = recv (fd, text + length, text_bytes - length - 1, MSG_DONTWAIT);

  if (n > 0)
    text[length + (size_t)n] = '\0';
  return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK ? 0 : n;
}

bool
raw_read_until (
    int fd, struct tevent_context *events, const char *wanted, char *text, size_t text_bytes)
{
  int64_t deadline_ms = now_ms () + TIMEOUT_MS;

  while (now_ms () < deadline_ms)
    {
      ssize_t n = read_some (fd, text, text_bytes);

      if (strstr (text, wanted) != NULL)
        return true;
      if (n == 0)
        return false;
      run_loop_once (events);
    }
  return false;
}

bool
raw_wait_closed (int fd, struct tevent_context *events)
{
  int64_t deadline_ms = now_ms () + TIMEOUT_MS;
  char text[4096];

  while (now_ms () < deadline_ms)
    {
      ssize_t n;

      do
        {
          text[0] = '\0';
          n = read_some (fd, text, sizeof text);
        }
      while (n > 0);
      if (n == 0)
        return true;
      run_loop_once (events);
    }
  return false;
}

bool
events_until (struct tevent_context *events, const bool *flag)
{
  int64_t deadline_ms = now_ms () + TIMEOUT_MS;

  while (!*flag && now_ms () < deadline_ms)
    run_loop_once (events);
  return *flag;
}

void
events_for (struct tevent_context *events, int64_t ms)
{
  int64_t deadline_ms = now_ms () + ms;

  while (now_ms () < deadline_ms)
    run_loop_once (events);
}
