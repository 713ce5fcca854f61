/* SIGTERM, SIGINT and SIGHUP of a long-running process: held back while it starts and while it
 * ends, handled by its event loop in between. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

/* Called for SIGTERM and SIGINT, which ask for a planned stop. */
typedef void (*StopFn) (void *data, int number);

/* Blocks the three signals, which stay pending, and ignores SIGPIPE and SIGIO. Threads that are
 * created later inherit this, so that only the main thread receives the signals. */
void
process_signals_block (void);

/* Installs handlers in the event loop: stop for SIGTERM and SIGINT; SIGHUP is only logged. The
 * signals remain blocked. Freeing ctx removes the handlers. Returns false when out of resources. */
bool
process_signals_handle (TALLOC_CTX *ctx, struct tevent_context *events, StopFn stop, void *data);

/* Delivers the signals, including the pending ones. They must be blocked again before the handlers
 * are removed, which restores the default actions. */
void
process_signals_unblock (void);

/* Waits for one of the blocked signals, at most timeout_ms. Returns its number, 0 after the
 * timeout. */
int
process_signals_wait (uint32_t timeout_ms);
