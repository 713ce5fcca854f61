#include "paces.h"

#include "contention.h"
#include "slots.h"

#include <buckthornhead/log.h>

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum
{
  /* Servers that are logged in one update; further ones follow in the next. A change of the median
   * can move all servers of a service at once. */
  LOGGED_PER_UPDATE_MAX = 8
};

/* The means of a server that this gateway owns. */
struct OwnedPace
{
  char server[NAME_MAX_BYTES + 1];
  struct PaceMeans means;
  UT_hash_handle hh;
};

struct PaceTable
{
  struct Front *front;
  struct OwnedPace *by_server; /* uthash head */
  uint64_t seed;               /* different at each gateway */
  uint64_t n_draws;
};

static int
paces_free (struct PaceTable *table)
{
  HASH_CLEAR (hh, table->by_server);
  return 0;
}

struct PaceTable *
paces_new (struct Front *front)
{
  struct PaceTable *table = talloc_zero (front, struct PaceTable);
  const char *instance = front->node->settings->instance;

  if (table == NULL)
    return NULL;
  table->front = front;
  table->seed = XXH64 (instance, strlen (instance), 0);
  talloc_set_destructor (table, paces_free);
  return table;
}

static int32_t
paces_mode (const struct PaceTable *table)
{
  return table->front->node->settings->decisions.pace;
}

static bool
paces_are_active (const struct PaceTable *table, const char *service)
{
  return front_decision_is_active (table->front, paces_mode (table), service);
}

static int64_t
paces_now_ms (const struct PaceTable *table)
{
  return timer_now_ms (table->front->node->timers);
}

/* This gateway's requests. */

void
paces_fill_query (struct Request *request, struct ReplicaQuery *query)
{
  struct PaceTable *table = request->front->paces;

  query->uses_pace = paces_are_active (table, request->service);
  if (!query->uses_pace)
    return;
  /* The same draw for all choices of a request: otherwise it would leave the queue of a fast server
   * because the next draw counts the server as usual. */
  if (!request->has_pace_draw)
    request->pace_draw = table->seed + table->n_draws++;
  request->has_pace_draw = true;
  query->pace_draw = request->pace_draw;
}

void
paces_begin_attempt (struct Request *request)
{
  request->sample_us = 0;
  request->stream_pace = (struct StreamPace){ .last_n = request->events.n_events };
}

void
paces_record_report (struct Request *request)
{
  const struct PaceTable *table = request->front->paces;

  if (request->response.work_time_percent == 0 || !paces_are_active (table, request->service))
    return;
  pace_report_record (&request->replica->pace.report, request->response.work_time_percent,
                      paces_now_ms (table));
}

static uint32_t
request_work_kind (const struct Request *request)
{
  return (uint32_t)XXH64 (request->route.name, strlen (request->route.name), 0);
}

/* Returns the measured duration in microseconds; 0 if the attempt is not comparable with others. */
static uint32_t
request_sample_us (const struct Request *request, int64_t now_ms)
{
  if (request->streaming)
    return stream_pace_sample_us (&request->stream_pace);
  if (request->route.kind == ROUTE_STREAM || request->response.status < 200
      || request->response.status >= 300)
    return 0;
  /* The clock has whole milliseconds: on average, half of one is lost. */
  return (uint32_t)(now_ms - request->sent_ms) * 1000 + 500;
}

void
paces_end_attempt (struct Request *request)
{
  const struct PaceTable *table = request->front->paces;
  int64_t now_ms = paces_now_ms (table);

  if (request->outcome != SLOT_SERVED || !paces_are_active (table, request->service))
    return;
  request->sample_us = request_sample_us (request, now_ms);
  if (request->slot_wait == NULL)
    server_pace_add_sample (&request->replica->pace, request_work_kind (request),
                            request->sample_us, !request->streaming, now_ms);
}

void
paces_fill_done (const struct Request *request, struct SlotDoneMessage *done)
{
  if (request->outcome != SLOT_SERVED || request->sample_us == 0)
    return;
  done->sample_us = request->sample_us;
  done->work_kind = request_work_kind (request);
  done->work_time_percent = request->response.work_time_percent;
}

/* As an owner. */

static struct OwnedPace *
owned_find (const struct PaceTable *table, const char *server)
{
  struct OwnedPace *owned = NULL;

  HASH_FIND_STR (table->by_server, server, owned);
  return owned;
}

static void
owned_remove (struct PaceTable *table, struct OwnedPace *owned)
{
  HASH_DEL (table->by_server, owned);
  talloc_free (owned);
}

void
paces_on_done (struct PaceTable *table, const struct SlotDoneMessage *done)
{
  int64_t now_ms = paces_now_ms (table);
  struct OwnedPace *owned;

  if (done->sample_us == 0 || paces_mode (table) == DECISION_OFF)
    return;
  owned = owned_find (table, done->server);
  if (owned == NULL)
    {
      owned = talloc_zero (table, struct OwnedPace);
      if (owned == NULL)
        return;
      snprintf (owned->server, sizeof owned->server, "%s", done->server);
      HASH_ADD_STR (table->by_server, server, owned);
    }
  pace_means_add_sample (&owned->means, done->work_kind, done->sample_us, now_ms);
  pace_report_record (&owned->means.report, done->work_time_percent, now_ms);
}

void
paces_server_restarted (struct PaceTable *table, const char *server)
{
  struct OwnedPace *owned = owned_find (table, server);

  if (owned != NULL)
    owned_remove (table, owned);
}

static size_t
owned_rows (const struct PaceTable *table, const struct OwnedPace *owned, struct PaceRow *rows)
{
  size_t n = pace_means_rows (&owned->means, paces_now_ms (table), rows);

  for (size_t i = 0; i < n; i++)
    {
      snprintf (rows[i].server, sizeof rows[i].server, "%s", owned->server);
      rows[i].service_ms = slots_service_ms (table->front->slots, owned->server);
    }
  return n;
}

void
paces_send (struct PaceTable *table, enum PeerChoice to)
{
  struct GatewayMessage message = { .kind = GATEWAY_PACES };
  size_t n_max = (size_t)HASH_COUNT (table->by_server) * PACE_KINDS_MAX;
  struct PaceRow *rows = n_max > 0 ? talloc_zero_array (table, struct PaceRow, n_max) : NULL;
  struct OwnedPace *owned, *next;
  size_t n = 0;

  if (rows == NULL)
    return;
  HASH_ITER (hh, table->by_server, owned, next)
  {
    if (pace_means_are_known (&owned->means, paces_now_ms (table)))
      n += owned_rows (table, owned, &rows[n]);
    else
      owned_remove (table, owned);
  }
  message.paces = (struct Paces){ rows, n };
  paces_on_rows (table, rows, n);
  if (n > 0)
    node_send_some (table->front->node, &message, to);
  talloc_free (rows);
}

/* As a receiver. */

void
paces_on_rows (struct PaceTable *table, const struct PaceRow *rows, size_t n_rows)
{
  if (paces_mode (table) == DECISION_OFF)
    return;
  for (size_t i = 0; i < n_rows; i++)
    {
      struct Replica *replica = replica_set_find (table->front->replicas, rows[i].server);

      if (replica == NULL)
        continue;
      server_pace_receive (&replica->pace, &rows[i], paces_now_ms (table));
      if (replica->pace.report.percent != 0)
        contention_record_report (table->front->contention, replica->entry.service);
    }
}

void
paces_update (struct PaceTable *table)
{
  struct ReplicaSet *set = table->front->replicas;
  uint32_t n_logged = 0;

  if (paces_mode (table) == DECISION_OFF)
    return;
  replica_set_update_paces (set, paces_now_ms (table));
  for (size_t i = 0; i < set->n_replicas && n_logged < LOGGED_PER_UPDATE_MAX; i++)
    {
      struct Replica *replica = set->replicas[i];

      if (!server_pace_has_crossed (&replica->pace))
        continue;
      n_logged++;
      log_event (LOG_LEVEL_NOTICE, "server_pace", NULL, NULL,
                 "%s of %s: %s, %u permille of the usual time, last report %u percent",
                 replica->entry.id, replica->entry.service, server_pace_class_name (&replica->pace),
                 replica->pace.ratio_permille, replica->pace.report.percent);
    }
}

static json_t *
replica_json (const struct Replica *replica, int64_t now_ms)
{
  const struct ServerPace *pace = &replica->pace;
  bool known = pace->ratio_permille != 0;

  return json_pack ("{s:s, s:s, s:s, s:I, s:I, s:o, s:o}", "id", replica->entry.id, "service",
                    replica->entry.service, "zone", replica->entry.zone, "slots",
                    (json_int_t)replica->entry.slots, "in_flight",
                    (json_int_t)replica->in_flight + (json_int_t)replica->peers_in_flight,
                    "pace_permille", known ? json_integer (pace->ratio_permille) : json_null (),
                    "pace_age_ms", known ? json_integer (now_ms - pace->known_ms) : json_null ());
}

char *
paces_render (const struct PaceTable *table, TALLOC_CTX *ctx)
{
  const struct ReplicaSet *set = table->front->replicas;
  json_t *list = json_array ();
  json_t *body = json_pack ("{s:o}", "servers", list);
  char *text, *copy;

  for (size_t i = 0; i < set->n_replicas; i++)
    json_array_append_new (list, replica_json (set->replicas[i], paces_now_ms (table)));
  text = json_dumps (body, JSON_COMPACT);
  copy = text != NULL ? talloc_strdup (ctx, text) : NULL;
  free (text);
  json_decref (body);
  return copy;
}
