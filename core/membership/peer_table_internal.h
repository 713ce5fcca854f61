/* What the two files of the table of peers share: peer_table.c knows who lives and who aggregates,
 * peer_lists.c draws up what an aggregator passes on. */
#pragma once

#include <buckthornhead/peer_table.h>

/* Its machine refused a connection just now. */
bool
peer_is_refused (const struct Peer *peer, int64_t now_ms);

/* A live source of that kind lists it. */
bool
peer_is_listed (const struct PeerTable *table,
                const struct Peer *peer,
                enum SnapshotKind kind,
                int64_t now_ms);
