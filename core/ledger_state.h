/* Internal state of the ledger. */
#pragma once

#include <buckthornhead/ledger.h>

#include <uthash.h>

/* The call that is in flight on a branch. */
struct LedgerInFlight
{
  bool active;
  bool closing;       /* its outcome or NOT_SENT record was issued and is not applied yet */
  bool intent_issued; /* the verdict was LEDGER_JOURNAL_FIRST */
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
  bool journaled; /* a replay recreates this branch */
  struct LedgerInFlight in_flight;
};

struct LedgerProgram
{
  struct Record created; /* RECORD_PROGRAM, with the epoch of the last applied record */
  bool pending;          /* its creation is not applied yet */
  bool ending;           /* its end was issued and is not applied yet */
  bool ended;
  enum EndReason end_reason;
  uint64_t charged_tokens, reserved_tokens;
  uint64_t cached_tokens; /* of the charges that this home applied; used only by the policy */
  struct LedgerBranch **branches;
  size_t n_branches;
  struct LedgerTurn **turns; /* in the order in which their outcomes were applied */
  size_t n_turns;
  uint8_t history_digest[DIGEST_BYTES];
  char (*holders)[NAME_MAX_BYTES + 1]; /* backend servers that may hold memory for it */
  size_t n_holders;
  UT_hash_handle hh;
};

/* A snapshot of which some parts are missing. */
struct LedgerPartialSnapshot
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
  struct LedgerPartialSnapshot *partial_snapshots;
};

struct LedgerProgram *
ledger_find (const struct Ledger *ledger, const char *program);
struct LedgerProgram *
ledger_insert (struct Ledger *ledger, const struct Record *created);
void
ledger_remove (struct Ledger *ledger, struct LedgerProgram *program);
void
ledger_remove_partial_snapshot (struct Ledger *ledger, struct LedgerPartialSnapshot *partial);

struct LedgerBranch *
program_find_branch (const struct LedgerProgram *program, const char *name);
/* Finds or adds the branch. Returns NULL when out of memory. */
struct LedgerBranch *
program_get_or_add_branch (struct LedgerProgram *program, const char *name);
struct LedgerTurn *
program_find_turn (const struct LedgerProgram *program, const struct CallKey *key);
/* Appends a copy of turn to the history and extends the digest chain. */
int32_t
program_add_turn (struct LedgerProgram *program, const struct LedgerTurn *turn);
/* Like program_add_turn, but without extending the digest chain. Used by unpacking. */
int32_t
program_append_turn (struct LedgerProgram *program, const struct LedgerTurn *turn);
int32_t
program_add_holder (struct LedgerProgram *program, const char *backend);
void
program_remove_holder (struct LedgerProgram *program, const char *backend);
void
program_clear_in_flight (struct LedgerProgram *program, struct LedgerBranch *branch);
uint32_t
program_n_in_flight (const struct LedgerProgram *program);
uint64_t
program_remaining_tokens (const struct LedgerProgram *program);

/* Replaces or adds the program contained in the packed state. */
int32_t
ledger_unpack_program (struct Ledger *ledger,
                       const uint8_t *state,
                       size_t state_bytes,
                       uint32_t partition,
                       uint64_t epoch);
/* Appends the RECORD_SNAPSHOTs of one program to a talloc array. */
int32_t
ledger_add_snapshots (const struct Ledger *ledger,
                      TALLOC_CTX *ctx,
                      const struct LedgerProgram *program,
                      struct Record **records,
                      size_t *n_records);
