#include "front.h"

#include <buckthornhead/log.h>
#include <buckthornhead/turn_quorum.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Reserving takes one sync of a disk, some 5 ms, and a way of a millisecond or two. Over this
   * long, too few archives live; the caller does better to come back. */
  OPEN_TIMEOUT_MS = 800,
  /* One archive's share of the history, before the next one is asked. */
  READ_TIMEOUT_MS = 250,
  READS_MAX = 12,
  /* Storing the turn: asked again once, and given up when a program would rather start anew. */
  CLOSE_AGAIN_MS = 700,
  CLOSE_TIMEOUT_MS = 2500,
  ARCHIVES_MAX = 16
};

#define TURN_NAMES(names) ((const char (*)[NAME_MAX_BYTES + 1]) (names))

enum TurnPhase
{
  TURN_OPENING, /* reserving */
  TURN_READING, /* the history is not whole yet */
  TURN_RUNNING, /* with a server */
  TURN_CLOSING  /* being stored */
};

struct Turn
{
  enum TurnPhase phase;
  uint64_t question; /* id of the question that is open */
  struct Timer *timer;
  char answered[ARCHIVES_MAX][NAME_MAX_BYTES + 1]; /* archives, to this question */
  size_t n_answered;
  char complete[ARCHIVES_MAX][NAME_MAX_BYTES + 1]; /* of them, those that lack nothing */
  size_t n_complete;
  bool previous_exists; /* one of them has it */
  struct TurnCharge *charges;
  size_t n_charges;
  struct TurnText *pieces; /* of the history, in any order */
  size_t n_pieces;
  size_t n_reads, next_reader;
  char missing[NAME_MAX_BYTES + 1]; /* piece that is asked for */
  bool settled;                     /* the archives were told how the turn ended */
};

static uint64_t
turn_link (const struct Front *front, const struct Peer *peer)
{
  return peer_net_link_to (front->node->net, peer->status.node);
}

/* The archive that should send the history: the texts are large, and bytes between availability
 * zones are paid for. */
static const struct Peer *
turn_nearest_archive (const struct Front *front)
{
  const struct Node *node = front->node;
  const struct Peer *best = NULL;

  for (size_t i = 0; i < node->n_peers; i++)
    {
      const struct Peer *peer = node->peers[i];

      if (!peer->status.is_archive || !peer->status.complete || !node_peer_is_live (node, peer)
          || turn_link (front, peer) == PEER_LINK_NONE)
        continue;
      if (best == NULL || strcmp (peer->status.zone, node->settings->zone) == 0)
        best = peer;
    }
  return best;
}

static void
turn_ask (struct Request *request, struct Turn *turn, enum TurnPhase phase)
{
  turn->phase = phase;
  turn->question = node_next_id (request->front->node);
  turn->n_answered = 0;
  turn->n_complete = 0;
  TALLOC_FREE (turn->timer);
}

/* True the first time that archive answers the open question. */
static bool
turn_note_answer (struct Turn *turn, const char *archive)
{
  for (size_t i = 0; i < turn->n_answered; i++)
    if (strcmp (turn->answered[i], archive) == 0)
      return false;
  if (turn->n_answered == ARCHIVES_MAX)
    return false;
  snprintf (turn->answered[turn->n_answered++], NAME_MAX_BYTES + 1, "%s", archive);
  return true;
}

/* Reserving. */

static void
turn_on_open_timeout (void *data)
{
  struct Request *request = data;
  char detail[96];

  snprintf (detail, sizeof detail, "%zu of %u archives answered, %zu of them lack nothing",
            request->turn->n_answered, request->front->node->set.n_members,
            request->turn->n_complete);
  request_fail (request, FAILURE_UNCERTAIN, detail);
}

static void
turn_send_open (struct Request *request)
{
  struct Front *front = request->front;
  const struct Node *node = front->node;
  const struct Peer *nearest = turn_nearest_archive (front);
  struct GatewayMessage message = { .kind = GATEWAY_TURN_OPEN };
  struct TurnOpen *open = &message.open;

  open->id = request->turn->question;
  open->generation = node->set.generation;
  snprintf (open->turn, sizeof open->turn, "%s", request->caller.id);
  snprintf (open->program, sizeof open->program, "%s", request->caller.program);
  snprintf (open->previous, sizeof open->previous, "%s", request->caller.previous);
  open->reserve_tokens = request->caller.max_tokens;
  for (uint32_t i = 0; i < node->set.n_members; i++)
    {
      const char *archive = node->set.members[i];

      open->want_history = nearest != NULL && strcmp (archive, nearest->status.node) == 0;
      node_send (front->node, archive, &message);
    }
}

/* Whether enough archives are connected for an answer to be had at all. */
static bool
turn_may_be_answered (const struct Front *front)
{
  const struct Node *node = front->node;
  char connected[ARCHIVE_SET_MAX][NAME_MAX_BYTES + 1];
  size_t n = 0;

  for (uint32_t i = 0; i < node->set.n_members; i++)
    if (peer_net_link_to (node->net, node->set.members[i]) != PEER_LINK_NONE)
      snprintf (connected[n++], sizeof connected[0], "%s", node->set.members[i]);
  return archive_set_is_written (&node->set, node->settings->tolerated, TURN_NAMES (connected), n)
         && archive_set_is_read (&node->set, node->settings->tolerated, TURN_NAMES (connected), n);
}

void
turn_start (struct Request *request)
{
  struct Front *front = request->front;
  struct Turn *turn = talloc_zero (request, struct Turn);

  if (turn == NULL)
    {
      request_fail (request, FAILURE_UNCERTAIN, "no memory");
      return;
    }
  request->turn = turn;
  if (request->caller.program[0] == '\0')
    request->caller.program = request->caller.id;
  turn_ask (request, turn, TURN_OPENING);
  if (!turn_may_be_answered (front))
    {
      request_fail (request, FAILURE_UNCERTAIN, "too few archives are connected");
      return;
    }
  turn_send_open (request);
  turn->timer = timer_subscribe (turn, front->node->timers, OPEN_TIMEOUT_MS, 0,
                                 turn_on_open_timeout, request);
}

/* History. */

static const struct TurnText *
turn_piece (const struct Turn *turn, const char *id)
{
  for (size_t i = 0; i < turn->n_pieces; i++)
    if (strcmp (turn->pieces[i].turn, id) == 0)
      return &turn->pieces[i];
  return NULL;
}

static bool
turn_add_pieces (struct Turn *turn, const struct TurnText *more, size_t n_more)
{
  struct TurnText *grown;

  if (n_more == 0)
    return true;
  grown = talloc_realloc (turn, turn->pieces, struct TurnText, turn->n_pieces + n_more);
  if (grown == NULL)
    return false;
  turn->pieces = grown;
  for (size_t i = 0; i < n_more; i++)
    {
      struct TurnText *piece = &grown[turn->n_pieces];

      if (turn_piece (turn, more[i].turn) != NULL)
        continue;
      *piece = more[i];
      piece->input = talloc_memdup (turn, more[i].input, more[i].input_bytes);
      piece->output = talloc_memdup (turn, more[i].output, more[i].output_bytes);
      turn->n_pieces++;
    }
  return true;
}

/* The first turn of the chain, from the newest back, that no archive has sent yet; NULL when the
 * chain is whole. *total_bytes is the length of its texts. */
static const char *
turn_missing (const struct Turn *turn, const char *newest, size_t *total_bytes)
{
  const struct TurnText *piece;

  *total_bytes = 0;
  while (newest[0] != '\0')
    {
      piece = turn_piece (turn, newest);
      if (piece == NULL)
        return newest;
      *total_bytes += piece->input_bytes + piece->output_bytes;
      newest = piece->previous;
    }
  return NULL;
}

/* Inputs and outputs of the chain, the oldest first, then the new input. */
static bool
turn_build_body (struct Request *request, size_t history_bytes)
{
  size_t total_bytes = history_bytes + request->exchange->body_bytes;
  uint8_t *body = talloc_array (request, uint8_t, total_bytes + 1);
  uint8_t *end = body + history_bytes;

  if (body == NULL)
    return false;
  if (request->exchange->body_bytes > 0)
    memcpy (end, request->exchange->body, request->exchange->body_bytes);
  for (const char *id = request->caller.previous; id[0] != '\0';)
    {
      const struct TurnText *piece = turn_piece (request->turn, id);

      end -= piece->output_bytes;
      if (piece->output_bytes > 0)
        memcpy (end, piece->output, piece->output_bytes);
      end -= piece->input_bytes;
      if (piece->input_bytes > 0)
        memcpy (end, piece->input, piece->input_bytes);
      id = piece->previous;
    }
  request->body = body;
  request->body_bytes = total_bytes;
  return true;
}

static void
turn_assemble (struct Request *request);

static void
turn_on_read_timeout (void *data)
{
  turn_assemble (data);
}

/* Asks the next archive for the piece that is missing. */
static void
turn_read (struct Request *request, const char *missing)
{
  struct Turn *turn = request->turn;
  const struct Node *node = request->front->node;
  struct GatewayMessage message = { .kind = GATEWAY_TURN_READ };

  turn_ask (request, turn, TURN_READING);
  snprintf (turn->missing, sizeof turn->missing, "%s", missing);
  message.read.id = turn->question;
  snprintf (message.read.turn, sizeof message.read.turn, "%s", missing);
  for (size_t i = 0; i < node->n_peers && turn->n_reads < READS_MAX; i++)
    {
      const struct Peer *peer = node->peers[turn->next_reader++ % node->n_peers];

      if (!peer->status.is_archive
          || node_send (request->front->node, peer->status.node, &message) != ERROR_NONE)
        continue;
      turn->n_reads++;
      turn->timer =
          timer_subscribe (turn, node->timers, READ_TIMEOUT_MS, 0, turn_on_read_timeout, request);
      return;
    }
  request_fail (request, FAILURE_UNCERTAIN, "no archive sent the whole history");
}

/* Sends the turn once its history is whole. */
static void
turn_assemble (struct Request *request)
{
  struct Turn *turn = request->turn;
  size_t history_bytes;
  const char *missing = turn_missing (turn, request->caller.previous, &history_bytes);
  const struct TurnText *newest;

  TALLOC_FREE (turn->timer);
  if (missing != NULL)
    {
      turn_read (request, missing);
      return;
    }
  if (!turn_build_body (request, history_bytes))
    {
      request_fail (request, FAILURE_UNCERTAIN, "no memory for the history");
      return;
    }
  newest = turn_piece (turn, request->caller.previous);
  if (newest != NULL)
    request->cached_at = talloc_strdup (request, newest->server);
  for (size_t i = 0; i < turn->n_pieces; i++)
    {
      talloc_free ((void *)turn->pieces[i].input);
      talloc_free ((void *)turn->pieces[i].output);
    }
  TALLOC_FREE (turn->pieces);
  turn->n_pieces = 0;
  turn->phase = TURN_RUNNING;
  request_send (request);
}

/* Enough archives have answered: the turn is allowed, or refused for good reason. */
static void
turn_decide (struct Request *request)
{
  struct Turn *turn = request->turn;
  const struct CallerRequest *caller = &request->caller;
  char detail[96];

  if (caller->previous[0] != '\0' && !turn->previous_exists)
    {
      snprintf (detail, sizeof detail, "%zu archives that lack nothing do not have it",
                turn->n_complete);
      request_fail (request, FAILURE_NO_TURN, detail);
    }
  else if (caller->budget_tokens > 0
           && !turn_budget_allows (turn->charges, turn->n_charges, caller->budget_tokens,
                                   caller->max_tokens))
    {
      snprintf (detail, sizeof detail, "%zu turns, budget %llu, at most %u more", turn->n_charges,
                (unsigned long long)caller->budget_tokens, caller->max_tokens);
      request_fail (request, FAILURE_BUDGET, detail);
    }
  else
    turn_assemble (request);
}

static void
turn_take_opened (struct Request *request, const char *archive, const struct TurnOpened *opened)
{
  const struct Node *node = request->front->node;
  struct Turn *turn = request->turn;

  if (opened->error != ERROR_NONE || !turn_note_answer (turn, archive))
    return;
  if (!turn_add_pieces (turn, opened->history, opened->n_history)
      || turn_charges_merge (turn, &turn->charges, &turn->n_charges, opened->charges,
                             opened->n_charges)
             != ERROR_NONE)
    {
      request_fail (request, FAILURE_UNCERTAIN, "no memory");
      return;
    }
  turn->previous_exists = turn->previous_exists || opened->has_turn;
  if (opened->complete)
    snprintf (turn->complete[turn->n_complete++], NAME_MAX_BYTES + 1, "%s", archive);
  if (archive_set_is_read (&node->set, node->settings->tolerated, TURN_NAMES (turn->complete),
                           turn->n_complete)
      && archive_set_is_written (&node->set, node->settings->tolerated, TURN_NAMES (turn->answered),
                                 turn->n_answered))
    turn_decide (request);
}

static void
turn_take_read (struct Request *request, const struct TurnOpened *opened)
{
  if (!turn_add_pieces (request->turn, opened->history, opened->n_history))
    request_fail (request, FAILURE_UNCERTAIN, "no memory for the history");
  else
    turn_assemble (request);
}

static struct Request *
turn_find (struct Front *front, uint64_t question)
{
  for (struct Request *r = front->requests; r != NULL; r = r->next)
    if (r->turn != NULL && r->turn->question == question)
      return r;
  return NULL;
}

void
turn_on_opened (struct Front *front, const char *archive, const struct TurnOpened *opened)
{
  struct Request *request = turn_find (front, opened->id);

  if (request == NULL)
    return;
  switch (request->turn->phase)
    {
    case TURN_OPENING:
      turn_take_opened (request, archive, opened);
      break;
    case TURN_READING:
      turn_take_read (request, opened);
      break;
    case TURN_RUNNING:
    case TURN_CLOSING:
      break;
    }
}

/* Closing. */

static void
turn_send_close (struct Request *request, bool kept)
{
  struct Front *front = request->front;
  struct Turn *turn = request->turn;
  struct GatewayMessage message = { .kind = GATEWAY_TURN_CLOSE };
  struct TurnClose *close = &message.close;

  close->id = turn->question;
  snprintf (close->program, sizeof close->program, "%s", request->caller.program);
  close->charge_tokens = request->events.n_events * request->tokens_per_event;
  close->kept = kept;
  close->retention_ms = request->route.retention_ms;
  snprintf (close->text.turn, sizeof close->text.turn, "%s", request->caller.id);
  if (kept)
    {
      snprintf (close->text.previous, NAME_MAX_BYTES + 1, "%s", request->caller.previous);
      snprintf (close->text.server, NAME_MAX_BYTES + 1, "%s", request->tried[request->n_tried - 1]);
      close->text.input = request->exchange->body;
      close->text.input_bytes = request->exchange->body_bytes;
      close->text.output = byte_queue_head (&request->events.data);
      close->text.output_bytes = byte_queue_length (&request->events.data);
    }
  turn->settled = true;
  close->generation = front->node->set.generation;
  node_send_set (front->node, &message, turn->answered, turn->n_answered);
}

static void
turn_on_close_timeout (void *data)
{
  struct Request *request = data;
  struct Turn *turn = request->turn;
  char detail[64];

  if (turn->timer->period_ms == 0)
    {
      /* Once more to those that have not answered: the links may be new. */
      turn_send_close (request, true);
      TALLOC_FREE (turn->timer);
      turn->timer =
          timer_subscribe (turn, request->front->node->timers, CLOSE_TIMEOUT_MS - CLOSE_AGAIN_MS,
                           CLOSE_TIMEOUT_MS, turn_on_close_timeout, request);
      return;
    }
  snprintf (detail, sizeof detail, "the turn is stored on %zu archives only", turn->n_answered);
  request_fail (request, FAILURE_BROKEN, detail);
}

void
turn_finish (struct Request *request)
{
  struct Turn *turn = request->turn;

  turn_ask (request, turn, TURN_CLOSING);
  turn_send_close (request, true);
  turn->timer = timer_subscribe (turn, request->front->node->timers, CLOSE_AGAIN_MS, 0,
                                 turn_on_close_timeout, request);
}

void
turn_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed)
{
  struct Request *request = turn_find (front, closed->id);
  struct HttpExchange *exchange;

  if (request == NULL || request->turn->phase != TURN_CLOSING || closed->error != ERROR_NONE
      || !turn_note_answer (request->turn, archive)
      || !archive_set_is_written (&front->node->set, front->node->settings->tolerated,
                                  TURN_NAMES (request->turn->answered), request->turn->n_answered))
    return;
  exchange = request->exchange;
  request->exchange = NULL;
  exchange->gone = NULL;
  log_request (LOG_LEVEL_INFO, "turn_stored", request->caller.id, request->caller.program,
               "%u events from %s, on %zu archives", request->events.n_events,
               request->tried[request->n_tried - 1], request->turn->n_answered);
  http_exchange_end (exchange);
  request_end (request);
}

void
turn_on_set (struct Request *request)
{
  struct Turn *turn = request->turn;

  switch (turn->phase)
    {
    case TURN_OPENING:
      /* Answers to the old set's question say nothing about the new one. */
      turn->n_answered = 0;
      turn->n_complete = 0;
      turn->question = node_next_id (request->front->node);
      turn_send_open (request);
      break;
    case TURN_CLOSING:
      /* What an archive has stored it keeps; those that refused the old question are asked anew. */
      turn_send_close (request, true);
      break;
    case TURN_READING:
    case TURN_RUNNING:
      break;
    }
}

void
turn_abandon (struct Request *request)
{
  struct Turn *turn = request->turn;

  if (turn->settled)
    return;
  turn_ask (request, turn, TURN_CLOSING);
  turn_send_close (request, false);
}
