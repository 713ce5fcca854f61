/* Reads the platform's store for this process and its peers. */
#pragma once

#include "node.h"

/* Registers this process in the store and begins to read. */
struct StoreReader *
store_reader_new (struct Node *node);

/* A peer read the store, or passes on what another one read. True when it is news here. */
bool
store_reader_take_from_peer (struct StoreReader *reader,
                             uint64_t link,
                             const struct Snapshot *snapshot);

/* A seed has named processes: the rest is expected from them. */
void
store_reader_note_contacts (struct StoreReader *reader);

/* The list of processes was read, here or by a peer: how many there should be is known. */
bool
store_reader_knows_nodes (const struct StoreReader *reader);

/* What is held, for heartbeats. Returns how many marks there are. */
size_t
store_reader_marks (const struct StoreReader *reader, struct StateMark marks[STATE_MARKS_MAX]);

/* A peer holds this, and is asked for it over link if it is newer than what is held here. */
void
store_reader_take_mark (struct StoreReader *reader, uint64_t link, const struct StateMark *mark);

/* A peer could not use the changes that it got over link: it gets all that is held of kind. */
void
store_reader_answer_whole (struct StoreReader *reader, uint64_t link, enum SnapshotKind kind);

/* What is held of kind, packed as a message whose age is filled in; NULL when there is nothing, or
 * nothing other than *content, which is moved on. Belongs to ctx. */
uint8_t *
store_reader_pack (struct StoreReader *reader,
                   TALLOC_CTX *ctx,
                   enum SnapshotKind kind,
                   uint64_t *content,
                   size_t *n_bytes);
