/* How a member stands in the key-value service. */
#pragma once

#include <buckthornhead/membership.h>

/* The incarnation is "" while an instance is registering. */
int32_t
member_pack (TALLOC_CTX *ctx, const struct Member *member, uint8_t **packed, size_t *n_bytes);
/* Zeroes *member first; the instance is not part of the value. */
int32_t
member_unpack (const uint8_t *packed, size_t n_bytes, struct Member *member);
