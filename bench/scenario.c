#include "policy_sim.h"

#include <string.h>

/* One engine that is busy with sixteen calls serves about 680 tokens a second. */
static const struct EngineParams engine = { .step_base_ms = 18,
                                            .step_call_ms = 0.35,
                                            .prefill_us_per_token = 60,
                                            .chunk_tokens = 512,
                                            .batch_max = 32,
                                            .cache_tokens = 4000000 };

/* What the best baseline gets done at 250% load (seed 2): sticky, and least reported load. */
static const double ample_capacity = 0.945;
static const double scarce_capacity = 0.53;

enum
{
  /* Half of the 200,000 tokens an engine that programs hold at 95% load when the cache is ample. */
  SCARCE_CACHE_TOKENS = 100000
};

struct Scenario
{
  const char *name;
  bool scarce;
  bool deadlines;
  enum ArrivalShape shape;
  enum SimFault fault;
};

static const struct Scenario scenarios[] = {
  { "ample", false, false, ARRIVAL_STEADY, FAULT_NONE },
  { "scarce", true, false, ARRIVAL_STEADY, FAULT_NONE },
  { "ample-deadlines", false, true, ARRIVAL_STEADY, FAULT_NONE },
  { "scarce-deadlines", true, true, ARRIVAL_STEADY, FAULT_NONE },
  { "dawn", true, true, ARRIVAL_DAWN, FAULT_NONE },
  { "night", true, false, ARRIVAL_NIGHT, FAULT_NONE },
  { "slow", true, false, ARRIVAL_STEADY, FAULT_SLOW },
  { "dead", true, false, ARRIVAL_STEADY, FAULT_DEAD },
  { "frozen", true, false, ARRIVAL_STEADY, FAULT_FROZEN },
  { "poison", true, false, ARRIVAL_STEADY, FAULT_POISON },
};

bool
sim_scenario (struct SimOptions *options, const char *name)
{
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      const struct Scenario *s = &scenarios[i];

      if (strcmp (s->name, name) != 0)
        continue;
      memset (options, 0, sizeof *options);
      strncpy (options->scenario, name, sizeof options->scenario - 1);
      options->engine = engine;
      if (s->scarce)
        options->engine.cache_tokens = SCARCE_CACHE_TOKENS;
      options->capacity = s->scarce ? scarce_capacity : ample_capacity;
      options->n_engines = 3;
      options->shape = s->shape;
      options->fault = s->fault;
      options->deadlines = s->deadlines;
      options->reports = true;
      options->load = 0.95;
      options->seed = 1;
      options->duration_ms = 600000;
      options->digest_ms = 200;
      options->report_ms = 1000;
      options->weights = (struct PolicyWeights){ .rule = POLICY_PROGRAM,
                                                 .cache_weight_permille = 300,
                                                 .ageing_ms = 60000,
                                                 .share = 100,
                                                 .retry_budget_permille = 100,
                                                 .pause_keep_ms = 60000 };
      return true;
    }
  return false;
}
