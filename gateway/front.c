#include "front.h"

#include "attribution.h"
#include "contention.h"
#include "crash_guard.h"
#include "credential.h"
#include "directory.h"
#include "loop_echo.h"
#include "metrics.h"
#include "paces.h"
#include "quotas.h"
#include "request.h"
#include "slots.h"
#include "store_reader.h"
#include "suspects.h"

#include <buckthornhead/counter.h>
#include <buckthornhead/deflate.h>
#include <buckthornhead/log.h>
#include <buckthornhead/scheduling/plain_queue.h>
#include <buckthornhead/scheduling/silent_attempts.h>

#include <stdio.h>
#include <string.h>

enum
{
  /* Requests are still accepted for this long after a planned stop was requested, since callers
   * cache the list of addresses for a few seconds; later ones are rejected with Retry-After. In a
   * short grace period, for a part of it. */
  STOP_ACCEPT_MS = 3000,
  STOP_ACCEPT_EIGHTHS = 3,
  /* Requests that have waited for a server until this part of the grace period are not sent to one
   * any more. */
  STOP_SEND_EIGHTHS = 6,
  /* Minimum duration of a planned stop without requests in flight, for callers with an old list. */
  STOP_LINGER_MS = 5000,
  /* The remaining requests are answered this long before the end of the grace period, when the
   * platform would kill the process, and it exits, at the latest, this long before it. */
  STOP_ANSWER_MARGIN_MS = 400,
  STOP_EXIT_MARGIN_MS = 200,
  /* Limits of caller requests until a configuration is received. */
  INITIAL_HEADER_BYTES = 16 * 1024,
  INITIAL_BODY_BYTES = 4 * 1024 * 1024,
  INITIAL_HEADER_TIMEOUT_MS = 3000,
  INITIAL_IDLE_TIMEOUT_MS = 15000,
  TICK_INTERVAL_MS = 250, /* half a heartbeat interval */
  DIGEST_INTERVAL_MS = 120,
  /* Digest intervals between digests of all engines, which are sent as often as heartbeats. */
  FULL_DIGEST_TICKS = 4,
  /* With more peers than this, only the gateways of an engine's zone, which prefer it over engines
   * of other zones, receive its digests: with 300 gateways and 9 engines each, sending all digests
   * to all gateways would cost each of them 1.4 MB per second. */
  DIGESTS_TO_ALL_PEERS_MAX = 120,
  /* How long after the start requests are deferred. Links to archives and peers are up within about
   * 300 ms when 80 processes start together on an eighth of a core. */
  START_DEFER_MS = 1200,
  START_CHECK_MS = 20,
  /* On each of the ready and directory listeners, whose requests are few, small and short. */
  OWN_CONNECTIONS_MAX = 1000,
  ALL_SERVERS_CONNECTIONS_MAX = 100 * 1000,
  /* How long an idle connection is reused when its server advertises no keep-alive timeout. */
  SERVER_IDLE_MS = 1000,
  /* Share of a server's connection limit that all gateways together may use. */
  CONNECTIONS_USED_PERCENT = 90,
  SERVER_CONNECTIONS_MIN = 2,
  SERVER_CONNECTIONS_MAX = 24 /* default per server */
};

static const struct HttpLimits initial_limits = {
  .header_max_bytes = INITIAL_HEADER_BYTES,
  .body_max_bytes = INITIAL_BODY_BYTES,
  .header_timeout_ms = INITIAL_HEADER_TIMEOUT_MS,
  .idle_timeout_ms = INITIAL_IDLE_TIMEOUT_MS,
};

/* Callers. */

static void
request_on_timeout (void *data)
{
  struct Request *request = data;

  crash_guard_record_silence (request);
  request_fail (request,
                request->may_have_run || request->call != NULL ? FAILURE_TIMEOUT
                                                               : FAILURE_OUT_OF_TIME,
                "the deadline has passed");
}

static void
request_on_caller_left (struct HttpExchange *exchange)
{
  struct Request *request = exchange->handler_data;

  log_request (LOG_LEVEL_INFO, "caller_left", request->caller.id, request->caller.program,
               "caller disconnected %lld ms after its request",
               (long long)(timer_now_ms (request->front->node->timers) - request->arrived_ms));
  counter_add (COUNTER_REQUESTS_LEFT, 1);
  crash_guard_record_silence (request);
  if (request->n_tried == 0)
    quotas_refund (request);
  if (request->turn != NULL)
    turn_abandon (request);
  request->exchange = NULL;
  request_end (request);
}

static void
request_on_caller_reads (struct HttpExchange *exchange)
{
  request_update_flow (exchange->handler_data);
}

static uint64_t
request_held_bytes (const struct HttpExchange *exchange)
{
  const struct Request *request = exchange->handler_data;
  const struct EventStream *events = &request->events;
  uint64_t n_bytes = request->response_body.capacity + request->partial_event.capacity
                     + events->line.capacity + events->event.capacity + events->data.capacity;

  if (request->body != exchange->body)
    return n_bytes + request->body_bytes;
  return n_bytes + turn_held_bytes (request);
}

static void
request_on_memory_short (struct HttpExchange *exchange)
{
  struct Request *request = exchange->handler_data;
  bool may_have_run = request->may_have_run || request->call != NULL;

  request_fail (request, may_have_run ? FAILURE_BROKEN : FAILURE_NO_MEMORY,
                "the process is short of memory");
}

static struct Request *
request_new (struct Front *front, struct HttpExchange *exchange)
{
  struct Request *request = talloc_zero (front, struct Request);

  if (request == NULL)
    return NULL;
  request->front = front;
  request->exchange = exchange;
  request->arrived_ms = exchange->arrived_ms;
  request->deadline_ms = exchange->arrived_ms;
  request->previous_server = "";
  request->next = front->requests;
  request->pprev = &front->requests;
  if (request->next != NULL)
    request->next->pprev = &request->next;
  front->requests = request;
  request->body = exchange->body;
  request->body_bytes = exchange->body_bytes;
  exchange->handler_data = request;
  exchange->on_disconnect = request_on_caller_left;
  exchange->on_uncongested = request_on_caller_reads;
  exchange->held_bytes = request_held_bytes;
  exchange->on_memory_short = request_on_memory_short;
  return request;
}

/* Returns this gateway's share of a server's connections. A server resets connections beyond its
 * limit for all clients together; the margin allows for gateways that start or stop. */
static uint32_t
connections_share (const struct Service *service, uint32_t n_gateways)
{
  uint32_t share;

  if (service == NULL || n_gateways == 0)
    return SERVER_CONNECTIONS_MIN;
  share = service->connections_max * CONNECTIONS_USED_PERCENT / 100 / n_gateways;
  return share > SERVER_CONNECTIONS_MIN ? share : SERVER_CONNECTIONS_MIN;
}

/* Decides whether the request waits for a slot in the queue of its plain server's owner. */
static void
request_route_plain (struct Request *request, const struct Service *service)
{
  const struct Front *front = request->front;
  const struct Decisions *decisions = &front->node->settings->decisions;

  if (!decisions->owners || service == NULL || service->is_engine
      || !front_decision_is_active (front, decisions->plain_queues, request->service))
    return;
  request->needs_slot = true;
  request->plain_service_ms = plain_first_service_ms (request->route.objective_ms);
}

/* Finds the request's route and service, and sets its deadline. Returns false without a route. */
static bool
request_route (struct Request *request)
{
  struct Front *front = request->front;
  const struct HttpExchange *exchange = request->exchange;
  const struct Route *route =
      route_table_find (front->table, request->caller.host, exchange->target);
  const struct Service *service;
  int64_t timeout_ms;

  if (route == NULL)
    return false;
  request->route = *route;
  snprintf (request->service, sizeof request->service, "%s",
            route_choose_service (route, front->n_draws++ * 2654435761U >> 7));
  request->events.collects_data = route->retains_turns;
  if (!route->retains_turns)
    request->caller.previous = "";
  service = route_table_service (front->table, request->service);
  request->tokens_per_event = service != NULL ? service->tokens_per_event : 1;
  request->capacity_tokens = service != NULL ? service->capacity_tokens : 0;
  if (route->warms_up && request->caller.object[0] != '\0')
    request->object = request->caller.object;
  request->needs_slot = front->node->settings->decisions.owners && service != NULL
                        && service->is_engine && route->kind == ROUTE_STREAM;
  request_route_plain (request, service);
  request->program_deadline_ms = request->caller.has_program_timeout
                                     ? request->arrived_ms + request->caller.program_timeout_ms
                                     : INT64_MAX;
  request->connections_max = connections_share (service, front->n_gateways);
  timeout_ms = route->timeout_ms;
  if (request->caller.timeout_ms > 0 && request->caller.timeout_ms < timeout_ms)
    timeout_ms = request->caller.timeout_ms;
  request->deadline_ms = request->arrived_ms + timeout_ms;
  http_exchange_set_stall_timeout (request->exchange, route->timeout_ms);
  request->timeout = timer_subscribe (request, front->node->timers,
                                      request->deadline_ms - timer_now_ms (front->node->timers), 0,
                                      request_on_timeout, request);
  return request->timeout != NULL;
}

/* Returns whether the request is a turn: the archives store it, its program's budget is enforced
 * across all gateways, or both. */
static bool
request_is_turn (const struct Request *request)
{
  return request->route.retains_turns
         || (request->route.kind == ROUTE_STREAM && request->caller.budget_tokens > 0);
}

/* Returns the time since a planned stop was requested; 0 without one. */
static int64_t
front_stop_age_ms (const struct Front *front)
{
  return front->stop_ms != 0 ? timer_now_ms (front->node->timers) - front->stop_ms : 0;
}

static bool
front_rejects_requests (const struct Front *front)
{
  int64_t accept_ms = (int64_t)front->node->settings->grace_ms * STOP_ACCEPT_EIGHTHS / 8;

  return front_stop_age_ms (front) > (accept_ms < STOP_ACCEPT_MS ? accept_ms : STOP_ACCEPT_MS);
}

bool
front_is_ending (const struct Front *front)
{
  return front_stop_age_ms (front)
         > (int64_t)front->node->settings->grace_ms * STOP_SEND_EIGHTHS / 8;
}

bool
front_is_starting (const struct Front *front)
{
  return timer_now_ms (front->node->timers) - front->started_ms < START_DEFER_MS;
}

static void
request_on_defer_timer (void *data)
{
  struct Request *request = data;

  request->defer_timer = NULL;
  front_dispatch (request);
}

/* Defers the request for a moment while the gateway starts; fails it otherwise. */
static void
front_defer (struct Request *request, enum RequestFailure failure, const char *detail)
{
  struct Front *front = request->front;

  if (front_is_starting (front))
    request->defer_timer = timer_subscribe (request, front->node->timers, START_CHECK_MS, 0,
                                            request_on_defer_timer, request);
  if (request->defer_timer == NULL)
    request_fail (request, failure, detail);
}

/* Checks the key first: a caller without a valid one must not find out which routes exist. */
static void
front_reject_unrouted (struct Request *request)
{
  if (credential_check (request))
    request_fail (request, FAILURE_NO_ROUTE, request->exchange->target);
  else
    request_fail (request, FAILURE_NO_KEY, credential_problem (&request->caller));
}

static void
front_start (struct Request *request)
{
  if (!request_is_turn (request))
    request_send (request);
  /* Before the archives reserve its tokens. */
  else if (crash_guard_admit (request))
    turn_start (request);
}

void
front_dispatch (struct Request *request)
{
  struct Front *front = request->front;
  bool routed = request->timeout != NULL;

  if (front->table == NULL)
    front_defer (request, FAILURE_NO_CONFIG, "no configuration received since the start");
  else if (!routed && !request_route (request))
    front_reject_unrouted (request);
  else if (!credential_is_valid (request))
    request_fail (request, FAILURE_NO_KEY, credential_problem (&request->caller));
  else if (front->replicas->n_replicas == 0)
    front_defer (request, FAILURE_NO_SERVER, "the server list is empty");
  else if (request_is_turn (request) && !turn_archives_reachable (front))
    front_defer (request, FAILURE_UNCERTAIN, "too few archives respond, and no gateway can relay");
  else if (crash_guard_must_wait (request))
    front_defer (request, FAILURE_UNCERTAIN, "no report of quarantined requests since the start");
  else if (quotas_must_wait (request))
    front_defer (request, FAILURE_UNCERTAIN,
                 "no usage report received since the start or for too long");
  else if (quotas_admit (request))
    front_start (request);
}

static void
front_on_request (void *data, struct HttpExchange *exchange)
{
  struct Front *front = data;
  struct Request *request = request_new (front, exchange);
  struct Fault fault;

  if (request == NULL)
    {
      http_exchange_respond (exchange, 503, NULL, NULL, 0);
      return;
    }
  retry_allowance_earn (&front->retries);
  if (front->node->dialect->read_request (request, exchange, &request->caller, &fault)
      != ERROR_NONE)
    request_fail (request, FAILURE_MALFORMED, fault.message);
  else if (front_rejects_requests (front))
    request_fail (request, FAILURE_STOPPING, "planned stop");
  else
    front_dispatch (request);
}

/* The gateway's own paths. */

bool
front_is_ready (const struct Front *front)
{
  return front->stop_ms == 0 && front->table != NULL && front->has_server_list
         && (node_reaches_archives (front->node) || node_has_relay (front->node));
}

static void
front_on_gateway_path (void *data, struct HttpExchange *exchange)
{
  struct Front *front = data;

  switch (front->node->dialect->gateway_path (exchange->target))
    {
    case GATEWAY_PATH_READY:
      http_exchange_respond (exchange, front_is_ready (front) ? 200 : 503, NULL, NULL, 0);
      break;
    case GATEWAY_PATH_ADDRESSES:
      directory_answer (front, exchange);
      break;
    case GATEWAY_PATH_NONE:
      http_exchange_respond (exchange, 404, NULL, NULL, 0);
      break;
    }
}

/* Snapshots of the store. */

static void
front_apply_routes (struct Front *front, const struct Snapshot *snapshot)
{
  struct RouteTable *table;
  struct Fault fault;
  uint8_t *text;
  size_t text_bytes;
  int32_t error;

  if (snapshot->n_items != 1)
    return;
  if (value_inflate (front, snapshot->items[0].value, snapshot->items[0].value_bytes, &text,
                     &text_bytes)
      != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "configuration_unreadable", NULL,
                 "run the same version on all instances",
                 "%zu bytes of compressed configuration do not inflate",
                 snapshot->items[0].value_bytes);
      return;
    }
  error = front->node->dialect->read_routes (front, text, text_bytes, &table, &fault);
  talloc_free (text);
  if (error != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "configuration_malformed", NULL, fault.remedy, "%s",
                 fault.message);
      return;
    }
  /* An older configuration that arrives late must not replace a newer one. */
  if (front->table != NULL && table->version <= front->table->version)
    {
      talloc_free (table);
      return;
    }
  log_event (LOG_LEVEL_NOTICE, "configuration_taken", NULL, NULL,
             "version %llu, %zu routes, %zu services", (unsigned long long)table->version,
             table->n_routes, table->n_services);
  talloc_free (front->table);
  front->table = table;
  quotas_configure (front->quotas);
  gauge_set (GAUGE_CONFIG_REVISION, table->version);
  http_server_set_limits (front->callers, &table->limits);
}

static void
front_handle_restarts (struct Front *front)
{
  struct Replica *replica;

  while ((replica = replica_set_next_restarted (front->replicas)) != NULL)
    {
      log_event (LOG_LEVEL_NOTICE, "server_restarted", NULL, NULL, "%s, start time %llu",
                 replica->entry.id, (unsigned long long)replica->entry.started_unix_ms);
      http_client_close_idle (front->client, replica->entry.address);
      slots_server_restarted (front->slots, replica->entry.id);
      paces_server_restarted (front->paces, replica->entry.id);
    }
}

static void
front_apply_servers (struct Front *front, const struct Snapshot *snapshot, bool after_gap)
{
  struct ReplicaEntry *entries = talloc_array (front, struct ReplicaEntry, snapshot->n_items);
  size_t n = 0, n_changed;

  for (size_t i = 0; entries != NULL && i < snapshot->n_items; i++)
    {
      const struct SnapshotItem *item = &snapshot->items[i];

      if (replica_entry_unpack (item->value, item->value_bytes, &entries[n]) == ERROR_NONE)
        n++;
      else
        log_event (LOG_LEVEL_ERROR, "server_entry_unreadable", NULL,
                   "run the same version on all instances", "%s", item->key);
    }
  n_changed = replica_set_apply (front->replicas, entries, n, after_gap,
                                 timer_now_ms (front->node->timers));
  front->has_server_list = true;
  front->server_level = snapshot->level;
  front_handle_restarts (front);
  crash_guard_on_servers (front);
  if (n_changed > 0)
    log_event (LOG_LEVEL_INFO, "servers_changed", NULL, NULL,
               "%zu changes, %zu listed at revision %lld%s", n_changed, n,
               (long long)snapshot->revision,
               after_gap ? ", first list after an outage of the store" : "");
  talloc_free (entries);
}

static void
front_on_snapshot (void *data, const struct Snapshot *snapshot, bool after_gap)
{
  switch (snapshot->kind)
    {
    case SNAPSHOT_ROUTES:
      front_apply_routes (data, snapshot);
      break;
    case SNAPSHOT_SUBSET:
      front_apply_servers (data, snapshot, after_gap);
      break;
    case SNAPSHOT_SERVERS:
    case SNAPSHOT_NODES:
    case SNAPSHOT_RETIRE:
    case SNAPSHOT_ZONE:
    case SNAPSHOT_FLEET:
    case SNAPSHOT_CONTACTS:
      break;
    }
}

/* Peers. */

static void
front_apply_digests (struct Front *front, const struct SlotDigest *digests, size_t n_digests)
{
  for (size_t i = 0; i < n_digests; i++)
    {
      struct Replica *replica = replica_set_find (front->replicas, digests[i].server);

      if (replica != NULL)
        replica_apply_digest (replica, &digests[i], timer_now_ms (front->node->timers));
    }
}

static void
front_on_message (void *data,
                  uint64_t link,
                  const char *sender,
                  const struct GatewayMessage *message)
{
  struct Front *front = data;

  switch (message->kind)
    {
    case GATEWAY_TURN_OPENED:
      turn_on_opened (front, sender, &message->opened);
      break;
    case GATEWAY_TURN_CLOSED:
      turn_on_closed (front, sender, &message->closed);
      break;
    case GATEWAY_SLOT_REQUEST:
      slots_on_request (front->slots, link, sender, &message->slot_request);
      break;
    case GATEWAY_SLOT_STATE:
      slots_on_state (front, sender, &message->slot_state);
      break;
    case GATEWAY_SLOT_DONE:
      slots_on_done (front->slots, sender, &message->slot_done);
      break;
    case GATEWAY_DIGESTS:
      front_apply_digests (front, message->digests.items, message->digests.n_items);
      break;
    case GATEWAY_USAGES:
      quotas_on_report (front->quotas, sender, &message->usages);
      break;
    case GATEWAY_PACES:
      paces_on_rows (front->paces, message->paces.items, message->paces.n_items);
      break;
    case GATEWAY_SUSPECTS:
      suspects_on_report (front->suspects, link, &message->suspects);
      break;
    case GATEWAY_QUOTA_REQUEST:
    case GATEWAY_QUOTA_GRANT:
    case GATEWAY_QUOTA_RETURN:
      quotas_on_message (front->quotas, link, sender, message);
      break;
    case GATEWAY_TURN_OPEN:
    case GATEWAY_TURN_READ:
    case GATEWAY_TURN_CLOSE:
    case GATEWAY_HEARTBEAT:
    case GATEWAY_SNAPSHOT:
    case GATEWAY_COPY_WANT:
    case GATEWAY_COPY_PART:
    case GATEWAY_RELAY:
    case GATEWAY_ALIVE:
    case GATEWAY_SNAPSHOT_WANT:
    case GATEWAY_PROBE:
      break;
    }
}

static void
front_on_set (void *data)
{
  struct Front *front = data;

  for (struct Request *r = front->requests; r != NULL; r = r->next)
    if (r->turn != NULL)
      turn_on_set_changed (r);
}

static void
front_on_peer_lost (void *data, const char *name)
{
  struct Front *front = data;

  slots_peer_lost (front->slots, name);
}

static void
front_describe (void *data, TALLOC_CTX *ctx, struct Heartbeat *heartbeat)
{
  struct Front *front = data;
  const struct ReplicaSet *set = front->replicas;
  struct NodeStatus *status = &heartbeat->status;

  status->ready = front_is_ready (front);
  status->leaving = front->stop_ms != 0;
  status->overloaded = loop_echo_is_overloaded (front->echo);
  status->reaches_archives = front->stop_ms == 0 && node_reaches_archives (front->node);
  status->config_version = front->table != NULL ? front->table->version : 0;
  heartbeat->server_level =
      subset_next_level (&front->demand, front->server_level,
                         replica_set_used_permille (set, front->node->settings->zone),
                         timer_now_ms (front->node->timers));
  heartbeat->loads = talloc_zero_array (ctx, struct ReplicaLoad, set->n_replicas);
  for (size_t i = 0; heartbeat->loads != NULL && i < set->n_replicas; i++)
    {
      struct ReplicaLoad *load = &heartbeat->loads[heartbeat->n_loads];

      set->replicas[i]->reported_in_flight = 0;
      if (set->replicas[i]->in_flight == 0 || set->replicas[i]->owned)
        continue;
      snprintf (load->server, NAME_MAX_BYTES + 1, "%s", set->replicas[i]->entry.id);
      load->in_flight = set->replicas[i]->in_flight;
      set->replicas[i]->reported_in_flight = load->in_flight;
      heartbeat->n_loads++;
    }
}

static void
front_send_digests (struct Front *front, bool busy_only, enum PeerChoice to)
{
  struct GatewayMessage message = { .kind = GATEWAY_DIGESTS };
  struct Digests *digests = &message.digests;

  digests->items = slots_digest (front->slots, front, busy_only, &digests->n_items);
  front_apply_digests (front, digests->items, digests->n_items);
  if (digests->n_items > 0)
    node_send_some (front->node, &message, to);
  talloc_free (digests->items);
}

/* Sends the gateways of the zone, which prefer its engines, digests of busy engines four times as
 * often as of all engines: at 14 to 25 turns per second and engine, half a second is half of its
 * queue. Idle engines are left out of the frequent digests, since every gateway would send to an
 * engine as soon as it is reported idle. */
static void
front_on_digest_tick (void *data)
{
  struct Front *front = data;
  bool full = front->n_digest_ticks++ % FULL_DIGEST_TICKS == 0;
  bool to_all = front->node->peers->n_peers <= DIGESTS_TO_ALL_PEERS_MAX;

  front_send_digests (front, !full, full && to_all ? PEERS_GATEWAYS : PEERS_GATEWAYS_OF_ZONE);
  /* In a large fleet half as often: with 455 servers in a zone the messages are 13 KB. */
  if (full && (to_all || front->n_digest_ticks % (2 * FULL_DIGEST_TICKS) == 1))
    paces_send (front->paces, to_all ? PEERS_GATEWAYS : PEERS_GATEWAYS_OF_ZONE);
}

/* Updates the numbers of requests that other gateways have in flight to servers without an owner.
 * Sums received from an aggregator include this gateway's own requests as it last reported them. */
static void
front_sum_loads (struct Front *front)
{
  const struct Node *node = front->node;
  const struct Heartbeat none = { .n_loads = 0 };
  size_t n_loads;
  struct ReplicaLoad *loads = peer_table_loads (node->peers, front, &none, LOADS_OF_FLEET,
                                                timer_now_ms (node->timers), &n_loads);
  bool has_own = !peer_table_is_aggregator (node->peers, timer_now_ms (node->timers));

  replica_set_clear_peers (front->replicas);
  for (size_t i = 0; loads != NULL && i < n_loads; i++)
    {
      struct Replica *replica = replica_set_find (front->replicas, loads[i].server);
      uint32_t own = replica != NULL && has_own ? replica->reported_in_flight : 0;

      if (replica != NULL && !replica->owned && loads[i].in_flight > own)
        replica->peers_in_flight = loads[i].in_flight - own;
    }
  talloc_free (loads);
}

static void
front_count_gateways (struct Front *front)
{
  const struct Node *node = front->node;

  front->n_gateways = 1;
  for (size_t i = 0; i < node->peers->n_peers; i++)
    if (node->peers->peers[i]->status.caller_address[0] != '\0'
        && node_peer_is_live (node, node->peers->peers[i]))
      front->n_gateways++;
}

static void
front_on_tick (void *data)
{
  struct Front *front = data;

  node_announce_changes (front->node);
  front_sum_loads (front);
  front_count_gateways (front);
  slots_expire (front->slots);
  replica_set_expire (front->replicas, timer_now_ms (front->node->timers));
  paces_update (front->paces);
}

/* Start and stop. */

static int32_t
front_listen (struct Front *front,
              const char *address,
              const char *setting,
              void (*request) (void *data, struct HttpExchange *exchange),
              uint32_t connections_max,
              struct HttpServer **server,
              struct Fault *fault)
{
  struct HttpServerOptions options = {
    .listen = address,
    .setting = setting,
    .limits = initial_limits,
    .connections_max = connections_max,
    /* On the ready address, 503 would report that the gateway is not ready. */
    .rejects_when_full = request == front_on_request,
    .memory = front->memory,
    .request = request,
    .data = front,
  };

  if (address[0] == '\0')
    return ERROR_NONE;
  return http_server_new (front, front->node->events, front->node->timers, &options, server, fault);
}

static int32_t
front_listen_all (struct Front *front, struct Fault *fault)
{
  const struct GatewaySettings *s = front->node->settings;
  int32_t error = front_listen (front, s->caller_listen, "[listen] caller", front_on_request,
                                front->shares.callers, &front->callers, fault);

  if (error == ERROR_NONE)
    error = front_listen (front, s->ready_listen, "[listen] ready", front_on_gateway_path,
                          front->shares.ready, &front->ready, fault);
  if (error == ERROR_NONE)
    error = front_listen (front, s->directory_listen, "[listen] directory", front_on_gateway_path,
                          front->shares.directory, &front->directory, fault);
  return error;
}

static int32_t
front_divide_descriptors (struct Front *front, struct Fault *fault)
{
  const struct DescriptorShares wanted = {
    .callers = front->node->settings->connections_max,
    .ready = OWN_CONNECTIONS_MAX,
    .directory = OWN_CONNECTIONS_MAX,
    .metrics = METRICS_CONNECTIONS_MAX,
    .servers = ALL_SERVERS_CONNECTIONS_MAX,
  };

  return process_limits_divide (&wanted, &front->shares, fault);
}

static int32_t
front_bound_memory (struct Front *front, struct Fault *fault)
{
  const struct Node *node = front->node;
  uint64_t max_bytes = node_held_max_bytes (node);

  if (max_bytes == 0)
    return ERROR_NONE;
  front->memory = http_memory_new (front, node->events, node->timers, max_bytes);
  if (front->memory == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory for the gateway");
  process_limits_log_held (max_bytes);
  return ERROR_NONE;
}

int32_t
front_new (TALLOC_CTX *ctx, struct Node *node, struct Front **front, struct Fault *fault)
{
  struct HttpClientOptions client_options = { SERVER_CONNECTIONS_MAX, SERVER_IDLE_MS, 0 };
  struct Front *f = talloc_zero (ctx, struct Front);
  int32_t error;

  *front = NULL;
  if (f == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory for the gateway");
  f->node = node;
  error = front_divide_descriptors (f, fault);
  if (error != ERROR_NONE)
    return error;
  client_options.connections_max = f->shares.servers;
  f->started_ms = timer_now_ms (node->timers);
  f->contention = contention_new (f);
  f->replicas = replica_set_new (f);
  f->client = http_client_new (f, node->events, node->timers, &client_options);
  f->slots = slots_new (f);
  f->paces = paces_new (f);
  f->quotas = quotas_new (f);
  f->attribution = attribution_new (f);
  f->suspects = suspects_new (f, node);
  f->silent = talloc_zero (f, struct SilentAttempts);
  f->echo = loop_echo_new (f, node);
  if (f->contention == NULL || f->replicas == NULL || f->client == NULL || f->slots == NULL
      || f->paces == NULL || f->quotas == NULL || f->attribution == NULL || f->suspects == NULL
      || f->silent == NULL || f->echo == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory for the gateway");
  error = front_bound_memory (f, fault);
  if (error != ERROR_NONE)
    return error;
  error = front_listen_all (f, fault);
  if (error != ERROR_NONE)
    return error;
  timer_subscribe (f, node->timers, TICK_INTERVAL_MS, TICK_INTERVAL_MS, front_on_tick, f);
  timer_subscribe (f, node->timers, DIGEST_INTERVAL_MS, DIGEST_INTERVAL_MS, front_on_digest_tick,
                   f);
  node->handler.message = front_on_message;
  node->handler.snapshot = front_on_snapshot;
  node->handler.set_changed = front_on_set;
  node->handler.peer_lost = front_on_peer_lost;
  node->handler.describe = front_describe;
  node->handler.data = f;
  *front = f;
  return ERROR_NONE;
}

void
front_stop (struct Front *front)
{
  if (front->stop_ms != 0)
    return;
  front->stop_ms = timer_now_ms (front->node->timers);
  http_server_drain (front->callers);
  node_announce (front->node);
}

/* Returns whether the request has reached a server. */
static bool
request_is_under_way (const struct Request *request)
{
  return request->may_have_run || request->call != NULL || request->check != NULL;
}

/* Returns the first request, or the first that waits for a server. */
static struct Request *
front_next_to_end (const struct Front *front, bool waiting_only)
{
  struct Request *request = front->requests;

  while (request != NULL && waiting_only && request_is_under_way (request))
    request = request->next;
  return request;
}

void
front_end_requests (struct Front *front)
{
  int64_t left_ms = (int64_t)front->node->settings->grace_ms - front_stop_age_ms (front);
  bool waiting_only = left_ms > STOP_ANSWER_MARGIN_MS;
  struct Request *request;

  if (front->stop_ms == 0 || (waiting_only && !front_is_ending (front)))
    return;
  /* Ending one request may end others. */
  while ((request = front_next_to_end (front, waiting_only)) != NULL)
    request_fail (request, request_is_under_way (request) ? FAILURE_BROKEN : FAILURE_STOPPING,
                  "the grace period of the planned stop is over");
}

bool
front_is_done (const struct Front *front)
{
  int64_t age_ms = front_stop_age_ms (front);
  int64_t left_ms = (int64_t)front->node->settings->grace_ms - age_ms;

  if (front->stop_ms == 0)
    return false;
  return left_ms < STOP_EXIT_MARGIN_MS
         || ((age_ms > STOP_LINGER_MS || left_ms < STOP_ANSWER_MARGIN_MS)
             && http_server_in_flight (front->callers) == 0);
}
