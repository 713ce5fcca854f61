/* What an archive knows of turns and budgets without reading its disk.
 *
 * Pure: times are given, in milliseconds of the wall clock, since they are compared with what a
 * process before this one wrote. */
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

/* A reservation for a turn that has not closed. One that has closed already stays as it is: a
 * resend that arrives late must not open it again. ERROR_NO_MEMORY. */
int32_t
turn_index_reserve (struct TurnIndex *index, const struct TurnOpen *open, int64_t unix_ms);

/* A turn has closed; its record lies at place. Keeps its chain for as long as it is kept itself.
 * ERROR_NO_MEMORY. */
int32_t
turn_index_close (struct TurnIndex *index,
                  const struct TurnClose *close,
                  const struct DiskPlace *place,
                  int64_t unix_ms);

/* False when the turn is not kept here, or is another customer's. */
bool
turn_index_find (const struct TurnIndex *index,
                 const char *customer,
                 const char *turn,
                 struct TurnPlace *place);

/* True when the turn's close was taken, whether the turn is kept or not. */
bool
turn_index_is_closed (const struct TurnIndex *index,
                      const char *customer,
                      const char *program,
                      const char *turn);

/* What the turns of open's program took, except the opened one; the array belongs to ctx.
 * ERROR_NO_MEMORY. */
int32_t
turn_index_charges (const struct TurnIndex *index,
                    TALLOC_CTX *ctx,
                    const struct TurnOpen *open,
                    struct TurnCharge **charges,
                    size_t *n_charges);

/* The server that holds the first of open's sessions that its program's turns have told of. */
struct SessionPlace
turn_index_place (const struct TurnIndex *index, const struct TurnOpen *open);

/* When the turn's text may go; 0 when it is not kept. */
int64_t
turn_index_expires (const struct TurnIndex *index, const char *customer, const char *turn);

/* Forgets turns and programs that have expired. */
void
turn_index_expire (struct TurnIndex *index, int64_t unix_ms);

size_t
turn_index_count (const struct TurnIndex *index);
