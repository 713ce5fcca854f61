/* Incremental parser of the HTTP responses on one connection to a server. Does no I/O. */
#pragma once

#include <buckthornhead/http_client.h>
#include <buckthornhead/http_head.h>

#include <http_parser.h>

struct HttpResponseReader
{
  TALLOC_CTX *ctx; /* talloc parent of the buffers */
  struct HttpHeadCheck check;
  http_parser parser;
  struct HttpHeadText head;
  size_t head_bytes;
  enum HttpFraming framing;
  bool headers_done, discard, complete;
  size_t discarded_bytes; /* of responses before the one to the request */
  bool expects_no_body;   /* set by the user after a reset: the response is to a HEAD request */
  int64_t idle_ms;        /* the server's keep-alive timeout, 0: not advertised */

  /* Set by the user. on_head returns false for a response to another request, which is discarded.
   * Interim responses are discarded without a call. */
  bool (*on_head) (void *data, const struct HttpResponseHead *head);
  void (*on_body) (void *data, const uint8_t *bytes, size_t n_bytes);
  void *data;
};

enum HttpReadState
{
  HTTP_READ_INCOMPLETE,
  HTTP_READ_COMPLETE,
  HTTP_READ_MALFORMED
};

/* Prepares for the response to a new request. */
void
http_response_reader_reset (TALLOC_CTX *ctx, struct HttpResponseReader *reader);

/* Parses bytes up to the end of the response and sets *n_read to their number; the rest belongs to
 * no request. Discards other responses before it, up to a limit: a server may send them without
 * end. */
enum HttpReadState
http_response_reader_parse (struct HttpResponseReader *reader,
                            const uint8_t *bytes,
                            size_t n_bytes,
                            size_t *n_read);

/* Returns what the end of the connection says about a response that was not complete before.
 * in_order: the server closed the connection, it was not reset. */
enum HttpEnd
http_response_reader_close (struct HttpResponseReader *reader, bool in_order);

/* Returns whether the connection may serve another request after the complete response. */
bool
http_response_reader_keeps_connection (const struct HttpResponseReader *reader);
