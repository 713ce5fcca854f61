#include <buckthornhead/scheduling/silent_attempts.h>

#include <string.h>

enum
{
  /* Entries of crashed servers are removed after three of their heartbeats, a few seconds. */
  SILENT_KEEP_MS = 15000
};

static void
attempts_remove (struct SilentAttempts *attempts, size_t at)
{
  attempts->n_items--;
  memmove (attempts->items + at, attempts->items + at + 1,
           (attempts->n_items - at) * sizeof attempts->items[0]);
}

void
silent_attempts_add (struct SilentAttempts *attempts, const struct SilentAttempt *attempt)
{
  if (attempts->n_items == SILENT_ATTEMPTS_MAX)
    attempts_remove (attempts, 0);
  attempts->items[attempts->n_items++] = *attempt;
}

void
silent_attempts_forget (struct SilentAttempts *attempts, const uint8_t digest[DIGEST_BYTES])
{
  for (size_t i = attempts->n_items; i-- > 0;)
    if (memcmp (attempts->items[i].digest, digest, DIGEST_BYTES) == 0)
      attempts_remove (attempts, i);
}

static bool
server_has_ended (const struct ReplicaSet *set, const struct CrashRecord *crash)
{
  const struct Replica *replica = replica_set_find (set, crash->server);

  return replica == NULL || (!replica->listed && !replica->kept)
         || replica->entry.started_unix_ms != crash->started_unix_ms;
}

bool
silent_attempts_take_ended (struct SilentAttempts *attempts,
                            const struct ReplicaSet *set,
                            int64_t now_ms,
                            struct SilentAttempt *ended)
{
  while (attempts->n_items > 0 && now_ms - attempts->items[0].crash.ended_ms > SILENT_KEEP_MS)
    attempts_remove (attempts, 0);
  for (size_t i = 0; i < attempts->n_items; i++)
    {
      if (!server_has_ended (set, &attempts->items[i].crash))
        continue;
      *ended = attempts->items[i];
      attempts_remove (attempts, i);
      return true;
    }
  return false;
}
