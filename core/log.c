#include <buckthornhead/log.h>

#include <buckthornhead/call.h>

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  CAUSE_MAX_BYTES = 1024,
  TIME_BYTES = sizeof "2026-12-02T20:41:22.000Z" + 32
};

static char log_instance[NAME_MAX_BYTES + 1];
static char log_zone[NAME_MAX_BYTES + 1];
static _Atomic int log_level = LOG_LEVEL_INFO;
static _Atomic int log_fd = STDERR_FILENO;

/* Request lines in the current second, and those suppressed since the last one written. */
static _Atomic int64_t request_second_s;
static _Atomic uint32_t request_lines, request_lines_suppressed;

static const char *
level_name (enum LogLevel level)
{
  switch (level)
    {
    case LOG_LEVEL_ERROR:
      return "error";
    case LOG_LEVEL_WARNING:
      return "warning";
    case LOG_LEVEL_NOTICE:
      return "notice";
    case LOG_LEVEL_INFO:
      return "info";
    case LOG_LEVEL_DEBUG:
      return "debug";
    }
  return "unnamed";
}

/* Formats the time as RFC 3339 in UTC. The wall clock is only used for timestamps, never for
 * decisions. */
static void
format_time (char out[TIME_BYTES])
{
  struct timespec now;
  struct tm utc;
  size_t n;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  n = strftime (out, TIME_BYTES, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (out + n, TIME_BYTES - n, ".%03ldZ", now.tv_nsec / 1000000);
}

/* Returns text as a JSON string. jansson rejects text that is not valid UTF-8 (a backend server's
 * response, a truncated message), so its non-ASCII bytes are then replaced by '?'. */
static json_t *
text_value (const char *text)
{
  json_t *value = json_string (text);
  char *ascii;

  if (value != NULL)
    return value;
  ascii = strdup (text);
  if (ascii == NULL)
    return NULL;
  for (char *c = ascii; *c != '\0'; c++)
    if ((unsigned char)*c >= 0x80)
      *c = '?';
  value = json_string (ascii);
  free (ascii);
  return value;
}

static void
set_text (json_t *line, const char *key, const char *text)
{
  if (text != NULL)
    json_object_set_new (line, key, text_value (text));
}

/* Writes a line by one write(2), so that lines of several threads never mix. A reader that has
 * stopped must not block the process: on a non-blocking descriptor the line is lost instead. */
static void
write_line (char *text)
{
  size_t n = strlen (text);
  ssize_t written;

  text[n] = '\n';
  do
    written = write (atomic_load (&log_fd), text, n + 1);
  while (written < 0 && errno == EINTR);
}

void
log_init (const char *instance, const char *zone, enum LogLevel level)
{
  snprintf (log_instance, sizeof log_instance, "%s", instance);
  snprintf (log_zone, sizeof log_zone, "%s", zone);
  atomic_store (&log_level, (int)level);
}

void
log_set_fd (int fd)
{
  int flags = fcntl (fd, F_GETFL);

  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  atomic_store (&log_fd, fd);
}

static json_t *
line_new (enum LogLevel level, const char *event)
{
  char stamp[TIME_BYTES];
  json_t *line = json_object ();

  format_time (stamp);
  set_text (line, "time", stamp);
  set_text (line, "level", level_name (level));
  json_object_set_new (line, "severity", json_integer (level));
  set_text (line, "instance", log_instance);
  set_text (line, "availability_zone", log_zone);
  set_text (line, "event", event);
  return line;
}

static void
line_write (json_t *line)
{
  char *text = json_dumps (line, JSON_COMPACT);

  if (text != NULL)
    write_line (text);
  free (text);
  json_decref (line);
}

static void
set_formatted_text (json_t *line, const char *key, const char *format, va_list args)
{
  char text[CAUSE_MAX_BYTES];

  if (format == NULL)
    return;
  vsnprintf (text, sizeof text, format, args);
  set_text (line, key, text);
}

void
log_event (enum LogLevel level,
           const char *event,
           const char *program,
           const char *remedy,
           const char *cause_format,
           ...)
{
  json_t *line;
  va_list args;

  if ((int)level > atomic_load_explicit (&log_level, memory_order_relaxed))
    return;
  line = line_new (level, event);
  set_text (line, "program", program);
  va_start (args, cause_format);
  set_formatted_text (line, "cause", cause_format, args);
  va_end (args);
  set_text (line, "remedy", remedy);
  line_write (line);
}

/* Counts a request line; true when it exceeds the limit for the current second. */
static bool
request_line_exceeds_limit (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  if (atomic_exchange (&request_second_s, now.tv_sec) != now.tv_sec)
    atomic_store (&request_lines, 0);
  if (atomic_fetch_add (&request_lines, 1) < LOG_REQUESTS_PER_S)
    return false;
  atomic_fetch_add (&request_lines_suppressed, 1);
  return true;
}

void
log_request (enum LogLevel level,
             const char *event,
             const char *request,
             const char *program,
             const char *inputs_format,
             ...)
{
  uint32_t n_suppressed;
  json_t *line;
  va_list args;

  if ((int)level > atomic_load_explicit (&log_level, memory_order_relaxed)
      || request_line_exceeds_limit ())
    return;
  line = line_new (level, event);
  set_text (line, "request", request);
  if (program != NULL && program[0] != '\0')
    set_text (line, "program", program);
  va_start (args, inputs_format);
  set_formatted_text (line, "inputs", inputs_format, args);
  va_end (args);
  n_suppressed = atomic_exchange (&request_lines_suppressed, 0);
  if (n_suppressed > 0)
    json_object_set_new (line, "suppressed", json_integer (n_suppressed));
  line_write (line);
}
