/* This process's copy of the store's state, the peers to which it is forwarded, and the order in
 * which processes read the store. */
#include "store_internal.h"

#include "node_directory.h"
#include "zone_servers.h"

#include <buckthornhead/log.h>
#include <buckthornhead/read_schedule.h>
#include <buckthornhead/snapshot_changes.h>

#include <string.h>

enum
{
  RANK_PERIOD_MS = 250, /* half a heartbeat */
  /* If no process could read the store for this long, in addition to the duration of a watch call,
   * the next read follows a gap: server entries may have expired only because the store was
   * unavailable, and those servers must not be dropped at once, whichever process reads it first.
   */
  GAP_MS = 1000,
  /* Time after that read in which the state is still sent with the mark of a gap. */
  AFTER_GAP_MS = 2000,
  /* Minimum time between two requests for a whole snapshot. Otherwise each change from a peer
   * could trigger one: 3,000 servers are 300 KB. */
  WHOLE_REQUEST_PERIOD_MS = 800,
  SERVERS_RETENTION_MS = 10 * 1000
};

/* Returns whether peer may read the store: it is live, or was added recently and is probably
 * starting, like this process. */
static bool
peer_may_read (const struct Node *node, const struct Peer *peer)
{
  return !peer->status.leaving
         && (node_peer_is_live (node, peer)
             || (peer->refused_ms == 0
                 && timer_now_ms (node->timers) - peer->added_ms < PEER_TABLE_NEW_MS));
}

/* Returns the position of this process among those that may read, in an order common to all of
 * them: the first one reads, the others only if it does not. */
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
reader_holds_servers (const struct StoreReader *reader)
{
  return reader->rank <= READ_SUCCESSORS
         || peer_table_is_aggregator (reader->node->peers, timer_now_ms (reader->node->timers));
}

void
reader_drop_servers (struct StoreReader *reader)
{
  struct Topic *topic = &reader->topics[SNAPSHOT_SERVERS];
  int64_t now_ms = timer_now_ms (reader->node->timers);

  if (topic->snapshot == NULL || topic->reading || reader->follow.waiting
      || reader_holds_servers (reader))
    reader->servers_needed_ms = now_ms;
  if (now_ms - reader->servers_needed_ms < SERVERS_RETENTION_MS)
    return;
  TALLOC_FREE (topic->snapshot);
  TALLOC_FREE (reader->index);
  topic->content = 0;
  topic->followed_revision = 0;
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
  return read_rank_delay_ms (reader->rank, reader->node->settings->change_in_force_ms);
}

/* Sends message to the processes that would read next, so that they wait for this one. */
static void
reader_send_successors (struct StoreReader *reader, const struct GatewayMessage *message)
{
  const struct PeerTable *table = reader->node->peers;
  const struct Peer *next[READ_SUCCESSORS];
  size_t n = 0;

  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];
      size_t at = n;

      if (!peer_may_read (reader->node, peer))
        continue;
      while (at > 0 && peer->rank < next[at - 1]->rank)
        at--;
      if (at == READ_SUCCESSORS)
        continue;
      if (n < READ_SUCCESSORS)
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
  int64_t gap_read_ms = reader->topics[kind].gap_read_ms;

  return gap_read_ms > 0 && timer_now_ms (reader->node->timers) - gap_read_ms < AFTER_GAP_MS;
}

/* Returns whether at now_ms the state has not been confirmed for so long that no process may have
 * reached the store. */
static bool
topic_has_gap (const struct StoreReader *reader, const struct Topic *topic, int64_t now_ms)
{
  return topic->read_ms > 0 && now_ms - topic->read_ms > reader->wait_ms + GAP_MS;
}

/* Passes a new state on to the part of this process that uses it. */
static void
topic_apply (struct StoreReader *reader, const struct Snapshot *snapshot, bool after_gap)
{
  switch (snapshot->kind)
    {
    case SNAPSHOT_NODES:
      node_directory_take (reader->node, snapshot);
      if (reader->nodes_known_ms == 0)
        reader->nodes_known_ms = timer_now_ms (reader->node->timers);
      break;
    case SNAPSHOT_SERVERS:
      break;
    case SNAPSHOT_ROUTES:
    case SNAPSHOT_RETIRE:
    case SNAPSHOT_SUBSET:
      reader->node->handler.snapshot (reader->node->handler.data, snapshot, after_gap);
      break;
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
    case SNAPSHOT_CONTACTS:
      break; /* lists of processes */
    }
}

/* Updates the index to the held list of all servers. */
static void
topic_update_index (struct StoreReader *reader, const struct Snapshot *previous)
{
  const struct Snapshot *servers = reader->topics[SNAPSHOT_SERVERS].snapshot;

  if (reader->index == NULL)
    reader->index = server_index_new (reader);
  if (reader->index == NULL || servers == NULL
      || server_index_update (reader->index, previous, servers) != ERROR_NONE)
    TALLOC_FREE (reader->index);
}

void
topic_apply_snapshot (struct StoreReader *reader, const struct Snapshot *snapshot, int64_t read_ms)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  int64_t now_ms = timer_now_ms (reader->node->timers);
  struct Snapshot *previous;
  bool after_gap;

  if (snapshot->revision < topic->revision
      || (snapshot->unchanged && (topic->snapshot == NULL || snapshot->content != topic->content)))
    return;
  /* The sender may have been cut off while this process received lists from others, and it marks
   * all lists for a while. */
  after_gap = snapshot->after_gap && topic_has_gap (reader, topic, now_ms);
  if (read_ms > topic->read_ms)
    topic->read_ms = read_ms;
  topic->revision = snapshot->revision;
  topic->followed_revision = snapshot->revision;
  topic->must_reread = false;
  /* Two aggregators that forward a list to each other must not treat it as new each time. */
  if (snapshot->unchanged || (topic->snapshot != NULL && snapshot->content == topic->content))
    {
      if (snapshot->kind == SNAPSHOT_SERVERS)
        zone_servers_refresh (reader);
      return;
    }
  previous = topic->snapshot;
  topic->content = snapshot->content;
  if (after_gap)
    topic->gap_read_ms = now_ms;
  topic->snapshot = snapshot_copy (reader, snapshot);
  topic_apply (reader, snapshot, after_gap);
  if (snapshot->kind == SNAPSHOT_SERVERS)
    {
      topic_update_index (reader, previous);
      zone_servers_refresh (reader);
    }
  /* Freed last: a snapshot that was built from changes points to values of the previous one. */
  talloc_free (previous);
}

void
topic_publish (struct StoreReader *reader, struct Snapshot *snapshot)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *changes = NULL;

  /* The gap is between reads of the store by any process. A process that merely received the list
   * late must not treat servers that have left as ones that may return: callers were sent to such
   * servers 4.1 s after these had announced that they were leaving. */
  snapshot->after_gap = topic_has_gap (reader, topic, topic->read_started_ms);
  if (snapshot->after_gap && snapshot->kind == SNAPSHOT_SERVERS)
    log_event (LOG_LEVEL_NOTICE, "read_after_gap", NULL, NULL,
               "servers at revision %lld: no process read them for %lld ms, this one could not "
               "reach the store for %lld ms",
               (long long)snapshot->revision, (long long)(topic->read_started_ms - topic->read_ms),
               (long long)(reader->lost_ms > topic->read_ms
                               ? topic->read_started_ms - reader->lost_ms
                               : 0));
  if (snapshot->kind == SNAPSHOT_SERVERS && topic->snapshot != NULL
      && snapshot->content != topic->content)
    changes = snapshot_changes (reader, topic->snapshot, snapshot);
  if (topic->snapshot != NULL && snapshot->content == topic->content)
    {
      snapshot->unchanged = true;
      snapshot->n_items = 0;
    }
  topic_apply_snapshot (reader, snapshot, topic->current_ms);
  snapshot->age_ms = (uint32_t)(timer_now_ms (reader->node->timers) - topic->current_ms);
  if (changes != NULL)
    changes->age_ms = snapshot->age_ms;
  message.snapshot = changes != NULL ? *changes : *snapshot;
  /* Packed once for all receivers; without memory, for each of them. */
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
  reader_send_successors (reader, &message);
  talloc_free (changes);
}

void
topic_note_reading (struct StoreReader *reader, enum SnapshotKind kind)
{
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };

  message.snapshot.kind = kind;
  message.snapshot.unchanged = true;
  message.snapshot.content = reader->topics[kind].content;
  reader_send_successors (reader, &message);
}

/* Requests the whole snapshot from the sender, whose changes do not apply to the held one or whose
 * copy is newer. */
static void
topic_request_whole (struct StoreReader *reader, uint64_t link, enum SnapshotKind kind)
{
  struct Topic *topic = &reader->topics[kind];
  const struct GatewayMessage want = { .kind = GATEWAY_SNAPSHOT_WANT, .snapshot_want = kind };
  int64_t now_ms = timer_now_ms (reader->node->timers);

  if (link == PEER_LINK_NONE || now_ms - topic->whole_requested_ms < WHOLE_REQUEST_PERIOD_MS)
    return;
  topic->whole_requested_ms = now_ms;
  node_answer (reader->node, link, &want);
}

bool
store_reader_receive_snapshot (struct StoreReader *reader,
                               uint64_t link,
                               const struct Snapshot *snapshot)
{
  struct Topic *topic = &reader->topics[snapshot->kind];
  int64_t read_ms = timer_now_ms (reader->node->timers) - snapshot->age_ms;
  const struct Snapshot *previous = topic->snapshot;
  struct Snapshot *whole;

  /* The sender is reading the list: this process need not. */
  if (snapshot->unchanged && topic->snapshot == NULL && snapshot->revision == 0)
    {
      if (read_ms > topic->read_ms)
        topic->read_ms = read_ms;
      return false;
    }
  if (snapshot->base == 0)
    {
      topic_apply_snapshot (reader, snapshot, read_ms);
      return topic->snapshot != previous;
    }
  if (snapshot->revision < topic->revision || snapshot->content == topic->content)
    return false;
  whole = topic->snapshot != NULL && topic->content == snapshot->base
              ? snapshot_apply_changes (reader, topic->snapshot, snapshot)
              : NULL;
  if (whole != NULL)
    topic_apply_snapshot (reader, whole, read_ms);
  else
    topic_request_whole (reader, link, snapshot->kind);
  talloc_free (whole);
  return topic->snapshot != previous;
}

bool
store_reader_has_nodes (const struct StoreReader *reader)
{
  return reader->nodes_known_ms > 0;
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
store_reader_receive_mark (struct StoreReader *reader, uint64_t link, const struct StateMark *mark)
{
  struct Topic *topic = &reader->topics[mark->kind];
  struct Snapshot unchanged = {
    .kind = mark->kind, .revision = mark->revision, .content = mark->content, .unchanged = true
  };

  /* This process does not hold the list of all servers: it records only that others have a current
   * one. */
  if (mark->kind == SNAPSHOT_SERVERS && !reader_holds_servers (reader))
    {
      int64_t read_ms = timer_now_ms (reader->node->timers) - mark->age_ms;

      if (read_ms > topic->read_ms)
        topic->read_ms = read_ms;
      return;
    }
  if (topic->snapshot != NULL && topic->content == mark->content)
    topic_apply_snapshot (reader, &unchanged, timer_now_ms (reader->node->timers) - mark->age_ms);
  else if (topic->snapshot == NULL || mark->revision > topic->revision
           || (mark->kind == SNAPSHOT_SUBSET && mark->revision == topic->revision))
    topic_request_whole (reader, link, mark->kind);
}

/* Fills in message with the held snapshot of kind; false if none is held or without memory. */
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
store_reader_send_whole (struct StoreReader *reader, uint64_t link, enum SnapshotKind kind)
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
