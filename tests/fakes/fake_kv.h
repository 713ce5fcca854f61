/* Key-value port in memory, whose faults a test scripts.
 *
 * Several ports may share one service: one for each client under test. A request waits until
 * fake_kv_run, or until the fake clock has moved on by FAKE_KV_LATENCY_MS; only then has it an
 * effect and an answer. A port freed with requests on the way is a client that died: they still
 * take effect, and nobody is told. Reads that are lost answer ERROR_UNREACHABLE. */
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
  FAKE_KV_REFUSE,       /* no effect, ERROR_UNREACHABLE */
  FAKE_KV_LIMIT,        /* no effect, ERROR_RATE_LIMITED */
  FAKE_KV_LOSE_REQUEST, /* no effect, ERROR_UNKNOWN_EFFECT */
  FAKE_KV_LOSE_ANSWER,  /* takes effect, ERROR_UNKNOWN_EFFECT */
  FAKE_KV_LATE,         /* ERROR_UNKNOWN_EFFECT at once, takes effect on fake_kv_release */
  FAKE_KV_HOLD_REQUEST, /* takes effect and answers on fake_kv_release */
  FAKE_KV_HOLD_ANSWER   /* takes effect at once, answers on fake_kv_release */
};

struct FakeKv;

struct FakeKv *
fake_kv_new (TALLOC_CTX *ctx, struct TimerService *timers);
/* A client's port; it may be freed before the service. */
struct KvPort *
fake_kv_port_new (TALLOC_CTX *ctx, struct FakeKv *kv);

/* Works off all that waits, and what that submits in turn. Returns how many were answered. A
 * watch without a change and held requests go on waiting. */
size_t
fake_kv_run (struct FakeKv *kv);
/* Lets go of what was held, which a later run or tick answers. Returns how many. */
size_t
fake_kv_release (struct FakeKv *kv);
/* The same, but held requests meet fault in place of taking effect. */
size_t
fake_kv_release_as (struct FakeKv *kv, enum FakeKvFault fault);
/* Requests that wait or are held, watches left out. */
size_t
fake_kv_n_waiting (const struct FakeKv *kv);

/* Every request (of the one port) meets fault until it is FAKE_KV_OK again. */
void
fake_kv_set_fault (struct FakeKv *kv, enum FakeKvFault fault);
void
fake_kv_port_set_fault (struct KvPort *port, enum FakeKvFault fault);

/* The next n requests of op (FAKE_KV_ANY_OP: any) whose key starts with key_prefix (NULL: any)
 * meet fault. Rules are tried in the order in which they were added. */
void
fake_kv_fault_next (
    struct FakeKv *kv, int32_t op, const char *key_prefix, enum FakeKvFault fault, uint32_t n);

/* Called just before a request on a key that starts with key_prefix takes effect: the place for
 * what another client does in between. The fault it returns is met. */
typedef enum FakeKvFault (*FakeKvHook) (void *data, const struct KvRequest *request);
void
fake_kv_set_hook (struct FakeKv *kv, const char *key_prefix, FakeKvHook hook, void *data);

/* Direct access, past all faults. A peeked value is valid until the next change. */
bool
fake_kv_peek (const struct FakeKv *kv, const char *key, struct KvEntry *entry);
/* The n-th key that starts with prefix, in order; NULL past the last. */
const char *
fake_kv_peek_key (const struct FakeKv *kv, const char *prefix, size_t n);
size_t
fake_kv_count (const struct FakeKv *kv, const char *prefix);
int64_t
fake_kv_poke (struct FakeKv *kv, const char *key, const void *value, size_t value_bytes);
void
fake_kv_remove (struct FakeKv *kv, const char *key);
/* Ends a lease before its time, as when its holder was paused. */
void
fake_kv_lapse_lease (struct FakeKv *kv, int64_t lease_id);

/* Requests that reached the service. */
uint64_t
fake_kv_n_reads (const struct FakeKv *kv);
uint64_t
fake_kv_n_writes (const struct FakeKv *kv);
