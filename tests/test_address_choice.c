#include "test_main.h"

#include <buckthornhead/scheduling/address_choice.h>

#include <stdio.h>
#include <string.h>

enum
{
  N = 6
};

static const char *const names[N] = { "n0", "n1", "n2", "f0", "f1", "f2" };

/* Three in the caller's zone, three in another. */
static void
fill (struct AddressCandidate candidates[N])
{
  for (size_t i = 0; i < N; i++)
    candidates[i] = (struct AddressCandidate){ names[i], i < 3, false };
}

static bool
chosen (const struct AddressCandidate *candidates, size_t n, const char *name)
{
  const char *addresses[ADDRESSES_MAX];
  size_t n_chosen = address_choose (candidates, n, "10.0.0.1", addresses);

  for (size_t i = 0; i < n_chosen; i++)
    if (strcmp (addresses[i], name) == 0)
      return true;
  return false;
}

/* A session's turns stay in one zone, and so does the history that each of them needs. */
static void
test_callers_get_gateways_of_their_zone (void)
{
  struct AddressCandidate candidates[N];

  fill (candidates);
  CU_ASSERT_TRUE (chosen (candidates, N, "n0"));
  CU_ASSERT_TRUE (chosen (candidates, N, "n2"));
  CU_ASSERT_FALSE (chosen (candidates, N, "f0"));
  /* One alone could be lost, and the caller with it. */
  candidates[1].near = candidates[2].near = false;
  CU_ASSERT_TRUE (chosen (candidates, N, "n0"));
  CU_ASSERT_TRUE (chosen (candidates, N, "f0"));
}

/* One machine turns slow. Its callers wait half a second at each step of a turn while its
 * neighbours idle; who asks for addresses now goes there. */
static void
test_callers_are_not_sent_to_a_strained_gateway (void)
{
  struct AddressCandidate candidates[N];

  fill (candidates);
  candidates[1].strained = true;
  CU_ASSERT_TRUE (chosen (candidates, N, "n0"));
  CU_ASSERT_FALSE (chosen (candidates, N, "n1"));
  CU_ASSERT_TRUE (chosen (candidates, N, "n2"));
}

/* A burst strains most gateways of a zone. The one that is not would get the callers of all: they
 * stay where they are. */
static void
test_the_last_one_is_not_given_everybody (void)
{
  struct AddressCandidate candidates[N];

  fill (candidates);
  candidates[0].strained = candidates[1].strained = true;
  CU_ASSERT_TRUE (chosen (candidates, N, "n0"));
  CU_ASSERT_TRUE (chosen (candidates, N, "n1"));
  CU_ASSERT_TRUE (chosen (candidates, N, "n2"));
}

/* Everything stops and starts again. The first gateway that answers knows of two of its zone's 36;
 * callers who were sent there had four seconds of 503. */
static void
test_a_list_of_two_of_36_is_thin (void)
{
  CU_ASSERT_TRUE (address_list_is_thin (2, 36));
  CU_ASSERT_TRUE (address_list_is_thin (17, 36));
  CU_ASSERT_FALSE (address_list_is_thin (18, 36));
  CU_ASSERT_TRUE (address_list_is_thin (0, 1));
  CU_ASSERT_FALSE (address_list_is_thin (0, 0));
}

/* Plays a machine that gets slower and recovers: strained when a turn would wait for its objective,
 * and not again and again around one value. */
static void
test_strain_begins_and_ends_once (void)
{
  struct LoopLag lag = { 0 };
  uint32_t n_changes = 0;

  for (int i = 0; i < 120; i++)
    {
      bool before = lag.strained;

      loop_lag_note (&lag, i < 20 ? 1 : i < 60 ? 60 + i % 3 * 20 : i < 80 ? 30 : 2);
      n_changes += lag.strained != before;
      if (i == 19)
        CU_ASSERT_FALSE (lag.strained);
      if (i == 40 || i == 70)
        CU_ASSERT_TRUE (lag.strained);
    }
  CU_ASSERT_FALSE (lag.strained);
  CU_ASSERT_EQUAL (n_changes, 2);
}

/* A process that was frozen for four seconds is itself again within two. */
static void
test_one_pause_is_forgotten_soon (void)
{
  struct LoopLag lag = { 0 };

  loop_lag_note (&lag, 4000);
  CU_ASSERT_TRUE (lag.strained);
  for (int i = 0; i < 8; i++) /* two seconds */
    loop_lag_note (&lag, 1);
  CU_ASSERT_FALSE (lag.strained);
}

enum
{
  N_LARGE = 173,
  N_CALLERS = 400
};

static void
fill_large (struct AddressCandidate candidates[N_LARGE], char texts[N_LARGE][32])
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
  return address_choose (candidates, n, text, addresses);
}

/* A zone has 173 gateways and a caller uses 64. All were given the same ones, and the other 109
 * idled. */
static void
test_all_gateways_of_a_large_zone_get_callers (void)
{
  struct AddressCandidate candidates[N_LARGE];
  char texts[N_LARGE][32];
  const char *addresses[ADDRESSES_MAX];
  uint32_t n_named[N_LARGE] = { 0 };

  fill_large (candidates, texts);
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

/* Callers close their connections to gateways that a new list lacks: with other ones in each list,
 * every answer would cost a caller most of its connections. */
static void
test_a_callers_list_stays_as_it_is (void)
{
  struct AddressCandidate candidates[N_LARGE], fewer[N_LARGE];
  char texts[N_LARGE][32];
  const char *before[ADDRESSES_MAX], *after[ADDRESSES_MAX];
  size_t n, n_same = 0;

  fill_large (candidates, texts);
  n = choose_for (candidates, N_LARGE, 7, before);
  /* The first of its gateways leaves, and the others come in another order. */
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
  { "callers are not sent to a strained gateway", test_callers_are_not_sent_to_a_strained_gateway },
  { "the last one is not given everybody", test_the_last_one_is_not_given_everybody },
  { "a list of two of 36 is thin", test_a_list_of_two_of_36_is_thin },
  { "strain begins and ends once", test_strain_begins_and_ends_once },
  { "one pause is forgotten soon", test_one_pause_is_forgotten_soon },
  { "all gateways of a large zone get callers", test_all_gateways_of_a_large_zone_get_callers },
  { "a caller's list stays as it is", test_a_callers_list_stays_as_it_is },
  { NULL, NULL },
};
