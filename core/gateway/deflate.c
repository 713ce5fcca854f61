#include <buckthornhead/deflate.h>

#include <string.h>
#include <zlib.h>

enum
{
  LENGTH_BYTES = 4 /* big-endian inflated length, in front of the zlib stream */
};

int32_t
value_deflate (TALLOC_CTX *ctx,
               const uint8_t *value,
               size_t value_bytes,
               uint8_t **deflated,
               size_t *deflated_bytes)
{
  uLongf n = compressBound (value_bytes);
  uint8_t *bytes;

  if (value_bytes > INFLATED_MAX_BYTES)
    return ERROR_INVALID;
  bytes = talloc_size (ctx, LENGTH_BYTES + n);
  if (bytes == NULL)
    return ERROR_NO_MEMORY;
  for (int i = 0; i < LENGTH_BYTES; i++)
    bytes[i] = (uint8_t)(value_bytes >> 8 * (LENGTH_BYTES - 1 - i));
  /* The fastest level: a small instance has little processor time to spare, and routes are
   * repetitive enough to compress well. */
  if (compress2 (bytes + LENGTH_BYTES, &n, value, value_bytes, Z_BEST_SPEED) != Z_OK)
    {
      talloc_free (bytes);
      return ERROR_NO_MEMORY;
    }
  *deflated = bytes;
  *deflated_bytes = LENGTH_BYTES + n;
  return ERROR_NONE;
}

int32_t
value_inflate (TALLOC_CTX *ctx,
               const uint8_t *deflated,
               size_t deflated_bytes,
               uint8_t **value,
               size_t *value_bytes)
{
  size_t length = 0;
  uLongf n;
  uint8_t *bytes;

  if (deflated_bytes < LENGTH_BYTES)
    return ERROR_INVALID;
  for (int i = 0; i < LENGTH_BYTES; i++)
    length = length << 8 | deflated[i];
  if (length > INFLATED_MAX_BYTES)
    return ERROR_INVALID;
  n = length;
  bytes = talloc_size (ctx, length + 1);
  if (bytes == NULL)
    return ERROR_NO_MEMORY;
  if (uncompress (bytes, &n, deflated + LENGTH_BYTES, deflated_bytes - LENGTH_BYTES) != Z_OK
      || n != length)
    {
      talloc_free (bytes);
      return ERROR_INVALID;
    }
  *value = bytes;
  *value_bytes = length;
  return ERROR_NONE;
}
