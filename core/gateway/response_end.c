#include <buckthornhead/response_end.h>

#include <jansson.h>

enum BodyState
{
  BODY_MAY_BE_WHOLE,
  BODY_WHOLE,
  BODY_CUT
};

static enum BodyState
json_state (const uint8_t *bytes, size_t n_bytes)
{
  json_error_t error;
  json_t *json = json_loadb ((const char *)bytes, n_bytes, 0, &error);

  if (json != NULL)
    {
      json_decref (json);
      return BODY_WHOLE;
    }
  return json_error_code (&error) == json_error_premature_end_of_input ? BODY_CUT
                                                                       : BODY_MAY_BE_WHOLE;
}

/* Judges a response that ended with its connection by its body. */
static enum BodyState
body_state (const struct ResponseBody *body)
{
  switch (body->kind)
    {
    case RESPONSE_BODY_OPAQUE:
      return BODY_MAY_BE_WHOLE;
    case RESPONSE_BODY_EVENTS:
      return event_stream_is_inside_event (body->events) ? BODY_CUT : BODY_MAY_BE_WHOLE;
    case RESPONSE_BODY_JSON:
      return json_state (body->json.bytes, body->json.n_bytes);
    }
  return BODY_MAY_BE_WHOLE;
}

static enum ResponseVerdict
judge_closed (const struct ResponseBody *body)
{
  switch (body_state (body))
    {
    case BODY_WHOLE:
      return RESPONSE_WHOLE;
    case BODY_CUT:
      return RESPONSE_BROKEN_OFF;
    case BODY_MAY_BE_WHOLE:
      break;
    }
  return RESPONSE_UNKNOWN;
}

enum ResponseVerdict
response_end_judge (enum HttpEnd end, const struct ResponseBody *body)
{
  switch (end)
    {
    case HTTP_END_COMPLETE:
      /* A server that fails may still end its framing, but what it has framed is all it sent. */
      return body->kind == RESPONSE_BODY_EVENTS && body_state (body) == BODY_CUT
                 ? RESPONSE_BROKEN_OFF
                 : RESPONSE_WHOLE;
    case HTTP_END_CLOSED:
      return judge_closed (body);
    case HTTP_END_NOT_SENT:
    case HTTP_END_BROKEN:
    case HTTP_END_MALFORMED:
      return RESPONSE_BROKEN_OFF;
    }
  return RESPONSE_BROKEN_OFF;
}
