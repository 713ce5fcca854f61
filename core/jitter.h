/* Random delays, so that instances that failed together do not retry together. */
#pragma once

#include <stdint.h>

/* Returns base_ms changed by up to a quarter. *state is the seed and is advanced. */
uint32_t
jitter_ms (uint64_t *state, uint32_t base_ms);
