/* The set of archives that store the turns, and how it is replaced by the next set.
 *
 * The platform's store holds the set, which changes by compare-and-swap and whose generation
 * increases with each change. A change has two stages. While it is STARTING, writes need a write
 * quorum of both the former and the new set, and reads need a read quorum of the former set; the
 * new archives copy from a read quorum of the former ones, each of which already rejects requests
 * of generations before the change. While it is ENDING, both reads and writes need a quorum of both
 * sets. After that the new set is used alone. Processes in two adjacent stages may run at the same
 * time: each reads what the other has written. Archives reject requests of older stages.
 *
 * Does no I/O and depends on no clock. */
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
  uint64_t generation; /* 0: no set exists yet */
  enum ArchiveStage stage;
  struct ArchiveNames members;
  struct ArchiveNames former; /* previous members; empty while the set is stable */
};

bool
archive_names_have (const struct ArchiveNames *names, const char *name);

/* Ignores an empty name, a duplicate, and any name beyond ARCHIVE_SET_MAX. */
void
archive_names_add (struct ArchiveNames *names, const char *name);

/* Returns whether name is a member; former members are not. */
bool
archive_set_has (const struct ArchiveSet *set, const char *name);

/* Returns the archives to which requests are sent: the members, and during a change the former
 * members as well. */
struct ArchiveNames
archive_set_targets (const struct ArchiveSet *set);

/* Returns whether names are a write quorum: a record that all of them acknowledged survives the
 * loss of any `tolerated` disks. */
bool
archive_set_is_written (const struct ArchiveSet *set,
                        uint32_t tolerated,
                        const struct ArchiveNames *names);

/* Returns whether names are a read quorum: provided that each still has every record that it
 * acknowledged, together they have every record that was ever acknowledged. */
bool
archive_set_is_read (const struct ArchiveSet *set,
                     uint32_t tolerated,
                     const struct ArchiveNames *names);

/* Returns whether names together have all records from before the change in progress, or, if the
 * set is stable, all records. */
bool
archive_set_is_copied (const struct ArchiveSet *set,
                       uint32_t tolerated,
                       const struct ArchiveNames *names);

/* Returns whether the names, which reject requests of the stage before, are enough to end a change:
 * without them there is no write quorum, so that no such request can succeed any more. Fewer than a
 * write quorum can be enough, for instance in a set that has lost one of two members. */
bool
archive_set_is_fenced (const struct ArchiveSet *set,
                       uint32_t tolerated,
                       const struct ArchiveNames *names);

/* Returns whether a member may leave without a successor: those that stay must still hold all
 * records after the tolerated losses. */
bool
archive_set_may_shrink (const struct ArchiveSet *set, uint32_t tolerated);

/* Returns the oldest generation whose requests an archive at set's generation may serve. */
uint64_t
archive_set_oldest_generation (const struct ArchiveSet *set);

/* Returns the target number of members: with more of them, each read quorum would be larger. */
uint32_t
archive_set_target_size (uint32_t tolerated);

/* Returns the next generation with name added, while the first set is formed. */
struct ArchiveSet
archive_set_first (const struct ArchiveSet *set, const char *name);

/* Returns the next generation, in which a change starts that adds joining and removes leaving;
 * either may be "". */
struct ArchiveSet
archive_set_change (const struct ArchiveSet *set, const char *joining, const char *leaving);

/* Returns the archive that the change in progress adds; "" if it only removes one or the set is
 * stable. */
const char *
archive_set_joining (const struct ArchiveSet *set);

/* Returns the archive that the change in progress removes; "" if it only adds one or the set is
 * stable. */
const char *
archive_set_leaving (const struct ArchiveSet *set);

/* Returns the next generation of a change that is starting, in which joining replaces an archive
 * that failed while it joined. Nothing has been read from the failed one yet, so the former set
 * still has all records. */
struct ArchiveSet
archive_set_rejoin (const struct ArchiveSet *set, const char *joining);

/* Returns the next generation, in which a change that is starting is given up. Its stage writes to
 * both sets and reads from the former, which therefore lacks nothing. */
struct ArchiveSet
archive_set_abort (const struct ArchiveSet *set);

/* Returns the next generation: STARTING becomes ENDING, and ENDING becomes STABLE. */
struct ArchiveSet
archive_set_advance (const struct ArchiveSet *set);

/* A transition of the set that an archive proposes. */
enum ArchiveStepKind
{
  ARCHIVE_STEP_FIRST,  /* adds joining to the first set */
  ARCHIVE_STEP_CHANGE, /* starts a change that adds joining and removes leaving */
  ARCHIVE_STEP_REJOIN, /* replaces the archive that joins by joining */
  ARCHIVE_STEP_ABORT,  /* gives up a change that is starting */
  ARCHIVE_STEP_ADVANCE /* moves the change to its next stage */
};

struct ArchiveStep
{
  enum ArchiveStepKind kind;
  uint64_t generation; /* of the set for which the step was proposed */
  const char *joining, *leaving;
};

/* Computes the set that follows when step is applied to the stored one; false if the step does not
 * apply, in particular if it was proposed for another generation. This prevents applying a step
 * twice: an archive that proposes it again before it receives the result of the first attempt would
 * end a change without a check that enough archives have received it. ARCHIVE_STEP_FIRST applies to
 * any generation. */
bool
archive_set_step (const struct ArchiveSet *stored,
                  const struct ArchiveStep *step,
                  uint32_t tolerated,
                  struct ArchiveSet *next);

/* Convert between a set and its value in the store. Encoding returns ERROR_NO_MEMORY on failure,
 * decoding ERROR_INVALID for malformed input. */
int32_t
archive_set_encode (TALLOC_CTX *ctx,
                    const struct ArchiveSet *set,
                    uint8_t **bytes,
                    size_t *n_bytes);
int32_t
archive_set_decode (const uint8_t *bytes, size_t n_bytes, struct ArchiveSet *set);

struct PackWriter;
struct PackReader;
/* Write and read a set as one array within a larger message. */
void
archive_set_pack (struct PackWriter *p, const struct ArchiveSet *set);
void
archive_set_unpack (struct PackReader *r, struct ArchiveSet *set);
