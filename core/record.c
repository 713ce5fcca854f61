#include "record_fields.h"

#include <buckthornhead/error.h>
#include <buckthornhead/pack.h>
#include <buckthornhead/record.h>

enum
{
  SLOT_VERSION = 1
};

static void
key_pack (struct PackWriter *writer, const struct CallKey *key)
{
  pack_string (writer, key->program);
  pack_string (writer, key->branch);
  pack_u64 (writer, key->sequence);
}

static void
key_read (struct PackReader *reader, struct CallKey *key)
{
  read_string (reader, key->program, sizeof key->program);
  read_string (reader, key->branch, sizeof key->branch);
  key->sequence = read_u64 (reader, UINT64_MAX);
}

void
outcome_pack (struct PackWriter *writer, const struct Outcome *outcome)
{
  pack_i64 (writer, outcome->error);
  pack_u64 (writer, outcome->ran);
  pack_u64 (writer, outcome->status);
  pack_u64 (writer, outcome->charge_tokens);
  pack_u64 (writer, outcome->cached_tokens);
  pack_string (writer, outcome->backend);
  pack_bytes (writer, outcome->response, outcome->response_bytes);
}

void
outcome_read (struct PackReader *reader, TALLOC_CTX *ctx, struct Outcome *outcome)
{
  int64_t error = read_i64 (reader);

  if (error > ERROR_NONE || error < INT32_MIN)
    reader->failed = true;
  outcome->error = (int32_t)error;
  outcome->ran = (enum RanState)read_u64 (reader, RAN_MAYBE);
  outcome->status = (uint32_t)read_u64 (reader, UINT32_MAX);
  outcome->charge_tokens = read_u64 (reader, UINT64_MAX);
  outcome->cached_tokens = (uint32_t)read_u64 (reader, UINT32_MAX);
  read_string (reader, outcome->backend, sizeof outcome->backend);
  outcome->response = read_bytes (reader, ctx, &outcome->response_bytes);
}

static size_t
record_n_fields (enum RecordKind kind)
{
  switch (kind)
    {
    case RECORD_PROGRAM:
      return 12;
    case RECORD_INTENT:
    case RECORD_NOT_SENT:
      return 9;
    case RECORD_OUTCOME:
      return 16;
    case RECORD_END:
    case RECORD_RELEASED:
    case RECORD_HELD:
      return 5;
    case RECORD_SNAPSHOT:
      return 7;
    case RECORD_HANDOFF:
      return 3;
    }
  return 0;
}

static void
record_write (struct PackWriter *writer, const struct Record *record)
{
  pack_array (writer, record_n_fields (record->kind));
  pack_u64 (writer, record->kind);
  pack_u64 (writer, record->partition);
  pack_u64 (writer, record->epoch);
  switch (record->kind)
    {
    case RECORD_PROGRAM:
      pack_string (writer, record->program.program);
      pack_string (writer, record->program.service);
      pack_string (writer, record->program.parent);
      pack_u64 (writer, record->program.budget_tokens);
      pack_i64 (writer, record->program.created_unix_ms);
      pack_i64 (writer, record->program.deadline_unix_ms);
      pack_u64 (writer, record->program.turn_limit);
      pack_u64 (writer, record->program.grant_tokens);
      pack_bytes (writer, record->program.create_digest, DIGEST_BYTES);
      break;
    case RECORD_INTENT:
    case RECORD_NOT_SENT:
      key_pack (writer, &record->intent.key);
      pack_bytes (writer, record->intent.digest, DIGEST_BYTES);
      pack_u64 (writer, record->intent.reserved_tokens);
      pack_bool (writer, record->intent.idempotent);
      break;
    case RECORD_OUTCOME:
      key_pack (writer, &record->outcome.key);
      pack_bytes (writer, record->outcome.digest, DIGEST_BYTES);
      outcome_pack (writer, &record->outcome.outcome);
      pack_bytes (writer, record->outcome.request, record->outcome.request_bytes);
      pack_bool (writer, record->outcome.idempotent);
      break;
    case RECORD_END:
      pack_string (writer, record->end.program);
      pack_u64 (writer, record->end.reason);
      break;
    case RECORD_RELEASED:
    case RECORD_HELD:
      pack_string (writer, record->released.program);
      pack_string (writer, record->released.backend);
      break;
    case RECORD_SNAPSHOT:
      pack_string (writer, record->snapshot.program);
      pack_u64 (writer, record->snapshot.part);
      pack_u64 (writer, record->snapshot.n_parts);
      pack_bytes (writer, record->snapshot.state, record->snapshot.state_bytes);
      break;
    case RECORD_HANDOFF:
      break;
    }
}

static void
record_read_program (struct PackReader *fields, struct Record *record)
{
  read_string (fields, record->program.program, sizeof record->program.program);
  read_string (fields, record->program.service, sizeof record->program.service);
  read_string (fields, record->program.parent, sizeof record->program.parent);
  record->program.budget_tokens = read_u64 (fields, UINT64_MAX);
  record->program.created_unix_ms = read_i64 (fields);
  record->program.deadline_unix_ms = read_i64 (fields);
  record->program.turn_limit = (uint32_t)read_u64 (fields, UINT32_MAX);
  record->program.grant_tokens = read_u64 (fields, UINT64_MAX);
  read_fixed (fields, record->program.create_digest, DIGEST_BYTES);
}

static void
record_read (struct PackReader *reader, TALLOC_CTX *ctx, struct Record *record)
{
  struct PackReader fields;

  read_array (reader, &fields);
  record->kind = (enum RecordKind)read_u64 (&fields, RECORD_HELD);
  record->partition = (uint32_t)read_u64 (&fields, UINT32_MAX);
  record->epoch = read_u64 (&fields, UINT64_MAX);
  switch (record->kind)
    {
    case RECORD_PROGRAM:
      record_read_program (&fields, record);
      break;
    case RECORD_INTENT:
    case RECORD_NOT_SENT:
      key_read (&fields, &record->intent.key);
      read_fixed (&fields, record->intent.digest, DIGEST_BYTES);
      record->intent.reserved_tokens = read_u64 (&fields, UINT64_MAX);
      record->intent.idempotent = read_bool (&fields);
      break;
    case RECORD_OUTCOME:
      key_read (&fields, &record->outcome.key);
      read_fixed (&fields, record->outcome.digest, DIGEST_BYTES);
      outcome_read (&fields, ctx, &record->outcome.outcome);
      record->outcome.request = read_bytes (&fields, ctx, &record->outcome.request_bytes);
      record->outcome.idempotent = read_bool (&fields);
      break;
    case RECORD_END:
      read_string (&fields, record->end.program, sizeof record->end.program);
      record->end.reason = (enum EndReason)read_u64 (&fields, END_CALLER_DISCONNECTED);
      if (record->end.reason < END_DONE)
        fields.failed = true;
      break;
    case RECORD_RELEASED:
    case RECORD_HELD:
      read_string (&fields, record->released.program, sizeof record->released.program);
      read_string (&fields, record->released.backend, sizeof record->released.backend);
      break;
    case RECORD_SNAPSHOT:
      read_string (&fields, record->snapshot.program, sizeof record->snapshot.program);
      record->snapshot.part = (uint32_t)read_u64 (&fields, UINT32_MAX);
      record->snapshot.n_parts = (uint32_t)read_u64 (&fields, UINT32_MAX);
      record->snapshot.state = read_bytes (&fields, ctx, &record->snapshot.state_bytes);
      break;
    case RECORD_HANDOFF:
      break;
    default:
      fields.failed = true;
    }
  if (read_end (&fields) != ERROR_NONE)
    reader->failed = true;
}

int32_t
record_pack (TALLOC_CTX *ctx, const struct Record *record, uint8_t **packed, size_t *bytes)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  record_write (writer, record);
  return pack_finish (writer, ctx, packed, bytes);
}

size_t
record_packed_bytes (const struct Record *record)
{
  struct PackWriter *writer = pack_writer_new (NULL, true);
  size_t bytes;

  if (writer == NULL)
    return SIZE_MAX;
  record_write (writer, record);
  bytes = writer->n_bytes;
  talloc_free (writer);
  return bytes;
}

static struct PackWriter *
slot_pack_header (TALLOC_CTX *ctx, const struct Slot *slot, size_t n_records)
{
  struct PackWriter *writer = pack_writer_new (ctx, false);

  if (writer == NULL)
    return NULL;
  pack_array (writer, 6);
  pack_u64 (writer, SLOT_VERSION);
  pack_u64 (writer, slot->kind);
  pack_string (writer, slot->writer);
  pack_u64 (writer, slot->batch_id);
  pack_u64 (writer, slot->replay_from);
  pack_array (writer, n_records);
  return writer;
}

int32_t
slot_pack (TALLOC_CTX *ctx, const struct Slot *slot, uint8_t **packed, size_t *bytes)
{
  struct PackWriter *writer = slot_pack_header (ctx, slot, slot->n_records);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  for (size_t i = 0; i < slot->n_records; i++)
    record_write (writer, &slot->records[i]);
  return pack_finish (writer, ctx, packed, bytes);
}

int32_t
slot_pack_records (TALLOC_CTX *ctx,
                   const struct Slot *slot,
                   const struct PackedRecord *records,
                   size_t n_records,
                   uint8_t **packed,
                   size_t *bytes)
{
  struct PackWriter *writer = slot_pack_header (ctx, slot, n_records);

  if (writer == NULL)
    return ERROR_NO_MEMORY;
  for (size_t i = 0; i < n_records; i++)
    pack_raw (writer, records[i].bytes, records[i].n_bytes);
  return pack_finish (writer, ctx, packed, bytes);
}

int32_t
slot_unpack (TALLOC_CTX *ctx, const uint8_t *packed, size_t bytes, struct Slot **slot)
{
  struct PackReader reader, records;
  struct Slot *s = talloc_zero (ctx, struct Slot);
  void *document = NULL;
  int32_t error = ERROR_NO_MEMORY;

  if (s == NULL)
    return ERROR_NO_MEMORY;
  document = pack_open (s, packed, bytes, &reader);
  if (read_u64 (&reader, SLOT_VERSION) != SLOT_VERSION)
    reader.failed = true;
  s->kind = (enum SlotKind)read_u64 (&reader, SLOT_SEAL);
  if (s->kind < SLOT_RECORDS)
    reader.failed = true;
  read_string (&reader, s->writer, sizeof s->writer);
  s->batch_id = read_u64 (&reader, UINT64_MAX);
  s->replay_from = read_u64 (&reader, UINT64_MAX);
  read_array (&reader, &records);
  s->n_records = records.n_items;
  s->records = talloc_zero_array (s, struct Record, records.n_items);
  if (s->records == NULL)
    goto out;
  while (!records.failed && records.at < records.n_items)
    record_read (&records, s, &s->records[records.at]);
  error = read_end (&reader) == ERROR_NONE ? read_end (&records) : ERROR_INVALID;
out:
  talloc_free (document);
  if (error == ERROR_NONE)
    *slot = s;
  else
    talloc_free (s);
  return error;
}
