/* Which of the fleet's backend servers the gateways of one availability zone use.
 *
 * A gateway that knows ten thousand servers spends its memory and its processor on rows that it
 * never chooses. All gateways of a zone know the same few of each service: those that come first by
 * a hash of their ids, most of them of their own zone and some of each other zone, for when their
 * own have failed. Their number doubles with each level, which follows from how much of what is
 * known is in use, so that the whole fleet is used where it is needed. A service with fewer servers
 * than that is known whole. Pure. */
#pragma once

#include <buckthornhead/gateway_message.h>

enum
{
  SUBSET_OWN_ZONE = 64,     /* servers of a service at level 0 */
  SUBSET_OTHER_ZONES = 128, /* in all other zones together */
  SUBSET_ZONE_MIN = 16,     /* in each of them */
  SUBSET_LEVEL_MAX = 12,    /* 64 servers doubled so often are more than any fleet has */
  /* Of the slots that are known. Well below full: the next level takes a heartbeat or two to
   * arrive, in which load may double. */
  SUBSET_RAISE_PERMILLE = 250,
  /* Half of it at the level below would still be calm. */
  SUBSET_LOWER_PERMILLE = 60,
  SUBSET_LOWER_AFTER_MS = 30 * 1000
};

/* What a list of servers says of each, read once. */
struct ServerIndex;

struct ServerIndex *
server_index_new (TALLOC_CTX *ctx);

/* Follows from before, which the index was made for, to after; before is NULL the first time. Only
 * entries that differ are read. ERROR_NO_MEMORY: the index is for nothing. */
int32_t
server_index_update (struct ServerIndex *index,
                     const struct Snapshot *before,
                     const struct Snapshot *after);

/* Entries that were read so far. */
uint64_t
server_index_n_read (const struct ServerIndex *index);

/* The servers that gateways of zone use at level, out of the list that the index is for; belongs to
 * ctx, values are the list's. NULL without memory. */
struct Snapshot *
server_index_subset (const struct ServerIndex *index,
                     TALLOC_CTX *ctx,
                     const struct Snapshot *servers,
                     const char *zone,
                     uint32_t level);

/* Which level one gateway would have. */
struct SubsetDemand
{
  int64_t calm_since_ms; /* 0: it is not calm */
};

/* The level that is wanted while the servers of level are known, and permille of their slots are in
 * use. */
uint32_t
subset_wanted_level (struct SubsetDemand *demand,
                     uint32_t level,
                     uint32_t used_permille,
                     int64_t now_ms);
