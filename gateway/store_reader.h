/* Reads the platform's store for this process and its peers. */
#pragma once

#include "node.h"

/* Registers this process in the store and begins to read. */
struct StoreReader *
store_reader_new (struct Node *node);

/* Sends what is held to a peer that has an older configuration, or none. */
void
store_reader_push (struct StoreReader *reader, const char *peer);

/* A peer read the store. */
void
store_reader_take_from_peer (struct StoreReader *reader, const struct Snapshot *snapshot);
