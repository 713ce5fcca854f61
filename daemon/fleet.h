/* The fleet as this instance sees it: members, their loads, backend servers and their owners. */
#pragma once

#include "core.h"

struct FleetBackend
{
  struct BackendSetting setting;
  bool live;                  /* listed and not leaving */
  struct PolicyServer digest; /* the last from its owner, or this instance's own */
  int64_t digest_ms;
};

struct FleetMember
{
  char instance[NAME_MAX_BYTES + 1];
  char incarnation[INCARNATION_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  char caller_address[ADDRESS_MAX_BYTES + 1];
  char peer_address[ADDRESS_MAX_BYTES + 1];
  bool draining;
  bool suspected; /* no recent heartbeats: used for routing only */
  bool exited;    /* refuses connections: its process has exited */
  int64_t received_ms;
  struct PeerHeartbeat heartbeat; /* the last one, without its digests */
};

/* A member that left without a drain: it failed, or lost its connection to the platform. */
struct FleetLost
{
  char instance[NAME_MAX_BYTES + 1];
  int64_t lost_ms;
};

enum
{
  FLEET_LOST_MAX = 32
};

struct Fleet *
fleet_new (struct Core *core);

/* Replaces the members by the result of a successful read of the platform's service. */
void
fleet_set_members (struct Fleet *fleet, const struct FleetMember *members, size_t n_members);
size_t
fleet_members (const struct Fleet *fleet, const struct FleetMember **members);
/* Returns the members lost within the last hour that have not rejoined. */
size_t
fleet_lost (const struct Fleet *fleet, const struct FleetLost **lost);
const struct FleetMember *
fleet_member_by_incarnation (const struct Fleet *fleet, const char *incarnation);

void
fleet_on_heartbeat (struct Fleet *fleet, const struct PeerHeartbeat *heartbeat);
/* Records that n consecutive connections to instance were refused; 0: it is reachable again. */
void
fleet_on_refused (struct Fleet *fleet, const char *instance, uint32_t n);
/* Fills in this instance's heartbeat, as sent to the others, with digests allocated in ctx. */
void
fleet_own_heartbeat (struct Fleet *fleet, TALLOC_CTX *ctx, struct PeerHeartbeat *heartbeat);

/* Sends message to all connected members. */
void
fleet_broadcast (struct Fleet *fleet, const struct PeerMessage *message);

/* Replaces all backend servers but those of the settings by the platform's list, which lags behind
 * the servers' actual state. */
void
fleet_set_backends (struct Fleet *fleet,
                    const struct BackendSetting *listed,
                    const bool *leaving,
                    size_t n_listed);
const struct FleetBackend *
fleet_backend (const struct Fleet *fleet, const char *name);
size_t
fleet_backends (const struct Fleet *fleet, const struct FleetBackend **backends);

/* Returns whether this instance owns backend. */
bool
fleet_owns (const struct Fleet *fleet, const struct FleetBackend *backend);
/* Returns the name of the instance that owns backend, or NULL. */
const char *
fleet_owner (const struct Fleet *fleet, const struct FleetBackend *backend);

/* Returns the backend servers that serve target, as input for placement, allocated in ctx. */
struct PolicyServer *
fleet_servers (const struct Fleet *fleet,
               TALLOC_CTX *ctx,
               enum CallTarget kind,
               const char *target,
               size_t *n_servers);

/* Copies the profile of service, or the built-in one when none is set, to *profile. */
void
fleet_profile (const struct Fleet *fleet, const char *service, struct Profile *profile);
void
fleet_weights (const struct Fleet *fleet, const char *service, struct PolicyWeights *weights);

/* Builds and publishes the snapshot that the HTTP threads read. */
void
fleet_publish (struct Fleet *fleet);
