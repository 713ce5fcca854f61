/* Links between instances: TCP, framed msgpack messages.
 *
 * Requests are sent over the link that the sender dialled, and responses return over the same link.
 * Each instance keeps links to all its peers or, with dial_on_demand, only to those it sends
 * messages to. A message to the own instance is delivered the same way, without a connection. */
#pragma once

#include <buckthornhead/peer_message.h>
#include <buckthornhead/timer.h>

#include <tevent.h>

struct PeerNet;

enum
{
  PEER_LINK_NONE = 0,
  PEER_LINK_SELF = 1, /* the link id of messages from the own instance */
  /* With dial_on_demand, a link that is unused for this long is closed. Well above the pauses of a
   * program, so that a session's owner is not dialled anew for each turn. */
  PEER_LINK_IDLE_MS = 20 * 1000
};

struct PeerNetOptions
{
  const char *listen; /* IP:port */
  const char *instance;
  const char *zone;
  /* Links are dialled when there is something to send, and closed after PEER_LINK_IDLE_MS without
   * use: in a fleet of hundreds most pairs of processes never exchange messages. */
  bool dial_on_demand;
  /* Further messages are not sent over a link with more queued than this, so that a peer that stops
   * reading does not exhaust the memory; 0: 64 MB. */
  uint64_t queue_max_bytes;
  /* A message arrived over link; it is valid during the call only. instance is the sender's name.
   */
  void (*received) (void *data,
                    uint64_t link,
                    const char *instance,
                    const struct PeerMessage *message);
  /* link is closed: messages sent over it get no more responses. */
  void (*closed) (void *data, uint64_t link, const char *instance);
  /* n consecutive dial attempts were refused: the instance's system responds, but its process does
   * not run. n is 0 once the instance is connected again. */
  void (*connect_refused) (void *data, const char *instance, uint32_t n);
  /* A dialled link to instance is connected; may be NULL. */
  void (*connected) (void *data, const char *instance);
  void *data;
};

struct PeerNet *
peer_net_new (TALLOC_CTX *ctx,
              struct tevent_context *events,
              struct TimerService *timers,
              const struct PeerNetOptions *options);

/* Opens the listener. ERROR_IO with the system's error message in fault. */
int32_t
peer_net_listen (struct PeerNet *net, struct Fault *fault);

/* Sets the incarnation that hellos carry, and sends a new hello over all dialled links. */
void
peer_net_set_incarnation (struct PeerNet *net, const char *incarnation);

/* Adds instance as a peer at address, or changes its address. peer_net_remove removes it again. */
void
peer_net_set_address (struct PeerNet *net, const char *instance, const char *address);
void
peer_net_remove (struct PeerNet *net, const char *instance);

/* Closes the dialled link to instance, which does not respond, so that it is dialled anew. */
void
peer_net_reset_link (struct PeerNet *net, const char *instance);

/* Returns the link for requests to instance, or PEER_LINK_NONE while there is none. With
 * dial_on_demand the link is dialled now if necessary, and queues messages until it is connected.
 */
uint64_t
peer_net_link_to (struct PeerNet *net, const char *instance);

/* Returns whether a link to instance is dialled, even if it is not yet connected. */
bool
peer_net_has_link (const struct PeerNet *net, const char *instance);

/* Returns whether this process dialled link. */
bool
peer_net_is_dialled (const struct PeerNet *net, uint64_t link);

/* Returns the number of bytes queued in this process for link; 0 when the link does not exist. */
size_t
peer_net_queued_bytes (const struct PeerNet *net, uint64_t link);

/* Queues message on link. ERROR_UNREACHABLE when the link is closed or its queue is full: the
 * message is not sent. */
int32_t
peer_net_send (struct PeerNet *net, uint64_t link, const struct PeerMessage *message);
