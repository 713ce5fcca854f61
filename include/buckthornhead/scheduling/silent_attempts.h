/* Attempts at servers that ended without a response or a broken connection, as after a loss of
 * power or in front of a slow server.
 *
 * Whether the server crashed is known only later, when the platform's list has no entry of it any
 * more, or one with a later start time. Does no I/O. */
#pragma once

#include <buckthornhead/scheduling/quarantine.h>
#include <buckthornhead/scheduling/replica_set.h>

enum
{
  SILENT_ATTEMPTS_MAX = 256 /* a further one replaces the oldest */
};

struct SilentAttempt
{
  uint8_t digest[DIGEST_BYTES]; /* of the request */
  struct CrashRecord crash;     /* .ended_ms: when the attempt was given up */
};

/* Zero-initialised, it is empty. */
struct SilentAttempts
{
  struct SilentAttempt items[SILENT_ATTEMPTS_MAX]; /* oldest first */
  size_t n_items;
};

void
silent_attempts_add (struct SilentAttempts *attempts, const struct SilentAttempt *attempt);

/* Removes the attempts of a request, which has had a complete response. */
void
silent_attempts_forget (struct SilentAttempts *attempts, const uint8_t digest[DIGEST_BYTES]);

/* Removes the oldest attempt whose server has ended and copies it to ended. Returns false if there
 * is none. Removes attempts that are too old to be the cause as well. */
bool
silent_attempts_take_ended (struct SilentAttempts *attempts,
                            const struct ReplicaSet *set,
                            int64_t now_ms,
                            struct SilentAttempt *ended);
