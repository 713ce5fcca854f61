#include "policy_sim.h"

#include <buckthornhead/retry_budget.h>
#include <buckthornhead/server_health.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_events.h"
#include "sim_stats.h"

enum
{
  TICK_MS = 50,
  INITIAL_LIMIT = 16,
  MAX_TOKENS = 400,
  RETRIES_AFTER_REFUSAL = 3,
  RESTART_DELAY_MS = 5000,
  SAMPLE_MS = 5000,
  FROZEN_REPORTS_MS = 30000,
  RUN_LIMIT_FACTOR = 20 /* a run ends at the latest after this multiple of duration_ms */
};

enum CallState
{
  CALL_IDLE,
  CALL_QUEUED,
  CALL_RUNNING
};

/* A branch of a running program; it has at most one call at a time. */
struct SimBranch
{
  uint32_t turn;
  uint32_t context_tokens; /* after its last turn */
  enum CallState state;
  uint32_t server;
  uint32_t attempt, refusals;
  double issued_ms;
  uint64_t call; /* id of the current call */
};

struct SimProgram
{
  const struct WorkProgram *work;
  struct SimBranch branches[BRANCHES_MAX];
  uint32_t n_sub_agents_running;
  uint64_t attained_tokens;
  bool ended;
};

struct SimServer
{
  struct Sim *sim;
  uint32_t index;
  struct Engine *engine;
  struct DispatchQueue *queue;
  struct ServerHealth *health;
  bool crashed;
  double restart_ms;
  uint32_t reported_running;
  double busy_ms;
};

struct SimEngineEvent
{
  uint32_t server;
  struct EngineEvent event;
};

struct Sim
{
  const struct SimOptions *options;
  struct SimResult *result;
  struct SimStats *stats;
  struct EventHeap events;
  struct Workload *work;
  struct SimProgram *programs;
  struct Placement *placement;
  struct RetryBudget *retries;
  struct Quarantine *quarantine;
  struct SimServer servers[SIM_ENGINES_MAX];
  struct PolicyServer digests[SIM_ENGINES_MAX];
  struct SimEngineEvent *engine_events; /* talloc array: received and not handled yet */
  size_t n_engine_events;
  size_t n_open;           /* programs that have not ended */
  uint32_t poison_program; /* index of the program that crashes engines */
  double now_ms, next_digest_ms, next_report_ms, next_sample_ms;
  double live_tokens; /* context tokens of the running programs, summed over the samples */
  uint64_t n_samples;
};

static uint64_t
call_id (uint32_t program, uint32_t branch)
{
  return (uint64_t)program * BRANCHES_MAX + branch;
}

static int64_t
sim_clock (const struct Sim *sim)
{
  return (int64_t)sim->now_ms;
}

static void
sim_schedule (struct Sim *sim, double ms, enum SimEventKind kind, uint64_t call)
{
  event_heap_add (&sim->events, &(struct SimEvent){ sim->now_ms + ms, kind, call, 0 });
}

static const struct Turn *
sim_turn (const struct SimProgram *program, uint32_t branch)
{
  return &program->work->branches[branch].turns[program->branches[branch].turn];
}

static bool
sim_is_poison (const struct Sim *sim, uint64_t call)
{
  return sim->options->fault == FAULT_POISON && call == call_id (sim->poison_program, 0);
}

static void
sim_digest_of (uint64_t call, uint8_t digest[DIGEST_BYTES])
{
  memset (digest, 0, DIGEST_BYTES);
  memcpy (digest, &call, sizeof call);
}

/* Returns the weights of the profile that the program's service uses. */
static const struct PolicyWeights *
sim_weights (const struct Sim *sim, const struct SimProgram *program)
{
  enum ProgramKind kind = program->work->kind;

  return kind == KIND_REVIEW || kind == KIND_EXPORT ? &sim->options->menu_weights
                                                    : &sim->options->weights;
}

/* ---- Programs ---- */

static struct Call
sim_call (const struct Sim *sim, uint64_t id)
{
  uint32_t p = (uint32_t)(id / BRANCHES_MAX), b = (uint32_t)(id % BRANCHES_MAX);
  const struct SimProgram *program = &sim->programs[p];
  struct Call call = {
    .target_kind = CALL_TARGET_ENGINE, .idempotent = true, .stream = true, .max_tokens = MAX_TOKENS
  };

  call.prompt_tokens = program->branches[b].context_tokens + sim_turn (program, b)->new_tokens;
  snprintf (call.key.program, sizeof call.key.program, "p%u", p);
  snprintf (call.key.branch, sizeof call.key.branch, "b%u", b);
  snprintf (call.service, sizeof call.service, "%s", kind_services[program->work->kind]);
  return call;
}

enum ProgramEnd
{
  PROGRAM_DONE,
  PROGRAM_REFUSED,
  PROGRAM_LATE,
  PROGRAM_FAILED
};

static void
sim_end_program (struct Sim *sim, uint32_t p, enum ProgramEnd end)
{
  struct SimProgram *program = &sim->programs[p];
  char name[SIM_NAME_BYTES];

  if (program->ended)
    return;
  program->ended = true;
  sim->n_open--;
  snprintf (name, sizeof name, "p%u", p);
  placement_forget (sim->placement, name);
  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    {
      struct SimServer *server = &sim->servers[s];

      for (uint32_t b = 0; b < program->work->n_branches; b++)
        {
          if (program->branches[b].state == CALL_QUEUED && program->branches[b].server == s
              && dispatch_queue_remove (server->queue, program->branches[b].call))
            program->branches[b].state = CALL_IDLE;
          engine_release (server->engine, sim->now_ms, call_id (p, b));
        }
      dispatch_queue_program_ended (server->queue, name);
    }
  switch (end)
    {
    case PROGRAM_DONE:
      sim_stats_add_program (sim->stats, program->work, sim->now_ms - program->work->arrival_ms);
      break;
    case PROGRAM_REFUSED:
      sim->result->n_refused++;
      break;
    case PROGRAM_LATE:
      sim->result->n_late++;
      break;
    case PROGRAM_FAILED:
      sim->result->n_failed++;
      break;
    }
}

static void
sim_place (struct Sim *sim, uint64_t id);

/* Handles a refused call: schedules another attempt, or ends its program. */
static void
sim_refused (struct Sim *sim, uint64_t id, int32_t error, uint32_t retry_after_ms)
{
  uint32_t p = (uint32_t)(id / BRANCHES_MAX);
  struct SimProgram *program = &sim->programs[p];
  struct SimBranch *branch = &program->branches[id % BRANCHES_MAX];
  double deadline = program->work->arrival_ms + program->work->time_limit_ms;

  branch->state = CALL_IDLE;
  sim->result->refused_calls++;
  if (error == ERROR_QUARANTINED)
    sim_end_program (sim, p, PROGRAM_FAILED);
  else if (error != ERROR_DEADLINE && branch->refusals++ < RETRIES_AFTER_REFUSAL
           && sim->now_ms + retry_after_ms < deadline)
    sim_schedule (sim, retry_after_ms, EVENT_CALL, id);
  else
    sim_end_program (sim, p, program->attained_tokens == 0 ? PROGRAM_REFUSED : PROGRAM_LATE);
}

static void
sim_dispatch (struct Sim *sim, struct SimServer *server);

static void
sim_push (struct Sim *sim, uint64_t id, const struct Call *call, struct SimServer *server)
{
  struct SimProgram *program = &sim->programs[id / BRANCHES_MAX];
  struct SimBranch *branch = &program->branches[id % BRANCHES_MAX];
  struct DispatchItem item = { .id = id,
                               .prompt_tokens = call->prompt_tokens,
                               .max_tokens = call->max_tokens,
                               .attained_tokens = program->attained_tokens };
  uint8_t digest[DIGEST_BYTES];
  uint32_t retry_after_ms;
  struct Fault fault;
  int32_t error;

  memcpy (item.program, call->key.program, sizeof item.program);
  memcpy (item.service, call->service, sizeof item.service);
  item.cached_tokens_hint =
      placement_cached_hint (sim->placement, call, sim->digests[server->index].name);
  if (sim->options->deadlines)
    item.deadline_ms = (int64_t)(program->work->arrival_ms + program->work->time_limit_ms);
  sim_digest_of (id, digest);
  item.suspect = quarantine_is_suspect (sim->quarantine, digest);
  branch->server = server->index;
  branch->call = id;
  error = dispatch_queue_push (server->queue, sim_weights (sim, program), &item, (uint32_t)id,
                               sim_clock (sim), &retry_after_ms, &fault);
  if (error != ERROR_NONE)
    {
      sim_refused (sim, id, error, retry_after_ms);
      return;
    }
  branch->state = CALL_QUEUED;
  sim_dispatch (sim, server);
}

static void
sim_place (struct Sim *sim, uint64_t id)
{
  struct SimProgram *program = &sim->programs[id / BRANCHES_MAX];
  struct Call call;
  struct Fault fault;
  int32_t index;
  uint8_t digest[DIGEST_BYTES];

  if (program->ended)
    return;
  sim_digest_of (id, digest);
  if (quarantine_contains (sim->quarantine, digest))
    {
      sim_refused (sim, id, ERROR_QUARANTINED, 0);
      return;
    }
  call = sim_call (sim, id);
  index = placement_choose (sim->placement, sim_weights (sim, program), sim->digests,
                            sim->options->n_engines, &call, sim_clock (sim), &fault);
  if (index < 0)
    sim_refused (sim, id, fault.error, 1000);
  else
    sim_push (sim, id, &call, &sim->servers[index]);
}

static void
sim_issue (struct Sim *sim, uint64_t id)
{
  struct SimBranch *branch = &sim->programs[id / BRANCHES_MAX].branches[id % BRANCHES_MAX];

  branch->issued_ms = sim->now_ms;
  branch->attempt = 1;
  retry_budget_deposit (sim->retries, sim->options->weights.retry_budget_permille);
  sim_place (sim, id);
}

static void
sim_dispatch (struct Sim *sim, struct SimServer *server)
{
  uint64_t id;

  while (dispatch_queue_expire (server->queue, sim_clock (sim), &id))
    sim_refused (sim, id, ERROR_DEADLINE, 0);
  while (dispatch_queue_pop (server->queue, sim_clock (sim), &id))
    {
      uint32_t p = (uint32_t)(id / BRANCHES_MAX), b = (uint32_t)(id % BRANCHES_MAX);
      struct SimBranch *branch = &sim->programs[p].branches[b];
      struct Call call = sim_call (sim, id);

      branch->state = CALL_RUNNING;
      sim_stats_add_wait (sim->stats, sim->now_ms - branch->issued_ms);
      server_health_sent (server->health, sim_clock (sim));
      if (server->crashed)
        {
          struct EngineEvent event = { ENGINE_REFUSED, id, 0 };
          size_t i = sim->n_engine_events++;

          sim->engine_events =
              talloc_realloc (sim, sim->engine_events, struct SimEngineEvent, i + 1);
          sim->engine_events[i] = (struct SimEngineEvent){ server->index, event };
          continue;
        }
      engine_submit (server->engine, sim->now_ms, id, id, call.prompt_tokens,
                     sim_turn (&sim->programs[p], b)->generated_tokens);
      if (sim_is_poison (sim, id))
        sim_schedule (sim, 200, EVENT_CRASH, server->index);
    }
}

/* ---- Engine events ---- */

static void
sim_start_sub_agents (struct Sim *sim, uint32_t p, uint32_t turn)
{
  struct SimProgram *program = &sim->programs[p];

  for (uint32_t b = 1; b < program->work->n_branches; b++)
    if (program->work->branches[b].after_turn == turn)
      {
        program->n_sub_agents_running++;
        sim_schedule (sim, 0, EVENT_CALL, call_id (p, b));
      }
}

/* Moves on after a completed turn: starts its sub-agents. The next turn begins when they have
 * ended, or after the tool pause if there are none. */
static void
sim_advance (struct Sim *sim, uint32_t p, uint32_t b)
{
  struct SimProgram *program = &sim->programs[p];
  struct SimBranch *branch = &program->branches[b];
  double pause_ms = sim_turn (program, b)->pause_ms;

  branch->state = CALL_IDLE;
  branch->refusals = 0;
  branch->turn++;
  if (branch->turn < program->work->branches[b].n_turns)
    {
      if (b == MAIN_BRANCH_INDEX)
        sim_start_sub_agents (sim, p, branch->turn - 1);
      if (b != MAIN_BRANCH_INDEX || program->n_sub_agents_running == 0)
        sim_schedule (sim, pause_ms, EVENT_CALL, call_id (p, b));
    }
  else if (b == MAIN_BRANCH_INDEX)
    sim_end_program (sim, p, PROGRAM_DONE);
  else if (--program->n_sub_agents_running == 0)
    sim_schedule (sim, 0, EVENT_CALL, call_id (p, MAIN_BRANCH_INDEX));
}

static void
sim_call_done (struct Sim *sim, struct SimServer *server, const struct EngineEvent *event)
{
  uint32_t p = (uint32_t)(event->call / BRANCHES_MAX), b = (uint32_t)(event->call % BRANCHES_MAX);
  struct SimProgram *program = &sim->programs[p];
  struct SimBranch *branch = &program->branches[b];
  const struct Turn *turn = sim_turn (program, b);
  struct Call call = sim_call (sim, event->call);
  struct Outcome outcome = { .ran = RAN_YES,
                             .status = 200,
                             .charge_tokens = call.prompt_tokens + turn->generated_tokens,
                             .cached_tokens = event->cached_tokens };
  uint8_t digest[DIGEST_BYTES];

  if (sim->now_ms < sim->options->duration_ms)
    sim->result->useful += turn_work_ms (&sim->options->engine, turn)
                           / (sim->options->n_engines * sim->options->duration_ms);
  sim_stats_add_prefix (sim->stats, branch->context_tokens, event->cached_tokens);
  program->attained_tokens += call.prompt_tokens - event->cached_tokens + turn->generated_tokens;
  branch->context_tokens = call.prompt_tokens + turn->generated_tokens;
  sim_digest_of (event->call, digest);
  quarantine_clear (sim->quarantine, digest, sim_clock (sim));
  server_health_ended (server->health, &outcome, sim_clock (sim));
  dispatch_queue_finished (server->queue, event->call, &outcome, sim_clock (sim));
  if (program->ended)
    {
      engine_release (server->engine, sim->now_ms, event->call);
      return;
    }
  placement_record_outcome (sim->placement, &call, sim->digests[server->index].name, &outcome,
                            sim_clock (sim));
  sim_advance (sim, p, b);
}

static void
sim_call_failed (struct Sim *sim, struct SimServer *server, const struct EngineEvent *event)
{
  uint32_t p = (uint32_t)(event->call / BRANCHES_MAX);
  struct SimBranch *branch = &sim->programs[p].branches[event->call % BRANCHES_MAX];
  struct Call call = sim_call (sim, event->call);
  bool ran = event->kind == ENGINE_FAILED;
  struct Outcome outcome = { .error = ran ? ERROR_UNKNOWN_EFFECT : ERROR_UNREACHABLE,
                             .ran = ran ? RAN_MAYBE : RAN_NO };
  uint8_t digest[DIGEST_BYTES];
  struct CrashRecord crash = { .started_unix_ms = 0 };
  uint32_t delay_ms;
  struct Fault fault;

  server_health_ended (server->health, &outcome, sim_clock (sim));
  dispatch_queue_finished (server->queue, event->call, &outcome, sim_clock (sim));
  placement_record_outcome (sim->placement, &call, sim->digests[server->index].name, &outcome,
                            sim_clock (sim));
  sim_digest_of (event->call, digest);
  snprintf (crash.server, sizeof crash.server, "%s", sim->digests[server->index].name);
  crash.sent_ms = crash.ended_ms = sim_clock (sim);
  if (ran && quarantine_record_crash (sim->quarantine, digest, &crash, crash.ended_ms))
    sim->result->quarantined++;
  branch->state = CALL_IDLE;
  if (retry_budget_withdraw (sim->retries, &call, &outcome, branch->attempt++, 0, &delay_ms, &fault)
      == ERROR_NONE)
    sim_schedule (sim, delay_ms, EVENT_RESEND, event->call);
  else
    sim_end_program (sim, p, PROGRAM_FAILED);
}

static void
sim_on_engine_event (void *data, const struct EngineEvent *event)
{
  struct SimServer *server = data;
  struct Sim *sim = server->sim;
  size_t capacity = talloc_array_length (sim->engine_events);

  if (sim->n_engine_events == capacity)
    sim->engine_events =
        talloc_realloc (sim, sim->engine_events, struct SimEngineEvent, capacity + 64);
  sim->engine_events[sim->n_engine_events++] = (struct SimEngineEvent){ server->index, *event };
}

static void
sim_handle_engine_events (struct Sim *sim)
{
  for (size_t i = 0; i < sim->n_engine_events; i++)
    {
      struct SimEngineEvent received = sim->engine_events[i];
      struct SimServer *server = &sim->servers[received.server];

      switch (received.event.kind)
        {
        case ENGINE_FIRST_TOKEN:
          server_health_progress (server->health, sim_clock (sim));
          dispatch_queue_first_token (server->queue, received.event.call, sim_clock (sim));
          break;
        case ENGINE_DONE:
          sim_call_done (sim, server, &received.event);
          break;
        case ENGINE_FAILED:
        case ENGINE_REFUSED:
          sim_call_failed (sim, server, &received.event);
          break;
        }
      sim_dispatch (sim, server);
    }
  sim->n_engine_events = 0;
}

/* ---- Time ---- */

/* Places the calls that wait for a suspected server again. */
static void
sim_reassign_waiting (struct Sim *sim, struct SimServer *server)
{
  for (uint32_t p = 0; p < sim->work->n_programs; p++)
    for (uint32_t b = 0; b < sim->programs[p].work->n_branches; b++)
      {
        struct SimBranch *branch = &sim->programs[p].branches[b];

        if (branch->state != CALL_QUEUED || branch->server != server->index
            || !dispatch_queue_remove (server->queue, branch->call))
          continue;
        branch->state = CALL_IDLE;
        sim_schedule (sim, 0, EVENT_RESEND, call_id (p, b));
      }
}

static void
sim_refresh_digests (struct Sim *sim)
{
  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    {
      struct SimServer *server = &sim->servers[s];
      bool usable = !server_health_suspected (server->health, sim_clock (sim));

      dispatch_queue_digest (server->queue, &sim->digests[s]);
      sim->digests[s].reported_running = server->reported_running;
      if (sim->digests[s].usable && !usable)
        sim_reassign_waiting (sim, server);
      sim->digests[s].usable = usable;
      /* The probe is a load report, to which a running server responds. */
      if (server_health_needs_probe (server->health, sim_clock (sim)) && !server->crashed)
        server_health_ended (server->health, &(struct Outcome){ .ran = RAN_YES }, sim_clock (sim));
    }
}

static void
sim_refresh_reports (struct Sim *sim)
{
  double third = sim->options->duration_ms / 3;

  if (sim->options->fault == FAULT_FROZEN && sim->now_ms >= third
      && sim->now_ms < third + FROZEN_REPORTS_MS)
    return;
  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    {
      uint32_t running, waiting;

      engine_load (sim->servers[s].engine, &running, &waiting);
      sim->servers[s].reported_running = running + waiting;
      if (sim->options->reports)
        dispatch_queue_report_cache (sim->servers[s].queue, sim->options->engine.cache_tokens);
    }
}

static void
sim_sample (struct Sim *sim)
{
  double tokens = 0;

  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    {
      struct DispatchActive active;

      dispatch_queue_active (sim->servers[s].queue, &active);
      sim->result->active += (double)active.n_programs;
    }
  for (size_t p = 0; p < sim->work->n_programs; p++)
    for (uint32_t b = 0; !sim->programs[p].ended && b < sim->programs[p].work->n_branches; b++)
      tokens += sim->programs[p].branches[b].context_tokens;
  sim->live_tokens += tokens;
  sim->n_samples++;
}

static void
sim_crash (struct Sim *sim, struct SimServer *server)
{
  if (server->crashed)
    return;
  server->crashed = true;
  engine_crash (server->engine, sim->now_ms);
}

static void
sim_tick (struct Sim *sim)
{
  if (sim->now_ms >= sim->next_report_ms)
    {
      sim_refresh_reports (sim);
      sim->next_report_ms = sim->now_ms + sim->options->report_ms;
    }
  if (sim->now_ms >= sim->next_digest_ms)
    {
      sim_refresh_digests (sim);
      sim->next_digest_ms = sim->now_ms + sim->options->digest_ms;
    }
  if (sim->now_ms >= sim->next_sample_ms && sim->now_ms < sim->options->duration_ms)
    {
      sim_sample (sim);
      sim->next_sample_ms = sim->now_ms + SAMPLE_MS;
    }
  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    {
      uint32_t running, waiting;

      engine_load (sim->servers[s].engine, &running, &waiting);
      sim->servers[s].busy_ms += running > 0 ? TICK_MS : 0;
      sim_dispatch (sim, &sim->servers[s]);
    }
  if (sim->n_open > 0)
    sim_schedule (sim, TICK_MS, EVENT_TICK, 0);
}

static void
sim_arrive (struct Sim *sim, uint32_t p)
{
  if (p + 1 < sim->work->n_programs)
    sim_schedule (sim, sim->work->programs[p + 1].arrival_ms - sim->now_ms, EVENT_ARRIVAL, p + 1);
  sim_issue (sim, call_id (p, MAIN_BRANCH_INDEX));
}

static void
sim_handle (struct Sim *sim, const struct SimEvent *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      sim_arrive (sim, (uint32_t)event->subject);
      break;
    case EVENT_CALL:
      sim_issue (sim, event->subject);
      break;
    case EVENT_RESEND:
      sim_place (sim, event->subject);
      break;
    case EVENT_TICK:
      sim_tick (sim);
      break;
    case EVENT_SLOWDOWN:
      engine_set_speed (sim->servers[0].engine, sim->now_ms, 0.25);
      break;
    case EVENT_SLOWDOWN_END:
      engine_set_speed (sim->servers[0].engine, sim->now_ms, 1);
      break;
    case EVENT_CRASH:
      sim_crash (sim, &sim->servers[event->subject]);
      if (sim->options->fault == FAULT_POISON)
        sim_schedule (sim, RESTART_DELAY_MS, EVENT_RESTART, event->subject);
      break;
    case EVENT_RESTART:
      sim->servers[event->subject].crashed = false;
      break;
    }
}

static void
sim_add_faults (struct Sim *sim)
{
  double third = sim->options->duration_ms / 3;

  switch (sim->options->fault)
    {
    case FAULT_SLOW:
      sim_schedule (sim, third, EVENT_SLOWDOWN, 0);
      sim_schedule (sim, 2 * third, EVENT_SLOWDOWN_END, 0);
      break;
    case FAULT_CRASHED:
      sim_schedule (sim, third, EVENT_CRASH, 0);
      break;
    case FAULT_POISON:
      sim->poison_program = (uint32_t)(sim->work->n_programs / 3);
      break;
    case FAULT_NONE:
    case FAULT_FROZEN:
      break;
    }
}

static struct Sim *
sim_new (const struct SimOptions *options, struct SimResult *result)
{
  static const struct QuarantineOptions quarantine_options = { .has_trials = false };
  struct Sim *sim = talloc_zero (NULL, struct Sim);
  struct WorkOptions work = { .engine = &options->engine,
                              .n_engines = options->n_engines,
                              .seed = options->seed,
                              .load = options->load * options->capacity,
                              .duration_ms = options->duration_ms,
                              .shape = options->shape };

  sim->options = options;
  sim->result = result;
  sim->stats = sim_stats_new (sim);
  event_heap_init (sim, &sim->events);
  sim->work = workload_new (sim, &work);
  sim->n_open = sim->work->n_programs;
  sim->programs = talloc_zero_array (sim, struct SimProgram, sim->work->n_programs);
  for (size_t p = 0; p < sim->work->n_programs; p++)
    sim->programs[p].work = &sim->work->programs[p];
  sim->placement = placement_new (sim);
  sim->retries = retry_budget_new (sim, options->seed);
  sim->quarantine = quarantine_new (sim, &quarantine_options);
  for (uint32_t s = 0; s < options->n_engines; s++)
    {
      struct SimServer *server = &sim->servers[s];

      server->sim = sim;
      server->index = s;
      server->engine = engine_new (sim, &options->engine, sim_on_engine_event, server);
      server->queue = dispatch_queue_new (sim, INITIAL_LIMIT);
      server->health = server_health_new (sim);
      snprintf (sim->digests[s].name, sizeof sim->digests[s].name, "engine-%u", s);
      sim->digests[s].usable = true;
    }
  return sim;
}

/* Returns the time of the next event of the engines or of the event heap. */
static double
sim_next_ms (struct Sim *sim)
{
  const struct SimEvent *event = event_heap_first (&sim->events);
  double next = event != NULL ? event->at_ms : INFINITY;

  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    next = fmin (next, engine_next_ms (sim->servers[s].engine));
  return next;
}

static void
sim_finish (struct Sim *sim)
{
  struct SimResult *r = sim->result;
  double busy_ms = 0;

  r->n_programs = sim->work->n_programs;
  for (uint32_t s = 0; s < sim->options->n_engines; s++)
    {
      struct PolicyServer digest = { 0 };
      struct DispatchActive active;

      dispatch_queue_active (sim->servers[s].queue, &active);
      r->taken += (double)active.n_evicted;
      r->lapsed += (double)active.n_expired;
      if (active.budget_tokens != UINT64_MAX)
        r->budget_tokens += (double)active.budget_tokens / sim->options->n_engines;
      busy_ms += sim->servers[s].busy_ms;
      dispatch_queue_digest (sim->servers[s].queue, &digest);
      r->limit += (double)digest.limit / sim->options->n_engines;
    }
  r->active /= (double)(sim->n_samples * sim->options->n_engines);
  r->live_tokens = sim->live_tokens / (double)(sim->n_samples * sim->options->n_engines);
  r->utilisation = busy_ms / (sim->now_ms * sim->options->n_engines);
  sim_stats_finish (sim->stats, r);
  r->goodput_per_s = r->in_time * (double)r->n_programs / (sim->options->duration_ms / 1000);
}

void
sim_run (const struct SimOptions *options, struct SimResult *result)
{
  struct Sim *sim;

  memset (result, 0, sizeof *result);
  sim = sim_new (options, result);
  sim_add_faults (sim);
  if (sim->work->n_programs > 0)
    event_heap_add (&sim->events,
                    &(struct SimEvent){ sim->work->programs[0].arrival_ms, EVENT_ARRIVAL, 0, 0 });
  sim_schedule (sim, 0, EVENT_TICK, 0);
  while (sim->n_open > 0 && sim->now_ms < options->duration_ms * RUN_LIMIT_FACTOR)
    {
      double next = sim_next_ms (sim);
      struct SimEvent event;

      if (isinf (next))
        break;
      sim->now_ms = next;
      for (uint32_t s = 0; s < options->n_engines; s++)
        engine_advance (sim->servers[s].engine, next);
      sim_handle_engine_events (sim);
      while (event_heap_first (&sim->events) != NULL
             && event_heap_first (&sim->events)->at_ms <= next)
        {
          event_heap_pop (&sim->events, &event);
          sim_handle (sim, &event);
          sim_handle_engine_events (sim);
        }
    }
  sim_finish (sim);
  talloc_free (sim);
}
