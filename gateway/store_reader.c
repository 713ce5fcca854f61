#include "store_reader.h"

#include "known_nodes.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/deflate.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>
#include <buckthornhead/recent_hashes.h>
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
  /* How much later each next process reads by itself what nobody has read: the first few soon, the
   * others one after the other, so that hundreds do not ask a store that is away. */
  RANK_DELAY_MS = 250,
  RANK_NEXT = 6, /* these hear of each reading at once */
  RANK_LATER_MS = 40,
  /* After a failed call; doubled up to the maximum. */
  BACKOFF_FIRST_MS = 300,
  BACKOFF_MAX_MS = 1500,
  /* A state that nobody could read for this long may have changed in ways that only time heals. */
  GAP_MS = 2000,
  /* For the aggregators' answer to a process that starts. */
  BEGIN_MS = 150,
  /* A peer that sends changes is asked for the whole once, not at each of them: 3,000 servers are
   * 300 KB. */
  WANT_AGAIN_MS = 400,
  N_KINDS = SNAPSHOT_RETIRE + 1
};

/* One kind of state in the store. */
struct Topic
{
  int64_t revision;  /* of the store, of what is held; 0: nothing yet */
  uint64_t content;  /* of what is held */
  int64_t gap_ms;    /* when a read came that was the first after a gap; 0: never */
  int64_t read_ms;   /* when what is held was current */
  int64_t next_ms;   /* no call of ours before */
  uint32_t failures; /* in a row */
  int64_t asked_ms;  /* of the call on the way */
  bool asking;
  int64_t wanted_ms;         /* when a peer was asked for all of it, last */
  int64_t called_ms;         /* when the call on the way left */
  bool waiting;              /* it is one that waits for changes */
  int64_t watched;           /* ROUTES: revision of the store up to which changes were looked for */
  struct Snapshot *snapshot; /* what is held */
  struct SnapshotItem *pages; /* of the range that is being read */
  size_t n_pages;
};

struct StoreReader
{
  struct RecentHashes unreadable; /* entries that were told as such */
  struct Node *node;
  struct Topic topics[N_KINDS];
  bool reachable, registered, registering;
  int64_t knows_nodes_ms; /* since when the list of processes is known; 0: not yet */
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

/* Whether peer may read: it lives, or has just become known and is about to start as this one. */
static bool
peer_may_read (const struct Node *node, const struct Peer *peer)
{
  return !peer->status.leaving
         && (node_peer_is_live (node, peer)
             || (peer->refused_ms == 0
                 && timer_now_ms (node->timers) - peer->known_ms < ROSTER_NEW_MS));
}

/* The place of this process among those that may read, in an order that all share: the first reads,
 * the others only when it does not. */
static uint32_t
reader_rank (const struct StoreReader *reader)
{
  const struct Roster *roster = reader->node->roster;
  uint32_t rank = 0;

  for (size_t i = 0; i < roster->n_peers; i++)
    if (roster->peers[i]->rank < roster->own_rank && peer_may_read (reader->node, roster->peers[i]))
      rank++;
  return rank;
}

static int64_t
reader_delay_ms (const struct StoreReader *reader)
{
  uint32_t rank = reader_rank (reader);

  if (rank <= RANK_NEXT)
    return (int64_t)rank * RANK_DELAY_MS;
  return RANK_NEXT * RANK_DELAY_MS + (int64_t)(rank - RANK_NEXT) * RANK_LATER_MS;
}

/* Those who would read next: they see at once that this one does. */
static void
reader_send_next (struct StoreReader *reader, const struct GatewayMessage *message)
{
  const struct Roster *roster = reader->node->roster;
  const struct Peer *next[RANK_NEXT];
  size_t n = 0;

  for (size_t i = 0; i < roster->n_peers; i++)
    {
      const struct Peer *peer = roster->peers[i];
      size_t at = n;

      if (!peer_may_read (reader->node, peer))
        continue;
      while (at > 0 && peer->rank < next[at - 1]->rank)
        at--;
      if (at == RANK_NEXT)
        continue;
      if (n < RANK_NEXT)
        n++;
      for (size_t j = n - 1; j > at; j--)
        next[j] = next[j - 1];
      next[at] = peer;
    }
  for (size_t i = 0; i < n; i++)
    node_send (reader->node, next[i]->status.node, message);
}

/* Snapshots. */

/* Takes a state that is current as of read_ms. An older one than what is held is dropped: state
 * must not go back, whichever way it came. */
static void
topic_take (struct StoreReader *reader, const struct Snapshot *snapshot, int64_t read_ms)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  struct Snapshot *before;

  if (snapshot->revision < topic->revision
      || (snapshot->unchanged && (topic->snapshot == NULL || snapshot->content != topic->content)))
    return;
  if (read_ms > topic->read_ms)
    topic->read_ms = read_ms;
  topic->revision = snapshot->revision;
  /* Two aggregators who pass a list on to each other must not take it for news each time. */
  if (snapshot->unchanged || (topic->snapshot != NULL && snapshot->content == topic->content))
    return;
  before = topic->snapshot;
  topic->content = snapshot->content;
  if (snapshot->after_gap)
    topic->gap_ms = timer_now_ms (reader->node->timers);
  topic->snapshot = snapshot_copy (reader, snapshot);
  if (snapshot->kind == SNAPSHOT_NODES)
    {
      known_nodes_take (reader->node, snapshot);
      if (reader->knows_nodes_ms == 0)
        reader->knows_nodes_ms = timer_now_ms (reader->node->timers);
    }
  else
    reader->node->handler.snapshot (reader->node->handler.data, snapshot, snapshot->after_gap);
  /* Only now: one that came as changes still points to the values of the one before. */
  talloc_free (before);
}

/* What this process has read itself: taken, and told to the aggregators of all zones, who tell
 * their members, and to those who would read next. */
static void
topic_publish (struct StoreReader *reader, struct Snapshot *snapshot)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *changes = NULL;

  /* The gap is that of the store's readers. Whoever only heard of the list late must not take
   * servers that left for ones that may come back: callers were sent to them 4.1 s after they had
   * said that they leave. */
  snapshot->after_gap = topic->read_ms > 0 && topic->asked_ms - topic->read_ms > GAP_MS;
  if (snapshot->kind == SNAPSHOT_SERVERS && topic->snapshot != NULL
      && snapshot->content != topic->content)
    changes = snapshot_changes (reader, topic->snapshot, snapshot);
  if (topic->snapshot != NULL && snapshot->content == topic->content)
    {
      snapshot->unchanged = true;
      snapshot->n_items = 0;
    }
  topic_take (reader, snapshot, topic->asked_ms);
  snapshot->age_ms = (uint32_t)(timer_now_ms (reader->node->timers) - topic->asked_ms);
  if (changes != NULL)
    changes->age_ms = snapshot->age_ms;
  message.snapshot = changes != NULL ? *changes : *snapshot;
  node_send_some (reader->node, &message, PEERS_AGGREGATORS);
  if (!snapshot->unchanged)
    node_send_some (reader->node, &message, PEERS_SERVED);
  reader_send_next (reader, &message);
  talloc_free (changes);
}

/* Changes of another state than the one that is held: the sender is asked for all of it. */
static void
topic_want_whole (struct StoreReader *reader, uint64_t link, enum SnapshotKind kind)
{
  struct Topic *topic = &reader->topics[kind];
  const struct GatewayMessage want = { .kind = GATEWAY_SNAPSHOT_WANT, .snapshot_want = kind };
  int64_t now_ms = timer_now_ms (reader->node->timers);

  if (link == PEER_LINK_NONE || now_ms - topic->wanted_ms < WANT_AGAIN_MS)
    return;
  topic->wanted_ms = now_ms;
  node_answer (reader->node, link, &want);
}

bool
store_reader_take_from_peer (struct StoreReader *reader,
                             uint64_t link,
                             const struct Snapshot *snapshot)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  int64_t read_ms = timer_now_ms (reader->node->timers) - snapshot->age_ms;
  const struct Snapshot *before = topic->snapshot;
  struct Snapshot *whole;

  if (snapshot->base == 0)
    {
      topic_take (reader, snapshot, read_ms);
      return topic->snapshot != before;
    }
  if (snapshot->revision < topic->revision || snapshot->content == topic->content)
    return false;
  whole = topic->snapshot != NULL && topic->content == snapshot->base
              ? snapshot_with_changes (reader, topic->snapshot, snapshot)
              : NULL;
  if (whole != NULL)
    topic_take (reader, whole, read_ms);
  else
    topic_want_whole (reader, link, snapshot->kind);
  talloc_free (whole);
  return topic->snapshot != before;
}

bool
store_reader_knows_nodes (const struct StoreReader *reader)
{
  return reader->knows_nodes_ms > 0;
}

size_t
store_reader_marks (const struct StoreReader *reader, struct StateMark marks[STATE_MARKS_MAX])
{
  int64_t now_ms = timer_now_ms (reader->node->timers);
  size_t n = 0;

  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_RETIRE; kind++)
    {
      const struct Topic *topic = &reader->topics[kind];

      if (topic->snapshot != NULL)
        marks[n++] = (struct StateMark){ .kind = kind,
                                         .revision = topic->revision,
                                         .content = topic->content,
                                         .age_ms = (uint32_t)(now_ms - topic->read_ms) };
    }
  return n;
}

void
store_reader_take_mark (struct StoreReader *reader, uint64_t link, const struct StateMark *mark)
{
  struct Topic *topic = &reader->topics[mark->kind];
  struct Snapshot unchanged = {
    .kind = mark->kind, .revision = mark->revision, .content = mark->content, .unchanged = true
  };

  if (topic->snapshot != NULL && topic->content == mark->content)
    topic_take (reader, &unchanged, timer_now_ms (reader->node->timers) - mark->age_ms);
  else if (topic->snapshot == NULL || mark->revision > topic->revision)
    topic_want_whole (reader, link, mark->kind);
}

/* What is held of kind, as a message; false when nothing is. */
static bool
topic_message (const struct StoreReader *reader,
               enum SnapshotKind kind,
               struct GatewayMessage *message)
{
  const struct Topic *topic = &reader->topics[kind];

  if (topic->snapshot == NULL)
    return false;
  message->kind = GATEWAY_SNAPSHOT;
  message->snapshot = *topic->snapshot;
  message->snapshot.revision = topic->revision;
  message->snapshot.after_gap =
      topic->gap_ms > 0 && timer_now_ms (reader->node->timers) - topic->gap_ms < GAP_MS;
  message->snapshot.age_ms = (uint32_t)(timer_now_ms (reader->node->timers) - topic->read_ms);
  return true;
}

void
store_reader_answer_whole (struct StoreReader *reader, uint64_t link, enum SnapshotKind kind)
{
  struct GatewayMessage message;

  if (topic_message (reader, kind, &message))
    node_answer (reader->node, link, &message);
}

uint8_t *
store_reader_pack (struct StoreReader *reader,
                   TALLOC_CTX *ctx,
                   enum SnapshotKind kind,
                   uint64_t *content,
                   size_t *n_bytes)
{
  struct Topic *topic = &reader->topics[kind];
  struct GatewayMessage message;
  uint8_t *bytes;

  if (topic->content == *content || !topic_message (reader, kind, &message))
    return NULL;
  if (gateway_message_pack (ctx, &message, &bytes, n_bytes) != ERROR_NONE)
    return NULL;
  *content = topic->content;
  return bytes;
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
