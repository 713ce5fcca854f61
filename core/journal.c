#include "journal_queue.h"
#include <buckthornhead/kv_guard.h>

#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/journal.h>
#include <buckthornhead/partition.h>

#include <inttypes.h>
#include <string.h>

enum
{
  SLOT_RECORDS_MAX_BYTES = KV_VALUE_MAX_BYTES - SLOT_HEADER_MAX_BYTES,
  WRITES_PER_SLOT = 2, /* its creation and its deletion */
  BURST_SLOTS = 8      /* slots that may be written without delay after an idle period */
};

/* The slot being written. Its number, id and bytes stay the same from the first attempt that may
 * have reached the platform until the result of that attempt is known. */
struct JournalBatch
{
  struct JournalQueue entries;
  uint64_t id;
  uint64_t replay_from;
  uint8_t *packed;
  size_t packed_bytes;
  bool in_flight;
  bool may_be_written; /* an attempt may have reached the platform */
};

struct JournalIdleWaiter
{
  struct JournalIdleWaiter *next;
  JournalIdleFn fn;
  void *data;
};

struct Journal
{
  struct KvPort *kv;
  struct TimerService *timers;
  struct JournalOptions options;
  struct JournalQueue waiting;
  struct JournalBatch *batch;
  struct JournalIdleWaiter *idle_waiters;
  struct Timer *timer;
  int64_t last_put_ms;
  int64_t budget_used_until_ms; /* each slot advances it by one flush interval */
  uint64_t next_slot, last_batch_id;
  uint64_t replay_from;         /* value for the next slot */
  uint64_t durable_replay_from; /* value in the last durable slot */
  uint64_t oldest_slot;         /* oldest slot that may still exist */
  uint32_t n_failures;          /* since the last success */
  bool deleting;
  bool completing; /* done is being called for the records of a durable batch */
  bool fenced;
};

static void
journal_schedule (struct Journal *journal);

char *
journal_slot_key (TALLOC_CTX *ctx, const char *prefix, const char *incarnation, uint64_t slot)
{
  return talloc_asprintf (ctx, "%sjournal/%s/%012" PRIu64, prefix, incarnation, slot);
}

uint32_t
journal_flush_interval_ms (uint32_t fleet_writes_per_s, uint32_t n_live)
{
  uint64_t writes_per_s = fleet_writes_per_s > 0 ? fleet_writes_per_s : 1;
  uint64_t interval_ms =
      ((uint64_t)1000 * WRITES_PER_SLOT * n_live + writes_per_s - 1) / writes_per_s;

  return interval_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)interval_ms;
}

struct Journal *
journal_new (TALLOC_CTX *ctx,
             struct KvPort *kv,
             struct TimerService *timers,
             const struct JournalOptions *options)
{
  struct Journal *journal = talloc_zero (ctx, struct Journal);

  if (journal == NULL)
    return NULL;
  journal->kv = kv;
  journal->timers = timers;
  journal->options = *options;
  journal->options.prefix = talloc_strdup (journal, options->prefix);
  journal->options.incarnation = talloc_strdup (journal, options->incarnation);
  journal_queue_init (&journal->waiting);
  journal->next_slot = JOURNAL_FIRST_SLOT;
  journal->replay_from = JOURNAL_FIRST_SLOT;
  journal->durable_replay_from = JOURNAL_FIRST_SLOT;
  journal->oldest_slot = JOURNAL_FIRST_SLOT;
  if (journal->options.prefix == NULL || journal->options.incarnation == NULL)
    TALLOC_FREE (journal);
  return journal;
}

/* Stops the journal after another incarnation has sealed it: no further record can become durable.
 * Each unacknowledged record is either in the slots that the sealer read or was not written. */
static void
journal_fence (struct Journal *journal)
{
  struct JournalQueue lost;

  journal->fenced = true;
  counter_add (COUNTER_JOURNAL_FENCED, 1);
  TALLOC_FREE (journal->timer);
  lost = journal->waiting;
  if (lost.first == NULL)
    journal_queue_init (&lost);
  journal_queue_init (&journal->waiting);
  if (journal->batch != NULL)
    {
      journal_queue_prepend (&lost, &journal->batch->entries);
      TALLOC_FREE (journal->batch);
    }
  journal_queue_complete (&lost, ERROR_FENCED);
  if (journal->options.fenced != NULL)
    journal->options.fenced (journal->options.data);
}

static void
journal_on_deleted (void *data, const struct KvResult *result)
{
  struct Journal *journal = data;

  journal->deleting = false;
  if (result->error == ERROR_NONE || result->error == ERROR_NOT_FOUND)
    journal->oldest_slot++;
}

/* Deletes at most one slot per slot written, which bounds both storage and the write rate. A slot
 * is deleted only after a later durable slot records that replays start after it; otherwise a
 * replay could not distinguish the gap from lost data. */
static void
journal_delete_oldest (struct Journal *journal)
{
  struct KvRequest request = { .op = KV_OP_DELETE };
  char *key;

  if (journal->deleting || journal->oldest_slot >= journal->durable_replay_from)
    return;
  key = journal_slot_key (journal, journal->options.prefix, journal->options.incarnation,
                          journal->oldest_slot);
  if (key == NULL)
    return;
  request.delete_key.key = key;
  request.delete_key.condition = KV_IF_ALWAYS;
  journal->deleting =
      kv_submit_guarded (journal, journal->kv, &request, journal_on_deleted, journal) == ERROR_NONE;
  talloc_free (key);
}

static void
journal_on_durable (struct Journal *journal)
{
  struct JournalBatch *batch = journal->batch;
  struct JournalQueue entries = batch->entries;

  counter_add (COUNTER_JOURNAL_SLOTS, 1);
  counter_add (COUNTER_JOURNAL_RECORDS, entries.n);
  journal->durable_replay_from = batch->replay_from;
  journal->next_slot++;
  journal->n_failures = 0;
  TALLOC_FREE (journal->batch);
  journal->completing = true;
  journal_queue_complete (&entries, ERROR_NONE);
  journal->completing = false;
  journal_delete_oldest (journal);
  journal_schedule (journal);
}

/* Fails the waiting records that were queued by journal_append_unless_down or
 * journal_confirm_not_fenced. */
static void
journal_fail_unless_down (struct Journal *journal)
{
  struct JournalQueue kept, failed;
  struct JournalEntry *entry;

  journal_queue_init (&kept);
  journal_queue_init (&failed);
  while ((entry = journal_queue_pop (&journal->waiting)) != NULL)
    journal_queue_push (entry->unless_down ? &failed : &kept, entry);
  journal_queue_prepend (&journal->waiting, &kept);
  journal_queue_complete (&failed, ERROR_PLATFORM_DOWN);
}

static void
journal_on_failed (struct Journal *journal)
{
  struct JournalBatch *batch = journal->batch;

  journal->n_failures++;
  /* If no attempt can have reached the platform, the records may be failed or put in another batch.
   * Otherwise the batch must be kept: the write can still take effect, and the caller would have
   * received "not run" for a call that the journal records as sent. */
  if (!batch->may_be_written)
    {
      journal_queue_prepend (&journal->waiting, &batch->entries);
      TALLOC_FREE (journal->batch);
    }
  journal_fail_unless_down (journal);
  journal_schedule (journal);
}

/* Resolves the batch from the content of its slot: durable if it is this batch, else fenced. */
static void
journal_settle_batch (struct Journal *journal, const uint8_t *value, size_t value_bytes)
{
  struct Slot *slot = NULL;
  bool own = slot_unpack (journal, value, value_bytes, &slot) == ERROR_NONE
             && slot->kind == SLOT_RECORDS && slot->batch_id == journal->batch->id
             && strcmp (slot->writer, journal->options.incarnation) == 0;

  talloc_free (slot);
  if (own)
    journal_on_durable (journal);
  else
    journal_fence (journal);
}

static void
journal_on_read_back (void *data, const struct KvResult *result)
{
  struct Journal *journal = data;

  journal->batch->in_flight = false;
  if (result->error == ERROR_NONE && result->n_entries == 1)
    journal_settle_batch (journal, result->entries[0].value, result->entries[0].value_bytes);
  else
    journal_on_failed (journal);
}

static void
journal_read_back (struct Journal *journal, const char *key)
{
  struct KvRequest request = { .op = KV_OP_GET, .get.key = key };

  journal->batch->in_flight = true;
  if (kv_submit_guarded (journal, journal->kv, &request, journal_on_read_back, journal)
      != ERROR_NONE)
    {
      journal->batch->in_flight = false;
      journal_on_failed (journal);
    }
}

static void
journal_on_put (void *data, const struct KvResult *result)
{
  struct Journal *journal = data;
  struct JournalBatch *batch = journal->batch;
  char *key;

  batch->in_flight = false;
  switch (result->error)
    {
    case ERROR_NONE:
      journal_on_durable (journal);
      return;
    case ERROR_CONFLICT:
      /* The slot exists: it contains this batch, if the response to an earlier attempt was lost, or
       * a seal. Its content decides; the conflict alone is not evidence of either. */
      batch->may_be_written = true;
      if (result->n_entries == 1)
        {
          journal_settle_batch (journal, result->entries[0].value, result->entries[0].value_bytes);
          return;
        }
      key = journal_slot_key (batch, journal->options.prefix, journal->options.incarnation,
                              journal->next_slot);
      journal_read_back (journal, key);
      return;
    case ERROR_UNREACHABLE:
    case ERROR_RATE_LIMITED:
      break;
    default:
      batch->may_be_written = true;
    }
  journal_on_failed (journal);
}

/* Charges one slot to the write budget, a token bucket that holds up to burst_slots. On an idle
 * instance a program that calls one tool after another thus waits only for the platform's response
 * and not for the flush interval that a busy fleet needs. */
static void
journal_charge_slot (struct Journal *journal)
{
  int64_t now_ms = timer_now_ms (journal->timers);

  if (journal->budget_used_until_ms < now_ms)
    journal->budget_used_until_ms = now_ms;
  journal->budget_used_until_ms += journal->options.flush_interval_ms;
  journal->last_put_ms = now_ms;
}

static void
journal_put (struct Journal *journal)
{
  struct JournalBatch *batch = journal->batch;
  struct KvRequest request = { .op = KV_OP_PUT };
  char *key = journal_slot_key (batch, journal->options.prefix, journal->options.incarnation,
                                journal->next_slot);

  request.put.key = key;
  request.put.value = batch->packed;
  request.put.value_bytes = batch->packed_bytes;
  request.put.condition = KV_IF_ABSENT;
  journal_charge_slot (journal);
  batch->in_flight = true;
  if (key == NULL
      || kv_submit_guarded (journal, journal->kv, &request, journal_on_put, journal) != ERROR_NONE)
    {
      batch->in_flight = false;
      journal_on_failed (journal);
      return;
    }
  talloc_free (key);
}

/* Moves as many waiting records as fit into a slot to a new batch. */
static int32_t
journal_build_batch (struct Journal *journal)
{
  struct JournalBatch *batch = talloc_zero (journal, struct JournalBatch);
  struct Slot slot = { .kind = SLOT_RECORDS, .replay_from = journal->replay_from };
  struct PackedRecord *records;
  size_t n_bytes = 0, n = 0;
  int32_t error;

  if (batch == NULL)
    return ERROR_NO_MEMORY;
  journal_queue_init (&batch->entries);
  records = talloc_array (batch, struct PackedRecord, journal->waiting.n);
  if (records == NULL)
    {
      talloc_free (batch);
      return ERROR_NO_MEMORY;
    }
  while (journal->waiting.first != NULL
         && n_bytes + journal->waiting.first->n_bytes <= SLOT_RECORDS_MAX_BYTES)
    {
      struct JournalEntry *entry = journal_queue_pop (&journal->waiting);

      n_bytes += entry->n_bytes;
      records[n].bytes = entry->bytes;
      records[n].n_bytes = entry->n_bytes;
      n += entry->n_bytes > 0; /* journal_confirm_not_fenced queues an entry without a record */
      journal_queue_push (&batch->entries, entry);
    }
  batch->id = ++journal->last_batch_id;
  batch->replay_from = journal->replay_from;
  slot.batch_id = batch->id;
  snprintf (slot.writer, sizeof slot.writer, "%s", journal->options.incarnation);
  error = slot_pack_records (batch, &slot, records, n, &batch->packed, &batch->packed_bytes);
  talloc_free (records);
  if (error != ERROR_NONE)
    {
      journal_queue_prepend (&journal->waiting, &batch->entries);
      talloc_free (batch);
      return error;
    }
  journal->batch = batch;
  return ERROR_NONE;
}

/* Returns true if there is no batch, no done callback is running and the journal is not fenced. */
static bool
journal_is_idle (const struct Journal *journal)
{
  return journal->batch == NULL && !journal->completing && !journal->fenced;
}

static void
journal_run_idle_waiters (struct Journal *journal)
{
  struct JournalIdleWaiter *waiter;

  while (journal_is_idle (journal) && (waiter = journal->idle_waiters) != NULL)
    {
      JournalIdleFn fn = waiter->fn;
      void *data = waiter->data;

      journal->idle_waiters = waiter->next;
      talloc_free (waiter);
      fn (data);
    }
}

static void
journal_on_timer (void *data)
{
  struct Journal *journal = data;

  TALLOC_FREE (journal->timer);
  if (journal->batch == NULL && journal->waiting.first != NULL
      && journal_build_batch (journal) != ERROR_NONE)
    {
      journal->n_failures++;
      journal_schedule (journal);
      return;
    }
  if (journal->batch != NULL)
    journal_put (journal);
}

/* Returns the retry delay, with jitter per incarnation and attempt so that a recovering platform
 * does not receive the retries of all instances at once. */
static int64_t
journal_retry_delay_ms (const struct Journal *journal)
{
  uint32_t retry_ms = journal->options.retry_ms > 0 ? journal->options.retry_ms : 1;
  char attempt[24];

  snprintf (attempt, sizeof attempt, "%" PRIu32, journal->n_failures);
  return retry_ms
         + (int64_t)(rendezvous_score (attempt, journal->options.incarnation)
                     % ((uint64_t)retry_ms / 2 + 1));
}

/* Starts the timer for the next attempt, unless it is running, a request is in flight or there is
 * nothing to write. */
static void
journal_schedule (struct Journal *journal)
{
  int64_t delay_ms, saved_ms = 0;

  journal_run_idle_waiters (journal);
  if (journal->fenced || journal->timer != NULL)
    return;
  if (journal->batch != NULL ? journal->batch->in_flight : journal->waiting.first == NULL)
    return;
  if (journal->options.burst_slots > 1)
    saved_ms = (int64_t)(journal->options.burst_slots - 1) * journal->options.flush_interval_ms;
  delay_ms = journal->budget_used_until_ms - saved_ms - timer_now_ms (journal->timers);
  if (journal->n_failures > 0 && delay_ms < journal_retry_delay_ms (journal))
    delay_ms = journal_retry_delay_ms (journal);
  journal->timer = timer_subscribe (journal, journal->timers, delay_ms > 0 ? delay_ms : 0, 0,
                                    journal_on_timer, journal);
}

/* Creates an entry with the packed record without queueing it. */
static int32_t
journal_entry_new (struct Journal *journal,
                   const struct Record *record,
                   JournalDone done,
                   void *data,
                   struct JournalEntry **result)
{
  struct JournalEntry *entry;
  int32_t error;

  if (journal->fenced)
    return ERROR_FENCED;
  entry = talloc_zero (journal, struct JournalEntry);
  if (entry == NULL)
    return ERROR_NO_MEMORY;
  entry->done = done;
  entry->data = data;
  error = record_pack (entry, record, &entry->bytes, &entry->n_bytes);
  if (error == ERROR_NONE && entry->n_bytes > SLOT_RECORDS_MAX_BYTES)
    error = ERROR_TOO_LARGE;
  if (error != ERROR_NONE)
    talloc_free (entry);
  else
    *result = entry;
  return error;
}

int32_t
journal_append (struct Journal *journal, const struct Record *record, JournalDone done, void *data)
{
  struct JournalEntry *entry;
  int32_t error = journal_entry_new (journal, record, done, data, &entry);

  if (error != ERROR_NONE)
    return error;
  journal_queue_push (&journal->waiting, entry);
  journal_schedule (journal);
  return ERROR_NONE;
}

int32_t
journal_append_unless_down (struct Journal *journal,
                            const struct Record *record,
                            JournalDone done,
                            void *data)
{
  struct JournalEntry *entry;
  int32_t error;

  if (!journal->fenced && !journal_is_writable (journal))
    return ERROR_PLATFORM_DOWN;
  error = journal_entry_new (journal, record, done, data, &entry);
  if (error != ERROR_NONE)
    return error;
  entry->unless_down = true;
  journal_queue_push (&journal->waiting, entry);
  journal_schedule (journal);
  return ERROR_NONE;
}

int32_t
journal_confirm_not_fenced (struct Journal *journal, JournalDone done, void *data)
{
  struct JournalEntry *entry;

  if (journal->fenced)
    return ERROR_FENCED;
  if (!journal_is_writable (journal))
    return ERROR_PLATFORM_DOWN;
  entry = talloc_zero (journal, struct JournalEntry);
  if (entry == NULL)
    return ERROR_NO_MEMORY;
  entry->done = done;
  entry->data = data;
  entry->unless_down = true;
  journal_queue_push (&journal->waiting, entry);
  journal_schedule (journal);
  return ERROR_NONE;
}

void
journal_when_idle (struct Journal *journal, JournalIdleFn fn, void *data)
{
  struct JournalIdleWaiter *waiter = talloc_zero (journal, struct JournalIdleWaiter);
  struct JournalIdleWaiter **last = &journal->idle_waiters;

  if (waiter == NULL)
    return;
  waiter->fn = fn;
  waiter->data = data;
  while (*last != NULL)
    last = &(*last)->next;
  *last = waiter;
  journal_run_idle_waiters (journal);
}

int32_t
journal_prepend (struct Journal *journal,
                 const struct Record *records,
                 size_t n_records,
                 JournalDone done,
                 void *data)
{
  struct JournalQueue front;
  struct JournalEntry *entry;
  int32_t error = ERROR_NONE;

  if (!journal_is_idle (journal))
    return journal->fenced ? ERROR_FENCED : ERROR_CONFLICT;
  journal_queue_init (&front);
  for (size_t i = 0; i < n_records && error == ERROR_NONE; i++)
    {
      bool last = i + 1 == n_records;

      error = journal_entry_new (journal, &records[i], last ? done : NULL, data, &entry);
      if (error == ERROR_NONE)
        journal_queue_push (&front, entry);
    }
  if (error != ERROR_NONE)
    {
      while ((entry = journal_queue_pop (&front)) != NULL)
        talloc_free (entry);
      return error;
    }
  journal_queue_prepend (&journal->waiting, &front);
  journal_schedule (journal);
  return ERROR_NONE;
}

void
journal_set_flush_interval (struct Journal *journal, uint32_t flush_interval_ms)
{
  journal->options.flush_interval_ms = flush_interval_ms;
}

void
journal_checkpointed (struct Journal *journal, uint64_t first_needed_slot)
{
  if (first_needed_slot > journal->replay_from && first_needed_slot <= journal->next_slot)
    journal->replay_from = first_needed_slot;
}

bool
journal_is_fenced (const struct Journal *journal)
{
  return journal->fenced;
}

bool
journal_is_writable (const struct Journal *journal)
{
  if (journal->fenced || journal->n_failures == 0)
    return !journal->fenced;
  /* No record is left to retry. After the retry delay the next record is accepted, as a probe. */
  return journal_n_waiting (journal) == 0
         && timer_now_ms (journal->timers)
                >= journal->last_put_ms + journal_retry_delay_ms (journal);
}

uint64_t
journal_next_slot (const struct Journal *journal)
{
  return journal->next_slot;
}

uint64_t
journal_replay_from (const struct Journal *journal)
{
  return journal->replay_from;
}

size_t
journal_n_waiting (const struct Journal *journal)
{
  return journal->waiting.n + (journal->batch != NULL ? journal->batch->entries.n : 0);
}
