#include "test_main.h"

#include <buckthornhead/policy.h>

#include <string.h>

static const uint8_t poison[DIGEST_BYTES] = { 1, 2, 3 };
static const uint8_t other[DIGEST_BYTES] = { 9 };

/* Engines die one after the other: one request crashes whichever runs it, and its caller sends it
 * again. After the second engine it is held; a healthy request that ran beside it is not. */
static void
test_two_servers_dead_quarantine_the_request (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  CU_ASSERT_FALSE (quarantine_record_death (quarantine, poison, "engine-1", 0));
  CU_ASSERT_FALSE (quarantine_record_death (quarantine, other, "engine-1", 0));
  CU_ASSERT_FALSE (quarantine_holds (quarantine, poison));
  CU_ASSERT_TRUE (quarantine_record_death (quarantine, poison, "engine-2", 1));
  CU_ASSERT_TRUE (quarantine_holds (quarantine, poison));
  CU_ASSERT_FALSE (quarantine_holds (quarantine, other));
  CU_ASSERT_FALSE (quarantine_record_death (quarantine, poison, "engine-3", 2));
  talloc_free (quarantine);
}

/* One machine restarts again and again; its requests must not be blamed for it. */
static void
test_one_server_dead_twice_is_the_server (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  for (int i = 0; i < 5; i++)
    CU_ASSERT_FALSE (quarantine_record_death (quarantine, poison, "engine-1", i));
  CU_ASSERT_FALSE (quarantine_holds (quarantine, poison));
  talloc_free (quarantine);
}

/* What ran to its end after the first death did not cause it. */
static void
test_a_cleared_suspect_starts_anew (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  quarantine_record_death (quarantine, poison, "engine-1", 0);
  CU_ASSERT_TRUE (quarantine_suspects (quarantine, poison));
  quarantine_clear (quarantine, poison);
  quarantine_clear (quarantine, poison);
  CU_ASSERT_FALSE (quarantine_suspects (quarantine, poison));
  CU_ASSERT_FALSE (quarantine_record_death (quarantine, poison, "engine-2", 1));
  talloc_free (quarantine);
}

static void
test_told_by_another_instance (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);

  quarantine_add (quarantine, poison);
  quarantine_add (quarantine, poison);
  CU_ASSERT_TRUE (quarantine_holds (quarantine, poison));
  talloc_free (quarantine);
}

/* A whole zone dies with thousands of requests in it: memory stays bounded. */
static void
test_suspects_are_bounded (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL);
  uint8_t digest[DIGEST_BYTES] = { 0 };
  size_t blocks = 0;

  for (uint32_t i = 0; i < 20000; i++)
    {
      memcpy (digest, &i, sizeof i);
      quarantine_record_death (quarantine, digest, "engine-1", 0);
      if (i == 9999)
        blocks = talloc_total_blocks (quarantine);
    }
  CU_ASSERT_EQUAL (talloc_total_blocks (quarantine), blocks);
  CU_ASSERT_TRUE (quarantine_record_death (quarantine, digest, "engine-2", 0));
  talloc_free (quarantine);
}

const char test_suite_name[] = "quarantine";
const struct TestCase test_cases[] = {
  { "two servers dead quarantine the request", test_two_servers_dead_quarantine_the_request },
  { "one server dead twice is the server", test_one_server_dead_twice_is_the_server },
  { "a cleared suspect starts anew", test_a_cleared_suspect_starts_anew },
  { "told by another instance", test_told_by_another_instance },
  { "suspects are bounded", test_suspects_are_bounded },
  { NULL, NULL },
};
