/* Relays messages to a process that is not directly reachable through a gateway that reaches it.
 *
 * A network partition often cuts a gateway off from the archives but not from the other gateways;
 * without a relay it would reject its callers for as long as the partition lasts. The relaying
 * gateway keeps no state: request and response each name both endpoints. */
#pragma once

#include "node.h"

/* Sends message to peer through up to two other gateways, since turn messages may arrive twice
 * without harm. Returns ERROR_UNREACHABLE when no gateway can relay. */
int32_t
relay_send (struct Node *node, const char *peer, const struct GatewayMessage *message);

/* Forwards message, which from sent to this gateway, to the process to, whose response goes back
 * through this gateway. Returns ERROR_UNREACHABLE when there is no link. */
int32_t
relay_forward (struct Node *node,
               const char *to,
               const char *from,
               const struct GatewayMessage *message);

/* Handles a relayed message that arrived on link: forwards it, or unpacks and delivers it. */
void
relay_on_message (struct Node *node, uint64_t link, const struct Relay *relay);

/* Returns true when link, as passed to message handlers, identifies the sender of a relayed
 * message. */
bool
relay_is_link (uint64_t link);

/* Sends message back to the sender that link identifies. ERROR_UNREACHABLE when it is forgotten. */
int32_t
relay_respond (struct Node *node, uint64_t link, const struct GatewayMessage *message);
