/* Encoding of a member in the key-value service. */
#pragma once

#include <buckthornhead/membership.h>

/* Packs member, whose incarnation is "" while the instance is registering. */
int32_t
member_pack (TALLOC_CTX *ctx, const struct Member *member, uint8_t **packed, size_t *n_bytes);
/* Unpacks *member, which it clears first; the value does not contain the instance. */
int32_t
member_unpack (const uint8_t *packed, size_t n_bytes, struct Member *member);
