/* Which archives hold the turns, and how a set of them gives way to the next.
 *
 * The platform's store holds the set, changed by compare-and-swap, with a generation that grows
 * with each change. A change passes two stages. While it is STARTING, what is written goes to
 * enough archives of both the former and the new set, and what is read comes from the former one;
 * the new archives copy from as many of the former as any question needs, each of which already
 * refuses questions from before the change. While it is ENDING, both sets are asked for everything.
 * Then the new set stands alone. Two neighbouring stages may be in use side by side: what one
 * writes, the other reads. Archives refuse older ones. Nothing here rests on a clock. Pure. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum
{
  ARCHIVE_SET_MAX = 16
};

enum ArchiveStage
{
  ARCHIVE_STAGE_STABLE,
  ARCHIVE_STAGE_STARTING,
  ARCHIVE_STAGE_ENDING
};

struct ArchiveNames
{
  char names[ARCHIVE_SET_MAX][NAME_MAX_BYTES + 1];
  uint32_t n;
};

struct ArchiveSet
{
  uint64_t generation; /* 0: there is none yet */
  enum ArchiveStage stage;
  struct ArchiveNames members;
  struct ArchiveNames former; /* as long as it is not stable */
};

bool
archive_names_have (const struct ArchiveNames *names, const char *name);

/* Leaves out what is there already, and what does not fit. */
void
archive_names_add (struct ArchiveNames *names, const char *name);

/* Among the members. */
bool
archive_set_has (const struct ArchiveSet *set, const char *name);

/* Among those that are asked: members, and the former ones during a change. */
struct ArchiveNames
archive_set_asked (const struct ArchiveSet *set);

/* Whether what these archives acknowledged is kept though any tolerated disks are lost. */
bool
archive_set_is_written (const struct ArchiveSet *set,
                        uint32_t tolerated,
                        const struct ArchiveNames *names);

/* Whether these archives, that lack nothing of what they acknowledged, asked together know
 * everything that was ever acknowledged. */
bool
archive_set_is_read (const struct ArchiveSet *set,
                     uint32_t tolerated,
                     const struct ArchiveNames *names);

/* Whether these archives together hold all that there was before the change started; when there is
 * none, all that there is. */
bool
archive_set_is_copied (const struct ArchiveSet *set,
                       uint32_t tolerated,
                       const struct ArchiveNames *names);

/* The oldest generation whose questions an archive that knows set may answer. */
uint64_t
archive_set_oldest (const struct ArchiveSet *set);

/* Archives that a set should have: with more, any question would need more of them to answer. */
uint32_t
archive_set_wanted (uint32_t tolerated);

/* The next generation, with name added while the whole system starts for the first time. */
struct ArchiveSet
archive_set_first (const struct ArchiveSet *set, const char *name);

/* The next generation, in which a change starts: joining comes, leaving goes; either may be "". */
struct ArchiveSet
archive_set_change (const struct ArchiveSet *set, const char *joining, const char *leaving);

/* Who comes with the change that is under way; "" when it only takes one away, or there is none. */
const char *
archive_set_joining (const struct ArchiveSet *set);

/* The next generation of a change that is starting, in which joining comes in place of the archive
 * that should have come and died. Nothing was read from that one yet, so that the former set
 * still knows everything. */
struct ArchiveSet
archive_set_rejoin (const struct ArchiveSet *set, const char *joining);

/* The next generation: a change that was starting is ending, one that was ending is done. */
struct ArchiveSet
archive_set_advance (const struct ArchiveSet *set);

/* A step that an archive has decided on. */
enum ArchiveStepKind
{
  ARCHIVE_STEP_FIRST,  /* joining is among the first */
  ARCHIVE_STEP_CHANGE, /* joining comes, leaving goes */
  ARCHIVE_STEP_REJOIN, /* joining comes in place of one that should have come */
  ARCHIVE_STEP_ADVANCE /* the change's next stage */
};

struct ArchiveStep
{
  enum ArchiveStepKind kind;
  uint64_t generation; /* of the set on which it was decided */
  const char *joining, *leaving;
};

/* The set after step, given the one that the store holds; false when the step was decided on
 * another one. Guards against a step that is taken twice: decided again before the archive has
 * heard that its first one was taken, a change would end without anyone having looked whether
 * enough archives know of it. First ones are decided on no set in particular. */
bool
archive_set_step (const struct ArchiveSet *held,
                  const struct ArchiveStep *step,
                  uint32_t tolerated,
                  struct ArchiveSet *next);

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
