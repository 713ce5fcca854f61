/* Reads one request of an HTTP listener from its bytes, within the limits on what a caller may
 * send. */
#pragma once

#include <buckthornhead/http_server.h>

#include <http_parser.h>

struct HttpRequestReader
{
  TALLOC_CTX *ctx; /* owns the texts */
  struct HttpLimits limits;
  http_parser parser;
  struct HttpHeadText head;
  char *target;
  size_t target_bytes;
  uint8_t *body;
  size_t body_bytes, head_bytes;
  uint32_t refusal; /* status for a request that can not be taken, 0: none */
  bool headers_done, whole;
};

/* Ready for a request; what was read before is freed, unless its pointers were taken and cleared.
 */
void
http_request_reader_reset (TALLOC_CTX *ctx,
                           struct HttpRequestReader *reader,
                           const struct HttpLimits *limits);

/* Takes bytes up to the end of the request, and returns how many. Afterwards .whole says whether it
 * is there; the parser's errno other than HPE_OK and HPE_PAUSED, that it can not be taken. */
size_t
http_request_reader_take (struct HttpRequestReader *reader, const uint8_t *bytes, size_t n_bytes);

/* The status for a request that can not be taken. */
uint32_t
http_request_reader_refusal (const struct HttpRequestReader *reader);
