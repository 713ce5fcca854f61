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
set_of_two (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false),
                                          entry ("r2", "b", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);

  replica_set_apply (set, entries, 2, false, 0);
  return set;
}

static void
test_the_own_zone_goes_first_and_load_moves_it (void)
{
  struct ReplicaSet *set = set_of_two ();
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .cached_at = "" };

  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_find (set, "r2")->in_flight = 8;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  replica_set_find (set, "r1")->peers_in_flight = 20;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  query.service = "other";
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "none");
  talloc_free (set);
}

/* A gateway of a large fleet sends a request a second to any of 64 idle desks, each over a new
 * connection that waits for the desk to accept it, while those that it used before stay open. */
static void
test_a_kept_connection_is_used_among_equals (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false), entry ("r2", "a", 8, false),
                                          entry ("r3", "a", 8, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = { .service = "engine", .zone = "a", .cached_at = "", .now_ms = 1000 };

  replica_set_apply (set, entries, 3, false, 0);
  replica_set_find (set, "r2")->connected_until_ms = 5000;
  for (query.draw = 0; query.draw < 3; query.draw++)
    CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  /* Its only connection is in use, or it is busier than the others. */
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

/* A session's next turn comes through a gateway that never served it. Its history lies in the cache
 * of the server that ran the turn before; any other would read it all again. */
static void
test_a_turn_goes_where_its_history_is_cached (void)
{
  struct ReplicaSet *set = set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .cached_at = "r1", .parts = parts, .n_parts = 2
  };

  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  /* Not at any price: its queue would take longer than reading. */
  replica_set_find (set, "r1")->in_flight = 16;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  talloc_free (set);
}

/* A server crashes and is back a second later under the id that it had. Its cache is empty, and it
 * has failed nothing: what was believed of the process before would send it the wrong sessions, and
 * keep all others from it. The same list read again changes nothing. */
static void
test_a_server_that_starts_again_is_a_new_one (void)
{
  struct ReplicaSet *set = replica_set_new (NULL);
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct ReplicaEntry entries[] = { entry ("r1", "a", 8, false), entry ("r2", "a", 8, false) };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "a", .cached_at = "", .parts = parts, .n_parts = 2
  };

  entries[0].started_unix_ms = 1000;
  replica_set_apply (set, entries, 2, false, 0);
  replica_note_sent (replica_set_find (set, "r1"), parts, 2);
  replica_set_find (set, "r1")->peers_in_flight = 2;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_EQUAL (replica_set_apply (set, entries, 2, false, 10), 0);
  CU_ASSERT_PTR_NULL (replica_set_take_restarted (set));
  replica_note_failure (replica_set_find (set, "r1"), 10);
  replica_note_result (replica_set_find (set, "r1"), true, 10);
  entries[0].started_unix_ms = 2000;
  CU_ASSERT_EQUAL (replica_set_apply (set, entries, 2, false, 20), 1);
  CU_ASSERT_PTR_EQUAL (replica_set_take_restarted (set), replica_set_find (set, "r1"));
  CU_ASSERT_PTR_NULL (replica_set_take_restarted (set));
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->n_cached, 0);
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->peers_in_flight, 0);
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->avoid_until_ms, 0);
  replica_set_find (set, "r2")->in_flight = 1;
  query.now_ms = 20;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* A server that was leaving crashes, and is back and ready under its id. One list tells both: that
 * it is ready again must not hide that it holds nothing. */
static void
test_a_leaving_server_that_starts_again_is_a_new_one (void)
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
  CU_ASSERT_PTR_EQUAL (replica_set_take_restarted (set), replica_set_find (set, "r1"));
  CU_ASSERT_EQUAL (replica_set_find (set, "r1")->n_cached, 0);
  talloc_free (set);
}

/* Barriers are opened through all gateways, and a server that had a barrier lately is twice as fast
 * with it. All gateways take the same server for it while that has a free slot; different barriers
 * are spread. */
static void
test_an_object_stays_with_its_server (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 4, false), entry ("r2", "b", 4, false),
                                          entry ("r3", "a", 4, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = { .service = "engine", .zone = "a", .cached_at = "" };
  uint32_t n_chosen[3] = { 0 };

  replica_set_apply (set, entries, 3, false, 0);
  for (uint32_t i = 1; i <= 300; i++)
    {
      char object[16];
      const char *first;
      struct Replica *warm;

      snprintf (object, sizeof object, "%u", i);
      query.object = object;
      first = chosen (set, &query);
      warm = replica_set_find (set, first);

      n_chosen[first[1] - '1']++;
      query.draw++;
      query.zone = "b";
      warm->in_flight = 3;
      CU_ASSERT_STRING_EQUAL (chosen (set, &query), first);
      warm->in_flight = 4;
      CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), first);
      warm->in_flight = 0;
      query.zone = "a";
    }
  for (int i = 0; i < 3; i++)
    CU_ASSERT (n_chosen[i] > 50);
  talloc_free (set);
}

/* With its switch off a mechanism has no say, and the others have theirs. */
static void
test_what_is_switched_off_does_not_decide (void)
{
  struct ReplicaSet *set = set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 3000 } };
  struct Decisions decisions = { 1, 1, 1, 1, 1, 1, 1, 1, 1 };
  struct ReplicaQuery query = { .decisions = &decisions,
                                .service = "engine",
                                .zone = "b",
                                .cached_at = "",
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
test_shared_parts_draw_requests_to_who_read_them (void)
{
  struct ReplicaSet *set = set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 500 } };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .cached_at = "", .parts = parts, .n_parts = 2
  };

  replica_note_sent (replica_set_find (set, "r1"), parts, 2);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  talloc_free (set);
}

/* An engine answers at once with failures while its health check is good. It has nothing to do and
 * holds the prompt, and would draw every request of the zone; the owner of the engine has told all
 * gateways how often it fails. */
static void
test_a_server_that_fails_quickly_does_not_draw_requests (void)
{
  struct ReplicaSet *set = set_of_two ();
  const struct PrefixPart parts[] = { { 1, 12600 }, { 2, 500 } };
  const struct SlotDigest failing = {
    .total = 0, .failed_permille = 900, .parts = { 1 }, .n_parts = 1
  };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .cached_at = "r2", .parts = parts, .n_parts = 2
  };

  replica_set_find (set, "r1")->in_flight = 8;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_take_digest (replica_set_find (set, "r2"), &failing, 0);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  /* Nobody has used it since: it is tried again. */
  query.now_ms = 20000;
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  talloc_free (set);
}

static void
test_what_was_tried_or_drains_is_left_out (void)
{
  struct ReplicaSet *set = set_of_two ();
  const char *const tried[] = { "r2" };
  const struct ReplicaEntry draining[] = { entry ("r1", "a", 8, true),
                                           entry ("r2", "b", 8, false) };
  struct ReplicaQuery query = {
    .service = "engine", .zone = "b", .cached_at = "", .tried = tried, .n_tried = 1
  };

  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_EQUAL (replica_set_apply (set, draining, 2, false, 10), 1);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "none");
  talloc_free (set);
}

/* The store was away and came back with its leases lapsed: the first list is empty though all
 * servers live. Believing it would refuse everything for two seconds. An entry that is still
 * missing then belongs to a server that is gone. */
static void
test_entries_that_lapsed_with_the_store_are_kept_for_a_while (void)
{
  struct ReplicaSet *set = set_of_two ();
  const struct ReplicaEntry one[] = { entry ("r1", "a", 8, false) };
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .cached_at = "" };

  replica_set_apply (set, NULL, 0, true, 10000);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_apply (set, one, 1, false, 12000);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  replica_set_expire (set, 12600);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_EQUAL (set->n_replicas, 1);
  talloc_free (set);
}

/* Without an outage a missing entry is believed at once: a server that left without a word gets
 * nothing new. What is on its way to it keeps its place until it ends. */
static void
test_a_missing_entry_is_believed_at_once (void)
{
  struct ReplicaSet *set = set_of_two ();
  const struct ReplicaEntry one[] = { entry ("r1", "a", 8, false) };
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .cached_at = "" };

  replica_set_find (set, "r2")->in_flight = 1;
  replica_set_apply (set, one, 1, false, 100);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  CU_ASSERT_PTR_NOT_NULL (replica_set_find (set, "r2"));
  replica_set_find (set, "r2")->in_flight = 0;
  replica_set_apply (set, one, 1, false, 200);
  CU_ASSERT_PTR_NULL (replica_set_find (set, "r2"));
  talloc_free (set);
}

/* A server that is dead and still listed refuses at once, and so has the shortest queue of all. */
static void
test_a_failing_server_is_the_last_resort (void)
{
  struct ReplicaSet *set = set_of_two ();
  struct ReplicaQuery query = { .service = "engine", .zone = "b", .cached_at = "", .now_ms = 1 };

  replica_note_failure (replica_set_find (set, "r2"), 0);
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r1");
  replica_note_failure (replica_set_find (set, "r1"), 0);
  CU_ASSERT_STRING_NOT_EQUAL (chosen (set, &query), "none");
  replica_note_answer (replica_set_find (set, "r2"));
  CU_ASSERT_STRING_EQUAL (chosen (set, &query), "r2");
  talloc_free (set);
}

static void
test_entries_travel (void)
{
  struct ReplicaEntry sent = entry ("r1", "a", 8, true), got;
  size_t n_bytes;
  uint8_t *bytes = replica_entry_pack (NULL, &sent, &n_bytes);

  CU_ASSERT_EQUAL (replica_entry_unpack (bytes, n_bytes, &got), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (got.id, sent.id);
  CU_ASSERT_STRING_EQUAL (got.service, sent.service);
  CU_ASSERT_STRING_EQUAL (got.address, sent.address);
  CU_ASSERT_STRING_EQUAL (got.zone, sent.zone);
  CU_ASSERT_EQUAL (got.slots, sent.slots);
  CU_ASSERT_EQUAL (got.draining, sent.draining);
  for (size_t cut = 0; cut < n_bytes; cut++)
    CU_ASSERT_EQUAL (replica_entry_unpack (bytes, cut, &got), ERROR_INVALID);
  talloc_free (bytes);
}

static void
test_equal_servers_take_turns (void)
{
  const struct ReplicaEntry entries[] = { entry ("r1", "a", 6, false), entry ("r2", "a", 6, false),
                                          entry ("r3", "a", 6, false) };
  struct ReplicaSet *set = replica_set_new (NULL);
  struct ReplicaQuery query = { .service = "engine", .zone = "a", .cached_at = "" };
  uint32_t n[4] = { 0 };

  replica_set_apply (set, entries, 3, false, 0);
  for (query.draw = 0; query.draw < 30; query.draw++)
    n[chosen (set, &query)[1] - '0']++;
  for (int i = 1; i <= 3; i++)
    CU_ASSERT_EQUAL (n[i], 10);
  talloc_free (set);
}

const char test_suite_name[] = "replica_set";
const struct TestCase test_cases[] = {
  { "the own zone goes first and load moves it", test_the_own_zone_goes_first_and_load_moves_it },
  { "a turn goes where its history is cached", test_a_turn_goes_where_its_history_is_cached },
  { "shared parts draw requests", test_shared_parts_draw_requests_to_who_read_them },
  { "a server that fails quickly does not draw requests",
    test_a_server_that_fails_quickly_does_not_draw_requests },
  { "what was tried or drains is left out", test_what_was_tried_or_drains_is_left_out },
  { "lapsed entries are kept for a while",
    test_entries_that_lapsed_with_the_store_are_kept_for_a_while },
  { "a missing entry is believed at once", test_a_missing_entry_is_believed_at_once },
  { "a failing server is the last resort", test_a_failing_server_is_the_last_resort },
  { "entries travel", test_entries_travel },
  { "equal servers take turns", test_equal_servers_take_turns },
  { "a leaving server that starts again is a new one",
    test_a_leaving_server_that_starts_again_is_a_new_one },
  { "a server that starts again is a new one", test_a_server_that_starts_again_is_a_new_one },
  { "an object stays with its server", test_an_object_stays_with_its_server },
  { "what is switched off does not decide", test_what_is_switched_off_does_not_decide },
  { "a kept connection is used among equals", test_a_kept_connection_is_used_among_equals },
  { NULL, NULL },
};
