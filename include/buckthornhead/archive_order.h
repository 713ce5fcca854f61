/* In which order a gateway turns to the archives of a set with a program's turns.
 *
 * A turn's texts are large and bytes between availability zones are paid for, so that they go to no
 * more archives than must have them, the nearest first; and all gateways of a zone keep to one
 * order for a program, so that the archive that is asked for its history has it. Pure. */
#pragma once

#include <buckthornhead/archive_set.h>

struct ArchiveCandidate
{
  char name[NAME_MAX_BYTES + 1];
  bool answers; /* its link has answered lately */
  bool near;    /* in the gateway's availability zone */
};

/* Sorts: those that answer first, of them the near ones, then by a hash of program and archive. */
void
archive_order_sort (struct ArchiveCandidate *candidates, size_t n, const char *program);

/* The first of sorted candidates that are enough for a write to set; all when none would be. */
struct ArchiveNames
archive_order_write (const struct ArchiveSet *set,
                     uint32_t tolerated,
                     const struct ArchiveCandidate *sorted,
                     size_t n);

/* An archive that may become one of the first set's members. */
struct ArchiveFirst
{
  char zone[NAME_MAX_BYTES + 1];
  uint64_t rank; /* hash of its name */
};

/* Whether a joins the first set before b, whose members so far stand in the zones: those of zones
 * without one go first, so that each zone has an archive near its gateways and the loss of a zone
 * takes few; then by their hash. When all 24 archives of a fleet tried at the same moment they made
 * 240 calls to the store for a set of five. */
bool
archive_first_before (const struct ArchiveFirst *a,
                      const struct ArchiveFirst *b,
                      const char *const *zones,
                      size_t n_zones);
