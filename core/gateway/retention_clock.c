#include <buckthornhead/retention_clock.h>

#include <string.h>

void
retention_clock_init (struct RetentionClock *clock, int64_t floor_unix_ms)
{
  memset (clock, 0, sizeof *clock);
  clock->newest_unix_ms = floor_unix_ms;
  clock->floor_unix_ms = floor_unix_ms;
}

void
retention_clock_observe (struct RetentionClock *clock, int64_t unix_ms)
{
  if (unix_ms > clock->newest_unix_ms)
    clock->newest_unix_ms = unix_ms;
}

void
retention_clock_renew (struct RetentionClock *clock, int64_t wall_unix_ms)
{
  retention_clock_observe (clock, wall_unix_ms);
  clock->floor_unix_ms = clock->newest_unix_ms;
}

void
retention_clock_start (struct RetentionClock *clock, struct TimerService *timers)
{
  clock->timers = timers;
  clock->started_ms = timer_now_ms (timers);
}

int64_t
retention_clock_now (const struct RetentionClock *clock)
{
  if (clock->timers == NULL)
    return clock->newest_unix_ms;
  return clock->newest_unix_ms + timer_now_ms (clock->timers) - clock->started_ms;
}

int64_t
retention_clock_written (const struct RetentionClock *clock, int64_t unix_ms)
{
  return unix_ms > clock->floor_unix_ms ? unix_ms : clock->floor_unix_ms;
}

int64_t
retention_clock_age (const struct RetentionClock *clock, int64_t unix_ms)
{
  int64_t age_ms = retention_clock_now (clock) - retention_clock_written (clock, unix_ms);

  return age_ms > 0 ? age_ms : 0;
}

void
retention_clock_fill_part (const struct RetentionClock *clock, struct CopyPart *part)
{
  part->has_clock = true;
  part->now_unix_ms = retention_clock_now (clock);
  part->floor_unix_ms = clock->floor_unix_ms;
}

int64_t
retention_clock_stamp_copy (const struct RetentionClock *clock,
                            const struct CopyPart *part,
                            int64_t unix_ms)
{
  struct RetentionClock sender;

  if (!part->has_clock)
    return retention_clock_now (clock);
  retention_clock_init (&sender, part->floor_unix_ms);
  retention_clock_observe (&sender, part->now_unix_ms);
  return retention_clock_now (clock) - retention_clock_age (&sender, unix_ms);
}
