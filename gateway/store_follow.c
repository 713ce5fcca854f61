/* Follows changes in the platform's store with a single watch call on all of its keys. */
#include "store_internal.h"

#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>
#include <buckthornhead/read_schedule.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdlib.h>
#include <string.h>

enum
{
  /* Delay before the next watch call after changes, so that it returns several of them: a release
   * of hundreds of servers would otherwise cost a call per server. */
  BATCH_MS = 300
};

/* Prefix that matches every key of the store. */
#define ALL_KEYS ""

/* Returns the revision up to which all kinds are followed; 0 if some kind has not been read yet. */
static int64_t
reader_followed_revision (const struct StoreReader *reader)
{
  int64_t followed_revision = INT64_MAX;

  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    if (reader->topics[kind].followed_revision < followed_revision)
      followed_revision = reader->topics[kind].followed_revision;
  return followed_revision;
}

bool
reader_is_overdue (const struct StoreReader *reader,
                   enum SnapshotKind kind,
                   int64_t now_ms,
                   int64_t delay_ms)
{
  return now_ms - reader->topics[kind].read_ms >= reader->wait_ms + READ_TAKE_OVER_MS + delay_ms;
}

static bool
reader_must_take_over (const struct StoreReader *reader, int64_t now_ms, int64_t delay_ms)
{
  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    if (reader_is_overdue (reader, kind, now_ms, delay_ms))
      return true;
  return false;
}

/* Reads all kinds from the store again: it no longer has the changes since the followed revision.
 */
static void
reader_reread_all (struct StoreReader *reader)
{
  log_event (LOG_LEVEL_NOTICE, "store_history_gone", NULL, NULL,
             "the store no longer has the changes after revision %lld; reading all lists again",
             (long long)reader_followed_revision (reader));
  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    {
      reader->topics[kind].followed_revision = 0;
      reader->topics[kind].must_reread = true;
    }
}

static void
follow_failed (struct StoreReader *reader, int32_t error)
{
  struct Follow *follow = &reader->follow;

  follow->waiting = false;
  follow->next_ms = timer_now_ms (reader->node->timers) + reader_backoff_ms (follow->failures++);
  reader_set_reachable (reader, false, error);
}

/* One change in the response to a watch call. */
struct StoreEvent
{
  const struct KvEntry *entry;
};

/* Orders by key, then by revision, so that the newest change of a key is last. */
static int
event_compare (const void *a, const void *b)
{
  const struct KvEntry *x = ((const struct StoreEvent *)a)->entry;
  const struct KvEntry *y = ((const struct StoreEvent *)b)->entry;
  int order = strcmp (x->key, y->key);

  if (order != 0)
    return order;
  return x->mod_revision < y->mod_revision ? -1 : x->mod_revision > y->mod_revision;
}

/* Returns the events of kind that are newer than its followed revision, sorted. Belongs to ctx;
 * NULL without memory. */
static struct StoreEvent *
events_select (const struct StoreReader *reader,
               TALLOC_CTX *ctx,
               enum SnapshotKind kind,
               const struct KvResult *result,
               size_t *n)
{
  struct StoreEvent *events = talloc_array (ctx, struct StoreEvent, result->n_entries);
  char buffer[96];
  const char *prefix = reader_prefix (reader, kind, buffer);

  *n = 0;
  if (events == NULL)
    return NULL;
  for (size_t i = 0; i < result->n_entries; i++)
    if (strncmp (result->entries[i].key, prefix, strlen (prefix)) == 0
        && result->entries[i].mod_revision > reader->topics[kind].followed_revision)
      events[(*n)++].entry = &result->entries[i];
  if (*n > 1)
    qsort (events, *n, sizeof events[0], event_compare);
  return events;
}

/* An unreadable entry is unusable, so it counts as deleted. */
static void
changes_add (struct StoreReader *reader, struct Snapshot *changes, const struct KvEntry *entry)
{
  struct SnapshotItem *item = &changes->items[changes->n_items++];

  if (!entry->deleted && reader_fill_item (reader, changes, changes->kind, item, entry))
    return;
  memset (item, 0, sizeof *item);
  snprintf (item->key, sizeof item->key, "%s", entry->key);
  item->removed = true;
}

/* Returns the newest change of each key of kind, sorted by key; NULL without memory. */
static struct Snapshot *
changes_collect (struct StoreReader *reader, enum SnapshotKind kind, const struct KvResult *result)
{
  struct Snapshot *changes = talloc_zero (reader, struct Snapshot);
  struct StoreEvent *events;
  size_t n;

  if (changes == NULL)
    return NULL;
  changes->kind = kind;
  events = events_select (reader, changes, kind, result, &n);
  changes->items = talloc_zero_array (changes, struct SnapshotItem, n);
  if (events == NULL || changes->items == NULL)
    {
      talloc_free (changes);
      return NULL;
    }
  for (size_t i = 0; i < n; i++)
    if (i + 1 == n || strcmp (events[i].entry->key, events[i + 1].entry->key) != 0)
      changes_add (reader, changes, events[i].entry);
  return changes;
}

/* Publishes that kind has not changed up to revision. */
static void
follow_publish_unchanged (struct StoreReader *reader, enum SnapshotKind kind, int64_t revision)
{
  struct Snapshot unchanged = { .kind = kind, .revision = revision, .unchanged = true };

  unchanged.content = reader->topics[kind].content;
  topic_publish (reader, &unchanged);
}

static void
follow_apply_list (struct StoreReader *reader,
                   enum SnapshotKind kind,
                   const struct KvResult *result)
{
  struct Topic *topic = &reader->topics[kind];
  struct Snapshot *changes = changes_collect (reader, kind, result), *whole = NULL;

  if (changes != NULL && changes->n_items > 0)
    whole = snapshot_merge (changes, topic->snapshot, changes);
  if (whole != NULL)
    {
      whole->kind = kind;
      whole->revision = result->revision;
      whole->content = snapshot_content (whole->items, whole->n_items);
      topic_publish (reader, whole);
    }
  else if (changes != NULL && changes->n_items == 0)
    follow_publish_unchanged (reader, kind, result->revision);
  else
    topic->followed_revision = 0;
  talloc_free (changes);
}

static void
follow_apply_routes (struct StoreReader *reader, const struct KvResult *result)
{
  struct Topic *topic = &reader->topics[SNAPSHOT_ROUTES];
  const struct KvEntry *newest = NULL;

  for (size_t i = 0; i < result->n_entries; i++)
    if (strcmp (result->entries[i].key, reader->node->dialect->routes_key) == 0
        && !result->entries[i].deleted
        && (newest == NULL || result->entries[i].mod_revision > newest->mod_revision))
      newest = &result->entries[i];
  if (newest == NULL && topic->snapshot == NULL)
    {
      topic->followed_revision = result->revision;
      topic->read_ms = topic->current_ms;
    }
  else if (newest == NULL || newest->mod_revision <= topic->followed_revision)
    follow_publish_unchanged (reader, SNAPSHOT_ROUTES, result->revision);
  else if (!reader_publish_routes (reader, newest, result->revision))
    topic->followed_revision = 0;
}

static void
follow_on_done (void *data, const struct KvResult *result)
{
  struct StoreReader *reader = data;
  struct Follow *follow = &reader->follow;
  int64_t now_ms = timer_now_ms (reader->node->timers);

  if (result->error == ERROR_NOT_FOUND)
    {
      follow->waiting = false;
      reader_reread_all (reader);
      return;
    }
  if (result->error != ERROR_NONE || result->revision <= 0)
    {
      follow_failed (reader, result->error);
      return;
    }
  follow->waiting = false;
  follow->failures = 0;
  follow->next_ms = result->n_entries > 0 ? now_ms + BATCH_MS : 0;
  reader_set_reachable (reader, true, ERROR_NONE);
  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    {
      reader->topics[kind].read_started_ms = follow->call_started_ms;
      reader->topics[kind].current_ms = now_ms;
    }
  follow_apply_routes (reader, result);
  for (enum SnapshotKind kind = SNAPSHOT_SERVERS; kind <= SNAPSHOT_RETIRE; kind++)
    follow_apply_list (reader, kind, result);
}

void
reader_follow (struct StoreReader *reader, int64_t now_ms, int64_t delay_ms)
{
  struct Follow *follow = &reader->follow;
  int64_t followed_revision = reader_followed_revision (reader);
  struct KvRequest request = { .op = KV_OP_WATCH };

  if (follow->waiting || now_ms < follow->next_ms || followed_revision == 0)
    return;
  if (delay_ms > 0 && !reader_must_take_over (reader, now_ms, delay_ms))
    return;
  request.watch.prefix = ALL_KEYS;
  request.watch.start_revision = followed_revision + 1;
  request.watch.wait_ms = reader->wait_ms;
  follow->waiting = true;
  follow->call_started_ms = now_ms;
  if (kv_submit_guarded (reader, reader->node->store, &request, follow_on_done, reader)
      != ERROR_NONE)
    follow_failed (reader, ERROR_NO_MEMORY);
}
