#include <buckthornhead/event_stream.h>

#include <buckthornhead/error.h>

#include <string.h>

/* A blank line ends the event. */
static int32_t
event_end (TALLOC_CTX *ctx, struct EventStream *stream)
{
  int32_t error;

  if (!stream->has_data)
    return ERROR_NONE;
  error = byte_queue_add (ctx, &stream->data, byte_queue_head (&stream->event),
                          byte_queue_length (&stream->event));
  if (error == ERROR_NONE)
    error = byte_queue_add (ctx, &stream->data, "\n", 1);
  byte_queue_drop (&stream->event, byte_queue_length (&stream->event));
  stream->has_data = false;
  stream->n_events++;
  return error;
}

static int32_t
line_end (TALLOC_CTX *ctx, struct EventStream *stream)
{
  const uint8_t *line = byte_queue_head (&stream->line);
  size_t n = byte_queue_length (&stream->line);
  int32_t error = ERROR_NONE;

  if (n > 0 && line[n - 1] == '\r')
    n--;
  if (n == 0)
    error = event_end (ctx, stream);
  else if (n >= 5 && memcmp (line, "data:", 5) == 0)
    {
      size_t skip = n > 5 && line[5] == ' ' ? 6 : 5;

      if (stream->has_data)
        error = byte_queue_add (ctx, &stream->event, "\n", 1);
      if (error == ERROR_NONE)
        error = byte_queue_add (ctx, &stream->event, line + skip, n - skip);
      stream->has_data = true;
    }
  byte_queue_drop (&stream->line, byte_queue_length (&stream->line));
  return error;
}

int32_t
event_stream_take (TALLOC_CTX *ctx,
                   struct EventStream *stream,
                   const uint8_t *bytes,
                   size_t n_bytes)
{
  size_t at = 0;

  while (at < n_bytes)
    {
      const uint8_t *feed = memchr (bytes + at, '\n', n_bytes - at);
      size_t n = feed != NULL ? (size_t)(feed - bytes) - at : n_bytes - at;
      int32_t error = byte_queue_add (ctx, &stream->line, bytes + at, n);

      if (error == ERROR_NONE && feed != NULL)
        error = line_end (ctx, stream);
      if (error != ERROR_NONE)
        return error;
      at += n + (feed != NULL);
    }
  return ERROR_NONE;
}
