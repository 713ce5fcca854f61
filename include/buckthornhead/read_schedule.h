/* When the processes read the platform's store.
 *
 * One process reads for all with a watch call. The others are ranked: if no read was confirmed for
 * the duration of a watch call, they read one after another, so that a change is received in time
 * although the first of them cannot reach the store. Does no I/O. */
#pragma once

#include <stdint.h>

enum
{
  /* Number of processes, after the one that reads, that receive each read directly. */
  READ_SUCCESSORS = 6,
  /* Margin for a watch call's response before another process takes over. */
  READ_TAKE_OVER_MS = 200
};

/* Returns the maximum duration of a watch call, for changes that must be in force after
 * change_in_force_ms. */
int64_t
read_watch_ms (uint32_t change_in_force_ms);

/* Returns the delay of the process of this rank after the first one, whose rank is 0. */
int64_t
read_rank_delay_ms (uint32_t rank, uint32_t change_in_force_ms);
