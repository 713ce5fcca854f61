/* Links between instances: TCP, framed msgpack messages.
 *
 * Each instance dials every other member; requests go over the dialled link and their answers
 * come back on it. A message to the own instance takes the same path without a connection. */
#pragma once

#include <buckthornhead/peer_message.h>
#include <buckthornhead/timer.h>

#include <tevent.h>

struct PeerNet;

enum
{
  PEER_LINK_NONE = 0,
  PEER_LINK_SELF = 1 /* the link id of messages from the own instance */
};

struct PeerNetOptions
{
  const char *listen; /* IP:port */
  const char *instance;
  const char *zone;
  /* A message came over link; valid during the call only. instance is the sender's name. */
  void (*received) (void *data,
                    uint64_t link,
                    const char *instance,
                    const struct PeerMessage *message);
  /* link is gone: no answer to what was sent over it will come. */
  void (*closed) (void *data, uint64_t link, const char *instance);
  /* n attempts in a row to dial instance were refused (its machine answers, its process does not),
   * or 0: it is connected again. */
  void (*refused) (void *data, const char *instance, uint32_t n);
  /* A dialled link to instance is connected; may be NULL. */
  void (*connected) (void *data, const char *instance);
  void *data;
};

struct PeerNet *
peer_net_new (TALLOC_CTX *ctx,
              struct tevent_context *events,
              struct TimerService *timers,
              const struct PeerNetOptions *options);

/* ERROR_IO with the system's words in fault when the listener can not be opened. */
int32_t
peer_net_listen (struct PeerNet *net, struct Fault *fault);

/* Incarnation that later hellos carry. */
void
peer_net_set_incarnation (struct PeerNet *net, const char *incarnation);

/* Keeps a link to instance dialled at address from now on, until peer_net_forget. */
void
peer_net_know (struct PeerNet *net, const char *instance, const char *address);
void
peer_net_forget (struct PeerNet *net, const char *instance);

/* Closes the dialled link to instance, which does not answer; it is dialled anew. */
void
peer_net_drop (struct PeerNet *net, const char *instance);

/* Link over which requests to instance go, or PEER_LINK_NONE while it is not connected. */
uint64_t
peer_net_link_to (const struct PeerNet *net, const char *instance);

/* Queues message on link. ERROR_UNREACHABLE when the link is gone: it certainly never left. */
int32_t
peer_net_send (struct PeerNet *net, uint64_t link, const struct PeerMessage *message);
