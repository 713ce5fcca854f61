#include "archive_member_internal.h"

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
  /* Time after which other archives end a change that the changing archive has not ended. */
  ENDING_TAKEOVER_MS = 2000,
  /* Time for a spare archive to take the place of one that failed while it joined, before the
   * change is given up. */
  ABORT_DELAY_MS = 2000,
  /* Delay after a step that conflicted with another archive's or that the store did not accept. */
  RETRY_MS = 400,
  /* Delay for each archive that precedes this one in joining a set. A step takes two calls
   * to the store, and all archives receive a new member within about 300 ms. */
  FIRST_STAGGER_MS = 600,
  /* Maximum wait for the lists of processes, without which each archive would assume that it is the
   * first. */
  FIRST_DISCOVERY_MS = 1500
};

const char *
member_name (const struct ArchiveMember *member)
{
  return member->node->settings->instance;
}

int64_t
member_now_ms (const struct ArchiveMember *member)
{
  return timer_now_ms (member->node->timers);
}

bool
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

int64_t
member_silence_ms (const struct ArchiveMember *member, const char *name)
{
  for (uint32_t i = 0; i < member->tracked.n; i++)
    if (strcmp (member->tracked.names[i], name) == 0 && member->silent_since_ms[i] != 0)
      return member_now_ms (member) - member->silent_since_ms[i];
  return 0;
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

size_t
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

bool
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

uint64_t
archive_member_synced_generation (const struct ArchiveMember *member)
{
  return member->synced_generation;
}
