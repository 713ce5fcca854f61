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
      candidates[i].responsive = true;
      candidates[i].has_chain = false;
      candidates[i].in_zone = i == 3;
      archive_names_add (&set->members, candidates[i].name);
    }
}

/* Of five archives three must store a turn. An archive in the gateway's own zone must always be
 * among them, and the texts must not be sent to the others. */
static void
test_texts_are_sent_to_a_write_quorum_only (void)
{
  struct ArchiveCandidate candidates[N];
  struct ArchiveSet set;
  struct ArchiveNames names;

  fill (candidates, &set);
  archive_order_sort (candidates, N, "program");
  CU_ASSERT_STRING_EQUAL (candidates[0].name, "a3");
  names = archive_order_write_quorum (&set, TOLERATED, candidates, N);
  CU_ASSERT_EQUAL (names.n, 3);
  CU_ASSERT_TRUE (archive_set_is_written (&set, TOLERATED, &names));
  /* During a change a write needs a quorum of both sets. */
  set.stage = ARCHIVE_STAGE_STARTING;
  set.former.n = 0;
  for (int i = 0; i < N; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "b%d", i);
      archive_names_add (&set.former, name);
    }
  names = archive_order_write_quorum (&set, TOLERATED, candidates, N);
  CU_ASSERT_EQUAL (names.n, N);
}

/* The only archive in the gateway's zone is suspended: turns must not wait for it. */
static void
test_responsive_archives_come_first (void)
{
  struct ArchiveCandidate candidates[N];
  struct ArchiveSet set;

  fill (candidates, &set);
  candidates[3].responsive = false;
  archive_order_sort (candidates, N, "program");
  CU_ASSERT_STRING_EQUAL (candidates[N - 1].name, "a3");
}

/* Each turn of a conversation through several zones went to other archives, and no archive had all
 * of its turns. */
static void
test_a_turn_goes_to_the_archives_of_its_chain (void)
{
  struct ArchiveCandidate candidates[N];
  struct ArchiveSet set;

  fill (candidates, &set);
  candidates[0].has_chain = true;
  candidates[1].has_chain = true;
  candidates[4].has_chain = true;
  candidates[4].responsive = false;
  archive_order_sort (candidates, N, "program");
  CU_ASSERT_TRUE (candidates[0].has_chain && candidates[1].has_chain);
  CU_ASSERT_STRING_EQUAL (candidates[2].name, "a3");
  CU_ASSERT_STRING_EQUAL (candidates[N - 1].name, "a4");
}

/* Two gateways of a zone without an archive serve the turns of one program: they must order the
 * archives the same way, so that one queries the archive to which the other has written. Programs
 * must be spread evenly over the archives. */
static void
test_order_of_a_program_is_the_same_everywhere (void)
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
      first[3].in_zone = false;
      second[3].in_zone = false;
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

/* A fleet starts with five archives in each of two zones and forms a set of three. When all of them
 * tried to join at once, their writes conflicted, and all three members could be in one zone: turn
 * texts of the other zone crossed zones, and the loss of that zone lost all members. */
static void
test_the_first_set_spreads_over_zones (void)
{
  const struct ArchiveFirst near = { "a", 1 }, later = { "a", 2 }, far = { "b", 9 };
  const char *const zones[] = { "a" };

  CU_ASSERT_TRUE (archive_first_precedes (&near, &later, NULL, 0));
  CU_ASSERT_FALSE (archive_first_precedes (&later, &near, NULL, 0));
  CU_ASSERT_TRUE (archive_first_precedes (&near, &far, NULL, 0));
  CU_ASSERT_TRUE (archive_first_precedes (&far, &near, zones, 1));
  CU_ASSERT_FALSE (archive_first_precedes (&near, &far, zones, 1));
  CU_ASSERT_FALSE (archive_first_precedes (&far, &far, zones, 1));
}

const char test_suite_name[] = "archive_order";
const struct TestCase test_cases[] = {
  { "texts are sent to a write quorum only", test_texts_are_sent_to_a_write_quorum_only },
  { "responsive archives come first", test_responsive_archives_come_first },
  { "a turn goes to the archives of its chain", test_a_turn_goes_to_the_archives_of_its_chain },
  { "order of a program is the same everywhere", test_order_of_a_program_is_the_same_everywhere },
  { "the first set spreads over zones", test_the_first_set_spreads_over_zones },
  { NULL, NULL },
};
