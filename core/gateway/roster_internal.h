/* What the two files of the roster share: roster.c knows who lives and who aggregates,
 * roster_publish.c draws up what an aggregator passes on. */
#pragma once

#include <buckthornhead/roster.h>

/* Its machine refused a connection just now. */
bool
peer_is_refused (const struct Peer *peer, int64_t now_ms);

/* A live source of that kind lists it. */
bool
peer_is_listed (const struct Roster *roster,
                const struct Peer *peer,
                enum SnapshotKind kind,
                int64_t now_ms);
