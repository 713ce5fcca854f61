#include <buckthornhead/event_stream.h>

#include <buckthornhead/error.h>

#include <string.h>

enum
{
  ID_DIGITS_MAX = 20 /* exclusive: 19 digits always fit into 64 bits */
};

static void
event_record_id (struct EventStream *stream)
{
  if (stream->is_resumed && stream->has_id && stream->has_last_id && stream->id <= stream->last_id)
    stream->has_repeated_event = true;
  stream->has_last_id = stream->has_id;
  stream->last_id = stream->id;
  stream->has_id = false;
}

/* Completes the event on a blank line. */
static int32_t
event_end (TALLOC_CTX *ctx, struct EventStream *stream)
{
  int32_t error = ERROR_NONE;

  if (!stream->has_data)
    return ERROR_NONE;
  if (stream->collects_data)
    error = byte_queue_add (ctx, &stream->data, byte_queue_head (&stream->event),
                            byte_queue_length (&stream->event));
  if (stream->collects_data && error == ERROR_NONE)
    error = byte_queue_add (ctx, &stream->data, "\n", 1);
  byte_queue_drop (&stream->event, byte_queue_length (&stream->event));
  stream->has_data = false;
  stream->n_events++;
  event_record_id (stream);
  return error;
}

static int32_t
line_add_data (TALLOC_CTX *ctx, struct EventStream *stream, const uint8_t *text, size_t n)
{
  int32_t error = ERROR_NONE;

  if (stream->collects_data && stream->has_data)
    error = byte_queue_add (ctx, &stream->event, "\n", 1);
  if (stream->collects_data && error == ERROR_NONE)
    error = byte_queue_add (ctx, &stream->event, text, n);
  stream->has_data = true;
  return error;
}

/* Parses an event id. A stream cannot be resumed after an id that is not a whole number. */
static void
line_parse_id (struct EventStream *stream, const uint8_t *text, size_t n)
{
  uint64_t id = 0;

  stream->has_id = n > 0 && n < ID_DIGITS_MAX;
  for (size_t i = 0; stream->has_id && i < n; i++)
    {
      stream->has_id = text[i] >= '0' && text[i] <= '9';
      id = id * 10 + (uint64_t)(text[i] - '0');
    }
  stream->id = id;
}

/* Returns the value of the named field, or NULL if the line has another field. */
static const uint8_t *
line_value (const uint8_t *line, size_t n, const char *name, size_t *n_value)
{
  size_t n_name = strlen (name);

  if (n < n_name || memcmp (line, name, n_name) != 0)
    return NULL;
  if (n > n_name && line[n_name] == ' ')
    n_name++;
  *n_value = n - n_name;
  return line + n_name;
}

static int32_t
line_parse_field (TALLOC_CTX *ctx, struct EventStream *stream, const uint8_t *line, size_t n)
{
  const uint8_t *value;
  size_t n_value;

  if (line[0] == ':')
    return ERROR_NONE;
  stream->has_field = true;
  if ((value = line_value (line, n, "data:", &n_value)) != NULL)
    return line_add_data (ctx, stream, value, n_value);
  if ((value = line_value (line, n, "id:", &n_value)) != NULL)
    line_parse_id (stream, value, n_value);
  return ERROR_NONE;
}

static int32_t
line_end (TALLOC_CTX *ctx, struct EventStream *stream)
{
  const uint8_t *line = byte_queue_head (&stream->line);
  size_t n = byte_queue_length (&stream->line);
  int32_t error;

  if (n > 0 && line[n - 1] == '\r')
    n--;
  if (n > 0)
    error = line_parse_field (ctx, stream, line, n);
  else
    {
      error = event_end (ctx, stream);
      stream->incomplete_bytes = 0;
      stream->has_field = false;
    }
  byte_queue_drop (&stream->line, byte_queue_length (&stream->line));
  return error;
}

int32_t
event_stream_parse (TALLOC_CTX *ctx,
                    struct EventStream *stream,
                    const uint8_t *bytes,
                    size_t n_bytes)
{
  size_t at = 0;

  while (at < n_bytes)
    {
      const uint8_t *line_feed = memchr (bytes + at, '\n', n_bytes - at);
      size_t n = line_feed != NULL ? (size_t)(line_feed - bytes) - at : n_bytes - at;
      int32_t error = byte_queue_add (ctx, &stream->line, bytes + at, n);

      stream->incomplete_bytes += n + (line_feed != NULL);
      if (error == ERROR_NONE && line_feed != NULL)
        error = line_end (ctx, stream);
      if (error != ERROR_NONE)
        return error;
      at += n + (line_feed != NULL);
    }
  return ERROR_NONE;
}

bool
event_stream_is_inside_event (const struct EventStream *stream)
{
  return stream->has_field || byte_queue_length (&stream->line) > 0;
}

void
event_stream_resume (struct EventStream *stream)
{
  byte_queue_drop (&stream->line, byte_queue_length (&stream->line));
  byte_queue_drop (&stream->event, byte_queue_length (&stream->event));
  stream->incomplete_bytes = 0;
  stream->has_field = false;
  stream->has_data = false;
  stream->has_id = false;
  stream->is_resumed = true;
}
