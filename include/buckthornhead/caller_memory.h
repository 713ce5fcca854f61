/* Bound on the memory for the requests and responses of the callers of one process, whose
 * connections belong to several threads. Clients are given up in the order of reclaim.h: their
 * sockets are shut down, and the threads that own them free what they hold. */
#pragma once

#include <buckthornhead/exchange.h>

struct CallerMemory;

/* Returns NULL without memory. */
struct CallerMemory *
caller_memory_new (TALLOC_CTX *ctx, uint64_t max_bytes);

/* HTTP thread: adds an exchange whose head has arrived on socket fd, and whose connection takes
 * own_bytes; removes it before the socket is closed. memory may be NULL: nothing is bounded. */
void
caller_memory_add (struct CallerMemory *memory,
                   struct Exchange *exchange,
                   int fd,
                   size_t own_bytes);
void
caller_memory_remove (struct Exchange *exchange);

/* HTTP thread: records what the caller has sent, and that its request is complete. */
void
caller_memory_record (struct Exchange *exchange, size_t n_bytes);
void
caller_memory_post (struct Exchange *exchange);

/* HTTP thread: returns whether the buffer of the request's body may grow by n_bytes for a body of
 * body_bytes. If not, the request is to be rejected. */
bool
caller_memory_reserve (struct Exchange *exchange, size_t n_bytes, size_t body_bytes);

/* HTTP thread: records that the request's body was freed. */
void
caller_memory_drop_body (struct Exchange *exchange);

/* Any thread: adds n_bytes to what is queued for the caller, and subtracts what it was sent. */
void
caller_memory_queue (struct Exchange *exchange, size_t n_bytes);
void
caller_memory_sent (struct Exchange *exchange, size_t n_bytes);
