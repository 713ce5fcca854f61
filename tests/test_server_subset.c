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

/* A list of n servers over the zones in turn; one in nine belongs to service "desk". */
static struct Snapshot *
make_servers (TALLOC_CTX *ctx, uint32_t n)
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
make_index (TALLOC_CTX *ctx, const struct Snapshot *servers)
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

/* With a few dozen servers the subset contains all of them. */
static void
test_a_small_fleet_is_included_whole (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *servers = make_servers (ctx, 66), *subset;
  struct ServerIndex *index = make_index (ctx, servers);

  subset = server_index_subset (index, ctx, servers, "zone-2", 0);
  CU_ASSERT_EQUAL (subset->n_items, servers->n_items);
  CU_ASSERT_EQUAL (snapshot_content (subset->items, subset->n_items), servers->content);
  talloc_free (ctx);
}

/* The subset's size must not grow with the fleet: the full list of ten thousand servers takes 9 MB
 * at each of a thousand gateways, and every choice would scan it. */
static void
test_the_subset_does_not_grow_with_the_fleet (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  size_t n[2];

  for (uint32_t i = 0; i < 2; i++)
    {
      struct Snapshot *servers = make_servers (ctx, 10000 << i);

      n[i] = server_index_subset (make_index (ctx, servers), ctx, servers, "zone-0", 0)->n_items;
    }
  CU_ASSERT_EQUAL (n[0], 2 * (SUBSET_OWN_ZONE + SUBSET_OTHER_ZONES));
  CU_ASSERT_EQUAL (n[1], n[0]);
  talloc_free (ctx);
}

/* Each level contains the servers of the level below. */
static void
test_levels_are_nested (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *servers = make_servers (ctx, 10000), *below = NULL, *subset;
  struct ServerIndex *index = make_index (ctx, servers);

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

/* Two aggregators of a zone, one with an incrementally updated index and one with a new index, must
 * select the same subset. A server that leaves is replaced by exactly one other. */
static void
test_a_removed_server_is_replaced_by_one (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *before = make_servers (ctx, 10000), *after = make_servers (ctx, 10000);
  struct ServerIndex *index = make_index (ctx, before);
  struct Snapshot *subset = server_index_subset (index, ctx, before, "zone-0", 0), *next, *fresh;
  uint64_t n_read = server_index_n_read (index);
  size_t n_removed = 0, n_added = 0, at = 0;

  while (strcmp (after->items[at].key, subset->items[7].key) != 0)
    at++;
  memmove (&after->items[at], &after->items[at + 1],
           (after->n_items - at - 1) * sizeof after->items[0]);
  after->n_items--;
  CU_ASSERT_EQUAL (server_index_update (index, before, after), ERROR_NONE);
  CU_ASSERT_EQUAL (server_index_n_read (index), n_read);
  next = server_index_subset (index, ctx, after, "zone-0", 0);
  fresh = server_index_subset (make_index (ctx, after), ctx, after, "zone-0", 0);
  CU_ASSERT_EQUAL (snapshot_content (next->items, next->n_items),
                   snapshot_content (fresh->items, fresh->n_items));
  for (size_t i = 0; i < subset->n_items; i++)
    n_removed += !has_key (next, subset->items[i].key);
  for (size_t i = 0; i < next->n_items; i++)
    n_added += !has_key (subset, next->items[i].key);
  CU_ASSERT_EQUAL (n_removed, 1);
  CU_ASSERT_EQUAL (n_added, 1);
  talloc_free (ctx);
}

/* An update parses only the entries that differ. */
static void
test_only_changed_entries_are_parsed (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct Snapshot *before = make_servers (ctx, 10000), *after = make_servers (ctx, 10000);
  struct ServerIndex *index = make_index (ctx, before);

  CU_ASSERT_EQUAL (server_index_n_read (index), 10000);
  after->items[77].value = after->items[78].value;
  after->items[77].value_bytes = after->items[78].value_bytes;
  server_index_update (index, before, after);
  CU_ASSERT_EQUAL (server_index_n_read (index), 10001);
  talloc_free (ctx);
}

/* The level is raised well before the subset's servers are full, and lowered only after usage has
 * been low for SUBSET_LOWER_AFTER_MS. */
static void
test_the_level_follows_demand (void)
{
  struct SubsetDemand demand = { 0 };
  int64_t now_ms = NOW_MS;

  CU_ASSERT_EQUAL (subset_next_level (&demand, 0, 0, now_ms), 0);
  CU_ASSERT_EQUAL (subset_next_level (&demand, 0, SUBSET_RAISE_PERMILLE - 1, now_ms), 0);
  CU_ASSERT_EQUAL (subset_next_level (&demand, 0, SUBSET_RAISE_PERMILLE, now_ms), 1);
  CU_ASSERT_EQUAL (subset_next_level (&demand, 1, SUBSET_RAISE_PERMILLE, now_ms), 2);
  CU_ASSERT_EQUAL (subset_next_level (&demand, 2, 0, now_ms), 2);
  now_ms += SUBSET_LOWER_AFTER_MS - 1;
  CU_ASSERT_EQUAL (subset_next_level (&demand, 2, 0, now_ms), 2);
  CU_ASSERT_EQUAL (subset_next_level (&demand, 2, 0, now_ms + 1), 1);
  /* With half of the servers the same load takes twice the share of their slots. */
  CU_ASSERT (2 * SUBSET_LOWER_PERMILLE < SUBSET_RAISE_PERMILLE);
  CU_ASSERT_EQUAL (subset_next_level (&demand, SUBSET_LEVEL_MAX, 1000, now_ms), SUBSET_LEVEL_MAX);
}

const char test_suite_name[] = "server subset";
const struct TestCase test_cases[] = {
  { "a small fleet is included whole", test_a_small_fleet_is_included_whole },
  { "the subset does not grow with the fleet", test_the_subset_does_not_grow_with_the_fleet },
  { "levels are nested", test_levels_are_nested },
  { "a removed server is replaced by one", test_a_removed_server_is_replaced_by_one },
  { "only changed entries are parsed", test_only_changed_entries_are_parsed },
  { "the level follows demand", test_the_level_follows_demand },
  { NULL, NULL },
};
