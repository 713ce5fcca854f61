/* Leases of customers' tokens that a gateway holds, and how many tokens it asks for.
 *
 * A gateway that receives several requests of a customer within the validity of a lease asks the
 * owner for as many tokens, so that not every request waits for the owner. Tokens that are left at
 * the end of a lease count as spent. Does no I/O; times are in milliseconds of any monotonic clock.
 */
#pragma once

#include <buckthornhead/customers/quota_owner.h>

struct QuotaLeases;

/* Returns NULL when out of memory. */
struct QuotaLeases *
quota_leases_new (TALLOC_CTX *ctx);

/* Drops all leases, as their limits may have changed. */
void
quota_leases_clear (struct QuotaLeases *leases);

/* Counts a request of the customer, and takes a token of a valid lease. Returns false when there is
 * none. */
bool
quota_leases_take (struct QuotaLeases *leases,
                   const char *customer,
                   enum QuotaRequestKind kind,
                   int64_t now_ms);

/* Returns the number of tokens to ask for: the requests of this kind in the last
 * QUOTA_LEASE_VALID_MS, from 1 to QUOTA_LEASE_TOKENS_MAX. */
uint32_t
quota_leases_wanted (struct QuotaLeases *leases,
                     const char *customer,
                     enum QuotaRequestKind kind,
                     int64_t now_ms);

/* Adds tokens that may be used until until_ms; those of an earlier lease expire no later. */
void
quota_leases_add (struct QuotaLeases *leases,
                  const char *customer,
                  enum QuotaRequestKind kind,
                  uint32_t n_tokens,
                  int64_t until_ms);

/* Notes a rejection. Returns true if it is the customer's first for at least window_ms. */
bool
quota_leases_note_rejected (struct QuotaLeases *leases,
                            const char *customer,
                            uint32_t window_ms,
                            int64_t now_ms);
