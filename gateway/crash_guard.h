/* Keeps requests that crash servers from being sent on (suspects.h). */
#pragma once

#include "request.h"

/* Returns whether the gateway has just started and does not know yet what is quarantined. */
bool
crash_guard_must_wait (const struct Request *request);

/* Returns whether the request may be sent to a server. Otherwise it has been rejected and freed. */
bool
crash_guard_admit (struct Request *request);

/* Returns whether the request is quarantined and must not be sent to a further server. */
bool
crash_guard_holds (struct Request *request);

/* Record the end of the current attempt: a complete response clears the request, and one that broke
 * off may be the server's crash. */
void
crash_guard_record_complete (struct Request *request);
void
crash_guard_record_broken (struct Request *request);

/* Records that the current attempt, if it has been sent, is given up while its server is silent. */
void
crash_guard_record_silence (struct Request *request);

/* Checks after a change of the list of servers whether silent ones have ended. */
void
crash_guard_on_servers (struct Front *front);

/* Record that the server responds, and that it sends a further part of its response: either may
 * show that it has not crashed. */
void
crash_guard_record_response (const struct Request *request);
void
crash_guard_record_data (const struct Request *request);
