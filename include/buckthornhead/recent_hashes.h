/* A fixed-size set of the most recently added hashes, for suppressing duplicates. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum
{
  RECENT_HASHES_MAX = 64
};

/* Empty when zeroed. */
struct RecentHashes
{
  uint64_t items[RECENT_HASHES_MAX];
  uint32_t n, next; /* next: index of the next item to write */
};

/* Adds hash, replacing the oldest one when full. Returns false if it is already in the set. */
bool
recent_hashes_add (struct RecentHashes *recent, uint64_t hash);

bool
recent_hashes_contains (const struct RecentHashes *recent, uint64_t hash);
