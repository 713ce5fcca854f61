#include <buckthornhead/response_end.h>

static bool
body_is_cut (const struct ResponseBody *body)
{
  switch (body->kind)
    {
    case RESPONSE_BODY_OPAQUE:
      return false;
    case RESPONSE_BODY_EVENTS:
      return event_stream_is_inside_event (body->events);
    }
  return false;
}

enum ResponseVerdict
response_end_judge (enum HttpEnd end, const struct ResponseBody *body)
{
  switch (end)
    {
    case HTTP_END_COMPLETE:
      return body_is_cut (body) ? RESPONSE_BROKEN_OFF : RESPONSE_WHOLE;
    case HTTP_END_CLOSED:
      return body_is_cut (body) ? RESPONSE_BROKEN_OFF : RESPONSE_UNKNOWN;
    case HTTP_END_NOT_SENT:
    case HTTP_END_BROKEN:
    case HTTP_END_MALFORMED:
      return RESPONSE_BROKEN_OFF;
    }
  return RESPONSE_BROKEN_OFF;
}
