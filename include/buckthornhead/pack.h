/* Small helpers over msgpack-c: writing values, and reading arrays strictly.
 *
 * A reader walks one msgpack array. The first value of a wrong type or size sets .bad and every
 * later read gives a zero, so that a decoder checks once, at its end. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>
#include <talloc.h>

void
pack_string (msgpack_packer *packer, const char *text);
void
pack_bytes (msgpack_packer *packer, const uint8_t *bytes, size_t n_bytes);

struct PackReader
{
  const msgpack_object *items;
  uint32_t n_items;
  uint32_t next;
  bool bad;
};

/* Starts on object, which must be an array of at least min_items. */
struct PackReader
pack_reader_open (const msgpack_object *object, uint32_t min_items);
/* The next value as an array of its own. */
struct PackReader
pack_reader_array (struct PackReader *reader);
uint64_t
pack_read_uint (struct PackReader *reader, uint64_t max);
int64_t
pack_read_int (struct PackReader *reader);
bool
pack_read_bool (struct PackReader *reader);
/* Copies a string into a fixed array of size bytes, the end marker included. */
void
pack_read_string (struct PackReader *reader, char *text, size_t size);
/* Bytes copied to ctx; NULL when empty. */
const uint8_t *
pack_read_bytes (struct PackReader *reader, TALLOC_CTX *ctx, size_t *n_bytes);
/* Exactly size bytes. */
void
pack_read_exact (struct PackReader *reader, uint8_t *bytes, size_t size);
