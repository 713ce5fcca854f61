#include <buckthornhead/process_signals.h>

#include <buckthornhead/clock.h>
#include <buckthornhead/log.h>

#include <errno.h>
#include <signal.h>
#include <time.h>

struct StopHandler
{
  StopFn stop;
  void *data;
};

static void
held_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
}

void
process_signals_block (void)
{
  sigset_t set;

  held_signals (&set);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  /* Sent to the holder of a file lease (file_settle.c) when the file is opened for writing. */
  signal (SIGIO, SIG_IGN);
}

void
process_signals_unblock (void)
{
  sigset_t set;

  held_signals (&set);
  sigprocmask (SIG_UNBLOCK, &set, NULL);
}

static void
on_stop (struct tevent_context *events,
         struct tevent_signal *signal,
         int number,
         int count,
         void *info,
         void *data)
{
  const struct StopHandler *handler = data;

  (void)events;
  (void)signal;
  (void)count;
  (void)info;
  handler->stop (handler->data, number);
}

/* The platform sends SIGHUP after it has rendered the settings again. There is nothing to reload:
 * the addresses and names of a running process don't change, and the rest comes from the store. */
static void
on_reload (struct tevent_context *events,
           struct tevent_signal *signal,
           int number,
           int count,
           void *info,
           void *data)
{
  (void)events;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  (void)data;
  log_event (LOG_LEVEL_NOTICE, "reload_asked", NULL, NULL,
             "nothing reloaded: settings are read only at start, the configuration from the store");
}

bool
process_signals_handle (TALLOC_CTX *ctx, struct tevent_context *events, StopFn stop, void *data)
{
  struct StopHandler *handler = talloc (ctx, struct StopHandler);

  if (handler == NULL)
    return false;
  handler->stop = stop;
  handler->data = data;
  return tevent_add_signal (events, handler, SIGTERM, 0, on_stop, handler) != NULL
         && tevent_add_signal (events, handler, SIGINT, 0, on_stop, handler) != NULL
         && tevent_add_signal (events, handler, SIGHUP, 0, on_reload, handler) != NULL;
}

int
process_signals_wait (uint32_t timeout_ms)
{
  int64_t end_ms = clock_monotonic_ms () + timeout_ms;
  sigset_t set;

  held_signals (&set);
  for (;;)
    {
      int64_t left_ms = end_ms - clock_monotonic_ms ();
      struct timespec timeout = { 0 };
      int number;

      if (left_ms > 0)
        timeout = (struct timespec){ left_ms / 1000, left_ms % 1000 * 1000000 };
      number = sigtimedwait (&set, NULL, &timeout);
      if (number > 0)
        return number;
      if (errno != EINTR)
        return 0;
    }
}
