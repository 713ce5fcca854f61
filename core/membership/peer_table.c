#include "peer_table_internal.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static uint64_t
name_rank (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

struct PeerTable *
peer_table_new (TALLOC_CTX *ctx, const char *node, const char *zone)
{
  struct PeerTable *table = talloc_zero (ctx, struct PeerTable);

  if (table == NULL)
    return NULL;
  snprintf (table->own.node, sizeof table->own.node, "%s", node);
  snprintf (table->own.zone, sizeof table->own.zone, "%s", zone);
  table->own_rank = name_rank (node);
  return table;
}

struct Peer *
peer_table_find (const struct PeerTable *table, const char *name)
{
  struct Peer *peer;

  HASH_FIND_STR (table->by_name, name, peer);
  return peer;
}

bool
peer_table_describe (struct PeerTable *table, const struct NodeStatus *own)
{
  uint64_t version = table->own.version;

  if (version > 0 && node_status_is_equal (&table->own, own))
    return false;
  table->own = *own;
  table->own.version = version + 1;
  return true;
}

/* Peers. */

static void
peer_set_status (struct Peer *peer, const struct NodeStatus *status)
{
  /* A return to the previous start comes from a list that is out of date. */
  if (peer->status.start != 0 && status->start != 0 && status->start != peer->status.start
      && status->start != peer->previous_start)
    peer->previous_start = peer->status.start;
  /* by_name points to the name, which is the same in every status of the peer. */
  peer->status = *status;
  TALLOC_FREE (peer->packed);
}

static bool
start_has_id (uint64_t start, uint64_t id)
{
  return start != 0 && id - start < PEER_TABLE_IDS_MAX;
}

bool
peer_process_has_ended (const struct Peer *peer, uint64_t id)
{
  return start_has_id (peer->previous_start, id) && !start_has_id (peer->status.start, id);
}

static struct Peer *
peer_table_add (struct PeerTable *table, const struct NodeStatus *status, int64_t now_ms)
{
  struct Peer **grown = talloc_realloc (table, table->peers, struct Peer *, table->n_peers + 1);
  struct Peer *peer;

  if (grown == NULL)
    return NULL;
  table->peers = grown;
  peer = talloc_zero (grown, struct Peer);
  if (peer == NULL)
    return NULL;
  peer_set_status (peer, status);
  peer->added_ms = now_ms;
  peer->rank = name_rank (status->node);
  table->peers[table->n_peers++] = peer;
  HASH_ADD_KEYPTR (hh, table->by_name, peer->status.node, strlen (peer->status.node), peer);
  return peer;
}

bool
peer_table_is_own (const struct PeerTable *table, const char *name)
{
  return strcmp (name, table->own.node) == 0;
}

struct Peer *
peer_table_add_known (struct PeerTable *table, const struct NodeStatus *status, int64_t now_ms)
{
  if (peer_table_is_own (table, status->node) || peer_table_find (table, status->node) != NULL)
    return NULL;
  return peer_table_add (table, status, now_ms);
}

static void
loads_replace (TALLOC_CTX *ctx,
               struct ReplicaLoad **loads,
               size_t *n_loads,
               const struct Heartbeat *heartbeat)
{
  talloc_free (*loads);
  *loads = talloc_memdup (ctx, heartbeat->loads, heartbeat->n_loads * sizeof *heartbeat->loads);
  *n_loads = *loads != NULL ? heartbeat->n_loads : 0;
}

static struct PeerListSource *
source_find (struct PeerTable *table, const char *node, enum SnapshotKind kind)
{
  for (uint32_t i = 0; i < PEER_TABLE_SOURCES_MAX; i++)
    if (table->sources[i].kind == kind && strcmp (table->sources[i].node, node) == 0)
      return &table->sources[i];
  return NULL;
}

static void
peer_table_store_loads (struct PeerTable *table,
                        struct Peer *peer,
                        const struct Heartbeat *heartbeat)
{
  struct PeerListSource *source;

  switch (heartbeat->scope)
    {
    case LOADS_OF_PROCESS:
      loads_replace (peer, &peer->loads, &peer->n_loads, heartbeat);
      return;
    case LOADS_OF_ZONE:
      source = source_find (table, peer->status.node, SNAPSHOT_ZONE);
      break;
    case LOADS_OF_FLEET:
      source = source_find (table, peer->status.node, SNAPSHOT_FLEET);
      break;
    default:
      return;
    }
  if (source != NULL)
    loads_replace (table, &source->loads, &source->n_loads, heartbeat);
}

void
peer_note_received (struct Peer *peer, int64_t now_ms)
{
  peer->received_ms = now_ms;
  peer->refused_ms = 0;
}

void
peer_record_request (struct Peer *peer, int64_t now_ms)
{
  if (peer->unanswered_since_ms == 0)
    peer->unanswered_since_ms = now_ms;
}

struct Peer *
peer_table_handle_heartbeat (struct PeerTable *table,
                             const struct Heartbeat *heartbeat,
                             int64_t now_ms,
                             bool *changed)
{
  const struct NodeStatus *status = &heartbeat->status;
  struct Peer *peer;

  *changed = false;
  if (peer_table_is_own (table, status->node))
    return NULL;
  peer = peer_table_find (table, status->node);
  if (peer == NULL)
    peer = peer_table_add (table, status, now_ms);
  if (peer == NULL)
    return NULL;
  *changed = now_ms - peer->status_ms >= PEER_TABLE_LIVE_MS || peer->status.start != status->start
             || !node_status_is_equal (&peer->status, status);
  table->n_changes += *changed;
  peer_set_status (peer, status);
  peer_note_received (peer, now_ms);
  peer->status_ms = now_ms;
  if (heartbeat->scope == LOADS_OF_PROCESS)
    peer->reported_ms = now_ms;
  peer->server_level = heartbeat->server_level;
  peer_table_store_loads (table, peer, heartbeat);
  return peer;
}

/* Liveness. */

bool
source_is_live (const struct PeerListSource *source, int64_t now_ms)
{
  return source->node[0] != '\0' && now_ms - source->received_ms < PEER_TABLE_SOURCE_LIVE_MS;
}

bool
peer_is_refused (const struct Peer *peer, int64_t now_ms)
{
  return peer->refused_ms > 0 && now_ms - peer->refused_ms < PEER_TABLE_REFUSED_MS;
}

bool
peer_is_listed (const struct PeerTable *table,
                const struct Peer *peer,
                enum SnapshotKind kind,
                int64_t now_ms)
{
  for (uint64_t listed = peer->listed_by; listed != 0; listed &= listed - 1)
    {
      const struct PeerListSource *source = &table->sources[__builtin_ctzll (listed)];

      if (source->kind == kind && source_is_live (source, now_ms))
        return true;
    }
  return false;
}

bool
peer_table_is_live (const struct PeerTable *table, const struct Peer *peer, int64_t now_ms)
{
  if (peer_is_refused (peer, now_ms))
    return false;
  return (peer->received_ms > 0 && now_ms - peer->received_ms < PEER_TABLE_LIVE_MS)
         || peer_is_listed (table, peer, SNAPSHOT_FLEET, now_ms)
         || peer_is_listed (table, peer, SNAPSHOT_ZONE, now_ms);
}

/* Returns how long an archive's link may be silent before the archive is probed. */
static int64_t
peer_table_probe_after_ms (const struct PeerTable *table,
                           const struct Peer *peer,
                           bool aggregates,
                           int64_t now_ms)
{
  int64_t share_ms = (int64_t)table->n_peers * PEER_TABLE_PROBE_PER_PROCESS_MS;

  if (aggregates || table->own.is_archive || share_ms < PEER_TABLE_PROBE_AFTER_MS
      || !peer_is_listed (table, peer, SNAPSHOT_FLEET, now_ms))
    return PEER_TABLE_PROBE_AFTER_MS;
  return share_ms;
}

bool
peer_table_must_probe (const struct PeerTable *table,
                       const struct Peer *peer,
                       bool is_asked,
                       bool aggregates,
                       int64_t now_ms)
{
  if (now_ms - peer->probed_ms < PEER_TABLE_PROBE_AFTER_MS)
    return false;
  if (peer->unanswered_since_ms > 0)
    return is_asked || peer_table_is_live (table, peer, now_ms);
  return is_asked && peer->status.is_archive
         && now_ms - peer->link_received_ms
                >= peer_table_probe_after_ms (table, peer, aggregates, now_ms);
}

bool
peer_table_receives (const struct PeerTable *table, int64_t within_ms, int64_t now_ms)
{
  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i]->received_ms > 0 && now_ms - table->peers[i]->received_ms < within_ms)
      return true;
  return false;
}

int64_t
peer_seen_ms (const struct PeerTable *table, const struct Peer *peer)
{
  int64_t seen_ms = peer->received_ms > peer->added_ms ? peer->received_ms : peer->added_ms;

  if (peer->listed_ms > seen_ms)
    seen_ms = peer->listed_ms;
  for (uint64_t listed = peer->listed_by; listed != 0; listed &= listed - 1)
    {
      int64_t received_ms = table->sources[__builtin_ctzll (listed)].received_ms;

      if (received_ms > seen_ms)
        seen_ms = received_ms;
    }
  return seen_ms;
}

static void
peer_table_remove (struct PeerTable *table, struct Peer *peer)
{
  size_t n_kept = 0;

  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i] != peer)
      table->peers[n_kept++] = table->peers[i];
  table->n_peers = n_kept;
  talloc_free (peer);
}

void
peer_table_remove_silent (struct PeerTable *table,
                          int64_t now_ms,
                          void (*forgotten) (void *data, const struct Peer *peer),
                          void *data)
{
  struct Peer *peer, *next;

  HASH_ITER (hh, table->by_name, peer, next)
  {
    if (now_ms - peer_seen_ms (table, peer) < PEER_TABLE_REMOVE_MS)
      continue;
    HASH_DEL (table->by_name, peer);
    forgotten (data, peer);
    peer_table_remove (table, peer);
  }
}

/* Lists from aggregators. */

static void
source_clear_bits (struct PeerTable *table, const struct PeerListSource *source, int64_t now_ms)
{
  uint64_t bit = 1ULL << (source - table->sources);

  table->n_changes++;
  for (size_t i = 0; i < table->n_peers; i++)
    if ((table->peers[i]->listed_by & bit) != 0)
      {
        table->peers[i]->listed_by &= ~bit;
        table->peers[i]->listed_ms = now_ms;
      }
}

/* A new source replaces the one that has been silent for longest. */
static struct PeerListSource *
source_find_or_add (struct PeerTable *table,
                    const char *node,
                    enum SnapshotKind kind,
                    int64_t now_ms)
{
  struct PeerListSource *source = source_find (table, node, kind);

  if (source != NULL)
    return source;
  source = &table->sources[0];
  for (uint32_t i = 1; i < PEER_TABLE_SOURCES_MAX; i++)
    if (table->sources[i].received_ms < source->received_ms)
      source = &table->sources[i];
  source_clear_bits (table, source, now_ms);
  TALLOC_FREE (source->loads);
  source->n_loads = 0;
  source->has_list = false;
  source->kind = kind;
  snprintf (source->node, sizeof source->node, "%s", node);
  return source;
}

/* Returns whether the status in a list replaces the current one. Start numbers come from clocks,
 * which can step back, so they have no order: a status with another start replaces the current one
 * unless the process itself has sent a heartbeat recently. */
static bool
status_is_newer (const struct Peer *peer, const struct NodeStatus *status, int64_t now_ms)
{
  if (peer->status.start == status->start)
    return status->version > peer->status.version;
  return peer->status_ms == 0 || now_ms - peer->status_ms >= PEER_TABLE_LIVE_MS;
}

/* Returns false if the item is malformed, or without memory. */
static bool
source_apply_item (struct PeerTable *table,
                   const struct PeerListSource *source,
                   const struct SnapshotItem *item,
                   int64_t now_ms)
{
  uint64_t bit = 1ULL << (source - table->sources);
  struct Peer *peer = peer_table_find (table, item->key);
  struct NodeStatus status;

  if (item->removed)
    {
      if (peer != NULL)
        {
          peer->listed_by &= ~bit;
          peer->listed_ms = now_ms;
        }
      return true;
    }
  if (peer_table_is_own (table, item->key))
    return true;
  if (node_status_decode (item->value, item->value_bytes, &status) != ERROR_NONE
      || strcmp (status.node, item->key) != 0)
    return false;
  if (peer == NULL)
    peer = peer_table_add (table, &status, now_ms);
  else if (status_is_newer (peer, &status, now_ms))
    peer_set_status (peer, &status);
  if (peer == NULL)
    return false;
  /* Another process receives from it again, so this one uses it again as well. */
  if ((peer->listed_by & bit) == 0)
    peer->unanswered_since_ms = 0;
  peer->listed_by |= bit;
  return true;
}

bool
peer_table_apply_list (struct PeerTable *table,
                       const char *aggregator,
                       const struct Snapshot *snapshot,
                       int64_t now_ms)
{
  struct PeerListSource *source = source_find_or_add (table, aggregator, snapshot->kind, now_ms);

  table->n_changes += snapshot->n_items > 0;
  if (snapshot->base != 0 && (!source->has_list || source->content != snapshot->base))
    return source->has_list && source->content == snapshot->content;
  if (snapshot->base == 0)
    source_clear_bits (table, source, now_ms);
  source->has_list = true;
  source->content = snapshot->content;
  source->received_ms = now_ms;
  /* An incomplete list does not match the content that its aggregator refers to. */
  for (size_t i = 0; i < snapshot->n_items; i++)
    if (!source_apply_item (table, source, &snapshot->items[i], now_ms))
      source->has_list = false;
  return source->has_list;
}

bool
peer_table_confirm_list (struct PeerTable *table,
                         const char *aggregator,
                         const struct StateMark *mark,
                         int64_t now_ms)
{
  struct PeerListSource *source = source_find (table, aggregator, mark->kind);

  if (source == NULL || !source->has_list || source->content != mark->content)
    return false;
  source->received_ms = now_ms;
  return true;
}
