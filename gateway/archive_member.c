#include "archive_member.h"

#include <buckthornhead/archive_order.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 200,
  /* Silence after which a member is replaced if a spare archive exists: longer than the restart of
   * a process, shorter than the time within which a lost disk must be replaced. */
  FAILURE_TIMEOUT_MS = 3000,
  /* Silence of a member after which a spare archive begins to copy, in case it has to replace it:
   * longer than other processes take to be noticed after a start. */
  AHEAD_SILENCE_MS = 500,
  /* Records that an archive accepted under the old set may still be waiting for their disk sync
   * when it receives the new one; a sync takes milliseconds. */
  COPY_SETTLE_MS = 500,
  RETIRE_MAX = 16,
  /* Time after which other archives end a change that the changing archive has not ended. */
  ENDING_TAKEOVER_MS = 2000,
  /* Time for a spare archive to take the place of one that failed while it joined, before the
   * change is given up. */
  ABORT_DELAY_MS = 2000,
  /* Delay after a step that conflicted with another archive's or that the store did not accept. */
  RETRY_MS = 400,
  /* Delay for each archive that precedes this one in joining the first set. A step takes two calls
   * to the store, and all archives receive a new member within about 300 ms. */
  FIRST_STAGGER_MS = 600,
  /* Interval of the log lines of an archive whose disk is incomplete. */
  INCOMPLETE_LOG_MS = 10 * 1000,
  /* Maximum wait for the lists of processes, without which each archive would assume that it is the
   * first. */
  FIRST_DISCOVERY_MS = 1500
};

/* What the records of other archives are copied for. */
enum CopyPurpose
{
  COPY_FOR_NOTHING,
  COPY_AHEAD,   /* of a change in which this archive is likely to join */
  COPY_RESTORE, /* a lost disk */
  COPY_CHANGE   /* of the set, which must be complete before the next stage */
};

struct ArchiveMember
{
  struct Node *node;
  struct Archive *archive;
  struct DiskLog *log;
  int64_t bootstrap_since_ms; /* when bootstrap_generation was received */
  uint64_t bootstrap_generation;
  bool bootstrapping; /* first start of the whole system, and this archive has not joined yet */
  struct ArchiveCopy *copy;
  enum CopyPurpose copy_purpose;
  uint64_t copy_generation; /* of the set, when the copy was begun or continued for its purpose */
  bool caught_up;           /* logged that the copy ahead has all records */
  uint64_t synced_generation;
  int64_t stuck_since_ms;       /* since when no turn can be served for lack of disks; 0: not so */
  int64_t incomplete_logged_ms; /* when the last such line was logged */
  char retiring[RETIRE_MAX][NAME_MAX_BYTES + 1];
  size_t n_retiring;
  struct ArchiveStep step;   /* being written to the store; points to joining and leaving */
  struct ArchiveSet new_set; /* written to the store for that step */
  char joining[NAME_MAX_BYTES + 1], leaving[NAME_MAX_BYTES + 1];
  bool write_pending;
  int64_t retry_ms;
  struct ArchiveNames tracked;              /* archives that the set's requests go to */
  int64_t silent_since_ms[ARCHIVE_SET_MAX]; /* of each of them; 0: live */
  int64_t vacant_since_ms; /* since when this archive could replace a member; 0: none */
  uint64_t ending_generation;
  int64_t ending_since_ms; /* when ending_generation was received */
  bool reported_running, reported_completed, report_pending;
  bool waiting_logged; /* that the retirement of this archive waits for another one */
};

static const char *
member_name (const struct ArchiveMember *member)
{
  return member->node->settings->instance;
}

static int64_t
member_now_ms (const struct ArchiveMember *member)
{
  return timer_now_ms (member->node->timers);
}

static bool
member_peer_is_live (const struct ArchiveMember *member, const char *name)
{
  const struct Peer *peer = node_peer (member->node, name);

  return strcmp (name, member_name (member)) == 0
         || (peer != NULL && node_peer_is_live (member->node, peer));
}

/* Updates since when each archive of the set has been silent. */
static void
member_track_silence (struct ArchiveMember *member)
{
  struct ArchiveNames targets = archive_set_targets (&member->node->set);
  int64_t since_ms[ARCHIVE_SET_MAX] = { 0 };

  for (uint32_t i = 0; i < targets.n; i++)
    {
      if (member_peer_is_live (member, targets.names[i]))
        continue;
      since_ms[i] = member_now_ms (member);
      for (uint32_t j = 0; j < member->tracked.n; j++)
        if (strcmp (member->tracked.names[j], targets.names[i]) == 0
            && member->silent_since_ms[j] != 0)
          since_ms[i] = member->silent_since_ms[j];
    }
  member->tracked = targets;
  memcpy (member->silent_since_ms, since_ms, sizeof since_ms);
}

/* Returns for how long an archive of the set has been silent; 0 if it is live. */
static int64_t
member_silence_ms (const struct ArchiveMember *member, const char *name)
{
  for (uint32_t i = 0; i < member->tracked.n; i++)
    if (strcmp (member->tracked.names[i], name) == 0 && member->silent_since_ms[i] != 0)
      return member_now_ms (member) - member->silent_since_ms[i];
  return 0;
}

static bool
member_is_retiring (const struct ArchiveMember *member, const char *name)
{
  for (size_t i = 0; i < member->n_retiring; i++)
    if (strcmp (member->retiring[i], name) == 0)
      return true;
  return false;
}

/* A step of the set: read it from the store, change it, compare and swap. */

static void
member_finish_step (struct ArchiveMember *member, int32_t error)
{
  member->write_pending = false;
  member->retry_ms = member_now_ms (member) + (error == ERROR_NONE ? 0 : RETRY_MS);
  if (error != ERROR_NONE)
    log_event (LOG_LEVEL_WARNING, "archive_set_not_written", NULL,
               "no action needed: it is retried", "cannot write the set of archives: %s",
               error_name (error));
}

static void
member_on_set_written (void *data, const struct KvResult *result)
{
  struct ArchiveMember *member = data;
  struct ArchiveSet set;

  if (result->error == ERROR_CONFLICT && result->n_entries == 1
      && archive_set_decode (result->entries[0].value, result->entries[0].value_bytes, &set)
             == ERROR_NONE)
    node_adopt_set (member->node, &set);
  else if (result->error == ERROR_NONE)
    node_adopt_set (member->node, &member->new_set);
  member_finish_step (member, result->error);
}

static void
member_on_set_read (void *data, const struct KvResult *result)
{
  struct ArchiveMember *member = data;
  struct ArchiveSet stored = { 0 }, next;
  struct KvRequest request = { .op = KV_OP_PUT };
  char key[96];
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = result->error;

  if (error == ERROR_NOT_FOUND && member->step.kind == ARCHIVE_STEP_FIRST)
    error = ERROR_NONE;
  else if (error == ERROR_NONE)
    error = archive_set_decode (result->entries[0].value, result->entries[0].value_bytes, &stored);
  if (error != ERROR_NONE)
    {
      member_finish_step (member, error);
      return;
    }
  node_adopt_set (member->node, &stored);
  if (!archive_set_step (&stored, &member->step, member->node->settings->tolerated, &next)
      || archive_set_encode (member, &next, &bytes, &n_bytes) != ERROR_NONE)
    {
      member_finish_step (member, ERROR_CONFLICT);
      return;
    }
  member->new_set = next;
  snprintf (key, sizeof key, "%s%s", member->node->settings->prefix, ARCHIVE_SET_KEY);
  request.put.key = key;
  request.put.value = bytes;
  request.put.value_bytes = n_bytes;
  request.put.condition = stored.generation == 0 ? KV_IF_ABSENT : KV_IF_MOD_REVISION;
  request.put.mod_revision = stored.generation == 0 ? 0 : result->entries[0].mod_revision;
  if (kv_submit_guarded (member, member->node->store, &request, member_on_set_written, member)
      != ERROR_NONE)
    member_finish_step (member, ERROR_NO_MEMORY);
  talloc_free (bytes);
  /* If the response is lost the write may have succeeded; the next read of the key shows it. */
  member->retry_ms = 0;
}

static void
member_start_step (struct ArchiveMember *member,
                   enum ArchiveStepKind kind,
                   const char *joining,
                   const char *leaving)
{
  struct KvRequest request = { .op = KV_OP_GET };
  char key[96];

  if (member->write_pending || member_now_ms (member) < member->retry_ms)
    return;
  snprintf (member->joining, sizeof member->joining, "%s", joining);
  snprintf (member->leaving, sizeof member->leaving, "%s", leaving);
  member->step =
      (struct ArchiveStep){ kind, member->node->set.generation, member->joining, member->leaving };
  snprintf (key, sizeof key, "%s%s", member->node->settings->prefix, ARCHIVE_SET_KEY);
  request.get.key = key;
  member->write_pending = true;
  if (kv_submit_guarded (member, member->node->store, &request, member_on_set_read, member)
      != ERROR_NONE)
    member_finish_step (member, ERROR_NO_MEMORY);
}

/* Copying. */

/* A source is an archive of the set that already rejects requests from before the change, so it can
 * no longer acknowledge a record under the old set that the copy would miss. */
static bool
member_is_source (void *data, const char *archive)
{
  const struct ArchiveMember *member = data;
  const struct ArchiveSet *set = &member->node->set;
  struct ArchiveNames queried = archive_set_targets (set);
  const struct Peer *peer = node_peer (member->node, archive);

  return strcmp (archive, member_name (member)) != 0 && archive_names_have (&queried, archive)
         && peer != NULL && peer->status.set_generation >= set->generation;
}

static bool
member_copy_is_sufficient (void *data, const struct ArchiveNames *archives)
{
  struct ArchiveMember *member = data;
  struct ArchiveNames sources = *archives;

  /* This archive counts as a source if its own disk was never lost. */
  if (disk_log_is_complete (member->log))
    archive_names_add (&sources, member_name (member));
  if (!archive_set_is_copied (&member->node->set, member->node->settings->tolerated, &sources))
    return false;
  if (member->copy_purpose != COPY_AHEAD)
    return true;
  if (!member->caught_up)
    log_event (LOG_LEVEL_NOTICE, "archive_caught_up", NULL, NULL,
               "all records copied, generation %llu; waiting until a member must be replaced",
               (unsigned long long)member->node->set.generation);
  member->caught_up = true;
  return false;
}

static void
member_on_copied (void *data)
{
  struct ArchiveMember *member = data;

  member->copy = NULL;
  if (member->copy_purpose == COPY_CHANGE
      && member->copy_generation == member->node->set.generation)
    member->synced_generation = member->copy_generation;
  if (!disk_log_is_complete (member->log) && disk_log_mark_complete (member->log) != ERROR_NONE)
    log_event (LOG_LEVEL_ERROR, "archive_mark_failed", NULL, "check the disk",
               "the disk has all records, but cannot be marked as complete");
  log_event (LOG_LEVEL_NOTICE, "archive_complete", NULL, NULL,
             "all records copied, generation %llu",
             (unsigned long long)member->node->set.generation);
  node_announce (member->node);
}

/* Returns the archives of the set whose disks may be complete: all but this one and those that
 * report that theirs are not. */
static struct ArchiveNames
member_possible_holders (const struct ArchiveMember *member)
{
  struct ArchiveNames queried = archive_set_targets (&member->node->set);
  struct ArchiveNames possible = { .n = 0 };

  for (uint32_t i = 0; i < queried.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, queried.names[i]);
      bool is_incomplete =
          strcmp (queried.names[i], member_name (member)) == 0
          || (peer != NULL && node_peer_is_live (member->node, peer) && !peer->status.complete);

      if (!is_incomplete)
        archive_names_add (&possible, queried.names[i]);
    }
  return possible;
}

/* Returns whether no gateway can open a turn, since more disks were lost than the set tolerates. An
 * archive that is not reached may still serve others, so it does not count as lost. */
static bool
member_set_is_stuck (const struct ArchiveMember *member)
{
  const struct Node *node = member->node;
  struct ArchiveNames possible = member_possible_holders (member);

  return node->set.generation > 0 && !member->bootstrapping && !disk_log_is_complete (member->log)
         && !archive_set_is_read (&node->set, node->settings->tolerated, &possible);
}

/* Marks the disk as complete: while the set was stuck no record was added or extended, so
 * everything that the lost disk held has expired. A copy for a change of the set goes on. */
static void
member_expire_loss (struct ArchiveMember *member)
{
  if (member->copy_purpose == COPY_RESTORE)
    TALLOC_FREE (member->copy);
  member->stuck_since_ms = 0;
  if (disk_log_mark_complete (member->log) != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "archive_mark_failed", NULL, "check the disk",
                 "what the lost disk held has expired, but the disk cannot be marked as complete");
      return;
    }
  log_event (LOG_LEVEL_NOTICE, "archive_loss_expired", NULL, NULL,
             "no turn could be served for %u s, and what the lost disk held has expired",
             member->node->settings->longest_retention_ms / 1000);
  node_announce (member->node);
}

/* Ends the wait of archives that lost their disks, and of which each would wait for the others to
 * be complete. */
static void
member_check_stuck (struct ArchiveMember *member)
{
  int64_t now_ms = member_now_ms (member), left_ms;

  if (!member_set_is_stuck (member))
    {
      member->stuck_since_ms = 0;
      return;
    }
  if (member->stuck_since_ms == 0)
    member->stuck_since_ms = now_ms;
  left_ms = member->stuck_since_ms + (int64_t)member->node->settings->longest_retention_ms - now_ms;
  if (left_ms <= 0)
    {
      member_expire_loss (member);
      return;
    }
  if (now_ms - member->stuck_since_ms < INCOMPLETE_LOG_MS
      || now_ms - member->incomplete_logged_ms < INCOMPLETE_LOG_MS)
    return;
  member->incomplete_logged_ms = now_ms;
  log_event (LOG_LEVEL_WARNING, "archive_incomplete", NULL,
             "bring back the archives of the set that still have their disks",
             "more disks are lost than tolerated, and turns are rejected; what was lost expires in "
             "%lld s",
             (long long)(left_ms / 1000));
}

/* Returns the archives that have received the set's present generation, including this one. */
static struct ArchiveNames
member_current_archives (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  struct ArchiveNames queried = archive_set_targets (set);
  struct ArchiveNames current = { .n = 0 };

  for (uint32_t i = 0; i < queried.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, queried.names[i]);

      if (strcmp (queried.names[i], member_name (member)) == 0
          || (peer != NULL && peer->status.set_generation >= set->generation))
        archive_names_add (&current, queried.names[i]);
    }
  return current;
}

/* Returns whether all members have copied everything from before the change; used only for a change
 * in which no archive joins. */
static bool
member_all_synced (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;

  for (uint32_t i = 0; i < set->members.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, set->members.names[i]);
      bool is_own = strcmp (set->members.names[i], member_name (member)) == 0;

      if (is_own ? member->synced_generation < set->generation
                 : peer == NULL || peer->status.synced < set->generation)
        return false;
    }
  return true;
}

/* Returns whether the change can't go on: the archive that joins has failed, or, if none joins, one
 * that stays, before it has copied everything. */
static bool
member_change_is_stuck (const struct ArchiveMember *member, int64_t silence_ms)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *joining = archive_set_joining (set);

  if (joining[0] != '\0')
    return member_silence_ms (member, joining) > silence_ms;
  for (uint32_t i = 0; i < set->members.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, set->members.names[i]);

      if ((peer == NULL || peer->status.synced < set->generation)
          && member_silence_ms (member, set->members.names[i]) > silence_ms)
        return true;
    }
  return false;
}

/* Takes the place of an archive that failed while it joined, or gives the change up. Otherwise the
 * change would never end, no other could start, and the loss of another disk could exceed the
 * tolerated losses. */
static void
member_handle_stuck_change (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member);
  bool is_former = archive_names_have (&set->former, name);

  if (archive_set_joining (set)[0] != '\0' && !is_former && !archive_set_has (set, name)
      && !member_is_retiring (member, name) && member_change_is_stuck (member, FAILURE_TIMEOUT_MS))
    member_start_step (member, ARCHIVE_STEP_REJOIN, name, "");
  else if (is_former && member_change_is_stuck (member, FAILURE_TIMEOUT_MS + ABORT_DELAY_MS))
    member_start_step (member, ARCHIVE_STEP_ABORT, "", "");
}

/* Returns whether this archive moves the change to ENDING: the one that joins does once it has
 * copied everything, or, when none joins, the one that leaves once all others have. They do it
 * themselves if that one has failed. */
static bool
member_may_advance (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member), *leaving = archive_set_leaving (set);

  if (archive_set_joining (set)[0] != '\0')
    return strcmp (archive_set_joining (set), name) == 0
           && member->synced_generation == set->generation;
  return (strcmp (leaving, name) == 0 || member_silence_ms (member, leaving) > FAILURE_TIMEOUT_MS)
         && member_all_synced (member);
}

static void
member_handle_starting (struct ArchiveMember *member)
{
  if (member_may_advance (member))
    member_start_step (member, ARCHIVE_STEP_ADVANCE, "", "");
  else
    member_handle_stuck_change (member);
}

/* Ends the change, once so many archives have received it and reject requests of the previous stage
 * that no such request can succeed: then the new set may be used alone. The archive that joins or
 * leaves ends the change; the others take over after ENDING_TAKEOVER_MS. */
static void
member_handle_ending (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member);
  struct ArchiveNames current = member_current_archives (member);
  bool is_changing = strcmp (archive_set_joining (set), name) == 0 || !archive_set_has (set, name);

  if (member->ending_generation != set->generation)
    {
      member->ending_generation = set->generation;
      member->ending_since_ms = member_now_ms (member);
    }
  if (!archive_set_is_fenced (set, member->node->settings->tolerated, &current))
    return;
  if (is_changing || member_now_ms (member) - member->ending_since_ms > ENDING_TAKEOVER_MS)
    member_start_step (member, ARCHIVE_STEP_ADVANCE, "", "");
}

/* Joining and leaving. */

/* Returns a member that has been silent for silence_ms or, if there is none, one that is being
 * retired; NULL if there is none either. A silent member comes first, since others are replaced
 * only while all that stay can be copied from. */
static const char *
member_find_replaceable (const struct ArchiveMember *member, int64_t silence_ms)
{
  const struct ArchiveNames *members = &member->node->set.members;

  for (uint32_t i = 0; i < members->n; i++)
    if (member_silence_ms (member, members->names[i]) > silence_ms)
      return members->names[i];
  for (uint32_t i = 0; i < members->n; i++)
    if (member_is_retiring (member, members->names[i]))
      return members->names[i];
  return NULL;
}

/* Returns whether all members other than this archive and except are live and complete, so that
 * they can be copied from. */
static bool
member_others_are_complete (const struct ArchiveMember *member, const char *except)
{
  const struct ArchiveSet *set = &member->node->set;

  for (uint32_t i = 0; i < set->members.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, set->members.names[i]);

      if (strcmp (set->members.names[i], except) == 0
          || strcmp (set->members.names[i], member_name (member)) == 0)
        continue;
      if (peer == NULL || !node_peer_is_live (member->node, peer) || !peer->status.complete)
        return false;
    }
  return true;
}

/* Collects the zones of the set's members, but for except; the strings belong to the node. Returns
 * their number. */
static size_t
member_zones (const struct ArchiveMember *member,
              const char *except,
              const char *zones[ARCHIVE_SET_MAX])
{
  const struct ArchiveSet *set = &member->node->set;
  size_t n = 0;

  for (uint32_t i = 0; i < set->members.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, set->members.names[i]);

      if (peer != NULL && strcmp (set->members.names[i], except) != 0)
        zones[n++] = peer->status.zone;
    }
  return n;
}

/* Returns whether the peer is an archive outside the set that could join it. */
static bool
member_peer_is_spare (const struct ArchiveMember *member, const struct Peer *peer, bool must_live)
{
  return peer->status.is_archive && !archive_set_has (&member->node->set, peer->status.node)
         && !member_is_retiring (member, peer->status.node)
         && (!must_live || node_peer_is_live (member->node, peer));
}

/* Returns how many archives outside the set should join before this one, in place of leaving. */
static size_t
member_count_before (const struct ArchiveMember *member, const char *leaving, bool must_live)
{
  const struct PeerTable *table = member->node->peers;
  struct ArchiveFirst own = { .rank = table->own_rank }, other;
  const char *zones[ARCHIVE_SET_MAX];
  size_t n_zones = member_zones (member, leaving, zones), n_before = 0;

  snprintf (own.zone, sizeof own.zone, "%s", table->own.zone);
  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];

      if (!member_peer_is_spare (member, peer, must_live))
        continue;
      snprintf (other.zone, sizeof other.zone, "%s", peer->status.zone);
      other.rank = peer->rank;
      n_before += archive_first_precedes (&other, &own, zones, n_zones);
    }
  return n_before;
}

/* Returns whether this archive may replace a member that has been silent for silence_ms, or one
 * that is retired, or be added to a set that is too small. */
static bool
member_may_join (const struct ArchiveMember *member, int64_t silence_ms, const char **leaving)
{
  uint32_t wanted = archive_set_target_size (member->node->settings->tolerated);
  const char *replaceable = member_find_replaceable (member, silence_ms);

  *leaving = replaceable != NULL ? replaceable : "";
  return !member_is_retiring (member, member_name (member))
         && (replaceable != NULL || member->node->set.members.n < wanted);
}

/* The archive that has copied ahead starts the change; the others follow, each after its time. */
static void
member_consider_joining (struct ArchiveMember *member)
{
  int64_t now_ms = member_now_ms (member);
  const char *leaving;

  if (!member_may_join (member, FAILURE_TIMEOUT_MS, &leaving))
    {
      member->vacant_since_ms = 0;
      return;
    }
  if (member->vacant_since_ms == 0)
    member->vacant_since_ms = now_ms;
  if (now_ms - member->vacant_since_ms
      < (int64_t)member_count_before (member, leaving, true) * FIRST_STAGGER_MS)
    return;
  if (member_others_are_complete (member, leaving))
    member_start_step (member, ARCHIVE_STEP_CHANGE, member_name (member), leaving);
}

/* Returns whether a live archive that is not being retired is outside the set. */
static bool
member_has_replacement (const struct ArchiveMember *member)
{
  const struct PeerTable *table = member->node->peers;

  for (size_t i = 0; i < table->n_peers; i++)
    if (member_peer_is_spare (member, table->peers[i], true))
      return true;
  return false;
}

static void
member_consider_leaving (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member);

  /* If a spare archive exists, it starts the change itself and replaces this one. */
  if (!member_is_retiring (member, name) || member_has_replacement (member))
    return;
  if (!archive_set_may_shrink (set, member->node->settings->tolerated))
    {
      if (!member->waiting_logged)
        log_event (LOG_LEVEL_WARNING, "archive_retirement_waits", NULL, "start another archive",
                   "without it %u members would hold the turns, which do not bear %u losses",
                   set->members.n - 1, member->node->settings->tolerated);
      member->waiting_logged = true;
    }
  else if (member_others_are_complete (member, name))
    member_start_step (member, ARCHIVE_STEP_CHANGE, "", name);
}

/* Reporting a retirement to the operators. */

static void
member_on_reported (void *data, const struct KvResult *result)
{
  struct ArchiveMember *member = data;

  member->report_pending = false;
  if (result->error != ERROR_NONE)
    {
      member->reported_running = false;
      member->reported_completed = false;
    }
}

static void
member_report (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  bool completed =
      set->stage == ARCHIVE_STAGE_STABLE && !archive_set_has (set, member_name (member));
  struct KvRequest request = { .op = KV_OP_PUT };
  struct RetireStatus note;

  if (!member_is_retiring (member, member_name (member)) || member->report_pending
      || set->generation == 0
      || (completed ? member->reported_completed : member->reported_running))
    return;
  member->node->dialect->write_retire_status (member_name (member), completed, &note);
  request.put.key = note.key;
  request.put.value = (const uint8_t *)note.value;
  request.put.value_bytes = strlen (note.value);
  request.put.condition = KV_IF_ALWAYS;
  member->report_pending = true;
  member->reported_running = true;
  member->reported_completed = completed;
  if (completed)
    log_event (LOG_LEVEL_NOTICE, "archive_emptied", NULL, "the machine may be taken away",
               "generation %llu", (unsigned long long)set->generation);
  if (kv_submit_guarded (member, member->node->store, &request, member_on_reported, member)
      != ERROR_NONE)
    member->report_pending = false;
}

/* Returns whether this archive belongs to the set but its disk is incomplete, and no change already
 * makes it copy. */
static bool
member_needs_restore (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  struct ArchiveNames queried = archive_set_targets (set);
  const char *joining = archive_set_joining (set);
  bool copies_for_change = set->stage == ARCHIVE_STAGE_STARTING
                           && (joining[0] == '\0' || strcmp (joining, member_name (member)) == 0);

  return set->generation > 0 && !member->bootstrapping && !disk_log_is_complete (member->log)
         && !copies_for_change && archive_names_have (&queried, member_name (member));
}

/* Returns whether this archive has received the lists of processes, or FIRST_DISCOVERY_MS has
 * passed. */
static bool
member_has_discovered (const struct ArchiveMember *member)
{
  int64_t now_ms = member_now_ms (member);

  return peer_table_is_served (member->node->peers, now_ms)
         || now_ms - member->node->started_ms >= FIRST_DISCOVERY_MS;
}

/* Returns whether this archive may join the first set now: it is the next one, or those that
 * precede it have let their time pass. */
static bool
member_may_bootstrap (struct ArchiveMember *member)
{
  int64_t now_ms = member_now_ms (member);

  if (member->bootstrap_since_ms == 0
      || member->bootstrap_generation != member->node->set.generation)
    member->bootstrap_since_ms = now_ms;
  member->bootstrap_generation = member->node->set.generation;
  return now_ms - member->bootstrap_since_ms
         >= (int64_t)member_count_before (member, "", false) * FIRST_STAGGER_MS;
}

/* Copies. */

/* Returns whether this archive joins, or stays in a change in which none joins, and has not copied
 * everything from before the change. */
static bool
member_must_copy_for_change (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *joining = archive_set_joining (set);

  return set->stage == ARCHIVE_STAGE_STARTING && member->synced_generation < set->generation
         && (strcmp (joining, member_name (member)) == 0
             || (joining[0] == '\0' && archive_set_has (set, member_name (member))));
}

/* Returns whether this archive is the next to join, and is likely to have to. Other spare archives
 * wait: each copy takes bytes between zones and time of the members' processors. */
static bool
member_must_copy_ahead (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *leaving;

  return set->generation > 0 && set->stage == ARCHIVE_STAGE_STABLE && !member->bootstrapping
         && !archive_set_has (set, member_name (member))
         && member_may_join (member, AHEAD_SILENCE_MS, &leaving)
         && member_count_before (member, leaving, true) == 0;
}

static enum CopyPurpose
member_copy_purpose (const struct ArchiveMember *member)
{
  if (member_must_copy_for_change (member))
    return COPY_CHANGE;
  if (member_needs_restore (member))
    return COPY_RESTORE;
  return member_must_copy_ahead (member) ? COPY_AHEAD : COPY_FOR_NOTHING;
}

/* A copy goes on where it is when its purpose changes, so that little is left to copy once a change
 * of the set has begun. */
static void
member_update_copy (struct ArchiveMember *member)
{
  const struct ArchiveCopyOptions options = {
    .is_source = member_is_source,
    .is_sufficient = member_copy_is_sufficient,
    .done = member_on_copied,
    .data = member,
  };
  enum CopyPurpose purpose = member_copy_purpose (member);
  uint64_t generation = member->node->set.generation;
  bool is_new = purpose != member->copy_purpose || member->copy == NULL
                || (purpose == COPY_CHANGE && generation != member->copy_generation);

  if (purpose == COPY_FOR_NOTHING)
    TALLOC_FREE (member->copy);
  else if (member->copy == NULL)
    member->copy = archive_copy_new (member, member->node, member->archive, &options);
  if (is_new || purpose == COPY_FOR_NOTHING)
    member->caught_up = false;
  member->copy_purpose = purpose;
  if (is_new)
    member->copy_generation = generation;
  if (is_new && member->copy != NULL)
    archive_copy_require (member->copy, purpose == COPY_CHANGE ? COPY_SETTLE_MS : 0);
}

static void
member_on_tick (void *data)
{
  struct ArchiveMember *member = data;
  const struct ArchiveSet *set = &member->node->set;
  bool inside = archive_set_has (set, member_name (member));

  member_track_silence (member);
  member_update_copy (member);
  member_check_stuck (member);
  if (member->bootstrapping && !inside && member_has_discovered (member)
      && set->members.n < archive_set_target_size (member->node->settings->tolerated))
    {
      if (member_may_bootstrap (member))
        member_start_step (member, ARCHIVE_STEP_FIRST, member_name (member), "");
    }
  else if (set->generation > 0)
    switch (set->stage)
      {
      case ARCHIVE_STAGE_STABLE:
        if (inside)
          member_consider_leaving (member);
        else
          member_consider_joining (member);
        break;
      case ARCHIVE_STAGE_STARTING:
        member_handle_starting (member);
        break;
      case ARCHIVE_STAGE_ENDING:
        member_handle_ending (member);
        break;
      }
  if (inside)
    member->bootstrapping = false;
  member_report (member);
}

struct ArchiveMember *
archive_member_new (TALLOC_CTX *ctx,
                    struct Node *node,
                    struct Archive *archive,
                    struct DiskLog *log)
{
  struct ArchiveMember *member = talloc_zero (ctx, struct ArchiveMember);

  if (member == NULL)
    return NULL;
  member->node = node;
  member->archive = archive;
  member->log = log;
  member->bootstrapping = node->settings->first_start != 0;
  timer_subscribe (member, node->timers, TICK_MS, TICK_MS, member_on_tick, member);
  return member;
}

void
archive_member_set_retiring (struct ArchiveMember *member, const struct Snapshot *snapshot)
{
  member->n_retiring = 0;
  for (size_t i = 0; i < snapshot->n_items && member->n_retiring < RETIRE_MAX; i++)
    {
      const char *name = strrchr (snapshot->items[i].key, '/');

      if (name != NULL && strlen (name + 1) <= NAME_MAX_BYTES)
        snprintf (member->retiring[member->n_retiring++], NAME_MAX_BYTES + 1, "%s", name + 1);
    }
}

uint64_t
archive_member_synced_generation (const struct ArchiveMember *member)
{
  return member->synced_generation;
}
