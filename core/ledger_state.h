/* State of the ledger, shared by its source files only. */
#pragma once

#include <buckthornhead/ledger.h>

#include <uthash.h>

/* The call that a branch has in flight. */
struct LedgerFlight
{
  bool active;
  bool closing;       /* its outcome or NOT_SENT was given out and is not applied yet */
  bool intent_issued; /* JOURNAL_FIRST */
  bool intent_applied;
  bool idempotent;
  uint64_t sequence;
  uint64_t reserved_tokens;
  uint8_t digest[DIGEST_BYTES];
};

struct LedgerTurn
{
  struct CallKey key;
  uint8_t digest[DIGEST_BYTES];
  bool idempotent;
  struct Outcome outcome;
  const uint8_t *request;
  size_t request_bytes;
};

struct LedgerBranch
{
  char name[NAME_MAX_BYTES + 1];
  uint64_t last_sequence;
  bool known; /* a replay will find this branch */
  struct LedgerFlight flight;
};

struct LedgerProgram
{
  struct Record created; /* RECORD_PROGRAM; its epoch is that of the newest record taken in */
  bool pending;          /* creation not applied yet */
  bool ending;           /* end given out, not applied yet */
  bool ended;
  enum EndReason end_reason;
  uint64_t charged_tokens, reserved_tokens;
  uint64_t cached_tokens; /* of the charge, since this home has the program: for the policy only */
  struct LedgerBranch **branches;
  size_t n_branches;
  struct LedgerTurn **turns; /* in the order of their outcomes */
  size_t n_turns;
  uint8_t history_digest[DIGEST_BYTES];
  char (*held)[NAME_MAX_BYTES + 1]; /* backend servers that served it */
  size_t n_held;
  UT_hash_handle hh;
};

/* A snapshot of which not all parts have come. */
struct LedgerPartial
{
  char program[PROGRAM_ID_MAX_BYTES + 1];
  uint32_t partition;
  uint32_t n_parts, next_part;
  uint64_t epoch;
  uint8_t *state;
  size_t state_bytes;
  UT_hash_handle hh;
};

struct Ledger
{
  struct LedgerProgram *programs;
  struct LedgerPartial *partials;
};

struct LedgerProgram *
ledger_find (const struct Ledger *ledger, const char *program);
struct LedgerProgram *
ledger_insert (struct Ledger *ledger, const struct Record *created);
void
ledger_remove (struct Ledger *ledger, struct LedgerProgram *program);
void
ledger_remove_partial (struct Ledger *ledger, struct LedgerPartial *partial);

struct LedgerBranch *
program_find_branch (const struct LedgerProgram *program, const char *name);
/* Finds or adds; NULL when out of memory. */
struct LedgerBranch *
program_need_branch (struct LedgerProgram *program, const char *name);
struct LedgerTurn *
program_find_turn (const struct LedgerProgram *program, const struct CallKey *key);
/* Copies turn to the end of the history and extends the digest chain. */
int32_t
program_add_turn (struct LedgerProgram *program, const struct LedgerTurn *turn);
/* Appends without touching the chain: for unpacking. */
int32_t
program_push_turn (struct LedgerProgram *program, const struct LedgerTurn *turn);
int32_t
program_hold (struct LedgerProgram *program, const char *backend);
void
program_release (struct LedgerProgram *program, const char *backend);
void
program_clear_flight (struct LedgerProgram *program, struct LedgerBranch *branch);
uint32_t
program_n_flights (const struct LedgerProgram *program);
uint64_t
program_remaining_tokens (const struct LedgerProgram *program);

/* Replaces the program by the packed state. */
int32_t
ledger_unpack_program (struct Ledger *ledger,
                       const uint8_t *state,
                       size_t state_bytes,
                       uint32_t partition,
                       uint64_t epoch);
/* Adds the snapshots of one program to a talloc array. */
int32_t
ledger_add_snapshots (const struct Ledger *ledger,
                      TALLOC_CTX *ctx,
                      const struct LedgerProgram *program,
                      struct Record **records,
                      size_t *n_records);
