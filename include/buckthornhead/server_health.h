/* Detects slow and failed backend servers from the owner's own counts. Load reports are not used:
 * they lag, and a frozen report looks like a healthy server. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

struct ServerHealth; /* of one backend server */

struct ServerHealth *
server_health_new (TALLOC_CTX *ctx);

void
server_health_sent (struct ServerHealth *health, int64_t now_ms);
/* Records a first token, a chunk or any other sign of progress. */
void
server_health_progress (struct ServerHealth *health, int64_t now_ms);
/* Records the end of a call that was sent. */
void
server_health_ended (struct ServerHealth *health, const struct Outcome *outcome, int64_t now_ms);

/* Returns true while the server should receive no ordinary calls. */
bool
server_health_suspected (const struct ServerHealth *health, int64_t now_ms);
/* Returns true if a suspected server should be probed for a load report; its response counts as a
 * call that ended without error. Callers' calls are never used as probes: a failed server that
 * refuses at once appears to have the shortest queue and would attract all calls of that moment,
 * which would fail. */
bool
server_health_needs_probe (struct ServerHealth *health, int64_t now_ms);
