#include "suspects.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>
#include <buckthornhead/request_digest.h>

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TICK_MS = 250,
  /* A repeatable request has its response from the next server within this, and then nobody needs
   * to know that it was on a crashed one. Less than the pause before a caller's next attempt. */
  SPREAD_DELAY_MS = 60,
  REPORT_RECORDS_MAX = 64,
  SAME_EVENT_MS = 5, /* more than a round trip between availability zones */
  /* Records in a periodic report; with up to six crashes each it is 2.5 KB. */
  PERIODIC_RECORDS_MAX = 8,
  PERIODIC_TICKS = 4,
  /* Up to this many peers, a gateway sends to all gateways itself. */
  DIRECT_PEERS_MAX = 120,
  ASK_INTERVAL_MS = 50,
  ASKS_MAX = SUSPECTS_START_MS / ASK_INTERVAL_MS,
  /* Most quarantined requests that a message to a process that starts, or a disk, holds. */
  PACKED_RECORDS_MAX = 1024
};

struct Suspects
{
  struct Node *node;
  struct Quarantine *quarantine;
  struct Timer *spread_timer; /* NULL: nothing waits to be sent */
  uint64_t n_ticks;
  struct Timer *ask_timer; /* NULL: informed */
  uint32_t n_asks;
};

static int64_t
suspects_now_ms (const struct Suspects *suspects)
{
  return timer_now_ms (suspects->node->timers);
}

struct Quarantine *
suspects_quarantine (struct Suspects *suspects)
{
  return suspects->quarantine;
}

/* Reports. */

static int64_t
age_of_time (int64_t time_ms, int64_t now_ms)
{
  return time_ms == 0 ? SUSPECT_AGE_NONE : now_ms - time_ms;
}

/* An event before this process's clock began is as old as the clock. */
static int64_t
time_of_age (int64_t age_ms, int64_t now_ms)
{
  if (age_ms == SUSPECT_AGE_NONE)
    return 0;
  return age_ms < now_ms ? now_ms - age_ms : 1;
}

/* Converts the times of a record to ages or back. */
static struct SuspectRecord
record_convert (const struct SuspectRecord *record,
                int64_t (*convert) (int64_t ms, int64_t now_ms),
                int64_t now_ms)
{
  struct SuspectRecord converted = *record;

  converted.cleared_ms = convert (record->cleared_ms, now_ms);
  converted.trial_ms = convert (record->trial_ms, now_ms);
  for (uint32_t i = 0; i < record->n_crashes; i++)
    {
      converted.crashes[i].sent_ms = convert (record->crashes[i].sent_ms, now_ms);
      converted.crashes[i].ended_ms = convert (record->crashes[i].ended_ms, now_ms);
    }
  return converted;
}

static struct GatewayMessage
report_message (struct SuspectRecord *records, size_t n_records)
{
  struct GatewayMessage message = { .kind = GATEWAY_SUSPECTS };

  message.suspects.items = records;
  message.suspects.n_items = n_records;
  return message;
}

/* Returns whether archives keep the record, or kept it until its quarantine ended. */
static bool
record_concerns_archives (const struct SuspectRecord *record)
{
  return record->n_crashes >= QUARANTINE_THRESHOLD;
}

static void
suspects_send_fleet (const struct Suspects *suspects, const struct GatewayMessage *message)
{
  struct Node *node = suspects->node;

  if (node->peers->n_peers <= DIRECT_PEERS_MAX)
    {
      node_send_some (node, message, PEERS_GATEWAYS);
      return;
    }
  node_send_some (node, message, PEERS_AGGREGATORS);
  if (peer_table_is_aggregator (node->peers, suspects_now_ms (suspects)))
    node_send_some (node, message, PEERS_GATEWAYS_OF_ZONE);
}

/* Sends all that has changed. */
static void
suspects_send_changes (struct Suspects *suspects)
{
  struct SuspectRecord *records = talloc_array (suspects, struct SuspectRecord, REPORT_RECORDS_MAX);
  static const struct ArchiveNames none = { .n = 0 };
  int64_t now_ms = suspects_now_ms (suspects);
  const struct SuspectRecord *changed;

  TALLOC_FREE (suspects->spread_timer);
  if (records == NULL)
    return;
  do
    {
      struct GatewayMessage message;
      bool concerns_archives = false;
      size_t n = 0;

      while (n < REPORT_RECORDS_MAX
             && (changed = quarantine_next_changed (suspects->quarantine)) != NULL)
        {
          concerns_archives = concerns_archives || record_concerns_archives (changed);
          records[n++] = record_convert (changed, age_of_time, now_ms);
        }
      message = report_message (records, n);
      if (n > 0)
        suspects_send_fleet (suspects, &message);
      if (concerns_archives)
        node_send_set (suspects->node, &message, &none);
    }
  while (changed != NULL);
  talloc_free (records);
}

static void
suspects_on_spread_timer (void *data)
{
  suspects_send_changes (data);
}

void
suspects_spread (struct Suspects *suspects, const uint8_t digest[DIGEST_BYTES])
{
  if (digest != NULL && quarantine_contains (suspects->quarantine, digest))
    suspects_send_changes (suspects);
  else if (suspects->spread_timer == NULL)
    suspects->spread_timer = timer_subscribe (suspects, suspects->node->timers, SPREAD_DELAY_MS, 0,
                                              suspects_on_spread_timer, suspects);
}

/* Fills records with up to n_max quarantined requests after the first n_skipped. */
static size_t
suspects_collect (const struct Suspects *suspects,
                  struct SuspectRecord *records,
                  size_t n_max,
                  uint64_t n_skipped)
{
  const struct Suspect *suspect = NULL;
  int64_t now_ms = suspects_now_ms (suspects);
  size_t n = 0;

  while (n < n_max && (suspect = quarantine_next (suspects->quarantine, suspect)) != NULL)
    if (n_skipped > 0)
      n_skipped--;
    else
      records[n++] = record_convert (&suspect->record, age_of_time, now_ms);
  return n;
}

/* Fills message with all quarantined requests, allocated on ctx. */
static bool
suspects_fill_all (const struct Suspects *suspects, TALLOC_CTX *ctx, struct GatewayMessage *message)
{
  struct SuspectRecord *records = talloc_array (ctx, struct SuspectRecord, PACKED_RECORDS_MAX);

  if (records == NULL)
    return false;
  *message = report_message (records, suspects_collect (suspects, records, PACKED_RECORDS_MAX, 0));
  return true;
}

/* Also replies if nothing is quarantined, so that the process that started is informed. */
static void
suspects_reply (struct Suspects *suspects, uint64_t link)
{
  TALLOC_CTX *ctx = talloc_new (suspects);
  struct GatewayMessage message;

  if (suspects_are_informed (suspects) && suspects_fill_all (suspects, ctx, &message))
    {
      message.suspects.is_reply = true;
      node_answer (suspects->node, link, &message);
    }
  talloc_free (ctx);
}

uint8_t *
suspects_pack_quarantined (struct Suspects *suspects,
                           TALLOC_CTX *ctx,
                           uint64_t *version,
                           size_t *n_bytes)
{
  TALLOC_CTX *filled = talloc_new (suspects);
  struct GatewayMessage message;
  uint8_t *bytes = NULL;

  if (*version != quarantine_version (suspects->quarantine)
      && suspects_fill_all (suspects, filled, &message)
      && gateway_message_pack (ctx, &message, &bytes, n_bytes) == ERROR_NONE)
    *version = quarantine_version (suspects->quarantine);
  talloc_free (filled);
  return bytes;
}

bool
suspects_are_informed (const struct Suspects *suspects)
{
  return suspects->ask_timer == NULL;
}

void
suspects_set_informed (struct Suspects *suspects)
{
  TALLOC_FREE (suspects->ask_timer);
}

void
suspects_log_quarantined (const struct Suspects *suspects, const uint8_t digest[DIGEST_BYTES])
{
  const struct SuspectRecord *record = quarantine_record (suspects->quarantine, digest);
  int64_t now_ms = suspects_now_ms (suspects);
  char name[REQUEST_DIGEST_NAME_BYTES];
  char *servers = talloc_strdup (NULL, "");

  request_digest_name (digest, name);
  for (uint32_t i = 0; record != NULL && servers != NULL && i < record->n_crashes; i++)
    if (!record->crashes[i].discounted)
      servers = talloc_asprintf_append (servers, "%s%s %lld ms ago", servers[0] != '\0' ? ", " : "",
                                        record->crashes[i].server,
                                        (long long)(now_ms - record->crashes[i].ended_ms));
  log_event (LOG_LEVEL_ERROR, "request_quarantined", NULL,
             "look for its caller in the lines with this digest; release it once the servers can "
             "run it",
             "digest %s was running on servers that crashed: %s", name,
             servers != NULL ? servers : "out of memory");
  talloc_free (servers);
}

void
suspects_on_report (struct Suspects *suspects, uint64_t link, const struct SuspectReport *report)
{
  int64_t now_ms = suspects_now_ms (suspects);
  struct SuspectRecord *news = talloc_array (suspects, struct SuspectRecord, report->n_items + 1);
  struct GatewayMessage message;
  size_t n_news = 0;

  if (report->wants_reply)
    suspects_reply (suspects, link);
  else if (report->is_reply)
    suspects_set_informed (suspects);
  for (size_t i = 0; news != NULL && i < report->n_items; i++)
    {
      struct SuspectRecord record = record_convert (&report->items[i], time_of_age, now_ms);
      bool was_quarantined = quarantine_contains (suspects->quarantine, record.digest);

      if (!quarantine_merge (suspects->quarantine, &record, now_ms))
        continue;
      news[n_news++] = report->items[i];
      if (!was_quarantined && quarantine_contains (suspects->quarantine, record.digest))
        suspects_log_quarantined (suspects, record.digest);
    }
  message = report_message (news, n_news);
  if (n_news > 0 && suspects->node->peers->n_peers > DIRECT_PEERS_MAX
      && peer_table_is_aggregator (suspects->node->peers, now_ms))
    node_send_some (suspects->node, &message, PEERS_GATEWAYS_OF_ZONE);
  talloc_free (news);
}

static void
record_add_age (struct SuspectRecord *record, uint32_t age_ms)
{
  if (record->cleared_ms != SUSPECT_AGE_NONE)
    record->cleared_ms += age_ms;
  if (record->trial_ms != SUSPECT_AGE_NONE)
    record->trial_ms += age_ms;
  for (uint32_t i = 0; i < record->n_crashes; i++)
    {
      record->crashes[i].sent_ms += age_ms;
      record->crashes[i].ended_ms += age_ms;
    }
}

void
suspects_on_saved (struct Suspects *suspects, struct SuspectReport *report, uint32_t age_ms)
{
  for (size_t i = 0; i < report->n_items; i++)
    record_add_age (&report->items[i], age_ms);
  suspects_on_report (suspects, PEER_LINK_NONE, report);
}

/* Periodic reports. */

/* Returns the first live archive or gateway after the n-th peer; NULL if there is none. */
static const struct Peer *
suspects_next_peer (const struct Suspects *suspects, bool is_archive, uint64_t n)
{
  const struct PeerTable *peers = suspects->node->peers;

  for (size_t i = 0; i < peers->n_peers; i++)
    {
      const struct Peer *peer = peers->peers[(n + i) % peers->n_peers];

      if (peer->status.is_archive == is_archive && node_peer_is_live (suspects->node, peer))
        return peer;
    }
  return NULL;
}

/* Asks an archive and a gateway for all quarantined requests. */
static void
suspects_on_ask (void *data)
{
  struct Suspects *suspects = data;
  struct GatewayMessage message = report_message (NULL, 0);
  const bool roles[] = { true, false };

  if (suspects->n_asks++ == ASKS_MAX)
    {
      suspects_set_informed (suspects);
      return;
    }
  message.suspects.wants_reply = true;
  for (size_t i = 0; i < 2; i++)
    {
      const struct Peer *peer = suspects_next_peer (suspects, roles[i], suspects->n_asks);

      if (peer != NULL)
        node_send (suspects->node, peer->status.node, &message);
    }
}

static void
suspects_send_periodic (struct Suspects *suspects)
{
  struct SuspectRecord records[PERIODIC_RECORDS_MAX];
  const struct Peer *peer =
      suspects_next_peer (suspects, false, suspects->n_ticks / PERIODIC_TICKS);
  uint32_t n_quarantined = quarantine_n_quarantined (suspects->quarantine);
  struct GatewayMessage message;
  size_t n;

  if (peer == NULL || n_quarantined == 0)
    return;
  n = suspects_collect (suspects, records, PERIODIC_RECORDS_MAX,
                        suspects->n_ticks / PERIODIC_TICKS * PERIODIC_RECORDS_MAX % n_quarantined);
  message = report_message (records, n);
  node_send (suspects->node, peer->status.node, &message);
}

static void
suspects_on_tick (void *data)
{
  struct Suspects *suspects = data;

  suspects->n_ticks++;
  quarantine_expire (suspects->quarantine, suspects_now_ms (suspects));
  if (suspects->n_ticks % PERIODIC_TICKS == 0)
    suspects_send_periodic (suspects);
}

struct Suspects *
suspects_new (TALLOC_CTX *ctx, struct Node *node)
{
  static const struct QuarantineOptions options = { .has_trials = true,
                                                    .same_event_ms = SAME_EVENT_MS };
  struct Suspects *suspects = talloc_zero (ctx, struct Suspects);

  if (suspects == NULL)
    return NULL;
  suspects->node = node;
  suspects->quarantine = quarantine_new (suspects, &options);
  if (suspects->quarantine == NULL)
    return NULL;
  timer_subscribe (suspects, node->timers, TICK_MS, TICK_MS, suspects_on_tick, suspects);
  suspects->ask_timer = timer_subscribe (suspects, node->timers, ASK_INTERVAL_MS, ASK_INTERVAL_MS,
                                         suspects_on_ask, suspects);
  return suspects;
}

/* Operators. */

static json_t *
crashes_json (const struct SuspectRecord *record, int64_t now_ms)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < record->n_crashes; i++)
    {
      const struct CrashRecord *crash = &record->crashes[i];

      if (!crash->discounted)
        json_array_append_new (list,
                               json_pack ("{s:s, s:I, s:I}", "server", crash->server, "age_ms",
                                          (json_int_t)(now_ms - crash->ended_ms), "ran_ms",
                                          (json_int_t)(crash->ended_ms - crash->sent_ms)));
    }
  return list;
}

static json_t *
suspect_json (const struct Suspects *suspects, const struct SuspectRecord *record)
{
  int64_t now_ms = suspects_now_ms (suspects);
  struct QuarantineState state = quarantine_state_of (suspects->quarantine, record, now_ms);
  bool has_trial = state.verdict == VERDICT_TRIAL || state.wait_ms != INT64_MAX;
  char digest[REQUEST_DIGEST_NAME_BYTES];

  request_digest_name (record->digest, digest);
  return json_pack ("{s:s, s:I, s:o, s:o}", "digest", digest, "crashes",
                    (json_int_t)state.n_crashes, "servers", crashes_json (record, now_ms),
                    "next_trial_ms",
                    has_trial ? json_integer ((json_int_t)state.wait_ms) : json_null ());
}

char *
suspects_render (struct Suspects *suspects, TALLOC_CTX *ctx)
{
  json_t *list = json_array ();
  json_t *body = json_pack ("{s:o}", "quarantined", list);
  const struct Suspect *suspect = NULL;
  char *text, *copy;

  while ((suspect = quarantine_next (suspects->quarantine, suspect)) != NULL)
    json_array_append_new (list, suspect_json (suspects, &suspect->record));
  text = json_dumps (body, JSON_COMPACT);
  copy = text != NULL ? talloc_strdup (ctx, text) : NULL;
  free (text);
  json_decref (body);
  return copy;
}

int32_t
suspects_release (struct Suspects *suspects, const char *name)
{
  const struct Suspect *suspect = NULL;
  char digest[REQUEST_DIGEST_NAME_BYTES];

  while ((suspect = quarantine_next (suspects->quarantine, suspect)) != NULL)
    {
      request_digest_name (suspect->record.digest, digest);
      if (strcmp (digest, name) != 0)
        continue;
      log_event (LOG_LEVEL_NOTICE, "request_released", NULL, NULL, "digest %s, by an operator",
                 name);
      quarantine_clear (suspects->quarantine, suspect->record.digest, suspects_now_ms (suspects));
      suspects_send_changes (suspects);
      return ERROR_NONE;
    }
  return ERROR_NOT_FOUND;
}
