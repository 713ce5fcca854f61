#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>

#include <string.h>

static int
pack_write (void *data, const char *bytes, size_t n_bytes)
{
  struct PackWriter *w = data;
  size_t capacity;
  uint8_t *grown;

  if (w->failed)
    return -1;
  if (!w->counting)
    {
      capacity = talloc_get_size (w->bytes);
      if (w->n_bytes + n_bytes > capacity)
        {
          capacity = 2 * capacity + n_bytes + 256;
          grown = talloc_realloc (w, w->bytes, uint8_t, capacity);
          if (grown == NULL)
            {
              w->failed = true;
              return -1;
            }
          w->bytes = grown;
        }
      if (n_bytes > 0)
        memcpy (w->bytes + w->n_bytes, bytes, n_bytes);
    }
  w->n_bytes += n_bytes;
  return 0;
}

struct PackWriter *
pack_writer_new (TALLOC_CTX *ctx, bool counting)
{
  struct PackWriter *writer = talloc_zero (ctx, struct PackWriter);

  if (writer == NULL)
    return NULL;
  writer->counting = counting;
  msgpack_packer_init (&writer->packer, writer, pack_write);
  return writer;
}

void
pack_array (struct PackWriter *writer, size_t n_items)
{
  msgpack_pack_array (&writer->packer, n_items);
}

void
pack_u64 (struct PackWriter *writer, uint64_t value)
{
  msgpack_pack_uint64 (&writer->packer, value);
}

void
pack_i64 (struct PackWriter *writer, int64_t value)
{
  msgpack_pack_int64 (&writer->packer, value);
}

void
pack_bool (struct PackWriter *writer, bool value)
{
  if (value)
    msgpack_pack_true (&writer->packer);
  else
    msgpack_pack_false (&writer->packer);
}

void
pack_string (struct PackWriter *writer, const char *text)
{
  msgpack_pack_str_with_body (&writer->packer, text, strlen (text));
}

void
pack_bytes (struct PackWriter *writer, const uint8_t *bytes, size_t n_bytes)
{
  msgpack_pack_bin (&writer->packer, n_bytes);
  if (n_bytes > 0)
    msgpack_pack_bin_body (&writer->packer, bytes, n_bytes);
}

void
pack_raw (struct PackWriter *writer, const uint8_t *bytes, size_t n_bytes)
{
  pack_write (writer, (const char *)bytes, n_bytes);
}

int32_t
pack_finish (struct PackWriter *writer, TALLOC_CTX *ctx, uint8_t **bytes, size_t *n_bytes)
{
  bool failed = writer->failed;

  if (!failed)
    {
      *bytes = talloc_steal (ctx, writer->bytes);
      *n_bytes = writer->n_bytes;
    }
  talloc_free (writer);
  return failed ? ERROR_NO_MEMORY : ERROR_NONE;
}

/* Contents of one msgpack header. */
struct PackHeader
{
  size_t header_bytes;
  uint64_t payload_bytes;
  uint64_t n_items; /* nested items that follow */
};

static uint64_t
pack_big_endian (const uint8_t *bytes, size_t n_bytes)
{
  uint64_t number = 0;

  for (size_t i = 0; i < n_bytes; i++)
    number = number << 8 | bytes[i];
  return number;
}

/* Returns false for a truncated header, and for maps, floats and extensions, which are unused. */
static bool
pack_header_read (const uint8_t *bytes, size_t n_bytes, struct PackHeader *header)
{
  static const size_t widths[] = { 1, 2, 4, 8 };
  uint8_t first = bytes[0];
  size_t length_bytes = 0;
  uint64_t number;

  memset (header, 0, sizeof *header);
  header->header_bytes = 1;
  if (first <= 0x7f || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3)
    return true;
  if (first >= 0x90 && first <= 0x9f)
    header->n_items = first & 0x0f;
  else if (first >= 0xa0 && first <= 0xbf)
    header->payload_bytes = first & 0x1f;
  else if (first >= 0xcc && first <= 0xd3)
    header->payload_bytes = widths[(first - 0xcc) % 4];
  else if (first >= 0xc4 && first <= 0xc6)
    length_bytes = widths[first - 0xc4];
  else if (first >= 0xd9 && first <= 0xdb)
    length_bytes = widths[first - 0xd9];
  else if (first == 0xdc || first == 0xdd)
    length_bytes = first == 0xdc ? 2 : 4;
  else
    return false;
  if (length_bytes == 0)
    return true;
  if (length_bytes > n_bytes - 1)
    return false;
  number = pack_big_endian (bytes + 1, length_bytes);
  header->header_bytes += length_bytes;
  if (first >= 0xdc)
    header->n_items = number;
  else
    header->payload_bytes = number;
  return true;
}

/* The msgpack library allocates the number of items in an array's header before it reads them, so a
 * few malformed bytes could allocate gigabytes. Therefore every count is first checked against the
 * number of available bytes. */
static bool
pack_counts_fit (const uint8_t *bytes, size_t n_bytes)
{
  struct PackHeader header;
  uint64_t n_pending = 1;
  size_t at = 0;

  while (n_pending > 0)
    {
      if (n_pending > n_bytes - at)
        return false;
      if (!pack_header_read (bytes + at, n_bytes - at, &header))
        return false;
      at += header.header_bytes;
      if (header.payload_bytes > n_bytes - at)
        return false;
      at += header.payload_bytes;
      n_pending += header.n_items - 1;
    }
  return at == n_bytes;
}

struct PackDocument
{
  msgpack_unpacked unpacked;
};

static int
pack_document_free (struct PackDocument *document)
{
  msgpack_unpacked_destroy (&document->unpacked);
  return 0;
}

void *
pack_open (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, struct PackReader *reader)
{
  struct PackDocument *document;
  const msgpack_object *top;
  size_t at = 0;

  memset (reader, 0, sizeof *reader);
  reader->failed = true;
  if (n_bytes == 0 || !pack_counts_fit (bytes, n_bytes))
    return NULL;
  document = talloc_zero (ctx, struct PackDocument);
  if (document == NULL)
    return NULL;
  msgpack_unpacked_init (&document->unpacked);
  talloc_set_destructor (document, pack_document_free);
  if (msgpack_unpack_next (&document->unpacked, (const char *)bytes, n_bytes, &at)
          != MSGPACK_UNPACK_SUCCESS
      || document->unpacked.data.type != MSGPACK_OBJECT_ARRAY)
    {
      talloc_free (document);
      return NULL;
    }
  top = &document->unpacked.data;
  reader->items = top->via.array.ptr;
  reader->n_items = top->via.array.size;
  reader->failed = false;
  return document;
}

/* Returns the next item if it is of type; otherwise fails the reader and returns NULL. */
static const msgpack_object *
read_item (struct PackReader *reader, msgpack_object_type type)
{
  const msgpack_object *item;

  if (reader->failed || reader->at >= reader->n_items)
    {
      reader->failed = true;
      return NULL;
    }
  item = &reader->items[reader->at++];
  if (item->type == type)
    return item;
  reader->failed = true;
  return NULL;
}

uint64_t
read_u64 (struct PackReader *reader, uint64_t max)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (item != NULL && item->via.u64 <= max)
    return item->via.u64;
  reader->failed = true;
  return 0;
}

int64_t
read_i64 (struct PackReader *reader)
{
  bool negative = !reader->failed && reader->at < reader->n_items
                  && reader->items[reader->at].type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
  const msgpack_object *item;

  if (!negative)
    return (int64_t)read_u64 (reader, INT64_MAX);
  item = read_item (reader, MSGPACK_OBJECT_NEGATIVE_INTEGER);
  return item != NULL ? item->via.i64 : 0;
}

bool
read_bool (struct PackReader *reader)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_BOOLEAN);

  return item != NULL && item->via.boolean;
}

void
read_string (struct PackReader *reader, char *text, size_t text_bytes)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_STR);

  text[0] = '\0';
  if (item == NULL || item->via.str.size == 0)
    return;
  if (item->via.str.size >= text_bytes
      || memchr (item->via.str.ptr, '\0', item->via.str.size) != NULL)
    {
      reader->failed = true;
      return;
    }
  memcpy (text, item->via.str.ptr, item->via.str.size);
  text[item->via.str.size] = '\0';
}

void
read_fixed (struct PackReader *reader, uint8_t *bytes, size_t n_bytes)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_BIN);

  if (item != NULL && item->via.bin.size == n_bytes)
    memcpy (bytes, item->via.bin.ptr, n_bytes);
  else
    reader->failed = true;
}

const uint8_t *
read_bytes (struct PackReader *reader, TALLOC_CTX *ctx, size_t *n_bytes)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_BIN);
  const uint8_t *copy;

  *n_bytes = 0;
  if (item == NULL || item->via.bin.size == 0)
    return NULL;
  copy = talloc_memdup (ctx, item->via.bin.ptr, item->via.bin.size);
  if (copy == NULL)
    reader->failed = true;
  else
    *n_bytes = item->via.bin.size;
  return copy;
}

void
read_array (struct PackReader *reader, struct PackReader *inner)
{
  const msgpack_object *item = read_item (reader, MSGPACK_OBJECT_ARRAY);

  memset (inner, 0, sizeof *inner);
  inner->failed = item == NULL;
  if (item == NULL)
    return;
  inner->items = item->via.array.ptr;
  inner->n_items = item->via.array.size;
}

int32_t
read_end (const struct PackReader *reader)
{
  return !reader->failed && reader->at == reader->n_items ? ERROR_NONE : ERROR_INVALID;
}
