#include "fakes/descriptors.h"

#include "fakes/raw_socket.h"

#include <sys/resource.h>
#include <unistd.h>

enum
{
  DESCRIPTORS_MAX = 256
};

struct Descriptors
{
  struct rlimit limit; /* before */
  int fds[DESCRIPTORS_MAX];
  uint32_t n_fds;
};

struct Descriptors *
descriptors_use_up (uint32_t n_free)
{
  struct Descriptors *d = talloc_zero (NULL, struct Descriptors);
  struct rlimit lower;
  int fd;

  getrlimit (RLIMIT_NOFILE, &d->limit);
  lower = d->limit;
  lower.rlim_cur = DESCRIPTORS_MAX;
  setrlimit (RLIMIT_NOFILE, &lower);
  while ((fd = dup (STDOUT_FILENO)) >= 0)
    d->fds[d->n_fds++] = fd;
  for (uint32_t i = 0; i < n_free; i++)
    close (d->fds[--d->n_fds]);
  return d;
}

void
descriptors_release (struct Descriptors *d)
{
  while (d->n_fds > 0)
    close (d->fds[--d->n_fds]);
  setrlimit (RLIMIT_NOFILE, &d->limit);
  talloc_free (d);
}

static void
count_round (enum tevent_trace_point point, void *data)
{
  uint32_t *n_rounds = data;

  *n_rounds += point == TEVENT_TRACE_BEFORE_WAIT;
}

uint32_t
events_count_rounds (struct tevent_context *events, int64_t ms)
{
  uint32_t n_rounds = 0;

  tevent_set_trace_callback (events, count_round, &n_rounds);
  events_for (events, ms);
  tevent_set_trace_callback (events, NULL, NULL);
  return n_rounds;
}
