/* Messages to a process that can not be reached directly, through a gateway that can.
 *
 * A partition often cuts a gateway off from the archives and not from the other gateways: its
 * callers would be sent back for as long as it lasts. The relaying gateway keeps nothing: question
 * and answer each name both ends. */
#pragma once

#include "node.h"

/* Sends message to peer through other gateways, two at a time: questions on turns may arrive twice.
 * ERROR_UNREACHABLE when none can help. */
int32_t
relay_send (struct Node *node, const char *peer, const struct GatewayMessage *message);

/* A relayed message came over link: passed on, or unpacked and delivered. */
void
relay_take (struct Node *node, uint64_t link, const struct Relay *relay);

/* The link to answer on, as handlers get it: relayed ones have ids of their own. */
bool
relay_is_link (uint64_t link);

int32_t
relay_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message);
