/* Limits by leases: requests tokens from the owners of customers, and grants them as an owner.
 *
 * A request waits for the owner's response without blocking others. The owner takes the token of a
 * request that has to wait at once and reports when it may be used, so that no owner
 * remembers who waits and no wait is lost with an owner. Each request for tokens that is not
 * answered goes to the next gateway by hash, which grants if it considers the first one dead. */
#pragma once

#include "front.h"

struct QuotaExchange;

/* Returns NULL when out of memory. */
struct QuotaExchange *
quota_exchange_new (TALLOC_CTX *ctx, struct Front *front, const struct QuotaRules *rules);

/* Applies a new configuration. */
void
quota_exchange_configure (struct QuotaExchange *exchange);

/* Returns true while no owner can be known: a gateway that has just started and knows no other one,
 * or that was suspended and has received nothing since. */
bool
quota_exchange_must_wait (struct QuotaExchange *exchange);

/* Asks for a token for the request. Returns true if it may pass now. Otherwise it waits, and is
 * dispatched again (front_dispatch) once it is admitted; or it was rejected and freed. */
bool
quota_exchange_admit (struct QuotaExchange *exchange,
                      struct Request *request,
                      enum QuotaRequestKind kind);

/* Returns the token of a request that ran on no server. */
void
quota_exchange_refund (struct QuotaExchange *exchange, const char *customer);

/* Returns the owners and the buckets of all customers as JSON, allocated on ctx; NULL when out of
 * memory. */
char *
quota_exchange_render (struct QuotaExchange *exchange, TALLOC_CTX *ctx);

/* Handles GATEWAY_QUOTA_REQUEST, GATEWAY_QUOTA_GRANT and GATEWAY_QUOTA_RETURN. */
void
quota_exchange_on_message (struct QuotaExchange *exchange,
                           uint64_t link,
                           const char *sender,
                           const struct GatewayMessage *message);
