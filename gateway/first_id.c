#include "first_id.h"

#include <buckthornhead/clock.h>

#include <sys/random.h>
#include <unistd.h>
#include <xxhash.h>

/* Leaves the highest bits of ids unset: COPY_WANT_CLOCK, COPY_WANT_FILE, and one against an
 * overflow. */
static const uint64_t first_id_mask = UINT64_MAX >> 3;

uint64_t
first_id (void)
{
  /* Used if the system has no random numbers, or none yet after its boot. */
  int64_t seed[] = { clock_unix_ms (), clock_monotonic_ms (), getpid () };
  uint64_t id;

  if (getrandom (&id, sizeof id, GRND_NONBLOCK) != sizeof id)
    id = XXH64 (seed, sizeof seed, 0);
  return id & first_id_mask;
}
