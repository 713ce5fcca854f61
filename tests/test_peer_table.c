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

/* Delivers a heartbeat from node to table. */
static struct Peer *
receive_heartbeat (
    struct PeerTable *table, const char *node, const char *zone, enum LoadScope scope, int64_t now)
{
  struct Heartbeat heartbeat = { .status = status_of (node, zone), .scope = scope };
  bool changed;

  return peer_table_handle_heartbeat (table, &heartbeat, now, &changed);
}

/* Publishes from's list and delivers it to to. Returns false if to needs the full list. */
static bool
send_list (struct PeerTable *from, struct PeerTable *to, enum SnapshotKind kind, int64_t now)
{
  struct Snapshot *list = peer_table_publish (from, from, kind, now);
  struct StateMark mark = { .kind = kind };
  bool fits;

  if (list != NULL)
    {
      fits = peer_table_apply_list (to, from->own.node, list, now);
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

/* Guards against callers being sent to a failed gateway that its zone's two aggregators keep
 * listing for each other. For its own zone, an aggregator only lists processes that sent it
 * heartbeats, so the gateway disappears from both lists. */
static void
test_two_aggregators_do_not_keep_a_failed_process_live (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *a = table_of (ctx, "a", "z"), *b = table_of (ctx, "b", "z");
  int64_t now = START_MS, failed_ms = START_MS + 2000;

  for (; now < failed_ms + 10000; now += HALF_SECOND_MS)
    {
      if (now < failed_ms)
        {
          receive_heartbeat (a, "m", "z", LOADS_OF_PROCESS, now);
          receive_heartbeat (b, "m", "z", LOADS_OF_PROCESS, now);
        }
      receive_heartbeat (a, "b", "z", LOADS_OF_FLEET, now);
      receive_heartbeat (b, "a", "z", LOADS_OF_FLEET, now);
      if (!send_list (a, b, SNAPSHOT_FLEET, now) || !send_list (b, a, SNAPSHOT_FLEET, now))
        CU_FAIL ("a list was rejected");
      if (now == failed_ms)
        CU_ASSERT_TRUE (is_live (a, "m", now));
    }
  CU_ASSERT_FALSE (is_live (a, "m", now));
  CU_ASSERT_FALSE (is_live (b, "m", now));
  CU_ASSERT_TRUE (is_live (a, "b", now - HALF_SECOND_MS));
  talloc_free (ctx);
}

/* Both aggregators of a zone lose power, and the members receive no lists until they have reported
 * to the next two. Guards against other members seeming to have failed in the meantime. */
static void
test_members_stay_live_during_an_aggregator_failover (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *first = table_of (ctx, "first", "z"), *second = table_of (ctx, "second", "z");
  struct PeerTable *member = table_of (ctx, "member", "z");
  const char *names[PEER_TABLE_AGGREGATORS];
  int64_t now = START_MS, lost_ms;
  size_t n;

  receive_heartbeat (first, "other", "z", LOADS_OF_PROCESS, now);
  receive_heartbeat (member, "first", "z", LOADS_OF_FLEET, now);
  CU_ASSERT_TRUE (send_list (first, member, SNAPSHOT_FLEET, now));
  lost_ms = now;
  /* Silence is detected after 1.6 s; the next heartbeat reports to the successor within 2.2 s. */
  for (; now < lost_ms + 2200; now += 100)
    CU_ASSERT_TRUE (is_live (member, "other", now));
  n = peer_table_aggregators (member, "z", now, names);
  for (size_t i = 0; i < n; i++)
    CU_ASSERT_STRING_NOT_EQUAL (names[i], "first");
  receive_heartbeat (second, "other", "z", LOADS_OF_PROCESS, now);
  CU_ASSERT_TRUE (send_list (second, member, SNAPSHOT_FLEET, now));
  now = lost_ms + PEER_TABLE_SOURCE_LIVE_MS + 100;
  CU_ASSERT_TRUE (is_live (member, "other", now));
  CU_ASSERT_FALSE (is_live (member, "first", now));
  talloc_free (ctx);
}

/* The instance of a killed process refuses connections at once. The process must count as failed
 * before its silence is detected, and as live again with its next heartbeat. */
static void
test_a_refused_connection_marks_a_peer_down_at_once (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  struct Peer *peer = receive_heartbeat (table, "m", "z", LOADS_OF_PROCESS, START_MS);

  CU_ASSERT_TRUE (is_live (table, "m", START_MS + 100));
  peer->refused_ms = START_MS + 150;
  CU_ASSERT_FALSE (is_live (table, "m", START_MS + 200));
  receive_heartbeat (table, "m", "z", LOADS_OF_PROCESS, START_MS + 400);
  CU_ASSERT_TRUE (is_live (table, "m", START_MS + 400));
  talloc_free (ctx);
}

static uint64_t
config_version_of (struct PeerTable *table, const char *name)
{
  return peer_table_find (table, name)->status.config_version;
}

/* A member receives a gateway's new configuration version from one aggregator, and then the list of
 * the other one, which still has the old version. Guards against the member reverting to it. */
static void
test_an_outdated_list_does_not_revert_a_status (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *quick = table_of (ctx, "quick", "z"), *late = table_of (ctx, "late", "z");
  struct PeerTable *member = table_of (ctx, "member", "z");
  struct Heartbeat heartbeat = { .status = status_of ("m", "z") };
  bool changed;

  peer_table_handle_heartbeat (late, &heartbeat, START_MS, &changed);
  heartbeat.status.version = 2;
  heartbeat.status.config_version = 7;
  peer_table_handle_heartbeat (quick, &heartbeat, START_MS, &changed);
  CU_ASSERT_TRUE (send_list (quick, member, SNAPSHOT_FLEET, START_MS));
  CU_ASSERT_EQUAL (config_version_of (member, "m"), 7);
  CU_ASSERT_TRUE (send_list (late, member, SNAPSHOT_FLEET, START_MS));
  CU_ASSERT_EQUAL (config_version_of (member, "m"), 7);
  talloc_free (ctx);
}

/* An instance's clock is set back while its process restarts, so the new process has a lower start
 * number. Guards against its status being ignored. */
static void
test_a_start_with_a_lower_number_is_accepted (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *aggregator = table_of (ctx, "a", "z"), *member = table_of (ctx, "member", "z");
  struct Heartbeat heartbeat = { .status = status_of ("m", "z") };
  int64_t now = START_MS;
  bool changed;

  heartbeat.status.start = 500;
  heartbeat.status.version = 40;
  peer_table_handle_heartbeat (aggregator, &heartbeat, now, &changed);
  CU_ASSERT_TRUE (send_list (aggregator, member, SNAPSHOT_FLEET, now));
  heartbeat.status.start = 3;
  heartbeat.status.version = 1;
  heartbeat.status.ready = false;
  now += 300;
  peer_table_handle_heartbeat (aggregator, &heartbeat, now, &changed);
  CU_ASSERT_TRUE (changed);
  CU_ASSERT_TRUE (send_list (aggregator, member, SNAPSHOT_FLEET, now));
  CU_ASSERT_FALSE (peer_table_find (member, "m")->status.ready);
  talloc_free (ctx);
}

/* A gateway returns with a lower start number than its previous process, as after a clock was set
 * back. The requests of the previous process must end, and those of the new one must not. */
static void
test_requests_of_a_previous_process_end (void)
{
  const uint64_t first = 1ULL << 50, second = 1ULL << 45;
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  struct Heartbeat heartbeat = { .status = status_of ("m", "z") };
  const struct Peer *peer;
  bool changed;

  heartbeat.status.start = first;
  peer = peer_table_handle_heartbeat (table, &heartbeat, START_MS, &changed);
  CU_ASSERT_FALSE (peer_process_has_ended (peer, first + 7));
  CU_ASSERT_FALSE (peer_process_has_ended (peer, second + 7)); /* before its first heartbeat */
  heartbeat.status.start = second;
  peer_table_handle_heartbeat (table, &heartbeat, START_MS + 1000, &changed);
  CU_ASSERT_TRUE (peer_process_has_ended (peer, first + 7));
  CU_ASSERT_FALSE (peer_process_has_ended (peer, second + 7));
  /* A list that is out of date. */
  heartbeat.status.start = first;
  peer_table_handle_heartbeat (table, &heartbeat, START_MS + 2000, &changed);
  CU_ASSERT_FALSE (peer_process_has_ended (peer, second + 7));
  heartbeat.status.start = second;
  peer_table_handle_heartbeat (table, &heartbeat, START_MS + 3000, &changed);
  CU_ASSERT_TRUE (peer_process_has_ended (peer, first + 7));
  CU_ASSERT_FALSE (peer_process_has_ended (peer, second + 7));
  talloc_free (ctx);
}

/* Changes are lost with their link. The next ones are based on a list that the member does not
 * have, so they must be rejected; the full list must then be accepted. */
static void
test_changes_to_another_list_are_rejected (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *a = table_of (ctx, "a", "z"), *member = table_of (ctx, "member", "z");
  char name[16];

  for (int i = 0; i < 6; i++)
    {
      snprintf (name, sizeof name, "m%d", i);
      receive_heartbeat (a, name, "z", LOADS_OF_PROCESS, START_MS);
    }
  CU_ASSERT_TRUE (send_list (a, member, SNAPSHOT_FLEET, START_MS));
  receive_heartbeat (a, "lost", "z", LOADS_OF_PROCESS, START_MS);
  talloc_free (peer_table_publish (a, ctx, SNAPSHOT_FLEET, START_MS));
  receive_heartbeat (a, "next", "z", LOADS_OF_PROCESS, START_MS);
  CU_ASSERT_FALSE (send_list (a, member, SNAPSHOT_FLEET, START_MS));
  CU_ASSERT_TRUE (
      peer_table_apply_list (member, "a", peer_table_published (a, SNAPSHOT_FLEET), START_MS));
  CU_ASSERT_TRUE (is_live (member, "lost", START_MS));
  CU_ASSERT_TRUE (is_live (member, "next", START_MS));
  talloc_free (ctx);
}

/* A gateway that is about to stop is replaced as an aggregator before it exits. Archives aggregate
 * only in zones without gateways. */
static void
test_choice_of_aggregators (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  struct Heartbeat leaving = { .status = status_of ("b", "z") };
  struct Heartbeat archive = { .status = status_of ("storage", "z") };
  const char *names[PEER_TABLE_AGGREGATORS];
  bool changed;

  archive.status.is_archive = true;
  peer_table_handle_heartbeat (table, &archive, START_MS, &changed);
  CU_ASSERT_EQUAL (peer_table_aggregators (table, "z", START_MS, names), 1);
  CU_ASSERT_STRING_EQUAL (names[0], "a");
  peer_table_handle_heartbeat (table, &leaving, START_MS, &changed);
  CU_ASSERT_EQUAL (peer_table_aggregators (table, "z", START_MS, names), 2);
  leaving.status.leaving = true;
  peer_table_handle_heartbeat (table, &leaving, START_MS, &changed);
  CU_ASSERT_EQUAL (peer_table_aggregators (table, "z", START_MS, names), 1);
  archive.status = status_of ("storage-2", "y");
  archive.status.is_archive = true;
  peer_table_handle_heartbeat (table, &archive, START_MS, &changed);
  CU_ASSERT_EQUAL_FATAL (peer_table_aggregators (table, "y", START_MS, names), 1);
  CU_ASSERT_STRING_EQUAL (names[0], "storage-2");
  talloc_free (ctx);
}

static uint32_t
load_of (const struct ReplicaLoad *loads, size_t n_loads, const char *replica)
{
  for (size_t i = 0; i < n_loads; i++)
    if (strcmp (loads[i].server, replica) == 0)
      return loads[i].in_flight;
  return 0;
}

static void
receive_loads (struct PeerTable *table,
               const char *node,
               const char *zone,
               enum LoadScope scope,
               uint32_t in_flight)
{
  struct ReplicaLoad loads[1] = { { .server = "desk", .in_flight = in_flight } };
  struct Heartbeat heartbeat = {
    .status = status_of (node, zone), .scope = scope, .loads = loads, .n_loads = 1
  };
  bool changed;

  peer_table_handle_heartbeat (table, &heartbeat, START_MS, &changed);
}

/* Guards against requests in flight to a server being counted twice because both aggregators of
 * another zone report them. */
static void
test_loads_are_counted_once (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *a = table_of (ctx, "a", "z");
  struct PeerTable *y1 = table_of (ctx, "y1", "y"), *y2 = table_of (ctx, "y2", "y");
  struct ReplicaLoad own_loads[1] = { { .server = "desk", .in_flight = 2 } };
  struct Heartbeat own = { .loads = own_loads, .n_loads = 1 };
  struct ReplicaLoad *loads;
  size_t n;

  receive_loads (a, "m1", "z", LOADS_OF_PROCESS, 3);
  receive_loads (a, "m2", "z", LOADS_OF_PROCESS, 4);
  receive_heartbeat (a, "y1", "y", LOADS_OF_ZONE, START_MS);
  receive_heartbeat (a, "y2", "y", LOADS_OF_ZONE, START_MS);
  send_list (y1, a, SNAPSHOT_ZONE, START_MS);
  send_list (y2, a, SNAPSHOT_ZONE, START_MS);
  receive_loads (a, "y1", "y", LOADS_OF_ZONE, 50);
  receive_loads (a, "y2", "y", LOADS_OF_ZONE, 50);
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

/* Guards against replaced instances staying in the table forever. */
static void
test_silent_peers_are_removed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *table = table_of (ctx, "a", "z");
  int n_forgotten = 0;

  receive_heartbeat (table, "gone", "z", LOADS_OF_PROCESS, START_MS);
  receive_heartbeat (table, "stays", "z", LOADS_OF_PROCESS, START_MS + PEER_TABLE_REMOVE_MS);
  peer_table_remove_silent (table, START_MS + PEER_TABLE_REMOVE_MS, count_forgotten, &n_forgotten);
  CU_ASSERT_EQUAL (n_forgotten, 1);
  CU_ASSERT_PTR_NULL (peer_table_find (table, "gone"));
  CU_ASSERT_PTR_NOT_NULL (peer_table_find (table, "stays"));
  talloc_free (ctx);
}

/* The gateways of a zone, which report its live processes, are cut off from all archives, so no
 * process reports the zone's archive as live. Guards against a spare archive assuming it to have
 * failed and replacing it although it replied to every request: when the next disk was lost, too
 * few archives were left for 1.5 s. The spare must probe the archive itself and count its replies.
 */
static void
test_an_archive_probes_other_archives_itself (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct PeerTable *spare = table_of (ctx, "spare", "a");
  int64_t now = START_MS;
  struct Peer *member = receive_heartbeat (spare, "member", "b", LOADS_OF_PROCESS, now);

  spare->own.is_archive = true;
  member->status.is_archive = true;
  for (uint32_t i = 0; i < 20; i++)
    {
      now += HALF_SECOND_MS;
      CU_ASSERT_TRUE (peer_table_must_probe (spare, member, true, false, now));
      member->probed_ms = now;
      CU_ASSERT_FALSE (peer_table_must_probe (spare, member, true, false, now));
      /* The reply. */
      peer_note_received (member, now);
      member->link_received_ms = now;
      CU_ASSERT_TRUE (peer_table_is_live (spare, member, now + HALF_SECOND_MS));
    }
  /* An archive that requests don't go to is not probed. */
  CU_ASSERT_FALSE (peer_table_must_probe (spare, member, false, false, now + 2 * HALF_SECOND_MS));
  talloc_free (ctx);
}

/* Guards against a seed that returns all processes to each starting one: 60 MB when a thousand
 * start. A starting process needs only the aggregators, whose number is the same for any size of
 * the fleet. */
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
          receive_heartbeat (table, name, zone, LOADS_OF_PROCESS, START_MS);
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

/* Returns the number of probes that one member of a fleet of n processes sends to an archive in ten
 * seconds, while the archive replies to all of them. */
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
      receive_heartbeat (member, name, "a", LOADS_OF_PROCESS, now);
    }
  receive_heartbeat (aggregator, "archive", "a", LOADS_OF_PROCESS, now)->status.is_archive = true;
  CU_ASSERT_TRUE (send_list (aggregator, member, SNAPSHOT_FLEET, now));
  archive = peer_table_find (member, "archive");
  archive->status.is_archive = true;
  archive->link_received_ms = now;
  for (; now < START_MS + 10000; now += 50)
    {
      if (is_listed)
        {
          receive_heartbeat (aggregator, "archive", "a", LOADS_OF_PROCESS, now)->status.is_archive =
              true;
          send_list (aggregator, member, SNAPSHOT_FLEET, now);
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

/* Guards against probes overloading an archive's instance, as when each of a thousand processes
 * probed each archive twice a second. The total rate of probes must not grow with the fleet. An
 * archive that is on no list any more must be probed as often as in a small fleet. */
static void
test_probes_of_an_archive_do_not_grow_with_the_fleet (void)
{
  static const uint32_t sizes[] = { 1000, 2000 };
  enum
  {
    TOTAL_IN_TEN_SECONDS_MAX = 5000
  };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);

      CU_ASSERT (sizes[i] * probes_in_ten_seconds (ctx, sizes[i], true)
                 <= TOTAL_IN_TEN_SECONDS_MAX);
      CU_ASSERT (probes_in_ten_seconds (ctx, sizes[i], false) >= 12);
      talloc_free (ctx);
    }
}

const char test_suite_name[] = "table";
const struct TestCase test_cases[] = {
  { "two aggregators do not keep a failed process live",
    test_two_aggregators_do_not_keep_a_failed_process_live },
  { "members stay live during an aggregator failover",
    test_members_stay_live_during_an_aggregator_failover },
  { "a refused connection marks a peer down at once",
    test_a_refused_connection_marks_a_peer_down_at_once },
  { "an outdated list does not revert a status", test_an_outdated_list_does_not_revert_a_status },
  { "a start with a lower number is accepted", test_a_start_with_a_lower_number_is_accepted },
  { "requests of a previous process end", test_requests_of_a_previous_process_end },
  { "changes to another list are rejected", test_changes_to_another_list_are_rejected },
  { "choice of aggregators", test_choice_of_aggregators },
  { "loads are counted once", test_loads_are_counted_once },
  { "silent peers are removed", test_silent_peers_are_removed },
  { "an archive probes other archives itself", test_an_archive_probes_other_archives_itself },
  { "contacts stay few in a large fleet", test_contacts_stay_few_in_a_large_fleet },
  { "probes of an archive do not grow with the fleet",
    test_probes_of_an_archive_do_not_grow_with_the_fleet },
  { NULL, NULL },
};
