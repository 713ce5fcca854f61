/* What the files of the home share. */
#pragma once

#include "home.h"

#include "fleet.h"

#include <buckthornhead/retry_budget.h>

#include <uthash.h>

enum
{
  CALL_TRIED_MAX = 8 /* backend servers that one call may be sent to */
};

enum HomeCallState
{
  HOME_CALL_WRITING_INTENT,
  HOME_CALL_DISPATCHED,
  HOME_CALL_BACKING_OFF, /* waits for its next try */
  HOME_CALL_WRITING_OUTCOME,
  HOME_CALL_WRITING_NOT_SENT
};

/* Somebody who waits for a call's answer: a request of an entry. */
struct HomeWaiter
{
  struct HomeWaiter *next;
  uint64_t link, id;
  bool first_attempt;
  size_t sent_bytes; /* of the call's answer so far */
};

/* A call in flight. */
struct HomeCall
{
  struct Home *home;
  struct Call call; /* .body belongs to this object */
  enum HomeCallState state;
  bool may_have_run; /* some try was sent and broke: no later one can say "not run" */
  bool cancelled;    /* its waiters were told "not run": never to be dispatched */
  struct HomeWaiter *waiters;
  struct Timer *timer;
  uint32_t attempt;
  char tried[CALL_TRIED_MAX][NAME_MAX_BYTES + 1];
  uint32_t n_tried;
  char backend[NAME_MAX_BYTES + 1];
  uint64_t dispatch_id, owner_link;
  uint32_t status;
  uint8_t *response;
  size_t response_bytes, response_size;
  size_t forwardable_bytes; /* what waiters may have before the outcome is durable */
  bool forwarded_any;
  struct Outcome outcome;
  struct PeerAnswer failure; /* what waiters are told once RECORD_NOT_SENT is durable */
  UT_hash_handle by_key, by_dispatch;
};

/* A release that an owner was asked for. */
struct HomeRelease
{
  struct Home *home;
  uint64_t id;
  char program[PROGRAM_ID_MAX_BYTES + 1];
  char backend[NAME_MAX_BYTES + 1];
  char key[PROGRAM_ID_MAX_BYTES + NAME_MAX_BYTES + 2]; /* program, '/', backend */
  uint64_t link;
  int64_t requested_ms;
  bool acknowledged, recorded;
  UT_hash_handle by_key;
};

/* A call that was given up after some try of it had been sent: a resend can not be told "not run".
 */
struct HomeUncertain
{
  struct CallKey key;
  UT_hash_handle by_key;
};

/* An ended program, to be forgotten some time after its end. */
struct HomeEndedProgram
{
  char program[PROGRAM_ID_MAX_BYTES + 1];
  int64_t since_ms;
  UT_hash_handle by_program;
};

struct Home
{
  struct Core *core;
  struct Journal *journal;
  struct Ledger *ledger;
  struct Homes *homes;
  struct Placement *placement;
  struct Quarantine *quarantine;
  struct RetryBudget *retries;
  TALLOC_CTX *incarnation_ctx; /* all that belongs to the present incarnation */
  uint64_t n_starts;
  uint64_t next_id;
  struct HomeCall *calls;      /* by key */
  struct HomeCall *dispatches; /* by dispatch id */
  struct HomeRelease *releases;
  struct HomePrefix *prefixes;     /* by program and branch */
  struct HomeEndedProgram *ended;  /* by program */
  struct HomeUncertain *uncertain; /* by key */
  struct HomesMember *members;     /* the last that were told, for a new era */
  size_t n_members;
  uint32_t n_programs;
  struct Timer *map_hint_timer; /* a hint to the peers is due */
  struct HomeWrite *writes;     /* in the order of their appends */
  int64_t unwritable_since_ms;
};

/* home_write.c */
uint32_t
home_partition (const struct Home *home, const char *program);
void
home_write_start (struct Home *home);
typedef void (*HomeWritten) (void *data, int32_t error);

/* Journals record under the present epoch, applies it once durable (in an outage: on two disks),
 * then calls done. Pointers in record must stay valid until then. */
void
home_write (struct Home *home,
            const struct Record *record,
            const char *program,
            HomeWritten done,
            void *data);

/* home_program.c */
void
home_on_create (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_on_lone (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_on_view (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_on_history (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_on_end (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_on_list (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_end_program (struct Home *home, const char *program, enum EndReason reason);

/* home_reply.c */
void
home_reply (struct Home *home, uint64_t link, const struct PeerAnswer *reply);
void
home_reply_bytes (struct Home *home,
                  uint64_t link,
                  uint64_t id,
                  uint32_t status,
                  const void *bytes,
                  size_t n_bytes);
/* A whole JSON answer. */
void
home_reply_json (struct Home *home, uint64_t link, uint64_t id, uint32_t status, const char *json);
/* Refuses a request that did not run here. "Not run" is said at once to a first attempt; to a
 * resend only after the journal has confirmed that this incarnation still owns what it says. */
void
home_refuse (struct Home *home,
             uint64_t link,
             uint64_t id,
             bool first_attempt,
             const struct Fault *fault,
             uint32_t retry_after_ms,
             uint64_t expected_sequence);

/* home_accept.c: a request for a call meets the ledger. */
void
home_on_call (struct Home *home, uint64_t link, const struct PeerRequest *request);

/* home_dispatch.c: the call goes out, and comes back. */
void
home_call_dispatch (struct HomeCall *call);

/* home_stream.c */
/* Sends each waiter what it may have and has not had, up to up_to_bytes of the answer. */
void
home_call_forward (struct HomeCall *call, size_t up_to_bytes);

/* home_call.c: a call in flight, from its first waiter to its outcome. */
struct HomeCall *
home_call_find (struct Home *home, const struct CallKey *key);
struct HomeCall *
home_call_new (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_call_add_waiter (struct HomeCall *call, uint64_t link, const struct PeerRequest *request);
/* Copies a key with all bytes behind its texts zeroed, as a hash key must be. */
void
call_key_copy (struct CallKey *to, const struct CallKey *from);
/* What an owner still sends for the present dispatch is nobody's any more. */
void
home_call_clear_dispatch (struct HomeCall *call);
/* The call has ended: journals its outcome, then answers the waiters and frees it. */
void
home_call_end (struct HomeCall *call, const struct Outcome *outcome);
/* The same for a call that may run once only and whose outcome is lost: it is never sent again. */
void
home_call_end_uncertain (struct HomeCall *call);
/* The call ends without an outcome: it did not run (RAN_NO), or may be run again. Frees it. */
void
home_call_abandon (struct HomeCall *call,
                   enum RanState ran,
                   const struct Fault *fault,
                   uint32_t retry_after_ms);
void
home_call_reply_all (struct HomeCall *call, const struct PeerAnswer *reply);
/* Tells all waiters that the call did not run. */
void
home_call_refuse_all (struct HomeCall *call, const struct Fault *fault, uint32_t retry_after_ms);
/* When the call's caller is to come back: at least min_ms, spread over callers. */
uint32_t
home_call_retry_after_ms (const struct HomeCall *call, uint32_t min_ms);
void
home_cancel_program (struct Home *home, const char *program);
void
home_fail_all (struct Home *home, int32_t error);
/* A program's calls have no resends that matter any more. */
void
home_uncertain_forget (struct Home *home, const char *program);

/* home_history.c: what a turn adds to its program's history. A chat's body repeats all earlier
 * turns; kept is what the turn before did not have, so that a history grows by its turns and not by
 * their sum. */
const uint8_t *
home_history_part (struct HomeCall *call, size_t *n_bytes);
/* The turn is durable: the next one is compared with it. */
void
home_history_remember (struct HomeCall *call);
void
home_history_forget (struct Home *home, const char *program);
void
home_history_clear (struct Home *home);

/* home_release.c */
void
home_release_start (struct Home *home);
bool
home_release_on_answer (struct Home *home, const struct PeerAnswer *reply);
void
home_release_on_link_closed (struct Home *home, uint64_t link);
/* A call was sent to backend and broke: the server may hold memory that no outcome tells of.
 * Journaled, so that it is released after the program's end wherever the program is homed then. */
void
home_release_record_held (struct Home *home, const char *program, const char *backend);
