#include "homes_state.h"

#include <buckthornhead/error.h>

#include <string.h>

enum
{
  LEAVE_POLL_MS = 20,
  /* How long a home that is being drained or stopped waits for a partition to become idle before it
   * stops accepting new calls for it. */
  IDLE_TIMEOUT_MS = 15000
};

/* A hand-off record that is being appended to the journal. */
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
  /* The record is durable: the next home reads everything up to here, and no record of this
   * partition and epoch follows. The map must not change earlier. */
  homes_stop_serving (homes, partition);
  homes_step (homes);
}

/* Appends the hand-off record if the partition is idle. Returns true once the record is queued. */
static bool
queue_handoff (struct Homes *homes, uint32_t partition)
{
  struct HomesPartition *p = &homes->partitions[partition];
  struct Record record = { .kind = RECORD_HANDOFF, .partition = partition, .epoch = p->epoch };
  struct HomesHandoff *handoff;

  if (ledger_partition_is_busy (homes->ledger, partition))
    return false;
  if (homes->options.may_hand_off != NULL
      && !homes->options.may_hand_off (homes->options.data, partition))
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
  /* The next home needs the slots that a replay needs now until its own snapshots are durable. */
  p->pin_slot = journal_replay_from (homes->journal);
  return true;
}

/* Returns true while partition waits to be handed off. A partition is handed off when it has no
 * calls in flight and is served normally until then, so that a joining member does not make callers
 * wait for the end of another caller's long response. A home that is drained or stopped has to
 * finish, so after IDLE_TIMEOUT_MS it accepts no new calls and waits for those in flight. */
static bool
leave_step (struct Homes *homes, uint32_t partition)
{
  struct HomesPartition *p = &homes->partitions[partition];

  if (p->state == HOMES_OWNED && p->leave_since_ms != 0)
    {
      if (queue_handoff (homes, partition))
        {
          p->state = HOMES_LEAVING;
          return false;
        }
      if (!homes_is_candidate (homes)
          && timer_now_ms (homes->timers) - p->leave_since_ms >= IDLE_TIMEOUT_MS)
        p->state = HOMES_LEAVING;
      return true;
    }
  if (p->state == HOMES_LEAVING && !p->handoff_queued)
    return !queue_handoff (homes, partition);
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
    if (homes->partitions[i].state != HOMES_NOT_SERVED
        || homes_is_self (homes, homes_entry (homes, i)->home))
      return;
  homes->stopped = NULL;
  stopped (homes->stopped_data, ERROR_NONE);
}

void
homes_cancel_hand_off (struct Homes *homes)
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
