#include "test_main.h"

#include <buckthornhead/archive_set.h>
#include <buckthornhead/error.h>

#include <string.h>

enum
{
  TOLERATED = 1,
  N_ARCHIVES = 5
};

static const char *const all[N_ARCHIVES] = { "a", "b", "c", "d", "e" };

static struct ArchiveSet
set_of (uint32_t n)
{
  struct ArchiveSet set = { 0 };

  for (uint32_t i = 0; i < n; i++)
    set = archive_set_first (&set, all[i]);
  return set;
}

/* Bit i of mask: archive i is among them. */
static struct ArchiveNames
names_of (uint32_t mask)
{
  struct ArchiveNames names = { .n = 0 };

  for (uint32_t i = 0; i < N_ARCHIVES; i++)
    if (mask & 1u << i)
      archive_names_add (&names, all[i]);
  return names;
}

static void
test_the_first_archives_make_the_set (void)
{
  struct ArchiveSet set = set_of (3);
  struct ArchiveNames two = names_of (3), one = names_of (1);

  CU_ASSERT_EQUAL (set.generation, 3);
  CU_ASSERT_TRUE (archive_set_is_written (&set, TOLERATED, &two));
  CU_ASSERT_TRUE (archive_set_is_read (&set, TOLERATED, &two));
  CU_ASSERT_FALSE (archive_set_is_written (&set, TOLERATED, &one));
  CU_ASSERT_FALSE (archive_set_is_read (&set, TOLERATED, &one));
}

/* Eleven machines have disks and two may be lost at once: five hold the turns, so that any three
 * can answer; the others stand by. */
static void
test_a_set_is_no_larger_than_it_need_be (void)
{
  CU_ASSERT_EQUAL (archive_set_wanted (1), 3);
  CU_ASSERT_EQUAL (archive_set_wanted (2), 5);
  CU_ASSERT_EQUAL (archive_set_wanted (0), 1);
}

/* Before any set is known nothing is certain: an empty answer must not read as "no such turn". */
static void
test_no_set_is_never_enough (void)
{
  struct ArchiveSet set = { 0 };
  struct ArchiveNames everyone = names_of (31);

  CU_ASSERT_FALSE (archive_set_is_written (&set, TOLERATED, &everyone));
  CU_ASSERT_FALSE (archive_set_is_read (&set, TOLERATED, &everyone));
  CU_ASSERT_FALSE (archive_set_is_copied (&set, TOLERATED, &everyone));
}

/* Gateways learn of a change at different moments. Whatever one of them got acknowledged under a
 * stage, another one that is in the same stage or the next one, either way round, must meet: by an
 * archive that was written to and is asked, the new one standing for all it has copied. */
static void
check_stages_meet (const struct ArchiveSet *writer, const struct ArchiveSet *reader)
{
  for (uint32_t w = 0; w < 1u << N_ARCHIVES; w++)
    for (uint32_t r = 0; r < 1u << N_ARCHIVES; r++)
      {
        struct ArchiveNames wrote = names_of (w), asked = names_of (r);

        if (archive_set_is_written (writer, TOLERATED, &wrote)
            && archive_set_is_read (reader, TOLERATED, &asked) && (w & r) == 0)
          CU_FAIL ("what was acknowledged is not seen");
      }
}

static void
check_change (const struct ArchiveSet *before, const char *joining, const char *leaving)
{
  struct ArchiveSet starting = archive_set_change (before, joining, leaving);
  struct ArchiveSet ending = archive_set_advance (&starting);
  struct ArchiveSet after = archive_set_advance (&ending);

  CU_ASSERT_EQUAL (after.generation, before->generation + 3);
  CU_ASSERT_EQUAL (after.stage, ARCHIVE_STAGE_STABLE);
  CU_ASSERT_EQUAL (after.former.n, 0);
  CU_ASSERT_EQUAL (archive_set_has (&after, leaving), false);
  check_stages_meet (before, before);
  check_stages_meet (&starting, &starting);
  check_stages_meet (&starting, &ending);
  check_stages_meet (&ending, &starting);
  check_stages_meet (&ending, &ending);
  check_stages_meet (&ending, &after);
  check_stages_meet (&after, &ending);
  check_stages_meet (&after, &after);
}

static void
test_neighbouring_stages_see_each_other (void)
{
  struct ArchiveSet three = set_of (3), two = set_of (2), four = set_of (4);

  check_change (&three, "d", "a");
  check_change (&three, "", "a");
  check_change (&two, "c", "");
  check_change (&four, "e", "b");
}

/* An archive takes a dead one's place, and dies for good before it has copied everything. Another
 * one takes its place in turn: what was acknowledged while the first was to come is seen by whoever
 * asks under the new stages, and by the copy of the second. */
static void
test_another_may_come_in_place_of_one_that_died (void)
{
  struct ArchiveSet before = set_of (3);
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");
  struct ArchiveSet again = archive_set_rejoin (&starting, "e");
  struct ArchiveSet ending = archive_set_advance (&again);

  CU_ASSERT_STRING_EQUAL (archive_set_joining (&before), "");
  CU_ASSERT_STRING_EQUAL (archive_set_joining (&starting), "d");
  CU_ASSERT_STRING_EQUAL (archive_set_joining (&again), "e");
  CU_ASSERT_EQUAL (again.generation, starting.generation + 1);
  CU_ASSERT_EQUAL (again.stage, ARCHIVE_STAGE_STARTING);
  CU_ASSERT_EQUAL (again.members.n, 3);
  CU_ASSERT_FALSE (archive_set_has (&again, "d"));
  /* Archives that know of it refuse the stage before. */
  CU_ASSERT (archive_set_oldest (&again) > starting.generation);
  check_stages_meet (&starting, &again);
  check_stages_meet (&again, &starting);
  check_stages_meet (&again, &again);
  check_stages_meet (&again, &ending);
  check_stages_meet (&ending, &again);
  for (uint32_t w = 0; w < 1u << N_ARCHIVES; w++)
    for (uint32_t r = 0; r < 1u << N_ARCHIVES; r++)
      {
        struct ArchiveNames wrote = names_of (w), copied = names_of (r);

        if (archive_set_is_written (&starting, TOLERATED, &wrote)
            && archive_set_is_copied (&again, TOLERATED, &copied))
          CU_ASSERT ((w & r) != 0);
      }
}

/* A gateway that missed the start of a change still asks the former set. Were it answered, a turn
 * could be stored where the new set never looks; so archives that know of the change refuse it. */
static void
test_questions_from_before_a_change_are_refused (void)
{
  struct ArchiveSet before = set_of (3);
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");
  struct ArchiveSet ending = archive_set_advance (&starting);
  struct ArchiveSet after = archive_set_advance (&ending);

  CU_ASSERT (archive_set_oldest (&starting) > before.generation);
  CU_ASSERT (archive_set_oldest (&ending) > starting.generation);
  CU_ASSERT (archive_set_oldest (&after) > starting.generation);
  CU_ASSERT (archive_set_oldest (&after) <= ending.generation);
}

/* What the former set acknowledged is on enough of it; who copied from as many of them as any
 * question needs has met each such record. */
static void
test_a_copy_meets_all_that_was_written_before (void)
{
  struct ArchiveSet before = set_of (3);
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");

  for (uint32_t w = 0; w < 8; w++)
    for (uint32_t r = 0; r < 8; r++)
      {
        struct ArchiveNames wrote = names_of (w), copied = names_of (r);

        if (archive_set_is_written (&before, TOLERATED, &wrote)
            && archive_set_is_copied (&starting, TOLERATED, &copied))
          CU_ASSERT ((w & r) != 0);
      }
}

static void
test_during_a_change_both_sets_are_asked (void)
{
  struct ArchiveSet before = set_of (3);
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");
  struct ArchiveNames asked = archive_set_asked (&starting);

  CU_ASSERT_EQUAL (asked.n, 4);
  CU_ASSERT_TRUE (archive_names_have (&asked, "a"));
  CU_ASSERT_TRUE (archive_names_have (&asked, "d"));
  asked = archive_set_asked (&before);
  CU_ASSERT_EQUAL (asked.n, 3);
}

static void
test_the_store_gives_back_what_it_got (void)
{
  struct ArchiveSet before = set_of (3), read;
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");
  uint8_t *bytes;
  size_t n_bytes;

  CU_ASSERT_EQUAL (archive_set_encode (NULL, &starting, &bytes, &n_bytes), ERROR_NONE);
  CU_ASSERT_EQUAL (archive_set_decode (bytes, n_bytes, &read), ERROR_NONE);
  CU_ASSERT_EQUAL (read.generation, starting.generation);
  CU_ASSERT_EQUAL (read.stage, ARCHIVE_STAGE_STARTING);
  CU_ASSERT_EQUAL (read.members.n, 3);
  CU_ASSERT_TRUE (archive_names_have (&read.former, "a"));
  for (size_t cut = 0; cut < n_bytes; cut++)
    CU_ASSERT_EQUAL (archive_set_decode (bytes, cut, &read), ERROR_INVALID);
  talloc_free (bytes);
}

/* An archive takes a dead one's place: it has copied everything, and asks the store to let the
 * change end. The answer is late; it decides the same once more, on the set that it knows. The
 * store now holds a change that is ending, of which nobody has looked yet whether enough archives
 * know: a second step would leave turns on disks that are asked no more. */
static void
test_a_step_is_not_taken_twice (void)
{
  struct ArchiveSet set = { .generation = 3 }, held, joined, ending, next;
  struct ArchiveStep advance = { .kind = ARCHIVE_STEP_ADVANCE };
  struct ArchiveStep rejoin = { .kind = ARCHIVE_STEP_REJOIN, .joining = "e" };

  archive_names_add (&set.members, "a");
  archive_names_add (&set.members, "b");
  archive_names_add (&set.members, "c");
  held = archive_set_change (&set, "d", "a");
  advance.generation = rejoin.generation = held.generation;
  CU_ASSERT_TRUE (archive_set_step (&held, &rejoin, 1, &joined));
  CU_ASSERT_FALSE (archive_set_step (&joined, &rejoin, 1, &next));
  CU_ASSERT_TRUE (archive_set_step (&held, &advance, 1, &ending));
  CU_ASSERT_EQUAL (ending.stage, ARCHIVE_STAGE_ENDING);
  CU_ASSERT_FALSE (archive_set_step (&ending, &advance, 1, &next));
  advance.generation = ending.generation;
  CU_ASSERT_TRUE (archive_set_step (&ending, &advance, 1, &next));
  CU_ASSERT_EQUAL (next.stage, ARCHIVE_STAGE_STABLE);
}

const char test_suite_name[] = "archive_set";
const struct TestCase test_cases[] = {
  { "the first archives make the set", test_the_first_archives_make_the_set },
  { "a set is no larger than it need be", test_a_set_is_no_larger_than_it_need_be },
  { "no set is never enough", test_no_set_is_never_enough },
  { "neighbouring stages see each other", test_neighbouring_stages_see_each_other },
  { "another may come in place of one that died", test_another_may_come_in_place_of_one_that_died },
  { "questions from before a change are refused", test_questions_from_before_a_change_are_refused },
  { "a copy meets all that was written before", test_a_copy_meets_all_that_was_written_before },
  { "during a change both sets are asked", test_during_a_change_both_sets_are_asked },
  { "the store gives back what it got", test_the_store_gives_back_what_it_got },
  { "a step is not taken twice", test_a_step_is_not_taken_twice },
  { NULL, NULL },
};
