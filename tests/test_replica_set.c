#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/replica_set.h>

#include <stdio.h>
#include <string.h>

static struct ReplicaEntry
entry (const char *id, const char *zone, uint32_t slots, bool draining)
{
  struct ReplicaEntry e;

  memset (&e, 0, sizeof e);
  e.slots = slots;
  e.draining = draining;

  snprintf (e.id, sizeof e.id, "%s", id);
  snprintf (e.service, sizeof e.service, "engine");
  snprintf (e.address, sizeof e.address, "127.0.0.1:9");
  snprintf (e.zone, sizeof e.zone, "%s", zone);
  return e;
}

static const char *
chosen (struct ReplicaSet *set, const struct ReplicaQuery *query)
{
  const struct Replica *replica = replica_set_choose (set, query);

  return replica != NULL ? replica->entry.id : "none";
}

static struct ReplicaSet *
make_set_of_two (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false),
                                          entry ("r2", "b", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);

  replica_set_apply (set, entries, 2, false, 0);
  return set;
}

static void
test_the_own_zone_is_preferred_unless_it_is_loaded (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .previous_server = "" };

  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_find (set, "r2")->in_flight = 8;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  replica_set_find (set, "r1")->peers_in_flight = 20;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  query.service = "other";
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "none");
  talloc_free (set);
}

/* Guards against a gateway that opens a new connection for each request although it has idle ones:
 * in a large fleet it sent a request a second to any of 64 idle servers, each time waiting for the
 * server to accept. */
static void
test_an_idle_connection_decides_among_equals (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false), entry ("r2", "a", 8, false),
                                          entry ("r3", "a", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = {
    .service = "engine", .zone = "a", .previous_server = "", .now_ms = 1000
  };

  replica_set_apply (set, entries, 3, false, 0);
  replica_set_find (set, "r2")->connected_until_ms = 5000;
  for (query.draw = 0; query.draw < 3; query.draw++)
    CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  /* The connection doesn't count while it is in use, or if the server is busier than others. */
  replica_set_find (set, "r2")->in_flight = 1;
  CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), "r2");
  replica_set_find (set, "r2")->in_flight = 0;
  replica_set_find (set, "r2")->peers_in_flight = 1;
  CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), "r2");
  replica_set_find (set, "r2")->peers_in_flight = 0;
  query.now_ms = 5000;
  query.draw = 0;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* A session's next turn may arrive at a gateway that never served the session. It must go to the
 * server that ran the previous turn and has its history cached; any other would read all of it
 * again. */
static void
test_a_turn_goes_where_its_history_is_cached (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .previous_server = "r1", .parts = parts, .n_parts = 2
  };

  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  /* Unless waiting in its queue would take longer than reading the history. */
  replica_set_find (set, "r1")->in_flight = 16;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  talloc_free (set);
}

/* A server that crashes and restarts under its id has an empty cache and no failures. With the
 * state of the previous process it would be sent the wrong sessions and be avoided for all other
 * requests. Applying the same list again changes nothing. */
static void
test_a_server_that_restarts_is_reset (void)
{
  struct ReplicaSet *set = replica_set_new (NULL);
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false), entry ("r2", "a", 8, false) };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "a", .previous_server = "", .parts = parts, .n_parts = 2
  };

  entries[0].started_unix_ms = 1000;
  replica_set_apply (set, entries, 2, false, 0);
  replica_note_sent (replica_set_find (set, "r1"), parts, 2);
  replica_set_find (set, "r1")->peers_in_flight = 2;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_EQUAL (replica_set_apply (set, entries, 2, false, 10), 0);
  CU_ASSERT_PTR_NULL (replica_set_next_restarted (set));
  replica_record_failure (replica_set_find (set, "r1"), 10);
  replica_note_result (replica_set_find (set, "r1"), true, 10);
  entries[0].started_unix_ms = 2000;
  CU_ASSERT_EQUAL (replica_set_apply (set, entries, 2, false, 20), 1);
  CU_ASSERT_PTR_EQUAL (replica_set_next_restarted (set), replica_set_find (set, "r1"));
  CU_ASSERT_PTR_NULL (replica_set_next_restarted (set));
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->n_cached, 0);
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->peers_in_flight, 0);
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->avoid_until_ms, 0);
  replica_set_find (set, "r2")->in_flight = 1;
  query.now_ms = 20;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* A draining server crashes and restarts, ready, under its id. One list reports both changes: the
 * end of draining must not hide that the cache is empty. */
static void
test_a_draining_server_that_restarts_is_reset (void)
{
  struct ReplicaSet *set = replica_set_new (NULL);
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct ReplicaEntry e = entry ("r1", "a", 8, true);

  e.started_unix_ms = 1000;
  replica_set_apply (set, &e, 1, false, 0);
  replica_note_sent (replica_set_find (set, "r1"), parts, 2);
  e.draining = false;
  e.started_unix_ms = 2000;
  CU_ASSERT_EQUAL (replica_set_apply (set, &e, 1, false, 10), 1);
  CU_ASSERT_PTR_EQUAL (replica_set_next_restarted (set), replica_set_find (set, "r1"));
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->n_cached, 0);
  talloc_free (set);
}

/* A server processes an object's requests twice as fast if it had the object recently, and the
 * requests arrive at all gateways. All gateways must choose the same server while it has a free
 * slot, and different objects must be spread over the servers. */
static void
test_an_object_stays_with_its_server (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 4, false), entry ("r2", "b", 4, false),
                                          entry ("r3", "a", 4, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = { .service = "engine", .zone = "a", .previous_server = "" };
  uint32_t n_chosen[3] = { 0 };

  replica_set_apply (set, entries, 3, false, 0);
  for (uint32_t i = 1; i <= 300; i++)
    {
      char object[16];
      const char *first;
      struct Replica *preferred;

      snprintf (object, sizeof object, "%u", i);
      query.object = object;
      first = chosen (set, &query);
      preferred = replica_set_find (set, first);

      n_chosen[first[1] - '1']++;
      query.draw++;
      query.zone = "b";
      preferred->in_flight = 3;
      CU_ASSERT_STRING_EQUAL (chosen (set, &query), first);
      preferred->in_flight = 4;
      CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), first);
      preferred->in_flight = 0;
      query.zone = "a";
    }
  for (int i = 0; i < 3; i++)
    CU_ASSERT (n_chosen[i] > 50);
  talloc_free (set);
}

/* A disabled mechanism doesn't affect the choice, and the others still do. */
static void
test_disabled_mechanisms_do_not_affect_the_choice (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct Decisions decisions = { 1, 1, 1, 1, 1, 1, 1, 1, 1 };
  struct ReplicaQuery query = { .decisions = &decisions,
                                .service = "engine",
                                .zone = "b",
                                .previous_server = "",
                                .parts = parts,
                                .n_parts = 2 };

  query.zone = "c";
  replica_note_sent (replica_set_find (set, "r2"), parts, 2);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  decisions.parts = 0;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  query.zone = "b";
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  decisions.zones = 0;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  for (int i = 0; i < 8; i++)
    replica_note_result (replica_set_find (set, "r1"), true, 0);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  decisions.failures = 0;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

static void
test_shared_parts_attract_requests (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 500 } };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .previous_server = "", .parts = parts, .n_parts = 2
  };

  replica_note_sent (replica_set_find (set, "r1"), parts, 2);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* An engine that fails requests at once while its health check passes is idle and has the prompt
 * cached, so that it would attract all requests of the zone. The failure rate that its owner
 * reports to all gateways must prevent that. */
static void
test_a_server_that_fails_quickly_does_not_attract_requests (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 500 } };
  const struct SlotDigest failing = {
    .total = 0, .failed_permille = 900, .parts = { 1 }, .n_parts = 1
  };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .previous_server = "r2", .parts = parts, .n_parts = 2
  };

  replica_set_find (set, "r1")->in_flight = 8;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_apply_digest (replica_set_find (set, "r2"), &failing, 0);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  /* The rate has decayed without requests, and the server is tried again. */
  query.now_ms = 20000;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  talloc_free (set);
}

static void
test_tried_and_draining_servers_are_excluded (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const char *const tried[] = { "r2" };
  const struct ReplicaEntry draining[] = { entry ("r1", "a", 8, true),
                                           entry ("r2", "b", 8, false) };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .previous_server = "", .tried = tried, .n_tried = 1
  };

  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_EQUAL (replica_set_apply (set, draining, 2, false, 10), 1);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "none");
  talloc_free (set);
}

/* After an outage of the store its leases have expired, and the first list is empty although all
 * servers are running. Applying it at once would fail all requests for two seconds. An entry that
 * is still missing after that belongs to a server that has failed. */
static void
test_expired_entries_are_kept_after_an_outage (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct ReplicaEntry one[] = { entry ("r1", "a", 8, false) };
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .previous_server = "" };

  replica_set_apply (set, NULL, 0, true, 10000);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_apply (set, one, 1, false, 12000);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_expire (set, 12600);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_EQUAL (set->n_replicas, 1);
  talloc_free (set);
}

/* Guards against requests to a server that left while the process that reads the store was cut off:
 * the store was available, and the other servers are still listed. */
static void
test_a_server_that_left_while_the_reader_was_lost_gets_no_requests (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false), entry ("r2", "a", 8, false),
                                          entry ("r3", "b", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .previous_server = "" };

  replica_set_apply (set, entries, 3, false, 0);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r3");
  replica_set_apply (set, entries, 2, true, 10000);
  CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), "r3");
  CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), "none");
  replica_set_apply (set, entries, 3, false, 10500);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r3");
  talloc_free (set);
}

/* Guards against requests to a server that is in the first list after an outage and is removed from
 * a later one. */
static void
test_a_server_removed_after_an_outage_gets_no_requests (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct ReplicaEntry both[] = { entry ("r1", "a", 8, false), entry ("r2", "b", 8, false) };
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .previous_server = "" };

  replica_set_apply (set, both, 2, true, 10000);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_apply (set, both, 1, false, 11900);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* Guards against an expired entry that is kept longer with each further outage. */
static void
test_further_outages_do_not_extend_how_long_a_server_is_kept (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .previous_server = "" };

  for (int64_t now_ms = 10000; now_ms <= 12000; now_ms += 500)
    replica_set_apply (set, NULL, 0, true, now_ms);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_expire (set, 12600);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "none");
  talloc_free (set);
}

/* Without an outage a server missing from the list gets no new requests at once. It is freed after
 * its requests in flight have ended. */
static void
test_a_missing_server_gets_no_new_requests (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  const struct ReplicaEntry one[] = { entry ("r1", "a", 8, false) };
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .previous_server = "" };

  replica_set_find (set, "r2")->in_flight = 1;
  replica_set_apply (set, one, 1, false, 100);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_PTR_NOT_NULL (replica_set_find (set, "r2"));
  replica_set_find (set, "r2")->in_flight = 0;
  replica_set_apply (set, one, 1, false, 200);
  CU_ASSERT_PTR_NULL (replica_set_find (set, "r2"));
  talloc_free (set);
}

/* A crashed server that is still listed refuses connections at once, and so appears to have the
 * shortest queue. */
static void
test_a_failing_server_is_the_last_resort (void)
{
  struct ReplicaSet *set = make_set_of_two ();
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .previous_server = "", .now_ms = 1
  };

  replica_record_failure (replica_set_find (set, "r2"), 0);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  replica_record_failure (replica_set_find (set, "r1"), 0);
  CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), "none");
  replica_record_response (replica_set_find (set, "r2"));
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  talloc_free (set);
}

static void
test_entries_are_packed_and_unpacked (void)
{
  struct ReplicaEntry sent = entry ("r1", "a", 8, true), unpacked;
  size_t n_bytes;
  uint8_t *bytes = replica_entry_pack (NULL, &sent, &n_bytes);

  CU_ASSERT_EQUAL (replica_entry_unpack (bytes, n_bytes, &unpacked), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (unpacked.id, sent.id);
  CU_ASSERT_STRING_EQUAL (unpacked.service, sent.service);
  CU_ASSERT_STRING_EQUAL (unpacked.address, sent.address);
  CU_ASSERT_STRING_EQUAL (unpacked.zone, sent.zone);
  CU_ASSERT_EQUAL (unpacked.slots, sent.slots);
  CU_ASSERT_EQUAL (unpacked.draining, sent.draining);
  for (size_t cut = 0; cut < n_bytes; cut++)
    CU_ASSERT_EQUAL (replica_entry_unpack (bytes, cut, &unpacked), ERROR_INVALID);
  talloc_free (bytes);
}

static void
test_equal_servers_take_turns (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 6, false), entry ("r2", "a", 6, false),
                                          entry ("r3", "a", 6, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = { .service = "engine", .zone = "a", .previous_server = "" };
  uint32_t n[4] = { 0 };

  replica_set_apply (set, entries, 3, false, 0);
  for (query.draw = 0; query.draw < 30; query.draw++)
    n[chosen (set, &query)[1] - '0']++;
  for (int i = 1; i <= 3; i++)
    CU_ASSERT_EQUAL (n[i], 10);
  talloc_free (set);
}

/* A request to full plain servers waits where the expected wait is least, by the servers' own
 * service times and not by the number of requests ahead. Guards against slow servers that collect
 * requests, and against servers that are avoided long after they were full. */
static void
test_a_request_waits_at_the_plain_server_with_the_least_wait (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false),
                                          entry ("r2", "a", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = {
    .service = "engine", .zone = "a", .previous_server = "", .service_ms = 50, .now_ms = 1000
  };
  const struct SlotState slow = { .total = 16, .service_ms = 240 },
                         busy = { .total = 31, .service_ms = 40 };
  struct Replica *r1, *r2;

  replica_set_apply (set, entries, 2, false, 0);
  r1 = replica_set_find (set, "r1");
  r2 = replica_set_find (set, "r2");
  replica_apply_slot_state (r1, &slow, 1000);
  replica_apply_slot_state (r2, &busy, 1000);
  CU_ASSERT_EQUAL (replica_plain_wait_ms (r1, &query), 9 * 240 / 8);
  CU_ASSERT_EQUAL (replica_plain_wait_ms (r2, &query), 24 * 40 / 8);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  /* Part of the wait is over, then all of it. */
  query.now_ms = 1020;
  CU_ASSERT_EQUAL (replica_plain_wait_ms (r2, &query), 100);
  query.now_ms = 2000;
  CU_ASSERT_EQUAL (replica_plain_wait_ms (r2, &query), 0);
  /* After 3 s the service time of the query is used instead of the reported one. */
  r1->load_received_ms = query.now_ms = 4000;
  CU_ASSERT_EQUAL (replica_plain_wait_ms (r1, &query), 9 * 50 / 8);
  talloc_free (set);
}

/* Guards against requests that each wait 60 ms for the owner of one plain server, which was killed,
 * while other servers have owners. Engines are not affected. */
static void
test_a_plain_server_without_a_responding_owner_is_avoided (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false),
                                          entry ("r2", "a", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = {
    .service = "engine", .zone = "a", .previous_server = "", .service_ms = 50, .now_ms = 1000
  };
  const struct SlotState state = { .total = 1, .service_ms = 50 };
  struct Replica *r1;

  replica_set_apply (set, entries, 2, false, 0);
  r1 = replica_set_find (set, "r1");
  replica_record_owner_unresponsive (r1, 1000);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  query.draw = 1;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  query.draw = 0;
  query.service_ms = 0;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  query.service_ms = 50;
  query.now_ms = 1500;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  replica_record_owner_unresponsive (r1, 1500);
  replica_apply_slot_state (r1, &state, 1510);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* Choices with random loads, without and with figures of the servers' speed. */

enum PaceUse
{
  PACE_OFF_UNKNOWN, /* the decision is off, and no figures are known */
  PACE_OFF_KNOWN,   /* figures are known, but the decision is off */
  PACE_ON_UNKNOWN   /* the decision is on, but no figures are known */
};

static uint32_t
draw_number (uint64_t *state, uint32_t n)
{
  *state = *state * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)((*state >> 33) % n);
}

static void
make_random_replica (struct Replica *replica, uint64_t *state)
{
  static const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 500 } };

  replica->in_flight = draw_number (state, 3);
  replica->peers_in_flight = draw_number (state, 20);
  replica->connected_until_ms = draw_number (state, 2000);
  if (draw_number (state, 4) == 0)
    replica_note_sent (replica, parts, 2);
  if (draw_number (state, 4) == 0)
    replica_note_result (replica, true, 900);
  if (draw_number (state, 8) == 0)
    replica_record_failure (replica, 900);
}

static void
make_pace_known (struct ReplicaSet *set)
{
  for (size_t i = 0; i < set->n_replicas; i++)
    {
      const struct PaceRow row = { .kind = 1,
                                   .mean_us = 20000 + 10000 * (uint32_t)i,
                                   .service_ms = 350,
                                   .report_percent = 50 + 10 * (uint32_t)i };

      server_pace_receive (&set->replicas[i]->pace, &row, 1000);
    }
  replica_set_update_paces (set, 1000);
}

static const char *
choose_at_random (uint64_t *state, struct ReplicaSet *set, enum PaceUse use)
{
  const struct PrefixPart parts[] = { { 1, 12600 }, { 3, 100 + draw_number (state, 3000) } };
  char previous[16];
  struct ReplicaQuery query = { .service = "engine",
                                .zone = draw_number (state, 2) == 0 ? "a" : "b",
                                .previous_server = previous,
                                .parts = parts,
                                .n_parts = draw_number (state, 3),
                                .object = draw_number (state, 4) == 0 ? "o" : NULL,
                                .draw = draw_number (state, 1000),
                                .now_ms = 1000 };

  snprintf (previous, sizeof previous, "r%u", draw_number (state, 40));
  query.uses_pace = use == PACE_ON_UNKNOWN;
  query.pace_draw = query.draw;
  return chosen (set, &query);
}

/* Returns a hash of the servers chosen for 20,000 requests. */
static uint64_t
choices_hash (enum PaceUse use)
{
  uint64_t state = 1, hash = 14695981039346656037ULL;

  for (int round = 0; round < 1000; round++)
    {
      struct ReplicaSet *set = replica_set_new (NULL);
      struct ReplicaEntry entries[12];
      size_t n = 2 + draw_number (&state, 11);

      for (size_t i = 0; i < n; i++)
        {
          char id[16];
          /* Compilers differ in the order in which they evaluate arguments. */
          bool draining = draw_number (&state, 10) == 0;
          uint32_t slots = 1 + draw_number (&state, 12);
          const char *zone = draw_number (&state, 2) == 0 ? "a" : "b";

          snprintf (id, sizeof id, "r%zu", i);
          entries[i] = entry (id, zone, slots, draining);
        }
      replica_set_apply (set, entries, n, false, 0);
      for (size_t i = 0; i < n; i++)
        make_random_replica (set->replicas[i], &state);
      if (use == PACE_OFF_KNOWN)
        make_pace_known (set);
      for (int i = 0; i < 20; i++)
        for (const char *c = choose_at_random (&state, set, use); *c != '\0'; c++)
          hash = (hash ^ (uint8_t)*c) * 1099511628211ULL;
      talloc_free (set);
    }
  return hash;
}

/* Result of choices_hash with the choice as it was before the servers' speed affected it (commit
 * c4a3e33). */
static const uint64_t choices_before_pace = 0x77977a6f85576d4bULL;

/* Guards against a choice that changes without figures or with the decision off. */
static void
test_without_pace_the_choice_is_as_before (void)
{
  CU_ASSERT_EQUAL (choices_hash (PACE_OFF_UNKNOWN), choices_before_pace);
  CU_ASSERT_EQUAL (choices_hash (PACE_OFF_KNOWN), choices_before_pace);
  CU_ASSERT_EQUAL (choices_hash (PACE_ON_UNKNOWN), choices_before_pace);
}

/* The server's time is scaled, and the cost of another zone is not: a usual server of another zone
 * is preferred to a slow one of the own zone only if it is slow enough. */
static void
test_pace_decides_between_zones (void)
{
  static const uint32_t mean_us[] = { 24000, 26000, 96000 };
  static const char *const expected[] = { "r2", "r2", "r1" };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .previous_server = "", .now_ms = 1000, .uses_pace = true
  };

  for (size_t i = 0; i < 3; i++)
    {
      const struct PaceRow slow = { .kind = 1, .mean_us = mean_us[i], .service_ms = 350 };
      const struct PaceRow usual = { .kind = 1, .mean_us = 24000, .service_ms = 350 };
      struct ReplicaSet *set = make_set_of_two ();

      server_pace_receive (&replica_set_find (set, "r2")->pace, &slow, 1000);
      server_pace_receive (&replica_set_find (set, "r1")->pace, &usual, 1000);
      replica_set_update_paces (set, 1000);
      CU_ASSERT_STRING_EQUAL (chosen (set, &query), expected[i]);
      talloc_free (set);
    }
}

/* A restarted process may run on another machine; it starts as a usual one. */
static void
test_a_server_that_restarts_has_the_usual_pace (void)
{
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false), entry ("r2", "a", 8, false) };
  const struct PaceRow slow = { .kind = 1, .mean_us = 96000, .report_percent = 400 };
  const struct PaceRow usual = { .kind = 1, .mean_us = 24000 };

  entries[0].started_unix_ms = 1000;
  replica_set_apply (set, entries, 2, false, 0);
  server_pace_receive (&replica_set_find (set, "r1")->pace, &slow, 0);
  server_pace_receive (&replica_set_find (set, "r2")->pace, &usual, 0);
  replica_set_update_paces (set, 0);
  CU_ASSERT (replica_set_find (set, "r1")->pace.ratio_permille >= 4000);
  entries[0].started_unix_ms = 2000;
  replica_set_apply (set, entries, 2, false, 10);
  replica_set_update_paces (set, 10);
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->pace.ratio_permille, 0);
  CU_ASSERT_EQUAL (server_pace_cost_permille (&replica_set_find (set, "r1")->pace, "r1", 0), 1000);
  talloc_free (set);
}

const char test_suite_name[] = "replica_set";
const struct TestCase test_cases[] = {
  { "the own zone is preferred unless it is loaded",
    test_the_own_zone_is_preferred_unless_it_is_loaded },
  { "a turn goes where its history is cached", test_a_turn_goes_where_its_history_is_cached },
  { "shared parts attract requests", test_shared_parts_attract_requests },
  { "a server that fails quickly does not attract requests",
    test_a_server_that_fails_quickly_does_not_attract_requests },
  { "tried and draining servers are excluded", test_tried_and_draining_servers_are_excluded },
  { "expired entries are kept after an outage", test_expired_entries_are_kept_after_an_outage },
  { "a server that left while the reader was lost gets no requests",
    test_a_server_that_left_while_the_reader_was_lost_gets_no_requests },
  { "a server removed after an outage gets no requests",
    test_a_server_removed_after_an_outage_gets_no_requests },
  { "further outages do not extend how long a server is kept",
    test_further_outages_do_not_extend_how_long_a_server_is_kept },
  { "a missing server gets no new requests", test_a_missing_server_gets_no_new_requests },
  { "a failing server is the last resort", test_a_failing_server_is_the_last_resort },
  { "entries are packed and unpacked", test_entries_are_packed_and_unpacked },
  { "equal servers take turns", test_equal_servers_take_turns },
  { "a draining server that restarts is reset", test_a_draining_server_that_restarts_is_reset },
  { "a server that restarts is reset", test_a_server_that_restarts_is_reset },
  { "an object stays with its server", test_an_object_stays_with_its_server },
  { "disabled mechanisms do not affect the choice",
    test_disabled_mechanisms_do_not_affect_the_choice },
  { "an idle connection decides among equal servers",
    test_an_idle_connection_decides_among_equals },
  { "a request waits at the plain server with the least wait",
    test_a_request_waits_at_the_plain_server_with_the_least_wait },
  { "a plain server without a responding owner is avoided",
    test_a_plain_server_without_a_responding_owner_is_avoided },
  { "without pace the choice is as before", test_without_pace_the_choice_is_as_before },
  { "pace decides between zones", test_pace_decides_between_zones },
  { "a server that restarts has the usual pace", test_a_server_that_restarts_has_the_usual_pace },
  { NULL, NULL },
};
