/* Typed errors of the whole product.
 *
 * Every function that can fail returns int32_t: ERROR_NONE or one of the negative kinds below. A
 * fault that a person or a caller will read travels as struct Fault, whose message says what is
 * wrong and whose remedy says what to do about it. */
#pragma once

#include <stdint.h>

enum ErrorKind
{
  ERROR_NONE = 0,
  ERROR_INVALID = -1, /* malformed or out-of-range input */
  ERROR_NO_MEMORY = -2,
  ERROR_NOT_FOUND = -3,
  ERROR_CONFLICT = -4,       /* compare-and-swap lost, or a change raced another */
  ERROR_UNREACHABLE = -5,    /* certainly not applied: the request never left */
  ERROR_UNKNOWN_EFFECT = -6, /* the answer was lost: may or may not have been applied */
  ERROR_RATE_LIMITED = -7,   /* refused by a limit, not applied */
  ERROR_TIMEOUT = -8,
  ERROR_FENCED = -9,         /* this incarnation was sealed: it owns nothing any more */
  ERROR_NOT_OWNER = -10,     /* the partition or backend server belongs to another instance */
  ERROR_OUT_OF_ORDER = -11,  /* a sequence number other than the expected one */
  ERROR_BUDGET = -12,        /* the program's budget can not cover the call */
  ERROR_DEADLINE = -13,      /* the call can not finish before its deadline */
  ERROR_ENDED = -14,         /* the program has ended */
  ERROR_MAY_HAVE_RUN = -15,  /* a non-idempotent call whose outcome is unknown: never sent again */
  ERROR_QUARANTINED = -16,   /* a request that stopped every backend server which ran it */
  ERROR_OVERLOADED = -17,    /* refused at once, come back later */
  ERROR_DRAINING = -18,      /* planned stop in progress */
  ERROR_BACKEND = -19,       /* the backend server answered with a failure */
  ERROR_PLATFORM_DOWN = -20, /* the key-value service does not answer */
  ERROR_CANCELLED = -21,
  ERROR_IO = -22,
  ERROR_UNAUTHORIZED = -23,
  ERROR_TOO_LARGE = -24,
  ERROR_UNKNOWN_CALL = -25 /* same sequence number, different request */
};

enum
{
  FAULT_MESSAGE_BYTES = 256,
  FAULT_REMEDY_BYTES = 256
};

/* An error with the words for whoever has to act on it. */
struct Fault
{
  int32_t error; /* enum ErrorKind */
  char message[FAULT_MESSAGE_BYTES];
  char remedy[FAULT_REMEDY_BYTES];
};

/* The kind's stable name as it stands in logs and answers, such as "out_of_order". */
const char *
error_name (int32_t error);

/* What to do about an error of this kind when nothing more specific is known. */
const char *
error_remedy (int32_t error);

/* Fills in fault and returns error. A NULL remedy takes error_remedy (error). */
int32_t
fault_set (struct Fault *fault, int32_t error, const char *remedy, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
