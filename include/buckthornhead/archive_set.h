/* Which archives hold the turns, and how a set of them gives way to the next.
 *
 * The platform's store holds the set, changed by compare-and-swap, with a generation that grows
 * with each change. Archives refuse questions of an older generation than they know. A change goes
 * in two steps. First the set is "changing": who stays is needed by every question, so that
 * whatever the old set acknowledged is seen and whatever is written now stays; meanwhile the new
 * archive copies all that those who stay hold. Then the set settles. Nothing here rests on a clock.
 * Pure. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum
{
  ARCHIVE_SET_MAX = 16
};

struct ArchiveSet
{
  uint64_t generation;                               /* 0: there is none yet */
  char members[ARCHIVE_SET_MAX][NAME_MAX_BYTES + 1]; /* the new one included, the leaving one not */
  uint32_t n_members;
  bool changing;
  char joining[NAME_MAX_BYTES + 1]; /* while changing: "" when none joins */
  char leaving[NAME_MAX_BYTES + 1]; /* while changing: "" when none leaves */
};

bool
archive_set_has (const struct ArchiveSet *set, const char *name);

/* Whether what n archives acknowledged is kept though any tolerated disks are lost. */
bool
archive_set_is_written (const struct ArchiveSet *set,
                        uint32_t tolerated,
                        const char (*names)[NAME_MAX_BYTES + 1],
                        size_t n);

/* Whether n archives that lack nothing of what they acknowledged, asked together, know everything
 * that was ever acknowledged. */
bool
archive_set_is_read (const struct ArchiveSet *set,
                     uint32_t tolerated,
                     const char (*names)[NAME_MAX_BYTES + 1],
                     size_t n);

/* The next generation, with name added while the whole system starts for the first time. */
struct ArchiveSet
archive_set_first (const struct ArchiveSet *set, const char *name);

/* The next generation, in which joining comes and leaving goes; either may be "". */
struct ArchiveSet
archive_set_change (const struct ArchiveSet *set, const char *joining, const char *leaving);

/* The next generation, with the change done. */
struct ArchiveSet
archive_set_settle (const struct ArchiveSet *set);

/* The oldest generation whose questions an archive that knows set may answer. Before a change is
 * done, questions of the set before would pass by those who stay; after it, those asked while it
 * was changing are asked of all who stayed, and so are seen. */
uint64_t
archive_set_oldest (const struct ArchiveSet *set);

/* As the store holds it. ERROR_NO_MEMORY; ERROR_INVALID for anything malformed. */
int32_t
archive_set_encode (TALLOC_CTX *ctx,
                    const struct ArchiveSet *set,
                    uint8_t **bytes,
                    size_t *n_bytes);
int32_t
archive_set_decode (const uint8_t *bytes, size_t n_bytes, struct ArchiveSet *set);

struct PackWriter;
struct PackReader;
/* One array. */
void
archive_set_pack (struct PackWriter *p, const struct ArchiveSet *set);
void
archive_set_unpack (struct PackReader *r, struct ArchiveSet *set);
