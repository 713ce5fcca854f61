/* Base64 encoding of keys and values in the key-value service's JSON. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* Returns NUL-terminated text that belongs to ctx; NULL if out of memory. */
char *
base64_text (TALLOC_CTX *ctx, const void *bytes, size_t n_bytes);

/* Returns bytes that belong to ctx, followed by a NUL; NULL if text is not valid base64. */
uint8_t *
base64_bytes (TALLOC_CTX *ctx, const char *text, size_t *n_bytes);
