/* Selects the owner of each customer's limit among the live gateways, by rendezvous hashing.
 *
 * The set of gateways is read from the table of peers at intervals; a customer's owner is looked up
 * again only after the set has changed. */
#pragma once

#include "front.h"

struct QuotaMembers;

/* Returns NULL when out of memory. */
struct QuotaMembers *
quota_members_new (TALLOC_CTX *ctx, struct Front *front);

/* Reads the set of gateways. Returns true if it has changed. */
bool
quota_members_refresh (struct QuotaMembers *members, int64_t now_ms);

/* The gateways that a request for tokens goes to. Names are valid until the next refresh. */
struct QuotaOwners
{
  const char *first, *second; /* NULL: none; first may be this gateway */
  bool is_own;                /* this gateway is the first */
  int64_t owned_since_ms;     /* if is_own: when a gateway with a higher score was last seen live */
};

struct QuotaOwners
quota_members_owners (struct QuotaMembers *members, const char *customer);

/* Returns the fraction of limits that this gateway may grant as an owner: the gateways that it
 * receives from, as a fraction of those that it knows. */
double
quota_members_share (const struct QuotaMembers *members);

/* Returns whether this gateway knows others, but receives from none. */
bool
quota_members_is_isolated (const struct QuotaMembers *members);

/* Returns the number of gateways that are known, including this one. */
uint32_t
quota_members_known (const struct QuotaMembers *members);

/* Drops the cached owners, as after a change of the configuration. */
void
quota_members_clear_owners (struct QuotaMembers *members);
