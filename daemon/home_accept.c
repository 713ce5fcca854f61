#include "home_internal.h"

#include <buckthornhead/counter.h>

#include <stdio.h>
#include <string.h>

enum
{
  INTENT_TIMEOUT_MS = 1500 /* a call whose intent is not durable by then is refused */
};

static void
home_call_on_intent_timeout (void *data)
{
  struct HomeCall *call = data;
  struct Fault fault;

  TALLOC_FREE (call->timer);
  /* The intent may still become durable, but no home dispatches the call afterwards: a later home
   * that replays an intent without an outcome does not send it either. */
  call->cancelled = true;
  fault_set (&fault, ERROR_PLATFORM_DOWN, NULL,
             "the platform's key-value service does not accept journal writes");
  home_call_refuse_all (call, &fault, home_call_retry_after_ms (call, RETRY_AFTER_OUTAGE_MS));
}

static void
home_call_on_intent_written (void *data, int32_t error)
{
  struct HomeCall *call = data;
  struct Fault fault;

  TALLOC_FREE (call->timer);
  if (error == ERROR_NONE && !call->cancelled)
    {
      home_call_dispatch (call);
      return;
    }
  fault_set (&fault, error != ERROR_NONE ? error : ERROR_PLATFORM_DOWN, NULL,
             "the call was abandoned before it was sent");
  home_call_abandon (call, error == ERROR_FENCED ? RAN_MAYBE : RAN_NO, &fault,
                     home_call_retry_after_ms (call, RETRY_AFTER_OUTAGE_MS));
}

static void
home_call_start (struct HomeCall *call, const struct LedgerDecision *decision)
{
  struct Home *home = call->home;
  struct Profile profile;

  fleet_profile (home->core->fleet, call->call.service, &profile);
  retry_budget_deposit (home->retries, profile.weights.retry_budget_permille);
  counter_add (COUNTER_CALLS_ACCEPTED, 1);
  if (decision->verdict == LEDGER_RUN)
    {
      home_call_dispatch (call);
      return;
    }
  call->state = HOME_CALL_WRITING_INTENT;
  call->timer = timer_subscribe (call, home->core->timers, INTENT_TIMEOUT_MS, 0,
                                 home_call_on_intent_timeout, call);
  home_write (home, &decision->record, call->call.key.program, home_call_on_intent_written, call);
}

/* Returns ERROR_NONE when a call that the ledger accepts may start now, else the reason. */
static int32_t
home_call_check_start (struct Home *home,
                       const struct Call *call,
                       const struct LedgerDecision *decision,
                       struct Fault *fault)
{
  if (quarantine_contains (home->quarantine, call->digest))
    return fault_set (fault, ERROR_QUARANTINED, NULL,
                      "two backend servers died while they ran this request");
  if (decision->verdict == LEDGER_JOURNAL_FIRST && !journal_is_writable (home->journal))
    return fault_set (fault, ERROR_PLATFORM_DOWN, NULL,
                      "the platform's key-value service does not accept journal writes");
  return ERROR_NONE;
}

static void
home_call_run (struct Home *home,
               uint64_t link,
               const struct PeerRequest *request,
               const struct LedgerDecision *decision)
{
  struct HomeCall *call = home_call_new (home, link, request);
  struct Fault fault;

  if (call == NULL)
    return;
  if (home_call_check_start (home, &request->call, decision, &fault) == ERROR_NONE)
    home_call_start (call, decision);
  else
    home_call_abandon (call, RAN_NO, &fault,
                       fault.error == ERROR_PLATFORM_DOWN
                           ? home_call_retry_after_ms (call, RETRY_AFTER_OUTAGE_MS)
                           : 0);
}

static void
home_call_join (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct CallKey key;
  struct HomeCall *call;
  struct Fault fault;

  call_key_copy (&key, &request->call.key);
  call = home_call_find (home, &key);
  counter_add (COUNTER_CALLS_JOINED, 1);
  if (call == NULL || call->cancelled)
    {
      fault_set (&fault, ERROR_PLATFORM_DOWN, NULL,
                 "an earlier attempt of the call is being resolved");
      home_refuse (home, link, request->id, request->first_attempt, &fault, RETRY_AFTER_OUTAGE_MS,
                   0);
      return;
    }
  home_call_add_waiter (call, link, request);
  home_call_forward (call, call->forwardable_bytes);
}

static void
home_call_reply_stored (struct Home *home,
                        uint64_t link,
                        const struct PeerRequest *request,
                        const struct Outcome *stored)
{
  struct PeerResponse reply = { .id = request->id };

  counter_add (COUNTER_CALLS_STORED, 1);
  reply.outcome = *stored;
  reply.outcome.response = NULL;
  reply.outcome.response_bytes = 0;
  reply.event_stream = request->call.stream;
  if (stored->error != ERROR_NONE)
    fault_set (&reply.fault, stored->error, NULL, "the call was sent, but its response was lost");
  home_reply_bytes (home, link, request->id, stored->status, stored->response,
                    stored->response_bytes);
  home_reply (home, link, &reply);
}

/* Returns whether the tokens that a call reserves are within the limit of its service's profile. */
static bool
home_call_reservation_fits (struct Home *home, const struct Call *call, struct Fault *fault)
{
  struct Profile profile;

  fleet_profile (home->core->fleet, call->service, &profile);
  if ((uint64_t)call->prompt_tokens + call->max_tokens <= profile.reserve_tokens_max)
    return true;
  fault_set (fault, ERROR_BUDGET, "request fewer tokens, or raise reserve_max in the profile",
             "the call reserves %u tokens; its profile allows %u",
             call->prompt_tokens + call->max_tokens, profile.reserve_tokens_max);
  return false;
}

void
home_on_call (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct PeerRequest own = *request;
  struct LedgerProgramView view;
  struct LedgerDecision decision = { 0 };
  struct Fault fault;

  if (ledger_view_program (home->ledger, request->call.key.program, &view))
    snprintf (own.call.service, sizeof own.call.service, "%s", view.service);
  if (!home_call_reservation_fits (home, &own.call, &fault))
    {
      home_refuse (home, link, own.id, own.first_attempt, &fault, 0, 0);
      return;
    }
  ledger_accept_call (home->ledger, &own.call, core_unix_ms (), &decision);
  switch (decision.verdict)
    {
    case LEDGER_RUN:
    case LEDGER_JOURNAL_FIRST:
      home_call_run (home, link, &own, &decision);
      break;
    case LEDGER_JOIN:
      home_call_join (home, link, &own);
      break;
    case LEDGER_STORED:
      home_call_reply_stored (home, link, &own, decision.stored);
      break;
    case LEDGER_REFUSE:
      home_refuse (home, link, own.id, own.first_attempt, &decision.fault, 0,
                   decision.expected_sequence);
      break;
    }
  if (decision.end_reason != 0)
    home_end_program (home, own.call.key.program, decision.end_reason);
}
