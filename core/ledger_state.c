#include "ledger_state.h"

#include <nettle/sha2.h>
#include <stdio.h>
#include <string.h>

static int
ledger_free (struct Ledger *ledger)
{
  struct LedgerProgram *program, *next;
  struct LedgerPartialSnapshot *partial, *next_partial;

  HASH_ITER (hh, ledger->programs, program, next)
  ledger_remove (ledger, program);
  HASH_ITER (hh, ledger->partial_snapshots, partial, next_partial)
  ledger_remove_partial_snapshot (ledger, partial);
  return 0;
}

struct Ledger *
ledger_new (TALLOC_CTX *ctx)
{
  struct Ledger *ledger = talloc_zero (ctx, struct Ledger);

  if (ledger != NULL)
    talloc_set_destructor (ledger, ledger_free);
  return ledger;
}

struct LedgerProgram *
ledger_find (const struct Ledger *ledger, const char *program)
{
  struct LedgerProgram *found = NULL;

  HASH_FIND_STR (ledger->programs, program, found);
  return found;
}

struct LedgerProgram *
ledger_insert (struct Ledger *ledger, const struct Record *created)
{
  struct LedgerProgram *program = talloc_zero (ledger, struct LedgerProgram);

  if (program == NULL)
    return NULL;
  program->created = *created;
  /* Every program has a main branch, so a replay recreates it from RECORD_PROGRAM alone. */
  if (program_get_or_add_branch (program, MAIN_BRANCH) == NULL)
    {
      talloc_free (program);
      return NULL;
    }
  program->branches[0]->journaled = true;
  HASH_ADD_STR (ledger->programs, created.program.program, program);
  return program;
}

void
ledger_remove (struct Ledger *ledger, struct LedgerProgram *program)
{
  HASH_DEL (ledger->programs, program);
  talloc_free (program);
}

void
ledger_remove_partial_snapshot (struct Ledger *ledger, struct LedgerPartialSnapshot *partial)
{
  HASH_DEL (ledger->partial_snapshots, partial);
  talloc_free (partial);
}

struct LedgerBranch *
program_find_branch (const struct LedgerProgram *program, const char *name)
{
  for (size_t i = 0; i < program->n_branches; i++)
    if (strcmp (program->branches[i]->name, name) == 0)
      return program->branches[i];
  return NULL;
}

struct LedgerBranch *
program_get_or_add_branch (struct LedgerProgram *program, const char *name)
{
  struct LedgerBranch *branch = program_find_branch (program, name);
  struct LedgerBranch **resized;

  if (branch != NULL)
    return branch;
  resized =
      talloc_realloc (program, program->branches, struct LedgerBranch *, program->n_branches + 1);
  if (resized == NULL)
    return NULL;
  program->branches = resized;
  branch = talloc_zero (program, struct LedgerBranch);
  if (branch == NULL)
    return NULL;
  snprintf (branch->name, sizeof branch->name, "%s", name);
  program->branches[program->n_branches++] = branch;
  return branch;
}

struct LedgerTurn *
program_find_turn (const struct LedgerProgram *program, const struct CallKey *key)
{
  for (size_t i = program->n_turns; i > 0; i--)
    {
      struct LedgerTurn *turn = program->turns[i - 1];

      if (turn->key.sequence == key->sequence && strcmp (turn->key.branch, key->branch) == 0)
        return turn;
    }
  return NULL;
}

static const uint8_t *
copy_bytes (TALLOC_CTX *ctx, const uint8_t *bytes, size_t n_bytes, int32_t *error)
{
  const uint8_t *copy;

  if (n_bytes == 0)
    return NULL;
  copy = talloc_memdup (ctx, bytes, n_bytes);
  if (copy == NULL)
    *error = ERROR_NO_MEMORY;
  return copy;
}

int32_t
program_append_turn (struct LedgerProgram *program, const struct LedgerTurn *turn)
{
  struct LedgerTurn **resized;
  struct LedgerTurn *copy;
  int32_t error = ERROR_NONE;
  size_t n = program->n_turns;

  /* Doubles the capacity, so that the array of a long program is not copied at every turn. */
  if ((n & (n - 1)) == 0)
    {
      resized = talloc_realloc (program, program->turns, struct LedgerTurn *, n == 0 ? 1 : 2 * n);
      if (resized == NULL)
        return ERROR_NO_MEMORY;
      program->turns = resized;
    }
  copy = talloc_memdup (program, turn, sizeof *turn);
  if (copy == NULL)
    return ERROR_NO_MEMORY;
  copy->outcome.response =
      copy_bytes (copy, turn->outcome.response, turn->outcome.response_bytes, &error);
  copy->request = copy_bytes (copy, turn->request, turn->request_bytes, &error);
  if (error != ERROR_NONE)
    {
      talloc_free (copy);
      return error;
    }
  program->turns[program->n_turns++] = copy;
  return ERROR_NONE;
}

/* Hashes a fixed-size number. Each length is hashed before its bytes, so that different histories
 * never produce the same input. */
static void
digest_number (struct sha256_ctx *sha, uint64_t number)
{
  uint8_t bytes[8];

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)(number >> (8 * i));
  sha256_update (sha, sizeof bytes, bytes);
}

static void
digest_bytes (struct sha256_ctx *sha, const void *bytes, size_t n_bytes)
{
  digest_number (sha, n_bytes);
  if (n_bytes > 0)
    sha256_update (sha, n_bytes, bytes);
}

static void
program_extend_digest (struct LedgerProgram *program, const struct LedgerTurn *turn)
{
  struct sha256_ctx sha;

  sha256_init (&sha);
  sha256_update (&sha, DIGEST_BYTES, program->history_digest);
  digest_bytes (&sha, turn->key.branch, strlen (turn->key.branch));
  digest_number (&sha, turn->key.sequence);
  sha256_update (&sha, DIGEST_BYTES, turn->digest);
  digest_number (&sha, (uint64_t) - (int64_t)turn->outcome.error);
  digest_number (&sha, turn->outcome.status);
  digest_bytes (&sha, turn->outcome.response, turn->outcome.response_bytes);
  digest_bytes (&sha, turn->request, turn->request_bytes);
  sha256_digest (&sha, DIGEST_BYTES, program->history_digest);
}

int32_t
program_add_turn (struct LedgerProgram *program, const struct LedgerTurn *turn)
{
  int32_t error = program_append_turn (program, turn);

  if (error == ERROR_NONE)
    program_extend_digest (program, turn);
  return error;
}

int32_t
program_add_holder (struct LedgerProgram *program, const char *backend)
{
  char (*resized)[NAME_MAX_BYTES + 1];

  if (backend[0] == '\0')
    return ERROR_NONE;
  for (size_t i = 0; i < program->n_holders; i++)
    if (strcmp (program->holders[i], backend) == 0)
      return ERROR_NONE;
  resized = talloc_realloc_size (program, program->holders,
                                 (program->n_holders + 1) * sizeof program->holders[0]);
  if (resized == NULL)
    return ERROR_NO_MEMORY;
  program->holders = resized;
  snprintf (resized[program->n_holders++], sizeof resized[0], "%s", backend);
  return ERROR_NONE;
}

void
program_remove_holder (struct LedgerProgram *program, const char *backend)
{
  for (size_t i = 0; i < program->n_holders; i++)
    if (strcmp (program->holders[i], backend) == 0)
      {
        program->n_holders--;
        memmove (program->holders[i], program->holders[program->n_holders],
                 sizeof program->holders[0]);
        return;
      }
}

void
program_clear_in_flight (struct LedgerProgram *program, struct LedgerBranch *branch)
{
  program->reserved_tokens -= branch->in_flight.reserved_tokens;
  memset (&branch->in_flight, 0, sizeof branch->in_flight);
}

uint32_t
program_n_in_flight (const struct LedgerProgram *program)
{
  uint32_t n = 0;

  for (size_t i = 0; i < program->n_branches; i++)
    if (program->branches[i]->in_flight.active)
      n++;
  return n;
}

uint64_t
program_remaining_tokens (const struct LedgerProgram *program)
{
  return program->created.program.budget_tokens - program->charged_tokens
         - program->reserved_tokens;
}
