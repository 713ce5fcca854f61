/* Bytes over loopback TCP, as a test wants them: no HTTP library between. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <tevent.h>

/* A listener on a port of 127.0.0.1 that the kernel chooses. */
int
raw_listen (uint16_t *port);
/* Connects; -1 when that fails. */
int
raw_connect (uint16_t port);
/* Waits for a connection while events run. */
int
raw_accept (int listen_fd, struct tevent_context *events);
void
raw_send (int fd, const char *text);
/* Closes with a reset: the other side's bytes are thrown away. */
void
raw_reset (int fd);

/* Runs events and appends what fd gives to text (NUL-terminated) until it holds wanted. False when
 * the other side closes first, or five seconds pass. */
bool
raw_read_until (
    int fd, struct tevent_context *events, const char *wanted, char *text, size_t text_bytes);
/* Runs events until the other side has closed; false when five seconds pass. */
bool
raw_wait_closed (int fd, struct tevent_context *events);

/* Runs events until *flag; false when five seconds pass. */
bool
events_until (struct tevent_context *events, const bool *flag);
/* Runs events for ms. */
void
events_for (struct tevent_context *events, int64_t ms);
