#include "test_main.h"

#include "fakes/fake_timer.h"

#include <buckthornhead/retention_clock.h>
#include <buckthornhead/turn_index.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RETENTION_MS = 60 * 1000,
  SLACK_MS = 15 * 1000, /* of the index */
  TICK_MS = 2000,
  DAY_MS = 24 * 3600 * 1000,
  N_ARCHIVES = 3,
  N_DAYS = 300, /* drawn histories */
  N_TICKS = 400,
  RECORDS_MAX = 4000
};

/* A record in an archive's log. */
struct Stored
{
  uint32_t turn;
  int64_t unix_ms;    /* its stamp */
  int64_t seen_ms;    /* for how long archives that had it have run */
  int64_t counted_ms; /* the part of it that a later record of the same archive shows */
  bool deleted;
};

struct Machine
{
  struct TimerService *timers; /* of the running process; NULL: none runs */
  struct RetentionClock clock;
  struct TurnIndex *index;
  struct Stored log[RECORDS_MAX];
  size_t n_log;
  bool has_saved_clock;
  int64_t saved_floor_unix_ms;
  int64_t wall_offset_ms;
  int64_t ran_ms; /* since the last record was written */
};

struct Day
{
  unsigned seed;
  int64_t true_unix_ms;
  uint32_t n_turns;
  struct Machine machines[N_ARCHIVES];
};

static uint32_t
draw (struct Day *day, uint32_t n)
{
  return (uint32_t)rand_r (&day->seed) % n;
}

static int64_t
draw_offset_ms (struct Day *day)
{
  const int64_t offsets_ms[] = { 0, 0, 100 * 1000, -100 * 1000, 5LL * DAY_MS, -5LL * DAY_MS };

  return offsets_ms[draw (day, 6)];
}

static void
machine_index (struct Machine *m, const struct Stored *stored, int64_t unix_ms)
{
  struct TurnClose close = { .kept = true, .retention_ms = RETENTION_MS };
  const struct DiskPlace place = { 1, 0, 1 };

  snprintf (close.program, sizeof close.program, "p%u", stored->turn);
  snprintf (close.text.turn, sizeof close.text.turn, "%u", stored->turn);
  turn_index_close (m->index, &close, &place, unix_ms);
}

static bool
machine_has (const struct Machine *m, uint32_t turn)
{
  char id[16];
  struct TurnPlace place;

  snprintf (id, sizeof id, "%u", turn);
  return turn_index_find (m->index, "", id, &place);
}

static void
machine_store (struct Machine *m, uint32_t turn, int64_t unix_ms, int64_t seen_ms)
{
  struct Stored *stored = &m->log[m->n_log++];

  CU_ASSERT_FATAL (m->n_log < RECORDS_MAX);
  *stored = (struct Stored){ turn, unix_ms, seen_ms, seen_ms, false };
  machine_index (m, stored, unix_ms);
}

static bool
machine_has_records (const struct Machine *m)
{
  for (size_t i = 0; i < m->n_log; i++)
    if (!m->log[i].deleted)
      return true;
  return false;
}

static void
machine_replay (struct Machine *m)
{
  for (size_t i = 0; i < m->n_log; i++)
    if (!m->log[i].deleted)
      retention_clock_observe (&m->clock, m->log[i].unix_ms);
}

static void
machine_start (struct Day *day, struct Machine *m)
{
  m->timers = fake_timer_new (NULL);
  fake_timer_advance (m->timers, 1 + draw (day, DAY_MS));
  m->index = turn_index_new (m->timers);
  retention_clock_init (&m->clock, m->has_saved_clock ? m->saved_floor_unix_ms : 0);
  machine_replay (m);
  m->wall_offset_ms = draw_offset_ms (day);
  m->ran_ms = 0;
  for (size_t i = 0; i < m->n_log; i++)
    if (m->log[i].counted_ms < 0)
      m->log[i].counted_ms = 0;
  if (!m->has_saved_clock || !machine_has_records (m))
    {
      retention_clock_renew (&m->clock, day->true_unix_ms + m->wall_offset_ms);
      m->saved_floor_unix_ms = m->clock.floor_unix_ms;
      m->has_saved_clock = draw (day, 4) > 0; /* else it ends before the save is durable */
      for (size_t i = 0; i < m->n_log; i++)
        m->log[i].counted_ms = 0;
    }
  for (size_t i = 0; i < m->n_log; i++)
    if (!m->log[i].deleted)
      machine_index (m, &m->log[i], retention_clock_written (&m->clock, m->log[i].unix_ms));
  retention_clock_start (&m->clock, m->timers);
}

static void
machine_kill (struct Machine *m)
{
  TALLOC_FREE (m->timers);
}

/* A new record shows how long the process has run since the last one. */
static void
machine_write (struct Machine *m, uint32_t turn)
{
  for (size_t i = 0; i < m->n_log; i++)
    m->log[i].counted_ms += m->ran_ms;
  m->ran_ms = 0;
  machine_store (m, turn, retention_clock_now (&m->clock), 0);
}

static void
machine_copy (struct Day *day, struct Machine *to, const struct Machine *from)
{
  struct CopyPart part = { .id = 1 };

  if (draw (day, 4) > 0)
    retention_clock_fill_part (&from->clock, &part);
  for (size_t i = 0; i < from->n_log; i++)
    {
      const struct Stored *stored = &from->log[i];

      if (stored->deleted || machine_has (to, stored->turn))
        continue;
      machine_store (to, stored->turn,
                     retention_clock_stamp_copy (&to->clock, &part, stored->unix_ms),
                     part.has_clock ? stored->seen_ms : 0);
      /* What the sender's clock did not count is not counted here either. */
      to->log[to->n_log - 1].counted_ms = -to->ran_ms;
    }
}

/* Lets the machine run for a tick and expires its records. */
static void
machine_run (struct Machine *m)
{
  fake_timer_advance (m->timers, TICK_MS);
  m->ran_ms += TICK_MS;
  turn_index_expire (m->index, retention_clock_now (&m->clock));
  for (size_t i = 0; i < m->n_log; i++)
    {
      struct Stored *stored = &m->log[i];

      if (stored->deleted)
        continue;
      stored->seen_ms += TICK_MS;
      stored->deleted = !machine_has (m, stored->turn);
      if (stored->deleted)
        CU_ASSERT (stored->seen_ms >= RETENTION_MS)
      else
        CU_ASSERT (stored->counted_ms + m->ran_ms < RETENTION_MS + SLACK_MS + TICK_MS);
    }
}

static void
day_tick (struct Day *day)
{
  struct Machine *m = &day->machines[draw (day, N_ARCHIVES)];
  struct Machine *from = &day->machines[draw (day, N_ARCHIVES)];

  day->true_unix_ms += TICK_MS;
  for (uint32_t i = 0; i < N_ARCHIVES; i++)
    if (day->machines[i].timers != NULL)
      machine_run (&day->machines[i]);
  if (m->timers == NULL && draw (day, 3) == 0)
    machine_start (day, m);
  else if (m->timers != NULL && draw (day, 25) == 0)
    machine_kill (m);
  else if (m->timers != NULL && draw (day, 3) > 0)
    machine_write (m, day->n_turns++);
  else if (m->timers != NULL && from->timers != NULL && m != from && draw (day, 6) == 0)
    machine_copy (day, m, from);
  if (draw (day, 50) == 0)
    day->true_unix_ms += draw (day, DAY_MS);
}

/* A log whose writer stamped its records by a wall clock that stepped. */
static void
machine_fill_log (struct Day *day, struct Machine *m)
{
  uint32_t n = draw (day, 5);

  for (uint32_t i = 0; i < n; i++)
    m->log[m->n_log++] =
        (struct Stored){ day->n_turns++, day->true_unix_ms + draw_offset_ms (day), 0, 0, false };
}

static void
test_records_age_by_the_time_seen (void)
{
  struct Day *day = talloc_zero (NULL, struct Day);

  for (unsigned n = 0; n < N_DAYS && CU_get_number_of_failures () == 0; n++)
    {
      memset (day, 0, sizeof *day);
      day->seed = 7000 + n;
      day->true_unix_ms = 1790000000000;
      for (uint32_t i = 0; i < N_ARCHIVES; i++)
        {
          machine_fill_log (day, &day->machines[i]);
          machine_start (day, &day->machines[i]);
        }
      for (uint32_t i = 0; i < N_TICKS && CU_get_number_of_failures () == 0; i++)
        day_tick (day);
      for (uint32_t i = 0; i < N_ARCHIVES; i++)
        machine_kill (&day->machines[i]);
    }
  talloc_free (day);
}

/* The clock of an archive that returns continues from its newest record, whatever the wall clock
 * shows, so that a record from just before has its whole retention left. */
static void
test_a_stepped_clock_ages_nothing (void)
{
  struct TimerService *timers = fake_timer_new (NULL);
  struct RetentionClock clock;

  retention_clock_init (&clock, 5000);
  retention_clock_observe (&clock, 9000);
  retention_clock_observe (&clock, 7000);
  fake_timer_advance (timers, DAY_MS);
  retention_clock_start (&clock, timers);
  CU_ASSERT_EQUAL (retention_clock_age (&clock, 9000), 0);
  CU_ASSERT_EQUAL (retention_clock_age (&clock, 7000), 2000);
  CU_ASSERT_EQUAL (retention_clock_age (&clock, 1000), 4000);
  fake_timer_advance (timers, 300);
  CU_ASSERT_EQUAL (retention_clock_age (&clock, 9000), 300);
  CU_ASSERT_EQUAL (retention_clock_now (&clock), 9300);
  CU_ASSERT_EQUAL (retention_clock_age (&clock, DAY_MS), 0);
  talloc_free (timers);
}

/* Two archives whose clocks differ by a day. */
static void
test_a_copied_record_keeps_its_age (void)
{
  struct TimerService *timers = fake_timer_new (NULL);
  struct RetentionClock from, to;
  struct CopyPart part = { .id = 1 };
  int64_t unix_ms;

  retention_clock_init (&from, 0);
  retention_clock_renew (&from, 3LL * DAY_MS);
  retention_clock_init (&to, 0);
  retention_clock_renew (&to, 2LL * DAY_MS);
  retention_clock_start (&from, timers);
  retention_clock_start (&to, timers);
  fake_timer_advance (timers, 5000);
  unix_ms = retention_clock_now (&from);
  fake_timer_advance (timers, 20000);
  CU_ASSERT_EQUAL (retention_clock_stamp_copy (&to, &part, unix_ms), retention_clock_now (&to));
  retention_clock_fill_part (&from, &part);
  CU_ASSERT_EQUAL (retention_clock_stamp_copy (&to, &part, unix_ms),
                   retention_clock_now (&to) - 20000);
  /* A record of a version with a wall clock is as old as the sender takes it to be. */
  CU_ASSERT_EQUAL (retention_clock_stamp_copy (&to, &part, DAY_MS),
                   retention_clock_now (&to) - 25000);
  CU_ASSERT_EQUAL (retention_clock_stamp_copy (&to, &part, 9LL * DAY_MS),
                   retention_clock_now (&to));
  talloc_free (timers);
}

const char test_suite_name[] = "retention_clock";
const struct TestCase test_cases[] = {
  { "records age by the time seen", test_records_age_by_the_time_seen },
  { "a stepped clock ages nothing", test_a_stepped_clock_ages_nothing },
  { "a copied record keeps its age", test_a_copied_record_keeps_its_age },
  { NULL, NULL },
};
