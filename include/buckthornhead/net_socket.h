/* TCP sockets for IP addresses, used by the HTTP client, the HTTP server and the peer links. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>

/* Opens a non-blocking listening socket on "IP:port"; *fd is -1 on failure. setting is the name of
 * the setting of the address, for the error message. */
int32_t
net_listen (const char *address, const char *setting, int *fd, struct Fault *fault);

/* Finds out before other work whether the address is available. Accepts no connection meanwhile. */
int32_t
net_check_listen (const char *address, const char *setting, struct Fault *fault);

enum NetAccept
{
  NET_ACCEPTED,
  NET_ACCEPT_NONE,    /* none is pending */
  NET_ACCEPT_ABORTED, /* this connection has failed; the next one may be accepted */
  NET_ACCEPT_FAILED   /* for lack of descriptors or memory; the connection stays pending */
};

/* Accepts one connection, with Nagle's algorithm disabled. Sets *fd with NET_ACCEPTED, otherwise to
 * -1. */
enum NetAccept
net_accept (int listen_fd, int *fd);

/* Opens a non-blocking TCP socket for a connection to address, which is for the log only. Returns
 * -1 on failure. */
int
net_socket (int family, const char *address);

/* Starts a non-blocking connect; returns -1 when it fails at once, also for lack of descriptors or
 * local ports, which is logged. user_timeout_ms limits how long
 * sent data may stay unacknowledged: a peer behind a network partition never responds. */
int
net_connect (const char *address, uint32_t user_timeout_ms);

/* Returns 0 when the socket of net_connect is connected, otherwise its errno value. */
int
net_connect_error (int fd);
