/* Selection of the backend servers that the gateways of one availability zone use.
 *
 * A gateway that tracked ten thousand servers would spend memory and processor time on entries that
 * it never chooses. Instead, all gateways of a zone use the same subset of each service: the
 * servers with the lowest hashes of their ids, most of them in the own zone and some in each other
 * zone, as a reserve for when the own ones have failed. The subset doubles with each level, and the
 * level follows the share of its slots that is in use, so that under enough load all servers are
 * used. A service with fewer servers than the subset's size is included whole. Does no I/O. */
#pragma once

#include <buckthornhead/gateway_message.h>

enum
{
  SUBSET_OWN_ZONE = 64,     /* servers of a service at level 0 */
  SUBSET_OTHER_ZONES = 128, /* the same, in all other zones together */
  SUBSET_ZONE_MIN = 16,     /* in each other zone, at least */
  SUBSET_LEVEL_MAX = 12,    /* 64 servers doubled 12 times exceed the size of any fleet */
  /* Share of the subset's slots in use from which the level is raised. Well below full: the next
   * level takes one or two heartbeats to arrive, in which load may double. */
  SUBSET_RAISE_PERMILLE = 250,
  /* Share below which the level is lowered. With half of the servers it doubles, which must stay
   * well below SUBSET_RAISE_PERMILLE. */
  SUBSET_LOWER_PERMILLE = 60,
  /* How long the share must stay low before the level is lowered. */
  SUBSET_LOWER_AFTER_MS = 30 * 1000
};

/* The parsed entries of a server list. */
struct ServerIndex;

struct ServerIndex *
server_index_new (TALLOC_CTX *ctx);

/* Updates the index from list before, which it was built for, to list after; before is NULL the
 * first time. Only entries that differ are parsed. Returns ERROR_NO_MEMORY on failure, after which
 * the index must not be used. */
int32_t
server_index_update (struct ServerIndex *index,
                     const struct Snapshot *before,
                     const struct Snapshot *after);

/* Returns the number of entries parsed so far. */
uint64_t
server_index_n_read (const struct ServerIndex *index);

/* Returns the subset of servers that gateways of zone use at level; servers is the list that the
 * index was last updated to. The subset is allocated on ctx; its values point into the list.
 * Returns NULL without memory. */
struct Snapshot *
server_index_subset (const struct ServerIndex *index,
                     TALLOC_CTX *ctx,
                     const struct Snapshot *servers,
                     const char *zone,
                     uint32_t level);

/* One gateway's demand for servers. */
struct SubsetDemand
{
  int64_t low_since_ms; /* start of the period of low usage; 0: usage is not low */
};

/* Returns the level that this gateway needs, given its current level and the permille of that
 * subset's slots that are in use. */
uint32_t
subset_next_level (struct SubsetDemand *demand,
                   uint32_t level,
                   uint32_t used_permille,
                   int64_t now_ms);
