#include <buckthornhead/byte_queue.h>

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  INITIAL_CAPACITY_BYTES = 512
};

int32_t
byte_queue_add (TALLOC_CTX *ctx, struct ByteQueue *queue, const void *bytes, size_t n_bytes)
{
  size_t length = byte_queue_length (queue);
  size_t capacity = queue->capacity > 0 ? queue->capacity : INITIAL_CAPACITY_BYTES;
  uint8_t *grown;

  if (n_bytes == 0)
    return ERROR_NONE;
  if (queue->end + n_bytes > queue->capacity && queue->start > 0)
    {
      memmove (queue->bytes, queue->bytes + queue->start, length);
      queue->start = 0;
      queue->end = length;
    }
  while (length + n_bytes > capacity)
    capacity *= 2;
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
