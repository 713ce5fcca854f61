#include <buckthornhead/byte_queue.h>

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  INITIAL_CAPACITY_BYTES = 512,
  DOUBLED_MAX_BYTES = 64 * 1024 /* larger queues get a quarter more than they need */
};

static size_t
grown_capacity (size_t capacity, size_t needed_bytes)
{
  if (capacity == 0)
    capacity = INITIAL_CAPACITY_BYTES;
  while (capacity < needed_bytes && capacity < DOUBLED_MAX_BYTES)
    capacity *= 2;
  return capacity < needed_bytes ? needed_bytes + needed_bytes / 4 : capacity;
}

int32_t
byte_queue_add (TALLOC_CTX *ctx, struct ByteQueue *queue, const void *bytes, size_t n_bytes)
{
  size_t length = byte_queue_length (queue);
  size_t capacity;
  uint8_t *grown;

  if (n_bytes == 0)
    return ERROR_NONE;
  if (queue->end + n_bytes > queue->capacity && queue->start > 0)
    {
      memmove (queue->bytes, queue->bytes + queue->start, length);
      queue->start = 0;
      queue->end = length;
    }
  capacity = grown_capacity (queue->capacity, length + n_bytes);
  if (capacity != queue->capacity)
    {
      grown = held_memory_resize (ctx, queue->bytes, capacity);
      if (grown == NULL)
        return ERROR_NO_MEMORY;
      queue->bytes = grown;
      queue->capacity = capacity;
    }
  memcpy (queue->bytes + queue->end, bytes, n_bytes);
  queue->end += n_bytes;
  return ERROR_NONE;
}

void
byte_queue_drop (struct ByteQueue *queue, size_t n_bytes)
{
  queue->start += n_bytes;
  if (queue->start < queue->end)
    return;
  TALLOC_FREE (queue->bytes);
  memset (queue, 0, sizeof *queue);
}

bool
byte_queue_send (struct ByteQueue *queue, int fd)
{
  while (byte_queue_length (queue) > 0)
    {
      ssize_t n = send (fd, byte_queue_head (queue), byte_queue_length (queue),
                        MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return true;
      if (n < 0)
        return false;
      byte_queue_drop (queue, (size_t)n);
    }
  return true;
}
