#include "quota_members.h"

#include <buckthornhead/partition.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* A gateway whose requests to others have been without a reply for this long, from any of them,
   * counts as cut off: three heartbeat intervals, as for a peer that is not received. */
  NO_REPLY_MS = PEER_TABLE_LIVE_MS,
  /* A gateway with a planned stop grants for a moment longer: others learn of the stop from their
   * aggregators' lists, and ask it until then. */
  LEAVING_GRANTS_MS = 300
};

struct QuotaMember
{
  char name[NAME_MAX_BYTES + 1];
  bool is_candidate, is_present;
  int64_t candidate_ms; /* when it was last found to be a candidate */
  UT_hash_handle hh;
};

/* The owners of a customer, as of a version of the set of gateways. */
struct OwnerEntry
{
  char customer[NAME_MAX_BYTES + 1];
  uint64_t version;
  struct QuotaOwners owners;
  UT_hash_handle hh;
};

struct QuotaMembers
{
  struct Front *front;
  struct QuotaMember *by_name;
  struct OwnerEntry *entries;
  uint64_t version; /* number of changes of the set of candidates */
  bool owns;        /* this gateway is a candidate */
  uint32_t n_known, n_received;
  bool has_no_replies;
};

static int
members_free (struct QuotaMembers *members)
{
  HASH_CLEAR (hh, members->by_name);
  HASH_CLEAR (hh, members->entries);
  return 0;
}

struct QuotaMembers *
quota_members_new (TALLOC_CTX *ctx, struct Front *front)
{
  struct QuotaMembers *members = talloc_zero (ctx, struct QuotaMembers);

  if (members == NULL)
    return NULL;
  members->front = front;
  members->version = 1;
  members->n_known = members->n_received = 1;
  talloc_set_destructor (members, members_free);
  return members;
}

/* The set of gateways */

/* Returns NULL when out of memory. */
static struct QuotaMember *
members_find_or_add (struct QuotaMembers *members, const char *name)
{
  struct QuotaMember *member = NULL;

  HASH_FIND_STR (members->by_name, name, member);
  if (member != NULL)
    return member;
  member = talloc_zero (members, struct QuotaMember);
  if (member == NULL)
    return NULL;
  snprintf (member->name, sizeof member->name, "%s", name);
  HASH_ADD_STR (members->by_name, name, member);
  return member;
}

/* Counts the gateway, and returns true if it became a candidate or ceased to be one. A gateway
 * without a configuration knows no limits and owns no customer. */
static bool
members_read_peer (struct QuotaMembers *members, const struct Peer *peer, int64_t now_ms)
{
  const struct NodeStatus *status = &peer->status;
  bool is_live = node_peer_is_live (members->front->node, peer);
  bool is_candidate = is_live && !status->leaving && status->config_version > 0;
  struct QuotaMember *member;
  bool changed;

  if (!status->leaving)
    {
      members->n_known++;
      members->n_received += is_live;
    }
  member = members_find_or_add (members, status->node);
  if (member == NULL)
    return false;
  changed = member->is_candidate != is_candidate;
  member->is_present = true;
  member->is_candidate = is_candidate;
  if (is_candidate)
    member->candidate_ms = now_ms;
  return changed;
}

static bool
members_remove_absent (struct QuotaMembers *members)
{
  struct QuotaMember *member, *next;
  bool changed = false;

  HASH_ITER (hh, members->by_name, member, next)
  {
    if (member->is_present)
      continue;
    changed = true;
    HASH_DEL (members->by_name, member);
    talloc_free (member);
  }
  return changed;
}

static bool
members_update_own (struct QuotaMembers *members, int64_t now_ms)
{
  const struct Front *front = members->front;
  bool owns =
      front->table != NULL && (front->stop_ms == 0 || now_ms - front->stop_ms < LEAVING_GRANTS_MS);
  bool changed = owns != members->owns;

  members->owns = owns;
  return changed;
}

/* Peers that receive nothing from this gateway reply to none of its requests, although it may
 * receive from them: they have chosen other owners. */
static bool
members_have_no_replies (const struct QuotaMembers *members, int64_t now_ms)
{
  const struct PeerTable *table = members->front->node->peers;
  bool is_unanswered = false;

  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];

      if (peer->link_received_ms > 0 && now_ms - peer->link_received_ms < NO_REPLY_MS)
        return false;
      if (peer->unanswered_since_ms > 0 && now_ms - peer->unanswered_since_ms >= NO_REPLY_MS)
        is_unanswered = true;
    }
  return is_unanswered;
}

bool
quota_members_refresh (struct QuotaMembers *members, int64_t now_ms)
{
  const struct PeerTable *table = members->front->node->peers;
  bool changed = members_update_own (members, now_ms);
  struct QuotaMember *member;

  for (member = members->by_name; member != NULL; member = member->hh.next)
    member->is_present = false;
  members->n_known = members->n_received = 1;
  for (size_t i = 0; i < table->n_peers; i++)
    if (table->peers[i]->status.caller_address[0] != '\0')
      changed = members_read_peer (members, table->peers[i], now_ms) || changed;
  changed = members_remove_absent (members) || changed;
  members->has_no_replies = members_have_no_replies (members, now_ms);
  members->version += changed;
  return changed;
}

/* Owners */

struct RankedOwner
{
  const char *name;
  uint64_t score;
};

static void
rank_consider (struct RankedOwner ranked[2], const char *name, uint64_t score)
{
  if (ranked[0].name == NULL || score > ranked[0].score)
    {
      ranked[1] = ranked[0];
      ranked[0] = (struct RankedOwner){ name, score };
    }
  else if (ranked[1].name == NULL || score > ranked[1].score)
    ranked[1] = (struct RankedOwner){ name, score };
}

static struct QuotaOwners
members_rank (const struct QuotaMembers *members, const char *customer)
{
  const char *own_name = members->front->node->settings->instance;
  uint64_t own_score = rendezvous_score (customer, own_name);
  struct RankedOwner ranked[2] = { { NULL, 0 }, { NULL, 0 } };
  struct QuotaOwners owners = { .is_own = false };

  /* During its planned stop the only gateway has nobody else to ask. */
  if (members->owns || (members->n_known == 1 && members->front->table != NULL))
    rank_consider (ranked, own_name, own_score);
  for (const struct QuotaMember *m = members->by_name; m != NULL; m = m->hh.next)
    {
      uint64_t score = rendezvous_score (customer, m->name);

      if (m->is_candidate)
        rank_consider (ranked, m->name, score);
      else if (score > own_score && m->candidate_ms > owners.owned_since_ms)
        owners.owned_since_ms = m->candidate_ms;
    }
  owners.first = ranked[0].name;
  owners.second = ranked[1].name;
  owners.is_own = owners.first == own_name;
  return owners;
}

struct QuotaOwners
quota_members_owners (struct QuotaMembers *members, const char *customer)
{
  struct OwnerEntry *entry = NULL;

  HASH_FIND_STR (members->entries, customer, entry);
  if (entry != NULL && entry->version == members->version)
    return entry->owners;
  if (entry == NULL)
    {
      entry = talloc_zero (members, struct OwnerEntry);
      if (entry == NULL)
        return members_rank (members, customer);
      snprintf (entry->customer, sizeof entry->customer, "%s", customer);
      HASH_ADD_STR (members->entries, customer, entry);
    }
  entry->owners = members_rank (members, customer);
  entry->version = members->version;
  return entry->owners;
}

/* Returns whether the settings name a seed beside this gateway: there are others, though none is
 * known yet. */
static bool
members_expect_others (const struct QuotaMembers *members)
{
  const struct GatewaySettings *settings = members->front->node->settings;
  size_t n_host = strcspn (settings->peer_listen, ":");

  if (settings->seeds[0] == '\0')
    return false;
  return strchr (settings->seeds, ',') != NULL
         || strncmp (settings->seeds, settings->peer_listen, n_host + 1) != 0;
}

double
quota_members_share (const struct QuotaMembers *members)
{
  /* A gateway that starts while it is cut off would take itself for the only one, and grant whole
   * limits. */
  if (members->n_known == 1 && members_expect_others (members))
    return 0;
  return (double)(members->has_no_replies ? 1 : members->n_received) / members->n_known;
}

bool
quota_members_is_isolated (const struct QuotaMembers *members)
{
  return members->n_known > 1 && members->n_received == 1;
}

uint32_t
quota_members_known (const struct QuotaMembers *members)
{
  return members->n_known;
}

void
quota_members_clear_owners (struct QuotaMembers *members)
{
  struct OwnerEntry *entry, *next;

  HASH_ITER (hh, members->entries, entry, next)
  {
    HASH_DEL (members->entries, entry);
    talloc_free (entry);
  }
}
