/* Journal records, which a home writes before it acts on them, and their serialization.
 *
 * A journal slot is one value in the platform's key-value service: a msgpack array of version,
 * kind, the writer's incarnation, batch id, the oldest slot that a replay needs, and records. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum RecordKind
{
  RECORD_PROGRAM = 1,  /* a program was created */
  RECORD_INTENT = 2,   /* a call is about to be sent; see grant_tokens */
  RECORD_OUTCOME = 3,  /* a call has ended; its outcome */
  RECORD_END = 4,      /* a program has ended */
  RECORD_RELEASED = 5, /* a backend server has freed its memory for an ended program */
  RECORD_SNAPSHOT = 6, /* the complete state of one program (adoption, checkpoint) */
  RECORD_HANDOFF = 7,  /* planned: the writer no longer serves this partition */
  RECORD_NOT_SENT = 8, /* the call of an intent was not sent and will not be */
  RECORD_HELD = 9      /* a dispatch failed: its server may hold memory but is in no outcome */
};

enum EndReason
{
  END_DONE = 1,
  END_CANCELLED = 2,
  END_OVER_BUDGET = 3,
  END_DEADLINE = 4,
  END_TURN_LIMIT = 5,
  END_CALLER_DISCONNECTED = 6
};

/* Every record contains its partition and the epoch under which its writer owned the partition. A
 * replay orders records by (epoch, slot, index), and a writer uses only epochs that it owns. */
struct Record
{
  enum RecordKind kind;
  uint32_t partition;
  uint64_t epoch;
  union
  {
    struct
    {
      char program[PROGRAM_ID_MAX_BYTES + 1];
      char service[NAME_MAX_BYTES + 1];
      char parent[PROGRAM_ID_MAX_BYTES + 1]; /* "" for none */
      uint64_t budget_tokens;
      int64_t created_unix_ms;
      int64_t deadline_unix_ms; /* 0: none */
      uint32_t turn_limit;      /* 0: none */
      /* Maximum reservation of an idempotent call on a journaled branch that needs no intent. Each
       * branch is charged this amount when its home fails. 0: every call needs an intent. */
      uint64_t grant_tokens;
      uint8_t create_digest[DIGEST_BYTES];
    } program;
    struct
    {
      struct CallKey key;
      uint8_t digest[DIGEST_BYTES];
      uint64_t reserved_tokens;
      bool idempotent; /* may be sent again; journaled only to account for its budget */
    } intent;          /* and not_sent */
    struct
    {
      struct CallKey key;
      uint8_t digest[DIGEST_BYTES];
      struct Outcome outcome;
      const uint8_t *request; /* what this turn adds to the history */
      size_t request_bytes;
      bool idempotent;
    } outcome;
    struct
    {
      char program[PROGRAM_ID_MAX_BYTES + 1];
      enum EndReason reason;
    } end;
    struct
    {
      char program[PROGRAM_ID_MAX_BYTES + 1];
      char backend[NAME_MAX_BYTES + 1];
    } released; /* and held */
    struct
    {
      char program[PROGRAM_ID_MAX_BYTES + 1];
      /* Part of the result of ledger_pack_program, which is split to fit into slots. The last part
       * replaces the program's state. */
      uint32_t part, n_parts;
      const uint8_t *state;
      size_t state_bytes;
    } snapshot;
  };
};

enum SlotKind
{
  SLOT_RECORDS = 1,
  SLOT_SEAL = 2
};

struct Slot
{
  enum SlotKind kind;
  char writer[NAME_MAX_BYTES + 24]; /* incarnation that wrote it; for a seal, the sealer */
  uint64_t batch_id;                /* unique per writer */
  uint64_t replay_from; /* oldest slot that a replay needs; in a seal: the seal's own number once
                           no earlier slot is needed, else 0 */
  struct Record *records;
  size_t n_records;
};

/* A record as packed by record_pack. */
struct PackedRecord
{
  const uint8_t *bytes;
  size_t n_bytes;
};

enum
{
  SLOT_HEADER_MAX_BYTES = 256 /* size limit of a packed slot without its records */
};

/* Packs one record into a new talloc array of *bytes. */
int32_t
record_pack (TALLOC_CTX *ctx, const struct Record *record, uint8_t **packed, size_t *bytes);

/* Packs slot with the given packed records instead of slot->records. */
int32_t
slot_pack_records (TALLOC_CTX *ctx,
                   const struct Slot *slot,
                   const struct PackedRecord *records,
                   size_t n_records,
                   uint8_t **packed,
                   size_t *bytes);

/* Packs slot into a new talloc array of *bytes. */
int32_t
slot_pack (TALLOC_CTX *ctx, const struct Slot *slot, uint8_t **packed, size_t *bytes);

/* Unpacks a slot, allocated on ctx. Returns ERROR_INVALID if the input is malformed. */
int32_t
slot_unpack (TALLOC_CTX *ctx, const uint8_t *packed, size_t bytes, struct Slot **slot);

/* Returns the size of record in a slot, for filling slots up to KV_VALUE_MAX_BYTES. */
size_t
record_packed_bytes (const struct Record *record);
