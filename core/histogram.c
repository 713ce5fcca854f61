#include <buckthornhead/histogram.h>

#include <inttypes.h>
#include <stdatomic.h>

/* Upper bounds in milliseconds, from below the latency between two availability zones to above the
 * longest timeout of the deployments. Neighbouring bounds are at most a factor of 2.5 apart, which
 * limits the error of a quantile. */
static const uint32_t bounds_ms[] = { 1,   2,   5,   10,  20,   35,   50,   80,   120,  200,
                                      300, 400, 600, 800, 1200, 2000, 3000, 5000, 10000 };

enum
{
  N_BOUNDS = sizeof bounds_ms / sizeof bounds_ms[0],
  N_BUCKETS = N_BOUNDS + 1 /* the last one has no bound */
};

struct HistogramInfo
{
  const char *name;
  const char *help;
};

#define MILLISECONDS(name, help)                                                                   \
  {                                                                                                \
    "buckthornhead_" name "_milliseconds", help                                                    \
  }

static const struct HistogramInfo histogram_infos[N_HISTOGRAMS] = {
  [HISTOGRAM_ANSWER_REPEATABLE] =
      MILLISECONDS ("answer_repeatable", "Time from a repeatable request to its response"),
  [HISTOGRAM_ANSWER_ONCE] =
      MILLISECONDS ("answer_once", "Time from an at-most-once request to its response"),
  [HISTOGRAM_FIRST_EVENT] =
      MILLISECONDS ("first_event", "Time from a request to the first bytes of its stream"),
  [HISTOGRAM_ANSWER_STREAM] =
      MILLISECONDS ("answer_stream", "Time from a request to the end of its stream"),
  [HISTOGRAM_REFUSAL] =
      MILLISECONDS ("refusal", "Time from a request to its rejection or abandonment"),
  [HISTOGRAM_TURN_OPEN] =
      MILLISECONDS ("turn_open", "Time to reserve a turn and fetch its history from the archives"),
  [HISTOGRAM_SLOT_WAIT] =
      MILLISECONDS ("slot_wait", "Time until the owner of an engine grants a turn a slot"),
  [HISTOGRAM_PLAIN_SLOT_WAIT] =
      MILLISECONDS ("plain_slot_wait", "Time until the owner of a plain server grants a slot"),
  [HISTOGRAM_TURN_STORE] = MILLISECONDS ("turn_store", "Time to store a turn on the archives"),
  [HISTOGRAM_SERVER_CHECK] = MILLISECONDS (
      "server_check", "Time to check whether the server of an unframed response runs"),
  [HISTOGRAM_SERVER_HEAD] =
      MILLISECONDS ("server_head", "Time to the headers of a backend server's response"),
  [HISTOGRAM_DISK_SYNC] = MILLISECONDS ("disk_sync", "Time to write and sync one batch of records"),
  [HISTOGRAM_STORE_CALL] =
      MILLISECONDS ("store_call", "Duration of calls to the platform's store, except watches"),
};

struct HistogramCells
{
  _Atomic uint64_t buckets[N_BUCKETS];
  _Atomic uint64_t sum_ms;
};

static struct HistogramCells cells[N_HISTOGRAMS];

static uint64_t
bucket_read (enum Histogram histogram, size_t bucket)
{
  return atomic_load_explicit (&cells[histogram].buckets[bucket], memory_order_relaxed);
}

void
histogram_add (enum Histogram histogram, int64_t took_ms)
{
  uint64_t ms = took_ms > 0 ? (uint64_t)took_ms : 0;
  size_t bucket = 0;

  while (bucket < N_BOUNDS && ms > bounds_ms[bucket])
    bucket++;
  atomic_fetch_add_explicit (&cells[histogram].buckets[bucket], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&cells[histogram].sum_ms, ms, memory_order_relaxed);
}

uint64_t
histogram_count (enum Histogram histogram)
{
  uint64_t n = 0;

  for (size_t i = 0; i < N_BUCKETS; i++)
    n += bucket_read (histogram, i);
  return n;
}

uint32_t
histogram_bound (enum Histogram histogram, uint32_t permille)
{
  uint64_t n = histogram_count (histogram), n_below = 0;

  if (n == 0)
    return 0;
  for (size_t i = 0; i < N_BOUNDS; i++)
    {
      n_below += bucket_read (histogram, i);
      if (n_below * 1000 >= n * permille)
        return bounds_ms[i];
    }
  return UINT32_MAX;
}

const char *
histogram_name (enum Histogram histogram)
{
  return histogram_infos[histogram].name;
}

static char *
render_one (char *text, enum Histogram histogram)
{
  const struct HistogramInfo *info = &histogram_infos[histogram];
  uint64_t n = 0;

  text = talloc_asprintf_append_buffer (text, "# HELP %s %s.\n# TYPE %s histogram\n", info->name,
                                        info->help, info->name);
  for (size_t i = 0; i < N_BOUNDS && text != NULL; i++)
    {
      n += bucket_read (histogram, i);
      text = talloc_asprintf_append_buffer (text, "%s_bucket{le=\"%" PRIu32 "\"} %" PRIu64 "\n",
                                            info->name, bounds_ms[i], n);
    }
  n += bucket_read (histogram, N_BOUNDS);
  return talloc_asprintf_append_buffer (
      text, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %" PRIu64 "\n%s_count %" PRIu64 "\n",
      info->name, n, info->name,
      atomic_load_explicit (&cells[histogram].sum_ms, memory_order_relaxed), info->name, n);
}

char *
histogram_render (TALLOC_CTX *ctx)
{
  char *text = talloc_strdup (ctx, "");

  for (int i = 0; i < N_HISTOGRAMS && text != NULL; i++)
    text = render_one (text, (enum Histogram)i);
  return text;
}
