#include <buckthornhead/daemon.h>

#include "core.h"
#include "drain.h"
#include "entry.h"
#include "fleet.h"
#include "home.h"
#include "operator.h"
#include "owner.h"
#include "spooler.h"

#include <buckthornhead/backend_list.h>
#include <buckthornhead/counter.h>
#include <buckthornhead/held_memory.h>
#include <buckthornhead/instances_http.h>
#include <buckthornhead/kv_http.h>
#include <buckthornhead/log.h>
#include <buckthornhead/process_limits.h>
#include <buckthornhead/process_signals.h>
#include <buckthornhead/process_start.h>
#include <buckthornhead/timer_tevent.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

enum
{
  KV_TIMEOUT_MS = 2000,
  CONFIG_POLL_MS = 1000,
  MEMBERS_POLL_MS = 1000,
  INSTANCES_POLL_MS = 1000,
  CONFIG_ENTRIES_MAX = 64,
  RESPONSES_PART = 2, /* of the bound on held memory, for responses that are collected */
  /* Large responses leave the rest of the bound to small ones, as large requests do. */
  LARGE_RESPONSES_QUARTERS = 3,
  RESPONSE_FLUSH_US = 200 * 1000
};

struct Daemon
{
  struct Core *core;
  struct Drain *drain;
  bool stopped;
};

/* talloc calls this when it detects memory misuse, such as a double free: logs the reason and
 * aborts. */
static void
daemon_on_talloc_abort (const char *reason)
{
  log_event (LOG_LEVEL_ERROR, "memory_misused", NULL, "report this and attach the core file", "%s",
             reason);
  abort ();
}

static void
daemon_receive_mail (void *data, struct Mail *mail)
{
  struct Daemon *daemon = data;
  struct Core *core = daemon->core;
  struct Exchange *exchange;

  switch (mail->kind)
    {
    case MAIL_CALLER_REQUEST:
      exchange = (struct Exchange *)mail;
      if (exchange->kind == EXCHANGE_CALLER)
        entry_on_exchange (core->entry, exchange);
      else
        operator_on_exchange (core->operators, exchange);
      return;
    case MAIL_CALLER_DISCONNECTED:
      exchange = ((struct DisconnectMail *)mail)->exchange;
      if (exchange->kind == EXCHANGE_CALLER)
        entry_on_disconnect (core->entry, exchange);
      else
        operator_on_disconnect (core->operators, exchange);
      break;
    case MAIL_BACKEND_CHUNK:
    case MAIL_BACKEND_END:
      owner_on_backend_event (core->owner, (struct BackendMail *)mail);
      break;
    default:
      break;
    }
  talloc_free (mail);
}

/* Requests the missing changes from a peer whose configuration is newer, over the link on which its
 * heartbeat arrived: an instance that starts during a platform outage has no member to connect to
 * yet. */
static void
daemon_request_config (struct Core *core, uint64_t link, const struct PeerHeartbeat *heartbeat)
{
  struct PeerMessage request = { .kind = PEER_CONFIG_REQUEST };
  uint64_t own = config_log_revision (core->config);

  if (heartbeat->config_revision <= own)
    return;
  request.config_request.from = own + 1;
  peer_net_send (core->net, link, &request);
}

static void
daemon_send_config (struct Core *core, uint64_t link, uint64_t from)
{
  TALLOC_CTX *ctx = talloc_new (core);
  uint64_t last = config_log_revision (core->config);

  for (uint64_t n = from; n <= last && n < from + CONFIG_ENTRIES_MAX; n++)
    {
      struct PeerMessage entry = { .kind = PEER_CONFIG_ENTRY };

      entry.config_entry.bytes =
          config_log_entry (core->config, ctx, n, &entry.config_entry.n_bytes);
      if (entry.config_entry.bytes != NULL)
        peer_net_send (core->net, link, &entry);
      /* This entry is no longer kept, so the whole configuration was sent instead. Each further
       * such entry would send it again. */
      if (!config_log_has_entry (core->config, n))
        break;
    }
  talloc_free (ctx);
}

static void
daemon_on_chunk (struct Core *core, uint64_t link, const struct PeerChunk *chunk)
{
  if (chunk->id >= ENTRY_ID_BASE)
    entry_on_chunk (core->entry, link, chunk);
  else if (chunk->id >= OPERATOR_ID_BASE)
    operator_on_chunk (core->operators, chunk);
  else
    home_on_chunk (core->home, chunk);
}

static void
daemon_on_response (struct Core *core, uint64_t link, const struct PeerResponse *response)
{
  if (response->id >= ENTRY_ID_BASE)
    entry_on_response (core->entry, link, response);
  else if (response->id >= OPERATOR_ID_BASE)
    operator_on_response (core->operators, response);
  else if (response->id >= SPOOLER_ID_BASE)
    spooler_on_response (core->spooler, link, response);
  else
    home_on_response (core->home, response);
}

static void
daemon_on_message (void *data,
                   uint64_t link,
                   const char *instance,
                   const struct PeerMessage *message)
{
  struct Core *core = ((struct Daemon *)data)->core;

  (void)instance;
  switch (message->kind)
    {
    case PEER_HELLO:
      break;
    case PEER_HEARTBEAT:
      fleet_on_heartbeat (core->fleet, &message->heartbeat);
      daemon_request_config (core, link, &message->heartbeat);
      break;
    case PEER_REQUEST:
      home_on_request (core->home, link, &message->request);
      break;
    case PEER_DISPATCH:
      owner_on_dispatch (core->owner, link, &message->dispatch);
      break;
    case PEER_CANCEL:
      if (message->cancel.id >= ENTRY_ID_BASE)
        home_on_cancel (core->home, link, message->cancel.id);
      else
        owner_on_cancel (core->owner, link, message->cancel.id);
      break;
    case PEER_CHUNK:
      daemon_on_chunk (core, link, &message->chunk);
      break;
    case PEER_RESPONSE:
      daemon_on_response (core, link, &message->response);
      break;
    case PEER_RELEASE:
      owner_on_release (core->owner, link, message->release.id, message->release.program,
                        message->release.backend);
      break;
    case PEER_CONFIG_REQUEST:
      daemon_send_config (core, link, message->config_request.from);
      break;
    case PEER_CONFIG_ENTRY:
      config_log_apply_entry (core->config, message->config_entry.bytes,
                              message->config_entry.n_bytes);
      break;
    case PEER_QUARANTINE:
      home_on_server_crash (core->home, message->quarantine.digest, message->quarantine.server);
      break;
    case PEER_MAP_CHANGED:
      home_on_map_hint (core->home);
      break;
    case PEER_GATEWAY:
      /* Exchanged only among gateways and archives. */
      break;
    case PEER_SPOOL_PUT:
    case PEER_SPOOL_DROP:
    case PEER_SPOOL_READ:
    case PEER_SPOOL_RECORD:
      spooler_on_message (core->spooler, link, message);
      break;
    }
}

static void
daemon_on_link_closed (void *data, uint64_t link, const char *instance)
{
  struct Core *core = ((struct Daemon *)data)->core;

  (void)instance;
  entry_on_link_closed (core->entry, link);
  home_on_link_closed (core->home, link);
  owner_on_link_closed (core->owner, link);
  spooler_on_link_closed (core->spooler, link);
}

static void
daemon_on_refused (void *data, const char *instance, uint32_t n)
{
  fleet_on_refused (((struct Daemon *)data)->core->fleet, instance, n);
}

static bool
config_has_draining (const struct ConfigState *state, const char *instance)
{
  for (size_t i = 0; i < state->n_draining; i++)
    if (strcmp (state->draining[i], instance) == 0)
      return true;
  return false;
}

static void
daemon_on_config (void *data, struct ConfigState *state)
{
  struct Daemon *daemon = data;
  struct Core *core = daemon->core;

  talloc_free (core->state);
  core->state = talloc_steal (core, state);
  counter_add (COUNTER_CONFIG_APPLIED, 1);
  log_event (LOG_LEVEL_NOTICE, "config_in_force", NULL, NULL, "revision %llu",
             (unsigned long long)state->revision);
  if (daemon->drain != NULL)
    drain_set_enabled (daemon->drain, config_has_draining (state, core->settings->instance));
}

static void
daemon_on_members (void *data, const struct Member *members, size_t n_members)
{
  struct Core *core = ((struct Daemon *)data)->core;
  struct FleetMember *list = talloc_zero_array (core, struct FleetMember, n_members);

  for (size_t i = 0; list != NULL && i < n_members; i++)
    {
      snprintf (list[i].instance, sizeof list[i].instance, "%s", members[i].instance);
      snprintf (list[i].incarnation, sizeof list[i].incarnation, "%s", members[i].incarnation);
      snprintf (list[i].zone, sizeof list[i].zone, "%s", members[i].zone);
      snprintf (list[i].caller_address, sizeof list[i].caller_address, "%s",
                members[i].caller_address);
      snprintf (list[i].peer_address, sizeof list[i].peer_address, "%s", members[i].peer_address);
      list[i].draining = members[i].draining;
    }
  fleet_set_members (core->fleet, list, n_members);
  talloc_free (list);
}

static void
daemon_on_incarnation (void *data, const char *incarnation)
{
  struct Daemon *daemon = data;
  struct Core *core = daemon->core;

  snprintf (core->incarnation, sizeof core->incarnation, "%s", incarnation);
  log_event (LOG_LEVEL_NOTICE, "incarnation", NULL, NULL, "%s", incarnation);
  peer_net_set_incarnation (core->net, incarnation);
  spooler_start_writer (core->spooler, incarnation);
  if (home_start (core->home, incarnation) != ERROR_NONE)
    log_event (LOG_LEVEL_ERROR, "home_failed", NULL, "give the instance more memory",
               "starting the home module failed");
}

static void
daemon_on_platform (void *data, bool up)
{
  struct Core *core = ((struct Daemon *)data)->core;

  core->platform_up = up;
  log_event (up ? LOG_LEVEL_NOTICE : LOG_LEVEL_ERROR, up ? "platform_up" : "platform_down", NULL,
             up ? NULL : "see OPERATIONS: outage of the platform",
             "the platform's key-value service %s", up ? "answers" : "does not answer");
}

static void
daemon_on_backends (void *data,
                    const struct BackendSetting *listed,
                    const bool *leaving,
                    size_t n_listed)
{
  struct Core *core = ((struct Daemon *)data)->core;

  fleet_set_backends (core->fleet, listed, leaving, n_listed);
}

static void
daemon_on_left (void *data)
{
  ((struct Daemon *)data)->stopped = true;
}

static void
daemon_on_drained (void *data)
{
  struct Daemon *daemon = data;

  membership_leave (daemon->core->membership, daemon_on_left, daemon);
}

static void
daemon_on_stop (void *data, int number)
{
  struct Daemon *daemon = data;

  log_event (LOG_LEVEL_NOTICE, "stop_asked", NULL, NULL, "signal %d", number);
  drain_stop (daemon->drain, daemon_on_drained, daemon);
}

static bool
daemon_open_loop (struct Daemon *daemon)
{
  struct Core *core = daemon->core;

  core->events = tevent_context_init (core);
  if (core->events == NULL)
    return false;
  core->timers = timer_tevent_new (core, core->events);
  core->mailbox = mailbox_new (core, core->events, daemon_receive_mail, daemon);
  core->loop = curl_loop_new (core, core->events);
  if (core->timers == NULL || core->mailbox == NULL || core->loop == NULL)
    return false;
  core->kv = kv_http_new (core, core->loop, core->settings->kv_url, KV_TIMEOUT_MS);
  return core->kv != NULL && process_signals_handle (core, core->events, daemon_on_stop, daemon);
}

/* Opens the adapters, each after those that it depends on. */
static int32_t
daemon_open_adapters (struct Daemon *daemon, struct Fault *fault)
{
  struct Core *core = daemon->core;
  const struct Settings *settings = core->settings;
  struct PeerNetOptions net = { 0 };
  struct Spool *spool = NULL;

  if (!daemon_open_loop (daemon))
    return fault_set (fault, ERROR_NO_MEMORY, "raise the limits of descriptors and memory",
                      "no memory or descriptors for the event loop");
  net.listen = settings->peer_listen;
  net.instance = settings->instance;
  net.zone = settings->zone;
  net.received = daemon_on_message;
  net.closed = daemon_on_link_closed;
  net.connect_refused = daemon_on_refused;
  net.data = daemon;
  core->net = peer_net_new (core, core->events, core->timers, &net);
  if (core->net == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "out of memory");
  if (peer_net_listen (core->net, fault) != ERROR_NONE)
    return fault->error;
  core->pool = backend_pool_new (core, settings->backend_threads, core->mailbox);
  if (core->pool == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, "raise the limits of threads, descriptors and memory",
                      "cannot start the threads for the backend servers");
  if (settings->data_folder[0] != '\0'
      && spool_open (core, settings->data_folder, &spool, fault) != ERROR_NONE)
    return fault->error;
  core->spooler = spooler_new (core, spool);
  return ERROR_NONE;
}

static void
daemon_create_modules (struct Daemon *daemon)
{
  struct Core *core = daemon->core;
  const struct Settings *settings = core->settings;
  struct ConfigLogOptions config = { 0 };

  core->home = home_new (core);
  core->fleet = fleet_new (core);
  core->owner = owner_new (core);
  core->entry = entry_new (core);
  core->operators = operator_new (core);
  config.prefix = settings->prefix;
  config.poll_ms = CONFIG_POLL_MS;
  config.seed = rendezvous_score ("config", settings->instance);
  config.changed = daemon_on_config;
  config.data = daemon;
  core->config = config_log_new (core, core->kv, core->timers, &config);
  daemon->drain = drain_new (core);
}

static void
daemon_watch_backends (struct Daemon *daemon)
{
  struct Core *core = daemon->core;
  struct BackendListOptions options = { 0 };
  struct BackendListPort *port =
      instances_http_new (core, core->loop, core->settings->instances_url, KV_TIMEOUT_MS);

  options.poll_ms = INSTANCES_POLL_MS;
  options.seed = rendezvous_score ("instances", core->settings->instance);
  options.changed = daemon_on_backends;
  options.data = daemon;
  if (port == NULL || backend_list_new (core, port, core->timers, &options) == NULL)
    log_event (LOG_LEVEL_ERROR, "backend_list_failed", NULL, "give the instance more memory",
               "cannot watch the platform's list of backend servers");
}

static void
daemon_join (struct Daemon *daemon)
{
  struct Core *core = daemon->core;
  const struct Settings *settings = core->settings;
  struct MembershipOptions options = { 0 };

  options.prefix = settings->prefix;
  options.instance = settings->instance;
  options.zone = settings->zone;
  options.caller_address = settings->caller_listen;
  options.peer_address = settings->peer_listen;
  options.lease_ttl_s = settings->lease_ttl_s;
  options.poll_ms = MEMBERS_POLL_MS;
  options.seed = rendezvous_score ("members", settings->instance);
  options.incarnation_changed = daemon_on_incarnation;
  options.members_changed = daemon_on_members;
  options.platform_changed = daemon_on_platform;
  options.data = daemon;
  core->membership = membership_new (core, core->kv, core->timers, &options);
  if (settings->instances_url[0] != '\0')
    daemon_watch_backends (daemon);
}

static void
daemon_run_loop (struct Daemon *daemon)
{
  struct Core *core = daemon->core;

  log_event (LOG_LEVEL_NOTICE, "started", NULL, NULL,
             "listening for callers on %s, operators on %s, peers on %s",
             core->settings->caller_listen, core->settings->operator_listen,
             core->settings->peer_listen);
  process_signals_unblock ();
  while (!daemon->stopped)
    if (tevent_loop_once (core->events) != 0)
      break;
  process_signals_block ();
}

/* Rejects new requests and waits until each open exchange has its response: an operator's change,
 * or a request that arrived as the last one ended, may still be in progress. */
static void
daemon_finish_exchanges (struct Daemon *daemon)
{
  caller_http_reject_new (daemon->core->http);
  while (exchange_n_open () > 0)
    if (tevent_loop_once (daemon->core->events) != 0)
      break;
  /* Gives the HTTP threads time to write the last responses. */
  usleep (RESPONSE_FLUSH_US);
}

int32_t
daemon_run (const struct Settings *settings, struct Fault *fault)
{
  struct Daemon daemon = { 0 };
  uint64_t held_max_bytes;
  int32_t error;

  talloc_set_abort_fn (daemon_on_talloc_abort);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  process_start_begin (settings->instance, settings->zone);
  daemon.core = talloc_zero (NULL, struct Core);
  daemon.core->settings = settings;
  held_max_bytes = process_held_max_bytes (settings->held_memory_bytes);
  held_memory_set_max (held_max_bytes / 4 * LARGE_RESPONSES_QUARTERS);
  daemon.core->responses_max_bytes = held_max_bytes / RESPONSES_PART;
  error = daemon_open_adapters (&daemon, fault);
  if (error != ERROR_NONE)
    goto out;
  daemon_create_modules (&daemon);
  error = caller_http_open (daemon.core, settings, daemon.core->mailbox, &daemon.core->http, fault);
  if (error != ERROR_NONE)
    goto out;
  daemon_join (&daemon);
  daemon_run_loop (&daemon);
  daemon_finish_exchanges (&daemon);
  caller_http_close (daemon.core->http);
  log_event (LOG_LEVEL_NOTICE, "stopped", NULL, NULL, "%s", settings->instance);

out:
  if (error != ERROR_NONE && !error_may_pass (error))
    log_event (LOG_LEVEL_ERROR, "not_started", NULL, fault->remedy, "%s", fault->message);
  if (daemon.core->pool != NULL)
    backend_pool_stop (daemon.core->pool);
  talloc_free (daemon.core);
  curl_global_cleanup ();
  return error;
}
