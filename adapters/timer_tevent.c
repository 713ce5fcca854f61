#include <buckthornhead/timer_tevent.h>

#include <buckthornhead/clock.h>

#include <sys/timerfd.h>
#include <unistd.h>

/* The timers are kept in a binary heap and one file descriptor wakes the loop for the first of
 * them. Timers of tevent expire by the time of day: when that is set back by seconds, none of them
 * fires for as long, and when it is set forward all fire at once. */
struct TeventTimers
{
  struct TimerService service;
  int fd;
  struct tevent_fd *watch;
  struct Timer **heap; /* the parent at i is due no later than its children at 2i+1 and 2i+2 */
  size_t n_armed;
  uint64_t next_order;
  int64_t wake_ms; /* when fd becomes readable; INT64_MAX: never */
};

static int64_t
tevent_timers_now_ms (struct TimerService *service)
{
  (void)service;
  return clock_monotonic_ms ();
}

/* Heap. */

static bool
timer_is_before (const struct Timer *a, const struct Timer *b)
{
  return a->due_ms != b->due_ms ? a->due_ms < b->due_ms : a->order < b->order;
}

static void
heap_set (struct TeventTimers *timers, size_t at, struct Timer *timer)
{
  timers->heap[at] = timer;
  timer->position = at;
}

static void
heap_raise (struct TeventTimers *timers, size_t at)
{
  struct Timer *timer = timers->heap[at];

  while (at > 0 && timer_is_before (timer, timers->heap[(at - 1) / 2]))
    {
      heap_set (timers, at, timers->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  heap_set (timers, at, timer);
}

static void
heap_lower (struct TeventTimers *timers, size_t at)
{
  struct Timer *timer = timers->heap[at];

  for (size_t child = 2 * at + 1; child < timers->n_armed; child = 2 * at + 1)
    {
      if (child + 1 < timers->n_armed
          && timer_is_before (timers->heap[child + 1], timers->heap[child]))
        child++;
      if (!timer_is_before (timers->heap[child], timer))
        break;
      heap_set (timers, at, timers->heap[child]);
      at = child;
    }
  heap_set (timers, at, timer);
}

static void
heap_remove (struct TeventTimers *timers, struct Timer *timer)
{
  size_t at = timer->position;
  struct Timer *last = timers->heap[--timers->n_armed];

  timer->queued = false;
  if (last == timer)
    return;
  heap_set (timers, at, last);
  heap_raise (timers, at);
  heap_lower (timers, last->position);
}

/* Returns false without memory. */
static bool
heap_add (struct TeventTimers *timers, struct Timer *timer)
{
  if (timers->n_armed == talloc_array_length (timers->heap))
    {
      struct Timer **grown = talloc_realloc (timers, timers->heap, struct Timer *,
                                             2 * talloc_array_length (timers->heap));

      if (grown == NULL)
        return false;
      timers->heap = grown;
    }
  timer->order = timers->next_order++;
  timer->queued = true;
  heap_set (timers, timers->n_armed++, timer);
  heap_raise (timers, timer->position);
  return true;
}

/* Wake-ups. */

/* Makes fd readable at the first due time, and not before. */
static void
tevent_timers_set_wake (struct TeventTimers *timers)
{
  int64_t wake_ms = timers->n_armed > 0 ? timers->heap[0]->due_ms : INT64_MAX;
  struct itimerspec wake = { 0 };

  timers->wake_ms = wake_ms;
  if (wake_ms != INT64_MAX)
    {
      /* A time of zero would disarm it. */
      wake.it_value.tv_sec = wake_ms > 0 ? wake_ms / 1000 : 0;
      wake.it_value.tv_nsec = wake_ms > 0 ? wake_ms % 1000 * 1000000 : 1;
    }
  timerfd_settime (timers->fd, TFD_TIMER_ABSTIME, &wake, NULL);
}

/* Fires what is due. A timer that a callback arms fires in the next round at the earliest, so that
 * the loop's other events are handled in between. */
static void
tevent_timers_on_wake (struct tevent_context *events,
                       struct tevent_fd *watch,
                       uint16_t flags,
                       void *data)
{
  struct TeventTimers *timers = data;
  int64_t now_ms = tevent_timers_now_ms (&timers->service);
  uint64_t end_order = timers->next_order;

  (void)events;
  (void)watch;
  (void)flags;
  while (timers->n_armed > 0 && timers->heap[0]->due_ms <= now_ms
         && timers->heap[0]->order < end_order)
    {
      struct Timer *timer = timers->heap[0];

      heap_remove (timers, timer);
      timer_fire (timer);
    }
  /* Also clears the expiration, so that it need not be read. */
  tevent_timers_set_wake (timers);
}

/* Service. */

static void
tevent_timers_disarm (struct TimerService *service, struct Timer *timer)
{
  /* A wake-up for a timer that is gone only finds nothing due. */
  if (timer->queued)
    heap_remove ((struct TeventTimers *)service, timer);
}

static void
tevent_timers_arm (struct TimerService *service, struct Timer *timer, int64_t due_ms)
{
  struct TeventTimers *timers = (struct TeventTimers *)service;

  tevent_timers_disarm (service, timer);
  timer->due_ms = due_ms;
  if (heap_add (timers, timer) && due_ms < timers->wake_ms)
    tevent_timers_set_wake (timers);
}

static const struct TimerOps tevent_timer_ops = {
  .now_ms = tevent_timers_now_ms,
  .arm = tevent_timers_arm,
  .disarm = tevent_timers_disarm,
};

static int
tevent_timers_free (struct TeventTimers *timers)
{
  TALLOC_FREE (timers->watch);
  if (timers->fd >= 0)
    close (timers->fd);
  return 0;
}

struct TimerService *
timer_tevent_new (TALLOC_CTX *ctx, struct tevent_context *events)
{
  struct TeventTimers *timers = talloc_zero (ctx, struct TeventTimers);

  if (timers == NULL)
    return NULL;
  timers->service.ops = &tevent_timer_ops;
  timers->wake_ms = INT64_MAX;
  timers->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  talloc_set_destructor (timers, tevent_timers_free);
  timers->heap = talloc_array (timers, struct Timer *, 16);
  if (timers->fd >= 0)
    timers->watch =
        tevent_add_fd (events, timers, timers->fd, TEVENT_FD_READ, tevent_timers_on_wake, timers);
  if (timers->heap == NULL || timers->watch == NULL)
    {
      talloc_free (timers);
      return NULL;
    }
  return &timers->service;
}
