#include "http_request_reader.h"

#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

#include <string.h>

enum
{
  FIELD_EXTRA_BYTES = 3 /* of a header line, besides its name and value: colon, CR and LF */
};

/* Return value of the headers callback that stops the parser. 1 and 2 mean "no body follows" there,
 * and the body would be parsed as the next request. */
enum
{
  HEADERS_ERROR = -1
};

/* Parser callbacks: a non-zero return value stops the parser; .error_status holds the status to
 * reject the request with. */

static int
parser_reject (struct HttpRequestReader *r, uint32_t status)
{
  if (r->error_status == 0)
    r->error_status = status;
  return 1;
}

static bool
head_within_limit (struct HttpRequestReader *r, size_t n_bytes)
{
  r->head_bytes += n_bytes;
  return r->head_bytes <= r->limits.header_max_bytes;
}

static int
parser_on_target (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct HttpRequestReader *r = parser->data;
  char *grown;

  if (!head_within_limit (r, n_bytes))
    return parser_reject (r, 431);
  grown = (char *)held_memory_resize (r->ctx, (uint8_t *)r->target, r->target_bytes + n_bytes + 1);
  if (grown == NULL)
    return parser_reject (r, 503);
  r->target = grown;
  memcpy (r->target + r->target_bytes, bytes, n_bytes);
  r->target_bytes += n_bytes;
  r->target[r->target_bytes] = '\0';
  return 0;
}

static int
parser_on_head (struct HttpRequestReader *r, bool is_value, const char *bytes, size_t n_bytes)
{
  bool begins_field = !is_value && (r->head.n_starts == 0 || r->head.in_value);

  if (!head_within_limit (r, n_bytes + (begins_field ? FIELD_EXTRA_BYTES : 0)))
    return parser_reject (r, 431);
  switch (http_head_text_add (r->ctx, &r->head, is_value, bytes, n_bytes))
    {
    case ERROR_NONE:
      return 0;
    case ERROR_NO_MEMORY:
      return parser_reject (r, 503);
    default:
      return parser_reject (r, 400);
    }
}

static int
parser_on_name (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct HttpRequestReader *r = parser->data;

  /* Trailers are not forwarded. */
  if (r->headers_done)
    return !http_are_token_bytes (bytes, n_bytes);
  return parser_on_head (r, false, bytes, n_bytes);
}

static int
parser_on_value (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct HttpRequestReader *r = parser->data;

  return r->headers_done ? 0 : parser_on_head (r, true, bytes, n_bytes);
}

/* Resizes the buffer of the body for a body of body_bytes. Returns false, and sets the status, if
 * there is no memory for it. */
static bool
reader_resize_body (struct HttpRequestReader *r, size_t n_bytes, size_t body_bytes)
{
  size_t capacity = r->body != NULL ? talloc_get_size (r->body) : 0;
  uint8_t *resized;

  r->memory_exceeded = r->reserve != NULL && !r->reserve (r->data, n_bytes - capacity, body_bytes);
  resized = r->memory_exceeded ? NULL : held_memory_resize (r->ctx, r->body, n_bytes);
  if (resized == NULL)
    {
      parser_reject (r, 503);
      return false;
    }
  r->body = resized;
  return true;
}

static int
parser_on_headers_complete (http_parser *parser)
{
  struct HttpRequestReader *r = parser->data;
  uint64_t length = parser->content_length;

  r->headers_done = true;
  if (!(parser->flags & F_CONTENTLENGTH))
    return 0;
  if (length > r->limits.body_max_bytes)
    {
      parser_reject (r, 413);
      return HEADERS_ERROR;
    }
  /* Allocated before the body arrives, so that it is counted when the next request is checked. */
  if (length > 0 && !reader_resize_body (r, (size_t)length, (size_t)length))
    return HEADERS_ERROR;
  return 0;
}

static int
parser_on_body (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct HttpRequestReader *r = parser->data;
  size_t total_bytes = r->body_bytes + n_bytes;

  if (total_bytes > r->limits.body_max_bytes)
    return parser_reject (r, 413);
  if ((r->body == NULL || total_bytes > talloc_get_size (r->body))
      && !reader_resize_body (r, held_memory_grown_size (total_bytes, r->limits.body_max_bytes),
                              total_bytes))
    return 1;
  memcpy (r->body + r->body_bytes, bytes, n_bytes);
  r->body_bytes = total_bytes;
  return 0;
}

static int
parser_on_message_complete (http_parser *parser)
{
  struct HttpRequestReader *r = parser->data;

  r->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_url = parser_on_target,
  .on_header_field = parser_on_name,
  .on_header_value = parser_on_value,
  .on_headers_complete = parser_on_headers_complete,
  .on_body = parser_on_body,
  .on_message_complete = parser_on_message_complete,
};

void
http_request_reader_reset (TALLOC_CTX *ctx,
                           struct HttpRequestReader *reader,
                           const struct HttpLimits *limits)
{
  http_head_text_free (&reader->head);
  TALLOC_FREE (reader->target);
  TALLOC_FREE (reader->body);
  memset (reader, 0, sizeof *reader);
  http_parser_init (&reader->parser, HTTP_REQUEST);
  reader->parser.data = reader;
  http_head_check_begin (&reader->check, HTTP_HEAD_REQUEST);
  reader->ctx = ctx;
  reader->limits = *limits;
}

size_t
http_request_reader_parse (struct HttpRequestReader *reader, const uint8_t *bytes, size_t n_bytes)
{
  if (!http_head_check (&reader->check, bytes, n_bytes))
    {
      reader->parser.http_errno = HPE_INVALID_HEADER_TOKEN;
      return 0;
    }
  return http_parser_execute (&reader->parser, &parser_settings, (const char *)bytes, n_bytes);
}

uint32_t
http_request_reader_error_status (const struct HttpRequestReader *reader)
{
  if (reader->error_status != 0)
    return reader->error_status;
  return HTTP_PARSER_ERRNO (&reader->parser) == HPE_HEADER_OVERFLOW ? 431 : 400;
}
