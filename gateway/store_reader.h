/* Reads the platform's store for this process and its peers. */
#pragma once

#include "node.h"

/* Starts reading, and registers this process in the store where needed. NULL without memory. */
struct StoreReader *
store_reader_new (struct Node *node);

/* Takes a snapshot that a peer read from the store or forwards. Returns whether it replaced the
 * held one. */
bool
store_reader_receive_snapshot (struct StoreReader *reader,
                               uint64_t link,
                               const struct Snapshot *snapshot);

/* Records that a seed has sent a few processes, from which the state is then expected. */
void
store_reader_mark_contacts_received (struct StoreReader *reader);

/* Returns whether processes are known, from the store or from a seed. */
bool
store_reader_has_nodes (const struct StoreReader *reader);

/* Fills marks with the held state for heartbeats. Returns their number. */
size_t
store_reader_marks (const struct StoreReader *reader, struct StateMark marks[STATE_MARKS_MAX]);

/* Handles a peer's mark: requests the whole snapshot over link if it is newer than the held one. */
void
store_reader_receive_mark (struct StoreReader *reader, uint64_t link, const struct StateMark *mark);

/* Sends the whole held snapshot of kind to a peer that could not apply changes from link. */
void
store_reader_send_whole (struct StoreReader *reader, uint64_t link, enum SnapshotKind kind);

/* Returns the held snapshot of kind packed as a message with its age, and sets *content to its
 * content. NULL if none is held, if its content is *content already, or without memory. Belongs to
 * ctx. */
uint8_t *
store_reader_pack (struct StoreReader *reader,
                   TALLOC_CTX *ctx,
                   enum SnapshotKind kind,
                   uint64_t *content,
                   size_t *n_bytes);
