/* Sliding-window counter, divided into slices. The total never falls below the true count of the
 * span. Does no I/O. */
#pragma once

#include <stdint.h>

enum
{
  USAGE_WINDOW_SLICES = 20 /* the span counted is up to a twentieth too long */
};

/* All zero is an empty window. */
struct UsageWindow
{
  uint32_t counts[USAGE_WINDOW_SLICES + 1]; /* the current slice and one whole span before it */
  uint32_t total;
  int64_t newest; /* number of the current slice */
};

void
usage_window_add (struct UsageWindow *window, uint32_t span_ms, int64_t now_ms, uint32_t n);

/* Subtracts what was added at added_ms, unless it has already left the span. */
void
usage_window_subtract (
    struct UsageWindow *window, uint32_t span_ms, int64_t added_ms, int64_t now_ms, uint32_t n);

uint32_t
usage_window_total (struct UsageWindow *window, uint32_t span_ms, int64_t now_ms);
