/* Settings and profiles: any text is valid or gives faults with a line, a message, and a remedy. */
#include "fuzz.h"

#include <buckthornhead/config_key.h>
#include <buckthornhead/settings.h>

#include <string.h>

static void
check_faults (const struct ConfigFaults *faults, int32_t error)
{
  FUZZ_REQUIRE ((error == ERROR_NONE) == (faults->n_items == 0));
  for (size_t i = 0; i < faults->n_items; i++)
    {
      FUZZ_REQUIRE (faults->items[i].line > 0);
      FUZZ_REQUIRE (faults->items[i].message[0] != '\0');
      FUZZ_REQUIRE (faults->items[i].remedy[0] != '\0');
      FUZZ_REQUIRE (i == 0 || faults->items[i - 1].line <= faults->items[i].line);
    }
}

static void
check_profile (TALLOC_CTX *ctx, const char *text)
{
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
  struct Profile profile;
  int32_t error = profile_parse ("fuzz.ini", text, &profile, faults);

  check_faults (faults, error);
  if (error != ERROR_NONE)
    return;
  FUZZ_REQUIRE (config_name_is_valid (profile.name));
  FUZZ_REQUIRE (profile.weights.share >= 1 && profile.weights.share <= 1000);
  FUZZ_REQUIRE (profile.weights.cache_weight_permille <= 1000);
  FUZZ_REQUIRE (profile.reserve_tokens_max <= profile.program_budget_tokens);
}

static void
check_settings (TALLOC_CTX *ctx, const char *text)
{
  struct ConfigFaults *faults = talloc_zero (ctx, struct ConfigFaults);
  struct Settings *settings;
  int32_t error = settings_parse (ctx, "fuzz.ini", text, &settings, faults);
  char ip[46];
  uint16_t port;

  check_faults (faults, error);
  FUZZ_REQUIRE ((settings != NULL) == (error == ERROR_NONE));
  if (settings == NULL)
    return;
  FUZZ_REQUIRE (config_name_is_valid (settings->instance));
  FUZZ_REQUIRE (strcmp (settings->caller_listen, settings->peer_listen) != 0);
  FUZZ_REQUIRE (settings->partition_group_size <= settings->n_partitions);
  for (size_t i = 0; i < settings->n_backends; i++)
    FUZZ_REQUIRE (address_parse (settings->backends[i].address, ip, &port) == ERROR_NONE);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n_bytes)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *text = talloc_strndup (ctx, (const char *)data, n_bytes);

  /* Skipped: this key names a file that the parser reads, which could be any file of the host. */
  if (strstr (text, "operator_token_file") == NULL)
    check_settings (ctx, text);
  check_profile (ctx, text);
  talloc_free (ctx);
  return 0;
}
