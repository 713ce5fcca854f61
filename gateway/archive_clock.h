/* The part of an archive's retention clock that is on its disk. */
#pragma once

#include <buckthornhead/disk_log.h>
#include <buckthornhead/retention_clock.h>

/* Continues the clock that the log was written by. Returns false if none is saved, so that the
 * log's stamps may be of a wall clock that stepped. */
bool
archive_clock_load (struct RetentionClock *clock, struct DiskLog *log);

/* Saves a clock that was renewed. Until the save is durable, each start renews it again. */
void
archive_clock_save (const struct RetentionClock *clock, struct DiskLog *log);

/* Logs the difference to the wall clock. */
void
archive_clock_log (const struct RetentionClock *clock);
