#include <buckthornhead/gateway.h>

#include "archive.h"
#include "first_id.h"
#include "front.h"
#include "metrics.h"

#include <buckthornhead/clock.h>
#include <buckthornhead/log.h>
#include <buckthornhead/timer_tevent.h>

#include <buckthornhead/process_limits.h>

#include <platform.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  STORE_TIMEOUT_MS = 900, /* per call; the store responds in about 4 ms, if slow in 250 */
  STOP_CHECK_MS = 100
};

struct Gateway
{
  struct Node node;
  struct Front *front;     /* NULL in an archive */
  struct Archive *archive; /* NULL in a gateway */
  bool stopping, done;
};

static void
gateway_on_stop_check (void *data)
{
  struct Gateway *gateway = data;

  gateway->done = gateway->front == NULL || front_is_done (gateway->front);
}

static void
gateway_on_signal (struct tevent_context *events,
                   struct tevent_signal *signal,
                   int number,
                   int count,
                   void *info,
                   void *data)
{
  struct Gateway *gateway = data;

  (void)events;
  (void)signal;
  (void)count;
  (void)info;
  if (gateway->stopping)
    return;
  log_event (LOG_LEVEL_NOTICE, "stop_asked", NULL, NULL, "signal %d", number);
  gateway->stopping = true;
  if (gateway->front != NULL)
    front_stop (gateway->front);
  timer_subscribe (gateway->node.events, gateway->node.timers, 0, STOP_CHECK_MS,
                   gateway_on_stop_check, gateway);
}

/* The platform sends SIGHUP after it has rendered the settings again. There is nothing to reload:
 * the addresses and names of a running process don't change, and the rest comes from the store. */
static void
gateway_on_reload (struct tevent_context *events,
                   struct tevent_signal *signal,
                   int number,
                   int count,
                   void *info,
                   void *data)
{
  (void)events;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  (void)data;
  log_event (LOG_LEVEL_NOTICE, "reload_asked", NULL, NULL,
             "nothing reloaded: settings are read only at start, the configuration from the store");
}

static int32_t
gateway_start (struct Gateway *gateway, const struct GatewaySettings *settings, struct Fault *fault)
{
  struct Node *node = &gateway->node;
  struct CurlLoop *curl;
  int32_t error;

  node->settings = settings;
  node->dialect = &platform_dialect;
  node->next_id = first_id ();
  node->events = tevent_context_init (gateway);
  node->timers = node->events != NULL ? timer_tevent_new (node->events, node->events) : NULL;
  curl = node->events != NULL ? curl_loop_new (node->events, node->events) : NULL;
  if (node->timers == NULL || curl == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the event loop");
  node->store = platform_store_new (curl, curl, settings->store_url, STORE_TIMEOUT_MS);
  if (node->store == NULL)
    return fault_set (fault, ERROR_NO_MEMORY, NULL, "no memory for the store's client");
  if (node_is_archive (node))
    error = archive_new (node->events, node, &gateway->archive, fault);
  else
    error = front_new (node->events, node, &gateway->front, fault);
  if (error != ERROR_NONE)
    return error;
  tevent_add_signal (node->events, node->events, SIGTERM, 0, gateway_on_signal, gateway);
  tevent_add_signal (node->events, node->events, SIGINT, 0, gateway_on_signal, gateway);
  tevent_add_signal (node->events, node->events, SIGHUP, 0, gateway_on_reload, gateway);
  metrics_listen (node, gateway->front);
  return node_start (node, fault);
}

/* Logs which decisions are switched off, so that results aren't attributed to a mechanism that is
 * not running. */
static void
gateway_log_decisions (const struct Decisions *d)
{
  static const char *const states[] = { "off", "on", "auto" };

  log_event (LOG_LEVEL_NOTICE, "decisions", NULL, NULL,
             "sessions %s, parts %s, objects %s, zones %s, failures %s, owners %s, order %s, "
             "patience %s, resume %s, under_way %s, admission %s, pace %s, plain_queues %s",
             states[d->sessions], states[d->parts], states[d->objects], states[d->zones],
             states[d->failures], states[d->owners], states[d->order], states[d->patience],
             states[d->resume], states[d->under_way], states[d->admission], states[d->pace],
             states[d->plain_queues]);
}

int32_t
gateway_run (const struct GatewaySettings *settings)
{
  struct Gateway *gateway = talloc_zero (NULL, struct Gateway);
  struct Fault fault = { 0 };
  int64_t started_ms = clock_monotonic_ms ();
  int32_t error = ERROR_NO_MEMORY;

  log_init (settings->instance, settings->zone, LOG_LEVEL_INFO);
  log_set_fd (STDOUT_FILENO);
  process_limits_log ();
  signal (SIGPIPE, SIG_IGN);
  if (gateway == NULL)
    return error;
  error = gateway_start (gateway, settings, &fault);
  if (error != ERROR_NONE)
    {
      log_event (LOG_LEVEL_ERROR, "start_failed", NULL, fault.remedy, "%s", fault.message);
      goto out;
    }
  log_event (LOG_LEVEL_NOTICE, "started", NULL, NULL, "%s, after %lld ms",
             node_is_archive (&gateway->node) ? "archive" : "gateway",
             (long long)(clock_monotonic_ms () - started_ms));
  gateway_log_decisions (&settings->decisions);
  while (!gateway->done)
    if (tevent_loop_once (gateway->node.events) != 0)
      {
        error = ERROR_IO;
        break;
      }
  log_event (LOG_LEVEL_NOTICE, "stopped", NULL, NULL, NULL);

out:
  talloc_free (gateway);
  return error;
}
