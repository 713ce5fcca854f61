/* Private state of homes, shared by its source files. */
#pragma once

#include <buckthornhead/homes.h>

enum HomesPartitionState
{
  HOMES_NOT_SERVED, /* not served here */
  HOMES_READING,    /* the map names this incarnation; the needed journals are being read */
  HOMES_OWNED,      /* served here */
  HOMES_LEAVING,    /* no new calls; waits for calls in flight, then for the hand-off record */
  HOMES_HANDED_OFF  /* the hand-off record is durable; the map still names this incarnation */
};

struct HomesPartition
{
  enum HomesPartitionState state;
  uint64_t epoch;         /* under which it is or was last served here */
  bool snapshots_durable; /* of all adopted programs */
  bool handoff_queued;
  int64_t leave_since_ms; /* since when it is to be handed off once idle; 0: it is not */
  uint64_t pin_slot;      /* first own slot that the next home may still need; 0: none */
};

struct HomesGroup
{
  struct PartitionGroup *map; /* as last read; never NULL */
  bool changing;              /* a compare-and-swap is in flight */
  struct HomesAdoption *adoption;
};

struct HomesCheckpoint
{
  bool running;
  bool any_done;
  uint32_t next_partition;
  uint64_t first_slot; /* of the running checkpoint */
  uint64_t done_slot;  /* first slot of the last durable checkpoint */
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
  struct HomesMember *members; /* owns the strings */
  size_t n_members;
  const char **candidates; /* instances that may take partitions */
  const char **candidate_incarnations;
  size_t n_candidates;
  char **sealed; /* incarnations whose journal is known to be sealed */
  size_t n_sealed;
  char **sealing;
  size_t n_sealing;
  struct Timer *poll_timer, *leave_timer;
  bool reading_map;
  uint32_t n_map_reads; /* started */
  uint32_t n_polls;
  bool stopping; /* homes_hand_off_all was called */
  JournalDone stopped;
  void *stopped_data;
  struct HomesCheckpoint checkpoint;
  char **dropped; /* journals that a map entry has ceased to name */
  size_t n_dropped;
  struct HomesCleaning *cleaning;
  char clean_next[INCARNATION_MAX_BYTES + 1]; /* cleaned if the next map read lacks it */
  uint32_t clean_after_read;
};

/* Checks every partition against the map and the members, and starts the required changes. */
void
homes_step (struct Homes *homes);
struct PartitionEntry *
homes_entry (const struct Homes *homes, uint32_t partition);
bool
homes_is_self (const struct Homes *homes, const char *incarnation);
/* Returns the incarnation that rendezvous hashing selects for partition among the candidates, or
 * NULL. */
const char *
homes_preferred_home (const struct Homes *homes, uint32_t partition);
/* Stops serving partition, which was lost or handed off. */
void
homes_stop_serving (struct Homes *homes, uint32_t partition);
void
homes_update_owned_gauge (const struct Homes *homes);

/* homes_map.c */
void
homes_map_read (struct Homes *homes);
/* Replaces group index with a copy of entries by compare-and-swap. */
void
homes_map_change (struct Homes *homes, uint32_t index, const struct PartitionEntry *entries);

/* homes_takeover.c */
/* Assigns the partition to home under the next epoch. Returns false when the entry has no room for
 * another journal. */
bool
entry_claim (struct PartitionEntry *entry, const char *home);
bool
homes_is_sealed (const struct Homes *homes, const char *incarnation);
void
homes_seal (struct Homes *homes, const char *incarnation);
/* Reads the needed journals of the partitions of group index that the map assigns to this
 * incarnation, and adopts them. */
void
homes_adopt_group (struct Homes *homes, uint32_t index);

bool
homes_is_live (const struct Homes *homes, const char *incarnation);

/* homes_clean.c */

/* Records the journals, other than the own one, that are about to be removed from entry. */
void
homes_note_dropped (struct Homes *homes, const struct PartitionEntry *entry);
/* Deletes, one by one, the slots of a dropped journal that no map entry names. Called after each
 * complete read of the map. */
void
homes_clean_step (struct Homes *homes);

/* homes_handoff.c */
/* Returns true when partitions may be assigned to this incarnation, which excludes one that is
 * being drained or stopped. */
bool
homes_is_candidate (const struct Homes *homes);
void
homes_start_leaving (struct Homes *homes, uint32_t partition);
void
homes_check_stopped (struct Homes *homes);

/* homes_checkpoint.c */
void
homes_checkpoint_step (struct Homes *homes);
