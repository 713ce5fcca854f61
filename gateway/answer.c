#include "attribution.h"
#include "contention.h"
#include "crash_guard.h"
#include "paces.h"
#include "request.h"
#include "slots.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/log.h>
#include <buckthornhead/not_run.h>
#include <buckthornhead/request_digest.h>
#include <buckthornhead/response_end.h>

#include <string.h>
#include <strings.h>

enum
{
  ANSWER_MAX_BYTES = 8 * 1024 * 1024 /* body of a response that is buffered until complete */
};

static bool
response_is_success (const struct Request *request)
{
  return request->response.status >= 200 && request->response.status < 300;
}

static void
call_on_head (void *data, const struct HttpResponseHead *head)
{
  struct Request *request = data;
  const struct Dialect *dialect = request->front->node->dialect;

  TALLOC_FREE (request->silence_timer);
  histogram_add (HISTOGRAM_SERVER_HEAD,
                 timer_now_ms (request->front->node->timers) - request->sent_ms);
  dialect->read_response (head, &request->response);
  request->attribution = head->attribution;
  request->has_stray_response = false;
  if (head->attribution != HTTP_ATTRIBUTED_BY_ID)
    attribution_record (request->front->attribution, request->service, false);
  if (request->response.work_time_percent > 0)
    contention_record_report (request->front->contention, request->service);
  paces_record_report (request);
  replica_record_response (request->replica);
  crash_guard_record_response (request);
  request->framing = head->framing;
  request->rejected = request->response.rejected;
  if (request->rejected)
    return;
  if (request->framing == HTTP_FRAMING_CONNECTION)
    counter_add (COUNTER_RESPONSES_UNFRAMED, 1);
  request->may_have_run = true;
  request->streaming = request->route.kind == ROUTE_STREAM && response_is_success (request)
                       && request->response.has_seal;
  /* A resumed stream keeps the headers of the first server's response. */
  if (http_exchange_has_begun (request->exchange))
    return;
  if (dialect->forward_headers (request, head, &request->response_headers) != ERROR_NONE)
    {
      request_fail (request, FAILURE_BROKEN, "out of memory for the response headers");
      return;
    }
  if (request->streaming)
    http_exchange_begin (request->exchange, request->response.status, &request->response_headers);
}

void
request_update_flow (struct Request *request)
{
  if (request->call != NULL)
    http_call_set_paused (request->call, http_exchange_is_congested (request->exchange));
}

static void
stream_forward (struct Request *request, const uint8_t *bytes, size_t n_bytes)
{
  if (n_bytes == 0)
    return;
  if (!request->wrote_any)
    histogram_add (HISTOGRAM_FIRST_EVENT, request_elapsed_ms (request));
  request->wrote_any = true;
  http_exchange_write (request->exchange, bytes, n_bytes);
  request_update_flow (request);
}

/* Forwards only complete events of a stream that may be resumed at another server: a partial event
 * could not be retracted if the stream were interrupted. */
static void
stream_forward_whole_events (struct Request *request, const uint8_t *bytes, size_t n_bytes)
{
  size_t n_complete;

  if (byte_queue_add (request, &request->partial_event, bytes, n_bytes) != ERROR_NONE)
    {
      request_fail (request, FAILURE_BROKEN, "out of memory for an event of the stream");
      return;
    }
  if (request->events.has_repeated_event)
    {
      request_fail (request, FAILURE_BROKEN,
                    "the server repeated events that were already forwarded");
      return;
    }
  n_complete = byte_queue_length (&request->partial_event) - request->events.incomplete_bytes;
  stream_forward (request, byte_queue_head (&request->partial_event), n_complete);
  byte_queue_drop (&request->partial_event, n_complete);
}

/* Returns whether the bytes of the stream that are not forwarded yet exceed the bound for a
 * response: an event without an end, or a turn whose text is retained. */
static bool
stream_is_too_large (const struct Request *request)
{
  const struct EventStream *events = &request->events;

  return byte_queue_length (&request->partial_event) + byte_queue_length (&events->line)
             + byte_queue_length (&events->event) + byte_queue_length (&events->data)
         > ANSWER_MAX_BYTES;
}

static void
request_on_broken_response (struct Request *request, const char *cause);

/* Closes the connection of a server that sends more than a response may have. */
static void
request_on_oversized_body (struct Request *request)
{
  TALLOC_FREE (request->call);
  request->ended_ms = timer_now_ms (request->front->node->timers);
  request_on_broken_response (request, "the response is too large to buffer");
}

static void
call_on_body (void *data, const uint8_t *bytes, size_t n_bytes)
{
  struct Request *request = data;

  if (request->rejected)
    return;
  crash_guard_record_data (request);
  if (!request->streaming)
    {
      if (byte_queue_length (&request->response_body) + n_bytes > ANSWER_MAX_BYTES
          || byte_queue_add (request, &request->response_body, bytes, n_bytes) != ERROR_NONE)
        request_on_oversized_body (request);
      return;
    }
  if (event_stream_parse (request, &request->events, bytes, n_bytes) != ERROR_NONE)
    {
      request_fail (request, FAILURE_BROKEN, "out of memory for the stream");
      return;
    }
  if (stream_is_too_large (request))
    {
      request_fail (request, FAILURE_BROKEN, "the stream is too large to hold");
      return;
    }
  stream_pace_record (&request->stream_pace, request->events.n_events,
                      timer_now_ms (request->front->node->timers));
  if (request->route.resumable)
    stream_forward_whole_events (request, bytes, n_bytes);
  else
    stream_forward (request, bytes, n_bytes);
}

static void
request_finish_response (struct Request *request)
{
  struct HttpExchange *exchange = request->exchange;

  log_request (LOG_LEVEL_INFO, "answered", request->caller.id, request->caller.program,
               "status %u from %s, connection with %u earlier requests, ended by %s",
               request->response.status, request->tried[request->n_tried - 1],
               request->earlier_requests, http_framing_name (request->framing));
  request_record_answered (request, request->route.kind == ROUTE_REPEATABLE
                                        ? HISTOGRAM_ANSWER_REPEATABLE
                                        : HISTOGRAM_ANSWER_ONCE);
  if (request->turn != NULL)
    turn_abandon (request);
  request->exchange = NULL;
  exchange->on_disconnect = NULL;
  http_exchange_respond_queue (exchange, request->response.status, &request->response_headers,
                               &request->response_body);
  request_end (request);
}

void
request_end_stream (struct Request *request)
{
  struct HttpExchange *exchange = request->exchange;

  request_record_answered (request, HISTOGRAM_ANSWER_STREAM);
  request->exchange = NULL;
  exchange->on_disconnect = NULL;
  http_exchange_end (exchange);
  request_end (request);
}

/* Forwards any comment after the last event, too: it is part of the response. */
static void
request_on_stream_complete (struct Request *request)
{
  stream_forward (request, byte_queue_head (&request->partial_event),
                  byte_queue_length (&request->partial_event));
  if (request->turn != NULL && request->route.retains_turns)
    {
      turn_finish (request);
      return;
    }
  log_request (
      LOG_LEVEL_INFO, "answered", request->caller.id, request->caller.program,
      "%u events from %s, connection with %u earlier requests, ended by %s, %zu bytes after "
      "the last event",
      request->events.n_events, request->tried[request->n_tried - 1], request->earlier_requests,
      http_framing_name (request->framing), request->events.incomplete_bytes);
  if (request->turn != NULL)
    turn_abandon (request);
  request_end_stream (request);
}

static void
request_on_complete (struct Request *request)
{
  if (request->streaming)
    request_on_stream_complete (request);
  else if (http_exchange_has_begun (request->exchange))
    request_fail (request, FAILURE_BROKEN, "the server did not resume the stream");
  else if (response_is_success (request) && !request->response.has_seal)
    {
      /* A success without a valid proof from the server may be corrupted and is never forwarded. */
      if (request_claim_repeat (request))
        request_retry (request, "the response has no valid proof");
      else
        request_fail (request, FAILURE_BROKEN, "the response has no valid proof");
    }
  else if (request->response.status >= 500 && request_claim_repeat (request))
    request_retry (request, "the server replied with a 5xx status");
  else
    request_finish_response (request);
}

/* Resumes the stream at another server, after the last event that was forwarded. */
static void
request_resume (struct Request *request)
{
  log_request (LOG_LEVEL_INFO, "stream_resumed", request->caller.id, request->caller.program,
               "%s: interrupted after %u events, last event id %llu; resuming at another server",
               request->tried[request->n_tried - 1], request->events.n_events,
               (unsigned long long)request->events.last_id);
  counter_add (COUNTER_STREAMS_RESUMED, 1);
  event_stream_resume (&request->events);
  byte_queue_drop (&request->partial_event, byte_queue_length (&request->partial_event));
  request_retry (request, "the stream was interrupted");
}

/* Returns true for a failure of the server. A 504 only reports that the request's deadline, which
 * the caller or the route sets, has passed. */
static bool
response_is_failure (const struct ServerResponse *response)
{
  return response->status >= 500 && response->status != 504;
}

/* Logs an attempt that ended without a complete response, with the digest that identifies the
 * request in the lines of other attempts and gateways. */
static void
request_log_broken_attempt (struct Request *request, const char *cause)
{
  char digest[REQUEST_DIGEST_NAME_BYTES];

  request_digest_name (request_digest (request), digest);
  log_request (
      LOG_LEVEL_INFO, "attempt_broken", request->caller.id, request->caller.program,
      "digest %s, %s, connection with %u earlier requests: %s %lld ms after the request was "
      "sent",
      digest, request->replica->entry.id, request->earlier_requests, cause,
      (long long)(request->ended_ms - request->sent_ms));
}

/* Ends an attempt whose response is whole or broken off. */
static void
attempt_end (struct Request *request, enum SlotOutcome outcome)
{
  request->outcome = outcome;
  replica_note_result (request->replica, outcome == SLOT_FAILED, request->ended_ms);
  paces_end_attempt (request);
  attempt_release (request);
  request->n_sent++;
}

static void
request_on_whole_response (struct Request *request)
{
  crash_guard_record_complete (request);
  attempt_end (request, response_is_failure (&request->response) ? SLOT_FAILED : SLOT_SERVED);
  request_on_complete (request);
}

static void
request_on_broken_response (struct Request *request, const char *cause)
{
  request_log_broken_attempt (request, cause);
  replica_record_failure (request->replica, request->ended_ms);
  attempt_end (request, SLOT_FAILED);
  request->may_have_run = true;
  if (request_claim_resume (request))
    request_resume (request);
  else if (request_claim_repeat (request))
    request_retry (request, cause);
  else
    request_fail (request, FAILURE_BROKEN, cause);
}

static void
request_on_server_checked (void *data, enum HttpServerState state)
{
  struct Request *request = data;

  request->check = NULL;
  histogram_add (HISTOGRAM_SERVER_CHECK,
                 timer_now_ms (request->front->node->timers) - request->ended_ms);
  if (state == HTTP_SERVER_RUNNING)
    {
      request_on_whole_response (request);
      return;
    }
  crash_guard_record_broken (request);
  request_on_broken_response (request,
                              state == HTTP_SERVER_ENDED
                                  ? "the connection closed and the server's process has ended"
                                  : "the connection closed and the server does not respond");
}

/* The connection closed where the response may end: it is whole if the server is still running. */
static void
request_check_server (struct Request *request)
{
  request->check =
      http_client_check_server (request->front->client, request->replica->entry.address,
                                request->connections_max, request_on_server_checked, request);
  if (request->check == NULL)
    request_on_server_checked (request, HTTP_SERVER_UNKNOWN);
}

static const char *
broken_response_cause (const struct Request *request, enum HttpEnd end)
{
  switch (end)
    {
    case HTTP_END_COMPLETE:
    case HTTP_END_CLOSED:
      return request->streaming ? "the stream ended inside an event" : "the body is cut off";
    case HTTP_END_MALFORMED:
      return "the response is malformed";
    case HTTP_END_NOT_SENT:
    case HTTP_END_BROKEN:
      break;
    }
  return "the connection broke";
}

static struct ResponseBody
request_response_body (const struct Request *request)
{
  static const char json[] = "application/json";
  const char *type = http_headers_get (&request->response_headers, "Content-Type");
  struct ResponseBody body = { .kind = RESPONSE_BODY_OPAQUE };

  if (request->streaming)
    {
      body.kind = RESPONSE_BODY_EVENTS;
      body.events = &request->events;
    }
  else if (type != NULL && strncasecmp (type, json, strlen (json)) == 0)
    {
      body.kind = RESPONSE_BODY_JSON;
      body.json.bytes = byte_queue_head (&request->response_body);
      body.json.n_bytes = byte_queue_length (&request->response_body);
    }
  return body;
}

static void
request_judge_response (struct Request *request, enum HttpEnd end)
{
  const struct ResponseBody body = request_response_body (request);

  switch (response_end_judge (end, &body))
    {
    case RESPONSE_WHOLE:
      request_on_whole_response (request);
      break;
    case RESPONSE_UNKNOWN:
      request_check_server (request);
      break;
    case RESPONSE_BROKEN_OFF:
      if (end != HTTP_END_MALFORMED)
        crash_guard_record_broken (request);
      request_on_broken_response (request, broken_response_cause (request, end));
      break;
    }
}

/* Logs an attempt that counts as not run, and on what evidence. */
static void
request_log_not_run (const struct Request *request, enum NotRunEvidence evidence)
{
  log_request (LOG_LEVEL_INFO, "attempt_not_run", request->caller.id, request->caller.program,
               "%s, connection with %u earlier requests: %s, status %u, %lld ms after the attempt "
               "began",
               request->replica->entry.id, request->earlier_requests, not_run_name (evidence),
               evidence == NOT_RUN_NOT_SENT ? 0 : request->response.status,
               (long long)(request->ended_ms - request->sent_ms));
}

static void
request_on_not_sent (struct Request *request)
{
  replica_record_failure (request->replica, request->ended_ms);
  attempt_release (request);
  request_retry (request, "could not connect to the server");
}

static void
request_on_rejected (struct Request *request)
{
  if (request->attribution == HTTP_ATTRIBUTED_BY_ID)
    attribution_record (request->front->attribution, request->service, true);
  if (request->response.status == 503 || request->response.status == 429)
    {
      replica_record_full (request->replica, request->ended_ms);
      slots_note_full (request);
    }
  attempt_release (request);
  request_retry (request, "the server rejected the request");
}

static void
call_on_end (void *data, enum HttpEnd end)
{
  struct Request *request = data;
  const struct AttemptEnd attempt = { .end = end,
                                      .rejected = request->rejected,
                                      .attribution = request->attribution };
  enum NotRunEvidence evidence = not_run_judge (&attempt);

  request->call = NULL;
  request->ended_ms = timer_now_ms (request->front->node->timers);
  if (evidence != NOT_RUN_NONE)
    request_log_not_run (request, evidence);
  switch (evidence)
    {
    case NOT_RUN_NONE:
      request_judge_response (request, end);
      break;
    case NOT_RUN_NOT_SENT:
      request_on_not_sent (request);
      break;
    case NOT_RUN_REJECTED_BY_ID:
    case NOT_RUN_REJECTED_BY_CONNECTION:
      request_on_rejected (request);
      break;
    }
}

/* A response that may belong to an earlier request: the server still owes this request's own. A
 * repeatable request need not wait to see whether that follows. */
static void
call_on_not_attributed (void *data, const struct HttpResponseHead *head)
{
  struct Request *request = data;

  request->has_stray_response = true;
  log_request (LOG_LEVEL_INFO, "response_not_attributed", request->caller.id,
               request->caller.program,
               "%s, connection with %u earlier requests: status %u without an id is discarded",
               request->replica->entry.id, request->earlier_requests, head->status);
  if (attribution_record_stray (request->front->attribution, request->service, false)
      && route_is_idempotent (&request->route))
    request_repeat_soon (request);
}

struct HttpCallHandler
response_handler (struct Request *request)
{
  return (struct HttpCallHandler){ .head = call_on_head,
                                   .body = call_on_body,
                                   .end = call_on_end,
                                   .data = request,
                                   .not_attributed = call_on_not_attributed };
}
