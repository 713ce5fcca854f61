#include "test_main.h"

#include "fakes/power_loss.h"
#include "fakes/raw_socket.h"

#include <buckthornhead/disk_log.h>
#include <buckthornhead/spool.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  N_SEEDS = 400,
  RECORDS_MAX = 512,
  BATCH_MAX = 3,
  STEPS_MAX = 10,
  LIVES = 4,
  EARLY_MS = 100,
  LATE_MS = 1000
};

/* A drawn history of one folder, and what must hold after each opening. */
struct History
{
  struct tevent_context *events;
  struct DiskLog *log;
  struct Spool *spool;
  char root[64], folder[96];
  uint64_t seed, draws;
  uint32_t n_submitted, n_pending;
  bool idle;
  bool due[RECORDS_MAX]; /* the record must be replayed */
  bool seen[RECORDS_MAX];
  bool early[RECORDS_MAX];
  uint32_t last_seen;
  uint32_t highest_file;   /* that held an acknowledged record */
  uint32_t highest_before; /* the same, in the lives before */
  bool marked;
  uint32_t named, named_submitted;
  int32_t named_error;
  bool named_done;
  uint64_t dropped; /* spool */
  char id[64];
};

static uint32_t
draw (struct History *h, uint32_t below)
{
  uint64_t x = h->seed * 0x9e3779b97f4a7c15 + ++h->draws * 0xd1342543de82ef95;

  x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9;
  x = (x ^ x >> 27) * 0x94d049bb133111eb;
  return (uint32_t)((x ^ x >> 31) % below);
}

/* Reports a check together with the seed that reproduces it. */
static void
expect (const struct History *h, bool holds, const char *what)
{
  if (!holds)
    fprintf (stderr, "seed %llu: %s\n", (unsigned long long)h->seed, what);
  CU_ASSERT_TRUE (holds);
}

static struct History *
history_new (uint64_t seed)
{
  struct History *h = talloc_zero (NULL, struct History);

  h->seed = seed;
  snprintf (h->root, sizeof h->root, "power-loss-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (h->root));
  snprintf (h->folder, sizeof h->folder, "%s/data", h->root);
  h->events = tevent_context_init (h);
  power_loss_start ();
  return h;
}

static void
history_free (struct History *h)
{
  char command[96];

  TALLOC_FREE (h->log);
  TALLOC_FREE (h->spool);
  power_loss_stop ();
  snprintf (command, sizeof command, "rm -rf %s", h->root);
  CU_ASSERT_EQUAL (system (command), 0);
  talloc_free (h);
}

/* Draws whether and when the disk refuses calls: one, or all until the process ends. */
static void
history_draw_failure (struct History *h)
{
  if (draw (h, 2) == 0)
    power_loss_fail_after (draw (h, 30), draw (h, 3) == 0 ? 1 : UINT32_MAX);
}

/* Ends the process, by a kill or by a loss of power. */
static void
history_end_life (struct History *h)
{
  TALLOC_FREE (h->log);
  TALLOC_FREE (h->spool);
  if (draw (h, 3) == 0)
    power_loss_restart ();
  else
    power_loss_strike (h->seed + h->draws);
}

static uint32_t
record_number (const uint8_t *record, size_t n_bytes)
{
  char text[16];

  snprintf (text, sizeof text, "%.*s", (int)n_bytes, (const char *)record);
  return (uint32_t)strtoul (text, NULL, 10);
}

static void
record_text (uint32_t number, char text[16])
{
  snprintf (text, 16, "%u", number);
}

/* The log. */

static void
log_on_replay (void *data, const struct DiskPlace *place, const uint8_t *record, size_t n_bytes)
{
  struct History *h = data;
  uint32_t number = record_number (record, n_bytes);

  expect (h, number > h->last_seen && number <= h->n_submitted, "replay out of order");
  number %= RECORDS_MAX;
  h->last_seen = number;
  h->seen[number] = true;
  disk_log_extend (h->log, place->file, h->early[number] ? EARLY_MS : LATE_MS);
  if (place->file > h->highest_file)
    h->highest_file = place->file;
}

/* A record that was replayed has been passed on, so it must stay from then on. */
static void
log_check_replayed (struct History *h)
{
  for (uint32_t i = 1; i <= h->n_submitted; i++)
    {
      expect (h, h->seen[i] || !h->due[i], "an acknowledged record is lost");
      h->due[i] = h->seen[i] && !h->early[i];
    }
}

static void
log_check_kept (struct History *h)
{
  size_t n_bytes;
  uint8_t *kept = disk_log_load_named (h->log, h, "x", &n_bytes);
  uint32_t number = kept != NULL ? record_number (kept, n_bytes) : 0;

  expect (h, number >= h->named, "a named record is lost");
  expect (h, number <= h->named_submitted, "a named record is unknown");
  h->named = number;
  expect (h, disk_log_is_complete (h->log) || !h->marked, "the mark is lost");
  h->marked = disk_log_is_complete (h->log);
}

/* Returns false if the disk has refused it. */
static bool
log_open (struct History *h)
{
  struct Fault fault;

  memset (h->seen, 0, sizeof h->seen);
  h->last_seen = 0;
  if (disk_log_open (h, h->events, h->folder, log_on_replay, h, &h->log, &fault) != ERROR_NONE)
    return false;
  log_check_replayed (h);
  log_check_kept (h);
  h->highest_before = h->highest_file;
  return true;
}

struct Append
{
  struct History *history;
  uint32_t number;
};

static void
log_on_appended (void *data, int32_t error, const struct DiskPlace *place)
{
  struct Append *append = data;
  struct History *h = append->history;

  if (error == ERROR_NONE)
    {
      h->due[append->number] = !h->early[append->number];
      expect (h, place->file > h->highest_before, "a file's number is used twice");
      if (place->file > h->highest_file)
        h->highest_file = place->file;
    }
  h->idle = --h->n_pending == 0;
  talloc_free (append);
}

static void
log_append_records (struct History *h, uint32_t n)
{
  h->idle = false;
  h->n_pending = n;
  for (uint32_t i = 0; i < n; i++)
    {
      struct Append *append = talloc_zero (h, struct Append);
      char text[16];

      append->history = h;
      append->number = ++h->n_submitted;
      h->early[append->number] = draw (h, 3) == 0;
      record_text (append->number, text);
      CU_ASSERT_EQUAL (disk_log_append (h->log, (const uint8_t *)text, strlen (text),
                                        h->early[append->number] ? EARLY_MS : LATE_MS,
                                        log_on_appended, append),
                       ERROR_NONE);
    }
  CU_ASSERT_TRUE_FATAL (events_until (h->events, &h->idle));
}

/* The writer may split the records over several batches. */
static void
log_append (struct History *h)
{
  log_append_records (h, 1 + draw (h, BATCH_MAX));
}

static void
log_on_named (void *data, int32_t error, const struct DiskPlace *place)
{
  struct History *h = data;

  (void)place;
  h->named_done = true;
  if (error == ERROR_NONE)
    h->named = h->named_submitted;
}

static void
log_store_named (struct History *h)
{
  char text[16];

  record_text (++h->named_submitted, text);
  h->named_done = false;
  CU_ASSERT_EQUAL (
      disk_log_store_named (h->log, "x", (const uint8_t *)text, strlen (text), log_on_named, h),
      ERROR_NONE);
  CU_ASSERT_TRUE_FATAL (events_until (h->events, &h->named_done));
}

static void
log_step (struct History *h)
{
  switch (draw (h, 6))
    {
    case 0:
      if (disk_log_mark_complete (h->log) == ERROR_NONE)
        h->marked = true;
      break;
    case 1:
      log_store_named (h);
      break;
    case 2:
      disk_log_drop_expired (h->log, EARLY_MS + 1);
      break;
    default:
      log_append (h);
      break;
    }
}

static void
log_run_seed (uint64_t seed)
{
  struct History *h = history_new (seed);

  for (int life = 0; life < LIVES; life++)
    {
      history_draw_failure (h);
      if (log_open (h))
        for (uint32_t n = draw (h, STEPS_MAX); n > 0; n--)
          log_step (h);
      history_end_life (h);
    }
  CU_ASSERT_TRUE (log_open (h));
  log_append (h);
  expect (h, h->due[h->n_submitted] || h->early[h->n_submitted], "an append fails afterwards");
  TALLOC_FREE (h->log);
  power_loss_strike (seed);
  CU_ASSERT_TRUE (log_open (h));
  history_free (h);
}

/* A power failure at any moment must lose nothing that was acknowledged or replayed. */
static void
test_log_survives_power_loss (void)
{
  for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
    log_run_seed (seed);
}

/* The spool. */

static void
spool_on_record (void *data, uint64_t number, const uint8_t *record, size_t n_bytes)
{
  struct History *h = data;

  expect (h, number > h->last_seen && number <= h->n_submitted, "spool out of order");
  expect (h, record_number (record, n_bytes) == number, "a spooled record has changed");
  h->last_seen = (uint32_t)number;
  h->seen[number % RECORDS_MAX] = true;
}

static bool
spool_reopen (struct History *h)
{
  struct Fault fault;

  if (spool_open (h, h->folder, &h->spool, &fault) != ERROR_NONE)
    return false;
  memset (h->seen, 0, sizeof h->seen);
  h->last_seen = 0;
  spool_each (h->spool, "malda-1.7", spool_on_record, h);
  log_check_replayed (h);
  expect (h, h->id[0] == '\0' || strcmp (h->id, spool_id (h->spool)) == 0, "the id has changed");
  snprintf (h->id, sizeof h->id, "%s", spool_id (h->spool));
  return true;
}

static void
spool_put_and_sync (struct History *h)
{
  uint32_t n = 1 + draw (h, BATCH_MAX), first = h->n_submitted + 1;
  bool put[RECORDS_MAX] = { false };

  for (uint32_t i = 0; i < n; i++)
    {
      char text[16];

      record_text (++h->n_submitted, text);
      put[h->n_submitted] =
          spool_put (h->spool, "malda-1.7", h->n_submitted, (const uint8_t *)text, strlen (text))
          == ERROR_NONE;
    }
  if (spool_sync (h->spool) == ERROR_NONE)
    for (uint32_t i = first; i <= h->n_submitted; i++)
      h->due[i] = put[i];
  h->last_seen = 0;
  spool_each (h->spool, "malda-1.7", spool_on_record, h);
  for (uint32_t i = first; i <= h->n_submitted; i++)
    h->due[i] = h->due[i] || h->seen[i];
}

/* A dropped record may come back: its writer has it in its journal. */
static void
spool_drop_some (struct History *h)
{
  uint32_t number = draw (h, h->n_submitted + 1);

  spool_drop (h->spool, "malda-1.7", number);
  for (uint32_t i = 1; i <= number; i++)
    {
      h->early[i] = true;
      h->due[i] = false;
    }
}

static void
spool_step (struct History *h)
{
  if (draw (h, 4) == 0)
    spool_drop_some (h);
  else
    spool_put_and_sync (h);
}

static void
spool_run_seed (uint64_t seed)
{
  struct History *h = history_new (seed);

  for (int life = 0; life < LIVES; life++)
    {
      history_draw_failure (h);
      if (spool_reopen (h))
        for (uint32_t n = draw (h, STEPS_MAX); n > 0; n--)
          spool_step (h);
      history_end_life (h);
    }
  CU_ASSERT_TRUE (spool_reopen (h));
  spool_put_and_sync (h);
  expect (h, h->due[h->n_submitted], "a put fails afterwards");
  TALLOC_FREE (h->spool);
  power_loss_strike (seed);
  CU_ASSERT_TRUE (spool_reopen (h));
  history_free (h);
}

/* The same for the records that a spool holds for others, and for the id of its disk. */
static void
test_spool_survives_power_loss (void)
{
  for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
    spool_run_seed (seed);
}

/* Guards against a sync of the folder for each batch, which would halve the disk's throughput. */
static void
test_folder_is_synced_once_per_file (void)
{
  struct History *h = history_new (1);
  uint32_t before;

  CU_ASSERT_TRUE_FATAL (log_open (h));
  before = power_loss_folder_syncs ();
  for (int i = 0; i < 5; i++)
    log_append (h);
  CU_ASSERT_EQUAL (power_loss_folder_syncs (), before + 1);
  history_free (h);
}

/* Guards against an acknowledged record in a file whose name may be lost. */
static void
test_refused_folder_sync_fails_the_write (void)
{
  struct History *h = history_new (1);
  uint32_t n;

  CU_ASSERT_TRUE_FATAL (log_open (h));
  power_loss_fail_after (2, 1); /* a file is created and synced, then its folder */
  log_append_records (h, 1);
  CU_ASSERT_EQUAL (h->highest_file, 0);
  n = h->n_submitted;
  log_append (h);
  CU_ASSERT_EQUAL (h->highest_file, 2);
  TALLOC_FREE (h->log);
  CU_ASSERT_TRUE_FATAL (log_open (h));
  CU_ASSERT_FALSE (h->seen[n]);
  history_free (h);
}

static void
cut_run_seed (uint64_t seed)
{
  struct History *h = history_new (seed);

  CU_ASSERT_TRUE_FATAL (log_open (h));
  CU_ASSERT_EQUAL (disk_log_mark_complete (h->log), ERROR_NONE);
  h->marked = true;
  log_append (h);
  power_loss_fail_after (0, UINT32_MAX);
  log_append (h);
  log_append (h);
  CU_ASSERT_EQUAL (h->highest_file, 1);
  power_loss_restart ();
  log_append (h);
  CU_ASSERT_EQUAL (h->highest_file, 2);
  TALLOC_FREE (h->log);
  power_loss_strike (seed);
  CU_ASSERT_TRUE_FATAL (log_open (h));
  history_free (h);
}

/* Guards against the remains of a failed write that are taken for damaged records later. */
static void
test_file_is_cut_before_the_next_one (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    cut_run_seed (seed);
}

/* Guards against a folder that exists, but whose name is never synced. */
static void
test_folder_is_made_again_after_a_refused_sync (void)
{
  struct History *h = history_new (1);

  power_loss_fail_after (1, 1);
  CU_ASSERT_FALSE (log_open (h));
  CU_ASSERT_NOT_EQUAL (access (h->folder, F_OK), 0);
  CU_ASSERT_TRUE (log_open (h));
  history_free (h);
}

static void
seal_run_seed (uint64_t seed)
{
  struct History *h = history_new (seed);

  CU_ASSERT_TRUE_FATAL (spool_reopen (h));
  power_loss_fail_after (2, 1); /* the file is created and synced, then its folder */
  CU_ASSERT_EQUAL (spool_seal (h->spool, "malda-1.7"), ERROR_IO);
  CU_ASSERT_EQUAL (spool_seal (h->spool, "malda-1.7"), ERROR_NONE);
  TALLOC_FREE (h->spool);
  power_loss_strike (seed);
  CU_ASSERT_TRUE_FATAL (spool_reopen (h));
  CU_ASSERT_EQUAL (spool_put (h->spool, "malda-1.7", 1, (const uint8_t *)"1", 1), ERROR_FENCED);
  history_free (h);
}

/* Guards against a seal that is reported at the second attempt, though it is not durable. */
static void
test_repeated_seal_is_durable (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    seal_run_seed (seed);
}

static void
spool_put_one (struct History *h, uint32_t number)
{
  char text[16];

  record_text (number, text);
  h->n_submitted = number;
  CU_ASSERT_EQUAL (spool_put (h->spool, "malda-1.7", number, (const uint8_t *)text, strlen (text)),
                   ERROR_NONE);
}

/* Guards against an acknowledged record that is not passed on, since records before it were dropped
 * and then refused by the disk. */
static void
test_record_after_dropped_and_refused_ones_is_passed_on (void)
{
  struct History *h = history_new (1);

  CU_ASSERT_TRUE_FATAL (spool_reopen (h));
  spool_put_one (h, 1);
  spool_put_one (h, 2);
  spool_drop (h->spool, "malda-1.7", 1);
  power_loss_fail_after (0, 1);
  CU_ASSERT_EQUAL (spool_sync (h->spool), ERROR_IO);
  CU_ASSERT_EQUAL (spool_count (h->spool), 0);
  spool_put_one (h, 3);
  CU_ASSERT_EQUAL (spool_sync (h->spool), ERROR_NONE);
  spool_each (h->spool, "malda-1.7", spool_on_record, h);
  CU_ASSERT_EQUAL (h->last_seen, 3);
  history_free (h);
}

const char test_suite_name[] = "disk_power_loss";
const struct TestCase test_cases[] = {
  { "a log survives power loss", test_log_survives_power_loss },
  { "a spool survives power loss", test_spool_survives_power_loss },
  { "the folder is synced once per file", test_folder_is_synced_once_per_file },
  { "a refused folder sync fails the write", test_refused_folder_sync_fails_the_write },
  { "a file is cut before the next one", test_file_is_cut_before_the_next_one },
  { "the folder is made again after a refused sync",
    test_folder_is_made_again_after_a_refused_sync },
  { "a repeated seal is durable", test_repeated_seal_is_durable },
  { "a record after dropped and refused ones is passed on",
    test_record_after_dropped_and_refused_ones_is_passed_on },
  { NULL, NULL },
};
