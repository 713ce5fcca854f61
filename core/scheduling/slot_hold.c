#include <buckthornhead/scheduling/slot_hold.h>

#include <string.h>

enum
{
  /* Interval at which a report is repeated that the owner has not acknowledged. */
  REPORT_INTERVAL_MS = 200,
  /* How long a gateway that did not respond is not queried for the request. By then it has
   * responded to others or is known to be unresponsive. */
  SILENT_MS = 700,
  /* Other gateways that are queried for one request. Their timeouts add up while the caller waits.
   */
  OWNERS_QUERIED_MAX = 2
};

static bool
owner_is_equal (const struct SlotOwner *a, const struct SlotOwner *b)
{
  return a->start == b->start && strcmp (a->name, b->name) == 0;
}

enum SlotFollow
slot_hold_follow (const struct SlotHold *hold, const struct SlotOwner *owner, int64_t now_ms)
{
  bool is_changed = !owner_is_equal (&hold->owner, owner);

  if (owner->name[0] == '\0')
    return SLOT_FOLLOW_NONE;
  if (!hold->granted)
    return is_changed ? SLOT_FOLLOW_QUERY : SLOT_FOLLOW_NONE;
  return is_changed || (!hold->is_answered && now_ms - hold->sent_ms >= REPORT_INTERVAL_MS)
             ? SLOT_FOLLOW_REPORT
             : SLOT_FOLLOW_NONE;
}

void
slot_hold_set_owner (struct SlotHold *hold,
                     const struct SlotOwner *owner,
                     struct SlotOwner *cancelled)
{
  struct SlotOwner replaced = hold->owner;

  cancelled->name[0] = '\0';
  if (owner_is_equal (&replaced, owner))
    return;
  hold->owner = *owner;
  hold->is_moved = hold->is_moved || replaced.name[0] != '\0';
  /* A gateway that has restarted has lost its queue. */
  if (strcmp (replaced.name, owner->name) == 0)
    return;
  if (!hold->granted)
    {
      *cancelled = replaced;
      return;
    }
  if (strcmp (hold->previous.name, owner->name) != 0)
    *cancelled = hold->previous;
  hold->previous = replaced;
}

void
slot_hold_note_silent (struct SlotHold *hold, int64_t now_ms)
{
  hold->silent = hold->owner;
  hold->silent_until_ms = now_ms + SILENT_MS;
  hold->n_silent++;
}

bool
slot_hold_needs_own_gateway (const struct SlotHold *hold)
{
  return hold->n_silent >= OWNERS_QUERIED_MAX;
}

bool
slot_hold_is_counted_by (const struct SlotHold *hold, const struct SlotOwner *owner)
{
  return owner_is_equal (&hold->owner, owner) || owner_is_equal (&hold->previous, owner);
}

struct SlotOwner
slot_hold_excluded (const struct SlotHold *hold, int64_t now_ms)
{
  const struct SlotOwner none = { .name = "" };

  return now_ms < hold->silent_until_ms ? hold->silent : none;
}

void
slot_hold_note_answered (struct SlotHold *hold)
{
  hold->is_answered = true;
  hold->n_silent = 0;
}

void
slot_hold_note_granted (struct SlotHold *hold, int64_t now_ms)
{
  hold->granted = true;
  hold->granted_ms = now_ms;
  hold->silent_until_ms = now_ms;
}
