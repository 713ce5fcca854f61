/* Reads the platform's store for this process and its peers. */
#pragma once

#include "node.h"

/* Registers this process in the store and begins to read. */
struct StoreReader *
store_reader_new (struct Node *node);

/* Sends what is held to a peer that has an older configuration, or none. */
void
store_reader_push (struct StoreReader *reader, const char *peer);

/* This process is among the few that see to what peer knows: where there are hundreds, not all of
 * them send it the same. */
bool
store_reader_is_near (const struct StoreReader *reader, const char *peer);

/* A peer read the store. */
void
store_reader_take_from_peer (struct StoreReader *reader,
                             uint64_t link,
                             const struct Snapshot *snapshot);

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
