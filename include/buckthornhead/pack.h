/* Packing and strict unpacking of msgpack arrays, for journal slots, the partition map and frames.
 *
 * A structure is an array of fields in a fixed order. Failures of the writer and mismatches in the
 * reader are sticky, so callers check once, at the end. */
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct PackWriter
{
  msgpack_packer packer;
  uint8_t *bytes; /* talloc array; NULL if .counting */
  size_t n_bytes;
  bool counting; /* counts bytes without storing them */
  bool failed;
};

/* A counting writer only counts .n_bytes and stores nothing. NULL if out of memory. */
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
/* Appends items that are already packed. */
void
pack_raw (struct PackWriter *writer, const uint8_t *bytes, size_t n_bytes);
/* Moves the bytes to ctx and frees the writer. Returns ERROR_NO_MEMORY if any call failed. */
int32_t
pack_finish (struct PackWriter *writer, TALLOC_CTX *ctx, uint8_t **bytes, size_t *n_bytes);

/* Reads the items of one array in order. */
struct PackReader
{
  const msgpack_object *items;
  size_t n_items, at;
  bool failed;
};

/* Opens bytes, which must be exactly one complete array. Returns an object that, like bytes, must
 * outlive the reader; NULL if malformed or out of memory. */
void *
pack_open (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct PackReader *reader);
uint64_t
read_u64 (struct PackReader *reader, uint64_t max);
int64_t
read_i64 (struct PackReader *reader);
bool
read_bool (struct PackReader *reader);
/* Copies a text of fewer than text_bytes bytes without an embedded NUL. */
void
read_string (struct PackReader *reader, char *text, size_t text_bytes);
/* Copies exactly n_bytes. */
void
read_fixed (struct PackReader *reader, uint8_t *bytes, size_t n_bytes);
/* Returns a copy that belongs to ctx; NULL for an empty item or on failure. */
const uint8_t *
read_bytes (struct PackReader *reader, TALLOC_CTX *ctx, size_t *n_bytes);
/* Opens the next item, an array, as inner. */
void
read_array (struct PackReader *reader, struct PackReader *inner);
/* Returns ERROR_NONE if every item was read without a mismatch, else ERROR_INVALID. */
int32_t
read_end (const struct PackReader *reader);
