/* Accepts the connections of a listening socket on a tevent loop.
 *
 * While the process lacks descriptors or memory, a listening socket with pending connections stays
 * readable; the acceptor then stops watching it for a moment, so that the loop keeps serving. */
#pragma once

#include <buckthornhead/timer.h>

#include <tevent.h>

struct Acceptor;

/* Receives a non-blocking connection, which it owns. Must not free the acceptor. */
typedef void (*AcceptedFn) (void *data, int fd);

/* Watches listen_fd, which stays the caller's and must outlive the acceptor. Returns NULL when out
 * of memory. Freeing the acceptor ends the watch. */
struct Acceptor *
acceptor_new (TALLOC_CTX *ctx,
              struct tevent_context *events,
              struct TimerService *timers,
              int listen_fd,
              AcceptedFn accepted,
              void *data);
