/* Timer service on a tevent loop, using the system's monotonic clock. */
#pragma once

#include <buckthornhead/timer.h>

#include <tevent.h>

struct TimerService *
timer_tevent_new (TALLOC_CTX *ctx, struct tevent_context *events);
