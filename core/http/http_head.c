#include <buckthornhead/http_head.h>

#include <string.h>

enum
{
  STATUS_LINE_MIN_BYTES = sizeof "HTTP/1.1 200" - 1,
  STATUS_DIGITS = 3,
  STATUS_SWITCHING_PROTOCOLS = 101
};

static bool
is_digit (uint8_t byte)
{
  return byte >= '0' && byte <= '9';
}

static bool
is_token_byte (uint8_t byte)
{
  return is_digit (byte) || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z')
         || (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* True for a byte of a value, a reason phrase or a request line. */
static bool
is_text_byte (uint8_t byte)
{
  return (byte >= ' ' && byte != 0x7f) || byte == '\t';
}

bool
http_are_token_bytes (const char *bytes, size_t n_bytes)
{
  for (size_t i = 0; i < n_bytes; i++)
    if (!is_token_byte ((uint8_t)bytes[i]))
      return false;
  return true;
}

/* Returns whether byte may be at this place of a status line: "HTTP/1.1 200", in which the second
 * digit of the version may be 0 as well, and the status is 100 to 599. */
static bool
status_line_allows (uint32_t at, uint8_t byte)
{
  static const char start[] = "HTTP/1.";
  static const uint32_t n_start = sizeof start - 1;

  if (at < n_start)
    return byte == (uint8_t)start[at];
  switch (at - n_start)
    {
    case 0:
      return byte == '0' || byte == '1';
    case 1:
      return byte == ' ';
    case 2:
      return byte >= '1' && byte <= '5';
    case 3:
    case 4:
      return is_digit (byte);
    case 5:
      return byte == ' ';
    default:
      return is_text_byte (byte);
    }
}

/* The reason phrase, and the blank before it, may be missing. A response that switches to another
 * protocol would be one to a request that nobody here sends. */
static bool
status_line_may_end (const struct HttpHeadCheck *check)
{
  return check->n_start >= STATUS_LINE_MIN_BYTES && check->status != STATUS_SWITCHING_PROTOCOLS;
}

static enum HttpHeadState
start_line_next (struct HttpHeadCheck *check, uint8_t byte)
{
  bool is_response = check->kind == HTTP_HEAD_RESPONSE;

  if (byte == '\r' || byte == '\n')
    {
      if (is_response && !status_line_may_end (check))
        return HTTP_HEAD_INVALID;
      return byte == '\r' ? HTTP_HEAD_LINE_END : HTTP_HEAD_LINE;
    }
  if (is_response ? !status_line_allows (check->n_start, byte) : !is_text_byte (byte))
    return HTTP_HEAD_INVALID;
  if (is_response && check->n_start >= STATUS_LINE_MIN_BYTES - STATUS_DIGITS
      && check->n_start < STATUS_LINE_MIN_BYTES)
    check->status = check->status * 10 + (byte - '0');
  if (check->n_start <= STATUS_LINE_MIN_BYTES)
    check->n_start++;
  return HTTP_HEAD_START_LINE;
}

static enum HttpHeadState
line_next (uint8_t byte)
{
  if (byte == '\r')
    return HTTP_HEAD_LAST_LINE;
  if (byte == '\n')
    return HTTP_HEAD_DONE;
  return is_token_byte (byte) ? HTTP_HEAD_NAME : HTTP_HEAD_INVALID;
}

static enum HttpHeadState
name_next (uint8_t byte)
{
  if (byte == ':')
    return HTTP_HEAD_VALUE;
  return is_token_byte (byte) ? HTTP_HEAD_NAME : HTTP_HEAD_INVALID;
}

static enum HttpHeadState
value_next (uint8_t byte)
{
  if (byte == '\r')
    return HTTP_HEAD_LINE_END;
  if (byte == '\n')
    return HTTP_HEAD_LINE;
  return is_text_byte (byte) ? HTTP_HEAD_VALUE : HTTP_HEAD_INVALID;
}

static enum HttpHeadState
state_next (struct HttpHeadCheck *check, uint8_t byte)
{
  switch (check->state)
    {
    case HTTP_HEAD_START:
      return byte == '\r' || byte == '\n' ? HTTP_HEAD_START : start_line_next (check, byte);
    case HTTP_HEAD_START_LINE:
      return start_line_next (check, byte);
    case HTTP_HEAD_LINE:
      return line_next (byte);
    case HTTP_HEAD_NAME:
      return name_next (byte);
    case HTTP_HEAD_VALUE:
      return value_next (byte);
    case HTTP_HEAD_LINE_END:
      return byte == '\n' ? HTTP_HEAD_LINE : HTTP_HEAD_INVALID;
    case HTTP_HEAD_LAST_LINE:
      return byte == '\n' ? HTTP_HEAD_DONE : HTTP_HEAD_INVALID;
    case HTTP_HEAD_DONE:
    case HTTP_HEAD_INVALID:
      break;
    }
  return check->state;
}

void
http_head_check_begin (struct HttpHeadCheck *check, enum HttpHeadKind kind)
{
  *check = (struct HttpHeadCheck){ .kind = kind, .state = HTTP_HEAD_START };
}

void
http_head_check_begin_trailers (struct HttpHeadCheck *check)
{
  *check = (struct HttpHeadCheck){ .kind = HTTP_HEAD_RESPONSE, .state = HTTP_HEAD_LINE };
}

bool
http_head_check (struct HttpHeadCheck *check, const void *bytes, size_t n_bytes)
{
  const uint8_t *next = bytes;

  for (size_t i = 0; i < n_bytes && check->state < HTTP_HEAD_DONE; i++)
    check->state = state_next (check, next[i]);
  return check->state != HTTP_HEAD_INVALID;
}
