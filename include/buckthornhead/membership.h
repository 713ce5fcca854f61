/* Membership: tracks the live instances through leases in the platform's key-value service.
 *
 * Each instance holds <prefix>member/<instance> under a lease. Its incarnation is
 * "<instance>.<number>", where number is the service's revision of the write that registered it, so
 * it is unique. A member is removed only when a successful response of the service shows that its
 * key is deleted or holds another incarnation. An outage never moves ownership: while the service
 * is down the members stay as they are, and after an outage longer than the leases each member has
 * one lease period to write its key again under the same incarnation. Missing messages on peer
 * links are not handled here; the routing code uses them as a hint.
 *
 * Membership decides when an instance is suspected to have failed, not which instance owns a
 * partition: an instance that was paused past its lease continues to use its old incarnation until
 * it detects the lapse, and the seal in its journal fences it. */
#pragma once

#include <buckthornhead/kv.h>
#include <buckthornhead/partition.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/timer.h>

struct Membership;

struct Member
{
  char instance[NAME_MAX_BYTES + 1];
  char incarnation[INCARNATION_MAX_BYTES + 1];
  char zone[NAME_MAX_BYTES + 1];
  char caller_address[ADDRESS_MAX_BYTES + 1];
  char peer_address[ADDRESS_MAX_BYTES + 1];
  bool draining;
};

struct MembershipOptions
{
  const char *prefix;
  const char *instance;
  const char *zone;
  const char *caller_address;
  const char *peer_address;
  uint32_t lease_ttl_s;
  uint32_t poll_ms; /* between reads while there is no watch; jittered */
  uint64_t seed;    /* of the jitter; must differ between instances */
  /* This instance registered under incarnation: its first, or a new one after the previous lease
   * lapsed while the instance was paused, after its key was lost, or after membership_rejoin. The
   * previous incarnation must not be used any more. */
  void (*incarnation_changed) (void *data, const char *incarnation);
  /* Reports the live members, including this one, sorted by instance. */
  void (*members_changed) (void *data, const struct Member *members, size_t n_members);
  /* The service became available or unavailable; assumed unavailable at first. May be NULL. */
  void (*platform_changed) (void *data, bool up);
  void *data;
};

struct Membership *
membership_new (TALLOC_CTX *ctx,
                struct KvPort *kv,
                struct TimerService *timers,
                const struct MembershipOptions *options);

/* Returns "" until the instance is registered, and between the loss of one incarnation and the
 * registration of the next. */
const char *
membership_incarnation (const struct Membership *membership);

/* Drops the current incarnation, whose journal was sealed, and registers under a new one. */
void
membership_rejoin (struct Membership *membership);

/* Publishes whether this instance is being drained. */
void
membership_set_draining (struct Membership *membership, bool draining);

/* Removes this instance from the members, for a planned stop. Calls done once the service has
 * replied, or after one lease period without a reply, when the lapse has removed it anyway. */
void
membership_leave (struct Membership *membership, void (*done) (void *data), void *data);
