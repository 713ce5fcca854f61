#include <buckthornhead/snapshot.h>

#include <buckthornhead/partition.h>
#include <buckthornhead/tsan.h>

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#define _LGPL_SOURCE
#include <urcu-bp.h>

enum
{
  RANK_HOME = 3,
  RANK_SAME_ZONE = 2,
  RANK_OTHER_ZONE = 1,
  RANK_SUSPECTED = 0
};

struct Ranked
{
  const struct SnapshotMember *member;
  int32_t rank;
  uint64_t score; /* rendezvous hash: spreads programs, same order for all callers of one */
};

static struct Snapshot *published;

void
snapshot_publish (struct Snapshot *snapshot)
{
  struct Snapshot *previous;

  TSAN_RELEASE (snapshot);
  previous = rcu_xchg_pointer (&published, snapshot);

  if (previous == NULL)
    return;
  synchronize_rcu ();
  TSAN_ACQUIRE (&published);
  talloc_free (previous);
}

static int
ranked_compare (const void *a, const void *b)
{
  const struct Ranked *x = a;
  const struct Ranked *y = b;

  if (x->rank != y->rank)
    return y->rank - x->rank;
  return (x->score < y->score) - (x->score > y->score);
}

static int32_t
member_rank (const struct SnapshotMember *member, bool is_home, const char *zone)
{
  if (member->suspected)
    return RANK_SUSPECTED;
  if (is_home)
    return RANK_HOME;
  return strcmp (member->zone, zone) == 0 ? RANK_SAME_ZONE : RANK_OTHER_ZONE;
}

static json_t *
snapshot_addresses (const struct Snapshot *snapshot, const char *program, const char *zone)
{
  json_t *addresses = json_array ();
  struct Ranked *ranked = calloc (snapshot->n_members + 1, sizeof *ranked);
  int32_t home = snapshot->n_partitions > 0
                     ? snapshot->homes[partition_of (program, snapshot->n_partitions)]
                     : -1;
  size_t n = 0;

  for (size_t i = 0; ranked != NULL && i < snapshot->n_members; i++)
    {
      const struct SnapshotMember *member = &snapshot->members[i];

      if (member->draining)
        continue;
      ranked[n].member = member;
      ranked[n].rank = member_rank (member, (int32_t)i == home, zone);
      ranked[n].score = rendezvous_score (program, member->instance);
      n++;
    }
  if (n > 0)
    qsort (ranked, n, sizeof *ranked, ranked_compare);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (addresses, json_string (ranked[i].member->caller_address));
  free (ranked);
  return addresses;
}

char *
snapshot_rank (TALLOC_CTX *ctx, const char *program, const char *zone)
{
  const struct Snapshot *snapshot;
  json_t *response = json_object ();
  char *text, *copy;

  rcu_read_lock ();
  snapshot = rcu_dereference (published);
  if (snapshot != NULL)
    {
      TSAN_ACQUIRE (snapshot);
      json_object_set_new (response, "addresses", snapshot_addresses (snapshot, program, zone));
      json_object_set_new (response, "keep_ms", json_integer (snapshot->keep_ms));
    }
  TSAN_RELEASE (&published);
  rcu_read_unlock ();
  text = json_dumps (response, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (response);
  return copy;
}
