/* Requests that crash servers (core/scheduling/quarantine.c), as known to a gateway or archive and
 * shared with the others.
 *
 * A gateway sends what it learns to all gateways, directly or through the aggregators of their
 * zones, and quarantined requests also to the archives, which report them to gateways that start. A
 * lost report is made up for by a periodic one to a random gateway. */
#pragma once

#include "node.h"

#include <buckthornhead/scheduling/quarantine.h>

enum
{
  SUSPECTS_START_MS = 500 /* after the start, in which other processes are asked */
};

struct Suspects;

/* NULL without memory. */
struct Suspects *
suspects_new (TALLOC_CTX *ctx, struct Node *node);

struct Quarantine *
suspects_quarantine (struct Suspects *suspects);

/* Logs the crashes of a request that has just been quarantined. */
void
suspects_log_quarantined (const struct Suspects *suspects, const uint8_t digest[DIGEST_BYTES]);

/* Sends what has changed in the quarantine: at once if digest is quarantined, otherwise after a
 * moment in which most requests of a crashed server have had their response from another one.
 * digest NULL: no certain request. */
void
suspects_spread (struct Suspects *suspects, const uint8_t digest[DIGEST_BYTES]);

/* Returns whether the process knows what was quarantined before it started: it has loaded it from
 * its disk, another process that knows has replied, or none has for
 * SUSPECTS_START_MS. */
bool
suspects_are_informed (const struct Suspects *suspects);
void
suspects_set_informed (struct Suspects *suspects);

/* Returns all quarantined requests, packed as a message with their ages, if they have changed since
 * *version, and updates it. NULL if they have not, or without memory. Belongs to ctx. */
uint8_t *
suspects_pack_quarantined (struct Suspects *suspects,
                           TALLOC_CTX *ctx,
                           uint64_t *version,
                           size_t *n_bytes);

/* Adds what suspects_pack_quarantined packed age_ms ago. */
void
suspects_on_saved (struct Suspects *suspects, struct SuspectReport *report, uint32_t age_ms);

/* Handles a report of another process. */
void
suspects_on_report (struct Suspects *suspects, uint64_t link, const struct SuspectReport *report);

/* Returns the JSON of GET /quarantine on the metrics address, allocated on ctx; NULL without
 * memory. */
char *
suspects_render (struct Suspects *suspects, TALLOC_CTX *ctx);

/* Ends the quarantine of the request whose digest has this name, as an operator asks for. Returns
 * ERROR_NOT_FOUND if none has. */
int32_t
suspects_release (struct Suspects *suspects, const char *name);
