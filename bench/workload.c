#include "workload.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MEAN_SAMPLE_PROGRAMS = 4000
};

const char *const kind_services[N_KINDS] = { "hiring-agents", "hiring-agents", "field-desk",
                                             "menu-agents",   "kitchen-api",   "label-export" };

/* Parameters of the distributions from which a kind of program is drawn. */
struct KindShape
{
  double share;                            /* fraction of arrivals */
  double turns_min, turns_tail, turns_max; /* bounded Pareto */
  double first_low, first_high;            /* prompt tokens of the first turn */
  double add_low, add_high;                /* new prompt tokens of each further turn */
  double generated_low, generated_high;
  double pause_ms;                         /* mean of an exponential distribution */
  double pause_heavy;                      /* above 0: one pause in ten lasts five times as long */
  double sub_agents;                       /* probability per turn of the main branch */
  double time_limit_factor, time_limit_ms; /* factor of the ideal latency, and offset */
};

static const struct KindShape shapes[N_KINDS] = {
  [KIND_SCREENING] = { 0.30, 2, 1.4, 30, 1500, 4000, 300, 1200, 40, 220, 1500, 0, 0.04, 4, 20000 },
  [KIND_NEGOTIATION] = { 0.15, 3, 1.8, 20, 600, 1500, 80, 300, 30, 120, 6000, 1, 0, 4, 30000 },
  [KIND_ALERT] = { 0.25, 1, 0, 1, 200, 500, 0, 0, 15, 60, 0, 0, 0, 4, 8000 },
  [KIND_REVIEW] = { 0.10, 4, 1.3, 40, 4000, 9000, 300, 1000, 60, 300, 1000, 0, 0.05, 4, 40000 },
  [KIND_QUESTION] = { 0.20, 1, 3.0, 3, 800, 1800, 100, 300, 40, 120, 500, 0, 0, 4, 10000 },
  [KIND_EXPORT] = { 0, 1, 0, 1, 1500, 3000, 0, 0, 150, 400, 0, 0, 0, 1, 3600000 },
};

struct Random
{
  unsigned short state[3];
};

static struct Random
random_seeded (uint64_t seed, uint64_t stream)
{
  uint64_t mixed = (seed + 1) * 0x9E3779B97F4A7C15ULL + stream * 0xD1B54A32D192ED03ULL;
  struct Random random;

  mixed = (mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9ULL;
  random.state[0] = (unsigned short)(mixed >> 16);
  random.state[1] = (unsigned short)(mixed >> 32);
  random.state[2] = (unsigned short)(mixed >> 48);
  return random;
}

static double
random_uniform (struct Random *random, double low, double high)
{
  return low + erand48 (random->state) * (high - low);
}

static double
random_exponential (struct Random *random, double mean)
{
  return -mean * log (1.0 - erand48 (random->state));
}

static double
random_pareto (struct Random *random, double min, double tail, double max)
{
  double x = tail > 0 ? min / pow (1.0 - erand48 (random->state), 1.0 / tail) : min;

  return x < max ? x : max;
}

static double
draw_pause (struct Random *random, const struct KindShape *shape)
{
  double pause = random_exponential (random, shape->pause_ms);

  return shape->pause_heavy > 0 && erand48 (random->state) < 0.1 ? pause * 5 : pause;
}

static void
branch_fill (TALLOC_CTX *ctx,
             struct Random *random,
             const struct KindShape *shape,
             struct Branch *branch,
             uint32_t n_turns)
{
  branch->n_turns = n_turns;
  branch->turns = talloc_array (ctx, struct Turn, n_turns);
  for (uint32_t i = 0; i < n_turns; i++)
    branch->turns[i] = (struct Turn){
      .new_tokens = (uint32_t)(i == 0 ? random_uniform (random, shape->first_low, shape->first_high)
                                      : random_uniform (random, shape->add_low, shape->add_high)),
      .generated_tokens =
          (uint32_t)random_uniform (random, shape->generated_low, shape->generated_high),
      .pause_ms = i + 1 < n_turns ? draw_pause (random, shape) : 0,
    };
}

static void
sub_agents_fill (TALLOC_CTX *ctx,
                 struct Random *random,
                 const struct KindShape *shape,
                 struct WorkProgram *program)
{
  const struct Branch *main = &program->branches[MAIN_BRANCH_INDEX];

  for (uint32_t turn = 0; turn + 1 < main->n_turns; turn++)
    {
      uint32_t n = 1 + (uint32_t)random_uniform (random, 0, 3);

      if (erand48 (random->state) >= shape->sub_agents)
        continue;
      for (; n > 0 && program->n_branches < BRANCHES_MAX; n--)
        {
          struct Branch *branch = &program->branches[program->n_branches++];

          branch_fill (ctx, random, shape, branch, 1 + (uint32_t)random_uniform (random, 0, 4));
          branch->after_turn = turn;
        }
    }
}

static double
branch_ideal_ms (const struct EngineParams *engine, const struct Branch *branch)
{
  double ms = 0;

  for (uint32_t i = 0; i < branch->n_turns; i++)
    ms += branch->turns[i].new_tokens * engine->prefill_us_per_token / 1000
          + branch->turns[i].generated_tokens * (engine->step_base_ms + engine->step_call_ms)
          + branch->turns[i].pause_ms;
  return ms;
}

double
turn_work_ms (const struct EngineParams *engine, const struct Turn *turn)
{
  double token_ms = engine->step_base_ms / engine->batch_max + engine->step_call_ms;

  return turn->new_tokens * engine->prefill_us_per_token / 1000 + turn->generated_tokens * token_ms;
}

static double
branch_work_ms (const struct EngineParams *engine, const struct Branch *branch)
{
  double ms = 0;

  for (uint32_t i = 0; i < branch->n_turns; i++)
    ms += turn_work_ms (engine, &branch->turns[i]);
  return ms;
}

static void
program_measure (const struct EngineParams *engine, struct WorkProgram *program)
{
  const struct KindShape *shape = &shapes[program->kind];

  program->ideal_ms = program->work_ms = 0;
  for (uint32_t b = 0; b < program->n_branches; b++)
    {
      double longest = 0;

      program->work_ms += branch_work_ms (engine, &program->branches[b]);
      if (b == MAIN_BRANCH_INDEX)
        program->ideal_ms += branch_ideal_ms (engine, &program->branches[b]);
      if (b == MAIN_BRANCH_INDEX
          || (b > 1 && program->branches[b].after_turn == program->branches[b - 1].after_turn))
        continue;
      for (uint32_t s = b; s < program->n_branches
                           && program->branches[s].after_turn == program->branches[b].after_turn;
           s++)
        longest = fmax (longest, branch_ideal_ms (engine, &program->branches[s]));
      program->ideal_ms += longest;
    }
  program->time_limit_ms = program->ideal_ms * shape->time_limit_factor + shape->time_limit_ms;
}

static void
program_fill (TALLOC_CTX *ctx,
              const struct EngineParams *engine,
              struct Random *random,
              enum ProgramKind kind,
              struct WorkProgram *program)
{
  const struct KindShape *shape = &shapes[kind];
  double turns = random_pareto (random, shape->turns_min, shape->turns_tail, shape->turns_max);

  memset (program, 0, sizeof *program);
  program->kind = kind;
  program->n_branches = 1;
  branch_fill (ctx, random, shape, &program->branches[MAIN_BRANCH_INDEX], (uint32_t)turns);
  if (shape->sub_agents > 0)
    sub_agents_fill (ctx, random, shape, program);
  program_measure (engine, program);
}

static enum ProgramKind
draw_kind (struct Random *random)
{
  double x = erand48 (random->state);

  for (int kind = 0; kind < N_KINDS; kind++)
    if ((x -= shapes[kind].share) < 0)
      return (enum ProgramKind)kind;
  return KIND_ALERT;
}

/* Returns the mean engine time of a program over fixed seeds, so that it is equal in all runs. */
static double
mean_work_ms (const struct EngineParams *engine)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  double sum = 0;

  for (uint64_t i = 0; i < MEAN_SAMPLE_PROGRAMS; i++)
    {
      struct Random random = random_seeded (1000003, i);
      struct WorkProgram program;

      program_fill (ctx, engine, &random, draw_kind (&random), &program);
      sum += program.work_ms;
    }
  talloc_free (ctx);
  return sum / MEAN_SAMPLE_PROGRAMS;
}

/* Returns the arrival rate at now_ms relative to the mean. */
static double
shape_rate (const struct WorkOptions *options, double now_ms)
{
  double progress = now_ms / options->duration_ms;

  if (options->shape != ARRIVAL_DAWN)
    return 1;
  return progress >= 0.25 && progress < 0.5 ? 2.0 : 2.0 / 3;
}

static struct WorkProgram *
workload_add (struct Workload *work)
{
  size_t capacity = talloc_array_length (work->programs);

  if (work->n_programs == capacity)
    work->programs = talloc_realloc (work, work->programs, struct WorkProgram,
                                     capacity > 0 ? capacity * 2 : 256);
  return &work->programs[work->n_programs++];
}

static void
workload_add_export (struct Workload *work, const struct WorkOptions *options)
{
  /* The export's work is a fifth of the configured load over the whole run. */
  double left = options->n_engines * options->duration_ms * 0.2 * options->load;

  for (uint64_t i = 0; left > 0; i++)
    {
      struct Random random = random_seeded (options->seed ^ 0x5eed, i);
      struct WorkProgram *program = workload_add (work);

      program_fill (work, options->engine, &random, KIND_EXPORT, program);
      program->arrival_ms = options->duration_ms * 0.2 + (double)i;
      left -= program->work_ms;
    }
}

static int
arrival_compare (const void *a, const void *b)
{
  const struct WorkProgram *p = a, *q = b;

  return (p->arrival_ms > q->arrival_ms) - (p->arrival_ms < q->arrival_ms);
}

struct Workload *
workload_new (TALLOC_CTX *ctx, const struct WorkOptions *options)
{
  struct Workload *work = talloc_zero (ctx, struct Workload);
  struct Random arrivals = random_seeded (options->seed, 0);
  double mean_ms = mean_work_ms (options->engine);
  double gap_ms = mean_ms / (options->load * options->n_engines);
  double now = 0;

  if (options->shape == ARRIVAL_NIGHT)
    gap_ms /= 0.8;
  for (uint64_t i = 1;; i++)
    {
      struct Random random = random_seeded (options->seed, i);
      struct WorkProgram *program;

      now += random_exponential (&arrivals, gap_ms / shape_rate (options, now));
      if (now >= options->duration_ms)
        break;
      program = workload_add (work);
      program_fill (work, options->engine, &random, draw_kind (&random), program);
      program->arrival_ms = now;
    }
  if (options->shape == ARRIVAL_NIGHT)
    workload_add_export (work, options);
  qsort (work->programs, work->n_programs, sizeof *work->programs, arrival_compare);
  return work;
}
