/* In-memory key-value store with ordered keys, revisions, leases and a bounded history. Used by
 * fake_kv and by the platform stand-in.
 *
 * Not thread-safe: a threaded caller holds its own lock during every call. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* A key or a value; keys are in byte order. */
struct Bytes
{
  const uint8_t *data;
  size_t n_bytes;
};

struct StoreKey
{
  struct Bytes key, value;
  int64_t create_revision, mod_revision, version, lease;
};

struct StoreEvent
{
  struct StoreEvent *next;
  struct StoreKey kv; /* only key and mod_revision when deleted */
  bool deleted;
};

struct Store;

struct Store *
store_new (TALLOC_CTX *ctx);
int64_t
store_revision (const struct Store *store);

/* Writes between store_begin and store_end share one revision. */
void
store_begin (struct Store *store);
void
store_end (struct Store *store);

/* Returns false when lease is neither 0 nor a live lease. */
bool
store_put (struct Store *store, struct Bytes key, struct Bytes value, int64_t lease);
/* Deletes the keys from key up to, excluding, range_end and returns their number. An empty
 * range_end means key alone, a single zero byte all keys from key on. */
size_t
store_delete (struct Store *store, struct Bytes key, struct Bytes range_end);
/* Returns the number of keys in the range and sets *first to the first of them. */
size_t
store_range (const struct Store *store,
             struct Bytes key,
             struct Bytes range_end,
             struct StoreKey *const **first);
bool
bytes_in_range (struct Bytes bytes, struct Bytes key, struct Bytes range_end);

int64_t
store_grant (struct Store *store, int64_t ttl_s, int64_t now_ms);
/* Returns the time to live in seconds, 0 for an expired or unknown lease. */
int64_t
store_keepalive (struct Store *store, int64_t lease, int64_t now_ms);
bool
store_revoke (struct Store *store, int64_t lease);
/* Removes expired leases and their keys. Returns the number of leases removed. */
size_t
store_expire (struct Store *store, int64_t now_ms);

/* Returns the oldest retained event; the list is in order of revision. store_compacted returns the
 * revision of the last event that was discarded. */
const struct StoreEvent *
store_events (const struct Store *store);
int64_t
store_compacted (const struct Store *store);
