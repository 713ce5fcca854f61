#include "turn_internal.h"

#include "relay.h"

#include <buckthornhead/archive_order.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/log.h>
#include <buckthornhead/turn_quorum.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* A reservation takes one disk sync, about 5 ms, and a millisecond or two on the network. After
   * this long too few archives are live, and the caller should retry later. */
  OPEN_TIMEOUT_MS = 800,
  /* About twenty times the usual duration. */
  OPEN_RETRY_MS = 150,
  /* Time for one archive to send missing history, before the next one is queried. */
  READ_TIMEOUT_MS = 250,
  /* How long to wait for the history after enough other archives have responded: covers a disk sync
   * that just missed a batch, 5 ms on the slowest disks of the target deployments, and the transfer
   * of the texts. */
  READER_LATE_MS = 15
};

size_t
turn_sort_archives (const struct Request *request,
                    struct ArchiveCandidate candidates[ARCHIVE_SET_MAX])
{
  const struct Node *node = request->front->node;
  struct ArchiveNames asked = archive_set_targets (&node->set);

  for (uint32_t i = 0; i < asked.n; i++)
    {
      const struct Peer *peer = node_peer (node, asked.names[i]);

      snprintf (candidates[i].name, sizeof candidates[i].name, "%s", asked.names[i]);
      candidates[i].has_chain =
          request->turn != NULL && archive_names_have (&request->turn->holders, asked.names[i]);
      candidates[i].responsive = peer != NULL && node_peer_is_responsive (node, peer);
      candidates[i].in_zone = peer != NULL && strcmp (peer->status.zone, node->settings->zone) == 0;
    }
  archive_order_sort (candidates, asked.n, request->caller.program);
  return asked.n;
}

/* Returns the archive that should send the history: the first reachable one in the program's order
 * that lacks nothing, since closes go to the first archives of that order. NULL: there is none. */
static const struct Peer *
turn_nearest_archive (const struct Request *request)
{
  const struct Node *node = request->front->node;
  struct ArchiveCandidate candidates[ARCHIVE_SET_MAX];
  size_t n = turn_sort_archives (request, candidates);

  for (size_t i = 0; i < n; i++)
    {
      const struct Peer *peer = node_peer (node, candidates[i].name);

      if (candidates[i].responsive && peer->status.complete)
        return peer;
    }
  return NULL;
}

void
turn_sessions (const struct Request *request, uint64_t sessions[TURN_SESSIONS_MAX])
{
  const struct CallerRequest *caller = &request->caller;

  memset (sessions, 0, TURN_SESSIONS_MAX * sizeof sessions[0]);
  if (request->route.retains_turns)
    return;
  for (size_t i = 0; i < TURN_SESSIONS_MAX && i + 1 < caller->n_parts; i++)
    sessions[i] = caller->parts[caller->n_parts - 1 - i].id;
}

void
turn_begin_phase (struct Request *request, struct Turn *turn, enum TurnPhase phase)
{
  turn->phase = phase;
  turn->phase_ms = timer_now_ms (request->front->node->timers);
  turn->query_id = node_next_id (request->front->node);
  turn->answered.n = 0;
  turn->complete.n = 0;
  TALLOC_FREE (turn->timer);
}

bool
turn_record_response (struct Turn *turn, const char *archive)
{
  if (archive_names_have (&turn->answered, archive))
    return false;
  archive_names_add (&turn->answered, archive);
  return true;
}

/* Reservation. */

/* Fills in the open message, except for want_history. */
static void
turn_fill_open (const struct Request *request, struct GatewayMessage *message)
{
  struct TurnOpen *open = &message->open;

  message->kind = GATEWAY_TURN_OPEN;
  open->id = request->turn->query_id | TURN_WITH_CHAIN;
  open->generation = request->front->node->set.generation;
  snprintf (open->customer, sizeof open->customer, "%s", request->customer.name);
  snprintf (open->turn, sizeof open->turn, "%s", request->caller.id);
  snprintf (open->program, sizeof open->program, "%s", request->caller.program);
  snprintf (open->previous, sizeof open->previous, "%s", request->caller.previous);
  open->reserve_tokens = request->caller.max_tokens;
  turn_sessions (request, open->sessions);
}

/* Repeats the query through other gateways to the archives that have not responded. A missing
 * response is the first sign of a network partition, long before a link is closed as silent.
 * Archives count a repeated reservation once. */
static void
turn_relay_open (struct Request *request)
{
  struct Node *node = request->front->node;
  struct Turn *turn = request->turn;
  struct ArchiveNames asked = archive_set_targets (&node->set);
  struct GatewayMessage message = { 0 };

  turn_fill_open (request, &message);
  message.open.want_history = request->caller.previous[0] != '\0';
  for (uint32_t i = 0; i < asked.n; i++)
    if (!archive_names_have (&turn->answered, asked.names[i]))
      relay_send (node, asked.names[i], &message);
}

static void
turn_on_open_timeout (void *data)
{
  struct Request *request = data;
  struct Turn *turn = request->turn;
  char detail[96];

  if (!turn->retried)
    {
      turn->retried = true;
      turn->timer =
          timer_subscribe (turn, request->front->node->timers, OPEN_TIMEOUT_MS - OPEN_RETRY_MS, 0,
                           turn_on_open_timeout, request);
      turn_relay_open (request);
      return;
    }

  snprintf (detail, sizeof detail, "%u archives responded, %u of them complete, generation %llu",
            turn->answered.n, turn->complete.n,
            (unsigned long long)request->front->node->set.generation);
  request_fail (request, FAILURE_UNCERTAIN, detail);
}

static void
turn_send_open (struct Request *request)
{
  struct Front *front = request->front;
  const struct Node *node = front->node;
  const struct Peer *nearest = turn_nearest_archive (request);
  struct ArchiveNames asked = archive_set_targets (&node->set);
  struct GatewayMessage message = { 0 };

  request->turn->open_id = request->turn->query_id;
  turn_fill_open (request, &message);
  for (uint32_t i = 0; i < asked.n; i++)
    {
      const char *archive = asked.names[i];

      message.open.want_history = nearest != NULL && strcmp (archive, nearest->status.node) == 0;
      if (message.open.want_history)
        snprintf (request->turn->reader, sizeof request->turn->reader, "%s", archive);
      node_send_archive (front->node, archive, &message);
    }
}

bool
turn_archives_reachable (const struct Front *front)
{
  return node_reaches_archives (front->node) || node_has_relay (front->node);
}

void
turn_start (struct Request *request)
{
  struct Front *front = request->front;
  struct Turn *turn = talloc_zero (request, struct Turn);

  if (turn != NULL)
    turn->history = turn_history_new (turn, request->caller.previous);
  if (turn == NULL || turn->history == NULL)
    {
      talloc_free (turn);
      request_fail (request, FAILURE_UNCERTAIN, "out of memory for the turn");
      return;
    }
  request->turn = turn;
  turn->started_ms = timer_now_ms (front->node->timers);
  if (request->caller.program[0] == '\0')
    request->caller.program = request->caller.id;
  turn_begin_phase (request, turn, TURN_OPENING);
  turn_send_open (request);
  turn->timer =
      timer_subscribe (turn, front->node->timers, OPEN_RETRY_MS, 0, turn_on_open_timeout, request);
}

/* History. */

/* Builds the body from the inputs and outputs of the chain, oldest first, and the new input. */
static bool
turn_build_body (struct Request *request)
{
  struct TurnHistory *history = request->turn->history;
  size_t history_bytes = turn_history_bytes (history);
  size_t total_bytes = history_bytes + request->exchange->body_bytes;
  uint8_t *body, *end;

  if (history_bytes == 0)
    return true;
  body = held_memory_resize (request, NULL, total_bytes);
  if (body == NULL)
    return false;
  end = body + history_bytes;
  if (request->exchange->body_bytes > 0)
    memcpy (end, request->exchange->body, request->exchange->body_bytes);
  turn_history_move (history, end);
  request->body = body;
  request->body_bytes = total_bytes;
  return true;
}

size_t
turn_held_bytes (const struct Request *request)
{
  return request->turn != NULL ? turn_history_bytes (request->turn->history) : 0;
}

static void
turn_assemble (struct Request *request);

static void
turn_on_read_timeout (void *data)
{
  turn_assemble (data);
}

/* Ends a request whose history cannot be read. */
static void
turn_fail_unread (struct Request *request, const struct ArchiveCandidate *candidates, size_t n)
{
  const char *missing = turn_history_describe (request->turn->history, request, candidates, n);
  const char *detail = talloc_asprintf (request, "no archive sent the complete history: %s",
                                        missing != NULL ? missing : "");

  counter_add (COUNTER_HISTORIES_UNREAD, 1);
  request_fail (request, FAILURE_UNCERTAIN, detail != NULL ? detail : "out of memory");
}

/* Requests the missing turn's text from the next archive. */
static void
turn_read (struct Request *request, const char *missing)
{
  struct Turn *turn = request->turn;
  const struct Node *node = request->front->node;
  struct GatewayMessage message = { .kind = GATEWAY_TURN_READ };
  struct ArchiveCandidate candidates[ARCHIVE_SET_MAX];
  size_t n = turn_sort_archives (request, candidates);
  const char *archive;

  /* A late response to an earlier query for the same turn still counts. */
  TALLOC_FREE (turn->timer);
  if (turn->phase != TURN_READING || strcmp (turn->missing, missing) != 0)
    turn_begin_phase (request, turn, TURN_READING);
  snprintf (turn->missing, sizeof turn->missing, "%s", missing);
  message.read.id = turn->query_id | TURN_WITH_CHAIN;
  snprintf (message.read.customer, sizeof message.read.customer, "%s", request->customer.name);
  snprintf (message.read.turn, sizeof message.read.turn, "%s", missing);
  while ((archive = turn_history_next_reader (turn->history, candidates, n)) != NULL)
    {
      if (node_send_archive (request->front->node, archive, &message) != ERROR_NONE)
        continue;
      counter_add (COUNTER_HISTORY_QUERIES, 1);
      snprintf (turn->reader, sizeof turn->reader, "%s", archive);
      turn->timer =
          timer_subscribe (turn, node->timers, READ_TIMEOUT_MS, 0, turn_on_read_timeout, request);
      return;
    }
  turn_fail_unread (request, candidates, n);
}

/* Sends the turn when its history is complete; requests the first missing text otherwise. */
static void
turn_assemble (struct Request *request)
{
  struct Turn *turn = request->turn;
  const char *missing = turn_history_missing (turn->history);
  const struct TurnText *newest;

  TALLOC_FREE (turn->timer);
  if (missing != NULL)
    {
      turn_read (request, missing);
      return;
    }
  if (!turn_build_body (request))
    {
      request_fail (request, FAILURE_UNCERTAIN, "out of memory for the request body");
      return;
    }
  request->continues_program =
      request->caller.previous[0] != '\0' || turn_charges_any (turn->charges, turn->n_charges);
  newest = turn_history_newest (turn->history);
  if (!request->front->node->settings->decisions.sessions)
    request->previous_server = "";
  else if (newest != NULL)
    request->previous_server = talloc_strdup (request, newest->server);
  else if (turn->place.session != 0)
    request->previous_server = turn->place.server;
  turn->phase = TURN_RUNNING;
  histogram_add (HISTOGRAM_TURN_OPEN,
                 timer_now_ms (request->front->node->timers) - turn->started_ms);
  request_send (request);
}

/* Admits or rejects the turn after enough archives have responded. */
static void
turn_decide (struct Request *request)
{
  struct Turn *turn = request->turn;
  const struct CallerRequest *caller = &request->caller;
  char detail[96];

  if (caller->previous[0] != '\0' && !turn->previous_exists)
    {
      snprintf (detail, sizeof detail, "none of %u complete archives has the previous turn",
                turn->complete.n);
      request_fail (request, FAILURE_NO_TURN, detail);
    }
  else if (caller->budget_tokens > 0
           && !turn_budget_allows (turn->charges, turn->n_charges, caller->budget_tokens,
                                   caller->max_tokens))
    {
      snprintf (detail, sizeof detail, "%zu turns, budget %llu tokens, %u tokens requested",
                turn->n_charges, (unsigned long long)caller->budget_tokens, caller->max_tokens);
      request_fail (request, FAILURE_BUDGET, detail);
    }
  else
    turn_assemble (request);
}

/* Returns true while enough archives have responded, but the one that was queried for the history
 * is still reading it from disk: querying another one at once would transfer the texts twice, the
 * second time from another zone. */
static bool
turn_history_pending (const struct Request *request)
{
  const struct Turn *turn = request->turn;

  return turn->previous_exists && turn->reader[0] != '\0' && !turn->reader_late
         && !archive_names_have (&turn->answered, turn->reader)
         && turn_history_missing (turn->history) != NULL;
}

static void
turn_on_reader_late (void *data)
{
  struct Request *request = data;

  request->turn->timer = NULL;
  request->turn->reader_late = true;
  turn_decide (request);
}

static void
turn_wait_for_reader (struct Request *request)
{
  struct Turn *turn = request->turn;

  if (turn->waits_for_reader)
    return;
  turn->waits_for_reader = true;
  TALLOC_FREE (turn->timer);
  turn->timer = timer_subscribe (turn, request->front->node->timers, READER_LATE_MS, 0,
                                 turn_on_reader_late, request);
}

/* Adds what an archive sent of the history. Returns false without memory. */
static bool
turn_add_history (struct Turn *turn, const char *archive, const struct TurnOpened *opened)
{
  size_t n_bytes = turn_history_bytes (turn->history);
  int32_t error =
      turn_history_add (turn->history, opened->history, opened->origins, opened->n_history);

  counter_add (COUNTER_HISTORY_BYTES, turn_history_bytes (turn->history) - n_bytes);
  /* With the whole chain it ended at the size limit of a response. */
  if (opened->n_history > 0 && !opened->has_chain)
    turn_history_note_end (turn->history, archive);
  return error == ERROR_NONE;
}

/* Returns whether the turn is still missing that the archives were queried for. */
static bool
turn_is_missing (const struct Turn *turn, const char *id)
{
  const char *missing = turn_history_missing (turn->history);

  return missing != NULL && strcmp (missing, id) == 0;
}

static void
turn_handle_opened (struct Request *request, const char *archive, const struct TurnOpened *opened)
{
  const struct Node *node = request->front->node;
  struct Turn *turn = request->turn;
  uint64_t sessions[TURN_SESSIONS_MAX];

  if (opened->error != ERROR_NONE || !turn_record_response (turn, archive))
    return;
  if (!turn_add_history (turn, archive, opened)
      || turn_charges_merge (turn, &turn->charges, &turn->n_charges, opened->charges,
                             opened->n_charges)
             != ERROR_NONE)
    {
      request_fail (request, FAILURE_UNCERTAIN, "out of memory for the archive's response");
      return;
    }
  if (!opened->has_turn && turn_is_missing (turn, request->caller.previous))
    turn_history_note_lacking (turn->history, archive);
  turn_sessions (request, sessions);
  turn->place = session_place_merge (&turn->place, &opened->place, sessions);
  turn->previous_exists = turn->previous_exists || opened->has_turn;
  if (opened->complete)
    archive_names_add (&turn->complete, archive);
  if (!archive_set_is_read (&node->set, node->settings->tolerated, &turn->complete)
      || !archive_set_is_written (&node->set, node->settings->tolerated, &turn->answered))
    return;
  if (turn_history_pending (request))
    turn_wait_for_reader (request);
  else
    turn_decide (request);
}

static void
turn_handle_read (struct Request *request, const char *archive, const struct TurnOpened *opened)
{
  struct Turn *turn = request->turn;

  if (!turn_add_history (turn, archive, opened))
    {
      request_fail (request, FAILURE_UNCERTAIN, "out of memory for the history");
      return;
    }
  if (turn_is_missing (turn, turn->missing))
    {
      turn_history_note_lacking (turn->history, archive);
      if (strcmp (archive, turn->reader) != 0)
        return;
    }
  turn_assemble (request);
}

struct Request *
turn_find (struct Front *front, uint64_t query_id)
{
  for (struct Request *r = front->requests; r != NULL; r = r->next)
    if (r->turn != NULL
        && (r->turn->query_id == query_id || r->turn->open_id == query_id
            || turn_chain_has_query (r->turn, query_id)))
      return r;
  return NULL;
}

/* Records whether the archive stores the chain that the turn continues. Earlier versions report
 * only whether they have its last turn. */
static void
turn_record_holder (struct Request *request, const char *archive, const struct TurnOpened *opened)
{
  struct Turn *turn = request->turn;
  bool is_about_previous = (opened->id & ~TURN_WITH_CHAIN) == turn->open_id
                           || strcmp (turn->missing, request->caller.previous) == 0;

  if (is_about_previous && (opened->reports_chain ? opened->has_chain : opened->has_turn))
    archive_names_add (&turn->holders, archive);
}

void
turn_on_opened (struct Front *front, const char *archive, const struct TurnOpened *opened)
{
  uint64_t query_id = opened->id & ~TURN_WITH_CHAIN;
  struct Request *request = turn_find (front, query_id);

  if (request == NULL)
    return;
  turn_record_holder (request, archive, opened);
  if (query_id != request->turn->query_id)
    return;
  switch (request->turn->phase)
    {
    case TURN_OPENING:
      turn_handle_opened (request, archive, opened);
      break;
    case TURN_READING:
      turn_handle_read (request, archive, opened);
      break;
    case TURN_RUNNING:
    case TURN_CLOSING:
      break;
    }
}

void
turn_on_set_changed (struct Request *request)
{
  struct Turn *turn = request->turn;

  switch (turn->phase)
    {
    case TURN_OPENING:
      /* Responses to the query of the old set are not valid for the new one. */
      turn->answered.n = 0;
      turn->complete.n = 0;
      turn->query_id = node_next_id (request->front->node);
      turn_send_open (request);
      break;
    case TURN_CLOSING:
      /* Archives that have stored the turn keep it; the others get a close of this generation. */
      turn_send_close (request);
      break;
    case TURN_READING:
    case TURN_RUNNING:
      break;
    }
}
