/* Values that travel and are kept compressed: a configuration of 1,500 routes is some 400 KB of
 * text, and an aggregator on a link of 30 Mbit/s has 40 members to send it to, four seconds in
 * which no list of servers passes either. */
#pragma once

#include <buckthornhead/error.h>

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

enum
{
  /* Of what a value may be once it is inflated: ten times the largest that the store takes. */
  INFLATED_MAX_BYTES = 10 * 1024 * 1024
};

/* The bytes belong to ctx. ERROR_NO_MEMORY. */
int32_t
value_deflate (TALLOC_CTX *ctx,
               const uint8_t *value,
               size_t value_bytes,
               uint8_t **deflated,
               size_t *deflated_bytes);

/* The bytes belong to ctx. ERROR_INVALID for anything that value_deflate did not make, and for more
 * than INFLATED_MAX_BYTES; ERROR_NO_MEMORY. */
int32_t
value_inflate (TALLOC_CTX *ctx,
               const uint8_t *deflated,
               size_t deflated_bytes,
               uint8_t **value,
               size_t *value_bytes);
