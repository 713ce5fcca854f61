/* Shared by the files of the table of peers: peer_table.c keeps the peers and decides which are
 * live, peer_aggregators.c chooses the aggregators, and peer_lists.c builds the lists that an
 * aggregator sends. */
#pragma once

#include <buckthornhead/peer_table.h>

/* Returns whether the peer's instance has just refused a connection. */
bool
peer_is_refused (const struct Peer *peer, int64_t now_ms);

/* Returns whether a live source of that kind lists the peer. */
bool
peer_is_listed (const struct PeerTable *table,
                const struct Peer *peer,
                enum SnapshotKind kind,
                int64_t now_ms);

/* Returns whether the source's aggregator has sent or confirmed the list recently. */
bool
source_is_live (const struct PeerListSource *source, int64_t now_ms);

/* Returns whether name is the name of this process. */
bool
peer_table_is_own (const struct PeerTable *table, const char *name);

/* Returns when the peer was last known to run: from its own message or from a list. */
int64_t
peer_seen_ms (const struct PeerTable *table, const struct Peer *peer);
