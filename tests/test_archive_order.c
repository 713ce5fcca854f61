#include "test_main.h"

#include <buckthornhead/archive_order.h>

#include <stdio.h>
#include <string.h>

enum
{
  N = 5,
  TOLERATED = 2
};

static void
fill (struct ArchiveCandidate candidates[N], struct ArchiveSet *set)
{
  memset (set, 0, sizeof *set);
  set->generation = 7;
  for (int i = 0; i < N; i++)
    {
      snprintf (candidates[i].name, sizeof candidates[i].name, "a%d", i);
      candidates[i].answers = true;
      candidates[i].near = i == 3;
      archive_names_add (&set->members, candidates[i].name);
    }
}

/* Of five archives three must have a turn. One in the gateway's own zone is always among them, and
 * the texts are not sent to the others. */
static void
test_texts_go_to_no_more_than_must_have_them (void)
{
  struct ArchiveCandidate candidates[N];
  struct ArchiveSet set;
  struct ArchiveNames names;

  fill (candidates, &set);
  archive_order_sort (candidates, N, "program");
  CU_ASSERT_STRING_EQUAL (candidates[0].name, "a3");
  names = archive_order_write (&set, TOLERATED, candidates, N);
  CU_ASSERT_EQUAL (names.n, 3);
  CU_ASSERT_TRUE (archive_set_is_written (&set, TOLERATED, &names));
  /* During a change, enough of both sets. */
  set.stage = ARCHIVE_STAGE_STARTING;
  set.former.n = 0;
  for (int i = 0; i < N; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "b%d", i);
      archive_names_add (&set.former, name);
    }
  names = archive_order_write (&set, TOLERATED, candidates, N);
  CU_ASSERT_EQUAL (names.n, N);
}

/* An archive is suspended. It is the nearest one, but a turn must not wait for it. */
static void
test_those_that_answer_go_first (void)
{
  struct ArchiveCandidate candidates[N];
  struct ArchiveSet set;

  fill (candidates, &set);
  candidates[3].answers = false;
  archive_order_sort (candidates, N, "program");
  CU_ASSERT_STRING_EQUAL (candidates[N - 1].name, "a3");
}

/* Two gateways of a zone without an archive serve the turns of one program. What one stores, the
 * other asks for at the same archive; other programs go to others, so that all carry the same. */
static void
test_one_program_has_one_order (void)
{
  struct ArchiveCandidate first[N], second[N];
  struct ArchiveSet set;
  uint32_t n_first[N] = { 0 };

  for (int p = 0; p < 500; p++)
    {
      char program[16];

      snprintf (program, sizeof program, "p%d", p);
      fill (first, &set);
      fill (second, &set);
      first[3].near = false;
      second[3].near = false;
      second[0] = first[4];
      second[4] = first[0];
      archive_order_sort (first, N, program);
      archive_order_sort (second, N, program);
      for (int i = 0; i < N; i++)
        CU_ASSERT_STRING_EQUAL (first[i].name, second[i].name);
      n_first[first[0].name[1] - '0']++;
    }
  for (int i = 0; i < N; i++)
    CU_ASSERT (n_first[i] > 60 && n_first[i] < 140);
}

/* A fleet starts with five archives in each of two zones and a set of three to be found. All that
 * tried at once wrote over each other, and the three could all stand in one zone: each turn's text
 * then crossed to it, and its loss was the loss of all. */
static void
test_the_first_set_spreads_over_zones (void)
{
  const struct ArchiveFirst near = { "a", 1 }, later = { "a", 2 }, far = { "b", 9 };
  const char *const zones[] = { "a" };

  CU_ASSERT_TRUE (archive_first_before (&near, &later, NULL, 0));
  CU_ASSERT_FALSE (archive_first_before (&later, &near, NULL, 0));
  CU_ASSERT_TRUE (archive_first_before (&near, &far, NULL, 0));
  CU_ASSERT_TRUE (archive_first_before (&far, &near, zones, 1));
  CU_ASSERT_FALSE (archive_first_before (&near, &far, zones, 1));
  CU_ASSERT_FALSE (archive_first_before (&far, &far, zones, 1));
}

const char test_suite_name[] = "archive_order";
const struct TestCase test_cases[] = {
  { "texts go to no more than must have them", test_texts_go_to_no_more_than_must_have_them },
  { "those that answer go first", test_those_that_answer_go_first },
  { "one program has one order", test_one_program_has_one_order },
  { "the first set spreads over zones", test_the_first_set_spreads_over_zones },
  { NULL, NULL },
};
