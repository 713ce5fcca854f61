#include "store_internal.h"

#include "node_directory.h"
#include "seeds.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/deflate.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>
#include <buckthornhead/read_schedule.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  TICK_MS = 100,
  /* Delay after a failed call; doubled with each further failure up to the maximum. */
  BACKOFF_FIRST_MS = 300,
  BACKOFF_MAX_MS = 1500,
  /* Wait for the aggregators' response to a process that starts. */
  FIRST_READ_WAIT_MS = 150,
  /* Wait after a seed's response: while a fleet starts its seeds receive one process after the
   * other, so the first requesters receive the processes that rank before them only later. */
  CONTACTS_SETTLE_MS = 150,
  /* Wait for an aggregator's report, without which a process does not have those that rank before
   * it. */
  AGGREGATOR_WAIT_MS = 1500,
  /* Minimum time between two notifications that a list is being read. */
  READING_NOTE_PERIOD_MS = 200,
  /* Time after which an aggregator registers in the store, where processes that cannot reach a seed
   * find it. */
  REGISTER_AFTER_MS = 3000
};

static void
topic_read (struct StoreReader *reader, enum SnapshotKind kind);

/* Calls. */

void
reader_set_reachable (struct StoreReader *reader, bool reachable, int32_t error)
{
  if (reader->reachable == reachable)
    return;
  reader->reachable = reachable;
  if (!reachable)
    reader->lost_ms = timer_now_ms (reader->node->timers);
  gauge_set (GAUGE_PLATFORM_UP, reachable);
  if (reachable)
    log_event (LOG_LEVEL_NOTICE, "store_reached", NULL, NULL, NULL);
  else
    log_event (LOG_LEVEL_WARNING, "store_lost", NULL,
               "no action needed: the cached state is used, and peers may reach the store",
               "cannot reach the platform's store: %s", error_name (error));
}

int64_t
reader_backoff_ms (uint32_t failures)
{
  int64_t pause_ms = BACKOFF_FIRST_MS;

  for (uint32_t i = 0; i < failures && pause_ms < BACKOFF_MAX_MS; i++)
    pause_ms *= 2;
  return pause_ms < BACKOFF_MAX_MS ? pause_ms : BACKOFF_MAX_MS;
}

static void
topic_failed (struct StoreReader *reader, enum SnapshotKind kind, int32_t error)
{
  struct Topic *topic = &reader->topics[kind];

  topic->next_ms = timer_now_ms (reader->node->timers) + reader_backoff_ms (topic->failures++);
  topic->reading = false;
  TALLOC_FREE (topic->read_items);
  topic->n_read_items = 0;
  topic->last_key[0] = '\0';
  reader_set_reachable (reader, false, error);
}

static void
topic_succeeded (struct StoreReader *reader, enum SnapshotKind kind)
{
  struct Topic *topic = &reader->topics[kind];

  topic->failures = 0;
  topic->reading = false;
  histogram_add (HISTOGRAM_STORE_CALL,
                 timer_now_ms (reader->node->timers) - topic->call_started_ms);
  topic->next_ms = 0;
  reader_set_reachable (reader, true, ERROR_NONE);
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

/* Used for the configuration; see deflate.h. */
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

/* Converts a server's entry to the internal format, without the fields that change with each of the
 * server's heartbeats: otherwise a list of a thousand servers would be sent to every peer each time
 * it is read. */
static bool
item_normalize_server (struct StoreReader *reader, TALLOC_CTX *ctx, struct SnapshotItem *item)
{
  struct ReplicaEntry entry;
  struct Fault fault;

  if (reader->node->dialect->read_server (item->key, item->value, item->value_bytes, &entry, &fault)
      != ERROR_NONE)
    {
      /* A malformed entry is read again with each list, but logged once. */
      if (!recent_hashes_add (
              &reader->logged_unreadable,
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

bool
reader_fill_item (struct StoreReader *reader,
                  TALLOC_CTX *ctx,
                  enum SnapshotKind kind,
                  struct SnapshotItem *item,
                  const struct KvEntry *entry)
{
  return item_fill (ctx, item, entry)
         && (kind != SNAPSHOT_SERVERS || item_normalize_server (reader, ctx, item));
}

static void
range_on_done (struct StoreReader *reader, enum SnapshotKind kind, const struct KvResult *result)
{
  struct Topic *topic = &reader->topics[kind];
  struct Snapshot snapshot = { .kind = kind };
  struct SnapshotItem *grown;

  if (result->error != ERROR_NONE)
    {
      topic_failed (reader, kind, result->error);
      return;
    }
  grown = talloc_realloc (reader, topic->read_items, struct SnapshotItem,
                          topic->n_read_items + result->n_entries);
  if (grown == NULL && result->n_entries > 0)
    {
      topic_failed (reader, kind, ERROR_NO_MEMORY);
      return;
    }
  topic->read_items = grown;
  for (size_t i = 0; i < result->n_entries; i++)
    if (reader_fill_item (reader, grown, kind, &grown[topic->n_read_items], &result->entries[i]))
      topic->n_read_items++;
  if (topic->read_revision == 0)
    topic->read_revision = result->revision;
  if (result->more && result->n_entries > 0)
    {
      snprintf (topic->last_key, sizeof topic->last_key, "%s",
                result->entries[result->n_entries - 1].key);
      topic_read (reader, kind);
      return;
    }
  /* Finding the changes between two lists requires sorted keys. */
  snapshot_sort_items (topic->read_items, topic->n_read_items);
  /* The pages are not one consistent read: changes are followed from the revision of the first
   * page, so that those made while the others were read are included. */
  snapshot.revision = topic->read_revision;
  snapshot.items = topic->read_items;
  snapshot.n_items = topic->n_read_items;
  snapshot.content = snapshot_content (topic->read_items, topic->n_read_items);
  topic_succeeded (reader, kind);
  topic_publish (reader, &snapshot);
  TALLOC_FREE (topic->read_items);
  topic->n_read_items = 0;
  topic->last_key[0] = '\0';
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

bool
reader_publish_routes (struct StoreReader *reader, const struct KvEntry *entry, int64_t revision)
{
  struct Snapshot snapshot = { .kind = SNAPSHOT_ROUTES, .revision = revision, .n_items = 1 };
  struct SnapshotItem item;

  if (!item_fill_deflated (reader, &item, entry))
    return false;
  snapshot.content = (uint64_t)entry->mod_revision;
  snapshot.items = &item;
  topic_publish (reader, &snapshot);
  talloc_free ((void *)item.value);
  return true;
}

static void
routes_on_read (void *data, const struct KvResult *result)
{
  struct StoreReader *reader = data;
  struct Topic *topic = &reader->topics[SNAPSHOT_ROUTES];

  if (result->error == ERROR_NOT_FOUND && topic->read_revision > 0)
    {
      /* The operators have not written a configuration yet; it will arrive as a change. */
      topic_succeeded (reader, SNAPSHOT_ROUTES);
      topic->followed_revision = topic->read_revision;
      topic->read_ms = topic->read_started_ms;
    }
  else if (result->error != ERROR_NONE || result->n_entries != 1)
    topic_failed (reader, SNAPSHOT_ROUTES, result->error);
  else
    {
      topic_succeeded (reader, SNAPSHOT_ROUTES);
      if (!reader_publish_routes (reader, &result->entries[0], result->revision))
        topic_failed (reader, SNAPSHOT_ROUTES, ERROR_NO_MEMORY);
    }
}

static void
routes_read (struct StoreReader *reader)
{
  struct KvRequest request = { .op = KV_OP_GET };

  request.get.key = reader->node->dialect->routes_key;
  reader->topics[SNAPSHOT_ROUTES].read_revision = reader->topics[SNAPSHOT_NODES].followed_revision;
  if (kv_submit_guarded (reader, reader->node->store, &request, routes_on_read, reader)
      != ERROR_NONE)
    topic_failed (reader, SNAPSHOT_ROUTES, ERROR_NO_MEMORY);
}

static void
range_read (struct StoreReader *reader, enum SnapshotKind kind, KvDone done)
{
  struct Topic *topic = &reader->topics[kind];
  struct KvRequest request = { .op = KV_OP_RANGE };
  char buffer[96];

  if (topic->call_started_ms - topic->reading_noted_ms >= READING_NOTE_PERIOD_MS)
    {
      topic->reading_noted_ms = topic->call_started_ms;
      topic_note_reading (reader, kind);
    }
  request.range.prefix = reader_prefix (reader, kind, buffer);
  if (topic->last_key[0] != '\0')
    request.range.start = topic->last_key;
  else
    topic->read_revision = 0;
  if (kv_submit_guarded (reader, reader->node->store, &request, done, reader) != ERROR_NONE)
    topic_failed (reader, kind, ERROR_NO_MEMORY);
}

const char *
reader_prefix (const struct StoreReader *reader, enum SnapshotKind kind, char buffer[96])
{
  switch (kind)
    {
    case SNAPSHOT_SERVERS:
      return reader->node->dialect->servers_prefix;
    case SNAPSHOT_RETIRE:
      return reader->node->dialect->retire_prefix;
    case SNAPSHOT_NODES:
      snprintf (buffer, 96, "%s", reader->node->settings->prefix);
      return buffer;
    case SNAPSHOT_ROUTES:
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
    case SNAPSHOT_CONTACTS:
    case SNAPSHOT_SUBSET:
      break; /* one key, or not in the store */
    }
  return NULL;
}

static void
topic_read (struct StoreReader *reader, enum SnapshotKind kind)
{
  reader->topics[kind].call_started_ms = timer_now_ms (reader->node->timers);
  switch (kind)
    {
    case SNAPSHOT_ROUTES:
      routes_read (reader);
      break;
    case SNAPSHOT_SERVERS:
      range_read (reader, kind, servers_on_done);
      break;
    case SNAPSHOT_NODES:
      range_read (reader, kind, nodes_on_done);
      break;
    case SNAPSHOT_RETIRE:
      range_read (reader, kind, retire_on_done);
      break;
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
    case SNAPSHOT_CONTACTS:
    case SNAPSHOT_SUBSET:
      break; /* not in the store */
    }
}

/* This process's own entry in the store, by which processes that start later find it. */

static void
reader_on_registered (void *data, const struct KvResult *result)
{
  struct StoreReader *reader = data;

  reader->registering = false;
  reader->registered = result->error == ERROR_NONE;
  histogram_add (HISTOGRAM_STORE_CALL,
                 timer_now_ms (reader->node->timers) - reader->register_started_ms);
  if (!reader->registered)
    topic_failed (reader, SNAPSHOT_NODES, result->error);
}

static void
reader_register (struct StoreReader *reader)
{
  const struct GatewaySettings *settings = reader->node->settings;
  struct KvRequest request = { .op = KV_OP_PUT };
  char key[NAME_MAX_BYTES + 96], value[NODE_ENTRY_BYTES];

  node_directory_entry (&reader->node->peers->own, value);
  snprintf (key, sizeof key, "%snodes/%s", settings->prefix, settings->instance);
  request.put.key = key;
  request.put.value = (const uint8_t *)value;
  request.put.value_bytes = strlen (value);
  request.put.condition = KV_IF_ALWAYS;
  reader->registering = true;
  reader->register_started_ms = timer_now_ms (reader->node->timers);
  if (kv_submit_guarded (reader, reader->node->store, &request, reader_on_registered, reader)
      != ERROR_NONE)
    reader->registering = false;
}

void
store_reader_mark_contacts_received (struct StoreReader *reader)
{
  if (reader->nodes_known_ms == 0)
    reader->nodes_known_ms = timer_now_ms (reader->node->timers) + CONTACTS_SETTLE_MS;
}

/* Returns whether this process must register in the store. With seeds, the seeds and one aggregator
 * per zone are enough: entries of a thousand processes would cost a call each, and additional pages
 * in each read of the list. */
static bool
reader_must_register (struct StoreReader *reader, int64_t now_ms)
{
  const struct Node *node = reader->node;

  if (reader->registered || reader->registering)
    return false;
  if (node->seeds == NULL || seeds_have_own (node->seeds))
    return true;
  if (!peer_table_is_first_aggregator (node->peers, now_ms))
    reader->aggregator_since_ms = 0;
  else if (reader->aggregator_since_ms == 0)
    reader->aggregator_since_ms = now_ms;
  return reader->aggregator_since_ms > 0
         && now_ms - reader->aggregator_since_ms >= REGISTER_AFTER_MS;
}

/* Returns whether to read kind from the store rather than wait for a peer to send it. A process
 * that starts looks for others first; when a whole fleet starts, one process then reads the store
 * and the rest receive the state from it. */
static bool
reader_should_read (const struct StoreReader *reader,
                    enum SnapshotKind kind,
                    int64_t now_ms,
                    int64_t delay_ms)
{
  const struct Node *node = reader->node;
  const struct Topic *topic = &reader->topics[kind];

  if (topic->must_reread)
    return delay_ms == 0 || reader_is_overdue (reader, kind, now_ms, delay_ms);
  if (topic->read_ms > 0)
    return reader_is_overdue (reader, kind, now_ms, delay_ms);
  if (kind == SNAPSHOT_NODES && reader->nodes_known_ms == 0)
    return !seeds_are_awaited (node->seeds);
  if (node->seeds != NULL && now_ms - node->started_ms < AGGREGATOR_WAIT_MS
      && !peer_table_is_served (node->peers, now_ms)
      && !peer_table_is_aggregator (node->peers, now_ms))
    return false;
  return reader->nodes_known_ms > 0
         && now_ms - reader->nodes_known_ms >= FIRST_READ_WAIT_MS + delay_ms;
}

static void
reader_on_tick (void *data)
{
  struct StoreReader *reader = data;
  int64_t now_ms = timer_now_ms (reader->node->timers);
  int64_t delay_ms = reader_delay_ms (reader);

  if (reader_must_register (reader, now_ms) && now_ms >= reader->topics[SNAPSHOT_NODES].next_ms)
    reader_register (reader);
  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    {
      struct Topic *topic = &reader->topics[kind];

      if (topic->reading || topic->followed_revision > 0 || now_ms < topic->next_ms
          || !reader_should_read (reader, kind, now_ms, delay_ms))
        continue;
      /* Registers before reading the list of processes: two processes that start alone at the same
       * time would otherwise miss each other. */
      if (kind == SNAPSHOT_NODES && reader->nodes_known_ms == 0 && !reader->registered)
        {
          if (!reader->registering)
            reader_register (reader);
          continue;
        }
      topic->reading = true;
      topic->read_started_ms = now_ms;
      topic->current_ms = now_ms;
      topic_read (reader, kind);
    }
  reader_follow (reader, now_ms, delay_ms);
  reader_drop_servers (reader);
}

struct StoreReader *
store_reader_new (struct Node *node)
{
  struct StoreReader *reader = talloc_zero (node->net, struct StoreReader);

  if (reader == NULL)
    return NULL;
  reader->node = node;
  reader->wait_ms = read_watch_ms (node->settings->change_in_force_ms);
  if (timer_subscribe (reader, node->timers, 0, TICK_MS, reader_on_tick, reader) == NULL)
    TALLOC_FREE (reader);
  return reader;
}
