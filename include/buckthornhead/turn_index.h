/* In-memory index of the turns and budgets on an archive's disk.
 *
 * Does no I/O. The caller passes times in milliseconds of the archive's retention clock
 * (retention_clock.h), which also stamps the records on the disk. */
#pragma once

#include <buckthornhead/disk_log.h>
#include <buckthornhead/scheduling/session_places.h>

struct TurnIndex;

/* A turn that may be continued. */
struct TurnPlace
{
  struct DiskPlace place;
  const char *previous; /* "" for the first of a chain; belongs to the index */
};

struct TurnIndex *
turn_index_new (TALLOC_CTX *ctx);

/* Reserves tokens for a turn. A turn that has closed is left unchanged, since a late resend must
 * not open it again. Fails with ERROR_NO_MEMORY. */
int32_t
turn_index_reserve (struct TurnIndex *index, const struct TurnOpen *open, int64_t unix_ms);

typedef void (*TurnExtendedFn) (void *data, const struct DiskPlace *place, int64_t expires_unix_ms);

/* Calls fn for each turn that is added or extended, with its expiry. */
void
turn_index_on_extended (struct TurnIndex *index, TurnExtendedFn fn, void *data);

/* Extends the retention of all turns of open's program and of those before them. Later turns of a
 * program may be stored by other archives, which do not extend the earlier ones here; every archive
 * receives the reservations of all. Fails with ERROR_NO_MEMORY. */
int32_t
turn_index_extend_program (struct TurnIndex *index, const struct TurnOpen *open, int64_t unix_ms);

/* Records that a turn has closed, with its record at place. Extends the retention of its chain to
 * its own, also that of turns which are added later. Fails with ERROR_NO_MEMORY. */
int32_t
turn_index_close (struct TurnIndex *index,
                  const struct TurnClose *close,
                  const struct DiskPlace *place,
                  int64_t unix_ms);

/* Returns false if the turn is not in the index or belongs to another customer. */
bool
turn_index_find (const struct TurnIndex *index,
                 const char *customer,
                 const char *turn,
                 struct TurnPlace *place);

/* Returns whether the turn and all turns before it are stored here. "" has no turns before it. */
bool
turn_index_has_chain (struct TurnIndex *index, const char *customer, const char *turn);

/* Returns true if the turn has closed, whether it is kept or not. */
bool
turn_index_is_closed (const struct TurnIndex *index,
                      const char *customer,
                      const char *program,
                      const char *turn);

/* Returns true if the turn has closed and, if close has texts to keep, these are in the index. They
 * may have expired here after an earlier copy, while its program did not. */
bool
turn_index_has_close (const struct TurnIndex *index, const struct TurnClose *close);

/* What is still needed of a turn that has closed. */
enum TurnNeed
{
  TURN_NEEDS_NOTHING, /* its program has expired */
  TURN_NEEDS_CHARGE,
  TURN_NEEDS_TEXT /* and its charge: it may be continued */
};

enum TurnNeed
turn_index_need_of (const struct TurnIndex *index, const struct TurnClose *close);

/* Returns whether the reservation is still needed: not once its turn has closed or its program has
 * expired. */
bool
turn_index_needs_open (const struct TurnIndex *index, const struct TurnOpen *open);

/* Returns the charges of the turns of open's program, except the opened one. The array belongs to
 * ctx. Fails with ERROR_NO_MEMORY. */
int32_t
turn_index_charges (const struct TurnIndex *index,
                    TALLOC_CTX *ctx,
                    const struct TurnOpen *open,
                    struct TurnCharge **charges,
                    size_t *n_charges);

/* Returns the place of the first of open's sessions that the program's turns recorded. */
struct SessionPlace
turn_index_place (const struct TurnIndex *index, const struct TurnOpen *open);

/* Returns the time at which the turn expires; 0 if it is not in the index. */
int64_t
turn_index_expiry (const struct TurnIndex *index, const char *customer, const char *turn);

/* Removes expired turns and programs. */
void
turn_index_expire (struct TurnIndex *index, int64_t unix_ms);

size_t
turn_index_count (const struct TurnIndex *index);
