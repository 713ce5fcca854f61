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

struct JournalOptions
{
  const char *prefix;          /* key prefix of this deployment, ending in '/' */
  const char *incarnation;     /* "<instance>.<number>" */
  uint32_t flush_interval_ms;  /* least time between two slots */
  uint32_t retry_ms;           /* pause before a failed append is tried again */
  void (*fenced) (void *data); /* called once */
  void *data;
};

struct Journal *
journal_new (TALLOC_CTX *ctx,
             struct KvPort *kv,
             struct TimerService *timers,
             const struct JournalOptions *options);

/* Queues record for the next slot. The record is packed before this returns. */
int32_t
journal_append (struct Journal *journal, const struct Record *record, JournalDone done, void *data);

/* The write budget changed, for instance as the number of live instances did. */
void
journal_set_flush_interval (struct Journal *journal, uint32_t flush_interval_ms);

/* Replays need nothing before the next slot: checkpoint records for all that lives have been
 * appended. Older slots are deleted, oldest first. */
void
journal_checkpointed (struct Journal *journal, uint64_t first_needed_slot);

bool
journal_is_fenced (const struct Journal *journal);
/* False while appends fail; records then wait in memory. */
bool
journal_is_writable (const struct Journal *journal);
uint64_t
journal_next_slot (const struct Journal *journal);
size_t
journal_n_waiting (const struct Journal *journal);

/* Reading another incarnation's journal. Every slot below the seal, records in order. */
struct JournalReplay
{
  int32_t error;
  struct Slot **slots; /* ascending; only those at or after the last slot's replay_from */
  uint64_t *slot_numbers;
  size_t n_slots;
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
