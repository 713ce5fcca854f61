#include "test_main.h"

#include "fakes/fake_kv.h"
#include "fakes/fake_timer.h"

#include <buckthornhead/config_log.h>

#include <stdio.h>
#include <string.h>

enum
{
  POLL_MS = 2000,
  IN_FORCE_MS = 14000, /* limit after which a change must be in force on every instance */
  OUTAGE_MS = 60000
};

/* One instance's configuration log. */
struct Node
{
  struct Bench *bench;
  struct KvPort *port;
  struct ConfigLog *log;
  struct ConfigState *state;
  uint64_t revision; /* highest published revision */
};

struct Bench
{
  struct TimerService *timers;
  struct FakeKv *kv;
  struct Node *a, *b;
};

/* Result that an operator receives for a change. */
struct ApplyResult
{
  uint32_t n;
  int32_t error;
  uint64_t revision;
  struct Fault fault;
};

static void
node_on_changed (void *data, struct ConfigState *state)
{
  struct Node *node = data;

  CU_ASSERT_TRUE (state->revision > node->revision); /* revisions only increase, in every test */
  node->revision = state->revision;
  talloc_free (node->state);
  node->state = talloc_steal (node, state);
}

static struct Node *
node_new_on (struct Bench *bench, struct KvPort *port)
{
  struct Node *node = talloc_zero (bench, struct Node);
  struct ConfigLogOptions options = { .prefix = "t/", .poll_ms = POLL_MS, .seed = 7 };

  node->bench = bench;
  node->port = port;
  options.changed = node_on_changed;
  options.data = node;
  node->log = config_log_new (node, node->port, bench->timers, &options);
  return node;
}

static struct Node *
node_new (struct Bench *bench)
{
  return node_new_on (bench, fake_kv_port_new (bench, bench->kv));
}

static struct Bench *
bench_new (void)
{
  struct Bench *bench = talloc_zero (NULL, struct Bench);

  bench->timers = fake_timer_new (bench);
  bench->kv = fake_kv_new (bench, bench->timers);
  bench->a = node_new (bench);
  bench->b = node_new (bench);
  fake_timer_advance (bench->timers, 100);
  return bench;
}

static void
on_result (void *data, int32_t error, uint64_t revision, const struct Fault *fault)
{
  struct ApplyResult *result = data;

  result->n++;
  result->error = error;
  result->revision = revision;
  result->fault = *fault;
}

/* Returns an edit of profile "dawn" that expects revision expected. */
static struct ConfigChange
edit_of (const char *change_id, const char *who, const char *text, uint64_t expected)
{
  struct ConfigChange change = { .kind = CONFIG_CHANGE_PROFILE, .name = "dawn" };

  snprintf (change.change_id, sizeof change.change_id, "%s", change_id);
  snprintf (change.author, sizeof change.author, "%s", who);
  change.expected_revision = expected;
  change.text = text;
  return change;
}

static void
node_apply (struct Node *node, const struct ConfigChange *change, struct ApplyResult *result)
{
  memset (result, 0, sizeof *result);
  CU_ASSERT_EQUAL (config_log_apply (node->log, change, on_result, result), ERROR_NONE);
  CU_ASSERT_EQUAL (result->n, 0);
}

static int32_t
node_apply_now (struct Node *node, const struct ConfigChange *change, struct ApplyResult *result)
{
  node_apply (node, change, result);
  fake_timer_advance (node->bench->timers, 100);
  CU_ASSERT_EQUAL (result->n, 1);
  return result->error;
}

static const char share_1[] = "[profile]\nname = dawn\nshare = 1\n";
static const char share_2[] = "[profile]\nname = dawn\nshare = 2\n";
static const char share_3_ageing[] = "[profile]\nname = dawn\nshare = 3\nageing = 5s\n";

static uint32_t
node_share (const struct Node *node)
{
  return node->state != NULL && node->state->n_profiles > 0
             ? node->state->profiles[0].profile.weights.share
             : 0;
}

static void
test_changes_are_in_force_on_every_instance (void)
{
  struct Bench *t = bench_new ();
  struct ApplyResult result;
  struct ConfigChange change = edit_of ("c1", "asha", share_1, 0);
  struct ConfigChange service = { .kind = CONFIG_CHANGE_SERVICE,
                                  .name = "field-desk",
                                  .change_id = "c2",
                                  .author = "asha",
                                  .text = "dusk" };
  struct ConfigChange drain = {
    .kind = CONFIG_CHANGE_DRAIN, .name = "i3", .change_id = "c3", .author = "ivo", .text = "on"
  };

  CU_ASSERT_EQUAL (node_apply_now (t->a, &change, &result), ERROR_NONE);
  CU_ASSERT_EQUAL (result.revision, 1);
  CU_ASSERT_EQUAL (node_share (t->a), 1);
  CU_ASSERT_EQUAL (node_share (t->b), 1);
  CU_ASSERT_EQUAL (node_apply_now (t->a, &service, &result), ERROR_INVALID);
  service.text = "dawn";
  CU_ASSERT_EQUAL (node_apply_now (t->b, &service, &result), ERROR_NONE);
  CU_ASSERT_EQUAL (node_apply_now (t->a, &drain, &result), ERROR_NONE);
  CU_ASSERT_EQUAL (t->a->state->n_services, 1);
  CU_ASSERT_STRING_EQUAL (t->a->state->services[0].profile, "dawn");
  CU_ASSERT_EQUAL (t->b->state->n_draining, 1);
  change = edit_of ("c4", "ivo", "[profile]\nname = dusk\n", 1);
  CU_ASSERT_EQUAL (node_apply_now (t->a, &change, &result), ERROR_INVALID);
  CU_ASSERT_EQUAL (config_log_revision (t->b->log), 3);
  talloc_free (t);
}

/* Two operators edit the same profile from the same revision and save at the same moment, through
 * two instances. One edit must be in force on every instance. The other must be rejected as a
 * whole, with a conflict that names the first author, both revisions and the keys that differ. */
static void
test_conflict_names_the_differing_keys (void)
{
  struct Bench *t = bench_new ();
  struct ApplyResult first, second;
  struct ConfigChange asha = edit_of ("c2", "asha", share_2, 1);
  struct ConfigChange ivo = edit_of ("c3", "ivo", share_3_ageing, 1);
  struct ConfigChange start = edit_of ("c1", "asha", share_1, 0);

  node_apply_now (t->a, &start, &first);
  node_apply (t->a, &asha, &first);
  node_apply (t->b, &ivo, &second);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_EQUAL (first.error, ERROR_NONE);
  CU_ASSERT_EQUAL (first.revision, 2);
  CU_ASSERT_EQUAL (second.error, ERROR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (second.fault.message,
                          "profile dawn is at revision 2, changed by asha; this edit began from "
                          "revision 1; keys that differ: share, ageing");
  CU_ASSERT_STRING_EQUAL (second.fault.remedy, "read revision 2, decide again and send that");
  CU_ASSERT_EQUAL (node_share (t->a), 2);
  CU_ASSERT_EQUAL (node_share (t->b), 2);
  ivo.expected_revision = 2;
  snprintf (ivo.change_id, sizeof ivo.change_id, "c4");
  CU_ASSERT_EQUAL (node_apply_now (t->b, &ivo, &second), ERROR_NONE);
  CU_ASSERT_EQUAL (node_share (t->a), 3);
  talloc_free (t);
}

/* The request or the response of a write to the key-value service is lost, which looks the same to
 * the instance. The operator must get one definite result and the log one entry. The same change id
 * sent again, also through another instance, must not apply the change twice. */
static void
test_lost_response_is_resolved_by_change_id (void)
{
  static const enum FakeKvFault faults[] = { FAKE_KV_LOSE_RESPONSE, FAKE_KV_LOSE_REQUEST };

  for (size_t i = 0; i < 2; i++)
    {
      struct Bench *t = bench_new ();
      struct ApplyResult result;
      struct ConfigChange change = edit_of ("c1", "asha", share_1, 0);

      fake_kv_fault_next (t->kv, KV_OP_PUT, "t/config/", faults[i], 1);
      node_apply (t->a, &change, &result);
      fake_timer_advance (t->timers, 2000);
      CU_ASSERT_EQUAL (result.n, 1);
      CU_ASSERT_EQUAL (result.error, ERROR_NONE);
      CU_ASSERT_EQUAL (result.revision, 1);
      CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &result), ERROR_NONE);
      CU_ASSERT_EQUAL (result.revision, 1);
      CU_ASSERT_EQUAL (fake_kv_count (t->kv, "t/config/"), 1);
      change.text = share_2;
      CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &result), ERROR_CONFLICT);
      talloc_free (t);
    }
}

/* An outage interrupts a write, which takes effect after the outage, before or after the operator
 * sends the change again. The result must be "unknown effect", never "not applied", and the log
 * must contain one entry. */
static void
test_late_change_has_unknown_effect_until_resolved (void)
{
  for (int32_t resent_first = 0; resent_first < 2; resent_first++)
    {
      struct Bench *t = bench_new ();
      struct ApplyResult result;
      struct ConfigChange change = edit_of ("c1", "asha", share_1, 0);

      fake_kv_fault_next (t->kv, KV_OP_PUT, "t/config/", FAKE_KV_LATE, 1);
      node_apply (t->a, &change, &result);
      fake_timer_advance (t->timers, 10);
      fake_kv_set_fault (t->kv, FAKE_KV_REFUSE);
      fake_timer_advance (t->timers, OUTAGE_MS);
      CU_ASSERT_EQUAL (result.n, 1);
      CU_ASSERT_EQUAL (result.error, ERROR_UNKNOWN_EFFECT);
      fake_kv_set_fault (t->kv, FAKE_KV_OK);
      if (resent_first == 0)
        fake_kv_release (t->kv);
      fake_timer_advance (t->timers, 10);
      CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &result), ERROR_NONE);
      fake_kv_release (t->kv);
      fake_timer_advance (t->timers, IN_FORCE_MS);
      CU_ASSERT_EQUAL (result.revision, 1);
      CU_ASSERT_EQUAL (fake_kv_count (t->kv, "t/config/"), 1);
      CU_ASSERT_EQUAL (node_share (t->a), 1);
      talloc_free (t);
    }
}

/* A write is delayed, and another change takes its number, so that it can no longer take effect.
 * The key-value service fails before the change is written under the next number: "not applied" is
 * then the correct result. */
static void
test_lost_change_overtaken_by_another_is_not_applied (void)
{
  struct Bench *t = bench_new ();
  struct ApplyResult lost, other;
  struct ConfigChange asha = edit_of ("c1", "asha", share_1, UINT64_MAX);
  struct ConfigChange ivo = edit_of ("c2", "ivo", share_2, 0);

  fake_kv_fault_next (t->kv, KV_OP_PUT, "t/config/", FAKE_KV_LATE, 1);
  node_apply (t->a, &asha, &lost);
  fake_timer_advance (t->timers, 10);
  CU_ASSERT_EQUAL (node_apply_now (t->b, &ivo, &other), ERROR_NONE);
  fake_kv_fault_next (t->kv, KV_OP_PUT, "t/config/", FAKE_KV_REFUSE, 1);
  fake_timer_advance (t->timers, 2000);
  CU_ASSERT_EQUAL (lost.error, ERROR_PLATFORM_DOWN);
  fake_kv_release (t->kv);
  fake_timer_advance (t->timers, IN_FORCE_MS);
  CU_ASSERT_EQUAL (fake_kv_count (t->kv, "t/config/"), 1);
  CU_ASSERT_EQUAL (node_share (t->a), 2);
  talloc_free (t);
}

/* While the key-value service is down, a change must be rejected at once and never take effect. The
 * instances keep their current configuration. */
static void
test_change_is_rejected_while_the_store_is_down (void)
{
  static const enum FakeKvFault faults[] = { FAKE_KV_REFUSE, FAKE_KV_RATE_LIMIT,
                                             FAKE_KV_LOSE_REQUEST };

  for (size_t i = 0; i < 3; i++)
    {
      struct Bench *t = bench_new ();
      struct ApplyResult result;
      struct ConfigChange change = edit_of ("c1", "asha", share_1, 0);

      node_apply_now (t->a, &change, &result);
      fake_kv_set_fault (t->kv, faults[i]);
      change = edit_of ("c2", "ivo", share_2, 1);
      CU_ASSERT_EQUAL (node_apply_now (t->a, &change, &result), ERROR_PLATFORM_DOWN);
      fake_timer_advance (t->timers, OUTAGE_MS);
      CU_ASSERT_EQUAL (node_share (t->a), 1);
      fake_kv_set_fault (t->kv, FAKE_KV_OK);
      fake_timer_advance (t->timers, IN_FORCE_MS);
      CU_ASSERT_EQUAL (fake_kv_count (t->kv, "t/config/"), 1);
      CU_ASSERT_EQUAL (node_share (t->b), 1);
      talloc_free (t);
    }
}

/* An instance is paused while its write of an edit is in flight, and other changes to the profile
 * are applied. Then its write arrives, its watch returns old events, and a peer sends an old entry.
 * The newer profile must stay in force and the edit must fail as a conflict. */
static void
test_paused_instance_never_reverts (void)
{
  struct Bench *t = bench_new ();
  struct ApplyResult paused, other;
  struct ConfigChange change = edit_of ("c1", "asha", share_1, 0);
  struct ConfigChange old = edit_of ("c2", "asha", share_3_ageing, 1);
  uint8_t *entry = NULL;
  size_t bytes = 0;

  node_apply_now (t->a, &change, &other);
  entry = config_log_entry (t->a->log, t, 1, &bytes);
  fake_kv_fault_next (t->kv, KV_OP_PUT, "t/config/", FAKE_KV_HOLD_REQUEST, 1);
  node_apply (t->a, &old, &paused);
  fake_timer_advance (t->timers, 100);
  fake_kv_port_set_fault (t->a->port, FAKE_KV_HOLD_RESPONSE);
  change = edit_of ("c3", "ivo", share_2, 1);
  CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &other), ERROR_NONE);
  change = edit_of ("c4", "ivo", share_1, 2);
  CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &other), ERROR_NONE);
  change = edit_of ("c5", "ivo", share_2, 3);
  CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &other), ERROR_NONE);
  CU_ASSERT_EQUAL (config_log_revision (t->a->log), 1);
  fake_kv_port_set_fault (t->a->port, FAKE_KV_OK);
  fake_kv_release (t->kv);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_EQUAL (paused.error, ERROR_CONFLICT);
  CU_ASSERT_EQUAL (config_log_apply_entry (t->a->log, entry, bytes), ERROR_NONE);
  CU_ASSERT_EQUAL (node_share (t->a), 2);
  CU_ASSERT_EQUAL (node_share (t->b), 2);
  CU_ASSERT_EQUAL (config_log_revision (t->a->log), 4);
  talloc_free (t);
}

static int32_t
node_copy_entry (struct Node *to, const struct Node *from, uint64_t n)
{
  size_t bytes = 0;
  uint8_t *entry = config_log_entry (from->log, to, n, &bytes);

  return entry != NULL ? config_log_apply_entry (to->log, entry, bytes) : ERROR_NOT_FOUND;
}

static void
bench_apply_many (struct Bench *t, uint32_t n)
{
  struct ApplyResult result;
  char id[16];

  for (uint32_t i = 0; i < n; i++)
    {
      struct ConfigChange change = { 0 };

      snprintf (id, sizeof id, "m%u", i);
      change = edit_of (id, "asha", i % 2 == 0 ? share_1 : share_2, UINT64_MAX);
      node_apply (t->a, &change, &result);
      fake_timer_advance (t->timers, 5);
      CU_ASSERT_EQUAL (result.error, ERROR_NONE);
    }
}

/* An instance without a disk is replaced while the key-value service is down. It must get the
 * configuration from a peer, in order, and a peer at a lower revision must not revert it. */
static void
test_restart_in_an_outage_reads_entries_from_a_peer (void)
{
  struct Bench *t = bench_new ();
  struct Node *fresh = NULL;
  struct Node *behind = NULL;
  uint8_t broken[] = { 0x93, 1, 1, 0xc4, 1, 0x90 };

  bench_apply_many (t, 3);
  fake_kv_set_fault (t->kv, FAKE_KV_REFUSE);
  behind = node_new (t);
  CU_ASSERT_EQUAL (node_copy_entry (behind, t->a, 1), ERROR_NONE);
  fresh = node_new (t);
  fake_timer_advance (t->timers, POLL_MS);
  CU_ASSERT_EQUAL (node_copy_entry (fresh, t->a, 2), ERROR_OUT_OF_ORDER);
  CU_ASSERT_EQUAL (config_log_apply_entry (fresh->log, broken, sizeof broken), ERROR_INVALID);
  CU_ASSERT_EQUAL (config_log_revision (fresh->log), 0);
  for (uint64_t n = 1; n <= 3; n++)
    CU_ASSERT_EQUAL (node_copy_entry (fresh, t->a, n), ERROR_NONE);
  CU_ASSERT_EQUAL (node_copy_entry (fresh, t->a, 4), ERROR_NOT_FOUND);
  CU_ASSERT_EQUAL (fresh->revision, 3);
  CU_ASSERT_EQUAL (node_copy_entry (fresh, behind, 1), ERROR_NONE);
  CU_ASSERT_EQUAL (node_share (fresh), 1);
  CU_ASSERT_EQUAL (fresh->revision, 3);
  talloc_free (t);
}

static void
count_change (void *data, const struct ConfigChange *change)
{
  size_t *n = data;

  CU_ASSERT_EQUAL (change->revision, *n + 1);
  (*n)++;
}

/* After many changes a starting instance must read the checkpoint and the changes after it, and
 * keep the whole history. During an outage it gets single entries from a peer. */
static void
test_checkpoint_replaces_earlier_entries (void)
{
  struct Bench *t = bench_new ();
  struct Node *fresh = NULL;
  struct Node *from_peer = NULL;
  struct ApplyResult result;
  struct ConfigChange again = edit_of ("m7", "asha", share_2, UINT64_MAX);
  size_t n = 0;

  bench_apply_many (t, 300);
  CU_ASSERT_TRUE (fake_kv_get (t->kv, "t/config-checkpoint", NULL));
  fresh = node_new (t);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_EQUAL (fresh->revision, 300);
  CU_ASSERT_EQUAL (node_share (fresh), 2);
  config_log_each (fresh->log, count_change, &n);
  CU_ASSERT_EQUAL (n, 300);
  CU_ASSERT_EQUAL (node_apply_now (fresh, &again, &result), ERROR_NONE);
  CU_ASSERT_EQUAL (result.revision, 8);
  fake_kv_set_fault (t->kv, FAKE_KV_REFUSE);
  from_peer = node_new (t);
  CU_ASSERT_EQUAL (node_copy_entry (from_peer, t->a, 1), ERROR_NONE);
  CU_ASSERT_EQUAL (config_log_revision (from_peer->log), 1);
  talloc_free (t);
}

static void
test_old_entries_are_sent_as_a_checkpoint (void)
{
  struct Bench *t = bench_new ();
  struct Node *fresh = NULL;
  struct ApplyResult result;
  struct ConfigChange last = edit_of ("last", "asha", share_1, UINT64_MAX);
  uint8_t *old = NULL;
  size_t bytes = 0;

  bench_apply_many (t, 1030);
  CU_ASSERT_FALSE (config_log_has_entry (t->a->log, 1));
  CU_ASSERT_TRUE (config_log_has_entry (t->a->log, 1030));
  CU_ASSERT_FALSE (config_log_has_entry (t->a->log, 1031));
  old = config_log_entry (t->a->log, t, 1, &bytes);
  fake_kv_set_fault (t->kv, FAKE_KV_REFUSE);
  fresh = node_new (t);
  CU_ASSERT_EQUAL (node_copy_entry (fresh, t->a, 1), ERROR_NONE);
  CU_ASSERT_EQUAL (config_log_revision (fresh->log), 1030);
  CU_ASSERT_EQUAL (node_share (fresh), 2);
  fake_kv_set_fault (t->kv, FAKE_KV_OK);
  CU_ASSERT_EQUAL (node_apply_now (t->b, &last, &result), ERROR_NONE);
  fake_timer_advance (t->timers, IN_FORCE_MS);
  CU_ASSERT_EQUAL (config_log_apply_entry (fresh->log, old, bytes), ERROR_NONE);
  CU_ASSERT_EQUAL (config_log_revision (fresh->log), 1031);
  CU_ASSERT_EQUAL (node_share (fresh), 1);
  talloc_free (t);
}

/* A port whose watches fail silently: each one returns no events when its wait time is over. */
struct SilentWatchPort
{
  struct KvPort port;
  struct KvPort *inner;
  struct TimerService *timers;
  bool rejects; /* watches fail with an error at once instead */
};

struct SilentWatch
{
  KvDone done;
  void *data;
  int32_t error;
};

static void
silent_watch_end (void *data)
{
  struct SilentWatch *watch = data;
  struct KvResult result = { .error = watch->error };

  watch->done (watch->data, &result);
}

static int32_t
silent_watch_submit (struct KvPort *port, const struct KvRequest *request, KvDone done, void *data)
{
  struct SilentWatchPort *silent = (struct SilentWatchPort *)port;
  struct SilentWatch *watch = NULL;

  if (request->op != KV_OP_WATCH)
    return kv_submit (silent->inner, request, done, data);
  watch = talloc_zero (silent, struct SilentWatch);
  watch->done = done;
  watch->data = data;
  watch->error = silent->rejects ? ERROR_UNREACHABLE : ERROR_NONE;
  timer_subscribe (watch, silent->timers, silent->rejects ? 1 : request->watch.wait_ms, 0,
                   silent_watch_end, watch);
  return ERROR_NONE;
}

/* On one instance the watch is rejected, or its connection is broken, which looks like a watch
 * without events. Polling must still find a change within the time limit. */
static void
test_change_is_found_without_a_watch (void)
{
  for (int32_t rejects = 0; rejects < 2; rejects++)
    {
      struct Bench *t = bench_new ();
      struct SilentWatchPort *silent = talloc_zero (t, struct SilentWatchPort);
      struct ApplyResult result;
      struct ConfigChange change = edit_of ("c1", "asha", share_1, 0);
      struct Node *node = NULL;

      silent->port.submit = silent_watch_submit;
      silent->inner = t->a->port;
      silent->timers = t->timers;
      silent->rejects = rejects == 1;
      node = node_new_on (t, &silent->port);
      fake_timer_advance (t->timers, 100);
      CU_ASSERT_EQUAL (node_apply_now (t->b, &change, &result), ERROR_NONE);
      CU_ASSERT_EQUAL (node_share (node), 0);
      fake_timer_advance (t->timers, rejects == 1 ? 2 * POLL_MS : IN_FORCE_MS);
      CU_ASSERT_EQUAL (node_share (node), 1);
      talloc_free (t);
    }
}

const char test_suite_name[] = "config_log";
const struct TestCase test_cases[] = {
  { "changes are in force on every instance", test_changes_are_in_force_on_every_instance },
  { "conflict names the differing keys", test_conflict_names_the_differing_keys },
  { "lost response is resolved by change id", test_lost_response_is_resolved_by_change_id },
  { "late change has unknown effect until resolved",
    test_late_change_has_unknown_effect_until_resolved },
  { "lost change overtaken by another is not applied",
    test_lost_change_overtaken_by_another_is_not_applied },
  { "change is rejected while the store is down", test_change_is_rejected_while_the_store_is_down },
  { "paused instance never reverts", test_paused_instance_never_reverts },
  { "restart in an outage reads entries from a peer",
    test_restart_in_an_outage_reads_entries_from_a_peer },
  { "checkpoint replaces earlier entries", test_checkpoint_replaces_earlier_entries },
  { "old entries are sent as a checkpoint", test_old_entries_are_sent_as_a_checkpoint },
  { "change is found without a watch", test_change_is_found_without_a_watch },
  { NULL, NULL },
};
