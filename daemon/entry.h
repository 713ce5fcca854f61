/* Entry: forwards callers' requests to the homes of their programs and returns the responses.
 *
 * A request whose home moves, fails or is not assigned yet is sent again for a limited time. The
 * home identifies each call by program, branch and sequence number, so a repeated request never
 * runs twice. An interrupted stream continues where it stopped if the new response begins with the
 * same bytes. After that time the caller gets an error with the known state of its call and a
 * Retry-After. */
#pragma once

#include "core.h"

struct Entry *
entry_new (struct Core *core);

/* Takes over the core's reference to exchange, whose request is complete. */
void
entry_on_exchange (struct Entry *entry, struct Exchange *exchange);
/* Handles a closed caller connection: cancels the call and releases the HTTP side's reference. */
void
entry_on_disconnect (struct Entry *entry, struct Exchange *exchange);
/* Handle a part and the end of a response. Return false when no request sent over link has its id.
 */
bool
entry_on_chunk (struct Entry *entry, uint64_t link, const struct PeerChunk *chunk);
bool
entry_on_response (struct Entry *entry, uint64_t link, const struct PeerResponse *response);
void
entry_on_link_closed (struct Entry *entry, uint64_t link);

/* Returns the number of requests in progress. */
uint32_t
entry_n_calls (const struct Entry *entry);
