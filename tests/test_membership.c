#include "test_main.h"

#include "fakes/fake_kv.h"
#include "fakes/fake_timer.h"

#include <buckthornhead/membership.h>

#include <stdio.h>
#include <string.h>

enum
{
  TTL_S = 6,
  TTL_MS = TTL_S * 1000,
  SETTLED_MS = 2 * TTL_MS, /* covers all retries and one superseded registration */
  NODES_MAX = 4
};

struct Fixture;

struct Node
{
  struct Fixture *fixture;
  const char *name;
  struct KvPort *port;
  struct Membership *membership;
  char incarnation[INCARNATION_MAX_BYTES + 1];
  uint32_t n_incarnations, n_changes;
  struct Member members[NODES_MAX];
  size_t n_members;
  bool up, left;
};

struct Fixture
{
  struct TimerService *timers;
  struct FakeKv *kv;
};

static struct Fixture *
fixture_new (void)
{
  struct Fixture *fixture = talloc_zero (NULL, struct Fixture);

  fixture->timers = fake_timer_new (fixture);
  fixture->kv = fake_kv_new (fixture, fixture->timers);
  return fixture;
}

static void
node_on_incarnation (void *data, const char *incarnation)
{
  struct Node *node = data;

  CU_ASSERT_STRING_NOT_EQUAL (incarnation, node->incarnation);
  snprintf (node->incarnation, sizeof node->incarnation, "%s", incarnation);
  node->n_incarnations++;
}

static void
node_on_members (void *data, const struct Member *members, size_t n_members)
{
  struct Node *node = data;

  CU_ASSERT_FATAL (n_members <= NODES_MAX);
  if (n_members > 0)
    memcpy (node->members, members, n_members * sizeof *members);
  node->n_members = n_members;
  node->n_changes++;
}

static void
node_on_platform (void *data, bool up)
{
  ((struct Node *)data)->up = up;
}

static struct Node *
node_new (struct Fixture *fixture, const char *name)
{
  struct Node *node = talloc_zero (fixture, struct Node);
  struct MembershipOptions options = { .prefix = "t/", .instance = name, .zone = "zg-a" };

  node->fixture = fixture;
  node->name = name;
  node->port = fake_kv_port_new (node, fixture->kv);
  options.caller_address = "127.0.0.1:1";
  options.peer_address = "127.0.0.1:2";
  options.lease_ttl_s = TTL_S;
  options.poll_ms = 1000;
  options.seed = (uint64_t)name[0];
  options.incarnation_changed = node_on_incarnation;
  options.members_changed = node_on_members;
  options.platform_changed = node_on_platform;
  options.data = node;
  node->membership = membership_new (node, node->port, fixture->timers, &options);
  return node;
}

static const struct Member *
node_sees (const struct Node *node, const char *name)
{
  for (size_t i = 0; i < node->n_members; i++)
    if (strcmp (node->members[i].instance, name) == 0)
      return &node->members[i];
  return NULL;
}

/* Checks that node holds the incarnation last reported to it and that observer sees the same. */
static void
assert_registered (const struct Node *node, const struct Node *observer)
{
  const struct Member *member = node_sees (observer, node->name);

  CU_ASSERT_STRING_EQUAL (membership_incarnation (node->membership), node->incarnation);
  CU_ASSERT_EQUAL (strncmp (node->incarnation, node->name, strlen (node->name)), 0);
  CU_ASSERT_PTR_NOT_NULL (member);
  if (member == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (member->incarnation, node->incarnation);
}

static void
test_members_see_each_other (void)
{
  struct Fixture *t = fixture_new ();
  struct Node *a = node_new (t, "a");
  struct Node *b = node_new (t, "b");

  fake_timer_advance (t->timers, 100);
  assert_registered (a, b);
  assert_registered (b, a);
  assert_registered (a, a);
  CU_ASSERT_EQUAL (a->n_members, 2);
  CU_ASSERT_STRING_EQUAL (node_sees (b, "a")->peer_address, "127.0.0.1:2");
  CU_ASSERT_TRUE (a->up);
  membership_set_draining (a->membership, true);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_TRUE (node_sees (b, "a")->draining);
  membership_set_draining (a->membership, false);
  fake_timer_advance (t->timers, 10 * TTL_MS);
  CU_ASSERT_FALSE (node_sees (b, "a")->draining);
  CU_ASSERT_EQUAL (a->n_incarnations, 1);
  assert_registered (a, b);
  talloc_free (t);
}

/* An instance is paused for longer than its lease, so the others remove it and may take over its
 * programs. When it resumes it must register under a new incarnation, since its journal may have
 * been sealed. */
static void
test_lease_lapsed_while_paused (void)
{
  /* Effect on the keepalive in flight: it is applied late, or its connection breaks. */
  static const enum FakeKvFault faults[] = { FAKE_KV_OK, FAKE_KV_LOSE_REQUEST };

  for (size_t i = 0; i < 2; i++)
    {
      struct Fixture *t = fixture_new ();
      struct Node *a = node_new (t, "a");
      struct Node *b = node_new (t, "b");
      char former[INCARNATION_MAX_BYTES + 1];

      fake_timer_advance (t->timers, 100);
      snprintf (former, sizeof former, "%s", a->incarnation);
      fake_kv_port_set_fault (a->port, FAKE_KV_HOLD_REQUEST);
      fake_timer_advance (t->timers, 2 * TTL_MS);
      CU_ASSERT_PTR_NULL (node_sees (b, "a"));
      CU_ASSERT_STRING_EQUAL (membership_incarnation (a->membership), former);
      fake_kv_port_set_fault (a->port, FAKE_KV_OK);
      fake_kv_release_as (t->kv, faults[i]);
      fake_timer_advance (t->timers, SETTLED_MS);
      CU_ASSERT_STRING_NOT_EQUAL (a->incarnation, former);
      CU_ASSERT_EQUAL (a->n_incarnations, 2);
      assert_registered (a, b);
      CU_ASSERT_EQUAL (b->n_incarnations, 1);
      talloc_free (t);
    }
}

/* The service is down for less than a lease period, then so long that every lease lapses. Ownership
 * must not move: no member is removed during the outage, nor after it while the service has no
 * keys, and every member comes back under its incarnation. Only a member that failed is removed. */
static void
test_outage_removes_no_member (void)
{
  static const enum FakeKvFault faults[] = { FAKE_KV_REFUSE, FAKE_KV_LOSE_REQUEST,
                                             FAKE_KV_RATE_LIMIT };

  for (size_t i = 0; i < 3; i++)
    {
      struct Fixture *t = fixture_new ();
      struct Node *a = node_new (t, "a");
      struct Node *b = node_new (t, "b");
      struct Node *c = node_new (t, "c");
      uint32_t n_changes = 0;

      fake_timer_advance (t->timers, 100);
      n_changes = a->n_changes;
      fake_kv_set_fault (t->kv, faults[i]);
      fake_timer_advance (t->timers, TTL_MS / 2);
      CU_ASSERT_FALSE (a->up);
      fake_kv_set_fault (t->kv, FAKE_KV_OK);
      fake_timer_advance (t->timers, SETTLED_MS);
      CU_ASSERT_TRUE (a->up);
      fake_kv_set_fault (t->kv, faults[i]);
      fake_timer_advance (t->timers, 20 * TTL_MS);
      talloc_free (c);
      CU_ASSERT_EQUAL (a->n_members, 3);
      fake_kv_set_fault (t->kv, FAKE_KV_OK);
      fake_timer_advance (t->timers, TTL_MS / 2);
      CU_ASSERT_EQUAL (a->n_changes, n_changes);
      CU_ASSERT_EQUAL (b->n_members, 3);
      fake_timer_advance (t->timers, 4 * TTL_MS);
      CU_ASSERT_EQUAL (a->n_changes, n_changes + 1);
      CU_ASSERT_EQUAL (a->n_members, 2);
      CU_ASSERT_EQUAL (a->n_incarnations, 1);
      CU_ASSERT_EQUAL (b->n_incarnations, 1);
      assert_registered (a, b);
      assert_registered (b, a);
      CU_ASSERT_EQUAL (fake_kv_count (t->kv, "t/member/"), 2);
      talloc_free (t);
    }
}

/* One instance is cut off from the service for longer than its lease. The others remove it; it
 * comes back under its incarnation, since a seal in its journal shows whether it was taken over.
 * When its key is deleted while the lease is renewed, it drops the incarnation. */
static void
test_one_instance_cut_off (void)
{
  struct Fixture *t = fixture_new ();
  struct Node *a = node_new (t, "a");
  struct Node *b = node_new (t, "b");

  fake_timer_advance (t->timers, 100);
  fake_kv_port_set_fault (a->port, FAKE_KV_REFUSE);
  fake_timer_advance (t->timers, 2 * TTL_MS);
  CU_ASSERT_PTR_NULL (node_sees (b, "a"));
  CU_ASSERT_EQUAL (a->n_members, 2);
  fake_kv_port_set_fault (a->port, FAKE_KV_OK);
  fake_timer_advance (t->timers, SETTLED_MS);
  CU_ASSERT_EQUAL (a->n_incarnations, 1);
  assert_registered (a, b);
  fake_kv_remove (t->kv, "t/member/a");
  fake_timer_advance (t->timers, SETTLED_MS);
  CU_ASSERT_EQUAL (a->n_incarnations, 2);
  assert_registered (a, b);
  talloc_free (t);
}

/* After an outage, the responses to an instance that registers again are lost as well. */
static void
test_lost_responses_after_an_outage (void)
{
  static const int32_t ops[] = { KV_OP_LEASE_GRANT, KV_OP_GET, KV_OP_PUT };
  static const enum FakeKvFault faults[] = { FAKE_KV_LOSE_RESPONSE, FAKE_KV_LOSE_REQUEST,
                                             FAKE_KV_LATE, FAKE_KV_REFUSE };

  for (size_t i = 0; i < 3; i++)
    for (size_t j = 0; j < 4; j++)
      {
        struct Fixture *t = fixture_new ();
        struct Node *a = node_new (t, "a");
        struct Node *b = node_new (t, "b");

        fake_timer_advance (t->timers, 100);
        fake_kv_set_fault (t->kv, FAKE_KV_REFUSE);
        fake_timer_advance (t->timers, 2 * TTL_MS);
        fake_kv_fault_next (t->kv, ops[i], i == 0 ? "" : "t/member/a", faults[j], 1);
        fake_kv_set_fault (t->kv, FAKE_KV_OK);
        fake_timer_advance (t->timers, SETTLED_MS);
        fake_kv_release (t->kv);
        fake_timer_advance (t->timers, SETTLED_MS);
        CU_ASSERT_EQUAL (a->n_incarnations, 1);
        assert_registered (a, b);
        assert_registered (b, a);
        talloc_free (t);
      }
}

/* Any request or response of a registration is lost, or a request is applied late, after others.
 * The instance must end up as one member, with the same incarnation reported to it and to the
 * others. */
static void
test_lost_responses_while_registering (void)
{
  static const int32_t ops[] = { KV_OP_LEASE_GRANT, KV_OP_GET, KV_OP_PUT };
  static const enum FakeKvFault faults[] = { FAKE_KV_LOSE_RESPONSE, FAKE_KV_LOSE_REQUEST,
                                             FAKE_KV_LATE, FAKE_KV_REFUSE };

  for (size_t i = 0; i < 3; i++)
    for (size_t j = 0; j < 4; j++)
      for (uint32_t n = 1; n <= 4; n++)
        {
          struct Fixture *t = fixture_new ();
          struct Node *b = node_new (t, "b");
          struct Node *a = NULL;
          char incarnation[INCARNATION_MAX_BYTES + 1];

          fake_timer_advance (t->timers, 100);
          /* The first n - 1 requests succeed, the n-th fails. */
          if (n > 1)
            fake_kv_fault_next (t->kv, ops[i], i == 0 ? "" : "t/member/a", FAKE_KV_OK, n - 1);
          fake_kv_fault_next (t->kv, ops[i], i == 0 ? "" : "t/member/a", faults[j], 1);
          a = node_new (t, "a");
          fake_timer_advance (t->timers, 200);
          membership_set_draining (a->membership, true);
          fake_timer_advance (t->timers, SETTLED_MS);
          assert_registered (a, b);
          CU_ASSERT_TRUE (node_sees (b, "a")->draining);
          snprintf (incarnation, sizeof incarnation, "%s", a->incarnation);
          fake_kv_release (t->kv);
          fake_timer_advance (t->timers, SETTLED_MS);
          assert_registered (a, b);
          CU_ASSERT_STRING_EQUAL (a->incarnation, incarnation);
          CU_ASSERT_EQUAL (fake_kv_count (t->kv, "t/member/"), 2);
          talloc_free (t);
        }
}

/* An instance is replaced under its name before its lease has expired, while the old one was only
 * paused. The new one must be seen at once, and the old one must detect that it was replaced. */
static void
test_replaced_under_the_same_name (void)
{
  struct Fixture *t = fixture_new ();
  struct Node *old = node_new (t, "a");
  struct Node *b = node_new (t, "b");
  struct Node *new = NULL;

  fake_timer_advance (t->timers, 100);
  new = node_new (t, "a");
  fake_timer_advance (t->timers, 100);
  assert_registered (new, b);
  CU_ASSERT_STRING_NOT_EQUAL (new->incarnation, old->incarnation);
  CU_ASSERT_STRING_EQUAL (membership_incarnation (old->membership), "");
  talloc_free (old);
  fake_timer_advance (t->timers, SETTLED_MS);
  assert_registered (new, b);
  CU_ASSERT_EQUAL (new->n_incarnations, 1);
  CU_ASSERT_EQUAL (b->n_members, 2);
  talloc_free (t);
}

static void
test_rejoin_takes_a_new_incarnation (void)
{
  struct Fixture *t = fixture_new ();
  struct Node *a = node_new (t, "a");
  struct Node *b = node_new (t, "b");

  fake_timer_advance (t->timers, 100);
  membership_rejoin (a->membership);
  CU_ASSERT_STRING_EQUAL (membership_incarnation (a->membership), "");
  membership_rejoin (a->membership);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_EQUAL (a->n_incarnations, 2);
  assert_registered (a, b);
  talloc_free (t);
}

/* A late watch reports to an instance with a new incarnation that the former one was dropped. This
 * outdated change must not make it drop the new incarnation too. */
static void
test_late_watch_after_a_rejoin (void)
{
  struct Fixture *t = fixture_new ();
  struct Node *a = node_new (t, "a");

  fake_timer_advance (t->timers, 100);
  fake_kv_fault_next (t->kv, KV_OP_WATCH, "t/member/", FAKE_KV_HOLD_REQUEST, 1);
  membership_set_draining (a->membership, true); /* ends the watch; the next one is held */
  fake_timer_advance (t->timers, 100);
  membership_rejoin (a->membership);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_EQUAL (a->n_incarnations, 2);
  CU_ASSERT_STRING_NOT_EQUAL (node_sees (a, "a")->incarnation, a->incarnation);
  fake_kv_release (t->kv);
  fake_timer_advance (t->timers, SETTLED_MS);
  CU_ASSERT_EQUAL (a->n_incarnations, 2);
  assert_registered (a, a);
  talloc_free (t);
}

static void
node_on_left (void *data)
{
  ((struct Node *)data)->left = true;
}

static void
test_leaving (void)
{
  struct Fixture *t = fixture_new ();
  struct Node *a = node_new (t, "a");
  struct Node *b = node_new (t, "b");

  fake_timer_advance (t->timers, 100);
  membership_leave (a->membership, node_on_left, a);
  CU_ASSERT_FALSE (a->left);
  fake_timer_advance (t->timers, 100);
  CU_ASSERT_TRUE (a->left);
  CU_ASSERT_PTR_NULL (node_sees (b, "a"));
  fake_kv_set_fault (t->kv, FAKE_KV_REFUSE);
  membership_leave (b->membership, node_on_left, b);
  fake_timer_advance (t->timers, TTL_MS / 2);
  CU_ASSERT_FALSE (b->left);
  fake_timer_advance (t->timers, TTL_MS);
  CU_ASSERT_TRUE (b->left);
  talloc_free (t);
}

const char test_suite_name[] = "membership";
const struct TestCase test_cases[] = {
  { "members see each other", test_members_see_each_other },
  { "lease lapsed while paused", test_lease_lapsed_while_paused },
  { "outage removes no member", test_outage_removes_no_member },
  { "one instance cut off", test_one_instance_cut_off },
  { "lost responses after an outage", test_lost_responses_after_an_outage },
  { "lost responses while registering", test_lost_responses_while_registering },
  { "replaced under the same name", test_replaced_under_the_same_name },
  { "rejoin takes a new incarnation", test_rejoin_takes_a_new_incarnation },
  { "late watch after a rejoin", test_late_watch_after_a_rejoin },
  { "leaving", test_leaving },
  { NULL, NULL },
};
