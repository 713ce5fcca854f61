/* State of homes, shared by its source files only. */
#pragma once

#include <buckthornhead/homes.h>

enum HomesPartitionState
{
  HOMES_AWAY,    /* not served here */
  HOMES_READING, /* the map names this incarnation; the journals that count are being read */
  HOMES_OWNED,   /* served here */
  HOMES_LEAVING, /* no new calls; waits for what is in flight, then for its hand-off record */
  HOMES_HANDED   /* the hand-off record is durable; the map still names this incarnation */
};

struct HomesPartition
{
  enum HomesPartitionState state;
  uint64_t epoch;         /* under which it is or was served here */
  bool snapshots_durable; /* of all that was adopted */
  bool handoff_queued;
  int64_t leave_since_ms; /* owned, and to be handed off at a quiet moment; 0: not */
  uint64_t pin_slot;      /* the own journal must keep what follows for the next home; 0: none */
};

struct HomesGroup
{
  struct PartitionGroup *map; /* as last read; never NULL */
  bool changing;              /* a compare-and-swap is on its way */
  struct HomesAdoption *adoption;
};

struct HomesCheckpoint
{
  bool running;
  bool any_done;
  uint32_t next_partition;
  uint64_t first_slot; /* of the running one */
  uint64_t done_slot;  /* first slot of the last one that is durable */
};

struct Homes
{
  struct KvPort *kv;
  struct TimerService *timers;
  struct Journal *journal;
  struct Ledger *ledger;
  struct HomesOptions options;
  char *map_prefix;
  struct HomesGroup *groups;
  uint32_t n_groups;
  struct HomesPartition *partitions;
  struct HomesMember *members; /* strings belong to it */
  size_t n_members;
  const char **candidates; /* instances that may take partitions */
  const char **candidate_incarnations;
  size_t n_candidates;
  char **sealed; /* incarnations whose seal this one has seen */
  size_t n_sealed;
  char **sealing;
  size_t n_sealing;
  struct Timer *poll_timer, *leave_timer;
  bool reading_map;
  uint32_t n_map_reads; /* begun */
  uint32_t n_polls;
  bool stopping; /* homes_hand_off_all was called */
  JournalDone stopped;
  void *stopped_data;
  struct HomesCheckpoint checkpoint;
  char **dropped; /* former journals that an entry of the map no longer names */
  size_t n_dropped;
  struct HomesCleaning *cleaning;
  char clean_next[INCARNATION_MAX_BYTES + 1]; /* to be cleaned, once the map was read again */
  uint32_t clean_after_read;
};

/* Goes over every partition and does what the map, the members and its own state ask for. */
void
homes_step (struct Homes *homes);
struct PartitionEntry *
homes_entry (const struct Homes *homes, uint32_t partition);
bool
homes_is_self (const struct Homes *homes, const char *incarnation);
/* Incarnation that should have partition by the members as known, or NULL. */
const char *
homes_choice (const struct Homes *homes, uint32_t partition);
/* Stops serving partition: it was lost or has been handed off. */
void
homes_leave (struct Homes *homes, uint32_t partition);
void
homes_count_owned (const struct Homes *homes);

/* homes_map.c */
void
homes_map_read (struct Homes *homes);
/* Compare-and-swaps group index to entries (copied). */
void
homes_map_change (struct Homes *homes, uint32_t index, const struct PartitionEntry *entries);

/* homes_takeover.c */
/* Gives the partition to home under the next epoch; false when no journal can be added. */
bool
entry_claim (struct PartitionEntry *entry, const char *home);
bool
homes_is_sealed (const struct Homes *homes, const char *incarnation);
void
homes_seal (struct Homes *homes, const char *incarnation);
/* Reads what counts for the partitions of group index that the map gives to this incarnation. */
void
homes_adopt_group (struct Homes *homes, uint32_t index);

bool
homes_is_live (const struct Homes *homes, const char *incarnation);

/* homes_clean.c */

/* Remembers the journals that entry names beside the own one, and is about to name no more. */
void
homes_note_dropped (struct Homes *homes, const struct PartitionEntry *entry);
/* Deletes, one by one, the slots of a dropped journal that no entry names any more. Called after
 * each whole reading of the map. */
void
homes_clean_step (struct Homes *homes);

/* homes_handoff.c */
/* Whether partitions may be given to this incarnation: not while it is being drained. */
bool
homes_is_candidate (const struct Homes *homes);
void
homes_start_leaving (struct Homes *homes, uint32_t partition);
void
homes_check_stopped (struct Homes *homes);

/* homes_checkpoint.c */
void
homes_checkpoint_step (struct Homes *homes);
