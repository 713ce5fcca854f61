#include "jitter.h"

/* One step of splitmix64. */
static uint64_t
jitter_next (uint64_t *state)
{
  uint64_t z = *state += 0x9e3779b97f4a7c15;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

uint32_t
jitter_ms (uint64_t *state, uint32_t base_ms)
{
  uint32_t span_ms = base_ms / 2 + 1;

  return base_ms - base_ms / 4 + (uint32_t)(jitter_next (state) % span_ms);
}
