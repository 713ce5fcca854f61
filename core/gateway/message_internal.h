/* Declarations shared by the files that pack and unpack gateway messages. */
#pragma once

#include <buckthornhead/gateway_message.h>
#include <buckthornhead/pack.h>

enum
{
  /* Entries of one list in a message; far above what any peer sends. A longer list is malformed. */
  MESSAGE_ITEMS_MAX = 100000
};

/* Opens the next item of outer, a flat array with width items per entry, as inner and returns the
 * number of entries. Marks both readers as failed when the item is no such array. */
size_t
message_list_enter (struct PackReader *outer, struct PackReader *inner, size_t width);

/* Pack and unpack the body of one message. Unpacking allocates from ctx and sets r->failed on
 * malformed input. */
void
heartbeat_pack (struct PackWriter *p, const struct Heartbeat *heartbeat);
void
heartbeat_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Heartbeat *heartbeat);
void
snapshot_pack (struct PackWriter *p, const struct Snapshot *snapshot);
void
snapshot_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct Snapshot *snapshot);
void
suspects_pack (struct PackWriter *p, const struct SuspectReport *report);
void
suspects_unpack (struct PackReader *r, TALLOC_CTX *ctx, struct SuspectReport *report);
