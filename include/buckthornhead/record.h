/* Journal records: what a home writes down before it acts, and how it is packed.
 *
 * A slot of the journal is one value in the platform's key-value service: a msgpack array with a
 * version, the writer's incarnation, a batch id, the oldest slot a replay needs, and the records.
 */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum RecordKind
{
  RECORD_PROGRAM = 1,  /* a program was created */
  RECORD_INTENT = 2,   /* a non-idempotent call is about to be sent */
  RECORD_OUTCOME = 3,  /* a call has ended; its answer */
  RECORD_END = 4,      /* a program has ended */
  RECORD_RELEASED = 5, /* a backend server no longer holds memory for an ended program */
  RECORD_SNAPSHOT = 6, /* the whole state of one program (adoption, checkpoint) */
  RECORD_HANDOFF = 7,  /* planned: the writer serves this partition no more */
  RECORD_NOT_SENT = 8, /* an intent that was never sent and never will be */
  RECORD_HELD = 9      /* a dispatch broke: the server may hold memory that no outcome tells of */
};

enum EndReason
{
  END_DONE = 1,
  END_CANCELLED = 2,
  END_OVER_BUDGET = 3,
  END_DEADLINE = 4,
  END_LOOPING = 5,
  END_CALLER_GONE = 6
};

/* Every record carries its partition and the epoch under which its writer owned it: a replay
 * orders records by (epoch, slot, index), and a writer only ever uses epochs it holds. */
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
      /* Largest reservation that an idempotent call on a known branch may take without a journaled
       * intent; what each branch is charged when a home dies. 0: each call is journaled first. */
      uint64_t grant_tokens;
      uint8_t create_digest[DIGEST_BYTES];
    } program;
    struct
    {
      struct CallKey key;
      uint8_t digest[DIGEST_BYTES];
      uint64_t reserved_tokens;
      bool idempotent; /* may be sent again: journaled for the budget's sake only */
    } intent;          /* and not_sent */
    struct
    {
      struct CallKey key;
      uint8_t digest[DIGEST_BYTES];
      struct Outcome outcome;
      const uint8_t *request; /* what this turn added to the history */
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
      /* ledger_pack_program's bytes, cut to parts that fit into slots; the program's state is
       * replaced when the last of its parts has come. */
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
  char writer[NAME_MAX_BYTES + 24]; /* incarnation that wrote it (the taker, for a seal) */
  uint64_t batch_id;                /* unique for its writer */
  uint64_t replay_from; /* oldest slot that a replay needs; in a seal: its own number once
                           nothing before it counts any more, else 0 */
  struct Record *records;
  size_t n_records;
};

/* A record as record_pack packed it. */
struct PackedRecord
{
  const uint8_t *bytes;
  size_t n_bytes;
};

enum
{
  SLOT_HEADER_MAX_BYTES = 256 /* all of a slot but its records */
};

/* Packs one record into a new talloc array of *bytes. */
int32_t
record_pack (TALLOC_CTX *ctx, const struct Record *record, uint8_t **packed, size_t *bytes);

/* Packs slot, with the given packed records in place of its own. */
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

/* Unpacks; all pointers in the result belong to ctx. ERROR_INVALID on any malformed input. */
int32_t
slot_unpack (TALLOC_CTX *ctx, const uint8_t *packed, size_t bytes, struct Slot **slot);

/* Bytes that record will take in a slot, to fill slots up to KV_VALUE_MAX_BYTES. */
size_t
record_packed_bytes (const struct Record *record);
