/* Follows the keys under a prefix: reads them, then watches, and never misses a change for long.
 *
 * A watch that is refused is replaced by jittered polls. A watch that ended quiet is followed by a
 * read, since one whose connection died without a sign looks just like it: what it hid is found
 * after .watch_ms at the latest. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/timer.h>

struct KvFollow;

struct KvFollowOptions
{
  const char *prefix;
  uint32_t poll_ms;    /* between two reads while there is no watch; jittered */
  uint32_t watch_ms;   /* one watch; jittered */
  uint32_t read_limit; /* keys in one request of a read; 0: no limit */
  uint64_t seed;       /* of the jitter */
  /* First key that a read wants, belonging to ctx; NULL, or no such function: all of them. */
  char *(*start) (void *data, TALLOC_CTX *ctx);
  /* A read begins; may be NULL. */
  void (*begin) (void *data);
  /* One key, in order of key from a read and in order of change from a watch. False ends a read
   * with ERROR_OUT_OF_ORDER, and a watch with a read. */
  bool (*take) (void *data, const struct KvEntry *entry);
  /* After all keys of one answer; whole: a read has ended. What happened up to revision is in. */
  void (*taken) (void *data, bool whole, int64_t revision);
  /* After each answer: whether the service serves; may be NULL. */
  void (*reached) (void *data, bool reached);
  void *data;
};

struct KvFollow *
kv_follow_new (TALLOC_CTX *ctx,
               struct KvPort *kv,
               struct TimerService *timers,
               const struct KvFollowOptions *options);

/* Begins to follow, until freed. */
void
kv_follow_start (struct KvFollow *follow);

/* One read besides, through the same functions. done is not called once owner was freed. */
typedef void (*KvFollowDone) (void *data, int32_t error, int64_t revision);
int32_t
kv_follow_read (TALLOC_CTX *owner, struct KvFollow *follow, KvFollowDone done, void *data);
