#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/event_stream.h>

#include <string.h>

static const char two_events[] =
    "id: 1\ndata: one\n\nx-note: 3\nid: 2\ndata:two\r\n\r\n: a comment\n\n";

static void
check_data (const struct EventStream *stream, const char *expected)
{
  CU_ASSERT_EQUAL (byte_queue_length (&stream->data), strlen (expected));
  CU_ASSERT_EQUAL (memcmp (byte_queue_head (&stream->data), expected, strlen (expected)), 0);
}

/* The result must not depend on how the stream is split into chunks. */
static void
test_events_do_not_depend_on_chunks (void)
{
  for (size_t chunk_bytes = 1; chunk_bytes <= sizeof two_events - 1; chunk_bytes++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct EventStream stream = { .collects_data = true };

      for (size_t at = 0; at < sizeof two_events - 1; at += chunk_bytes)
        {
          size_t n =
              sizeof two_events - 1 - at < chunk_bytes ? sizeof two_events - 1 - at : chunk_bytes;

          CU_ASSERT_EQUAL (event_stream_parse (ctx, &stream, (const uint8_t *)two_events + at, n),
                           ERROR_NONE);
        }
      CU_ASSERT_EQUAL (stream.n_events, 2);
      check_data (&stream, "one\ntwo\n");
      talloc_free (ctx);
    }
}

/* A server crashes within an event. The partial event was not forwarded and must not be charged. */
static void
test_event_counts_once_complete (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { .collects_data = true };

  event_stream_parse (ctx, &stream, (const uint8_t *)"data: a\n\ndata: b\n", 17);
  CU_ASSERT_EQUAL (stream.n_events, 1);
  check_data (&stream, "a\n");
  talloc_free (ctx);
}

static void
test_data_lines_form_one_event (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { .collects_data = true };

  event_stream_parse (ctx, &stream, (const uint8_t *)"data: a\ndata: b\n\ndata:\n\n", 24);
  CU_ASSERT_EQUAL (stream.n_events, 2);
  check_data (&stream, "a\nb\n\n");
  talloc_free (ctx);
}

/* A server crashes within its third event. The caller has received the first two, the bytes of the
 * third are dropped, and another server resumes after the second. */
static void
test_incomplete_event_is_dropped_on_resume (void)
{
  static const char bytes[] = "id: 1\ndata: a\n\nid: 7\ndata: b\n\nid: 8\nda";
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { 0 };

  event_stream_parse (ctx, &stream, (const uint8_t *)bytes, sizeof bytes - 1);
  CU_ASSERT_EQUAL (stream.incomplete_bytes, strlen ("id: 8\nda"));
  CU_ASSERT_TRUE (stream.has_last_id);
  CU_ASSERT_EQUAL (stream.last_id, 7);
  event_stream_resume (&stream);
  CU_ASSERT_EQUAL (stream.incomplete_bytes, 0);
  event_stream_parse (ctx, &stream, (const uint8_t *)"id: 8\ndata: c\n\n", 16);
  CU_ASSERT_EQUAL (stream.n_events, 3);
  CU_ASSERT_EQUAL (stream.last_id, 8);
  CU_ASSERT_FALSE (stream.has_repeated_event);
  talloc_free (ctx);
}

/* The resuming server restarts at the first event, which the caller would receive twice. */
static void
test_repeated_events_are_detected (void)
{
  static const char run[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { 0 };

  event_stream_parse (ctx, &stream, (const uint8_t *)run, sizeof run - 1);
  event_stream_resume (&stream);
  event_stream_parse (ctx, &stream, (const uint8_t *)run, sizeof run - 1);
  CU_ASSERT_TRUE (stream.has_repeated_event);
  talloc_free (ctx);
}

/* A stream cannot be resumed after an id that is not a whole number. */
static void
test_non_numeric_id_is_ignored (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { 0 };

  event_stream_parse (ctx, &stream, (const uint8_t *)"id: x1\ndata: a\n\n", 17);
  CU_ASSERT_FALSE (stream.has_last_id);
  talloc_free (ctx);
}

const char test_suite_name[] = "event_stream";
const struct TestCase test_cases[] = {
  { "events do not depend on chunks", test_events_do_not_depend_on_chunks },
  { "an event counts once complete", test_event_counts_once_complete },
  { "several data lines form one event", test_data_lines_form_one_event },
  { "an incomplete event is dropped on resume", test_incomplete_event_is_dropped_on_resume },
  { "repeated events are detected", test_repeated_events_are_detected },
  { "a non-numeric id is ignored", test_non_numeric_id_is_ignored },
  { NULL, NULL },
};
