/* The speed of each backend server relative to the other servers of its service, from the durations
 * that gateways measure and from the work time that servers report. Load is not part of it.
 *
 * Durations are means of one kind of work (route): the time between two events of a stream, or the
 * time from sending a request to its response. Ratios are in permille of the median of the service:
 * 1000 is as usual, 4000 is four times slower. Does no I/O; callers pass in the time. */
#pragma once

#include <buckthornhead/call.h>

#include <talloc.h>

enum
{
  PACE_KINDS_MAX = 4, /* kinds of work per server; the one measured longest ago is replaced */
  PACE_USUAL_PERMILLE = 1000,
  PACE_MIN_PERMILLE = 250,
  PACE_MAX_PERMILLE = 8000,
  PACE_SLOW_PERMILLE = 1500,
  PACE_FAST_PERMILLE = 700,
  /* A slow or fast server counts as usual again between these, so that a ratio that varies around
   * a limit is logged once. */
  PACE_NO_LONGER_SLOW_PERMILLE = 1300,
  PACE_NO_LONGER_FAST_PERMILLE = 800,
  /* Means are used from this many samples on; a new or restarted server counts as usual. */
  PACE_SAMPLES_MIN = 3,
  /* A mean without a new sample for this long is dropped. A slow server, which gets no requests
   * while the others have room, is thereby tried again and can show that it has recovered. */
  PACE_MEAN_TTL_MS = 10 * 1000,
  /* How long the means and reports received from a server's owner are used. */
  PACE_RECEIVED_TTL_MS = 3000,
  PACE_REPORT_TTL_MS = 1000, /* how long a server's own report replaces the learned ratio */
  /* Valid work times that servers report, in percent of the usual. */
  PACE_REPORT_MIN_PERCENT = 10,
  PACE_REPORT_MAX_PERCENT = 10000
};

struct PaceMean
{
  uint32_t kind; /* hash of the route's name */
  uint32_t mean_us;
  uint32_t n_samples;
  int64_t updated_ms;
};

struct PaceReport
{
  uint32_t percent; /* 0: none */
  int64_t reported_ms;
};

/* What one gateway has measured of a server. Empty when zeroed. */
struct PaceMeans
{
  struct PaceMean kinds[PACE_KINDS_MAX];
  uint32_t n_kinds;
  struct PaceReport report;
};

/* A server's mean for one kind of work, as its owner sends it to other gateways. */
struct PaceRow
{
  char server[NAME_MAX_BYTES + 1];
  uint32_t kind;
  uint32_t mean_us;        /* 0: unknown */
  uint32_t service_ms;     /* mean duration of a request at the server; 0: unknown */
  uint32_t report_percent; /* last report of the server; 0: none */
  uint32_t report_age_ms;
};

/* For logs. */
enum PaceClass
{
  PACE_CLASS_USUAL, /* zero: also of a server without a known pace */
  PACE_CLASS_SLOW,  /* from PACE_SLOW_PERMILLE */
  PACE_CLASS_FAST   /* to PACE_FAST_PERMILLE */
};

/* What a gateway knows of a server's speed. Unknown when zeroed. */
struct ServerPace
{
  struct PaceMeans own;      /* from this gateway's requests that had no owner's slot */
  struct PaceMeans received; /* from the server's owner; its report is not used */
  uint32_t service_ms;       /* mean duration of a request; 0: unknown */
  struct PaceReport report;  /* the newest, received by this gateway or its owner */

  /* Set by server_paces_update. */
  uint32_t ratio_permille;   /* 0: unknown */
  uint32_t usual_service_ms; /* median of the service; 0: unknown */
  uint32_t chance;           /* of 65536 decisions, those that count the server as faster */
  enum PaceClass pace_class; /* as last returned by server_pace_has_crossed */
  int64_t known_ms;          /* time of the newest sample or report that the ratio is from */
};

/* Adds a sample. The first samples have equal weight; then a new one has weight 1/8. A sample is
 * limited to a factor of eight around the mean, since a gateway that was suspended measures the
 * time of its suspension. Returns false for a sample of 0, which is ignored. */
bool
pace_means_add_sample (struct PaceMeans *means, uint32_t kind, uint32_t sample_us, int64_t now_ms);

/* Records the work time that the server reported at reported_ms. Ignores an invalid one, and one
 * that is older than the recorded one. */
void
pace_report_record (struct PaceReport *report, uint32_t percent, int64_t reported_ms);

/* Returns whether a mean or the report is recent enough to be sent. */
bool
pace_means_are_known (const struct PaceMeans *means, int64_t now_ms);

/* Fills in the rows to send, without .server and .service_ms. Returns their number. */
size_t
pace_means_rows (const struct PaceMeans *means,
                 int64_t now_ms,
                 struct PaceRow rows[PACE_KINDS_MAX]);

/* Records a row that the server's owner sent. */
void
server_pace_receive (struct ServerPace *pace, const struct PaceRow *row, int64_t now_ms);

/* Adds a sample of this gateway. is_duration: it is the duration of a whole request. */
void
server_pace_add_sample (
    struct ServerPace *pace, uint32_t kind, uint32_t sample_us, bool is_duration, int64_t now_ms);

struct PaceSubject
{
  const char *service;
  struct ServerPace *pace;
};

/* Computes the ratio of each server to the median of its service. Call it a few times a second, not
 * for each decision. Returns the number of values that were sorted; 0 without memory, which leaves
 * the ratios as they are. */
size_t
server_paces_update (TALLOC_CTX *ctx,
                     const struct PaceSubject *subjects,
                     size_t n_subjects,
                     int64_t now_ms);

/* Returns the ratio by which a decision multiplies the server's times. Differences of up to a
 * quarter count as usual: means of few streams differ by as much with the load. A faster server
 * counts as faster only in a part of the decisions, which draw selects, so that its share of the
 * requests is in proportion to its speed. Otherwise all gateways would choose the fastest server
 * until they receive its new load. */
uint32_t
server_pace_cost_permille (const struct ServerPace *pace, const char *server, uint64_t draw);

/* Updates .pace_class, and returns whether it has changed. */
bool
server_pace_has_crossed (struct ServerPace *pace);

/* Returns "slow", "fast" or "usual". */
const char *
server_pace_class_name (const struct ServerPace *pace);

/* Times of the events of a stream at one server. At the start of the stream when zeroed. */
struct StreamPace
{
  uint32_t first_n, last_n; /* number of events at the times below; 0: none yet */
  int64_t first_ms, last_ms;
  uint32_t n_intervals; /* between two times at which events were received */
  int64_t longest_ms;   /* duration of the longest interval, and its events */
  uint32_t longest_n;
};

/* Records that n_events have been received since the stream began, at any server. */
void
stream_pace_record (struct StreamPace *pace, uint32_t n_events, int64_t now_ms);

/* Returns the mean time between two events in microseconds, without the longest interval if there
 * are enough others: a stall of the server, of the network or of this process is not its speed. 0
 * with too few events. */
uint32_t
stream_pace_sample_us (const struct StreamPace *pace);
