/* How many there were in the last span of time, in slices: sliding, and never less than the true
 * number of the span. Pure. */
#pragma once

#include <stdint.h>

enum
{
  USE_SLICES = 20 /* a span is counted up to a twentieth too long */
};

/* Zeroed it is empty. */
struct UseWindow
{
  uint32_t counts[USE_SLICES + 1]; /* the slice that has begun, and a whole span before it */
  uint32_t total;
  int64_t newest; /* number of the slice that has begun */
};

void
use_window_add (struct UseWindow *window, uint32_t span_ms, int64_t now_ms, uint32_t n);

/* Takes back what was added at added_ms, unless it has left the span already. */
void
use_window_take_back (
    struct UseWindow *window, uint32_t span_ms, int64_t added_ms, int64_t now_ms, uint32_t n);

uint32_t
use_window_total (struct UseWindow *window, uint32_t span_ms, int64_t now_ms);
