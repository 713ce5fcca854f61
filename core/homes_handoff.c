#include "homes_state.h"

#include <buckthornhead/error.h>

#include <string.h>

enum
{
  LEAVE_POLL_MS = 20,
  /* A home that has to go takes no new calls for a partition that was not quiet for so long. */
  QUIET_PATIENCE_MS = 15000
};

/* A hand-off record on its way into the journal. */
struct HomesHandoff
{
  struct Homes *homes;
  uint32_t partition;
  uint64_t epoch;
};

static void
homes_on_handoff (void *data, int32_t error)
{
  struct HomesHandoff *handoff = data;
  struct Homes *homes = handoff->homes;
  uint32_t partition = handoff->partition;
  const struct HomesPartition *p = &homes->partitions[partition];
  bool own = p->state == HOMES_LEAVING && p->epoch == handoff->epoch;

  talloc_free (handoff);
  if (error != ERROR_NONE || !own)
    return;
  /* Durable: whoever the map names next reads everything up to here, and nothing of this
   * partition and epoch follows. Only now may the map change. */
  homes_leave (homes, partition);
  homes_step (homes);
}

/* True once the hand-off record is queued. */
static bool
try_to_leave (struct Homes *homes, uint32_t partition)
{
  struct HomesPartition *p = &homes->partitions[partition];
  struct Record record = { .kind = RECORD_HANDOFF, .partition = partition, .epoch = p->epoch };
  struct HomesHandoff *handoff;

  if (ledger_partition_is_busy (homes->ledger, partition))
    return false;
  if (homes->options.may_leave != NULL
      && !homes->options.may_leave (homes->options.data, partition))
    return false;
  handoff = talloc_zero (homes, struct HomesHandoff);
  if (handoff == NULL)
    return false;
  handoff->homes = homes;
  handoff->partition = partition;
  handoff->epoch = p->epoch;
  p->handoff_queued =
      journal_append (homes->journal, &record, homes_on_handoff, handoff) == ERROR_NONE;
  if (!p->handoff_queued)
    {
      talloc_free (handoff);
      return false;
    }
  /* What this journal needs now, the next home needs until it has written its own snapshots. */
  p->pin_slot = journal_replay_from (homes->journal);
  return true;
}

/* True while partition waits to be left. A partition is left in a moment in which nothing is in
 * flight, and until then it is served as ever: a joining member is no reason to make a caller wait
 * for the end of somebody else's long answer. A home that is being stopped has to go in the end, so
 * after a while it takes no new calls, and what is in flight ends. */
static bool
leave_step (struct Homes *homes, uint32_t partition)
{
  struct HomesPartition *p = &homes->partitions[partition];

  if (p->state == HOMES_OWNED && p->leave_since_ms != 0)
    {
      if (try_to_leave (homes, partition))
        {
          p->state = HOMES_LEAVING;
          return false;
        }
      if (!homes_is_candidate (homes)
          && timer_now_ms (homes->timers) - p->leave_since_ms >= QUIET_PATIENCE_MS)
        p->state = HOMES_LEAVING;
      return true;
    }
  if (p->state == HOMES_LEAVING && !p->handoff_queued)
    return !try_to_leave (homes, partition);
  return false;
}

static void
homes_on_leave_poll (void *data)
{
  struct Homes *homes = data;
  bool waiting = false;

  TALLOC_FREE (homes->leave_timer);
  if (journal_is_fenced (homes->journal))
    return;
  for (uint32_t i = 0; i < homes->options.n_partitions; i++)
    waiting |= leave_step (homes, i);
  if (waiting)
    homes->leave_timer =
        timer_subscribe (homes, homes->timers, LEAVE_POLL_MS, 0, homes_on_leave_poll, homes);
}

void
homes_start_leaving (struct Homes *homes, uint32_t partition)
{
  struct HomesPartition *p = &homes->partitions[partition];

  if (p->leave_since_ms == 0)
    p->leave_since_ms = timer_now_ms (homes->timers) > 0 ? timer_now_ms (homes->timers) : 1;
  if (homes->leave_timer == NULL)
    homes->leave_timer = timer_subscribe (homes, homes->timers, 0, 0, homes_on_leave_poll, homes);
}

void
homes_check_stopped (struct Homes *homes)
{
  JournalDone stopped = homes->stopped;

  if (!homes->stopping || stopped == NULL)
    return;
  for (uint32_t i = 0; i < homes->options.n_partitions; i++)
    if (homes->partitions[i].state != HOMES_AWAY
        || homes_is_self (homes, homes_entry (homes, i)->home))
      return;
  homes->stopped = NULL;
  stopped (homes->stopped_data, ERROR_NONE);
}

void
homes_serve_again (struct Homes *homes)
{
  homes->stopping = false;
  homes->stopped = NULL;
}

void
homes_hand_off_all (struct Homes *homes, JournalDone done, void *data)
{
  size_t n_kept = 0;

  homes->stopping = true;
  homes->stopped = done;
  homes->stopped_data = data;
  for (size_t i = 0; i < homes->n_candidates; i++)
    if (!homes_is_self (homes, homes->candidate_incarnations[i]))
      {
        homes->candidates[n_kept] = homes->candidates[i];
        homes->candidate_incarnations[n_kept++] = homes->candidate_incarnations[i];
      }
  homes->n_candidates = n_kept;
  homes_step (homes);
}
