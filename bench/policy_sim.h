/* Runs the policy core against model engines in simulated time, and measures outcomes. */
#pragma once

#include <buckthornhead/policy.h>

#include "workload.h"

enum
{
  SIM_ENGINES_MAX = 16,
  SIM_NAME_BYTES = 32
};

enum SimFault
{
  FAULT_NONE,
  FAULT_SLOW,   /* one engine at a quarter of its speed, for the middle third */
  FAULT_DEAD,   /* one engine dies after a third of the time and stays dead */
  FAULT_FROZEN, /* reports stand still for 30 s */
  FAULT_POISON  /* a request that crashes each engine which runs it */
};

struct SimOptions
{
  char scenario[SIM_NAME_BYTES];
  struct EngineParams engine;
  uint32_t n_engines;
  enum ArrivalShape shape;
  enum SimFault fault;
  struct PolicyWeights weights;
  struct PolicyWeights menu_weights; /* of menu-agents and label-export */
  uint64_t seed;
  double load;     /* share of the capacity */
  double capacity; /* measured: what the best baseline gets done when there is always work, as a
                      share of full batches with nothing computed twice */
  double duration_ms;
  bool deadlines; /* enforced; else only counted */
  bool reports;   /* engines report their cache size */
  uint32_t digest_ms, report_ms;
};

struct Percentiles
{
  double mean, p50, p95, p99, most;
};

struct SimResult
{
  size_t n_programs, n_done, n_refused, n_late, n_failed;
  struct Percentiles latency_ms;     /* of programs that were done */
  struct Percentiles short_ms;       /* of these, programs of one call */
  struct Percentiles short_ideal_ms; /* and what the same programs take alone on an engine */
  struct Percentiles slowdown;       /* latency / ideal */
  double wasted;                     /* prefix tokens computed again / prefix tokens seen */
  double goodput_per_s;              /* done within their deadline, per second of arrivals */
  double in_time;                    /* share of all programs done within their deadline */
  double refused_calls;
  double fairness;                   /* Jain's index over the services' mean slowdown */
  double wait_mean_ms, wait_most_ms; /* of one call in the queues */
  double utilisation;                /* share of the engines' time with anything running */
  double limit;                      /* mean of the engines' learned limits at the end */
  double quarantined;
  double taken, lapsed; /* places in the engines' caches */
  double live_tokens;   /* mean context of the programs under way, per engine */
  double budget_tokens; /* mean of the learned cache budgets at the end */
  double useful;        /* work done while programs arrived, as a share of the capacity */
  double active;        /* mean programs with a place, per engine */
};

/* Fills in defaults and the named built-in scenario. False when there is none of that name. */
bool
sim_scenario (struct SimOptions *options, const char *name);

/* Reads [scenario] of an INI file: base (a built-in one, first), arrivals, fault, engines, minutes,
 * capacity, deadlines, reports, digest_ms, report_ms, and the engine's parameters. 0, the line of
 * the first fault, or -1 when the file can not be read. */
int
sim_scenario_load (struct SimOptions *options, const char *file);

void
sim_run (const struct SimOptions *options, struct SimResult *result);
