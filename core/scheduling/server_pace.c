#include <buckthornhead/scheduling/server_pace.h>

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum
{
  SAMPLE_DIVISOR = 8, /* a new sample has weight 1/8 */
  SAMPLE_FACTOR_MAX = 8,
  REPORT_FACTOR_MAX = 2, /* of a report to the learned ratio */
  /* Reports are compared with the median of at least this many, otherwise with the usual 100. */
  REPORTS_MIN = 3,
  USUAL_PERCENT = 100,
  /* Differences that count as usual. */
  NEAR_FAST_PERMILLE = 200,
  NEAR_SLOW_PERMILLE = 250,
  CHANCE_ONE = 65536,
  SPEED_ONE = 1000 * 1000,  /* speed of a server with ratio 1; inverse of the ratio in permille */
  STREAM_INTERVALS_MIN = 3, /* with fewer, events that arrive together distort the mean */
  /* Intervals from which on the longest one is left out. */
  TRIM_INTERVALS_MIN = 3,
  /* A mean, a report and the server itself. */
  ROWS_PER_SERVER_MAX = PACE_KINDS_MAX + 2
};

/* Samples. */

static struct PaceMean *
mean_find (struct PaceMeans *means, uint32_t kind)
{
  for (uint32_t i = 0; i < means->n_kinds; i++)
    if (means->kinds[i].kind == kind)
      return &means->kinds[i];
  return NULL;
}

/* Returns an empty mean for the kind, in place of the one updated longest ago if all are in use. */
static struct PaceMean *
mean_add (struct PaceMeans *means, uint32_t kind)
{
  struct PaceMean *oldest = &means->kinds[0];

  if (means->n_kinds < PACE_KINDS_MAX)
    oldest = &means->kinds[means->n_kinds++];
  else
    for (uint32_t i = 1; i < means->n_kinds; i++)
      if (means->kinds[i].updated_ms < oldest->updated_ms)
        oldest = &means->kinds[i];
  *oldest = (struct PaceMean){ .kind = kind };
  return oldest;
}

static uint32_t
sample_limit (uint32_t sample_us, uint32_t mean_us)
{
  uint64_t max_us = (uint64_t)mean_us * SAMPLE_FACTOR_MAX;
  uint64_t min_us = mean_us / SAMPLE_FACTOR_MAX;

  if (sample_us > max_us)
    return (uint32_t)max_us;
  return sample_us < min_us ? (uint32_t)min_us : sample_us;
}

bool
pace_means_add_sample (struct PaceMeans *means, uint32_t kind, uint32_t sample_us, int64_t now_ms)
{
  struct PaceMean *mean = mean_find (means, kind);
  uint32_t divisor;

  if (sample_us == 0)
    return false;
  if (mean == NULL)
    mean = mean_add (means, kind);
  else if (now_ms - mean->updated_ms > PACE_MEAN_TTL_MS)
    mean->n_samples = 0;
  if (mean->n_samples >= PACE_SAMPLES_MIN)
    sample_us = sample_limit (sample_us, mean->mean_us);
  if (mean->n_samples < SAMPLE_DIVISOR)
    mean->n_samples++;
  divisor = mean->n_samples;
  mean->mean_us =
      (uint32_t)(((uint64_t)mean->mean_us * (divisor - 1) + sample_us + divisor / 2) / divisor);
  mean->updated_ms = now_ms;
  return true;
}

void
pace_report_record (struct PaceReport *report, uint32_t percent, int64_t reported_ms)
{
  if (percent < PACE_REPORT_MIN_PERCENT || percent > PACE_REPORT_MAX_PERCENT
      || (report->percent != 0 && reported_ms < report->reported_ms))
    return;
  report->percent = percent;
  report->reported_ms = reported_ms;
}

static bool
mean_is_known (const struct PaceMean *mean, int64_t ttl_ms, int64_t now_ms)
{
  return mean->n_samples >= PACE_SAMPLES_MIN && now_ms - mean->updated_ms <= ttl_ms;
}

static bool
report_is_recent (const struct PaceReport *report, int64_t ttl_ms, int64_t now_ms)
{
  return report->percent != 0 && now_ms - report->reported_ms <= ttl_ms;
}

bool
pace_means_are_known (const struct PaceMeans *means, int64_t now_ms)
{
  for (uint32_t i = 0; i < means->n_kinds; i++)
    if (now_ms - means->kinds[i].updated_ms <= PACE_MEAN_TTL_MS)
      return true;
  return report_is_recent (&means->report, PACE_RECEIVED_TTL_MS, now_ms);
}

size_t
pace_means_rows (const struct PaceMeans *means, int64_t now_ms, struct PaceRow rows[PACE_KINDS_MAX])
{
  struct PaceRow report = { 0 };
  size_t n = 0;

  if (report_is_recent (&means->report, PACE_RECEIVED_TTL_MS, now_ms))
    {
      report.report_percent = means->report.percent;
      report.report_age_ms = (uint32_t)(now_ms - means->report.reported_ms);
    }
  for (uint32_t i = 0; i < means->n_kinds; i++)
    {
      const struct PaceMean *mean = &means->kinds[i];

      if (!mean_is_known (mean, PACE_MEAN_TTL_MS, now_ms))
        continue;
      rows[n] = report;
      rows[n].kind = mean->kind;
      rows[n++].mean_us = mean->mean_us;
    }
  if (n == 0 && report.report_percent != 0)
    rows[n++] = report;
  return n;
}

void
server_pace_receive (struct ServerPace *pace, const struct PaceRow *row, int64_t now_ms)
{
  struct PaceMean *mean = mean_find (&pace->received, row->kind);

  if (row->report_percent != 0)
    pace_report_record (&pace->report, row->report_percent, now_ms - row->report_age_ms);
  if (row->service_ms != 0)
    pace->service_ms = row->service_ms;
  if (row->mean_us == 0)
    return;
  if (mean == NULL)
    mean = mean_add (&pace->received, row->kind);
  mean->mean_us = row->mean_us;
  mean->n_samples = PACE_SAMPLES_MIN;
  mean->updated_ms = now_ms;
}

void
server_pace_add_sample (
    struct ServerPace *pace, uint32_t kind, uint32_t sample_us, bool is_duration, int64_t now_ms)
{
  const struct PaceMean *mean;

  if (!pace_means_add_sample (&pace->own, kind, sample_us, now_ms) || !is_duration)
    return;
  mean = mean_find (&pace->own, kind);
  pace->service_ms = mean->mean_us / 1000;
}

/* Ratios. */

enum PaceRowClass
{
  ROW_MEASURED,
  ROW_REPORTED,
  ROW_SERVER /* one for each server, after all others of its service */
};

/* A value of a server, for the medians. */
struct PaceValue
{
  uint64_t group; /* number of the service, enum PaceRowClass and kind of work */
  uint32_t value;
  uint32_t subject;
};

/* Numbers the services, so that sorting does not compare their names. */
struct PaceService
{
  const char *name;
  uint32_t number;
  UT_hash_handle hh;
};

/* Sums of a server over its kinds of work, until its ratio is known. */
struct PaceSums
{
  uint64_t permille;
  uint32_t n;
  uint32_t report_permille; /* 0: no recent report */
};

struct PaceUpdate
{
  const struct PaceSubject *subjects;
  struct PaceValue *values;
  size_t n_values;
  struct PaceSums *sums; /* by subject */
  struct PaceService *services;
  struct PaceService *service_by_name; /* uthash head, of services */
  int64_t now_ms;
};

static uint32_t
update_service_number (struct PaceUpdate *update, size_t subject)
{
  const char *name = update->subjects[subject].service;
  struct PaceService *service = NULL;

  HASH_FIND_STR (update->service_by_name, name, service);
  if (service != NULL)
    return service->number;
  service = &update->services[HASH_COUNT (update->service_by_name)];
  service->name = name;
  service->number = HASH_COUNT (update->service_by_name);
  HASH_ADD_KEYPTR (hh, update->service_by_name, name, strlen (name), service);
  return service->number;
}

static enum PaceRowClass
value_row_class (const struct PaceValue *value)
{
  return (enum PaceRowClass) (value->group >> 32 & 3);
}

static void
update_add_value (struct PaceUpdate *update,
                  size_t subject,
                  enum PaceRowClass row_class,
                  uint32_t kind,
                  uint32_t value)
{
  uint64_t service = update_service_number (update, subject);

  update->values[update->n_values++] =
      (struct PaceValue){ service << 34 | (uint64_t)row_class << 32 | kind, value,
                          (uint32_t)subject };
}

/* Adds the recent means of one source. Returns their number. */
static uint32_t
update_add_means (struct PaceUpdate *update,
                  size_t subject,
                  const struct PaceMeans *means,
                  int64_t ttl_ms)
{
  struct ServerPace *pace = update->subjects[subject].pace;
  uint32_t n = 0;

  for (uint32_t i = 0; i < means->n_kinds; i++)
    {
      const struct PaceMean *mean = &means->kinds[i];

      if (!mean_is_known (mean, ttl_ms, update->now_ms))
        continue;
      update_add_value (update, subject, ROW_MEASURED, mean->kind, mean->mean_us);
      if (mean->updated_ms > pace->known_ms)
        pace->known_ms = mean->updated_ms;
      n++;
    }
  return n;
}

/* Adds the values of a server. The owner's means, which are of all gateways' requests, replace this
 * gateway's own. */
static void
update_add_subject (struct PaceUpdate *update, size_t subject)
{
  struct ServerPace *pace = update->subjects[subject].pace;

  pace->known_ms = 0;
  if (update_add_means (update, subject, &pace->received, PACE_RECEIVED_TTL_MS) == 0)
    update_add_means (update, subject, &pace->own, PACE_MEAN_TTL_MS);
  if (report_is_recent (&pace->report, PACE_RECEIVED_TTL_MS, update->now_ms))
    update_add_value (update, subject, ROW_REPORTED, 0, pace->report.percent);
  update_add_value (update, subject, ROW_SERVER, 0, pace->service_ms);
}

static int
value_compare (const void *x, const void *y)
{
  const struct PaceValue *a = x, *b = y;

  if (a->group != b->group)
    return a->group < b->group ? -1 : 1;
  return a->value < b->value ? -1 : a->value > b->value;
}

/* Returns the lower median of the values above 0, which are sorted; 0 if there are none. The lower
 * one, because half of the servers may be slow together. */
static uint32_t
values_median (const struct PaceValue *values, size_t n)
{
  size_t first = 0;

  while (first < n && values[first].value == 0)
    first++;
  return first < n ? values[first + (n - first - 1) / 2].value : 0;
}

static uint32_t
ratio_limit (uint64_t permille, uint64_t min, uint64_t max)
{
  if (permille < min)
    return (uint32_t)min;
  return permille > max ? (uint32_t)max : (uint32_t)permille;
}

static uint32_t
pace_decide_ratio (struct ServerPace *pace, const struct PaceSums *sums, int64_t now_ms)
{
  uint64_t learned = sums->n > 0 ? sums->permille / sums->n : 0;
  uint64_t ratio = learned;

  if (sums->report_permille != 0 && report_is_recent (&pace->report, PACE_REPORT_TTL_MS, now_ms))
    {
      ratio = learned == 0 ? sums->report_permille
                           : ratio_limit (sums->report_permille, learned / REPORT_FACTOR_MAX,
                                          learned * REPORT_FACTOR_MAX);
      if (pace->report.reported_ms > pace->known_ms)
        pace->known_ms = pace->report.reported_ms;
    }
  return ratio == 0 ? 0 : ratio_limit (ratio, PACE_MIN_PERMILLE, PACE_MAX_PERMILLE);
}

/* Returns the ratio without differences that count as usual. */
static uint32_t
pace_significant_permille (const struct ServerPace *pace)
{
  uint32_t ratio = pace->ratio_permille;

  if (ratio == 0)
    return PACE_USUAL_PERMILLE;
  if (ratio > PACE_USUAL_PERMILLE + NEAR_SLOW_PERMILLE)
    return ratio - NEAR_SLOW_PERMILLE;
  if (ratio < PACE_USUAL_PERMILLE - NEAR_FAST_PERMILLE)
    return ratio + NEAR_FAST_PERMILLE;
  return PACE_USUAL_PERMILLE;
}

/* Sets the results of the servers of one service. A server that counts as faster in a part p of the
 * decisions, and has an equal share of the others, has a share of p + (1 - p) / n of n servers.
 * With p = (its speed - 1) / (sum of all speeds) this is its share of the speeds. */
static void
update_decide_service (struct PaceUpdate *update, const struct PaceValue *values, size_t n)
{
  uint32_t usual_service_ms = values_median (values, n);
  uint64_t sum = 0;

  for (size_t i = 0; i < n; i++)
    {
      struct ServerPace *pace = update->subjects[values[i].subject].pace;

      pace->usual_service_ms = usual_service_ms;
      pace->ratio_permille =
          pace_decide_ratio (pace, &update->sums[values[i].subject], update->now_ms);
      sum += SPEED_ONE / pace_significant_permille (pace);
    }
  for (size_t i = 0; i < n; i++)
    {
      struct ServerPace *pace = update->subjects[values[i].subject].pace;
      uint64_t speed = SPEED_ONE / pace_significant_permille (pace);

      pace->chance = 0;
      if (speed > PACE_USUAL_PERMILLE)
        pace->chance = (uint32_t)((speed - PACE_USUAL_PERMILLE) * CHANCE_ONE / sum);
    }
}

/* Handles the values of one service, class and kind of work. */
static void
update_apply_group (struct PaceUpdate *update, const struct PaceValue *values, size_t n)
{
  uint64_t median = values_median (values, n);

  if (median == 0 && value_row_class (values) != ROW_SERVER)
    return;
  switch (value_row_class (values))
    {
    case ROW_MEASURED:
      /* The only server with this kind of work has nothing to be compared with. */
      for (size_t i = 0; i < n && n > 1; i++)
        {
          update->sums[values[i].subject].permille +=
              (uint64_t)values[i].value * PACE_USUAL_PERMILLE / median;
          update->sums[values[i].subject].n++;
        }
      break;
    case ROW_REPORTED:
      if (n < REPORTS_MIN)
        median = USUAL_PERCENT;
      for (size_t i = 0; i < n; i++)
        update->sums[values[i].subject].report_permille =
            (uint32_t)((uint64_t)values[i].value * PACE_USUAL_PERMILLE / median);
      break;
    case ROW_SERVER:
      update_decide_service (update, values, n);
      break;
    }
}

size_t
server_paces_update (TALLOC_CTX *ctx,
                     const struct PaceSubject *subjects,
                     size_t n_subjects,
                     int64_t now_ms)
{
  struct PaceUpdate update = { .subjects = subjects, .now_ms = now_ms };
  size_t end;

  update.values = talloc_array (ctx, struct PaceValue, n_subjects * ROWS_PER_SERVER_MAX);
  update.sums = talloc_zero_array (ctx, struct PaceSums, n_subjects);
  update.services = talloc_array (ctx, struct PaceService, n_subjects);
  if (update.values == NULL || update.sums == NULL || update.services == NULL)
    goto out;
  for (size_t i = 0; i < n_subjects; i++)
    update_add_subject (&update, i);
  qsort (update.values, update.n_values, sizeof update.values[0], value_compare);
  for (size_t i = 0; i < update.n_values; i = end)
    {
      for (end = i + 1; end < update.n_values; end++)
        if (update.values[i].group != update.values[end].group)
          break;
      update_apply_group (&update, &update.values[i], end - i);
    }

out:
  HASH_CLEAR (hh, update.service_by_name);
  talloc_free (update.services);
  talloc_free (update.values);
  talloc_free (update.sums);
  return update.n_values;
}

uint32_t
server_pace_cost_permille (const struct ServerPace *pace, const char *server, uint64_t draw)
{
  uint32_t ratio = pace_significant_permille (pace);

  if (ratio >= PACE_USUAL_PERMILLE)
    return ratio;
  return XXH64 (server, strlen (server), draw) % CHANCE_ONE < pace->chance ? ratio
                                                                           : PACE_USUAL_PERMILLE;
}

static enum PaceClass
pace_next_class (const struct ServerPace *pace)
{
  uint32_t ratio = pace->ratio_permille != 0 ? pace->ratio_permille : PACE_USUAL_PERMILLE;

  if (ratio >= PACE_SLOW_PERMILLE)
    return PACE_CLASS_SLOW;
  if (ratio <= PACE_FAST_PERMILLE)
    return PACE_CLASS_FAST;
  if (pace->pace_class == PACE_CLASS_SLOW && ratio >= PACE_NO_LONGER_SLOW_PERMILLE)
    return PACE_CLASS_SLOW;
  if (pace->pace_class == PACE_CLASS_FAST && ratio <= PACE_NO_LONGER_FAST_PERMILLE)
    return PACE_CLASS_FAST;
  return PACE_CLASS_USUAL;
}

bool
server_pace_has_crossed (struct ServerPace *pace)
{
  enum PaceClass previous = pace->pace_class;

  pace->pace_class = pace_next_class (pace);
  return pace->pace_class != previous;
}

const char *
server_pace_class_name (const struct ServerPace *pace)
{
  switch (pace->pace_class)
    {
    case PACE_CLASS_SLOW:
      return "slow";
    case PACE_CLASS_FAST:
      return "fast";
    case PACE_CLASS_USUAL:
      return "usual";
    }
  return "usual";
}

/* Streams. */

static void
stream_pace_add_interval (struct StreamPace *pace, uint32_t n_events, int64_t duration_ms)
{
  pace->n_intervals++;
  if (duration_ms <= pace->longest_ms)
    return;
  pace->longest_ms = duration_ms;
  pace->longest_n = n_events;
}

void
stream_pace_record (struct StreamPace *pace, uint32_t n_events, int64_t now_ms)
{
  if (n_events == pace->last_n)
    return;
  if (pace->first_n == 0)
    {
      pace->first_n = n_events;
      pace->first_ms = now_ms;
    }
  else
    stream_pace_add_interval (pace, n_events - pace->last_n, now_ms - pace->last_ms);
  pace->last_n = n_events;
  pace->last_ms = now_ms;
}

uint32_t
stream_pace_sample_us (const struct StreamPace *pace)
{
  uint32_t n = pace->last_n - pace->first_n;
  int64_t total_ms = pace->last_ms - pace->first_ms, sample_us;

  if (pace->first_n == 0 || n < STREAM_INTERVALS_MIN)
    return 0;
  if (pace->n_intervals >= TRIM_INTERVALS_MIN)
    {
      n -= pace->longest_n;
      total_ms -= pace->longest_ms;
    }
  sample_us = total_ms * 1000 / n;
  if (sample_us <= 0)
    return 0;
  return sample_us < UINT32_MAX ? (uint32_t)sample_us : UINT32_MAX;
}
