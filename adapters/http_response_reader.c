#include "http_response_reader.h"

#include <buckthornhead/error.h>

#include <stdlib.h>
#include <string.h>

enum
{
  HEAD_MAX_BYTES = 64 * 1024, /* limit on the headers of a response */
  /* Interim responses, and a late response to another request with its body. */
  DISCARDED_MAX_BYTES = 1024 * 1024
};

/* Prepares for the next response. */
static void
reader_begin (TALLOC_CTX *ctx, struct HttpResponseReader *r)
{
  r->ctx = ctx;
  http_head_check_begin (&r->check, HTTP_HEAD_RESPONSE);
  http_parser_init (&r->parser, HTTP_RESPONSE);
  r->parser.data = r;
  http_head_text_free (&r->head);
  r->head_bytes = 0;
  r->framing = HTTP_FRAMING_CONNECTION;
  r->headers_done = false;
  r->discard = false;
  r->complete = false;
}

void
http_response_reader_reset (TALLOC_CTX *ctx, struct HttpResponseReader *r)
{
  reader_begin (ctx, r);
  r->expects_no_body = false;
  r->discarded_bytes = 0;
}

/* Parser callbacks; a non-zero return value stops the parser. */

static int
parser_on_head (struct HttpResponseReader *r, bool is_value, const char *bytes, size_t n_bytes)
{
  /* Trailers are not forwarded. */
  if (r->headers_done)
    return !is_value && !http_are_token_bytes (bytes, n_bytes);
  r->head_bytes += n_bytes;
  return r->head_bytes > HEAD_MAX_BYTES
         || http_head_text_add (r->ctx, &r->head, is_value, bytes, n_bytes) != ERROR_NONE;
}

static int
parser_on_name (http_parser *parser, const char *bytes, size_t n_bytes)
{
  return parser_on_head (parser->data, false, bytes, n_bytes);
}

static int
parser_on_value (http_parser *parser, const char *bytes, size_t n_bytes)
{
  return parser_on_head (parser->data, true, bytes, n_bytes);
}

/* Returns the timeout of a "Keep-Alive: timeout=N" header in milliseconds; 0 when absent. */
static int64_t
keep_alive_ms (const struct HttpHeaders *headers)
{
  const char *value = http_headers_get (headers, "Keep-Alive");
  const char *timeout = value != NULL ? strcasestr (value, "timeout=") : NULL;

  return timeout != NULL ? strtoll (timeout + strlen ("timeout="), NULL, 10) * 1000 : 0;
}

/* Returns true for a status whose response has no body, RFC 9112, 6.3. */
static bool
status_has_no_body (uint32_t status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

static enum HttpFraming
reader_framing (const struct HttpResponseReader *r)
{
  const http_parser *parser = &r->parser;

  if (r->expects_no_body || status_has_no_body (parser->status_code))
    return HTTP_FRAMING_LENGTH;
  if ((parser->flags & F_CHUNKED) != 0)
    return HTTP_FRAMING_CHUNKS;
  if ((parser->flags & F_CONTENTLENGTH) != 0)
    return HTTP_FRAMING_LENGTH;
  return HTTP_FRAMING_CONNECTION;
}

/* Return values of the headers callback. */
enum
{
  HEADERS_ERROR = -1,
  NO_BODY_FOLLOWS = 1
};

static int
parser_on_headers_complete (http_parser *parser)
{
  struct HttpResponseReader *r = parser->data;
  struct HttpResponseHead head = { .status = parser->status_code };

  if (http_head_text_finish (r->ctx, &r->head, &head.headers) != ERROR_NONE
      || !http_headers_decodable (&head.headers))
    return HEADERS_ERROR;
  r->headers_done = true;
  r->framing = reader_framing (r);
  head.framing = r->framing;
  r->idle_ms = keep_alive_ms (&head.headers);
  r->discard = head.status / 100 == 1 || !r->on_head (r->data, &head);
  talloc_free (head.headers.items);
  return r->expects_no_body && head.status / 100 != 1 ? NO_BODY_FOLLOWS : 0;
}

static int
parser_on_body (http_parser *parser, const char *bytes, size_t n_bytes)
{
  struct HttpResponseReader *r = parser->data;

  if (!r->discard)
    r->on_body (r->data, (const uint8_t *)bytes, n_bytes);
  return 0;
}

static int
parser_on_message_complete (http_parser *parser)
{
  struct HttpResponseReader *r = parser->data;

  r->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_header_field = parser_on_name,
  .on_header_value = parser_on_value,
  .on_headers_complete = parser_on_headers_complete,
  .on_body = parser_on_body,
  .on_message_complete = parser_on_message_complete,
};

enum HttpReadState
http_response_reader_parse (struct HttpResponseReader *r,
                            const uint8_t *bytes,
                            size_t n_bytes,
                            size_t *n_read)
{
  size_t at = 0;

  *n_read = n_bytes;
  while (at < n_bytes)
    {
      size_t n;

      if (!http_head_check (&r->check, bytes + at, n_bytes - at))
        return HTTP_READ_MALFORMED;
      n = http_parser_execute (&r->parser, &parser_settings, (const char *)bytes + at,
                               n_bytes - at);
      at += n;
      if (r->discard)
        r->discarded_bytes += n;
      if (r->discarded_bytes > DISCARDED_MAX_BYTES)
        return HTTP_READ_MALFORMED;
      if (r->complete && r->discard)
        reader_begin (r->ctx, r);
      else if (r->complete)
        {
          *n_read = at;
          return HTTP_READ_COMPLETE;
        }
      else if (HTTP_PARSER_ERRNO (&r->parser) != HPE_OK)
        return HTTP_READ_MALFORMED;
    }
  return HTTP_READ_INCOMPLETE;
}

enum HttpEnd
http_response_reader_close (struct HttpResponseReader *r, bool in_order)
{
  if (!in_order || !r->headers_done || r->discard || r->framing != HTTP_FRAMING_CONNECTION)
    return HTTP_END_BROKEN;
  http_parser_execute (&r->parser, &parser_settings, NULL, 0);
  return r->complete ? HTTP_END_CLOSED : HTTP_END_BROKEN;
}

bool
http_response_reader_keeps_connection (const struct HttpResponseReader *r)
{
  return http_should_keep_alive (&r->parser) != 0 && r->framing != HTTP_FRAMING_CONNECTION;
}
