/* Latency histograms, exposed at /metrics with the counters.
 *
 * They have fixed buckets and are written in the Prometheus text format. They are implemented here
 * because the supported distributions package no C histogram library. Recording is wait-free and
 * allocates no memory. */
#pragma once

#include <stdint.h>

#include <talloc.h>

/* All histograms, in milliseconds. The table in core/histogram.c has their names and help texts. */
enum Histogram
{
  HISTOGRAM_ANSWER_REPEATABLE, /* from a request to its delivered response, repeatable calls */
  HISTOGRAM_ANSWER_ONCE,       /* the same for calls that run at most once */
  HISTOGRAM_FIRST_EVENT,       /* from a request to the first delivered bytes of a stream */
  HISTOGRAM_ANSWER_STREAM,     /* from a request to the delivered end of a stream */
  HISTOGRAM_REFUSAL,           /* from a request to its rejection or abandonment */
  HISTOGRAM_TURN_OPEN,         /* reserving a turn and fetching its history */
  HISTOGRAM_SLOT_WAIT,         /* until the owner of an engine admits a turn */
  HISTOGRAM_PLAIN_SLOT_WAIT,   /* until the owner of a plain server admits a request */
  HISTOGRAM_TURN_STORE,        /* storing a turn */
  HISTOGRAM_SERVER_CHECK,      /* a check whether a server is running, see http_client.h */
  HISTOGRAM_SERVER_HEAD,       /* a backend server's response, up to its headers */
  HISTOGRAM_DISK_SYNC,         /* writing and syncing one batch of an archive's records */
  HISTOGRAM_STORE_CALL,        /* one call to the platform's store, except waiting ones */
  N_HISTOGRAMS
};

/* Records a value. A negative one, from clock readings in the wrong order, counts as 0. */
void
histogram_add (enum Histogram histogram, int64_t took_ms);

uint64_t
histogram_count (enum Histogram histogram);

/* Returns the smallest bucket bound, in milliseconds, that at least permille of the recorded values
 * do not exceed; 0 if there are none, UINT32_MAX for the last bucket, which has no bound. */
uint32_t
histogram_bound (enum Histogram histogram, uint32_t permille);

const char *
histogram_name (enum Histogram histogram);

/* Returns all histograms in the Prometheus text format; belongs to ctx, NULL if out of memory. */
char *
histogram_render (TALLOC_CTX *ctx);
