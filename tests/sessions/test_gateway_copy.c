#include "test_main.h"

#include "gateways.h"
#include "soak/soak_proxy.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

enum
{
  N_PROGRAMS = 260,
  INPUT_BYTES = 90 * 1024,
  ROUND_TRIP_MS = 20, /* with the proxies' window, 3.2 MB/s per connection */
  RETURN_MS = 2000,   /* from the loss of an archive to the start of its successor */
  /* From then on the platform bears the loss of another archive: its stable_window_ms and
   * catch_up_s. */
  CATCH_UP_MS = 3000 + 4800,
  PROXIES_MAX = 8
};

struct Fixture
{
  struct Fleet *fleet;
  struct Proxy *proxies[PROXIES_MAX];
  size_t n_proxies;
  char last_turns[N_PROGRAMS][64];
};

static uint16_t
fixture_add_proxy (void *data, uint16_t target)
{
  struct Fixture *f = data;
  uint16_t port = session_allocate_port (f->fleet->session);

  f->proxies[f->n_proxies++] = proxy_new (f->fleet, port, target);
  return port;
}

static struct Fixture *
fixture_new (TALLOC_CTX *ctx)
{
  struct Fixture *f = talloc_zero (ctx, struct Fixture);

  f->fleet = fleet_new (f);
  fleet_start_all (f->fleet, 1, 3, fixture_add_proxy, f);
  return f;
}

static void
fixture_end (struct Fixture *f, uint32_t n_failed)
{
  session_end (f->fleet->session, CU_get_number_of_failures () > n_failed);
  for (size_t i = 0; i < f->n_proxies; i++)
    proxy_end (f->proxies[i]);
  installation_end (f->fleet->installation);
}

static void
fixture_limit_connections (struct Fixture *f)
{
  for (size_t i = 0; i < f->n_proxies; i++)
    proxy_set (f->proxies[i], PROXY_WINDOW, ROUND_TRIP_MS);
}

/* Stores the first turn of each program. */
static void
fixture_store_turns (struct Fixture *f, uint32_t n, size_t input_bytes)
{
  char *input = talloc_array (f, char, input_bytes + 1);

  memset (input, 'x', input_bytes);
  input[input_bytes] = '\0';
  for (uint32_t i = 0; i < n; i++)
    {
      TALLOC_CTX *ctx = talloc_new (f);
      char program[16], turn[16];

      snprintf (program, sizeof program, "p%u", i);
      snprintf (turn, sizeof turn, "t%u", i);
      CU_ASSERT_EQUAL (
          turn_send_until_accepted (f->fleet, ctx, 0, program, turn, "", input)->status, 200);
      snprintf (f->last_turns[i], sizeof f->last_turns[i], "%s", f->fleet->last_turn_id);
      talloc_free (ctx);
    }
}

/* Continues each n-th program and returns whether all of these were served. */
static bool
fixture_continues (struct Fixture *f, uint32_t n_programs, uint32_t n)
{
  bool served = true;

  for (uint32_t i = 0; i < n_programs && served; i += n)
    {
      TALLOC_CTX *ctx = talloc_new (f);
      char program[16], turn[16];

      snprintf (program, sizeof program, "p%u", i);
      snprintf (turn, sizeof turn, "u%u", i);
      served =
          turn_send_until_accepted (f->fleet, ctx, 0, program, turn, f->last_turns[i], "y")->status
          == 200;
      talloc_free (ctx);
    }
  return served;
}

/* The copy for the first successor took longer than the platform allows, so that a second loss
 * ended all turns. */
static void
test_second_archive_is_lost_after_catch_up (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fixture *f = fixture_new (ctx);

  fixture_store_turns (f, N_PROGRAMS, INPUT_BYTES);
  fixture_limit_connections (f);
  process_kill (f->fleet->archives[0].process);
  sleep_ms (RETURN_MS);
  archive_start (f->fleet, 3, false);
  sleep_ms (CATCH_UP_MS);
  process_kill (f->fleet->archives[1].process);
  archive_delete_data (f->fleet, 1);
  CU_ASSERT_TRUE (fixture_continues (f, N_PROGRAMS, 20));
  fixture_end (f, n_failed);
  talloc_free (ctx);
}

/* A lost disk has no member to be waited for, but the same time. */
static void
test_second_disk_is_lost_after_catch_up (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fixture *f = fixture_new (ctx);

  fixture_store_turns (f, N_PROGRAMS, INPUT_BYTES);
  fixture_limit_connections (f);
  process_kill (f->fleet->archives[0].process);
  archive_delete_data (f->fleet, 0);
  archive_start (f->fleet, 0, false);
  sleep_ms (CATCH_UP_MS);
  process_kill (f->fleet->archives[1].process);
  archive_delete_data (f->fleet, 1);
  archive_start (f->fleet, 1, false);
  CU_ASSERT_TRUE (fixture_continues (f, N_PROGRAMS, 20));
  fixture_end (f, n_failed);
  talloc_free (ctx);
}

/* Copying waited until a member had been silent for seconds and the set had changed. */
static void
test_spare_archive_copies_before_it_joins (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fixture *f = fixture_new (ctx);
  struct Process *spare;

  archive_start (f->fleet, 3, false);
  spare = f->fleet->archives[3].process;
  fixture_store_turns (f, 10, 1000);
  CU_ASSERT_TRUE (process_wait_for_output (spare, "generation 3, 3 members"));
  installation_set_store (f->fleet->installation, STORE_UNAVAILABLE);
  process_kill (f->fleet->archives[0].process);
  CU_ASSERT_TRUE (process_wait_for_output (spare, "archive_caught_up"));
  CU_ASSERT_EQUAL (process_count_output (spare, "change starting"), 0);
  installation_set_store (f->fleet->installation, STORE_RESPONDS);
  CU_ASSERT_TRUE (process_wait_for_output (spare, "generation 6, 3 members"));
  process_kill (f->fleet->archives[1].process);
  archive_delete_data (f->fleet, 1);
  CU_ASSERT_TRUE (fixture_continues (f, 10, 1));
  fixture_end (f, n_failed);
  talloc_free (ctx);
}

/* The disk refuses the first records of a copy. The copy counted as complete without them. */
static void
test_records_that_were_not_written_are_copied_again (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  uint32_t n_failed = CU_get_number_of_failures ();
  struct Fixture *f = fixture_new (ctx);
  struct Process *spare;
  char *blocked;

  archive_start (f->fleet, 3, false);
  spare = f->fleet->archives[3].process;
  fixture_store_turns (f, 10, 1000);
  CU_ASSERT_TRUE (process_wait_for_output (spare, "generation 3, 3 members"));
  blocked = talloc_asprintf (ctx, "%s/log-1", f->fleet->archives[3].folder);
  CU_ASSERT_EQUAL (mkdir (blocked, 0700), 0);
  process_kill (f->fleet->archives[0].process);
  archive_delete_data (f->fleet, 0);
  CU_ASSERT_TRUE (process_wait_for_output (spare, "archive_copy_failed"));
  CU_ASSERT_TRUE (process_wait_for_output (spare, "generation 6, 3 members"));
  process_kill (f->fleet->archives[1].process);
  archive_delete_data (f->fleet, 1);
  CU_ASSERT_TRUE (fixture_continues (f, 10, 1));
  fixture_end (f, n_failed);
  talloc_free (ctx);
}

const char test_suite_name[] = "gateway_copy";
const struct TestCase test_cases[] = {
  { "a second archive is lost after catch-up", test_second_archive_is_lost_after_catch_up },
  { "a second disk is lost after catch-up", test_second_disk_is_lost_after_catch_up },
  { "a spare archive copies before it joins", test_spare_archive_copies_before_it_joins },
  { "records that were not written are copied again",
    test_records_that_were_not_written_are_copied_again },
  { NULL, NULL },
};
