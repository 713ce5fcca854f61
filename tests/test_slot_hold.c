/* Tests that slots stay counted when the owner of a server changes: the decisions of one request,
 * and drawn sequences of changes with several gateways in virtual time. */
#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/slot_hold.h>
#include <buckthornhead/scheduling/slot_queue.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_GATEWAYS = 5,
  SLOTS = 8,
  BOUND = SLOTS + 1, /* and one in transit */
  N_REQUESTS = 120,  /* of which all that have arrived and not ended request a slot */
  DURATION_MS = 6000,
  SERVICE_MIN_MS = 250,
  SERVICE_MAX_MS = 500,
  TRANSIT_MS = 2,
  QUERY_INTERVAL_MS = 200,
  OWNER_TIMEOUT_MS = 60,
  FOLLOW_INTERVAL_MS = 50,
  DIGEST_INTERVAL_MS = 120,
  LOAD_VALID_MS = 500,
  VIEW_LAG_MAX_MS = 300, /* until a gateway knows that another one started or failed */
  READY_MS = 150,        /* from the start of a gateway until it is ready for callers */
  DOWN_MAX_MS = 1500,
  N_DRAWS = 1000,
  MESSAGES_MAX = 4096,
  /* Until all gateways know of a change, two of them may grant slots, whose requests then end. */
  EXCESS_MAX_MS = READY_MS + VIEW_LAG_MAX_MS + SERVICE_MAX_MS,
  /* Until a change is known, the requests that were expected have ended, and those that wait have
   * queried the owner again. After it, slots stay unused until the next query at most. */
  IDLE_MAX_MS = 500 + QUERY_INTERVAL_MS + VIEW_LAG_MAX_MS
};

static const struct SlotOwner none;

static struct SlotOwner
make_owner (const char *name, uint64_t start)
{
  struct SlotOwner owner = { .start = start };

  snprintf (owner.name, sizeof owner.name, "%s", name);
  return owner;
}

/* Decisions of one request. */

/* Guards against slots that a new owner does not count, since nobody reported them. */
static void
test_a_granted_slot_is_reported_to_a_new_owner (void)
{
  const struct SlotOwner a = make_owner ("a", 1), b = make_owner ("b", 2);
  struct SlotHold hold = { 0 };
  struct SlotOwner cancelled;

  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &a, 0), SLOT_FOLLOW_QUERY);
  slot_hold_set_owner (&hold, &a, &cancelled);
  hold.is_answered = true;
  slot_hold_note_granted (&hold, 5);
  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &a, 1000), SLOT_FOLLOW_NONE);
  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &none, 1000), SLOT_FOLLOW_NONE);
  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &b, 1000), SLOT_FOLLOW_REPORT);
  slot_hold_set_owner (&hold, &b, &cancelled);
  CU_ASSERT_STRING_EQUAL (cancelled.name, "");
  CU_ASSERT_STRING_EQUAL (hold.previous.name, "a");
  CU_ASSERT_STRING_EQUAL (hold.owner.name, "b");
}

/* Guards against a report that was lost with its link. */
static void
test_a_report_is_repeated_until_it_is_answered (void)
{
  const struct SlotOwner a = make_owner ("a", 1);
  struct SlotHold hold = { .owner = a, .granted = true, .sent_ms = 100 };

  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &a, 150), SLOT_FOLLOW_NONE);
  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &a, 300), SLOT_FOLLOW_REPORT);
  hold.is_answered = true;
  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &a, 900), SLOT_FOLLOW_NONE);
}

/* Guards against slots that an owner has forgotten, since it restarted before anyone noticed. */
static void
test_a_restarted_owner_receives_a_report (void)
{
  const struct SlotOwner first = make_owner ("a", 1), second = make_owner ("a", 2);
  struct SlotHold hold = { .owner = first, .granted = true, .is_answered = true };
  struct SlotOwner cancelled;

  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &second, 10), SLOT_FOLLOW_REPORT);
  slot_hold_set_owner (&hold, &second, &cancelled);
  CU_ASSERT_STRING_EQUAL (hold.previous.name, "");
  CU_ASSERT_STRING_EQUAL (cancelled.name, "");
}

static void
test_a_waiting_request_leaves_the_previous_owner (void)
{
  const struct SlotOwner a = make_owner ("a", 1), b = make_owner ("b", 1);
  struct SlotHold hold = { .owner = a, .is_answered = true };
  struct SlotOwner cancelled;

  CU_ASSERT_EQUAL (slot_hold_follow (&hold, &b, 10), SLOT_FOLLOW_QUERY);
  slot_hold_set_owner (&hold, &b, &cancelled);
  CU_ASSERT_STRING_EQUAL (cancelled.name, "a");
  CU_ASSERT_STRING_EQUAL (hold.previous.name, "");
  CU_ASSERT_TRUE (hold.is_moved);
}

/* Guards against slots that stay taken at a gateway that owned the server two changes ago. */
static void
test_only_one_previous_owner_counts_a_slot (void)
{
  const struct SlotOwner a = make_owner ("a", 1), b = make_owner ("b", 1), c = make_owner ("c", 1);
  struct SlotHold hold = { .owner = a, .granted = true };
  struct SlotOwner cancelled;

  slot_hold_set_owner (&hold, &b, &cancelled);
  slot_hold_set_owner (&hold, &c, &cancelled);
  CU_ASSERT_STRING_EQUAL (cancelled.name, "a");
  slot_hold_set_owner (&hold, &b, &cancelled);
  CU_ASSERT_STRING_EQUAL (cancelled.name, "");
  CU_ASSERT_STRING_EQUAL (hold.previous.name, "c");
}

/* Guards against requests that are sent without a slot, or query silent gateways forever. */
static void
test_the_own_gateway_grants_after_two_silent_ones (void)
{
  struct SlotHold hold = { .owner = make_owner ("a", 1) };

  slot_hold_note_silent (&hold, 60);
  CU_ASSERT_STRING_EQUAL (slot_hold_excluded (&hold, 60).name, "a");
  CU_ASSERT_FALSE (slot_hold_needs_own_gateway (&hold));
  hold.owner = make_owner ("b", 1);
  slot_hold_note_silent (&hold, 120);
  CU_ASSERT_TRUE (slot_hold_needs_own_gateway (&hold));
  slot_hold_note_answered (&hold);
  CU_ASSERT_FALSE (slot_hold_needs_own_gateway (&hold));
  slot_hold_note_granted (&hold, 120);
  CU_ASSERT_STRING_EQUAL (slot_hold_excluded (&hold, 120).name, "");
}

/* Guards against requests that leave out a gateway that has started again. */
static void
test_a_silent_owner_is_queried_again (void)
{
  struct SlotHold hold = { .owner = make_owner ("a", 1) };

  slot_hold_note_silent (&hold, 60);
  CU_ASSERT_STRING_EQUAL (slot_hold_excluded (&hold, 500).name, "a");
  CU_ASSERT_STRING_EQUAL (slot_hold_excluded (&hold, 1060).name, "");
}

/* Drawn sequences of changes. */

enum RequestState
{
  REQUEST_NOT_ARRIVED,
  REQUEST_WAITING,
  REQUEST_RUNNING,
  REQUEST_ENDED
};

struct SimRequest
{
  enum RequestState state;
  uint32_t gateway;
  bool is_lost; /* its gateway was killed */
  struct SlotHold hold;
  int64_t arrives_ms, due_ms, ends_ms; /* due: the timeout, or the next query */
};

struct Gateway
{
  char name[8];
  bool is_up;
  uint64_t start;
  int64_t up_ms, ready_ms; /* when it starts again, and when callers know that it is up */
  struct SlotQueues *queues;
  uint32_t n_reported; /* requests running or waiting, in the last digest that it received */
  int64_t reported_ms;
  /* What each other gateway knows of this one, and when it learns of the latest change. */
  bool seen_up[N_GATEWAYS];
  uint64_t seen_start[N_GATEWAYS];
  int64_t learns_ms[N_GATEWAYS];
};

enum SimKind
{
  SIM_QUERY, /* or a report */
  SIM_STATE,
  SIM_DONE
};

struct SimMessage
{
  enum SimKind kind;
  int64_t at_ms;
  uint32_t from, to;
  uint64_t to_start;
  uint32_t request;
  bool is_granted;
  uint32_t waited_ms, granted_for_ms;
};

struct Sim
{
  int64_t now_ms, changed_ms, last_excess_ms, idle_since_ms;
  struct Gateway gateways[N_GATEWAYS];
  struct SimRequest requests[N_REQUESTS];
  struct SimMessage messages[MESSAGES_MAX];
  uint32_t first, n_messages;
  uint32_t n_running, most_running;
  int64_t excess_ms, longest_idle_ms;
  uint64_t random;
};

static uint32_t
draw (struct Sim *sim, uint32_t n)
{
  sim->random = sim->random * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(sim->random >> 33) % n;
}

static uint32_t
sim_gateway (const char *name)
{
  return (uint32_t)atoi (name + 1);
}

/* Gateways are chosen in the order of their numbers, which stands for that of a hash. */
static void
sim_find_owner (const struct Sim *sim,
                uint32_t by,
                struct SlotOwner excluded,
                struct SlotOwner *owner)
{
  *owner = none;
  for (uint32_t i = 0; i < N_GATEWAYS && owner->name[0] == '\0'; i++)
    if ((i == by || sim->gateways[i].seen_up[by])
        && (strcmp (sim->gateways[i].name, excluded.name) != 0
            || sim->gateways[i].seen_start[by] != excluded.start))
      *owner = make_owner (sim->gateways[i].name, sim->gateways[i].seen_start[by]);
}

static void
sim_send (struct Sim *sim, struct SimMessage message)
{
  message.at_ms = sim->now_ms + TRANSIT_MS;
  if (sim->n_messages == MESSAGES_MAX)
    abort ();
  sim->messages[(sim->first + sim->n_messages++) % MESSAGES_MAX] = message;
}

static void
sim_send_query (struct Sim *sim, uint32_t number)
{
  struct SimRequest *request = &sim->requests[number];
  struct SlotHold *hold = &request->hold;

  hold->is_answered = false;
  hold->sent_ms = sim->now_ms;
  sim_send (sim,
            (struct SimMessage){
                .kind = SIM_QUERY,
                .from = request->gateway,
                .to = sim_gateway (hold->owner.name),
                .to_start = hold->owner.start,
                .request = number,
                .is_granted = hold->granted,
                .waited_ms = hold->is_moved ? (uint32_t)(sim->now_ms - hold->began_ms) : 0,
                .granted_for_ms = hold->granted ? (uint32_t)(sim->now_ms - hold->granted_ms) : 0,
            });
}

static void
sim_send_done (struct Sim *sim, uint32_t number, const struct SlotOwner *to)
{
  if (to->name[0] != '\0')
    sim_send (sim, (struct SimMessage){ .kind = SIM_DONE,
                                        .from = sim->requests[number].gateway,
                                        .to = sim_gateway (to->name),
                                        .to_start = to->start,
                                        .request = number });
}

static void
sim_run_request (struct Sim *sim, struct SimRequest *request)
{
  slot_hold_note_granted (&request->hold, sim->now_ms);
  request->state = REQUEST_RUNNING;
  request->ends_ms = sim->now_ms + SERVICE_MIN_MS + draw (sim, SERVICE_MAX_MS - SERVICE_MIN_MS);
}

static void
sim_report (struct Sim *sim, uint32_t number, const struct SlotOwner *owner)
{
  struct SlotOwner cancelled;

  slot_hold_set_owner (&sim->requests[number].hold, owner, &cancelled);
  sim_send_done (sim, number, &cancelled);
  sim_send_query (sim, number);
}

static void
sim_choose_owner (const struct Sim *sim, const struct SimRequest *request, struct SlotOwner *owner)
{
  if (slot_hold_needs_own_gateway (&request->hold))
    *owner =
        make_owner (sim->gateways[request->gateway].name, sim->gateways[request->gateway].start);
  else
    sim_find_owner (sim, request->gateway, slot_hold_excluded (&request->hold, sim->now_ms), owner);
}

static void
sim_query (struct Sim *sim, uint32_t number)
{
  struct SimRequest *request = &sim->requests[number];
  struct SlotOwner owner;

  sim_choose_owner (sim, request, &owner);
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    if (sim->requests[i].gateway == request->gateway && sim->requests[i].state == REQUEST_RUNNING
        && !slot_hold_is_counted_by (&sim->requests[i].hold, &owner))
      sim_report (sim, i, &owner);
  sim_report (sim, number, &owner);
  request->due_ms = sim->now_ms + OWNER_TIMEOUT_MS;
}

static void
sim_follow (struct Sim *sim, uint32_t gateway)
{
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    {
      struct SimRequest *request = &sim->requests[i];
      struct SlotOwner owner;

      if (request->gateway != gateway
          || (request->state != REQUEST_WAITING && request->state != REQUEST_RUNNING))
        continue;
      sim_choose_owner (sim, request, &owner);
      switch (slot_hold_follow (&request->hold, &owner, sim->now_ms))
        {
        case SLOT_FOLLOW_NONE:
          break;
        case SLOT_FOLLOW_REPORT:
          sim_report (sim, i, &owner);
          break;
        case SLOT_FOLLOW_QUERY:
          request->hold.is_answered = true;
          request->due_ms = sim->now_ms;
          break;
        }
    }
}

/* At the owner. */

struct SimView
{
  const struct Sim *sim;
  uint32_t by;
};

static bool
sim_is_owner (void *data, const char *server)
{
  const struct SimView *view = data;
  struct SlotOwner owner;

  (void)server;
  sim_find_owner (view->sim, view->by, none, &owner);
  return sim_gateway (owner.name) == view->by;
}

static void
sim_respond (struct Sim *sim, uint32_t owner, uint64_t request, bool is_granted)
{
  uint32_t to = sim->requests[request].gateway;

  sim_send (sim, (struct SimMessage){ .kind = SIM_STATE,
                                      .from = owner,
                                      .to = to,
                                      .to_start = sim->gateways[to].start,
                                      .request = (uint32_t)request,
                                      .is_granted = is_granted });
}

static void
sim_grant (struct Sim *sim, uint32_t owner)
{
  struct SlotRequest granted;
  struct SlotState state;

  while (slot_queue_next (sim->gateways[owner].queues, "e", sim->now_ms, &granted, &state))
    sim_respond (sim, owner, granted.id, true);
}

/* As slots_expected in gateway/slot_owner.c. */
static uint32_t
sim_expected (const struct Sim *sim, uint32_t by)
{
  const struct Gateway *g = &sim->gateways[by];
  int64_t left_ms = g->reported_ms + LOAD_VALID_MS - sim->now_ms;
  uint32_t n_held = 0, n_sent = 0;

  for (uint32_t i = 0; i < N_REQUESTS; i++)
    if (sim->requests[i].gateway == by)
      {
        n_held += sim->requests[i].state == REQUEST_RUNNING;
        n_sent +=
            sim->requests[i].state == REQUEST_RUNNING || sim->requests[i].state == REQUEST_WAITING;
      }
  if (left_ms <= 0 || g->n_reported <= n_sent)
    return n_held;
  return n_held + (uint32_t)((g->n_reported - n_sent) * left_ms / LOAD_VALID_MS);
}

static void
sim_handle_query (struct Sim *sim, const struct SimMessage *message)
{
  struct SimView view = { sim, message->to };
  const struct SlotServer server = { .id = "e",
                                     .slots = SLOTS,
                                     .is_foreign = !sim_is_owner (&view, "e"),
                                     .n_expected = sim_expected (sim, message->to) };
  struct SlotRequest request = { .id = message->request,
                                 .program_deadline_ms = INT64_MAX,
                                 .deadline_ms = INT64_MAX / 2,
                                 .waited_ms = message->waited_ms,
                                 .is_granted = message->is_granted,
                                 .granted_for_ms = message->granted_for_ms };
  struct SlotState state;

  snprintf (request.requester, sizeof request.requester, "%s", sim->gateways[message->from].name);
  if (slot_queue_request (sim->gateways[message->to].queues, &server, &request, sim->now_ms, &state)
      != ERROR_NONE)
    abort ();
  sim_respond (sim, message->to, message->request, state.granted);
}

static void
sim_handle_state (struct Sim *sim, const struct SimMessage *message)
{
  struct SimRequest *request = &sim->requests[message->request];

  if (strcmp (request->hold.owner.name, sim->gateways[message->from].name) != 0
      || (request->state != REQUEST_WAITING && request->state != REQUEST_RUNNING))
    return;
  slot_hold_note_answered (&request->hold);
  if (request->state == REQUEST_WAITING && message->is_granted)
    sim_run_request (sim, request);
  else if (request->state == REQUEST_WAITING)
    request->due_ms = sim->now_ms + QUERY_INTERVAL_MS;
}

static void
sim_deliver (struct Sim *sim, const struct SimMessage *message)
{
  const struct Gateway *to = &sim->gateways[message->to];

  if (!to->is_up || to->start != message->to_start)
    return;
  switch (message->kind)
    {
    case SIM_QUERY:
      sim_handle_query (sim, message);
      break;
    case SIM_STATE:
      sim_handle_state (sim, message);
      break;
    case SIM_DONE:
      slot_queue_done (to->queues, "e", sim->gateways[message->from].name, message->request,
                       SLOT_SERVED, sim->now_ms);
      sim_grant (sim, message->to);
      break;
    }
}

/* Changes. */

static void
sim_announce (struct Sim *sim, uint32_t gateway, int64_t after_ms)
{
  sim->changed_ms = sim->now_ms;
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    sim->gateways[gateway].learns_ms[i] = sim->now_ms + after_ms + 1 + draw (sim, VIEW_LAG_MAX_MS);
}

static void
sim_start (struct Sim *sim, uint32_t gateway)
{
  struct Gateway *g = &sim->gateways[gateway];

  g->is_up = true;
  g->start++;
  g->seen_start[gateway] = g->start;
  g->ready_ms = sim->now_ms + READY_MS;
  g->queues = slot_queues_new (NULL);
  g->n_reported = 0;
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    sim->gateways[i].seen_up[gateway] = sim->gateways[i].is_up;
  sim_announce (sim, gateway, READY_MS);
}

/* The requests that it sent end with their connections. */
static void
sim_kill (struct Sim *sim, uint32_t gateway)
{
  struct Gateway *g = &sim->gateways[gateway];

  g->is_up = false;
  g->up_ms = sim->now_ms + 1 + draw (sim, DOWN_MAX_MS);
  TALLOC_FREE (g->queues);
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    if (sim->requests[i].gateway == gateway && sim->requests[i].state != REQUEST_NOT_ARRIVED)
      {
        sim->requests[i].state = REQUEST_ENDED;
        sim->requests[i].is_lost = true;
      }
  sim_announce (sim, gateway, 0);
}

static bool
sim_is_live (void *data, const char *requester, uint64_t id)
{
  const struct Sim *sim = data;

  return sim->gateways[sim_gateway (requester)].is_up && !sim->requests[id].is_lost;
}

static void
sim_ignore (void *data, const char *server)
{
  (void)data;
  (void)server;
}

/* Each gateway that takes itself for the owner sends all others a digest. */
static void
sim_send_digests (struct Sim *sim)
{
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    {
      struct SimView view = { sim, i };
      struct SlotDigest *digests;
      size_t n = 0;

      if (!sim->gateways[i].is_up)
        continue;
      slot_queues_disown (sim->gateways[i].queues, sim_is_owner, sim->now_ms, &view);
      digests = slot_queues_digest (sim->gateways[i].queues, NULL, false, sim->now_ms, &n);
      for (uint32_t to = 0; to < N_GATEWAYS && n > 0; to++)
        {
          sim->gateways[to].n_reported = digests[0].total;
          sim->gateways[to].reported_ms = sim->now_ms;
        }
      talloc_free (digests);
    }
}

static void
sim_step_gateways (struct Sim *sim)
{
  if (sim->now_ms % DIGEST_INTERVAL_MS == 0)
    sim_send_digests (sim);
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    {
      struct Gateway *g = &sim->gateways[i];

      if (!g->is_up && sim->now_ms >= g->up_ms)
        sim_start (sim, i);
      for (uint32_t by = 0; by < N_GATEWAYS; by++)
        if (g->learns_ms[by] == sim->now_ms)
          {
            g->seen_up[by] = g->is_up;
            g->seen_start[by] = g->start;
          }
      if (g->is_up && sim->now_ms % 250 == 0)
        {
          slot_queues_expire (g->queues, sim->now_ms, sim_is_live, sim_ignore, sim);
          sim_grant (sim, i);
        }
      if (g->is_up && sim->now_ms % FOLLOW_INTERVAL_MS == 0)
        sim_follow (sim, i);
    }
}

static void
sim_step_requests (struct Sim *sim)
{
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    {
      struct SimRequest *request = &sim->requests[i];
      const struct Gateway *g = &sim->gateways[request->gateway];

      if (request->state == REQUEST_NOT_ARRIVED && sim->now_ms >= request->arrives_ms)
        {
          request->state = g->is_up && sim->now_ms >= g->ready_ms ? REQUEST_WAITING : REQUEST_ENDED;
          request->hold.began_ms = sim->now_ms;
          request->hold.is_answered = true;
          request->due_ms = sim->now_ms;
        }
      if (request->state == REQUEST_WAITING && sim->now_ms >= request->due_ms)
        {
          if (!request->hold.is_answered)
            slot_hold_note_silent (&request->hold, sim->now_ms);
          sim_query (sim, i);
        }
      if (request->state == REQUEST_RUNNING && sim->now_ms >= request->ends_ms)
        {
          request->state = REQUEST_ENDED;
          sim_send_done (sim, i, &request->hold.owner);
          sim_send_done (sim, i, &request->hold.previous);
        }
    }
}

static void
sim_measure (struct Sim *sim)
{
  uint32_t n_waiting = 0;

  sim->n_running = 0;
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    {
      sim->n_running += sim->requests[i].state == REQUEST_RUNNING;
      n_waiting += sim->requests[i].state == REQUEST_WAITING;
    }
  if (sim->n_running > sim->most_running)
    sim->most_running = sim->n_running;
  if (sim->n_running > BOUND)
    {
      sim->excess_ms++;
      sim->last_excess_ms = sim->now_ms - sim->changed_ms;
    }
  if (n_waiting == 0 || sim->n_running >= SLOTS)
    sim->idle_since_ms = sim->now_ms;
  if (sim->now_ms - sim->changed_ms > IDLE_MAX_MS
      && sim->now_ms - sim->idle_since_ms > sim->longest_idle_ms)
    sim->longest_idle_ms = sim->now_ms - sim->idle_since_ms;
}

static struct Sim *
sim_play (uint64_t seed, uint32_t n_kills)
{
  struct Sim *sim = talloc_zero (NULL, struct Sim);

  sim->random = seed;
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    {
      snprintf (sim->gateways[i].name, sizeof sim->gateways[i].name, "g%u", i);
      sim_start (sim, i);
      for (uint32_t by = 0; by < N_GATEWAYS; by++)
        {
          sim->gateways[i].seen_up[by] = true;
          sim->gateways[i].seen_start[by] = 1;
        }
    }
  for (uint32_t i = 0; i < N_REQUESTS; i++)
    {
      sim->requests[i].gateway = draw (sim, N_GATEWAYS);
      sim->requests[i].arrives_ms = 1 + draw (sim, DURATION_MS - 1500);
    }
  for (sim->now_ms = 1; sim->now_ms < DURATION_MS; sim->now_ms++)
    {
      uint32_t victim = draw (sim, 2); /* the owner, or the next one */

      if (n_kills > 0 && sim->now_ms > 500 && draw (sim, 800) == 0 && sim->gateways[victim].is_up)
        {
          n_kills--;
          sim_kill (sim, victim);
        }
      sim_step_gateways (sim);
      while (sim->n_messages > 0 && sim->messages[sim->first].at_ms <= sim->now_ms)
        {
          struct SimMessage message = sim->messages[sim->first];

          sim->first = (sim->first + 1) % MESSAGES_MAX;
          sim->n_messages--;
          sim_deliver (sim, &message);
        }
      sim_step_requests (sim);
      sim_measure (sim);
    }
  for (uint32_t i = 0; i < N_GATEWAYS; i++)
    talloc_free (sim->gateways[i].queues);
  return sim;
}

struct SimResult
{
  uint32_t n_excess, most_running;
  int64_t excess_ms, last_excess_ms, longest_idle_ms;
};

static struct SimResult
play_draws (uint32_t n_kills)
{
  struct SimResult r = { 0 };

  for (uint64_t seed = 1; seed <= N_DRAWS; seed++)
    {
      struct Sim *sim = sim_play (seed, n_kills);

      r.n_excess += sim->most_running > BOUND;
      r.excess_ms += sim->excess_ms;
      r.most_running = sim->most_running > r.most_running ? sim->most_running : r.most_running;
      if (sim->last_excess_ms > r.last_excess_ms)
        r.last_excess_ms = sim->last_excess_ms;
      if (sim->longest_idle_ms > r.longest_idle_ms)
        r.longest_idle_ms = sim->longest_idle_ms;
      talloc_free (sim);
    }
  printf ("%u of %u draws run more than %u requests, %u at most, for %.1f ms in the mean and until "
          "%lld ms after a change; slots unused for %lld ms\n",
          r.n_excess, N_DRAWS, BOUND, r.most_running, (double)r.excess_ms / N_DRAWS,
          (long long)r.last_excess_ms, (long long)r.longest_idle_ms);
  return r;
}

/* Guards against a server that is sent twice its slots when a gateway is killed and starts again.
 */
static void
test_a_killed_gateway_that_starts_again (void)
{
  struct SimResult r = play_draws (1);

  CU_ASSERT (r.most_running <= 2 * SLOTS);
  CU_ASSERT (r.last_excess_ms <= EXCESS_MAX_MS);
  CU_ASSERT (r.longest_idle_ms <= QUERY_INTERVAL_MS);
}

/* Guards against grants that are counted at no gateway, or at gateways that no longer grant, after
 * changes that overlap. */
static void
test_changes_that_overlap (void)
{
  struct SimResult r = play_draws (4);

  CU_ASSERT (r.last_excess_ms <= EXCESS_MAX_MS);
  CU_ASSERT (r.longest_idle_ms <= QUERY_INTERVAL_MS);
}

const char test_suite_name[] = "slot_hold";
const struct TestCase test_cases[] = {
  { "a granted slot is reported to a new owner", test_a_granted_slot_is_reported_to_a_new_owner },
  { "a report is repeated until it is answered", test_a_report_is_repeated_until_it_is_answered },
  { "a restarted owner receives a report", test_a_restarted_owner_receives_a_report },
  { "a waiting request leaves the previous owner",
    test_a_waiting_request_leaves_the_previous_owner },
  { "only one previous owner counts a slot", test_only_one_previous_owner_counts_a_slot },
  { "the own gateway grants after two silent ones",
    test_the_own_gateway_grants_after_two_silent_ones },
  { "a silent owner is queried again", test_a_silent_owner_is_queried_again },
  { "a killed gateway that starts again", test_a_killed_gateway_that_starts_again },
  { "changes that overlap", test_changes_that_overlap },
  { NULL, NULL },
};
