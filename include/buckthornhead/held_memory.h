/* Buffers for the data of requests and responses. Their sizes are summed in GAUGE_HELD_BYTES, so
 * that the memory that slow readers occupy can be monitored and bounded for the whole process. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* Resizes buffer (NULL: a new one, which belongs to ctx) to n_bytes, at least 1. Returns NULL
 * without memory; buffer is then unchanged. The size is counted until the buffer is freed with
 * talloc. */
uint8_t *
held_memory_resize (TALLOC_CTX *ctx, uint8_t *buffer, size_t n_bytes);

/* Returns the size of all buffers in bytes. May be called from any thread. */
uint64_t
held_memory_bytes (void);
