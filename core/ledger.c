#include "ledger_state.h"

#include <stdio.h>
#include <string.h>

static bool
digests_equal (const uint8_t a[DIGEST_BYTES], const uint8_t b[DIGEST_BYTES])
{
  return memcmp (a, b, DIGEST_BYTES) == 0;
}

int32_t
ledger_create_program (struct Ledger *ledger,
                       const struct Record *want,
                       bool *exists,
                       struct Fault *fault)
{
  const char *id = want->program.program;
  struct LedgerProgram *program;

  *exists = false;
  if (id[0] == '\0' || want->kind != RECORD_PROGRAM)
    return fault_set (fault, ERROR_INVALID, "set the program id", "the program id is missing");
  program = ledger_find (ledger, id);
  if (program != NULL)
    {
      /* A creation that is resent while the first is being written is journaled again, which a
       * replay ignores. Both callers thus receive the response only when the record is durable. */
      *exists = !program->pending;
      if (digests_equal (program->created.program.create_digest, want->program.create_digest))
        return ERROR_NONE;
      return fault_set (fault, ERROR_CONFLICT, "use another id for a different program",
                        "program %s exists with other parameters", id);
    }
  program = ledger_insert (ledger, want);
  if (program == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory for program %s", id);
  program->pending = true;
  return ERROR_NONE;
}

void
ledger_abandon_program (struct Ledger *ledger, const char *program)
{
  struct LedgerProgram *p = ledger_find (ledger, program);

  if (p != NULL && p->pending)
    ledger_remove (ledger, p);
}

static void
refuse (struct LedgerDecision *decision, int32_t error)
{
  decision->verdict = LEDGER_REFUSE;
  decision->fault.error = error;
}

static void
refuse_reused_sequence (struct LedgerDecision *decision, const struct CallKey *key)
{
  refuse (decision, ERROR_UNKNOWN_CALL);
  fault_set (&decision->fault, ERROR_UNKNOWN_CALL, NULL,
             "sequence %llu of branch %s belongs to another request",
             (unsigned long long)key->sequence, key->branch);
}

/* Decides on a call whose sequence number was used before: its response is stored, it is in flight,
 * or the number belongs to another request. Returns false for a new number. */
static bool
decide_repeated (const struct LedgerProgram *program,
                 const struct LedgerBranch *branch,
                 const struct Call *call,
                 struct LedgerDecision *decision)
{
  const struct LedgerTurn *turn;

  if (branch->in_flight.active && call->key.sequence == branch->in_flight.sequence)
    {
      decision->verdict = LEDGER_JOIN;
      if (!digests_equal (branch->in_flight.digest, call->digest))
        refuse_reused_sequence (decision, &call->key);
      return true;
    }
  if (call->key.sequence == 0 || call->key.sequence > branch->last_sequence)
    return false;
  turn = program_find_turn (program, &call->key);
  if (turn == NULL || !digests_equal (turn->digest, call->digest))
    {
      refuse_reused_sequence (decision, &call->key);
      return true;
    }
  /* Older turns are also answered with their stored response: a refusal would report "not run". */
  decision->verdict = LEDGER_STORED;
  decision->stored = &turn->outcome;
  if (turn->outcome.error != ERROR_NONE)
    fault_set (&decision->fault, turn->outcome.error, NULL, "the call ended with %s",
               error_name (turn->outcome.error));
  return true;
}

/* Checks the deadline, turn limit and budget of program for a further call. Fills in the refusal
 * and returns false if one of them is exceeded. */
static bool
decide_limits (const struct LedgerProgram *program,
               uint64_t reservation_tokens,
               int64_t now_unix_ms,
               struct LedgerDecision *decision)
{
  const struct Record *created = &program->created;
  struct Fault *fault = &decision->fault;
  uint32_t n_in_flight = program_n_in_flight (program);

  decision->verdict = LEDGER_REFUSE;
  if (created->program.deadline_unix_ms != 0 && now_unix_ms >= created->program.deadline_unix_ms)
    {
      decision->end_reason = END_DEADLINE;
      fault_set (fault, ERROR_DEADLINE, "start a new program with a later deadline",
                 "the program's deadline has passed");
      return false;
    }
  if (created->program.turn_limit != 0
      && program->n_turns + n_in_flight >= created->program.turn_limit)
    {
      if (n_in_flight == 0)
        decision->end_reason = END_TURN_LIMIT;
      fault_set (fault, ERROR_BUDGET,
                 "check the program for an endless loop, or raise the profile's turn limit",
                 "the program has reached its limit of %u turns", created->program.turn_limit);
      return false;
    }
  /* Subtracts instead of adding the reservation to the tokens in use, as a sum could overflow. */
  if (reservation_tokens > program_remaining_tokens (program))
    {
      if (reservation_tokens > created->program.budget_tokens - program->charged_tokens)
        decision->end_reason = END_OVER_BUDGET;
      fault_set (fault, ERROR_BUDGET, NULL, "the call reserves %llu tokens but only %llu are left",
                 (unsigned long long)reservation_tokens,
                 (unsigned long long)program_remaining_tokens (program));
      return false;
    }
  return true;
}

static void
init_record (const struct LedgerProgram *program, enum RecordKind kind, struct Record *record)
{
  memset (record, 0, sizeof *record);
  record->kind = kind;
  record->partition = program->created.partition;
  record->epoch = program->created.epoch;
}

static void
fill_intent (const struct LedgerProgram *program,
             const struct LedgerBranch *branch,
             enum RecordKind kind,
             struct Record *record)
{
  const struct LedgerInFlight *in_flight = &branch->in_flight;

  init_record (program, kind, record);
  memcpy (record->intent.key.program, program->created.program.program,
          sizeof record->intent.key.program);
  memcpy (record->intent.key.branch, branch->name, sizeof branch->name);
  record->intent.key.sequence = in_flight->sequence;
  memcpy (record->intent.digest, in_flight->digest, DIGEST_BYTES);
  record->intent.reserved_tokens = in_flight->reserved_tokens;
  record->intent.idempotent = in_flight->idempotent;
}

static void
start_call (struct LedgerProgram *program,
            struct LedgerBranch *branch,
            const struct Call *call,
            uint64_t reservation_tokens,
            struct LedgerDecision *decision)
{
  struct LedgerInFlight *in_flight = &branch->in_flight;

  in_flight->active = true;
  in_flight->sequence = call->key.sequence;
  in_flight->idempotent = call->idempotent;
  in_flight->reserved_tokens = reservation_tokens;
  memcpy (in_flight->digest, call->digest, DIGEST_BYTES);
  program->reserved_tokens += reservation_tokens;
  /* An idempotent call may be sent without an intent only if a home that takes over would still
   * charge for it: its program and branch are journaled and its reservation is within the grant. */
  in_flight->intent_issued = !call->idempotent || program->pending || !branch->journaled
                             || reservation_tokens > program->created.program.grant_tokens;
  decision->verdict = in_flight->intent_issued ? LEDGER_JOURNAL_FIRST : LEDGER_RUN;
  if (in_flight->intent_issued)
    fill_intent (program, branch, RECORD_INTENT, &decision->record);
}

void
ledger_accept_call (struct Ledger *ledger,
                    const struct Call *call,
                    int64_t now_unix_ms,
                    struct LedgerDecision *decision)
{
  struct LedgerProgram *program = ledger_find (ledger, call->key.program);
  struct LedgerBranch *branch;
  uint64_t reservation_tokens = (uint64_t)call->prompt_tokens + call->max_tokens;

  memset (decision, 0, sizeof *decision);
  decision->expected_sequence = 1;
  if (program == NULL)
    {
      refuse (decision, ERROR_NOT_FOUND);
      fault_set (&decision->fault, ERROR_NOT_FOUND, "create the program first",
                 "program %s is not known", call->key.program);
      return;
    }
  branch = program_find_branch (program, call->key.branch);
  if (branch != NULL)
    {
      decision->expected_sequence = branch->last_sequence + 1;
      if (decide_repeated (program, branch, call, decision))
        return;
    }
  if (program->ended || program->ending)
    {
      refuse (decision, ERROR_ENDED);
      fault_set (&decision->fault, ERROR_ENDED, NULL, "program %s has ended", call->key.program);
      return;
    }
  if (call->key.sequence != decision->expected_sequence
      || (branch != NULL && branch->in_flight.active))
    {
      refuse (decision, ERROR_OUT_OF_ORDER);
      fault_set (&decision->fault, ERROR_OUT_OF_ORDER, NULL, "expected sequence %llu on branch %s",
                 (unsigned long long)decision->expected_sequence, call->key.branch);
      return;
    }
  if (!decide_limits (program, reservation_tokens, now_unix_ms, decision))
    return;
  branch = program_get_or_add_branch (program, call->key.branch);
  if (branch == NULL)
    fault_set (&decision->fault, ERROR_NO_MEMORY, NULL, "out of memory for branch %s",
               call->key.branch);
  else
    start_call (program, branch, call, reservation_tokens, decision);
}

/* Returns the branch on which the call of key is in flight without an issued outcome, or NULL. */
static struct LedgerBranch *
find_open_call (struct Ledger *ledger, const struct CallKey *key, struct LedgerProgram **program)
{
  struct LedgerBranch *branch;

  *program = ledger_find (ledger, key->program);
  if (*program == NULL)
    return NULL;
  branch = program_find_branch (*program, key->branch);
  if (branch == NULL || !branch->in_flight.active || branch->in_flight.closing
      || branch->in_flight.sequence != key->sequence)
    return NULL;
  return branch;
}

int32_t
ledger_abandon_call (struct Ledger *ledger,
                     const struct CallKey *key,
                     struct Record *record,
                     bool *must_journal)
{
  struct LedgerProgram *program;
  struct LedgerBranch *branch = find_open_call (ledger, key, &program);

  *must_journal = false;
  if (branch == NULL)
    return ERROR_NOT_FOUND;
  if (!branch->in_flight.intent_applied)
    {
      program_clear_in_flight (program, branch);
      return ERROR_NONE;
    }
  *must_journal = true;
  branch->in_flight.closing = true;
  fill_intent (program, branch, RECORD_NOT_SENT, record);
  return ERROR_NONE;
}

int32_t
ledger_end_call (struct Ledger *ledger,
                 const struct CallKey *key,
                 const struct Outcome *outcome,
                 const uint8_t *request,
                 size_t request_bytes,
                 struct Record *record)
{
  struct LedgerProgram *program;
  struct LedgerBranch *branch = find_open_call (ledger, key, &program);
  struct LedgerInFlight *in_flight;

  if (branch == NULL)
    return ERROR_NOT_FOUND;
  in_flight = &branch->in_flight;
  if (in_flight->intent_issued && !in_flight->intent_applied)
    return ERROR_INVALID;
  in_flight->closing = true;
  init_record (program, RECORD_OUTCOME, record);
  record->outcome.key = *key;
  memcpy (record->outcome.digest, in_flight->digest, DIGEST_BYTES);
  record->outcome.idempotent = in_flight->idempotent;
  record->outcome.outcome = *outcome;
  /* An engine may generate more than max_tokens. The charge is capped at the reservation, as a
   * larger charge could exceed the budget. */
  if (record->outcome.outcome.charge_tokens > in_flight->reserved_tokens)
    record->outcome.outcome.charge_tokens = in_flight->reserved_tokens;
  record->outcome.request = request;
  record->outcome.request_bytes = request_bytes;
  return ERROR_NONE;
}

int32_t
ledger_end_program (struct Ledger *ledger,
                    const char *program,
                    enum EndReason reason,
                    struct Record *record)
{
  struct LedgerProgram *p = ledger_find (ledger, program);

  if (p == NULL)
    return ERROR_NOT_FOUND;
  if (p->ended || p->ending)
    return ERROR_ENDED;
  p->ending = true;
  init_record (p, RECORD_END, record);
  snprintf (record->end.program, sizeof record->end.program, "%s", program);
  record->end.reason = reason;
  return ERROR_NONE;
}

bool
ledger_remove_program (struct Ledger *ledger, const char *program)
{
  struct LedgerProgram *p = ledger_find (ledger, program);

  if (p == NULL || !p->ended || p->n_holders > 0 || program_n_in_flight (p) > 0)
    return false;
  ledger_remove (ledger, p);
  return true;
}

void
ledger_drop_partition (struct Ledger *ledger, uint32_t partition)
{
  struct LedgerProgram *program, *next;
  struct LedgerPartialSnapshot *partial, *next_partial;

  HASH_ITER (hh, ledger->programs, program, next)
  {
    if (program->created.partition == partition)
      ledger_remove (ledger, program);
  }
  HASH_ITER (hh, ledger->partial_snapshots, partial, next_partial)
  {
    if (partial->partition == partition)
      ledger_remove_partial_snapshot (ledger, partial);
  }
}
