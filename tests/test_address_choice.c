#include "test_main.h"

#include <buckthornhead/scheduling/address_choice.h>

#include <stdio.h>
#include <string.h>

enum
{
  N = 6
};

static const char *const names[N] = { "n0", "n1", "n2", "f0", "f1", "f2" };

/* Three gateways in the caller's zone, three in another. */
static void
fill_candidates (struct AddressCandidate candidates[N])
{
  for (size_t i = 0; i < N; i++)
    candidates[i] = (struct AddressCandidate){ names[i], i < 3, false };
}

static bool
is_chosen (const struct AddressCandidate *candidates, size_t n, const char *name)
{
  const char *addresses[ADDRESSES_MAX];
  size_t n_chosen = address_list_select (candidates, n, "10.0.0.1", addresses);

  for (size_t i = 0; i < n_chosen; i++)
    if (strcmp (addresses[i], name) == 0)
      return true;
  return false;
}

/* A session's turns, and the history that each of them needs, stay in one zone. */
static void
test_callers_get_gateways_of_their_zone (void)
{
  struct AddressCandidate candidates[N];

  fill_candidates (candidates);
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n0"));
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n2"));
  CU_ASSERT_FALSE (is_chosen (candidates, N, "f0"));
  /* With a single gateway in its zone, a caller could lose all of its list at once. */
  candidates[1].in_zone = candidates[2].in_zone = false;
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n0"));
  CU_ASSERT_TRUE (is_chosen (candidates, N, "f0"));
}

/* Callers must not be sent to a slow gateway, where each step of a turn waits for half a second
 * while other gateways are idle. */
static void
test_callers_are_not_sent_to_an_overloaded_gateway (void)
{
  struct AddressCandidate candidates[N];

  fill_candidates (candidates);
  candidates[1].overloaded = true;
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n0"));
  CU_ASSERT_FALSE (is_chosen (candidates, N, "n1"));
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n2"));
}

/* When a burst overloads most gateways of a zone, the last one that is not overloaded must not
 * receive all callers. */
static void
test_the_last_one_does_not_get_all_callers (void)
{
  struct AddressCandidate candidates[N];

  fill_candidates (candidates);
  candidates[0].overloaded = candidates[1].overloaded = true;
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n0"));
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n1"));
  CU_ASSERT_TRUE (is_chosen (candidates, N, "n2"));
}

/* After a restart of the whole deployment the first gateway to respond saw two of its zone's 36
 * gateways, and callers sent to these received 503 for four seconds. */
static void
test_a_list_of_two_of_36_is_too_short (void)
{
  CU_ASSERT_TRUE (address_list_is_too_short (2, 36));
  CU_ASSERT_TRUE (address_list_is_too_short (17, 36));
  CU_ASSERT_FALSE (address_list_is_too_short (18, 36));
  CU_ASSERT_TRUE (address_list_is_too_short (0, 1));
  CU_ASSERT_FALSE (address_list_is_too_short (0, 0));
}

/* Simulates an instance that slows down and recovers: the overload flag changes once each way, and
 * doesn't flap around one value. */
static void
test_the_overload_flag_does_not_flap (void)
{
  struct LoopLag lag = { 0 };
  uint32_t n_changes = 0;

  for (int i = 0; i < 120; i++)
    {
      bool before = lag.overloaded;

      loop_lag_record (&lag, i < 20 ? 1 : i < 60 ? 60 + i % 3 * 20 : i < 80 ? 30 : 2);
      n_changes += lag.overloaded != before;
      if (i == 19)
        CU_ASSERT_FALSE (lag.overloaded);
      if (i == 40 || i == 70)
        CU_ASSERT_TRUE (lag.overloaded);
    }
  CU_ASSERT_FALSE (lag.overloaded);
  CU_ASSERT_EQUAL (n_changes, 2);
}

/* A process that was suspended for four seconds recovers within two. */
static void
test_the_lag_recovers_soon_after_one_pause (void)
{
  struct LoopLag lag = { 0 };

  loop_lag_record (&lag, 4000);
  CU_ASSERT_TRUE (lag.overloaded);
  for (int i = 0; i < 8; i++) /* two seconds */
    loop_lag_record (&lag, 1);
  CU_ASSERT_FALSE (lag.overloaded);
}

enum
{
  N_LARGE = 173,
  N_CALLERS = 400
};

static void
fill_large_zone (struct AddressCandidate candidates[N_LARGE], char texts[N_LARGE][32])
{
  for (uint32_t i = 0; i < N_LARGE; i++)
    {
      snprintf (texts[i], sizeof texts[i], "10.1.%u.%u:8149", i / 100, i % 100);
      candidates[i] = (struct AddressCandidate){ texts[i], true, false };
    }
}

static size_t
choose_for (const struct AddressCandidate *candidates,
            size_t n,
            uint32_t caller,
            const char *addresses[ADDRESSES_MAX])
{
  char text[32];

  snprintf (text, sizeof text, "10.9.%u.%u", caller / 200, caller % 200);
  return address_list_select (candidates, n, text, addresses);
}

/* A zone has 173 gateways and a caller uses 64 of them. If all callers got the same list, the other
 * 109 gateways would be idle. */
static void
test_all_gateways_of_a_large_zone_get_callers (void)
{
  struct AddressCandidate candidates[N_LARGE];
  char texts[N_LARGE][32];
  const char *addresses[ADDRESSES_MAX];
  uint32_t n_named[N_LARGE] = { 0 };

  fill_large_zone (candidates, texts);
  for (uint32_t c = 0; c < N_CALLERS; c++)
    {
      size_t n = choose_for (candidates, N_LARGE, c, addresses);

      CU_ASSERT_EQUAL (n, ADDRESSES_MAX);
      for (size_t i = 0; i < n; i++)
        for (uint32_t g = 0; g < N_LARGE; g++)
          n_named[g] += addresses[i] == candidates[g].address;
    }
  for (uint32_t g = 0; g < N_LARGE; g++)
    CU_ASSERT (n_named[g] * 2 > N_CALLERS * ADDRESSES_MAX / N_LARGE
               && n_named[g] < 2 * N_CALLERS * ADDRESSES_MAX / N_LARGE);
}

/* Callers close their connections to gateways that a new list omits: if the selection changed with
 * each list, a caller would lose most of its connections each time. */
static void
test_a_callers_list_is_stable (void)
{
  struct AddressCandidate candidates[N_LARGE], fewer[N_LARGE];
  char texts[N_LARGE][32];
  const char *before[ADDRESSES_MAX], *after[ADDRESSES_MAX];
  size_t n, n_same = 0;

  fill_large_zone (candidates, texts);
  n = choose_for (candidates, N_LARGE, 7, before);
  /* Removes the first of its gateways, and reverses the order of the others. */
  for (uint32_t i = 0, j = 0; i < N_LARGE; i++)
    if (candidates[N_LARGE - 1 - i].address != before[0])
      fewer[j++] = candidates[N_LARGE - 1 - i];
  CU_ASSERT_EQUAL (choose_for (fewer, N_LARGE - 1, 7, after), n);
  for (size_t i = 0; i < n; i++)
    for (size_t j = 0; j < n; j++)
      n_same += before[i] == after[j];
  CU_ASSERT_EQUAL (n_same, n - 1);
}

const char test_suite_name[] = "address_choice";
const struct TestCase test_cases[] = {
  { "callers get gateways of their zone", test_callers_get_gateways_of_their_zone },
  { "callers are not sent to an overloaded gateway",
    test_callers_are_not_sent_to_an_overloaded_gateway },
  { "the last one does not get all callers", test_the_last_one_does_not_get_all_callers },
  { "a list of two of 36 is too short", test_a_list_of_two_of_36_is_too_short },
  { "the overload flag does not flap", test_the_overload_flag_does_not_flap },
  { "the lag recovers soon after one pause", test_the_lag_recovers_soon_after_one_pause },
  { "all gateways of a large zone get callers", test_all_gateways_of_a_large_zone_get_callers },
  { "a caller's list is stable", test_a_callers_list_is_stable },
  { NULL, NULL },
};
