/* Counters and gauges of the daemon, exposed at /metrics in the Prometheus text format. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <talloc.h>

/* All counters and gauges. The table in core/counter.c has their names and help texts. */
enum Counter
{
  COUNTER_CALLS_ACCEPTED,
  COUNTER_CALLS_REFUSED,
  COUNTER_CALLS_ENDED,
  COUNTER_CALLS_JOINED,
  COUNTER_CALLS_STORED,
  COUNTER_CALLS_FORWARDED,
  COUNTER_CALLS_RETRIED,
  COUNTER_CALLS_MAY_HAVE_RUN,
  COUNTER_PROGRAMS_CREATED,
  COUNTER_PROGRAMS_DONE,
  COUNTER_PROGRAMS_OVER_BUDGET,
  COUNTER_PROGRAMS_LATE,
  COUNTER_PROGRAMS_CANCELLED,
  COUNTER_PROGRAM_MS,    /* total latency of ended programs */
  COUNTER_PREFIX_TOKENS, /* prompt tokens of ended calls */
  COUNTER_PREFIX_CACHED, /* cached ones among them */
  COUNTER_KV_READS,
  COUNTER_KV_LISTS,   /* included in COUNTER_KV_READS */
  COUNTER_KV_WATCHES, /* included in COUNTER_KV_READS */
  COUNTER_KV_WRITES,
  COUNTER_KV_FAILURES,
  COUNTER_JOURNAL_SLOTS,
  COUNTER_JOURNAL_RECORDS,
  COUNTER_JOURNAL_FENCED,
  COUNTER_TAKEOVERS,
  COUNTER_HANDOFFS,
  COUNTER_RELEASES,
  COUNTER_QUARANTINED,
  COUNTER_CONFIG_APPLIED,
  COUNTER_CONFIG_CONFLICTS,
  COUNTER_PEER_MESSAGES,
  COUNTER_PEER_BYTES,
  COUNTER_REQUESTS_ANSWERED,
  COUNTER_REQUESTS_REFUSED,
  COUNTER_REQUESTS_OVER_LIMIT,
  COUNTER_PROGRAMS_REJECTED,
  COUNTER_REQUESTS_REJECTED,
  COUNTER_REQUESTS_BROKEN,
  COUNTER_REQUESTS_LEFT,
  COUNTER_REQUESTS_SENT_AGAIN,
  COUNTER_ENTRIES_UNREADABLE,
  COUNTER_TURNS_STORED,
  COUNTER_STREAMS_RESUMED,
  COUNTER_QUOTA_REQUESTED,
  COUNTER_QUOTA_GRANTED,
  COUNTER_QUOTA_REJECTED,
  COUNTER_QUOTA_RETURNED,
  COUNTER_QUOTA_TIMEOUTS,
  COUNTER_ARCHIVE_RECORDS,
  COUNTER_ARCHIVE_SYNCS,
  GAUGE_CONFIG_REVISION,
  GAUGE_PARTITIONS_OWNED,
  GAUGE_PROGRAMS,
  GAUGE_CALLS_WAITING,
  GAUGE_CALLS_IN_FLIGHT,
  GAUGE_DRAINING,
  GAUGE_LOOP_LAG_MS,
  GAUGE_HELD_BYTES,
  GAUGE_PLATFORM_UP,
  N_COUNTERS
};

/* These four functions are atomic and wait-free. */
void
counter_add (enum Counter counter, uint64_t n);
void
gauge_set (enum Counter gauge, uint64_t value);
void
gauge_add (enum Counter gauge, int64_t change);
uint64_t
counter_read (enum Counter counter);

const char *
counter_name (enum Counter counter);
/* Returns the Prometheus text exposition of all counters and gauges; belongs to ctx. */
char *
counter_render (TALLOC_CTX *ctx);
