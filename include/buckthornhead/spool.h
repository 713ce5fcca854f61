/* Spool: journal records stored on this instance's disk for other instances while the platform's
 * key-value service is unavailable.
 *
 * One file per writer (an incarnation), <folder>/spool-<writer>, holding msgpack arrays of
 * [number, record, checksum]. A record is durable once spool_sync has succeeded after its
 * spool_put. A tail torn by a crash is cut off when the file is opened again: it was never
 * acknowledged. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>
#include <stddef.h>

#include <talloc.h>

struct Spool;

/* Opens folder, created if missing, loads every spool file in it and makes what it holds durable.
 * ERROR_IO with the system's error message in fault. */
int32_t
spool_open (TALLOC_CTX *ctx, const char *folder, struct Spool **spool, struct Fault *fault);

/* Returns the id of this disk, generated at random when the folder is first opened. A folder that
 * lost its content gets a new id. */
const char *
spool_id (const struct Spool *spool);

/* Writes a record that the next spool_sync makes durable. Numbers ascend for each writer; a number
 * not above the last one is a resend, and returns ERROR_NONE. ERROR_FENCED once the writer is
 * sealed. */
int32_t
spool_put (struct Spool *spool,
           const char *writer,
           uint64_t number,
           const uint8_t *record,
           size_t n_bytes);

/* Makes all records since the last sync durable. ERROR_IO when that is not certain: records since
 * the last sync must then not be acknowledged. */
int32_t
spool_sync (struct Spool *spool);

/* Seals writer durably, before another instance reads its spool: later puts return ERROR_FENCED. */
int32_t
spool_seal (struct Spool *spool, const char *writer);

/* Drops the records up to number, which writer has moved to its journal, and deletes the file with
 * its last record. A power failure can bring the records back, as if the drop had been lost. */
int32_t
spool_drop (struct Spool *spool, const char *writer, uint64_t number);

/* Calls fn for each durable record of writer in ascending order. */
typedef void (*SpoolFn) (void *data, uint64_t number, const uint8_t *record, size_t n_bytes);
void
spool_each (const struct Spool *spool, const char *writer, SpoolFn fn, void *data);

/* Returns the number of stored records of all writers. */
size_t
spool_count (const struct Spool *spool);
