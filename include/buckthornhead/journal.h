/* Write-ahead journal of one incarnation: slots that are written once, in order, with group commit.
 *
 * The key of slot n is <prefix>journal/<incarnation>/<n as 12 digits>. A slot is created only if
 * its key is absent. When the response to a write is lost, the writer reads the slot back and
 * compares writer and batch id. Any other content means that another instance sealed the journal:
 * this incarnation is then fenced permanently. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/record.h>
#include <buckthornhead/timer.h>

struct Journal;

/* error is ERROR_NONE when the record is durable, ERROR_FENCED, or ERROR_PLATFORM_DOWN when it was
 * dropped before any attempt to write it. */
typedef void (*JournalDone) (void *data, int32_t error);

enum
{
  JOURNAL_FIRST_SLOT = 1
};

struct JournalOptions
{
  const char *prefix;          /* key prefix of this deployment, ending in '/' */
  const char *incarnation;     /* "<instance>.<number>" */
  uint32_t flush_interval_ms;  /* minimum average time between two slots */
  uint32_t burst_slots;        /* token bucket size, in slots; 0 and 1: no burst */
  uint32_t retry_ms;           /* minimum delay before a failed append is retried */
  void (*fenced) (void *data); /* called once */
  void *data;
};

struct Journal *
journal_new (TALLOC_CTX *ctx,
             struct KvPort *kv,
             struct TimerService *timers,
             const struct JournalOptions *options);

/* Queues record for the next slot. The record is packed before this returns. On ERROR_NONE done is
 * called once, asynchronously, in the order of the appends; on an error (ERROR_FENCED,
 * ERROR_TOO_LARGE) it is never called. The record stays queued while the platform is down. Neither
 * done nor fenced may free the journal. */
int32_t
journal_append (struct Journal *journal, const struct Record *record, JournalDone done, void *data);

/* Like journal_append, but for records that must fail while the platform is down, such as intents.
 * Returns ERROR_PLATFORM_DOWN while the journal is not writable. Calls done with that error when
 * the journal stops being writable before an attempt may have reached the platform. After such an
 * attempt, done reports only whether the record became durable. */
int32_t
journal_append_unless_down (struct Journal *journal,
                            const struct Record *record,
                            JournalDone done,
                            void *data);

/* Confirms that this incarnation is not fenced: calls done with ERROR_NONE once a slot that was
 * started after this call is durable, which a seal would have prevented. Errors are those of
 * journal_append_unless_down. */
int32_t
journal_confirm_not_fenced (struct Journal *journal, JournalDone done, void *data);

/* Calls fn once, now or later, when no slot is being written and done was called for every record
 * of the earlier slots. journal_prepend may queue records ahead of the queue only then: a snapshot
 * contains only applied records, so records that are not applied yet must follow it. */
typedef void (*JournalIdleFn) (void *data);
void
journal_when_idle (struct Journal *journal, JournalIdleFn fn, void *data);
int32_t
journal_prepend (struct Journal *journal,
                 const struct Record *records,
                 size_t n_records,
                 JournalDone done, /* of the last record */
                 void *data);

/* Returns the minimum time between two slots at which n_live instances together stay within
 * fleet_writes_per_s. Each slot costs two writes: its creation and its later deletion. */
uint32_t
journal_flush_interval_ms (uint32_t fleet_writes_per_s, uint32_t n_live);

/* Sets a new interval, for example after the number of live instances has changed. */
void
journal_set_flush_interval (struct Journal *journal, uint32_t flush_interval_ms);

/* Marks the slots before first_needed_slot as unneeded by a replay, as snapshots of every live
 * program are durable. They are deleted, oldest first, once a slot with the new replay_from is
 * durable. */
void
journal_checkpointed (struct Journal *journal, uint64_t first_needed_slot);

bool
journal_is_fenced (const struct Journal *journal);
/* Returns false while appends fail; records are then kept in memory. */
bool
journal_is_writable (const struct Journal *journal);
uint64_t
journal_next_slot (const struct Journal *journal);
/* Returns the oldest slot that a replay needs, which the next slot will contain. */
uint64_t
journal_replay_from (const struct Journal *journal);
size_t
journal_n_waiting (const struct Journal *journal);

/* Returns the key of a slot, allocated on ctx. */
char *
journal_slot_key (TALLOC_CTX *ctx, const char *prefix, const char *incarnation, uint64_t slot);

/* The slots read from another incarnation's journal. Valid during the callback. slots is a talloc
 * array that owns all other data and may be moved with talloc_steal. */
struct JournalReplay
{
  int32_t error;       /* ERROR_PLATFORM_DOWN: retry later; ERROR_INVALID: corrupt */
  struct Slot **slots; /* ascending; only those at or after the last slot's replay_from */
  uint64_t *slot_numbers;
  size_t n_slots;
  uint64_t seal_slot; /* 0: not sealed */
};
typedef void (*JournalReplayDone) (void *data, const struct JournalReplay *replay);

/* Seals incarnation's journal in the name of sealer, then reads the slots before the seal. A
 * journal that is already sealed is only read. */
int32_t
journal_seal_and_read (TALLOC_CTX *ctx,
                       struct KvPort *kv,
                       struct TimerService *timers,
                       const char *prefix,
                       const char *incarnation,
                       const char *sealer,
                       JournalReplayDone done,
                       void *data);

/* Seals incarnation's journal in the name of sealer without reading it: n_slots is 0. */
int32_t
journal_seal (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              const char *sealer,
              JournalReplayDone done,
              void *data);

/* Reads a journal without sealing it. This is sufficient for a partition for which the writer can
 * append nothing more, because the journal is sealed or the partition was handed off. */
int32_t
journal_read (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              JournalReplayDone done,
              void *data);
