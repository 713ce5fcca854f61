#include "turn_internal.h"

#include "relay.h"
#include "settle.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/log.h>

#include <stdio.h>

enum
{
  /* Storing takes a disk sync of 5 ms, possibly behind another batch. Without enough responses
   * after this long, the texts are sent to the other archives, too. */
  CLOSE_WIDEN_MS = 40,
  /* The close is repeated once, and the request fails when its program would rather start over. A
   * chain that is being sent may take longer. */
  CLOSE_RETRY_MS = 250,
  CLOSE_TIMEOUT_MS = 2500
};

/* Records which server now has the session in its cache. Records nothing for a turn that was
 * rejected or produced no event, since the server may not have read its prompt. */
static void
turn_fill_place (const struct Request *request, struct TurnClose *close)
{
  const struct CallerRequest *caller = &request->caller;
  uint64_t sessions[TURN_SESSIONS_MAX];

  turn_sessions (request, sessions);
  if (request->events.n_events == 0 || request->n_tried == 0 || sessions[0] == 0)
    return;
  close->session = sessions[0];
  close->session_tokens = caller->parts[caller->n_parts - 1].tokens;
  snprintf (close->text.server, NAME_MAX_BYTES + 1, "%s", request->tried[request->n_tried - 1]);
}

static void
turn_fill_close (struct Request *request, bool kept, struct GatewayMessage *message)
{
  struct TurnClose *close = &message->close;

  message->kind = GATEWAY_TURN_CLOSE;
  close->id = request->turn->query_id | (kept ? TURN_WITH_CHAIN : 0);
  close->generation = request->front->node->set.generation;
  snprintf (close->customer, sizeof close->customer, "%s", request->customer.name);
  snprintf (close->program, sizeof close->program, "%s", request->caller.program);
  close->charge_tokens = request->events.n_events * request->tokens_per_event;
  close->kept = kept;
  close->retention_ms = request->route.retention_ms;
  snprintf (close->text.turn, sizeof close->text.turn, "%s", request->caller.id);
  turn_fill_place (request, close);
  if (!kept)
    return;
  snprintf (close->text.previous, NAME_MAX_BYTES + 1, "%s", request->caller.previous);
  snprintf (close->text.server, NAME_MAX_BYTES + 1, "%s", request->tried[request->n_tried - 1]);
  close->text.input = request->exchange->body;
  close->text.input_bytes = request->exchange->body_bytes;
  close->text.output = byte_queue_head (&request->events.data);
  close->text.output_bytes = byte_queue_length (&request->events.data);
}

/* Sends the close only to the archives required for a write, since the texts are large. */
static void
turn_send_close_first (struct Request *request)
{
  struct Node *node = request->front->node;
  struct GatewayMessage message = { 0 };
  struct ArchiveCandidate candidates[ARCHIVE_SET_MAX];
  size_t n = turn_sort_archives (request, candidates);
  struct ArchiveNames first =
      archive_order_write_quorum (&node->set, node->settings->tolerated, candidates, n);

  turn_fill_close (request, true, &message);
  request->turn->close_sent = true;
  request->turn->sent = first;
  for (uint32_t i = 0; i < first.n; i++)
    node_send_archive (node, first.names[i], &message);
}

/* Sends the close to the archives that were left out at first. */
static void
turn_widen_close (struct Request *request)
{
  struct GatewayMessage message = { 0 };

  turn_fill_close (request, true, &message);
  node_send_set (request->front->node, &message, &request->turn->sent);
}

void
turn_send_close_to (struct Request *request, const char *archive, bool needs_chain)
{
  struct GatewayMessage message = { 0 };

  turn_fill_close (request, true, &message);
  if (!needs_chain)
    message.close.id &= ~TURN_WITH_CHAIN;
  node_send_archive (request->front->node, archive, &message);
}

void
turn_send_close (struct Request *request)
{
  struct GatewayMessage message = { 0 };
  struct Turn *turn = request->turn;

  turn_fill_close (request, true, &message);
  turn->close_sent = true;
  node_send_set (request->front->node, &message, &turn->answered);
}

static void
turn_relay_close (struct Request *request)
{
  struct Node *node = request->front->node;
  struct ArchiveNames asked = archive_set_targets (&node->set);
  struct GatewayMessage message = { 0 };

  turn_fill_close (request, true, &message);
  for (uint32_t i = 0; i < asked.n; i++)
    if (!archive_names_have (&request->turn->answered, asked.names[i])
        && relay_send (node, asked.names[i], &message) != ERROR_NONE)
      node_send (node, asked.names[i], &message);
}

static void
turn_on_close_timeout (void *data);

static void
turn_await_close (struct Request *request, int64_t timeout_ms)
{
  struct Turn *turn = request->turn;

  TALLOC_FREE (turn->timer);
  turn->timer = timer_subscribe (turn, request->front->node->timers, timeout_ms, 0,
                                 turn_on_close_timeout, request);
}

static void
turn_on_close_timeout (void *data)
{
  struct Request *request = data;
  struct Turn *turn = request->turn;
  char detail[64];

  if (!turn->sent_to_all)
    {
      turn->sent_to_all = true;
      turn_widen_close (request);
      turn_await_close (request, CLOSE_RETRY_MS - CLOSE_WIDEN_MS);
    }
  else if (!turn->retried)
    {
      turn->retried = true;
      /* Repeats it to those that have not responded, through another gateway if there is one. */
      turn_relay_close (request);
      turn_await_close (request, CLOSE_TIMEOUT_MS - CLOSE_RETRY_MS);
    }
  else if (turn->chain_progressed)
    {
      turn->chain_progressed = false;
      turn_await_close (request, CLOSE_TIMEOUT_MS);
    }
  else
    {
      snprintf (detail, sizeof detail, "only %u archives have stored the turn", turn->answered.n);
      request_fail (request, FAILURE_BROKEN, detail);
    }
}

void
turn_finish (struct Request *request)
{
  struct Turn *turn = request->turn;

  turn_begin_phase (request, turn, TURN_CLOSING);
  turn->retried = false;
  turn_send_close_first (request);
  turn_await_close (request, CLOSE_WIDEN_MS);
}

void
turn_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed)
{
  struct Request *request = turn_find (front, closed->id & ~TURN_WITH_CHAIN);

  if (request == NULL)
    {
      settle_on_closed (front, archive, closed);
      return;
    }
  if (request->turn->phase != TURN_CLOSING)
    return;
  if (turn_chain_on_closed (request, closed))
    return;
  if (closed->error == ERROR_NOT_FOUND)
    turn_chain_send (request, archive);
  if (closed->error != ERROR_NONE || !turn_record_response (request->turn, archive)
      || !archive_set_is_written (&front->node->set, front->node->settings->tolerated,
                                  &request->turn->answered))
    return;
  counter_add (COUNTER_TURNS_STORED, 1);
  histogram_add (HISTOGRAM_TURN_STORE,
                 timer_now_ms (front->node->timers) - request->turn->phase_ms);
  log_request (LOG_LEVEL_INFO, "turn_stored", request->caller.id, request->caller.program,
               "%u events from %s, ended by %s, %zu bytes after the last event, on %u archives",
               request->events.n_events, request->tried[request->n_tried - 1],
               http_framing_name (request->framing), request->events.incomplete_bytes,
               request->turn->answered.n);
  request_end_stream (request);
}

void
turn_abandon (struct Request *request)
{
  struct Turn *turn = request->turn;
  struct GatewayMessage message = { 0 };

  if (turn->close_sent)
    return;
  turn_begin_phase (request, turn, TURN_CLOSING);
  turn_fill_close (request, false, &message);
  turn->close_sent = true;
  settle_turn (request->front, &message.close);
}
