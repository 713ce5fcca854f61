/* Digest of a request's content, which is the same for all attempts and gateways. */
#pragma once

#include <buckthornhead/call.h>

#include <stddef.h>
#include <stdint.h>

enum
{
  REQUEST_DIGEST_NAME_BYTES = 17 /* text of a digest in logs, with its terminator */
};

/* What makes two requests the same: neither the id of the attempt nor the program is part of it. */
struct RequestContent
{
  const char *customer; /* "": none */
  const char *method;
  const char *host;
  const char *target; /* path and query */
  const uint8_t *body;
  size_t body_bytes;
};

void
request_digest_compute (const struct RequestContent *content, uint8_t digest[DIGEST_BYTES]);

/* Writes the first 64 bits of the digest in hexadecimal. */
void
request_digest_name (const uint8_t digest[DIGEST_BYTES], char name[REQUEST_DIGEST_NAME_BYTES]);
