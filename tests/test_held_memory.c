#include "test_main.h"

#include <buckthornhead/byte_queue.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/error.h>
#include <buckthornhead/held_memory.h>

enum
{
  SMALLEST_MACHINE_MB = 88,
  OWN_BYTES = 28 * 1024 * 1024, /* of a gateway among 1,220 machines, docs/CAPACITY.md */
  LARGEST_BODY_BYTES = 4 * 1024 * 1024,
  LARGEST_RESPONSE_BYTES = 8 * 1024 * 1024
};

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

static void
test_charges_end_with_their_owner (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  CU_ASSERT_TRUE (held_memory_charge (ctx, 5000));
  CU_ASSERT_TRUE (held_memory_charge (ctx, 700));
  CU_ASSERT_EQUAL (held_memory_bytes (), 5700);
  talloc_free (ctx);
  CU_ASSERT_EQUAL (held_memory_bytes (), 0);
}

/* Guards against a share that leaves too little of a small machine, or too little for a request. */
static void
test_a_share_leaves_room (void)
{
  for (uint64_t machine_mb = SMALLEST_MACHINE_MB; machine_mb <= 1024; machine_mb++)
    {
      uint64_t machine_bytes = machine_mb * 1024 * 1024, share = held_memory_share (machine_bytes);

      CU_ASSERT (share + share / 4 + OWN_BYTES + LARGEST_RESPONSE_BYTES <= machine_bytes);
      CU_ASSERT (share >= LARGEST_RESPONSE_BYTES + 2 * (uint64_t)LARGEST_BODY_BYTES);
    }
}

static void
count_call (void *data)
{
  (*(uint32_t *)data)++;
}

static void
test_growth_beyond_the_bound_is_reported (void)
{
  uint32_t n_calls = 0;
  uint8_t *buffer;

  held_memory_watch (1000, count_call, &n_calls);
  buffer = held_memory_resize (NULL, NULL, 1000);
  CU_ASSERT_EQUAL (n_calls, 0);
  buffer = held_memory_resize (NULL, buffer, 1001);
  CU_ASSERT_EQUAL (n_calls, 1);
  buffer = held_memory_resize (NULL, buffer, 900);
  CU_ASSERT_EQUAL (n_calls, 1);
  held_memory_watch (0, NULL, NULL);
  talloc_free (buffer);
}

const char test_suite_name[] = "held_memory";
const struct TestCase test_cases[] = {
  { "buffers are counted until they are freed", test_buffers_are_counted_until_they_are_freed },
  { "a queue is counted until it is drained or freed",
    test_a_queue_is_counted_until_it_is_drained_or_freed },
  { "charges end with their owner", test_charges_end_with_their_owner },
  { "a share leaves room", test_a_share_leaves_room },
  { "growth beyond the bound is reported", test_growth_beyond_the_bound_is_reported },
  { NULL, NULL },
};
