/* What the files of the table of peers share: peer_table.c knows who lives, peer_aggregators.c who
 * aggregates, peer_lists.c draws up what an aggregator passes on. */
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

/* The aggregator that the list is from has sent something lately. */
bool
source_is_live (const struct PeerListSource *source, int64_t now_ms);

/* Whether name is this process's. */
bool
peer_table_is_own (const struct PeerTable *table, const char *name);

/* When something of the peer was known last, from itself or from a list. */
int64_t
peer_seen_ms (const struct PeerTable *table, const struct Peer *peer);
