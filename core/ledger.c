#include "ledger_state.h"

#include <stdio.h>
#include <string.h>

static bool
same_digest (const uint8_t a[DIGEST_BYTES], const uint8_t b[DIGEST_BYTES])
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
    return fault_set (fault, ERROR_INVALID, "name the program", "a program needs an id");
  program = ledger_find (ledger, id);
  if (program != NULL)
    {
      /* A resend while the first creation is still being written writes it once more, which a
       * replay ignores: both callers then hear of it only when it is durable. */
      *exists = !program->pending;
      if (same_digest (program->created.program.create_digest, want->program.create_digest))
        return ERROR_NONE;
      return fault_set (fault, ERROR_CONFLICT, "choose another id for another program",
                        "program %s exists with other parameters", id);
    }
  program = ledger_insert (ledger, want);
  if (program == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for program %s", id);
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
refuse_other_request (struct LedgerDecision *decision, const struct CallKey *key)
{
  refuse (decision, ERROR_UNKNOWN_CALL);
  fault_set (&decision->fault, ERROR_UNKNOWN_CALL, NULL,
             "sequence %llu of branch %s was used for another request",
             (unsigned long long)key->sequence, key->branch);
}

/* Answers a call that was seen before: stored, in flight, or a number used for something else. */
static bool
decide_seen (const struct LedgerProgram *program,
             const struct LedgerBranch *branch,
             const struct Call *call,
             struct LedgerDecision *decision)
{
  const struct LedgerTurn *turn;

  if (branch->flight.active && call->key.sequence == branch->flight.sequence)
    {
      decision->verdict = LEDGER_JOIN;
      if (!same_digest (branch->flight.digest, call->digest))
        refuse_other_request (decision, &call->key);
      return true;
    }
  if (call->key.sequence == 0 || call->key.sequence > branch->last_sequence)
    return false;
  turn = program_find_turn (program, &call->key);
  if (turn == NULL || !same_digest (turn->digest, call->digest))
    {
      refuse_other_request (decision, &call->key);
      return true;
    }
  /* An older turn gets its stored answer too: "not run" would be untrue of it. */
  decision->verdict = LEDGER_STORED;
  decision->stored = &turn->outcome;
  if (turn->outcome.error != ERROR_NONE)
    fault_set (&decision->fault, turn->outcome.error, NULL, "the call ended with %s",
               error_name (turn->outcome.error));
  return true;
}

/* Whether program can take a further call of this reservation now. */
static bool
decide_limits (const struct LedgerProgram *program,
               uint64_t reservation_tokens,
               int64_t now_unix_ms,
               struct LedgerDecision *decision)
{
  const struct Record *created = &program->created;
  struct Fault *fault = &decision->fault;
  uint32_t n_flights = program_n_flights (program);

  decision->verdict = LEDGER_REFUSE;
  if (created->program.deadline_unix_ms != 0 && now_unix_ms >= created->program.deadline_unix_ms)
    {
      decision->end_reason = END_DEADLINE;
      fault_set (fault, ERROR_DEADLINE, "start a new program with a later deadline",
                 "the program's deadline has passed");
      return false;
    }
  if (created->program.turn_limit != 0
      && program->n_turns + n_flights >= created->program.turn_limit)
    {
      if (n_flights == 0)
        decision->end_reason = END_LOOPING;
      fault_set (fault, ERROR_BUDGET, "look for an endless loop, or raise the profile's turn limit",
                 "the program has used its %u turns", created->program.turn_limit);
      return false;
    }
  /* A sum that would overflow is larger than any budget: it is never formed. */
  if (reservation_tokens > program_remaining_tokens (program))
    {
      if (reservation_tokens > created->program.budget_tokens - program->charged_tokens)
        decision->end_reason = END_OVER_BUDGET;
      fault_set (fault, ERROR_BUDGET, NULL, "the call reserves %llu tokens and %llu are left",
                 (unsigned long long)reservation_tokens,
                 (unsigned long long)program_remaining_tokens (program));
      return false;
    }
  return true;
}

static void
fill_header (const struct LedgerProgram *program, enum RecordKind kind, struct Record *record)
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
  const struct LedgerFlight *flight = &branch->flight;

  fill_header (program, kind, record);
  memcpy (record->intent.key.program, program->created.program.program,
          sizeof record->intent.key.program);
  memcpy (record->intent.key.branch, branch->name, sizeof branch->name);
  record->intent.key.sequence = flight->sequence;
  memcpy (record->intent.digest, flight->digest, DIGEST_BYTES);
  record->intent.reserved_tokens = flight->reserved_tokens;
  record->intent.idempotent = flight->idempotent;
}

static void
start_flight (struct LedgerProgram *program,
              struct LedgerBranch *branch,
              const struct Call *call,
              uint64_t reservation_tokens,
              struct LedgerDecision *decision)
{
  struct LedgerFlight *flight = &branch->flight;

  flight->active = true;
  flight->sequence = call->key.sequence;
  flight->idempotent = call->idempotent;
  flight->reserved_tokens = reservation_tokens;
  memcpy (flight->digest, call->digest, DIGEST_BYTES);
  program->reserved_tokens += reservation_tokens;
  /* An idempotent call may go out unjournaled only when a home that takes over would still charge
   * for it: its program and branch are in the journal and its reservation is within the grant. */
  flight->intent_issued = !call->idempotent || program->pending || !branch->known
                          || reservation_tokens > program->created.program.grant_tokens;
  decision->verdict = flight->intent_issued ? LEDGER_JOURNAL_FIRST : LEDGER_RUN;
  if (flight->intent_issued)
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
      if (decide_seen (program, branch, call, decision))
        return;
    }
  if (program->ended || program->ending)
    {
      refuse (decision, ERROR_ENDED);
      fault_set (&decision->fault, ERROR_ENDED, NULL, "program %s has ended", call->key.program);
      return;
    }
  if (call->key.sequence != decision->expected_sequence
      || (branch != NULL && branch->flight.active))
    {
      refuse (decision, ERROR_OUT_OF_ORDER);
      fault_set (&decision->fault, ERROR_OUT_OF_ORDER, NULL, "expected sequence %llu on branch %s",
                 (unsigned long long)decision->expected_sequence, call->key.branch);
      return;
    }
  if (!decide_limits (program, reservation_tokens, now_unix_ms, decision))
    return;
  branch = program_need_branch (program, call->key.branch);
  if (branch == NULL)
    fault_set (&decision->fault, ERROR_NO_MEMORY, NULL, "no memory for branch %s",
               call->key.branch);
  else
    start_flight (program, branch, call, reservation_tokens, decision);
}

/* The branch whose call in flight is key and not yet closing, or NULL. */
static struct LedgerBranch *
find_open_flight (struct Ledger *ledger, const struct CallKey *key, struct LedgerProgram **program)
{
  struct LedgerBranch *branch;

  *program = ledger_find (ledger, key->program);
  if (*program == NULL)
    return NULL;
  branch = program_find_branch (*program, key->branch);
  if (branch == NULL || !branch->flight.active || branch->flight.closing
      || branch->flight.sequence != key->sequence)
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
  struct LedgerBranch *branch = find_open_flight (ledger, key, &program);

  *must_journal = false;
  if (branch == NULL)
    return ERROR_NOT_FOUND;
  if (!branch->flight.intent_applied)
    {
      program_clear_flight (program, branch);
      return ERROR_NONE;
    }
  *must_journal = true;
  branch->flight.closing = true;
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
  struct LedgerBranch *branch = find_open_flight (ledger, key, &program);
  struct LedgerFlight *flight;

  if (branch == NULL)
    return ERROR_NOT_FOUND;
  flight = &branch->flight;
  if (flight->intent_issued && !flight->intent_applied)
    return ERROR_INVALID;
  flight->closing = true;
  fill_header (program, RECORD_OUTCOME, record);
  record->outcome.key = *key;
  memcpy (record->outcome.digest, flight->digest, DIGEST_BYTES);
  record->outcome.idempotent = flight->idempotent;
  record->outcome.outcome = *outcome;
  /* An engine may answer longer than it was told to. The program pays what it agreed to: what is
   * charged beyond the reservation could exceed the budget. */
  if (record->outcome.outcome.charge_tokens > flight->reserved_tokens)
    record->outcome.outcome.charge_tokens = flight->reserved_tokens;
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
  fill_header (p, RECORD_END, record);
  snprintf (record->end.program, sizeof record->end.program, "%s", program);
  record->end.reason = reason;
  return ERROR_NONE;
}

bool
ledger_forget_program (struct Ledger *ledger, const char *program)
{
  struct LedgerProgram *p = ledger_find (ledger, program);

  if (p == NULL || !p->ended || p->n_held > 0 || program_n_flights (p) > 0)
    return false;
  ledger_remove (ledger, p);
  return true;
}

void
ledger_drop_partition (struct Ledger *ledger, uint32_t partition)
{
  struct LedgerProgram *program, *next;
  struct LedgerPartial *partial, *next_partial;

  HASH_ITER (hh, ledger->programs, program, next)
  {
    if (program->created.partition == partition)
      ledger_remove (ledger, program);
  }
  HASH_ITER (hh, ledger->partials, partial, next_partial)
  {
    if (partial->partition == partition)
      ledger_remove_partial (ledger, partial);
  }
}
