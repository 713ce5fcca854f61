/* The machine's clocks, for adapters and daemons; parts in core/ are given the time. */
#pragma once

#include <stdint.h>

/* Milliseconds on the monotonic clock, for waiting and measuring. */
int64_t
clock_monotonic_ms (void);

/* Milliseconds of wall time since 1970, for what another process or machine compares. */
int64_t
clock_unix_ms (void);
