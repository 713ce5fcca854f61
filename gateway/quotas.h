/* Customers' limits: asks the ledger for each request, and tells the other gateways of use. */
#pragma once

#include "front.h"

struct Quotas *
quotas_new (struct Front *front);

/* The configuration has changed. */
void
quotas_configure (struct Quotas *quotas);

/* A program that begins waits until this gateway, which has just started, has heard of the fleet.
 */
bool
quotas_must_wait (struct Request *request);

/* Counts the request against its customer's limit, once. False: it is over the limit and was sent
 * back; it exists no more. */
bool
quotas_admit (struct Request *request);

/* The request ends without having run: its place in the limit is free again. */
void
quotas_refund (struct Request *request);

/* How customers stand with their limits, as JSON; belongs to ctx. NULL without memory. */
char *
quotas_render (struct Quotas *quotas, TALLOC_CTX *ctx);

/* Another gateway told of its use, or of the sum of several. */
void
quotas_on_report (struct Quotas *quotas, const char *sender, const struct UseReport *report);
