/* Declarations shared by the files of the store reader: store_reader.c reads whole lists,
 * store_follow.c watches for changes, store_topics.c holds the resulting state and forwards it to
 * peers. */
#pragma once

#include "store_reader.h"

#include <buckthornhead/recent_hashes.h>
#include <buckthornhead/scheduling/server_subset.h>

enum
{
  N_KINDS = SNAPSHOT_KIND_MAX + 1
};

/* This process's copy of one kind of snapshot. */
struct Topic
{
  int64_t revision;        /* of the store, for the held state; 0: none yet */
  uint64_t content;        /* hash of the held items, or mod revision of the routes */
  int64_t gap_read_ms;     /* when the first read after a gap was received; 0: never */
  int64_t read_ms;         /* latest time at which the held state is certain to be current */
  int64_t next_ms;         /* earliest time of the next call */
  uint32_t failures;       /* consecutive */
  bool must_reread;        /* read the store even if peers hold a copy */
  int64_t read_started_ms; /* of the latest read or watch call */
  int64_t current_ms;      /* time at which the result of that read or call is current */
  bool reading;
  int64_t whole_requested_ms; /* when the whole snapshot was last requested from a peer */
  int64_t reading_noted_ms;   /* when peers were last notified that the list is being read */
  int64_t call_started_ms;    /* of the pending call, which reads one page */
  int64_t read_revision;      /* the read includes all changes up to this revision */
  int64_t followed_revision;  /* all changes up to this one are applied; 0: none, read the list */
  struct Snapshot *snapshot;  /* the held state */
  struct SnapshotItem *read_items; /* of the list that is being read */
  size_t n_read_items;
  char last_key[KV_KEY_MAX_BYTES]; /* last one read, even if its entry was omitted; "": none */
};

/* The call that watches all keys of the store. */
struct Follow
{
  bool waiting;
  int64_t call_started_ms;
  int64_t next_ms;   /* earliest time of the next call */
  uint32_t failures; /* consecutive */
};

struct StoreReader
{
  struct RecentHashes logged_unreadable; /* entries already logged as malformed */
  struct Node *node;
  struct Topic topics[N_KINDS];
  struct Follow follow;
  uint32_t rank;             /* position among the processes that may read the store */
  int64_t ranked_ms;         /* when rank was computed */
  int64_t servers_needed_ms; /* when this process last needed the list of all servers */
  struct ServerIndex *index; /* of that list */
  uint64_t subset_of;        /* content of the list from which the subset was drawn */
  uint32_t subset_level;
  int64_t wait_ms; /* maximum duration of a watch call */
  bool reachable, registered, registering;
  int64_t lost_ms;             /* when a call failed after the last one that succeeded; 0: never */
  int64_t register_started_ms; /* of the pending or last call */
  int64_t aggregator_since_ms; /* when it became its zone's first aggregator; 0: it is not */
  int64_t nodes_known_ms;      /* when processes became known; may lie ahead; 0: not yet */
};

/* Logs and reports in the metrics whether the store is reachable, when that changes. */
void
reader_set_reachable (struct StoreReader *reader, bool reachable, int32_t error);

/* Returns the delay after the given number of consecutive failures before the latest one. */
int64_t
reader_backoff_ms (uint32_t failures);

/* Copies entry to a list's item, whose value belongs to ctx; servers are converted to the internal
 * format. Returns false if entry is unusable. */
bool
reader_fill_item (struct StoreReader *reader,
                  TALLOC_CTX *ctx,
                  enum SnapshotKind kind,
                  struct SnapshotItem *item,
                  const struct KvEntry *entry);

/* Returns the prefix of the keys of kind, which may be written to buffer. */
const char *
reader_prefix (const struct StoreReader *reader, enum SnapshotKind kind, char buffer[96]);

/* Publishes the configuration in entry. Returns false without memory. */
bool
reader_publish_routes (struct StoreReader *reader, const struct KvEntry *entry, int64_t revision);

/* Returns whether no process has read kind for so long that this one, whose rank delays it by
 * delay_ms, must. */
bool
reader_is_overdue (const struct StoreReader *reader,
                   enum SnapshotKind kind,
                   int64_t now_ms,
                   int64_t delay_ms);

/* Sends a watch call if this process is the one that should. */
void
reader_follow (struct StoreReader *reader, int64_t now_ms, int64_t delay_ms);

/* Replaces the held state by one that is current as of read_ms. Drops it if its revision is lower:
 * state must never revert to an older one, whatever the order in which copies arrive. */
void
topic_apply_snapshot (struct StoreReader *reader, const struct Snapshot *snapshot, int64_t read_ms);

/* Notifies the processes that would read next that kind is being read: a list of thousands takes
 * longer than the delay after which they would read it themselves. */
void
topic_note_reading (struct StoreReader *reader, enum SnapshotKind kind);

/* Returns whether the held state was, a short time ago, the first read after a gap in which no
 * process could read the store. */
bool
topic_is_after_gap (const struct StoreReader *reader, enum SnapshotKind kind);

/* Returns whether this process holds the list of all servers: because it reads it, is among the
 * next to read it, or draws its zone's subset from it. */
bool
reader_holds_servers (const struct StoreReader *reader);

/* Frees the list of all servers some time after it was last needed. */
void
reader_drop_servers (struct StoreReader *reader);

/* Returns the delay, relative to the first-ranked process, after which this one reads what no other
 * has read. */
int64_t
reader_delay_ms (struct StoreReader *reader);

/* Takes what this process has read itself, and sends it to the aggregators of all zones, which
 * forward it to their members, and to the processes that would read next. */
void
topic_publish (struct StoreReader *reader, struct Snapshot *snapshot);
