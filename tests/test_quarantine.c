#include "test_main.h"

#include <buckthornhead/scheduling/quarantine.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const uint8_t crashing[DIGEST_BYTES] = { 1, 2, 3 };
static const uint8_t healthy[DIGEST_BYTES] = { 9 };
static const struct QuarantineOptions without_trials = { .has_trials = false };
static const struct QuarantineOptions with_trials = { .has_trials = true, .same_event_ms = 5 };

/* Records that the server ended at ended_ms with a request that was sent run_ms earlier. */
static bool
record_run (struct Quarantine *quarantine,
            const uint8_t digest[DIGEST_BYTES],
            const char *server,
            int64_t ended_ms,
            int64_t run_ms)
{
  struct CrashRecord crash = { .sent_ms = ended_ms - run_ms, .ended_ms = ended_ms };

  snprintf (crash.server, sizeof crash.server, "%s", server);
  return quarantine_record_crash (quarantine, digest, &crash, ended_ms);
}

static bool
record (struct Quarantine *quarantine,
        const uint8_t digest[DIGEST_BYTES],
        const char *server,
        int64_t ended_ms)
{
  return record_run (quarantine, digest, server, ended_ms, 0);
}

static enum QuarantineVerdict
verdict (const struct Quarantine *quarantine, int64_t now_ms)
{
  return quarantine_check (quarantine, crashing, now_ms).verdict;
}

/* One request crashes each engine that runs it, and its caller retries it. After the second engine
 * it is quarantined; a healthy request that ran at the same time is not. */
static void
test_crashes_of_two_servers_quarantine_the_request (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &without_trials);

  CU_ASSERT_FALSE (record (quarantine, crashing, "engine-1", 0 + 1));
  CU_ASSERT_FALSE (record (quarantine, healthy, "engine-1", 0 + 1));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, crashing));
  CU_ASSERT_TRUE (record (quarantine, crashing, "engine-2", 1 + 1));
  CU_ASSERT_TRUE (quarantine_contains (quarantine, crashing));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, healthy));
  CU_ASSERT_FALSE (record (quarantine, crashing, "engine-3", 2 + 1));
  talloc_free (quarantine);
}

/* One server restarts again and again; its requests are not the cause. */
static void
test_two_crashes_of_one_server_quarantine_nothing (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &without_trials);

  for (int i = 0; i < 5; i++)
    CU_ASSERT_FALSE (record (quarantine, crashing, "engine-1", i + 1));
  CU_ASSERT_FALSE (quarantine_contains (quarantine, crashing));
  talloc_free (quarantine);
}

/* A request that ran to its end after the first crash did not cause it. */
static void
test_a_cleared_suspect_is_no_suspect (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &without_trials);

  record (quarantine, crashing, "engine-1", 0 + 1);
  CU_ASSERT_TRUE (quarantine_is_suspect (quarantine, crashing));
  quarantine_clear (quarantine, crashing, 1);
  quarantine_clear (quarantine, crashing, 1);
  CU_ASSERT_FALSE (quarantine_is_suspect (quarantine, crashing));
  CU_ASSERT_FALSE (record (quarantine, crashing, "engine-2", 1 + 1));
  talloc_free (quarantine);
}

/* Adds to one process all that another one knows of the crashing request. */
static bool
merge (struct Quarantine *into, struct Quarantine *from, int64_t now_ms)
{
  const struct SuspectRecord *changed;
  bool is_new = false;

  while ((changed = quarantine_next_changed (from)) != NULL)
    is_new = quarantine_merge (into, changed, now_ms) || is_new;
  return is_new;
}

/* Guards against a gateway that does not know of the crashes at others. */
static void
test_crashes_at_two_processes_count_together (void)
{
  struct Quarantine *a = quarantine_new (NULL, &with_trials);
  struct Quarantine *b = quarantine_new (NULL, &with_trials);

  CU_ASSERT_FALSE (record_run (a, crashing, "engine-1", 100, 50));
  CU_ASSERT_FALSE (record_run (b, crashing, "engine-2", 300, 50));
  CU_ASSERT_TRUE (merge (a, b, 310));
  CU_ASSERT_TRUE (quarantine_contains (a, crashing));
  CU_ASSERT_TRUE (merge (b, a, 320));
  CU_ASSERT_TRUE (quarantine_contains (b, crashing));
  CU_ASSERT_FALSE (merge (a, b, 330));
  CU_ASSERT_FALSE (merge (b, a, 340));
  talloc_free (a);
  talloc_free (b);
}

/* Guards against a request that is quarantined because a rack failed under several runs of it. */
static void
test_crashes_at_the_same_time_count_once (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &with_trials);

  for (int i = 0; i < 5; i++)
    {
      char server[16];

      snprintf (server, sizeof server, "engine-%d", i);
      CU_ASSERT_FALSE (record_run (quarantine, crashing, server, 1000 + 10 * i, 200));
    }
  CU_ASSERT_EQUAL (verdict (quarantine, 1100), VERDICT_SUSPECT);
  CU_ASSERT_TRUE (record_run (quarantine, crashing, "engine-9", 1300, 200));
  talloc_free (quarantine);
}

/* Guards against a request that is quarantined because connections to running servers broke. */
static void
test_running_servers_did_not_crash (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &with_trials);

  record_run (quarantine, crashing, "engine-1", 100, 10);
  record_run (quarantine, crashing, "engine-2", 200, 10);
  CU_ASSERT_EQUAL (verdict (quarantine, 210), VERDICT_HELD);
  /* Not shown by a process that started after the crash, by another one under the same id, or by a
   * response to what was sent before. */
  quarantine_refute (quarantine, "engine-2", 0, 200, 210, 210);
  quarantine_refute (quarantine, "engine-2", 7, 50, 210, 210);
  quarantine_refute (quarantine, "engine-2", 0, 50, 200, 210);
  CU_ASSERT_EQUAL (verdict (quarantine, 210), VERDICT_HELD);
  quarantine_refute (quarantine, "engine-2", 0, 199, 201, 210);
  CU_ASSERT_EQUAL (verdict (quarantine, 210), VERDICT_SUSPECT);
  /* The same process may crash after all. */
  CU_ASSERT_TRUE (record_run (quarantine, crashing, "engine-2", 400, 10));
  talloc_free (quarantine);
}

/* Guards against old reports that undo what is known: they arrive late, twice and in any order. */
static void
test_old_reports_change_nothing (void)
{
  struct Quarantine *a = quarantine_new (NULL, &with_trials);
  struct Quarantine *b = quarantine_new (NULL, &with_trials);
  struct SuspectRecord old;

  record_run (a, crashing, "engine-1", 1000, 10);
  old = *quarantine_next_changed (a);
  CU_ASSERT_TRUE (quarantine_clear (a, crashing, 1050));
  CU_ASSERT_FALSE (quarantine_merge (a, &old, 1060));
  CU_ASSERT_EQUAL (verdict (a, 1060), VERDICT_FREE);
  merge (b, a, 1070);
  CU_ASSERT_FALSE (quarantine_merge (b, &old, 1080));
  CU_ASSERT_EQUAL (verdict (b, 1080), VERDICT_FREE);
  talloc_free (a);
  talloc_free (b);
}

/* Guards against trials without end: from the third crash on, three further ones are allowed. */
static void
test_three_trials_after_the_third_crash (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &with_trials);
  uint32_t n_trials = 0;

  for (int64_t now_ms = 100; now_ms <= 300; now_ms += 100)
    record_run (quarantine, crashing, now_ms == 100 ? "a" : now_ms == 200 ? "b" : "c", now_ms, 10);
  for (int64_t now_ms = 300; now_ms < 24 * 3600 * 1000; now_ms += 1000)
    if (verdict (quarantine, now_ms) == VERDICT_TRIAL)
      {
        char server[16];

        quarantine_begin_trial (quarantine, crashing, now_ms);
        CU_ASSERT_EQUAL (verdict (quarantine, now_ms + 10), VERDICT_HELD);
        snprintf (server, sizeof server, "trial-%u", n_trials++);
        if (n_trials != 2) /* one trial ends without an outcome */
          record_run (quarantine, crashing, server, now_ms + 20, 10);
      }
  CU_ASSERT_EQUAL (n_trials, 3);
  talloc_free (quarantine);
}

/* Guards against requests that stay in quarantine with the one that crashed their servers. */
static void
test_trial_that_succeeds_ends_the_quarantine (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &with_trials);
  struct QuarantineState state;

  record_run (quarantine, crashing, "engine-1", 100, 10);
  record_run (quarantine, crashing, "engine-2", 200, 10);
  state = quarantine_check (quarantine, crashing, 300);
  CU_ASSERT_EQUAL (state.verdict, VERDICT_HELD);
  CU_ASSERT (state.wait_ms > 0 && state.wait_ms < 10000);
  CU_ASSERT_EQUAL (verdict (quarantine, 300 + state.wait_ms), VERDICT_TRIAL);
  quarantine_begin_trial (quarantine, crashing, 300 + state.wait_ms);
  CU_ASSERT_TRUE (quarantine_clear (quarantine, crashing, 320 + state.wait_ms));
  CU_ASSERT_EQUAL (verdict (quarantine, 330 + state.wait_ms), VERDICT_FREE);
  talloc_free (quarantine);
}

/* Guards against requests that are held because two racks failed one after the other. One trial is
 * due at once, and no more. */
static void
test_ambiguous_crashes_are_tried_at_once (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &with_trials);

  record_run (quarantine, crashing, "a-1", 1000, 50);
  record_run (quarantine, healthy, "a-2", 1010, 50);
  record_run (quarantine, crashing, "b-1", 2000, 50);
  CU_ASSERT_EQUAL (verdict (quarantine, 2010), VERDICT_HELD);
  record_run (quarantine, healthy, "b-2", 2010, 50);
  CU_ASSERT_EQUAL (verdict (quarantine, 2010), VERDICT_TRIAL);
  quarantine_begin_trial (quarantine, crashing, 2020);
  CU_ASSERT_EQUAL (verdict (quarantine, 2030), VERDICT_HELD);
  record_run (quarantine, crashing, "c-1", 2040, 10);
  record_run (quarantine, healthy, "c-2", 2040, 10);
  CU_ASSERT_EQUAL (verdict (quarantine, 2050), VERDICT_HELD);
  CU_ASSERT_EQUAL (verdict (quarantine, 60000), VERDICT_HELD);
  talloc_free (quarantine);
}

/* Guards against a request that is sent often and was on servers that crashed one after the other.
 */
static void
test_request_with_responses_is_no_suspect (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &with_trials);

  CU_ASSERT_FALSE (quarantine_record_complete (quarantine, crashing, 90));
  record_run (quarantine, crashing, "engine-1", 100, 10);
  record_run (quarantine, crashing, "engine-2", 200, 10);
  CU_ASSERT_EQUAL (verdict (quarantine, 210), VERDICT_FREE);
  /* Others have had their responses since, and then it crashes servers. */
  for (uint32_t i = 1; i <= 64; i++)
    {
      uint8_t other[DIGEST_BYTES] = { 7 };

      memcpy (other + 1, &i, sizeof i);
      quarantine_record_complete (quarantine, other, 300);
    }
  record_run (quarantine, crashing, "engine-3", 400, 10);
  CU_ASSERT_TRUE (record_run (quarantine, crashing, "engine-4", 500, 10));
  talloc_free (quarantine);
}

/* Guards against gateways that decide differently after messages were lost, doubled or reordered.
 */
static void
test_reports_in_any_order_give_one_state (void)
{
  enum
  {
    N_PROCESSES = 5
  };
  struct Quarantine *at[N_PROCESSES];

  for (unsigned seed = 1; seed <= 200; seed++)
    {
      for (int i = 0; i < N_PROCESSES; i++)
        at[i] = quarantine_new (NULL, &with_trials);
      for (int i = 0; i < N_PROCESSES; i++)
        {
          char server[16];

          snprintf (server, sizeof server, "engine-%d", rand_r (&seed) % 4);
          record_run (at[i], crashing, server, 1000 + 100 * i, 50);
          if (rand_r (&seed) % 8 == 0)
            quarantine_clear (at[i], crashing, 1060 + 100 * i);
        }
      for (int round = 0; round < 200; round++)
        {
          int from = rand_r (&seed) % N_PROCESSES, to = rand_r (&seed) % N_PROCESSES;
          const struct SuspectRecord *changed = quarantine_next_changed (at[from]);

          if (changed != NULL && from != to && rand_r (&seed) % 3 > 0)
            quarantine_merge (at[to], changed, 2000 + round);
        }
      /* Each process sends its state to all others twice, as it does periodically. */
      for (int n = 0; n < 2 * N_PROCESSES * N_PROCESSES; n++)
        {
          const struct SuspectRecord *changed;

          quarantine_mark_changed (at[n % N_PROCESSES], crashing);
          changed = quarantine_next_changed (at[n % N_PROCESSES]);
          if (changed != NULL)
            quarantine_merge (at[n / N_PROCESSES % N_PROCESSES], changed, 3000);
        }
      for (int i = 1; i < N_PROCESSES; i++)
        CU_ASSERT_EQUAL (quarantine_check (at[i], crashing, 3100).n_crashes,
                         quarantine_check (at[0], crashing, 3100).n_crashes);
      for (int i = 0; i < N_PROCESSES; i++)
        talloc_free (at[i]);
    }
}

/* A whole zone fails with thousands of requests in flight: memory must stay bounded. */
static void
test_suspects_are_bounded (void)
{
  struct Quarantine *quarantine = quarantine_new (NULL, &without_trials);
  uint8_t digest[DIGEST_BYTES] = { 0 };
  size_t blocks = 0;

  for (uint32_t i = 0; i < 20000; i++)
    {
      memcpy (digest, &i, sizeof i);
      record (quarantine, digest, "engine-1", 0 + 1);
      if (i == 9999)
        blocks = talloc_total_blocks (quarantine);
    }
  CU_ASSERT_EQUAL (talloc_total_blocks (quarantine), blocks);
  CU_ASSERT_TRUE (record (quarantine, digest, "engine-2", 0 + 1));
  talloc_free (quarantine);
}

const char test_suite_name[] = "quarantine";
const struct TestCase test_cases[] = {
  { "crashes of two servers quarantine the request",
    test_crashes_of_two_servers_quarantine_the_request },
  { "two crashes of one server quarantine nothing",
    test_two_crashes_of_one_server_quarantine_nothing },
  { "a cleared suspect is no suspect", test_a_cleared_suspect_is_no_suspect },
  { "crashes at two processes count together", test_crashes_at_two_processes_count_together },
  { "crashes at the same time count once", test_crashes_at_the_same_time_count_once },
  { "running servers did not crash", test_running_servers_did_not_crash },
  { "old reports change nothing", test_old_reports_change_nothing },
  { "three trials after the third crash", test_three_trials_after_the_third_crash },
  { "trial that succeeds ends the quarantine", test_trial_that_succeeds_ends_the_quarantine },
  { "ambiguous crashes are tried at once", test_ambiguous_crashes_are_tried_at_once },
  { "request with responses is no suspect", test_request_with_responses_is_no_suspect },
  { "reports in any order give one state", test_reports_in_any_order_give_one_state },
  { "suspects are bounded", test_suspects_are_bounded },
  { NULL, NULL },
};
