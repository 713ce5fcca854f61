/* JSON log lines with syslog's levels and fields: on standard error, or where log_to says. */
#pragma once

#include <stdint.h>

enum LogLevel
{
  LOG_LEVEL_ERROR = 3, /* syslog's numbers */
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
};

enum
{
  /* Lines on single requests that one process writes a second; twice the requests that the smallest
   * machines of the sheets take at their peak. */
  LOG_REQUESTS_PER_S = 300
};

/* All further lines go to fd, which becomes non-blocking: a line that it does not take is lost. */
void
log_to (int fd);

/* Who writes; called once at start. Lines above level are dropped. */
void
log_open (const char *instance, const char *zone, enum LogLevel level);

/* One line. program, cause and remedy may be NULL. Safe from any thread. */
void
log_event (enum LogLevel level,
           const char *event,
           const char *program,
           const char *remedy,
           const char *cause_format,
           ...) __attribute__ ((format (printf, 5, 6)));

/* One line on a decision that touches a caller's request: its id, its program if it has one, and
 * what decided. Written to standard output. Beyond LOG_REQUESTS_PER_S lines a second they are
 * counted instead, and the count goes into the next line that is written. */
void
log_request (enum LogLevel level,
             const char *event,
             const char *request,
             const char *program,
             const char *inputs_format,
             ...) __attribute__ ((format (printf, 5, 6)));
