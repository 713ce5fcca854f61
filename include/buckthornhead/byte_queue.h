/* Bytes that wait to be written to a socket, or that were read ahead of their use. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* Zeroed it is empty. */
struct ByteQueue
{
  uint8_t *bytes; /* talloc */
  size_t start, end, room;
};

static inline size_t
byte_queue_length (const struct ByteQueue *queue)
{
  return queue->end - queue->start;
}

/* NULL when the queue is empty. */
static inline const uint8_t *
byte_queue_head (const struct ByteQueue *queue)
{
  return queue->bytes != NULL ? queue->bytes + queue->start : NULL;
}

/* ERROR_NO_MEMORY. */
int32_t
byte_queue_add (TALLOC_CTX *ctx, struct ByteQueue *queue, const void *bytes, size_t n_bytes);

/* Drops n_bytes from the front; an empty queue gives its memory back. */
void
byte_queue_drop (struct ByteQueue *queue, size_t n_bytes);

/* Sends what fits into the socket. False when the connection is broken. */
bool
byte_queue_send (struct ByteQueue *queue, int fd);
