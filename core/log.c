#include <buckthornhead/log.h>

#include <buckthornhead/call.h>

#include <errno.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdatomic.h>
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

/* RFC 3339 in UTC. The wall clock is read here only to stamp lines; nothing is decided by it. */
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

/* A string value. Text that is no UTF-8 (a backend server's answer, a cut message) would make the
 * whole line unwritable, so its bytes above ASCII become '?'. */
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

/* One write(2), so that lines of several threads never mix. */
static void
write_line (char *text)
{
  size_t n = strlen (text);
  ssize_t written;

  text[n] = '\n';
  do
    written = write (STDERR_FILENO, text, n + 1);
  while (written < 0 && errno == EINTR);
}

void
log_open (const char *instance, const char *zone, enum LogLevel level)
{
  snprintf (log_instance, sizeof log_instance, "%s", instance);
  snprintf (log_zone, sizeof log_zone, "%s", zone);
  atomic_store (&log_level, (int)level);
}

void
log_event (enum LogLevel level,
           const char *event,
           const char *program,
           const char *remedy,
           const char *cause_format,
           ...)
{
  char cause[CAUSE_MAX_BYTES];
  char stamp[TIME_BYTES];
  json_t *line;
  char *text;
  va_list args;

  if ((int)level > atomic_load_explicit (&log_level, memory_order_relaxed))
    return;
  line = json_object ();
  format_time (stamp);
  set_text (line, "time", stamp);
  set_text (line, "level", level_name (level));
  json_object_set_new (line, "severity", json_integer (level));
  set_text (line, "instance", log_instance);
  set_text (line, "availability_zone", log_zone);
  set_text (line, "event", event);
  set_text (line, "program", program);
  if (cause_format != NULL)
    {
      va_start (args, cause_format);
      vsnprintf (cause, sizeof cause, cause_format, args);
      va_end (args);
      set_text (line, "cause", cause);
    }
  set_text (line, "remedy", remedy);
  text = json_dumps (line, JSON_COMPACT);
  if (text != NULL)
    write_line (text);
  free (text);
  json_decref (line);
}
