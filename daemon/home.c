#include "home_internal.h"

#include "spooler.h"

#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  MAP_POLL_MS = 1000,
  MAP_HINT_MS = 30,
  JOURNAL_BURST_SLOTS = 8,
  RETAIN_ENDED_MS = 60 * 60 * 1000,
  SWEEP_MS = 1000
};

int64_t
core_unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Refuses a request for a program of another home. This attempt did not run; only the home has a
 * record of earlier ones. */
static void
home_refuse_not_owner (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  struct PeerResponse reply = { .id = request->id };

  reply.outcome.error = fault_set (&reply.fault, ERROR_NOT_OWNER, NULL,
                                   "%s is not the program's home", home->core->settings->instance);
  reply.outcome.ran = request->first_attempt ? RAN_NO : RAN_MAYBE;
  home_reply (home, link, &reply);
}

/* Returns whether request may be served here. A partition that is being handed off still finishes
 * its calls: those in flight may be joined, and its programs viewed and ended. New calls and
 * programs wait at their entry for the next home. */
static bool
home_may_serve (struct Home *home, const struct PeerRequest *request, uint32_t partition)
{
  struct CallKey key;
  uint64_t epoch;

  if (homes_owns (home->homes, partition, &epoch))
    return true;
  if (!homes_may_write (home->homes, partition, &epoch))
    return false;
  switch (request->op)
    {
    case REQUEST_VIEW:
    case REQUEST_HISTORY:
    case REQUEST_END:
      return true;
    case REQUEST_CALL:
    case REQUEST_CALL_WITHOUT_PROGRAM:
      call_key_copy (&key, &request->call.key);
      return home_call_find (home, &key) != NULL;
    default:
      return false;
    }
}

void
home_on_request (struct Home *home, uint64_t link, const struct PeerRequest *request)
{
  uint32_t partition = home_partition (home, request->call.key.program);

  if (request->op == REQUEST_LIST)
    {
      home_on_list (home, link, request);
      return;
    }
  if (home->homes == NULL || !home_may_serve (home, request, partition))
    {
      home_refuse_not_owner (home, link, request);
      return;
    }
  switch (request->op)
    {
    case REQUEST_CREATE:
      home_on_create (home, link, request);
      break;
    case REQUEST_CALL:
      home_on_call (home, link, request);
      break;
    case REQUEST_CALL_WITHOUT_PROGRAM:
      home_on_lone (home, link, request);
      break;
    case REQUEST_VIEW:
      home_on_view (home, link, request);
      break;
    case REQUEST_HISTORY:
      home_on_history (home, link, request);
      break;
    case REQUEST_END:
      home_on_end (home, link, request);
      break;
    case REQUEST_LIST:
      break;
    }
}

const char *
home_lookup (const struct Home *home, uint32_t partition)
{
  return home->homes != NULL ? homes_lookup (home->homes, partition) : NULL;
}

void
home_count (const struct Home *home, uint32_t *partitions, uint32_t *programs)
{
  *partitions = home->homes != NULL ? homes_n_owned (home->homes) : 0;
  *programs = home->n_programs;
}

static void
home_on_map_hint_due (void *data)
{
  struct Home *home = data;
  struct PeerMessage hint = { .kind = PEER_MAP_CHANGED };

  TALLOC_FREE (home->map_hint_timer);
  fleet_broadcast (home->core->fleet, &hint);
}

/* Reports a change of the partition map to all peers. Without it, callers of a program that has
 * moved would wait for the next poll of the map, up to MAP_POLL_MS. The report is delayed by
 * MAP_HINT_MS so that one message covers all partitions of a move and the map itself has changed.
 */
static void
home_announce_map_change (struct Home *home)
{
  if (home->map_hint_timer == NULL)
    home->map_hint_timer =
        timer_subscribe (home, home->core->timers, MAP_HINT_MS, 0, home_on_map_hint_due, home);
}

void
home_on_map_hint (struct Home *home)
{
  if (home->homes != NULL)
    homes_refresh (home->homes);
}

static void
home_on_gained (void *data, uint32_t partition)
{
  struct Home *home = data;

  log_event (LOG_LEVEL_INFO, "partition_gained", NULL, NULL, "partition %u", partition);
  home_announce_map_change (home);
  fleet_publish (home->core->fleet);
}

static void
home_on_lost (void *data, uint32_t partition)
{
  struct Home *home = data;

  log_event (LOG_LEVEL_INFO, "partition_lost", NULL, NULL, "partition %u", partition);
  home_announce_map_change (home);
  fleet_publish (home->core->fleet);
}

static void
home_on_map_changed (void *data)
{
  struct Home *home = data;

  fleet_publish (home->core->fleet);
}

static int32_t
home_collect_spool (
    void *data, TALLOC_CTX *ctx, const char *incarnation, HomesSpoolDone done, void *done_data)
{
  struct Home *home = data;

  return spooler_collect (home->core->spooler, ctx, incarnation, done, done_data);
}

static void
home_on_fenced (void *data)
{
  struct Home *home = data;

  log_event (LOG_LEVEL_ERROR, "fenced", NULL,
             "no action needed: the instance rejoins by itself; if this recurs, check why it was "
             "silent",
             "%s was silent, and another instance sealed its journal", home->core->incarnation);
  membership_rejoin (home->core->membership);
}

void
home_set_members (struct Home *home, const struct HomesMember *members, size_t n_members)
{
  talloc_free (home->members);
  home->members = talloc_array (home, struct HomesMember, n_members);
  for (size_t i = 0; i < n_members; i++)
    {
      home->members[i] = members[i];
      home->members[i].incarnation = talloc_strdup (home->members, members[i].incarnation);
      home->members[i].instance = talloc_strdup (home->members, members[i].instance);
    }
  home->n_members = n_members;
  if (home->homes == NULL)
    return;
  journal_set_flush_interval (
      home->journal,
      journal_flush_interval_ms (home->core->settings->journal_writes_per_s, (uint32_t)n_members));
  homes_set_members (home->homes, home->members, home->n_members);
}

struct DeadlineSweep
{
  struct Home *home;
  int64_t now_unix_ms;
  char (*expired)[PROGRAM_ID_MAX_BYTES + 1]; /* programs whose deadline has passed */
  size_t n_expired;
  uint32_t n_programs; /* that have not ended */
};

/* Starts the retention time of an ended program that holds no memory at backend servers. It is
 * kept for resends of its calls and then forgotten, since memory and checkpoints would otherwise
 * grow without limit. A takeover restarts the retention time. */
static void
home_track_ended (struct Home *home, const struct LedgerProgramView *view)
{
  struct HomeEndedProgram *ended;
  int64_t now_ms = timer_now_ms (home->core->timers);

  HASH_FIND (by_program, home->ended, view->program, strlen (view->program), ended);
  if (ended != NULL || view->n_unreleased_servers > 0)
    return;
  ended = talloc_zero (home->incarnation_ctx, struct HomeEndedProgram);
  if (ended == NULL)
    return;
  snprintf (ended->program, sizeof ended->program, "%s", view->program);
  ended->since_ms = now_ms;
  HASH_ADD (by_program, home->ended, program, strlen (ended->program), ended);
}

static void
home_expire_ended (struct Home *home)
{
  struct HomeEndedProgram *ended, *next;
  int64_t now_ms = timer_now_ms (home->core->timers);

  HASH_ITER (by_program, home->ended, ended, next)
  {
    if (now_ms - ended->since_ms < RETAIN_ENDED_MS)
      continue;
    ledger_remove_program (home->ledger, ended->program);
    HASH_DELETE (by_program, home->ended, ended);
    talloc_free (ended);
  }
}

static void
home_sweep_program (void *data, const struct LedgerProgramView *view)
{
  struct DeadlineSweep *sweep = data;

  if (view->ended)
    {
      home_track_ended (sweep->home, view);
      return;
    }
  sweep->n_programs++;
  if (view->deadline_unix_ms == 0 || view->deadline_unix_ms > sweep->now_unix_ms)
    return;
  sweep->expired = talloc_realloc_size (sweep->home, sweep->expired,
                                        (sweep->n_expired + 1) * sizeof sweep->expired[0]);
  snprintf (sweep->expired[sweep->n_expired++], sizeof sweep->expired[0], "%s", view->program);
}

static void
home_on_sweep (void *data)
{
  struct Home *home = data;
  struct DeadlineSweep sweep = { .home = home, .now_unix_ms = core_unix_ms () };

  if (home->ledger == NULL)
    return;
  ledger_each_program (home->ledger, home_sweep_program, &sweep);
  home->n_programs = sweep.n_programs;
  for (size_t i = 0; i < sweep.n_expired; i++)
    home_end_program (home, sweep.expired[i], END_DEADLINE);
  talloc_free (sweep.expired);
  home_expire_ended (home);
}

/* Frees the hash tables, whose memory is not talloc's. Their entries belong to incarnation_ctx. */
static void
home_clear_tables (struct Home *home)
{
  HASH_CLEAR (by_key, home->releases);
  home_history_clear (home);
  HASH_CLEAR (by_program, home->ended);
  HASH_CLEAR (by_key, home->uncertain);
}

int32_t
home_start (struct Home *home, const char *incarnation)
{
  struct Core *core = home->core;
  struct JournalOptions journal = { 0 };
  struct HomesOptions homes = { 0 };

  home_fail_all (home, ERROR_FENCED);
  home_clear_tables (home);
  TALLOC_FREE (home->incarnation_ctx);
  home->n_starts++;
  home->homes = NULL;
  home->incarnation_ctx = talloc_new (home);
  home->ledger = ledger_new (home->incarnation_ctx);
  home->placement = placement_new (home->incarnation_ctx);
  journal.prefix = core->settings->prefix;
  journal.incarnation = incarnation;
  journal.flush_interval_ms =
      journal_flush_interval_ms (core->settings->journal_writes_per_s, (uint32_t)home->n_members);
  journal.burst_slots = JOURNAL_BURST_SLOTS;
  journal.retry_ms = core->settings->journal_retry_ms;
  journal.fenced = home_on_fenced;
  journal.data = home;
  home->journal = journal_new (home->incarnation_ctx, core->kv, core->timers, &journal);
  homes.prefix = core->settings->prefix;
  homes.incarnation = incarnation;
  homes.n_partitions = core->settings->n_partitions;
  homes.group_size = core->settings->partition_group_size;
  homes.poll_ms = MAP_POLL_MS;
  homes.collect_spool = home_collect_spool;
  homes.gained = home_on_gained;
  homes.lost = home_on_lost;
  homes.map_changed = home_on_map_changed;
  homes.data = home;
  if (home->ledger == NULL || home->placement == NULL || home->journal == NULL)
    return ERROR_NO_MEMORY;
  home->homes = homes_new (home->incarnation_ctx, core->kv, core->timers, home->journal,
                           home->ledger, &homes);
  if (home->homes == NULL)
    return ERROR_NO_MEMORY;
  home_write_start (home);
  home_release_start (home);
  homes_set_members (home->homes, home->members, home->n_members);
  return ERROR_NONE;
}

void
home_cancel_hand_off (struct Home *home)
{
  if (home->homes != NULL)
    homes_cancel_hand_off (home->homes);
}

void
home_hand_off_all (struct Home *home, JournalDone done, void *data)
{
  if (home->homes == NULL)
    done (data, ERROR_NONE);
  else
    homes_hand_off_all (home->homes, done, data);
}

uint64_t
home_n_starts (const struct Home *home)
{
  return home->n_starts;
}

static int
home_free (struct Home *home)
{
  HASH_CLEAR (by_key, home->calls);
  HASH_CLEAR (by_dispatch, home->dispatches);
  home_clear_tables (home);
  return 0;
}

struct Home *
home_new (struct Core *core)
{
  static const struct QuarantineOptions quarantine_options = { .has_trials = false };
  struct Home *home = talloc_zero (core, struct Home);

  if (home == NULL)
    return NULL;
  home->core = core;
  home->next_id = 1;
  talloc_set_destructor (home, home_free);
  home->quarantine = quarantine_new (home, &quarantine_options);
  home->retries = retry_budget_new (home, (uint64_t)core_unix_ms ());
  timer_subscribe (home, core->timers, SWEEP_MS, SWEEP_MS, home_on_sweep, home);
  return home;
}
