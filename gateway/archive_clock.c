#include "archive_clock.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/log.h>
#include <buckthornhead/pack.h>

static const char clock_name[] = "clock";

bool
archive_clock_load (struct RetentionClock *clock, struct DiskLog *log)
{
  struct PackReader r;
  size_t n_bytes;
  uint8_t *record = disk_log_load_named (log, log, clock_name, &n_bytes);
  void *opened = record != NULL ? pack_open (record, record, n_bytes, &r) : NULL;
  int64_t floor_unix_ms = 0;
  bool loaded = false;

  if (opened != NULL)
    {
      floor_unix_ms = read_i64 (&r);
      loaded = read_end (&r) == ERROR_NONE;
    }
  if (loaded)
    retention_clock_init (clock, floor_unix_ms);
  talloc_free (record);
  return loaded;
}

static void
clock_on_saved (void *data, int32_t error, const struct DiskPlace *place)
{
  (void)data;
  (void)place;
  if (error != ERROR_NONE)
    log_event (LOG_LEVEL_WARNING, "archive_clock_not_kept", NULL, "check the disk",
               "the next start keeps all records for their whole retention again: %s",
               error_name (error));
}

/* Saves [floor in ms]. */
void
archive_clock_save (const struct RetentionClock *clock, struct DiskLog *log)
{
  struct PackWriter *p = pack_writer_new (log, false);
  int32_t error = ERROR_NO_MEMORY;
  uint8_t *record = NULL;
  size_t n_bytes;

  if (p != NULL)
    {
      pack_array (p, 1);
      pack_i64 (p, clock->floor_unix_ms);
      error = pack_finish (p, log, &record, &n_bytes);
    }
  if (error == ERROR_NONE)
    error = disk_log_store_named (log, clock_name, record, n_bytes, clock_on_saved, NULL);
  if (error != ERROR_NONE)
    clock_on_saved (NULL, error, NULL);
  talloc_free (record);
}

void
archive_clock_log (const struct RetentionClock *clock)
{
  int64_t now_unix_ms = retention_clock_now (clock);

  log_event (LOG_LEVEL_NOTICE, "archive_clock", NULL, NULL,
             "the ages of records are %s, %lld ms behind the wall clock",
             now_unix_ms == clock->floor_unix_ms ? "counted from this start"
                                                 : "continued from earlier processes",
             (long long)(clock_unix_ms () - now_unix_ms));
}
