/* Error kinds of all programs.
 *
 * Every function that can fail returns int32_t: ERROR_NONE or one of the negative kinds below. An
 * error that is reported to an operator or a caller is a struct Fault, whose message describes the
 * error and whose remedy describes how to resolve it. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum ErrorKind
{
  ERROR_NONE = 0,
  ERROR_INVALID = -1, /* malformed or out-of-range input */
  ERROR_NO_MEMORY = -2,
  ERROR_NOT_FOUND = -3,
  ERROR_CONFLICT = -4,       /* a compare-and-swap failed, or a concurrent change won */
  ERROR_UNREACHABLE = -5,    /* not applied: the request was never sent */
  ERROR_UNKNOWN_EFFECT = -6, /* the response was lost; the request may have been applied */
  ERROR_RATE_LIMITED = -7,   /* rejected by a limit, not applied */
  ERROR_TIMEOUT = -8,
  ERROR_FENCED = -9,         /* this incarnation is sealed and owns nothing */
  ERROR_NOT_OWNER = -10,     /* another instance owns the partition or backend server */
  ERROR_OUT_OF_ORDER = -11,  /* a sequence number other than the expected one */
  ERROR_BUDGET = -12,        /* the program's budget cannot cover the call */
  ERROR_DEADLINE = -13,      /* the call cannot finish before its deadline */
  ERROR_ENDED = -14,         /* the program has ended */
  ERROR_MAY_HAVE_RUN = -15,  /* a non-idempotent call of unknown outcome; never sent again */
  ERROR_QUARANTINED = -16,   /* every backend server that ran the request failed */
  ERROR_OVERLOADED = -17,    /* rejected at once; retry later */
  ERROR_DRAINING = -18,      /* planned stop in progress */
  ERROR_BACKEND = -19,       /* the backend server responded with a failure */
  ERROR_PLATFORM_DOWN = -20, /* the key-value service does not respond */
  ERROR_CANCELLED = -21,
  ERROR_IO = -22,
  ERROR_UNAUTHORIZED = -23,
  ERROR_TOO_LARGE = -24,
  ERROR_UNKNOWN_CALL = -25 /* the sequence number belongs to a different request */
};

enum
{
  FAULT_MESSAGE_BYTES = 256,
  FAULT_REMEDY_BYTES = 256
};

/* An error with a message and a remedy for an operator or a caller. */
struct Fault
{
  int32_t error; /* enum ErrorKind */
  char message[FAULT_MESSAGE_BYTES];
  char remedy[FAULT_REMEDY_BYTES];
};

/* Returns the stable name of an error kind in logs and responses, such as "out_of_order". */
const char *
error_name (int32_t error);

/* Returns the default remedy of an error kind. */
const char *
error_remedy (int32_t error);

/* Returns the kind of a failed system call, from its errno value. What is wrong until someone
 * changes the settings or the permissions is ERROR_INVALID or ERROR_UNAUTHORIZED; what the machine
 * doesn't provide at the moment is ERROR_IO, such as a port in use, an address that is not up, a
 * folder that is not mounted, full or read-only, or used-up descriptors. */
int32_t
error_from_errno (int number);

/* Returns true if the same operation may succeed later without a change of the settings. */
bool
error_may_pass (int32_t error);

/* Fills in fault and returns error. If remedy is NULL, error_remedy (error) is used. */
int32_t
fault_set (struct Fault *fault, int32_t error, const char *remedy, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
