/* Headers, reason phrases and ends of HTTP messages, for callers and backend servers. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

struct HttpHeader
{
  const char *name;
  const char *value;
};

/* Headers in the order of arrival. An all-zero structure is empty. */
struct HttpHeaders
{
  struct HttpHeader *items; /* talloc array */
  size_t n_items;
};

/* Returns the first value of name (case-insensitive); NULL if absent. */
const char *
http_headers_get (const struct HttpHeaders *headers, const char *name);

/* Returns the number of headers called name. A message with two Content-Length or Host headers is
 * ambiguous. */
size_t
http_headers_count (const struct HttpHeaders *headers, const char *name);

/* Appends a header; name and value must outlive headers. May return ERROR_NO_MEMORY. */
int32_t
http_headers_add (TALLOC_CTX *ctx,
                  struct HttpHeaders *headers,
                  const char *name,
                  const char *value);

/* True for hop-by-hop headers (RFC 9110, 7.6.1): the fixed ones, and those that the message's
 * Connection header lists. */
bool
http_headers_is_hop (const struct HttpHeaders *headers, const char *name);

/* True when the comma-separated list in value contains token (case-insensitive). */
bool
http_list_has (const char *value, const char *token);

/* True when the message's body is in no transfer coding, or in chunks alone. */
bool
http_headers_decodable (const struct HttpHeaders *headers);

/* Text of all headers, built from the pieces that the parser delivers. Its memory is counted, see
 * held_memory.h. */
struct HttpHeadText
{
  char *text; /* talloc; NUL between names and values */
  size_t n_bytes, capacity;
  size_t *starts; /* name, value, name, value... */
  size_t n_starts, starts_capacity;
  bool in_value;
};

/* Returns the size of the buffers. */
size_t
http_head_text_held_bytes (const struct HttpHeadText *head);

/* Frees the buffers. */
void
http_head_text_free (struct HttpHeadText *head);

/* Appends a piece of a name or of a value. Returns ERROR_INVALID for a control character, which the
 * next recipient could read as the end of a line, or ERROR_NO_MEMORY. */
int32_t
http_head_text_add (
    TALLOC_CTX *ctx, struct HttpHeadText *head, bool is_value, const char *bytes, size_t n_bytes);

/* Returns the complete headers, which refer to head's text. */
int32_t
http_head_text_finish (TALLOC_CTX *ctx, struct HttpHeadText *head, struct HttpHeaders *headers);

/* Returns the reason phrase of status, such as "Service Unavailable"; "Status" if unknown. */
const char *
http_reason (uint32_t status);

/* What delimits the body of a response. */
enum HttpFraming
{
  HTTP_FRAMING_LENGTH, /* its length, or a status that has no body */
  HTTP_FRAMING_CHUNKS,
  HTTP_FRAMING_CONNECTION /* the end of the connection alone; truncation can go unseen */
};

/* Returns a framing's name for log lines, such as "its length". */
const char *
http_framing_name (enum HttpFraming framing);

/* Why a response counts as the one to the request that was sent last on its connection. */
enum HttpAttribution
{
  HTTP_ATTRIBUTED_BY_ID,         /* it has the request's id */
  HTTP_ATTRIBUTED_BY_CONNECTION, /* it has no id; the connection has carried no other request */
  HTTP_NOT_ATTRIBUTED            /* it has no id, and may respond to an earlier request */
};

/* How a call to a server ended. */
enum HttpEnd
{
  HTTP_END_COMPLETE, /* the response is complete by its framing */
  /* The server closed the connection in order, and nothing else delimits the response: it is
   * complete, or the server's process has ended. */
  HTTP_END_CLOSED,
  HTTP_END_NOT_SENT,  /* nothing was sent: the request did not run */
  HTTP_END_BROKEN,    /* the connection failed after part of the request was sent: may have run */
  HTTP_END_MALFORMED, /* the response cannot be parsed: may have run */
};
