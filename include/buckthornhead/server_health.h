/* Suspicion of slow and dead backend servers from the owner's own counts. Load reports take no
 * part: they lag, and a frozen one looks like a healthy server. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

struct ServerHealth; /* of one backend server */

struct ServerHealth *
server_health_new (TALLOC_CTX *ctx);

void
server_health_sent (struct ServerHealth *health, int64_t now_ms);
/* A first token, a chunk, anything that came back. */
void
server_health_progress (struct ServerHealth *health, int64_t now_ms);
/* The end of a call that was sent. */
void
server_health_ended (struct ServerHealth *health, const struct Outcome *outcome, int64_t now_ms);

/* True while the server should get no ordinary work. */
bool
server_health_suspected (const struct ServerHealth *health, int64_t now_ms);
/* True when a suspected server should be asked for a load report, whose answer counts as an end
 * without error. Never a caller's call: a dead server that refuses at once looks like the one with
 * the shortest queue, and all calls of that moment would go to it and fail. */
bool
server_health_probe_due (struct ServerHealth *health, int64_t now_ms);
