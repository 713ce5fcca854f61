#include "test_main.h"

#include <buckthornhead/timer_tevent.h>

#include <stdlib.h>
#include <sys/time.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

enum
{
  STEP_S = 3600,
  SHORT_MS = 30,
  LONG_MS = 60 * 1000,
  GUARD_S = 10,
  N_DRAWN = 400
};

static int64_t step_us; /* added to the time of day */

/* Replaces the C library's function, which tevent uses. */
int
gettimeofday (struct timeval *restrict tv, void *restrict tz)
{
  struct timespec now;
  int64_t us;

  (void)tz;
  clock_gettime (CLOCK_REALTIME, &now);
  us = (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000 + step_us;
  tv->tv_sec = us / 1000000;
  tv->tv_usec = us % 1000000;
  return 0;
}

struct Loop
{
  struct tevent_context *events;
  struct TimerService *timers;
  int guard_fd; /* becomes readable after GUARD_S, whatever the timers do */
  bool guard_expired;
};

static void
guard_on_expired (struct tevent_context *events,
                  struct tevent_fd *watch,
                  uint16_t flags,
                  void *data)
{
  (void)events, (void)watch, (void)flags;
  ((struct Loop *)data)->guard_expired = true;
}

static struct Loop *
loop_new (void)
{
  const struct itimerspec guard = { .it_value = { GUARD_S, 0 } };
  struct Loop *loop = talloc_zero (NULL, struct Loop);

  step_us = 0;
  loop->events = tevent_context_init (loop);
  loop->timers = timer_tevent_new (loop->events, loop->events);
  loop->guard_fd = timerfd_create (CLOCK_MONOTONIC, TFD_CLOEXEC);
  timerfd_settime (loop->guard_fd, 0, &guard, NULL);
  tevent_add_fd (loop->events, loop->events, loop->guard_fd, TEVENT_FD_READ, guard_on_expired,
                 loop);
  return loop;
}

static void
loop_free (struct Loop *loop)
{
  int fd = loop->guard_fd;

  talloc_free (loop);
  close (fd);
}

static void
count_fired (void *data)
{
  ++*(uint32_t *)data;
}

/* Runs the loop until *n_fired is n or the guard has expired. */
static void
loop_run_until (struct Loop *loop, const uint32_t *n_fired, uint32_t n)
{
  while (*n_fired < n && !loop->guard_expired)
    tevent_loop_once (loop->events);
}

/* Guards against a process whose timers all stop for as long as the time of day is set back. */
static void
test_timers_fire_after_the_time_of_day_was_set_back (void)
{
  struct Loop *loop = loop_new ();
  uint32_t n_fired = 0;

  timer_subscribe (loop->events, loop->timers, SHORT_MS, 0, count_fired, &n_fired);
  step_us = -(int64_t)STEP_S * 1000000;
  loop_run_until (loop, &n_fired, 1);
  CU_ASSERT_EQUAL (n_fired, 1);
  loop_free (loop);
}

/* Guards against requests that time out at once when the time of day is set forward. */
static void
test_timers_do_not_fire_early_when_the_time_of_day_is_set_forward (void)
{
  struct Loop *loop = loop_new ();
  uint32_t n_early = 0, n_fired = 0;

  timer_subscribe (loop->events, loop->timers, LONG_MS, 0, count_fired, &n_early);
  step_us = (int64_t)STEP_S * 1000000;
  timer_subscribe (loop->events, loop->timers, SHORT_MS, 0, count_fired, &n_fired);
  loop_run_until (loop, &n_fired, 1);
  CU_ASSERT_EQUAL (n_fired, 1);
  CU_ASSERT_EQUAL (n_early, 0);
  loop_free (loop);
}

struct Drawn
{
  struct Timer *timer;
  struct TimerService *timers;
  int64_t due_ms;
};

static int64_t last_due_ms;
static uint32_t n_drawn_fired;

static void
drawn_on_fired (void *data)
{
  const struct Drawn *drawn = data;

  CU_ASSERT (timer_now_ms (drawn->timers) >= drawn->due_ms);
  CU_ASSERT (drawn->due_ms >= last_due_ms);
  last_due_ms = drawn->due_ms;
  n_drawn_fired++;
}

/* Timers that are armed and cancelled in any order fire in the order of their due times. */
static void
test_timers_fire_in_order (void)
{
  struct Loop *loop = loop_new ();
  struct Drawn drawn[N_DRAWN];
  uint32_t n_expected = 0;

  srand (7);
  last_due_ms = 0;
  n_drawn_fired = 0;
  for (int i = 0; i < N_DRAWN; i++)
    {
      int64_t delay_ms = rand () % 60;

      drawn[i].timers = loop->timers;
      drawn[i].timer =
          timer_subscribe (loop->events, loop->timers, delay_ms, 0, drawn_on_fired, &drawn[i]);
      drawn[i].due_ms = drawn[i].timer->due_ms;
    }
  for (int i = 0; i < N_DRAWN; i++)
    if (rand () % 3 == 0)
      TALLOC_FREE (drawn[i].timer);
    else
      n_expected++;
  loop_run_until (loop, &n_drawn_fired, n_expected);
  CU_ASSERT_EQUAL (n_drawn_fired, n_expected);
  loop_free (loop);
}

struct Periodic
{
  struct Timer *timer;
  uint32_t n_fired;
};

static void
periodic_on_fired (void *data)
{
  struct Periodic *periodic = data;

  if (++periodic->n_fired == 5)
    TALLOC_FREE (periodic->timer);
}

/* A callback may free its own periodic timer. */
static void
test_a_periodic_timer_ends_itself (void)
{
  struct Loop *loop = loop_new ();
  struct Periodic periodic = { NULL, 0 };
  uint32_t n_later = 0;

  periodic.timer = timer_subscribe (loop->events, loop->timers, 0, 1, periodic_on_fired, &periodic);
  timer_subscribe (loop->events, loop->timers, SHORT_MS, 0, count_fired, &n_later);
  loop_run_until (loop, &n_later, 1);
  CU_ASSERT_EQUAL (periodic.n_fired, 5);
  loop_free (loop);
}

const char test_suite_name[] = "timer_tevent";

const struct TestCase test_cases[] = {
  { "timers fire after the time of day was set back",
    test_timers_fire_after_the_time_of_day_was_set_back },
  { "timers do not fire early when the time of day is set forward",
    test_timers_do_not_fire_early_when_the_time_of_day_is_set_forward },
  { "timers fire in order", test_timers_fire_in_order },
  { "a periodic timer ends itself", test_a_periodic_timer_ends_itself },
  { NULL, NULL },
};
