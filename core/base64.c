#include <buckthornhead/base64.h>

#include <string.h>

#include <nettle/base64.h>

char *
base64_text (TALLOC_CTX *ctx, const void *bytes, size_t n_bytes)
{
  size_t length = BASE64_ENCODE_RAW_LENGTH (n_bytes);
  char *text = talloc_array (ctx, char, length + 1);

  if (text == NULL)
    return NULL;
  base64_encode_raw (text, n_bytes, bytes);
  text[length] = '\0';
  return text;
}

uint8_t *
base64_bytes (TALLOC_CTX *ctx, const char *text, size_t *n_bytes)
{
  struct base64_decode_ctx decode;
  size_t length = strlen (text);
  uint8_t *bytes = talloc_array (ctx, uint8_t, BASE64_DECODE_LENGTH (length) + 1);

  if (bytes == NULL)
    return NULL;
  base64_decode_init (&decode);
  if (!base64_decode_update (&decode, n_bytes, bytes, length, text)
      || !base64_decode_final (&decode))
    {
      talloc_free (bytes);
      return NULL;
    }
  bytes[*n_bytes] = '\0';
  return bytes;
}
