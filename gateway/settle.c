#include "settle.h"

enum
{
  /* Delay before the first retry, doubled after each one. A disk sync and the round trip take 10
   * ms; a dropped link is reconnected within 200 ms. */
  RETRY_FIRST_MS = 300,
  /* Delays from 300 ms to 9.6 s: cover a restart of an archive and the network partitions of the
   * target deployments. */
  TRIES_MAX = 6,
  /* 1.5 KB each; beyond this number a close is sent once, without retries. */
  SETTLEMENTS_MAX = 4096
};

struct Settlement
{
  struct Settlement *next, **pprev;
  struct Front *front;
  struct TurnClose close;
  struct ArchiveNames responded;
  uint32_t n_tries;
  struct Timer *timer;
};

static int
settlement_free (struct Settlement *settlement)
{
  *settlement->pprev = settlement->next;
  if (settlement->next != NULL)
    settlement->next->pprev = settlement->pprev;
  settlement->front->n_settlements--;
  return 0;
}

static void
settlement_send (struct Settlement *settlement);

static void
settlement_on_timer (void *data)
{
  struct Settlement *settlement = data;

  settlement->timer = NULL;
  if (settlement->n_tries == TRIES_MAX)
    talloc_free (settlement);
  else
    settlement_send (settlement);
}

static void
settlement_send (struct Settlement *settlement)
{
  struct Node *node = settlement->front->node;
  struct GatewayMessage message = { .kind = GATEWAY_TURN_CLOSE };

  /* The set may have changed meanwhile, and archives reject an old generation. */
  settlement->close.generation = node->set.generation;
  message.close = settlement->close;
  node_send_set (node, &message, &settlement->responded);
  settlement->timer =
      timer_subscribe (settlement, node->timers, (int64_t)RETRY_FIRST_MS << settlement->n_tries, 0,
                       settlement_on_timer, settlement);
  settlement->n_tries++;
}

void
settle_turn (struct Front *front, const struct TurnClose *close)
{
  const struct ArchiveNames no_archives = { .n = 0 };
  struct GatewayMessage message = { .kind = GATEWAY_TURN_CLOSE, .close = *close };
  struct Settlement *settlement = NULL;

  if (front->n_settlements < SETTLEMENTS_MAX)
    settlement = talloc_zero (front, struct Settlement);
  if (settlement == NULL)
    {
      node_send_set (front->node, &message, &no_archives);
      return;
    }
  settlement->front = front;
  settlement->close = *close;
  settlement->next = front->settlements;
  settlement->pprev = &front->settlements;
  if (settlement->next != NULL)
    settlement->next->pprev = &settlement->next;
  front->settlements = settlement;
  front->n_settlements++;
  talloc_set_destructor (settlement, settlement_free);
  settlement_send (settlement);
}

void
settle_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed)
{
  struct Settlement *settlement = front->settlements;
  struct ArchiveNames asked = archive_set_targets (&front->node->set);

  while (settlement != NULL && settlement->close.id != closed->id)
    settlement = settlement->next;
  if (settlement == NULL || closed->error != ERROR_NONE)
    return;
  archive_names_add (&settlement->responded, archive);
  for (uint32_t i = 0; i < asked.n; i++)
    if (!archive_names_have (&settlement->responded, asked.names[i]))
      return;
  talloc_free (settlement);
}
