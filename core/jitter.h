/* Spread delays, so that instances that failed together do not come back together. */
#pragma once

#include <stdint.h>

/* base_ms, less or more by up to a quarter; state is the seed and moves on. */
uint32_t
jitter_ms (uint64_t *state, uint32_t base_ms);
