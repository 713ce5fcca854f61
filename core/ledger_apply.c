#include "ledger_state.h"

#include <stdio.h>
#include <string.h>

static int32_t
apply_program (struct Ledger *ledger, const struct Record *record)
{
  struct LedgerProgram *program = ledger_find (ledger, record->program.program);

  if (program != NULL)
    {
      program->pending = false;
      return ERROR_NONE;
    }
  return ledger_insert (ledger, record) != NULL ? ERROR_NONE : ERROR_NO_MEMORY;
}

static int32_t
apply_intent (struct LedgerProgram *program, const struct Record *record)
{
  struct LedgerBranch *branch = program_get_or_add_branch (program, record->intent.key.branch);
  struct LedgerInFlight *in_flight;

  if (branch == NULL)
    return ERROR_NO_MEMORY;
  branch->journaled = true;
  if (record->intent.key.sequence != branch->last_sequence + 1)
    return ERROR_NONE;
  in_flight = &branch->in_flight;
  if (!in_flight->active)
    {
      in_flight->active = true;
      in_flight->sequence = record->intent.key.sequence;
      in_flight->idempotent = record->intent.idempotent;
      in_flight->reserved_tokens = record->intent.reserved_tokens;
      memcpy (in_flight->digest, record->intent.digest, DIGEST_BYTES);
      program->reserved_tokens += in_flight->reserved_tokens;
    }
  in_flight->intent_issued = true;
  in_flight->intent_applied = true;
  return ERROR_NONE;
}

static int32_t
apply_not_sent (struct LedgerProgram *program, const struct Record *record)
{
  struct LedgerBranch *branch = program_find_branch (program, record->intent.key.branch);

  if (branch != NULL && branch->in_flight.active
      && branch->in_flight.sequence == record->intent.key.sequence)
    program_clear_in_flight (program, branch);
  return ERROR_NONE;
}

static int32_t
apply_outcome (struct LedgerProgram *program, const struct Record *record)
{
  const struct CallKey *key = &record->outcome.key;
  struct LedgerBranch *branch = program_get_or_add_branch (program, key->branch);
  struct LedgerTurn turn = {
    .key = *key,
    .idempotent = record->outcome.idempotent,
    .outcome = record->outcome.outcome,
    .request = record->outcome.request,
    .request_bytes = record->outcome.request_bytes,
  };
  int32_t error;

  if (branch == NULL)
    return ERROR_NO_MEMORY;
  /* Already applied, for example when a replay reads an outcome that a snapshot contains. */
  if (key->sequence != branch->last_sequence + 1)
    return ERROR_NONE;
  memcpy (turn.digest, record->outcome.digest, DIGEST_BYTES);
  error = program_add_turn (program, &turn);
  if (error == ERROR_NONE)
    error = program_add_holder (program, turn.outcome.backend);
  if (error != ERROR_NONE)
    return error;
  if (branch->in_flight.active)
    program_clear_in_flight (program, branch);
  branch->journaled = true;
  branch->last_sequence = key->sequence;
  program->charged_tokens += turn.outcome.charge_tokens;
  program->cached_tokens += turn.outcome.cached_tokens;
  return ERROR_NONE;
}

static int32_t
apply_end (struct LedgerProgram *program, const struct Record *record)
{
  if (!program->ended)
    program->end_reason = record->end.reason;
  program->ended = true;
  program->ending = false;
  return ERROR_NONE;
}

static struct LedgerPartialSnapshot *
start_partial_snapshot (struct Ledger *ledger, const struct Record *record)
{
  struct LedgerPartialSnapshot *partial = talloc_zero (ledger, struct LedgerPartialSnapshot);

  if (partial == NULL)
    return NULL;
  snprintf (partial->program, sizeof partial->program, "%s", record->snapshot.program);
  partial->partition = record->partition;
  partial->n_parts = record->snapshot.n_parts;
  partial->epoch = record->epoch;
  HASH_ADD_STR (ledger->partial_snapshots, program, partial);
  return partial;
}

/* Adds one part of a snapshot and replaces the program with the last part. The parts are in order
 * in one journal. A first part discards earlier parts: a snapshot left incomplete by a writer that
 * failed is followed by a complete one of another writer. */
static int32_t
apply_snapshot (struct Ledger *ledger, const struct Record *record)
{
  struct LedgerPartialSnapshot *partial = NULL;
  uint8_t *resized;
  int32_t error;

  HASH_FIND_STR (ledger->partial_snapshots, record->snapshot.program, partial);
  if (record->snapshot.part == 0)
    {
      if (partial != NULL)
        ledger_remove_partial_snapshot (ledger, partial);
      partial = start_partial_snapshot (ledger, record);
      if (partial == NULL)
        return ERROR_NO_MEMORY;
    }
  if (partial == NULL || partial->next_part != record->snapshot.part
      || partial->epoch != record->epoch || partial->n_parts != record->snapshot.n_parts)
    return ERROR_INVALID;
  resized = talloc_realloc (partial, partial->state, uint8_t,
                            partial->state_bytes + record->snapshot.state_bytes);
  if (resized == NULL)
    return ERROR_NO_MEMORY;
  partial->state = resized;
  if (record->snapshot.state_bytes > 0)
    memcpy (resized + partial->state_bytes, record->snapshot.state, record->snapshot.state_bytes);
  partial->state_bytes += record->snapshot.state_bytes;
  partial->next_part++;
  if (partial->next_part < partial->n_parts)
    return ERROR_NONE;
  error = ledger_unpack_program (ledger, partial->state, partial->state_bytes, record->partition,
                                 record->epoch);
  ledger_remove_partial_snapshot (ledger, partial);
  return error;
}

static const char *
record_program_id (const struct Record *record)
{
  switch (record->kind)
    {
    case RECORD_PROGRAM:
      return record->program.program;
    case RECORD_INTENT:
    case RECORD_NOT_SENT:
      return record->intent.key.program;
    case RECORD_OUTCOME:
      return record->outcome.key.program;
    case RECORD_END:
      return record->end.program;
    case RECORD_RELEASED:
    case RECORD_HELD:
      return record->released.program;
    case RECORD_SNAPSHOT:
      return record->snapshot.program;
    case RECORD_HANDOFF:
      break;
    }
  return NULL;
}

int32_t
ledger_apply (struct Ledger *ledger, const struct Record *record)
{
  const char *id = record_program_id (record);
  struct LedgerProgram *program = id != NULL ? ledger_find (ledger, id) : NULL;

  /* A home that was paused during a take-over may write records under its lower epoch after those
   * of the new home. They are not part of the history that the new home reported to callers. */
  if (program != NULL && record->epoch < program->created.epoch)
    return ERROR_NONE;
  if (program != NULL)
    program->created.epoch = record->epoch;
  if (record->kind == RECORD_PROGRAM)
    return apply_program (ledger, record);
  if (record->kind == RECORD_SNAPSHOT)
    return apply_snapshot (ledger, record);
  if (record->kind == RECORD_HANDOFF)
    return ERROR_NONE;
  if (program == NULL)
    return ERROR_NOT_FOUND;
  switch (record->kind)
    {
    case RECORD_INTENT:
      return apply_intent (program, record);
    case RECORD_NOT_SENT:
      return apply_not_sent (program, record);
    case RECORD_OUTCOME:
      return apply_outcome (program, record);
    case RECORD_END:
      return apply_end (program, record);
    case RECORD_RELEASED:
      program_remove_holder (program, record->released.backend);
      return ERROR_NONE;
    case RECORD_HELD:
      return program_add_holder (program, record->released.backend);
    default:
      return ERROR_INVALID;
    }
}

/* Adds an outcome of "may have run" for a call that the previous home may have sent, so that it is
 * not sent again. It is charged its reservation, the maximum that it can have used. */
static int32_t
adopt_uncertain_call (struct LedgerProgram *program, struct LedgerBranch *branch)
{
  const struct LedgerInFlight *in_flight = &branch->in_flight;
  struct LedgerTurn turn = {
    .outcome = { .error = ERROR_MAY_HAVE_RUN,
                 .ran = RAN_MAYBE,
                 .charge_tokens = in_flight->reserved_tokens },
  };
  int32_t error;

  memcpy (turn.key.program, program->created.program.program, sizeof turn.key.program);
  memcpy (turn.key.branch, branch->name, sizeof turn.key.branch);
  memcpy (turn.digest, in_flight->digest, DIGEST_BYTES);
  turn.key.sequence = in_flight->sequence;
  error = program_add_turn (program, &turn);
  if (error != ERROR_NONE)
    return error;
  branch->last_sequence = in_flight->sequence;
  program->charged_tokens += in_flight->reserved_tokens;
  program_clear_in_flight (program, branch);
  return ERROR_NONE;
}

static int32_t
adopt_branch (struct LedgerProgram *program, struct LedgerBranch *branch)
{
  const struct Record *created = &program->created;
  uint64_t remaining_tokens, unrecorded_tokens;

  if (branch->in_flight.active && !branch->in_flight.idempotent)
    return adopt_uncertain_call (program, branch);
  /* An idempotent call that was in flight without an intent reserved at most the grant. Such calls
   * of all branches together reserved at most the remaining budget. */
  unrecorded_tokens =
      branch->in_flight.active ? branch->in_flight.reserved_tokens : created->program.grant_tokens;
  program_clear_in_flight (program, branch);
  remaining_tokens = program_remaining_tokens (program);
  if (!program->ended && branch->journaled)
    program->charged_tokens +=
        unrecorded_tokens < remaining_tokens ? unrecorded_tokens : remaining_tokens;
  return ERROR_NONE;
}

static int32_t
adopt_program (struct LedgerProgram *program, uint64_t epoch, bool planned)
{
  int32_t error = ERROR_NONE;

  program->created.epoch = epoch;
  for (size_t i = 0; i < program->n_branches && error == ERROR_NONE && !planned; i++)
    error = adopt_branch (program, program->branches[i]);
  if (error == ERROR_NONE && !planned && !program->ended)
    error = program_add_holder (program, LEDGER_ANY_BACKEND);
  return error;
}

int32_t
ledger_adopt_partition (struct Ledger *ledger,
                        TALLOC_CTX *ctx,
                        uint32_t partition,
                        uint64_t epoch,
                        bool planned,
                        struct Record **records,
                        size_t *n_records)
{
  struct LedgerProgram *program, *next;
  int32_t error;

  HASH_ITER (hh, ledger->programs, program, next)
  {
    if (program->created.partition != partition)
      continue;
    error = adopt_program (program, epoch, planned);
    if (error != ERROR_NONE)
      return error;
  }
  return ledger_snapshot_partition (ledger, ctx, partition, records, n_records);
}
