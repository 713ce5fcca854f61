#include "policy_sim.h"

#include <stdlib.h>
#include <string.h>

#include <ini.h>

/* An engine that decodes sixteen calls generates about 680 tokens per second. */
static const struct EngineParams engine = { .step_base_ms = 18,
                                            .step_call_ms = 0.35,
                                            .prefill_us_per_token = 60,
                                            .chunk_tokens = 512,
                                            .batch_max = 32,
                                            .cache_tokens = 4000000 };

/* SimOptions.capacity: throughput of the best baseline at 250% load (seed 2), which is sticky with
 * the ample cache and least_reported with the scarce one. */
static const double ample_capacity = 0.945;
static const double scarce_capacity = 0.53;

enum
{
  /* Half of the 200,000 tokens per engine that programs occupy at 95% load with the ample cache. */
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
  { "dead", true, false, ARRIVAL_STEADY, FAULT_CRASHED },
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
      options->menu_weights = options->weights;
      return true;
    }
  return false;
}

static const char *const shape_names[] = { "steady", "dawn", "night" };
static const char *const fault_names[] = { "none", "slow", "dead", "frozen", "poison" };

/* Returns the index of value in names, or n. */
static size_t
name_index (const char *const *names, size_t n, const char *value)
{
  size_t i = 0;

  while (i < n && strcmp (names[i], value) != 0)
    i++;
  return i;
}

static bool
scenario_set_name (struct SimOptions *options, const char *key, const char *value)
{
  size_t n_shapes = sizeof shape_names / sizeof shape_names[0];
  size_t n_faults = sizeof fault_names / sizeof fault_names[0];
  size_t i;

  if (strcmp (key, "base") == 0)
    return sim_scenario (options, value);
  if (strcmp (key, "arrivals") == 0)
    {
      i = name_index (shape_names, n_shapes, value);
      options->shape = (enum ArrivalShape)i;
      return i < n_shapes;
    }
  if (strcmp (key, "fault") == 0)
    {
      i = name_index (fault_names, n_faults, value);
      options->fault = (enum SimFault)i;
      return i < n_faults;
    }
  return false;
}

static bool
scenario_set_number (struct SimOptions *o, const char *key, double value)
{
  if (strcmp (key, "engines") == 0 && value >= 1 && value <= SIM_ENGINES_MAX)
    o->n_engines = (uint32_t)value;
  else if (strcmp (key, "minutes") == 0 && value > 0)
    o->duration_ms = value * 60000;
  else if (strcmp (key, "capacity") == 0 && value > 0)
    o->capacity = value;
  else if (strcmp (key, "deadlines") == 0)
    o->deadlines = value != 0;
  else if (strcmp (key, "reports") == 0)
    o->reports = value != 0;
  else if (strcmp (key, "digest_ms") == 0 && value > 0)
    o->digest_ms = (uint32_t)value;
  else if (strcmp (key, "report_ms") == 0 && value > 0)
    o->report_ms = (uint32_t)value;
  else if (strcmp (key, "cache_tokens") == 0 && value > 0)
    o->engine.cache_tokens = (uint64_t)value;
  else if (strcmp (key, "batch_max") == 0 && value >= 1)
    o->engine.batch_max = (uint32_t)value;
  else if (strcmp (key, "step_base_ms") == 0 && value > 0)
    o->engine.step_base_ms = value;
  else if (strcmp (key, "step_call_ms") == 0 && value >= 0)
    o->engine.step_call_ms = value;
  else if (strcmp (key, "prefill_us_per_token") == 0 && value > 0)
    o->engine.prefill_us_per_token = value;
  else
    return false;
  return true;
}

static int
scenario_key (void *data, const char *section, const char *key, const char *value)
{
  struct SimOptions *options = data;
  char *end;
  double number = strtod (value, &end);

  if (strcmp (section, "scenario") != 0)
    return 0;
  if (end != value && *end == '\0')
    return scenario_set_number (options, key, number);
  return scenario_set_name (options, key, value);
}

int
sim_scenario_load (struct SimOptions *options, const char *file)
{
  const char *name = strrchr (file, '/');
  int line;

  if (!sim_scenario (options, "scarce"))
    return -1;
  line = ini_parse (file, scenario_key, options);
  name = name != NULL ? name + 1 : file;
  memset (options->scenario, 0, sizeof options->scenario);
  strncpy (options->scenario, name, sizeof options->scenario - 1);
  return line;
}
