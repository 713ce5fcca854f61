#include "home_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  RETRY_AFTER_SPREAD_MS = 1000
};

uint32_t
home_call_retry_after_ms (const struct HomeCall *call, uint32_t min_ms)
{
  /* Spread by the call's digest, so that callers refused together do not return together. */
  return min_ms
         + (uint32_t)(call->call.digest[0] << 8 | call->call.digest[1]) % RETRY_AFTER_SPREAD_MS;
}

struct HomeCall *
home_call_find (struct Home *home, const struct CallKey *key)
{
  struct HomeCall *call;

  HASH_FIND (by_key, home->calls, key, sizeof *key, call);
  return call;
}

void
call_key_copy (struct CallKey *to, const struct CallKey *from)
{
  memset (to, 0, sizeof *to);
  snprintf (to->program, sizeof to->program, "%s", from->program);
  snprintf (to->branch, sizeof to->branch, "%s", from->branch);
  to->sequence = from->sequence;
}

void
home_call_clear_dispatch (struct HomeCall *call)
{
  if (call->dispatch_id == 0)
    return;
  HASH_DELETE (by_dispatch, call->home->dispatches, call);
  call->dispatch_id = 0;
  call->owner_link = PEER_LINK_NONE;
}

static void
home_call_free (struct HomeCall *call)
{
  home_call_clear_dispatch (call);
  HASH_DELETE (by_key, call->home->calls, call);
  talloc_free (call);
}

void
home_call_add_waiter (struct HomeCall *call, uint64_t link, const struct PeerRequest *request)
{
  struct HomeWaiter *waiter = talloc_zero (call, struct HomeWaiter);

  if (waiter == NULL)
    return;
  waiter->link = link;
  waiter->id = request->id;
  waiter->first_attempt = request->first_attempt;
  waiter->next = call->waiters;
  call->waiters = waiter;
}

static struct HomeUncertain *
home_uncertain_find (struct Home *home, const struct CallKey *key)
{
  struct HomeUncertain *uncertain;

  HASH_FIND (by_key, home->uncertain, key, sizeof *key, uncertain);
  return uncertain;
}

static void
home_uncertain_remember (struct HomeCall *call)
{
  struct Home *home = call->home;
  struct HomeUncertain *uncertain;

  if (home_uncertain_find (home, &call->call.key) != NULL)
    return;
  uncertain = talloc_zero (home->incarnation_ctx, struct HomeUncertain);
  if (uncertain == NULL)
    return;
  uncertain->key = call->call.key;
  HASH_ADD (by_key, home->uncertain, key, sizeof uncertain->key, uncertain);
}

void
home_uncertain_forget (struct Home *home, const char *program)
{
  struct HomeUncertain *uncertain, *next;

  HASH_ITER (by_key, home->uncertain, uncertain, next)
  {
    if (strcmp (uncertain->key.program, program) != 0)
      continue;
    HASH_DELETE (by_key, home->uncertain, uncertain);
    talloc_free (uncertain);
  }
}

struct HomeCall *
home_call_new (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct HomeCall *call = talloc_zero (home->incarnation_ctx, struct HomeCall);

  if (call == NULL)
    return NULL;
  call->home = home;
  call->call = request->call;
  call_key_copy (&call->call.key, &request->call.key);
  call->call.body = talloc_memdup (call, request->call.body, request->call.body_bytes);
  call->may_have_run = home_uncertain_find (home, &call->call.key) != NULL;
  home_call_add_waiter (call, link, request);
  HASH_ADD (by_key, home->calls, call.key, sizeof call->call.key, call);
  return call;
}

void
home_call_reply_all (struct HomeCall *call, const struct PeerResponse *reply)
{
  struct PeerResponse own = *reply;

  for (struct HomeWaiter *w = call->waiters; w != NULL; w = w->next)
    {
      own.id = w->id;
      home_reply (call->home, w->link, &own);
    }
  call->waiters = NULL;
}

void
home_call_refuse_all (struct HomeCall *call, const struct Fault *fault, uint32_t retry_after_ms)
{
  for (struct HomeWaiter *w = call->waiters; w != NULL; w = w->next)
    home_refuse (call->home, w->link, w->id, w->first_attempt, fault, retry_after_ms, 0);
  call->waiters = NULL;
}

/* Maps an error of the journal or the ledger to the one reported to the caller. A home that was
 * paused and replaced drops the partition's programs as soon as it reads the new map, while their
 * calls are still at backend servers. The ledger then responds "not found" to the end of such a
 * call, which a caller would treat as final. ERROR_NOT_OWNER makes the entry find the new home. */
static int32_t
home_call_error (const struct HomeCall *call, int32_t error)
{
  const struct Home *home = call->home;
  uint64_t epoch;

  if (error == ERROR_NONE
      || homes_may_write (home->homes, home_partition (home, call->call.key.program), &epoch))
    return error;
  return ERROR_NOT_OWNER;
}

static void
home_call_finish_abandoned (void *data, int32_t error)
{
  struct HomeCall *call = data;

  if (error != ERROR_NONE)
    {
      call->failure.outcome.ran = RAN_MAYBE;
      call->failure.outcome.error =
          fault_set (&call->failure.fault, home_call_error (call, error), NULL,
                     "the journal could not record that the call was not sent");
    }
  if (call->failure.outcome.ran == RAN_NO)
    home_call_refuse_all (call, &call->failure.fault, call->failure.retry_after_ms);
  else
    home_call_reply_all (call, &call->failure);
  home_call_free (call);
}

void
home_call_abandon (struct HomeCall *call,
                   enum RanState ran,
                   const struct Fault *fault,
                   uint32_t retry_after_ms)
{
  struct Home *home = call->home;
  struct Record record;
  bool must_journal = false;

  home_call_clear_dispatch (call);
  TALLOC_FREE (call->timer);
  call->failure.fault = *fault;
  call->failure.outcome.error = fault->error;
  /* When the last attempt did not run, an earlier one may have. */
  call->failure.outcome.ran = ran == RAN_NO && call->may_have_run ? RAN_MAYBE : ran;
  call->failure.retry_after_ms = retry_after_ms;
  if (call->failure.outcome.ran != RAN_NO)
    home_uncertain_remember (call);
  ledger_abandon_call (home->ledger, &call->call.key, &record, &must_journal);
  if (!must_journal)
    {
      home_call_finish_abandoned (call, ERROR_NONE);
      return;
    }
  call->state = HOME_CALL_WRITING_NOT_SENT;
  home_write (home, &record, call->call.key.program, home_call_finish_abandoned, call);
}

static void
home_call_record_outcome (struct HomeCall *call)
{
  struct Home *home = call->home;

  placement_record_outcome (home->placement, &call->call, call->outcome.backend, &call->outcome,
                            timer_now_ms (home->core->timers));
  home->core->outcomes.prefix_tokens += call->call.prompt_tokens;
  home->core->outcomes.cached_tokens += call->outcome.cached_tokens;
  counter_add (COUNTER_CALLS_ENDED, 1);
  if (call->outcome.error == ERROR_NONE)
    quarantine_clear (home->quarantine, call->call.digest, timer_now_ms (home->core->timers));
  if (call->outcome.ran == RAN_MAYBE)
    {
      home->core->outcomes.may_have_run++;
      counter_add (COUNTER_CALLS_MAY_HAVE_RUN, 1);
    }
}

static bool
program_is_lone (const char *program)
{
  return strncmp (program, "lone-", strlen ("lone-")) == 0;
}

/* Sends the end of the response, which is withheld until the outcome is durable. */
static void
home_call_on_outcome_written (void *data, int32_t error)
{
  struct HomeCall *call = data;
  struct Home *home = call->home;
  struct PeerResponse reply = { 0 };
  bool lone = program_is_lone (call->call.key.program);

  reply.outcome = call->outcome;
  reply.outcome.response = NULL;
  reply.outcome.response_bytes = 0;
  reply.event_stream = call->call.stream;
  if (error != ERROR_NONE)
    {
      /* The journal was sealed during a pause: whether the new home runs the call is unknown. */
      reply.outcome.ran = RAN_MAYBE;
      reply.outcome.error = fault_set (&reply.fault, home_call_error (call, error), NULL,
                                       "the outcome could not be journaled");
      home_call_reply_all (call, &reply);
      home_call_free (call);
      return;
    }
  home_call_record_outcome (call);
  home_history_remember (call);
  if (call->outcome.error != ERROR_NONE)
    fault_set (&reply.fault, call->outcome.error, NULL,
               "no complete response from backend server %s", call->outcome.backend);
  else
    home_call_forward (call, call->response_bytes);
  home_call_reply_all (call, &reply);
  if (lone)
    home_end_program (home, call->call.key.program, END_DONE);
  home_call_free (call);
}

void
home_call_end (struct HomeCall *call, const struct Outcome *outcome)
{
  struct Home *home = call->home;
  struct Record record;
  const uint8_t *part;
  size_t part_bytes;
  int32_t error;

  home_call_clear_dispatch (call);
  TALLOC_FREE (call->timer);
  call->state = HOME_CALL_WRITING_OUTCOME;
  call->outcome = *outcome;
  call->outcome.response = outcome->error == ERROR_NONE ? call->response : NULL;
  call->outcome.response_bytes = outcome->error == ERROR_NONE ? call->response_bytes : 0;
  part = home_history_part (call, &part_bytes);
  error =
      ledger_end_call (home->ledger, &call->call.key, &call->outcome, part, part_bytes, &record);
  if (error == ERROR_NONE)
    home_write (home, &record, call->call.key.program, home_call_on_outcome_written, call);
  else
    home_call_on_outcome_written (call, error);
}

void
home_call_end_uncertain (struct HomeCall *call)
{
  struct Outcome outcome = { .error = ERROR_MAY_HAVE_RUN, .ran = RAN_MAYBE };

  snprintf (outcome.backend, sizeof outcome.backend, "%s", call->backend);
  log_event (LOG_LEVEL_WARNING, "call_may_have_run", call->call.key.program,
             error_remedy (ERROR_MAY_HAVE_RUN), "%s sent no response to a non-idempotent call",
             call->backend);
  home_call_end (call, &outcome);
}

void
home_on_cancel (struct Home *home, uint64_t link, uint64_t id)
{
  struct HomeCall *call, *next;

  HASH_ITER (by_key, home->calls, call, next)
  for (struct HomeWaiter **at = &call->waiters; *at != NULL; at = &(*at)->next)
    if ((*at)->link == link && (*at)->id == id)
      {
        *at = (*at)->next;
        return;
      }
}

static void
home_call_drop_waiters (struct HomeCall *call, uint64_t link)
{
  struct HomeWaiter **at = &call->waiters;

  while (*at != NULL)
    if ((*at)->link == link)
      *at = (*at)->next;
    else
      at = &(*at)->next;
}

void
home_on_link_closed (struct Home *home, uint64_t link)
{
  struct HomeCall *call, *next;
  struct PeerResponse lost = { 0 };

  lost.outcome.error = fault_set (&lost.fault, ERROR_UNKNOWN_EFFECT, NULL,
                                  "the connection to the backend server's owner was lost");
  lost.outcome.ran = RAN_MAYBE;
  HASH_ITER (by_key, home->calls, call, next)
  {
    home_call_drop_waiters (call, link);
    if (call->owner_link != link)
      continue;
    lost.id = call->dispatch_id;
    home_on_response (home, &lost);
  }
  home_release_on_link_closed (home, link);
}

void
home_cancel_program (struct Home *home, const char *program)
{
  struct HomeCall *call, *next;
  struct PeerMessage cancel = { .kind = PEER_CANCEL };
  struct Fault fault;

  fault_set (&fault, ERROR_ENDED, NULL, "the program has ended");
  HASH_ITER (by_key, home->calls, call, next)
  {
    if (strcmp (call->call.key.program, program) != 0)
      continue;
    switch (call->state)
      {
      case HOME_CALL_DISPATCHED:
        cancel.cancel.id = call->dispatch_id;
        peer_net_send (home->core->net, call->owner_link, &cancel);
        home_release_record_held (home, program, call->backend);
        if (!call->call.idempotent)
          break; /* its outcome is still to be journaled */
        home_call_abandon (call, RAN_MAYBE, &fault, 0);
        break;
      case HOME_CALL_BACKING_OFF:
        home_call_abandon (call, RAN_MAYBE, &fault, 0);
        break;
      case HOME_CALL_WRITING_INTENT:
        call->cancelled = true;
        break;
      case HOME_CALL_WRITING_OUTCOME:
      case HOME_CALL_WRITING_NOT_SENT:
        break;
      }
  }
}

void
home_fail_all (struct Home *home, int32_t error)
{
  struct HomeCall *call, *next;
  struct PeerResponse reply = { 0 };

  reply.outcome.error =
      fault_set (&reply.fault, error, NULL, "this instance is no longer the program's home");
  reply.outcome.ran = RAN_MAYBE;
  HASH_ITER (by_key, home->calls, call, next)
  {
    home_call_reply_all (call, &reply);
    home_call_clear_dispatch (call);
  }
  HASH_CLEAR (by_key, home->calls);
}
