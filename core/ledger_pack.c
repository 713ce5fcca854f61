#include "ledger_state.h"
#include "record_fields.h"

#include <stdio.h>
#include <string.h>

enum
{
  SNAPSHOT_VERSION = 1,
  SNAPSHOT_PART_BYTES = 256 * 1024 /* several parts fit into one slot */
};

static void
pack_program_fields (struct PackWriter *writer, const struct LedgerProgram *program)
{
  const struct Record *created = &program->created;

  pack_u64 (writer, SNAPSHOT_VERSION);
  pack_string (writer, created->program.program);
  pack_string (writer, created->program.service);
  pack_string (writer, created->program.parent);
  pack_u64 (writer, created->program.budget_tokens);
  pack_i64 (writer, created->program.created_unix_ms);
  pack_i64 (writer, created->program.deadline_unix_ms);
  pack_u64 (writer, created->program.turn_limit);
  pack_u64 (writer, created->program.grant_tokens);
  pack_bytes (writer, created->program.create_digest, DIGEST_BYTES);
  pack_u64 (writer, program->charged_tokens);
  pack_u64 (writer, program->ended ? program->end_reason : 0);
  pack_bytes (writer, program->history_digest, DIGEST_BYTES);
}

static void
unpack_program_fields (struct PackReader *reader, struct LedgerProgram *program)
{
  struct Record *created = &program->created;

  if (read_u64 (reader, SNAPSHOT_VERSION) != SNAPSHOT_VERSION)
    reader->failed = true;
  created->kind = RECORD_PROGRAM;
  read_string (reader, created->program.program, sizeof created->program.program);
  read_string (reader, created->program.service, sizeof created->program.service);
  read_string (reader, created->program.parent, sizeof created->program.parent);
  created->program.budget_tokens = read_u64 (reader, UINT64_MAX);
  created->program.created_unix_ms = read_i64 (reader);
  created->program.deadline_unix_ms = read_i64 (reader);
  created->program.turn_limit = (uint32_t)read_u64 (reader, UINT32_MAX);
  created->program.grant_tokens = read_u64 (reader, UINT64_MAX);
  read_fixed (reader, created->program.create_digest, DIGEST_BYTES);
  program->charged_tokens = read_u64 (reader, created->program.budget_tokens);
  program->end_reason = (enum EndReason)read_u64 (reader, END_CALLER_DISCONNECTED);
  program->ended = program->end_reason != 0;
  read_fixed (reader, program->history_digest, DIGEST_BYTES);
}

/* Omits a call in flight without an applied intent, which a replay could not restore either. */
static void
pack_branch (struct PackWriter *writer, const struct LedgerBranch *branch)
{
  const struct LedgerInFlight *in_flight = &branch->in_flight;
  bool has_intent = in_flight->active && in_flight->intent_applied;

  pack_array (writer, has_intent ? 6 : 3);
  pack_string (writer, branch->name);
  pack_u64 (writer, branch->last_sequence);
  pack_bool (writer, branch->journaled);
  if (!has_intent)
    return;
  pack_bytes (writer, in_flight->digest, DIGEST_BYTES);
  pack_u64 (writer, in_flight->reserved_tokens);
  pack_bool (writer, in_flight->idempotent);
}

static void
unpack_branch (struct PackReader *reader, struct LedgerProgram *program)
{
  struct PackReader fields;
  struct LedgerBranch *branch;
  char name[NAME_MAX_BYTES + 1];

  read_array (reader, &fields);
  read_string (&fields, name, sizeof name);
  branch = program_get_or_add_branch (program, name);
  if (branch == NULL)
    {
      reader->failed = true;
      return;
    }
  branch->last_sequence = read_u64 (&fields, UINT64_MAX);
  branch->journaled = read_bool (&fields);
  if (fields.n_items > 3)
    {
      struct LedgerInFlight *in_flight = &branch->in_flight;

      in_flight->active = true;
      in_flight->intent_issued = true;
      in_flight->intent_applied = true;
      in_flight->sequence = branch->last_sequence + 1;
      read_fixed (&fields, in_flight->digest, DIGEST_BYTES);
      in_flight->reserved_tokens = read_u64 (&fields, program_remaining_tokens (program));
      in_flight->idempotent = read_bool (&fields);
      program->reserved_tokens += in_flight->reserved_tokens;
    }
  if (read_end (&fields) != ERROR_NONE)
    reader->failed = true;
}

static void
pack_turn (struct PackWriter *writer, const struct LedgerTurn *turn)
{
  pack_array (writer, 12);
  pack_string (writer, turn->key.branch);
  pack_u64 (writer, turn->key.sequence);
  pack_bytes (writer, turn->digest, DIGEST_BYTES);
  pack_bool (writer, turn->idempotent);
  outcome_pack (writer, &turn->outcome);
  pack_bytes (writer, turn->request, turn->request_bytes);
}

static void
unpack_turn (struct PackReader *reader, struct LedgerProgram *program)
{
  struct PackReader fields;
  struct LedgerTurn turn = { 0 };
  TALLOC_CTX *scratch = talloc_new (program);

  read_array (reader, &fields);
  memcpy (turn.key.program, program->created.program.program, sizeof turn.key.program);
  read_string (&fields, turn.key.branch, sizeof turn.key.branch);
  turn.key.sequence = read_u64 (&fields, UINT64_MAX);
  read_fixed (&fields, turn.digest, DIGEST_BYTES);
  turn.idempotent = read_bool (&fields);
  outcome_read (&fields, scratch, &turn.outcome);
  turn.request = read_bytes (&fields, scratch, &turn.request_bytes);
  if (read_end (&fields) != ERROR_NONE || program_append_turn (program, &turn) != ERROR_NONE)
    reader->failed = true;
  talloc_free (scratch);
}

static void
unpack_holder (struct PackReader *reader, struct LedgerProgram *program)
{
  char backend[NAME_MAX_BYTES + 1];

  read_string (reader, backend, sizeof backend);
  if (program_add_holder (program, backend) != ERROR_NONE)
    reader->failed = true;
}

static void
unpack_list (struct PackReader *reader,
             struct LedgerProgram *program,
             void (*unpack) (struct PackReader *, struct LedgerProgram *))
{
  struct PackReader items;

  read_array (reader, &items);
  while (!items.failed && items.at < items.n_items)
    unpack (&items, program);
  if (read_end (&items) != ERROR_NONE)
    reader->failed = true;
}

static int32_t
pack_program (const struct LedgerProgram *program,
              TALLOC_CTX *ctx,
              uint8_t **state,
              size_t *state_bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  pack_array (writer, 16);
  pack_program_fields (writer, program);
  pack_array (writer, program->n_branches);
  for (size_t i = 0; i < program->n_branches; i++)
    pack_branch (writer, program->branches[i]);
  pack_array (writer, program->n_turns);
  for (size_t i = 0; i < program->n_turns; i++)
    pack_turn (writer, program->turns[i]);
  pack_array (writer, program->n_holders);
  for (size_t i = 0; i < program->n_holders; i++)
    pack_string (writer, program->holders[i]);
  return pack_finish (writer, ctx, state, state_bytes);
}

int32_t
ledger_pack_program (const struct Ledger *ledger,
                     TALLOC_CTX *ctx,
                     const char *program,
                     uint8_t **state,
                     size_t *state_bytes)
{
  const struct LedgerProgram *p = ledger_find (ledger, program);

  return p != NULL ? pack_program (p, ctx, state, state_bytes) : ERROR_NOT_FOUND;
}

int32_t
ledger_unpack_program (struct Ledger *ledger,
                       const uint8_t *state,
                       size_t state_bytes,
                       uint32_t partition,
                       uint64_t epoch)
{
  struct LedgerProgram *program = talloc_zero (ledger, struct LedgerProgram);
  struct LedgerProgram *previous;
  struct PackReader reader;
  void *document;

  if (program == NULL)
    return ERROR_NO_MEMORY;
  document = pack_open (program, state, state_bytes, &reader);
  unpack_program_fields (&reader, program);
  unpack_list (&reader, program, unpack_branch);
  unpack_list (&reader, program, unpack_turn);
  unpack_list (&reader, program, unpack_holder);
  if (document == NULL || read_end (&reader) != ERROR_NONE)
    {
      talloc_free (program);
      return ERROR_INVALID;
    }
  talloc_free (document);
  program->created.partition = partition;
  program->created.epoch = epoch;
  previous = ledger_find (ledger, program->created.program.program);
  if (previous != NULL)
    ledger_remove (ledger, previous);
  HASH_ADD_STR (ledger->programs, created.program.program, program);
  return ERROR_NONE;
}

int32_t
ledger_add_snapshots (const struct Ledger *ledger,
                      TALLOC_CTX *ctx,
                      const struct LedgerProgram *program,
                      struct Record **records,
                      size_t *n_records)
{
  struct Record *resized;
  uint8_t *state;
  size_t state_bytes;
  uint32_t n_parts;
  int32_t error = pack_program (program, ctx, &state, &state_bytes);

  (void)ledger;
  if (error != ERROR_NONE)
    return error;
  n_parts = (uint32_t)((state_bytes + SNAPSHOT_PART_BYTES - 1) / SNAPSHOT_PART_BYTES);
  resized = talloc_realloc (ctx, *records, struct Record, *n_records + n_parts);
  if (resized == NULL)
    return ERROR_NO_MEMORY;
  *records = resized;
  for (uint32_t part = 0; part < n_parts; part++)
    {
      struct Record *record = &resized[(*n_records)++];
      size_t at = (size_t)part * SNAPSHOT_PART_BYTES;
      size_t left = state_bytes - at;

      memset (record, 0, sizeof *record);
      record->kind = RECORD_SNAPSHOT;
      record->partition = program->created.partition;
      record->epoch = program->created.epoch;
      memcpy (record->snapshot.program, program->created.program.program,
              sizeof record->snapshot.program);
      record->snapshot.part = part;
      record->snapshot.n_parts = n_parts;
      record->snapshot.state = state + at;
      record->snapshot.state_bytes = left < SNAPSHOT_PART_BYTES ? left : SNAPSHOT_PART_BYTES;
    }
  return ERROR_NONE;
}

int32_t
ledger_snapshot_partition (const struct Ledger *ledger,
                           TALLOC_CTX *ctx,
                           uint32_t partition,
                           struct Record **records,
                           size_t *n_records)
{
  struct LedgerProgram *program, *next;
  int32_t error = ERROR_NONE;

  *records = NULL;
  *n_records = 0;
  HASH_ITER (hh, ledger->programs, program, next)
  {
    if (program->created.partition != partition || program->pending)
      continue;
    error = ledger_add_snapshots (ledger, ctx, program, records, n_records);
    if (error != ERROR_NONE)
      return error;
  }
  return ERROR_NONE;
}
