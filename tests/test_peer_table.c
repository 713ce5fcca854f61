#include "test_main.h"

#include <buckthornhead/peer_table.h>

#include <stdio.h>
#include <string.h>

enum
{
  START_MS = 100000,
  HALF_SECOND_MS = 500
};

static struct NodeStatus
status_of (const char *node, const char *zone)
{
  struct NodeStatus status = { .start = 1, .version = 1, .ready = true };

  snprintf (status.node, sizeof status.node, "%s", node);
  snprintf (status.zone, sizeof status.zone, "%s", zone);
  snprintf (status.peer_address, sizeof status.peer_address, "%s:1", node);
  snprintf (status.caller_address, sizeof status.caller_address, "%s:2", node);
  return status;
}

static struct PeerTable *
table_of (TALLOC_CTX *ctx, const char *node, const char *zone)
{
  struct PeerTable *table = peer_table_new (ctx, node, zone);
  struct NodeStatus own = status_of (node, zone);

  peer_table_describe (table, &own);
  return table;
}

/* A member's report as its aggregator gets it. */
static struct Peer *
hear (
    struct PeerTable *table, const char *node, const char *zone, enum LoadScope scope, int64_t now)
{
  struct Heartbeat heartbeat = { .status = status_of (node, zone), .scope = scope };
  bool changed;

  return peer_table_take_heartbeat (table, &heartbeat, now, &changed);
}

/* What from publishes reaches to; false when the changes did not fit. */
static bool
pass_list (struct PeerTable *from, struct PeerTable *to, enum SnapshotKind kind, int64_t now)
{
  struct Snapshot *list = peer_table_publish (from, from, kind, now);
  struct StateMark mark = { .kind = kind };
  bool fits;

  if (list != NULL)
    {
      fits = peer_table_take_list (to, from->own.node, list, now);
      talloc_free (list);
      return fits;
    }
  mark.content = peer_table_published (from, kind)->content;
  return peer_table_confirm_list (to, from->own.node, &mark, now);
}

static bool
is_live (struct PeerTable *table, const char *name, int64_t now)
{
  const struct Peer *peer = peer_table_find (table, name);

  return peer != NULL && peer_table_is_live (table, peer, now);
}

/* Callers are sent to a gateway that died: each of the two aggregators of its zone lists it because
 * the other one does. A list of the fleet holds of the own zone only what was heard from the
 * process itself, so that it goes from both. */
static void
test_two_aggregators_do_not_keep_a_dead_process_alive (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *a = table_of (ctx, "a", "z"), *b = table_of (ctx, "b", "z");
  int64_t now = START_MS, died_ms = START_MS + 2000;

  for (; now < died_ms + 10000; now += HALF_SECOND_MS)
    {
      if (now < died_ms)
        {
          hear (a, "m", "z", LOADS_OF_PROCESS, now);
          hear (b, "m", "z", LOADS_OF_PROCESS, now);
        }
      hear (a, "b", "z", LOADS_OF_FLEET, now);
      hear (b, "a", "z", LOADS_OF_FLEET, now);
      if (!pass_list (a, b, SNAPSHOT_FLEET, now) || !pass_list (b, a, SNAPSHOT_FLEET, now))
        CU_FAIL ("a list did not fit");
      if (now == died_ms)
        CU_ASSERT_TRUE (is_live (a, "m", now));
    }
  CU_ASSERT_FALSE (is_live (a, "m", now));
  CU_ASSERT_FALSE (is_live (b, "m", now));
  CU_ASSERT_TRUE (is_live (a, "b", now - HALF_SECOND_MS));
  talloc_free (ctx);
}

/* Both aggregators of a zone lose power. Their members have nobody who tells them of others until
 * they have found and reported to the next two: nobody else may be taken for dead meanwhile. */
static void
test_nobody_seems_dead_while_the_next_aggregators_take_over (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *first = table_of (ctx, "first", "z"), *second = table_of (ctx, "second", "z");
  struct PeerTable *member = table_of (ctx, "member", "z");
  const char *names[PEER_TABLE_AGGREGATORS];
  int64_t now = START_MS, lost_ms;
  size_t n;

  hear (first, "other", "z", LOADS_OF_PROCESS, now);
  hear (member, "first", "z", LOADS_OF_FLEET, now);
  CU_ASSERT_TRUE (pass_list (first, member, SNAPSHOT_FLEET, now));
  lost_ms = now;
  /* Two seconds: silence is noticed after 1.6 s, the next heartbeat reports to the successor. */
  for (; now < lost_ms + 2200; now += 100)
    CU_ASSERT_TRUE (is_live (member, "other", now));
  n = peer_table_aggregators (member, "z", now, names);
  for (size_t i = 0; i < n; i++)
    CU_ASSERT_STRING_NOT_EQUAL (names[i], "first");
  hear (second, "other", "z", LOADS_OF_PROCESS, now);
  CU_ASSERT_TRUE (pass_list (second, member, SNAPSHOT_FLEET, now));
  now = lost_ms + PEER_TABLE_SOURCE_LIVE_MS + 100;
  CU_ASSERT_TRUE (is_live (member, "other", now));
  CU_ASSERT_FALSE (is_live (member, "first", now));
  talloc_free (ctx);
}

/* A process that was killed refuses connections at once; it is out before its silence is noticed,
 * and in again as soon as it is heard. */
static void
test_a_refused_process_is_out_at_once (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  struct Peer *peer = hear (table, "m", "z", LOADS_OF_PROCESS, START_MS);

  CU_ASSERT_TRUE (is_live (table, "m", START_MS + 100));
  peer->refused_ms = START_MS + 150;
  CU_ASSERT_FALSE (is_live (table, "m", START_MS + 200));
  hear (table, "m", "z", LOADS_OF_PROCESS, START_MS + 400);
  CU_ASSERT_TRUE (is_live (table, "m", START_MS + 400));
  talloc_free (ctx);
}

static uint64_t
config_seen (struct PeerTable *table, const char *name)
{
  return peer_table_find (table, name)->status.config_version;
}

/* A member is told of a gateway's new configuration by one aggregator, and then gets the list of
 * the other, which has not heard of it yet: what it knows does not go back. */
static void
test_a_list_that_is_behind_undoes_nothing (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *quick = table_of (ctx, "quick", "z"), *late = table_of (ctx, "late", "z");
  struct PeerTable *member = table_of (ctx, "member", "z");
  struct Heartbeat heartbeat = { .status = status_of ("m", "z") };
  bool changed;

  peer_table_take_heartbeat (late, &heartbeat, START_MS, &changed);
  heartbeat.status.version = 2;
  heartbeat.status.config_version = 7;
  peer_table_take_heartbeat (quick, &heartbeat, START_MS, &changed);
  CU_ASSERT_TRUE (pass_list (quick, member, SNAPSHOT_FLEET, START_MS));
  CU_ASSERT_EQUAL (config_seen (member, "m"), 7);
  CU_ASSERT_TRUE (pass_list (late, member, SNAPSHOT_FLEET, START_MS));
  CU_ASSERT_EQUAL (config_seen (member, "m"), 7);
  talloc_free (ctx);
}

/* A machine's clock was set back while its process was away. The new process numbers its start from
 * that clock; what it says counts all the same. */
static void
test_a_start_with_a_lower_number_is_believed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *aggregator = table_of (ctx, "a", "z"), *member = table_of (ctx, "member", "z");
  struct Heartbeat heartbeat = { .status = status_of ("m", "z") };
  int64_t now = START_MS;
  bool changed;

  heartbeat.status.start = 500;
  heartbeat.status.version = 40;
  peer_table_take_heartbeat (aggregator, &heartbeat, now, &changed);
  CU_ASSERT_TRUE (pass_list (aggregator, member, SNAPSHOT_FLEET, now));
  heartbeat.status.start = 3;
  heartbeat.status.version = 1;
  heartbeat.status.ready = false;
  now += 300;
  peer_table_take_heartbeat (aggregator, &heartbeat, now, &changed);
  CU_ASSERT_TRUE (changed);
  CU_ASSERT_TRUE (pass_list (aggregator, member, SNAPSHOT_FLEET, now));
  CU_ASSERT_FALSE (peer_table_find (member, "m")->status.ready);
  talloc_free (ctx);
}

/* Changes that were lost with their link: the next ones do not fit, and the whole is asked for. */
static void
test_changes_of_another_list_are_not_taken (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *a = table_of (ctx, "a", "z"), *member = table_of (ctx, "member", "z");
  char name[16];

  for (int i = 0; i < 6; i++)
    {
      snprintf (name, sizeof name, "m%d", i);
      hear (a, name, "z", LOADS_OF_PROCESS, START_MS);
    }
  CU_ASSERT_TRUE (pass_list (a, member, SNAPSHOT_FLEET, START_MS));
  hear (a, "lost", "z", LOADS_OF_PROCESS, START_MS);
  talloc_free (peer_table_publish (a, ctx, SNAPSHOT_FLEET, START_MS));
  hear (a, "next", "z", LOADS_OF_PROCESS, START_MS);
  CU_ASSERT_FALSE (pass_list (a, member, SNAPSHOT_FLEET, START_MS));
  CU_ASSERT_TRUE (
      peer_table_take_list (member, "a", peer_table_published (a, SNAPSHOT_FLEET), START_MS));
  CU_ASSERT_TRUE (is_live (member, "lost", START_MS));
  CU_ASSERT_TRUE (is_live (member, "next", START_MS));
  talloc_free (ctx);
}

/* A gateway that is about to stop hands over before it is gone; archives aggregate only where there
 * is no gateway. */
static void
test_who_aggregates (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  struct Heartbeat leaving = { .status = status_of ("b", "z") };
  struct Heartbeat archive = { .status = status_of ("storage", "z") };
  const char *names[PEER_TABLE_AGGREGATORS];
  bool changed;

  archive.status.is_archive = true;
  peer_table_take_heartbeat (table, &archive, START_MS, &changed);
  CU_ASSERT_EQUAL (peer_table_aggregators (table, "z", START_MS, names), 1);
  CU_ASSERT_STRING_EQUAL (names[0], "a");
  peer_table_take_heartbeat (table, &leaving, START_MS, &changed);
  CU_ASSERT_EQUAL (peer_table_aggregators (table, "z", START_MS, names), 2);
  leaving.status.leaving = true;
  peer_table_take_heartbeat (table, &leaving, START_MS, &changed);
  CU_ASSERT_EQUAL (peer_table_aggregators (table, "z", START_MS, names), 1);
  archive.status = status_of ("storage-2", "y");
  archive.status.is_archive = true;
  peer_table_take_heartbeat (table, &archive, START_MS, &changed);
  CU_ASSERT_EQUAL_FATAL (peer_table_aggregators (table, "y", START_MS, names), 1);
  CU_ASSERT_STRING_EQUAL (names[0], "storage-2");
  talloc_free (ctx);
}

static uint32_t
load_of (const struct ReplicaLoad *loads, size_t n_loads, const char *replica)
{
  for (size_t i = 0; i < n_loads; i++)
    if (strcmp (loads[i].replica, replica) == 0)
      return loads[i].in_flight;
  return 0;
}

static void
hear_loads (struct PeerTable *table,
            const char *node,
            const char *zone,
            enum LoadScope scope,
            uint32_t in_flight)
{
  struct ReplicaLoad loads[1] = { { .replica = "desk", .in_flight = in_flight } };
  struct Heartbeat heartbeat = {
    .status = status_of (node, zone), .scope = scope, .loads = loads, .n_loads = 1
  };
  bool changed;

  peer_table_take_heartbeat (table, &heartbeat, START_MS, &changed);
}

/* Requests on their way to one server through all gateways: each is counted once, though two
 * aggregators of the other zone tell of them. */
static void
test_loads_are_counted_once (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *a = table_of (ctx, "a", "z");
  struct PeerTable *y1 = table_of (ctx, "y1", "y"), *y2 = table_of (ctx, "y2", "y");
  struct ReplicaLoad own_loads[1] = { { .replica = "desk", .in_flight = 2 } };
  struct Heartbeat own = { .loads = own_loads, .n_loads = 1 };
  struct ReplicaLoad *loads;
  size_t n;

  hear_loads (a, "m1", "z", LOADS_OF_PROCESS, 3);
  hear_loads (a, "m2", "z", LOADS_OF_PROCESS, 4);
  hear (a, "y1", "y", LOADS_OF_ZONE, START_MS);
  hear (a, "y2", "y", LOADS_OF_ZONE, START_MS);
  pass_list (y1, a, SNAPSHOT_ZONE, START_MS);
  pass_list (y2, a, SNAPSHOT_ZONE, START_MS);
  hear_loads (a, "y1", "y", LOADS_OF_ZONE, 50);
  hear_loads (a, "y2", "y", LOADS_OF_ZONE, 50);
  loads = peer_table_loads (a, ctx, &own, LOADS_OF_ZONE, START_MS, &n);
  CU_ASSERT_EQUAL (load_of (loads, n, "desk"), 9);
  loads = peer_table_loads (a, ctx, &own, LOADS_OF_FLEET, START_MS, &n);
  CU_ASSERT_EQUAL (load_of (loads, n, "desk"), 59);
  talloc_free (ctx);
}

static void
count_forgotten (void *data, const struct Peer *peer)
{
  (void)peer;
  ++*(int *)data;
}

/* Machines that were replaced do not stay in the table for ever. */
static void
test_the_silent_are_forgotten (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  int n_forgotten = 0;

  hear (table, "gone", "z", LOADS_OF_PROCESS, START_MS);
  hear (table, "stays", "z", LOADS_OF_PROCESS, START_MS + PEER_TABLE_FORGET_MS);
  peer_table_forget_silent (table, START_MS + PEER_TABLE_FORGET_MS, count_forgotten, &n_forgotten);
  CU_ASSERT_EQUAL (n_forgotten, 1);
  CU_ASSERT_PTR_NULL (peer_table_find (table, "gone"));
  CU_ASSERT_PTR_NOT_NULL (peer_table_find (table, "stays"));
  talloc_free (ctx);
}

/* The gateways of a zone, who tell who lives in it, are cut off from all archives, and nobody else
 * speaks for the archive there. An archive outside the set took it for dead and its place, though
 * it answered every question; when the next disk was lost, too few were left for a second and a
 * half. It asks the others itself, and hears them. */
static void
test_an_archive_asks_the_others_itself (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *spare = table_of (ctx, "spare", "a");
  int64_t now = START_MS;
  struct Peer *member = hear (spare, "member", "b", LOADS_OF_PROCESS, now);

  spare->own.is_archive = true;
  member->status.is_archive = true;
  for (uint32_t i = 0; i < 20; i++)
    {
      now += HALF_SECOND_MS;
      CU_ASSERT_TRUE (peer_table_must_probe (spare, member, true, false, now));
      member->probed_ms = now;
      CU_ASSERT_FALSE (peer_table_must_probe (spare, member, true, false, now));
      /* The answer. */
      peer_note_received (member, now);
      member->link_received_ms = now;
      CU_ASSERT_TRUE (peer_table_is_live (spare, member, now + HALF_SECOND_MS));
    }
  /* One that counts for nothing is left alone. */
  CU_ASSERT_FALSE (peer_table_must_probe (spare, member, false, false, now + 2 * HALF_SECOND_MS));
  talloc_free (ctx);
}

/* A seed that named all processes to each that starts would send 60 MB when a thousand do. Whoever
 * starts needs those that aggregate, and the same ones whatever the fleet's size. */
static void
test_contacts_stay_few_in_a_large_fleet (void)
{
  static const uint32_t sizes[] = { 1000, 2000 };
  enum
  {
    N_ZONES = 5
  };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct PeerTable *table = table_of (ctx, "seed", "zone-0");
      const struct Peer *contacts[PEER_TABLE_CONTACTS_MAX];
      const char *names[PEER_TABLE_AGGREGATORS];
      uint32_t n_found = 0;
      size_t n;

      for (uint32_t i = 0; i < sizes[s]; i++)
        {
          char name[32], zone[16];

          snprintf (name, sizeof name, "front-%u", i);
          snprintf (zone, sizeof zone, "zone-%u", i % N_ZONES);
          hear (table, name, zone, LOADS_OF_PROCESS, START_MS);
        }
      n = peer_table_contacts (table, START_MS, contacts);
      CU_ASSERT_EQUAL (n, N_ZONES * PEER_TABLE_CONTACTS);
      CU_ASSERT_EQUAL (peer_table_aggregators (table, "zone-3", START_MS, names), 2);
      for (size_t i = 0; i < n; i++)
        n_found += strcmp (contacts[i]->status.node, names[0]) == 0
                   || strcmp (contacts[i]->status.node, names[1]) == 0;
      CU_ASSERT_EQUAL (n_found, 2);
      talloc_free (ctx);
    }
}

/* What a fleet of n processes asks of one archive in ten seconds, while it answers all of it. */
static uint32_t
probes_in_ten_seconds (TALLOC_CTX *ctx, uint32_t n, bool is_listed)
{
  struct PeerTable *member = table_of (ctx, "member", "a"), *aggregator = table_of (ctx, "b", "a");
  int64_t now = START_MS;
  struct Peer *archive;
  uint32_t n_probes = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "front-%u", i);
      hear (member, name, "a", LOADS_OF_PROCESS, now);
    }
  hear (aggregator, "archive", "a", LOADS_OF_PROCESS, now)->status.is_archive = true;
  CU_ASSERT_TRUE (pass_list (aggregator, member, SNAPSHOT_FLEET, now));
  archive = peer_table_find (member, "archive");
  archive->status.is_archive = true;
  archive->link_received_ms = now;
  for (; now < START_MS + 10000; now += 50)
    {
      if (is_listed)
        {
          hear (aggregator, "archive", "a", LOADS_OF_PROCESS, now)->status.is_archive = true;
          pass_list (aggregator, member, SNAPSHOT_FLEET, now);
        }
      if (!peer_table_must_probe (member, archive, true, false, now))
        continue;
      n_probes++;
      archive->probed_ms = now;
      peer_note_received (archive, now);
      archive->link_received_ms = now;
    }
  return n_probes;
}

/* Each of a thousand processes probed each archive twice a second, and the archive's machine was
 * busy with that alone. Together they probe no more often the more they are; one that nobody lists
 * any more is looked for as often as in a small fleet. */
static void
test_probes_of_an_archive_do_not_grow_with_the_fleet (void)
{
  static const uint32_t sizes[] = { 1000, 2000 };
  enum
  {
    ALL_IN_TEN_SECONDS_MAX = 5000
  };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);

      CU_ASSERT (sizes[i] * probes_in_ten_seconds (ctx, sizes[i], true) <= ALL_IN_TEN_SECONDS_MAX);
      CU_ASSERT (probes_in_ten_seconds (ctx, sizes[i], false) >= 12);
      talloc_free (ctx);
    }
}

const char test_suite_name[] = "table";
const struct TestCase test_cases[] = {
  { "two aggregators do not keep a dead process alive",
    test_two_aggregators_do_not_keep_a_dead_process_alive },
  { "nobody seems dead while the next aggregators take over",
    test_nobody_seems_dead_while_the_next_aggregators_take_over },
  { "a refused process is out at once", test_a_refused_process_is_out_at_once },
  { "a list that is behind undoes nothing", test_a_list_that_is_behind_undoes_nothing },
  { "a start with a lower number is believed", test_a_start_with_a_lower_number_is_believed },
  { "changes of another list are not taken", test_changes_of_another_list_are_not_taken },
  { "who aggregates", test_who_aggregates },
  { "loads are counted once", test_loads_are_counted_once },
  { "the silent are forgotten", test_the_silent_are_forgotten },
  { "an archive asks the others itself", test_an_archive_asks_the_others_itself },
  { "contacts stay few in a large fleet", test_contacts_stay_few_in_a_large_fleet },
  { "probes of an archive do not grow with the fleet",
    test_probes_of_an_archive_do_not_grow_with_the_fleet },
  { NULL, NULL },
};
