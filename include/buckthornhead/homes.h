/* Homes: tracks which partitions this incarnation owns, acquires them and hands them off.
 *
 * A takeover seals the former home's journal, changes the map by compare-and-swap, reads the
 * records that precede the seal, and only then serves the partition. The map names every journal
 * that has to be read until the new home's own snapshots are durable, so a second failure in
 * between loses no records. Membership only decides when a takeover is attempted; its safety
 * depends on no clock. */
#pragma once

#include <buckthornhead/journal.h>
#include <buckthornhead/ledger.h>
#include <buckthornhead/partition.h>

struct Homes;

/* One live member of the fleet, as reported by membership. */
struct HomesMember
{
  const char *incarnation;
  const char *instance;
  bool draining;
};

/* Slot with records that a sealed writer's spool acknowledged while the platform was down. Arrays
 * of these are in ascending order of number, without duplicates. */
struct HomesSpoolSlot
{
  uint64_t number;
  const uint8_t *slot; /* as packed by slot_pack */
  size_t n_bytes;
};
typedef void (*HomesSpoolDone) (void *data, const struct HomesSpoolSlot *spooled, size_t n_spooled);

struct HomesOptions
{
  const char *prefix;
  const char *incarnation;
  uint32_t n_partitions;
  uint32_t group_size;
  uint32_t poll_ms;          /* interval between map reads; up to a quarter is added as jitter */
  uint32_t checkpoint_slots; /* journal slots between two checkpoints; 0: default of 64 */
  /* Seals the spool of incarnation and passes its records to done, asynchronously and exactly once.
   * The partition is not adopted until enough disks have replied. Freeing ctx cancels the request.
   * NULL: there are no spools. */
  int32_t (*collect_spool) (
      void *data, TALLOC_CTX *ctx, const char *incarnation, HomesSpoolDone done, void *done_data);
  /* Whether a partition that waits for its hand-off may be handed off now. Polled, and only while
   * the ledger has no calls of the partition in flight. NULL: always. */
  bool (*may_hand_off) (void *data, uint32_t partition);
  void (*gained) (void *data, uint32_t partition); /* replayed and adopted; ready to serve */
  void (*lost) (void *data, uint32_t partition);
  void (*map_changed) (void *data); /* an entry changed; homes have to be looked up again */
  void *data;
};

struct Homes *
homes_new (TALLOC_CTX *ctx,
           struct KvPort *kv,
           struct TimerService *timers,
           struct Journal *journal,
           struct Ledger *ledger,
           const struct HomesOptions *options);

/* Sets the live members. Starts to take over partitions that no live member owns and for which
 * rendezvous hashing selects this incarnation, and to hand off those for which it selects a newly
 * joined member. */
void
homes_set_members (struct Homes *homes, const struct HomesMember *members, size_t n_members);

/* Returns the home of partition in the map as last read, or NULL. */
const char *
homes_lookup (const struct Homes *homes, uint32_t partition);

/* Returns true when this incarnation may accept calls for partition; *epoch is then its epoch. */
bool
homes_owns (const struct Homes *homes, uint32_t partition, uint64_t *epoch);

/* Returns true when records of partition may still be appended, under *epoch: while the partition
 * is owned, and while its calls in flight finish before a hand-off, but never after the hand-off
 * record. */
bool
homes_may_write (const struct Homes *homes, uint32_t partition, uint64_t *epoch);

/* Returns true while partition is being handed off. New calls have to wait for the new home or to
 * be refused as not run. */
bool
homes_is_handing_off (const struct Homes *homes, uint32_t partition);

/* Reads the map now, for example after a peer reported that an entry is out of date. */
void
homes_refresh (struct Homes *homes);

/* Cancels homes_hand_off_all: after the next homes_set_members this incarnation may get partitions
 * again. */
void
homes_cancel_hand_off (struct Homes *homes);
/* Hands every partition off to its next home, for a planned stop. Calls done with ERROR_NONE once
 * none is left here. */
void
homes_hand_off_all (struct Homes *homes, JournalDone done, void *data);

uint32_t
homes_n_owned (const struct Homes *homes);
