#include "store_internal.h"

#include "known_nodes.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/deflate.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TICK_MS = 100,
  /* A server that leaves must get nothing new two seconds after its entry says so; a list is read
   * every 600 ms, and reaches peers within milliseconds. */
  SERVERS_PERIOD_MS = 600,
  /* A change of the configuration must be in force two seconds after it: one waiting call a
   * second hears of it at once, and a call that hears nothing ends after this long. */
  ROUTES_WAIT_MS = 1000,
  ROUTES_PERIOD_MS = 1000,
  /* Processes announce themselves to each other; this heals what they missed. */
  NODES_PERIOD_MS = 5000,
  /* After a failed call; doubled up to the maximum. */
  BACKOFF_FIRST_MS = 300,
  BACKOFF_MAX_MS = 1500,
  /* For the aggregators' answer to a process that starts. */
  BEGIN_MS = 150
};

static void
topic_ask (struct StoreReader *reader, enum SnapshotKind kind);

static int64_t
topic_period_ms (enum SnapshotKind kind)
{
  switch (kind)
    {
    case SNAPSHOT_ROUTES:
      return ROUTES_PERIOD_MS;
    case SNAPSHOT_SERVERS:
      return SERVERS_PERIOD_MS;
    case SNAPSHOT_NODES:
    case SNAPSHOT_RETIRE:
      return NODES_PERIOD_MS;
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
      break;
    }
  return NODES_PERIOD_MS;
}

/* Calls. */

static void
reader_note (struct StoreReader *reader, bool reachable, int32_t error)
{
  if (reader->reachable == reachable)
    return;
  reader->reachable = reachable;
  gauge_set (GAUGE_PLATFORM_UP, reachable);
  if (reachable)
    log_event (LOG_LEVEL_NOTICE, "store_reached", NULL, NULL, NULL);
  else
    log_event (LOG_LEVEL_WARNING, "store_lost", NULL,
               "nothing: what is known is used, and peers may reach it", "%s", error_name (error));
}

static void
topic_failed (struct StoreReader *reader, enum SnapshotKind kind, int32_t error)
{
  struct Topic *topic = &reader->topics[kind];
  int64_t pause_ms = BACKOFF_FIRST_MS;

  for (uint32_t i = 0; i < topic->failures && pause_ms < BACKOFF_MAX_MS; i++)
    pause_ms *= 2;
  topic->failures++;
  topic->next_ms =
      timer_now_ms (reader->node->timers) + (pause_ms < BACKOFF_MAX_MS ? pause_ms : BACKOFF_MAX_MS);
  topic->asking = false;
  TALLOC_FREE (topic->pages);
  topic->n_pages = 0;
  reader_note (reader, false, error);
}

static void
topic_succeeded (struct StoreReader *reader, enum SnapshotKind kind)
{
  struct Topic *topic = &reader->topics[kind];

  topic->failures = 0;
  topic->asking = false;
  if (!topic->waiting)
    histogram_add (HISTOGRAM_STORE_CALL, timer_now_ms (reader->node->timers) - topic->called_ms);
  topic->next_ms = 0;
  reader_note (reader, true, ERROR_NONE);
}

static bool
item_fill (TALLOC_CTX *ctx, struct SnapshotItem *item, const struct KvEntry *entry)
{
  memset (item, 0, sizeof *item);
  snprintf (item->key, sizeof item->key, "%s", entry->key);
  item->value = talloc_memdup (ctx, entry->value, entry->value_bytes);
  item->value_bytes = entry->value_bytes;
  return item->value != NULL || entry->value_bytes == 0;
}

/* The configuration: see deflate.h. */
static bool
item_fill_deflated (TALLOC_CTX *ctx, struct SnapshotItem *item, const struct KvEntry *entry)
{
  uint8_t *deflated;

  memset (item, 0, sizeof *item);
  snprintf (item->key, sizeof item->key, "%s", entry->key);
  if (value_deflate (ctx, entry->value, entry->value_bytes, &deflated, &item->value_bytes)
      != ERROR_NONE)
    return false;
  item->value = deflated;
  return true;
}

/* A server's entry in the product's own form, without what changes with each of its heartbeats: a
 * list of a thousand servers would else be sent to every peer each time it is read. */
static bool
item_shorten (struct StoreReader *reader, TALLOC_CTX *ctx, struct SnapshotItem *item)
{
  struct ReplicaEntry entry;
  struct Fault fault;

  if (reader->node->dialect->read_server (item->key, item->value, item->value_bytes, &entry, &fault)
      != ERROR_NONE)
    {
      /* Read again with each list, it is told once. */
      if (!recent_hashes_add (
              &reader->unreadable,
              XXH64 (item->value, item->value_bytes, XXH64 (item->key, strlen (item->key), 0))))
        return false;
      counter_add (COUNTER_ENTRIES_UNREADABLE, 1);
      log_event (LOG_LEVEL_WARNING, "server_entry_malformed", NULL, fault.remedy, "%s",
                 fault.message);
      return false;
    }
  talloc_free ((void *)item->value);
  item->value = replica_entry_pack (ctx, &entry, &item->value_bytes);
  return item->value != NULL;
}

static int
item_compare (const void *a, const void *b)
{
  const struct SnapshotItem *x = a, *y = b;

  return strcmp (x->key, y->key);
}

static void
range_on_done (struct StoreReader *reader, enum SnapshotKind kind, const struct KvResult *result)
{
  struct Topic *topic = &reader->topics[kind];
  struct Snapshot snapshot = { .kind = kind, .revision = result->revision };
  struct SnapshotItem *grown;

  if (result->error != ERROR_NONE)
    {
      topic_failed (reader, kind, result->error);
      return;
    }
  grown = talloc_realloc (reader, topic->pages, struct SnapshotItem,
                          topic->n_pages + result->n_entries);
  if (grown == NULL && result->n_entries > 0)
    {
      topic_failed (reader, kind, ERROR_NO_MEMORY);
      return;
    }
  topic->pages = grown;
  for (size_t i = 0; i < result->n_entries; i++)
    if (item_fill (grown, &grown[topic->n_pages], &result->entries[i])
        && (kind != SNAPSHOT_SERVERS || item_shorten (reader, grown, &grown[topic->n_pages])))
      topic->n_pages++;
  if (result->more)
    {
      topic_ask (reader, kind);
      return;
    }
  /* Changes between two lists are told by the order of their keys. */
  if (topic->n_pages > 0)
    qsort (topic->pages, topic->n_pages, sizeof topic->pages[0], item_compare);
  snapshot.items = topic->pages;
  snapshot.n_items = topic->n_pages;
  snapshot.content = snapshot_content (topic->pages, topic->n_pages);
  topic_succeeded (reader, kind);
  topic_publish (reader, &snapshot);
  TALLOC_FREE (topic->pages);
  topic->n_pages = 0;
}

static void
servers_on_done (void *data, const struct KvResult *result)
{
  range_on_done (data, SNAPSHOT_SERVERS, result);
}

static void
nodes_on_done (void *data, const struct KvResult *result)
{
  range_on_done (data, SNAPSHOT_NODES, result);
}

static void
retire_on_done (void *data, const struct KvResult *result)
{
  range_on_done (data, SNAPSHOT_RETIRE, result);
}

static void
routes_on_read (void *data, const struct KvResult *result)
{
  struct StoreReader *reader = data;
  struct Topic *topic = &reader->topics[SNAPSHOT_ROUTES];
  struct Snapshot snapshot = { .kind = SNAPSHOT_ROUTES };
  struct SnapshotItem item;

  if (result->error == ERROR_NOT_FOUND)
    {
      /* The operators have written none yet. */
      topic_succeeded (reader, SNAPSHOT_ROUTES);
      topic->next_ms = timer_now_ms (reader->node->timers) + BACKOFF_FIRST_MS;
      return;
    }
  if (result->error != ERROR_NONE || result->n_entries != 1
      || !item_fill_deflated (reader, &item, &result->entries[0]))
    {
      topic_failed (reader, SNAPSHOT_ROUTES, result->error);
      return;
    }
  topic->watched = result->revision;
  snapshot.revision = result->entries[0].mod_revision;
  snapshot.content = (uint64_t)snapshot.revision;
  snapshot.items = &item;
  snapshot.n_items = 1;
  topic_succeeded (reader, SNAPSHOT_ROUTES);
  topic_publish (reader, &snapshot);
  talloc_free ((void *)item.value);
}

static void
routes_read (struct StoreReader *reader)
{
  struct KvRequest request = { .op = KV_OP_GET };

  request.get.key = reader->node->dialect->routes_key;
  if (kv_submit_guarded (reader, reader->node->store, &request, routes_on_read, reader)
      != ERROR_NONE)
    topic_failed (reader, SNAPSHOT_ROUTES, ERROR_NO_MEMORY);
}

/* A waiting call ended: quiet, with a change, or with the history gone. */
static void
routes_on_watched (void *data, const struct KvResult *result)
{
  struct StoreReader *reader = data;
  struct Topic *topic = &reader->topics[SNAPSHOT_ROUTES];
  struct Snapshot snapshot = { .kind = SNAPSHOT_ROUTES, .unchanged = true };

  if (result->error != ERROR_NONE && result->error != ERROR_NOT_FOUND)
    {
      topic_failed (reader, SNAPSHOT_ROUTES, result->error);
      return;
    }
  if (result->error == ERROR_NOT_FOUND || result->n_entries > 0)
    {
      topic->asked_ms = timer_now_ms (reader->node->timers);
      reader->topics[SNAPSHOT_RETIRE].read_ms = 0;
      topic->called_ms = topic->asked_ms;
      topic->waiting = false;
      routes_read (reader);
      return;
    }
  /* The call looked at the state until it ended. History is kept for some seconds only, so the
   * next one goes on from here. */
  if (result->revision > topic->watched)
    topic->watched = result->revision;
  topic->asked_ms = timer_now_ms (reader->node->timers);
  snapshot.revision = topic->revision;
  snapshot.content = topic->content;
  topic_succeeded (reader, SNAPSHOT_ROUTES);
  topic_publish (reader, &snapshot);
}

static void
routes_ask (struct StoreReader *reader)
{
  struct Topic *topic = &reader->topics[SNAPSHOT_ROUTES];
  struct KvRequest request = { .op = KV_OP_WATCH };

  if (topic->watched == 0)
    {
      routes_read (reader);
      return;
    }
  request.watch.prefix = reader->node->dialect->operator_prefix;
  request.watch.start_revision = topic->watched + 1;
  request.watch.wait_ms = ROUTES_WAIT_MS;
  topic->waiting = true;
  if (kv_submit_guarded (reader, reader->node->store, &request, routes_on_watched, reader)
      != ERROR_NONE)
    topic_failed (reader, SNAPSHOT_ROUTES, ERROR_NO_MEMORY);
}

static void
range_ask (struct StoreReader *reader, enum SnapshotKind kind, const char *prefix, KvDone done)
{
  struct Topic *topic = &reader->topics[kind];
  struct KvRequest request = { .op = KV_OP_RANGE };

  request.range.prefix = prefix;
  if (topic->n_pages > 0)
    request.range.start = topic->pages[topic->n_pages - 1].key;
  if (kv_submit_guarded (reader, reader->node->store, &request, done, reader) != ERROR_NONE)
    topic_failed (reader, kind, ERROR_NO_MEMORY);
}

static void
topic_ask (struct StoreReader *reader, enum SnapshotKind kind)
{
  struct Topic *topic = &reader->topics[kind];
  char prefix[96];

  topic->called_ms = timer_now_ms (reader->node->timers);
  topic->waiting = false;
  switch (kind)
    {
    case SNAPSHOT_ROUTES:
      routes_ask (reader);
      break;
    case SNAPSHOT_SERVERS:
      range_ask (reader, kind, reader->node->dialect->servers_prefix, servers_on_done);
      break;
    case SNAPSHOT_NODES:
      snprintf (prefix, sizeof prefix, "%s", reader->node->settings->prefix);
      range_ask (reader, kind, prefix, nodes_on_done);
      break;
    case SNAPSHOT_RETIRE:
      range_ask (reader, kind, reader->node->dialect->retire_prefix, retire_on_done);
      break;
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
      break; /* not in the store */
    }
}

/* This process's own entry: whoever starts later finds it there. */

static void
reader_on_registered (void *data, const struct KvResult *result)
{
  struct StoreReader *reader = data;

  reader->registering = false;
  reader->registered = result->error == ERROR_NONE;
  if (!reader->registered)
    topic_failed (reader, SNAPSHOT_NODES, result->error);
}

static void
reader_register (struct StoreReader *reader)
{
  const struct GatewaySettings *settings = reader->node->settings;
  struct KvRequest request = { .op = KV_OP_PUT };
  char key[NAME_MAX_BYTES + 96], value[NODE_ENTRY_BYTES];

  known_nodes_entry (&reader->node->roster->own, value);
  snprintf (key, sizeof key, "%snodes/%s", settings->prefix, settings->instance);
  request.put.key = key;
  request.put.value = (const uint8_t *)value;
  request.put.value_bytes = strlen (value);
  request.put.condition = KV_IF_ALWAYS;
  reader->registering = true;
  if (kv_submit_guarded (reader, reader->node->store, &request, reader_on_registered, reader)
      != ERROR_NONE)
    reader->registering = false;
}

/* Whether to read what nobody has told of yet. A process that starts looks for the others first;
 * where a whole fleet starts, one then reads and the rest hear of it. Each of 195 that read and
 * registered for itself made 1,340 of a day's 1,448 calls. */
static bool
reader_must_begin (const struct StoreReader *reader,
                   enum SnapshotKind kind,
                   int64_t now_ms,
                   int64_t delay_ms)
{
  if (kind == SNAPSHOT_NODES)
    return true;
  return reader->knows_nodes_ms > 0 && now_ms - reader->knows_nodes_ms >= BEGIN_MS + delay_ms;
}

static void
reader_on_tick (void *data)
{
  struct StoreReader *reader = data;
  int64_t now_ms = timer_now_ms (reader->node->timers);
  int64_t delay_ms = reader_delay_ms (reader);

  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    {
      struct Topic *topic = &reader->topics[kind];
      bool due = topic->read_ms > 0 ? now_ms - topic->read_ms >= topic_period_ms (kind) + delay_ms
                                    : reader_must_begin (reader, kind, now_ms, delay_ms);

      /* The first in the order keeps a call waiting for the configuration all the time. */
      if (kind == SNAPSHOT_ROUTES && delay_ms == 0)
        due = true;
      if (topic->asking || !due || now_ms < topic->next_ms)
        continue;
      if (kind == SNAPSHOT_NODES && !reader->registered)
        {
          if (!reader->registering)
            reader_register (reader);
          continue;
        }
      topic->asking = true;
      topic->asked_ms = now_ms;
      topic_ask (reader, kind);
    }
}

struct StoreReader *
store_reader_new (struct Node *node)
{
  struct StoreReader *reader = talloc_zero (node->net, struct StoreReader);

  if (reader == NULL)
    return NULL;
  reader->node = node;
  if (timer_subscribe (reader, node->timers, 0, TICK_MS, reader_on_tick, reader) == NULL)
    TALLOC_FREE (reader);
  return reader;
}
