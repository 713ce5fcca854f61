#include "test_main.h"

#include <buckthornhead/scheduling/silent_attempts.h>

#include <stdio.h>
#include <string.h>

static const struct ReplicaEntry listed[] = {
  { .id = "a", .service = "desk", .started_unix_ms = 7 },
  { .id = "b", .service = "desk", .started_unix_ms = 7 },
};

static struct SilentAttempt
attempt_at (uint8_t request, const char *server, int64_t ended_ms)
{
  struct SilentAttempt attempt = { .digest = { request } };

  snprintf (attempt.crash.server, sizeof attempt.crash.server, "%s", server);
  attempt.crash.started_unix_ms = 7;
  attempt.crash.sent_ms = ended_ms - 10;
  attempt.crash.ended_ms = ended_ms;
  return attempt;
}

static void
add (struct SilentAttempts *attempts, uint8_t request, const char *server, int64_t ended_ms)
{
  const struct SilentAttempt attempt = attempt_at (request, server, ended_ms);

  silent_attempts_add (attempts, &attempt);
}

/* Guards against servers that crash without closing their connections and show no crash at all. */
static void
test_vanished_servers_have_crashed (void)
{
  struct ReplicaSet *set = replica_set_new (NULL);
  struct SilentAttempts attempts = { .n_items = 0 };
  struct ReplicaEntry restarted = listed[1];
  struct SilentAttempt ended;

  replica_set_apply (set, listed, 2, false, 1000);
  add (&attempts, 1, "a", 1100);
  add (&attempts, 2, "b", 1200);
  CU_ASSERT_FALSE (silent_attempts_take_ended (&attempts, set, 1300, &ended));
  replica_set_apply (set, &listed[1], 1, false, 2000);
  CU_ASSERT_TRUE (silent_attempts_take_ended (&attempts, set, 2000, &ended));
  CU_ASSERT_EQUAL (ended.digest[0], 1);
  CU_ASSERT_EQUAL (ended.crash.ended_ms, 1100);
  CU_ASSERT_FALSE (silent_attempts_take_ended (&attempts, set, 2000, &ended));
  restarted.started_unix_ms = 8;
  replica_set_apply (set, &restarted, 1, false, 3000);
  CU_ASSERT_TRUE (silent_attempts_take_ended (&attempts, set, 3000, &ended));
  CU_ASSERT_EQUAL (ended.digest[0], 2);
  talloc_free (set);
}

/* Guards against slow servers that are taken for crashed when they leave long afterwards, and
 * against requests that have had their response since. */
static void
test_other_silence_is_no_crash (void)
{
  struct ReplicaSet *set = replica_set_new (NULL);
  struct SilentAttempts attempts = { .n_items = 0 };
  struct SilentAttempt ended;

  replica_set_apply (set, listed, 2, false, 1000);
  add (&attempts, 1, "a", 1100);
  add (&attempts, 2, "a", 1200);
  silent_attempts_forget (&attempts, (uint8_t[DIGEST_BYTES]){ 1 });
  CU_ASSERT_EQUAL (attempts.n_items, 1);
  replica_set_apply (set, &listed[1], 1, false, 60000);
  CU_ASSERT_FALSE (silent_attempts_take_ended (&attempts, set, 60000, &ended));
  CU_ASSERT_EQUAL (attempts.n_items, 0);
  talloc_free (set);
}

static void
test_the_oldest_is_replaced (void)
{
  struct SilentAttempts *attempts = talloc_zero (NULL, struct SilentAttempts);

  for (int i = 0; i < SILENT_ATTEMPTS_MAX + 5; i++)
    add (attempts, 1, "a", 1000 + i);
  CU_ASSERT_EQUAL (attempts->n_items, SILENT_ATTEMPTS_MAX);
  CU_ASSERT_EQUAL (attempts->items[0].crash.ended_ms, 1005);
  talloc_free (attempts);
}

const char test_suite_name[] = "attempts at silent servers";
const struct TestCase test_cases[] = {
  { "vanished servers have crashed", test_vanished_servers_have_crashed },
  { "other silence is no crash", test_other_silence_is_no_crash },
  { "the oldest is replaced", test_the_oldest_is_replaced },
  { NULL, NULL },
};
