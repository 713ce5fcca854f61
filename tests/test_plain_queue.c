/* Simulates gateways and plain servers in virtual time, with the queue code and the choice of
 * server unchanged, and counts the requests that full servers reject. Guards against plain servers
 * that reject requests under more demand than they can carry. */
#include "test_main.h"

#include <buckthornhead/error.h>
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
  REQUESTS_MAX = 12 * 1000,
  TIMEOUT_MS = 2000, /* of the route */
  DELAY_MS = 1,      /* of each message, to a gateway or a server */
  HEARTBEAT_MS = 500
};

enum EventKind
{
  EVENT_ARRIVAL,   /* a caller's request at its gateway */
  EVENT_AT_SERVER, /* the request at a server */
  EVENT_SERVED,    /* the server has run the request */
  EVENT_RESPONSE,  /* the server's response at the gateway */
  EVENT_REJECTED,  /* the server's rejection at the gateway */
  EVENT_DEADLINE
};

struct Event
{
  struct Event *next;
  enum EventKind kind;
  uint32_t request;
  uint32_t server;
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
  bool ended, served;
  int64_t ended_ms;
  struct Replica *replica; /* NULL: not at a server */
  const char *tried[N_SERVERS];
  size_t n_tried;
};

struct SimGateway
{
  struct ReplicaSet *replicas;
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

  uint32_t n_arrivals, n_rejected; /* at servers */
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

/* Servers. */

static void
server_run (struct Simulation *sim, uint32_t server, uint32_t request)
{
  sim->servers[server].n_running++;
  sim_add (sim, draw_ms (SERVICE_MIN_MS, SERVICE_MAX_MS), EVENT_SERVED, request)->server = server;
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

static struct Replica *
request_choose (struct Simulation *sim, struct SimRequest *request)
{
  struct SimGateway *gateway = &sim->gateways[request->gateway];
  const struct ReplicaQuery query = {
    .service = "tools",
    .zone = "a",
    .previous_server = "",
    .tried = request->tried,
    .n_tried = request->n_tried,
    .draw = gateway->n_draws++,
    .now_ms = sim->now_ms,
  };

  return replica_set_choose (gateway->replicas, &query);
}

static uint32_t
server_of (const struct Replica *replica)
{
  return (uint32_t)strtoul (replica->entry.id + 1, NULL, 10);
}

static void
request_release (struct SimRequest *request)
{
  if (request->replica != NULL)
    request->replica->in_flight--;
  request->replica = NULL;
}

static void
request_end (struct Simulation *sim, struct SimRequest *request, bool served)
{
  request_release (request);
  request->ended = true;
  request->served = served;
  request->ended_ms = sim->now_ms;
}

static void
request_send (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];

  request->replica = request_choose (sim, request);
  if (request->replica == NULL)
    {
      request_end (sim, request, false);
      return;
    }
  request->replica->in_flight++;
  request->tried[request->n_tried++] = request->replica->entry.id;
  sim_add (sim, DELAY_MS, EVENT_AT_SERVER, i)->server = server_of (request->replica);
}

static void
request_on_rejected (struct Simulation *sim, uint32_t i)
{
  struct SimRequest *request = &sim->requests[i];

  if (request->ended)
    return;
  replica_record_full (request->replica, sim->now_ms);
  request_release (request);
  request_send (sim, i);
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
sim_handle (struct Simulation *sim, const struct Event *event)
{
  struct SimRequest *request = &sim->requests[event->request];

  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      request_send (sim, event->request);
      break;
    case EVENT_AT_SERVER:
      server_receive (sim, event->server, event->request);
      break;
    case EVENT_SERVED:
      server_end (sim, event->server, event->request);
      break;
    case EVENT_RESPONSE:
      if (!request->ended)
        request_end (sim, request, true);
      break;
    case EVENT_REJECTED:
      request_on_rejected (sim, event->request);
      break;
    case EVENT_DEADLINE:
      if (!request->ended)
        request_end (sim, request, false);
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
      at_ms += -log (1 - drand48 ()) * 1000 / per_s;
    }
}

static struct Simulation *
sim_new (long seed, double per_s)
{
  struct Simulation *sim = talloc_zero (NULL, struct Simulation);
  struct ReplicaEntry entries[N_SERVERS] = { 0 };

  srand48 (seed);
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
      sim->gateways[g].n_draws = (uint64_t)lrand48 ();
      replica_set_apply (sim->gateways[g].replicas, entries, N_SERVERS, false, 0);
    }
  sim_add_arrivals (sim, per_s);
  return sim;
}

static void
sim_run (struct Simulation *sim)
{
  for (; sim->now_ms <= END_MS; sim->now_ms++)
    {
      for (struct Event *e = sim->events[sim->now_ms].first; e != NULL; e = e->next)
        sim_handle (sim, e);
      if (sim->now_ms % HEARTBEAT_MS == 0)
        gateways_sum_loads (sim);
    }
}

static uint32_t
sim_rejected_permille (const struct Simulation *sim)
{
  return sim->n_rejected * 1000 / sim->n_arrivals;
}

/* Under 1% of the requests that arrive at servers are rejected by them. */
static void
test_full_servers_reject_few (void)
{
  for (long seed = 1; seed <= 3; seed++)
    {
      struct Simulation *sim = sim_new (seed, REQUESTS_PER_S);

      sim_run (sim);
      printf ("seed %ld: servers rejected %u of %u arrivals (%u permille)\n", seed, sim->n_rejected,
              sim->n_arrivals, sim_rejected_permille (sim));
      CU_ASSERT (sim_rejected_permille (sim) < 10);
      talloc_free (sim);
    }
}

const char test_suite_name[] = "plain_queue";
const struct TestCase test_cases[] = {
  { "full servers reject few requests", test_full_servers_reject_few },
  { NULL, NULL },
};
