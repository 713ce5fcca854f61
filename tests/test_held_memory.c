#include "test_main.h"

#include <buckthornhead/byte_queue.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

static void
test_buffers_are_counted_until_they_are_freed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL), *other = talloc_new (NULL);
  uint8_t *buffer = held_memory_resize (ctx, NULL, 1000);

  CU_ASSERT_EQUAL (held_memory_bytes (), 1000);
  buffer = held_memory_resize (ctx, buffer, 300000);
  CU_ASSERT_EQUAL (held_memory_bytes (), 300000);
  buffer = held_memory_resize (ctx, buffer, 200);
  CU_ASSERT_EQUAL (held_memory_bytes (), 200);
  CU_ASSERT_EQUAL (counter_read (GAUGE_HELD_BYTES), 200);
  talloc_steal (other, buffer);
  talloc_free (ctx);
  CU_ASSERT_EQUAL (held_memory_bytes (), 200);
  talloc_free (other);
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
}

/* Guards against a count that only grows: a queue is freed when it is drained, or with the
 * connection that it belongs to. */
static void
test_a_queue_is_counted_until_it_is_drained_or_freed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ByteQueue drained = { 0 }, freed = { 0 };

  for (int i = 0; i < 100; i++)
    {
      CU_ASSERT_EQUAL (byte_queue_add (ctx, &drained, "some text", 9), ERROR_NONE);
      CU_ASSERT_EQUAL (byte_queue_add (ctx, &freed, "some text", 9), ERROR_NONE);
    }
  CU_ASSERT (held_memory_bytes () >= 1800);
  CU_ASSERT (held_memory_bytes () <= 4096);
  byte_queue_drop (&drained, 900);
  CU_ASSERT (held_memory_bytes () >= 900);
  CU_ASSERT (held_memory_bytes () <= 2048);
  talloc_free (ctx);
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
}

const char test_suite_name[] = "held_memory";
const struct TestCase test_cases[] = {
  { "buffers are counted until they are freed", test_buffers_are_counted_until_they_are_freed },
  { "a queue is counted until it is drained or freed",
    test_a_queue_is_counted_until_it_is_drained_or_freed },
  { NULL, NULL },
};
