/* Tracks which backend servers have the sessions of one program in their caches, as reported when
 * its turns end.
 *
 * Saves prompt tokens from being read twice. A session's next turn may arrive at any gateway, and
 * where turns are not kept, nothing else records which server ran the previous one. Without this
 * table, 4,606 of 8,668 later turns in one of the deployments were sent to another server than the
 * turn before, and 15 of 33 million prompt tokens read had been read before. Does no I/O. */
#pragma once

#include <buckthornhead/turn.h>

/* Zero-initialised, it is empty. */
struct SessionPlaces
{
  struct SessionPlace *items; /* talloc array, least recently updated first */
  size_t n;
};

/* Records that a turn of session ended at server; tokens is the length of the session's part of its
 * prompt. Returns ERROR_NO_MEMORY on failure. */
int32_t
session_places_record (TALLOC_CTX *ctx,
                       struct SessionPlaces *places,
                       uint64_t session,
                       uint32_t tokens,
                       const char *server);

/* Returns the place of the first of sessions that is recorded; its .session is 0 when none is. */
struct SessionPlace
session_places_find (const struct SessionPlaces *places,
                     const uint64_t sessions[TURN_SESSIONS_MAX]);

/* Merges the responses of two archives to one query: prefers the session that comes first in
 * sessions, and for the same session the place with more tokens. */
struct SessionPlace
session_place_merge (const struct SessionPlace *a,
                     const struct SessionPlace *b,
                     const uint64_t sessions[TURN_SESSIONS_MAX]);
