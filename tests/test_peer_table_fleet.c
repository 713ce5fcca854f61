/* Simulates the tables of peers of a whole fleet on virtual time in one process, with links that
 * are cut and members that stop, freeze or flap. Prints a table of sizes, times and bytes. */
#include "test_main.h"

#include <buckthornhead/peer_table.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>
#include <string.h>

enum
{
  STEP_MS = 20, /* of virtual time; a message is delivered one step after it was sent */
  HEARTBEAT_MS = 500,
  PUBLISH_MS = 100,
  BEGIN_MS = 1000000,
  MEMBERS_MAX = 1200,
  ZONES_MAX = 22,
  SAMPLES_MAX = 200,
  /* Limit for control traffic: bytes that a member other than an aggregator sends per second. */
  MEMBER_BYTES_S_MAX = 3 * 1024
};

/* A message in transit. The heartbeat or list may be shared with other messages. */
struct QueuedMessage
{
  struct QueuedMessage *next;
  uint32_t from, to;
  struct GatewayMessage *message;
};

struct Member
{
  char name[NAME_MAX_BYTES + 1], zone[NAME_MAX_BYTES + 1];
  uint32_t zone_number;
  struct PeerTable *table;
  bool is_up, is_frozen;
  bool has_nodes; /* it has the store's list of processes */
  uint32_t side;  /* members of different sides do not reach each other */
  int64_t heartbeat_ms, publish_ms;
  uint64_t sent_bytes, n_sent;
};

struct Fleet
{
  struct Member members[MEMBERS_MAX];
  uint32_t n, n_zones;
  int64_t now_ms;
  struct QueuedMessage *first, **last;
};

static uint32_t
fleet_find (const struct Fleet *fleet, const char *name)
{
  uint32_t i;

  sscanf (name, "front-%u", &i);
  return i < fleet->n ? i : 0;
}

static size_t
message_bytes (const struct GatewayMessage *message)
{
  uint8_t *bytes;
  size_t n_bytes = 0;

  if (gateway_message_pack (NULL, message, &bytes, &n_bytes) == ERROR_NONE)
    talloc_free (bytes);
  return n_bytes;
}

static void
fleet_send (struct Fleet *fleet,
            struct Member *from,
            uint32_t to,
            struct GatewayMessage *message,
            size_t n_bytes)
{
  struct QueuedMessage *queued = talloc_zero (fleet, struct QueuedMessage);
  struct Peer *peer = peer_table_find (from->table, fleet->members[to].name);

  if (peer != NULL && message->kind == GATEWAY_HEARTBEAT)
    peer_record_request (peer, fleet->now_ms);
  queued->from = (uint32_t)(from - fleet->members);
  queued->to = to;
  queued->message = talloc_reference (queued, message);
  *fleet->last = queued;
  fleet->last = &queued->next;
  from->sent_bytes += n_bytes;
  from->n_sent++;
}

static void
send_to_aggregators (struct Fleet *fleet,
                     struct Member *m,
                     const char *zone,
                     struct GatewayMessage *message)
{
  const char *names[PEER_TABLE_AGGREGATORS];
  size_t n = peer_table_aggregators (m->table, zone, fleet->now_ms, names);
  size_t n_bytes = message_bytes (message);

  for (size_t i = 0; i < n; i++)
    if (strcmp (names[i], m->name) != 0)
      fleet_send (fleet, m, fleet_find (fleet, names[i]), message, n_bytes);
}

static void
send_to_other_zones (struct Fleet *fleet, struct Member *m, struct GatewayMessage *message)
{
  const char *zones[PEER_TABLE_ZONES_MAX];
  size_t n = peer_table_other_zones (m->table, zones);

  for (size_t i = 0; i < n; i++)
    send_to_aggregators (fleet, m, zones[i], message);
}

static void
send_to_served (struct Fleet *fleet, struct Member *m, struct GatewayMessage *message)
{
  bool aggregates = peer_table_is_aggregator (m->table, fleet->now_ms);
  size_t n_bytes = message_bytes (message);

  for (size_t i = 0; i < m->table->n_peers; i++)
    if (peer_table_serves (m->table, m->table->peers[i], aggregates, fleet->now_ms))
      fleet_send (fleet, m, fleet_find (fleet, m->table->peers[i]->status.node), message, n_bytes);
}

static struct GatewayMessage *
heartbeat_of (const struct Member *m, enum LoadScope scope)
{
  struct GatewayMessage *message = talloc_zero (NULL, struct GatewayMessage);
  enum SnapshotKind kind = scope == LOADS_OF_ZONE ? SNAPSHOT_ZONE : SNAPSHOT_FLEET;
  const struct Snapshot *list = peer_table_published (m->table, kind);
  struct Heartbeat *heartbeat = &message->heartbeat;

  message->kind = GATEWAY_HEARTBEAT;
  heartbeat->status = m->table->own;
  heartbeat->scope = scope;
  /* The marks of the store's snapshots in a real heartbeat: configuration, servers, processes,
   * retired instances. */
  for (uint32_t i = 0; i < 4; i++)
    heartbeat->marks[heartbeat->n_marks++] =
        (struct StateMark){ SNAPSHOT_ROUTES + i, 123456, 0x123456789abcdef0, 300 };
  if (scope != LOADS_OF_PROCESS && list != NULL)
    heartbeat->marks[heartbeat->n_marks++] =
        (struct StateMark){ kind, list->revision, list->content, 0 };
  return message;
}

static void
member_publish (struct Fleet *fleet, struct Member *m)
{
  for (enum SnapshotKind kind = SNAPSHOT_ZONE; kind <= SNAPSHOT_FLEET; kind++)
    {
      struct GatewayMessage *message = talloc_zero (NULL, struct GatewayMessage);
      struct Snapshot *list = peer_table_publish (m->table, message, kind, fleet->now_ms);

      if (list != NULL)
        {
          message->kind = GATEWAY_SNAPSHOT;
          /* A real list is packed at this point. The copy keeps its values from changing before it
           * is delivered. */
          message->snapshot = *snapshot_copy (message, list);
          if (kind == SNAPSHOT_FLEET)
            send_to_served (fleet, m, message);
          else if (peer_table_is_aggregator (m->table, fleet->now_ms))
            send_to_other_zones (fleet, m, message);
        }
      talloc_unlink (NULL, message);
    }
}

static bool
member_acts_as_aggregator (const struct Fleet *fleet, const struct Member *m)
{
  if (peer_table_is_aggregator (m->table, fleet->now_ms))
    return true;
  for (size_t i = 0; i < m->table->n_peers; i++)
    if (peer_table_serves (m->table, m->table->peers[i], false, fleet->now_ms))
      return true;
  return false;
}

static void
member_send_heartbeats (struct Fleet *fleet, struct Member *m)
{
  struct GatewayMessage *message = heartbeat_of (m, LOADS_OF_PROCESS);
  const struct Peer *silent;

  if (member_acts_as_aggregator (fleet, m))
    member_publish (fleet, m);
  send_to_aggregators (fleet, m, m->zone, message);
  talloc_unlink (NULL, message);
  if (peer_table_is_aggregator (m->table, fleet->now_ms))
    {
      message = heartbeat_of (m, LOADS_OF_ZONE);
      send_to_other_zones (fleet, m, message);
      talloc_unlink (NULL, message);
    }
  message = heartbeat_of (m, LOADS_OF_FLEET);
  send_to_served (fleet, m, message);
  silent = peer_table_is_aggregator (m->table, fleet->now_ms)
               ? peer_table_next_silent (m->table, fleet->now_ms)
               : NULL;
  if (silent != NULL)
    fleet_send (fleet, m, fleet_find (fleet, silent->status.node), message,
                message_bytes (message));
  talloc_unlink (NULL, message);
}

static void
member_request_list (struct Fleet *fleet, struct Member *m, uint32_t from, enum SnapshotKind kind)
{
  struct GatewayMessage *want = talloc_zero (NULL, struct GatewayMessage);

  want->kind = GATEWAY_SNAPSHOT_WANT;
  want->snapshot_want = kind;
  fleet_send (fleet, m, from, want, message_bytes (want));
  talloc_unlink (NULL, want);
}

static void
member_send_list (struct Fleet *fleet, struct Member *m, uint32_t to, enum SnapshotKind kind)
{
  const struct Snapshot *list = peer_table_published (m->table, kind);
  struct GatewayMessage *message;

  if (list == NULL)
    return;
  message = talloc_zero (NULL, struct GatewayMessage);
  message->kind = GATEWAY_SNAPSHOT;
  message->snapshot = *snapshot_copy (message, list);
  fleet_send (fleet, m, to, message, message_bytes (message));
  talloc_unlink (NULL, message);
}

static void
member_publish_soon (const struct Fleet *fleet, struct Member *m)
{
  if (m->publish_ms == 0)
    m->publish_ms = fleet->now_ms + PUBLISH_MS;
}

/* Acts as if the list of processes had been received from a peer that has it. */
static void
member_add_all (struct Fleet *fleet, struct Member *m)
{
  m->has_nodes = true;
  for (uint32_t i = 0; i < fleet->n; i++)
    peer_table_add_known (m->table, &fleet->members[i].table->own, fleet->now_ms);
}

static void
member_handle_heartbeat (struct Fleet *fleet,
                         struct Member *m,
                         uint32_t from,
                         const struct Heartbeat *heartbeat)
{
  const char *name = fleet->members[from].name;
  const struct Peer *before = peer_table_find (m->table, name);
  bool reported = before != NULL && before->reported_ms > 0;
  bool changed;

  peer_table_handle_heartbeat (m->table, heartbeat, fleet->now_ms, &changed);
  if (!m->has_nodes && fleet->members[from].has_nodes)
    member_add_all (fleet, m);
  for (size_t i = 0; i < heartbeat->n_marks; i++)
    if (heartbeat->marks[i].kind >= SNAPSHOT_ZONE
        && !peer_table_confirm_list (m->table, name, &heartbeat->marks[i], fleet->now_ms))
      member_request_list (fleet, m, from, heartbeat->marks[i].kind);
  if (changed)
    member_publish_soon (fleet, m);
  if (heartbeat->scope == LOADS_OF_PROCESS && !reported)
    {
      struct GatewayMessage *reply = heartbeat_of (m, LOADS_OF_FLEET);

      fleet_send (fleet, m, from, reply, message_bytes (reply));
      talloc_unlink (NULL, reply);
    }
}

static void
member_handle (struct Fleet *fleet, struct Member *m, uint32_t from, struct GatewayMessage *message)
{
  struct GatewayMessage *alive;
  struct Peer *peer;

  switch (message->kind)
    {
    case GATEWAY_HEARTBEAT:
      member_handle_heartbeat (fleet, m, from, &message->heartbeat);
      alive = talloc_zero (NULL, struct GatewayMessage);
      alive->kind = GATEWAY_ALIVE;
      fleet_send (fleet, m, from, alive, message_bytes (alive));
      talloc_unlink (NULL, alive);
      break;
    case GATEWAY_SNAPSHOT:
      if (!peer_table_apply_list (m->table, fleet->members[from].name, &message->snapshot,
                                  fleet->now_ms))
        member_request_list (fleet, m, from, message->snapshot.kind);
      else if (message->snapshot.kind == SNAPSHOT_ZONE)
        member_publish_soon (fleet, m);
      break;
    case GATEWAY_SNAPSHOT_WANT:
      member_send_list (fleet, m, from, message->snapshot_want);
      break;
    default:
      break;
    }
  peer = peer_table_find (m->table, fleet->members[from].name);
  if (peer == NULL)
    return;
  peer_note_received (peer, fleet->now_ms);
  peer->unanswered_since_ms = 0;
}

static void
ignore_forgotten (void *data, const struct Peer *peer)
{
  (void)data;
  (void)peer;
}

static void
member_run (struct Fleet *fleet, struct Member *m)
{
  if (!m->is_up || m->is_frozen)
    return;
  if (m->publish_ms > 0 && m->publish_ms <= fleet->now_ms)
    {
      m->publish_ms = 0;
      if (member_acts_as_aggregator (fleet, m))
        member_publish (fleet, m);
    }
  if (m->heartbeat_ms > fleet->now_ms)
    return;
  m->heartbeat_ms += HEARTBEAT_MS;
  if (m->heartbeat_ms <= fleet->now_ms) /* the member was frozen */
    m->heartbeat_ms = fleet->now_ms + HEARTBEAT_MS;
  member_send_heartbeats (fleet, m);
  peer_table_remove_silent (m->table, fleet->now_ms, ignore_forgotten, NULL);
}

static void
fleet_step (struct Fleet *fleet)
{
  struct QueuedMessage *queued = fleet->first;

  fleet->first = NULL;
  fleet->last = &fleet->first;
  fleet->now_ms += STEP_MS;
  while (queued != NULL)
    {
      struct QueuedMessage *next = queued->next;
      struct Member *to = &fleet->members[queued->to];
      const struct Member *from = &fleet->members[queued->from];

      if (to->is_up && to->is_frozen && from->side == to->side)
        {
          /* The message stays in the receiver's socket. */
          queued->next = NULL;
          *fleet->last = queued;
          fleet->last = &queued->next;
        }
      else
        {
          if (to->is_up && from->side == to->side)
            member_handle (fleet, to, queued->from, queued->message);
          talloc_free (queued);
        }
      queued = next;
    }
  for (uint32_t i = 0; i < fleet->n; i++)
    member_run (fleet, &fleet->members[i]);
}

static void
fleet_run (struct Fleet *fleet, int64_t for_ms)
{
  for (int64_t end_ms = fleet->now_ms + for_ms; fleet->now_ms < end_ms;)
    fleet_step (fleet);
}

static void
member_start (struct Fleet *fleet, uint32_t i)
{
  struct Member *m = &fleet->members[i];
  struct NodeStatus own = { .start = (uint64_t)fleet->now_ms + i, .ready = true };

  talloc_free (m->table);
  m->table = peer_table_new (fleet, m->name, m->zone);
  snprintf (own.node, sizeof own.node, "%s", m->name);
  snprintf (own.zone, sizeof own.zone, "%s", m->zone);
  snprintf (own.peer_address, sizeof own.peer_address, "10.1.0.%u:7000", i);
  snprintf (own.caller_address, sizeof own.caller_address, "10.1.0.%u:8000", i);
  peer_table_describe (m->table, &own);
  m->is_up = true;
  m->heartbeat_ms = fleet->now_ms + i * 7 % 300;
  m->publish_ms = 0;
}

/* All members start within 0.3 s. Each one has the members that registered in the store before it.
 */
static struct Fleet *
fleet_new (uint32_t n, uint32_t n_zones)
{
  struct Fleet *fleet = talloc_zero (NULL, struct Fleet);

  fleet->n = n;
  fleet->n_zones = n_zones;
  fleet->now_ms = BEGIN_MS;
  fleet->last = &fleet->first;
  for (uint32_t i = 0; i < n; i++)
    {
      struct Member *m = &fleet->members[i];

      m->zone_number = i % n_zones;
      snprintf (m->name, sizeof m->name, "front-%u", i);
      snprintf (m->zone, sizeof m->zone, "zone-%u", m->zone_number);
      member_start (fleet, i);
      m->has_nodes = true;
      for (uint32_t j = 0; j < i; j++)
        peer_table_add_known (m->table, &fleet->members[j].table->own, fleet->now_ms);
    }
  return fleet;
}

static bool
member_considers_live (const struct Fleet *fleet, const struct Member *m, uint32_t other)
{
  const struct Peer *peer = peer_table_find (m->table, fleet->members[other].name);

  return peer != NULL && peer_table_is_live (m->table, peer, fleet->now_ms);
}

/* Returns the step at which members are sampled: in a large fleet, the views of only some members,
 * of all zones, are checked. */
static uint32_t
sample_step (const struct Fleet *fleet)
{
  return fleet->n <= SAMPLES_MAX ? 1 : fleet->n / SAMPLES_MAX;
}

/* Returns whether all members that are up consider those live that are up on their own side, and no
 * others. */
static bool
fleet_agrees (const struct Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n; i += sample_step (fleet))
    for (uint32_t j = 0; fleet->members[i].is_up && j < fleet->n; j++)
      if (i != j
          && member_considers_live (fleet, &fleet->members[i], j)
                 != (fleet->members[j].is_up && fleet->members[i].side == fleet->members[j].side))
        return false;
  return true;
}

/* Returns the number of pairs of running members on one side of which the first does not consider
 * the second live. */
static uint32_t
fleet_false_failures (const struct Fleet *fleet)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < fleet->n; i += sample_step (fleet))
    for (uint32_t j = 0; fleet->members[i].is_up && j < fleet->n; j++)
      n += i != j && fleet->members[j].is_up && !fleet->members[j].is_frozen
           && !fleet->members[i].is_frozen && fleet->members[i].side == fleet->members[j].side
           && !member_considers_live (fleet, &fleet->members[i], j);
  return n;
}

/* Runs until all views agree. Returns the time that took, or limit_ms. */
static int64_t
fleet_run_until_agreed (struct Fleet *fleet, int64_t limit_ms)
{
  int64_t begin_ms = fleet->now_ms;

  while (!fleet_agrees (fleet) && fleet->now_ms - begin_ms < limit_ms)
    fleet_run (fleet, 100);
  return fleet->now_ms - begin_ms;
}

static void
fleet_aggregators (const struct Fleet *fleet, uint32_t zone, uint32_t found[PEER_TABLE_AGGREGATORS])
{
  const char *names[PEER_TABLE_AGGREGATORS];
  uint32_t i = 0;

  while (!fleet->members[i].is_up || fleet->members[i].zone_number != zone)
    i++;
  CU_ASSERT_EQUAL (peer_table_aggregators (fleet->members[i].table, fleet->members[i].zone,
                                           fleet->now_ms, names),
                   PEER_TABLE_AGGREGATORS);
  for (uint32_t at = 0; at < PEER_TABLE_AGGREGATORS; at++)
    found[at] = fleet_find (fleet, names[at]);
}

/* Measures the bytes per second sent at rest by the busiest member and, on average, by a member
 * that does not aggregate. */
static void
fleet_bytes_at_rest (struct Fleet *fleet, double *most, double *member)
{
  enum
  {
    SECONDS = 10
  };
  uint64_t sum = 0, top = 0;
  uint32_t n_members = 0;

  for (uint32_t i = 0; i < fleet->n; i++)
    fleet->members[i].sent_bytes = 0;
  fleet_run (fleet, SECONDS * 1000);
  for (uint32_t i = 0; i < fleet->n; i++)
    {
      if (fleet->members[i].sent_bytes > top)
        top = fleet->members[i].sent_bytes;
      if (!peer_table_is_aggregator (fleet->members[i].table, fleet->now_ms))
        {
          sum += fleet->members[i].sent_bytes;
          n_members++;
        }
    }
  *most = (double)top / SECONDS;
  *member = n_members > 0 ? (double)sum / SECONDS / n_members : 0;
}

/* A fleet starts, one process fails, and then both aggregators of a zone fail at once. Each time
 * all views must agree within seconds. No live process may seem to have failed, and a member may
 * not send more in a large fleet than in a small one. */
static void
run_size (uint32_t n, uint32_t n_zones)
{
  struct Fleet *fleet = fleet_new (n, n_zones);
  int64_t start_ms, failure_ms, takeover_ms;
  uint32_t lost[PEER_TABLE_AGGREGATORS], worst = 0;
  double most, member;

  start_ms = fleet_run_until_agreed (fleet, 20000);
  CU_ASSERT (start_ms <= 4000);
  fleet_run (fleet, 3000);
  fleet_bytes_at_rest (fleet, &most, &member);
  CU_ASSERT (member <= MEMBER_BYTES_S_MAX);
  fleet_aggregators (fleet, 0, lost);
  for (uint32_t i = 0; i < n; i++)
    if (fleet->members[i].is_up && i != lost[0] && i != lost[1])
      {
        fleet->members[i].is_up = false;
        break;
      }
  failure_ms = fleet_run_until_agreed (fleet, 20000);
  CU_ASSERT (failure_ms <= 3000);
  fleet->members[lost[0]].is_up = false;
  fleet->members[lost[1]].is_up = false;
  for (takeover_ms = 0; takeover_ms < 20000 && !fleet_agrees (fleet); takeover_ms += 100)
    {
      fleet_run (fleet, 100);
      if (fleet_false_failures (fleet) > worst)
        worst = fleet_false_failures (fleet);
    }
  CU_ASSERT (takeover_ms <= 6000);
  CU_ASSERT_EQUAL (worst, 0);
  printf ("\n    %5u members, %2u zones: views agree %5lld ms after the start, %5lld ms after a "
          "failure, %5lld ms after that of both aggregators; bytes/s sent: %5.0f per member, %6.0f "
          "by the busiest ",
          n, n_zones, (long long)start_ms, (long long)failure_ms, (long long)takeover_ms, member,
          most);
  talloc_free (fleet);
}

static void
test_sizes (void)
{
  run_size (12, 3);
  run_size (75, 3);
  run_size (195, 5);
  run_size (MEMBERS_MAX, ZONES_MAX);
}

/* Two regions lose their connection. Each one continues with the members that it reaches. After the
 * partition all views must agree again without a read of the store. */
static void
test_separated_regions_reconnect (void)
{
  struct Fleet *fleet = fleet_new (120, 6);
  int64_t apart_ms, back_ms;

  fleet_run (fleet, 5000);
  for (uint32_t i = 0; i < fleet->n; i++)
    fleet->members[i].side = fleet->members[i].zone_number < 2;
  apart_ms = fleet_run_until_agreed (fleet, 20000);
  CU_ASSERT (apart_ms <= 6000);
  fleet_run (fleet, 15000);
  for (uint32_t i = 0; i < fleet->n; i++)
    fleet->members[i].side = 0;
  back_ms = fleet_run_until_agreed (fleet, 20000);
  CU_ASSERT (back_ms <= 3000);
  printf ("\n    partition detected after %lld ms, reconnected after %lld ms ", (long long)apart_ms,
          (long long)back_ms);
  talloc_free (fleet);
}

/* An aggregator freezes for four seconds and resumes with outdated messages in its sockets. The
 * other aggregator of its zone continues. No live process may seem to have failed, neither during
 * the freeze nor after it. */
static void
test_a_frozen_aggregator_causes_no_false_failures (void)
{
  struct Fleet *fleet = fleet_new (100, 5);
  uint32_t frozen[PEER_TABLE_AGGREGATORS], worst = 0;

  fleet_run (fleet, 5000);
  fleet_aggregators (fleet, 2, frozen);
  fleet->members[frozen[0]].is_frozen = true;
  for (int64_t ms = 0; ms < 10000; ms += 100)
    {
      if (ms == 4000)
        fleet->members[frozen[0]].is_frozen = false;
      fleet_run (fleet, 100);
      /* In the first second after the freeze the resumed member's own view may be wrong. */
      if ((ms < 4000 || ms > 5000) && fleet_false_failures (fleet) > worst)
        worst = fleet_false_failures (fleet);
    }
  CU_ASSERT_EQUAL (worst, 0);
  CU_ASSERT_TRUE (fleet_agrees (fleet));
  talloc_free (fleet);
}

/* A process is killed and restarts every second with an empty table while the store is unreachable.
 * It must receive the list of processes from its peers and not disturb their views. */
static void
test_a_flapping_process_receives_the_list_from_its_peers (void)
{
  struct Fleet *fleet = fleet_new (60, 3);
  uint32_t flapping;

  fleet_run (fleet, 5000);
  flapping = 17;
  for (uint32_t n = 0; n < 5; n++)
    {
      fleet->members[flapping].is_up = false;
      fleet_run (fleet, 400);
      member_start (fleet, flapping);
      fleet_run (fleet, 600);
      CU_ASSERT_EQUAL (fleet->members[flapping].table->n_peers > 0, true);
    }
  CU_ASSERT (fleet_run_until_agreed (fleet, 20000) <= 3000);
  talloc_free (fleet);
}

/* All processes of the fleet are killed and restart at the same time. Only those with a disk still
 * have the list of processes. */
static void
test_a_fleet_restarts_without_the_store (void)
{
  struct Fleet *fleet = fleet_new (60, 3);
  int64_t agreed_ms;

  fleet_run (fleet, 5000);
  for (uint32_t i = 0; i < fleet->n; i++)
    {
      member_start (fleet, i);
      fleet->members[i].has_nodes = false;
      if (i < 3)
        member_add_all (fleet, &fleet->members[i]);
    }
  agreed_ms = fleet_run_until_agreed (fleet, 20000);
  CU_ASSERT (agreed_ms <= 5000);
  printf ("\n    views agree after %lld ms ", (long long)agreed_ms);
  talloc_free (fleet);
}

const char test_suite_name[] = "peer_table_fleet";
const struct TestCase test_cases[] = {
  { "sizes", test_sizes },
  { "separated regions reconnect", test_separated_regions_reconnect },
  { "a frozen aggregator causes no false failures",
    test_a_frozen_aggregator_causes_no_false_failures },
  { "a flapping process receives the list from its peers",
    test_a_flapping_process_receives_the_list_from_its_peers },
  { "a fleet restarts without the store", test_a_fleet_restarts_without_the_store },
  { NULL, NULL },
};
