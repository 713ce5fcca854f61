#include <buckthornhead/error.h>

#include <errno.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

struct ErrorInfo
{
  int32_t error;
  const char *name;
  const char *remedy;
};

static const struct ErrorInfo error_infos[] = {
  { ERROR_NONE, "none", "" },
  { ERROR_INVALID, "invalid", "correct the request and send it again" },
  { ERROR_NO_MEMORY, "no_memory", "send it again later; give the instance more memory" },
  { ERROR_NOT_FOUND, "not_found", "check the name" },
  { ERROR_CONFLICT, "conflict", "read the current state and decide again" },
  { ERROR_UNREACHABLE, "unreachable", "send it again" },
  { ERROR_UNKNOWN_EFFECT, "unknown_effect", "read back before sending it again" },
  { ERROR_RATE_LIMITED, "rate_limited", "retry after the given time" },
  { ERROR_TIMEOUT, "timeout", "send the same call again to learn its outcome" },
  { ERROR_FENCED, "fenced", "get the current addresses and send the same call there" },
  { ERROR_NOT_OWNER, "not_owner", "get the current addresses and send the same call there" },
  { ERROR_OUT_OF_ORDER, "out_of_order", "send the expected sequence number" },
  { ERROR_BUDGET, "budget", "end the program, or start one with a larger budget" },
  { ERROR_DEADLINE, "deadline", "allow the call more time" },
  { ERROR_ENDED, "ended", "start a new program" },
  { ERROR_MAY_HAVE_RUN, "may_have_run",
    "check with the service whether it took effect; it is never sent again" },
  { ERROR_QUARANTINED, "quarantined", "change the request: every server that ran it failed" },
  { ERROR_OVERLOADED, "overloaded", "retry after the given time" },
  { ERROR_DRAINING, "draining", "get the current addresses and send the same call there" },
  { ERROR_BACKEND, "backend", "check the response of the backend server" },
  { ERROR_PLATFORM_DOWN, "platform_down", "retry after the given time" },
  { ERROR_CANCELLED, "cancelled", "send it again if it is still needed" },
  { ERROR_IO, "io", "check the instance's log" },
  { ERROR_UNAUTHORIZED, "unauthorized", "send the operators' token" },
  { ERROR_TOO_LARGE, "too_large", "send less" },
  { ERROR_UNKNOWN_CALL, "unknown_call", "use the next sequence number for another request" },
};

static const struct ErrorInfo *
error_find (int32_t error)
{
  for (size_t i = 0; i < sizeof error_infos / sizeof error_infos[0]; i++)
    if (error_infos[i].error == error)
      return &error_infos[i];
  return NULL;
}

const char *
error_name (int32_t error)
{
  const struct ErrorInfo *info = error_find (error);

  return info != NULL ? info->name : "unnamed";
}

const char *
error_remedy (int32_t error)
{
  const struct ErrorInfo *info = error_find (error);

  return info != NULL ? info->remedy : "check the instance's log";
}

int32_t
error_from_errno (int number)
{
  switch (number)
    {
    case EACCES:
    case EPERM:
      return ERROR_UNAUTHORIZED;
    case EAFNOSUPPORT:
    case EINVAL:
    case ELOOP:
    case ENAMETOOLONG:
      return ERROR_INVALID;
    case ENOMEM:
      return ERROR_NO_MEMORY;
    default:
      return ERROR_IO;
    }
}

bool
error_may_pass (int32_t error)
{
  return error == ERROR_IO || error == ERROR_NO_MEMORY;
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
