/* Reports to the archives the tokens used by a turn that is not stored, with retries until each
 * archive has responded.
 *
 * Guards against reservations that are never released: a turn was rejected or interrupted, and the
 * message that closes it is lost because its link was closed as silent after this process was
 * paused, or because an archive was down. The reservation would count in full until the program
 * expires, and the program would be rejected too early for a spent budget. */
#pragma once

#include "front.h"

/* Sends close, which stores no text, and repeats it until every archive of the set has responded or
 * its tries are used up, the last one after about 9 seconds. */
void
settle_turn (struct Front *front, const struct TurnClose *close);

/* Handles an archive's response to a close. */
void
settle_on_closed (struct Front *front, const char *archive, const struct TurnClosed *closed);
