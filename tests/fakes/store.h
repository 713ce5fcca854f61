/* A key-value store in memory: ordered keys with revisions, leases and a bounded history. The fake
 * port and the stand-in platform are two faces of it.
 *
 * Not locked: its user holds a lock around every call. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* A key or a value; keys are ordered by byte. */
struct Bytes
{
  const uint8_t *at;
  size_t n;
};

struct StoreKey
{
  struct Bytes key, value;
  int64_t create_revision, mod_revision, version, lease;
};

struct StoreEvent
{
  struct StoreEvent *next;
  struct StoreKey kv; /* without a value when deleted */
  bool deleted;
};

struct Store;

struct Store *
store_new (TALLOC_CTX *ctx);
int64_t
store_revision (const struct Store *store);

/* Writes between begin and end share one revision. */
void
store_begin (struct Store *store);
void
store_end (struct Store *store);

/* False when lease is neither 0 nor a live lease. */
bool
store_put (struct Store *store, struct Bytes key, struct Bytes value, int64_t lease);
/* Keys from key up to range_end; an empty range_end means key alone, one zero byte no end. */
size_t
store_delete (struct Store *store, struct Bytes key, struct Bytes range_end);
/* Returns how many keys are in the range, *first being the first of them. */
size_t
store_range (const struct Store *store,
             struct Bytes key,
             struct Bytes range_end,
             struct StoreKey *const **first);
bool
bytes_in_range (struct Bytes at, struct Bytes key, struct Bytes range_end);

int64_t
store_grant (struct Store *store, int64_t ttl_s, int64_t now_ms);
/* Returns the time to live in seconds, 0 for a lease that is gone. */
int64_t
store_keepalive (struct Store *store, int64_t lease, int64_t now_ms);
bool
store_revoke (struct Store *store, int64_t lease);
/* Removes lapsed leases with their keys. Returns how many there were. */
size_t
store_expire (struct Store *store, int64_t now_ms);

/* Oldest kept event, in order of revision; and the highest revision no longer kept. */
const struct StoreEvent *
store_events (const struct Store *store);
int64_t
store_compacted (const struct Store *store);
