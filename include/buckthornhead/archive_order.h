/* The order in which a gateway prefers the archives of a set for a program's turns.
 *
 * Turn texts are large and traffic between availability zones is billed, so texts are sent to no
 * more archives than the write quorum requires. A turn goes to the archives that store the turns
 * before it, since others would need the texts of these, too; a first turn goes to those in the
 * gateway's zone. All gateways of a zone use the same order for a program, so that the archive that
 * is queried first for its history stores it. Does no I/O. */
#pragma once

#include <buckthornhead/archive_set.h>

struct ArchiveCandidate
{
  char name[NAME_MAX_BYTES + 1];
  bool responsive; /* responded recently over its link */
  bool has_chain;  /* stores all turns that the turn continues */
  bool in_zone;    /* in the gateway's availability zone */
};

/* Sorts by responsive before unresponsive, then those with the chain before others, then same zone
 * before other zones, then by a hash of program and archive. */
void
archive_order_sort (struct ArchiveCandidate *candidates, size_t n, const char *program);

/* Returns the shortest prefix of the sorted candidates that is a write quorum of set, or all of
 * them if they are not one. */
struct ArchiveNames
archive_order_write_quorum (const struct ArchiveSet *set,
                            uint32_t tolerated,
                            const struct ArchiveCandidate *sorted,
                            size_t n);

/* An archive that may become a member of the first set. */
struct ArchiveFirst
{
  char zone[NAME_MAX_BYTES + 1];
  uint64_t rank; /* hash of the archive's name */
};

/* Returns whether a joins the first set before b. zones are those of the set's present members:
 * archives of zones without a member come first, so that each zone has an archive close to its
 * gateways and the loss of a zone affects few members; then the lower rank. The order exists
 * because joining all at once is expensive: the 24 archives of a fleet that tried at the same
 * moment made 240 calls to the store for a set of five. */
bool
archive_first_precedes (const struct ArchiveFirst *a,
                        const struct ArchiveFirst *b,
                        const char *const *zones,
                        size_t n_zones);
