#include "loop_echo.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <fcntl.h>
#include <unistd.h>

enum
{
  ECHO_PERIOD_MS = 250 /* half the period of the heartbeats, which report the result */
};

struct LoopEcho
{
  struct Node *node;
  struct LoopLag lag;
  int ends[2];     /* of the pipe: read, write */
  int64_t sent_ms; /* when the byte in the pipe was written; 0: none */
};

static int
loop_echo_free (struct LoopEcho *echo)
{
  close (echo->ends[0]);
  close (echo->ends[1]);
  return 0;
}

static void
loop_echo_note (struct LoopEcho *echo, int64_t lag_ms)
{
  bool was_overloaded = echo->lag.overloaded;

  loop_lag_record (&echo->lag, lag_ms);
  gauge_set (GAUGE_LOOP_LAG_MS, echo->lag.lag_ms);
  if (echo->lag.overloaded != was_overloaded)
    log_event (LOG_LEVEL_NOTICE, echo->lag.overloaded ? "strained" : "relieved", NULL, NULL,
               "events wait %u ms for the processor", echo->lag.lag_ms);
}

static void
loop_echo_on_byte (struct tevent_context *events,
                   struct tevent_fd *watch,
                   uint16_t flags,
                   void *data)
{
  struct LoopEcho *echo = data;
  char byte;

  (void)events;
  (void)watch;
  (void)flags;
  if (read (echo->ends[0], &byte, 1) != 1 || echo->sent_ms == 0)
    return;
  loop_echo_note (echo, timer_now_ms (echo->node->timers) - echo->sent_ms);
  echo->sent_ms = 0;
}

static void
loop_echo_on_period (void *data)
{
  struct LoopEcho *echo = data;
  int64_t now_ms = timer_now_ms (echo->node->timers);

  if (echo->sent_ms > 0)
    loop_echo_note (echo, now_ms - echo->sent_ms);
  else if (write (echo->ends[1], "", 1) == 1)
    echo->sent_ms = now_ms;
}

struct LoopEcho *
loop_echo_new (TALLOC_CTX *ctx, struct Node *node)
{
  struct LoopEcho *echo = talloc_zero (ctx, struct LoopEcho);

  if (echo == NULL)
    return NULL;
  echo->node = node;
  if (pipe2 (echo->ends, O_NONBLOCK | O_CLOEXEC) != 0)
    {
      talloc_free (echo);
      return NULL;
    }
  talloc_set_destructor (echo, loop_echo_free);
  tevent_add_fd (node->events, echo, echo->ends[0], TEVENT_FD_READ, loop_echo_on_byte, echo);
  timer_subscribe (echo, node->timers, ECHO_PERIOD_MS, ECHO_PERIOD_MS, loop_echo_on_period, echo);
  return echo;
}

bool
loop_echo_is_overloaded (const struct LoopEcho *echo)
{
  return echo->lag.overloaded;
}
