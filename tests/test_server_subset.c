#include "test_main.h"

#include <buckthornhead/scheduling/replica_set.h>
#include <buckthornhead/scheduling/server_subset.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>
#include <string.h>

enum
{
  N_ZONES = 5,
  NOW_MS = 1000
};

/* n servers, one in nine of them a desk, over the zones in turn. */
static struct Snapshot *
servers_of (TALLOC_CTX *ctx, uint32_t n)
{
  struct Snapshot *s = talloc_zero (ctx, struct Snapshot);

  s->kind = SNAPSHOT_SERVERS;
  s->items = talloc_zero_array (s, struct SnapshotItem, n);
  for (uint32_t i = 0; i < n; i++)
    {
      struct SnapshotItem *item = &s->items[s->n_items++];
      struct ReplicaEntry entry = { .slots = 6 };

      snprintf (item->key, sizeof item->key, "servers/s-%05u", i);
      snprintf (entry.id, sizeof entry.id, "s-%05u", i);
      snprintf (entry.service, sizeof entry.service, i % 9 == 0 ? "desk" : "engines");
      snprintf (entry.zone, sizeof entry.zone, "zone-%u", i % N_ZONES);
      snprintf (entry.address, sizeof entry.address, "10.0.0.1:%u", i);
      item->value = replica_entry_pack (s, &entry, &item->value_bytes);
    }
  s->content = snapshot_content (s->items, s->n_items);
  return s;
}

static struct ServerIndex *
index_of (TALLOC_CTX *ctx, const struct Snapshot *servers)
{
  struct ServerIndex *index = server_index_new (ctx);

  CU_ASSERT_EQUAL (server_index_update (index, NULL, servers), ERROR_NONE);
  return index;
}

static bool
has_key (const struct Snapshot *s, const char *key)
{
  for (size_t i = 0; i < s->n_items; i++)
    if (strcmp (s->items[i].key, key) == 0)
      return true;
  return false;
}

/* Where there are a few dozen servers each gateway chooses among all of them, as it does without a
 * subset. */
static void
test_a_small_fleet_is_known_whole (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *servers = servers_of (ctx, 66), *subset;
  struct ServerIndex *index = index_of (ctx, servers);

  subset = server_index_subset (index, ctx, servers, "zone-2", 0);
  CU_ASSERT_EQUAL (subset->n_items, servers->n_items);
  CU_ASSERT_EQUAL (snapshot_content (subset->items, subset->n_items), servers->content);
  talloc_free (ctx);
}

/* Ten thousand servers at each of a thousand gateways: 9 MB and a choice among all. What a gateway
 * holds and looks at does not grow with the fleet. */
static void
test_a_large_fleet_costs_a_gateway_no_more_at_twice_the_size (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  size_t n[2];

  for (uint32_t i = 0; i < 2; i++)
    {
      struct Snapshot *servers = servers_of (ctx, 10000 << i);

      n[i] = server_index_subset (index_of (ctx, servers), ctx, servers, "zone-0", 0)->n_items;
    }
  CU_ASSERT_EQUAL (n[0], 2 * (SUBSET_OWN_ZONE + SUBSET_OTHER_ZONES));
  CU_ASSERT_EQUAL (n[1], n[0]);
  talloc_free (ctx);
}

/* Each level has the servers of the one below, and twice as many. */
static void
test_levels_are_nested (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *servers = servers_of (ctx, 10000), *below = NULL, *subset;
  struct ServerIndex *index = index_of (ctx, servers);

  for (uint32_t level = 0; level <= SUBSET_LEVEL_MAX; level++)
    {
      subset = server_index_subset (index, ctx, servers, "zone-0", level);
      CU_ASSERT (below == NULL || subset->n_items >= below->n_items);
      for (size_t i = 0; below != NULL && i < below->n_items; i++)
        CU_ASSERT_TRUE (has_key (subset, below->items[i].key));
      below = subset;
    }
  CU_ASSERT_EQUAL (below->n_items, servers->n_items);
  talloc_free (ctx);
}

/* Two aggregators of a zone, one that followed the list for long and one that got it just now, tell
 * their members the same. A server that leaves makes room for one other. */
static void
test_a_change_moves_one_server (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *before = servers_of (ctx, 10000), *after = servers_of (ctx, 10000);
  struct ServerIndex *index = index_of (ctx, before);
  struct Snapshot *subset = server_index_subset (index, ctx, before, "zone-0", 0), *next, *fresh;
  uint64_t n_read = server_index_n_read (index);
  size_t n_gone = 0, n_come = 0, at = 0;

  while (strcmp (after->items[at].key, subset->items[7].key) != 0)
    at++;
  memmove (&after->items[at], &after->items[at + 1],
           (after->n_items - at - 1) * sizeof after->items[0]);
  after->n_items--;
  CU_ASSERT_EQUAL (server_index_update (index, before, after), ERROR_NONE);
  CU_ASSERT_EQUAL (server_index_n_read (index), n_read);
  next = server_index_subset (index, ctx, after, "zone-0", 0);
  fresh = server_index_subset (index_of (ctx, after), ctx, after, "zone-0", 0);
  CU_ASSERT_EQUAL (snapshot_content (next->items, next->n_items),
                   snapshot_content (fresh->items, fresh->n_items));
  for (size_t i = 0; i < subset->n_items; i++)
    n_gone += !has_key (next, subset->items[i].key);
  for (size_t i = 0; i < next->n_items; i++)
    n_come += !has_key (subset, next->items[i].key);
  CU_ASSERT_EQUAL (n_gone, 1);
  CU_ASSERT_EQUAL (n_come, 1);
  talloc_free (ctx);
}

/* A list is followed by reading what differs, not each entry again. */
static void
test_only_what_differs_is_read (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *before = servers_of (ctx, 10000), *after = servers_of (ctx, 10000);
  struct ServerIndex *index = index_of (ctx, before);

  CU_ASSERT_EQUAL (server_index_n_read (index), 10000);
  after->items[77].value = after->items[78].value;
  after->items[77].value_bytes = after->items[78].value_bytes;
  server_index_update (index, before, after);
  CU_ASSERT_EQUAL (server_index_n_read (index), 10001);
  talloc_free (ctx);
}

/* Callers come that need more than the servers that are known. More are asked for well before these
 * are full, and let go only once it has been calm for long. */
static void
test_the_level_follows_demand (void)
{
  struct SubsetDemand demand = { 0 };
  int64_t now_ms = NOW_MS;

  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 0, 0, now_ms), 0);
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 0, SUBSET_RAISE_PERMILLE - 1, now_ms), 0);
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 0, SUBSET_RAISE_PERMILLE, now_ms), 1);
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 1, SUBSET_RAISE_PERMILLE, now_ms), 2);
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 2, 0, now_ms), 2);
  now_ms += SUBSET_LOWER_AFTER_MS - 1;
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 2, 0, now_ms), 2);
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, 2, 0, now_ms + 1), 1);
  /* Half of the servers carry the same load at twice the share. */
  CU_ASSERT (2 * SUBSET_LOWER_PERMILLE < SUBSET_RAISE_PERMILLE);
  CU_ASSERT_EQUAL (subset_wanted_level (&demand, SUBSET_LEVEL_MAX, 1000, now_ms), SUBSET_LEVEL_MAX);
}

const char test_suite_name[] = "server subset";
const struct TestCase test_cases[] = {
  { "a small fleet is known whole", test_a_small_fleet_is_known_whole },
  { "a large fleet costs a gateway no more at twice the size",
    test_a_large_fleet_costs_a_gateway_no_more_at_twice_the_size },
  { "levels are nested", test_levels_are_nested },
  { "a change moves one server", test_a_change_moves_one_server },
  { "only what differs is read", test_only_what_differs_is_read },
  { "the level follows demand", test_the_level_follows_demand },
  { NULL, NULL },
};
