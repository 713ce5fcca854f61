/* Registration of this instance: its key among the members, with its lease and its incarnation.
 *
 * The incarnation is dropped when its lease lapsed while this instance was paused, or when its
 * lease or key was removed. It is kept when the lease lapsed because the service was unavailable:
 * all leases lapse in a long outage, and dropping every incarnation would move every program at its
 * end. Keeping it is safe, since no invariant depends on the lease: if the journal was sealed
 * meanwhile, the next append finds the seal, and the incarnation is dropped then. */
#pragma once

#include "member_entry.h"

struct Registration;

struct RegistrationOptions
{
  const char *key;
  uint32_t lease_ttl_s;
  uint64_t seed;
  void (*registered) (void *data); /* registered under a new incarnation */
  void (*lost) (void *data);       /* the incarnation was dropped; another follows */
  /* Called after each response with whether the service is available. */
  void (*availability) (void *data, bool available);
  void *data;
};

struct Registration *
registration_new (TALLOC_CTX *ctx,
                  struct KvPort *kv,
                  struct TimerService *timers,
                  const struct Member *self,
                  const struct RegistrationOptions *options);

const char *
registration_incarnation (const struct Registration *registration);
void
registration_set_draining (struct Registration *registration, bool draining);
void
registration_rejoin (struct Registration *registration);
void
registration_leave (struct Registration *registration, void (*done) (void *data), void *data);

/* Reports the content of the own key as of revision: a member, or NULL when there is no key. */
void
registration_observe (struct Registration *registration,
                      const struct Member *current,
                      int64_t revision);
