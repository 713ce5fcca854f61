/* One instance's own key among the members: its lease, its incarnation and what it says.
 *
 * A lease that lapsed while this instance was paused, or that was taken away, costs the
 * incarnation. One that lapsed because the service did not serve does not: all leases lapse in a
 * long outage, and giving every incarnation up would move every program at its end. That is safe,
 * since no lease protects anything: if the journal was sealed after all, the next append finds the
 * seal, and the incarnation is given up then. */
#pragma once

#include "member_entry.h"

struct Registration;

struct RegistrationOptions
{
  const char *key;
  uint32_t lease_ttl_s;
  uint64_t seed;
  void (*registered) (void *data);            /* under a new incarnation */
  void (*lost) (void *data);                  /* the incarnation is gone; another will follow */
  void (*reached) (void *data, bool reached); /* after each answer: whether the service serves */
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

/* What an answer of the service, which knows all up to revision, shows under the own key: a
 * member, or NULL for none. */
void
registration_seen (struct Registration *registration,
                   const struct Member *present,
                   int64_t revision);
