#include <buckthornhead/config_key.h>

#include <string.h>

enum
{
  MINUTE_MS = 60 * 1000,
  HOUR_MS = 60 * MINUTE_MS,
  DAY_S = 24 * 3600
};

static const struct ConfigChoice rules[] = {
  { "round-robin", POLICY_ROUND_ROBIN },
  { "least-reported", POLICY_LEAST_REPORTED },
  { "sticky", POLICY_STICKY },
  { "fifo", POLICY_FIFO },
  { "attained", POLICY_ATTAINED },
  { "program", POLICY_PROGRAM },
  { NULL, 0 },
};

#define NUMBER(name, field, fallback, unit, min, max)                                              \
  {                                                                                                \
    name, CONFIG_VALUE_NUMBER, CONFIG_FIELD (struct Profile, field), fallback, unit, min, max,     \
        NULL                                                                                       \
  }

static const struct ConfigKey keys[] = {
  { "name", CONFIG_VALUE_NAME, CONFIG_FIELD (struct Profile, name), NULL, UNIT_NONE, 0, 0, NULL },
  { "rule", CONFIG_VALUE_CHOICE, CONFIG_FIELD (struct Profile, weights.rule), "program", UNIT_NONE,
    0, 0, rules },
  NUMBER ("cache_weight", weights.cache_weight_permille, "500", UNIT_NONE, 0, 1000),
  NUMBER ("ageing", weights.ageing_ms, "30s", UNIT_TIME, 10, HOUR_MS),
  NUMBER ("share", weights.share, "100", UNIT_NONE, 1, 1000),
  NUMBER ("queue_limit", weights.queue_limit, "256", UNIT_NONE, 1, 100000),
  NUMBER ("retry_budget", weights.retry_budget_permille, "100", UNIT_NONE, 0, 1000),
  NUMBER ("pause_keep", weights.pause_keep_ms, "60s", UNIT_TIME, 0, HOUR_MS),
  NUMBER ("program_budget", program_budget_tokens, "500K", UNIT_TOKENS, 1, 1000000000),
  NUMBER ("turn_limit", turn_limit, "200", UNIT_NONE, 1, 100000),
  { "program_deadline", CONFIG_VALUE_SECONDS, CONFIG_FIELD (struct Profile, program_deadline_s),
    "0s", UNIT_TIME, 0, 7 * DAY_S, NULL },
  NUMBER ("call_timeout", call_timeout_ms, "120s", UNIT_TIME, 100, 24 * HOUR_MS),
  NUMBER ("reserve_max", reserve_tokens_max, "8K", UNIT_TOKENS, 1, 10000000),
};

static const struct ConfigSection sections[] = {
  { "profile", false, keys, sizeof keys / sizeof keys[0] },
};

static void *
open_profile (void *data,
              struct ConfigReader *reader,
              const struct ConfigSection *section,
              const char *name,
              uint32_t line)
{
  (void)reader;
  (void)section;
  (void)name;
  (void)line;
  return data;
}

/* A call reserves tokens from the program's budget, so a larger reservation would never fit. */
static void
check_reservation (struct ConfigReader *reader, const struct Profile *profile)
{
  if (profile->reserve_tokens_max <= profile->program_budget_tokens)
    return;
  config_faults_add (reader->faults, reader->file,
                     config_reader_line (reader, "profile", "reserve_max"), "[profile] reserve_max",
                     "lower it, or raise program_budget",
                     "one call may reserve more than the program's budget");
}

int32_t
profile_parse (const char *file,
               const char *text,
               struct Profile *profile,
               struct ConfigFaults *faults)
{
  struct ConfigFaults *found = faults != NULL ? faults : talloc_zero (NULL, struct ConfigFaults);
  struct ConfigReader reader = {
    .file = file,
    .sections = sections,
    .n_sections = sizeof sections / sizeof sections[0],
    .open = open_profile,
    .data = profile,
    .faults = found,
  };
  size_t n_before;
  int32_t error;

  if (found == NULL)
    return ERROR_NO_MEMORY;
  n_before = found->n_items;
  memset (profile, 0, sizeof *profile);
  config_read (&reader, text);
  check_reservation (&reader, profile);
  config_faults_sort (found);
  error = found->n_items > n_before ? ERROR_INVALID : ERROR_NONE;
  if (faults == NULL)
    talloc_free (found);
  return error;
}
