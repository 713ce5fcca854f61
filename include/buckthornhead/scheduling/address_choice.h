/* Which gateways callers are sent to.
 *
 * Callers keep a list for seconds and pick at random from it, so that each list carries its share
 * of all callers. Answers two loads. After a stop of everything the gateways of a zone come back
 * one after the other within half a second: the first lists named two of 36, and these two had the
 * callers of all for the next four seconds (17 to 31 sent back each, 40 programs late). And a
 * machine that is slow, or has more callers than it can serve, keeps all of them waiting while
 * others idle. Pure. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  ADDRESSES_MAX = 64, /* that a caller can use */
  /* One gateway more than may be lost at once. */
  ZONE_ADDRESSES_MIN = 2,
  /* A list is thin with fewer than this share of the zone's gateways. Half of them carry their zone
   * on any day of load that was measured; fewer do not. */
  THIN_PERCENT = 50
};

/* A gateway that takes callers. */
struct AddressCandidate
{
  const char *address;
  bool near;     /* in the caller's availability zone */
  bool strained; /* its callers wait for its processor */
};

/* The addresses for a caller: of its zone if there are enough, and without the strained ones unless
 * these are more than half. Of more than a caller can use, each caller gets others, so that all
 * gateways have their share; it gets the same ones each time, since it closes its connections to
 * those that a new list lacks. Returns how many. */
size_t
address_choose (const struct AddressCandidate *candidates,
                size_t n,
                const char *caller,
                const char *addresses[ADDRESSES_MAX]);

/* Whether so few of the zone's gateways are ready that a list of them would overload them. */
bool
address_list_is_thin (size_t n_ready, size_t n_known);

/* How long events of this process wait for the processor, smoothed. */
struct LoopLag
{
  uint32_t lag_ms; /* moving mean of the last few */
  bool strained;
};

/* One event waited lag_ms. A turn passes the loop some five times before its first piece: at 50 ms
 * each it has spent the objective of the sheets, 250 ms, on waiting alone. Strained from there on,
 * until it is back at a third. */
void
loop_lag_note (struct LoopLag *lag, int64_t lag_ms);
