#include "relay.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Questions that came relayed and are not answered yet; an answer takes milliseconds. */
  ORIGINS_MAX = 4096
};

/* Ids of relayed links have this bit; those of real ones count up from a small number. */
#define RELAYED_BIT (1ULL << 62)

/* Where the answer to a relayed question goes. */
struct RelayOrigin
{
  uint64_t link; /* of the gateway that relays */
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
                    const struct GatewayMessage *message)
{
  uint8_t *bytes;
  size_t n_bytes;
  int32_t error = gateway_message_pack (node->net, message, &bytes, &n_bytes);

  if (error != ERROR_NONE)
    return error;
  error = relay_wrap (node, link, to, node->settings->instance, bytes, n_bytes);
  talloc_free (bytes);
  return error;
}

/* The next gateway, after place *at in the list of peers, that says it reaches the archives. Two
 * that are cut off together both say so until their next heartbeat, so that each try takes another.
 */
static const struct Peer *
relay_next (const struct Node *node, size_t *at)
{
  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct Peer *peer = node->peers->peers[(*at)++ % node->peers->n_peers];

      if (peer->status.reaches_archives && node_peer_answers (node, peer))
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
  error =
      relay_wrap_message (node, peer_net_link_to (node->net, first->status.node), peer, message);
  if (second != first && second != NULL)
    relay_wrap_message (node, peer_net_link_to (node->net, second->status.node), peer, message);
  return error;
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
relay_answer (struct Node *node, uint64_t link, const struct GatewayMessage *message)
{
  uint64_t slot = link & ~RELAYED_BIT;
  const struct RelayOrigin *origin = &origins[slot % ORIGINS_MAX];

  /* So many came since that this one's place is taken: its asker asks again. */
  if (n_origins - slot > ORIGINS_MAX)
    return ERROR_UNREACHABLE;
  return relay_wrap_message (node, origin->link, origin->from, message);
}

void
relay_take (struct Node *node, uint64_t link, const struct Relay *relay)
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
