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
/* True when a suspected server should get one call to find out whether it has come back. */
bool
server_health_probe_due (struct ServerHealth *health, int64_t now_ms);
