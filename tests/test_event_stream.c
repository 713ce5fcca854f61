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

/* Bytes arrive cut anywhere; what is kept of the stream must not depend on where. */
static void
test_events_are_the_same_however_they_are_cut (void)
{
  for (size_t cut = 1; cut <= sizeof two_events - 1; cut++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct EventStream stream = { 0 };

      for (size_t at = 0; at < sizeof two_events - 1; at += cut)
        {
          size_t n = sizeof two_events - 1 - at < cut ? sizeof two_events - 1 - at : cut;

          CU_ASSERT_EQUAL (event_stream_take (ctx, &stream, (const uint8_t *)two_events + at, n),
                           ERROR_NONE);
        }
      CU_ASSERT_EQUAL (stream.n_events, 2);
      check_data (&stream, "one\ntwo\n");
      talloc_free (ctx);
    }
}

/* A server dies in the middle of an event: half an event was not handed over and is not charged. */
static void
test_an_event_counts_once_it_has_ended (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { 0 };

  event_stream_take (ctx, &stream, (const uint8_t *)"data: a\n\ndata: b\n", 17);
  CU_ASSERT_EQUAL (stream.n_events, 1);
  check_data (&stream, "a\n");
  talloc_free (ctx);
}

static void
test_several_data_lines_are_one_event (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct EventStream stream = { 0 };

  event_stream_take (ctx, &stream, (const uint8_t *)"data: a\ndata: b\n\ndata:\n\n", 24);
  CU_ASSERT_EQUAL (stream.n_events, 2);
  check_data (&stream, "a\nb\n\n");
  talloc_free (ctx);
}

const char test_suite_name[] = "event_stream";
const struct TestCase test_cases[] = {
  { "events are the same however they are cut", test_events_are_the_same_however_they_are_cut },
  { "an event counts once it has ended", test_an_event_counts_once_it_has_ended },
  { "several data lines are one event", test_several_data_lines_are_one_event },
  { NULL, NULL },
};
