/* Starts of a long-running process that fail for a condition of the machine: a port that is in use,
 * an address that is not up, a folder that is not mounted. They pass, so that the process tries
 * again until it starts, and logs meanwhile what it waits for. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>

/* Zeroed before the first attempt. */
struct ProcessStart
{
  uint32_t wait_ms;  /* before the next attempt */
  int64_t logged_ms; /* 0: nothing logged yet */
  char logged_message[FAULT_MESSAGE_BYTES];
};

/* Sets the instance and zone of all log lines, and at the first attempt logs the start. */
void
process_start_begin (const char *instance, const char *zone);

/* Waits with the process's signals blocked (process_signals.h), of which each ends the wait.
 * Returns false when a stop was requested by SIGTERM or SIGINT, and logs it. */
bool
process_start_pause (uint32_t timeout_ms);

/* Logs the fault of an attempt, one of error_may_pass, and waits like process_start_pause. */
bool
process_start_wait (struct ProcessStart *start, const struct Fault *fault);
