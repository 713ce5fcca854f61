#include <buckthornhead/read_schedule.h>

enum
{
  /* Share of the time within which a change must be in force that a watch call may take. The rest
   * is left for another process to take over from one that was cut off, and for forwarding. */
  WATCH_SHARE_PERCENT = 40,
  WATCH_MIN_MS = 400,
  WATCH_MAX_MS = 4000,
  /* Share of the same time between two steps, in which twice as many processes read as before. */
  STEP_SHARE_PERCENT = 5,
  STEP_MAX_MS = 250,
  /* The processes behind the successors know of a read from heartbeats, which are up to a period
   * and its delivery older. */
  REPORTED_LATER_MS = 600,
  /* They follow one by one, so that hundreds do not query a store that is unavailable. */
  LATER_RANK_MS = 40
};

int64_t
read_watch_ms (uint32_t change_in_force_ms)
{
  int64_t watch_ms = (int64_t)change_in_force_ms * WATCH_SHARE_PERCENT / 100;

  if (watch_ms < WATCH_MIN_MS)
    return WATCH_MIN_MS;
  return watch_ms < WATCH_MAX_MS ? watch_ms : WATCH_MAX_MS;
}

/* Returns the number of steps until the process reads: 1 for rank 1, 2 for ranks 2 and 3, 3 for 4
 * to 7. */
static int64_t
rank_steps (uint32_t rank)
{
  int64_t n_steps = 0;

  for (; rank > 0; rank /= 2)
    n_steps++;
  return n_steps;
}

int64_t
read_rank_delay_ms (uint32_t rank, uint32_t change_in_force_ms)
{
  int64_t step_ms = (int64_t)change_in_force_ms * STEP_SHARE_PERCENT / 100;

  if (step_ms > STEP_MAX_MS)
    step_ms = STEP_MAX_MS;
  if (rank <= READ_SUCCESSORS)
    return rank_steps (rank) * step_ms;
  return rank_steps (READ_SUCCESSORS) * step_ms + REPORTED_LATER_MS
         + (int64_t)(rank - READ_SUCCESSORS - 1) * LATER_RANK_MS;
}
