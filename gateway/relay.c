#include "relay.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Relayed requests whose senders are recorded; a response takes milliseconds. */
  ORIGINS_MAX = 4096
};

/* Set in the ids of relayed links; ids of real links count up from a small number. */
#define RELAYED_BIT (1ULL << 62)

/* Where to send the response to a relayed request. */
struct RelayOrigin
{
  uint64_t link; /* to the relaying gateway */
  char from[NAME_MAX_BYTES + 1];
};

static struct RelayOrigin origins[ORIGINS_MAX];
static uint64_t n_origins;

bool
relay_is_link (uint64_t link)
{
  return (link & RELAYED_BIT) != 0;
}

static int32_t
relay_wrap (struct Node *node,
            uint64_t link,
            const char *to,
            const char *from,
            const uint8_t *bytes,
            size_t n_bytes)
{
  struct GatewayMessage message = { .kind = GATEWAY_RELAY };

  snprintf (message.relay.to, sizeof message.relay.to, "%s", to);
  snprintf (message.relay.from, sizeof message.relay.from, "%s", from);
  message.relay.message = bytes;
  message.relay.message_bytes = n_bytes;
  return node_answer (node, link, &message);
}

static int32_t
relay_wrap_message (struct Node *node,
                    uint64_t link,
                    const char *to,
                    const char *from,
                    const struct GatewayMessage *message)
{
  uint8_t *bytes;
  size_t n_bytes;
  int32_t error = gateway_message_pack (node->net, message, &bytes, &n_bytes);

  if (error != ERROR_NONE)
    return error;
  error = relay_wrap (node, link, to, from, bytes, n_bytes);
  talloc_free (bytes);
  return error;
}

/* Returns the next gateway, from position *at in the list of peers, that advertises that it reaches
 * the archives; NULL when there is none. Gateways that were just cut off together advertise it
 * until their next heartbeat, so each try uses another one. */
static const struct Peer *
relay_next (const struct Node *node, size_t *at)
{
  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct Peer *peer = node->peers->peers[(*at)++ % node->peers->n_peers];

      if (peer->status.reaches_archives && node_peer_is_responsive (node, peer))
        return peer;
    }
  return NULL;
}

int32_t
relay_send (struct Node *node, const char *peer, const struct GatewayMessage *message)
{
  const struct Peer *first = relay_next (node, &node->next_relay), *second;
  int32_t error;

  if (first == NULL)
    return ERROR_UNREACHABLE;
  second = relay_next (node, &node->next_relay);
  error = relay_wrap_message (node, peer_net_link_to (node->net, first->status.node), peer,
                              node->settings->instance, message);
  if (second != first && second != NULL)
    relay_wrap_message (node, peer_net_link_to (node->net, second->status.node), peer,
                        node->settings->instance, message);
  return error;
}

int32_t
relay_forward (struct Node *node,
               const char *to,
               const char *from,
               const struct GatewayMessage *message)
{
  uint64_t link = peer_net_link_to (node->net, to);

  if (link == PEER_LINK_NONE)
    return ERROR_UNREACHABLE;
  return relay_wrap_message (node, link, to, from, message);
}

static uint64_t
relay_store_origin (uint64_t link, const char *from)
{
  uint64_t slot = n_origins++;

  origins[slot % ORIGINS_MAX].link = link;
  snprintf (origins[slot % ORIGINS_MAX].from, NAME_MAX_BYTES + 1, "%s", from);
  return RELAYED_BIT | slot;
}

int32_t
relay_respond (struct Node *node, uint64_t link, const struct GatewayMessage *message)
{
  uint64_t slot = link & ~RELAYED_BIT;
  const struct RelayOrigin *origin = &origins[slot % ORIGINS_MAX];

  /* Newer requests have reused this entry; the requester retries. */
  if (n_origins - slot > ORIGINS_MAX)
    return ERROR_UNREACHABLE;
  return relay_wrap_message (node, origin->link, origin->from, node->settings->instance, message);
}

void
relay_on_message (struct Node *node, uint64_t link, const struct Relay *relay)
{
  struct GatewayMessage *message;
  uint64_t next;

  if (strcmp (relay->to, node->settings->instance) != 0)
    {
      next = peer_net_link_to (node->net, relay->to);
      if (next != PEER_LINK_NONE)
        relay_wrap (node, next, relay->to, relay->from, relay->message, relay->message_bytes);
      return;
    }
  if (gateway_message_unpack (node->net, relay->message, relay->message_bytes, &message)
      != ERROR_NONE)
    return;
  node->handler.message (node->handler.data, relay_store_origin (link, relay->from), relay->from,
                         message);
  talloc_free (message);
}
