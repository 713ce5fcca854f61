/* Links between instances: TCP, framed msgpack messages.
 *
 * Requests go over the link that the sender dialled and their answers come back on it. Each
 * instance keeps links to all that it knows, or, with dial_on_need, to those that it sends
 * something. A message to the own instance takes the same path without a connection. */
#pragma once

#include <buckthornhead/peer_message.h>
#include <buckthornhead/timer.h>

#include <tevent.h>

struct PeerNet;

enum
{
  PEER_LINK_NONE = 0,
  PEER_LINK_SELF = 1, /* the link id of messages from the own instance */
  /* Well over the pauses of a program, so that a session's owner is not dialled for each turn. */
  PEER_LINK_IDLE_MS = 20 * 1000
};

struct PeerNetOptions
{
  const char *listen; /* IP:port */
  const char *instance;
  const char *zone;
  /* Links are dialled when something is to be sent and closed when nothing was for
   * PEER_LINK_IDLE_MS: in a fleet of hundreds most processes never speak to each other. */
  bool dial_on_need;
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

/* instance is reached at address from now on, until peer_net_forget. */
void
peer_net_know (struct PeerNet *net, const char *instance, const char *address);
void
peer_net_forget (struct PeerNet *net, const char *instance);

/* Closes the dialled link to instance, which does not answer; it is dialled anew. */
void
peer_net_drop (struct PeerNet *net, const char *instance);

/* Link over which requests to instance go, or PEER_LINK_NONE while there is none. With dial_on_need
 * it is dialled now, and takes messages that leave once it is connected. */
uint64_t
peer_net_link_to (struct PeerNet *net, const char *instance);

/* A link to instance is dialled, perhaps not yet connected. */
bool
peer_net_has_link (const struct PeerNet *net, const char *instance);

/* This process dialled link. */
bool
peer_net_is_dialled (const struct PeerNet *net, uint64_t link);

/* Bytes that wait in this process for link to take them; 0 for no such link. */
size_t
peer_net_queued_bytes (const struct PeerNet *net, uint64_t link);

/* Queues message on link. ERROR_UNREACHABLE when the link is gone: it certainly never left. */
int32_t
peer_net_send (struct PeerNet *net, uint64_t link, const struct PeerMessage *message);
