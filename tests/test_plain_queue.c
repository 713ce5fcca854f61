/* Simulates gateways and plain servers in virtual time, with the queue code and the choice of
 * server unchanged, and counts the requests that full servers reject. Guards against plain servers
 * that reject requests under more demand than they can carry. */
#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/plain_queue.h>
#include <buckthornhead/scheduling/replica_set.h>
#include <buckthornhead/scheduling/slot_queue.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_GATEWAYS = 74,
  N_SERVERS = 8,
  SLOTS = 6,
  OWN_PLACES = 3, /* requests that a server queues itself; it rejects further ones */
  SERVICE_MIN_MS = 20,
  SERVICE_MAX_MS = 60,
  /* 1.5 times what the servers carry: 48 slots of 40 ms each. */
  REQUESTS_PER_S = 1800,
  LOAD_MS = 5000,
  END_MS = 12 * 1000,
  REQUESTS_MAX = 24 * 1000,
  TIMEOUT_MS = 2000, /* of the route */
  DELAY_MS = 1,      /* of each message, to a gateway or a server */
  HEARTBEAT_MS = 500,
  TARGET_MS = 200, /* target latency of the route */
  /* As in gateway/slots.c and gateway/front.c. */
  OWNER_TIMEOUT_MS = 60,
  MOVES_MAX = 2,
  TICK_MS = 250,
  DIGEST_MS = 120,
  FULL_DIGEST_TICKS = 4,
  DETECT_MS = 1500, /* until a killed gateway is no longer live */
  OWNERS_APART = 9, /* server s is owned by gateway 9 s */
  WAITS_MAX = 64,   /* slot requests of one request */
  LEAVE_MS = 100,
  FAULT_MS = 1000, /* when a fault begins */
  SEEDS = 3,
  UNUSED_MAX = 10, /* ends in transit, at some 2 requests a millisecond */
  N_SECONDS = END_MS / 1000 + 1,
  NEVER_MS = 1 << 30
};

/* What fails in a simulation; times are NEVER_MS if it does not happen. */
struct Faults
{
  uint32_t killed_gateway;
  int64_t killed_ms;
  uint32_t silent_gateway; /* handles no messages to it as an owner meanwhile */
  int64_t silent_from_ms, silent_until_ms;
  int64_t two_owners_from_ms, two_owners_until_ms; /* every second gateway has other owners */
  uint32_t slow_server;                            /* runs requests six times slower */
  int64_t slow_from_ms;
  uint32_t leave_permille; /* callers that disconnect after LEAVE_MS */
};

static const struct Faults no_faults = {
  .killed_ms = NEVER_MS,
  .silent_from_ms = NEVER_MS,
  .two_owners_from_ms = NEVER_MS,
  .slow_from_ms = NEVER_MS,
};

enum SimOutcome
{
  OUTCOME_NONE,
  OUTCOME_SERVED,
  OUTCOME_BUSY,      /* rejected by its gateway at once: it cannot be served in time */
  OUTCOME_NO_SERVER, /* rejected by all servers */
  OUTCOME_TIMEOUT,   /* its deadline passed */
  OUTCOME_LEFT,      /* its caller disconnected */
  OUTCOME_KILLED     /* with its gateway */
};

enum EventKind
{
  EVENT_ARRIVAL,   /* a caller's request at its gateway */
  EVENT_AT_SERVER, /* the request at a server */
  EVENT_SERVED,    /* the server has run the request */
  EVENT_RESPONSE,  /* the server's response at the gateway */
  EVENT_REJECTED,  /* the server's rejection at the gateway */
  EVENT_ASK,       /* a slot request at the server's owner */
  EVENT_STATE,     /* the owner's response or grant at the requester */
  EVENT_DONE,      /* the end of a slot at the owner */
  EVENT_TIMER,     /* the owner is silent, or the next query is due */
  EVENT_LEFT,      /* the caller disconnects */
  EVENT_DEADLINE
};

struct Event
{
  struct Event *next;
  enum EventKind kind;
  uint32_t request;
  uint32_t server;
  uint32_t attempt;   /* of the request when it was sent to a server */
  uint32_t owner;     /* gateway */
  uint32_t requester; /* gateway */
  uint64_t id;        /* of the slot request; of the timer */
  enum SlotOutcome outcome;
  struct SlotState state;
};

struct EventList
{
  struct Event *first, *last;
};

struct SimRequest
{
  uint32_t gateway;
  int64_t arrived_ms, deadline_ms, program_deadline_ms;
  bool of_program;
  enum SimOutcome outcome;
  int64_t ended_ms, sent_ms;
  uint32_t attempt;
  struct Replica *replica; /* NULL: not at a server */
  const char *tried[N_SERVERS];
  size_t n_tried;

  /* The slot, or the place in the queue. */
  bool has_slot, granted, answered;
  uint32_t owner, n_moves, n_waits;
  uint64_t slot_id, timer_id;
  enum SlotOutcome slot_outcome;
};

struct SimGateway
{
  struct ReplicaSet *replicas;
  struct SlotQueues *queues;
  uint64_t n_draws;
};

struct SimServer
{
  uint32_t n_running;
  uint32_t waiting[OWN_PLACES];
  uint32_t n_waiting;
};

struct Simulation
{
  int64_t now_ms;
  struct EventList events[END_MS + 1];
  struct SimGateway gateways[N_GATEWAYS];
  struct SimServer servers[N_SERVERS];
  char names[N_SERVERS][8];
  struct SimRequest requests[REQUESTS_MAX];
  uint32_t n_requests;
  bool with_queues;
  struct Faults faults;
  uint64_t n_timers;
  uint32_t n_digest_ticks;

  uint32_t n_arrivals, n_rejected; /* at servers */
  uint32_t n_sent_late;            /* after the deadline */
  uint32_t n_messages;             /* slot requests, states and ends */
  uint32_t n_moves, n_without_owner;
  uint32_t n_rejected_in[N_SECONDS]; /* by servers, in each second */
  uint32_t n_unused_max;             /* places in queues whose requests have ended */
};

static uint32_t
draw_ms (uint32_t min_ms, uint32_t max_ms)
{
  return min_ms + (uint32_t)(drand48 () * (max_ms - min_ms + 1));
}

/* Events later than END_MS are dropped. */
static struct Event *
sim_add (struct Simulation *sim, int64_t delay_ms, enum EventKind kind, uint32_t request)
{
  static struct Event dropped;
  int64_t at_ms = sim->now_ms + delay_ms;
  struct Event *event;
  struct EventList *list;

  if (at_ms > END_MS)
    return &dropped;
  list = &sim->events[at_ms];
  event = talloc_zero (sim, struct Event);
  event->kind = kind;
  event->request = request;
  if (list->last != NULL)
    list->last->next = event;
  else
    list->first = event;
  list->last = event;
  return event;
}

static bool
gateway_is_dead (const struct Simulation *sim, uint32_t gateway)
{
  return gateway == sim->faults.killed_gateway && sim->now_ms >= sim->faults.killed_ms;
}

/* Servers. */

static void
server_run (struct Simulation *sim, uint32_t server, uint32_t request)
{
  bool slow = server == sim->faults.slow_server && sim->now_ms >= sim->faults.slow_from_ms;
  int64_t took_ms = (int64_t)draw_ms (SERVICE_MIN_MS, SERVICE_MAX_MS) * (slow ? 6 : 1);

  sim->servers[server].n_running++;
  sim_add (sim, took_ms, EVENT_SERVED, request)->server = server;
}

static void
server_receive (struct Simulation *sim, uint32_t server, uint32_t request)
{
  struct SimServer *s = &sim->servers[server];

  sim->n_arrivals++;
  if (s->n_running < SLOTS)
    server_run (sim, server, request);
  else if (s->n_waiting < OWN_PLACES)
    s->waiting[s->n_waiting++] = request;
  else
    {
      sim->n_rejected++;
      sim->n_rejected_in[sim->now_ms / 1000]++;
      sim_add (sim, DELAY_MS, EVENT_REJECTED, request);
    }
}

static void
server_end (struct Simulation *sim, uint32_t server, uint32_t request)
{
  struct SimServer *s = &sim->servers[server];
  uint32_t next;

  s->n_running--;
  sim_add (sim, DELAY_MS, EVENT_RESPONSE, request);
  if (s->n_waiting == 0)
    return;
  next = s->waiting[0];
  memmove (s->waiting, s->waiting + 1, --s->n_waiting * sizeof s->waiting[0]);
  server_run (sim, server, next);
}

/* Gateways. */

static struct ReplicaQuery
request_query (const struct Simulation *sim, const struct SimRequest *request)
{
  return (struct ReplicaQuery){
    .service = "tools",
    .zone = "a",
    .previous_server = "",
    .tried = request->tried,
    .n_tried = request->n_tried,
    .service_ms = sim->with_queues ? plain_first_service_ms (TARGET_MS) : 0,
    .draw = sim->gateways[request->gateway].n_draws,
    .now_ms = sim->now_ms,
  };
}

static struct Replica *
request_choose (struct Simulation *sim, struct SimRequest *request)
{
  struct SimGateway *gateway = &sim->gateways[request->gateway];
  const struct ReplicaQuery query = request_query (sim, request);

  gateway->n_draws++;
  return replica_set_choose (gateway->replicas, &query);
}

static uint32_t
server_of (const struct Replica *replica)
{
  return (uint32_t)strtoul (replica->entry.id + 1, NULL, 10);
}

static uint32_t
owner_of (const struct Simulation *sim, uint32_t server, uint32_t requester)
{
  const struct Faults *faults = &sim->faults;
  uint32_t owner = server * OWNERS_APART;

  if (requester % 2 == 1 && sim->now_ms >= faults->two_owners_from_ms
      && sim->now_ms < faults->two_owners_until_ms)
    return owner + 2;
  if (owner == faults->killed_gateway && sim->now_ms >= faults->killed_ms + DETECT_MS)
    return owner + 1;
  return owner;
}

static struct Event *
sim_add_message (struct Simulation *sim, enum EventKind kind, uint32_t request)
{
  sim->n_messages++;
  return sim_add (sim, DELAY_MS, kind, request);
}

static void
request_send_done (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];
  struct Event *event = sim_add_message (sim, EVENT_DONE, i);

  event->owner = request->owner;
  event->server = server_of (request->replica);
  event->requester = request->gateway;
  event->id = request->slot_id;
  event->outcome = request->slot_outcome;
}

static void
request_release (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];

  if (request->has_slot)
    request_send_done (sim, i);
  request->has_slot = false;
  request->slot_outcome = SLOT_NOT_USED;
  request->timer_id = 0;
  if (request->replica != NULL)
    request->replica->in_flight--;
  request->replica = NULL;
}

static void
request_end (struct Simulation *sim, uint32_t i, enum SimOutcome outcome)
{
  struct SimRequest *request = &sim->requests[i];

  request_release (sim, i);
  request->outcome = outcome;
  request->ended_ms = sim->now_ms;
}

static void
request_submit (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];
  struct Event *event;

  request->granted = true;
  request->timer_id = 0;
  request->sent_ms = sim->now_ms;
  request->tried[request->n_tried++] = request->replica->entry.id;
  sim->n_sent_late += sim->now_ms >= request->deadline_ms;
  event = sim_add (sim, DELAY_MS, EVENT_AT_SERVER, i);
  event->server = server_of (request->replica);
}

static void
request_set_timer (struct Simulation *sim, uint32_t i, int64_t delay_ms)
{
  sim->requests[i].timer_id = ++sim->n_timers;
  sim_add (sim, delay_ms, EVENT_TIMER, i)->id = sim->n_timers;
}

static void
request_query_owner (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];
  uint32_t owner = owner_of (sim, server_of (request->replica), request->gateway);
  struct Event *event;

  if (owner != request->owner)
    request_send_done (sim, i);
  request->owner = owner;
  request->answered = false;
  event = sim_add_message (sim, EVENT_ASK, i);
  event->owner = owner;
  event->server = server_of (request->replica);
  event->requester = request->gateway;
  event->id = request->slot_id;
  request_set_timer (sim, i, OWNER_TIMEOUT_MS);
}

static void
request_begin_slot (struct Simulation *sim, uint32_t i, uint32_t n_moves)
{
  struct SimRequest *request = &sim->requests[i];

  request->has_slot = true;
  request->granted = false;
  request->n_moves = n_moves;
  request->slot_id = (uint64_t)i * WAITS_MAX + ++request->n_waits;
  request->owner = owner_of (sim, server_of (request->replica), request->gateway);
  request_query_owner (sim, i);
}

static void
request_send (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];

  request->replica = request_choose (sim, request);
  if (request->replica == NULL)
    {
      request_end (sim, i, OUTCOME_NO_SERVER);
      return;
    }
  request->replica->in_flight++;
  if (sim->with_queues)
    request_begin_slot (sim, i, 0);
  else
    request_submit (sim, i);
}

static bool
request_move (struct Simulation *sim, uint32_t i, uint32_t wait_ms)
{
  struct SimRequest *request = &sim->requests[i];
  const struct ReplicaQuery query = request_query (sim, request);
  struct Replica *from = request->replica, *best;
  uint32_t n_moves = request->n_moves;

  if (n_moves >= MOVES_MAX)
    return false;
  from->in_flight--;
  best = request_choose (sim, request);
  from->in_flight++;
  if (best == NULL || best == from
      || !plain_is_worth_moving (wait_ms, replica_plain_wait_ms (best, &query)))
    return false;
  request_release (sim, i);
  request->replica = best;
  best->in_flight++;
  sim->n_moves++;
  request_begin_slot (sim, i, n_moves + 1);
  return true;
}

/* As slots_move_late in gateway/slots.c. */
static bool
request_move_late (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];
  struct Replica *from = request->replica, *best;
  uint32_t n_moves = request->n_moves;

  if (!request->of_program || n_moves >= MOVES_MAX || request->n_tried == N_SERVERS)
    return false;
  request->tried[request->n_tried++] = from->entry.id;
  best = request_choose (sim, request);
  request->n_tried--;
  if (best == NULL)
    return false;
  request_release (sim, i);
  request->replica = best;
  best->in_flight++;
  sim->n_moves++;
  request_begin_slot (sim, i, n_moves + 1);
  return true;
}

static void
request_on_state (struct Simulation *sim, const struct Event *event)
{
  struct SimRequest *request = &sim->requests[event->request];
  const struct SlotState *state = &event->state;
  const struct PlainRequest plain = { request->program_deadline_ms, request->deadline_ms };

  if (!request->has_slot || request->granted || request->slot_id != event->id)
    return;
  request->answered = true;
  replica_apply_slot_state (request->replica, state, sim->now_ms);
  if (state->granted)
    request_submit (sim, event->request);
  else if (request_move (sim, event->request, state->wait_ms))
    return;
  else if (state->wait_ms <= plain_longest_wait_ms (&plain, state->service_ms, sim->now_ms))
    request_set_timer (sim, event->request, plain_query_interval_ms (state->wait_ms));
  else if (!request_move_late (sim, event->request))
    request_end (sim, event->request, OUTCOME_BUSY);
}

static void
request_on_timer (struct Simulation *sim, const struct Event *event)
{
  struct SimRequest *request = &sim->requests[event->request];

  if (request->timer_id != event->id)
    return;
  if (request->answered)
    {
      request_query_owner (sim, event->request);
      return;
    }
  sim->n_without_owner++;
  replica_record_owner_unresponsive (request->replica, sim->now_ms);
  request_submit (sim, event->request);
}

static void
request_on_response (struct Simulation *sim, uint32_t i)
{
  if (sim->requests[i].outcome != OUTCOME_NONE)
    return;
  sim->requests[i].slot_outcome = SLOT_SERVED;
  request_end (sim, i, OUTCOME_SERVED);
}

static void
request_on_rejected (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];

  if (request->outcome != OUTCOME_NONE)
    return;
  replica_record_full (request->replica, sim->now_ms);
  request->slot_outcome = SLOT_FULL;
  request_release (sim, i);
  request_send (sim, i);
}

/* Owners. */

static struct Event *
owner_send_state (struct Simulation *sim, uint64_t id, const struct SlotState *state)
{
  struct Event *event = sim_add_message (sim, EVENT_STATE, (uint32_t)(id / WAITS_MAX));

  event->id = id;
  event->state = *state;
  return event;
}

struct OwnerGrant
{
  struct Simulation *sim;
  uint32_t owner;
};

static void
owner_grant (void *data, const char *server)
{
  struct OwnerGrant *grant = data;
  struct SlotRequest granted;
  struct SlotState state;

  while (slot_queue_next (grant->sim->gateways[grant->owner].queues, server, grant->sim->now_ms,
                          &granted, &state))
    owner_send_state (grant->sim, granted.id, &state);
}

static void
owner_on_ask (struct Simulation *sim, const struct Event *event)
{
  const struct SimRequest *request = &sim->requests[event->request];
  const struct PlainRequest plain = { request->program_deadline_ms, request->deadline_ms };
  struct OwnerGrant grant = { sim, event->owner };
  const struct SlotServer server = { sim->names[event->server], SLOTS, 0,
                                     plain_first_service_ms (TARGET_MS) };
  struct SlotRequest ask = { .id = event->id,
                             .under_way = request->of_program,
                             .program_deadline_ms = plain_order_deadline_ms (&plain),
                             .deadline_ms = request->deadline_ms };
  struct SlotState state;

  snprintf (ask.requester, sizeof ask.requester, "g%u", event->requester);
  owner_grant (&grant, server.id);
  CU_ASSERT_EQUAL (
      slot_queue_request (sim->gateways[event->owner].queues, &server, &ask, sim->now_ms, &state),
      ERROR_NONE);
  owner_send_state (sim, event->id, &state);
}

static void
owner_on_done (struct Simulation *sim, const struct Event *event)
{
  struct OwnerGrant grant = { sim, event->owner };
  char requester[16];

  snprintf (requester, sizeof requester, "g%u", event->requester);
  slot_queue_done (sim->gateways[event->owner].queues, sim->names[event->server], requester,
                   event->id, event->outcome, sim->now_ms);
  owner_grant (&grant, sim->names[event->server]);
}

static bool
requester_is_live (void *data, const char *requester, uint64_t id)
{
  const struct OwnerGrant *grant = data;
  const struct Faults *faults = &grant->sim->faults;

  (void)id;
  return strtoul (requester + 1, NULL, 10) != faults->killed_gateway
         || grant->sim->now_ms < faults->killed_ms + DETECT_MS;
}

static bool
owner_is_silent (const struct Simulation *sim, uint32_t gateway)
{
  return gateway == sim->faults.silent_gateway && sim->now_ms >= sim->faults.silent_from_ms
         && sim->now_ms < sim->faults.silent_until_ms;
}

static void
owners_expire (struct Simulation *sim)
{
  for (uint32_t g = 0; g < N_GATEWAYS; g++)
    {
      struct OwnerGrant grant = { sim, g };

      if (!gateway_is_dead (sim, g) && !owner_is_silent (sim, g))
        slot_queues_expire (sim->gateways[g].queues, sim->now_ms, requester_is_live, owner_grant,
                            &grant);
    }
}

static void
owner_send_digests (struct Simulation *sim, uint32_t owner, bool busy_only)
{
  size_t n;
  struct SlotDigest *digests =
      slot_queues_digest (sim->gateways[owner].queues, sim, busy_only, sim->now_ms, &n);

  for (size_t i = 0; i < n; i++)
    for (uint32_t g = 0; g < N_GATEWAYS; g++)
      replica_apply_digest (replica_set_find (sim->gateways[g].replicas, digests[i].server),
                            &digests[i], sim->now_ms);
  talloc_free (digests);
}

static void
owners_send_digests (struct Simulation *sim)
{
  bool busy_only = sim->n_digest_ticks++ % FULL_DIGEST_TICKS != 0;

  for (uint32_t g = 0; g < N_GATEWAYS; g++)
    if (!gateway_is_dead (sim, g) && !owner_is_silent (sim, g))
      owner_send_digests (sim, g, busy_only);
}

/* Without owners: sums the requests in flight of all gateways, as heartbeats do. */
static void
gateways_sum_loads (struct Simulation *sim)
{
  for (uint32_t s = 0; s < N_SERVERS; s++)
    {
      uint32_t n = 0;

      for (uint32_t g = 0; g < N_GATEWAYS; g++)
        n += replica_set_find (sim->gateways[g].replicas, sim->names[s])->in_flight;
      for (uint32_t g = 0; g < N_GATEWAYS; g++)
        {
          struct Replica *r = replica_set_find (sim->gateways[g].replicas, sim->names[s]);

          r->peers_in_flight = n - r->in_flight;
        }
    }
}

/* The simulation. */

static void
sim_handle_at_owner (struct Simulation *sim, const struct Event *event)
{
  if (gateway_is_dead (sim, event->owner))
    return;
  if (owner_is_silent (sim, event->owner))
    {
      struct Event *later =
          sim_add (sim, sim->faults.silent_until_ms - sim->now_ms, event->kind, event->request);
      struct Event *next = later->next;

      *later = *event;
      later->next = next;
    }
  else if (event->kind == EVENT_ASK)
    owner_on_ask (sim, event);
  else
    owner_on_done (sim, event);
}

static void
sim_handle_at_gateway (struct Simulation *sim, const struct Event *event)
{
  struct SimRequest *request = &sim->requests[event->request];

  if (request->outcome != OUTCOME_NONE)
    return;
  if (gateway_is_dead (sim, request->gateway))
    {
      request->outcome = OUTCOME_KILLED;
      return;
    }
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      request_send (sim, event->request);
      break;
    case EVENT_RESPONSE:
      request_on_response (sim, event->request);
      break;
    case EVENT_REJECTED:
      request_on_rejected (sim, event->request);
      break;
    case EVENT_STATE:
      request_on_state (sim, event);
      break;
    case EVENT_TIMER:
      request_on_timer (sim, event);
      break;
    case EVENT_LEFT:
      request_end (sim, event->request, OUTCOME_LEFT);
      break;
    case EVENT_DEADLINE:
      request_end (sim, event->request, OUTCOME_TIMEOUT);
      break;
    case EVENT_AT_SERVER:
    case EVENT_SERVED:
    case EVENT_ASK:
    case EVENT_DONE:
      break;
    }
}

static void
sim_handle (struct Simulation *sim, const struct Event *event)
{
  switch (event->kind)
    {
    case EVENT_AT_SERVER:
      server_receive (sim, event->server, event->request);
      break;
    case EVENT_SERVED:
      server_end (sim, event->server, event->request);
      break;
    case EVENT_ASK:
    case EVENT_DONE:
      sim_handle_at_owner (sim, event);
      break;
    case EVENT_ARRIVAL:
    case EVENT_RESPONSE:
    case EVENT_REJECTED:
    case EVENT_STATE:
    case EVENT_TIMER:
    case EVENT_LEFT:
    case EVENT_DEADLINE:
      sim_handle_at_gateway (sim, event);
      break;
    }
}

static void
sim_add_arrivals (struct Simulation *sim, double per_s)
{
  double at_ms = 1;

  while (at_ms < LOAD_MS && sim->n_requests < REQUESTS_MAX)
    {
      uint32_t i = sim->n_requests++;
      struct SimRequest *request = &sim->requests[i];

      request->gateway = (uint32_t)(drand48 () * N_GATEWAYS);
      request->arrived_ms = (int64_t)at_ms;
      request->deadline_ms = request->arrived_ms + TIMEOUT_MS;
      request->of_program = drand48 () < 0.5;
      request->program_deadline_ms =
          request->of_program ? request->arrived_ms + draw_ms (1000, 5000) : INT64_MAX;
      sim_add (sim, request->arrived_ms, EVENT_ARRIVAL, i);
      sim_add (sim, request->deadline_ms, EVENT_DEADLINE, i);
      if (i % 1000 < sim->faults.leave_permille)
        sim_add (sim, request->arrived_ms + LEAVE_MS, EVENT_LEFT, i);
      at_ms += -log (1 - drand48 ()) * 1000 / per_s;
    }
}

static struct Simulation *
sim_new (long seed, double per_s, const struct Faults *faults)
{
  struct Simulation *sim = talloc_zero (NULL, struct Simulation);
  struct ReplicaEntry entries[N_SERVERS] = { 0 };

  srand48 (seed);
  sim->with_queues = faults != NULL;
  sim->faults = faults != NULL ? *faults : no_faults;
  for (uint32_t s = 0; s < N_SERVERS; s++)
    {
      snprintf (sim->names[s], sizeof sim->names[s], "p%u", s);
      snprintf (entries[s].id, sizeof entries[s].id, "%s", sim->names[s]);
      snprintf (entries[s].service, sizeof entries[s].service, "tools");
      snprintf (entries[s].zone, sizeof entries[s].zone, "a");
      entries[s].slots = SLOTS;
    }
  for (uint32_t g = 0; g < N_GATEWAYS; g++)
    {
      sim->gateways[g].replicas = replica_set_new (sim);
      sim->gateways[g].queues = slot_queues_new (sim);
      sim->gateways[g].n_draws = (uint64_t)lrand48 ();
      replica_set_apply (sim->gateways[g].replicas, entries, N_SERVERS, false, 0);
    }
  sim_add_arrivals (sim, per_s);
  return sim;
}

/* Compares the places in all queues with the requests that have one, other than those of a gateway
 * that is known to be killed. */
static void
sim_count_unused_places (struct Simulation *sim)
{
  bool detected = sim->now_ms >= sim->faults.killed_ms + DETECT_MS + TICK_MS;
  uint32_t n_places = 0, n_requests = 0;

  for (uint32_t g = 0; g < N_GATEWAYS; g++)
    {
      size_t n;
      struct SlotDigest *digests =
          slot_queues_digest (sim->gateways[g].queues, sim, false, sim->now_ms, &n);

      for (size_t i = 0; i < n; i++)
        n_places += digests[i].total;
      talloc_free (digests);
    }
  for (uint32_t i = 0; i < sim->n_requests; i++)
    {
      const struct SimRequest *request = &sim->requests[i];
      bool killed = gateway_is_dead (sim, request->gateway);

      if (killed ? !detected : request->outcome == OUTCOME_NONE)
        n_requests += request->has_slot;
    }
  if (n_places > n_requests + sim->n_unused_max)
    sim->n_unused_max = n_places - n_requests;
}

static void
sim_run (struct Simulation *sim)
{
  for (; sim->now_ms <= END_MS; sim->now_ms++)
    {
      for (struct Event *e = sim->events[sim->now_ms].first; e != NULL; e = e->next)
        sim_handle (sim, e);
      if (sim->with_queues && sim->now_ms % TICK_MS == 0)
        owners_expire (sim);
      /* Between two calls of owners_expire, which would hide a place that was not given back. */
      if (sim->with_queues && sim->now_ms % TICK_MS == TICK_MS / 2)
        sim_count_unused_places (sim);
      if (sim->with_queues && sim->now_ms % DIGEST_MS == 0)
        owners_send_digests (sim);
      if (!sim->with_queues && sim->now_ms % HEARTBEAT_MS == 0)
        gateways_sum_loads (sim);
    }
}

static uint32_t
sim_rejected_permille (const struct Simulation *sim)
{
  return sim->n_rejected * 1000 / sim->n_arrivals;
}

struct Sums
{
  uint32_t n, n_of[OUTCOME_KILLED + 1];
  int64_t wait_ms; /* of served requests, until they were sent */
};

static struct Sums
sim_sum (const struct Simulation *sim, bool of_program)
{
  struct Sums sums = { 0 };

  for (uint32_t i = 0; i < sim->n_requests; i++)
    {
      const struct SimRequest *request = &sim->requests[i];

      if (request->of_program != of_program)
        continue;
      sums.n++;
      sums.n_of[request->outcome]++;
      if (request->outcome == OUTCOME_SERVED)
        sums.wait_ms += request->sent_ms - request->arrived_ms;
    }
  return sums;
}

static void
sim_print (const struct Simulation *sim, const char *name)
{
  printf ("%s: servers rejected %u of %u arrivals (%u permille); %u sent late, %u without owner, "
          "%u moves, %u messages for %u requests\n",
          name, sim->n_rejected, sim->n_arrivals, sim_rejected_permille (sim), sim->n_sent_late,
          sim->n_without_owner, sim->n_moves, sim->n_messages, sim->n_requests);
  for (int p = 0; p < 2; p++)
    {
      struct Sums sums = sim_sum (sim, p == 0);

      printf ("  %s: %u, served %u (mean wait %lld ms), busy %u, no server %u, timeout %u, killed "
              "%u, not ended %u\n",
              p == 0 ? "of programs" : "others", sums.n, sums.n_of[OUTCOME_SERVED],
              (long long)(sums.wait_ms / (sums.n_of[OUTCOME_SERVED] + 1)), sums.n_of[OUTCOME_BUSY],
              sums.n_of[OUTCOME_NO_SERVER], sums.n_of[OUTCOME_TIMEOUT], sums.n_of[OUTCOME_KILLED],
              sums.n_of[OUTCOME_NONE]);
    }
}

static struct Simulation *
sim_run_new (long seed, double per_s, const struct Faults *faults, const char *name)
{
  struct Simulation *sim = sim_new (seed, per_s, faults);

  sim_run (sim);
  sim_print (sim, name);
  CU_ASSERT_EQUAL (sim->n_sent_late, 0);
  return sim;
}

/* Returns the requests of programs that were not served, except those of a killed gateway. */
static uint32_t
sim_programs_failed (const struct Simulation *sim)
{
  struct Sums sums = sim_sum (sim, true);

  return sums.n - sums.n_of[OUTCOME_SERVED] - sums.n_of[OUTCOME_KILLED];
}

static uint32_t
sim_rejected_since (const struct Simulation *sim, uint32_t second)
{
  uint32_t n = 0;

  for (; second < N_SECONDS; second++)
    n += sim->n_rejected_in[second];
  return n;
}

/* Guards against plain servers that reject most of what they are sent under more demand than they
 * carry: without queues 86% at 1.5 times the load. Requests of programs go before others. */
static void
test_full_servers_reject_few (void)
{
  for (long seed = 1; seed <= SEEDS; seed++)
    {
      struct Simulation *sim = sim_run_new (seed, REQUESTS_PER_S, &no_faults, "1.5 times the load");
      struct Sums programs = sim_sum (sim, true), others = sim_sum (sim, false);

      CU_ASSERT (sim_rejected_permille (sim) < 10);
      CU_ASSERT (sim_programs_failed (sim) * 100 < programs.n);
      CU_ASSERT (programs.wait_ms * 10 < others.wait_ms);
      talloc_free (sim);
    }
}

static void
test_three_times_the_load_is_not_rejected_by_servers (void)
{
  struct Simulation *sim = sim_run_new (1, 2 * REQUESTS_PER_S, &no_faults, "3 times the load");

  CU_ASSERT (sim_rejected_permille (sim) < 10);
  talloc_free (sim);
}

/* A request that finds a free slot costs three messages: its slot request, the grant, its end. */
static void
test_a_request_costs_three_messages (void)
{
  struct Simulation *sim = sim_run_new (1, 300, &no_faults, "a quarter of the load");

  CU_ASSERT_EQUAL (sim->n_messages, 3 * sim->n_requests);
  talloc_free (sim);
  sim = sim_run_new (1, 600, &no_faults, "half of the load");
  CU_ASSERT (sim->n_messages * 10 < 33 * sim->n_requests);
  talloc_free (sim);
}

/* Guards against a decision whose work grows faster than the queue: with some hundred waiting
 * requests each query, grant and end reads each of a queue's entries at most twice. */
static void
test_the_work_grows_with_the_queue_only_linearly (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  const struct SlotServer server = { "p0", SLOTS, 0, 50 };
  struct SlotRequest request = { .requester = "g0", .under_way = true, .deadline_ms = 2000 };
  struct SlotState state;
  uint64_t before;
  enum
  {
    N_QUEUED = 400
  };

  for (request.id = 1; request.id < N_QUEUED; request.id++)
    {
      request.program_deadline_ms = 2000 + (int64_t)(request.id * 7919 % N_QUEUED);
      slot_queue_request (queues, &server, &request, 0, &state);
    }
  before = slot_queues_n_examined (queues);
  slot_queue_request (queues, &server, &request, 0, &state);
  CU_ASSERT_EQUAL (state.total, N_QUEUED);
  CU_ASSERT_EQUAL (slot_queues_n_examined (queues) - before, 2 * N_QUEUED);
  before = slot_queues_n_examined (queues);
  slot_queue_done (queues, "p0", "g0", 1, SLOT_SERVED, 40);
  CU_ASSERT_TRUE (slot_queue_next (queues, "p0", 40, &request, &state));
  CU_ASSERT (slot_queues_n_examined (queues) - before <= 2 * N_QUEUED);
  talloc_free (queues);
}

/* A killed owner is replaced after some 1.5 s. Until then its servers get requests without grants,
 * and reject some of them; other servers run these. No request of a program may fail for it. */
static void
test_a_killed_owner_loses_no_requests (void)
{
  for (long seed = 1; seed <= SEEDS; seed++)
    {
      struct Faults faults = no_faults;
      struct Simulation *sim;

      faults.killed_gateway = 3 * OWNERS_APART;
      faults.killed_ms = FAULT_MS;
      sim = sim_run_new (seed, REQUESTS_PER_S, &faults, "killed owner");
      CU_ASSERT_EQUAL (sim_programs_failed (sim), 0);
      CU_ASSERT (sim->n_without_owner > 0);
      CU_ASSERT (sim_rejected_permille (sim) < 100);
      CU_ASSERT (sim_rejected_since (sim, 3) * 100 < sim->n_arrivals);
      talloc_free (sim);
    }
}

/* The same for an owner that handles no messages for a second and then all of them. */
static void
test_a_silent_owner_loses_no_requests (void)
{
  for (long seed = 1; seed <= SEEDS; seed++)
    {
      struct Faults faults = no_faults;
      struct Simulation *sim;

      faults.silent_gateway = 3 * OWNERS_APART;
      faults.silent_from_ms = FAULT_MS;
      faults.silent_until_ms = FAULT_MS + 1000;
      sim = sim_run_new (seed, REQUESTS_PER_S, &faults, "silent owner");
      CU_ASSERT_EQUAL (sim_programs_failed (sim), 0);
      CU_ASSERT (sim->n_without_owner > 0);
      CU_ASSERT (sim_rejected_permille (sim) < 100);
      CU_ASSERT (sim_rejected_since (sim, 3) * 100 < sim->n_arrivals);
      talloc_free (sim);
    }
}

/* Two owners grant each server's slots twice for a second. The servers' own queues take part of the
 * excess, and the owners count fewer slots after each rejection. */
static void
test_two_owners_lose_no_requests (void)
{
  for (long seed = 1; seed <= SEEDS; seed++)
    {
      struct Faults faults = no_faults;
      struct Simulation *sim;

      faults.two_owners_from_ms = FAULT_MS;
      faults.two_owners_until_ms = FAULT_MS + 1000;
      sim = sim_run_new (seed, REQUESTS_PER_S, &faults, "two owners");
      CU_ASSERT_EQUAL (sim_programs_failed (sim), 0);
      CU_ASSERT (sim_rejected_permille (sim) < 100);
      CU_ASSERT (sim_rejected_since (sim, 3) * 100 < sim->n_arrivals);
      talloc_free (sim);
    }
}

/* Guards against requests that wait at a server that has become slow, although others would run
 * them in time. */
static void
test_a_slow_server_is_left_to_others (void)
{
  for (long seed = 1; seed <= SEEDS; seed++)
    {
      struct Faults faults = no_faults;
      struct Simulation *sim;

      faults.slow_server = 3;
      faults.slow_from_ms = FAULT_MS;
      sim = sim_run_new (seed, REQUESTS_PER_S, &faults, "slow server");
      CU_ASSERT (sim_rejected_permille (sim) < 10);
      CU_ASSERT (sim_programs_failed (sim) * 100 < sim_sum (sim, true).n);
      talloc_free (sim);
    }
}

/* Guards against slots that stay granted to a killed gateway until the deadlines of its requests.
 */
static void
test_the_slots_of_a_killed_gateway_are_freed (void)
{
  struct Faults faults = no_faults;
  struct Simulation *sim;

  faults.killed_gateway = 5; /* owns no server */
  faults.killed_ms = FAULT_MS;
  sim = sim_run_new (1, REQUESTS_PER_S, &faults, "killed requester");
  CU_ASSERT (sim_rejected_permille (sim) < 10);
  CU_ASSERT_EQUAL (sim_programs_failed (sim), 0);
  CU_ASSERT (sim->n_unused_max <= UNUSED_MAX);
  talloc_free (sim);
}

/* Guards against places that callers keep after they have disconnected or their deadlines have
 * passed: apart from messages in transit, each place belongs to a request. */
static void
test_ended_requests_give_their_places_back (void)
{
  struct Faults faults = no_faults;
  struct Simulation *sim;

  faults.leave_permille = 300;
  sim = sim_run_new (1, REQUESTS_PER_S, &faults, "callers leave");
  CU_ASSERT (sim_sum (sim, false).n_of[OUTCOME_LEFT] > 100);
  CU_ASSERT (sim_sum (sim, false).n_of[OUTCOME_TIMEOUT] > 0);
  CU_ASSERT (sim->n_unused_max <= UNUSED_MAX);
  printf ("at most %u places in queues without a request\n", sim->n_unused_max);
  talloc_free (sim);
}

/* Guards against a retry, which has more time left, that is served before a first try that arrived
 * later: neither belongs to a program. */
static void
test_a_retry_never_overtakes_a_first_try_with_less_time (void)
{
  struct SlotQueues *queues = slot_queues_new (NULL);
  const struct SlotServer server = { "p0", 1, 0, 50 };
  const struct PlainRequest retry = { INT64_MAX, 3000 }, first_try = { INT64_MAX, 2500 };
  struct SlotRequest request = { .requester = "g0", .deadline_ms = 3000 };
  struct SlotState state;

  for (request.id = 1; request.id <= 2; request.id++)
    slot_queue_request (queues, &server, &request, 0, &state);
  request.program_deadline_ms = plain_order_deadline_ms (&retry);
  slot_queue_request (queues, &server, &request, 0, &state);
  request.id++;
  request.program_deadline_ms = plain_order_deadline_ms (&first_try);
  slot_queue_request (queues, &server, &request, 10, &state);
  CU_ASSERT_EQUAL (state.ahead, 0);
  slot_queue_done (queues, "p0", "g0", 1, SLOT_SERVED, 50);
  CU_ASSERT_TRUE (slot_queue_next (queues, "p0", 50, &request, &state));
  CU_ASSERT_EQUAL (request.id, 4);
  talloc_free (queues);
}

/* The rules for a waiting request, at their bounds. */
static void
test_the_rules_of_a_waiting_request (void)
{
  const struct PlainRequest of_program = { 5000, 2000 }, alone = { INT64_MAX, 2000 };

  CU_ASSERT_EQUAL (plain_first_service_ms (200), 50);
  CU_ASSERT_EQUAL (plain_first_service_ms (0), 1);
  CU_ASSERT_EQUAL (plain_order_deadline_ms (&of_program), 5000);
  CU_ASSERT_EQUAL (plain_order_deadline_ms (&alone), 2000);
  CU_ASSERT_EQUAL (plain_longest_wait_ms (&of_program, 50, 1000), 950);
  CU_ASSERT (plain_longest_wait_ms (&alone, 50, 1960) < 0);
  CU_ASSERT_TRUE (plain_is_worth_moving (8, 0));
  CU_ASSERT_FALSE (plain_is_worth_moving (0, 0));
  CU_ASSERT_FALSE (plain_is_worth_moving (8, 4));
  CU_ASSERT_EQUAL (plain_query_interval_ms (0), 200);
  CU_ASSERT_EQUAL (plain_query_interval_ms (1000), 500);
  CU_ASSERT_EQUAL (plain_query_interval_ms (UINT32_MAX), 800);
}

const char test_suite_name[] = "plain_queue";
const struct TestCase test_cases[] = {
  { "full servers reject few requests", test_full_servers_reject_few },
  { "three times the load is not rejected by servers",
    test_three_times_the_load_is_not_rejected_by_servers },
  { "a request costs three messages", test_a_request_costs_three_messages },
  { "the work grows with the queue only linearly",
    test_the_work_grows_with_the_queue_only_linearly },
  { "a killed owner loses no requests", test_a_killed_owner_loses_no_requests },
  { "a silent owner loses no requests", test_a_silent_owner_loses_no_requests },
  { "two owners lose no requests", test_two_owners_lose_no_requests },
  { "a slow server is left to others", test_a_slow_server_is_left_to_others },
  { "the slots of a killed gateway are freed", test_the_slots_of_a_killed_gateway_are_freed },
  { "ended requests give their places back", test_ended_requests_give_their_places_back },
  { "a retry never overtakes a first try with less time",
    test_a_retry_never_overtakes_a_first_try_with_less_time },
  { "the rules of a waiting request", test_the_rules_of_a_waiting_request },
  { NULL, NULL },
};
