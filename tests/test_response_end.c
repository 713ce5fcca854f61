#include "test_main.h"

#include "../adapters/http_response_reader.h"

#include <buckthornhead/error.h>
#include <buckthornhead/response_end.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_DRAWS = 1000,
  PIECE_MAX_BYTES = 40,
  RESPONSE_BYTES = 2048
};

enum BodyType
{
  OPAQUE,
  STREAM,
  JSON
};

/* A response whose server sent the bytes so far, then closed or reset the connection. */
struct Scenario
{
  enum HttpFraming framing;
  const char *body;
  enum BodyType type;
  size_t n_sent; /* bytes of the whole response that arrive */
  bool in_order; /* closed, not reset */
  size_t piece_bytes;
};

struct Receiver
{
  TALLOC_CTX *ctx;
  struct EventStream events;
  struct ByteQueue body;
};

static bool
receiver_on_head (void *data, const struct HttpResponseHead *head)
{
  (void)data;
  return head->status == 200;
}

static void
receiver_on_body (void *data, const uint8_t *bytes, size_t n_bytes)
{
  struct Receiver *receiver = data;

  CU_ASSERT_EQUAL (byte_queue_add (receiver->ctx, &receiver->body, bytes, n_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL (event_stream_parse (receiver->ctx, &receiver->events, bytes, n_bytes),
                   ERROR_NONE);
}

/* Writes the whole response to text and returns its length. */
static size_t
response_write (char text[RESPONSE_BYTES], enum HttpFraming framing, const char *body)
{
  size_t n_body = strlen (body), n_first = n_body / 2;
  int n = 0;

  switch (framing)
    {
    case HTTP_FRAMING_LENGTH:
      n = snprintf (text, RESPONSE_BYTES, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                    n_body, body);
      break;
    case HTTP_FRAMING_CHUNKS:
      n = snprintf (text, RESPONSE_BYTES,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%zx\r\n%.*s\r\n%zx\r\n%s"
                    "\r\n0\r\n\r\n",
                    n_first, (int)n_first, body, n_body - n_first, body + n_first);
      break;
    case HTTP_FRAMING_CONNECTION:
      n = snprintf (text, RESPONSE_BYTES, "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\n\r\n%s", body);
      break;
    }
  CU_ASSERT_FATAL (n > 0 && n < RESPONSE_BYTES);
  return (size_t)n;
}

static enum HttpEnd
reader_receive (struct HttpResponseReader *reader,
                const char *text,
                const struct Scenario *scenario)
{
  for (size_t at = 0; at < scenario->n_sent;)
    {
      size_t n = scenario->n_sent - at, n_read;

      if (n > scenario->piece_bytes)
        n = scenario->piece_bytes;
      switch (http_response_reader_parse (reader, (const uint8_t *)text + at, n, &n_read))
        {
        case HTTP_READ_INCOMPLETE:
          break;
        case HTTP_READ_COMPLETE:
          return HTTP_END_COMPLETE;
        case HTTP_READ_MALFORMED:
          return HTTP_END_MALFORMED;
        }
      at += n;
    }
  return http_response_reader_close (reader, scenario->in_order);
}

static void
receiver_fill_body (const struct Receiver *receiver, enum BodyType type, struct ResponseBody *body)
{
  switch (type)
    {
    case OPAQUE:
      body->kind = RESPONSE_BODY_OPAQUE;
      break;
    case STREAM:
      body->kind = RESPONSE_BODY_EVENTS;
      body->events = &receiver->events;
      break;
    case JSON:
      body->kind = RESPONSE_BODY_JSON;
      body->json.bytes = byte_queue_head (&receiver->body);
      body->json.n_bytes = byte_queue_length (&receiver->body);
      break;
    }
}

/* Returns the verdict on the response, and in *inside_event whether its body ends inside an event.
 */
static enum ResponseVerdict
scenario_run (const struct Scenario *scenario, bool *inside_event)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Receiver receiver = { .ctx = ctx };
  struct HttpResponseReader reader = { .on_head = receiver_on_head,
                                       .on_body = receiver_on_body,
                                       .data = &receiver };
  struct ResponseBody body = { 0 };
  char text[RESPONSE_BYTES];
  enum HttpEnd end;
  enum ResponseVerdict verdict;

  response_write (text, scenario->framing, scenario->body);
  http_response_reader_reset (ctx, &reader);
  end = reader_receive (&reader, text, scenario);
  receiver_fill_body (&receiver, scenario->type, &body);
  *inside_event = scenario->type == STREAM && event_stream_is_inside_event (&receiver.events);
  verdict = response_end_judge (end, &body);
  talloc_free (ctx);
  return verdict;
}

static const char *const streams[] = {
  "id: 1\ndata: one\n\nid: 2\ndata: two\n\n",
  "id: 1\r\ndata: one\r\ndata: more\r\n\r\nid: 2\r\ndata: two\r\n\r\n",
  "x-note: 3\nid: 7\ndata: one\n\n: comment\n\nid: 8\ndata:\n\n: last\n",
};
static const char opaque[] = "half of this is not the whole";
static const char json[] = "{\"a\":[1,\"two\"],\"b\":{}}";

/* Checks that the response counts as whole only if the server had sent all of it. */
static void
scenario_check (const struct Scenario *scenario)
{
  char text[RESPONSE_BYTES];
  bool sent_all = scenario->n_sent == response_write (text, scenario->framing, scenario->body);
  bool framed = scenario->framing != HTTP_FRAMING_CONNECTION, inside_event;
  enum ResponseVerdict verdict = scenario_run (scenario, &inside_event);

  if (sent_all && (framed || (scenario->type == JSON && scenario->in_order)))
    CU_ASSERT_EQUAL (verdict, RESPONSE_WHOLE)
  else if (sent_all)
    CU_ASSERT_EQUAL (verdict, scenario->in_order ? RESPONSE_UNKNOWN : RESPONSE_BROKEN_OFF)
  else if (framed || !scenario->in_order || inside_event)
    CU_ASSERT_EQUAL (verdict, RESPONSE_BROKEN_OFF)
  else
    CU_ASSERT_NOT_EQUAL (verdict, RESPONSE_WHOLE);
}

static void
check_all_cuts (const char *body, enum BodyType type)
{
  static const enum HttpFraming framings[] = { HTTP_FRAMING_LENGTH, HTTP_FRAMING_CHUNKS,
                                               HTTP_FRAMING_CONNECTION };

  for (size_t i = 0; i < sizeof framings / sizeof framings[0]; i++)
    {
      char text[RESPONSE_BYTES];
      size_t n_bytes = response_write (text, framings[i], body);

      for (size_t n_sent = 0; n_sent <= n_bytes; n_sent++)
        for (int in_order = 0; in_order < 2; in_order++)
          {
            struct Scenario scenario = { framings[i], body,          type,
                                         n_sent,      in_order != 0, RESPONSE_BYTES };

            scenario_check (&scenario);
          }
    }
}

/* Guards against a response that broke off at any byte, under any framing, and counts as whole. */
static void
test_no_cut_response_is_whole (void)
{
  check_all_cuts (opaque, OPAQUE);
  check_all_cuts (json, JSON);
  for (size_t i = 0; i < sizeof streams / sizeof streams[0]; i++)
    check_all_cuts (streams[i], STREAM);
}

/* The verdict must not depend on how the bytes arrive. */
static void
test_verdict_does_not_depend_on_pieces (void)
{
  srand (50);
  for (uint32_t i = 0; i < N_DRAWS; i++)
    {
      struct Scenario scenario = { .framing = (enum HttpFraming) (rand () % 3),
                                   .body = streams[rand () % 3],
                                   .type = STREAM,
                                   .in_order = rand () % 2 == 0 };
      char text[RESPONSE_BYTES];
      size_t n_bytes = response_write (text, scenario.framing, scenario.body);
      bool inside_event, inside_event_whole;
      enum ResponseVerdict verdict;

      scenario.n_sent = (size_t)rand () % (n_bytes + 1);
      scenario.piece_bytes = 1 + (size_t)rand () % PIECE_MAX_BYTES;
      scenario_check (&scenario);
      verdict = scenario_run (&scenario, &inside_event);
      scenario.piece_bytes = RESPONSE_BYTES;
      CU_ASSERT_EQUAL (verdict, scenario_run (&scenario, &inside_event_whole));
      CU_ASSERT_EQUAL (inside_event, inside_event_whole);
    }
}

/* Guards against trusting a length or a last chunk that a server sends although its stream is cut.
 */
static void
test_framed_stream_that_ends_inside_an_event_is_broken_off (void)
{
  static const enum HttpFraming framings[] = { HTTP_FRAMING_LENGTH, HTTP_FRAMING_CHUNKS };

  for (size_t i = 0; i < 2; i++)
    for (size_t n = 2; n < strlen (streams[0]); n++)
      {
        char body[RESPONSE_BYTES], text[RESPONSE_BYTES];
        struct Scenario scenario = { framings[i], body, STREAM, 0, true, RESPONSE_BYTES };
        bool inside_event;

        snprintf (body, sizeof body, "%.*s", (int)n, streams[0]);
        scenario.n_sent = response_write (text, framings[i], body);
        CU_ASSERT_EQUAL (scenario_run (&scenario, &inside_event),
                         inside_event ? RESPONSE_BROKEN_OFF : RESPONSE_WHOLE);
        CU_ASSERT_EQUAL (inside_event, n != strlen ("id: 1\ndata: one\n\n"));
      }
}

static enum HttpEnd
receive_text (const char *text, bool in_order)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Receiver receiver = { .ctx = ctx };
  struct HttpResponseReader reader = { .on_head = receiver_on_head,
                                       .on_body = receiver_on_body,
                                       .data = &receiver };
  struct Scenario scenario = { .n_sent = strlen (text),
                               .in_order = in_order,
                               .piece_bytes = RESPONSE_BYTES };
  enum HttpEnd end;

  http_response_reader_reset (ctx, &reader);
  end = reader_receive (&reader, text, &scenario);
  talloc_free (ctx);
  return end;
}

static void
test_forms_of_responses (void)
{
  static const struct
  {
    const char *text;
    enum HttpEnd end;
  } forms[] = {
    { "HTTP/1.0 200 OK\r\n\r\nbody", HTTP_END_CLOSED },
    { "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", HTTP_END_COMPLETE },
    { "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nbody", HTTP_END_BROKEN },
    { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nbody", HTTP_END_BROKEN },
    { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbody", HTTP_END_COMPLETE },
    { "HTTP/1.1 200 OK\r\n\r\n", HTTP_END_CLOSED },
    { "HTTP/1.1 200 OK\r\n", HTTP_END_BROKEN },
    { "HTTP/1.1 100 Continue\r\n\r\n", HTTP_END_BROKEN },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody", HTTP_END_CLOSED },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n",
      HTTP_END_COMPLETE },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n",
      HTTP_END_BROKEN },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", HTTP_END_BROKEN },
  };

  for (size_t i = 0; i < sizeof forms / sizeof forms[0]; i++)
    {
      CU_ASSERT_EQUAL (receive_text (forms[i].text, true), forms[i].end);
      if (forms[i].end == HTTP_END_CLOSED)
        CU_ASSERT_EQUAL (receive_text (forms[i].text, false), HTTP_END_BROKEN);
    }
}

/* Guards against half a JSON document of a server that goes on running. */
static void
test_json_shows_its_end (void)
{
  bool inside_event;

  for (size_t n = 2; n < strlen (json); n++)
    {
      char body[RESPONSE_BYTES], text[RESPONSE_BYTES];
      struct Scenario scenario = { HTTP_FRAMING_CONNECTION, body, JSON, 0, true, RESPONSE_BYTES };

      snprintf (body, sizeof body, "%.*s", (int)n, json);
      scenario.n_sent = response_write (text, scenario.framing, body);
      CU_ASSERT_EQUAL (scenario_run (&scenario, &inside_event), RESPONSE_BROKEN_OFF);
    }
}

/* Guards against rejecting text that is only called JSON. */
static void
test_text_called_json_does_not_show_its_end (void)
{
  char text[RESPONSE_BYTES];
  struct Scenario scenario = { HTTP_FRAMING_CONNECTION, opaque, JSON, 0, true, RESPONSE_BYTES };
  bool inside_event;

  scenario.n_sent = response_write (text, scenario.framing, opaque);
  CU_ASSERT_EQUAL (scenario_run (&scenario, &inside_event), RESPONSE_UNKNOWN);
}

const char test_suite_name[] = "response_end";
const struct TestCase test_cases[] = {
  { "no cut response is whole", test_no_cut_response_is_whole },
  { "the verdict does not depend on pieces", test_verdict_does_not_depend_on_pieces },
  { "a framed stream that ends inside an event is broken off",
    test_framed_stream_that_ends_inside_an_event_is_broken_off },
  { "JSON shows its end", test_json_shows_its_end },
  { "text called JSON does not show its end", test_text_called_json_does_not_show_its_end },
  { "forms of responses", test_forms_of_responses },
  { NULL, NULL },
};
