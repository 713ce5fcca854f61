#include "test_main.h"

#include <buckthornhead/reclaim.h>

#include <CUnit/CUnit.h>
#include <stdlib.h>

enum
{
  N_SEEDS = 300,
  N_STEPS = 2000,
  N_CLIENTS = 40,
  STEP_MS = 50,
  BUDGET_BYTES = 4 * 1024 * 1024,
  BODY_MAX_BYTES = 1024 * 1024,
  PIECE_MAX_BYTES = 64 * 1024,
  ALWAYS_ACCEPTED_BYTES = 4096
};

enum Habit
{
  HABIT_SENDS, /* to the end */
  HABIT_STOPS, /* short of the end */
  HABIT_DRIPS, /* single bytes after a part */
  N_HABITS
};

struct Upload
{
  bool active;
  enum Habit habit;
  uint64_t wanted_bytes, held_bytes;
  struct ProgressMeter progress;
};

struct Play
{
  struct Upload uploads[N_CLIENTS];
  uint64_t held_bytes;
  int64_t now_ms;
  uint32_t seed;
  uint32_t n_complete, n_small_refused;
};

static uint32_t
draw (struct Play *play, uint32_t n)
{
  return (uint32_t)rand_r (&play->seed) % n;
}

static struct ReclaimCandidate
candidate_of (const struct Play *play, const struct Upload *upload)
{
  return (struct ReclaimCandidate){
    .stage = RECLAIM_READING,
    .held_bytes = upload->held_bytes,
    .stalled_ms = progress_stalled_ms (&upload->progress, play->now_ms),
  };
}

static void
upload_end (struct Play *play, struct Upload *upload)
{
  play->held_bytes -= upload->held_bytes;
  upload->active = false;
  upload->held_bytes = 0;
}

/* Returns the upload to be given up first. */
static struct Upload *
choose (struct Play *play)
{
  struct ReclaimChoice choice = { 0 };

  for (uint32_t i = 0; i < N_CLIENTS; i++)
    {
      struct ReclaimCandidate candidate = candidate_of (play, &play->uploads[i]);

      if (play->uploads[i].active)
        reclaim_consider (&choice, &play->uploads[i], &candidate);
    }
  return choice.client;
}

/* Checks what is given up against all others. */
static void
check_choice (struct Play *play, const struct Upload *chosen)
{
  struct ReclaimCandidate c = candidate_of (play, chosen);

  for (uint32_t i = 0; i < N_CLIENTS; i++)
    {
      struct ReclaimCandidate other = candidate_of (play, &play->uploads[i]);

      if (!play->uploads[i].active || &play->uploads[i] == chosen || !reclaim_is_eligible (&other))
        continue;
      if (!reclaim_is_stalled (&c))
        {
          CU_ASSERT_FALSE (reclaim_is_stalled (&other));
          CU_ASSERT (c.held_bytes > RECLAIM_SMALL_BYTES || other.held_bytes <= RECLAIM_SMALL_BYTES);
        }
      else if (reclaim_is_stalled (&other))
        CU_ASSERT (other.held_bytes <= c.held_bytes || other.stalled_ms <= c.stalled_ms);
    }
}

/* Lets the upload grow by n bytes if there is room after others were given up. */
static void
upload_grow (struct Play *play, struct Upload *upload, uint64_t n)
{
  uint64_t budget = reclaim_budget (BUDGET_BYTES, upload->held_bytes + n);

  upload->held_bytes += n;
  play->held_bytes += n;
  while (play->held_bytes > budget)
    {
      struct Upload *first = choose (play);
      bool is_self = first == upload || first == NULL;

      if (first != NULL)
        check_choice (play, first);
      if (is_self && upload->held_bytes <= RECLAIM_SMALL_BYTES)
        play->n_small_refused++;
      upload_end (play, is_self ? upload : first);
      if (is_self)
        return;
    }
  progress_record (&upload->progress, n, play->now_ms);
  CU_ASSERT (play->held_bytes <= budget || budget == UINT64_MAX);
}

static void
upload_step (struct Play *play, struct Upload *upload)
{
  uint64_t left = upload->wanted_bytes - upload->held_bytes;
  uint64_t n = 1 + draw (play, PIECE_MAX_BYTES);

  if (upload->habit != HABIT_SENDS && upload->held_bytes >= upload->wanted_bytes / 2)
    n = upload->habit == HABIT_DRIPS && left > 1 ? 1 : 0;
  if (n > left)
    n = left;
  if (n > 0)
    upload_grow (play, upload, n);
  if (!upload->active || upload->held_bytes < upload->wanted_bytes)
    return;
  play->n_complete++;
  upload_end (play, upload);
}

/* large_percent: of the requests have bodies of up to BODY_MAX_BYTES. */
static struct Play
play_uploads (uint32_t seed, uint32_t large_percent)
{
  struct Play play = { .seed = seed };

  for (uint32_t step = 0; step < N_STEPS; step++)
    {
      struct Upload *upload = &play.uploads[draw (&play, N_CLIENTS)];

      play.now_ms += (int64_t)draw (&play, STEP_MS);
      if (upload->active)
        {
          upload_step (&play, upload);
          continue;
        }
      upload->active = true;
      upload->habit = (enum Habit)draw (&play, N_HABITS);
      upload->wanted_bytes =
          1 + draw (&play, draw (&play, 100) < large_percent ? BODY_MAX_BYTES : 32 * 1024);
      progress_start (&upload->progress, play.now_ms);
    }
  return play;
}

/* Guards against memory over the budget, and against giving up a client that progresses, or a
 * small one, for one that should go first. */
static void
test_drawn_uploads_stay_within_the_budget (void)
{
  for (uint32_t seed = 1; seed <= N_SEEDS; seed++)
    {
      struct Play play = play_uploads (seed, seed % 100);

      CU_ASSERT (play.held_bytes <= BUDGET_BYTES + N_CLIENTS * ALWAYS_ACCEPTED_BYTES);
      CU_ASSERT (play.n_complete > 0);
      CU_ASSERT_EQUAL (play.n_small_refused, 0);
    }
}

/* Guards against a client that stays by sending single bytes. */
static void
test_single_bytes_are_no_progress (void)
{
  struct ProgressMeter meter;

  progress_start (&meter, 1000);
  for (int64_t now_ms = 1000; now_ms < 5000; now_ms += 10)
    progress_record (&meter, 1, now_ms);
  CU_ASSERT_EQUAL (progress_stalled_ms (&meter, 5000), 4000);
  progress_record (&meter, 64 * 1024, 5000);
  CU_ASSERT_EQUAL (progress_stalled_ms (&meter, 5100), 100);
}

/* Guards against large bodies that take all memory, so that small requests are rejected. */
static void
test_large_bodies_leave_room_for_small_ones (void)
{
  CU_ASSERT (reclaim_budget (BUDGET_BYTES, BODY_MAX_BYTES) < BUDGET_BYTES);
  CU_ASSERT (reclaim_budget (BUDGET_BYTES, BODY_MAX_BYTES) >= BUDGET_BYTES / 2);
  CU_ASSERT_EQUAL (reclaim_budget (BUDGET_BYTES, RECLAIM_SMALL_BYTES), BUDGET_BYTES);
  CU_ASSERT_EQUAL (reclaim_budget (BUDGET_BYTES, 100), UINT64_MAX);
}

/* Guards against giving up a response, whose request has run, for a request that has not. */
static void
test_requests_go_before_responses (void)
{
  const struct ReclaimCandidate reading = { RECLAIM_READING, 5000, 10 };
  const struct ReclaimCandidate responding = { RECLAIM_RESPONDING, BODY_MAX_BYTES, 10 };
  const struct ReclaimCandidate stalled = { RECLAIM_RESPONDING, 5000, 5000 };
  const struct ReclaimCandidate waiting = { RECLAIM_WAITING, BODY_MAX_BYTES, 0 };
  const struct ReclaimCandidate small = { RECLAIM_WAITING, RECLAIM_SMALL_BYTES, 0 };

  CU_ASSERT_TRUE (reclaim_precedes (&reading, &responding));
  CU_ASSERT_TRUE (reclaim_precedes (&responding, &waiting));
  CU_ASSERT_TRUE (reclaim_precedes (&stalled, &reading));
  CU_ASSERT_FALSE (reclaim_precedes (&waiting, &reading));
  CU_ASSERT_TRUE (reclaim_is_eligible (&waiting));
  CU_ASSERT_FALSE (reclaim_is_eligible (&small));
}

const char test_suite_name[] = "reclaim";
const struct TestCase test_cases[] = {
  { "drawn uploads stay within the budget", test_drawn_uploads_stay_within_the_budget },
  { "single bytes are no progress", test_single_bytes_are_no_progress },
  { "large bodies leave room for small ones", test_large_bodies_leave_room_for_small_ones },
  { "requests go before responses", test_requests_go_before_responses },
  { NULL, NULL },
};
