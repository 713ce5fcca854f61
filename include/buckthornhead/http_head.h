/* Grammar of the head of an HTTP/1 message (RFC 9112, 3 to 5), checked before a parser reads it.
 *
 * Parsers accept more than the grammar: status 000, blanks in a field's name, folded lines. Two of
 * them may then disagree on what such a head says, and on where its body ends. Does no I/O. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum HttpHeadKind
{
  HTTP_HEAD_REQUEST, /* the start line is checked for control characters only */
  HTTP_HEAD_RESPONSE
};

enum HttpHeadState
{
  HTTP_HEAD_START, /* before the start line: empty lines are skipped */
  HTTP_HEAD_START_LINE,
  HTTP_HEAD_LINE, /* at the start of a field's line */
  HTTP_HEAD_NAME,
  HTTP_HEAD_VALUE,
  HTTP_HEAD_LINE_END,  /* after the CR of a line that is not empty */
  HTTP_HEAD_LAST_LINE, /* after the CR of the empty line */
  HTTP_HEAD_DONE,
  HTTP_HEAD_INVALID
};

struct HttpHeadCheck
{
  enum HttpHeadKind kind;
  enum HttpHeadState state;
  uint32_t status;  /* of a response, once its status line was read */
  uint32_t n_start; /* number of bytes of the start line, up to the reason phrase */
};

/* Prepares for a new message. */
void
http_head_check_begin (struct HttpHeadCheck *check, enum HttpHeadKind kind);

/* Prepares for the trailer section after the chunks of a body. */
void
http_head_check_begin_trailers (struct HttpHeadCheck *check);

/* Checks the next bytes of a message, up to the end of its head; the body is not looked at. Returns
 * false from the first byte on that the grammar does not allow. */
bool
http_head_check (struct HttpHeadCheck *check, const void *bytes, size_t n_bytes);

/* Returns whether all bytes may be part of a token (RFC 9110, 5.6.2), such as a field's name. */
bool
http_are_token_bytes (const char *bytes, size_t n_bytes);
