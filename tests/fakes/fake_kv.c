#include "fake_kv.h"

#include "store.h"

#include <string.h>

enum FakeOpState
{
  FAKE_OP_PENDING,
  FAKE_OP_HELD_REQUEST,  /* neither applied nor completed until released */
  FAKE_OP_HELD_RESPONSE, /* applied, completed when released */
  FAKE_OP_LATE,          /* completed, applied when released */
  FAKE_OP_LATE_RELEASED  /* completed, applied at the next step */
};

struct FakePort
{
  struct KvPort port;
  struct FakeKv *kv;
  enum FakeKvFault fault;
};

struct FakeOp
{
  struct FakeOp *next;
  struct FakeKv *kv;
  struct FakePort *port; /* NULL once the port is freed or the result was reported */
  struct KvRequest request;
  enum FakeOpState state;
  bool fault_chosen; /* the fault of its first step has been chosen */
  enum FakeKvFault release_fault;
  int64_t deadline_ms; /* when a watch without events completes */
  KvDone done;
  void *data;
  struct KvResult result; /* strings and values are children of the operation */
};

struct FakeRule
{
  struct FakeRule *next;
  int32_t op;
  const char *key_prefix;
  enum FakeKvFault fault;
  uint32_t n_left;
  FakeKvHook hook;
  void *data;
};

struct FakeKv
{
  struct TimerService *timers;
  struct Timer *tick;
  struct Store *store;
  struct FakeOp *ops, **ops_end;
  struct FakeRule *rules;
  enum FakeKvFault fault;
  uint64_t n_reads, n_writes;
};

static struct Bytes
bytes_from_text (const char *text)
{
  return (struct Bytes){ (const uint8_t *)text, strlen (text) };
}

static bool
starts_with (const char *key, const char *prefix)
{
  return strncmp (key, prefix, strlen (prefix)) == 0;
}

/* Returns the end of the range of keys that start with prefix. */
static struct Bytes
prefix_end (TALLOC_CTX *ctx, const char *prefix)
{
  size_t n = strlen (prefix);
  char *end = NULL;

  if (n == 0)
    return (struct Bytes){ (const uint8_t *)"", 1 };
  end = talloc_strdup (ctx, prefix);
  end[n - 1]++;
  return (struct Bytes){ (const uint8_t *)end, n };
}

static const char *
request_key (const struct KvRequest *request)
{
  switch (request->op)
    {
    case KV_OP_GET:
      return request->get.key;
    case KV_OP_PUT:
      return request->put.key;
    case KV_OP_DELETE:
      return request->delete_key.key;
    case KV_OP_RANGE:
      return request->range.prefix;
    case KV_OP_WATCH:
      return request->watch.prefix;
    case KV_OP_LEASE_GRANT:
    case KV_OP_LEASE_KEEPALIVE:
    case KV_OP_LEASE_REVOKE:
      break;
    }
  return "";
}

static bool
request_is_read (const struct KvRequest *request)
{
  return request->op == KV_OP_GET || request->op == KV_OP_RANGE || request->op == KV_OP_WATCH;
}

static struct KvRequest
request_copy (TALLOC_CTX *ctx, const struct KvRequest *from)
{
  struct KvRequest to = *from;

  switch (from->op)
    {
    case KV_OP_GET:
      to.get.key = talloc_strdup (ctx, from->get.key);
      break;
    case KV_OP_PUT:
      to.put.key = talloc_strdup (ctx, from->put.key);
      to.put.value = talloc_size (ctx, from->put.value_bytes + 1);
      if (from->put.value_bytes > 0)
        memcpy ((void *)to.put.value, from->put.value, from->put.value_bytes);
      break;
    case KV_OP_DELETE:
      to.delete_key.key = talloc_strdup (ctx, from->delete_key.key);
      break;
    case KV_OP_RANGE:
      to.range.prefix = talloc_strdup (ctx, from->range.prefix);
      to.range.start = from->range.start != NULL ? talloc_strdup (ctx, from->range.start) : NULL;
      break;
    case KV_OP_WATCH:
      to.watch.prefix = talloc_strdup (ctx, from->watch.prefix);
      break;
    case KV_OP_LEASE_GRANT:
    case KV_OP_LEASE_KEEPALIVE:
    case KV_OP_LEASE_REVOKE:
      break;
    }
  return to;
}

static struct KvEntry
entry_from_key (const struct StoreKey *kv, bool deleted)
{
  return (struct KvEntry){ .key = (const char *)kv->key.data,
                           .value = kv->value.data,
                           .value_bytes = kv->value.n_bytes,
                           .mod_revision = kv->mod_revision,
                           .deleted = deleted };
}

/* Returns a copy that stays valid when the store changes. */
static struct KvEntry
entry_copy (TALLOC_CTX *ctx, const struct StoreKey *kv, bool deleted)
{
  struct KvEntry entry = entry_from_key (kv, deleted);
  uint8_t *value = talloc_size (ctx, entry.value_bytes + 1);

  if (entry.value_bytes > 0)
    memcpy (value, entry.value, entry.value_bytes);
  entry.value = value;
  entry.key = talloc_strdup (ctx, entry.key);
  return entry;
}

static const struct StoreKey *
fake_kv_find (const struct FakeKv *kv, const char *key)
{
  struct StoreKey *const *first = NULL;
  struct Bytes key_only = { (const uint8_t *)"", 0 };

  return store_range (kv->store, bytes_from_text (key), key_only, &first) > 0 ? *first : NULL;
}

static bool
fake_kv_condition_holds (const struct StoreKey *present,
                         enum KvCondition condition,
                         int64_t mod_revision)
{
  switch (condition)
    {
    case KV_IF_ABSENT:
      return present == NULL;
    case KV_IF_MOD_REVISION:
      return (present != NULL ? present->mod_revision : 0) == mod_revision;
    case KV_IF_ALWAYS:
      break;
    }
  return true;
}

static void
fake_op_set_entry (struct FakeOp *op, const struct StoreKey *present)
{
  struct KvEntry *entry = NULL;

  if (present == NULL)
    return;
  entry = talloc (op, struct KvEntry);
  *entry = entry_copy (op, present, false);
  op->result.entries = entry;
  op->result.n_entries = 1;
}

static void
fake_op_put (struct FakeOp *op)
{
  struct FakeKv *kv = op->kv;
  const char *key = op->request.put.key;
  const struct StoreKey *present = fake_kv_find (kv, key);
  struct Bytes value = { op->request.put.value, op->request.put.value_bytes };
  bool written = false;

  if (!fake_kv_condition_holds (present, op->request.put.condition, op->request.put.mod_revision))
    {
      op->result.error = ERROR_CONFLICT;
      fake_op_set_entry (op, present);
      return;
    }
  store_begin (kv->store);
  written = store_put (kv->store, bytes_from_text (key), value, op->request.put.lease_id);
  store_end (kv->store);
  op->result.error = written ? ERROR_NONE : ERROR_NOT_FOUND;
}

static void
fake_op_delete (struct FakeOp *op)
{
  struct FakeKv *kv = op->kv;
  const char *key = op->request.delete_key.key;
  const struct StoreKey *present = fake_kv_find (kv, key);

  if (!fake_kv_condition_holds (present, op->request.delete_key.condition,
                                op->request.delete_key.mod_revision))
    {
      op->result.error = ERROR_CONFLICT;
      fake_op_set_entry (op, present);
      return;
    }
  store_begin (kv->store);
  store_delete (kv->store, bytes_from_text (key), (struct Bytes){ (const uint8_t *)"", 0 });
  store_end (kv->store);
}

static void
fake_op_range (struct FakeOp *op)
{
  const char *prefix = op->request.range.prefix;
  const char *start = op->request.range.start != NULL ? op->request.range.start : prefix;
  uint32_t limit = op->request.range.limit;
  struct StoreKey *const *first = NULL;
  size_t n = store_range (op->kv->store, bytes_from_text (start), prefix_end (op, prefix), &first);
  struct KvEntry *entries = NULL;

  op->result.more = limit > 0 && n > limit;
  if (op->result.more)
    n = limit;
  entries = talloc_array (op, struct KvEntry, n);
  for (size_t i = 0; i < n; i++)
    {
      entries[i] = entry_copy (op, first[i], false);
      if (op->request.range.keys_only)
        entries[i].value_bytes = 0;
    }
  op->result.entries = entries;
  op->result.n_entries = n;
}

static void
fake_op_lease (struct FakeOp *op)
{
  struct Store *store = op->kv->store;
  int64_t now_ms = timer_now_ms (op->kv->timers);
  bool found = true;

  if (op->request.op == KV_OP_LEASE_GRANT)
    op->result.lease_id = store_grant (store, op->request.lease_grant.ttl_s, now_ms);
  else if (op->request.op == KV_OP_LEASE_KEEPALIVE)
    found = store_keepalive (store, op->request.lease_keepalive.lease_id, now_ms) > 0;
  else
    found = store_revoke (store, op->request.lease_revoke.lease_id);
  op->result.error = found ? ERROR_NONE : ERROR_NOT_FOUND;
}

/* Returns true when the watch has events, an error or has timed out. */
static bool
fake_op_watch (struct FakeOp *op)
{
  int64_t start = op->request.watch.start_revision;
  struct KvEntry *entries = NULL;
  size_t n = 0;

  if (start > 0 && start <= store_compacted (op->kv->store))
    {
      op->result.error = ERROR_NOT_FOUND;
      return true;
    }
  for (const struct StoreEvent *e = store_events (op->kv->store); e != NULL; e = e->next)
    {
      if (e->kv.mod_revision < start
          || !starts_with ((const char *)e->kv.key.data, op->request.watch.prefix))
        continue;
      entries = talloc_realloc (op, entries, struct KvEntry, n + 1);
      entries[n++] = entry_copy (op, &e->kv, e->deleted);
    }
  op->result.entries = entries;
  op->result.n_entries = n;
  return n > 0 || timer_now_ms (op->kv->timers) >= op->deadline_ms;
}

/* Applies the request. Returns false for a watch that stays pending. */
static bool
fake_op_apply (struct FakeOp *op)
{
  struct FakeKv *kv = op->kv;
  bool completed = true;

  store_expire (kv->store, timer_now_ms (kv->timers));
  op->result = (struct KvResult){ 0 };
  switch (op->request.op)
    {
    case KV_OP_GET:
      fake_op_set_entry (op, fake_kv_find (kv, op->request.get.key));
      op->result.error = op->result.n_entries > 0 ? ERROR_NONE : ERROR_NOT_FOUND;
      break;
    case KV_OP_PUT:
      fake_op_put (op);
      break;
    case KV_OP_DELETE:
      fake_op_delete (op);
      break;
    case KV_OP_RANGE:
      fake_op_range (op);
      break;
    case KV_OP_LEASE_GRANT:
    case KV_OP_LEASE_KEEPALIVE:
    case KV_OP_LEASE_REVOKE:
      fake_op_lease (op);
      break;
    case KV_OP_WATCH:
      completed = fake_op_watch (op);
      break;
    }
  op->result.revision = store_revision (kv->store);
  return completed;
}

static void
fake_op_unlink (struct FakeOp *op)
{
  struct FakeKv *kv = op->kv;
  struct FakeOp **link = &kv->ops;

  while (*link != op)
    link = &(*link)->next;
  *link = op->next;
  if (kv->ops_end == &op->next)
    kv->ops_end = link;
}

/* Calls the callback unless the port is freed, and frees the request. */
static void
fake_op_complete (struct FakeOp *op)
{
  fake_op_unlink (op);
  if (op->port != NULL)
    op->done (op->data, &op->result);
  talloc_free (op);
}

static void
fake_op_fail (struct FakeOp *op, int32_t error)
{
  op->result =
      (struct KvResult){ .error = request_is_read (&op->request) && error == ERROR_UNKNOWN_EFFECT
                                      ? ERROR_UNREACHABLE
                                      : error };
  fake_op_complete (op);
}

static enum FakeKvFault
fake_op_choose_fault (struct FakeOp *op)
{
  struct FakeKv *kv = op->kv;
  const char *key = request_key (&op->request);

  for (struct FakeRule *r = kv->rules; r != NULL; r = r->next)
    {
      if (r->n_left == 0 || !starts_with (key, r->key_prefix)
          || (r->op != FAKE_KV_ANY_OP && r->op != (int32_t)op->request.op))
        continue;
      if (r->hook != NULL)
        {
          enum FakeKvFault fault = r->hook (r->data, &op->request);

          if (fault != FAKE_KV_OK)
            return fault;
          continue;
        }
      if (r->n_left != FAKE_KV_ALWAYS)
        r->n_left--;
      return r->fault;
    }
  if (op->port != NULL && op->port->fault != FAKE_KV_OK)
    return op->port->fault;
  return kv->fault;
}

/* Applies a request that was already reported as ERROR_UNKNOWN_EFFECT. */
static void
fake_op_apply_late (struct FakeOp *op)
{
  fake_op_apply (op);
  op->port = NULL;
  fake_op_complete (op);
}

static void
fake_op_report_lost (struct FakeOp *op)
{
  op->state = FAKE_OP_LATE;
  op->result = (struct KvResult){ .error = ERROR_UNKNOWN_EFFECT };
  if (op->port != NULL)
    op->done (op->data, &op->result);
  op->port = NULL;
}

/* Advances one request. Returns true when it was completed. */
static bool
fake_op_step (struct FakeOp *op)
{
  enum FakeKvFault fault = op->fault_chosen ? op->release_fault : fake_op_choose_fault (op);

  if (op->request.op == KV_OP_WATCH && op->fault_chosen && fault == FAKE_KV_OK)
    fault = op->port != NULL && op->port->fault != FAKE_KV_OK ? op->port->fault : op->kv->fault;
  if (!op->fault_chosen)
    *(request_is_read (&op->request) ? &op->kv->n_reads : &op->kv->n_writes) += 1;
  op->fault_chosen = true;
  switch (fault)
    {
    case FAKE_KV_OK:
      if (!fake_op_apply (op))
        return false;
      fake_op_complete (op);
      return true;
    case FAKE_KV_REFUSE:
      fake_op_fail (op, ERROR_UNREACHABLE);
      return true;
    case FAKE_KV_RATE_LIMIT:
      fake_op_fail (op, ERROR_RATE_LIMITED);
      return true;
    case FAKE_KV_LOSE_REQUEST:
      fake_op_fail (op, ERROR_UNKNOWN_EFFECT);
      return true;
    case FAKE_KV_LOSE_RESPONSE:
      fake_op_apply (op);
      fake_op_fail (op, ERROR_UNKNOWN_EFFECT);
      return true;
    case FAKE_KV_LATE:
      fake_op_report_lost (op);
      return true;
    case FAKE_KV_HOLD_REQUEST:
      op->state = FAKE_OP_HELD_REQUEST;
      return false;
    case FAKE_KV_HOLD_RESPONSE:
      fake_op_apply (op);
      op->state = FAKE_OP_HELD_RESPONSE;
      return false;
    }
  return false;
}

static bool
fake_op_is_ready (const struct FakeOp *op)
{
  return op->state == FAKE_OP_PENDING || op->state == FAKE_OP_LATE_RELEASED;
}

/* Advances the first ready request that makes progress. Returns false when none does. */
static bool
fake_kv_step (struct FakeKv *kv)
{
  for (struct FakeOp *op = kv->ops; op != NULL; op = op->next)
    {
      if (!fake_op_is_ready (op))
        continue;
      if (op->state == FAKE_OP_LATE_RELEASED)
        {
          fake_op_apply_late (op);
          return true;
        }
      /* The callback may have changed the list. */
      if (fake_op_step (op))
        return true;
    }
  return false;
}

size_t
fake_kv_run (struct FakeKv *kv)
{
  size_t n = 0;

  while (fake_kv_step (kv))
    n++;
  return n;
}

static void
fake_kv_on_tick (void *data)
{
  struct FakeKv *kv = data;
  bool any_ready = false;

  kv->tick = NULL;
  fake_kv_run (kv);
  for (struct FakeOp *op = kv->ops; op != NULL; op = op->next)
    any_ready = any_ready || fake_op_is_ready (op);
  if (any_ready && kv->tick == NULL)
    kv->tick = timer_subscribe (kv, kv->timers, FAKE_KV_LATENCY_MS, 0, fake_kv_on_tick, kv);
}

static void
fake_kv_schedule (struct FakeKv *kv)
{
  if (kv->tick == NULL)
    kv->tick = timer_subscribe (kv, kv->timers, FAKE_KV_LATENCY_MS, 0, fake_kv_on_tick, kv);
}

size_t
fake_kv_release (struct FakeKv *kv)
{
  return fake_kv_release_as (kv, FAKE_KV_OK);
}

size_t
fake_kv_release_as (struct FakeKv *kv, enum FakeKvFault fault)
{
  size_t n = 0;

  for (struct FakeOp *op = kv->ops; op != NULL; op = op->next)
    {
      if (op->state == FAKE_OP_PENDING || op->state == FAKE_OP_LATE_RELEASED)
        continue;
      n++;
      if (op->state == FAKE_OP_LATE)
        op->state = FAKE_OP_LATE_RELEASED;
      else if (op->state == FAKE_OP_HELD_REQUEST)
        {
          op->state = FAKE_OP_PENDING;
          op->release_fault = fault;
        }
    }
  for (struct FakeOp *op = kv->ops; op != NULL;)
    {
      struct FakeOp *next = op->next;

      if (op->state == FAKE_OP_HELD_RESPONSE)
        fake_op_complete (op);
      op = next;
    }
  if (n > 0)
    fake_kv_schedule (kv);
  return n;
}

size_t
fake_kv_n_waiting (const struct FakeKv *kv)
{
  size_t n = 0;

  for (const struct FakeOp *op = kv->ops; op != NULL; op = op->next)
    n += op->request.op != KV_OP_WATCH;
  return n;
}

static int32_t
fake_port_submit (struct KvPort *port, const struct KvRequest *request, KvDone done, void *data)
{
  struct FakePort *fake = (struct FakePort *)port;
  struct FakeKv *kv = fake->kv;
  struct FakeOp *op = talloc_zero (kv, struct FakeOp);

  op->kv = kv;
  op->port = fake;
  op->request = request_copy (op, request);
  op->done = done;
  op->data = data;
  if (request->op == KV_OP_WATCH)
    op->deadline_ms = timer_now_ms (kv->timers) + request->watch.wait_ms;
  *kv->ops_end = op;
  kv->ops_end = &op->next;
  fake_kv_schedule (kv);
  return ERROR_NONE;
}

static int
fake_port_free (struct FakePort *port)
{
  for (struct FakeOp *op = port->kv->ops; op != NULL; op = op->next)
    if (op->port == port)
      op->port = NULL;
  return 0;
}

struct FakeKv *
fake_kv_new (TALLOC_CTX *ctx, struct TimerService *timers)
{
  struct FakeKv *kv = talloc_zero (ctx, struct FakeKv);

  kv->timers = timers;
  kv->store = store_new (kv);
  kv->ops_end = &kv->ops;
  return kv;
}

struct KvPort *
fake_kv_port_new (TALLOC_CTX *ctx, struct FakeKv *kv)
{
  struct FakePort *port = talloc_zero (ctx, struct FakePort);

  port->port.submit = fake_port_submit;
  port->kv = kv;
  talloc_set_destructor (port, fake_port_free);
  return &port->port;
}

void
fake_kv_set_fault (struct FakeKv *kv, enum FakeKvFault fault)
{
  kv->fault = fault;
}

void
fake_kv_port_set_fault (struct KvPort *port, enum FakeKvFault fault)
{
  ((struct FakePort *)port)->fault = fault;
}

static struct FakeRule *
fake_kv_add_rule (struct FakeKv *kv, const char *key_prefix)
{
  struct FakeRule *rule = talloc_zero (kv, struct FakeRule);
  struct FakeRule **link = &kv->rules;

  rule->op = FAKE_KV_ANY_OP;
  rule->key_prefix = talloc_strdup (rule, key_prefix != NULL ? key_prefix : "");
  rule->n_left = FAKE_KV_ALWAYS;
  while (*link != NULL)
    link = &(*link)->next;
  *link = rule;
  return rule;
}

void
fake_kv_fault_next (
    struct FakeKv *kv, int32_t op, const char *key_prefix, enum FakeKvFault fault, uint32_t n)
{
  struct FakeRule *rule = fake_kv_add_rule (kv, key_prefix);

  rule->op = op;
  rule->fault = fault;
  rule->n_left = n;
}

void
fake_kv_set_hook (struct FakeKv *kv, const char *key_prefix, FakeKvHook hook, void *data)
{
  struct FakeRule *rule = fake_kv_add_rule (kv, key_prefix);

  rule->hook = hook;
  rule->data = data;
}

bool
fake_kv_get (const struct FakeKv *kv, const char *key, struct KvEntry *entry)
{
  const struct StoreKey *present = fake_kv_find (kv, key);

  if (present != NULL && entry != NULL)
    *entry = entry_from_key (present, false);
  return present != NULL;
}

static size_t
fake_kv_prefix_range (const struct FakeKv *kv, const char *prefix, struct StoreKey *const **first)
{
  struct Bytes end = prefix_end (NULL, prefix);
  size_t n = store_range (kv->store, bytes_from_text (prefix), end, first);

  if (prefix[0] != '\0')
    talloc_free ((void *)end.data);
  return n;
}

const char *
fake_kv_key_at (const struct FakeKv *kv, const char *prefix, size_t n)
{
  struct StoreKey *const *first = NULL;

  return n < fake_kv_prefix_range (kv, prefix, &first) ? (const char *)first[n]->key.data : NULL;
}

size_t
fake_kv_count (const struct FakeKv *kv, const char *prefix)
{
  struct StoreKey *const *first = NULL;

  return fake_kv_prefix_range (kv, prefix, &first);
}

int64_t
fake_kv_set (struct FakeKv *kv, const char *key, const void *value, size_t value_bytes)
{
  store_begin (kv->store);
  store_put (kv->store, bytes_from_text (key), (struct Bytes){ value, value_bytes }, 0);
  store_end (kv->store);
  return store_revision (kv->store);
}

void
fake_kv_remove (struct FakeKv *kv, const char *key)
{
  store_begin (kv->store);
  store_delete (kv->store, bytes_from_text (key), (struct Bytes){ (const uint8_t *)"", 0 });
  store_end (kv->store);
}

void
fake_kv_expire_lease (struct FakeKv *kv, int64_t lease_id)
{
  store_revoke (kv->store, lease_id);
}

uint64_t
fake_kv_n_reads (const struct FakeKv *kv)
{
  return kv->n_reads;
}

uint64_t
fake_kv_n_writes (const struct FakeKv *kv)
{
  return kv->n_writes;
}
