/* In-memory key-value port with scripted faults.
 *
 * Several ports may share one service, one per client under test. A request is applied and
 * completed by fake_kv_run, or once the fake clock has advanced by FAKE_KV_LATENCY_MS. Freeing a
 * port with pending requests simulates a crashed client: the requests are still applied, but their
 * callbacks are not called. Lost reads fail with ERROR_UNREACHABLE. */
#pragma once

#include <buckthornhead/error.h>
#include <buckthornhead/kv.h>
#include <buckthornhead/timer.h>

enum
{
  FAKE_KV_LATENCY_MS = 1,
  FAKE_KV_ANY_OP = -1,
  FAKE_KV_ALWAYS = UINT32_MAX
};

enum FakeKvFault
{
  FAKE_KV_OK,
  FAKE_KV_REFUSE,        /* no effect, ERROR_UNREACHABLE */
  FAKE_KV_RATE_LIMIT,    /* no effect, ERROR_RATE_LIMITED */
  FAKE_KV_LOSE_REQUEST,  /* no effect, ERROR_UNKNOWN_EFFECT */
  FAKE_KV_LOSE_RESPONSE, /* applied, ERROR_UNKNOWN_EFFECT */
  FAKE_KV_LATE,          /* ERROR_UNKNOWN_EFFECT at once, applied by fake_kv_release */
  FAKE_KV_HOLD_REQUEST,  /* applied and completed by fake_kv_release */
  FAKE_KV_HOLD_RESPONSE  /* applied at once, completed by fake_kv_release */
};

struct FakeKv;

struct FakeKv *
fake_kv_new (TALLOC_CTX *ctx, struct TimerService *timers);
/* Creates the port of one client; it may be freed before the service. */
struct KvPort *
fake_kv_port_new (TALLOC_CTX *ctx, struct FakeKv *kv);

/* Processes all pending requests, including those that their callbacks submit. Returns the number
 * of requests completed. Watches without a change and held requests stay pending. */
size_t
fake_kv_run (struct FakeKv *kv);
/* Releases held and late requests and responses. Held responses are delivered at once, the rest is
 * processed by the next run or tick. Returns the number of requests released. */
size_t
fake_kv_release (struct FakeKv *kv);
/* Like fake_kv_release, but held requests get fault instead of being applied. */
size_t
fake_kv_release_as (struct FakeKv *kv, enum FakeKvFault fault);
/* Returns the number of pending and held requests, watches excluded. */
size_t
fake_kv_n_waiting (const struct FakeKv *kv);

/* Applies fault to every request of the service or of one port, until it is set to FAKE_KV_OK. */
void
fake_kv_set_fault (struct FakeKv *kv, enum FakeKvFault fault);
void
fake_kv_port_set_fault (struct KvPort *port, enum FakeKvFault fault);

/* Applies fault to the next n requests of op (FAKE_KV_ANY_OP: any) whose key starts with key_prefix
 * (NULL: any). The first matching rule wins, in the order in which they were added. */
void
fake_kv_fault_next (
    struct FakeKv *kv, int32_t op, const char *key_prefix, enum FakeKvFault fault, uint32_t n);

/* Called just before a request on a key that starts with key_prefix is applied, for example to
 * interleave the write of another client. The returned fault applies to the request, unless it is
 * FAKE_KV_OK. */
typedef enum FakeKvFault (*FakeKvHook) (void *data, const struct KvRequest *request);
void
fake_kv_set_hook (struct FakeKv *kv, const char *key_prefix, FakeKvHook hook, void *data);

/* Direct access without faults. A peeked value is valid until the next change. */
bool
fake_kv_get (const struct FakeKv *kv, const char *key, struct KvEntry *entry);
/* Returns the n-th key that starts with prefix, in byte order; NULL past the last one. */
const char *
fake_kv_key_at (const struct FakeKv *kv, const char *prefix, size_t n);
size_t
fake_kv_count (const struct FakeKv *kv, const char *prefix);
int64_t
fake_kv_set (struct FakeKv *kv, const char *key, const void *value, size_t value_bytes);
void
fake_kv_remove (struct FakeKv *kv, const char *key);
/* Expires a lease early, as if its holder had been paused. */
void
fake_kv_expire_lease (struct FakeKv *kv, int64_t lease_id);

/* Number of read and write requests that the service has processed, failed ones included. */
uint64_t
fake_kv_n_reads (const struct FakeKv *kv);
uint64_t
fake_kv_n_writes (const struct FakeKv *kv);
