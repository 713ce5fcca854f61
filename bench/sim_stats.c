#include "sim_stats.h"

#include <stdlib.h>

struct Samples
{
  double *values; /* talloc array */
  size_t n;
};

struct SimStats
{
  struct Samples latency, one_call, one_call_ideal, slowdown;
  double kind_slowdown[N_KINDS];
  size_t kind_n[N_KINDS];
  size_t n_in_time, n_waits;
  double wait_sum_ms, wait_max_ms;
  double prefix_tokens, recomputed_tokens;
};

struct SimStats *
sim_stats_new (TALLOC_CTX *ctx)
{
  return talloc_zero (ctx, struct SimStats);
}

static void
samples_add (struct SimStats *stats, struct Samples *samples, double value)
{
  size_t capacity = talloc_array_length (samples->values);

  if (samples->n == capacity)
    samples->values =
        talloc_realloc (stats, samples->values, double, capacity > 0 ? capacity * 2 : 256);
  samples->values[samples->n++] = value;
}

static int
double_compare (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
samples_quantile (const struct Samples *samples, double quantile)
{
  return samples->values[(size_t)(quantile * (double)(samples->n - 1))];
}

static void
samples_finish (struct Samples *samples, struct Percentiles *percentiles)
{
  double sum = 0;

  if (samples->n == 0)
    return;
  qsort (samples->values, samples->n, sizeof (double), double_compare);
  for (size_t i = 0; i < samples->n; i++)
    sum += samples->values[i];
  percentiles->mean = sum / (double)samples->n;
  percentiles->p50 = samples_quantile (samples, 0.50);
  percentiles->p95 = samples_quantile (samples, 0.95);
  percentiles->p99 = samples_quantile (samples, 0.99);
  percentiles->most = samples_quantile (samples, 1);
}

void
sim_stats_add_program (struct SimStats *stats, const struct WorkProgram *work, double latency_ms)
{
  double slowdown = latency_ms / work->ideal_ms;

  samples_add (stats, &stats->latency, latency_ms);
  samples_add (stats, &stats->slowdown, slowdown);
  if (work->n_branches == 1 && work->branches[0].n_turns == 1 && work->kind != KIND_EXPORT)
    {
      samples_add (stats, &stats->one_call, latency_ms);
      samples_add (stats, &stats->one_call_ideal, work->ideal_ms);
    }
  stats->kind_slowdown[work->kind] += slowdown;
  stats->kind_n[work->kind]++;
  stats->n_in_time += latency_ms <= work->time_limit_ms;
}

void
sim_stats_add_wait (struct SimStats *stats, double wait_ms)
{
  stats->n_waits++;
  stats->wait_sum_ms += wait_ms;
  if (wait_ms > stats->wait_max_ms)
    stats->wait_max_ms = wait_ms;
}

void
sim_stats_add_prefix (struct SimStats *stats, uint32_t prefix_tokens, uint32_t cached_tokens)
{
  stats->prefix_tokens += prefix_tokens;
  if (cached_tokens < prefix_tokens)
    stats->recomputed_tokens += prefix_tokens - cached_tokens;
}

/* Returns Jain's fairness index over the kinds' mean slowdowns: 1 when all are equal. */
static double
stats_fairness (const struct SimStats *stats)
{
  double sum = 0, squares = 0;
  int n = 0;

  for (int kind = 0; kind < N_KINDS; kind++)
    if (stats->kind_n[kind] > 0)
      {
        double mean = stats->kind_slowdown[kind] / (double)stats->kind_n[kind];

        sum += mean;
        squares += mean * mean;
        n++;
      }
  return n > 0 ? sum * sum / (n * squares) : 0;
}

void
sim_stats_finish (struct SimStats *stats, struct SimResult *result)
{
  result->n_done = stats->latency.n;
  samples_finish (&stats->latency, &result->latency_ms);
  samples_finish (&stats->one_call, &result->short_ms);
  samples_finish (&stats->one_call_ideal, &result->short_ideal_ms);
  samples_finish (&stats->slowdown, &result->slowdown);
  if (stats->prefix_tokens > 0)
    result->wasted = stats->recomputed_tokens / stats->prefix_tokens;
  if (result->n_programs > 0)
    result->in_time = (double)stats->n_in_time / (double)result->n_programs;
  result->fairness = stats_fairness (stats);
  if (stats->n_waits > 0)
    result->wait_mean_ms = stats->wait_sum_ms / (double)stats->n_waits;
  result->wait_max_ms = stats->wait_max_ms;
}
