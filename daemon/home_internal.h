/* Declarations shared by the files of the home. */
#pragma once

#include "home.h"

#include "fleet.h"

#include <buckthornhead/retry_budget.h>
#include <buckthornhead/scheduling/quarantine.h>

#include <uthash.h>

enum
{
  CALL_TRIED_MAX = 8, /* backend servers that a call remembers as tried */
  /* Until a caller asks again whom an outage of the platform kept waiting. */
  RETRY_AFTER_OUTAGE_MS = 1000
};

enum HomeCallState
{
  HOME_CALL_WRITING_INTENT,
  HOME_CALL_DISPATCHED,
  HOME_CALL_BACKING_OFF, /* waits for its next attempt */
  HOME_CALL_WRITING_OUTCOME,
  HOME_CALL_WRITING_NOT_SENT
};

/* A request of an entry that waits for a call's response. */
struct HomeWaiter
{
  struct HomeWaiter *next;
  uint64_t link, id;
  bool first_attempt;
  size_t sent_bytes; /* bytes of the call's response sent so far */
};

/* A call in flight. */
struct HomeCall
{
  struct Home *home;
  struct Call call; /* .body belongs to this object */
  enum HomeCallState state;
  bool may_have_run; /* an attempt failed after it was sent: the call can't be reported not run */
  bool cancelled; /* must not be dispatched: its waiters received "not run", or its program ended */
  struct HomeWaiter *waiters;
  struct Timer *timer;
  uint32_t attempt;
  char tried[CALL_TRIED_MAX][NAME_MAX_BYTES + 1];
  uint32_t n_tried;
  char backend[NAME_MAX_BYTES + 1];
  uint64_t dispatch_id, owner_link;
  uint32_t status;
  uint8_t *response;
  size_t response_bytes, response_size; /* used and allocated */
  size_t forwardable_bytes; /* part of response that may be sent before the outcome is durable */
  bool forwarded_any;
  struct Outcome outcome;
  struct PeerResponse failure; /* sent to the waiters once RECORD_NOT_SENT is durable */
  UT_hash_handle by_key, by_dispatch;
};

/* A request to an owner to release a program's memory at a backend server. */
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

/* An abandoned call of which an attempt was sent: a resend can't be reported as not run. */
struct HomeUncertain
{
  struct CallKey key;
  UT_hash_handle by_key;
};

/* An ended program, forgotten after its retention time. */
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
  TALLOC_CTX *incarnation_ctx; /* owns all objects of the current incarnation */
  uint64_t n_starts;           /* home_start calls */
  uint64_t next_id;
  struct HomeCall *calls;      /* by key */
  struct HomeCall *dispatches; /* by dispatch id */
  struct HomeRelease *releases;
  struct HomePrefix *prefixes;     /* by program and branch */
  struct HomeEndedProgram *ended;  /* by program */
  struct HomeUncertain *uncertain; /* by key */
  struct HomesMember *members;     /* last set, also used by the next incarnation */
  size_t n_members;
  uint32_t n_programs;
  struct Timer *map_hint_timer; /* pending PEER_MAP_CHANGED broadcast, or NULL */
  struct HomeWrite *writes;     /* in append order */
  int64_t unwritable_since_ms;  /* 0: the journal is writable */
};

/* home_write.c */
uint32_t
home_partition (const struct Home *home, const char *program);
void
home_write_start (struct Home *home);
typedef void (*HomeWritten) (void *data, int32_t error);

/* Journals record under the current epoch, applies it once it is durable (in an outage: on two
 * disks), then calls done. Pointers in record must stay valid until then. */
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
home_reply (struct Home *home, uint64_t link, const struct PeerResponse *reply);
void
home_reply_bytes (struct Home *home,
                  uint64_t link,
                  uint64_t id,
                  uint32_t status,
                  const void *bytes,
                  size_t n_bytes);
/* Sends json as a complete response. */
void
home_reply_json (struct Home *home, uint64_t link, uint64_t id, uint32_t status, const char *json);
/* Refuses a request that did not run here. A resend, and a first attempt whose refusal depends on
 * what the ledger holds, only after the journal has confirmed that this incarnation still owns the
 * partition. */
void
home_refuse (struct Home *home,
             uint64_t link,
             uint64_t id,
             bool first_attempt,
             const struct Fault *fault,
             uint32_t retry_after_ms,
             uint64_t expected_sequence);

/* home_accept.c: decides about requests for calls, by the ledger. */
void
home_on_call (struct Home *home, uint64_t link, const struct PeerRequest *request);

/* home_dispatch.c: sends calls to backend servers and handles their results. */
/* Ends a dispatched call whose response is not read on: it may have run. The callers of a call that
 * may not be repeated get no other result. */
void
home_call_cut_off (struct HomeCall *call, int32_t error, const char *cause);
void
home_call_dispatch (struct HomeCall *call);

/* home_stream.c */
/* Sends each waiter the part of the first up_to_bytes of the response that it has not received. */
void
home_call_forward (struct HomeCall *call, size_t up_to_bytes);

/* home_call.c: the state of a call in flight, from its first waiter to its outcome. */
struct HomeCall *
home_call_find (struct Home *home, const struct CallKey *key);
struct HomeCall *
home_call_new (struct Home *home, uint64_t link, const struct PeerRequest *request);
void
home_call_add_waiter (struct HomeCall *call, uint64_t link, const struct PeerRequest *request);
/* Copies a key and zeroes all bytes after its strings, since keys are hashed as raw bytes. */
void
call_key_copy (struct CallKey *to, const struct CallKey *from);
/* Detaches the call from its current dispatch; later messages of the owner for it are ignored. */
void
home_call_clear_dispatch (struct HomeCall *call);
/* Journals the outcome of the call, then responds to its waiters and frees it. */
void
home_call_end (struct HomeCall *call, const struct Outcome *outcome);
/* Ends a non-idempotent call that was sent and whose outcome is unknown as "may have run"; it is
 * never sent again. */
void
home_call_end_uncertain (struct HomeCall *call);
/* Ends the call without an outcome and frees it: it did not run (RAN_NO), or may be run again. */
void
home_call_abandon (struct HomeCall *call,
                   enum RanState ran,
                   const struct Fault *fault,
                   uint32_t retry_after_ms);
void
home_call_reply_all (struct HomeCall *call, const struct PeerResponse *reply);
/* Reports to all waiters that the call did not run. */
void
home_call_refuse_all (struct HomeCall *call, const struct Fault *fault, uint32_t retry_after_ms);
/* Returns the Retry-After time for the call's caller: at least min_ms, spread over callers. */
uint32_t
home_call_retry_after_ms (const struct HomeCall *call, uint32_t min_ms);
void
home_cancel_program (struct Home *home, const char *program);
void
home_fail_all (struct Home *home, int32_t error);
/* Drops the entries of an ended program, of which no call is run any more. */
void
home_uncertain_forget (struct Home *home, const char *program);

/* home_history.c: the part of a turn's body that is stored in its program's history. A chat's body
 * repeats all earlier turns; only the messages that the previous turn did not have are stored, so
 * that a history grows linearly with its turns. */
const uint8_t *
home_history_part (struct HomeCall *call, size_t *n_bytes);
/* Remembers a durable turn, for comparison with the next one. */
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
home_release_on_response (struct Home *home, const struct PeerResponse *reply);
void
home_release_on_link_closed (struct Home *home, uint64_t link);
/* Journals that backend may hold memory of program: a call sent to it failed, so that no outcome
 * records it. Whichever instance is the program's home at its end then releases the memory. */
void
home_release_record_held (struct Home *home, const char *program, const char *backend);
