/* Plain TCP sockets on loopback, for tests that control the exact bytes on the wire. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <tevent.h>

/* Listens on a port of 127.0.0.1 that the kernel chooses. Returns -1 on failure. */
int
raw_listen (uint16_t *port);
/* Returns -1 when the connection fails. */
int
raw_connect (uint16_t port);
/* Runs events until a connection arrives. Returns -1 after five seconds. */
int
raw_accept (int listen_fd, struct tevent_context *events);
void
raw_send (int fd, const char *text);
/* Closes the connection with a TCP reset, which discards unsent and unread data. */
void
raw_reset (int fd);

/* Runs events and appends the bytes read from fd to text (NUL-terminated) until it contains wanted.
 * Returns false when the peer closes first or after five seconds. */
bool
raw_read_until (
    int fd, struct tevent_context *events, const char *wanted, char *text, size_t text_bytes);
/* Runs events until the peer has closed the connection. Returns false after five seconds. */
bool
raw_wait_closed (int fd, struct tevent_context *events);

/* Runs events until *flag is set. Returns its value, false after five seconds. */
bool
events_until (struct tevent_context *events, const bool *flag);
/* Runs events for ms. */
void
events_for (struct tevent_context *events, int64_t ms);
