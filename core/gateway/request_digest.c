#include <buckthornhead/request_digest.h>

#include <nettle/sha2.h>
#include <stdio.h>
#include <string.h>

/* Includes the terminator, so that the ends of two adjacent texts cannot be moved. */
static void
digest_text (struct sha256_ctx *sha, const char *text)
{
  sha256_update (sha, strlen (text) + 1, (const uint8_t *)text);
}

void
request_digest_compute (const struct RequestContent *content, uint8_t digest[DIGEST_BYTES])
{
  struct sha256_ctx sha;

  sha256_init (&sha);
  digest_text (&sha, content->customer);
  digest_text (&sha, content->method);
  digest_text (&sha, content->host);
  digest_text (&sha, content->target);
  sha256_update (&sha, content->body_bytes, content->body);
  sha256_digest (&sha, DIGEST_BYTES, digest);
}

void
request_digest_name (const uint8_t digest[DIGEST_BYTES], char name[REQUEST_DIGEST_NAME_BYTES])
{
  for (size_t i = 0; i < (REQUEST_DIGEST_NAME_BYTES - 1) / 2; i++)
    snprintf (name + 2 * i, REQUEST_DIGEST_NAME_BYTES - 2 * i, "%02x", digest[i]);
}
