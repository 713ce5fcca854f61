#include <buckthornhead/process_start.h>

#include <buckthornhead/clock.h>
#include <buckthornhead/log.h>
#include <buckthornhead/process_limits.h>
#include <buckthornhead/process_signals.h>

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  WAIT_FIRST_MS = 200,
  WAIT_MAX_MS = 1000,
  LOG_PERIOD_MS = 10 * 1000 /* of the same fault */
};

void
process_start_begin (const char *instance, const char *zone)
{
  static bool begun;

  log_init (instance, zone, LOG_LEVEL_INFO);
  if (!begun)
    process_limits_log ();
  begun = true;
}

static void
log_delay (struct ProcessStart *start, const struct Fault *fault)
{
  int64_t now_ms = clock_monotonic_ms ();

  if (strcmp (start->logged_message, fault->message) == 0
      && now_ms - start->logged_ms < LOG_PERIOD_MS)
    return;
  snprintf (start->logged_message, sizeof start->logged_message, "%s", fault->message);
  start->logged_ms = now_ms;
  log_event (LOG_LEVEL_WARNING, "start_delayed", NULL, fault->remedy,
             "%s; tried again until it succeeds", fault->message);
}

bool
process_start_pause (uint32_t timeout_ms)
{
  int number = process_signals_wait (timeout_ms);

  if (number != SIGTERM && number != SIGINT)
    return true;
  log_event (LOG_LEVEL_NOTICE, "stop_asked", NULL, NULL, "signal %d", number);
  log_event (LOG_LEVEL_NOTICE, "stopped", NULL, NULL, "before it had started");
  return false;
}

bool
process_start_wait (struct ProcessStart *start, const struct Fault *fault)
{
  log_delay (start, fault);
  start->wait_ms = start->wait_ms == 0 ? WAIT_FIRST_MS : start->wait_ms * 2;
  if (start->wait_ms > WAIT_MAX_MS)
    start->wait_ms = WAIT_MAX_MS;
  return process_start_pause (start->wait_ms);
}
