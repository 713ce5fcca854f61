/* Timer service whose clock a test moves by hand. */
#pragma once

#include <buckthornhead/timer.h>

struct TimerService *
fake_timer_new (TALLOC_CTX *ctx);

/* Moves the clock on by ms, firing what comes due, in order of due time. */
void
fake_timer_advance (struct TimerService *service, int64_t ms);
