/* The clock by which an archive's records age.
 *
 * It continues from the newest time stamp in the archive's log and advances by the time for which
 * the process runs. A step of the wall clock and the time between two processes make no record
 * older: a record is only deleted after its retention has been seen to pass. Does no I/O. */
#pragma once

#include <buckthornhead/gateway_message.h>
#include <buckthornhead/timer.h>

/* All times are in milliseconds since 1970, as stored with records, but follow the wall clock only
 * up to retention_clock_renew. */
struct RetentionClock
{
  struct TimerService *timers; /* NULL: not started */
  int64_t started_ms;          /* of timers, when the clock was at newest_unix_ms */
  int64_t newest_unix_ms;      /* newest stamp of earlier processes */
  int64_t floor_unix_ms;       /* records with earlier stamps count as written then */
};

/* Initializes a clock that continues from earlier processes, whose records are as old as their
 * stamps, but not older than floor_unix_ms. */
void
retention_clock_init (struct RetentionClock *clock, int64_t floor_unix_ms);

/* Takes a stamp of the log into account, before the start. */
void
retention_clock_observe (struct RetentionClock *clock, int64_t unix_ms);

/* Makes all records new: for a log in which stamps may be of a wall clock that stepped, or without
 * records. wall_unix_ms is used if it is later than all stamps. */
void
retention_clock_renew (struct RetentionClock *clock, int64_t wall_unix_ms);

/* Starts the clock, after all stamps of the log were observed. */
void
retention_clock_start (struct RetentionClock *clock, struct TimerService *timers);

/* Returns the present time; before the start, the newest stamp. */
int64_t
retention_clock_now (const struct RetentionClock *clock);

/* Returns the time at which a record with this stamp counts as written. */
int64_t
retention_clock_written (const struct RetentionClock *clock, int64_t unix_ms);

/* Returns the age of a record in ms, at least 0, by the clock that stamped it: of this process or
 * of a previous one. */
int64_t
retention_clock_age (const struct RetentionClock *clock, int64_t unix_ms);

/* Adds the clock to a part of a copy, so that its receiver can compute the ages of the records. */
void
retention_clock_fill_part (const struct RetentionClock *clock, struct CopyPart *part);

/* Returns this clock's stamp for a record of the part that was stamped by the sender's clock, so
 * that it keeps its age. Without the sender's clock the record counts as new: it is kept for longer
 * than needed, but never deleted early. */
int64_t
retention_clock_stamp_copy (const struct RetentionClock *clock,
                            const struct CopyPart *part,
                            int64_t unix_ms);
