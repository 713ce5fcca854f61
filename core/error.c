#include <buckthornhead/error.h>

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

struct ErrorWords
{
  int32_t error;
  const char *name;
  const char *remedy;
};

static const struct ErrorWords words[] = {
  { ERROR_NONE, "none", "" },
  { ERROR_INVALID, "invalid", "correct the request and send it again" },
  { ERROR_NO_MEMORY, "no_memory", "send it again later; give the instance more memory" },
  { ERROR_NOT_FOUND, "not_found", "check the name" },
  { ERROR_CONFLICT, "conflict", "read the present state and decide again" },
  { ERROR_UNREACHABLE, "unreachable", "send it again" },
  { ERROR_UNKNOWN_EFFECT, "unknown_effect", "read back before sending it again" },
  { ERROR_RATE_LIMITED, "rate_limited", "come back at the time given" },
  { ERROR_TIMEOUT, "timeout", "send the same call again to learn its outcome" },
  { ERROR_FENCED, "fenced", "ask for the present addresses and send the same call there" },
  { ERROR_NOT_OWNER, "not_owner", "ask for the present addresses and send the same call there" },
  { ERROR_OUT_OF_ORDER, "out_of_order", "send the sequence number that is expected" },
  { ERROR_BUDGET, "budget", "end the program, or start one with a larger budget" },
  { ERROR_DEADLINE, "deadline", "give the call more time" },
  { ERROR_ENDED, "ended", "start a new program" },
  { ERROR_MAY_HAVE_RUN, "may_have_run",
    "find out from the service whether it took effect; it is never sent again" },
  { ERROR_QUARANTINED, "quarantined", "change the request: it stopped every server that ran it" },
  { ERROR_OVERLOADED, "overloaded", "come back at the time given" },
  { ERROR_DRAINING, "draining", "ask for the present addresses and send the same call there" },
  { ERROR_BACKEND, "backend", "look at the answer of the backend server" },
  { ERROR_PLATFORM_DOWN, "platform_down", "come back at the time given" },
  { ERROR_CANCELLED, "cancelled", "send it again if it is still wanted" },
  { ERROR_IO, "io", "look at the instance's log" },
  { ERROR_UNAUTHORIZED, "unauthorized", "send the operators' token" },
  { ERROR_TOO_LARGE, "too_large", "send less" },
  { ERROR_UNKNOWN_CALL, "unknown_call", "use the next sequence number for another request" },
};

static const struct ErrorWords *
error_find (int32_t error)
{
  for (size_t i = 0; i < sizeof words / sizeof words[0]; i++)
    if (words[i].error == error)
      return &words[i];
  return NULL;
}

const char *
error_name (int32_t error)
{
  const struct ErrorWords *w = error_find (error);

  return w != NULL ? w->name : "unnamed";
}

const char *
error_remedy (int32_t error)
{
  const struct ErrorWords *w = error_find (error);

  return w != NULL ? w->remedy : "look at the instance's log";
}

int32_t
fault_set (struct Fault *fault, int32_t error, const char *remedy, const char *format, ...)
{
  va_list args;

  fault->error = error;
  va_start (args, format);
  vsnprintf (fault->message, sizeof fault->message, format, args);
  va_end (args);
  snprintf (fault->remedy, sizeof fault->remedy, "%s",
            remedy != NULL ? remedy : error_remedy (error));
  return error;
}
