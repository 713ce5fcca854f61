/* What the files that pack gateway messages share. */
#pragma once

#include <buckthornhead/gateway_message.h>
#include <buckthornhead/pack.h>

enum
{
  MESSAGE_ITEMS_MAX = 100000 /* of one list in a message: far more than any peer sends */
};

/* Enters a list whose entries are width items each; a list of another length fails outer. Returns
 * the number of entries. */
size_t
message_list_enter (struct PackReader *outer, struct PackReader *inner, size_t width);

/* Fields of messages; unpacking allocates from ctx and notes failures in r. */
void
heartbeat_pack (struct PackWriter *p, const struct Heartbeat *heartbeat);
void
heartbeat_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Heartbeat *heartbeat);
void
snapshot_pack (struct PackWriter *p, const struct Snapshot *snapshot);
void
snapshot_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Snapshot *snapshot);
