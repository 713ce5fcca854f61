/* Base64 text, as the key-value service's JSON carries keys and values. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* NUL-terminated text that belongs to ctx. */
char *
base64_text (TALLOC_CTX *ctx, const void *bytes, size_t n_bytes);

/* Bytes that belong to ctx, with a NUL after the last one; NULL when text is not base64. */
uint8_t *
base64_bytes (TALLOC_CTX *ctx, const char *text, size_t *n_bytes);
