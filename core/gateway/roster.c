#include "roster_internal.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static uint64_t
name_rank (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

struct Roster *
roster_new (TALLOC_CTX *ctx, const char *node, const char *zone)
{
  struct Roster *roster = talloc_zero (ctx, struct Roster);

  if (roster == NULL)
    return NULL;
  snprintf (roster->own.node, sizeof roster->own.node, "%s", node);
  snprintf (roster->own.zone, sizeof roster->own.zone, "%s", zone);
  roster->own_rank = name_rank (node);
  return roster;
}

struct Peer *
roster_find (const struct Roster *roster, const char *name)
{
  struct Peer *peer;

  HASH_FIND_STR (roster->by_name, name, peer);
  return peer;
}

bool
roster_describe (struct Roster *roster, const struct NodeStatus *own)
{
  uint64_t version = roster->own.version;

  if (version > 0 && node_status_says_the_same (&roster->own, own))
    return false;
  roster->own = *own;
  roster->own.version = version + 1;
  return true;
}

/* Peers. */

static void
peer_set_status (struct Peer *peer, const struct NodeStatus *status)
{
  /* The name is the key of the table; it does not change. */
  peer->status = *status;
  TALLOC_FREE (peer->packed);
}

static struct Peer *
roster_add (struct Roster *roster, const struct NodeStatus *status, int64_t now_ms)
{
  struct Peer **grown = talloc_realloc (roster, roster->peers, struct Peer *, roster->n_peers + 1);
  struct Peer *peer;

  if (grown == NULL)
    return NULL;
  roster->peers = grown;
  peer = talloc_zero (grown, struct Peer);
  if (peer == NULL)
    return NULL;
  peer_set_status (peer, status);
  peer->known_ms = now_ms;
  peer->rank = name_rank (status->node);
  roster->peers[roster->n_peers++] = peer;
  HASH_ADD_KEYPTR (hh, roster->by_name, peer->status.node, strlen (peer->status.node), peer);
  return peer;
}

static bool
roster_is_own (const struct Roster *roster, const char *name)
{
  return strcmp (name, roster->own.node) == 0;
}

struct Peer *
roster_learn (struct Roster *roster, const struct NodeStatus *status, int64_t now_ms)
{
  if (roster_is_own (roster, status->node) || roster_find (roster, status->node) != NULL)
    return NULL;
  return roster_add (roster, status, now_ms);
}

static void
loads_take (TALLOC_CTX *ctx,
            struct ReplicaLoad **loads,
            size_t *n_loads,
            const struct Heartbeat *heartbeat)
{
  talloc_free (*loads);
  *loads = talloc_memdup (ctx, heartbeat->loads, heartbeat->n_loads * sizeof *heartbeat->loads);
  *n_loads = *loads != NULL ? heartbeat->n_loads : 0;
}

static struct RosterSource *
source_find (struct Roster *roster, const char *node, enum SnapshotKind kind)
{
  for (uint32_t i = 0; i < ROSTER_SOURCES_MAX; i++)
    if (roster->sources[i].kind == kind && strcmp (roster->sources[i].node, node) == 0)
      return &roster->sources[i];
  return NULL;
}

static void
roster_take_loads (struct Roster *roster, struct Peer *peer, const struct Heartbeat *heartbeat)
{
  struct RosterSource *source;

  switch (heartbeat->scope)
    {
    case LOADS_OF_PROCESS:
      loads_take (peer, &peer->loads, &peer->n_loads, heartbeat);
      return;
    case LOADS_OF_ZONE:
      source = source_find (roster, peer->status.node, SNAPSHOT_ZONE);
      break;
    case LOADS_OF_FLEET:
      source = source_find (roster, peer->status.node, SNAPSHOT_FLEET);
      break;
    default:
      return;
    }
  if (source != NULL)
    loads_take (roster, &source->loads, &source->n_loads, heartbeat);
}

void
roster_note_heard (struct Peer *peer, int64_t now_ms)
{
  peer->heard_ms = now_ms;
  peer->refused_ms = 0;
}

void
roster_note_asked (struct Peer *peer, int64_t now_ms)
{
  if (peer->asked_ms == 0)
    peer->asked_ms = now_ms;
}

struct Peer *
roster_hear (struct Roster *roster,
             const struct Heartbeat *heartbeat,
             int64_t now_ms,
             bool *changed)
{
  const struct NodeStatus *status = &heartbeat->status;
  struct Peer *peer;

  *changed = false;
  if (roster_is_own (roster, status->node))
    return NULL;
  peer = roster_find (roster, status->node);
  if (peer == NULL)
    peer = roster_add (roster, status, now_ms);
  if (peer == NULL)
    return NULL;
  *changed = now_ms - peer->status_ms >= ROSTER_LIVE_MS || peer->status.start != status->start
             || !node_status_says_the_same (&peer->status, status);
  peer_set_status (peer, status);
  roster_note_heard (peer, now_ms);
  peer->status_ms = now_ms;
  if (heartbeat->scope == LOADS_OF_PROCESS)
    peer->reported_ms = now_ms;
  peer->server_level = heartbeat->server_level;
  roster_take_loads (roster, peer, heartbeat);
  return peer;
}

/* Liveness. */

static bool
source_is_live (const struct RosterSource *source, int64_t now_ms)
{
  return source->node[0] != '\0' && now_ms - source->heard_ms < ROSTER_SOURCE_LIVE_MS;
}

bool
peer_is_refused (const struct Peer *peer, int64_t now_ms)
{
  return peer->refused_ms > 0 && now_ms - peer->refused_ms < ROSTER_REFUSED_MS;
}

bool
peer_is_listed (const struct Roster *roster,
                const struct Peer *peer,
                enum SnapshotKind kind,
                int64_t now_ms)
{
  for (uint32_t i = 0; peer->listed >> i != 0 && i < ROSTER_SOURCES_MAX; i++)
    if ((peer->listed >> i & 1) != 0 && roster->sources[i].kind == kind
        && source_is_live (&roster->sources[i], now_ms))
      return true;
  return false;
}

bool
roster_is_live (const struct Roster *roster, const struct Peer *peer, int64_t now_ms)
{
  if (peer_is_refused (peer, now_ms))
    return false;
  return (peer->heard_ms > 0 && now_ms - peer->heard_ms < ROSTER_LIVE_MS)
         || peer_is_listed (roster, peer, SNAPSHOT_FLEET, now_ms)
         || peer_is_listed (roster, peer, SNAPSHOT_ZONE, now_ms);
}

/* How long an archive may be silent over its link before it is probed. */
static int64_t
roster_probe_after_ms (const struct Roster *roster,
                       const struct Peer *peer,
                       bool aggregates,
                       int64_t now_ms)
{
  int64_t share_ms = (int64_t)roster->n_peers * ROSTER_PROBE_SHARE_MS;

  if (aggregates || roster->own.is_archive || share_ms < ROSTER_PROBE_AFTER_MS
      || !peer_is_listed (roster, peer, SNAPSHOT_FLEET, now_ms))
    return ROSTER_PROBE_AFTER_MS;
  return share_ms;
}

bool
roster_must_probe (const struct Roster *roster,
                   const struct Peer *peer,
                   bool is_asked,
                   bool aggregates,
                   int64_t now_ms)
{
  if (now_ms - peer->probed_ms < ROSTER_PROBE_AFTER_MS)
    return false;
  if (peer->asked_ms > 0)
    return is_asked || roster_is_live (roster, peer, now_ms);
  return is_asked && peer->status.is_archive
         && now_ms - peer->link_heard_ms
                >= roster_probe_after_ms (roster, peer, aggregates, now_ms);
}

bool
roster_hears_others (const struct Roster *roster, int64_t within_ms, int64_t now_ms)
{
  for (size_t i = 0; i < roster->n_peers; i++)
    if (roster->peers[i]->heard_ms > 0 && now_ms - roster->peers[i]->heard_ms < within_ms)
      return true;
  return false;
}

/* Aggregators. */

struct AggregatorChoice
{
  const char *names[ROSTER_AGGREGATORS];
  uint64_t ranks[ROSTER_AGGREGATORS];
  size_t n;
};

/* Keeps the lowest ranks. */
static void
choice_offer (struct AggregatorChoice *choice, const char *name, uint64_t rank)
{
  size_t at = choice->n;

  while (at > 0 && rank < choice->ranks[at - 1])
    at--;
  if (at == ROSTER_AGGREGATORS)
    return;
  if (choice->n < ROSTER_AGGREGATORS)
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
peer_may_aggregate (const struct Roster *roster, const struct Peer *peer, int64_t now_ms)
{
  if (peer->status.leaving || (peer->asked_ms > 0 && now_ms - peer->asked_ms >= ROSTER_SILENT_MS))
    return false;
  return roster_is_live (roster, peer, now_ms)
         || (now_ms - peer->known_ms < ROSTER_NEW_MS && !peer_is_refused (peer, now_ms));
}

static struct AggregatorChoice
choose_aggregators (const struct Roster *roster, const char *zone, bool archives, int64_t now_ms)
{
  struct AggregatorChoice choice = { .n = 0 };

  if (strcmp (zone, roster->own.zone) == 0 && roster->own.is_archive == archives
      && !roster->own.leaving)
    choice_offer (&choice, roster->own.node, roster->own_rank);
  for (size_t i = 0; i < roster->n_peers; i++)
    {
      const struct Peer *peer = roster->peers[i];

      if (peer->status.is_archive == archives && strcmp (peer->status.zone, zone) == 0
          && peer_may_aggregate (roster, peer, now_ms))
        choice_offer (&choice, peer->status.node, peer->rank);
    }
  return choice;
}

static int64_t
peer_seen_ms (const struct Roster *roster, const struct Peer *peer)
{
  int64_t seen_ms = peer->heard_ms > peer->known_ms ? peer->heard_ms : peer->known_ms;

  if (peer->listed_ms > seen_ms)
    seen_ms = peer->listed_ms;
  for (uint32_t i = 0; i < ROSTER_SOURCES_MAX; i++)
    if ((peer->listed >> i & 1) != 0 && roster->sources[i].heard_ms > seen_ms)
      seen_ms = roster->sources[i].heard_ms;
  return seen_ms;
}

/* Those of a silent zone who probably aggregate it, by the order in which they did when they were
 * last heard; in every other second two others, in turn, in case they are gone for good. */
static struct AggregatorChoice
choose_lost (const struct Roster *roster, const char *zone, int64_t now_ms)
{
  struct AggregatorChoice choice = { .n = 0 };
  uint64_t turn = (uint64_t)now_ms / 1000;
  uint64_t mixed = turn % 2 != 0 ? turn * 0x9e3779b97f4a7c15ULL : 0;
  int64_t last_ms = 0;

  for (size_t i = 0; i < roster->n_peers; i++)
    if (strcmp (roster->peers[i]->status.zone, zone) == 0
        && peer_seen_ms (roster, roster->peers[i]) > last_ms)
      last_ms = peer_seen_ms (roster, roster->peers[i]);
  for (size_t i = 0; i < roster->n_peers; i++)
    {
      const struct Peer *peer = roster->peers[i];

      if (!peer->status.is_archive && strcmp (peer->status.zone, zone) == 0
          && last_ms - peer_seen_ms (roster, peer) < ROSTER_TOGETHER_MS)
        choice_offer (&choice, peer->status.node, peer->rank ^ mixed);
    }
  return choice;
}

size_t
roster_aggregators (const struct Roster *roster,
                    const char *zone,
                    int64_t now_ms,
                    const char *names[ROSTER_AGGREGATORS])
{
  struct AggregatorChoice choice = choose_aggregators (roster, zone, false, now_ms);

  /* Disks are few and busy: archives aggregate where there is nobody else. */
  if (choice.n == 0)
    choice = choose_aggregators (roster, zone, true, now_ms);
  if (choice.n == 0)
    choice = choose_lost (roster, zone, now_ms);
  for (size_t i = 0; i < choice.n; i++)
    names[i] = choice.names[i];
  return choice.n;
}

/* The contacts of one zone, lowest rank first. */
struct ZoneContacts
{
  const char *zone;
  const struct Peer *peers[ROSTER_CONTACTS];
  size_t n;
};

static void
contacts_offer (struct ZoneContacts *contacts, const struct Peer *peer)
{
  size_t at = contacts->n;

  while (at > 0 && peer->rank < contacts->peers[at - 1]->rank)
    at--;
  if (at == ROSTER_CONTACTS)
    return;
  if (contacts->n < ROSTER_CONTACTS)
    contacts->n++;
  for (size_t i = contacts->n - 1; i > at; i--)
    contacts->peers[i] = contacts->peers[i - 1];
  contacts->peers[at] = peer;
}

size_t
roster_contacts (const struct Roster *roster,
                 int64_t now_ms,
                 const struct Peer *contacts[ROSTER_CONTACTS_MAX])
{
  struct ZoneContacts zones[ROSTER_ZONES_MAX] = { 0 };
  size_t n_zones = 0, n = 0;

  for (size_t i = 0; i < roster->n_peers; i++)
    {
      const struct Peer *peer = roster->peers[i];
      size_t at = 0;

      if (peer->status.is_archive || !peer_may_aggregate (roster, peer, now_ms))
        continue;
      while (at < n_zones && strcmp (zones[at].zone, peer->status.zone) != 0)
        at++;
      if (at == ROSTER_ZONES_MAX)
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
roster_is_served (const struct Roster *roster, int64_t now_ms)
{
  for (uint32_t i = 0; i < ROSTER_SOURCES_MAX; i++)
    if (roster->sources[i].kind == SNAPSHOT_FLEET && roster->sources[i].has_list
        && source_is_live (&roster->sources[i], now_ms))
      return true;
  return false;
}

uint32_t
roster_server_level (const struct Roster *roster, int64_t now_ms)
{
  uint32_t level = roster->own_server_level;

  for (size_t i = 0; i < roster->n_peers; i++)
    {
      const struct Peer *peer = roster->peers[i];

      if (peer->server_level > level && strcmp (peer->status.zone, roster->own.zone) == 0
          && peer->status_ms > 0 && now_ms - peer->status_ms < ROSTER_LIVE_MS)
        level = peer->server_level;
    }
  return level;
}

bool
roster_is_aggregator (const struct Roster *roster, int64_t now_ms)
{
  const char *names[ROSTER_AGGREGATORS];
  size_t n = roster_aggregators (roster, roster->own.zone, now_ms, names);

  for (size_t i = 0; i < n; i++)
    if (roster_is_own (roster, names[i]))
      return true;
  return false;
}

bool
roster_is_first_aggregator (const struct Roster *roster, int64_t now_ms)
{
  const char *names[ROSTER_AGGREGATORS];

  return roster_aggregators (roster, roster->own.zone, now_ms, names) > 0
         && roster_is_own (roster, names[0]);
}

bool
roster_serves (const struct Roster *roster,
               const struct Peer *peer,
               bool aggregates,
               int64_t now_ms)
{
  if (strcmp (peer->status.zone, roster->own.zone) != 0)
    return false;
  /* Also to those that fell silent: a process that has started again while the store is away learns
   * from this who is there. */
  return (aggregates && now_ms - peer_seen_ms (roster, peer) < ROSTER_CALL_MS)
         || (peer->reported_ms > 0 && now_ms - peer->reported_ms < ROSTER_LIVE_MS);
}

struct Peer *
roster_next_silent (struct Roster *roster, int64_t now_ms)
{
  for (size_t i = 0; i < roster->n_peers; i++)
    {
      struct Peer *peer = roster->peers[roster->next_silent++ % roster->n_peers];

      if (strcmp (peer->status.zone, roster->own.zone) == 0
          && now_ms - peer_seen_ms (roster, peer) >= ROSTER_CALL_MS)
        return peer;
    }
  return NULL;
}

size_t
roster_other_zones (const struct Roster *roster, const char *zones[ROSTER_ZONES_MAX])
{
  size_t n = 0;

  for (size_t i = 0; i < roster->n_peers && n < ROSTER_ZONES_MAX; i++)
    {
      const char *zone = roster->peers[i]->status.zone;
      size_t at = 0;

      if (zone[0] == '\0' || strcmp (zone, roster->own.zone) == 0)
        continue;
      while (at < n && strcmp (zones[at], zone) != 0)
        at++;
      if (at == n)
        zones[n++] = zone;
    }
  return n;
}

static void
roster_remove (struct Roster *roster, struct Peer *peer)
{
  size_t n_kept = 0;

  for (size_t i = 0; i < roster->n_peers; i++)
    if (roster->peers[i] != peer)
      roster->peers[n_kept++] = roster->peers[i];
  roster->n_peers = n_kept;
  talloc_free (peer);
}

void
roster_forget_silent (struct Roster *roster,
                      int64_t now_ms,
                      void (*forgotten) (void *data, const struct Peer *peer),
                      void *data)
{
  struct Peer *peer, *next;

  HASH_ITER (hh, roster->by_name, peer, next)
  {
    if (now_ms - peer_seen_ms (roster, peer) < ROSTER_FORGET_MS)
      continue;
    HASH_DEL (roster->by_name, peer);
    forgotten (data, peer);
    roster_remove (roster, peer);
  }
}

/* Lists of aggregators. */

static void
source_clear_bits (struct Roster *roster, const struct RosterSource *source, int64_t now_ms)
{
  uint64_t bit = 1ULL << (source - roster->sources);

  for (size_t i = 0; i < roster->n_peers; i++)
    if ((roster->peers[i]->listed & bit) != 0)
      {
        roster->peers[i]->listed &= ~bit;
        roster->peers[i]->listed_ms = now_ms;
      }
}

/* A new source takes the place of the one that was silent for longest. */
static struct RosterSource *
source_need (struct Roster *roster, const char *node, enum SnapshotKind kind, int64_t now_ms)
{
  struct RosterSource *source = source_find (roster, node, kind);

  if (source != NULL)
    return source;
  source = &roster->sources[0];
  for (uint32_t i = 1; i < ROSTER_SOURCES_MAX; i++)
    if (roster->sources[i].heard_ms < source->heard_ms)
      source = &roster->sources[i];
  source_clear_bits (roster, source, now_ms);
  TALLOC_FREE (source->loads);
  source->n_loads = 0;
  source->has_list = false;
  source->kind = kind;
  snprintf (source->node, sizeof source->node, "%s", node);
  return source;
}

/* Whether what a list says of the peer replaces what is known. Starts have no order, since clocks
 * step: a list that tells of another start is believed, unless the process itself was heard. */
static bool
status_is_news (const struct Peer *peer, const struct NodeStatus *status, int64_t now_ms)
{
  if (peer->status.start == status->start)
    return status->version > peer->status.version;
  return peer->status_ms == 0 || now_ms - peer->status_ms >= ROSTER_LIVE_MS;
}

/* False for an item that can not be read. */
static bool
source_take_item (struct Roster *roster,
                  const struct RosterSource *source,
                  const struct SnapshotItem *item,
                  int64_t now_ms)
{
  uint64_t bit = 1ULL << (source - roster->sources);
  struct Peer *peer = roster_find (roster, item->key);
  struct NodeStatus status;

  if (item->gone)
    {
      if (peer != NULL)
        {
          peer->listed &= ~bit;
          peer->listed_ms = now_ms;
        }
      return true;
    }
  if (roster_is_own (roster, item->key))
    return true;
  if (node_status_decode (item->value, item->value_bytes, &status) != ERROR_NONE
      || strcmp (status.node, item->key) != 0)
    return false;
  if (peer == NULL)
    peer = roster_add (roster, &status, now_ms);
  else if (status_is_news (peer, &status, now_ms))
    peer_set_status (peer, &status);
  if (peer == NULL)
    return false;
  /* It is there again for somebody: it gets another chance from this process. */
  if ((peer->listed & bit) == 0)
    peer->asked_ms = 0;
  peer->listed |= bit;
  return true;
}

bool
roster_take_list (struct Roster *roster,
                  const char *aggregator,
                  const struct Snapshot *snapshot,
                  int64_t now_ms)
{
  struct RosterSource *source = source_need (roster, aggregator, snapshot->kind, now_ms);

  if (snapshot->base != 0 && (!source->has_list || source->content != snapshot->base))
    return source->has_list && source->content == snapshot->content;
  if (snapshot->base == 0)
    source_clear_bits (roster, source, now_ms);
  source->has_list = true;
  source->content = snapshot->content;
  source->heard_ms = now_ms;
  /* A list of which a part is missing is not the one that its aggregator speaks of. */
  for (size_t i = 0; i < snapshot->n_items; i++)
    if (!source_take_item (roster, source, &snapshot->items[i], now_ms))
      source->has_list = false;
  return source->has_list;
}

bool
roster_confirm_list (struct Roster *roster,
                     const char *aggregator,
                     const struct StateMark *mark,
                     int64_t now_ms)
{
  struct RosterSource *source = source_find (roster, aggregator, mark->kind);

  if (source == NULL || !source->has_list || source->content != mark->content)
    return false;
  source->heard_ms = now_ms;
  return true;
}
