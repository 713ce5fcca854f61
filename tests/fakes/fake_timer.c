#include "fake_timer.h"

enum
{
  FAKE_TIMERS_MAX = 4096
};

struct FakeTimers
{
  struct TimerService service;
  int64_t now_ms;
  struct Timer *armed[FAKE_TIMERS_MAX];
  size_t n_armed;
};

static int64_t
fake_timer_now_ms (struct TimerService *service)
{
  return ((struct FakeTimers *)service)->now_ms;
}

static void
fake_timer_disarm (struct TimerService *service, struct Timer *timer)
{
  struct FakeTimers *fake = (struct FakeTimers *)service;

  for (size_t i = 0; i < fake->n_armed; i++)
    if (fake->armed[i] == timer)
      {
        fake->armed[i] = fake->armed[--fake->n_armed];
        return;
      }
}

static void
fake_timer_arm (struct TimerService *service, struct Timer *timer, int64_t due_ms)
{
  struct FakeTimers *fake = (struct FakeTimers *)service;

  fake_timer_disarm (service, timer);
  timer->due_ms = due_ms;
  if (fake->n_armed < FAKE_TIMERS_MAX)
    fake->armed[fake->n_armed++] = timer;
}

static const struct TimerOps fake_timer_ops = {
  .now_ms = fake_timer_now_ms,
  .arm = fake_timer_arm,
  .disarm = fake_timer_disarm,
};

struct TimerService *
fake_timer_new (TALLOC_CTX *ctx)
{
  struct FakeTimers *fake = talloc_zero (ctx, struct FakeTimers);

  fake->service.ops = &fake_timer_ops;
  return &fake->service;
}

static struct Timer *
fake_timer_next_due (struct FakeTimers *fake, int64_t until_ms)
{
  struct Timer *next = NULL;

  for (size_t i = 0; i < fake->n_armed; i++)
    if (fake->armed[i]->due_ms <= until_ms
        && (next == NULL || fake->armed[i]->due_ms < next->due_ms))
      next = fake->armed[i];
  return next;
}

void
fake_timer_advance (struct TimerService *service, int64_t ms)
{
  struct FakeTimers *fake = (struct FakeTimers *)service;
  int64_t until_ms = fake->now_ms + ms;
  struct Timer *next;

  while ((next = fake_timer_next_due (fake, until_ms)) != NULL)
    {
      if (next->due_ms > fake->now_ms)
        fake->now_ms = next->due_ms;
      fake_timer_disarm (service, next);
      timer_fire (next);
    }
  fake->now_ms = until_ms;
}
