#include "test_main.h"

#include <buckthornhead/read_schedule.h>

enum
{
  TICK_MS = 100,   /* interval at which a process checks whether it must read */
  FORWARD_MS = 200 /* for the read itself, and until all processes have received it */
};

/* Returns the time until a change is in force that follows the last read of a process which then
 * cannot reach the store, with the processes up to rank cut off as well. */
static int64_t
in_force_after_ms (uint32_t rank, uint32_t change_in_force_ms)
{
  return read_watch_ms (change_in_force_ms) + READ_TAKE_OVER_MS
         + read_rank_delay_ms (rank, change_in_force_ms) + TICK_MS + FORWARD_MS;
}

/* Guards against requests to a server that left while the first processes in the order of readers
 * were cut off: the others took over only after the time within which a change must be in force. */
static void
test_successors_take_over_in_time (void)
{
  static const uint32_t bounds_ms[] = { 2000, 3000, 5000, 14000 };

  for (size_t i = 0; i < sizeof bounds_ms / sizeof bounds_ms[0]; i++)
    for (uint32_t rank = 0; rank <= READ_SUCCESSORS; rank++)
      CU_ASSERT (in_force_after_ms (rank, bounds_ms[i]) <= bounds_ms[i]);
}

/* With a longer bound, so do the first of those that receive reads only from heartbeats. */
static void
test_later_processes_take_over_in_time (void)
{
  for (uint32_t rank = 0; rank < 3 * READ_SUCCESSORS; rank++)
    CU_ASSERT (in_force_after_ms (rank, 5000) <= 5000);
}

/* Guards against hundreds of processes that query an unavailable store together. */
static void
test_processes_follow_one_by_one (void)
{
  const uint32_t n_processes = 1200;
  uint32_t n_calling = 0;

  for (uint32_t rank = 1; rank < n_processes; rank++)
    CU_ASSERT (read_rank_delay_ms (rank, 3000) >= read_rank_delay_ms (rank - 1, 3000));
  for (uint32_t rank = 0; rank < n_processes; rank++)
    if (read_rank_delay_ms (rank, 3000) <= 3000)
      n_calling++;
  CU_ASSERT (n_calling <= 60);
}

/* Guards against a second process that reads in normal operation: reads are confirmed to the
 * successors at once, to the others with a heartbeat. */
static void
test_only_one_process_reads (void)
{
  const int64_t heartbeat_ms = 500;

  CU_ASSERT (read_rank_delay_ms (1, 2000) + READ_TAKE_OVER_MS >= 3 * TICK_MS);
  CU_ASSERT (read_rank_delay_ms (READ_SUCCESSORS + 1, 2000) + READ_TAKE_OVER_MS
             >= heartbeat_ms + 3 * TICK_MS);
}

const char test_suite_name[] = "read_schedule";

const struct TestCase test_cases[] = {
  { "successors take over in time", test_successors_take_over_in_time },
  { "later processes take over in time", test_later_processes_take_over_in_time },
  { "processes follow one by one", test_processes_follow_one_by_one },
  { "only one process reads", test_only_one_process_reads },
  { NULL, NULL },
};
