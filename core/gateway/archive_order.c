#include <buckthornhead/archive_order.h>

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t
candidate_score (const struct ArchiveCandidate *candidate, uint64_t program_hash)
{
  return XXH64 (candidate->name, strlen (candidate->name), program_hash);
}

static bool
candidate_precedes (const struct ArchiveCandidate *a,
                    const struct ArchiveCandidate *b,
                    uint64_t program_hash)
{
  if (a->responsive != b->responsive)
    return a->responsive;
  if (a->has_chain != b->has_chain)
    return a->has_chain;
  if (a->in_zone != b->in_zone)
    return a->in_zone;
  return candidate_score (a, program_hash) > candidate_score (b, program_hash);
}

void
archive_order_sort (struct ArchiveCandidate *candidates, size_t n, const char *program)
{
  uint64_t program_hash = XXH64 (program, strlen (program), 0);

  /* Insertion sort: a set has at most ARCHIVE_SET_MAX archives. */
  for (size_t i = 1; i < n; i++)
    for (size_t at = i;
         at > 0 && candidate_precedes (&candidates[at], &candidates[at - 1], program_hash); at--)
      {
        struct ArchiveCandidate tmp = candidates[at];

        candidates[at] = candidates[at - 1];
        candidates[at - 1] = tmp;
      }
}

struct ArchiveNames
archive_order_write_quorum (const struct ArchiveSet *set,
                            uint32_t tolerated,
                            const struct ArchiveCandidate *sorted,
                            size_t n)
{
  struct ArchiveNames names = { .n = 0 };

  for (size_t i = 0; i < n && !archive_set_is_written (set, tolerated, &names); i++)
    archive_names_add (&names, sorted[i].name);
  return names;
}

static bool
zone_is_listed (const char *zone, const char *const *zones, size_t n_zones)
{
  for (size_t i = 0; i < n_zones; i++)
    if (strcmp (zones[i], zone) == 0)
      return true;
  return false;
}

bool
archive_first_precedes (const struct ArchiveFirst *a,
                        const struct ArchiveFirst *b,
                        const char *const *zones,
                        size_t n_zones)
{
  bool a_covered = zone_is_listed (a->zone, zones, n_zones);
  bool b_covered = zone_is_listed (b->zone, zones, n_zones);

  return a_covered != b_covered ? b_covered : a->rank < b->rank;
}
