/* Program ledger: the order, history, budget and answers of the programs homed here.
 *
 * Pure: no I/O, no clock. A change is made in two steps: a verb below gives the record to write,
 * and ledger_apply takes it in once it is durable (or when it is replayed). Nothing may be told
 * to a caller before its record was applied. */
#pragma once

#include <buckthornhead/error.h>
#include <buckthornhead/record.h>

struct Ledger;

struct Ledger *
ledger_new (TALLOC_CTX *ctx);

enum LedgerVerdict
{
  LEDGER_RUN,           /* dispatch now */
  LEDGER_JOURNAL_FIRST, /* journal .record (an intent), apply it, then dispatch */
  LEDGER_JOIN,          /* the same call is in flight: wait for its outcome */
  LEDGER_STORED,        /* .stored is the answer */
  LEDGER_REFUSE         /* .fault; not run, unless .fault.error is ERROR_MAY_HAVE_RUN */
};

struct LedgerDecision
{
  enum LedgerVerdict verdict;
  struct Record record;
  const struct Outcome *stored; /* valid until the program is removed */
  uint64_t expected_sequence;
  struct Fault fault;
};

/* A new program. Gives the record to journal; the same id with the same digest again is
 * ERROR_NONE with *exists set, with another digest ERROR_CONFLICT. Fields of want are those of
 * RECORD_PROGRAM. */
int32_t
ledger_create_program (struct Ledger *ledger,
                       const struct Record *want,
                       bool *exists,
                       struct Fault *fault);

/* Decides on a call. On RUN and JOURNAL_FIRST the call counts as in flight and its reservation is
 * held until ledger_apply of its outcome or ledger_abandon_call. now_unix_ms is wall time. */
void
ledger_accept_call (struct Ledger *ledger,
                    const struct Call *call,
                    int64_t now_unix_ms,
                    struct LedgerDecision *decision);

/* The call in flight certainly did not run and will not: lifts its reservation, and its sequence
 * number may be used again. When an intent was journaled, *record (RECORD_NOT_SENT) must be made
 * durable and applied before the caller hears "not run"; *must_journal says so. */
int32_t
ledger_abandon_call (struct Ledger *ledger,
                     const struct CallKey *key,
                     struct Record *record,
                     bool *must_journal);

/* The call has ended: gives the record to journal. Pointers in outcome and request must stay
 * valid until the record was packed. The charge is capped at the reservation. ERROR_NOT_FOUND
 * for a call that is not in flight (late, or answered already). */
int32_t
ledger_end_call (struct Ledger *ledger,
                 const struct CallKey *key,
                 const struct Outcome *outcome,
                 const uint8_t *request,
                 size_t request_bytes,
                 struct Record *record);

/* Ends a program: gives the record. ERROR_ENDED when it has ended already. */
int32_t
ledger_end_program (struct Ledger *ledger,
                    const char *program,
                    enum EndReason reason,
                    struct Record *record);

/* Takes a durable or replayed record in. Copies what it keeps. Records of an older epoch than the
 * program's state are ignored. */
int32_t
ledger_apply (struct Ledger *ledger, const struct Record *record);

/* After a replay, once for a partition taken over: a program whose intent has no outcome gets
 * "may have run" for that call; each branch that may have had an idempotent call in flight is
 * charged one full reservation of reservation_tokens. Gives one record per program to journal. */
int32_t
ledger_adopt_partition (struct Ledger *ledger,
                        TALLOC_CTX *ctx,
                        uint32_t partition,
                        uint64_t epoch,
                        uint64_t reservation_tokens,
                        struct Record **records,
                        size_t *n_records);

/* Forgets a partition that was handed off or lost. */
void
ledger_drop_partition (struct Ledger *ledger, uint32_t partition);

/* What a program looks like to its caller and to operators. */
struct LedgerProgramView
{
  const char *program, *service, *parent;
  uint64_t budget_tokens, charged_tokens, reserved_tokens;
  int64_t created_unix_ms, deadline_unix_ms;
  uint32_t turns, turn_limit, in_flight;
  bool ended;
  enum EndReason end_reason;
  uint8_t history_digest[DIGEST_BYTES]; /* chain over all turns of all branches */
  uint32_t n_held_backends;             /* backend servers not yet released after the end */
};

bool
ledger_view_program (const struct Ledger *ledger,
                     const char *program,
                     struct LedgerProgramView *view);

/* Calls fn for each turn of a program in the order of their outcomes. */
typedef void (*LedgerTurnFn) (void *data,
                              const struct CallKey *key,
                              const struct Outcome *outcome,
                              const uint8_t *request,
                              size_t request_bytes);
int32_t
ledger_each_turn (const struct Ledger *ledger, const char *program, LedgerTurnFn fn, void *data);

/* Calls fn for each program; used by listings, snapshots and the sweep for deadlines. */
typedef void (*LedgerProgramFn) (void *data, const struct LedgerProgramView *view);
void
ledger_each_program (const struct Ledger *ledger, LedgerProgramFn fn, void *data);

/* Calls fn for each (program, backend server) whose memory is still to be released. */
typedef void (*LedgerHeldFn) (void *data, const char *program, const char *backend);
void
ledger_each_held (const struct Ledger *ledger, LedgerHeldFn fn, void *data);

/* Full state of one program for RECORD_SNAPSHOT; state belongs to ctx. */
int32_t
ledger_pack_program (const struct Ledger *ledger,
                     TALLOC_CTX *ctx,
                     const char *program,
                     uint8_t **state,
                     size_t *state_bytes);
