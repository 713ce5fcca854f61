/* Retirements: which archives the operators want to be emptied, and what is reported to them. */
#include "archive_member_internal.h"

#include <buckthornhead/kv_guard.h>
#include <buckthornhead/log.h>

#include <stdio.h>
#include <string.h>

bool
member_is_retiring (const struct ArchiveMember *member, const char *name)
{
  for (size_t i = 0; i < member->n_retiring; i++)
    if (strcmp (member->retiring[i], name) == 0)
      return true;
  return false;
}

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

void
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
