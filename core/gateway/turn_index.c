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
  EXTEND_STEP_MS = 5 * 1000
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

/* A turn expires no earlier than those that continue it. */
struct IndexedTurn
{
  char *id;       /* scoped */
  char *previous; /* NULL: not stored here, only continued by turns that are */
  struct DiskPlace place;
  int64_t expires_unix_ms;
  uint32_t retention_ms;
  bool has_chain; /* all turns before it are stored here; false: unknown */
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
  TurnExtendedFn on_extended; /* NULL: none */
  void *on_extended_data;
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

/* Returns the turn's entry, whether the turn is stored here or not. */
static struct IndexedTurn *
index_entry (const struct TurnIndex *index, const char *customer, const char *id)
{
  struct ScopedId scoped = scoped_id (customer, id);
  struct IndexedTurn *turn = NULL;

  HASH_FIND_STR (index->turns, scoped.text, turn);
  return turn;
}

static struct IndexedTurn *
index_turn (const struct TurnIndex *index, const char *customer, const char *id)
{
  struct IndexedTurn *turn = index_entry (index, customer, id);

  return turn != NULL && turn->previous != NULL ? turn : NULL;
}

static struct IndexedTurn *
index_ensure_entry (struct TurnIndex *index, const char *customer, const char *id)
{
  struct IndexedTurn *turn = index_entry (index, customer, id);

  if (turn != NULL)
    return turn;
  turn = talloc_zero (index, struct IndexedTurn);
  if (turn == NULL)
    return NULL;
  turn->id = talloc_strdup (turn, scoped_id (customer, id).text);
  if (turn->id == NULL)
    {
      talloc_free (turn);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, index->turns, turn->id, strlen (turn->id), turn);
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
turn_index_on_extended (struct TurnIndex *index, TurnExtendedFn fn, void *data)
{
  index->on_extended = fn;
  index->on_extended_data = data;
}

static void
index_report_expiry (const struct TurnIndex *index, const struct IndexedTurn *turn)
{
  if (index->on_extended != NULL && turn->previous != NULL)
    index->on_extended (index->on_extended_data, &turn->place, turn->expires_unix_ms);
}

/* Extends the retention of a turn and those before it: continuing the last turn of a chain needs
 * all of them. Remembers the expiry of a turn that is not stored here, since its record may arrive
 * after those of the turns that continue it, as in a copy. */
static int32_t
index_extend_chain (struct TurnIndex *index,
                    const char *customer,
                    const char *id,
                    int64_t expires_unix_ms)
{
  while (id != NULL && id[0] != '\0')
    {
      struct IndexedTurn *turn = index_ensure_entry (index, customer, id);

      if (turn == NULL)
        return ERROR_NO_MEMORY;
      if (turn->expires_unix_ms >= expires_unix_ms)
        return ERROR_NONE;
      turn->expires_unix_ms = expires_unix_ms;
      index_report_expiry (index, turn);
      id = turn->previous;
    }
  return ERROR_NONE;
}

int32_t
turn_index_extend_program (struct TurnIndex *index, const struct TurnOpen *open, int64_t unix_ms)
{
  const struct IndexedProgram *program = index_program (index, open->customer, open->program);
  int32_t error = ERROR_NONE;

  for (size_t i = 0; program != NULL && i < program->n_charges && error == ERROR_NONE; i++)
    {
      const char *id = program->charges[i].turn;
      const struct IndexedTurn *turn = index_turn (index, open->customer, id);
      int64_t expires_unix_ms =
          turn != NULL ? unix_ms + turn->retention_ms + RETENTION_SLACK_MS : 0;

      if (turn != NULL && turn->expires_unix_ms <= expires_unix_ms - EXTEND_STEP_MS)
        error = index_extend_chain (index, open->customer, id, expires_unix_ms);
    }
  return error;
}

static int32_t
index_add_turn (struct TurnIndex *index,
                const struct TurnClose *close,
                const struct DiskPlace *place,
                int64_t unix_ms)
{
  struct IndexedTurn *turn = index_ensure_entry (index, close->customer, close->text.turn);
  int64_t expires_unix_ms = unix_ms + close->retention_ms + RETENTION_SLACK_MS;

  if (turn == NULL)
    return ERROR_NO_MEMORY;
  if (turn->previous != NULL)
    return ERROR_NONE;
  turn->previous = talloc_strdup (turn, close->text.previous);
  if (turn->previous == NULL)
    return ERROR_NO_MEMORY;
  turn->place = *place;
  turn->retention_ms = close->retention_ms;
  if (turn->expires_unix_ms < expires_unix_ms)
    turn->expires_unix_ms = expires_unix_ms;
  index_report_expiry (index, turn);
  return index_extend_chain (index, close->customer, turn->previous, turn->expires_unix_ms);
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
turn_index_has_chain (struct TurnIndex *index, const char *customer, const char *id)
{
  uint32_t n_left = HASH_COUNT (index->turns);
  const char *next = id;
  struct IndexedTurn *turn;

  while (next[0] != '\0')
    {
      turn = index_turn (index, customer, next);
      /* A chain longer than the index has a turn that continues itself. */
      if (turn == NULL || n_left-- == 0)
        return false;
      if (turn->has_chain)
        break;
      next = turn->previous;
    }
  /* Marks them, so that the next search ends at the newest one: the turns before a turn stay for
   * as long as it does. */
  for (turn = index_turn (index, customer, id); turn != NULL && !turn->has_chain;
       turn = index_turn (index, customer, turn->previous))
    turn->has_chain = true;
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
