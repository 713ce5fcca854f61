/* Compression of values that are sent and stored compressed.
 *
 * A configuration of 1,500 routes is about 400 KB of text. Uncompressed, sending it to 40 members
 * occupies the 30 Mbit/s link of an aggregator for four seconds, which also delays lists of
 * servers.
 */
#pragma once

#include <buckthornhead/error.h>

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

enum
{
  /* Size of an inflated value: ten times the largest value that the store accepts. */
  INFLATED_MAX_BYTES = 10 * 1024 * 1024
};

/* Compresses value. The bytes belong to ctx. Fails with ERROR_INVALID for more than
 * INFLATED_MAX_BYTES, or with ERROR_NO_MEMORY. */
int32_t
value_deflate (TALLOC_CTX *ctx,
               const uint8_t *value,
               size_t value_bytes,
               uint8_t **deflated,
               size_t *deflated_bytes);

/* Decompresses the output of value_deflate. The bytes belong to ctx. Fails with ERROR_INVALID for
 * any other input and for more than INFLATED_MAX_BYTES, or with ERROR_NO_MEMORY. */
int32_t
value_inflate (TALLOC_CTX *ctx,
               const uint8_t *deflated,
               size_t deflated_bytes,
               uint8_t **value,
               size_t *value_bytes);
