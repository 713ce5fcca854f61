/* Homes: which partitions this incarnation owns, and how it comes to own and to leave them.
 *
 * Owns the safety argument of taking over: seal the former home's journal, compare-and-swap the
 * map, then read what precedes the seal, and only then serve. The map names every journal that
 * has to be read until the new home's own snapshots are durable, so a second death in between
 * loses nothing. Suspicion (who might be dead) comes from membership and only says when to try;
 * no clock takes part in the argument. */
#pragma once

#include <buckthornhead/journal.h>
#include <buckthornhead/ledger.h>
#include <buckthornhead/partition.h>

struct Homes;

/* What homes needs to know of the fleet; kept up to date by membership. */
struct HomesMember
{
  const char *incarnation;
  const char *instance;
  bool draining;
};

/* Records of a sealed writer that were acknowledged from disks while the platform was down, as
 * slots of their own, in ascending order of number and without repeats. */
struct HomesSpooled
{
  uint64_t number;
  const uint8_t *slot; /* slot_pack's bytes */
  size_t n_bytes;
};
typedef void (*HomesSpoolDone) (void *data, const struct HomesSpooled *spooled, size_t n_spooled);

struct HomesOptions
{
  const char *prefix;
  const char *incarnation;
  uint32_t n_partitions;
  uint32_t group_size;
  uint32_t poll_ms;          /* how often the map is read again, and a bit more: spread */
  uint32_t checkpoint_slots; /* journal slots between two checkpoints; 0: 64 */
  /* Seals incarnation's spool and gives what it holds, later, once and for sure: until enough disks
   * have answered nothing is adopted. Freeing ctx ends it. NULL: there are no spools. */
  int32_t (*collect_spool) (
      void *data, TALLOC_CTX *ctx, const char *incarnation, HomesSpoolDone done, void *done_data);
  /* Whether a partition that is to be handed off may be left now, asked again and again; called
   * only once the ledger has nothing of it in flight. NULL: it may. */
  bool (*may_leave) (void *data, uint32_t partition);
  void (*gained) (void *data, uint32_t partition); /* replayed, adopted, ready to serve */
  void (*lost) (void *data, uint32_t partition);
  void (*map_changed) (void *data); /* any entry: look up homes again */
  void *data;
};

struct Homes *
homes_new (TALLOC_CTX *ctx,
           struct KvPort *kv,
           struct TimerService *timers,
           struct Journal *journal,
           struct Ledger *ledger,
           const struct HomesOptions *options);

/* The live members as now suspected. Starts taking what no live member owns and whose rendezvous
 * choice this incarnation is, and handing off what a newly joined member should have. */
void
homes_set_members (struct Homes *homes, const struct HomesMember *members, size_t n_members);

/* Incarnation that the last read map names for partition, or NULL. */
const char *
homes_lookup (const struct Homes *homes, uint32_t partition);

/* True when this incarnation may accept calls for partition; *epoch is then its epoch. */
bool
homes_owns (const struct Homes *homes, uint32_t partition, uint64_t *epoch);

/* True when records of partition may still be appended, under *epoch: while it is owned, and while
 * what is in flight in it is being finished ahead of a hand-off; never behind its record. */
bool
homes_may_write (const struct Homes *homes, uint32_t partition, uint64_t *epoch);

/* True while this incarnation finishes what is in flight in partition before handing it off: new
 * calls are to wait for the new home, or to be refused as not run. */
bool
homes_is_leaving (const struct Homes *homes, uint32_t partition);

/* Reads the map now, as when a peer says that an entry is out of date. */
void
homes_refresh (struct Homes *homes);

/* Planned stop: hands every partition to its next choice. done (0) when none is left here. */
/* The stop is called off: the next homes_set_members may give this incarnation partitions again. */
void
homes_serve_again (struct Homes *homes);
void
homes_hand_off_all (struct Homes *homes, JournalDone done, void *data);

uint32_t
homes_n_owned (const struct Homes *homes);
