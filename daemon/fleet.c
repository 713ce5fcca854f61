#include "fleet.h"

#include "home.h"
#include "owner.h"
#include "spooler.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/snapshot.h>

#include <stdio.h>
#include <string.h>

enum
{
  HEARTBEAT_MS = 500,
  /* Time without a heartbeat after which a member is suspected and its link dropped, so that calls
   * that wait for a paused instance are settled. It starts no takeover: only the lapse of the
   * platform's lease and refused connections do. */
  HEARTBEAT_TIMEOUT_MS = 2500,
  ADDRESS_CACHE_MS = 2000,
  REFUSALS_FOR_EXITED = 2,
  LOST_STATUS_MS = 60 * 60 * 1000
};

/* An instance whose registration was removed and whose link is kept while it sends heartbeats. */
struct FleetFormerMember
{
  struct FleetFormerMember *next;
  char instance[NAME_MAX_BYTES + 1];
  int64_t received_ms;
};

struct Fleet
{
  struct FleetFormerMember *former;
  struct Core *core;
  struct FleetMember *members;
  size_t n_members;
  struct FleetBackend *backends;
  size_t n_backends;
  struct FleetLost lost[FLEET_LOST_MAX];
  size_t n_lost;
};

size_t
fleet_members (const struct Fleet *fleet, const struct FleetMember **members)
{
  *members = fleet->members;
  return fleet->n_members;
}

size_t
fleet_backends (const struct Fleet *fleet, const struct FleetBackend **backends)
{
  *backends = fleet->backends;
  return fleet->n_backends;
}

const struct FleetMember *
fleet_member_by_incarnation (const struct Fleet *fleet, const char *incarnation)
{
  for (size_t i = 0; i < fleet->n_members; i++)
    if (strcmp (fleet->members[i].incarnation, incarnation) == 0)
      return &fleet->members[i];
  return NULL;
}

static struct FleetMember *
fleet_member_by_instance (struct Fleet *fleet, const char *instance)
{
  for (size_t i = 0; i < fleet->n_members; i++)
    if (strcmp (fleet->members[i].instance, instance) == 0)
      return &fleet->members[i];
  return NULL;
}

/* Keeps the state received by heartbeats while a member has the same incarnation. */
static void
fleet_copy_heartbeat_state (struct Fleet *fleet, struct FleetMember *member)
{
  const struct FleetMember *former = fleet_member_by_incarnation (fleet, member->incarnation);

  member->received_ms = timer_now_ms (fleet->core->timers);
  if (former == NULL)
    return;
  member->suspected = former->suspected;
  member->exited = former->exited;
  member->received_ms = former->received_ms;
  member->heartbeat = former->heartbeat;
}

static void
fleet_update_homes (struct Fleet *fleet)
{
  struct HomesMember *members = talloc_zero_array (fleet, struct HomesMember, fleet->n_members);
  size_t n = 0;

  for (size_t i = 0; members != NULL && i < fleet->n_members; i++)
    {
      if (fleet->members[i].exited)
        continue;
      members[n].incarnation = fleet->members[i].incarnation;
      members[n].instance = fleet->members[i].instance;
      members[n++].draining = fleet->members[i].draining;
    }
  home_set_members (fleet->core->home, members, n);
  talloc_free (members);
}

static struct FleetFormerMember **
fleet_former_at (struct Fleet *fleet, const char *instance)
{
  struct FleetFormerMember **at = &fleet->former;

  while (*at != NULL && strcmp ((*at)->instance, instance) != 0)
    at = &(*at)->next;
  return at;
}

static void
fleet_former_remove (struct FleetFormerMember **at)
{
  struct FleetFormerMember *former = *at;

  *at = former->next;
  talloc_free (former);
}

/* A leaving instance still responds over its link. One that was paused and whose lease lapsed
 * before it was suspected never does, and the requests and calls that wait for it would wait until
 * their own timeouts. Missing heartbeats distinguish the two, as with members. */
static void
fleet_former_add (struct Fleet *fleet, const struct FleetMember *member)
{
  struct FleetFormerMember *former = talloc_zero (fleet, struct FleetFormerMember);

  if (former == NULL)
    return;
  snprintf (former->instance, sizeof former->instance, "%s", member->instance);
  former->received_ms = member->received_ms;
  former->next = fleet->former;
  fleet->former = former;
}

static void
fleet_drop_silent_former (struct Fleet *fleet, int64_t now_ms)
{
  struct FleetFormerMember **at = &fleet->former;

  while (*at != NULL)
    if (now_ms - (*at)->received_ms >= HEARTBEAT_TIMEOUT_MS)
      {
        peer_net_reset_link (fleet->core->net, (*at)->instance);
        peer_net_remove (fleet->core->net, (*at)->instance);
        fleet_former_remove (at);
      }
    else
      at = &(*at)->next;
}

static void
fleet_remove_lost (struct Fleet *fleet, size_t i)
{
  fleet->n_lost--;
  memmove (&fleet->lost[i], &fleet->lost[i + 1], (fleet->n_lost - i) * sizeof fleet->lost[0]);
}

/* Keeps a removed member's link, and records the member as lost unless it was draining: operators
 * must see a failed instance, which would otherwise just be missing from the status. */
static void
fleet_on_member_removed (struct Fleet *fleet, const struct FleetMember *member)
{
  struct FleetLost *lost;

  fleet_former_add (fleet, member);
  if (member->draining)
    return;
  if (fleet->n_lost == FLEET_LOST_MAX)
    fleet_remove_lost (fleet, 0);
  lost = &fleet->lost[fleet->n_lost++];
  snprintf (lost->instance, sizeof lost->instance, "%s", member->instance);
  lost->lost_ms = timer_now_ms (fleet->core->timers);
  log_event (LOG_LEVEL_WARNING, "member_lost", NULL,
             "replace the instance if it does not come back", "%s is no longer a member",
             member->instance);
}

/* Removes the lost members that have rejoined or were lost more than LOST_STATUS_MS ago. */
static void
fleet_prune_lost (struct Fleet *fleet)
{
  int64_t now_ms = timer_now_ms (fleet->core->timers);

  for (size_t i = fleet->n_lost; i-- > 0;)
    if (now_ms - fleet->lost[i].lost_ms > LOST_STATUS_MS
        || fleet_member_by_instance (fleet, fleet->lost[i].instance) != NULL)
      fleet_remove_lost (fleet, i);
}

size_t
fleet_lost (const struct Fleet *fleet, const struct FleetLost **lost)
{
  *lost = fleet->lost;
  return fleet->n_lost;
}

void
fleet_set_members (struct Fleet *fleet, const struct FleetMember *members, size_t n_members)
{
  struct FleetMember *old_members = fleet->members;
  size_t n_old_members = fleet->n_members;
  struct FleetMember *copy = talloc_array (fleet, struct FleetMember, n_members);

  if (copy == NULL)
    return;
  if (n_members > 0)
    memcpy (copy, members, n_members * sizeof *members);
  for (size_t i = 0; i < n_members; i++)
    fleet_copy_heartbeat_state (fleet, &copy[i]);
  fleet->members = copy;
  fleet->n_members = n_members;
  for (size_t i = 0; i < n_old_members; i++)
    if (fleet_member_by_instance (fleet, old_members[i].instance) == NULL)
      fleet_on_member_removed (fleet, &old_members[i]);
  for (size_t i = 0; i < n_members; i++)
    {
      struct FleetFormerMember **former = fleet_former_at (fleet, copy[i].instance);

      if (*former != NULL)
        fleet_former_remove (former);
      peer_net_set_address (fleet->core->net, copy[i].instance, copy[i].peer_address);
    }
  talloc_free (old_members);
  fleet_prune_lost (fleet);
  fleet_update_homes (fleet);
  fleet_publish (fleet);
}

static struct FleetBackend *
fleet_backend_by_name (const struct Fleet *fleet, const char *name)
{
  for (size_t i = 0; i < fleet->n_backends; i++)
    if (strcmp (fleet->backends[i].setting.name, name) == 0)
      return &fleet->backends[i];
  return NULL;
}

const struct FleetBackend *
fleet_backend (const struct Fleet *fleet, const char *name)
{
  return fleet_backend_by_name (fleet, name);
}

static void
fleet_store_digests (struct Fleet *fleet, const struct PeerHeartbeat *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_digests; i++)
    {
      struct FleetBackend *backend = fleet_backend_by_name (fleet, heartbeat->digests[i].name);

      if (backend == NULL)
        continue;
      backend->digest = heartbeat->digests[i];
      backend->digest_ms = timer_now_ms (fleet->core->timers);
    }
}

void
fleet_on_heartbeat (struct Fleet *fleet, const struct PeerHeartbeat *heartbeat)
{
  struct FleetMember *member = fleet_member_by_instance (fleet, heartbeat->instance);
  bool was_suspected;

  if (member == NULL)
    {
      struct FleetFormerMember *former = *fleet_former_at (fleet, heartbeat->instance);

      if (former != NULL)
        former->received_ms = timer_now_ms (fleet->core->timers);
      return;
    }
  was_suspected = member->suspected;
  member->received_ms = timer_now_ms (fleet->core->timers);
  member->suspected = false;
  member->heartbeat = *heartbeat;
  member->heartbeat.digests = NULL;
  member->heartbeat.n_digests = 0;
  fleet_store_digests (fleet, heartbeat);
  if (was_suspected)
    fleet_publish (fleet);
}

/* Connections to an exited process are refused at once by its operating system; those to one that
 * is disconnected, paused or slow are not. The programs of a member that refuses connections are
 * therefore taken over without waiting for its lease. If it is running after all, the seal fences
 * it like any other that is suspected too early, and it rejoins. */
void
fleet_on_refused (struct Fleet *fleet, const char *instance, uint32_t n)
{
  struct FleetMember *member = fleet_member_by_instance (fleet, instance);
  bool exited = n >= REFUSALS_FOR_EXITED;

  if (member == NULL || member->exited == exited)
    return;
  member->exited = exited;
  member->suspected = exited;
  log_event (exited ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE, exited ? "member_gone" : "member_back",
             NULL, exited ? "replace the instance if it does not come back" : NULL, "%s", instance);
  fleet_update_homes (fleet);
  fleet_publish (fleet);
}

void
fleet_own_heartbeat (struct Fleet *fleet, TALLOC_CTX *ctx, struct PeerHeartbeat *heartbeat)
{
  struct Core *core = fleet->core;

  memset (heartbeat, 0, sizeof *heartbeat);
  snprintf (heartbeat->instance, sizeof heartbeat->instance, "%s", core->settings->instance);
  heartbeat->config_revision = config_log_revision (core->config);
  heartbeat->draining = core->draining;
  heartbeat->platform_up = core->platform_up;
  heartbeat->has_disk = spooler_has_disk (core->spooler);
  home_count (core->home, &heartbeat->partitions, &heartbeat->programs);
  owner_count (core->owner, &heartbeat->waiting, &heartbeat->in_flight);
  heartbeat->outcomes = core->outcomes;
  heartbeat->digests = owner_digests (core->owner, ctx, &heartbeat->n_digests);
}

void
fleet_broadcast (struct Fleet *fleet, const struct PeerMessage *message)
{
  struct PeerNet *net = fleet->core->net;

  for (size_t i = 0; i < fleet->n_members; i++)
    {
      uint64_t link = peer_net_link_to (net, fleet->members[i].instance);

      if (link != PEER_LINK_NONE && link != PEER_LINK_SELF)
        peer_net_send (net, link, message);
    }
}

/* A paused instance keeps its connections open: only its missing heartbeats show the pause. */
static void
fleet_suspect_silent (struct Fleet *fleet)
{
  int64_t now_ms = timer_now_ms (fleet->core->timers);
  bool changed = false;

  for (size_t i = 0; i < fleet->n_members; i++)
    {
      struct FleetMember *member = &fleet->members[i];

      if (member->suspected || now_ms - member->received_ms < HEARTBEAT_TIMEOUT_MS
          || strcmp (member->instance, fleet->core->settings->instance) == 0)
        continue;
      member->suspected = true;
      changed = true;
      log_event (LOG_LEVEL_WARNING, "member_suspected", NULL,
                 "check whether the instance is running", "%s was silent for %d ms",
                 member->instance, HEARTBEAT_TIMEOUT_MS);
      peer_net_reset_link (fleet->core->net, member->instance);
    }
  fleet_drop_silent_former (fleet, now_ms);
  if (changed)
    fleet_publish (fleet);
}

static void
fleet_on_tick (void *data)
{
  struct Fleet *fleet = data;
  struct PeerMessage message = { .kind = PEER_HEARTBEAT };
  TALLOC_CTX *ctx = talloc_new (fleet);

  fleet_own_heartbeat (fleet, ctx, &message.heartbeat);
  fleet_store_digests (fleet, &message.heartbeat);
  fleet_broadcast (fleet, &message);
  fleet_suspect_silent (fleet);
  fleet_prune_lost (fleet);
  gauge_set (GAUGE_PARTITIONS_OWNED, message.heartbeat.partitions);
  gauge_set (GAUGE_PROGRAMS, message.heartbeat.programs);
  gauge_set (GAUGE_DRAINING, message.heartbeat.draining);
  gauge_set (GAUGE_PLATFORM_UP, message.heartbeat.platform_up);
  gauge_set (GAUGE_CONFIG_REVISION, message.heartbeat.config_revision);
  talloc_free (ctx);
}

static void
fleet_put_backend (struct Fleet *fleet, const struct BackendSetting *setting, bool live)
{
  struct FleetBackend *backend = fleet_backend_by_name (fleet, setting->name);

  if (backend == NULL)
    {
      fleet->backends =
          talloc_realloc (fleet, fleet->backends, struct FleetBackend, fleet->n_backends + 1);
      backend = &fleet->backends[fleet->n_backends++];
      memset (backend, 0, sizeof *backend);
    }
  backend->setting = *setting;
  backend->live = live;
}

void
fleet_set_backends (struct Fleet *fleet,
                    const struct BackendSetting *listed,
                    const bool *leaving,
                    size_t n_listed)
{
  const struct Settings *settings = fleet->core->settings;

  /* A server that is no longer listed gets no new calls but stays in the array: memory may have to
   * be released on it, and responses may still arrive. */
  for (size_t i = 0; i < fleet->n_backends; i++)
    fleet->backends[i].live = false;
  for (size_t i = 0; i < settings->n_backends; i++)
    fleet_put_backend (fleet, &settings->backends[i], true);
  for (size_t i = 0; i < n_listed; i++)
    fleet_put_backend (fleet, &listed[i], !leaving[i]);
  owner_on_backends_changed (fleet->core->owner);
}

/* Draining and suspected members own no backend servers. Members in the server's availability zone
 * are preferred. */
const char *
fleet_owner (const struct Fleet *fleet, const struct FleetBackend *backend)
{
  const struct FleetMember *best = NULL;
  bool best_same_zone = false;
  uint64_t best_score = 0;

  for (size_t i = 0; i < fleet->n_members; i++)
    {
      const struct FleetMember *member = &fleet->members[i];
      bool same_zone = strcmp (member->zone, backend->setting.zone) == 0;
      uint64_t score = rendezvous_score (backend->setting.name, member->instance);

      if (member->draining || member->suspected)
        continue;
      if (best != NULL
          && (best_same_zone > same_zone || (best_same_zone == same_zone && best_score >= score)))
        continue;
      best = member;
      best_same_zone = same_zone;
      best_score = score;
    }
  return best != NULL ? best->instance : NULL;
}

bool
fleet_owns (const struct Fleet *fleet, const struct FleetBackend *backend)
{
  const char *owner = fleet_owner (fleet, backend);

  return owner != NULL && strcmp (owner, fleet->core->settings->instance) == 0;
}

struct PolicyServer *
fleet_servers (const struct Fleet *fleet,
               TALLOC_CTX *ctx,
               enum CallTarget kind,
               const char *target,
               size_t *n_servers)
{
  struct PolicyServer *servers = talloc_zero_array (ctx, struct PolicyServer, fleet->n_backends);

  *n_servers = 0;
  for (size_t i = 0; servers != NULL && i < fleet->n_backends; i++)
    {
      const struct FleetBackend *backend = &fleet->backends[i];
      struct PolicyServer *server = &servers[*n_servers];

      if (backend->setting.kind != kind || strcmp (backend->setting.target, target) != 0)
        continue;
      *server = backend->digest;
      snprintf (server->name, sizeof server->name, "%s", backend->setting.name);
      server->usable = backend->live && fleet_owner (fleet, backend) != NULL
                       && (backend->digest_ms == 0 || backend->digest.usable);
      server->same_zone = strcmp (backend->setting.zone, fleet->core->settings->zone) == 0;
      (*n_servers)++;
    }
  return servers;
}

static const struct Profile profile_built_in = {
  .name = "built-in",
  .weights = { .rule = POLICY_PROGRAM,
               .cache_weight_permille = 300,
               .ageing_ms = 30000,
               .share = 100,
               .queue_limit = 1000,
               .retry_budget_permille = 100,
               .pause_keep_ms = 30000 },
  .program_budget_tokens = 1000000,
  .turn_limit = 200,
  .program_deadline_s = 0,
  .call_timeout_ms = 120000,
  .reserve_tokens_max = 100000,
};

void
fleet_profile (const struct Fleet *fleet, const char *service, struct Profile *profile)
{
  const struct ConfigState *state = fleet->core->state;
  const char *name = NULL;

  *profile = profile_built_in;
  for (size_t i = 0; state != NULL && i < state->n_services; i++)
    if (strcmp (state->services[i].name, service) == 0)
      name = state->services[i].profile;
  for (size_t i = 0; name != NULL && i < state->n_profiles; i++)
    if (strcmp (state->profiles[i].profile.name, name) == 0)
      *profile = state->profiles[i].profile;
}

void
fleet_weights (const struct Fleet *fleet, const char *service, struct PolicyWeights *weights)
{
  struct Profile profile;

  fleet_profile (fleet, service, &profile);
  *weights = profile.weights;
}

static int32_t
fleet_home_index (const struct Fleet *fleet, uint32_t partition)
{
  const char *home = home_lookup (fleet->core->home, partition);

  for (size_t i = 0; home != NULL && i < fleet->n_members; i++)
    if (strcmp (fleet->members[i].incarnation, home) == 0)
      return (int32_t)i;
  return -1;
}

void
fleet_publish (struct Fleet *fleet)
{
  struct Snapshot *snapshot = talloc_zero (NULL, struct Snapshot);

  if (snapshot == NULL)
    return;
  snapshot->n_members = fleet->n_members;
  snapshot->members = talloc_zero_array (snapshot, struct SnapshotMember, fleet->n_members);
  snapshot->n_partitions = fleet->core->settings->n_partitions;
  snapshot->homes = talloc_array (snapshot, int32_t, snapshot->n_partitions);
  snapshot->keep_ms = ADDRESS_CACHE_MS;
  for (size_t i = 0; i < fleet->n_members; i++)
    {
      const struct FleetMember *from = &fleet->members[i];
      struct SnapshotMember *to = &snapshot->members[i];

      snprintf (to->instance, sizeof to->instance, "%s", from->instance);
      snprintf (to->zone, sizeof to->zone, "%s", from->zone);
      snprintf (to->caller_address, sizeof to->caller_address, "%s", from->caller_address);
      to->draining = from->draining;
      to->suspected = from->suspected;
    }
  for (uint32_t i = 0; i < snapshot->n_partitions; i++)
    snapshot->homes[i] = fleet_home_index (fleet, i);
  snapshot_publish (snapshot);
}

struct Fleet *
fleet_new (struct Core *core)
{
  struct Fleet *fleet = talloc_zero (core, struct Fleet);

  if (fleet == NULL)
    return NULL;
  fleet->core = core;
  for (size_t i = 0; i < core->settings->n_backends; i++)
    fleet_put_backend (fleet, &core->settings->backends[i], true);
  if (timer_subscribe (fleet, core->timers, HEARTBEAT_MS, HEARTBEAT_MS, fleet_on_tick, fleet)
      == NULL)
    TALLOC_FREE (fleet);
  return fleet;
}
