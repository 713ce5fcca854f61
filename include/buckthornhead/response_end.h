/* Decides whether a server's response is whole, from the end of its call and from what its body
 * says about its own end. Does no I/O. */
#pragma once

#include <buckthornhead/event_stream.h>
#include <buckthornhead/http_message.h>

enum ResponseBodyKind
{
  RESPONSE_BODY_OPAQUE, /* bytes that do not show their end */
  RESPONSE_BODY_EVENTS, /* .events */
  RESPONSE_BODY_JSON    /* .json */
};

struct ResponseBody
{
  enum ResponseBodyKind kind;
  union
  {
    const struct EventStream *events; /* of a stream that is forwarded as it arrives */
    struct
    {
      const uint8_t *bytes;
      size_t n_bytes;
    } json;
  };
};

enum ResponseVerdict
{
  RESPONSE_WHOLE,
  RESPONSE_BROKEN_OFF, /* the request may have run */
  RESPONSE_UNKNOWN     /* whole, unless the server's process ended at that moment */
};

/* end: of a call that was sent, so not HTTP_END_NOT_SENT. */
enum ResponseVerdict
response_end_judge (enum HttpEnd end, const struct ResponseBody *body);
