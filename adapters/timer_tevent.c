#include <buckthornhead/timer_tevent.h>

#include <time.h>

struct TeventTimers
{
  struct TimerService service;
  struct tevent_context *events;
};

static int64_t
tevent_timers_now_ms (struct TimerService *service)
{
  struct timespec now;

  (void)service;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
tevent_timers_on_expired (struct tevent_context *events,
                          struct tevent_timer *expired,
                          struct timeval now,
                          void *data)
{
  struct Timer *timer = data;

  (void)events;
  (void)expired;
  (void)now;
  timer->adapter = NULL;
  timer_fire (timer);
}

static void
tevent_timers_disarm (struct TimerService *service, struct Timer *timer)
{
  struct tevent_timer *armed = timer->adapter;

  (void)service;
  TALLOC_FREE (armed);
  timer->adapter = NULL;
}

static void
tevent_timers_arm (struct TimerService *service, struct Timer *timer, int64_t due_ms)
{
  struct TeventTimers *timers = (struct TeventTimers *)service;
  int64_t delay_ms = due_ms - tevent_timers_now_ms (service);

  tevent_timers_disarm (service, timer);
  if (delay_ms < 0)
    delay_ms = 0;
  timer->adapter = tevent_add_timer (
      timers->events, timer,
      tevent_timeval_current_ofs ((uint32_t)(delay_ms / 1000), (uint32_t)(delay_ms % 1000) * 1000),
      tevent_timers_on_expired, timer);
}

static const struct TimerOps tevent_timer_ops = {
  .now_ms = tevent_timers_now_ms,
  .arm = tevent_timers_arm,
  .disarm = tevent_timers_disarm,
};

struct TimerService *
timer_tevent_new (TALLOC_CTX *ctx, struct tevent_context *events)
{
  struct TeventTimers *timers = talloc_zero (ctx, struct TeventTimers);

  if (timers == NULL)
    return NULL;
  timers->service.ops = &tevent_timer_ops;
  timers->events = events;
  return &timers->service;
}
