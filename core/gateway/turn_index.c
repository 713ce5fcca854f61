#include <buckthornhead/turn_index.h>

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* Retention of a program's charges after its last turn opened or closed. More than twice the time
   * for which a turn runs and is retained in the deployments. */
  PROGRAM_KEEP_MS = 180 * 1000,
  /* Added to a turn's retention, since clocks of two instances differ and the caller counts from
   * the end of its response. */
  RETENTION_SLACK_MS = 15 * 1000,
  /* A later turn of the program extends a turn's retention only by at least this much. */
  EXTEND_STEP_MS = 5 * 1000,
  CHAIN_MAX = 100000 /* turns in a chain; guards against a loop in corrupt records */
};

/* An id that is unique across customers: the customer's name, a line feed and the id, or the id
 * alone without a customer. Neither contains a line feed, so that two customers' ids cannot
 * collide. */
struct ScopedId
{
  char text[2 * NAME_MAX_BYTES + 2];
};

static struct ScopedId
scoped_id (const char *customer, const char *id)
{
  struct ScopedId scoped;

  snprintf (scoped.text, sizeof scoped.text, "%s%s%s", customer, customer[0] != '\0' ? "\n" : "",
            id);
  return scoped;
}

struct IndexedTurn
{
  char *id, *previous; /* id is scoped */
  struct DiskPlace place;
  int64_t expires_unix_ms;
  uint32_t retention_ms;
  UT_hash_handle hh;
};

struct IndexedCharge
{
  char *turn;
  uint32_t tokens;
  bool settled;
};

struct IndexedProgram
{
  char *id; /* scoped */
  struct IndexedCharge *charges;
  size_t n_charges;
  struct SessionPlaces places;
  int64_t expires_unix_ms;
  UT_hash_handle hh;
};

struct TurnIndex
{
  struct IndexedTurn *turns;
  struct IndexedProgram *programs;
};

static int
index_free (struct TurnIndex *index)
{
  HASH_CLEAR (hh, index->turns);
  HASH_CLEAR (hh, index->programs);
  return 0;
}

struct TurnIndex *
turn_index_new (TALLOC_CTX *ctx)
{
  struct TurnIndex *index = talloc_zero (ctx, struct TurnIndex);

  if (index != NULL)
    talloc_set_destructor (index, index_free);
  return index;
}

static struct IndexedTurn *
index_turn (const struct TurnIndex *index, const char *customer, const char *id)
{
  struct ScopedId scoped = scoped_id (customer, id);
  struct IndexedTurn *turn = NULL;

  HASH_FIND_STR (index->turns, scoped.text, turn);
  return turn;
}

static struct IndexedProgram *
index_program (const struct TurnIndex *index, const char *customer, const char *id)
{
  struct ScopedId scoped = scoped_id (customer, id);
  struct IndexedProgram *program = NULL;

  HASH_FIND_STR (index->programs, scoped.text, program);
  return program;
}

static struct IndexedProgram *
index_ensure_program (struct TurnIndex *index, const char *customer, const char *id)
{
  struct IndexedProgram *program = index_program (index, customer, id);

  if (program != NULL)
    return program;
  program = talloc_zero (index, struct IndexedProgram);
  if (program == NULL)
    return NULL;
  program->id = talloc_strdup (program, scoped_id (customer, id).text);
  if (program->id == NULL)
    {
      talloc_free (program);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, index->programs, program->id, strlen (program->id), program);
  return program;
}

static struct IndexedCharge *
program_charge (const struct IndexedProgram *program, const char *turn)
{
  for (size_t i = 0; i < program->n_charges; i++)
    if (strcmp (program->charges[i].turn, turn) == 0)
      return &program->charges[i];
  return NULL;
}

static struct IndexedCharge *
program_ensure_charge (struct IndexedProgram *program, const char *turn)
{
  struct IndexedCharge *charge = program_charge (program, turn);
  struct IndexedCharge *grown;

  if (charge != NULL)
    return charge;
  grown = talloc_realloc (program, program->charges, struct IndexedCharge, program->n_charges + 1);
  if (grown == NULL)
    return NULL;
  program->charges = grown;
  charge = &grown[program->n_charges];
  memset (charge, 0, sizeof *charge);
  charge->turn = talloc_strdup (program, turn);
  if (charge->turn == NULL)
    return NULL;
  program->n_charges++;
  return charge;
}

/* Records that are copied from another archive may be older than the program's others. */
static void
program_extend (struct IndexedProgram *program, int64_t unix_ms)
{
  if (program->expires_unix_ms < unix_ms + PROGRAM_KEEP_MS)
    program->expires_unix_ms = unix_ms + PROGRAM_KEEP_MS;
}

int32_t
turn_index_reserve (struct TurnIndex *index, const struct TurnOpen *open, int64_t unix_ms)
{
  struct IndexedProgram *program = index_ensure_program (index, open->customer, open->program);
  struct IndexedCharge *charge =
      program != NULL ? program_ensure_charge (program, open->turn) : NULL;

  if (charge == NULL)
    return ERROR_NO_MEMORY;
  if (!charge->settled)
    charge->tokens = open->reserve_tokens;
  program_extend (program, unix_ms);
  return ERROR_NONE;
}

void
turn_index_extend_program (struct TurnIndex *index,
                           const struct TurnOpen *open,
                           int64_t unix_ms,
                           TurnExtendedFn fn,
                           void *data)
{
  const struct IndexedProgram *program = index_program (index, open->customer, open->program);

  for (size_t i = 0; program != NULL && i < program->n_charges; i++)
    {
      struct IndexedTurn *turn = index_turn (index, open->customer, program->charges[i].turn);
      int64_t expires_unix_ms =
          turn != NULL ? unix_ms + turn->retention_ms + RETENTION_SLACK_MS : 0;

      if (turn == NULL || turn->expires_unix_ms > expires_unix_ms - EXTEND_STEP_MS)
        continue;
      turn->expires_unix_ms = expires_unix_ms;
      fn (data, &turn->place, expires_unix_ms);
    }
}

/* Extends the retention of a turn and those before it. Continuing the last turn of a chain needs
 * all of them. */
static void
index_extend_chain (struct TurnIndex *index,
                    const char *customer,
                    const char *id,
                    int64_t expires_unix_ms)
{
  for (uint32_t i = 0; i < CHAIN_MAX && id[0] != '\0'; i++)
    {
      struct IndexedTurn *turn = index_turn (index, customer, id);

      if (turn == NULL || turn->expires_unix_ms >= expires_unix_ms)
        return;
      turn->expires_unix_ms = expires_unix_ms;
      id = turn->previous;
    }
}

static int32_t
index_add_turn (struct TurnIndex *index,
                const struct TurnClose *close,
                const struct DiskPlace *place,
                int64_t unix_ms)
{
  struct IndexedTurn *turn = index_turn (index, close->customer, close->text.turn);
  int64_t expires_unix_ms = unix_ms + close->retention_ms + RETENTION_SLACK_MS;

  if (turn != NULL)
    return ERROR_NONE;
  turn = talloc_zero (index, struct IndexedTurn);
  if (turn == NULL)
    return ERROR_NO_MEMORY;
  turn->id = talloc_strdup (turn, scoped_id (close->customer, close->text.turn).text);
  turn->previous = talloc_strdup (turn, close->text.previous);
  if (turn->id == NULL || turn->previous == NULL)
    {
      talloc_free (turn);
      return ERROR_NO_MEMORY;
    }
  turn->place = *place;
  turn->expires_unix_ms = expires_unix_ms;
  turn->retention_ms = close->retention_ms;
  HASH_ADD_KEYPTR (hh, index->turns, turn->id, strlen (turn->id), turn);
  index_extend_chain (index, close->customer, turn->previous, expires_unix_ms);
  return ERROR_NONE;
}

int32_t
turn_index_close (struct TurnIndex *index,
                  const struct TurnClose *close,
                  const struct DiskPlace *place,
                  int64_t unix_ms)
{
  struct IndexedProgram *program = index_ensure_program (index, close->customer, close->program);
  struct IndexedCharge *charge =
      program != NULL ? program_ensure_charge (program, close->text.turn) : NULL;

  if (charge == NULL)
    return ERROR_NO_MEMORY;
  charge->tokens = close->charge_tokens;
  charge->settled = true;
  if (session_places_record (program, &program->places, close->session, close->session_tokens,
                             close->text.server)
      != ERROR_NONE)
    return ERROR_NO_MEMORY;
  program_extend (program, unix_ms);
  return close->kept ? index_add_turn (index, close, place, unix_ms) : ERROR_NONE;
}

bool
turn_index_find (const struct TurnIndex *index,
                 const char *customer,
                 const char *id,
                 struct TurnPlace *place)
{
  const struct IndexedTurn *turn = index_turn (index, customer, id);

  if (turn == NULL)
    return false;
  place->place = turn->place;
  place->previous = turn->previous;
  return true;
}

bool
turn_index_is_closed (const struct TurnIndex *index,
                      const char *customer,
                      const char *program_id,
                      const char *turn)
{
  const struct IndexedProgram *program = index_program (index, customer, program_id);
  const struct IndexedCharge *charge = program != NULL ? program_charge (program, turn) : NULL;

  return charge != NULL && charge->settled;
}

bool
turn_index_has_close (const struct TurnIndex *index, const struct TurnClose *close)
{
  return turn_index_is_closed (index, close->customer, close->program, close->text.turn)
         && (!close->kept || index_turn (index, close->customer, close->text.turn) != NULL);
}

enum TurnNeed
turn_index_need_of (const struct TurnIndex *index, const struct TurnClose *close)
{
  const struct IndexedProgram *program = index_program (index, close->customer, close->program);

  if (index_turn (index, close->customer, close->text.turn) != NULL)
    return TURN_NEEDS_TEXT;
  return program != NULL && program_charge (program, close->text.turn) != NULL ? TURN_NEEDS_CHARGE
                                                                               : TURN_NEEDS_NOTHING;
}

bool
turn_index_needs_open (const struct TurnIndex *index, const struct TurnOpen *open)
{
  const struct IndexedProgram *program = index_program (index, open->customer, open->program);
  const struct IndexedCharge *charge =
      program != NULL ? program_charge (program, open->turn) : NULL;

  return charge != NULL && !charge->settled;
}

int32_t
turn_index_charges (const struct TurnIndex *index,
                    TALLOC_CTX *ctx,
                    const struct TurnOpen *open,
                    struct TurnCharge **charges,
                    size_t *n_charges)
{
  const struct IndexedProgram *program = index_program (index, open->customer, open->program);
  size_t n = program != NULL ? program->n_charges : 0;

  *n_charges = 0;
  *charges = talloc_zero_array (ctx, struct TurnCharge, n);
  if (*charges == NULL)
    return ERROR_NO_MEMORY;
  for (size_t i = 0; i < n; i++)
    {
      const struct IndexedCharge *charge = &program->charges[i];
      struct TurnCharge *out = &(*charges)[*n_charges];

      if (strcmp (charge->turn, open->turn) == 0)
        continue;
      strncpy (out->turn, charge->turn, sizeof out->turn - 1);
      out->tokens = charge->tokens;
      out->settled = charge->settled;
      (*n_charges)++;
    }
  return ERROR_NONE;
}

struct SessionPlace
turn_index_place (const struct TurnIndex *index, const struct TurnOpen *open)
{
  const struct IndexedProgram *program = index_program (index, open->customer, open->program);

  if (program == NULL)
    return (struct SessionPlace){ .session = 0 };
  return session_places_find (&program->places, open->sessions);
}

int64_t
turn_index_expiry (const struct TurnIndex *index, const char *customer, const char *id)
{
  const struct IndexedTurn *turn = index_turn (index, customer, id);

  return turn != NULL ? turn->expires_unix_ms : 0;
}

void
turn_index_expire (struct TurnIndex *index, int64_t unix_ms)
{
  struct IndexedTurn *turn, *next_turn;
  struct IndexedProgram *program, *next_program;

  HASH_ITER (hh, index->turns, turn, next_turn)
  {
    if (turn->expires_unix_ms > unix_ms)
      continue;
    HASH_DEL (index->turns, turn);
    talloc_free (turn);
  }
  HASH_ITER (hh, index->programs, program, next_program)
  {
    if (program->expires_unix_ms > unix_ms)
      continue;
    HASH_DEL (index->programs, program);
    talloc_free (program);
  }
}

size_t
turn_index_count (const struct TurnIndex *index)
{
  return HASH_COUNT (index->turns);
}
