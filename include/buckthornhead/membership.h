/* Membership: which instances are live, by leases in the platform's key-value service.
 *
 * Each instance holds <prefix>member/<instance> under a lease. Its incarnation is
 * "<instance>.<number>", the number being the service's revision of the write that registered it:
 * no two registrations ever have the same. A member goes only when a successful answer of the
 * service shows that its key is gone or holds another incarnation. No outage moves ownership: while
 * the service is down the last members stay, and after an outage that outlasted the leases each
 * has the time of one lease to take its key back, under the incarnation it had. Silence over the
 * peer links is no business of this module: it is a hint for routing, kept by whoever routes.
 *
 * Membership says when to suspect, never who owns: an instance that was paused past its lease
 * believes in its old incarnation until it hears of the lapse, and the journal's seal fences it. */
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
  uint64_t seed;    /* of the jitter: another one at each instance */
  /* Registered under this incarnation: the first, or a new one after the former's lease lapsed
   * while this instance was paused, its key was lost or membership_rejoin. The former must not be
   * used any more. */
  void (*incarnation_changed) (void *data, const char *incarnation);
  /* The live members, this one among them, in order of instance. */
  void (*members_changed) (void *data, const struct Member *members, size_t n_members);
  /* The service serves, or does not; at first it counts as not serving. May be NULL. */
  void (*platform_changed) (void *data, bool up);
  void *data;
};

struct Membership *
membership_new (TALLOC_CTX *ctx,
                struct KvPort *kv,
                struct TimerService *timers,
                const struct MembershipOptions *options);

/* "" until registered, and from the loss of one incarnation to the next. */
const char *
membership_incarnation (const struct Membership *membership);

/* Gives the present incarnation up, as its journal was sealed, and takes a new one. */
void
membership_rejoin (struct Membership *membership);

/* Tells the others that this instance is being drained, or no longer. */
void
membership_set_draining (struct Membership *membership, bool draining);

/* Planned stop: takes this instance out of the members. done comes once the service has answered
 * or has not for as long as the lease lasts: the lapse does the same. */
void
membership_leave (struct Membership *membership, void (*done) (void *data), void *data);
