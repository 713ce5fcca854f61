/* What HTTP requests and answers are made of, on either side of the gateway. */
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

/* Headers in the order in which they came. Zeroed it is empty. */
struct HttpHeaders
{
  struct HttpHeader *items; /* talloc array */
  size_t n_items;
};

/* The first value of name (any case); NULL when absent. */
const char *
http_headers_get (const struct HttpHeaders *headers, const char *name);

/* How often name stands there: a message with two lengths or two hosts has no single meaning. */
size_t
http_headers_count (const struct HttpHeaders *headers, const char *name);

/* Appends; name and value must outlive headers. ERROR_NO_MEMORY. */
int32_t
http_headers_add (TALLOC_CTX *ctx,
                  struct HttpHeaders *headers,
                  const char *name,
                  const char *value);

/* True for headers that concern one connection only (RFC 9110, 7.6.1): the fixed ones, and those
 * that the message's own Connection header names. */
bool
http_headers_is_hop (const struct HttpHeaders *headers, const char *name);

/* True when the comma-separated list in value holds token (any case). */
bool
http_list_has (const char *value, const char *token);

/* A header's text, built while its pieces arrive from the parser. */
struct HttpHeadText
{
  char *text; /* talloc; NUL between names and values */
  size_t n_bytes, n_room;
  size_t *starts; /* name, value, name, value... */
  size_t n_starts;
  bool in_value;
};

/* Appends a piece of a name or of a value. ERROR_INVALID for a control character in a value, which
 * could end a line for whoever reads it next; ERROR_NO_MEMORY. */
int32_t
http_head_text_add (
    TALLOC_CTX *ctx, struct HttpHeadText *head, bool is_value, const char *bytes, size_t n_bytes);

/* The finished headers; they refer to head's text. */
int32_t
http_head_text_finish (TALLOC_CTX *ctx, struct HttpHeadText *head, struct HttpHeaders *headers);

/* The standard words for status, such as "Service Unavailable"; "Status" for an unknown one. */
const char *
http_reason (uint32_t status);
