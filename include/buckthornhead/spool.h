/* Spool: journal records kept on this instance's disk for other instances, while the platform's
 * key-value service is down.
 *
 * One file a writer (an incarnation), <folder>/spool-<writer>, holding msgpack arrays of
 * [number, record, checksum]. A record counts once spool_sync has returned after its put. A tail
 * that a crash tore is cut off when the file is opened again: it was never acknowledged. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>

struct Spool;

/* Opens folder, made if it is missing, and checks every file in it. ERROR_IO with the system's
 * words in fault. */
int32_t
spool_open (TALLOC_CTX *ctx, const char *folder, struct Spool **spool, struct Fault *fault);

/* Id of this disk, made at random when the folder was first opened: a folder that lost its content
 * gets another. */
const char *
spool_id (const struct Spool *spool);

/* Adds record number (ascending for its writer) to what the next spool_sync makes durable. A
 * number that is there already is ERROR_NONE: a resend. ERROR_FENCED once the writer was sealed. */
int32_t
spool_put (struct Spool *spool,
           const char *writer,
           uint64_t number,
           const uint8_t *record,
           size_t n_bytes);

/* Makes all that was put durable; ERROR_IO when that is not certain, and nothing put since the last
 * sync counts. */
int32_t
spool_sync (struct Spool *spool);

/* A taker reads the writer's spool: from now on, durably, the writer's puts are ERROR_FENCED. */
int32_t
spool_seal (struct Spool *spool, const char *writer);

/* The writer has all up to number in its journal: forgotten, and the file with its last record. */
int32_t
spool_drop (struct Spool *spool, const char *writer, uint64_t number);

/* Calls fn for each durable record of writer in ascending order. */
typedef void (*SpoolFn) (void *data, uint64_t number, const uint8_t *record, size_t n_bytes);
void
spool_each (const struct Spool *spool, const char *writer, SpoolFn fn, void *data);

/* Records kept now, of all writers. */
size_t
spool_count (const struct Spool *spool);
