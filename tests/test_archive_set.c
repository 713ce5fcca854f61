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

/* Bit i of mask includes archive i. */
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
test_first_archives_form_the_set (void)
{
  struct ArchiveSet set = set_of (3);
  struct ArchiveNames two = names_of (3), one = names_of (1);

  CU_ASSERT_EQUAL (set.generation, 3);
  CU_ASSERT_TRUE (archive_set_is_written (&set, TOLERATED, &two));
  CU_ASSERT_TRUE (archive_set_is_read (&set, TOLERATED, &two));
  CU_ASSERT_FALSE (archive_set_is_written (&set, TOLERATED, &one));
  CU_ASSERT_FALSE (archive_set_is_read (&set, TOLERATED, &one));
}

/* Of eleven archives, with two tolerated losses, five must store the turns so that any three can
 * serve a read; the others are spares. */
static void
test_target_size_depends_on_tolerated_losses (void)
{
  CU_ASSERT_EQUAL (archive_set_target_size (1), 3);
  CU_ASSERT_EQUAL (archive_set_target_size (2), 5);
  CU_ASSERT_EQUAL (archive_set_target_size (0), 1);
}

/* While no set exists, responses without a turn must not be taken for "no such turn". */
static void
test_no_set_has_no_quorum (void)
{
  struct ArchiveSet set = { 0 };
  struct ArchiveNames all_names = names_of (31);

  CU_ASSERT_FALSE (archive_set_is_written (&set, TOLERATED, &all_names));
  CU_ASSERT_FALSE (archive_set_is_read (&set, TOLERATED, &all_names));
  CU_ASSERT_FALSE (archive_set_is_copied (&set, TOLERATED, &all_names));
}

/* Gateways receive a change at different times. A write that was acknowledged in writer's stage
 * must be seen by a read in reader's: every write quorum must share an archive with every read
 * quorum.
 */
static void
check_stages_meet (const struct ArchiveSet *writer, const struct ArchiveSet *reader)
{
  for (uint32_t w = 0; w < 1u << N_ARCHIVES; w++)
    for (uint32_t r = 0; r < 1u << N_ARCHIVES; r++)
      {
        struct ArchiveNames wrote = names_of (w), queried = names_of (r);

        if (archive_set_is_written (writer, TOLERATED, &wrote)
            && archive_set_is_read (reader, TOLERATED, &queried) && (w & r) == 0)
          CU_FAIL ("a read quorum misses an acknowledged write");
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

/* Once a change may end, no request of its first stage can be served: it would not read what the
 * new set alone stores. */
static void
check_fence (const struct ArchiveSet *starting, const struct ArchiveSet *ending, uint32_t tolerated)
{
  for (uint32_t f = 0; f < 1u << N_ARCHIVES; f++)
    for (uint32_t u = 0; u < 1u << N_ARCHIVES; u++)
      {
        struct ArchiveNames fenced = names_of (f), unfenced = names_of (u);

        if ((f & u) == 0 && archive_set_is_fenced (ending, tolerated, &fenced)
            && archive_set_is_written (starting, tolerated, &unfenced))
          CU_FAIL ("a request of the first stage is served after the change");
      }
}

static void
test_no_request_of_the_first_stage_is_served_after_the_change (void)
{
  const char *const joining[] = { "e", "", "e" }, *const leaving[] = { "a", "a", "" };

  for (uint32_t tolerated = 0; tolerated <= 2; tolerated++)
    for (uint32_t n = 1; n < N_ARCHIVES; n++)
      for (uint32_t i = 0; i < 3; i++)
        {
          struct ArchiveSet before = set_of (n);
          struct ArchiveSet starting = archive_set_change (&before, joining[i], leaving[i]);
          struct ArchiveSet ending = archive_set_advance (&starting);

          if (starting.members.n > 0)
            check_fence (&starting, &ending, tolerated);
        }
}

/* After a retirement has left two archives and one of them is lost for good, the change that
 * replaces it waited for the lost one without end. */
static void
test_change_ends_without_the_archive_that_it_replaces (void)
{
  for (uint32_t n = 2; n <= 4; n++)
    {
      struct ArchiveSet before = set_of (n);
      struct ArchiveSet starting = archive_set_change (&before, "e", "a");
      struct ArchiveSet ending = archive_set_advance (&starting);
      struct ArchiveNames live = ending.members;

      CU_ASSERT_TRUE (archive_set_is_fenced (&ending, TOLERATED, &live));
    }
}

/* A change that is given up leaves the former set: a write that was acknowledged before or during
 * it must be seen there, and after it by requests of the change that are still under way. */
static void
test_change_that_is_given_up_loses_nothing (void)
{
  const char *const joining[] = { "e", "", "e" }, *const leaving[] = { "a", "a", "" };

  for (uint32_t n = 2; n < N_ARCHIVES; n++)
    for (uint32_t i = 0; i < 3; i++)
      {
        struct ArchiveSet before = set_of (n), after;
        struct ArchiveSet starting = archive_set_change (&before, joining[i], leaving[i]);
        struct ArchiveStep abort = { ARCHIVE_STEP_ABORT, starting.generation, "", "" };
        struct ArchiveSet ending = archive_set_advance (&starting);

        CU_ASSERT_TRUE (archive_set_step (&starting, &abort, TOLERATED, &after));
        CU_ASSERT_EQUAL (after.stage, ARCHIVE_STAGE_STABLE);
        CU_ASSERT_EQUAL (after.generation, starting.generation + 1);
        CU_ASSERT_EQUAL (after.members.n, n);
        CU_ASSERT_EQUAL (archive_set_has (&after, "e"), false);
        CU_ASSERT (archive_set_oldest_generation (&after) > before.generation);
        check_stages_meet (&before, &after);
        check_stages_meet (&starting, &after);
        check_stages_meet (&after, &starting);
        abort.generation = ending.generation;
        CU_ASSERT_FALSE (archive_set_step (&ending, &abort, TOLERATED, &after));
        abort.generation = starting.generation - 1;
        CU_ASSERT_FALSE (archive_set_step (&starting, &abort, TOLERATED, &after));
      }
}

/* Two retirements left one archive, whose disk held all turns. */
static void
test_retirement_leaves_copies_for_the_tolerated_losses (void)
{
  for (uint32_t tolerated = 0; tolerated <= 2; tolerated++)
    for (uint32_t n = 1; n <= N_ARCHIVES; n++)
      {
        struct ArchiveSet set = set_of (n);

        CU_ASSERT_EQUAL (archive_set_may_shrink (&set, tolerated), n - 1 > tolerated);
      }
}

static void
test_adjacent_stages_have_overlapping_quorums (void)
{
  struct ArchiveSet three = set_of (3), two = set_of (2), four = set_of (4);

  check_change (&three, "d", "a");
  check_change (&three, "", "a");
  check_change (&two, "c", "");
  check_change (&four, "e", "b");
}

/* An archive that replaces a failed one fails itself before it has copied everything, and another
 * replaces it. Writes acknowledged while the first was joining must be seen by reads in the new
 * stages and by the copy of the second. */
static void
test_a_failed_joining_archive_is_replaced (void)
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
  /* Archives that have received it reject requests of the previous stage. */
  CU_ASSERT (archive_set_oldest_generation (&again) > starting.generation);
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

/* A gateway that has not received the start of a change still uses the former set. If its requests
 * were served, a turn could be stored where the new set never reads it, so archives that have
 * received the change reject them. */
static void
test_requests_from_before_a_change_are_rejected (void)
{
  struct ArchiveSet before = set_of (3);
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");
  struct ArchiveSet ending = archive_set_advance (&starting);
  struct ArchiveSet after = archive_set_advance (&ending);

  CU_ASSERT (archive_set_oldest_generation (&starting) > before.generation);
  CU_ASSERT (archive_set_oldest_generation (&ending) > starting.generation);
  CU_ASSERT (archive_set_oldest_generation (&after) > starting.generation);
  CU_ASSERT (archive_set_oldest_generation (&after) <= ending.generation);
}

/* Every record that the former set acknowledged is on a write quorum of it, so a copy from a read
 * quorum of it must include that record. */
static void
test_a_copy_includes_all_earlier_writes (void)
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
test_both_sets_are_queried_during_a_change (void)
{
  struct ArchiveSet before = set_of (3);
  struct ArchiveSet starting = archive_set_change (&before, "d", "a");
  struct ArchiveNames queried = archive_set_targets (&starting);

  CU_ASSERT_EQUAL (queried.n, 4);
  CU_ASSERT_TRUE (archive_names_have (&queried, "a"));
  CU_ASSERT_TRUE (archive_names_have (&queried, "d"));
  queried = archive_set_targets (&before);
  CU_ASSERT_EQUAL (queried.n, 3);
}

static void
test_encoded_set_decodes_to_itself (void)
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

/* An archive that has copied everything advances the change in the store. The response is late, so
 * it proposes the same step again for the set that it has. By now the stored change is ENDING, and
 * no archive has checked yet that enough archives have received it: applying the step a second time
 * would leave turns on disks that are no longer queried. */
static void
test_a_step_is_not_applied_twice (void)
{
  struct ArchiveSet set = { .generation = 3 }, stored, joined, ending, next;
  struct ArchiveStep advance = { .kind = ARCHIVE_STEP_ADVANCE };
  struct ArchiveStep rejoin = { .kind = ARCHIVE_STEP_REJOIN, .joining = "e" };

  archive_names_add (&set.members, "a");
  archive_names_add (&set.members, "b");
  archive_names_add (&set.members, "c");
  stored = archive_set_change (&set, "d", "a");
  advance.generation = rejoin.generation = stored.generation;
  CU_ASSERT_TRUE (archive_set_step (&stored, &rejoin, 1, &joined));
  CU_ASSERT_FALSE (archive_set_step (&joined, &rejoin, 1, &next));
  CU_ASSERT_TRUE (archive_set_step (&stored, &advance, 1, &ending));
  CU_ASSERT_EQUAL (ending.stage, ARCHIVE_STAGE_ENDING);
  CU_ASSERT_FALSE (archive_set_step (&ending, &advance, 1, &next));
  advance.generation = ending.generation;
  CU_ASSERT_TRUE (archive_set_step (&ending, &advance, 1, &next));
  CU_ASSERT_EQUAL (next.stage, ARCHIVE_STAGE_STABLE);
}

const char test_suite_name[] = "archive_set";
const struct TestCase test_cases[] = {
  { "first archives form the set", test_first_archives_form_the_set },
  { "target size depends on tolerated losses", test_target_size_depends_on_tolerated_losses },
  { "no set has no quorum", test_no_set_has_no_quorum },
  { "adjacent stages have overlapping quorums", test_adjacent_stages_have_overlapping_quorums },
  { "no request of the first stage is served after the change",
    test_no_request_of_the_first_stage_is_served_after_the_change },
  { "a change ends without the archive that it replaces",
    test_change_ends_without_the_archive_that_it_replaces },
  { "a change that is given up loses nothing", test_change_that_is_given_up_loses_nothing },
  { "a retirement leaves copies for the tolerated losses",
    test_retirement_leaves_copies_for_the_tolerated_losses },
  { "a failed joining archive is replaced", test_a_failed_joining_archive_is_replaced },
  { "requests from before a change are rejected", test_requests_from_before_a_change_are_rejected },
  { "a copy includes all earlier writes", test_a_copy_includes_all_earlier_writes },
  { "both sets are queried during a change", test_both_sets_are_queried_during_a_change },
  { "encoded set decodes to itself", test_encoded_set_decodes_to_itself },
  { "a step is not applied twice", test_a_step_is_not_applied_twice },
  { NULL, NULL },
};
