/* Responses of servers: the verdict on one does not depend on how its bytes arrive, and no part of
 * a response counts as complete; the head of one that is passed on is HTTP. The first byte selects
 * what the body is and how the connection ends, the second the size of the pieces. */
#include "../../adapters/http_response_reader.h"
#include "fuzz.h"

#include <buckthornhead/error.h>
#include <buckthornhead/response_end.h>

#include <string.h>

enum
{
  IN_ORDER = 0x10,
  EXPECTS_NO_BODY = 0x20,
  N_BODY_KINDS = 3
};

struct Receiver
{
  TALLOC_CTX *ctx;
  struct HttpResponseReader reader;
  struct EventStream events;
  struct ByteQueue body;
  size_t n_read; /* up to the end of a complete response */
};

static bool
receiver_on_head (void *data, const struct HttpResponseHead *head)
{
  (void)data;
  FUZZ_REQUIRE (head->status >= 200 && head->status < 600);
  FUZZ_REQUIRE (http_headers_decodable (&head->headers));
  for (size_t i = 0; i < head->headers.n_items; i++)
    {
      const char *name = head->headers.items[i].name;

      FUZZ_REQUIRE (name[0] != '\0' && http_are_token_bytes (name, strlen (name)));
    }
  return head->status != 404;
}

static void
receiver_on_body (void *data, const uint8_t *bytes, size_t n_bytes)
{
  struct Receiver *receiver = data;

  FUZZ_REQUIRE (event_stream_parse (receiver->ctx, &receiver->events, bytes, n_bytes)
                == ERROR_NONE);
  FUZZ_REQUIRE (byte_queue_add (receiver->ctx, &receiver->body, bytes, n_bytes) == ERROR_NONE);
}

static enum HttpEnd
receiver_receive (
    struct Receiver *receiver, uint8_t flags, const uint8_t *bytes, size_t n_bytes, size_t piece)
{
  receiver->reader.on_head = receiver_on_head;
  receiver->reader.on_body = receiver_on_body;
  receiver->reader.data = receiver;
  http_response_reader_reset (receiver->ctx, &receiver->reader);
  receiver->reader.expects_no_body = (flags & EXPECTS_NO_BODY) != 0;
  for (size_t at = 0, n_read; at < n_bytes; at += piece)
    switch (http_response_reader_parse (&receiver->reader, bytes + at,
                                        n_bytes - at < piece ? n_bytes - at : piece, &n_read))
      {
      case HTTP_READ_INCOMPLETE:
        break;
      case HTTP_READ_COMPLETE:
        receiver->n_read = at + n_read;
        return HTTP_END_COMPLETE;
      case HTTP_READ_MALFORMED:
        return HTTP_END_MALFORMED;
      }
  return http_response_reader_close (&receiver->reader, (flags & IN_ORDER) != 0);
}

static enum ResponseVerdict
receiver_judge (const struct Receiver *receiver, uint8_t flags, enum HttpEnd end)
{
  struct ResponseBody body = { .kind = (enum ResponseBodyKind) (flags % N_BODY_KINDS) };

  switch (body.kind)
    {
    case RESPONSE_BODY_OPAQUE:
      break;
    case RESPONSE_BODY_EVENTS:
      body.events = &receiver->events;
      break;
    case RESPONSE_BODY_JSON:
      body.json.bytes = byte_queue_head (&receiver->body);
      body.json.n_bytes = byte_queue_length (&receiver->body);
      break;
    }
  return response_end_judge (end, &body);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Receiver whole = { .ctx = ctx }, split = { .ctx = ctx }, part = { .ctx = ctx };
  uint8_t flags;
  enum HttpEnd end, split_end;

  if (n_bytes < 3)
    goto out;
  flags = bytes[0];
  end = receiver_receive (&whole, flags, bytes + 2, n_bytes - 2, n_bytes);
  split_end = receiver_receive (&split, flags, bytes + 2, n_bytes - 2, 1 + bytes[1] % 32U);
  FUZZ_REQUIRE (end == split_end);
  FUZZ_REQUIRE (receiver_judge (&whole, flags, end) == receiver_judge (&split, flags, split_end));
  if (end == HTTP_END_COMPLETE)
    {
      FUZZ_REQUIRE (whole.n_read == split.n_read);
      FUZZ_REQUIRE (receiver_receive (&part, flags, bytes + 2, whole.n_read - 1, n_bytes)
                    != HTTP_END_COMPLETE);
    }
out:
  talloc_free (ctx);
  return 0;
}
