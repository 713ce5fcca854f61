/* Generates programs modelled on the two deployments. The same seed and load give the same arrivals
 * under every policy. */
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
  KIND_NEGOTIATION, /* hiring-agents: long tool pauses */
  KIND_ALERT,       /* field-desk: one call */
  KIND_REVIEW,      /* menu-agents: long shared prefix */
  KIND_QUESTION,    /* kitchen-api: interactive, at most three short turns */
  KIND_EXPORT,      /* label-export: nightly batch, not urgent */
  N_KINDS
};

struct Turn
{
  uint32_t new_tokens; /* prompt tokens beyond the branch's previous context */
  uint32_t generated_tokens;
  double pause_ms; /* tool time after the turn */
};

/* The calls of the main branch or of one sub-agent. */
struct Branch
{
  struct Turn *turns;
  uint32_t n_turns;
  uint32_t after_turn; /* of the main branch, which waits for the sub-agents started then */
};

struct WorkProgram
{
  enum ProgramKind kind;
  double arrival_ms;
  double time_limit_ms; /* from arrival to deadline */
  double ideal_ms;      /* latency alone on an engine that evicts nothing */
  double work_ms;       /* engine time in full batches */
  struct Branch branches[BRANCHES_MAX];
  uint32_t n_branches;
};

enum ArrivalShape
{
  ARRIVAL_STEADY,
  ARRIVAL_DAWN, /* the second quarter at three times the rate of the rest */
  ARRIVAL_NIGHT /* steady, and a batch export that arrives all at once */
};

struct WorkOptions
{
  const struct EngineParams *engine;
  uint32_t n_engines;
  uint64_t seed;
  double load; /* as a fraction of the throughput of full batches which compute no prefix twice */
  double duration_ms; /* period in which programs arrive */
  enum ArrivalShape shape;
};

struct Workload
{
  struct WorkProgram *programs; /* in the order of their arrival */
  size_t n_programs;
};

extern const char *const kind_services[N_KINDS];

/* Returns the engine time of one turn in a full batch with its prefix cached. */
double
turn_work_ms (const struct EngineParams *engine, const struct Turn *turn);

struct Workload *
workload_new (TALLOC_CTX *ctx, const struct WorkOptions *options);
