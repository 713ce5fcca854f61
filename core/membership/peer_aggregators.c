/* Which processes aggregate a zone, and which members an aggregator serves. */
#include "peer_table_internal.h"

#include <string.h>

struct AggregatorChoice
{
  const char *names[PEER_TABLE_AGGREGATORS];
  uint64_t ranks[PEER_TABLE_AGGREGATORS];
  size_t n;
};

/* Adds a candidate; the lowest ranks are kept. */
static void
choice_offer (struct AggregatorChoice *choice, const char *name, uint64_t rank)
{
  size_t at = choice->n;

  while (at > 0 && rank < choice->ranks[at - 1])
    at--;
  if (at == PEER_TABLE_AGGREGATORS)
    return;
  if (choice->n < PEER_TABLE_AGGREGATORS)
    choice->n++;
  for (size_t i = choice->n - 1; i > at; i--)
    {
      choice->names[i] = choice->names[i - 1];
      choice->ranks[i] = choice->ranks[i - 1];
    }
  choice->names[at] = name;
  choice->ranks[at] = rank;
}

static bool
peer_may_aggregate (const struct PeerTable *table, const struct Peer *peer, int64_t now_ms)
{
  if (peer->status.leaving
      || (peer->unanswered_since_ms > 0
          && now_ms - peer->unanswered_since_ms >= PEER_TABLE_SILENT_MS))
    return false;
  return peer_table_is_live (table, peer, now_ms)
         || (now_ms - peer->added_ms < PEER_TABLE_NEW_MS && !peer_is_refused (peer, now_ms));
}

static struct AggregatorChoice
choose_aggregators (const struct PeerTable *table, const char *zone, bool archives, int64_t now_ms)
{
  struct AggregatorChoice choice = { .n = 0 };

  if (strcmp (zone, table->own.zone) == 0 && table->own.is_archive == archives
      && !table->own.leaving)
    choice_offer (&choice, table->own.node, table->own_rank);
  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];

      if (peer->status.is_archive == archives && strcmp (peer->status.zone, zone) == 0
          && peer_may_aggregate (table, peer, now_ms))
        choice_offer (&choice, peer->status.node, peer->rank);
    }
  return choice;
}

/* Chooses the likely aggregators of a zone that is silent, by rank among the members that became
 * unreachable together. Every other second it chooses two pseudo-random members instead, in case
 * the likely ones have failed for good. */
static struct AggregatorChoice
choose_unreachable (const struct PeerTable *table, const char *zone, int64_t now_ms)
{
  struct AggregatorChoice choice = { .n = 0 };
  uint64_t second = (uint64_t)now_ms / 1000;
  uint64_t mask = second % 2 != 0 ? second * 0x9e3779b97f4a7c15ULL : 0;
  int64_t last_ms = 0;

  for (size_t i = 0; i < table->n_peers; i++)
    if (strcmp (table->peers[i]->status.zone, zone) == 0
        && peer_seen_ms (table, table->peers[i]) > last_ms)
      last_ms = peer_seen_ms (table, table->peers[i]);
  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];

      if (!peer->status.is_archive && strcmp (peer->status.zone, zone) == 0
          && last_ms - peer_seen_ms (table, peer) < PEER_TABLE_COMMON_LOSS_MS)
        choice_offer (&choice, peer->status.node, peer->rank ^ mask);
    }
  return choice;
}

size_t
peer_table_aggregators (const struct PeerTable *table,
                        const char *zone,
                        int64_t now_ms,
                        const char *names[PEER_TABLE_AGGREGATORS])
{
  struct AggregatorChoice choice = choose_aggregators (table, zone, false, now_ms);

  /* Archives are few and busy with their disks: they aggregate only in zones without gateways. */
  if (choice.n == 0)
    choice = choose_aggregators (table, zone, true, now_ms);
  if (choice.n == 0)
    choice = choose_unreachable (table, zone, now_ms);
  for (size_t i = 0; i < choice.n; i++)
    names[i] = choice.names[i];
  return choice.n;
}

/* The contacts of one zone, lowest rank first. */
struct ZoneContacts
{
  const char *zone;
  const struct Peer *peers[PEER_TABLE_CONTACTS];
  size_t n;
};

static void
contacts_offer (struct ZoneContacts *contacts, const struct Peer *peer)
{
  size_t at = contacts->n;

  while (at > 0 && peer->rank < contacts->peers[at - 1]->rank)
    at--;
  if (at == PEER_TABLE_CONTACTS)
    return;
  if (contacts->n < PEER_TABLE_CONTACTS)
    contacts->n++;
  for (size_t i = contacts->n - 1; i > at; i--)
    contacts->peers[i] = contacts->peers[i - 1];
  contacts->peers[at] = peer;
}

size_t
peer_table_contacts (const struct PeerTable *table,
                     int64_t now_ms,
                     const struct Peer *contacts[PEER_TABLE_CONTACTS_MAX])
{
  struct ZoneContacts zones[PEER_TABLE_ZONES_MAX] = { 0 };
  size_t n_zones = 0, n = 0;

  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];
      size_t at = 0;

      if (peer->status.is_archive || !peer_may_aggregate (table, peer, now_ms))
        continue;
      while (at < n_zones && strcmp (zones[at].zone, peer->status.zone) != 0)
        at++;
      if (at == PEER_TABLE_ZONES_MAX)
        continue;
      if (at == n_zones)
        zones[n_zones++].zone = peer->status.zone;
      contacts_offer (&zones[at], peer);
    }
  for (size_t i = 0; i < n_zones; i++)
    for (size_t j = 0; j < zones[i].n; j++)
      contacts[n++] = zones[i].peers[j];
  return n;
}

bool
peer_table_is_served (const struct PeerTable *table, int64_t now_ms)
{
  for (uint32_t i = 0; i < PEER_TABLE_SOURCES_MAX; i++)
    if (table->sources[i].kind == SNAPSHOT_FLEET && table->sources[i].has_list
        && source_is_live (&table->sources[i], now_ms))
      return true;
  return false;
}

uint32_t
peer_table_server_level (const struct PeerTable *table, int64_t now_ms)
{
  uint32_t level = table->own_server_level;

  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];

      if (peer->server_level > level && strcmp (peer->status.zone, table->own.zone) == 0
          && peer->status_ms > 0 && now_ms - peer->status_ms < PEER_TABLE_LIVE_MS)
        level = peer->server_level;
    }
  return level;
}

bool
peer_table_is_aggregator (const struct PeerTable *table, int64_t now_ms)
{
  const char *names[PEER_TABLE_AGGREGATORS];
  size_t n = peer_table_aggregators (table, table->own.zone, now_ms, names);

  for (size_t i = 0; i < n; i++)
    if (peer_table_is_own (table, names[i]))
      return true;
  return false;
}

bool
peer_table_is_first_aggregator (const struct PeerTable *table, int64_t now_ms)
{
  const char *names[PEER_TABLE_AGGREGATORS];

  return peer_table_aggregators (table, table->own.zone, now_ms, names) > 0
         && peer_table_is_own (table, names[0]);
}

bool
peer_table_serves (const struct PeerTable *table,
                   const struct Peer *peer,
                   bool aggregates,
                   int64_t now_ms)
{
  if (strcmp (peer->status.zone, table->own.zone) != 0)
    return false;
  /* Silent members are served as well: a process that restarts during an outage of the store
   * receives its list of processes this way. */
  return (aggregates && now_ms - peer_seen_ms (table, peer) < PEER_TABLE_SERVE_SILENT_MS)
         || (peer->reported_ms > 0 && now_ms - peer->reported_ms < PEER_TABLE_LIVE_MS);
}

struct Peer *
peer_table_next_silent (struct PeerTable *table, int64_t now_ms)
{
  for (size_t i = 0; i < table->n_peers; i++)
    {
      struct Peer *peer = table->peers[table->next_silent++ % table->n_peers];

      if (strcmp (peer->status.zone, table->own.zone) == 0
          && now_ms - peer_seen_ms (table, peer) >= PEER_TABLE_SERVE_SILENT_MS)
        return peer;
    }
  return NULL;
}

size_t
peer_table_other_zones (const struct PeerTable *table, const char *zones[PEER_TABLE_ZONES_MAX])
{
  size_t n = 0;

  for (size_t i = 0; i < table->n_peers && n < PEER_TABLE_ZONES_MAX; i++)
    {
      const char *zone = table->peers[i]->status.zone;
      size_t at = 0;

      if (zone[0] == '\0' || strcmp (zone, table->own.zone) == 0)
        continue;
      while (at < n && strcmp (zones[at], zone) != 0)
        at++;
      if (at == n)
        zones[n++] = zone;
    }
  return n;
}
