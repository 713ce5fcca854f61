/* Timer service, the only clock of the modules in core/.
 *
 * The daemon implements it with tevent (adapters/timer_tevent.c), tests with a clock that they
 * advance (tests/fakes/fake_timer.c). */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct TimerService;
struct Timer;

typedef void (*TimerFn) (void *data);

/* Implementation of a timer service; one table per kind of clock. */
struct TimerOps
{
  int64_t (*now_ms) (struct TimerService *service);
  /* Arms or re-arms timer to fire at due_ms (monotonic). */
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
  /* Used by the adapter only. */
  bool queued;
  size_t position;
  uint64_t order; /* of timers that are due at the same time */
};

/* Returns milliseconds on a monotonic clock. */
int64_t
timer_now_ms (struct TimerService *service);

/* Calls fn (data) after delay_ms and, unless period_ms is 0, every period_ms after that. Freeing
 * the timer cancels it. The callback may free its own timer. */
struct Timer *
timer_subscribe (TALLOC_CTX *ctx,
                 struct TimerService *service,
                 int64_t delay_ms,
                 int64_t period_ms,
                 TimerFn fn,
                 void *data);

/* Called by adapters when a timer is due. */
void
timer_fire (struct Timer *timer);
