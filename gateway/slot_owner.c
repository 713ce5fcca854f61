/* Chooses the owners of servers, and grants slots as an owner. */
#include "slots_internal.h"

#include "contention.h"
#include "paces.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Owners. */

enum
{
  LOAD_VALID_MS = 500 /* the longest interval between two digests */
};

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

static bool
peer_may_own (const struct Node *node, const struct Peer *peer)
{
  return peer->status.ready && peer->status.caller_address[0] != '\0'
         && node_peer_is_responsive (node, peer);
}

static bool
is_excluded (const struct SlotOwner *excluded, const char *name, uint64_t start)
{
  return excluded != NULL && excluded->start == start && strcmp (excluded->name, name) == 0;
}

static const char *
choose_owner (const struct Front *front,
              const char *key,
              const char *zone,
              const struct SlotOwner *excluded)
{
  const struct Node *node = front->node;
  uint64_t key_hash = XXH64 (key, strlen (key), 0);
  struct OwnerChoice choice = { NULL, 0 };

  if (front->stop_ms == 0 && (zone == NULL || strcmp (node->settings->zone, zone) == 0)
      && !is_excluded (excluded, node->settings->instance, node->start))
    owner_choice_consider (&choice, node->settings->instance, key_hash);
  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct NodeStatus *status = &node->peers->peers[i]->status;

      if ((zone == NULL || strcmp (status->zone, zone) == 0)
          && peer_may_own (node, node->peers->peers[i])
          && !is_excluded (excluded, status->node, status->start))
        owner_choice_consider (&choice, status->node, key_hash);
    }
  return choice.name;
}

const char *
gateway_owner (const struct Front *front, const char *key, const char *zone)
{
  return choose_owner (front, key, zone, NULL);
}

void
slots_own_gateway (const struct Front *front, struct SlotOwner *owner)
{
  snprintf (owner->name, sizeof owner->name, "%s", front->node->settings->instance);
  owner->start = front->node->start;
}

void
slots_find_owner (const struct Front *front,
                  const struct Replica *replica,
                  const struct SlotOwner *excluded,
                  struct SlotOwner *owner)
{
  const char *name = choose_owner (front, replica->entry.id, replica->entry.zone, excluded);
  const struct Peer *peer;

  if (name == NULL)
    name = choose_owner (front, replica->entry.id, NULL, excluded);
  peer = name != NULL ? node_peer (front->node, name) : NULL;
  slots_own_gateway (front, owner);
  if (peer == NULL)
    return;
  snprintf (owner->name, sizeof owner->name, "%s", name);
  owner->start = peer->status.start;
}

uint64_t
slots_hash_gateways (const struct Front *front)
{
  const struct Node *node = front->node;
  uint64_t hash = front->stop_ms != 0;

  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct Peer *peer = node->peers->peers[i];

      if (peer_may_own (node, peer))
        hash += XXH64 (&peer->status.start, sizeof peer->status.start, peer->rank);
    }
  return hash;
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

static bool
slots_owns (void *data, const char *server)
{
  const struct Slots *slots = data;
  const struct Replica *replica = replica_set_find (slots->front->replicas, server);
  struct SlotOwner owner;

  if (replica == NULL)
    return false;
  slots_find_owner (slots->front, replica, NULL, &owner);
  return strcmp (owner.name, slots->front->node->settings->instance) == 0;
}

/* Returns how many requests run at a server of another owner, present or previous, as far as it is
 * known from this gateway's own requests and from digests, whose requests end with time. */
static uint32_t
slots_expected (const struct Slots *slots, const char *server, int64_t now_ms)
{
  const struct Replica *replica = replica_set_find (slots->front->replicas, server);
  uint32_t n_held = slots_count_held (slots->front, server);
  int64_t left_ms;

  if (replica == NULL)
    return n_held;
  left_ms = replica->load_received_ms + LOAD_VALID_MS - now_ms;
  if (replica->load_received_ms == 0 || left_ms <= 0)
    return n_held;
  return n_held + (uint32_t)(replica->peers_in_flight * left_ms / LOAD_VALID_MS);
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
    .waited_ms = message->waited_ms,
    .is_granted = message->is_granted,
    .granted_for_ms = message->granted_for_ms,
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
  server.is_foreign = !slots_owns (slots, message->server);
  if (server.is_foreign || !slot_queue_is_owned (slots->queues, message->server))
    server.n_expected = slots_expected (slots, message->server, now_ms);
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
  slot_queues_disown (slots->queues, slots_owns, timer_now_ms (slots->front->node->timers), slots);
  return slot_queues_digest (slots->queues, ctx, busy_only,
                             timer_now_ms (slots->front->node->timers), n_digests);
}

/* Returns whether the request's gateway is live and still runs the process that sent it. */
static bool
slots_requester_is_live (void *data, const char *requester, uint64_t id)
{
  const struct Slots *slots = data;
  const struct Node *node = slots->front->node;
  const struct Peer *peer = node_peer (node, requester);

  return strcmp (requester, node->settings->instance) == 0
         || (peer != NULL && node_peer_is_live (node, peer) && !peer_process_has_ended (peer, id));
}

void
slots_expire (struct Slots *slots)
{
  slot_queues_expire (slots->queues, timer_now_ms (slots->front->node->timers),
                      slots_requester_is_live, slots_grant, slots);
}
