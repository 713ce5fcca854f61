#include <buckthornhead/pack.h>

#include <string.h>

void
pack_string (msgpack_packer *packer, const char *text)
{
  size_t n_bytes = strlen (text);

  msgpack_pack_str (packer, n_bytes);
  msgpack_pack_str_body (packer, text, n_bytes);
}

void
pack_bytes (msgpack_packer *packer, const uint8_t *bytes, size_t n_bytes)
{
  msgpack_pack_bin (packer, n_bytes);
  if (n_bytes > 0)
    msgpack_pack_bin_body (packer, bytes, n_bytes);
}

struct PackReader
pack_reader_open (const msgpack_object *object, uint32_t min_items)
{
  struct PackReader reader = { .bad = true };

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < min_items)
    return reader;
  reader.items = object->via.array.ptr;
  reader.n_items = object->via.array.size;
  reader.bad = false;
  return reader;
}

/* The next object when it has the type wanted, else NULL with .bad set. */
static const msgpack_object *
pack_reader_next (struct PackReader *reader, msgpack_object_type type)
{
  const msgpack_object *object;

  if (reader->bad || reader->next >= reader->n_items)
    {
      reader->bad = true;
      return NULL;
    }
  object = &reader->items[reader->next++];
  if (object->type != type)
    {
      reader->bad = true;
      return NULL;
    }
  return object;
}

struct PackReader
pack_reader_array (struct PackReader *reader)
{
  const msgpack_object *object = pack_reader_next (reader, MSGPACK_OBJECT_ARRAY);
  struct PackReader inner = { .bad = true };

  return object != NULL ? pack_reader_open (object, 0) : inner;
}

uint64_t
pack_read_uint (struct PackReader *reader, uint64_t max)
{
  const msgpack_object *object = pack_reader_next (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

  if (object == NULL)
    return 0;
  if (object->via.u64 > max)
    {
      reader->bad = true;
      return 0;
    }
  return object->via.u64;
}

int64_t
pack_read_int (struct PackReader *reader)
{
  const msgpack_object *object;

  if (reader->bad || reader->next >= reader->n_items)
    {
      reader->bad = true;
      return 0;
    }
  object = &reader->items[reader->next++];
  if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER && object->via.u64 <= INT64_MAX)
    return (int64_t)object->via.u64;
  if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return object->via.i64;
  reader->bad = true;
  return 0;
}

bool
pack_read_bool (struct PackReader *reader)
{
  const msgpack_object *object = pack_reader_next (reader, MSGPACK_OBJECT_BOOLEAN);

  return object != NULL && object->via.boolean;
}

void
pack_read_string (struct PackReader *reader, char *text, size_t size)
{
  const msgpack_object *object = pack_reader_next (reader, MSGPACK_OBJECT_STR);

  text[0] = '\0';
  if (object == NULL)
    return;
  if (object->via.str.size >= size || memchr (object->via.str.ptr, '\0', object->via.str.size))
    {
      reader->bad = true;
      return;
    }
  memcpy (text, object->via.str.ptr, object->via.str.size);
  text[object->via.str.size] = '\0';
}

const uint8_t *
pack_read_bytes (struct PackReader *reader, TALLOC_CTX *ctx, size_t *n_bytes)
{
  const msgpack_object *object = pack_reader_next (reader, MSGPACK_OBJECT_BIN);

  *n_bytes = 0;
  if (object == NULL || object->via.bin.size == 0)
    return NULL;
  *n_bytes = object->via.bin.size;
  return talloc_memdup (ctx, object->via.bin.ptr, object->via.bin.size);
}

void
pack_read_exact (struct PackReader *reader, uint8_t *bytes, size_t size)
{
  const msgpack_object *object = pack_reader_next (reader, MSGPACK_OBJECT_BIN);

  memset (bytes, 0, size);
  if (object == NULL)
    return;
  if (object->via.bin.size != size)
    {
      reader->bad = true;
      return;
    }
  memcpy (bytes, object->via.bin.ptr, size);
}
