/* Plays drawn sequences of turns, losses, copies and restarts on the indexes of several archives,
 * and checks that each turn can be continued from as many archives as stored it. */
#include "test_main.h"

#include <buckthornhead/archive_order.h>
#include <buckthornhead/error.h>
#include <buckthornhead/turn_index.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ARCHIVES_MAX = 5,
  TURNS_MAX = 256,
  NO_TURN = -1,
  STEPS = 160,
  AWAY_STEPS = 20,
  RETENTION_MS = 60000
};

/* A turn as a caller knows it; turns are numbered in the order of their ends. */
struct Turn
{
  int previous; /* NO_TURN: the first of a chain */
  uint32_t retention_ms;
  int64_t closed_ms;
};

/* A record on an archive's disk. */
struct Stored
{
  int turn;
  int64_t unix_ms;
};

struct Disk
{
  struct TurnIndex *index;
  struct Stored records[4 * TURNS_MAX];
  size_t n_records;
  size_t n_copied; /* by the archive that is away */
};

struct World
{
  uint64_t draw;
  uint32_t n_archives, tolerated;
  struct Disk disks[ARCHIVES_MAX];
  struct Turn turns[TURNS_MAX];
  int n_turns;
  int64_t now_ms;
  uint32_t away; /* archive that does not belong to the set yet; ARCHIVES_MAX: none */
  int away_steps;
};

static uint32_t
world_draw (struct World *w, uint32_t n)
{
  w->draw = w->draw * 6364136223846793005ULL + 1442695040888963407ULL;
  return (uint32_t)(w->draw >> 33) % n;
}

static void
turn_id (char id[NAME_MAX_BYTES + 1], int turn)
{
  id[0] = '\0';
  if (turn != NO_TURN)
    snprintf (id, NAME_MAX_BYTES + 1, "t%d", turn);
}

/* Every third turn belongs to the program of the turn before it. */
static struct TurnClose
turn_close (const struct World *w, int turn)
{
  struct TurnClose close = { .kept = true, .retention_ms = w->turns[turn].retention_ms };

  snprintf (close.program, sizeof close.program, "p%d", turn - (turn % 3 == 2));
  turn_id (close.text.turn, turn);
  turn_id (close.text.previous, w->turns[turn].previous);
  return close;
}

static void
disk_index (struct World *w, struct Disk *disk, const struct Stored *stored)
{
  const struct TurnClose close = turn_close (w, stored->turn);
  const struct DiskPlace place = { 1, 0, 1 };

  CU_ASSERT_EQUAL (turn_index_close (disk->index, &close, &place, stored->unix_ms), ERROR_NONE);
}

static void
disk_write (struct World *w, struct Disk *disk, int turn, int64_t unix_ms)
{
  struct Stored *stored = &disk->records[disk->n_records++];

  *stored = (struct Stored){ turn, unix_ms };
  disk_index (w, disk, stored);
}

static bool
disk_has_chain (struct Disk *disk, int turn)
{
  char id[NAME_MAX_BYTES + 1];

  turn_id (id, turn);
  return turn_index_has_chain (disk->index, "", id);
}

static bool
disk_has (const struct Disk *disk, int turn)
{
  struct TurnPlace place;
  char id[NAME_MAX_BYTES + 1];

  turn_id (id, turn);
  return turn_index_find (disk->index, "", id, &place);
}

/* Stores the turns before turn that the disk lacks, oldest first. */
static void
disk_write_chain (struct World *w, struct Disk *disk, int turn)
{
  if (turn == NO_TURN)
    return;
  disk_write_chain (w, disk, w->turns[turn].previous);
  if (!disk_has (disk, turn))
    disk_write (w, disk, turn, w->now_ms);
}

/* Stores a new turn as gateways do: on the first archives of the order that respond; one that lacks
 * the chain receives it first. Archive silent does not respond. */
static void
world_add_turn (struct World *w, int previous, uint32_t silent)
{
  struct ArchiveCandidate candidates[ARCHIVES_MAX] = { 0 };
  int turn = w->n_turns++;
  char program[16];

  w->turns[turn] = (struct Turn){ previous, RETENTION_MS / (1 + world_draw (w, 3)), w->now_ms };
  for (uint32_t i = 0; i < w->n_archives; i++)
    {
      snprintf (candidates[i].name, sizeof candidates[i].name, "%u", i);
      candidates[i].responsive = i != silent;
      candidates[i].in_zone = world_draw (w, 3) == 0;
      candidates[i].has_chain = i != silent && disk_has_chain (&w->disks[i], previous);
    }
  snprintf (program, sizeof program, "p%d", turn);
  archive_order_sort (candidates, w->n_archives, program);
  for (uint32_t i = 0; i <= w->tolerated; i++)
    {
      struct Disk *disk = &w->disks[strtoul (candidates[i].name, NULL, 10)];

      if (!disk_has_chain (disk, previous))
        disk_write_chain (w, disk, previous);
      disk_write (w, disk, turn, w->now_ms);
    }
}

/* The archive reads its disk again, which has the records in the order in which they were written.
 */
static void
world_restart (struct World *w, uint32_t archive)
{
  struct Disk *disk = &w->disks[archive];

  talloc_free (disk->index);
  disk->index = turn_index_new (NULL);
  for (size_t i = 0; i < disk->n_records; i++)
    disk_index (w, disk, &disk->records[i]);
  turn_index_expire (disk->index, w->now_ms);
}

/* The archive copies what the others still need of the records that it has not copied yet, in a
 * drawn order. The records keep their age on the disk. */
static void
world_copy (struct World *w, uint32_t archive)
{
  struct Disk *disk = &w->disks[archive];

  for (uint32_t i = 0; i < w->n_archives; i++)
    {
      struct Disk *source = &w->disks[i];
      size_t n = source->n_records - source->n_copied;
      size_t first = n > 0 ? world_draw (w, (uint32_t)n) : 0;

      for (size_t j = 0; i != archive && j < n; j++)
        {
          const struct Stored *stored = &source->records[source->n_copied + (first + j) % n];
          const struct Stored fresh = { stored->turn, w->now_ms };

          if (!disk_has (source, stored->turn) || disk_has (disk, stored->turn))
            continue;
          disk->records[disk->n_records++] = *stored;
          disk_index (w, disk, &fresh);
        }
      source->n_copied = source->n_records;
    }
}

/* The archive loses its disk and copies those of the others. It may then have to wait before it
 * belongs to the set again, as a successor that has copied ahead. */
static void
world_lose_disk (struct World *w, uint32_t archive, bool waits)
{
  struct Disk *disk = &w->disks[archive];

  talloc_free (disk->index);
  disk->index = turn_index_new (NULL);
  disk->n_records = 0;
  for (uint32_t i = 0; i < w->n_archives; i++)
    w->disks[i].n_copied = 0;
  world_copy (w, archive);
  if (waits)
    {
      w->away = archive;
      w->away_steps = AWAY_STEPS;
    }
}

/* Returns a turn that is still kept; NO_TURN if there is none. */
static int
world_draw_kept (struct World *w)
{
  for (int i = 0; w->n_turns > 0 && i < 8; i++)
    {
      int turn = (int)world_draw (w, (uint32_t)w->n_turns);

      if (w->turns[turn].closed_ms + w->turns[turn].retention_ms > w->now_ms)
        return turn;
    }
  return NO_TURN;
}

static void
world_check (struct World *w, uint64_t seed)
{
  for (int turn = 0; turn < w->n_turns; turn++)
    {
      uint32_t n = 0;

      if (w->turns[turn].closed_ms + w->turns[turn].retention_ms <= w->now_ms)
        continue;
      for (uint32_t i = 0; i < w->n_archives; i++)
        n += i != w->away && disk_has_chain (&w->disks[i], turn);
      if (n < w->tolerated + (w->away == ARCHIVES_MAX))
        {
          printf ("seed %llu: turn %d can be continued from %u archives at %lld ms\n",
                  (unsigned long long)seed, turn, n, (long long)w->now_ms);
          CU_FAIL ("a chain is on too few archives");
          return;
        }
    }
}

static void
world_wait (struct World *w, uint32_t ms)
{
  w->now_ms += ms;
  for (uint32_t i = 0; i < w->n_archives; i++)
    turn_index_expire (w->disks[i].index, w->now_ms);
}

/* A turn that runs for long may end after the turns that it continues have expired. */
static void
world_run_turn (struct World *w, uint32_t silent)
{
  int previous = world_draw_kept (w);

  if (world_draw (w, 8) == 0)
    world_wait (w, RETENTION_MS);
  world_add_turn (w, previous, silent);
}

static void
world_step (struct World *w)
{
  uint32_t archive = world_draw (w, w->n_archives);

  world_wait (w, world_draw (w, 9000));
  if (w->away != ARCHIVES_MAX && w->away_steps-- == 0)
    {
      world_copy (w, w->away);
      w->away = ARCHIVES_MAX;
    }
  switch (world_draw (w, 10))
    {
    case 0:
    case 1:
      if (w->away == ARCHIVES_MAX)
        world_lose_disk (w, archive, world_draw (w, 4) == 0);
      break;
    case 2:
      world_restart (w, archive);
      break;
    default:
      if (w->away != ARCHIVES_MAX)
        archive = w->away;
      else if (world_draw (w, 3) != 0)
        archive = ARCHIVES_MAX;
      world_run_turn (w, archive);
      break;
    }
}

static void
play (uint64_t seed, uint32_t n_archives, uint32_t tolerated)
{
  struct World *w = talloc_zero (NULL, struct World);
  uint32_t n_failures = CU_get_number_of_failures ();

  *w = (struct World){
    .draw = seed, .n_archives = n_archives, .tolerated = tolerated, .away = ARCHIVES_MAX
  };
  for (uint32_t i = 0; i < n_archives; i++)
    w->disks[i].index = turn_index_new (NULL);
  for (int i = 0; i < STEPS && CU_get_number_of_failures () == n_failures; i++)
    {
      world_step (w);
      world_check (w, seed);
    }
  for (uint32_t i = 0; i < n_archives; i++)
    talloc_free (w->disks[i].index);
  talloc_free (w);
}

/* The first turns of a chain expired at archives that did not store the later ones, so that the
 * loss of one disk ended the chain. */
static void
test_a_chain_stays_on_enough_archives (void)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      play (seed, 3, 1);
      play (seed, 5, 2);
      play (seed, 5, 1);
    }
}

const char test_suite_name[] = "chain_retention";
const struct TestCase test_cases[] = {
  { "a chain stays on enough archives", test_a_chain_stays_on_enough_archives },
  { NULL, NULL },
};
