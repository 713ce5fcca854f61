#include "quotas.h"

#include "quota_exchange.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/log.h>

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CHECK_INTERVAL_MS = 100, /* between two checks of received usage reports */
  /* Between two usage reports, by urgency: as often as heartbeats when no customer is near its
   * limit; more often when requests admitted in between matter; and most often during a surge,
   * which every gateway admits until it has received a report of it. */
  REPORT_INTERVAL_MS = 500,
  REPORT_NEAR_LIMIT_MS = 300,
  REPORT_SURGE_MS = 100,
  FLEET_CHECK_EVERY = 6, /* checks; the set of gateways changes less often than usage */
  /* After its start a gateway reports at each check: after a stop of all gateways, none has the
   * usage of the others until they have reported, while all callers retry. */
  START_REPORT_MS = 3000,
  SMALL_FLEET_MAX = 4, /* gateways, including this one */
  /* With others known, this gateway counts as cut off after this long without a usage report. */
  CUT_OFF_MS = 2500,
  LOGGED_FROM_PERMILLE = 700 /* fraction of a limit from which on admissions are logged */
};

struct Quotas
{
  struct Front *front;
  struct QuotaExchange *exchange; /* NULL: limits are not shared by leases */
  struct QuotaLedger *ledger;
  struct UsageTable *usage_table; /* reports of the other gateways */
  int64_t reported_ms;            /* last report of own usage */
  int64_t fleet_reported_ms;      /* last report of sums, as an aggregator */
  enum QuotaUrgency urgency;
  uint32_t n_checks;
};

static int64_t
quotas_now_ms (const struct Quotas *quotas)
{
  return timer_now_ms (quotas->front->node->timers);
}

static const struct CustomerTable *
quotas_customers (const struct Quotas *quotas)
{
  return quotas->front->table != NULL ? quotas->front->table->customers : NULL;
}

/* Admission. */

static enum QuotaRequestKind
quota_ask_kind (const struct Request *request)
{
  if (request->route.retains_turns)
    return request->caller.previous[0] == '\0' ? QUOTA_REQUEST_BEGIN : QUOTA_REQUEST_UNDER_WAY;
  /* Without kept turns, a program's first turn cannot be distinguished from later ones. */
  if (request->caller.program[0] == '\0' || request->route.kind == ROUTE_STREAM)
    return QUOTA_REQUEST_SINGLE;
  return QUOTA_REQUEST_UNDER_WAY;
}

bool
quotas_must_wait (struct Request *request)
{
  struct Quotas *quotas = request->front->quotas;
  enum QuotaRequestKind kind = quota_ask_kind (request);
  int64_t now_ms = quotas_now_ms (quotas);

  if (request->customer.name[0] == '\0')
    return false;
  if (quotas->exchange != NULL)
    return quota_exchange_must_wait (quotas->exchange);
  if (!request->demand_counted)
    quota_count_demand (quotas->ledger, request->customer.name, kind, now_ms);
  request->demand_counted = true;
  return quota_must_defer (quotas->ledger, request->customer.name, kind, now_ms);
}

/* Logs what a request of a customer near its limit was admitted on: a window over the limit can be
 * traced only through the sums of all gateways. */
static void
quotas_log_admitted (const struct Request *request, const struct QuotaVerdict *verdict)
{
  if (verdict->fleet_taken * 1000 < verdict->limit * LOGGED_FROM_PERMILLE)
    return;
  log_request (
      LOG_LEVEL_INFO, "admitted_near_limit", request->caller.id, request->caller.program,
      "customer %s: limit %u per window, %u used as reported %lld ms ago, %u of them here, "
      "%u of 1000 pass",
      request->customer.name, verdict->limit, verdict->fleet_taken,
      (long long)verdict->report_age_ms, verdict->own_taken, verdict->permille);
}

bool
quotas_admit (struct Request *request)
{
  struct Quotas *quotas = request->front->quotas;
  int64_t now_ms = quotas_now_ms (quotas);
  struct QuotaVerdict verdict;
  char detail[160];

  if (request->admitted_ms != 0 || request->customer.name[0] == '\0')
    return true;
  if (quotas->exchange != NULL)
    return quota_exchange_admit (quotas->exchange, request, quota_ask_kind (request));
  verdict = quota_admit (quotas->ledger, request->customer.name, quota_ask_kind (request), now_ms);
  if (verdict.admitted)
    {
      request->admitted_ms = now_ms;
      quotas_log_admitted (request, &verdict);
      return true;
    }
  counter_add (COUNTER_REQUESTS_OVER_LIMIT, 1);
  if (verdict.is_first_rejection)
    log_event (
        LOG_LEVEL_NOTICE, "customer_over_limit", NULL,
        "raise the customer's limit, or inform the customer",
        "%s: limit %u per window, %u used as reported %lld ms ago, %.1f requests per program",
        request->customer.name, verdict.limit, verdict.fleet_taken,
        (long long)verdict.report_age_ms, quota_ledger_program_size (quotas->ledger));
  snprintf (detail, sizeof detail,
            "customer %s: limit %u per window, %u used as reported %lld ms ago, %u of 1000 pass",
            request->customer.name, verdict.limit, verdict.fleet_taken,
            (long long)verdict.report_age_ms, verdict.permille);
  request_reject_over_limit (request, verdict.retry_after_ms, detail);
  return false;
}

void
quotas_refund (struct Request *request)
{
  struct Quotas *quotas = request->front->quotas;

  if (request->admitted_ms == 0)
    return;
  if (quotas->exchange != NULL)
    quota_exchange_refund (quotas->exchange, request->customer.name);
  else
    quota_release (quotas->ledger, request->customer.name, quota_ask_kind (request),
                   request->admitted_ms, quotas_now_ms (quotas));
  request->admitted_ms = 0;
}

/* Usage reports. */

/* Returns true while usage is reported at each check: after the start, and in a small fleet, where
 * each gateway receives a large part of a surge and few messages are needed. */
static bool
quotas_reports_often (const struct Quotas *quotas, int64_t now_ms)
{
  return now_ms - quotas->front->started_ms < START_REPORT_MS
         || quotas->front->n_gateways <= SMALL_FLEET_MAX;
}

static int64_t
quotas_report_interval_ms (const struct Quotas *quotas, int64_t now_ms)
{
  if (quotas_reports_often (quotas, now_ms))
    return CHECK_INTERVAL_MS;
  switch (quotas->urgency)
    {
    case QUOTA_CALM:
      return REPORT_INTERVAL_MS;
    case QUOTA_NEAR:
      return REPORT_NEAR_LIMIT_MS;
    case QUOTA_SURGE:
      return REPORT_SURGE_MS;
    }
  return REPORT_INTERVAL_MS;
}

static void
quotas_send (struct Quotas *quotas,
             enum UsageScope scope,
             struct CustomerUsage *usages,
             size_t n_usages,
             enum PeerChoice to)
{
  struct Node *node = quotas->front->node;
  struct GatewayMessage message = { .kind = GATEWAY_USAGES };

  message.usages.scope = scope;
  message.usages.usages = usages;
  message.usages.n_usages = n_usages;
  snprintf (message.usages.zone, sizeof message.usages.zone, "%s", node->settings->zone);
  node_send_some (node, &message, to);
}

/* As an aggregator, sends the zone's sum to the other zones and the fleet's sum to the members of
 * the zone; without delay when a surge begins. */
static void
quotas_send_sums (struct Quotas *quotas,
                  struct CustomerUsage *own,
                  size_t n_own,
                  struct CustomerUsage *fleet,
                  size_t n_fleet,
                  int64_t now_ms)
{
  int64_t since_ms = now_ms - quotas->fleet_reported_ms;
  struct CustomerUsage *zone;
  size_t n_zone;

  if (since_ms < quotas_report_interval_ms (quotas, now_ms))
    return;
  zone = usage_table_sum (quotas->usage_table, fleet, USAGE_OF_ZONE, own, n_own, now_ms, &n_zone);
  quotas_send (quotas, USAGE_OF_ZONE, zone, n_zone, PEERS_OTHER_ZONES);
  quotas->fleet_reported_ms = now_ms;
  quotas_send (quotas, USAGE_OF_FLEET, fleet, n_fleet, PEERS_SERVED);
}

/* As an aggregator, sums the usage of the fleet from the reports received. */
static void
quotas_sum_usage (struct Quotas *quotas, struct CustomerUsage *own, size_t n_own, int64_t now_ms)
{
  size_t n_fleet;
  struct CustomerUsage *fleet =
      usage_table_sum (quotas->usage_table, own, USAGE_OF_FLEET, own, n_own, now_ms, &n_fleet);

  if (fleet == NULL)
    return;
  n_fleet = quota_ledger_near_limit (quotas->ledger, fleet, n_fleet);
  quotas->urgency = quota_ledger_urgency (quotas->ledger, fleet, n_fleet);
  quota_ledger_take_report (quotas->ledger, fleet, n_fleet, now_ms);
  quotas_send_sums (quotas, own, n_own, fleet, n_fleet, now_ms);
}

/* Applies the usage of the fleet as an aggregator reported it. */
static void
quotas_apply_report (struct Quotas *quotas, int64_t now_ms)
{
  const struct UsageReport *report = usage_table_fleet (quotas->usage_table, now_ms);

  if (report == NULL)
    {
      quotas->urgency = QUOTA_CALM;
      return;
    }
  quota_ledger_take_report (quotas->ledger, report->usages, report->n_usages, now_ms);
  quotas->urgency = quota_ledger_urgency (quotas->ledger, report->usages, report->n_usages);
}

/* Updates the numbers of known and live gateways. Gateways that are leaving accept no callers and
 * are not counted. */
static void
quotas_update_fleet (struct Quotas *quotas, int64_t now_ms)
{
  const struct Node *node = quotas->front->node;
  const struct PeerTable *table = node->peers;
  struct QuotaFleet fleet = { .n_known = 1, .n_received = 1 };
  int64_t received_ms = usage_table_received_ms (quotas->usage_table);

  for (size_t i = 0; i < table->n_peers; i++)
    {
      const struct NodeStatus *status = &table->peers[i]->status;

      if (status->caller_address[0] == '\0' || status->leaving)
        continue;
      fleet.n_known++;
      fleet.n_received += node_peer_is_live (node, table->peers[i]);
    }
  if (received_ms < quotas->front->started_ms)
    received_ms = quotas->front->started_ms;
  fleet.is_cut_off = fleet.n_known > 1 && now_ms - received_ms > CUT_OFF_MS;
  quota_ledger_note_fleet (quotas->ledger, &fleet);
}

static void
quotas_send_own_usage (struct Quotas *quotas,
                       struct CustomerUsage *own,
                       size_t n_own,
                       int64_t now_ms)
{
  quotas->reported_ms = now_ms;
  quotas_send (quotas, USAGE_OF_GATEWAY, own, n_own, PEERS_OWN_AGGREGATORS);
}

static void
quotas_check (struct Quotas *quotas, int64_t now_ms)
{
  bool aggregates = peer_table_is_aggregator (quotas->front->node->peers, now_ms);
  bool reports = now_ms - quotas->reported_ms >= quotas_report_interval_ms (quotas, now_ms);
  struct CustomerUsage *own = NULL;
  size_t n_own;

  if (aggregates || reports)
    own = quota_ledger_report (quotas->ledger, quotas, now_ms, &n_own);
  if (own != NULL && reports)
    quotas_send_own_usage (quotas, own, n_own, now_ms);
  if (!aggregates)
    quotas_apply_report (quotas, now_ms);
  else if (own != NULL)
    quotas_sum_usage (quotas, own, n_own, now_ms);
  talloc_free (own);
}

/* Checks at each tick during a surge or while reports are frequent, else at every second tick. */
static void
quotas_on_timer (void *data)
{
  struct Quotas *quotas = data;
  int64_t now_ms = quotas_now_ms (quotas);
  bool often = quotas->urgency == QUOTA_SURGE || quotas_reports_often (quotas, now_ms);
  uint32_t check = quotas->n_checks++;

  if (quotas_customers (quotas) == NULL || (!often && check % 2 != 0))
    return;
  if (often || check % FLEET_CHECK_EVERY == 0)
    quotas_update_fleet (quotas, now_ms);
  quotas_check (quotas, now_ms);
}

void
quotas_on_report (struct Quotas *quotas, const char *sender, const struct UsageReport *report)
{
  int64_t now_ms = quotas_now_ms (quotas);

  if (quotas->exchange != NULL)
    return;
  usage_table_take (quotas->usage_table, sender, report, now_ms);
  /* What passes until the next check would be decided on the previous sums. */
  if (report->scope == USAGE_OF_FLEET
      && !peer_table_is_aggregator (quotas->front->node->peers, now_ms))
    quotas_apply_report (quotas, now_ms);
}

void
quotas_configure (struct Quotas *quotas)
{
  if (quotas->exchange != NULL)
    quota_exchange_configure (quotas->exchange);
  else
    quota_ledger_configure (quotas->ledger, quotas_customers (quotas), quotas_now_ms (quotas));
}

void
quotas_on_message (struct Quotas *quotas,
                   uint64_t link,
                   const char *sender,
                   const struct GatewayMessage *message)
{
  if (quotas->exchange != NULL)
    quota_exchange_on_message (quotas->exchange, link, sender, message);
}

struct Quotas *
quotas_new (struct Front *front)
{
  const struct GatewaySettings *settings = front->node->settings;
  const struct QuotaRules rules = {
    .sharing = (enum QuotaSharing)settings->quota_sharing,
    .window_ms = settings->quota_window_ms,
    .slack = settings->quota_slack,
    .programs_first = settings->decisions.under_way,
  };
  struct Quotas *quotas = talloc_zero (front, struct Quotas);

  if (quotas == NULL)
    return NULL;
  quotas->front = front;
  if (rules.sharing == QUOTA_BY_LEASES)
    {
      quotas->exchange = quota_exchange_new (quotas, front, &rules);
      if (quotas->exchange == NULL)
        TALLOC_FREE (quotas);
      return quotas;
    }
  quotas->ledger = quota_ledger_new (quotas, &rules, settings->instance, front->started_ms);
  quotas->usage_table = usage_table_new (quotas, rules.window_ms);
  if (quotas->ledger == NULL || quotas->usage_table == NULL)
    {
      talloc_free (quotas);
      return NULL;
    }
  timer_subscribe (quotas, front->node->timers, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
                   quotas_on_timer, quotas);
  return quotas;
}

static json_t *
standing_json (const struct QuotaStanding *standing)
{
  return json_pack ("{s:s, s:f, s:f, s:i, s:i, s:I, s:i, s:i}", "customer", standing->customer,
                    "rate_per_s", standing->rate_per_s, "burst", standing->burst, "taken_here",
                    (int)standing->taken_here, "taken_by_fleet", (int)standing->taken_by_fleet,
                    "refused_here", (json_int_t)standing->refused_here, "begin_permille",
                    (int)standing->begin_permille, "under_way_permille",
                    (int)standing->under_way_permille);
}

static char *
quotas_render_ledger (struct Quotas *quotas, TALLOC_CTX *ctx)
{
  size_t n = 0;
  struct QuotaStanding *standings =
      quota_ledger_standings (quotas->ledger, ctx, quotas_now_ms (quotas), &n);
  json_t *list = json_array ();
  json_t *body = json_pack ("{s:f, s:o}", "program_needs_requests",
                            quota_ledger_program_size (quotas->ledger), "customers", list);
  char *text, *copy;

  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, standing_json (&standings[i]));
  text = json_dumps (body, JSON_COMPACT | JSON_REAL_PRECISION (6));
  copy = text != NULL ? talloc_strdup (ctx, text) : NULL;
  free (text);
  json_decref (body);
  talloc_free (standings);
  return copy;
}

char *
quotas_render (struct Quotas *quotas, TALLOC_CTX *ctx)
{
  return quotas->exchange != NULL ? quota_exchange_render (quotas->exchange, ctx)
                                  : quotas_render_ledger (quotas, ctx);
}
