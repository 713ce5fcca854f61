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
  LEDGER_STORED,        /* .stored is the answer; its error may be ERROR_MAY_HAVE_RUN */
  LEDGER_REFUSE         /* .fault; this request did not run */
};

struct LedgerDecision
{
  enum LedgerVerdict verdict;
  struct Record record;
  const struct Outcome *stored; /* valid until the program is removed */
  uint64_t expected_sequence;
  enum EndReason end_reason; /* 0, or why the daemon should now end the program */
  struct Fault fault;
};

/* A backend server's name that stands for each that may hold memory of an adopted program: the
 * call in flight when its home died may have been at any of them. */
#define LEDGER_ANY_BACKEND "*"

/* A new program. Gives the record to journal; the same id with the same digest again is
 * ERROR_NONE with *exists set, with another digest ERROR_CONFLICT. want is the whole RECORD_PROGRAM
 * with partition and epoch, and is what to journal. Calls may be accepted before that is durable:
 * their records stand behind it. */
int32_t
ledger_create_program (struct Ledger *ledger,
                       const struct Record *want,
                       bool *exists,
                       struct Fault *fault);

/* The creation was given up before any attempt to journal it. */
void
ledger_abandon_program (struct Ledger *ledger, const char *program);

/* Decides on a call. On RUN and JOURNAL_FIRST the call counts as in flight and its reservation is
 * held until ledger_apply of its outcome or ledger_abandon_call. now_unix_ms is wall time. */
void
ledger_accept_call (struct Ledger *ledger,
                    const struct Call *call,
                    int64_t now_unix_ms,
                    struct LedgerDecision *decision);

/* The call in flight certainly did not run and will not: lifts its reservation, and its sequence
 * number may be used again. When its intent was applied, *record (RECORD_NOT_SENT) must be made
 * durable and applied before the caller hears "not run"; *must_journal says so. Only to be called
 * once the journal has answered for the intent: one that still waits there may yet be written. */
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

/* After a replay, once for a partition taken over: a non-idempotent intent without outcome gets
 * "may have run"; each branch that may have had an idempotent call in flight is charged that
 * call's full reservation when it was journaled, else the program's grant_tokens. Gives the
 * snapshots to journal. After a hand-off (planned) nothing was in flight and nothing is charged. */
int32_t
ledger_adopt_partition (struct Ledger *ledger,
                        TALLOC_CTX *ctx,
                        uint32_t partition,
                        uint64_t epoch,
                        bool planned,
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
  uint64_t cached_tokens; /* part of the charge that engines had cached, as far as known here */
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

/* True while a call of partition is in flight or its outcome is not applied yet. */
bool
ledger_partition_is_busy (const struct Ledger *ledger, uint32_t partition);

/* Forgets an ended program that holds no memory at any backend server; a resend of its calls then
 * finds nothing. False when it is not there or may not be forgotten. */
bool
ledger_forget_program (struct Ledger *ledger, const char *program);

/* RECORD_SNAPSHOTs of every program of partition as applied so far, to journal ahead of all that
 * waits. The writer does not apply them. */
int32_t
ledger_snapshot_partition (const struct Ledger *ledger,
                           TALLOC_CTX *ctx,
                           uint32_t partition,
                           struct Record **records,
                           size_t *n_records);

/* Full state of one program, as RECORD_SNAPSHOT carries it in parts; state belongs to ctx. */
int32_t
ledger_pack_program (const struct Ledger *ledger,
                     TALLOC_CTX *ctx,
                     const char *program,
                     uint8_t **state,
                     size_t *state_bytes);
