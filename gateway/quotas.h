/* Enforces customers' limits: checks each request against the quota ledger and exchanges usage
 * reports with the other gateways. */
#pragma once

#include "front.h"

struct Quotas *
quotas_new (struct Front *front);

/* Applies a new configuration. */
void
quotas_configure (struct Quotas *quotas);

/* Counts the request as demand, and returns true while it must wait until the usage of the fleet
 * has been reported: a program's first request at a gateway that has just started, any request at
 * one that was suspended. */
bool
quotas_must_wait (struct Request *request);

/* Counts the request against its customer's limit, once. Returns false when it exceeds the limit:
 * it was then rejected and freed. With limits shared by leases, it returns false also while the
 * request waits for the customer's owner: front_dispatch is called again once it is admitted. */
bool
quotas_admit (struct Request *request);

/* Returns the request's share of the limit when it ends without having run. */
void
quotas_refund (struct Request *request);

/* Returns the customers' usage against their limits as JSON, allocated on ctx; NULL when out of
 * memory. */
char *
quotas_render (struct Quotas *quotas, TALLOC_CTX *ctx);

/* Handles a message on tokens of limits that are shared by leases. */
void
quotas_on_message (struct Quotas *quotas,
                   uint64_t link,
                   const char *sender,
                   const struct GatewayMessage *message);

/* Handles a usage report from sender: its own usage, or the sum of several gateways. */
void
quotas_on_report (struct Quotas *quotas, const char *sender, const struct UsageReport *report);
