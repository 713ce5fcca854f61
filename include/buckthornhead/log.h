/* JSON log lines on standard error, with syslog's levels and fields. */
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
