#include "zone_servers.h"

#include <buckthornhead/log.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>

static bool
subset_is_current (const struct StoreReader *reader, uint32_t level)
{
  const struct Snapshot *servers = reader->topics[SNAPSHOT_SERVERS].snapshot;
  const struct Snapshot *subset = reader->topics[SNAPSHOT_SUBSET].snapshot;

  if (subset == NULL || reader->subset_of != reader->topics[SNAPSHOT_SERVERS].content)
    return false;
  return reader->subset_level == level
         || (level > reader->subset_level && subset->n_items == servers->n_items);
}

/* Marks the subset as unchanged and as current as the full list. */
static void
subset_confirm (struct StoreReader *reader)
{
  const struct Topic *servers = &reader->topics[SNAPSHOT_SERVERS];
  const struct Snapshot unchanged = { .kind = SNAPSHOT_SUBSET,
                                      .revision = servers->revision,
                                      .content = reader->topics[SNAPSHOT_SUBSET].content,
                                      .unchanged = true };

  topic_apply_snapshot (reader, &unchanged, servers->read_ms);
}

static void
subset_publish (struct StoreReader *reader, struct Snapshot *subset)
{
  const struct Topic *topic = &reader->topics[SNAPSHOT_SUBSET];
  struct Node *node = reader->node;
  struct GatewayMessage message = { .kind = GATEWAY_SNAPSHOT };
  struct Snapshot *changes =
      topic->snapshot != NULL ? snapshot_changes (reader, topic->snapshot, subset) : NULL;

  message.snapshot = changes != NULL ? *changes : *subset;
  message.snapshot.age_ms =
      (uint32_t)(timer_now_ms (node->timers) - reader->topics[SNAPSHOT_SERVERS].read_ms);
  /* The values of changes are owned by subset; the copy that the topic keeps has its own. */
  node_send_some (node, &message, PEERS_SERVED);
  topic_apply_snapshot (reader, subset, reader->topics[SNAPSHOT_SERVERS].read_ms);
  talloc_free (changes);
}

void
zone_servers_refresh (struct StoreReader *reader)
{
  struct Node *node = reader->node;
  const struct Topic *servers = &reader->topics[SNAPSHOT_SERVERS];
  int64_t now_ms = timer_now_ms (node->timers);
  struct Snapshot *subset;
  uint32_t level;

  if (servers->snapshot == NULL || !peer_table_is_aggregator (node->peers, now_ms))
    return;
  level = peer_table_server_level (node->peers, now_ms);
  if (subset_is_current (reader, level))
    {
      subset_confirm (reader);
      return;
    }
  subset =
      server_index_subset (reader->index, reader, servers->snapshot, node->settings->zone, level);
  if (subset == NULL)
    return;
  subset->revision = servers->revision;
  subset->content = snapshot_content (subset->items, subset->n_items);
  subset->after_gap = topic_is_after_gap (reader, SNAPSHOT_SERVERS);
  if (reader->subset_level != level)
    log_event (LOG_LEVEL_NOTICE, "server_subset_level", NULL, NULL,
               "level %u, %zu of %zu servers, previously level %u", level, subset->n_items,
               servers->snapshot->n_items, reader->subset_level);
  reader->subset_of = servers->content;
  reader->subset_level = level;
  if (subset->content == reader->topics[SNAPSHOT_SUBSET].content)
    subset_confirm (reader);
  else
    subset_publish (reader, subset);
  talloc_free (subset);
}

bool
zone_servers_are_from (const struct Node *node, const char *sender)
{
  const struct Peer *peer = node_peer (node, sender);
  bool builds_subset = node->reader->topics[SNAPSHOT_SERVERS].snapshot != NULL
                       && peer_table_is_aggregator (node->peers, timer_now_ms (node->timers));

  return !builds_subset && peer != NULL && strcmp (peer->status.zone, node->settings->zone) == 0;
}
