/* System clocks for adapters and daemons. Code in core/ never reads a clock itself: it uses a
 * TimerService or takes the time as an argument. */
#pragma once

#include <stdint.h>

/* Returns milliseconds on the monotonic clock, for timeouts and durations. */
int64_t
clock_monotonic_ms (void);

/* Returns wall-clock milliseconds since 1970, for times that other processes or instances compare.
 */
int64_t
clock_unix_ms (void);
