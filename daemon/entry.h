/* Entry: takes callers' requests to the homes of their programs and the answers back.
 *
 * A request whose home moves, dies or is not there yet is sent again from here for a while: the
 * home knows each call by program, branch and sequence number, so that sending it again never runs
 * it twice. A stream that was cut goes on where it stopped when the new answer begins with the same
 * bytes. After that time the caller hears at once what is known, and when to come back. */
#pragma once

#include "core.h"

struct Entry *
entry_new (struct Core *core);

/* Takes over the core's reference to exchange, whose request is complete. */
void
entry_on_exchange (struct Entry *entry, struct Exchange *exchange);
/* The connection closed; lets go of the HTTP side's reference. */
void
entry_on_gone (struct Entry *entry, struct Exchange *exchange);
/* False when the id is none of this entry's. */
bool
entry_on_chunk (struct Entry *entry, uint64_t link, const struct PeerChunk *chunk);
bool
entry_on_answer (struct Entry *entry, uint64_t link, const struct PeerAnswer *answer);
void
entry_on_link_closed (struct Entry *entry, uint64_t link);

/* Requests under way. */
uint32_t
entry_count (const struct Entry *entry);
