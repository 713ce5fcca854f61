#include <buckthornhead/scheduling/server_subset.h>

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/replica_set.h>
#include <buckthornhead/snapshot_changes.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum
{
  NO_GROUP = UINT32_MAX /* the entry is malformed, or there was no memory for its group */
};

/* A service in one zone. */
struct ServerGroup
{
  char key[2 * NAME_MAX_BYTES + 2]; /* zone and service, separated by a space */
  char zone[NAME_MAX_BYTES + 1];
  uint32_t number;
  UT_hash_handle hh;
};

/* The parsed entry of one server, at its position in the list. */
struct ServerRow
{
  uint64_t rank; /* hash of the server's id; lower ones are selected first */
  uint32_t group;
};

struct ServerIndex
{
  struct ServerGroup *by_key;
  struct ServerGroup **groups; /* by .number */
  uint32_t n_groups;
  struct ServerRow *rows;
  uint64_t n_read;
};

static int
server_index_free (struct ServerIndex *index)
{
  HASH_CLEAR (hh, index->by_key);
  return 0;
}

struct ServerIndex *
server_index_new (TALLOC_CTX *ctx)
{
  struct ServerIndex *index = talloc_zero (ctx, struct ServerIndex);

  if (index != NULL)
    talloc_set_destructor (index, server_index_free);
  return index;
}

static uint32_t
group_get_or_add (struct ServerIndex *index, const struct ReplicaEntry *entry)
{
  struct ServerGroup *group, **grown;
  char key[2 * NAME_MAX_BYTES + 2];

  snprintf (key, sizeof key, "%s %s", entry->zone, entry->service);
  HASH_FIND_STR (index->by_key, key, group);
  if (group != NULL)
    return group->number;
  grown = talloc_realloc (index, index->groups, struct ServerGroup *, index->n_groups + 1);
  group = talloc_zero (index, struct ServerGroup);
  if (grown != NULL)
    index->groups = grown;
  if (group == NULL || grown == NULL)
    {
      talloc_free (group);
      return NO_GROUP;
    }
  snprintf (group->key, sizeof group->key, "%s", key);
  snprintf (group->zone, sizeof group->zone, "%s", entry->zone);
  group->number = index->n_groups;
  index->groups[index->n_groups++] = group;
  HASH_ADD_STR (index->by_key, key, group);
  return group->number;
}

static struct ServerRow
row_parse (struct ServerIndex *index, const struct SnapshotItem *item)
{
  struct ServerRow row = { .group = NO_GROUP };
  struct ReplicaEntry entry;

  index->n_read++;
  if (replica_entry_unpack (item->value, item->value_bytes, &entry) != ERROR_NONE)
    return row;
  row.rank = XXH64 (entry.id, strlen (entry.id), 0);
  row.group = group_get_or_add (index, &entry);
  return row;
}

int32_t
server_index_update (struct ServerIndex *index,
                     const struct Snapshot *before,
                     const struct Snapshot *after)
{
  struct ServerRow *rows = talloc_array (index, struct ServerRow, after->n_items);
  size_t at = 0, n_before = before != NULL && index->rows != NULL ? before->n_items : 0;

  if (rows == NULL)
    {
      TALLOC_FREE (index->rows);
      return ERROR_NO_MEMORY;
    }
  for (size_t i = 0; i < after->n_items; i++)
    {
      const struct SnapshotItem *item = &after->items[i];

      while (at < n_before && strcmp (before->items[at].key, item->key) < 0)
        at++;
      rows[i] = at < n_before && snapshot_item_is_equal (&before->items[at], item)
                    ? index->rows[at]
                    : row_parse (index, item);
    }
  talloc_free (index->rows);
  index->rows = rows;
  return ERROR_NONE;
}

uint64_t
server_index_n_read (const struct ServerIndex *index)
{
  return index->n_read;
}

static int
row_compare (const void *a, const void *b)
{
  const struct ServerRow *x = a, *y = b;

  if (x->group != y->group)
    return x->group < y->group ? -1 : 1;
  return x->rank < y->rank ? -1 : x->rank > y->rank;
}

static size_t
index_count_other_zones (const struct ServerIndex *index, const char *zone)
{
  size_t n = 0;

  for (uint32_t i = 0; i < index->n_groups; i++)
    {
      bool seen = strcmp (index->groups[i]->zone, zone) == 0;

      for (uint32_t j = 0; j < i && !seen; j++)
        seen = strcmp (index->groups[i]->zone, index->groups[j]->zone) == 0;
      n += !seen;
    }
  return n;
}

/* Returns the number of the group's servers in the subset of zone. */
static size_t
group_quota (const struct ServerGroup *group,
             const char *zone,
             size_t n_other_zones,
             uint32_t level)
{
  size_t n = SUBSET_OTHER_ZONES / (n_other_zones > 0 ? n_other_zones : 1);

  if (strcmp (group->zone, zone) == 0)
    n = SUBSET_OWN_ZONE;
  else if (n < SUBSET_ZONE_MIN)
    n = SUBSET_ZONE_MIN;
  return n << (level < SUBSET_LEVEL_MAX ? level : SUBSET_LEVEL_MAX);
}

/* Returns for each group the highest rank within its quota; allocated on ctx, NULL without
 * memory. */
static uint64_t *
index_thresholds (const struct ServerIndex *index,
                  TALLOC_CTX *ctx,
                  size_t n_rows,
                  const char *zone,
                  uint32_t level)
{
  uint64_t *thresholds = talloc_zero_array (ctx, uint64_t, index->n_groups);
  struct ServerRow *sorted = talloc_memdup (ctx, index->rows, n_rows * sizeof *sorted);
  size_t n_other_zones = index_count_other_zones (index, zone), n_in_group = 0;

  if (thresholds == NULL || sorted == NULL)
    {
      talloc_free (thresholds);
      talloc_free (sorted);
      return NULL;
    }
  qsort (sorted, n_rows, sizeof *sorted, row_compare);
  for (size_t i = 0; i < n_rows && sorted[i].group != NO_GROUP; i++)
    {
      const struct ServerGroup *group = index->groups[sorted[i].group];

      n_in_group = i > 0 && sorted[i - 1].group == sorted[i].group ? n_in_group + 1 : 1;
      if (n_in_group <= group_quota (group, zone, n_other_zones, level))
        thresholds[sorted[i].group] = sorted[i].rank;
    }
  talloc_free (sorted);
  return thresholds;
}

struct Snapshot *
server_index_subset (const struct ServerIndex *index,
                     TALLOC_CTX *ctx,
                     const struct Snapshot *servers,
                     const char *zone,
                     uint32_t level)
{
  struct Snapshot *subset = talloc_zero (ctx, struct Snapshot);
  uint64_t *thresholds = NULL;

  if (subset == NULL || (index->rows == NULL && servers->n_items > 0))
    goto fail;
  subset->kind = SNAPSHOT_SUBSET;
  subset->level = level;
  thresholds = index_thresholds (index, subset, servers->n_items, zone, level);
  subset->items = talloc_zero_array (subset, struct SnapshotItem, servers->n_items);
  if (thresholds == NULL || subset->items == NULL)
    goto fail;
  for (size_t i = 0; i < servers->n_items; i++)
    if (index->rows[i].group != NO_GROUP && index->rows[i].rank <= thresholds[index->rows[i].group])
      subset->items[subset->n_items++] = servers->items[i];
  talloc_free (thresholds);
  return subset;

fail:
  talloc_free (subset);
  return NULL;
}

uint32_t
subset_next_level (struct SubsetDemand *demand,
                   uint32_t level,
                   uint32_t used_permille,
                   int64_t now_ms)
{
  if (used_permille >= SUBSET_LOWER_PERMILLE)
    demand->low_since_ms = 0;
  else if (demand->low_since_ms == 0)
    demand->low_since_ms = now_ms;
  if (used_permille >= SUBSET_RAISE_PERMILLE)
    return level < SUBSET_LEVEL_MAX ? level + 1 : SUBSET_LEVEL_MAX;
  if (level > 0 && demand->low_since_ms > 0
      && now_ms - demand->low_since_ms >= SUBSET_LOWER_AFTER_MS)
    return level - 1;
  return level;
}
