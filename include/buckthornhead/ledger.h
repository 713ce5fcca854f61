/* Program ledger: call order, history, budget and stored responses of the programs whose home is
 * this instance.
 *
 * Does no I/O and reads no clock. A change takes two steps: one of the functions below fills in the
 * record to journal, and ledger_apply applies it once it is durable or when it is replayed. No
 * result may be sent to a caller before its record was applied. */
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
  LEDGER_STORED,        /* .stored is the outcome; its error may be ERROR_MAY_HAVE_RUN */
  LEDGER_REFUSE         /* .fault; this request did not run */
};

struct LedgerDecision
{
  enum LedgerVerdict verdict;
  struct Record record;
  const struct Outcome *stored; /* valid until the program is removed */
  uint64_t expected_sequence;
  enum EndReason end_reason; /* 0, or the reason to end the program now */
  struct Fault fault;
};

/* Wildcard for all backend servers: any of them may hold memory for an adopted program, as any may
 * have run the call that was in flight when its home failed. */
#define LEDGER_ANY_BACKEND "*"

/* Creates a program. want is the complete RECORD_PROGRAM with partition and epoch, which the caller
 * then journals. For an id that exists with the same digest, returns ERROR_NONE and sets *exists
 * unless the creation is still pending; with another digest, returns ERROR_CONFLICT. Calls may be
 * accepted before the record is durable, as their records follow it in the journal. */
int32_t
ledger_create_program (struct Ledger *ledger,
                       const struct Record *want,
                       bool *exists,
                       struct Fault *fault);

/* Removes a program whose creation was dropped before any attempt to journal it. */
void
ledger_abandon_program (struct Ledger *ledger, const char *program);

/* Decides how to handle a call. On LEDGER_RUN and LEDGER_JOURNAL_FIRST the call is in flight and
 * its reservation is kept until its outcome is applied or ledger_abandon_call releases it.
 * now_unix_ms is wall-clock time. */
void
ledger_accept_call (struct Ledger *ledger,
                    const struct Call *call,
                    int64_t now_unix_ms,
                    struct LedgerDecision *decision);

/* Cancels a call in flight that has not run and will not: releases its reservation and allows its
 * sequence number to be reused. If its intent was applied, sets *must_journal: *record
 * (RECORD_NOT_SENT) must then be durable and applied before the caller receives "not run". Call
 * this only after the journal has completed the intent, as a queued intent may still be written. */
int32_t
ledger_abandon_call (struct Ledger *ledger,
                     const struct CallKey *key,
                     struct Record *record,
                     bool *must_journal);

/* Fills in the record of the outcome of a call. outcome and request must stay valid until the
 * record is packed. The charge is capped at the reservation. Returns ERROR_NOT_FOUND for a call
 * that is not in flight, for example because it has an outcome already. */
int32_t
ledger_end_call (struct Ledger *ledger,
                 const struct CallKey *key,
                 const struct Outcome *outcome,
                 const uint8_t *request,
                 size_t request_bytes,
                 struct Record *record);

/* Fills in the record that ends a program. Returns ERROR_ENDED if it has already ended. */
int32_t
ledger_end_program (struct Ledger *ledger,
                    const char *program,
                    enum EndReason reason,
                    struct Record *record);

/* Applies a durable or replayed record and copies the data that it keeps. Ignores records of an
 * older epoch than that of the program's state. */
int32_t
ledger_apply (struct Ledger *ledger, const struct Record *record);

/* Completes the take-over of a partition after its replay; call once. Each non-idempotent intent
 * without an outcome is recorded as "may have run". Each branch that may have had an idempotent
 * call in flight is charged that call's full reservation if its intent was journaled, else the
 * program's grant_tokens. After a hand-off (planned), no call was in flight and nothing is charged.
 * Returns the snapshots to journal. */
int32_t
ledger_adopt_partition (struct Ledger *ledger,
                        TALLOC_CTX *ctx,
                        uint32_t partition,
                        uint64_t epoch,
                        bool planned,
                        struct Record **records,
                        size_t *n_records);

/* Removes all programs of a partition that was handed off or lost. */
void
ledger_drop_partition (struct Ledger *ledger, uint32_t partition);

/* State of a program as reported to its caller and to operators. */
struct LedgerProgramView
{
  const char *program, *service, *parent;
  uint64_t budget_tokens, charged_tokens, reserved_tokens;
  uint64_t cached_tokens; /* part of charged_tokens that was cached, as counted by this home */
  int64_t created_unix_ms, deadline_unix_ms;
  uint32_t turns, turn_limit, in_flight;
  bool ended;
  enum EndReason end_reason;
  uint8_t history_digest[DIGEST_BYTES]; /* hash chain over all turns of all branches */
  uint32_t n_unreleased_servers;        /* after the end: servers that may still hold memory */
};

bool
ledger_view_program (const struct Ledger *ledger,
                     const char *program,
                     struct LedgerProgramView *view);

/* Calls fn for each turn of a program, in the order in which their outcomes were applied. */
typedef void (*LedgerTurnFn) (void *data,
                              const struct CallKey *key,
                              const struct Outcome *outcome,
                              const uint8_t *request,
                              size_t request_bytes);
int32_t
ledger_each_turn (const struct Ledger *ledger, const char *program, LedgerTurnFn fn, void *data);

/* Calls fn for each program whose creation is durable. */
typedef void (*LedgerProgramFn) (void *data, const struct LedgerProgramView *view);
void
ledger_each_program (const struct Ledger *ledger, LedgerProgramFn fn, void *data);

/* Calls fn for each ended program and backend server that may still hold memory for it. */
typedef void (*LedgerServerFn) (void *data, const char *program, const char *backend);
void
ledger_each_unreleased_server (const struct Ledger *ledger, LedgerServerFn fn, void *data);

/* Returns true while partition has a call in flight, or a creation, outcome or end that is not
 * applied yet. */
bool
ledger_partition_is_busy (const struct Ledger *ledger, uint32_t partition);

/* Removes an ended program for which no backend server holds memory. Resent calls of it then fail
 * with ERROR_NOT_FOUND. Returns false if it does not exist or may not be removed yet. */
bool
ledger_remove_program (struct Ledger *ledger, const char *program);

/* Returns RECORD_SNAPSHOTs of the applied state of every program of partition, to journal ahead of
 * the queued records. The writer does not apply them. */
int32_t
ledger_snapshot_partition (const struct Ledger *ledger,
                           TALLOC_CTX *ctx,
                           uint32_t partition,
                           struct Record **records,
                           size_t *n_records);

/* Returns the complete state of one program, which RECORD_SNAPSHOT contains in parts. state is
 * allocated on ctx. */
int32_t
ledger_pack_program (const struct Ledger *ledger,
                     TALLOC_CTX *ctx,
                     const char *program,
                     uint8_t **state,
                     size_t *state_bytes);
