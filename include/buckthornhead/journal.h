/* Journal of one incarnation: slots written once, in order, with group commit.
 *
 * Key of slot n: <prefix>journal/<incarnation>/<n as 12 digits>. Created only if absent. A lost
 * answer is settled by reading the slot back (writer and batch id). Finding anything else there
 * than the own batch means that this incarnation was sealed: it is fenced for good. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/record.h>
#include <buckthornhead/timer.h>

struct Journal;

/* error: ERROR_NONE when durable; ERROR_FENCED; ERROR_PLATFORM_DOWN when it was given up before
 * any attempt to write it. */
typedef void (*JournalDone) (void *data, int32_t error);

enum
{
  JOURNAL_FIRST_SLOT = 1
};

struct JournalOptions
{
  const char *prefix;          /* key prefix of this deployment, ending in '/' */
  const char *incarnation;     /* "<instance>.<number>" */
  uint32_t flush_interval_ms;  /* least time between two slots, on average */
  uint32_t burst_slots;        /* slots that quiet time may save up; 0 and 1: none */
  uint32_t retry_ms;           /* pause before a failed append is tried again */
  void (*fenced) (void *data); /* called once */
  void *data;
};

struct Journal *
journal_new (TALLOC_CTX *ctx,
             struct KvPort *kv,
             struct TimerService *timers,
             const struct JournalOptions *options);

/* Queues record for the next slot. The record is packed before this returns. On ERROR_NONE done is
 * called once, later, in the order of the appends; else (ERROR_FENCED, ERROR_TOO_LARGE) never. It
 * waits for as long as the platform is down. Neither done nor fenced may free the journal. */
int32_t
journal_append (struct Journal *journal, const struct Record *record, JournalDone done, void *data);

/* As journal_append, for what is refused while the platform is down, such as an intent:
 * ERROR_PLATFORM_DOWN at once while the journal is not writable, and through done when it becomes
 * so before the record may have reached the platform. Once it may have, it is only settled. */
int32_t
journal_append_unless_down (struct Journal *journal,
                            const struct Record *record,
                            JournalDone done,
                            void *data);

/* Asks whether this incarnation still owns what it says: done is told ERROR_NONE once a slot that
 * was begun after this call is durable, which a seal would have prevented. Else as
 * journal_append_unless_down. */
int32_t
journal_confirm (struct Journal *journal, JournalDone done, void *data);

/* Calls fn once, now or later, when every record that was ever put in a slot is settled and its
 * done was called. Only then may journal_prepend queue records ahead of all that waits: a
 * snapshot holds just what was applied, so what is not applied yet has to stand behind it. */
typedef void (*JournalIdleFn) (void *data);
void
journal_when_idle (struct Journal *journal, JournalIdleFn fn, void *data);
int32_t
journal_prepend (struct Journal *journal,
                 const struct Record *records,
                 size_t n_records,
                 JournalDone done, /* of the last record */
                 void *data);

/* Least time between two slots so that n_live instances together stay within the fleet's writes
 * a second. Each slot written costs a second write later on, when it is deleted. */
uint32_t
journal_flush_interval_ms (uint32_t fleet_writes_per_s, uint32_t n_live);

/* The write budget changed, for instance as the number of live instances did. */
void
journal_set_flush_interval (struct Journal *journal, uint32_t flush_interval_ms);

/* Replays need nothing before first_needed_slot: snapshots of all that lives are durable. Older
 * slots are deleted, oldest first, once a slot that says so is durable. */
void
journal_checkpointed (struct Journal *journal, uint64_t first_needed_slot);

bool
journal_is_fenced (const struct Journal *journal);
/* False while appends fail; records then wait in memory. */
bool
journal_is_writable (const struct Journal *journal);
uint64_t
journal_next_slot (const struct Journal *journal);
/* Oldest slot that a replay needs, as the next slot will say. */
uint64_t
journal_replay_from (const struct Journal *journal);
size_t
journal_n_waiting (const struct Journal *journal);

/* Key of a slot; belongs to ctx. */
char *
journal_slot_key (TALLOC_CTX *ctx, const char *prefix, const char *incarnation, uint64_t slot);

/* What was read of another incarnation's journal. Valid during the callback; slots, a talloc
 * array that owns all the rest, may be stolen. */
struct JournalReplay
{
  int32_t error;       /* ERROR_PLATFORM_DOWN: try again later; ERROR_INVALID: damaged */
  struct Slot **slots; /* ascending; only those at or after the last slot's replay_from */
  uint64_t *slot_numbers;
  size_t n_slots;
  uint64_t seal_slot; /* 0: not sealed */
};
typedef void (*JournalReplayDone) (void *data, const struct JournalReplay *replay);

/* Seals incarnation's journal as taker, then reads all that precedes the seal. A journal that is
 * sealed already is only read. */
int32_t
journal_seal_and_read (TALLOC_CTX *ctx,
                       struct KvPort *kv,
                       struct TimerService *timers,
                       const char *prefix,
                       const char *incarnation,
                       const char *taker,
                       JournalReplayDone done,
                       void *data);

/* Seals incarnation's journal as taker, and reads nothing: n_slots is 0. */
int32_t
journal_seal (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              const char *taker,
              JournalReplayDone done,
              void *data);

/* Reads all of a journal without sealing it. Enough for a partition that its writer can write no
 * more of, being sealed already or having handed it off. */
int32_t
journal_read (TALLOC_CTX *ctx,
              struct KvPort *kv,
              struct TimerService *timers,
              const char *prefix,
              const char *incarnation,
              JournalReplayDone done,
              void *data);
