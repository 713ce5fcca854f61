/* JSON log lines with syslog levels, on standard error or on the descriptor set by log_set_fd. */
#pragma once

#include <stdint.h>

enum LogLevel
{
  LOG_LEVEL_ERROR = 3, /* syslog severities */
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
};

enum
{
  /* Lines on single requests per second and process: twice the peak request rate of the smallest
   * instances of the deployments. */
  LOG_REQUESTS_PER_S = 300
};

/* Sends all further lines to fd, which becomes non-blocking: lines that it cannot accept are lost.
 * The default is standard error. */
void
log_set_fd (int fd);

/* Sets the instance and zone of all lines; called once at start. Lines above level are dropped. */
void
log_init (const char *instance, const char *zone, enum LogLevel level);

/* Writes one line. program, cause_format and remedy may be NULL. Thread-safe. */
void
log_event (enum LogLevel level,
           const char *event,
           const char *program,
           const char *remedy,
           const char *cause_format,
           ...) __attribute__ ((format (printf, 5, 6)));

/* Writes one line on a decision about a caller's request: its id, its program if it has one, and
 * the inputs of the decision. Beyond LOG_REQUESTS_PER_S lines per second they are only counted, and
 * the next line that is written contains the count. */
void
log_request (enum LogLevel level,
             const char *event,
             const char *request,
             const char *program,
             const char *inputs_format,
             ...) __attribute__ ((format (printf, 5, 6)));
