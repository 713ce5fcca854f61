/* The fleet as this instance sees it: members, their loads, backend servers and who owns each. */
#pragma once

#include "core.h"

struct FleetBackend
{
  struct BackendSetting setting;
  bool live;                  /* listed and not leaving */
  struct PolicyServer digest; /* its owner's last, or this instance's own */
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
  bool suspected; /* silent over its link: a hint for routing only */
  bool gone;      /* its machine refuses connections: its process has ended */
  int64_t received_ms;
  struct PeerHeartbeat heartbeat; /* the last one; digests are not kept */
};

/* A member that went without having been drained: dead, or cut off from the platform. */
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

/* The members, as a successful read of the platform's service shows them. */
void
fleet_set_members (struct Fleet *fleet, const struct FleetMember *members, size_t n_members);
size_t
fleet_members (const struct Fleet *fleet, const struct FleetMember **members);
/* Those lost in the last hour that have not come back. */
size_t
fleet_lost (const struct Fleet *fleet, const struct FleetLost **lost);
const struct FleetMember *
fleet_member_of (const struct Fleet *fleet, const char *incarnation);

void
fleet_on_heartbeat (struct Fleet *fleet, const struct PeerHeartbeat *heartbeat);
/* n attempts in a row to reach instance were refused; 0: it is back. */
void
fleet_on_refused (struct Fleet *fleet, const char *instance, uint32_t n);
/* This instance's own, as it goes to the others; digests belong to ctx. */
void
fleet_own_heartbeat (struct Fleet *fleet, TALLOC_CTX *ctx, struct PeerHeartbeat *heartbeat);

/* Tells all connected members. */
void
fleet_broadcast (struct Fleet *fleet, const struct PeerMessage *message);

/* The platform's lagging list: replaces all that settings do not list. */
void
fleet_set_backends (struct Fleet *fleet,
                    const struct BackendSetting *listed,
                    const bool *leaving,
                    size_t n_listed);
const struct FleetBackend *
fleet_backend (const struct Fleet *fleet, const char *name);
size_t
fleet_backends (const struct Fleet *fleet, const struct FleetBackend **backends);

/* Whether this instance owns backend; and the name of the instance that does, or NULL. */
bool
fleet_owns (const struct Fleet *fleet, const struct FleetBackend *backend);
const char *
fleet_owner (const struct Fleet *fleet, const struct FleetBackend *backend);

/* Backend servers that serve target, as placement wants them; belongs to ctx. */
struct PolicyServer *
fleet_servers (const struct Fleet *fleet,
               TALLOC_CTX *ctx,
               enum CallTarget kind,
               const char *target,
               size_t *n_servers);

/* The profile that service runs under; the built-in one when none is set. */
void
fleet_profile (const struct Fleet *fleet, const char *service, struct Profile *profile);
void
fleet_weights (const struct Fleet *fleet, const char *service, struct PolicyWeights *weights);

/* Builds and publishes the snapshot that the HTTP threads read. */
void
fleet_publish (struct Fleet *fleet);
