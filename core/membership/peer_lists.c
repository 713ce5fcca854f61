/* Lists and loads that an aggregator sends. */
#include "peer_table_internal.h"

#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
list_add (struct Snapshot *list, const char *name, uint8_t *packed, size_t packed_bytes)
{
  struct SnapshotItem *item = &list->items[list->n_items];

  snprintf (item->key, sizeof item->key, "%s", name);
  item->value = packed;
  item->value_bytes = packed_bytes;
  list->n_items++;
}

static void
list_add_peer (struct Snapshot *list, struct Peer *peer)
{
  if (peer->packed == NULL
      && node_status_encode (peer, &peer->status, &peer->packed, &peer->packed_bytes) != ERROR_NONE)
    return;
  list_add (list, peer->status.node, peer->packed, peer->packed_bytes);
}

static void
list_add_own (struct Snapshot *list, const struct PeerTable *table)
{
  uint8_t *packed;
  size_t n_bytes;

  if (node_status_encode (list, &table->own, &packed, &n_bytes) == ERROR_NONE)
    list_add (list, table->own.node, packed, n_bytes);
}

/* Returns whether the peer is a member of the own zone that sends heartbeats to this process. */
static bool
peer_is_member (const struct PeerTable *table, const struct Peer *peer, int64_t now_ms)
{
  return strcmp (peer->status.zone, table->own.zone) == 0 && peer->status_ms > 0
         && now_ms - peer->status_ms < PEER_TABLE_LIVE_MS && !peer_is_refused (peer, now_ms);
}

/* Returns whether the peer is a member of another zone that a live aggregator lists. */
static bool
peer_is_other_zone_member (const struct PeerTable *table, const struct Peer *peer, int64_t now_ms)
{
  return strcmp (peer->status.zone, table->own.zone) != 0
         && peer_is_listed (table, peer, SNAPSHOT_ZONE, now_ms);
}

/* Builds the current list of kind; its values are owned by the peers. */
static struct Snapshot *
list_build (const struct PeerTable *table, TALLOC_CTX *ctx, enum SnapshotKind kind, int64_t now_ms)
{
  struct Snapshot *list = talloc_zero (ctx, struct Snapshot);

  if (list == NULL)
    return NULL;
  list->kind = kind;
  list->items = talloc_zero_array (list, struct SnapshotItem, table->n_peers + 1);
  if (list->items == NULL)
    {
      talloc_free (list);
      return NULL;
    }
  list_add_own (list, table);
  for (size_t i = 0; i < table->n_peers; i++)
    if (peer_is_member (table, table->peers[i], now_ms)
        || (kind == SNAPSHOT_FLEET && peer_is_other_zone_member (table, table->peers[i], now_ms)))
      list_add_peer (list, table->peers[i]);
  snapshot_sort_items (list->items, list->n_items);
  list->content = snapshot_content (list->items, list->n_items);
  return list;
}

struct Snapshot *
peer_table_publish (struct PeerTable *table,
                    TALLOC_CTX *ctx,
                    enum SnapshotKind kind,
                    int64_t now_ms)
{
  struct Snapshot *before = table->published[kind];
  struct Snapshot *list = list_build (table, ctx, kind, now_ms), *changes, *copy;

  if (list == NULL || (before != NULL && before->content == list->content))
    {
      talloc_free (list);
      return NULL;
    }
  list->revision = ++table->next_revision;
  changes = before != NULL ? snapshot_changes (ctx, before, list) : NULL;
  copy = snapshot_copy (table, list);
  if (copy == NULL)
    {
      talloc_free (changes);
      talloc_free (list);
      return NULL;
    }
  table->published[kind] = copy;
  /* The result may still point to values of the previous list. */
  talloc_steal (changes != NULL ? changes : list, before);
  if (changes == NULL)
    return list;
  talloc_steal (changes, list);
  return changes;
}

struct Snapshot *
peer_table_published (const struct PeerTable *table, enum SnapshotKind kind)
{
  return table->published[kind];
}

/* Loads. */

struct LoadSum
{
  struct ReplicaLoad *items;
  size_t n, size;
};

static void
sum_add (struct LoadSum *sum, const struct ReplicaLoad *loads, size_t n_loads)
{
  for (size_t i = 0; i < n_loads; i++)
    {
      size_t at = 0;

      while (at < sum->n && strcmp (sum->items[at].server, loads[i].server) != 0)
        at++;
      if (at < sum->n)
        sum->items[at].in_flight += loads[i].in_flight;
      else if (sum->n < sum->size)
        sum->items[sum->n++] = loads[i];
    }
}

/* The aggregators of a zone send nearly the same loads. Only the last one received is counted. */
static const struct PeerListSource *
zone_source (const struct PeerTable *table, const char *zone, int64_t now_ms)
{
  const struct PeerListSource *best = NULL;

  for (uint32_t i = 0; i < PEER_TABLE_SOURCES_MAX; i++)
    {
      const struct PeerListSource *source = &table->sources[i];
      const struct Peer *peer =
          source->kind == SNAPSHOT_ZONE ? peer_table_find (table, source->node) : NULL;

      if (peer != NULL && strcmp (peer->status.zone, zone) == 0
          && now_ms - source->received_ms < PEER_TABLE_LIVE_MS
          && (best == NULL || source->received_ms > best->received_ms))
        best = source;
    }
  return best;
}

static const struct PeerListSource *
fleet_source (const struct PeerTable *table, int64_t now_ms)
{
  const struct PeerListSource *best = NULL;

  for (uint32_t i = 0; i < PEER_TABLE_SOURCES_MAX; i++)
    {
      const struct PeerListSource *source = &table->sources[i];

      if (source->kind == SNAPSHOT_FLEET && source->node[0] != '\0'
          && now_ms - source->received_ms < PEER_TABLE_LIVE_MS
          && (best == NULL || source->received_ms > best->received_ms))
        best = source;
    }
  return best;
}

static size_t
loads_bound (const struct PeerTable *table, const struct Heartbeat *own)
{
  size_t n = own->n_loads;

  for (size_t i = 0; i < table->n_peers; i++)
    n += table->peers[i]->n_loads;
  for (uint32_t i = 0; i < PEER_TABLE_SOURCES_MAX; i++)
    n += table->sources[i].n_loads;
  return n;
}

struct ReplicaLoad *
peer_table_loads (const struct PeerTable *table,
                  TALLOC_CTX *ctx,
                  const struct Heartbeat *own,
                  enum LoadScope scope,
                  int64_t now_ms,
                  size_t *n_loads)
{
  struct LoadSum sum = { .size = loads_bound (table, own) };
  const char *zones[PEER_TABLE_ZONES_MAX];
  const struct PeerListSource *source;
  size_t n_zones;

  *n_loads = 0;
  sum.items = talloc_zero_array (ctx, struct ReplicaLoad, sum.size);
  if (sum.items == NULL)
    return NULL;
  source = scope == LOADS_OF_FLEET && !peer_table_is_aggregator (table, now_ms)
               ? fleet_source (table, now_ms)
               : NULL;
  if (source != NULL)
    {
      sum_add (&sum, source->loads, source->n_loads);
      *n_loads = sum.n;
      return sum.items;
    }
  sum_add (&sum, own->loads, own->n_loads);
  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i]->reported_ms > 0
        && now_ms - table->peers[i]->reported_ms < PEER_TABLE_LIVE_MS)
      sum_add (&sum, table->peers[i]->loads, table->peers[i]->n_loads);
  n_zones = scope == LOADS_OF_FLEET ? peer_table_other_zones (table, zones) : 0;
  for (size_t i = 0; i < n_zones; i++)
    {
      source = zone_source (table, zones[i], now_ms);
      if (source != NULL)
        sum_add (&sum, source->loads, source->n_loads);
    }
  *n_loads = sum.n;
  return sum.items;
}
