/* What the files of the store's reader share: store_reader.c reads whole lists, store_follow.c
 * waits for changes, store_topics.c holds what they gave and passes it on. */
#pragma once

#include "store_reader.h"

#include <buckthornhead/recent_hashes.h>
#include <buckthornhead/scheduling/server_subset.h>

enum
{
  N_KINDS = SNAPSHOT_KIND_MAX + 1
};

/* One kind of state in the store. */
struct Topic
{
  int64_t revision;   /* of the store, of what is held; 0: nothing yet */
  uint64_t content;   /* of what is held */
  int64_t gap_ms;     /* when a read came that was the first after a gap; 0: never */
  int64_t read_ms;    /* when what is held was current */
  int64_t next_ms;    /* no call of ours before */
  uint32_t failures;  /* in a row */
  bool anew;          /* to be read whatever peers hold */
  int64_t asked_ms;   /* of the call on the way */
  int64_t current_ms; /* when what it gave was current */
  bool asking;
  int64_t wanted_ms;          /* when a peer was asked for all of it, last */
  int64_t noted_ms;           /* when others last got a note that it is being read */
  int64_t called_ms;          /* when the call on the way left */
  int64_t floor;              /* revision of the store below which the call on the way looks */
  int64_t followed;           /* revision of the store up to which changes are known; 0: none */
  struct Snapshot *snapshot;  /* what is held */
  struct SnapshotItem *pages; /* of the range that is being read */
  size_t n_pages;
  char last_key[KV_KEY_MAX_BYTES]; /* of the pages, also of an entry that was left out; "": none */
};

/* The call that waits for changes of all that the store holds. */
struct Follow
{
  bool waiting;
  int64_t asked_ms;
  int64_t next_ms;   /* no call before */
  uint32_t failures; /* in a row */
};

struct StoreReader
{
  struct RecentHashes unreadable; /* entries that were logged as such */
  struct Node *node;
  struct Topic topics[N_KINDS];
  struct Follow follow;
  uint32_t rank;             /* place among those that may read */
  int64_t ranked_ms;         /* when that was worked out */
  int64_t kept_servers_ms;   /* when this process last had to hold the list of all servers */
  struct ServerIndex *index; /* of that list */
  uint64_t subset_of;        /* content of the list that the subset was drawn from */
  uint32_t subset_level;
  int64_t wait_ms; /* of a call that waits for changes */
  bool reachable, registered, registering;
  int64_t registering_ms; /* when that call left */
  int64_t aggregates_ms;  /* since when this process aggregates its zone; 0: it does not */
  int64_t knows_nodes_ms; /* since when the list of processes is known; 0: not yet */
};

void
reader_note (struct StoreReader *reader, bool reachable, int32_t error);

/* Pause after that many failed calls in a row. */
int64_t
reader_backoff_ms (uint32_t failures);

/* A copy of entry as a list's item, whose value belongs to ctx: servers in the product's own form.
 * False when it can not be used. */
bool
reader_fill_item (struct StoreReader *reader,
                  TALLOC_CTX *ctx,
                  enum SnapshotKind kind,
                  struct SnapshotItem *item,
                  const struct KvEntry *entry);

/* Keys of kind begin so; buffer holds it where it is made up. */
const char *
reader_prefix (const struct StoreReader *reader, enum SnapshotKind kind, char buffer[96]);

/* The configuration as it stands in entry. False without memory. */
bool
reader_publish_routes (struct StoreReader *reader, const struct KvEntry *entry, int64_t revision);

/* Nobody has read kind for so long that this process does. */
bool
reader_is_overdue (const struct StoreReader *reader,
                   enum SnapshotKind kind,
                   int64_t now_ms,
                   int64_t delay_ms);

/* Sends a call that waits for changes if it is this process's turn. */
void
reader_follow (struct StoreReader *reader, int64_t now_ms, int64_t delay_ms);

/* Takes a state that is current as of read_ms. An older one than what is held is dropped: state
 * must not go back, whichever way it came. */
void
topic_take (struct StoreReader *reader, const struct Snapshot *snapshot, int64_t read_ms);

/* Notes to those who would read next that kind is being read: a list of thousands takes longer than
 * they wait. */
void
topic_note_reading (struct StoreReader *reader, enum SnapshotKind kind);

/* Nobody had read it for a while before what is held. */
bool
topic_is_after_gap (const struct StoreReader *reader, enum SnapshotKind kind);

/* Whether this process holds the list of all servers: it reads it, would be among the next to read
 * it, or draws up its zone's subset. */
bool
reader_keeps_servers (const struct StoreReader *reader);

/* Lets the list of all servers go some time after it was last needed. */
void
reader_drop_servers (struct StoreReader *reader);

/* How much later than the first this process reads what nobody has read. */
int64_t
reader_delay_ms (struct StoreReader *reader);

/* What this process has read itself: taken, and sent to the aggregators of all zones, who send it
 * to their members, and to those who would read next. */
void
topic_publish (struct StoreReader *reader, struct Snapshot *snapshot);
