/* Timer service on a tevent loop, using the system's monotonic clock: a change of the time of day
 * neither delays timers nor fires them early. */
#pragma once

#include <buckthornhead/timer.h>

#include <tevent.h>

/* Returns NULL without memory or a free file descriptor. */
struct TimerService *
timer_tevent_new (TALLOC_CTX *ctx, struct tevent_context *events);
