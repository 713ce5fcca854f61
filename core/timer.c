#include <buckthornhead/timer.h>

static int
timer_free (struct Timer *timer)
{
  if (timer->armed)
    timer->service->ops->disarm (timer->service, timer);
  return 0;
}

int64_t
timer_now_ms (struct TimerService *service)
{
  return service->ops->now_ms (service);
}

struct Timer *
timer_subscribe (TALLOC_CTX *ctx,
                 struct TimerService *service,
                 int64_t delay_ms,
                 int64_t period_ms,
                 TimerFn fn,
                 void *data)
{
  struct Timer *timer = talloc_zero (ctx, struct Timer);

  if (timer == NULL)
    return NULL;
  timer->service = service;
  timer->fn = fn;
  timer->data = data;
  timer->period_ms = period_ms;
  timer->due_ms = timer_now_ms (service) + delay_ms;
  timer->armed = true;
  service->ops->arm (service, timer, timer->due_ms);
  talloc_set_destructor (timer, timer_free);
  return timer;
}

void
timer_fire (struct Timer *timer)
{
  timer->armed = false;
  if (timer->period_ms > 0)
    {
      timer->due_ms = timer_now_ms (timer->service) + timer->period_ms;
      timer->armed = true;
      timer->service->ops->arm (timer->service, timer, timer->due_ms);
    }
  /* The callback may free the timer, so it must not be accessed afterwards. */
  timer->fn (timer->data);
}
