#include "test_main.h"

#include <buckthornhead/config_key.h>
#include <buckthornhead/settings.h>
#include <buckthornhead/units.h>

#include <string.h>

struct BadProfile
{
  const char *text;
  const char *faults;
};

static const struct BadProfile bad_profiles[] = {
  { "", "p.ini:1: [profile] name: the key is missing; add it\n" },
  { "[profile]\nname = night export\n",
    "p.ini:2: [profile] name: 'night export' is not a valid name; use 1 to 64 letters, digits, "
    "'-', '_' and '.'\n" },
  { "[profile]\nname = a\nrule = fastest\n",
    "p.ini:3: [profile] rule: 'fastest' is not a valid choice; write one of: round-robin "
    "least-reported sticky fifo attained program\n" },
  { "[profile]\nname = a\nageing = 30\n",
    "p.ini:3: [profile] ageing: '30' is not a number or has an invalid unit; write a whole number "
    "with a unit ms, s, m or h\n" },
  { "[profile]\nname = a\ncache_weight = 1001\nshare = 0\n",
    "p.ini:3: [profile] cache_weight: '1001' is out of range; use a value from 0 to 1000\n"
    "p.ini:4: [profile] share: '0' is out of range; use a value from 1 to 1000\n" },
  { "[profile]\nname = a\nprogram_deadline = 1500ms\n",
    "p.ini:3: [profile] program_deadline: '1500ms' is not a whole number of seconds; write whole "
    "seconds\n" },
  { "[profile]\nname = a\nprogram_budget = 4K\n",
    "p.ini:1: [profile] reserve_max: one call may reserve more than the program's budget; "
    "lower it, or raise program_budget\n" },
  { "[profile]\nname = a\nprogram_budget = 4K\nshare = 0\n",
    "p.ini:1: [profile] reserve_max: one call may reserve more than the program's budget; "
    "lower it, or raise program_budget\n"
    "p.ini:4: [profile] share: '0' is out of range; use a value from 1 to 1000\n" },
  { "[profile]\nname = a\nname = b\nturn_limit = 18446744073709551616\n",
    "p.ini:3: [profile] name: the key is already set on line 2; keep only one of them\n"
    "p.ini:4: [profile] turn_limit: '18446744073709551616' is not a number or has an invalid unit; "
    "write a whole number without a unit\n" },
  { "[service]\nname = a\n", "p.ini:1: [service]: the section is not known; use one of: [profile]\n"
                             "p.ini:1: [profile] name: the key is missing; add it\n" },
};

static void
test_invalid_profiles_report_their_faults (void)
{
  for (size_t i = 0; i < sizeof bad_profiles / sizeof bad_profiles[0]; i++)
    {
      struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
      struct Profile profile;

      CU_ASSERT_EQUAL (profile_parse ("p.ini", bad_profiles[i].text, &profile, faults),
                       ERROR_INVALID);
      CU_ASSERT_STRING_EQUAL (config_faults_render (faults, faults), bad_profiles[i].faults);
      talloc_free (faults);
    }
}

/* A client sends a profile of 100,000 malformed lines. Storing a fault for each would exhaust the
 * instance's memory; only the first 1000 are stored. */
static void
test_faults_are_bounded (void)
{
  struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
  char *text = talloc_array (faults, char, 200001);
  struct Profile profile;

  for (size_t i = 0; i < 200000; i += 2)
    memcpy (text + i, "x\n", 2);
  text[200000] = '\0';
  CU_ASSERT_EQUAL (profile_parse ("p.ini", text, &profile, faults), ERROR_INVALID);
  CU_ASSERT_EQUAL (faults->n_items, 1000);
  talloc_free (faults);
}

static void
test_profile_has_values_and_defaults (void)
{
  static const char text[] = "[profile]\nname = hiring ; the dawn calls\n  rule = attained\n"
                             "ageing: 1500ms\nprogram_budget = 2M\nprogram_deadline = 2h\n";
  struct Profile profile;

  CU_ASSERT_EQUAL (profile_parse ("p.ini", text, &profile, NULL), ERROR_NONE);
  CU_ASSERT_STRING_EQUAL (profile.name, "hiring");
  CU_ASSERT_EQUAL (profile.weights.rule, POLICY_ATTAINED);
  CU_ASSERT_EQUAL (profile.weights.ageing_ms, 1500);
  CU_ASSERT_EQUAL (profile.weights.cache_weight_permille, 500);
  CU_ASSERT_EQUAL (profile.program_budget_tokens, 2000000);
  CU_ASSERT_EQUAL (profile.program_deadline_s, 7200);
  CU_ASSERT_EQUAL (profile.reserve_tokens_max, 8000);
  CU_ASSERT_EQUAL (profile_parse ("p.ini", "[profile]\n", &profile, NULL), ERROR_INVALID);
}

static void
test_sample_profiles_are_valid (void)
{
  static const char *const names[] = { "hiring", "menu", "night-export" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      struct ConfigFaults *faults = talloc_zero (NULL, struct ConfigFaults);
      char *file = talloc_asprintf (faults, "%s/examples/%s.ini", SOURCE_FOLDER, names[i]);
      char *text = config_file_read (faults, file, faults);
      struct Profile profile;

      CU_ASSERT_PTR_NOT_NULL (text);
      CU_ASSERT_EQUAL (profile_parse (file, text != NULL ? text : "", &profile, faults),
                       ERROR_NONE);
      CU_ASSERT_STRING_EQUAL (profile.name, names[i]);
      talloc_free (faults);
    }
}

static void
test_units_round_trip (void)
{
  static const struct
  {
    enum Unit unit;
    const char *text;
    uint64_t value;
  } cases[] = {
    { UNIT_TIME, "90s", 90000 },   { UNIT_TIME, "2m", 120000 },  { UNIT_TIME, "250ms", 250 },
    { UNIT_TIME, "0ms", 0 },       { UNIT_BYTES, "16K", 16384 }, { UNIT_TOKENS, "16K", 16000 },
    { UNIT_TOKENS, "1001", 1001 }, { UNIT_NONE, "7", 7 },
  };
  static const char *const bad[] = { "", "s", "-1s", "1.5s", "1 s", "1S", "s1", "0x1s" };
  char text[UNITS_TEXT_BYTES];
  uint64_t value;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      CU_ASSERT_EQUAL (units_parse (cases[i].unit, cases[i].text, &value), ERROR_NONE);
      CU_ASSERT_EQUAL (value, cases[i].value);
      units_render (cases[i].unit, value, text);
      CU_ASSERT_STRING_EQUAL (text, cases[i].text);
    }
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (units_parse (UNIT_TIME, bad[i], &value), ERROR_INVALID);
  CU_ASSERT_EQUAL (units_parse (UNIT_TIME, "18446744073709551615h", &value), ERROR_INVALID);
}

const char test_suite_name[] = "profile";
const struct TestCase test_cases[] = {
  { "invalid profiles report their faults", test_invalid_profiles_report_their_faults },
  { "faults are bounded", test_faults_are_bounded },
  { "profile has values and defaults", test_profile_has_values_and_defaults },
  { "sample profiles are valid", test_sample_profiles_are_valid },
  { "units round trip", test_units_round_trip },
  { NULL, NULL },
};
