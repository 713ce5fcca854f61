#include "home_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  INTENT_PATIENCE_MS = 1500, /* an intent that is not durable by then is given up */
  TIMEOUT_GRACE_MS = 2000,   /* over the backend server's own time: the owner answers first */
  COME_BACK_PLATFORM_MS = 1000,
  COME_BACK_SPREAD_MS = 1000,
  COME_BACK_NO_SERVER_MS = 500
};

/* An event stream is not complete before this; it is held back until the outcome is durable. */
static const char end_marker[] = "data: [DONE]";

static void
home_call_dispatch (struct HomeCall *call);

static uint32_t
come_back_ms (const struct HomeCall *call, uint32_t least_ms)
{
  /* Spread by the call's digest, so that callers refused together do not return together. */
  return least_ms
         + (uint32_t)(call->call.digest[0] << 8 | call->call.digest[1]) % COME_BACK_SPREAD_MS;
}

static struct HomeCall *
home_call_find (struct Home *home, const struct CallKey *key)
{
  struct HomeCall *call;

  HASH_FIND (by_key, home->calls, key, sizeof *key, call);
  return call;
}

/* CallKey with all bytes after the texts' ends zeroed, as a hash key must be. */
static void
call_key_copy (struct CallKey *to, const struct CallKey *from)
{
  memset (to, 0, sizeof *to);
  snprintf (to->program, sizeof to->program, "%s", from->program);
  snprintf (to->branch, sizeof to->branch, "%s", from->branch);
  to->sequence = from->sequence;
}

static void
home_call_forget_dispatch (struct HomeCall *call)
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
  home_call_forget_dispatch (call);
  HASH_DELETE (by_key, call->home->calls, call);
  talloc_free (call);
}

static void
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

static struct HomeCall *
home_call_new (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct HomeCall *call = talloc_zero (home->era, struct HomeCall);

  if (call == NULL)
    return NULL;
  call->home = home;
  call->call = request->call;
  call_key_copy (&call->call.key, &request->call.key);
  call->call.body = talloc_memdup (call, request->call.body, request->call.body_bytes);
  home_call_add_waiter (call, link, request);
  HASH_ADD (by_key, home->calls, call.key, sizeof call->call.key, call);
  return call;
}

/* Sends each waiter what it may have and has not had. */
static void
home_call_release (struct HomeCall *call, size_t up_to_bytes)
{
  for (struct HomeWaiter *w = call->waiters; w != NULL; w = w->next)
    {
      if (w->sent_bytes >= up_to_bytes)
        continue;
      home_reply_bytes (call->home, w->link, w->id, call->status, call->answer + w->sent_bytes,
                        up_to_bytes - w->sent_bytes);
      w->sent_bytes = up_to_bytes;
      call->released_any = true;
    }
}

static void
home_call_answer_all (struct HomeCall *call, const struct PeerAnswer *answer)
{
  struct PeerAnswer own = *answer;

  for (struct HomeWaiter *w = call->waiters; w != NULL; w = w->next)
    {
      own.id = w->id;
      home_reply (call->home, w->link, &own);
    }
  call->waiters = NULL;
}

/* Tells all waiters that the call did not run. */
static void
home_call_refuse_all (struct HomeCall *call, const struct Fault *fault, uint32_t retry_after_ms)
{
  for (struct HomeWaiter *w = call->waiters; w != NULL; w = w->next)
    home_refuse (call->home, w->link, w->id, w->first_attempt, fault, retry_after_ms, 0);
  call->waiters = NULL;
}

/* What an error of the journal or the ledger means to the caller. A home that was paused and
 * replaced forgets the partition's programs as soon as it sees the new map, while their calls are
 * still with backend servers: their ends then meet "not found", which a caller would take for the
 * last word. The program has another home, and its entry finds it. */
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

/* The call ends without an outcome: it did not run, or may be run again. */
static void
home_call_finish_abandoned (void *data, int32_t error)
{
  struct HomeCall *call = data;

  if (error != ERROR_NONE)
    {
      call->failure.outcome.ran = RAN_MAYBE;
      call->failure.outcome.error =
          fault_set (&call->failure.fault, home_call_error (call, error), NULL,
                     "the journal could not take that it was not sent");
    }
  if (call->failure.outcome.ran == RAN_NO)
    home_call_refuse_all (call, &call->failure.fault, call->failure.retry_after_ms);
  else
    home_call_answer_all (call, &call->failure);
  home_call_free (call);
}

static void
home_call_abandon (struct HomeCall *call,
                   enum RanState ran,
                   const struct Fault *fault,
                   uint32_t retry_after_ms)
{
  struct Home *home = call->home;
  struct Record record;
  bool must_journal = false;

  home_call_forget_dispatch (call);
  TALLOC_FREE (call->timer);
  call->failure.fault = *fault;
  call->failure.outcome.error = fault->error;
  call->failure.outcome.ran = ran;
  call->failure.retry_after_ms = retry_after_ms;
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
home_call_learn (struct HomeCall *call)
{
  struct Home *home = call->home;

  placement_learn (home->placement, &call->call, call->outcome.backend, &call->outcome,
                   timer_now_ms (home->core->timers));
  home->core->outcomes.prefix_tokens += call->call.prompt_tokens;
  home->core->outcomes.cached_tokens += call->outcome.cached_tokens;
  counter_add (COUNTER_CALLS_ENDED, 1);
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

/* The outcome is durable: now, and not before, the end of the answer may be seen. */
static void
home_call_on_outcome_written (void *data, int32_t error)
{
  struct HomeCall *call = data;
  struct Home *home = call->home;
  struct PeerAnswer answer = { 0 };
  bool lone = program_is_lone (call->call.key.program);

  answer.outcome = call->outcome;
  answer.outcome.answer = NULL;
  answer.outcome.answer_bytes = 0;
  answer.event_stream = call->call.stream;
  if (error != ERROR_NONE)
    {
      /* Sealed while it was paused: whether the new home runs the call again is not known here. */
      answer.outcome.ran = RAN_MAYBE;
      answer.outcome.error = fault_set (&answer.fault, home_call_error (call, error), NULL,
                                        "the outcome could not be journaled");
      home_call_answer_all (call, &answer);
      home_call_free (call);
      return;
    }
  home_call_learn (call);
  if (call->outcome.error != ERROR_NONE)
    fault_set (&answer.fault, call->outcome.error, NULL, "backend server %s was lost in mid-call",
               call->outcome.backend);
  else
    home_call_release (call, call->answer_bytes);
  home_call_answer_all (call, &answer);
  if (lone)
    home_end_program (home, call->call.key.program, END_DONE);
  home_call_free (call);
}

static void
home_call_end (struct HomeCall *call, const struct Outcome *outcome)
{
  struct Home *home = call->home;
  struct Record record;
  int32_t error;

  home_call_forget_dispatch (call);
  TALLOC_FREE (call->timer);
  call->state = HOME_CALL_WRITING_OUTCOME;
  call->outcome = *outcome;
  call->outcome.answer = outcome->error == ERROR_NONE ? call->answer : NULL;
  call->outcome.answer_bytes = outcome->error == ERROR_NONE ? call->answer_bytes : 0;
  error = ledger_end_call (home->ledger, &call->call.key, &call->outcome, call->call.body,
                           call->call.body_bytes, &record);
  if (error == ERROR_NONE)
    home_write (home, &record, call->call.key.program, home_call_on_outcome_written, call);
  else
    home_call_on_outcome_written (call, error);
}

/* A call that may run once only was sent, and what became of it is not known: it is settled as "may
 * have run" and never sent again. */
static void
home_call_may_have_run (struct HomeCall *call)
{
  struct Outcome outcome = { .error = ERROR_MAY_HAVE_RUN, .ran = RAN_MAYBE };

  snprintf (outcome.backend, sizeof outcome.backend, "%s", call->backend);
  log_event (LOG_LEVEL_WARNING, "call_may_have_run", call->call.key.program,
             error_remedy (ERROR_MAY_HAVE_RUN), "%s gave no answer to a call that may run once",
             call->backend);
  home_call_end (call, &outcome);
}

static int64_t
home_call_time_left_ms (const struct HomeCall *call)
{
  struct LedgerProgramView view;
  int64_t left_ms = call->call.deadline_ms;

  if (!ledger_view_program (call->home->ledger, call->call.key.program, &view)
      || view.deadline_unix_ms == 0)
    return left_ms;
  if (left_ms == 0 || view.deadline_unix_ms - core_unix_ms () < left_ms)
    left_ms = view.deadline_unix_ms - core_unix_ms ();
  return left_ms > 0 ? left_ms : 1;
}

static void
home_call_on_retry (void *data)
{
  struct HomeCall *call = data;

  TALLOC_FREE (call->timer);
  home_call_dispatch (call);
}

/* Nothing of the answer was seen and sending again is safe: tries elsewhere, within the retry
 * budget. */
static void
home_call_retry (struct HomeCall *call, const struct PeerAnswer *answer)
{
  struct Home *home = call->home;
  struct Fault fault;
  uint32_t delay_ms = 0;
  uint32_t retry_after_ms = answer->retry_after_ms;

  home_call_forget_dispatch (call);
  TALLOC_FREE (call->timer);
  call->answer_bytes = 0;
  call->releasable_bytes = 0;
  if (retry_budget_take (home->retries, &call->call, &answer->outcome, call->attempt,
                         home_call_time_left_ms (call), &delay_ms, &fault)
      != ERROR_NONE)
    {
      if (retry_after_ms == 0)
        retry_after_ms = come_back_ms (call, COME_BACK_NO_SERVER_MS);
      home_call_abandon (call, answer->outcome.ran,
                         answer->fault.error != ERROR_NONE ? &answer->fault : &fault,
                         retry_after_ms);
      return;
    }
  counter_add (COUNTER_CALLS_RETRIED, 1);
  call->state = HOME_CALL_BACKING_OFF;
  call->timer = timer_subscribe (call, home->core->timers, delay_ms, 0, home_call_on_retry, call);
}

static void
home_call_on_timeout (void *data)
{
  struct HomeCall *call = data;
  struct PeerMessage cancel = { .kind = PEER_CANCEL };
  struct Fault fault;

  TALLOC_FREE (call->timer);
  cancel.cancel.id = call->dispatch_id;
  peer_net_send (call->home->core->net, call->owner_link, &cancel);
  home_release_touch (call->home, call->call.key.program, call->backend);
  if (!call->call.idempotent)
    {
      home_call_may_have_run (call);
      return;
    }
  fault_set (&fault, ERROR_TIMEOUT, NULL, "backend server %s did not answer in time",
             call->backend);
  home_call_abandon (call, RAN_MAYBE, &fault, come_back_ms (call, COME_BACK_NO_SERVER_MS));
}

static void
home_call_mark_tried (struct HomeCall *call, const char *server)
{
  if (call->n_tried == CALL_TRIED_MAX)
    return;
  snprintf (call->tried[call->n_tried++], NAME_MAX_BYTES + 1, "%s", server);
}

static void
home_call_leave_out_tried (const struct HomeCall *call, struct PolicyServer *servers, size_t n)
{
  size_t n_left = 0;

  for (size_t i = 0; i < n; i++)
    {
      for (uint32_t t = 0; t < call->n_tried; t++)
        if (strcmp (servers[i].name, call->tried[t]) == 0)
          servers[i].usable = false;
      n_left += servers[i].usable;
    }
  if (n_left > 0)
    return;
  /* All were tried: a server that refused may have room by now. */
  for (size_t i = 0; i < n; i++)
    {
      const struct FleetBackend *backend = fleet_backend (call->home->core->fleet, servers[i].name);

      servers[i].usable = backend != NULL && backend->live;
    }
}

/* Sends the call to the owner of backend. False when its owner can not be reached: nothing left. */
static bool
home_call_send (struct HomeCall *call,
                const struct FleetBackend *backend,
                const struct Profile *profile,
                uint32_t cached_tokens_hint)
{
  struct Home *home = call->home;
  struct PeerMessage message = { .kind = PEER_DISPATCH };
  struct LedgerProgramView view;
  const char *owner = fleet_owner (home->core->fleet, backend);
  uint64_t link = owner != NULL ? peer_net_link_to (home->core->net, owner) : PEER_LINK_NONE;

  if (link == PEER_LINK_NONE)
    return false;
  message.dispatch.id = home->next_id++;
  snprintf (message.dispatch.backend, NAME_MAX_BYTES + 1, "%s", backend->setting.name);
  message.dispatch.call = call->call;
  message.dispatch.call.deadline_ms = home_call_time_left_ms (call);
  message.dispatch.cached_tokens_hint = cached_tokens_hint;
  message.dispatch.timeout_ms = profile->call_timeout_ms;
  if (ledger_view_program (home->ledger, call->call.key.program, &view))
    message.dispatch.attained_tokens = view.charged_tokens;
  if (peer_net_send (home->core->net, link, &message) != ERROR_NONE)
    return false;
  snprintf (call->backend, sizeof call->backend, "%s", backend->setting.name);
  call->dispatch_id = message.dispatch.id;
  call->owner_link = link;
  call->state = HOME_CALL_DISPATCHED;
  HASH_ADD (by_dispatch, home->dispatches, dispatch_id, sizeof call->dispatch_id, call);
  call->timer = timer_subscribe (call, home->core->timers,
                                 (int64_t)profile->call_timeout_ms + TIMEOUT_GRACE_MS, 0,
                                 home_call_on_timeout, call);
  return true;
}

static void
home_call_dispatch (struct HomeCall *call)
{
  struct Home *home = call->home;
  struct Fleet *fleet = home->core->fleet;
  struct PeerAnswer failed = { 0 };
  struct Profile profile;
  struct PolicyServer *servers;
  const struct FleetBackend *backend;
  size_t n_servers;
  int32_t chosen;

  call->attempt++;
  fleet_profile (fleet, call->call.service, &profile);
  servers = fleet_servers (fleet, call, call->call.target_kind, call->call.target, &n_servers);
  home_call_leave_out_tried (call, servers, n_servers);
  chosen = placement_choose (home->placement, &profile.weights, servers, n_servers, &call->call,
                             timer_now_ms (home->core->timers), &failed.fault);
  if (chosen < 0)
    {
      talloc_free (servers);
      home_call_abandon (call, RAN_NO, &failed.fault, come_back_ms (call, COME_BACK_NO_SERVER_MS));
      return;
    }
  backend = fleet_backend (fleet, servers[chosen].name);
  talloc_free (servers);
  home_call_mark_tried (call, backend->setting.name);
  if (home_call_send (call, backend, &profile,
                      placement_cached_hint (home->placement, &call->call, backend->setting.name)))
    return;
  failed.outcome.error = fault_set (&failed.fault, ERROR_UNREACHABLE, NULL,
                                    "the owner of %s can not be reached", backend->setting.name);
  failed.outcome.ran = RAN_NO;
  home_call_retry (call, &failed);
}

static void
home_call_on_intent_late (void *data)
{
  struct HomeCall *call = data;
  struct Fault fault;

  TALLOC_FREE (call->timer);
  /* The intent may still become durable, but it will never be followed by a dispatch, here or
   * anywhere: a home that finds it without an outcome does not send it either. */
  call->given_up = true;
  fault_set (&fault, ERROR_PLATFORM_DOWN, NULL,
             "the platform's key-value service does not take the journal");
  home_call_refuse_all (call, &fault, come_back_ms (call, COME_BACK_PLATFORM_MS));
}

static void
home_call_on_intent_written (void *data, int32_t error)
{
  struct HomeCall *call = data;
  struct Fault fault;

  TALLOC_FREE (call->timer);
  call->intent_journaled = error == ERROR_NONE;
  if (error == ERROR_NONE && !call->given_up)
    {
      home_call_dispatch (call);
      return;
    }
  fault_set (&fault, error != ERROR_NONE ? error : ERROR_PLATFORM_DOWN, NULL,
             "the call was given up before it was sent");
  home_call_abandon (call, error == ERROR_FENCED ? RAN_MAYBE : RAN_NO, &fault,
                     come_back_ms (call, COME_BACK_PLATFORM_MS));
}

static void
home_call_start (struct HomeCall *call, const struct LedgerDecision *decision)
{
  struct Home *home = call->home;
  struct Profile profile;

  fleet_profile (home->core->fleet, call->call.service, &profile);
  retry_budget_earn (home->retries, profile.weights.retry_budget_permille);
  counter_add (COUNTER_CALLS_ACCEPTED, 1);
  if (decision->verdict == LEDGER_RUN)
    {
      home_call_dispatch (call);
      return;
    }
  call->state = HOME_CALL_WRITING_INTENT;
  call->timer = timer_subscribe (call, home->core->timers, INTENT_PATIENCE_MS, 0,
                                 home_call_on_intent_late, call);
  home_write (home, &decision->record, call->call.key.program, home_call_on_intent_written, call);
}

/* Why a call that the ledger accepts may not start now; ERROR_NONE when it may. */
static int32_t
home_call_bar (struct Home *home,
               const struct Call *call,
               const struct LedgerDecision *decision,
               struct Fault *fault)
{
  if (quarantine_holds (home->quarantine, call->digest))
    return fault_set (fault, ERROR_QUARANTINED, NULL,
                      "two backend servers died while they ran this request");
  if (decision->verdict == LEDGER_JOURNAL_FIRST && !journal_is_writable (home->journal))
    return fault_set (fault, ERROR_PLATFORM_DOWN, NULL,
                      "the platform's key-value service does not take the journal");
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
  if (home_call_bar (home, &request->call, decision, &fault) == ERROR_NONE)
    home_call_start (call, decision);
  else
    home_call_abandon (
        call, RAN_NO, &fault,
        fault.error == ERROR_PLATFORM_DOWN ? come_back_ms (call, COME_BACK_PLATFORM_MS) : 0);
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
  if (call == NULL || call->given_up)
    {
      fault_set (&fault, ERROR_PLATFORM_DOWN, NULL, "an earlier try of the call is being settled");
      home_refuse (home, link, request->id, request->first_attempt, &fault, COME_BACK_PLATFORM_MS,
                   0);
      return;
    }
  home_call_add_waiter (call, link, request);
  home_call_release (call, call->releasable_bytes);
}

static void
home_call_answer_stored (struct Home *home,
                         uint64_t link,
                         const struct PeerRequest *request,
                         const struct Outcome *stored)
{
  struct PeerAnswer answer = { .id = request->id };

  counter_add (COUNTER_CALLS_STORED, 1);
  answer.outcome = *stored;
  answer.outcome.answer = NULL;
  answer.outcome.answer_bytes = 0;
  answer.event_stream = request->call.stream;
  if (stored->error != ERROR_NONE)
    fault_set (&answer.fault, stored->error, NULL, "the call was sent, and its answer was lost");
  home_reply_bytes (home, link, request->id, stored->status, stored->answer, stored->answer_bytes);
  home_reply (home, link, &answer);
}

/* The most that a call may reserve is its service's to say. */
static bool
home_call_fits (struct Home *home, const struct Call *call, struct Fault *fault)
{
  struct Profile profile;

  fleet_profile (home->core->fleet, call->service, &profile);
  if ((uint64_t)call->prompt_tokens + call->max_tokens <= profile.reserve_tokens_max)
    return true;
  fault_set (fault, ERROR_BUDGET, "ask for fewer tokens, or raise reserve_max in the profile",
             "the call wants %u tokens, its profile allows %u",
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
  if (!home_call_fits (home, &own.call, &fault))
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
      home_call_answer_stored (home, link, &own, decision.stored);
      break;
    case LEDGER_REFUSE:
      home_refuse (home, link, own.id, own.first_attempt, &decision.fault, 0,
                   decision.expected_sequence);
      break;
    }
  if (decision.end_reason != 0)
    home_end_program (home, own.call.key.program, decision.end_reason);
}

/* Bytes at the end of text that could be the start of the end marker. */
static size_t
marker_overlap (const uint8_t *text, size_t n_bytes)
{
  size_t longest = sizeof end_marker - 2;

  if (longest > n_bytes)
    longest = n_bytes;
  for (size_t n = longest; n > 0; n--)
    if (memcmp (text + n_bytes - n, end_marker, n) == 0)
      return n;
  return 0;
}

/* How much of the stream may be seen before its outcome is durable. */
static size_t
home_call_releasable (const struct HomeCall *call)
{
  const uint8_t *from = call->answer + call->releasable_bytes;
  size_t n_bytes = call->answer_bytes - call->releasable_bytes;
  const uint8_t *marker = memmem (from, n_bytes, end_marker, sizeof end_marker - 1);

  if (marker != NULL)
    return (size_t)(marker - call->answer);
  return call->answer_bytes - marker_overlap (from, n_bytes);
}

bool
home_on_chunk (struct Home *home, const struct PeerChunk *chunk)
{
  struct HomeCall *call;

  HASH_FIND (by_dispatch, home->dispatches, &chunk->id, sizeof chunk->id, call);
  if (call == NULL)
    return false;
  if (call->answer_bytes + chunk->n_bytes > call->answer_size)
    {
      call->answer_size = (call->answer_bytes + chunk->n_bytes) * 2;
      call->answer = talloc_realloc (call, call->answer, uint8_t, call->answer_size);
    }
  memcpy (call->answer + call->answer_bytes, chunk->bytes, chunk->n_bytes);
  call->answer_bytes += chunk->n_bytes;
  call->status = chunk->status;
  if (!call->call.stream || chunk->status != 200)
    return true;
  call->releasable_bytes = home_call_releasable (call);
  home_call_release (call, call->releasable_bytes);
  return true;
}

static void
home_tell_death (struct Home *home, const struct HomeCall *call)
{
  struct PeerMessage message = { .kind = PEER_QUARANTINE };

  memcpy (message.quarantine.digest, call->call.digest, DIGEST_BYTES);
  snprintf (message.quarantine.server, sizeof message.quarantine.server, "%s", call->backend);
  home_on_death (home, call->call.digest, call->backend);
  fleet_broadcast (home->core->fleet, &message);
}

void
home_on_death (struct Home *home, const uint8_t digest[DIGEST_BYTES], const char *server)
{
  if (!quarantine_record_death (home->quarantine, digest, server,
                                timer_now_ms (home->core->timers)))
    return;
  counter_add (COUNTER_QUARANTINED, 1);
  log_event (LOG_LEVEL_ERROR, "request_quarantined", NULL, error_remedy (ERROR_QUARANTINED),
             "a request stopped a second backend server, %s", server);
}

/* A call that broke after it was sent, and may be sent again. */
static void
home_call_on_broken (struct HomeCall *call, const struct PeerAnswer *answer)
{
  struct Fault fault;

  if (quarantine_holds (call->home->quarantine, call->call.digest))
    {
      fault_set (&fault, ERROR_QUARANTINED, NULL,
                 "two backend servers died while they ran this request");
      home_call_abandon (call, RAN_YES, &fault, 0);
      return;
    }
  if (!call->released_any)
    {
      home_call_retry (call, answer);
      return;
    }
  /* Part of an answer is with the caller: another try would mix two. The caller sends the same
   * sequence number again and gets a whole one. */
  home_call_abandon (call, RAN_MAYBE, &answer->fault, come_back_ms (call, 0));
}

bool
home_on_answer (struct Home *home, const struct PeerAnswer *answer)
{
  struct HomeCall *call;

  HASH_FIND (by_dispatch, home->dispatches, &answer->id, sizeof answer->id, call);
  if (call == NULL)
    return home_release_on_answer (home, answer);
  if (answer->server_died)
    home_tell_death (home, call);
  if (answer->outcome.ran == RAN_NO)
    {
      home_call_retry (call, answer);
      return true;
    }
  if (answer->outcome.error == ERROR_NONE
      && (answer->outcome.status < 500 || !call->call.idempotent))
    {
      home_call_end (call, &answer->outcome);
      return true;
    }
  home_release_touch (home, call->call.key.program, call->backend);
  if (call->call.idempotent)
    home_call_on_broken (call, answer);
  else
    home_call_may_have_run (call);
  return true;
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
  struct PeerAnswer lost = { 0 };

  lost.outcome.error = fault_set (&lost.fault, ERROR_UNKNOWN_EFFECT, NULL,
                                  "the instance that sent the call was lost");
  lost.outcome.ran = RAN_MAYBE;
  HASH_ITER (by_key, home->calls, call, next)
  {
    home_call_drop_waiters (call, link);
    if (call->owner_link != link)
      continue;
    lost.id = call->dispatch_id;
    home_on_answer (home, &lost);
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
        home_release_touch (home, program, call->backend);
        if (!call->call.idempotent)
          break; /* its outcome is still wanted */
        home_call_abandon (call, RAN_MAYBE, &fault, 0);
        break;
      case HOME_CALL_BACKING_OFF:
        home_call_abandon (call, RAN_MAYBE, &fault, 0);
        break;
      case HOME_CALL_WRITING_INTENT:
        call->given_up = true;
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
  struct PeerAnswer answer = { 0 };

  answer.outcome.error =
      fault_set (&answer.fault, error, NULL, "this instance is no longer the program's home");
  answer.outcome.ran = RAN_MAYBE;
  HASH_ITER (by_key, home->calls, call, next)
  {
    home_call_answer_all (call, &answer);
    home_call_forget_dispatch (call);
  }
  HASH_CLEAR (by_key, home->calls);
}
