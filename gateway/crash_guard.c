#include "crash_guard.h"

#include "slots.h"
#include "suspects.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/request_digest.h>
#include <buckthornhead/scheduling/silent_attempts.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* A server that crashed and started again under its id is listed with its new start time within
   * this: a few of its heartbeats. */
  RESTART_LISTED_MS = 5000,
  /* Data that is read this long after a connection to its server broke was not waiting in a buffer
   * at that time. */
  DATA_DELAY_MS = 250,
  DATA_INTERVAL_MS = 50 /* between two checks of one server's data */
};

static struct Quarantine *
guard_quarantine (const struct Request *request)
{
  return suspects_quarantine (request->front->suspects);
}

static int64_t
guard_now_ms (const struct Request *request)
{
  return timer_now_ms (request->front->node->timers);
}

static bool
guard_is_enabled (const struct Request *request)
{
  return request->front->node->settings->quarantine;
}

static struct QuarantineState
guard_check (struct Request *request)
{
  static const struct QuarantineState is_free = { .verdict = VERDICT_FREE };
  const struct Quarantine *quarantine = guard_quarantine (request);

  if (!guard_is_enabled (request) || quarantine_is_empty (quarantine))
    return is_free;
  return quarantine_check (quarantine, request_digest (request), guard_now_ms (request));
}

/* Trials. */

/* While it is unknown which of a server's requests crashed it, any gateway may try one again: its
 * caller makes only a few attempts. Later trials are left to one gateway, so that they happen once
 * in the fleet. */
static bool
guard_may_try (struct Request *request, const struct QuarantineState *state)
{
  const struct Front *front = request->front;
  char name[REQUEST_DIGEST_NAME_BYTES];
  const char *owner;

  if (state->n_crashes <= QUARANTINE_THRESHOLD)
    return true;
  request_digest_name (request_digest (request), name);
  owner = gateway_owner (front, name, NULL);
  return owner != NULL && strcmp (owner, front->node->settings->instance) == 0;
}

static void
guard_begin_trial (struct Request *request, const struct QuarantineState *state)
{
  char name[REQUEST_DIGEST_NAME_BYTES];

  request->is_trial = true;
  quarantine_begin_trial (guard_quarantine (request), request_digest (request),
                          guard_now_ms (request));
  suspects_spread (request->front->suspects, request_digest (request));
  request_digest_name (request_digest (request), name);
  log_request (LOG_LEVEL_NOTICE, "quarantine_trial", request->caller.id, request->caller.program,
               "digest %s, %u crashes: sent to one server", name, state->n_crashes);
}

/* Requests. */

static void
guard_reject (struct Request *request, const struct QuarantineState *state)
{
  bool may_be_sound = state->n_crashes <= QUARANTINE_THRESHOLD && state->verdict == VERDICT_HELD
                      && state->wait_ms != INT64_MAX;
  char name[REQUEST_DIGEST_NAME_BYTES], detail[96];

  request_digest_name (request_digest (request), name);
  snprintf (detail, sizeof detail, "digest %s was running on %u servers that crashed", name,
            state->n_crashes);
  counter_add (COUNTER_REQUESTS_QUARANTINED, 1);
  request_reject_quarantined (request, may_be_sound ? (uint32_t)state->wait_ms : 0, detail);
}

bool
crash_guard_must_wait (const struct Request *request)
{
  return guard_is_enabled (request) && front_is_starting (request->front)
         && !suspects_are_informed (request->front->suspects);
}

bool
crash_guard_admit (struct Request *request)
{
  const struct QuarantineState state = guard_check (request);

  switch (state.verdict)
    {
    case VERDICT_FREE:
    case VERDICT_SUSPECT:
      return true;
    case VERDICT_HELD:
      if (request->is_trial)
        return true;
      break;
    case VERDICT_TRIAL:
      if (!guard_may_try (request, &state))
        break;
      guard_begin_trial (request, &state);
      return true;
    }
  guard_reject (request, &state);
  return false;
}

bool
crash_guard_holds (struct Request *request)
{
  return guard_check (request).n_crashes >= QUARANTINE_THRESHOLD;
}

/* Attempts. */

static struct SilentAttempt
guard_attempt (struct Request *request, int64_t ended_ms)
{
  const struct ReplicaEntry *server = &request->replica->entry;
  struct SilentAttempt attempt = { .crash = { .started_unix_ms = server->started_unix_ms,
                                              .sent_ms = request->sent_ms,
                                              .ended_ms = ended_ms } };

  memcpy (attempt.digest, request_digest (request), DIGEST_BYTES);
  snprintf (attempt.crash.server, sizeof attempt.crash.server, "%s", server->id);
  return attempt;
}

static void
guard_record_crash (struct Front *front, const struct SilentAttempt *attempt)
{
  if (quarantine_record_crash (suspects_quarantine (front->suspects), attempt->digest,
                               &attempt->crash, timer_now_ms (front->node->timers)))
    {
      counter_add (COUNTER_QUARANTINED, 1);
      suspects_log_quarantined (front->suspects, attempt->digest);
    }
  suspects_spread (front->suspects, attempt->digest);
}

void
crash_guard_record_complete (struct Request *request)
{
  struct Quarantine *quarantine = guard_quarantine (request);

  if (!guard_is_enabled (request))
    return;
  if (request->front->silent->n_items > 0)
    silent_attempts_forget (request->front->silent, request_digest (request));
  /* Streams hardly ever have the same content, and their bodies are long. */
  if ((route_is_idempotent (&request->route) || !quarantine_is_empty (quarantine))
      && quarantine_record_complete (quarantine, request_digest (request), guard_now_ms (request)))
    suspects_spread (request->front->suspects, NULL);
}

void
crash_guard_record_broken (struct Request *request)
{
  struct SilentAttempt attempt;

  /* A server that leaves as planned may end with requests that are not done. */
  if (!guard_is_enabled (request) || request->replica->entry.draining)
    return;
  attempt = guard_attempt (request, request->ended_ms);
  guard_record_crash (request->front, &attempt);
}

void
crash_guard_record_silence (struct Request *request)
{
  struct SilentAttempt attempt;

  if (!guard_is_enabled (request) || request->call == NULL || request->replica == NULL
      || request->replica->entry.draining)
    return;
  attempt = guard_attempt (request, guard_now_ms (request));
  silent_attempts_add (request->front->silent, &attempt);
}

void
crash_guard_on_servers (struct Front *front)
{
  int64_t now_ms = timer_now_ms (front->node->timers);
  struct SilentAttempt ended;

  while (silent_attempts_take_ended (front->silent, front->replicas, now_ms, &ended))
    guard_record_crash (front, &ended);
}

/* Records that the process of the request's server was running from since_ms to until_ms. */
static void
guard_refute (const struct Request *request, int64_t since_ms, int64_t until_ms)
{
  const struct ReplicaEntry *server = &request->replica->entry;

  if (quarantine_refute (guard_quarantine (request), server->id, server->started_unix_ms, since_ms,
                         until_ms, guard_now_ms (request)))
    suspects_spread (request->front->suspects, NULL);
}

void
crash_guard_record_response (const struct Request *request)
{
  if (!guard_is_enabled (request) || quarantine_is_empty (guard_quarantine (request)))
    return;
  guard_refute (request, http_call_connected_ms (request->call), request->sent_ms);
  guard_refute (request, 0, request->sent_ms - RESTART_LISTED_MS);
}

void
crash_guard_record_data (const struct Request *request)
{
  int64_t now_ms = guard_now_ms (request);

  if (!guard_is_enabled (request) || quarantine_is_empty (guard_quarantine (request))
      || now_ms - request->replica->running_checked_ms < DATA_INTERVAL_MS)
    return;
  request->replica->running_checked_ms = now_ms;
  guard_refute (request, http_call_connected_ms (request->call), now_ms - DATA_DELAY_MS);
}
