/* Timer service with a clock that only the test advances. */
#pragma once

#include <buckthornhead/timer.h>

struct TimerService *
fake_timer_new (TALLOC_CTX *ctx);

/* Advances the clock by ms and fires the timers that expire, in order of their due time. */
void
fake_timer_advance (struct TimerService *service, int64_t ms);
