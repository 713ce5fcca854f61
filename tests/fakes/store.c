#include "store.h"

#include <string.h>

enum
{
  HISTORY_MAX_EVENTS = 16384,
  HISTORY_MAX_BYTES = 64 * 1024 * 1024
};

struct StoreLease
{
  struct StoreLease *next;
  int64_t id, ttl_s, expires_ms;
};

struct Store
{
  struct StoreKey **keys;
  size_t n_keys;
  int64_t revision;
  bool modified;
  struct StoreLease *leases;
  int64_t next_lease;
  struct StoreEvent *first_event, **events_end;
  size_t n_events, event_bytes;
  int64_t compacted;
};

static int
bytes_compare (struct Bytes a, struct Bytes b)
{
  int order = memcmp (a.data, b.data, a.n_bytes < b.n_bytes ? a.n_bytes : b.n_bytes);

  if (order != 0)
    return order;
  return a.n_bytes < b.n_bytes ? -1 : a.n_bytes > b.n_bytes;
}

static struct Bytes
bytes_copy (TALLOC_CTX *ctx, struct Bytes from)
{
  uint8_t *data = talloc_array (ctx, uint8_t, from.n_bytes + 1);

  if (from.n_bytes > 0)
    memcpy (data, from.data, from.n_bytes);
  data[from.n_bytes] = '\0';
  return (struct Bytes){ data, from.n_bytes };
}

bool
bytes_in_range (struct Bytes bytes, struct Bytes key, struct Bytes range_end)
{
  bool no_end = range_end.n_bytes == 1 && range_end.data[0] == 0;

  if (range_end.n_bytes == 0)
    return bytes_compare (bytes, key) == 0;
  return bytes_compare (bytes, key) >= 0 && (no_end || bytes_compare (bytes, range_end) < 0);
}

struct Store *
store_new (TALLOC_CTX *ctx)
{
  struct Store *store = talloc_zero (ctx, struct Store);

  store->revision = 1;
  store->next_lease = 1000;
  store->events_end = &store->first_event;
  return store;
}

int64_t
store_revision (const struct Store *store)
{
  return store->revision;
}

void
store_begin (struct Store *store)
{
  store->modified = false;
}

void
store_end (struct Store *store)
{
  if (store->modified)
    store->revision++;
}

/* Returns the index of the first key that is not below key. */
static size_t
store_lower_bound (const struct Store *store, struct Bytes key)
{
  size_t low = 0;
  size_t high = store->n_keys;

  while (low < high)
    {
      size_t middle = (low + high) / 2;

      if (bytes_compare (store->keys[middle]->key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
store_trim_history (struct Store *store)
{
  while (store->first_event != NULL
         && (store->n_events > HISTORY_MAX_EVENTS || store->event_bytes > HISTORY_MAX_BYTES))
    {
      struct StoreEvent *event = store->first_event;

      store->first_event = event->next;
      if (store->first_event == NULL)
        store->events_end = &store->first_event;
      store->n_events--;
      store->event_bytes -= event->kv.value.n_bytes;
      store->compacted = event->kv.mod_revision;
      talloc_free (event);
    }
}

static void
store_add_event (struct Store *store, const struct StoreKey *kv, bool deleted)
{
  struct StoreEvent *event = talloc_zero (store, struct StoreEvent);

  event->deleted = deleted;
  if (!deleted)
    {
      event->kv = *kv;
      event->kv.value = bytes_copy (event, kv->value);
    }
  event->kv.key = bytes_copy (event, kv->key);
  event->kv.mod_revision = store->revision + 1;
  *store->events_end = event;
  store->events_end = &event->next;
  store->n_events++;
  store->event_bytes += event->kv.value.n_bytes;
  store_trim_history (store);
}

static struct StoreLease *
store_find_lease (const struct Store *store, int64_t id)
{
  struct StoreLease *lease = store->leases;

  while (lease != NULL && lease->id != id)
    lease = lease->next;
  return lease;
}

static struct StoreKey *
store_insert (struct Store *store, size_t i, struct Bytes key)
{
  struct StoreKey *kv = talloc_zero (store, struct StoreKey);

  kv->key = bytes_copy (kv, key);
  kv->create_revision = store->revision + 1;
  store->keys = talloc_realloc (store, store->keys, struct StoreKey *, store->n_keys + 1);
  for (size_t j = store->n_keys; j > i; j--)
    store->keys[j] = store->keys[j - 1];
  store->keys[i] = kv;
  store->n_keys++;
  return kv;
}

bool
store_put (struct Store *store, struct Bytes key, struct Bytes value, int64_t lease)
{
  size_t i = store_lower_bound (store, key);
  struct StoreKey *kv = NULL;

  if (lease != 0 && store_find_lease (store, lease) == NULL)
    return false;
  if (i < store->n_keys && bytes_compare (store->keys[i]->key, key) == 0)
    kv = store->keys[i];
  else
    kv = store_insert (store, i, key);
  talloc_free ((void *)kv->value.data);
  kv->value = bytes_copy (kv, value);
  kv->mod_revision = store->revision + 1;
  kv->version++;
  kv->lease = lease;
  store->modified = true;
  store_add_event (store, kv, false);
  return true;
}

static void
store_remove (struct Store *store, size_t i)
{
  struct StoreKey *kv = store->keys[i];

  store_add_event (store, kv, true);
  store->n_keys--;
  for (size_t j = i; j < store->n_keys; j++)
    store->keys[j] = store->keys[j + 1];
  talloc_free (kv);
  store->modified = true;
}

size_t
store_delete (struct Store *store, struct Bytes key, struct Bytes range_end)
{
  size_t i = store_lower_bound (store, key);
  size_t n = 0;

  while (i < store->n_keys && bytes_in_range (store->keys[i]->key, key, range_end))
    {
      store_remove (store, i);
      n++;
    }
  return n;
}

size_t
store_range (const struct Store *store,
             struct Bytes key,
             struct Bytes range_end,
             struct StoreKey *const **first)
{
  size_t i = store_lower_bound (store, key);
  size_t n = 0;

  *first = store->keys + i;
  while (i + n < store->n_keys && bytes_in_range (store->keys[i + n]->key, key, range_end))
    n++;
  return n;
}

int64_t
store_grant (struct Store *store, int64_t ttl_s, int64_t now_ms)
{
  struct StoreLease *lease = talloc_zero (store, struct StoreLease);

  lease->id = store->next_lease++;
  lease->ttl_s = ttl_s;
  lease->expires_ms = now_ms + ttl_s * 1000;
  lease->next = store->leases;
  store->leases = lease;
  return lease->id;
}

int64_t
store_keepalive (struct Store *store, int64_t id, int64_t now_ms)
{
  struct StoreLease *lease = store_find_lease (store, id);

  if (lease == NULL)
    return 0;
  lease->expires_ms = now_ms + lease->ttl_s * 1000;
  return lease->ttl_s;
}

bool
store_revoke (struct Store *store, int64_t id)
{
  struct StoreLease **link = &store->leases;
  struct StoreLease *lease = NULL;

  while (*link != NULL && (*link)->id != id)
    link = &(*link)->next;
  if (*link == NULL)
    return false;
  lease = *link;
  *link = lease->next;
  talloc_free (lease);
  store_begin (store);
  for (size_t i = store->n_keys; i-- > 0;)
    if (store->keys[i]->lease == id)
      store_remove (store, i);
  store_end (store);
  return true;
}

size_t
store_expire (struct Store *store, int64_t now_ms)
{
  struct StoreLease *lease = store->leases;
  size_t n = 0;

  while (lease != NULL)
    {
      struct StoreLease *next = lease->next;

      if (lease->expires_ms <= now_ms)
        {
          store_revoke (store, lease->id);
          n++;
        }
      lease = next;
    }
  return n;
}

const struct StoreEvent *
store_events (const struct Store *store)
{
  return store->first_event;
}

int64_t
store_compacted (const struct Store *store)
{
  return store->compacted;
}
