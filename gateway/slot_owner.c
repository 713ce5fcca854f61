/* Chooses the owners of servers, and grants slots as an owner. */
#include "slots_internal.h"

#include "contention.h"
#include "paces.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Owners. */

struct OwnerChoice
{
  const char *name;
  uint64_t score;
};

static void
owner_choice_consider (struct OwnerChoice *choice, const char *name, uint64_t key_hash)
{
  uint64_t score = XXH64 (name, strlen (name), key_hash);

  if (choice->name != NULL && score <= choice->score)
    return;
  choice->name = name;
  choice->score = score;
}

const char *
gateway_owner (const struct Front *front, const char *key, const char *zone)
{
  const struct Node *node = front->node;
  uint64_t key_hash = XXH64 (key, strlen (key), 0);
  struct OwnerChoice choice = { NULL, 0 };

  if (front->stop_ms == 0 && (zone == NULL || strcmp (node->settings->zone, zone) == 0))
    owner_choice_consider (&choice, node->settings->instance, key_hash);
  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct NodeStatus *status = &node->peers->peers[i]->status;

      if (status->ready && status->caller_address[0] != '\0'
          && (zone == NULL || strcmp (status->zone, zone) == 0)
          && node_peer_is_responsive (node, node->peers->peers[i]))
        owner_choice_consider (&choice, status->node, key_hash);
    }
  return choice.name;
}

const char *
slots_owner (const struct Front *front, const struct Replica *replica)
{
  const char *owner = gateway_owner (front, replica->entry.id, replica->entry.zone);

  return owner != NULL ? owner : gateway_owner (front, replica->entry.id, NULL);
}

/* Granting slots as an owner. */

/* Grants slots for as long as the server has room. */
static void
slots_grant (void *data, const char *server)
{
  struct Slots *slots = data;
  struct Node *node = slots->front->node;
  struct GatewayMessage message = { .kind = GATEWAY_SLOT_STATE };
  struct SlotRequest slot_request;

  while (slot_queue_next (slots->queues, server, timer_now_ms (node->timers), &slot_request,
                          &message.slot_state.state))
    {
      message.slot_state.id = slot_request.id;
      /* A requester that misses this message queries again and receives the grant then. */
      node_send (node, slot_request.requester, &message);
    }
}

static enum SlotOrder
slots_order (const struct Slots *slots, const char *server)
{
  const struct Front *front = slots->front;
  const struct Replica *replica = replica_set_find (front->replicas, server);

  return replica != NULL
                 && front_decision_is_active (front, front->node->settings->decisions.admission,
                                              replica->entry.service)
             ? SLOT_ORDER_BY_RANK
             : SLOT_ORDER_BY_PROGRAM;
}

void
slots_on_request (struct Slots *slots,
                  uint64_t link,
                  const char *sender,
                  const struct SlotRequestMessage *message)
{
  struct Node *node = slots->front->node;
  int64_t now_ms = timer_now_ms (node->timers);
  struct GatewayMessage response = { .kind = GATEWAY_SLOT_STATE };
  struct SlotRequest slot_request = {
    .id = message->id,
    .customer_priority = message->customer_priority,
    .priority = message->priority,
    .under_way = message->under_way,
    .program_deadline_ms =
        message->has_program_deadline ? now_ms + message->program_left_ms : INT64_MAX,
    .deadline_ms = now_ms + message->left_ms,
    .program = message->program,
    .customer = message->customer,
    .part = message->part,
    .part_tokens = message->part_tokens,
  };
  struct SlotServer server = {
    .id = message->server,
    .slots = message->slots,
    .capacity_tokens = message->capacity_tokens,
    .first_service_ms = message->first_service_ms,
    .order = message->first_service_ms > 0 ? SLOT_ORDER_BY_PROGRAM
                                           : slots_order (slots, message->server),
  };

  snprintf (slot_request.requester, sizeof slot_request.requester, "%s", sender);
  response.slot_state.id = message->id;
  if (message->first_service_ms != 0)
    slots_grant (slots, message->server);
  if (slot_queue_request (slots->queues, &server, &slot_request, now_ms, &response.slot_state.state)
      == ERROR_NONE)
    node_answer (node, link, &response);
}

void
slots_on_done (struct Slots *slots, const char *sender, const struct SlotDoneMessage *done)
{
  slot_queue_done (slots->queues, done->server, sender, done->id, done->outcome,
                   timer_now_ms (slots->front->node->timers));
  paces_on_done (slots->front->paces, done);
  slots_grant (slots, done->server);
}

void
slots_server_restarted (struct Slots *slots, const char *server)
{
  slot_queue_restarted (slots->queues, server);
}

uint32_t
slots_service_ms (const struct Slots *slots, const char *server)
{
  return slot_queue_service_ms (slots->queues, server);
}

struct SlotDigest *
slots_digest (struct Slots *slots, TALLOC_CTX *ctx, bool busy_only, size_t *n_digests)
{
  return slot_queues_digest (slots->queues, ctx, busy_only,
                             timer_now_ms (slots->front->node->timers), n_digests);
}

/* Returns whether the request's gateway is live and still runs the process that sent it: ids of
 * requests begin at the start number of their process. */
static bool
slots_requester_is_live (void *data, const char *requester, uint64_t id)
{
  const struct Slots *slots = data;
  const struct Node *node = slots->front->node;
  const struct Peer *peer = node_peer (node, requester);

  return strcmp (requester, node->settings->instance) == 0
         || (peer != NULL && node_peer_is_live (node, peer) && id > peer->status.start);
}

void
slots_expire (struct Slots *slots)
{
  slot_queues_expire (slots->queues, timer_now_ms (slots->front->node->timers),
                      slots_requester_is_live, slots_grant, slots);
}
