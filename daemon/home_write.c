#include "home_internal.h"

#include "spooler.h"

#include <buckthornhead/log.h>

#include <utlist.h>

enum
{
  SPOOL_CHECK_MS = 50,
  /* Time for which the journal must be unwritable before its records are sent to disks: a lost
   * response or a short pause of the platform's service is not an outage. */
  SPOOL_AFTER_MS = 300
};

/* A record that is being written to the journal, and in an outage to the spool. */
struct HomeWrite
{
  struct HomeWrite *prev, *next;
  struct Home *home;
  struct Record record;
  HomeWritten done;
  void *data;
  bool spooled;    /* sent to the spool */
  bool finished;   /* done was called */
  uint64_t number; /* in the spool */
};

uint32_t
home_partition (const struct Home *home, const char *program)
{
  return partition_of (program, home->core->settings->n_partitions);
}

/* Applies the record if it is durable, that is without error, and calls done once. */
static void
write_finish (struct HomeWrite *write, int32_t error)
{
  if (write->finished)
    return;
  write->finished = true;
  if (error == ERROR_NONE)
    error = ledger_apply (write->home->ledger, &write->record);
  write->done (write->data, error);
}

static void
home_on_written (void *data, int32_t error)
{
  struct HomeWrite *write = data;
  struct Home *home = write->home;

  DL_DELETE (home->writes, write);
  if (write->spooled)
    {
      /* The disks may respond after this write has been freed. */
      spooler_cancel_put (home->core->spooler, write->number);
      if (error == ERROR_NONE)
        spooler_drop (home->core->spooler, write->number);
    }
  write_finish (write, error);
  talloc_free (write);
}

static void
home_on_spooled (void *data, int32_t error)
{
  write_finish (data, error);
}

static void
write_spool (struct HomeWrite *write)
{
  struct Home *home = write->home;
  struct Slot slot = { .kind = SLOT_RECORDS, .records = &write->record, .n_records = 1 };
  uint8_t *packed;
  size_t n_bytes;

  if (slot_pack (write, &slot, &packed, &n_bytes) != ERROR_NONE)
    return;
  write->spooled =
      spooler_put (home->core->spooler, packed, n_bytes, home_on_spooled, write, &write->number)
      == ERROR_NONE;
  talloc_free (packed);
}

/* In an outage, sends the records that wait for the journal to two disks. Intents are left out: a
 * non-idempotent call is not started without the journal. */
static void
home_on_spool_check (void *data)
{
  struct Home *home = data;
  int64_t now_ms = timer_now_ms (home->core->timers);
  struct HomeWrite *write;

  if (journal_is_fenced (home->journal) || journal_is_writable (home->journal))
    {
      home->unwritable_since_ms = 0;
      return;
    }
  if (home->unwritable_since_ms == 0)
    home->unwritable_since_ms = now_ms;
  if (now_ms - home->unwritable_since_ms < SPOOL_AFTER_MS)
    return;
  DL_FOREACH (home->writes, write)
  {
    if (!write->spooled && !write->finished && write->record.kind != RECORD_INTENT)
      write_spool (write);
  }
}

void
home_write_start (struct Home *home)
{
  home->writes = NULL;
  home->unwritable_since_ms = 0;
  timer_subscribe (home->incarnation_ctx, home->core->timers, SPOOL_CHECK_MS, SPOOL_CHECK_MS,
                   home_on_spool_check, home);
}

static int32_t
write_append (struct HomeWrite *write)
{
  struct Home *home = write->home;

  if (!homes_may_write (home->homes, write->record.partition, &write->record.epoch))
    return ERROR_NOT_OWNER;
  if (write->record.kind == RECORD_INTENT || write->record.kind == RECORD_PROGRAM)
    return journal_append_unless_down (home->journal, &write->record, home_on_written, write);
  return journal_append (home->journal, &write->record, home_on_written, write);
}

void
home_write (struct Home *home,
            const struct Record *record,
            const char *program,
            HomeWritten done,
            void *data)
{
  struct HomeWrite *write = talloc_zero (home->incarnation_ctx, struct HomeWrite);
  int32_t error;

  if (write == NULL)
    {
      done (data, ERROR_NO_MEMORY);
      return;
    }
  write->home = home;
  write->record = *record;
  write->done = done;
  write->data = data;
  write->record.partition = home_partition (home, program);
  DL_APPEND (home->writes, write);
  error = write_append (write);
  if (error == ERROR_NONE)
    return;
  DL_DELETE (home->writes, write);
  talloc_free (write);
  done (data, error);
}
