#include "test_main.h"

#include <buckthornhead/clock.h>

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum
{
  STEP_S = 24 * 3600,
  SLACK_MS = 60 * 1000 /* for a busy machine */
};

static int64_t step_s; /* added to the wall clock */

/* Replaces the C library's function. */
int
clock_gettime (clockid_t clock, struct timespec *now)
{
  int error = (int)syscall (SYS_clock_gettime, clock, now);

  if (clock == CLOCK_REALTIME)
    now->tv_sec += step_s;
  return error;
}

/* The wall clock steps by a day, back or ahead, while a program runs. Its deadline must not pass by
 * it, nor be put off. */
static void
test_a_step_of_the_wall_clock_passes_no_deadline (void)
{
  const int64_t steps_s[] = { STEP_S, -STEP_S };
  int64_t first_ms = clock_steady_unix_ms ();

  CU_ASSERT (clock_unix_ms () - first_ms < SLACK_MS);
  for (uint32_t i = 0; i < 2; i++)
    {
      step_s = steps_s[i];
      CU_ASSERT (clock_steady_unix_ms () - first_ms >= 0);
      CU_ASSERT (clock_steady_unix_ms () - first_ms < SLACK_MS);
    }
  step_s = 0;
}

const char test_suite_name[] = "clock";
const struct TestCase test_cases[] = {
  { "a step of the wall clock passes no deadline",
    test_a_step_of_the_wall_clock_passes_no_deadline },
  { NULL, NULL },
};
