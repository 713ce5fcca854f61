/* Buffer of bytes that are to be written to a socket, or that were read but not yet consumed. Its
 * memory is counted (held_memory.h). */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* An all-zero queue is empty. */
struct ByteQueue
{
  uint8_t *bytes; /* talloc */
  size_t start, end, capacity;
};

static inline size_t
byte_queue_length (const struct ByteQueue *queue)
{
  return queue->end - queue->start;
}

/* Returns the first byte; NULL if the queue is empty. */
static inline const uint8_t *
byte_queue_head (const struct ByteQueue *queue)
{
  return queue->bytes != NULL ? queue->bytes + queue->start : NULL;
}

/* Appends bytes. May return ERROR_NO_MEMORY. */
int32_t
byte_queue_add (TALLOC_CTX *ctx, struct ByteQueue *queue, const void *bytes, size_t n_bytes);

/* Drops n_bytes from the front, and frees the buffer once the queue is empty. */
void
byte_queue_drop (struct ByteQueue *queue, size_t n_bytes);

/* Sends as much as the socket accepts. Returns false if the connection failed. */
bool
byte_queue_send (struct ByteQueue *queue, int fd);
