#include "archive_member.h"

#include <buckthornhead/archive_order.h>
#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 200,
  /* A member that has sent nothing for this long is replaced, if there is another disk: longer than
   * a process takes to start again, shorter than the time in which a disk must be made up for. */
  DEAD_MS = 3000,
  /* Records that an archive took under the old set may still be on their way to its disk when it
   * learns of the new one; a sync takes milliseconds. */
  COPY_SETTLE_MS = 500,
  RETIRE_MAX = 16,
  ENDING_OTHERS_MS = 2000,
  /* After a change that another archive's came before, or that the store did not take. */
  RETRY_MS = 400,
  /* For each archive that may join the first set before this one. A write takes two calls to the
   * store, and a member of the set is known to all within some 300 ms. */
  FIRST_TURN_MS = 600,
  /* For the lists of processes: until it has them each archive would take itself for the first. */
  FIRST_LOOK_MS = 1500
};

struct ArchiveMember
{
  struct Node *node;
  struct Archive *archive;
  struct DiskLog *log;
  int64_t first_since_ms; /* since when that generation of the first set is known */
  uint64_t first_generation;
  bool first; /* the whole system starts, and this disk with it */
  struct ArchiveCopy *copy;
  uint64_t copying; /* generation that the copy is for; 0: to make up for a lost disk */
  uint64_t synced;
  char retiring[RETIRE_MAX][NAME_MAX_BYTES + 1];
  size_t n_retiring;
  struct ArchiveStep step;   /* on its way to the store; its names are the next two fields */
  struct ArchiveSet written; /* what the store is asked to hold */
  char joining[NAME_MAX_BYTES + 1], leaving[NAME_MAX_BYTES + 1];
  bool writing;
  int64_t next_ms;
  int64_t silent_ms[ARCHIVE_SET_MAX]; /* since when, by place in the set */
  uint64_t silent_generation;
  uint64_t joining_generation;
  int64_t joining_received_ms; /* last, the archive that comes with that change */
  uint64_t ending_generation;
  int64_t ending_ms; /* since when that change is ending */
  bool reported_running, reported_completed, reporting;
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

static bool
member_is_retiring (const struct ArchiveMember *member, const char *name)
{
  for (size_t i = 0; i < member->n_retiring; i++)
    if (strcmp (member->retiring[i], name) == 0)
      return true;
  return false;
}

/* Writing the set: read, change, compare and swap. */

static void
member_write_done (struct ArchiveMember *member, int32_t error)
{
  member->writing = false;
  member->next_ms = member_now_ms (member) + (error == ERROR_NONE ? 0 : RETRY_MS);
  if (error != ERROR_NONE)
    log_event (LOG_LEVEL_WARNING, "archive_set_not_written", NULL, "nothing: it is tried again",
               "%s", error_name (error));
}

static void
member_on_written (void *data, const struct KvResult *result)
{
  struct ArchiveMember *member = data;
  struct ArchiveSet set;

  if (result->error == ERROR_CONFLICT && result->n_entries == 1
      && archive_set_decode (result->entries[0].value, result->entries[0].value_bytes, &set)
             == ERROR_NONE)
    node_take_set (member->node, &set);
  else if (result->error == ERROR_NONE)
    node_take_set (member->node, &member->written);
  member_write_done (member, result->error);
}

static void
member_on_held (void *data, const struct KvResult *result)
{
  struct ArchiveMember *member = data;
  struct ArchiveSet held = { 0 }, next;
  struct KvRequest request = { .op = KV_OP_PUT };
  char key[96];
  uint8_t *bytes = NULL;
  size_t n_bytes = 0;
  int32_t error = result->error;

  if (error == ERROR_NOT_FOUND && member->step.kind == ARCHIVE_STEP_FIRST)
    error = ERROR_NONE;
  else if (error == ERROR_NONE)
    error = archive_set_decode (result->entries[0].value, result->entries[0].value_bytes, &held);
  if (error != ERROR_NONE)
    {
      member_write_done (member, error);
      return;
    }
  node_take_set (member->node, &held);
  if (!archive_set_step (&held, &member->step, member->node->settings->tolerated, &next)
      || archive_set_encode (member, &next, &bytes, &n_bytes) != ERROR_NONE)
    {
      member_write_done (member, ERROR_CONFLICT);
      return;
    }
  member->written = next;
  snprintf (key, sizeof key, "%s%s", member->node->settings->prefix, ARCHIVE_SET_KEY);
  request.put.key = key;
  request.put.value = bytes;
  request.put.value_bytes = n_bytes;
  request.put.condition = held.generation == 0 ? KV_IF_ABSENT : KV_IF_MOD_REVISION;
  request.put.mod_revision = held.generation == 0 ? 0 : result->entries[0].mod_revision;
  if (kv_submit_guarded (member, member->node->store, &request, member_on_written, member)
      != ERROR_NONE)
    member_write_done (member, ERROR_NO_MEMORY);
  talloc_free (bytes);
  /* A lost answer may have been a success: the next read of the key shows it. */
  member->next_ms = 0;
}

static void
member_write (struct ArchiveMember *member,
              enum ArchiveStepKind kind,
              const char *joining,
              const char *leaving)
{
  struct KvRequest request = { .op = KV_OP_GET };
  char key[96];

  if (member->writing || member_now_ms (member) < member->next_ms)
    return;
  snprintf (member->joining, sizeof member->joining, "%s", joining);
  snprintf (member->leaving, sizeof member->leaving, "%s", leaving);
  member->step =
      (struct ArchiveStep){ kind, member->node->set.generation, member->joining, member->leaving };
  snprintf (key, sizeof key, "%s%s", member->node->settings->prefix, ARCHIVE_SET_KEY);
  request.get.key = key;
  member->writing = true;
  if (kv_submit_guarded (member, member->node->store, &request, member_on_held, member)
      != ERROR_NONE)
    member_write_done (member, ERROR_NO_MEMORY);
}

/* Copying. */

/* An archive that is asked, and that refuses questions from before the change: nothing that it has
 * not got yet can be acknowledged to them any more. */
static bool
member_is_source (void *data, const char *archive)
{
  const struct ArchiveMember *member = data;
  const struct ArchiveSet *set = &member->node->set;
  struct ArchiveNames asked = archive_set_asked (set);
  const struct Peer *peer = node_peer (member->node, archive);

  return strcmp (archive, member_name (member)) != 0 && archive_names_have (&asked, archive)
         && peer != NULL && peer->status.set_generation >= set->generation;
}

static bool
member_is_enough (void *data, const struct ArchiveNames *archives)
{
  const struct ArchiveMember *member = data;
  struct ArchiveNames held = *archives;

  /* What this disk holds itself, if it was never lost. */
  if (disk_log_is_complete (member->log))
    archive_names_add (&held, member_name (member));
  return archive_set_is_copied (&member->node->set, member->node->settings->tolerated, &held);
}

static void
member_on_copied (void *data)
{
  struct ArchiveMember *member = data;

  member->copy = NULL;
  if (member->copying != 0 && member->copying == member->node->set.generation)
    member->synced = member->copying;
  if (!disk_log_is_complete (member->log) && disk_log_mark_complete (member->log) != ERROR_NONE)
    log_event (LOG_LEVEL_ERROR, "archive_mark_failed", NULL, "look at the disk",
               "the disk is whole but could not be marked so");
  log_event (LOG_LEVEL_NOTICE, "archive_complete", NULL, NULL, "generation %llu",
             (unsigned long long)member->node->set.generation);
  node_announce (member->node);
}

static void
member_start_copy (struct ArchiveMember *member, uint64_t generation)
{
  struct ArchiveCopyOptions options = {
    .is_source = member_is_source,
    .is_enough = member_is_enough,
    .settle_ms = generation != 0 ? COPY_SETTLE_MS : 0,
    .done = member_on_copied,
    .data = member,
  };

  if (member->copy != NULL && member->copying == generation)
    return;
  TALLOC_FREE (member->copy);
  member->copying = generation;
  member->copy = archive_copy_new (member, member->node, member->archive, &options);
}

/* Archives that know the set's present generation, this one included. */
static struct ArchiveNames
member_who_knows (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  struct ArchiveNames asked = archive_set_asked (set);
  struct ArchiveNames know = { .n = 0 };

  for (uint32_t i = 0; i < asked.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, asked.names[i]);

      if (strcmp (asked.names[i], member_name (member)) == 0
          || (peer != NULL && peer->status.set_generation >= set->generation))
        archive_names_add (&know, asked.names[i]);
    }
  return know;
}

/* All members have copied everything from before the change; only asked when nobody joins. */
static bool
member_all_synced (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;

  for (uint32_t i = 0; i < set->members.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, set->members.names[i]);

      if (peer == NULL || peer->status.synced < set->generation)
        return false;
    }
  return true;
}

/* Guards against a change that stays open for ever: the archive that should have come died for good
 * before it had copied everything. No other change could start, and the next disk that is lost
 * would be one too many. An archive outside takes its place. */
static void
member_replace_joining (struct ArchiveMember *member, const char *joining)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member);
  int64_t now_ms = member_now_ms (member);

  if (member->joining_generation != set->generation || member_peer_is_live (member, joining))
    {
      member->joining_generation = set->generation;
      member->joining_received_ms = now_ms;
    }
  if (now_ms - member->joining_received_ms > DEAD_MS && !archive_set_has (set, name)
      && !archive_names_have (&set->former, name) && !member_is_retiring (member, name))
    member_write (member, ARCHIVE_STEP_REJOIN, name, "");
}

/* The one that joins copies, or all who stay do; then the change may end. */
static void
member_while_starting (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member), *joining = archive_set_joining (set);
  bool joins = strcmp (joining, name) == 0;

  if (joins || (joining[0] == '\0' && archive_set_has (set, name)))
    {
      if (member->synced < set->generation)
        member_start_copy (member, set->generation);
      if (joins && member->synced == set->generation)
        member_write (member, ARCHIVE_STEP_ADVANCE, "", "");
    }
  else if (joining[0] == '\0' && member_all_synced (member))
    member_write (member, ARCHIVE_STEP_ADVANCE, "", "");
  else if (joining[0] != '\0')
    member_replace_joining (member, joining);
}

/* Once enough of the former archives refuse questions of the stage before, no such question can be
 * answered any more, and the new set may stand alone. Every archive knows when: the one that
 * changes goes first, the others see to it if that one is gone. */
static void
member_while_ending (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  const char *name = member_name (member);
  struct ArchiveNames know = member_who_knows (member);
  bool changes = strcmp (archive_set_joining (set), name) == 0 || !archive_set_has (set, name);

  if (member->ending_generation != set->generation)
    {
      member->ending_generation = set->generation;
      member->ending_ms = member_now_ms (member);
    }
  if (!archive_set_is_written (set, member->node->settings->tolerated, &know))
    return;
  if (changes || member_now_ms (member) - member->ending_ms > ENDING_OTHERS_MS)
    member_write (member, ARCHIVE_STEP_ADVANCE, "", "");
}

/* Joining. */

/* A member that has been silent for long, or that is to be emptied; NULL when there is none. */
static const char *
member_find_leaving (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  int64_t now_ms = member_now_ms (member);

  if (member->silent_generation != set->generation)
    memset (member->silent_ms, 0, sizeof member->silent_ms);
  member->silent_generation = set->generation;
  for (uint32_t i = 0; i < set->members.n; i++)
    {
      if (member_is_retiring (member, set->members.names[i]))
        return set->members.names[i];
      if (member_peer_is_live (member, set->members.names[i]))
        member->silent_ms[i] = 0;
      else if (member->silent_ms[i] == 0)
        member->silent_ms[i] = now_ms;
      else if (now_ms - member->silent_ms[i] > DEAD_MS)
        return set->members.names[i];
    }
  return NULL;
}

/* All members but one live and lack nothing: they can be copied from. */
static bool
member_others_are_whole (const struct ArchiveMember *member, const char *except)
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

/* A live archive outside the set, this one left out. */
static bool
member_has_spare (const struct ArchiveMember *member)
{
  const struct Node *node = member->node;

  for (size_t i = 0; i < node->peers->n_peers; i++)
    {
      const struct Peer *peer = node->peers->peers[i];

      if (peer->status.is_archive && node_peer_is_live (node, peer)
          && !archive_set_has (&node->set, peer->status.node)
          && !member_is_retiring (member, peer->status.node))
        return true;
    }
  return false;
}

static void
member_outside (struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  uint32_t wanted = archive_set_wanted (member->node->settings->tolerated);
  const char *leaving = member_find_leaving (member);

  if (member_is_retiring (member, member_name (member)))
    return;
  if (leaving == NULL && set->members.n >= wanted)
    return;
  if (member_others_are_whole (member, leaving != NULL ? leaving : ""))
    member_write (member, ARCHIVE_STEP_CHANGE, member_name (member),
                  leaving != NULL ? leaving : "");
}

static void
member_inside (struct ArchiveMember *member)
{
  const char *name = member_name (member);

  /* With another disk to be had, that one takes this one's place. */
  if (member_is_retiring (member, name) && !member_has_spare (member)
      && member->node->set.members.n > 1 && member_others_are_whole (member, name))
    member_write (member, ARCHIVE_STEP_CHANGE, "", name);
}

/* Telling the operators. */

static void
member_on_reported (void *data, const struct KvResult *result)
{
  struct ArchiveMember *member = data;

  member->reporting = false;
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
  struct RetireNote note;

  if (!member_is_retiring (member, member_name (member)) || member->reporting
      || set->generation == 0
      || (completed ? member->reported_completed : member->reported_running))
    return;
  member->node->dialect->write_retired (member_name (member), completed, &note);
  request.put.key = note.key;
  request.put.value = (const uint8_t *)note.value;
  request.put.value_bytes = strlen (note.value);
  request.put.condition = KV_IF_ALWAYS;
  member->reporting = true;
  member->reported_running = true;
  member->reported_completed = completed;
  if (completed)
    log_event (LOG_LEVEL_NOTICE, "archive_emptied", NULL, "the machine may be taken away",
               "generation %llu", (unsigned long long)set->generation);
  if (kv_submit_guarded (member, member->node->store, &request, member_on_reported, member)
      != ERROR_NONE)
    member->reporting = false;
}

/* A disk that counts and lacks something, but for one that copies for a change anyway. */
static bool
member_lost_disk (const struct ArchiveMember *member)
{
  const struct ArchiveSet *set = &member->node->set;
  struct ArchiveNames asked = archive_set_asked (set);
  const char *joining = archive_set_joining (set);
  bool changes = set->stage == ARCHIVE_STAGE_STARTING
                 && (joining[0] == '\0' || strcmp (joining, member_name (member)) == 0);

  return set->generation > 0 && !member->first && !disk_log_is_complete (member->log) && !changes
         && archive_names_have (&asked, member_name (member));
}

/* Zones of the set's members; the texts are the node's. */
static size_t
member_zones (const struct ArchiveMember *member, const char *zones[ARCHIVE_SET_MAX])
{
  const struct ArchiveSet *set = &member->node->set;
  size_t n = 0;

  for (uint32_t i = 0; i < set->members.n; i++)
    {
      const struct Peer *peer = node_peer (member->node, set->members.names[i]);

      if (peer != NULL)
        zones[n++] = peer->status.zone;
    }
  return n;
}

/* It knows the other archives, or has waited for them for long enough. */
static bool
member_has_looked (const struct ArchiveMember *member)
{
  int64_t now_ms = member_now_ms (member);

  return peer_table_is_served (member->node->peers, now_ms)
         || now_ms - member->node->started_ms >= FIRST_LOOK_MS;
}

/* It is this archive's turn to join the first set, or those before it have let theirs pass. */
static bool
member_is_next_first (struct ArchiveMember *member)
{
  const struct PeerTable *table = member->node->peers;
  struct ArchiveFirst own = { .rank = table->own_rank }, other;
  const char *zones[ARCHIVE_SET_MAX];
  size_t n_zones = member_zones (member, zones), n_before = 0;
  int64_t now_ms = member_now_ms (member);

  if (member->first_since_ms == 0 || member->first_generation != member->node->set.generation)
    member->first_since_ms = now_ms;
  member->first_generation = member->node->set.generation;
  snprintf (own.zone, sizeof own.zone, "%s", table->own.zone);
  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct Peer *peer = table->peers[i];

      if (!peer->status.is_archive || archive_set_has (&member->node->set, peer->status.node))
        continue;
      snprintf (other.zone, sizeof other.zone, "%s", peer->status.zone);
      other.rank = peer->rank;
      n_before += archive_first_before (&other, &own, zones, n_zones);
    }
  return now_ms - member->first_since_ms >= (int64_t)n_before * FIRST_TURN_MS;
}

static void
member_on_tick (void *data)
{
  struct ArchiveMember *member = data;
  const struct ArchiveSet *set = &member->node->set;
  bool inside = archive_set_has (set, member_name (member));

  if (member_lost_disk (member))
    member_start_copy (member, 0);
  if (member->first && !inside && member_has_looked (member)
      && set->members.n < archive_set_wanted (member->node->settings->tolerated))
    {
      if (member_is_next_first (member))
        member_write (member, ARCHIVE_STEP_FIRST, member_name (member), "");
    }
  else if (set->generation > 0)
    switch (set->stage)
      {
      case ARCHIVE_STAGE_STABLE:
        if (inside)
          member_inside (member);
        else
          member_outside (member);
        break;
      case ARCHIVE_STAGE_STARTING:
        member_while_starting (member);
        break;
      case ARCHIVE_STAGE_ENDING:
        member_while_ending (member);
        break;
      }
  if (inside)
    member->first = false;
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
  member->first = node->settings->first_start != 0;
  timer_subscribe (member, node->timers, TICK_MS, TICK_MS, member_on_tick, member);
  return member;
}

void
archive_member_take_retire (struct ArchiveMember *member, const struct Snapshot *snapshot)
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
archive_member_synced (const struct ArchiveMember *member)
{
  return member->synced;
}

void
archive_member_take_part (struct ArchiveMember *member,
                          const char *sender,
                          const struct CopyPart *part)
{
  if (member->copy != NULL)
    archive_copy_take (member->copy, sender, part);
}
