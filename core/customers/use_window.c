#include <buckthornhead/customers/use_window.h>

#include <string.h>

enum
{
  N_SLICES = USAGE_WINDOW_SLICES + 1
};

static int64_t
slice_of (uint32_t span_ms, int64_t ms)
{
  return ms / (span_ms / USAGE_WINDOW_SLICES);
}

static void
window_advance (struct UsageWindow *window, int64_t slice)
{
  if (slice - window->newest >= N_SLICES)
    {
      memset (window->counts, 0, sizeof window->counts);
      window->total = 0;
      window->newest = slice;
    }
  while (window->newest < slice)
    {
      uint32_t *count = &window->counts[++window->newest % N_SLICES];

      window->total -= *count;
      *count = 0;
    }
}

void
usage_window_add (struct UsageWindow *window, uint32_t span_ms, int64_t now_ms, uint32_t n)
{
  window_advance (window, slice_of (span_ms, now_ms));
  window->counts[window->newest % N_SLICES] += n;
  window->total += n;
}

void
usage_window_subtract (
    struct UsageWindow *window, uint32_t span_ms, int64_t added_ms, int64_t now_ms, uint32_t n)
{
  int64_t slice = slice_of (span_ms, added_ms);
  uint32_t *count = &window->counts[slice % N_SLICES];

  window_advance (window, slice_of (span_ms, now_ms));
  if (window->newest - slice >= N_SLICES || *count < n)
    return;
  *count -= n;
  window->total -= n;
}

uint32_t
usage_window_total (struct UsageWindow *window, uint32_t span_ms, int64_t now_ms)
{
  window_advance (window, slice_of (span_ms, now_ms));
  return window->total;
}
