#include "copy_links.h"

#include "node_internal.h"

#include <buckthornhead/log.h>
#include <buckthornhead/message_count.h>

#include <stdio.h>

struct CopyLinks
{
  struct Node *node;
  struct PeerNet *net;
  CopyLinksFn receive;
  void *data;
};

/* The name of a link in the net, which has one link for each name. */
struct LinkName
{
  char text[NAME_MAX_BYTES + 1];
};

static struct LinkName
link_name (const struct Peer *peer, size_t lane)
{
  struct LinkName name;

  /* The rank is a hash of the peer's name, which may have the greatest length itself. */
  snprintf (name.text, sizeof name.text, "copy-%zu-%016llx", lane, (unsigned long long)peer->rank);
  return name;
}

static void
links_on_received (void *data, uint64_t link, const char *name, const struct PeerMessage *envelope)
{
  struct CopyLinks *links = data;
  struct GatewayMessage *message;

  (void)link;
  if (envelope->kind != PEER_GATEWAY)
    return;
  if (gateway_message_unpack (links, envelope->gateway.bytes, envelope->gateway.n_bytes, &message)
      != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "peer_message_malformed", NULL,
                 "run the same version on all instances", "from %s", name);
      return;
    }
  message_count_add (MESSAGE_RECEIVED, message->kind, envelope->gateway.n_bytes);
  if (message->kind == GATEWAY_COPY_PART)
    links->receive (links->data, &message->copy_part);
  talloc_free (message);
}

/* A request without response is repeated after its timeout. */
static void
links_on_closed (void *data, uint64_t link, const char *name)
{
  (void)data;
  (void)link;
  (void)name;
}

static void
links_on_refused (void *data, const char *name, uint32_t n)
{
  (void)data;
  (void)name;
  (void)n;
}

struct CopyLinks *
copy_links_new (TALLOC_CTX *ctx, struct Node *node, CopyLinksFn receive, void *data)
{
  struct CopyLinks *links = talloc_zero (ctx, struct CopyLinks);
  struct PeerNetOptions options = {
    .instance = node->settings->instance,
    .zone = node->settings->zone,
    .dial_on_demand = true,
    .received = links_on_received,
    .closed = links_on_closed,
    .connect_refused = links_on_refused,
    .data = links,
  };

  if (links == NULL)
    return NULL;
  links->node = node;
  links->receive = receive;
  links->data = data;
  links->net = peer_net_new (links, node->events, node->timers, &options);
  if (links->net == NULL)
    TALLOC_FREE (links);
  return links;
}

int32_t
copy_links_send (struct CopyLinks *links,
                 const struct Peer *peer,
                 size_t lane,
                 const struct GatewayMessage *message)
{
  struct LinkName name = link_name (peer, lane);
  struct PeerMessage envelope;
  uint64_t link;
  uint8_t *bytes;
  int32_t error;

  peer_net_set_address (links->net, name.text, peer->status.peer_address);
  link = peer_net_link_to (links->net, name.text);
  if (link == PEER_LINK_NONE)
    return ERROR_UNREACHABLE;
  bytes = node_pack (links->node, message, &envelope);
  if (bytes == NULL)
    return ERROR_NO_MEMORY;
  error = peer_net_send (links->net, link, &envelope);
  if (error == ERROR_NONE)
    message_count_add (MESSAGE_SENT, message->kind, envelope.gateway.n_bytes);
  talloc_free (bytes);
  return error;
}

void
copy_links_reset (struct CopyLinks *links, const struct Peer *peer, size_t lane)
{
  struct LinkName name = link_name (peer, lane);

  peer_net_reset_link (links->net, name.text);
}
