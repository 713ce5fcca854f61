#include "test_main.h"

#include <buckthornhead/process_signals.h>
#include <buckthornhead/process_start.h>

#include <signal.h>
#include <stdlib.h>

enum
{
  LONG_MS = 20 * 1000
};

struct Stops
{
  int last_number;
};

static void
on_stop (void *data, int number)
{
  ((struct Stops *)data)->last_number = number;
}

static void
test_blocked_signals_stay_pending (void)
{
  process_signals_block ();
  CU_ASSERT_EQUAL (process_signals_wait (0), 0);
  raise (SIGHUP);
  CU_ASSERT_EQUAL (process_signals_wait (LONG_MS), SIGHUP);
  CU_ASSERT_EQUAL (process_signals_wait (0), 0);
}

/* Guards against the default action of a signal that arrives before the handlers are installed. */
static void
test_pending_signals_reach_the_handlers (void)
{
  struct tevent_context *events = tevent_context_init (NULL);
  struct Stops stops = { 0 };

  process_signals_block ();
  raise (SIGHUP);
  raise (SIGTERM);
  CU_ASSERT_TRUE (process_signals_handle (events, events, on_stop, &stops));
  process_signals_unblock ();
  while (stops.last_number == 0 && tevent_loop_once (events) == 0)
    ;
  CU_ASSERT_EQUAL (stops.last_number, SIGTERM);
  process_signals_block ();
  raise (SIGTERM);
  talloc_free (events);
  CU_ASSERT_EQUAL (process_signals_wait (LONG_MS), SIGTERM);
}

static void
test_wait_ends_by_signals (void)
{
  struct ProcessStart start = { 0 };
  struct Fault fault;

  process_signals_block ();
  fault_set (&fault, ERROR_IO, "free it", "the address is in use");
  CU_ASSERT_TRUE (process_start_wait (&start, &fault));
  raise (SIGHUP);
  CU_ASSERT_TRUE (process_start_wait (&start, &fault));
  raise (SIGTERM);
  CU_ASSERT_FALSE (process_start_wait (&start, &fault));
}

const char test_suite_name[] = "start of a process";
const struct TestCase test_cases[] = {
  { "blocked signals stay pending", test_blocked_signals_stay_pending },
  { "pending signals reach the handlers", test_pending_signals_reach_the_handlers },
  { "wait ends by signals", test_wait_ends_by_signals },
  { NULL, NULL },
};
