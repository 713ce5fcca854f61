/* TCP sockets by IP number, as both HTTP sides and the peer links open them. */
#pragma once

#include <buckthornhead/error.h>

#include <stdbool.h>

/* A non-blocking listener on "IP:port"; *fd is -1 unless ERROR_NONE. setting names the setting that
 * holds the address, for the remedy. */
int32_t
net_listen (const char *address, const char *setting, int *fd, struct Fault *fault);

/* Accepts one connection without Nagle's delay; -1 when none waits. */
int
net_accept (int listen_fd);

/* Starts to connect; -1 when that fails at once. user_timeout_ms bounds how long sent bytes may
 * stay unacknowledged: a machine behind a partition answers nothing, ever. */
int
net_dial (const char *address, uint32_t user_timeout_ms);

/* 0 once a dialled socket is connected, else its errno. */
int
net_dial_error (int fd);
