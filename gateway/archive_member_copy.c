/* Decides when a member copies the records of others, and what to do if nobody has them. */
#include "archive_member_internal.h"

#include <buckthornhead/log.h>

#include <string.h>

enum
{
  /* Silence of a member after which a spare archive begins to copy, in case it has to replace it:
   * longer than other processes take to be noticed after a start. */
  AHEAD_SILENCE_MS = 500,
  /* Records that an archive accepted under the old set may still be waiting for their disk sync
   * when it receives the new one; a sync takes milliseconds. */
  COPY_SETTLE_MS = 500,
  /* Interval of the log lines of an archive whose disk is incomplete. */
  INCOMPLETE_LOG_MS = 10 * 1000
};

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

void
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

void
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
