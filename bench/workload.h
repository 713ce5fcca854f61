/* Seeded programs like the two deployments': the same seed and load give the same arrivals under
 * every policy. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

#include "engine_model.h"

enum
{
  BRANCHES_MAX = 16,
  MAIN_BRANCH_INDEX = 0
};

enum ProgramKind
{
  KIND_SCREENING,   /* hiring-agents */
  KIND_NEGOTIATION, /* hiring-agents: long pauses in the field */
  KIND_ALERT,       /* field-desk: one call */
  KIND_REVIEW,      /* menu-agents: long shared prefix */
  KIND_QUESTION,    /* kitchen-api: a parent at the counter */
  KIND_EXPORT,      /* label-export: nightly, in bulk, no hurry */
  N_KINDS
};

struct Turn
{
  uint32_t new_tokens; /* that the prompt adds to what the engine has seen of this branch */
  uint32_t generated_tokens;
  double pause_ms; /* tool time after it */
};

/* The program's own calls, or one sub-agent's. */
struct Branch
{
  struct Turn *turns;
  uint32_t n_turns;
  uint32_t after_turn; /* sub-agents start after this turn of the main branch, which waits */
};

struct WorkProgram
{
  enum ProgramKind kind;
  double arrival_ms;
  double patience_ms; /* from arrival to deadline */
  double ideal_ms;    /* alone on an engine that forgets nothing */
  double work_ms;     /* engine time of it in a full batch */
  struct Branch branches[BRANCHES_MAX];
  uint32_t n_branches;
};

enum ArrivalShape
{
  ARRIVAL_STEADY,
  ARRIVAL_DAWN, /* a quarter of the time at three times the rate of the rest */
  ARRIVAL_NIGHT /* steady, and an export that comes all at once */
};

struct WorkOptions
{
  const struct EngineParams *engine;
  uint32_t n_engines;
  uint64_t seed;
  double load; /* share of what engines could do with full batches and nothing computed twice */
  double duration_ms; /* of arrivals */
  enum ArrivalShape shape;
};

struct Workload
{
  struct WorkProgram *programs; /* by arrival */
  size_t n_programs;
};

extern const char *const kind_services[N_KINDS];

/* Engine time of one turn in a full batch, when its prefix is cached. */
double
turn_work_ms (const struct EngineParams *engine, const struct Turn *turn);

struct Workload *
workload_new (TALLOC_CTX *ctx, const struct WorkOptions *options);
