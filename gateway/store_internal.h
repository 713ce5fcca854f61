/* What the two files of the store's reader share: store_reader.c makes the calls, store_topics.c
 * holds what they gave and passes it on. */
#pragma once

#include "store_reader.h"

#include <buckthornhead/recent_hashes.h>

enum
{
  N_KINDS = SNAPSHOT_RETIRE + 1 /* kinds of state in the store */
};

/* One kind of state in the store. */
struct Topic
{
  int64_t revision;  /* of the store, of what is held; 0: nothing yet */
  uint64_t content;  /* of what is held */
  int64_t gap_ms;    /* when a read came that was the first after a gap; 0: never */
  int64_t read_ms;   /* when what is held was current */
  int64_t next_ms;   /* no call of ours before */
  uint32_t failures; /* in a row */
  int64_t asked_ms;  /* of the call on the way */
  bool asking;
  int64_t wanted_ms;         /* when a peer was asked for all of it, last */
  int64_t called_ms;         /* when the call on the way left */
  bool waiting;              /* it is one that waits for changes */
  int64_t watched;           /* ROUTES: revision of the store up to which changes were looked for */
  struct Snapshot *snapshot; /* what is held */
  struct SnapshotItem *pages; /* of the range that is being read */
  size_t n_pages;
};

struct StoreReader
{
  struct RecentHashes unreadable; /* entries that were told as such */
  struct Node *node;
  struct Topic topics[N_KINDS];
  bool reachable, registered, registering;
  int64_t knows_nodes_ms; /* since when the list of processes is known; 0: not yet */
};

/* How much later than the first this process reads what nobody has read. */
int64_t
reader_delay_ms (const struct StoreReader *reader);

/* What this process has read itself: taken, and told to the aggregators of all zones, who tell
 * their members, and to those who would read next. */
void
topic_publish (struct StoreReader *reader, struct Snapshot *snapshot);
