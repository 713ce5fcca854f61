/* Follows the keys under a prefix: reads them, then watches for changes.
 *
 * A failed watch is replaced by jittered polls. A watch that ended without changes is followed by a
 * read, since it cannot be distinguished from one whose connection broke silently. A change that
 * such a watch missed is therefore found after .watch_ms at the latest. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/timer.h>

struct KvFollow;

struct KvFollowOptions
{
  const char *prefix;
  uint32_t poll_ms;    /* between two reads while there is no watch; jittered */
  uint32_t watch_ms;   /* duration of one watch; jittered */
  uint32_t read_limit; /* maximum number of keys per range request; 0: no limit */
  uint64_t seed;       /* of the jitter */
  /* Returns the first key that a read needs, allocated from ctx; NULL for all keys. May be NULL,
   * which reads all keys. */
  char *(*start) (void *data, TALLOC_CTX *ctx);
  /* Called when a read begins. May be NULL. */
  void (*begin) (void *data);
  /* Called for each key, in key order during a read and in order of change during a watch.
   * Returning false ends a read with ERROR_OUT_OF_ORDER, and a watch with a new read. */
  bool (*on_entry) (void *data, const struct KvEntry *entry);
  /* Called after all keys of one response, which include the changes up to revision. whole is true
   * after the last response of a read. */
  void (*on_page) (void *data, bool whole, int64_t revision);
  /* Called after each response with whether the service is available. May be NULL. */
  void (*availability) (void *data, bool available);
  void *data;
};

struct KvFollow *
kv_follow_new (TALLOC_CTX *ctx,
               struct KvPort *kv,
               struct TimerService *timers,
               const struct KvFollowOptions *options);

/* Starts to follow the keys, until freed. */
void
kv_follow_start (struct KvFollow *follow);

/* Starts an additional read that calls the same functions. done is not called after owner was
 * freed. */
typedef void (*KvFollowDone) (void *data, int32_t error, int64_t revision);
int32_t
kv_follow_read (TALLOC_CTX *owner, struct KvFollow *follow, KvFollowDone done, void *data);
