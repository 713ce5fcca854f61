#include "request.h"
#include "attribution.h"
#include "crash_guard.h"
#include "credential.h"
#include "paces.h"
#include "quotas.h"
#include "slots.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/log.h>
#include <buckthornhead/request_digest.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Connecting to a server in another zone takes a few milliseconds; TCP retransmits a lost SYN
   * only after a second, so trying another server is faster. */
  CONNECT_TIMEOUT_MS = 400,
  /* No attempt is started with less time than this before the deadline. */
  ATTEMPT_MIN_MS = 20
};

/* Retry-After in seconds. A missing configuration or quorum of archives is resolved within one or
 * two heartbeats; a full server frees a slot within a fraction of a turn. */
#define RETRY_AFTER_SHORT "0.1"
#define RETRY_AFTER_UNCERTAIN "0.3"

struct FailureReply
{
  uint32_t status;
  const char *retry_after; /* NULL: none */
  const char *name;
  enum LogLevel level;
};

static const struct FailureReply failure_words[] = {
  [FAILURE_NO_CONFIG] = { 503, RETRY_AFTER_UNCERTAIN, "no_configuration", LOG_LEVEL_WARNING },
  [FAILURE_NO_KEY] = { 401, NULL, "no_key", LOG_LEVEL_INFO },
  [FAILURE_OVER_LIMIT] = { 429, NULL, "over_limit", LOG_LEVEL_INFO },
  [FAILURE_NO_ROUTE] = { 404, NULL, "no_route", LOG_LEVEL_INFO },
  [FAILURE_MALFORMED] = { 400, NULL, "malformed", LOG_LEVEL_INFO },
  [FAILURE_NO_SERVER] = { 503, RETRY_AFTER_SHORT, "no_server", LOG_LEVEL_WARNING },
  [FAILURE_OUT_OF_TIME] = { 503, RETRY_AFTER_SHORT, "out_of_time", LOG_LEVEL_WARNING },
  [FAILURE_BUSY] = { 503, NULL, "servers_busy", LOG_LEVEL_WARNING },
  [FAILURE_NO_MEMORY] = { 503, RETRY_AFTER_SHORT, "no_memory", LOG_LEVEL_WARNING },
  [FAILURE_QUARANTINED] = { 503, NULL, "quarantined", LOG_LEVEL_WARNING },
  [FAILURE_STOPPING] = { 503, "0", "stopping", LOG_LEVEL_INFO },
  [FAILURE_UNCERTAIN] = { 503, RETRY_AFTER_UNCERTAIN, "uncertain", LOG_LEVEL_WARNING },
  [FAILURE_NO_TURN] = { 404, NULL, "no_turn", LOG_LEVEL_WARNING },
  [FAILURE_BUDGET] = { 402, NULL, "budget_spent", LOG_LEVEL_INFO },
  [FAILURE_BROKEN] = { 502, NULL, "broken", LOG_LEVEL_WARNING },
  [FAILURE_TIMEOUT] = { 504, NULL, "timeout", LOG_LEVEL_WARNING },
};

static int64_t
request_remaining_ms (const struct Request *request)
{
  return request->deadline_ms - timer_now_ms (request->front->node->timers);
}

int64_t
request_elapsed_ms (const struct Request *request)
{
  return timer_now_ms (request->front->node->timers) - request->arrived_ms;
}

const uint8_t *
request_digest (struct Request *request)
{
  const struct RequestContent content = {
    .customer = request->customer.name,
    .method = request->exchange->method,
    .host = request->caller.host,
    .target = request->exchange->target,
    /* As the caller sent it, without the history of a turn. */
    .body = request->exchange->body,
    .body_bytes = request->exchange->body_bytes,
  };

  if (!request->has_digest)
    request_digest_compute (&content, request->digest);
  request->has_digest = true;
  return request->digest;
}

void
request_record_answered (const struct Request *request, enum Histogram histogram)
{
  counter_add (COUNTER_REQUESTS_ANSWERED, 1);
  histogram_add (histogram, request_elapsed_ms (request));
}

static void
request_record_failed (const struct Request *request, uint32_t status)
{
  enum Counter counter = COUNTER_REQUESTS_REJECTED;

  if (status == 503)
    counter = COUNTER_REQUESTS_REFUSED;
  else if (status >= 500)
    counter = COUNTER_REQUESTS_BROKEN;
  counter_add (counter, 1);
  histogram_add (HISTOGRAM_REFUSAL, request_elapsed_ms (request));
}

void
attempt_release (struct Request *request)
{
  TALLOC_FREE (request->silence_timer);
  /* The request's own response never came: the discarded one may have been it. */
  if (request->has_stray_response)
    attribution_record_stray (request->front->attribution, request->service, true);
  request->has_stray_response = false;
  slots_release (request);
  request->outcome = SLOT_NOT_USED;
  if (request->replica != NULL)
    {
      request->replica->in_flight--;
      request->replica->connected_until_ms =
          http_client_idle_until_ms (request->front->client, request->replica->entry.address);
    }
  request->replica = NULL;
}

void
request_end (struct Request *request)
{
  if (request->call != NULL)
    talloc_free (request->call);
  request->call = NULL;
  TALLOC_FREE (request->check);
  attempt_release (request);
  if (request->exchange != NULL)
    {
      request->exchange->on_disconnect = NULL;
      request->exchange->on_uncongested = NULL;
    }
  *request->pprev = request->next;
  if (request->next != NULL)
    request->next->pprev = request->pprev;
  talloc_free (request);
}

/* Sends the failure's response to the caller and ends the request; retry_after is in seconds, NULL
 * for none. */
static void
request_fail_with_retry (struct Request *request,
                         enum RequestFailure failure,
                         const char *retry_after,
                         const char *detail)
{
  const struct FailureReply *reply = &failure_words[failure];
  struct HttpExchange *exchange = request->exchange;
  struct HttpHeader items[2];
  struct HttpHeaders headers = { items, 0 };
  char attempt[NAME_MAX_BYTES + 64] = "";

  if (request->call != NULL)
    snprintf (attempt, sizeof attempt, ", now at %s, connection with %u earlier requests",
              request->replica->entry.id, request->earlier_requests);
  log_request (
      reply->level, reply->name, request->caller.id, request->caller.program,
      "route %s, service %s, customer %s, configuration %llu, %lld ms left, %zu servers tried%s%s: "
      "%s",
      request->route.name, request->service,
      request->customer.name[0] != '\0' ? request->customer.name : "-",
      (unsigned long long)(request->front->table != NULL ? request->front->table->version : 0),
      (long long)request_remaining_ms (request), request->n_tried, attempt,
      request->may_have_run ? ", may have run" : "", detail);
  if (retry_after != NULL)
    items[headers.n_items++] = (struct HttpHeader){ "Retry-After", retry_after };
  if (reply->status == 401)
    items[headers.n_items++] = (struct HttpHeader){ "WWW-Authenticate", "Bearer" };
  if (!request->may_have_run && request->call == NULL)
    quotas_refund (request);
  request_record_failed (request, reply->status);
  if (request->turn != NULL)
    turn_abandon (request);
  request->exchange = NULL;
  if (exchange != NULL)
    {
      exchange->on_disconnect = NULL;
      if (http_exchange_has_begun (exchange))
        http_exchange_abort (exchange);
      else
        http_exchange_respond (exchange, reply->status, &headers, NULL, 0);
    }
  request_end (request);
}

void
request_fail (struct Request *request, enum RequestFailure failure, const char *detail)
{
  request_fail_with_retry (request, failure, failure_words[failure].retry_after, detail);
}

static void
request_fail_with_wait_ms (struct Request *request,
                           enum RequestFailure failure,
                           uint32_t wait_ms,
                           const char *detail)
{
  char seconds[24];

  snprintf (seconds, sizeof seconds, "%u.%03u", wait_ms / 1000, wait_ms % 1000);
  request_fail_with_retry (request, failure, seconds, detail);
}

void
request_reject_over_limit (struct Request *request, uint32_t wait_ms, const char *detail)
{
  request_fail_with_wait_ms (request, FAILURE_OVER_LIMIT, wait_ms, detail);
}

void
request_reject_quarantined (struct Request *request, uint32_t wait_ms, const char *detail)
{
  if (request->may_have_run)
    request_fail (request, FAILURE_BROKEN, detail);
  else if (wait_ms > 0)
    request_fail_with_wait_ms (request, FAILURE_QUARANTINED, wait_ms, detail);
  else
    request_fail (request, FAILURE_QUARANTINED, detail);
}

void
request_reject_busy (struct Request *request, uint32_t wait_ms)
{
  bool begins = request->turn != NULL && !request->continues_program;
  char detail[128];

  if (begins)
    counter_add (COUNTER_PROGRAMS_REJECTED, 1);
  snprintf (detail, sizeof detail, "%s%s is busy for another %u ms",
            begins ? "program begins: " : "", request->replica->entry.id, wait_ms);
  request_fail_with_wait_ms (request, FAILURE_BUSY, wait_ms, detail);
}

void
request_retry (struct Request *request, const char *detail)
{
  TALLOC_FREE (request->response_headers.items);
  request->response_headers.n_items = 0;
  byte_queue_drop (&request->response_body, byte_queue_length (&request->response_body));
  request->rejected = false;
  if (request_remaining_ms (request) < ATTEMPT_MIN_MS)
    request_fail (request, request->may_have_run ? FAILURE_TIMEOUT : FAILURE_OUT_OF_TIME, detail);
  else if (request->n_tried == TRIED_MAX || request->n_sent >= request->route.max_attempts)
    request_fail (request, request->may_have_run ? FAILURE_BROKEN : FAILURE_NO_SERVER, detail);
  else
    request_send (request);
}

static bool
request_claim_attempt (struct Request *request)
{
  return request->n_sent < request->route.max_attempts && request->n_tried < TRIED_MAX
         && request_remaining_ms (request) >= ATTEMPT_MIN_MS && !crash_guard_holds (request)
         && retry_allowance_take (&request->front->retries);
}

bool
request_claim_repeat (struct Request *request)
{
  return route_is_idempotent (&request->route) && !http_exchange_has_begun (request->exchange)
         && request_claim_attempt (request);
}

bool
request_claim_resume (struct Request *request)
{
  const struct EventStream *events = &request->events;

  return request->front->node->settings->decisions.resume && request->route.resumable
         && http_exchange_has_begun (request->exchange)
         && (events->n_events == 0 || events->has_last_id) && request_claim_attempt (request);
}

/* Sending. */

static struct ReplicaQuery
request_query (struct Request *request)
{
  struct Front *front = request->front;

  return (struct ReplicaQuery){
    .decisions = &front->node->settings->decisions,
    .service = request->service,
    .zone = front->node->settings->zone,
    .previous_server = request->previous_server,
    .parts = request->caller.parts,
    .n_parts = request->caller.n_parts,
    .object = request->object,
    .tried = (const char *const *)request->tried,
    .n_tried = request->n_tried,
    .service_ms = request->plain_service_ms,
    .draw = front->n_draws,
    .now_ms = timer_now_ms (front->node->timers),
  };
}

struct Replica *
request_choose_server (struct Request *request)
{
  struct ReplicaQuery query = request_query (request);

  request->front->n_draws++;
  paces_fill_query (request, &query);
  return replica_set_choose (request->front->replicas, &query);
}

uint32_t
request_plain_wait_ms (struct Request *request, const struct Replica *replica)
{
  const struct ReplicaQuery query = request_query (request);

  return replica_plain_wait_ms (replica, &query);
}

/* Returns false when no connection is available. */
static bool
request_submit (struct Request *request, struct Replica *replica)
{
  struct Front *front = request->front;
  const struct HttpCallHandler handler = response_handler (request);
  struct UpstreamTarget target = {
    .replica = replica->entry.id,
    .address = replica->entry.address,
    .left_ms = request_remaining_ms (request),
    .body_bytes = request->body_bytes,
    .customer = front->table->customers != NULL ? request->customer.name : NULL,
  };
  struct HttpCallRequest call = {
    .address = replica->entry.address,
    .body = request->body,
    .body_bytes = request->body_bytes,
    .expects_no_body = strcmp (request->exchange->method, "HEAD") == 0,
    .id_header = front->node->dialect->id_header,
    .id = request->caller.id,
    .connection_use = attribution_connection_use (front->attribution, request->service, replica),
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .connections_max = request->connections_max,
  };
  char resume_after[24]; /* fits a 64-bit decimal number */
  char *head;

  if (request->route.resumable)
    target.resume_after = request->caller.resume_after;
  if (request->route.resumable && request->events.has_last_id)
    {
      snprintf (resume_after, sizeof resume_after, "%llu",
                (unsigned long long)request->events.last_id);
      target.resume_after = resume_after;
    }
  head = front->node->dialect->write_request (request, request->exchange, &target);

  if (head == NULL)
    return false;
  call.head = head;
  request->call = http_client_submit (front->client, &call, &handler);
  talloc_free (head);
  /* A resumed stream may find its caller still congested. */
  request_update_flow (request);
  return request->call != NULL;
}

/* The server has been silent for longer than a healthy one: its response may be lost, or the server
 * may be stuck. Cancels this attempt first, so that at most one attempt runs at a time. */
static void
request_on_silence (void *data)
{
  struct Request *request = data;
  char digest[REQUEST_DIGEST_NAME_BYTES];

  TALLOC_FREE (request->silence_timer);
  request->n_sent++;
  if (!request_claim_repeat (request))
    {
      request->n_sent--;
      return;
    }
  request->may_have_run = true;
  request_digest_name (request_digest (request), digest);
  log_request (LOG_LEVEL_INFO, "server_silent", request->caller.id, request->caller.program,
               "%s sent no response, %lld ms left: trying another server; digest %s",
               request->replica->entry.id, (long long)request_remaining_ms (request), digest);
  replica_record_failure (request->replica, timer_now_ms (request->front->node->timers));
  crash_guard_record_silence (request);
  TALLOC_FREE (request->call);
  attempt_release (request);
  request_retry (request, "the server sent no response in time");
}

void
request_repeat_soon (struct Request *request)
{
  TALLOC_FREE (request->silence_timer);
  request->silence_timer =
      timer_subscribe (request, request->front->node->timers, 0, 0, request_on_silence, request);
}

static void
request_start_silence_timer (struct Request *request)
{
  int64_t timeout_ms;

  if (!request->front->node->settings->decisions.patience || request->route.kind != ROUTE_REPEATABLE
      || request->n_sent + 1 >= request->route.max_attempts)
    return;
  timeout_ms =
      retry_response_timeout_ms (request->route.objective_ms, request_remaining_ms (request));
  if (timeout_ms > 0)
    request->silence_timer = timer_subscribe (request, request->front->node->timers, timeout_ms, 0,
                                              request_on_silence, request);
}

static void
request_note_sent_again (const struct Request *request)
{
  counter_add (COUNTER_REQUESTS_SENT_AGAIN, 1);
  log_request (LOG_LEVEL_INFO, "sent_again", request->caller.id, request->caller.program,
               "attempt %zu, to %s, connection with %u earlier requests", request->n_tried,
               request->replica->entry.id, request->earlier_requests);
}

/* Sends the request to .replica. Returns false when no connection is available. */
static bool
request_send_to_replica (struct Request *request)
{
  struct Replica *replica = request->replica;

  request->tried[request->n_tried++] = talloc_strdup (request, replica->entry.id);
  if (!request_submit (request, replica))
    {
      log_request (LOG_LEVEL_INFO, "attempt_not_run", request->caller.id, request->caller.program,
                   "%s: no connection available", replica->entry.id);
      return false;
    }
  request->sent_ms = timer_now_ms (request->front->node->timers);
  request->earlier_requests = http_call_earlier_requests (request->call);
  paces_begin_attempt (request);
  if (!replica->listed)
    log_request (LOG_LEVEL_INFO, "sent_to_unlisted", request->caller.id, request->caller.program,
                 "%s has been missing from the list for %lld ms", replica->entry.id,
                 (long long)(request->sent_ms - replica->missing_since_ms));
  if (request->n_tried > 1)
    request_note_sent_again (request);
  replica_note_sent (replica, request->caller.parts, request->caller.n_parts);
  request_start_silence_timer (request);
  return true;
}

void
request_on_slot_granted (struct Request *request)
{
  if (!crash_guard_admit (request))
    return;
  /* While the request waited, the server may have started to drain or used up its connections, or
   * the key may have been revoked. */
  if (!request->replica->entry.draining && credential_is_valid (request)
      && request_send_to_replica (request))
    return;
  attempt_release (request);
  request_send (request);
}

void
request_send (struct Request *request)
{
  if (request->may_have_run && !route_is_idempotent (&request->route))
    {
      request_fail (request, FAILURE_BROKEN, "an earlier attempt may have run");
      return;
    }
  if (!credential_is_valid (request))
    {
      request_fail (request, FAILURE_NO_KEY, "the key was revoked while the request waited");
      return;
    }
  if (!request->may_have_run && front_is_ending (request->front))
    {
      request_fail (request, FAILURE_STOPPING, "too late in a planned stop");
      return;
    }
  if (!crash_guard_admit (request))
    return;
  while (request->n_tried < TRIED_MAX)
    {
      struct Replica *replica = request_choose_server (request);

      if (replica == NULL)
        break;
      request->replica = replica;
      replica->in_flight++;
      if (request->needs_slot)
        {
          slots_request (request);
          return;
        }
      if (request_send_to_replica (request))
        return;
      attempt_release (request);
    }
  request_fail (request, request->may_have_run ? FAILURE_BROKEN : FAILURE_NO_SERVER,
                request->n_tried > 0 ? "every server refused the request"
                                     : "the server list is empty");
}
