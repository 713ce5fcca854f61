#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/session_places.h>

#include <string.h>

/* A turn that ends after the session's next one, sent to another server, must not replace the newer
 * place. */
static void
test_an_older_turn_does_not_move_a_session (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const uint64_t wanted[TURN_SESSIONS_MAX] = { 1 };
  struct SessionPlaces places = { 0 };

  CU_ASSERT_EQUAL (session_places_record (ctx, &places, 1, 500, "new"), ERROR_NONE);
  CU_ASSERT_EQUAL (session_places_record (ctx, &places, 1, 400, "old"), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (session_places_find (&places, wanted).server, "new");
  CU_ASSERT_EQUAL (session_places_record (ctx, &places, 1, 600, "next"), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (session_places_find (&places, wanted).server, "next");
  CU_ASSERT_EQUAL (places.n, 1);
  /* Turns without a session or a server are ignored. */
  session_places_record (ctx, &places, 0, 600, "x");
  session_places_record (ctx, &places, 2, 600, "");
  CU_ASSERT_EQUAL (places.n, 1);
  talloc_free (ctx);
}

/* A program that loops and keeps starting sub-agents must not use unbounded memory: the least
 * recently updated sessions are dropped. */
static void
test_the_places_of_a_program_are_bounded (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct SessionPlaces places = { 0 };
  uint64_t wanted[TURN_SESSIONS_MAX] = { 1 };

  for (uint64_t session = 1; session <= 1000; session++)
    {
      session_places_record (ctx, &places, session, 10, "e");
      session_places_record (ctx, &places, 1, (uint32_t)(10 + session), "main");
    }
  CU_ASSERT (places.n <= 64);
  CU_ASSERT_STRING_EQUAL (session_places_find (&places, wanted).server, "main");
  wanted[0] = 1000;
  CU_ASSERT_STRING_EQUAL (session_places_find (&places, wanted).server, "e");
  wanted[0] = 2;
  CU_ASSERT_EQUAL (session_places_find (&places, wanted).session, 0);
  talloc_free (ctx);
}

/* Archives respond with what each has synced, so responses may differ: a session's own place is
 * preferred to its parent session's, and a later turn's place to an earlier one's. */
static void
test_the_better_of_two_responses (void)
{
  const uint64_t wanted[TURN_SESSIONS_MAX] = { 6, 5 };
  const struct SessionPlace none = { .session = 0 };
  const struct SessionPlace parent = { 5, 9000, "e1" }, own = { 6, 100, "e2" };
  const struct SessionPlace later = { 6, 300, "e3" }, foreign = { 7, 9999, "e4" };

  CU_ASSERT_STRING_EQUAL (session_place_merge (&none, &parent, wanted).server, "e1");
  CU_ASSERT_STRING_EQUAL (session_place_merge (&parent, &own, wanted).server, "e2");
  CU_ASSERT_STRING_EQUAL (session_place_merge (&own, &later, wanted).server, "e3");
  CU_ASSERT_STRING_EQUAL (session_place_merge (&later, &own, wanted).server, "e3");
  CU_ASSERT_STRING_EQUAL (session_place_merge (&foreign, &parent, wanted).server, "e1");
  CU_ASSERT_EQUAL (session_place_merge (&none, &none, wanted).session, 0);
}

const char test_suite_name[] = "session_places";
const struct TestCase test_cases[] = {
  { "an older turn does not move a session", test_an_older_turn_does_not_move_a_session },
  { "the places of a program are bounded", test_the_places_of_a_program_are_bounded },
  { "the better of two responses", test_the_better_of_two_responses },
  { NULL, NULL },
};
