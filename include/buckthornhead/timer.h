/* Timer service: the one clock that parts subscribe to.
 *
 * The daemon drives it from tevent (adapters/timer_tevent.c), tests by hand
 * (tests/fakes/fake_timer.c). Parts in core/ never read a clock themselves. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

struct TimerService;
struct Timer;

typedef void (*TimerFn) (void *data);

/* How a service is brought about; one table per kind of clock. */
struct TimerOps
{
  int64_t (*now_ms) (struct TimerService *service);
  /* Arms timer to fire at due_ms (monotonic); called again to move it. */
  void (*arm) (struct TimerService *service, struct Timer *timer, int64_t due_ms);
  void (*disarm) (struct TimerService *service, struct Timer *timer);
};

struct TimerService
{
  const struct TimerOps *ops;
};

struct Timer
{
  struct TimerService *service;
  TimerFn fn;
  void *data;
  int64_t due_ms;
  int64_t period_ms; /* 0: fires once */
  bool armed;
  void *adapter; /* the adapter's own handle */
};

/* Milliseconds on a monotonic clock. */
int64_t
timer_now_ms (struct TimerService *service);

/* Calls fn (data) once after delay_ms, or every period_ms when that is not 0. Freeing the
 * timer unsubscribes. The callback may free its own timer. */
struct Timer *
timer_subscribe (TALLOC_CTX *ctx,
                 struct TimerService *service,
                 int64_t delay_ms,
                 int64_t period_ms,
                 TimerFn fn,
                 void *data);

/* Adapters call this when a timer is due. */
void
timer_fire (struct Timer *timer);
