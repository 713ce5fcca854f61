/* Packing and strict unpacking of msgpack arrays, for journal slots, the partition map and frames.
 *
 * A structure is an array whose fields stand in a fixed order. The writer remembers its first
 * failure and the reader its first mismatch, so callers check once, at the end. */
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct PackWriter
{
  msgpack_packer packer;
  uint8_t *bytes; /* talloc array; NULL while only counting */
  size_t n_bytes;
  bool counting; /* count bytes, keep none */
  bool failed;
};

/* counting: n_bytes grows, nothing is kept. */
struct PackWriter *
pack_writer_new (TALLOC_CTX *ctx, bool counting);
void
pack_array (struct PackWriter *writer, size_t n_items);
void
pack_u64 (struct PackWriter *writer, uint64_t value);
void
pack_i64 (struct PackWriter *writer, int64_t value);
void
pack_bool (struct PackWriter *writer, bool value);
void
pack_string (struct PackWriter *writer, const char *text);
void
pack_bytes (struct PackWriter *writer, const uint8_t *bytes, size_t n_bytes);
/* Items that were packed before. */
void
pack_raw (struct PackWriter *writer, const uint8_t *bytes, size_t n_bytes);
/* Moves the bytes to ctx and frees the writer. ERROR_NO_MEMORY when anything failed. */
int32_t
pack_finish (struct PackWriter *writer, TALLOC_CTX *ctx, uint8_t **bytes, size_t *n_bytes);

/* Reads one array's items in order. */
struct PackReader
{
  const msgpack_object *items;
  size_t n_items, at;
  bool failed;
};

/* Opens bytes, which must be one whole array and nothing else. What is read refers to bytes and
 * to the returned object; NULL when malformed. */
void *
pack_open (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct PackReader *reader);
uint64_t
read_u64 (struct PackReader *reader, uint64_t max);
int64_t
read_i64 (struct PackReader *reader);
bool
read_bool (struct PackReader *reader);
/* Copies a text of fewer than text_bytes bytes without NUL inside. */
void
read_string (struct PackReader *reader, char *text, size_t text_bytes);
/* Copies exactly n_bytes. */
void
read_fixed (struct PackReader *reader, uint8_t *bytes, size_t n_bytes);
/* A copy that belongs to ctx; NULL for no bytes. */
const uint8_t *
read_bytes (struct PackReader *reader, TALLOC_CTX *ctx, size_t *n_bytes);
/* Enters the next item, an array. */
void
read_array (struct PackReader *reader, struct PackReader *inner);
/* ERROR_NONE when every item was read and none mismatched, else ERROR_INVALID. */
int32_t
read_end (const struct PackReader *reader);
