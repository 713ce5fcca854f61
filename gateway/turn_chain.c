#include "turn_internal.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Bytes of texts sent to an archive before it has responded. */
  BATCH_BYTES = 4 * 1024 * 1024,
  /* A message may be lost, or the archive may fail to write it. */
  SENDS_MAX = 3
};

struct ChainSend
{
  char archive[NAME_MAX_BYTES + 1];
  uint64_t id; /* of the last turn sent */
  size_t n;    /* turns sent so far, from the oldest on */
  uint32_t n_sends;
};

/* Returns the send to the archive, a new one if there is none; NULL without memory. */
static struct ChainSend *
turn_ensure_chain_send (struct Turn *turn, const char *archive)
{
  struct ChainSend *sends, *added;

  for (size_t i = 0; i < turn->n_chain_sends; i++)
    if (strcmp (turn->chain_sends[i].archive, archive) == 0)
      return &turn->chain_sends[i];
  sends = talloc_realloc (turn, turn->chain_sends, struct ChainSend, turn->n_chain_sends + 1);
  if (sends == NULL)
    return NULL;
  turn->chain_sends = sends;
  added = &sends[turn->n_chain_sends++];
  memset (added, 0, sizeof *added);
  snprintf (added->archive, sizeof added->archive, "%s", archive);
  return added;
}

static struct ChainSend *
turn_find_chain_send (const struct Turn *turn, uint64_t id)
{
  for (size_t i = 0; i < turn->n_chain_sends; i++)
    if (turn->chain_sends[i].id == id)
      return &turn->chain_sends[i];
  return NULL;
}

bool
turn_chain_has_query (const struct Turn *turn, uint64_t id)
{
  return turn_find_chain_send (turn, id) != NULL;
}

/* Sends the next turns. The archive writes them in order, so that its response to the last one
 * covers all of them. */
static void
turn_chain_send_batch (struct Request *request, struct ChainSend *send)
{
  struct Node *node = request->front->node;
  const struct TurnHistory *history = request->turn->history;
  size_t n = turn_history_count (history), n_bytes = 0;

  send->id = node_next_id (node);
  while (send->n < n && n_bytes < BATCH_BYTES)
    {
      struct GatewayMessage message = { .kind = GATEWAY_TURN_CLOSE };
      struct TurnClose *close = &message.close;

      turn_history_fill_close (history, send->n++, close);
      n_bytes += close->text.input_bytes + close->text.output_bytes;
      close->id = send->n == n || n_bytes >= BATCH_BYTES ? send->id : 0;
      close->generation = node->set.generation;
      snprintf (close->customer, sizeof close->customer, "%s", request->customer.name);
      node_send_archive (node, send->archive, &message);
    }
  counter_add (COUNTER_CHAIN_BYTES, n_bytes);
}

void
turn_chain_send (struct Request *request, const char *archive)
{
  struct Turn *turn = request->turn;
  struct ChainSend *send = turn_ensure_chain_send (turn, archive);

  if (send == NULL || send->n_sends == SENDS_MAX)
    return;
  /* An archive of an earlier version sent the history, without what is stored with its texts. */
  if (!turn_history_is_storable (turn->history))
    {
      turn_send_close_to (request, archive, false);
      return;
    }
  send->n_sends++;
  send->n = 0;
  counter_add (COUNTER_CHAINS_SENT, 1);
  log_request (LOG_LEVEL_INFO, "chain_sent", request->caller.id, request->caller.program,
               "%zu turns of %zu bytes to %s, which lacks some of them",
               turn_history_count (turn->history), turn_history_bytes (turn->history), archive);
  turn_chain_send_batch (request, send);
}

bool
turn_chain_on_closed (struct Request *request, const struct TurnClosed *closed)
{
  struct Turn *turn = request->turn;
  struct ChainSend *send = turn_find_chain_send (turn, closed->id);

  if (send == NULL)
    return false;
  if (closed->error != ERROR_NONE)
    return true;
  turn->chain_progressed = true;
  if (send->n < turn_history_count (turn->history))
    turn_chain_send_batch (request, send);
  else
    turn_send_close_to (request, send->archive, true);
  return true;
}
