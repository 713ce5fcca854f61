/* Simulates programs on a model of one engine, in virtual time, with their turns ordered by the
 * slot queue, and counts the programs that end in time. */
#include "test_main.h"

#include <buckthornhead/error.h>
#include <buckthornhead/scheduling/admission.h>
#include <buckthornhead/scheduling/slot_queue.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PROGRAMS_MAX = 2000,
  N_TURNS = 4,
  TOKENS_PER_TURN = 256,
  PROMPT_TOKENS = 1360, /* new ones of a turn */
  PAUSE_MS = 140,       /* between two turns of a program */
  OBJECTIVE_MS = 200,
  STEP_MS = 1,
  FIRST_EVENT_WAIT_MS = 2000, /* how long callers wait for the first event of a turn */
  TRIES = 6,                  /* of a turn */
  SEEDS = 6
};

struct Engine
{
  uint32_t slots;
  double token_ms, token_ms_per_request; /* time per token, addition for each running request */
  double prompt_tokens_per_ms;           /* read by the engine, which generates nothing meanwhile */
};

/* All slots in use make the first one 2.6 times slower, and the second one 1.3 times. */
static const struct Engine engine_of_48 = { 48, 1.08, 0.0377, 147 };
static const struct Engine engine_of_12 = { 12, 1.09, 0.0274, 374 };

enum ProgramState
{
  PROGRAM_NOT_STARTED,
  PROGRAM_PAUSED, /* requests a slot at next_ms */
  PROGRAM_WAITING,
  PROGRAM_RUNNING,
  PROGRAM_ENDED
};

struct Program
{
  enum ProgramState state;
  int64_t began_ms, next_ms, ended_ms;
  uint32_t n_turns, n_tries;
  bool is_rejected;
  double tokens_left;
};

struct Simulation
{
  struct SlotQueues *queues;
  const struct Engine *engine;
  struct Program programs[PROGRAMS_MAX];
  uint32_t n_programs;
  bool has_admission;
  double reading_ms; /* time to read the remaining prompts */
  int64_t deadline_ms;
};

static int64_t
turn_idle_ms (const struct Engine *engine)
{
  return (int64_t)(TOKENS_PER_TURN * (engine->token_ms + engine->token_ms_per_request)
                   + PROMPT_TOKENS / engine->prompt_tokens_per_ms);
}

static void
program_start_turn (struct Simulation *sim, struct Program *program)
{
  program->state = PROGRAM_RUNNING;
  program->tokens_left = TOKENS_PER_TURN;
  sim->reading_ms += PROMPT_TOKENS / sim->engine->prompt_tokens_per_ms;
}

static bool
program_is_rejected (const struct Simulation *sim,
                     const struct Program *program,
                     const struct SlotState *state)
{
  const struct AdmissionQuery query = {
    .begins_program = program->n_turns == 0,
    .wait_ms = state->wait_ms,
    .objective_ms = OBJECTIVE_MS,
    .left_ms = FIRST_EVENT_WAIT_MS,
  };

  return sim->has_admission && admission_rejects (&query);
}

/* The caller comes back after the expected wait; after several tries its program has failed. */
static void
program_reject (struct Simulation *sim, uint32_t i, int64_t now_ms, uint32_t wait_ms)
{
  struct Program *program = &sim->programs[i];

  slot_queue_done (sim->queues, "e", "g", i + 1, SLOT_NOT_USED, now_ms);
  program->is_rejected = ++program->n_tries == TRIES;
  program->state = program->is_rejected ? PROGRAM_ENDED : PROGRAM_PAUSED;
  program->ended_ms = now_ms;
  program->next_ms = now_ms + wait_ms;
}

static void
program_ask (struct Simulation *sim, uint32_t i, int64_t now_ms)
{
  struct Program *program = &sim->programs[i];
  const struct SlotServer server = {
    .id = "e",
    .slots = sim->engine->slots,
    .order = sim->has_admission ? SLOT_ORDER_BY_RANK : SLOT_ORDER_BY_PROGRAM,
  };
  struct SlotRequest request = { .requester = "g",
                                 .id = i + 1,
                                 .under_way = program->n_turns > 0,
                                 .program = i + 1,
                                 .program_deadline_ms = program->began_ms + sim->deadline_ms,
                                 .deadline_ms = now_ms + 4000 };
  struct SlotState state;

  CU_ASSERT_EQUAL (slot_queue_request (sim->queues, &server, &request, now_ms, &state), ERROR_NONE);
  if (state.granted)
    program_start_turn (sim, program);
  else if (program_is_rejected (sim, program, &state))
    program_reject (sim, i, now_ms, state.wait_ms);
  else
    program->state = PROGRAM_WAITING;
}

static void
turn_end (struct Simulation *sim, uint32_t i, int64_t now_ms)
{
  struct Program *program = &sim->programs[i];
  struct SlotRequest granted;
  struct SlotState state;

  slot_queue_done (sim->queues, "e", "g", i + 1, SLOT_SERVED, now_ms);
  program->n_turns++;
  program->n_tries = 0;
  program->state = program->n_turns == N_TURNS ? PROGRAM_ENDED : PROGRAM_PAUSED;
  program->ended_ms = now_ms;
  program->next_ms = now_ms + PAUSE_MS;
  while (slot_queue_next (sim->queues, "e", now_ms, &granted, &state))
    program_start_turn (sim, &sim->programs[granted.id - 1]);
}

/* Advances the engine by one step, in which it either reads prompts or generates tokens for all
 * running requests. */
static void
engine_step (struct Simulation *sim, int64_t now_ms)
{
  double tokens;
  uint32_t n = 0;

  if (sim->reading_ms >= STEP_MS)
    {
      sim->reading_ms -= STEP_MS;
      return;
    }
  for (uint32_t i = 0; i < sim->n_programs; i++)
    n += sim->programs[i].state == PROGRAM_RUNNING;
  tokens = STEP_MS / (sim->engine->token_ms + sim->engine->token_ms_per_request * n);
  for (uint32_t i = 0; i < sim->n_programs; i++)
    if (sim->programs[i].state == PROGRAM_RUNNING && (sim->programs[i].tokens_left -= tokens) <= 0)
      turn_end (sim, i, now_ms);
}

struct Load
{
  const struct Engine *engine;
  double per_s, burst_per_s; /* programs that start each second, outside and in the burst */
  int64_t burst_end_ms;
  bool has_admission;
};

/* Returns the percentage of programs that end in time. The burst begins at 4 s; no program starts
 * after 30 s. */
static uint32_t
simulate_load (long seed, const struct Load *load)
{
  struct Simulation *sim = talloc_zero (NULL, struct Simulation);
  double next_start_ms = 0;
  uint32_t n_in_time = 0, n_programs;

  sim->queues = slot_queues_new (sim);
  sim->engine = load->engine;
  sim->has_admission = load->has_admission;
  sim->deadline_ms =
      (N_TURNS * turn_idle_ms (load->engine) + (N_TURNS - 1) * PAUSE_MS) * 24 / 10 + OBJECTIVE_MS;
  srand48 (seed);
  for (int64_t now_ms = 0; now_ms < 60 * 1000; now_ms += STEP_MS)
    {
      bool burst = now_ms >= 4000 && now_ms < load->burst_end_ms;

      while (now_ms < 30 * 1000 && next_start_ms <= (double)now_ms)
        {
          struct Program *program = &sim->programs[sim->n_programs++];

          program->state = PROGRAM_PAUSED;
          program->began_ms = now_ms;
          program->next_ms = now_ms;
          next_start_ms += -log (1 - drand48 ()) * 1000 / (burst ? load->burst_per_s : load->per_s);
        }
      for (uint32_t i = 0; i < sim->n_programs; i++)
        if (sim->programs[i].state == PROGRAM_PAUSED && sim->programs[i].next_ms <= now_ms)
          program_ask (sim, i, now_ms);
      engine_step (sim, now_ms);
    }
  for (uint32_t i = 0; i < sim->n_programs; i++)
    {
      const struct Program *program = &sim->programs[i];

      /* No program is starved. */
      CU_ASSERT_EQUAL (program->state, PROGRAM_ENDED);
      n_in_time += program->state == PROGRAM_ENDED && !program->is_rejected
                   && program->ended_ms - program->began_ms <= sim->deadline_ms;
    }
  n_programs = sim->n_programs;
  talloc_free (sim);
  return n_in_time * 100 / n_programs;
}

/* Returns the mean of simulate_load over SEEDS seeds. */
static uint32_t
simulate_seeds (const struct Load *load)
{
  uint32_t sum = 0;

  for (int seed = 1; seed <= SEEDS; seed++)
    sum += simulate_load (seed, load);
  return sum / SEEDS;
}

/* Below the engine's capacity of 7 programs per second all programs end in time. */
static void
test_an_ordinary_load_is_served_in_time (void)
{
  struct Load load = { &engine_of_48, .per_s = 4, .burst_per_s = 4 };

  CU_ASSERT (simulate_seeds (&load) >= 99);
  load.has_admission = true;
  CU_ASSERT (simulate_seeds (&load) >= 99);
}

/* A burst of two seconds at twice the engine's capacity is absorbed by the slack of the programs:
 * 95% end in time. Guards against admission that rejects what would have ended in time. */
static void
test_a_short_burst_is_served_in_time (void)
{
  struct Load load = { &engine_of_48, 6, 14, 6 * 1000, false };

  CU_ASSERT (simulate_seeds (&load) >= 90);
  load.has_admission = true;
  CU_ASSERT (simulate_seeds (&load) >= 90);
}

/* Twice the engine's capacity for 16 s. Without admission the share that ends in time is printed,
 * not asserted: it is 9%, with 62% possible. Late programs must still end. */
static void
test_after_a_long_overload_all_programs_end (void)
{
  const struct Load load = { &engine_of_48, 8, 14, 20 * 1000, false };

  printf ("in time after a long overload: %u%%\n", simulate_seeds (&load));
}

/* The same load. Guards against a shortage in which everybody is late: with admission, those that
 * begin are the ones that can end in time. */
static void
test_programs_admitted_under_a_long_overload_end_in_time (void)
{
  const struct Load load = { &engine_of_12, 8, 14, 20 * 1000, true };
  uint32_t percent = simulate_seeds (&load);

  printf ("in time after a long overload, with admission: %u%%\n", percent);
  CU_ASSERT (percent >= 60);
}

const char test_suite_name[] = "slot queue under load";
const struct TestCase test_cases[] = {
  { "an ordinary load is served in time", test_an_ordinary_load_is_served_in_time },
  { "a short burst is served in time", test_a_short_burst_is_served_in_time },
  { "after a long overload all programs end", test_after_a_long_overload_all_programs_end },
  { "programs admitted under a long overload end in time",
    test_programs_admitted_under_a_long_overload_end_in_time },
  { NULL, NULL },
};
