/* The speed of the backend servers, as far as the setting [decisions] pace is active: samples of
 * this gateway's requests, the means of the servers that it owns, and the means that other owners
 * send. core/scheduling/server_pace.c computes the ratios.
 *
 * A sample is sent to the owner that granted the request's slot. Without one, it counts for this
 * gateway alone. */
#pragma once

#include "front.h"

/* Returns NULL when out of memory. */
struct PaceTable *
paces_new (struct Front *front);

/* This gateway's requests. */

/* Sets whether the servers' speed affects the choice of the request's server. */
void
paces_fill_query (struct Request *request, struct ReplicaQuery *query);

/* Called when an attempt has been sent. */
void
paces_begin_attempt (struct Request *request);

/* Records the work time that the server reported with the head of its response. */
void
paces_record_report (struct Request *request);

/* Measures an attempt that has ended, before its server is released. */
void
paces_end_attempt (struct Request *request);

/* Adds the attempt's sample to the message that ends its slot. */
void
paces_fill_done (const struct Request *request, struct SlotDoneMessage *done);

/* As an owner. */

void
paces_on_done (struct PaceTable *table, const struct SlotDoneMessage *done);

/* Discards the means of a server that has restarted. */
void
paces_server_restarted (struct PaceTable *table, const char *server);

/* Sends the means of the servers that this gateway owns, and applies them here. */
void
paces_send (struct PaceTable *table, enum PeerChoice to);

/* As a receiver. */

void
paces_on_rows (struct PaceTable *table, const struct PaceRow *rows, size_t n_rows);

/* Updates the ratios and logs servers that became slow, fast or usual; called every few hundred
 * milliseconds. */
void
paces_update (struct PaceTable *table);

/* Returns the servers with their load and speed as JSON, allocated on ctx; NULL when out of memory.
 */
char *
paces_render (const struct PaceTable *table, TALLOC_CTX *ctx);
