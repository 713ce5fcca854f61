/* Links for copying records from other archives, apart from those for all other messages: these do
 * not wait behind parts of a copy, and several links together are not bounded by the window of one
 * connection. */
#pragma once

#include "node.h"

struct CopyLinks;

typedef void (*CopyLinksFn) (void *data, const struct CopyPart *part);

/* Links are dialled when there is something to send, and closed with the memory. receive must not
 * free the links. NULL without memory. */
struct CopyLinks *
copy_links_new (TALLOC_CTX *ctx, struct Node *node, CopyLinksFn receive, void *data);

/* Sends over the link to peer for that lane. ERROR_UNREACHABLE guarantees that the message was not
 * sent. */
int32_t
copy_links_send (struct CopyLinks *links,
                 const struct Peer *peer,
                 size_t lane,
                 const struct GatewayMessage *message);

/* Closes the link, over which no response came, so that it is dialled anew. */
void
copy_links_reset (struct CopyLinks *links, const struct Peer *peer, size_t lane);
