#include "test_main.h"

#include <buckthornhead/policy.h>

#include <string.h>

static const uint8_t crashing[DIGEST_BYTES] = { 1, 2, 3 };
static const uint8_t healthy[DIGEST_BYTES] = { 9 };

/* One request crashes each engine that runs it, and its caller retries it. After the second engine
 * it is quarantined; a healthy request that ran at the same time is not. */
static void
test_crashes_of_two_servers_quarantine_the_request (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  CU_ASSERT_FALSE (quarantine_record_crash (quarantine, crashing, "engine-1", 0));
  CU_ASSERT_FALSE (quarantine_record_crash (quarantine, healthy, "engine-1", 0));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, crashing));
  CU_ASSERT_TRUE (quarantine_record_crash (quarantine, crashing, "engine-2", 1));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, crashing));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, healthy));
  CU_ASSERT_FALSE (quarantine_record_crash (quarantine, crashing, "engine-3", 2));
  talloc_free (quarantine);
}

/* One server restarts again and again; its requests are not the cause. */
static void
test_two_crashes_of_one_server_quarantine_nothing (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  for (int i = 0; i < 5; i++)
    CU_ASSERT_FALSE (quarantine_record_crash (quarantine, crashing, "engine-1", i));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, crashing));
  talloc_free (quarantine);
}

/* A request that ran to its end after the first crash did not cause it. */
static void
test_a_cleared_suspect_is_no_suspect (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  quarantine_record_crash (quarantine, crashing, "engine-1", 0);
  CU_ASSERT_TRUE (quarantine_is_suspect (quarantine, crashing));
  quarantine_clear (quarantine, crashing);
  quarantine_clear (quarantine, crashing);
  CU_ASSERT_FALSE (quarantine_is_suspect (quarantine, crashing));
  CU_ASSERT_FALSE (quarantine_record_crash (quarantine, crashing, "engine-2", 1));
  talloc_free (quarantine);
}

static void
test_digest_of_another_instance (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  quarantine_add (quarantine, crashing);
  quarantine_add (quarantine, crashing);
  CU_ASSERT_TRUE (quarantine_contains (quarantine, crashing));
  talloc_free (quarantine);
}

/* A whole zone fails with thousands of requests in flight: memory must stay bounded. */
static void
test_suspects_are_bounded (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);
  uint8_t digest[DIGEST_BYTES] = { 0 };
  size_t blocks = 0;

  for (uint32_t i = 0; i < 20000; i++)
    {
      memcpy (digest, &i, sizeof i);
      quarantine_record_crash (quarantine, digest, "engine-1", 0);
      if (i == 9999)
        blocks = talloc_total_blocks (quarantine);
    }
  CU_ASSERT_EQUAL (talloc_total_blocks (quarantine), blocks);
  CU_ASSERT_TRUE (quarantine_record_crash (quarantine, digest, "engine-2", 0));
  talloc_free (quarantine);
}

const char test_suite_name[] = "quarantine";
const struct TestCase test_cases[] = {
  { "crashes of two servers quarantine the request",
    test_crashes_of_two_servers_quarantine_the_request },
  { "two crashes of one server quarantine nothing",
    test_two_crashes_of_one_server_quarantine_nothing },
  { "a cleared suspect is no suspect", test_a_cleared_suspect_is_no_suspect },
  { "digest reported by another instance", test_digest_of_another_instance },
  { "suspects are bounded", test_suspects_are_bounded },
  { NULL, NULL },
};
