/* Runs the policy core against engine models in simulated time and collects the results. */
#pragma once

#include <buckthornhead/policy.h>
#include <buckthornhead/scheduling/quarantine.h>

#include "workload.h"

enum
{
  SIM_ENGINES_MAX = 16,
  SIM_NAME_BYTES = 32
};

enum SimFault
{
  FAULT_NONE,
  FAULT_SLOW,    /* one engine runs at a quarter of its speed for the middle third of the time */
  FAULT_CRASHED, /* one engine crashes after a third of the time and is not restarted */
  FAULT_FROZEN,  /* load reports are not updated for 30 s */
  FAULT_POISON   /* one request crashes every engine that runs it */
};

struct SimOptions
{
  char scenario[SIM_NAME_BYTES];
  struct EngineParams engine;
  uint32_t n_engines;
  enum ArrivalShape shape;
  enum SimFault fault;
  struct PolicyWeights weights;
  struct PolicyWeights menu_weights; /* of the services menu-agents and label-export */
  uint64_t seed;
  double load;     /* as a fraction of the capacity */
  double capacity; /* measured throughput of the best baseline under saturation, as a fraction of
                      that of full batches which compute no prefix twice */
  double duration_ms;
  bool deadlines;                /* enforced; if false, missed deadlines are only counted */
  bool reports;                  /* engines report their cache size */
  uint32_t digest_ms, report_ms; /* intervals of owners' digests and engines' load reports */
};

struct Percentiles
{
  double mean, p50, p95, p99, most;
};

struct SimResult
{
  size_t n_programs, n_done, n_refused, n_late, n_failed;
  struct Percentiles latency_ms;     /* of completed programs */
  struct Percentiles short_ms;       /* of completed programs with one call, exports aside */
  struct Percentiles short_ideal_ms; /* ideal_ms of the same programs */
  struct Percentiles slowdown;       /* latency / ideal_ms */
  double wasted;                     /* recomputed prefix tokens / all prefix tokens */
  double goodput_per_s; /* programs completed by their deadline, per second of duration_ms */
  double in_time;       /* fraction of all programs completed by their deadline */
  double refused_calls;
  double fairness;                  /* Jain's index over the services' mean slowdown */
  double wait_mean_ms, wait_max_ms; /* queueing time of a call */
  double utilisation;               /* fraction of time with a call running, over all engines */
  double limit;                     /* mean of the owners' learned concurrency limits at the end */
  double quarantined;
  double taken, lapsed; /* cache places taken from paused programs; places lost to long pauses */
  double live_tokens;   /* mean context of the running programs, per engine */
  double budget_tokens; /* mean of the learned cache budgets at the end */
  double useful;        /* work completed before duration_ms, as a fraction of full batches' */
  double active;        /* mean number of programs with a cache place, per engine */
};

/* Sets options to the named built-in scenario. Returns false when there is none of that name. */
bool
sim_scenario (struct SimOptions *options, const char *name);

/* Reads section [scenario] of an INI file. Its keys are base (a built-in scenario; must come
 * first), arrivals, fault, engines, minutes, capacity, deadlines, reports, digest_ms, report_ms,
 * and the engine's parameters. Returns 0, the line of the first error, or -1 when the file can't be
 * read. */
int
sim_scenario_load (struct SimOptions *options, const char *file);

void
sim_run (const struct SimOptions *options, struct SimResult *result);
