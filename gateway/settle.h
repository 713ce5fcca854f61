/* Telling the archives what a turn that is not stored has taken, until they have it.
 *
 * Guards against reservations that nobody takes back: a turn was sent back or broke off, and the
 * message that says so is lost, with a link that was closed as silent after this process was
 * paused, or with an archive that was away. The reservation then counts in full until the program
 * is forgotten, and the program is told too early that its budget is spent. */
#pragma once

#include "front.h"

/* Sends close, which keeps no text, and again until every archive of the set has answered, or
 * some ten seconds are over. */
void
settle_turn (struct Front *front, const struct TurnClose *close);

/* An archive has answered a close. */
void
settle_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed);
