/* A request's slot, or its place in the queue, as the gateway that sends the request tracks it.
 *
 * The owner of a server changes when gateways start, stop, fail or become unreachable, and the
 * queue of the previous owner is lost with it. The holders of slots know them still: each reports
 * its slots to the new owner and requests its places anew, with the time that it has waited. The
 * previous owner counts a granted slot until the request ends, since other gateways may request
 * slots from it for a little longer. Does no I/O. */
#pragma once

#include <buckthornhead/call.h>

/* One start of a gateway; the name is "" for none. */
struct SlotOwner
{
  char name[NAME_MAX_BYTES + 1];
  uint64_t start;
};

struct SlotHold
{
  struct SlotOwner owner;    /* the one that was queried or received the report last */
  struct SlotOwner previous; /* counts the granted slot, too */
  struct SlotOwner silent;   /* did not respond, so the next one was queried */
  int64_t silent_until_ms;   /* until then it is not queried */
  uint32_t n_silent;         /* since an owner last responded */
  bool is_moved;             /* it had another owner before */
  bool granted;              /* or sent without a grant, for lack of memory */
  bool is_answered;          /* the owner has responded to the last query or report */
  int64_t began_ms, granted_ms;
  int64_t sent_ms; /* of the last query or report */
};

/* What has to be done after the owner of the server is known. */
enum SlotFollow
{
  SLOT_FOLLOW_NONE,
  SLOT_FOLLOW_REPORT, /* report the granted slot to the owner */
  SLOT_FOLLOW_QUERY   /* request the place in the queue from the owner */
};

enum SlotFollow
slot_hold_follow (const struct SlotHold *hold, const struct SlotOwner *owner, int64_t now_ms);

/* Makes owner the one that is queried or receives the report next. Copies to *cancelled the gateway
 * that has to be notified that it counts the request no longer; its name is "" if there is none. */
void
slot_hold_set_owner (struct SlotHold *hold,
                     const struct SlotOwner *owner,
                     struct SlotOwner *cancelled);

/* Records that the owner did not respond or could not be reached. */
void
slot_hold_note_silent (struct SlotHold *hold, int64_t now_ms);

/* Returns whether so many owners were silent that the request's own gateway is to grant the slot,
 * which needs no link. */
bool
slot_hold_needs_own_gateway (const struct SlotHold *hold);

/* Returns whether owner counts the request, or will when its report arrives. */
bool
slot_hold_is_counted_by (const struct SlotHold *hold, const struct SlotOwner *owner);

/* Returns the gateway that is not to be queried, since it did not respond; its name is "" if there
 * is none. */
struct SlotOwner
slot_hold_excluded (const struct SlotHold *hold, int64_t now_ms);

/* Records that the owner has responded. */
void
slot_hold_note_answered (struct SlotHold *hold);

/* Records that the slot was granted, or that the request is sent without a grant. Its owner may
 * change from now on to one that was silent before. */
void
slot_hold_note_granted (struct SlotHold *hold, int64_t now_ms);
