#include <buckthornhead/clock.h>

#include <time.h>

static int64_t
clock_read_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
clock_monotonic_ms (void)
{
  return clock_read_ms (CLOCK_MONOTONIC);
}

int64_t
clock_unix_ms (void)
{
  return clock_read_ms (CLOCK_REALTIME);
}
