/* Memory for the data of requests and responses. Its sizes are summed in GAUGE_HELD_BYTES, so that
 * what clients make a process hold can be monitored and bounded for the whole process. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* Resizes buffer (NULL: a new one, which belongs to ctx) to n_bytes, at least 1. Returns NULL
 * without memory; buffer is then unchanged. The size is counted until the buffer is freed with
 * talloc. */
uint8_t *
held_memory_resize (TALLOC_CTX *ctx, uint8_t *buffer, size_t n_bytes);

/* Returns the size of the buffer for data that has grown to n_bytes, at most max_bytes: up to 64 KB
 * twice as large, beyond that half as large again. */
size_t
held_memory_grown_size (size_t n_bytes, size_t max_bytes);

/* Add to and subtract from the sum for memory that was allocated elsewhere. */
void
held_memory_add (size_t n_bytes);
void
held_memory_subtract (size_t n_bytes);

/* Counts n_bytes that were allocated elsewhere until ctx is freed. Returns false without memory. */
bool
held_memory_charge (TALLOC_CTX *ctx, size_t n_bytes);

/* Returns the sum in bytes. May be called from any thread. */
uint64_t
held_memory_bytes (void);

/* Returns the bound on the sum for a process on a machine with machine_bytes of memory. What it
 * leaves is for the rest of the process, for what the C library keeps, and for the kernel's
 * buffers. */
uint64_t
held_memory_share (uint64_t machine_bytes);

/* Sets the bound that held_memory_is_exhausted compares the sum with; 0: none. Called before
 * threads are started. */
void
held_memory_set_max (uint64_t max_bytes);

/* Returns whether the sum has reached the bound. May be called from any thread. */
bool
held_memory_is_exhausted (void);

/* Calls exceeded (data) whenever the sum grows while it is over max_bytes, on the thread and in the
 * middle of the operation that made it grow. One watch a process; NULL ends it. */
void
held_memory_watch (uint64_t max_bytes, void (*exceeded) (void *data), void *data);
