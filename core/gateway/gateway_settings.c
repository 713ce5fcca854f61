#include <buckthornhead/gateway_settings.h>

#include <buckthornhead/config_key.h>

#include <string.h>

#define TEXT(name, kind, field, fallback)                                                          \
  {                                                                                                \
    name, kind, CONFIG_FIELD (struct GatewaySettings, field), fallback, UNIT_NONE, 0, 0, NULL      \
  }
#define NUMBER(name, kind, field, fallback, unit, min, max)                                        \
  {                                                                                                \
    name, kind, CONFIG_FIELD (struct GatewaySettings, field), fallback, unit, min, max, NULL       \
  }
#define SECTION(name, keys)                                                                        \
  {                                                                                                \
    name, false, keys, sizeof (keys) / sizeof (keys)[0]                                            \
  }

enum
{
  MINUTE_MS = 60 * 1000
};

#define HELD_MAX_BYTES (UINT64_C (1) << 40)

static const struct ConfigKey instance_keys[] = {
  TEXT ("name", CONFIG_VALUE_NAME, instance, NULL),
  TEXT ("zone", CONFIG_VALUE_NAME, zone, NULL),
  TEXT ("data_folder", CONFIG_VALUE_TEXT, data_folder, ""),
};

static const struct ConfigKey listen_keys[] = {
  TEXT ("caller", CONFIG_VALUE_ADDRESS, caller_listen, ""),
  TEXT ("ready", CONFIG_VALUE_ADDRESS, ready_listen, ""),
  TEXT ("directory", CONFIG_VALUE_ADDRESS, directory_listen, ""),
  TEXT ("metrics", CONFIG_VALUE_ADDRESS, metrics_listen, ""),
  TEXT ("peer", CONFIG_VALUE_ADDRESS, peer_listen, NULL),
  TEXT ("announce", CONFIG_VALUE_ADDRESS, announce, ""),
};

static const struct ConfigKey platform_keys[] = {
  TEXT ("store", CONFIG_VALUE_URL, store_url, NULL),
  TEXT ("prefix", CONFIG_VALUE_TEXT, prefix, "buckthornhead/"),
  TEXT ("features", CONFIG_VALUE_TEXT, platform_features, ""),
  NUMBER (
      "change_in_force", CONFIG_VALUE_NUMBER, change_in_force_ms, "2s", UNIT_TIME, 500, MINUTE_MS),
};

static const struct ConfigKey membership_keys[] = {
  TEXT ("seeds", CONFIG_VALUE_TEXT, seeds, ""),
  NUMBER ("seed_port", CONFIG_VALUE_NUMBER, seed_port, "0", UNIT_NONE, 0, UINT16_MAX),
};

static const struct ConfigChoice true_false[] = {
  { "true", 1 },
  { "false", 0 },
  { NULL, 0 },
};

static const struct ConfigKey archive_keys[] = {
  { "first_start", CONFIG_VALUE_CHOICE, CONFIG_FIELD (struct GatewaySettings, first_start), "false",
    UNIT_NONE, 0, 0, true_false },
  NUMBER ("tolerated", CONFIG_VALUE_NUMBER, tolerated, "1", UNIT_NONE, 0, 16),
  NUMBER ("longest_retention",
          CONFIG_VALUE_NUMBER,
          longest_retention_ms,
          "10m",
          UNIT_TIME,
          1000,
          7 * 24 * 60 * MINUTE_MS),
};

static const struct ConfigKey stop_keys[] = {
  NUMBER ("grace", CONFIG_VALUE_NUMBER, grace_ms, "8s", UNIT_TIME, 100, 60 * MINUTE_MS),
};

static const struct ConfigKey directory_keys[] = {
  NUMBER ("keep", CONFIG_VALUE_SECONDS, keep_s, "2s", UNIT_TIME, 1, 3600),
};

static const struct ConfigKey limit_keys[] = {
  NUMBER ("connections", CONFIG_VALUE_NUMBER, connections_max, "2000", UNIT_NONE, 8, 100000),
  NUMBER (
      "held_memory", CONFIG_VALUE_NUMBER, held_memory_bytes, "0", UNIT_BYTES, 0, HELD_MAX_BYTES),
};

static const struct ConfigChoice quota_sharings[] = {
  { "counts", QUOTA_BY_REPORTS },
  { "equal_parts", QUOTA_BY_EQUAL_SHARES },
  { "leases", QUOTA_BY_LEASES },
  { NULL, 0 },
};

static const struct ConfigKey quota_keys[] = {
  NUMBER ("window", CONFIG_VALUE_NUMBER, quota_window_ms, "5s", UNIT_TIME, 1000, 60 * MINUTE_MS),
  NUMBER ("slack", CONFIG_VALUE_NUMBER, quota_slack, "20", UNIT_NONE, 0, 1000000),
  { "sharing", CONFIG_VALUE_CHOICE, CONFIG_FIELD (struct GatewaySettings, quota_sharing), "counts",
    UNIT_NONE, 0, 0, quota_sharings },
};

static const struct ConfigChoice on_off[] = {
  { "on", 1 },
  { "off", 0 },
  { NULL, 0 },
};

static const struct ConfigKey quarantine_keys[] = {
  { "crashing_requests", CONFIG_VALUE_CHOICE, CONFIG_FIELD (struct GatewaySettings, quarantine),
    "on", UNIT_NONE, 0, 0, on_off },
};

#define SWITCH(name)                                                                               \
  {                                                                                                \
#name, CONFIG_VALUE_CHOICE, CONFIG_FIELD(struct GatewaySettings, decisions.name), "on",        \
        UNIT_NONE, 0, 0, on_off                                                                    \
  }

#define MODE(name)                                                                                 \
  {                                                                                                \
#name, CONFIG_VALUE_CHOICE, CONFIG_FIELD(struct GatewaySettings, decisions.name), "off",       \
        UNIT_NONE, 0, 0, decision_modes                                                            \
  }

static const struct ConfigChoice decision_modes[] = {
  { "off", DECISION_OFF },
  { "on", DECISION_ON },
  { "auto", DECISION_AUTO },
  { NULL, 0 },
};

static const struct ConfigKey decision_keys[] = {
  SWITCH (sessions), SWITCH (parts), SWITCH (objects),    SWITCH (zones),  SWITCH (failures),
  SWITCH (owners),   SWITCH (order), SWITCH (patience),   SWITCH (resume), SWITCH (under_way),
  MODE (admission),  MODE (pace),    MODE (plain_queues),
};

static const struct ConfigSection sections[] = {
  SECTION ("instance", instance_keys),   SECTION ("listen", listen_keys),
  SECTION ("platform", platform_keys),   SECTION ("membership", membership_keys),
  SECTION ("archives", archive_keys),    SECTION ("stop", stop_keys),
  SECTION ("directory", directory_keys), SECTION ("limits", limit_keys),
  SECTION ("quota", quota_keys),         SECTION ("quarantine", quarantine_keys),
  SECTION ("decisions", decision_keys),
};

_Static_assert(sizeof sections / sizeof sections[0] <= CONFIG_SECTIONS_MAX,
               "the reader keeps the lines of CONFIG_SECTIONS_MAX sections");

static void *
open_section (void *data,
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

/* Checks that the process is either a gateway, which listens for callers, or an archive, which has
 * a data folder. */
static void
check_role (struct ConfigReader *reader, const struct GatewaySettings *settings)
{
  bool serves = settings->caller_listen[0] != '\0';
  bool stores = settings->data_folder[0] != '\0';

  if (serves != stores)
    return;
  config_faults_add (reader->faults, reader->file, config_reader_line (reader, "listen", "caller"),
                     "[listen] caller",
                     "give [listen] caller for a gateway, [instance] data_folder for an archive",
                     serves ? "a gateway with a data folder" : "neither a gateway nor an archive");
}

int32_t
gateway_settings_parse (TALLOC_CTX *ctx,
                        const char *file,
                        const char *text,
                        struct GatewaySettings **settings,
                        struct ConfigFaults *faults)
{
  struct GatewaySettings *s = talloc_zero (ctx, struct GatewaySettings);
  struct ConfigReader reader = {
    .file = file,
    .sections = sections,
    .n_sections = sizeof sections / sizeof sections[0],
    .open = open_section,
    .data = s,
    .faults = faults,
  };
  size_t n_before = faults->n_items;

  *settings = NULL;
  if (s == NULL)
    return ERROR_NO_MEMORY;
  config_read (&reader, text);
  check_role (&reader, s);
  config_faults_sort (faults);
  if (faults->n_items > n_before)
    {
      talloc_free (s);
      return ERROR_INVALID;
    }
  *settings = s;
  return ERROR_NONE;
}

int32_t
gateway_settings_load (TALLOC_CTX *ctx,
                       const char *file,
                       struct GatewaySettings **settings,
                       struct ConfigFaults *faults)
{
  char *text = config_file_read (ctx, file, faults);
  int32_t error;

  *settings = NULL;
  if (text == NULL)
    return ERROR_INVALID;
  error = gateway_settings_parse (ctx, file, text, settings, faults);
  talloc_free (text);
  return error;
}
