#include "home_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  TIMEOUT_GRACE_MS = 2000, /* added to call_timeout, so that the owner's timeout comes first */
  RETRY_AFTER_NO_SERVER_MS = 500
};

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

/* Retries a call of which no response bytes were forwarded and which is safe to send again, at
 * another backend server if there is one, within the retry budget. */
static void
home_call_retry (struct HomeCall *call, const struct PeerResponse *reply)
{
  struct Home *home = call->home;
  struct Fault fault;
  uint32_t delay_ms = 0;
  uint32_t retry_after_ms = reply->retry_after_ms;

  home_call_clear_dispatch (call);
  TALLOC_FREE (call->timer);
  call->response_bytes = 0;
  call->forwardable_bytes = 0;
  if (retry_budget_withdraw (home->retries, &call->call, &reply->outcome, call->attempt,
                             home_call_time_left_ms (call), &delay_ms, &fault)
      != ERROR_NONE)
    {
      if (retry_after_ms == 0)
        retry_after_ms = home_call_retry_after_ms (call, RETRY_AFTER_NO_SERVER_MS);
      home_call_abandon (call, reply->outcome.ran,
                         reply->fault.error != ERROR_NONE ? &reply->fault : &fault, retry_after_ms);
      return;
    }
  counter_add (COUNTER_CALLS_RETRIED, 1);
  call->state = HOME_CALL_BACKING_OFF;
  call->timer = timer_subscribe (call, home->core->timers, delay_ms, 0, home_call_on_retry, call);
}

void
home_call_cut_off (struct HomeCall *call, int32_t error, const char *cause)
{
  struct PeerMessage cancel = { .kind = PEER_CANCEL };
  struct Fault fault;

  TALLOC_FREE (call->timer);
  TALLOC_FREE (call->response);
  call->response_size = 0;
  call->response_bytes = 0;
  cancel.cancel.id = call->dispatch_id;
  peer_net_send (call->home->core->net, call->owner_link, &cancel);
  home_release_record_held (call->home, call->call.key.program, call->backend);
  if (!call->call.idempotent)
    {
      home_call_end_uncertain (call);
      return;
    }
  fault_set (&fault, error, NULL, "backend server %s: %s", call->backend, cause);
  home_call_abandon (call, RAN_MAYBE, &fault,
                     home_call_retry_after_ms (call, RETRY_AFTER_NO_SERVER_MS));
}

static void
home_call_on_timeout (void *data)
{
  home_call_cut_off (data, ERROR_TIMEOUT, "it did not respond in time");
}

static void
home_call_mark_tried (struct HomeCall *call, const char *server)
{
  if (call->n_tried == CALL_TRIED_MAX)
    return;
  snprintf (call->tried[call->n_tried++], NAME_MAX_BYTES + 1, "%s", server);
}

static void
home_call_exclude_tried (const struct HomeCall *call, struct PolicyServer *servers, size_t n)
{
  size_t n_usable = 0;

  for (size_t i = 0; i < n; i++)
    {
      for (uint32_t t = 0; t < call->n_tried; t++)
        if (strcmp (servers[i].name, call->tried[t]) == 0)
          servers[i].usable = false;
      n_usable += servers[i].usable;
    }
  if (n_usable > 0)
    return;
  /* All were tried: a server that refused the call may have capacity by now. */
  for (size_t i = 0; i < n; i++)
    {
      const struct FleetBackend *backend = fleet_backend (call->home->core->fleet, servers[i].name);

      servers[i].usable = backend != NULL && backend->live;
    }
}

/* Sends the call to the owner of backend. Returns false, with nothing sent, when the owner is
 * unreachable. */
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
  message.dispatch.suspect = quarantine_is_suspect (home->quarantine, call->call.digest);
  message.dispatch.timeout_ms = profile->call_timeout_ms;
  if (ledger_view_program (home->ledger, call->call.key.program, &view))
    message.dispatch.attained_tokens = view.charged_tokens - view.cached_tokens;
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

void
home_call_dispatch (struct HomeCall *call)
{
  struct Home *home = call->home;
  struct Fleet *fleet = home->core->fleet;
  struct PeerResponse failed = { 0 };
  struct Profile profile;
  struct PolicyServer *servers;
  const struct FleetBackend *backend;
  size_t n_servers;
  int32_t chosen;

  call->attempt++;
  fleet_profile (fleet, call->call.service, &profile);
  servers = fleet_servers (fleet, call, call->call.target_kind, call->call.target, &n_servers);
  home_call_exclude_tried (call, servers, n_servers);
  chosen = placement_choose (home->placement, &profile.weights, servers, n_servers, &call->call,
                             timer_now_ms (home->core->timers), &failed.fault);
  if (chosen < 0)
    {
      talloc_free (servers);
      home_call_abandon (call, RAN_NO, &failed.fault,
                         home_call_retry_after_ms (call, RETRY_AFTER_NO_SERVER_MS));
      return;
    }
  backend = fleet_backend (fleet, servers[chosen].name);
  talloc_free (servers);
  home_call_mark_tried (call, backend->setting.name);
  if (home_call_send (call, backend, &profile,
                      placement_cached_hint (home->placement, &call->call, backend->setting.name)))
    return;
  failed.outcome.error = fault_set (&failed.fault, ERROR_UNREACHABLE, NULL,
                                    "the owner of %s is unreachable", backend->setting.name);
  failed.outcome.ran = RAN_NO;
  home_call_retry (call, &failed);
}

static void
home_announce_crash (struct Home *home, const struct HomeCall *call)
{
  struct PeerMessage message = { .kind = PEER_QUARANTINE };

  memcpy (message.quarantine.digest, call->call.digest, DIGEST_BYTES);
  snprintf (message.quarantine.server, sizeof message.quarantine.server, "%s", call->backend);
  home_on_server_crash (home, call->call.digest, call->backend);
  fleet_broadcast (home->core->fleet, &message);
}

void
home_on_server_crash (struct Home *home, const uint8_t digest[DIGEST_BYTES], const char *server)
{
  int64_t now_ms = timer_now_ms (home->core->timers);
  struct CrashRecord crash = { .sent_ms = now_ms, .ended_ms = now_ms };

  snprintf (crash.server, sizeof crash.server, "%s", server);
  if (!quarantine_record_crash (home->quarantine, digest, &crash, now_ms))
    return;
  counter_add (COUNTER_QUARANTINED, 1);
  log_event (LOG_LEVEL_ERROR, "request_quarantined", NULL, error_remedy (ERROR_QUARANTINED),
             "a second backend server crashed while it ran the same request: %s", server);
}

/* Handles the failure of an idempotent call after it was sent. */
static void
home_call_on_failed (struct HomeCall *call, const struct PeerResponse *reply)
{
  struct Fault fault;

  if (quarantine_contains (call->home->quarantine, call->call.digest))
    {
      fault_set (&fault, ERROR_QUARANTINED, NULL,
                 "two backend servers died while they ran this request");
      home_call_abandon (call, RAN_YES, &fault, 0);
      return;
    }
  if (!call->forwarded_any)
    {
      home_call_retry (call, reply);
      return;
    }
  /* The caller has received part of a response, and another attempt would mix two. It sends the
   * same sequence number again and gets a complete one. */
  home_call_abandon (call, RAN_MAYBE, &reply->fault, home_call_retry_after_ms (call, 0));
}

bool
home_on_response (struct Home *home, const struct PeerResponse *reply)
{
  struct HomeCall *call;

  HASH_FIND (by_dispatch, home->dispatches, &reply->id, sizeof reply->id, call);
  if (call == NULL)
    return home_release_on_response (home, reply);
  if (reply->server_crashed)
    home_announce_crash (home, call);
  if (reply->outcome.ran != RAN_NO)
    call->may_have_run = true;
  if (reply->outcome.ran == RAN_NO)
    {
      home_call_retry (call, reply);
      return true;
    }
  if (reply->outcome.error == ERROR_NONE && (reply->outcome.status < 500 || !call->call.idempotent))
    {
      home_call_end (call, &reply->outcome);
      return true;
    }
  home_release_record_held (home, call->call.key.program, call->backend);
  if (call->call.idempotent)
    home_call_on_failed (call, reply);
  else
    home_call_end_uncertain (call);
  return true;
}
