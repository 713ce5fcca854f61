/* Incremental parser for one HTTP request of a listener; enforces the size limits. */
#pragma once

#include <buckthornhead/http_head.h>
#include <buckthornhead/http_server.h>

#include <http_parser.h>

struct HttpRequestReader
{
  TALLOC_CTX *ctx; /* talloc parent of the buffers */
  struct HttpLimits limits;
  struct HttpHeadCheck check;
  http_parser parser;
  struct HttpHeadText head;
  char *target;
  size_t target_bytes;
  uint8_t *body;
  size_t body_bytes, head_bytes;
  uint32_t error_status; /* status to reject the request with, 0: none */
  bool headers_done, complete;
  /* Returns whether the buffer of the body may grow by n_bytes for a body of body_bytes. NULL: it
   * always may. */
  bool (*reserve) (void *data, size_t n_bytes, size_t body_bytes);
  void *data;
  bool memory_exceeded; /* rejected because of .reserve */
};

/* Prepares for a new request. Frees the previous one, except for buffers whose pointers the caller
 * has taken over and cleared. */
void
http_request_reader_reset (TALLOC_CTX *ctx,
                           struct HttpRequestReader *reader,
                           const struct HttpLimits *limits);

/* Consumes bytes up to the end of the request and returns their number. Afterwards .complete is set
 * if the request is complete; a parser errno other than HPE_OK and HPE_PAUSED means that it must be
 * rejected. */
size_t
http_request_reader_parse (struct HttpRequestReader *reader, const uint8_t *bytes, size_t n_bytes);

/* Returns the status to reject the request with. */
uint32_t
http_request_reader_error_status (const struct HttpRequestReader *reader);
