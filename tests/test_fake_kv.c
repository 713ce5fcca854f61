#include "test_main.h"

#include "fakes/fake_kv.h"
#include "fakes/fake_timer.h"

#include <string.h>

struct Fixture
{
  struct TimerService *timers;
  struct FakeKv *kv;
  struct KvPort *port;
  int32_t error; /* of the last result */
  int64_t revision, lease_id;
  size_t n_entries;
  uint32_t n_results;
};

static struct Fixture *
fixture_new (void)
{
  struct Fixture *b = talloc_zero (NULL, struct Fixture);

  b->timers = fake_timer_new (b);
  b->kv = fake_kv_new (b, b->timers);
  b->port = fake_kv_port_new (b, b->kv);
  return b;
}

static void
fixture_on_done (void *data, const struct KvResult *result)
{
  struct Fixture *b = data;

  b->error = result->error;
  b->revision = result->revision;
  b->lease_id = result->lease_id;
  b->n_entries = result->n_entries;
  b->n_results++;
}

static void
fixture_put (struct Fixture *b, const char *key, const char *value, enum KvCondition condition)
{
  struct KvRequest request = { .op = KV_OP_PUT };

  request.put.key = key;
  request.put.value = (const uint8_t *)value;
  request.put.value_bytes = strlen (value);
  request.put.condition = condition;
  kv_submit (b->port, &request, fixture_on_done, b);
}

static void
test_results_are_asynchronous (void)
{
  struct Fixture *b = fixture_new ();

  fixture_put (b, "a", "1", KV_IF_ABSENT);
  CU_ASSERT_EQUAL (b->n_results, 0);
  CU_ASSERT_EQUAL (fake_kv_run (b->kv), 1);
  CU_ASSERT_EQUAL (b->error, ERROR_NONE);
  fixture_put (b, "a", "2", KV_IF_ABSENT);
  fake_timer_advance (b->timers, FAKE_KV_LATENCY_MS);
  CU_ASSERT_EQUAL (b->n_results, 2);
  CU_ASSERT_EQUAL (b->error, ERROR_CONFLICT);
  CU_ASSERT_EQUAL (b->n_entries, 1);
  talloc_free (b);
}

static void
test_each_fault_has_its_effect_and_result (void)
{
  static const struct
  {
    enum FakeKvFault fault;
    int32_t error;
    bool applied;
  } cases[] = {
    { FAKE_KV_OK, ERROR_NONE, true },
    { FAKE_KV_REFUSE, ERROR_UNREACHABLE, false },
    { FAKE_KV_RATE_LIMIT, ERROR_RATE_LIMITED, false },
    { FAKE_KV_LOSE_REQUEST, ERROR_UNKNOWN_EFFECT, false },
    { FAKE_KV_LOSE_RESPONSE, ERROR_UNKNOWN_EFFECT, true },
    { FAKE_KV_LATE, ERROR_UNKNOWN_EFFECT, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct Fixture *b = fixture_new ();

      fake_kv_fault_next (b->kv, KV_OP_PUT, "a", cases[i].fault, 1);
      fixture_put (b, "a", "1", KV_IF_ABSENT);
      CU_ASSERT_EQUAL (fake_kv_run (b->kv), 1);
      CU_ASSERT_EQUAL (b->error, cases[i].error);
      CU_ASSERT_EQUAL (fake_kv_get (b->kv, "a", NULL), cases[i].applied);
      fixture_put (b, "a", "1", KV_IF_ALWAYS);
      fake_kv_run (b->kv);
      CU_ASSERT_EQUAL (b->error, ERROR_NONE);
      talloc_free (b);
    }
}

static void
test_late_and_held_wait_for_release (void)
{
  struct Fixture *b = fixture_new ();

  fake_kv_fault_next (b->kv, KV_OP_PUT, "late", FAKE_KV_LATE, 1);
  fake_kv_fault_next (b->kv, KV_OP_PUT, "request", FAKE_KV_HOLD_REQUEST, 1);
  fake_kv_fault_next (b->kv, KV_OP_PUT, "answer", FAKE_KV_HOLD_RESPONSE, 1);
  fixture_put (b, "late", "1", KV_IF_ABSENT);
  fixture_put (b, "request", "1", KV_IF_ABSENT);
  fixture_put (b, "answer", "1", KV_IF_ABSENT);
  fake_timer_advance (b->timers, 100);
  CU_ASSERT_EQUAL (b->n_results, 1);
  CU_ASSERT_EQUAL (fake_kv_count (b->kv, ""), 1);
  CU_ASSERT_STRING_EQUAL (fake_kv_key_at (b->kv, "a", 0), "answer");
  CU_ASSERT_EQUAL (fake_kv_n_waiting (b->kv), 3);
  CU_ASSERT_EQUAL (fake_kv_release (b->kv), 3);
  fake_kv_run (b->kv);
  CU_ASSERT_EQUAL (b->n_results, 3);
  CU_ASSERT_EQUAL (fake_kv_count (b->kv, ""), 3);
  CU_ASSERT_EQUAL (fake_kv_n_waiting (b->kv), 0);
  talloc_free (b);
}

static void
test_watch_ends_with_a_change_or_its_timeout (void)
{
  struct Fixture *b = fixture_new ();
  struct KvRequest watch = { .op = KV_OP_WATCH };

  watch.watch.prefix = "a";
  watch.watch.start_revision = 2;
  watch.watch.wait_ms = 50;
  kv_submit (b->port, &watch, fixture_on_done, b);
  fake_timer_advance (b->timers, 10);
  CU_ASSERT_EQUAL (b->n_results, 0);
  fake_kv_set (b->kv, "ab", "1", 1);
  fake_timer_advance (b->timers, 10);
  CU_ASSERT_EQUAL (b->n_entries, 1);
  watch.watch.start_revision = 3;
  kv_submit (b->port, &watch, fixture_on_done, b);
  fake_timer_advance (b->timers, 100);
  CU_ASSERT_EQUAL (b->n_results, 2);
  CU_ASSERT_EQUAL (b->error, ERROR_NONE);
  CU_ASSERT_EQUAL (b->n_entries, 0);
  talloc_free (b);
}

static void
test_lease_lapses_with_its_keys (void)
{
  struct Fixture *b = fixture_new ();
  struct KvRequest request = { .op = KV_OP_LEASE_GRANT, .lease_grant.ttl_s = 3 };

  kv_submit (b->port, &request, fixture_on_done, b);
  fake_kv_run (b->kv);
  request = (struct KvRequest){ .op = KV_OP_PUT, .put.key = "a", .put.lease_id = b->lease_id };
  kv_submit (b->port, &request, fixture_on_done, b);
  fake_timer_advance (b->timers, 2000);
  CU_ASSERT_TRUE (fake_kv_get (b->kv, "a", NULL));
  fake_timer_advance (b->timers, 2000);
  fixture_put (b, "b", "1", KV_IF_ALWAYS);
  fake_kv_run (b->kv);
  CU_ASSERT_FALSE (fake_kv_get (b->kv, "a", NULL));
  talloc_free (b);
}

const char test_suite_name[] = "fake_kv";
const struct TestCase test_cases[] = {
  { "results are asynchronous", test_results_are_asynchronous },
  { "each fault has its effect and result", test_each_fault_has_its_effect_and_result },
  { "late and held wait for release", test_late_and_held_wait_for_release },
  { "watch ends with a change or its timeout", test_watch_ends_with_a_change_or_its_timeout },
  { "lease lapses with its keys", test_lease_lapses_with_its_keys },
  { NULL, NULL },
};
