/* Port to the platform's key-value service.
 *
 * Limited to get, compare-and-swap, prefix read, lease and watch, so that another platform only
 * needs another adapter. Requests are tagged unions. Every submitted request gets exactly one
 * result, never from inside kv_submit. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

enum
{
  KV_VALUE_MAX_BYTES = 1024 * 1024,
  KV_KEY_MAX_BYTES = 256
};

enum KvOp
{
  KV_OP_GET,
  KV_OP_PUT,
  KV_OP_DELETE,
  KV_OP_RANGE,
  KV_OP_LEASE_GRANT,
  KV_OP_LEASE_KEEPALIVE,
  KV_OP_LEASE_REVOKE,
  KV_OP_WATCH
};

/* Condition of a put or delete on the key's current state. */
enum KvCondition
{
  KV_IF_ALWAYS,
  KV_IF_ABSENT,      /* the key does not exist */
  KV_IF_MOD_REVISION /* the key was last modified at .mod_revision */
};

struct KvRequest
{
  enum KvOp op;
  union
  {
    struct
    {
      const char *key;
    } get;
    struct
    {
      const char *key;
      const uint8_t *value;
      size_t value_bytes;
      enum KvCondition condition;
      int64_t mod_revision;
      int64_t lease_id; /* 0: no lease */
    } put;
    struct
    {
      const char *key;
      enum KvCondition condition;
      int64_t mod_revision;
    } delete_key;
    struct
    {
      const char *prefix;
      const char *start; /* first key, inclusive; NULL: the prefix itself */
      uint32_t limit;    /* 0: no limit */
      bool keys_only;
    } range; /* ascending by key */
    struct
    {
      int64_t ttl_s;
    } lease_grant;
    struct
    {
      int64_t lease_id;
    } lease_keepalive, lease_revoke;
    struct
    {
      const char *prefix;
      int64_t start_revision;
      int64_t wait_ms; /* returns no entries after this time */
    } watch;           /* long poll: returns the first changes since start_revision */
  };
};

struct KvEntry
{
  const char *key;
  const uint8_t *value;
  size_t value_bytes;
  int64_t mod_revision;
  bool deleted; /* set in results of a watch only */
};

/* Valid during the callback only.
 * error: ERROR_NONE; ERROR_CONFLICT (the condition failed; entries[0], when n_entries is 1, is the
 * key's current state); ERROR_NOT_FOUND (no such key, or the lease has expired); ERROR_RATE_LIMITED
 * and ERROR_UNREACHABLE (not applied); ERROR_UNKNOWN_EFFECT (may have been applied). */
struct KvResult
{
  int32_t error;
  int64_t revision; /* of the store, or of the written key */
  int64_t lease_id;
  const struct KvEntry *entries;
  size_t n_entries;
  bool more; /* the range was truncated by its limit */
};

typedef void (*KvDone) (void *data, const struct KvResult *result);

struct KvPort
{
  /* Copies what it needs of request. Passes the result to done later, never from inside submit. */
  int32_t (*submit) (struct KvPort *port, const struct KvRequest *request, KvDone done, void *data);
};

int32_t
kv_submit (struct KvPort *port, const struct KvRequest *request, KvDone done, void *data);
