#include "slots_internal.h"

#include "contention.h"
#include "paces.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/histogram.h>
#include <buckthornhead/log.h>
#include <buckthornhead/scheduling/admission.h>
#include <buckthornhead/scheduling/plain_queue.h>

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* An owner responds within a millisecond or two. One that takes longer than this has failed, or
   * is so short of CPU that waiting for it would cost more than the engine's own queue. */
  OWNER_TIMEOUT_MS = 60,
  /* Interval at which a waiting request queries its owner again; bounds the delay after a lost
   * response or a change of owner. */
  ASK_INTERVAL_MS = 200,
  /* Interval at which changes of owners are looked for; below OWNER_TIMEOUT_MS, so that a new owner
   * has the reports before it is queried by those who timed out. */
  FOLLOW_INTERVAL_MS = 50,
  /* The same for gateways that become silent, which no message reports. */
  FOLLOW_SILENT_INTERVAL_MS = 250,
  /* Callers abandon a stream whose first event takes longer than two seconds; a request that would
   * wait longer is rejected early enough for a retry. */
  CALLER_FIRST_EVENT_MS = 2000,
  /* How often a waiting request may move to a less busy server. */
  MOVES_MAX = 2
};

/* A request's slot, or its place in the queue, at an owner. */
struct SlotWait
{
  struct SlotHold hold;
  char server[NAME_MAX_BYTES + 1];
  uint64_t id;
  uint64_t gateways;  /* slots_hash_gateways when its owner was last looked up */
  bool logged_queued; /* its wait was logged */
  uint32_t n_moves;
  struct Timer *timer;
};

static void
slots_on_follow (void *data);

struct Slots *
slots_new (struct Front *front)
{
  struct Slots *slots = talloc_zero (front, struct Slots);

  if (slots == NULL)
    return NULL;
  slots->front = front;
  slots->queues = slot_queues_new (slots);
  if (slots->queues == NULL
      || timer_subscribe (slots, front->node->timers, FOLLOW_INTERVAL_MS, FOLLOW_INTERVAL_MS,
                          slots_on_follow, slots)
             == NULL)
    TALLOC_FREE (slots);
  return slots;
}

/* Plain servers. */

static bool
request_is_plain (const struct Request *request)
{
  return request->plain_service_ms > 0;
}

static struct PlainRequest
request_plain (const struct Request *request)
{
  return (struct PlainRequest){
    .program_deadline_ms = request->program_deadline_ms,
    .deadline_ms = request->deadline_ms,
  };
}

/* Fills in what the owner of a plain server orders requests by. */
static void
slot_request_fill_plain (struct SlotRequestMessage *slot_request,
                         const struct Request *request,
                         int64_t now_ms)
{
  const struct PlainRequest plain = request_plain (request);

  slot_request->under_way = request->caller.program[0] != '\0';
  slot_request->has_program_deadline = true;
  slot_request->program_left_ms = plain_order_deadline_ms (&plain) - now_ms;
  slot_request->first_service_ms = request->plain_service_ms;
}

/* Returns the longest wait in ms after which a request to a plain server is still served in time.
 */
static int64_t
slots_plain_longest_wait_ms (const struct Request *request, const struct SlotState *state)
{
  const struct PlainRequest plain = request_plain (request);

  return plain_longest_wait_ms (
      &plain, state->service_ms > 0 ? state->service_ms : request->plain_service_ms,
      timer_now_ms (request->front->node->timers));
}

void
slots_note_full (struct Request *request)
{
  if (request_is_plain (request))
    request->outcome = SLOT_FULL;
}

/* Requesting slots. */

static bool
request_is_ranked (const struct Request *request)
{
  const struct Front *front = request->front;

  return front_decision_is_active (front, front->node->settings->decisions.admission,
                                   request->service);
}

static uint64_t
name_hash (const char *name)
{
  return name[0] != '\0' ? XXH64 (name, strlen (name), 0) : 0;
}

static int32_t
slots_send_slot_request (struct Request *request)
{
  struct Node *node = request->front->node;
  struct SlotWait *wait = request->slot_wait;
  struct GatewayMessage message = { .kind = GATEWAY_SLOT_REQUEST };
  struct SlotRequestMessage *slot_request = &message.slot_request;
  const struct PrefixPart *shared =
      prefix_shared_part (request->caller.parts, request->caller.n_parts);
  int64_t now_ms = timer_now_ms (node->timers);

  slot_request->id = wait->id;
  snprintf (slot_request->server, sizeof slot_request->server, "%s", wait->server);
  slot_request->slots = request->replica->entry.slots;
  slot_request->customer_priority = request->customer.priority;
  slot_request->priority = request->route.priority;
  slot_request->under_way = request->continues_program;
  slot_request->has_program_deadline = request->program_deadline_ms != INT64_MAX;
  slot_request->program_left_ms =
      slot_request->has_program_deadline ? request->program_deadline_ms - now_ms : 0;
  slot_request->left_ms = request->deadline_ms - now_ms;
  slot_request->capacity_tokens = request->capacity_tokens;
  if (request_is_plain (request))
    slot_request_fill_plain (slot_request, request, now_ms);
  if (wait->hold.is_moved)
    slot_request->waited_ms = (uint32_t)(now_ms - wait->hold.began_ms);
  slot_request->is_granted = wait->hold.granted;
  if (wait->hold.granted)
    slot_request->granted_for_ms = (uint32_t)(now_ms - wait->hold.granted_ms);
  if (!request->front->node->settings->decisions.order)
    {
      slot_request->customer_priority = 0;
      slot_request->priority = 0;
      slot_request->under_way = false;
      slot_request->has_program_deadline = false;
    }
  if (request_is_ranked (request))
    {
      slot_request->program = name_hash (request->caller.program);
      slot_request->customer = name_hash (request->customer.name);
    }
  if (shared != NULL)
    {
      slot_request->part = shared->id;
      slot_request->part_tokens = shared->tokens;
    }
  wait->hold.is_answered = false;
  wait->hold.sent_ms = now_ms;
  return node_send (node, wait->hold.owner.name, &message);
}

/* Notifies a gateway that it counts the request no longer. */
static void
slots_send_done (struct Request *request, const struct SlotOwner *to, enum SlotOutcome outcome)
{
  struct SlotWait *wait = request->slot_wait;
  struct GatewayMessage message = { .kind = GATEWAY_SLOT_DONE };

  if (to->name[0] == '\0')
    return;
  message.slot_done.id = wait->id;
  message.slot_done.outcome = outcome;
  if (to == &wait->hold.owner)
    paces_fill_done (request, &message.slot_done);
  snprintf (message.slot_done.server, sizeof message.slot_done.server, "%s", wait->server);
  node_send (request->front->node, to->name, &message);
}

static void
slots_send_request (struct Request *request)
{
  struct SlotWait *wait = request->slot_wait;
  int64_t now_ms = timer_now_ms (request->front->node->timers);

  TALLOC_FREE (wait->timer);
  slot_hold_note_granted (&wait->hold, now_ms);
  /* The slot is reported to a gateway that was silent, too, if that is the owner. */
  if (wait->hold.silent.name[0] != '\0')
    wait->gateways = 0;
  histogram_add (request_is_plain (request) ? HISTOGRAM_PLAIN_SLOT_WAIT : HISTOGRAM_SLOT_WAIT,
                 now_ms - wait->hold.began_ms);
  /* A delayed event loop handles the grant before the timer of the deadline. */
  if (request_is_plain (request) && now_ms >= request->deadline_ms)
    {
      request_fail (request, request->may_have_run ? FAILURE_TIMEOUT : FAILURE_OUT_OF_TIME,
                    "the deadline passed while the request waited for a slot");
      return;
    }
  request_on_slot_granted (request);
}

static void
slots_on_timer (void *data);

static void
slots_wait (struct Request *request, int64_t wait_ms)
{
  struct SlotWait *wait = request->slot_wait;

  TALLOC_FREE (wait->timer);
  wait->timer =
      timer_subscribe (wait, request->front->node->timers, wait_ms, 0, slots_on_timer, request);
}

/* Sends the request although no owner has granted a slot. */
static void
slots_send_without_owner (struct Request *request)
{
  counter_add (COUNTER_SLOTS_WITHOUT_OWNER, 1);
  log_request (
      LOG_LEVEL_INFO, "sent_without_owner", request->caller.id, request->caller.program,
      "%s: %u gateways did not respond, %lld ms waited", request->slot_wait->server,
      request->slot_wait->hold.n_silent,
      (long long)(timer_now_ms (request->front->node->timers) - request->slot_wait->hold.began_ms));
  slots_send_request (request);
}

/* Makes owner the one that is queried next, and cancels at the previous one. */
static void
slots_set_owner (struct Request *request, const struct SlotOwner *owner)
{
  struct SlotWait *wait = request->slot_wait;
  struct SlotOwner cancelled;

  wait->gateways = request->front->slots->gateways;
  slot_hold_set_owner (&wait->hold, owner, &cancelled);
  slots_send_done (request, &cancelled, SLOT_NOT_USED);
}

static void
slots_log_report (const struct Request *request, const struct SlotOwner *owner)
{
  const struct SlotHold *hold = &request->slot_wait->hold;

  /* Repeated until it is acknowledged. */
  if (strcmp (hold->owner.name, owner->name) == 0 && hold->owner.start == owner->start)
    return;
  counter_add (COUNTER_SLOTS_REPORTED, 1);
  log_request (LOG_LEVEL_INFO, "slot_reported", request->caller.id, request->caller.program,
               "%s: granted by %s, reported to %s", request->slot_wait->server,
               hold->owner.name[0] != '\0' ? hold->owner.name : "no owner", owner->name);
}

/* Reports the slot that the request uses. */
static void
slots_report (struct Request *request, const struct SlotOwner *owner)
{
  slots_log_report (request, owner);
  slots_set_owner (request, owner);
  slots_send_slot_request (request);
}

/* Reports all slots of the server that this gateway uses, so that owner does not grant them again.
 */
static void
slots_report_held (const struct Front *front, const char *server, const struct SlotOwner *owner)
{
  for (struct Request *r = front->requests; r != NULL; r = r->next)
    if (r->slot_wait != NULL && r->slot_wait->hold.granted
        && strcmp (r->slot_wait->server, server) == 0
        && !slot_hold_is_counted_by (&r->slot_wait->hold, owner))
      slots_report (r, owner);
}

static void
slots_choose_owner (const struct Request *request, struct SlotOwner *owner)
{
  const struct Front *front = request->front;
  const struct SlotHold *hold = &request->slot_wait->hold;
  const struct SlotOwner excluded = slot_hold_excluded (hold, timer_now_ms (front->node->timers));

  if (slot_hold_needs_own_gateway (hold))
    slots_own_gateway (front, owner);
  else
    slots_find_owner (front, request->replica, &excluded, owner);
}

/* Queries the current owner of the server. May send or end the request before it returns. */
static void
slots_query_owner (struct Request *request)
{
  const struct Front *front = request->front;
  struct SlotWait *wait = request->slot_wait;
  bool is_own = false;

  while (!is_own)
    {
      struct SlotOwner owner;

      slots_choose_owner (request, &owner);
      slots_report_held (front, wait->server, &owner);
      slots_set_owner (request, &owner);
      if (slots_send_slot_request (request) == ERROR_NONE)
        {
          slots_wait (request, OWNER_TIMEOUT_MS);
          return;
        }
      slot_hold_note_silent (&wait->hold, timer_now_ms (front->node->timers));
      is_own = strcmp (owner.name, front->node->settings->instance) == 0;
    }
  slots_send_without_owner (request);
}

/* The owner has not responded in time, or the next query is due. */
static void
slots_on_timer (void *data)
{
  struct Request *request = data;
  struct SlotWait *wait = request->slot_wait;
  int64_t now_ms = timer_now_ms (request->front->node->timers);

  wait->timer = NULL;
  if (wait->hold.is_answered)
    {
      slots_query_owner (request);
      return;
    }
  slot_hold_note_silent (&wait->hold, now_ms);
  log_request (LOG_LEVEL_INFO, "owner_silent", request->caller.id, request->caller.program,
               "%s owns %s: the next gateway is queried", wait->hold.owner.name, wait->server);
  if (request_is_plain (request))
    replica_record_owner_unresponsive (request->replica, now_ms);
  slots_query_owner (request);
}

/* Following the owners. */

/* Queries the owner again once the event loop is back, without waiting for a response. */
static void
slots_query_soon (struct Request *request)
{
  request->slot_wait->hold.is_answered = true;
  slots_wait (request, 0);
}

/* Reports the request's slot to the owner of its server, or requests its place in the queue there,
 * if the owner has changed. */
static void
slots_follow_owner (struct Request *request)
{
  struct SlotWait *wait = request->slot_wait;
  struct SlotOwner owner;

  slots_choose_owner (request, &owner);
  switch (slot_hold_follow (&wait->hold, &owner, timer_now_ms (request->front->node->timers)))
    {
    case SLOT_FOLLOW_NONE:
      wait->gateways = request->front->slots->gateways;
      break;
    case SLOT_FOLLOW_REPORT:
      slots_report (request, &owner);
      break;
    case SLOT_FOLLOW_QUERY:
      slots_query_soon (request);
      break;
    }
}

static void
slots_follow (struct Slots *slots)
{
  const struct Node *node = slots->front->node;
  int64_t now_ms = timer_now_ms (node->timers);

  if (slots->n_peer_changes == node->peers->n_changes
      && now_ms - slots->followed_ms < FOLLOW_SILENT_INTERVAL_MS)
    return;
  slots->n_peer_changes = node->peers->n_changes;
  slots->followed_ms = now_ms;
  slots->gateways = slots_hash_gateways (slots->front);
  for (struct Request *r = slots->front->requests; r != NULL; r = r->next)
    if (r->slot_wait != NULL
        && (r->slot_wait->gateways != slots->gateways
            || (r->slot_wait->hold.granted && !r->slot_wait->hold.is_answered)))
      slots_follow_owner (r);
}

static void
slots_on_follow (void *data)
{
  struct Slots *slots = data;

  if (slots->front->requests != NULL)
    slots_follow (slots);
}

void
slots_peer_lost (struct Slots *slots, const char *name)
{
  slots->followed_ms = 0;
  for (struct Request *r = slots->front->requests; r != NULL; r = r->next)
    if (r->slot_wait != NULL && !r->slot_wait->hold.granted && !r->slot_wait->hold.is_answered
        && strcmp (r->slot_wait->hold.owner.name, name) == 0)
      slots_query_soon (r);
}

uint32_t
slots_count_held (const struct Front *front, const char *server)
{
  uint32_t n = 0;

  for (const struct Request *r = front->requests; r != NULL; r = r->next)
    n += r->slot_wait != NULL && r->slot_wait->hold.granted
         && strcmp (r->slot_wait->server, server) == 0;
  return n;
}

/* Requesting and releasing. */

/* Requests a slot from the owner. May send or end the request before it returns. */
static void
slots_begin (struct Request *request, uint32_t n_moves)
{
  struct SlotWait *wait = talloc_zero (request, struct SlotWait);

  request->slot_wait = wait;
  if (wait == NULL)
    {
      request_on_slot_granted (request);
      return;
    }
  wait->n_moves = n_moves;
  wait->hold.began_ms = timer_now_ms (request->front->node->timers);
  wait->gateways = request->front->slots->gateways;
  wait->id = node_next_id (request->front->node);
  snprintf (wait->server, sizeof wait->server, "%s", request->replica->entry.id);
  slots_query_owner (request);
}

void
slots_request (struct Request *request)
{
  slots_begin (request, 0);
}

void
slots_release (struct Request *request)
{
  struct SlotWait *wait = request->slot_wait;

  if (wait == NULL)
    return;
  slots_send_done (request, &wait->hold.owner, request->outcome);
  slots_send_done (request, &wait->hold.previous, SLOT_NOT_USED);
  TALLOC_FREE (request->slot_wait);
}

/* Replaces the count from heartbeats with the owner's, which is newer. */
static void
slots_update_total (struct Request *request, const struct SlotState *state)
{
  replica_apply_slot_state (request->replica, state, timer_now_ms (request->front->node->timers));
}

/* Returns the server with the least expected completion time, which may be the present one; NULL if
 * none is eligible. */
static struct Replica *
slots_choose_again (struct Request *request)
{
  struct Replica *from = request->replica, *best;

  /* The request itself must not count against its present server. */
  from->in_flight--;
  best = request_choose_server (request);
  from->in_flight++;
  return best;
}

static void
slots_move_to (struct Request *request, struct Replica *replica)
{
  uint32_t n_moves = request->slot_wait->n_moves;

  slots_release (request);
  request->replica->in_flight--;
  request->replica = replica;
  replica->in_flight++;
  slots_begin (request, n_moves + 1);
}

/* Moves the request to a less busy server, now that this one's queue, where it is expected to wait
 * wait_ms, is known. Returns false when there is none. */
static bool
slots_move (struct Request *request, uint32_t wait_ms)
{
  struct Replica *best;

  if (request->slot_wait->n_moves >= MOVES_MAX)
    return false;
  best = slots_choose_again (request);
  if (best == NULL || best == request->replica)
    return false;
  if (request_is_plain (request)
      && !plain_is_worth_moving (wait_ms, request_plain_wait_ms (request, best)))
    return false;
  slots_move_to (request, best);
  return true;
}

/* Moves a request of a program, which cannot be served in time at its present plain server, to the
 * best of the others. The load that is known of them includes requests that it would precede, so it
 * may be served in time there. Returns false when there is none. */
static bool
slots_move_late (struct Request *request)
{
  struct Replica *best;

  if (!request_is_plain (request) || request->caller.program[0] == '\0'
      || request->slot_wait->n_moves >= MOVES_MAX || request->n_tried == TRIED_MAX)
    return false;
  request->tried[request->n_tried++] = request->replica->entry.id;
  best = slots_choose_again (request);
  request->n_tried--;
  if (best == NULL)
    return false;
  slots_move_to (request, best);
  return true;
}

static void
slots_log_queued (struct Request *request, const struct SlotState *state)
{
  if (request->slot_wait->logged_queued)
    return;
  request->slot_wait->logged_queued = true;
  log_request (
      LOG_LEVEL_INFO, "queued", request->caller.id, request->caller.program,
      "%s, owner %s: %u running or waiting, %u ahead, estimated wait %u ms; %lld ms left for its "
      "program",
      request->slot_wait->server, request->slot_wait->hold.owner.name, state->total, state->ahead,
      state->wait_ms,
      request->program_deadline_ms != INT64_MAX
          ? (long long)(request->program_deadline_ms - timer_now_ms (request->front->node->timers))
          : -1LL);
}

/* Returns whether the request is rejected, since it would wait for too long. */
static bool
slots_rejects (const struct Request *request, uint32_t wait_ms, int64_t left_ms)
{
  const struct AdmissionQuery query = {
    .begins_program = request->turn != NULL && !request->continues_program,
    .has_top_rank = request->route.priority == 0,
    .wait_ms = wait_ms,
    .objective_ms = request->route.objective_ms,
    .left_ms = left_ms,
  };

  return request_is_ranked (request) && !request_is_plain (request) ? admission_rejects (&query)
                                                                    : wait_ms > left_ms;
}

static void
slots_handle_state (struct Request *request, const struct SlotState *state)
{
  const struct Front *front = request->front;
  int64_t now_ms = timer_now_ms (front->node->timers);
  int64_t left_ms = request->deadline_ms - now_ms;
  int64_t first_event_ms = request->arrived_ms + CALLER_FIRST_EVENT_MS - now_ms;

  if (request_is_plain (request))
    left_ms = slots_plain_longest_wait_ms (request, state);
  if (request_is_plain (request) && request->route.kind != ROUTE_STREAM)
    first_event_ms = left_ms;
  slots_update_total (request, state);
  if (state->granted)
    {
      slots_send_request (request);
      return;
    }
  if (slots_move (request, state->wait_ms))
    return;
  slots_log_queued (request, state);
  if (slots_rejects (request, state->wait_ms, left_ms < first_event_ms ? left_ms : first_event_ms))
    {
      if (!slots_move_late (request))
        request_reject_busy (request, state->wait_ms);
    }
  else
    slots_wait (request, request_is_plain (request) ? plain_query_interval_ms (state->wait_ms)
                                                    : ASK_INTERVAL_MS);
}

void
slots_on_state (struct Front *front, const char *sender, const struct SlotStateMessage *message)
{
  for (struct Request *r = front->requests; r != NULL; r = r->next)
    if (r->slot_wait != NULL && r->slot_wait->id == message->id)
      {
        /* A previous owner's response: the request was cancelled there. */
        if (strcmp (r->slot_wait->hold.owner.name, sender) != 0)
          return;
        slot_hold_note_answered (&r->slot_wait->hold);
        if (!r->slot_wait->hold.granted)
          slots_handle_state (r, &message->state);
        return;
      }
}
