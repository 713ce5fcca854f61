/* What is held of the store's state, who gets it, and who reads next. */
#include "store_internal.h"

#include "node_directory.h"
#include "zone_servers.h"

#include <buckthornhead/snapshot_changes.h>

#include <string.h>

enum
{
  /* How much later each next process reads by itself what nobody has read: the first few soon, the
   * others one after the other, so that hundreds do not ask a store that is away. */
  RANK_DELAY_MS = 250,
  RANK_NEXT = 6, /* these get each reading at once */
  RANK_LATER_MS = 40,
  RANK_PERIOD_MS = 250, /* half a heartbeat */
  /* A state that nobody could read for this long, beside the time of a call that waits, may have
   * changed in ways that only time heals. Guards against servers that are dropped since
   * their entries lapsed while the store was away, whoever is the first to reach it again. */
  GAP_MS = 1000,
  /* For this long after it whoever gets the state learns of the gap, too. */
  AFTER_GAP_MS = 2000,
  /* A peer that sends changes is asked for the whole once, not at each of them: 3,000 servers are
   * 300 KB. */
  WANT_AGAIN_MS = 800,
  KEEP_SERVERS_MS = 10 * 1000
};

/* Whether peer may read: it lives, or has just become known and is about to start as this one. */
static bool
peer_may_read (const struct Node *node, const struct Peer *peer)
{
  return !peer->status.leaving
         && (node_peer_is_live (node, peer)
             || (peer->refused_ms == 0
                 && timer_now_ms (node->timers) - peer->known_ms < PEER_TABLE_NEW_MS));
}

/* The place of this process among those that may read, in an order that all share: the first reads,
 * the others only when it does not. */
static uint32_t
reader_rank (const struct StoreReader *reader)
{
  const struct PeerTable *table = reader->node->peers;
  uint32_t rank = 0;

  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i]->rank < table->own_rank && peer_may_read (reader->node, table->peers[i]))
      rank++;
  return rank;
}

bool
reader_keeps_servers (const struct StoreReader *reader)
{
  return reader->rank <= RANK_NEXT
         || peer_table_is_aggregator (reader->node->peers, timer_now_ms (reader->node->timers));
}

void
reader_drop_servers (struct StoreReader *reader)
{
  struct Topic *topic = &reader->topics[SNAPSHOT_SERVERS];
  int64_t now_ms = timer_now_ms (reader->node->timers);

  if (topic->snapshot == NULL || topic->asking || reader->follow.waiting
      || reader_keeps_servers (reader))
    reader->kept_servers_ms = now_ms;
  if (now_ms - reader->kept_servers_ms < KEEP_SERVERS_MS)
    return;
  TALLOC_FREE (topic->snapshot);
  TALLOC_FREE (reader->index);
  topic->content = 0;
  topic->followed = 0;
}

static int64_t
rank_delay_ms (uint32_t rank)
{
  if (rank <= RANK_NEXT)
    return (int64_t)rank * RANK_DELAY_MS;
  return RANK_NEXT * RANK_DELAY_MS + (int64_t)(rank - RANK_NEXT) * RANK_LATER_MS;
}

int64_t
reader_delay_ms (struct StoreReader *reader)
{
  int64_t now_ms = timer_now_ms (reader->node->timers);

  if (reader->ranked_ms == 0 || now_ms - reader->ranked_ms >= RANK_PERIOD_MS)
    {
      reader->rank = reader_rank (reader);
      reader->ranked_ms = now_ms;
    }
  return rank_delay_ms (reader->rank);
}

/* Those who would read next: they see at once that this one does. */
static void
reader_send_next (struct StoreReader *reader, const struct GatewayMessage *message)
{
  const struct PeerTable *table = reader->node->peers;
  const struct Peer *next[RANK_NEXT];
  size_t n = 0;

  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];
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

bool
topic_is_after_gap (const struct StoreReader *reader, enum SnapshotKind kind)
{
  int64_t gap_ms = reader->topics[kind].gap_ms;

  return gap_ms > 0 && timer_now_ms (reader->node->timers) - gap_ms < AFTER_GAP_MS;
}

/* What follows from a new state. */
static void
topic_handle (struct StoreReader *reader, const struct Snapshot *snapshot)
{
  switch (snapshot->kind)
    {
    case SNAPSHOT_NODES:
      node_directory_take (reader->node, snapshot);
      if (reader->knows_nodes_ms == 0)
        reader->knows_nodes_ms = timer_now_ms (reader->node->timers);
      break;
    case SNAPSHOT_SERVERS:
      break;
    case SNAPSHOT_ROUTES:
    case SNAPSHOT_RETIRE:
    case SNAPSHOT_SUBSET:
      reader->node->handler.snapshot (reader->node->handler.data, snapshot, snapshot->after_gap);
      break;
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
    case SNAPSHOT_CONTACTS:
      break; /* lists of processes */
    }
}

/* The index goes with the list of all servers. */
static void
topic_index (struct StoreReader *reader, const struct Snapshot *before)
{
  const struct Snapshot *servers = reader->topics[SNAPSHOT_SERVERS].snapshot;

  if (reader->index == NULL)
    reader->index = server_index_new (reader);
  if (reader->index == NULL || servers == NULL
      || server_index_update (reader->index, before, servers) != ERROR_NONE)
    TALLOC_FREE (reader->index);
}

void
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
  topic->followed = snapshot->revision;
  topic->anew = false;
  /* Two aggregators who pass a list on to each other must not take it for news each time. */
  if (snapshot->unchanged || (topic->snapshot != NULL && snapshot->content == topic->content))
    {
      if (snapshot->kind == SNAPSHOT_SERVERS)
        zone_servers_refresh (reader);
      return;
    }
  before = topic->snapshot;
  topic->content = snapshot->content;
  if (snapshot->after_gap)
    topic->gap_ms = timer_now_ms (reader->node->timers);
  topic->snapshot = snapshot_copy (reader, snapshot);
  topic_handle (reader, snapshot);
  if (snapshot->kind == SNAPSHOT_SERVERS)
    {
      topic_index (reader, before);
      zone_servers_refresh (reader);
    }
  /* Only now: one that came as changes still points to the values of the one before. */
  talloc_free (before);
}

void
topic_publish (struct StoreReader *reader, struct Snapshot *snapshot)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *changes = NULL;

  /* The gap is that of the store's readers. Whoever only got the list late must not take
   * servers that left for ones that may come back: callers were sent to them 4.1 s after they had
   * said that they leave. */
  snapshot->after_gap =
      topic->read_ms > 0 && topic->asked_ms - topic->read_ms > reader->wait_ms + GAP_MS;
  if (snapshot->kind == SNAPSHOT_SERVERS && topic->snapshot != NULL
      && snapshot->content != topic->content)
    changes = snapshot_changes (reader, topic->snapshot, snapshot);
  if (topic->snapshot != NULL && snapshot->content == topic->content)
    {
      snapshot->unchanged = true;
      snapshot->n_items = 0;
    }
  topic_take (reader, snapshot, topic->current_ms);
  snapshot->age_ms = (uint32_t)(timer_now_ms (reader->node->timers) - topic->current_ms);
  if (changes != NULL)
    changes->age_ms = snapshot->age_ms;
  message.snapshot = changes != NULL ? *changes : *snapshot;
  /* Packed once for all receivers. Without memory each sending packs anew. */
  if (changes != NULL && snapshot_pack_items (changes) == ERROR_NONE)
    message.snapshot = *changes;
  else if (changes == NULL && !snapshot->unchanged && topic->snapshot != NULL
           && snapshot_pack_items (topic->snapshot) == ERROR_NONE)
    {
      message.snapshot.packed_items = topic->snapshot->packed_items;
      message.snapshot.packed_items_bytes = topic->snapshot->packed_items_bytes;
    }
  node_send_some (reader->node, &message, PEERS_AGGREGATORS);
  if (!snapshot->unchanged && snapshot->kind != SNAPSHOT_SERVERS)
    node_send_some (reader->node, &message, PEERS_SERVED);
  reader_send_next (reader, &message);
  talloc_free (changes);
}

void
topic_note_reading (struct StoreReader *reader, enum SnapshotKind kind)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };

  message.snapshot.kind = kind;
  message.snapshot.unchanged = true;
  message.snapshot.content = reader->topics[kind].content;
  reader_send_next (reader, &message);
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

  /* It is being read. */
  if (snapshot->unchanged && topic->snapshot == NULL && snapshot->revision == 0)
    {
      if (read_ms > topic->read_ms)
        topic->read_ms = read_ms;
      return false;
    }
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

  for (enum SnapshotKind kind = SNAPSHOT_ROUTES; kind <= SNAPSHOT_SUBSET; kind++)
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

  /* Others follow the list of all servers: that it is current is all that matters here. */
  if (mark->kind == SNAPSHOT_SERVERS && !reader_keeps_servers (reader))
    {
      int64_t read_ms = timer_now_ms (reader->node->timers) - mark->age_ms;

      if (read_ms > topic->read_ms)
        topic->read_ms = read_ms;
      return;
    }
  if (topic->snapshot != NULL && topic->content == mark->content)
    topic_take (reader, &unchanged, timer_now_ms (reader->node->timers) - mark->age_ms);
  else if (topic->snapshot == NULL || mark->revision > topic->revision
           || (mark->kind == SNAPSHOT_SUBSET && mark->revision == topic->revision))
    topic_want_whole (reader, link, mark->kind);
}

/* What is held of kind, as a message; false when nothing is. */
static bool
topic_message (const struct StoreReader *reader,
               enum SnapshotKind kind,
               struct GatewayMessage *message)
{
  const struct Topic *topic = &reader->topics[kind];

  if (topic->snapshot == NULL || snapshot_pack_items (topic->snapshot) != ERROR_NONE)
    return false;
  message->kind = GATEWAY_SNAPSHOT;
  message->snapshot = *topic->snapshot;
  message->snapshot.revision = topic->revision;
  message->snapshot.after_gap = topic_is_after_gap (reader, kind);
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
