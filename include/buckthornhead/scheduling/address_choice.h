/* Selection of the gateway addresses that a caller is given, and detection of an overloaded event
 * loop.
 *
 * A caller caches its list for seconds and picks a gateway at random for each call, so the lists
 * determine how callers are spread. Two cases need care. After a restart of the whole deployment
 * the gateways of a zone become ready within half a second of each other: the first lists named two
 * of 36 gateways, which received all callers for the next four seconds (17 to 31 calls rejected at
 * each, 40 programs late). And a gateway that is slow, or has more callers than it can serve,
 * delays all of them while others are idle. Does no I/O. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Maximum number of addresses that a caller uses from a list. */
  ADDRESSES_MAX = 64,
  /* Gateways of the caller's zone below which other zones are listed too: one more than the number
   * that may fail at the same time. */
  ZONE_ADDRESSES_MIN = 2,
  /* A list with a smaller share of the zone's gateways is too short: half of a zone's gateways
   * can carry the zone's load, fewer cannot. */
  LIST_MIN_PERCENT = 50
};

/* A gateway that accepts callers. */
struct AddressCandidate
{
  const char *address;
  bool in_zone;    /* in the caller's availability zone */
  bool overloaded; /* its event loop lags; see struct LoopLag */
};

/* Selects the addresses for a caller and returns their number. Only gateways of the caller's zone
 * are selected if there are enough, and no overloaded ones unless more than half of the gateways
 * are overloaded or fewer than ZONE_ADDRESSES_MIN would remain. If there are more than
 * ADDRESSES_MAX, each caller gets a different selection, so that all gateways receive callers. A
 * caller's selection is stable, since a caller closes its connections to gateways that a new list
 * omits. */
size_t
address_list_select (const struct AddressCandidate *candidates,
                     size_t n,
                     const char *caller,
                     const char *addresses[ADDRESSES_MAX]);

/* Returns whether so few of the zone's known gateways are ready that listing only these would
 * overload them. */
bool
address_list_is_too_short (size_t n_ready, size_t n_known);

/* Event loop lag: how long events of this process wait for the processor. */
struct LoopLag
{
  uint32_t lag_ms; /* exponential moving average */
  bool overloaded;
};

/* Records one lag measurement. A turn passes the event loop about five times before the first
 * chunk of its response, so that at 50 ms each the waits alone use up the 250 ms objective of the
 * deployments. .overloaded is set at that average and cleared below about a third of it. */
void
loop_lag_record (struct LoopLag *lag, int64_t lag_ms);
