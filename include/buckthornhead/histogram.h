/* Latency histograms, written at /metrics beside the counters.
 *
 * Fixed buckets in the Prometheus text format: no C library for histograms is packaged for the
 * machines that build the product. Recording is wait-free and takes no memory. */
#pragma once

#include <stdint.h>

#include <talloc.h>

/* Every histogram the product has, each in milliseconds; the table in core/histogram.c names and
 * explains them. */
enum Histogram
{
  HISTOGRAM_ANSWER_REPEATABLE, /* a caller's request until its answer is handed out */
  HISTOGRAM_ANSWER_ONCE,
  HISTOGRAM_FIRST_EVENT,   /* until the first bytes of a stream are handed out */
  HISTOGRAM_ANSWER_STREAM, /* until a stream's end is */
  HISTOGRAM_REFUSAL,       /* until a request is sent back or given up */
  HISTOGRAM_TURN_OPEN,     /* reserving a turn and fetching its history */
  HISTOGRAM_SLOT_WAIT,     /* for the owner of an engine to let a turn be sent */
  HISTOGRAM_TURN_STORE,    /* storing a turn */
  HISTOGRAM_SERVER_HEAD,   /* a backend server's answer, up to its headers */
  HISTOGRAM_DISK_SYNC,     /* one batch of an archive's records */
  HISTOGRAM_STORE_CALL,    /* one call to the platform's store that was not to wait */
  N_HISTOGRAMS
};

/* A negative time, of a clock that was read in the wrong order, counts as 0. */
void
histogram_add (enum Histogram histogram, int64_t took_ms);

uint64_t
histogram_count (enum Histogram histogram);

/* The smallest bucket's bound, in milliseconds, below which at least permille of all lie; 0 when
 * nothing was recorded. The last bucket has no bound: UINT32_MAX. */
uint32_t
histogram_bound (enum Histogram histogram, uint32_t permille);

const char *
histogram_name (enum Histogram histogram);

/* Prometheus text exposition of all histograms; belongs to ctx, NULL without memory. */
char *
histogram_render (TALLOC_CTX *ctx);
